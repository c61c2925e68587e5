//! Recent hashes of a controller's worker table.
//!
//! Updates take a while to arrive, so a daemon whose table hash is one of these is about to have the
//! same table and needs nothing. Only a daemon that keeps reporting other hashes has missed an
//! update.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time for an update to arrive and for the resulting table hash to be reported back.
const ROUND_TRIP_LIMIT: Duration = Duration::from_millis(1000);

/// Hashes that the table had within the last `ROUND_TRIP_LIMIT`.
#[derive(Clone, Debug, Default)]
pub struct TableHashHistory {
    recent: VecDeque<(u64, Instant)>,
}

impl TableHashHistory {
    /// Records the table's hash when updates are sent.
    pub fn record(&mut self, hash: u64, now: Instant) {
        self.drop_old(now);
        if self.recent.back().is_none_or(|(last, _)| *last != hash) {
            self.recent.push_back((hash, now));
        }
    }

    /// Whether a daemon that reports `hash` has missed no update, if the table's hash is `local`.
    pub fn covers(&mut self, hash: u64, local: u64, now: Instant) -> bool {
        self.drop_old(now);
        hash == local || self.recent.iter().any(|(recent, _)| *recent == hash)
    }

    /// Drops hashes that were replaced by another one before `ROUND_TRIP_LIMIT`.
    fn drop_old(&mut self, now: Instant) {
        let replaced_long_ago = |at: Instant| now.saturating_duration_since(at) > ROUND_TRIP_LIMIT;
        while self.recent.get(1).is_some_and(|(_, at)| replaced_long_ago(*at)) {
            self.recent.pop_front();
        }
    }
}
