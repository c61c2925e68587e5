//! Logs that clients were closed or refused, in a bounded number of lines.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What has happened since the last line.
#[derive(Debug, Default)]
pub(crate) struct PressureLog {
    logged: Option<Instant>,
    closed: u64,
    refused: u64,
}

impl PressureLog {
    /// Records that a connection was closed for another one.
    pub(crate) fn record_closed(&mut self, listener: &'static str, held: usize, now: Instant) {
        self.closed += 1;
        self.log(listener, held, now);
    }

    /// Records that a connection or a request was refused for want of memory.
    pub(crate) fn record_refused(&mut self, held: usize, now: Instant) {
        self.refused += 1;
        self.log("-", held, now);
    }

    fn log(&mut self, listener: &'static str, held: usize, now: Instant) {
        if self.logged.is_some_and(|last| now.saturating_duration_since(last) < LOG_INTERVAL) {
            return;
        }
        log::warn!(
            "event=clients_pressed listener={listener} closed={} refused={} held_bytes={held}",
            self.closed,
            self.refused
        );
        *self = Self { logged: Some(now), closed: 0, refused: 0 };
    }
}
