//! What is under way at a worker, as one gateway knows it.
//!
//! A replica that lost a member goes on to take requests while nothing moves. It shows in what
//! has come of its answers lately, here or at other gateways, long before it is proved.

use std::time::Duration;

use tokio::time::Instant;

/// Passes without anything of an answer after which a worker seems to stand still.
const STALLED_ITERATIONS: f64 = 2.5;
/// Weight of the newest outcome in a worker's share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Time in which that share halves where no further outcome comes.
const FAILING_HALF_LIFE: Duration = Duration::from_secs(10);
/// Silence that is borne beyond that where this gateway's own answers are awaited.
const LOCAL_SLACK: Duration = Duration::from_millis(120);
/// The same for what other gateways told, which is older.
const SHARED_SLACK: Duration = Duration::from_millis(350);

/// What this gateway knows of a worker by its own requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalLoad {
    pub(crate) active: u32,
    pub(crate) waiting_ms: f64,
    /// When something of an answer last came.
    pub(crate) progress: Option<Instant>,
    /// Since when requests have been under way without a break.
    pub(crate) busy_since: Option<Instant>,
    /// Share of failures when it last changed, and when that was.
    failing: f64,
    failing_changed: Option<Instant>,
    pub(crate) failures: u32,
    pub(crate) ejected_until: Option<Instant>,
}

/// What all gateways together have under way at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SharedLoad {
    pub(crate) active: u32,
    pub(crate) waiting_ms: f64,
    /// When something of an answer last came to any gateway.
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

    /// Share of failures now. It fades while nothing is sent: a worker that works again would not be
    /// chosen for what it failed before, and could not show it.
    pub(crate) fn failing(&self, now: Instant) -> f64 {
        let age =
            self.failing_changed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.failing * 0.5f64.powf(age.as_secs_f64() / FAILING_HALF_LIFE.as_secs_f64())
    }

    /// Notes whether a request failed.
    pub(crate) fn record_result(&mut self, failed: bool, now: Instant) {
        let outcome = if failed { 1.0 } else { 0.0 };
        let failing = self.failing(now);
        self.failing = failing + OUTCOME_WEIGHT * (outcome - failing);
        self.failing_changed = Some(now);
    }

    /// Since when an answer has been awaited in vain, if one is.
    fn silent_since(&self) -> Option<Instant> {
        let busy = self.busy_since.filter(|_| self.active > 0)?;
        Some(self.progress.map_or(busy, |at| at.max(busy)))
    }
}

/// Whether nothing has come from a worker for longer than its passes and the prompts that it has
/// to read explain.
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

/// Time within which something should come from a worker that is busy.
pub(crate) fn expected_silence_ms(iteration_ms: f64, waiting_ms: f64) -> f64 {
    iteration_ms * STALLED_ITERATIONS + waiting_ms
}
