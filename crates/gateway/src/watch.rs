//! Waits for something of a worker, and gives the worker up once its silence says so.
//!
//! A worker is given up only where another attempt may follow and the budget of repeats allows it:
//! its answer may still come, and a request that cannot be tried again would only be lost.

use std::time::Duration;

use hollowbarrow_routing::retry::AttemptUpstreamError;
use tokio::time::Instant;

use crate::attempt::Tries;
use crate::core::GatewayCore;
use crate::flight::Flight;
use crate::request::CallerRequest;

/// What is waited for.
pub(crate) struct SilenceWatch<'a> {
    pub(crate) core: &'a GatewayCore,
    pub(crate) request: &'a CallerRequest,
    pub(crate) tries: &'a Tries,
    /// Silence after which the worker is given up.
    pub(crate) patience: Duration,
    /// Silence that is borne where the worker goes on with other answers, as a multiple.
    pub(crate) busy_factor: u32,
}

/// Why nothing came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchEnd {
    /// The deadline of the request passed.
    Deadline,
    /// The worker was silent for too long; another attempt was taken from the budget.
    Silent,
}

impl From<WatchEnd> for AttemptUpstreamError {
    fn from(end: WatchEnd) -> Self {
        match end {
            WatchEnd::Deadline => Self::DeadlinePassed { sent: true },
            WatchEnd::Silent => Self::NoAnswer,
        }
    }
}

impl SilenceWatch<'_> {
    /// Waits for a future that ends when something comes from the worker.
    pub(crate) async fn wait<T>(
        &self,
        flight: &Flight,
        awaited: impl Future<Output = T>,
    ) -> Result<T, WatchEnd> {
        let since = Instant::now();
        tokio::pin!(awaited);
        if self.tries.is_last(self.request) {
            let result = tokio::time::timeout_at(self.request.deadline(), awaited).await;
            return result.map_err(|_| WatchEnd::Deadline);
        }
        let patience = self.patience;
        let mut limit = since + patience;
        loop {
            let deadline = self.request.deadline();
            let waiting = tokio::time::timeout_at(limit.min(deadline), awaited.as_mut());
            if let Ok(result) = waiting.await {
                return Ok(result);
            }
            if Instant::now() >= deadline {
                return Err(WatchEnd::Deadline);
            }
            let busy = self.core.has_progress(&flight.worker.id, patience / 2);
            let borne = busy && since.elapsed() < patience * self.busy_factor;
            if !borne && self.core.budget.take(Instant::now()) {
                return Err(WatchEnd::Silent);
            }
            limit += patience / 2;
        }
    }
}
