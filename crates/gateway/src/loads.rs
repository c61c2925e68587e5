//! The load of a worker, as one gateway sees it.
//!
//! A replica that lost a member still accepts requests although it is stalled. The missing progress
//! of its answers, here and at other gateways, shows this long before the loss is confirmed.

use std::time::Duration;

use tokio::time::Instant;

/// Decoding iterations without progress of any answer after which a worker seems stalled.
const STALLED_ITERATIONS: f64 = 2.5;
/// Weight of the newest outcome in a worker's failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Time in which the failure rate halves without further outcomes.
const FAILING_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time without progress that is allowed beyond the expected one for this gateway's requests.
const LOCAL_SLACK: Duration = Duration::from_millis(120);
/// The same for the progress that other gateways report, which is older.
const SHARED_SLACK: Duration = Duration::from_millis(350);

/// Load and outcomes of this gateway's requests at a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalLoad {
    pub(crate) active: u32,
    pub(crate) waiting_ms: f64,
    /// When part of an answer was last received.
    pub(crate) progress: Option<Instant>,
    /// Since when there has always been a request in flight.
    pub(crate) busy_since: Option<Instant>,
    /// Failure rate at the time of its last change, `failing_changed`.
    failing: f64,
    failing_changed: Option<Instant>,
    pub(crate) failures: u32,
    pub(crate) ejected_until: Option<Instant>,
}

/// Load of a worker from several gateways.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SharedLoad {
    pub(crate) active: u32,
    pub(crate) waiting_ms: f64,
    /// When any gateway last received part of an answer.
    pub(crate) progress: Option<Instant>,
}

impl LocalLoad {
    pub(crate) fn begin(&mut self, prefill_ms: f64, now: Instant) {
        if self.active == 0 {
            self.busy_since = Some(now);
        }
        self.active += 1;
        self.waiting_ms += prefill_ms;
    }

    pub(crate) fn end(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    /// Returns the current failure rate. It decays without requests: else a recovered worker would
    /// not be chosen because of its old failures, and could not lower the rate.
    pub(crate) fn failing(&self, now: Instant) -> f64 {
        let age =
            self.failing_changed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.failing * 0.5f64.powf(age.as_secs_f64() / FAILING_HALF_LIFE.as_secs_f64())
    }

    /// Records whether a request failed.
    pub(crate) fn record_result(&mut self, failed: bool, now: Instant) {
        let outcome = if failed { 1.0 } else { 0.0 };
        let failing = self.failing(now);
        self.failing = failing + OUTCOME_WEIGHT * (outcome - failing);
        self.failing_changed = Some(now);
    }

    /// Returns since when requests have been in flight without progress; `None` without requests.
    fn silent_since(&self) -> Option<Instant> {
        let busy = self.busy_since.filter(|_| self.active > 0)?;
        Some(self.progress.map_or(busy, |at| at.max(busy)))
    }
}

/// Returns whether a worker has sent nothing for longer than its decoding iterations and waiting
/// prompts explain.
pub(crate) fn is_stalled(
    local: Option<&LocalLoad>,
    shared: &SharedLoad,
    expected_ms: f64,
    now: Instant,
) -> bool {
    let expected = Duration::from_secs_f64(expected_ms.max(0.0) / 1000.0);
    let silence = |since: Instant| now.saturating_duration_since(since);
    let local_since = local.and_then(LocalLoad::silent_since);
    if let Some(since) = local_since {
        return silence(since) > expected + LOCAL_SLACK;
    }
    let shared_since = shared.progress.filter(|_| shared.active > 0);
    shared_since.is_some_and(|since| silence(since) > expected + SHARED_SLACK)
}

/// Returns the time within which a busy worker is expected to send part of an answer.
pub(crate) fn expected_silence_ms(iteration_ms: f64, waiting_ms: f64) -> f64 {
    iteration_ms * STALLED_ITERATIONS + waiting_ms
}
