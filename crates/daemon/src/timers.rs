//! Measures how late this process's timers run.
//!
//! A process that gets too little processor time sends its probes and reads their answers late, so
//! that nodes seem silent to it. The delay of its timers shows this, since no other process is
//! involved in them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::DaemonCore;

/// Time for which the timer whose delay is measured is set.
const TIMER_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest delay that is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(250);

/// The recent delays of this process's timers.
#[derive(Debug, Default)]
pub(crate) struct TimerDelays {
    /// When each timer fired and how late it was, the oldest first.
    recent: VecDeque<(Instant, Duration)>,
}

impl TimerDelays {
    /// Records that a timer fired late by this time, and forgets timers that fired longer ago than
    /// `kept`.
    fn record(&mut self, delay: Duration, kept: Duration, now: Instant) {
        self.recent.push_back((now, delay));
        while let Some((fired, _)) = self.recent.front()
            && now.saturating_duration_since(*fired) > kept
        {
            self.recent.pop_front();
        }
    }

    /// Returns the longest of the recent delays.
    pub(crate) fn longest(&self) -> Duration {
        self.recent.iter().map(|(_, delay)| *delay).max().unwrap_or_default()
    }
}

/// Measures the delay of a timer again and again.
pub(crate) async fn watch_timers(core: Arc<DaemonCore>) {
    loop {
        let due = Instant::now() + TIMER_INTERVAL;
        tokio::time::sleep_until(due).await;
        let now = Instant::now();
        let delay = now.saturating_duration_since(due);
        core.timer_delays().record(delay, core.lease(), now);
        core.telemetry.record_timer_delay(delay);
        if delay >= LOGGED_DELAY {
            log::warn!("event=timer_late delay_ms={}", delay.as_millis());
        }
    }
}
