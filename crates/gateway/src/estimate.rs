//! What follows from an engine's figures, and from how often a model is asked for.

use std::time::Duration;

use hollowbarrow_fleet::{Engine, ModelSpec};
use tokio::time::Instant;

/// Time after which gateways have surely heard what another one began: its report, its home's, the
/// leader's view and the ways between them.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// Time over which arrivals are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// How often a model is asked for here: a count that decays with time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalRate {
    count: f64,
    updated: Instant,
}

impl ArrivalRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self { count: 0.0, updated: now }
    }

    /// Counts a request.
    pub(crate) fn record(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated = now;
    }

    /// Requests that came within the time of hearing, the newest one left out: it is there because
    /// it came, and says nothing of the others.
    pub(crate) fn unreported(&self, now: Instant) -> f64 {
        (self.decayed(now) - 1.0).max(0.0) * REPORT_DELAY.div_duration_f64(AVERAGING_TIME)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.count * (-elapsed.div_duration_f64(AVERAGING_TIME)).exp()
    }
}

/// Requests that gateways begin at a model's replicas before they hear of each other, where as many
/// come as end: none where the length of answers is not known.
pub(crate) fn unreported_arrivals(
    engine: &Engine,
    spec: &ModelSpec,
    active: u32,
    replicas: usize,
) -> Option<f64> {
    let each = f64::from(active) / replicas.max(1) as f64;
    let answer_ms = engine.step_ms(spec, each) * f64::from(engine.usual_answer);
    let delay_ms = REPORT_DELAY.as_secs_f64() * 1000.0;
    (answer_ms > 0.0).then(|| f64::from(active) * delay_ms / answer_ms)
}
