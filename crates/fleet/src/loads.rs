//! Limits the rate and the number of concurrent loads from the weight store.
//!
//! Invariant: within any window no more loads start than the store allows,
//! whatever the order in which they are requested.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Share of the allowed rate that is used, so that orders that arrive late do not exceed it.
const USED_SHARE: f64 = 0.9;

/// Counts the loads that started within the window and those that are still running.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    window: Duration,
    started: VecDeque<Instant>,
    running: Vec<Instant>,
}

impl LoadLimiter {
    /// Creates a limiter for windows of the given length.
    pub fn new(window: Duration) -> Self {
        Self { window, started: VecDeque::new(), running: Vec::new() }
    }

    /// Counts a load that runs for `length` and returns true, if the rate, in loads per second, and
    /// the limit of concurrent loads allow it.
    pub fn take(&mut self, rate: f64, at_once: usize, length: Duration, now: Instant) -> bool {
        while self.started.front().is_some_and(|at| now.duration_since(*at) >= self.window) {
            self.started.pop_front();
        }
        self.running.retain(|end| *end > now);
        let max_starts = (rate * self.window.as_secs_f64() * USED_SHARE).floor().max(1.0) as usize;
        if self.started.len() >= max_starts || self.running.len() >= at_once {
            return false;
        }
        self.started.push_back(now);
        self.running.push(now + length);
        true
    }
}
