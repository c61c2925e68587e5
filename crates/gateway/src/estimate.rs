//! Estimates of the requests that gateways begin before they see each other's load.

use std::time::Duration;

use hollowbarrow_fleet::{Engine, ModelSpec};
use tokio::time::Instant;

/// Upper bound on the delay until other gateways see a request that one began: its report, that of
/// its primary controller, the leader's view and the network latency between them.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// Time constant over which arrivals are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Request rate for a model at this gateway: a count that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalRate {
    count: f64,
    updated: Instant,
}

impl ArrivalRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self { count: 0.0, updated: now }
    }

    /// Records a request.
    pub(crate) fn record(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated = now;
    }

    /// Returns the estimated number of requests within the report delay. The newest one is left out:
    /// the estimate is taken because it arrived, so counting it would bias the rate.
    pub(crate) fn unreported(&self, now: Instant) -> f64 {
        (self.decayed(now) - 1.0).max(0.0) * REPORT_DELAY.div_duration_f64(AVERAGING_TIME)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.count * (-elapsed.div_duration_f64(AVERAGING_TIME)).exp()
    }
}

/// Estimates the requests that all gateways begin at a model's replicas within the report delay,
/// assuming that as many begin as end; `None` if the usual length of answers is unknown.
pub(crate) fn unreported_arrivals(
    engine: &Engine,
    spec: &ModelSpec,
    active: u32,
    replicas: usize,
) -> Option<f64> {
    let each = f64::from(active) / replicas.max(1) as f64;
    let answer_ms = engine.step_ms(spec, each) * f64::from(engine.mean_answer_tokens);
    let delay_ms = REPORT_DELAY.as_secs_f64() * 1000.0;
    (answer_ms > 0.0).then(|| f64::from(active) * delay_ms / answer_ms)
}
