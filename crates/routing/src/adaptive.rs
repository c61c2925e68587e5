//! Adapts the number of requests that one upstream may have in flight.

/// Lower bound of the limit.
const MIN_LIMIT: f64 = 2.0;
/// Upper bound of the limit.
const MAX_LIMIT: f64 = 1024.0;
/// Factor applied to the limit after a refusal.
const DECREASE: f64 = 0.7;
/// Multiple of the average first-token time from which an answer counts as congestion.
const SLOW_FACTOR: f64 = 4.0;
/// Weight of a new sample in the average first-token time.
const SMOOTHING: f64 = 0.05;

/// A limit that grows by one for each limit's worth of successes and shrinks after refusals.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    usual_ms: Option<f64>,
}

impl AdaptiveLimit {
    /// Creates a limit with an initial number of requests.
    pub fn new(initial: u32) -> Self {
        Self { limit: f64::from(initial).clamp(MIN_LIMIT, MAX_LIMIT), usual_ms: None }
    }

    /// Returns the number of requests that the upstream may have in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Records an answer: the time to its first byte and the requests then in flight.
    pub fn record_answer(&mut self, first_ms: f64, in_flight: u32) {
        let usual = self.usual_ms.get_or_insert(first_ms);
        let slow = first_ms > *usual * SLOW_FACTOR;
        *usual += (first_ms - *usual) * SMOOTHING;
        if slow {
            self.decrease();
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            // Only a limit that is in use has shown that it can be raised.
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Records that the upstream refused a request for lack of capacity.
    pub fn record_refusal(&mut self) {
        self.decrease();
    }

    fn decrease(&mut self) {
        self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
    }
}
