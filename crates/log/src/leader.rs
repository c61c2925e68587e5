//! What a leader knows of the replicas that follow it.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, LogIndex};
use tokio::time::Instant;

/// How far one follower has come.
#[derive(Clone, Debug)]
pub(crate) struct FollowerProgress {
    /// Next index to send.
    pub(crate) next: LogIndex,
    /// Highest index known to be synced there.
    pub(crate) matched: LogIndex,
    /// Whether the follower was ever counted in this term; a disk that is empty after that was lost.
    pub(crate) counted: bool,
    /// When the follower last answered.
    pub(crate) contact: Option<Instant>,
    /// Latest round that the follower echoed.
    pub(crate) round: u64,
    /// When a snapshot was last sent, so that it is not sent with each heartbeat.
    pub(crate) snapshot_sent: Option<Instant>,
}

/// State of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderRole {
    pub(crate) progress: BTreeMap<DaemonId, FollowerProgress>,
    /// Own highest synced index.
    pub(crate) synced: LogIndex,
    pub(crate) next_heartbeat: Instant,
    /// Current heartbeat round and when it and the ones before it started.
    pub(crate) round: u64,
    pub(crate) round_starts: BTreeMap<u64, Instant>,
    /// Start of the latest round that a majority has echoed.
    pub(crate) confirmed: Instant,
    /// Whether this leader was elected while every log was empty.
    pub(crate) founding: bool,
}

impl LeaderRole {
    pub(crate) fn new(
        now: Instant,
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
            founding,
        }
    }

    /// Highest index that a majority of the voters has synced.
    pub(crate) fn majority_index(&self, own: &DaemonId, voters: &[DaemonId]) -> LogIndex {
        let mut matched: Vec<LogIndex> = voters
            .iter()
            .map(|voter| {
                if voter == own {
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

    /// Moves the time of the latest confirmed round on, as the replies allow.
    pub(crate) fn confirm_rounds(&mut self, own: &DaemonId, voters: &[DaemonId]) {
        let mut rounds: Vec<u64> = voters
            .iter()
            .map(|voter| match self.progress.get(voter) {
                _ if voter == own => self.round,
                Some(progress) => progress.round,
                None => 0,
            })
            .collect();
        rounds.sort_by(|a, b| b.cmp(a));
        let round = rounds.get(voters.len() / 2).copied().unwrap_or_default();
        if let Some(start) = self.round_starts.get(&round) {
            self.confirmed = self.confirmed.max(*start);
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
            contact: None,
            round: 0,
            snapshot_sent: None,
        }
    }
}
