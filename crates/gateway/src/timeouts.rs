//! Decides how long a silent worker is waited for.
//!
//! Load pattern: a replica that loses a member stands still with all that it has under way, every
//! few seconds on a fleet that loses workers. Its streams go on at another replica.
//!
//! Trade-off: a stream is in time only if it is moved within its route's pause, but moving streams
//! as soon as a silence is unexplained (after 2.5 passes) moved twice as many as replicas had stood
//! still, for prompts hold passes up too, and cost 1.3 in 100 of the worth of five days with four
//! seeds each. So the patience is several passes.

use std::time::Duration;

/// Shortest silence of a started stream after which it counts as stalled.
const MIN_TIMEOUT: Duration = Duration::from_millis(700);
/// Passes of silence after which it does.
const GAP_ITERATIONS: f64 = 8.0;
/// Time for the first event beyond its estimate, as a multiple of the estimate.
const FIRST_EVENT_FACTOR: f64 = 3.0;

/// Objectives that a call may take before its worker counts as hanging.
const OBJECTIVE_FACTOR: f64 = 1.5;

/// Silence after which a worker is given up that has sent nothing of an answer yet, whose first
/// event was expected after so many milliseconds.
pub(crate) fn first_event_timeout(first_event_ms: f64) -> Duration {
    milliseconds(first_event_ms * FIRST_EVENT_FACTOR) + MIN_TIMEOUT
}

/// Silence after which a stream that has begun is given up, where a pass takes so many
/// milliseconds.
pub(crate) fn event_gap_timeout(iteration_ms: f64) -> Duration {
    milliseconds(iteration_ms * GAP_ITERATIONS).max(MIN_TIMEOUT)
}

/// Silence after which a worker is given up that runs a call whose answer comes whole, with so much
/// time left for it and this objective.
///
/// A worker that hangs answers nothing until the deadline; a second one has the time for an answer
/// where the first leaves it two thirds. Calls that take longer than usual are not moved.
pub(crate) fn answer_timeout(left: Duration, objective: Duration) -> Duration {
    (left / 3).max(objective.mul_f64(OBJECTIVE_FACTOR))
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
