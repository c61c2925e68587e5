//! Notices that the machine was suspended.
//!
//! The clock of the runtime stands still while a machine is suspended, so that everything measured
//! by it seems as fresh afterwards as before: a majority's confirmation, a view, a deadline. The
//! boot clock goes on. By how much more it has gone on is the time of all suspensions.
//!
//! Invariant: whoever asks before acting on what was believed learns of a suspension first.

use std::sync::Mutex;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Shortest suspension that counts: heartbeats and confirmations are late by as much on a machine
/// that is busy, and nothing breaks.
const LEAST_SUSPENSION: Duration = Duration::from_millis(50);

/// Readings of the clocks from which a watch begins.
const FIRST_READINGS: usize = 5;

/// Tells for how long the machine was suspended since it started.
pub trait SuspensionClock: Send + Sync {
    /// Time of all suspensions so far; may tell a little less, and never more.
    fn suspended(&self) -> Duration;
}

/// The clocks of the system.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl SuspensionClock for BootClock {
    fn suspended(&self) -> Duration {
        // The boot clock is read first: a pause between the two readings makes the difference
        // smaller, never larger.
        let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from);
        match (boot, steady) {
            (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
            // Both have been there since Linux 2.6.39.
            _ => Duration::ZERO,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct WakeState {
    suspended: Duration,
    woke: Option<Instant>,
}

/// Knows when the machine last woke.
pub struct SuspensionDetector {
    clock: Box<dyn SuspensionClock>,
    state: Mutex<WakeState>,
}

impl SuspensionDetector {
    /// Watches the clocks of the system.
    pub fn new() -> Self {
        Self::with_clock(BootClock)
    }

    /// Watches another clock.
    pub fn with_clock(clock: impl SuspensionClock + 'static) -> Self {
        // What is told too little once would look like a suspension the next time.
        let readings = (0..FIRST_READINGS).map(|_| clock.suspended());
        let suspended = readings.max().unwrap_or_default();
        let state = WakeState { suspended, woke: None };
        Self { clock: Box::new(clock), state: Mutex::new(state) }
    }

    /// When the machine was last noticed to have woken, by the clock of the runtime; none if it has
    /// not been suspended since this watch began. To be asked before acting on what was heard.
    pub fn last_resumed(&self, now: Instant) -> Option<Instant> {
        let suspended = self.clock.suspended();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let length = suspended.saturating_sub(state.suspended);
        if length >= LEAST_SUSPENSION {
            log::warn!("event=suspended length_ms={}", length.as_millis());
            *state = WakeState { suspended, woke: Some(now) };
        }
        state.woke
    }

    /// Time of all suspensions of the machine that were noticed so far.
    pub fn suspended(&self, now: Instant) -> Duration {
        self.last_resumed(now);
        self.state.lock().expect("no holder of the lock panics").suspended
    }

    /// Whether something that was true at some moment may have become false unseen since.
    pub fn was_suspended_since(&self, at: Instant, now: Instant) -> bool {
        self.last_resumed(now).is_some_and(|woke| woke >= at)
    }
}

impl Default for SuspensionDetector {
    fn default() -> Self {
        Self::new()
    }
}
