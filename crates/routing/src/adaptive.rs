//! How many requests one upstream gets at once.

/// Least requests that an upstream is given.
const MIN_LIMIT: f64 = 2.0;
/// Most requests that an upstream is given.
const MAX_LIMIT: f64 = 1024.0;
/// What is left of the limit after a refusal.
const DECREASE: f64 = 0.7;
/// A first token this many times slower than usual counts as congestion.
const SLOW_FACTOR: f64 = 4.0;
/// Weight of a new measurement in the usual first-token time.
const SMOOTHING: f64 = 0.05;

/// Limit that grows by one for each limit's worth of successes and shrinks at refusals.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    usual_ms: Option<f64>,
}

impl AdaptiveLimit {
    /// Creates a limit with the number of requests to begin with.
    pub fn new(initial: u32) -> Self {
        Self { limit: f64::from(initial).clamp(MIN_LIMIT, MAX_LIMIT), usual_ms: None }
    }

    /// Requests that the upstream may have at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Notes an answer and how long its first byte took, with the requests then in flight.
    pub fn record_answer(&mut self, first_ms: f64, in_flight: u32) {
        let usual = self.usual_ms.get_or_insert(first_ms);
        let slow = first_ms > *usual * SLOW_FACTOR;
        *usual += (first_ms - *usual) * SMOOTHING;
        if slow {
            self.decrease();
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            // Only a limit that is being used has shown that it can be raised.
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Notes that the upstream refused a request for lack of room.
    pub fn record_refusal(&mut self) {
        self.decrease();
    }

    fn decrease(&mut self) {
        self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
    }
}
