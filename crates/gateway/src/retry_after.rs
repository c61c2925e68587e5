//! Decides when a caller that is refused should come back.
//!
//! Load pattern: more requests than places for seconds, after workers were lost or after all
//! processes of the system ended. Most callers come back once. Those told to come back within a
//! few hundred milliseconds found the same want of places, and nearly all at the same moment.
//!
//! An answer that is late is worth the same whenever it comes within its deadline, so what counts
//! is that the second try is served: it is spread over a good part of the time that is left. Nothing
//! waits at the gateway: that held up what came after, and served 1.2 in 100 less.

use std::time::Duration;

/// Part of the time that is left after which a caller comes back, in the mean: callers heed up to a
/// third of it, and the work itself needs the most of the rest.
const MEAN_FRACTION: f64 = 0.2;
/// Largest difference from that mean, as a part of it, so that callers do not come back together.
const SPREAD: f64 = 0.4;

/// Pause before a caller's next try, with so much time left to it; `draw` is from 0 to 1.
pub fn retry_delay(left: Duration, draw: f64) -> Duration {
    left.mul_f64(MEAN_FRACTION * (1.0 + SPREAD * (2.0 * draw.clamp(0.0, 1.0) - 1.0)))
}

/// Time by which callers that must not come back before a moment come later than that, with so much
/// time left to them; `draw` is from 0 to 1. Workers that have asked for no requests until then are
/// not met by all callers together.
pub fn retry_jitter(left: Duration, draw: f64) -> Duration {
    left.mul_f64(MEAN_FRACTION * SPREAD * draw.clamp(0.0, 1.0))
}
