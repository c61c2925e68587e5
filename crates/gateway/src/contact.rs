//! Detects that no leader's views reach this gateway, which then cannot learn of newer
//! configurations.

use std::time::Duration;

use tokio::time::Instant;

/// Time without a view after which that is logged: longer than an election takes.
const MISSING_AFTER: Duration = Duration::from_secs(2);

/// A change of the contact with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactChange {
    /// No view has been received for too long.
    Lost,
    /// Views are received again.
    Regained {
        /// Time since the view before.
        after: Duration,
    },
}

/// Tracks the time since the latest view.
#[derive(Clone, Copy, Debug)]
pub struct ContactTracker {
    /// Time of the latest view, or the start of this process.
    since: Instant,
    lost: bool,
}

impl ContactTracker {
    /// Creates the tracker of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self { since: now, lost: false }
    }

    /// Records when the latest view was received, if any was; returns what changed.
    pub fn observe(&mut self, latest: Option<Instant>, now: Instant) -> Option<ContactChange> {
        let former = self.since;
        self.since = latest.map_or(former, |at| at.max(former));
        let lost = now.saturating_duration_since(self.since) > MISSING_AFTER;
        if lost == std::mem::replace(&mut self.lost, lost) {
            return None;
        }
        let after = self.since.saturating_duration_since(former);
        Some(if lost { ContactChange::Lost } else { ContactChange::Regained { after } })
    }
}
