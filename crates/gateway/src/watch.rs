//! Waits for something of a worker, and gives the worker up once its silence says so.
//!
//! A worker is given up only where another attempt may follow and the budget of repeats allows it:
//! its answer may still come, and a request that cannot be tried again would only be lost.

use std::time::Duration;

use hollowbarrow_routing::retry::AttemptUpstreamError;
use tokio::time::Instant;

use crate::attempt::AttemptHistory;
use crate::core::GatewayCore;
use crate::flight::WorkerAttempt;
use crate::request::CallerRequest;

/// What is waited for.
pub(crate) struct ProgressWatch<'a> {
    pub(crate) core: &'a GatewayCore,
    pub(crate) request: &'a CallerRequest,
    pub(crate) history: &'a AttemptHistory,
    /// Silence after which the worker is given up.
    pub(crate) timeout: Duration,
    /// Silence that is borne where the worker goes on with other answers, as a multiple.
    pub(crate) busy_factor: u32,
}

/// Why nothing came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchError {
    /// The deadline of the request passed.
    Deadline,
    /// The worker was silent for too long; another attempt was taken from the budget.
    NoProgress,
}

impl From<WatchError> for AttemptUpstreamError {
    fn from(error: WatchError) -> Self {
        match error {
            WatchError::Deadline => Self::DeadlinePassed { sent: true },
            WatchError::NoProgress => Self::NoAnswer,
        }
    }
}

impl ProgressWatch<'_> {
    /// Waits for a future that ends when something comes from the worker.
    pub(crate) async fn wait<T>(
        &self,
        attempt: &WorkerAttempt,
        awaited: impl Future<Output = T>,
    ) -> Result<T, WatchError> {
        let since = Instant::now();
        tokio::pin!(awaited);
        if self.history.is_last(self.request) {
            let result = tokio::time::timeout_at(self.request.deadline(), awaited).await;
            return result.map_err(|_| WatchError::Deadline);
        }
        let timeout = self.timeout;
        let mut limit = since + timeout;
        loop {
            let deadline = self.request.deadline();
            let waiting = tokio::time::timeout_at(limit.min(deadline), awaited.as_mut());
            if let Ok(result) = waiting.await {
                return Ok(result);
            }
            if Instant::now() >= deadline {
                return Err(WatchError::Deadline);
            }
            let busy = self.core.has_progress(&attempt.worker.id, timeout / 2);
            let tolerated = busy && since.elapsed() < timeout * self.busy_factor;
            if !tolerated && self.core.budget.take(Instant::now()) {
                return Err(WatchError::NoProgress);
            }
            limit += timeout / 2;
        }
    }
}
