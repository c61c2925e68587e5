//! Progress timeout: waits for a worker, and abandons it if it sends nothing for too long.
//!
//! A worker is abandoned only if another attempt may follow, the retry budget allows it and another
//! worker has capacity: its answer may still arrive, and a request that cannot be retried would fail
//! for nothing.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_routing::PERMIT_WAIT_TIMEOUT;
use hollowbarrow_schema::WorkerId;
use tokio::time::Instant;

use crate::attempt::{AttemptHistory, NoReplacement, reserve_replacement, target_of};
use crate::core::GatewayCore;
use crate::flight::WorkerAttempt;
use crate::request::CallerRequest;

/// A wait for a worker, bounded by a progress timeout.
pub(crate) struct ProgressWatch<'a> {
    pub(crate) core: &'a Arc<GatewayCore>,
    pub(crate) request: &'a CallerRequest,
    pub(crate) history: &'a AttemptHistory,
    /// Time without progress after which the worker is abandoned.
    pub(crate) timeout: Duration,
    /// Multiple of the timeout that is allowed while the worker makes progress on other answers.
    pub(crate) busy_factor: u32,
}

/// Why a wait ended without a result.
pub(crate) enum WatchError {
    /// The request's deadline passed.
    Deadline,
    /// The progress timeout passed, and this attempt replaces the one in progress.
    NoProgress(WorkerAttempt),
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
        let timeout = self.timeout;
        if self.history.is_last(self.request) {
            let early = (since + timeout).min(self.request.deadline());
            if let Ok(result) = tokio::time::timeout_at(early, awaited.as_mut()).await {
                return Ok(result);
            }
            self.check_path(attempt);
            let result = tokio::time::timeout_at(self.request.deadline(), awaited).await;
            return result.map_err(|_| WatchError::Deadline);
        }
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
            self.check_path(attempt);
            let busy = self.core.has_progress(&attempt.worker.id, timeout / 2);
            let tolerated = busy && since.elapsed() < timeout * self.busy_factor;
            limit += timeout / 2;
            if tolerated {
                continue;
            }
            match reserve_replacement(self.core, self.request, self.history, &attempt.worker.id) {
                Ok(next) => return Err(WatchError::NoProgress(next)),
                Err(NoReplacement::NeedsPermit) => limit = Instant::now() + PERMIT_WAIT_TIMEOUT,
                Err(NoReplacement::Unavailable) => {}
            }
        }
    }

    /// Checks whether the silence is that of the gateway's own path, unless it has received something
    /// from another worker of the service.
    fn check_path(&self, attempt: &WorkerAttempt) {
        let recent = self.timeout / 2;
        let service: &str = &self.request.service.name;
        let targets = self.core.picker().targets();
        let others = targets.get(service).map_or(&[][..], Vec::as_slice);
        let heard = |name: &str| self.core.has_progress(&WorkerId::from(name), recent);
        if !others.iter().any(|other| heard(&other.name)) {
            self.core.reach.check_upstream(target_of(self.request, &attempt.worker));
        }
    }
}
