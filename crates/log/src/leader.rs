//! Leader state: replication progress of the followers, and heartbeat rounds.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, LogIndex};
use tokio::time::Instant;

use crate::replica::decay;

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub(crate) struct FollowerProgress {
    /// Next index to send.
    pub(crate) next: LogIndex,
    /// Highest index known to be synced on the follower.
    pub(crate) matched: LogIndex,
    /// Whether the follower was counted in a quorum in this term; if its disk is empty later, it was
    /// lost.
    pub(crate) counted: bool,
    /// Whether the follower's last reply may be counted in a quorum; none before the first reply.
    pub(crate) counts: Option<bool>,
    /// Time of the follower's last reply.
    pub(crate) contact: Option<Instant>,
    /// Latest heartbeat round that the follower echoed.
    pub(crate) round: u64,
    /// Time at which a snapshot was last sent, so that it is not sent with each heartbeat.
    pub(crate) snapshot_sent: Option<Instant>,
}

/// State of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderRole {
    pub(crate) progress: BTreeMap<DaemonId, FollowerProgress>,
    /// Highest index synced by the leader itself.
    pub(crate) synced: LogIndex,
    pub(crate) next_heartbeat: Instant,
    /// Current heartbeat round.
    pub(crate) round: u64,
    /// Start times of the current round and of earlier ones that are not confirmed yet.
    pub(crate) round_starts: BTreeMap<u64, Instant>,
    /// Start of the latest round that a majority has echoed.
    pub(crate) confirmed: Instant,
    /// Longest time that a confirmation recently took. The election itself is the first measurement.
    pub(crate) round_trip: Duration,
    /// Whether this leader was elected while the log of every voter was empty.
    pub(crate) founding: bool,
}

impl LeaderRole {
    pub(crate) fn new(
        now: Instant,
        elected_within: Duration,
        followers: impl Iterator<Item = DaemonId>,
        last: LogIndex,
        founding: bool,
    ) -> Self {
        let progress = followers.map(|id| (id, FollowerProgress::new(last))).collect();
        Self {
            progress,
            synced: LogIndex(0),
            next_heartbeat: now,
            round: 0,
            round_starts: BTreeMap::new(),
            confirmed: now,
            round_trip: elected_within,
            founding,
        }
    }

    /// Returns the highest index that a majority of the voters has synced.
    pub(crate) fn majority_index(&self, local: &DaemonId, voters: &[DaemonId]) -> LogIndex {
        let mut matched: Vec<LogIndex> = voters
            .iter()
            .map(|voter| {
                if voter == local {
                    self.synced
                } else {
                    self.progress.get(voter).map_or(LogIndex(0), |progress| progress.matched)
                }
            })
            .collect();
        matched.sort_by(|a, b| b.cmp(a));
        matched.get(voters.len() / 2).copied().unwrap_or_default()
    }

    /// Starts a heartbeat round.
    pub(crate) fn start_round(&mut self, now: Instant, interval: Duration) {
        self.round += 1;
        self.round_starts.insert(self.round, now);
        self.next_heartbeat = now + interval;
    }

    /// Updates the start time of the latest round that a majority of the voters has echoed.
    pub(crate) fn confirm_rounds(&mut self, local: &DaemonId, voters: &[DaemonId], now: Instant) {
        let mut rounds: Vec<u64> = voters
            .iter()
            .map(|voter| match self.progress.get(voter) {
                _ if voter == local => self.round,
                Some(progress) => progress.round,
                None => 0,
            })
            .collect();
        rounds.sort_by(|a, b| b.cmp(a));
        let round = rounds.get(voters.len() / 2).copied().unwrap_or_default();
        if let Some(start) = self.round_starts.get(&round).filter(|at| **at > self.confirmed) {
            self.confirmed = *start;
            let round_trip = now.saturating_duration_since(*start);
            self.round_trip = round_trip.max(decay(self.round_trip));
        }
        self.round_starts = self.round_starts.split_off(&round);
    }
}

impl FollowerProgress {
    pub(crate) fn new(last: LogIndex) -> Self {
        Self {
            next: LogIndex(*last + 1),
            matched: LogIndex(0),
            counted: false,
            counts: None,
            contact: None,
            round: 0,
            snapshot_sent: None,
        }
    }
}
