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

/// Time of one pass of a replica that works on so many requests, in milliseconds.
pub(crate) fn pass_ms(engine: &Engine, spec: &ModelSpec, active: u32) -> f64 {
    step_ms(engine, spec, f64::from(active)) * f64::from(engine.stride.max(1))
}

/// Time to read a prompt, in milliseconds.
pub(crate) fn reading_ms(engine: &Engine, spec: &ModelSpec, tokens: u32) -> f64 {
    f64::from(tokens) * 1000.0 / engine.read_per_second.max(1.0) * spec.pace
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
    let usual_ms = step_ms(engine, spec, each) * f64::from(engine.usual_answer);
    let hearing_ms = HEARING_TIME.as_secs_f64() * 1000.0;
    (usual_ms > 0.0).then(|| f64::from(active) * hearing_ms / usual_ms)
}

/// Time of one token of each of so many requests, in milliseconds.
fn step_ms(engine: &Engine, spec: &ModelSpec, active: f64) -> f64 {
    let step = engine.step.as_secs_f64() * 1000.0;
    (step + engine.step_per_request_ms * active) * spec.pace
}
