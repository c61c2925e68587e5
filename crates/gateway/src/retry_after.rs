//! Computes the Retry-After delay of refused callers.
//!
//! Load pattern: more requests than slots for seconds, after workers were lost or after all
//! processes of the system terminated. Most callers retry once. With a delay of a few hundred
//! milliseconds the retries find the workers still full, and nearly all arrive at the same moment.
//!
//! A late answer has the same value whenever it arrives before its deadline. What matters is that
//! the retry is served, so retries are spread over a good part of the remaining time. Requests do
//! not queue at the gateway: that delays later requests, and served 1.2 in 100 fewer.

use std::time::Duration;

/// Mean delay, as a fraction of the remaining time. Callers accept a delay of up to a third of it,
/// and the request itself needs most of the rest.
const MEAN_FRACTION: f64 = 0.2;
/// Largest deviation from the mean delay, as a fraction of it, so that callers do not retry at the
/// same time.
const SPREAD: f64 = 0.4;

/// Returns the delay before a caller's retry, with this time left; `draw` is random from 0 to 1.
pub fn retry_delay(left: Duration, draw: f64) -> Duration {
    left.mul_f64(MEAN_FRACTION * (1.0 + SPREAD * (2.0 * draw.clamp(0.0, 1.0) - 1.0)))
}

/// Returns the jitter that is added to a delay with a fixed minimum, with this time left; `draw` is
/// random from 0 to 1. It keeps callers from retrying all at once when the backoff of workers ends.
pub fn retry_jitter(left: Duration, draw: f64) -> Duration {
    left.mul_f64(MEAN_FRACTION * SPREAD * draw.clamp(0.0, 1.0))
}
