//! Progress timeouts: how long a gateway waits for a worker that sends nothing.
//!
//! Load pattern: a replica that loses a member stalls with all its requests in flight. In a fleet
//! that loses workers this happens every few seconds. Its streams resume at another replica.
//!
//! Trade-off: a stream meets its objective only if it is moved within its route's longest gap
//! between events. But prompts delay decoding iterations too: moving streams after 2.5 iterations
//! without an event moved twice as many streams as were stalled, and cost 1.3 in 100 of the value
//! of the answers. So the timeout is several iterations.

use std::time::Duration;

/// Shortest time without an event after which a started stream counts as stalled.
const MIN_TIMEOUT: Duration = Duration::from_millis(700);
/// Decoding iterations without an event after which a started stream counts as stalled.
const GAP_ITERATIONS: f64 = 8.0;
/// Timeout for the first event, as a multiple of its estimated time.
const FIRST_EVENT_FACTOR: f64 = 3.0;

/// Multiple of the objective that a call may take before its worker counts as hanging.
const OBJECTIVE_FACTOR: f64 = 1.5;

/// Returns the timeout for the first event, which is expected after `first_event_ms`.
pub(crate) fn first_event_timeout(first_event_ms: f64) -> Duration {
    milliseconds(first_event_ms * FIRST_EVENT_FACTOR) + MIN_TIMEOUT
}

/// Returns the timeout between events of a started stream, with decoding iterations of
/// `iteration_ms`.
pub(crate) fn event_gap_timeout(iteration_ms: f64) -> Duration {
    milliseconds(iteration_ms * GAP_ITERATIONS).max(MIN_TIMEOUT)
}

/// Returns the timeout for a call with a buffered answer, with this time left and this objective.
///
/// A hanging worker does not answer before the deadline. A second worker has enough time if the
/// first one leaves it two thirds. The objective is a lower bound, so that calls which merely take
/// longer than usual are not moved.
pub(crate) fn answer_timeout(left: Duration, objective: Duration) -> Duration {
    (left / 3).max(objective.mul_f64(OBJECTIVE_FACTOR))
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
