//! Limits how many loads from the weight store begin.
//!
//! Invariant: within any window no more loads begin than the store allows,
//! whatever the order in which they are asked for.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Part of the allowed rate that is used, so that orders which arrive late do not pass it.
const USED_SHARE: f64 = 0.9;

/// Counts the loads that began lately and those that still run.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    window: Duration,
    begun: VecDeque<Instant>,
    running: Vec<Instant>,
}

impl LoadLimiter {
    /// Creates a limiter for a window of this length.
    pub fn new(window: Duration) -> Self {
        Self { window, begun: VecDeque::new(), running: Vec::new() }
    }

    /// Takes one load if the rate, in loads a second, and the number at once allow it.
    pub fn take(&mut self, rate: f64, at_once: usize, length: Duration, now: Instant) -> bool {
        while self.begun.front().is_some_and(|at| now.duration_since(*at) >= self.window) {
            self.begun.pop_front();
        }
        self.running.retain(|end| *end > now);
        let most = (rate * self.window.as_secs_f64() * USED_SHARE).floor().max(1.0) as usize;
        if self.begun.len() >= most || self.running.len() >= at_once {
            return false;
        }
        self.begun.push_back(now);
        self.running.push(now + length);
        true
    }
}
