//! What follows from an engine's figures, and from how often a model is asked for.

use std::time::Duration;

use hollowbarrow_fleet::{Engine, ModelSpec};
use tokio::time::Instant;

/// Time after which gateways have surely heard what another one began: its report, its home's, the
/// leader's view and the ways between them.
const HEARING_TIME: Duration = Duration::from_millis(250);

/// Time over which arrivals are averaged.
const ARRIVALS_TIME: Duration = Duration::from_secs(1);

/// How often a model is asked for here: a count that decays with time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalRate {
    count: f64,
    counted: Instant,
}

impl ArrivalRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self { count: 0.0, counted: now }
    }

    /// Counts a request.
    pub(crate) fn note(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.counted = now;
    }

    /// Requests that came within the time of hearing, the newest one left out: it is there because
    /// it came, and says nothing of the others.
    pub(crate) fn unheard(&self, now: Instant) -> f64 {
        (self.decayed(now) - 1.0).max(0.0) * HEARING_TIME.div_duration_f64(ARRIVALS_TIME)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.counted);
        self.count * (-elapsed.div_duration_f64(ARRIVALS_TIME)).exp()
    }
}

/// Requests that gateways begin at a model's replicas before they hear of each other, where as many
/// come as end: none where the length of answers is not known.
pub(crate) fn arrivals_unheard(
    engine: &Engine,
    spec: &ModelSpec,
    active: u32,
    replicas: usize,
) -> Option<f64> {
    let each = f64::from(active) / replicas.max(1) as f64;
    let usual_ms = engine.step_ms(spec, each) * f64::from(engine.mean_answer_tokens);
    let hearing_ms = HEARING_TIME.as_secs_f64() * 1000.0;
    (usual_ms > 0.0).then(|| f64::from(active) * hearing_ms / usual_ms)
}
