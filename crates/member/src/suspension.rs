//! Detects suspensions of the machine.
//!
//! The clock of the runtime (`CLOCK_MONOTONIC`) does not advance while the machine is suspended, so
//! that everything timed by it looks as recent after a suspension as before: a majority's
//! confirmation, a view, a deadline. The boot clock (`CLOCK_BOOTTIME`) continues during a
//! suspension; the difference between the two clocks is the total time of all suspensions.
//!
//! Invariant: a caller that queries the detector before it acts on recorded state learns of a
//! suspension before it acts.

use std::sync::Mutex;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Shortest suspension that is reported. Heartbeats and confirmations are delayed by as much on a
/// busy machine, without harm.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Number of clock readings from which the initial suspension time is taken.
const FIRST_READINGS: usize = 5;

/// Source of the total time for which the machine was suspended since it started.
pub trait SuspensionClock: Send + Sync {
    /// Returns the total time of all suspensions; may be slightly too low, never too high.
    fn suspended(&self) -> Duration;
}

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl SuspensionClock for BootClock {
    fn suspended(&self) -> Duration {
        // The boot clock is read first: a delay between the two readings makes the difference
        // smaller, never larger.
        let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from);
        match (boot, steady) {
            (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
            // Both clocks exist since Linux 2.6.39.
            _ => Duration::ZERO,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct SuspensionState {
    suspended: Duration,
    resumed: Option<Instant>,
}

/// Reports when the machine last resumed from a suspension.
pub struct SuspensionDetector {
    clock: Box<dyn SuspensionClock>,
    state: Mutex<SuspensionState>,
}

impl SuspensionDetector {
    /// Creates a detector that uses the operating system's clocks.
    pub fn new() -> Self {
        Self::with_clock(BootClock)
    }

    /// Creates a detector that uses the given clock.
    pub fn with_clock(clock: impl SuspensionClock + 'static) -> Self {
        // A first reading that is too low would make the next one look like a suspension.
        let readings = (0..FIRST_READINGS).map(|_| clock.suspended());
        let suspended = readings.max().unwrap_or_default();
        let state = SuspensionState { suspended, resumed: None };
        Self { clock: Box::new(clock), state: Mutex::new(state) }
    }

    /// Returns when a resume was last detected, by the clock of the runtime; none if the machine has
    /// not been suspended since the detector was created. Must be called before acting on received
    /// state.
    pub fn last_resumed(&self, now: Instant) -> Option<Instant> {
        let suspended = self.clock.suspended();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let length = suspended.saturating_sub(state.suspended);
        if length >= MIN_SUSPENSION {
            log::warn!("event=suspended length_ms={}", length.as_millis());
            *state = SuspensionState { suspended, resumed: Some(now) };
        }
        state.resumed
    }

    /// Returns the total time of all detected suspensions, including those before the detector was
    /// created.
    pub fn suspended(&self, now: Instant) -> Duration {
        self.last_resumed(now);
        self.state.lock().expect("no holder of the lock panics").suspended
    }

    /// Returns whether the machine was suspended since `at`, so that state observed at `at` may have
    /// become invalid unnoticed.
    pub fn was_suspended_since(&self, at: Instant, now: Instant) -> bool {
        self.last_resumed(now).is_some_and(|resumed| resumed >= at)
    }
}

impl Default for SuspensionDetector {
    fn default() -> Self {
        Self::new()
    }
}
