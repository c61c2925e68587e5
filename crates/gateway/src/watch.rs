//! Progress timeout: waits for a worker, and abandons it if it sends nothing for too long.
//!
//! A worker is abandoned only if another attempt may follow and the retry budget allows it: its
//! answer may still arrive, and a request that cannot be retried would fail for nothing.

use std::time::Duration;

use hollowbarrow_routing::retry::AttemptUpstreamError;
use tokio::time::Instant;

use crate::attempt::AttemptHistory;
use crate::core::GatewayCore;
use crate::flight::WorkerAttempt;
use crate::request::CallerRequest;

/// A wait for a worker, bounded by a progress timeout.
pub(crate) struct ProgressWatch<'a> {
    pub(crate) core: &'a GatewayCore,
    pub(crate) request: &'a CallerRequest,
    pub(crate) history: &'a AttemptHistory,
    /// Time without progress after which the worker is abandoned.
    pub(crate) timeout: Duration,
    /// Multiple of the timeout that is allowed while the worker makes progress on other answers.
    pub(crate) busy_factor: u32,
}

/// Why a wait ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchError {
    /// The request's deadline passed.
    Deadline,
    /// The progress timeout passed; the next attempt is already charged to the retry budget.
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
    /// Waits for a future that completes when the worker has sent something.
    ///
    /// # Errors
    ///
    /// Fails at the request's deadline, or at the progress timeout if another attempt is allowed.
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
