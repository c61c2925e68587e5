//! Paces whole tables of workers to daemons that lack something.
//!
//! A table of a large fleet has many kilobytes. Where many daemons come back at once, each gets
//! one after a while, and none gets another before it can have taken the last one in.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::DaemonId;
use tokio::time::Instant;

/// Shortest time between two tables to one daemon.
const TABLE_PAUSE: Duration = Duration::from_millis(1000);
/// Tables that go out at once.
const TABLES_AT_ONCE: usize = 8;

/// Daemons that need the whole table.
#[derive(Clone, Debug, Default)]
pub struct TableRequests {
    due: BTreeSet<DaemonId>,
    sent: BTreeMap<DaemonId, Instant>,
}

impl TableRequests {
    /// Notes that a daemon needs the table.
    pub fn ask(&mut self, id: &DaemonId) {
        self.due.insert(id.clone());
    }

    /// Daemons to send the table to now.
    pub fn take(&mut self, now: Instant) -> Vec<DaemonId> {
        self.sent.retain(|_, at| now.saturating_duration_since(*at) < TABLE_PAUSE);
        let ready = self.due.iter().filter(|id| !self.sent.contains_key(*id));
        let ready: Vec<DaemonId> = ready.take(TABLES_AT_ONCE).cloned().collect();
        for id in &ready {
            self.due.remove(id);
            self.sent.insert(id.clone(), now);
        }
        ready
    }
}
