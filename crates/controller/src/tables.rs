//! Limits the rate at which full worker tables are sent to daemons that missed updates.
//!
//! The table of a large fleet has many kilobytes. If many daemons return at once, each gets the
//! table in turn, and none gets another one before it can have processed the last.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::DaemonId;
use tokio::time::Instant;

/// Shortest time between two tables for one daemon.
const TABLE_INTERVAL: Duration = Duration::from_millis(1000);
/// Tables that are sent at once.
const MAX_TABLES_AT_ONCE: usize = 8;

/// Daemons that need the full table.
#[derive(Clone, Debug, Default)]
pub struct TableRequests {
    due: BTreeSet<DaemonId>,
    sent: BTreeMap<DaemonId, Instant>,
}

impl TableRequests {
    /// Records that a daemon needs the table.
    pub fn request(&mut self, id: &DaemonId) {
        self.due.insert(id.clone());
    }

    /// Takes the daemons to send the table to now.
    pub fn take_due(&mut self, now: Instant) -> Vec<DaemonId> {
        self.sent.retain(|_, at| now.saturating_duration_since(*at) < TABLE_INTERVAL);
        let ready = self.due.iter().filter(|id| !self.sent.contains_key(*id));
        let ready: Vec<DaemonId> = ready.take(MAX_TABLES_AT_ONCE).cloned().collect();
        for id in &ready {
            self.due.remove(id);
            self.sent.insert(id.clone(), now);
        }
        ready
    }
}
