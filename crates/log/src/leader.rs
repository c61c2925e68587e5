//! Leader state: replication progress of the followers, and heartbeat rounds.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, DiskId, DiskIdentity, LogIndex};
use tokio::time::Instant;

use crate::electorate::Electorate;
use crate::replica::decay;

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub(crate) struct FollowerProgress {
    /// Next index to send.
    pub(crate) next: LogIndex,
    /// Disk of the follower's last reply; none before the first reply.
    pub(crate) disk: Option<DiskIdentity>,
    /// Highest index known to be synced on that disk.
    pub(crate) matched: LogIndex,
    /// Time of the follower's last reply.
    pub(crate) contact: Option<Instant>,
    /// Latest heartbeat round that the follower echoed with that disk.
    pub(crate) round: u64,
    /// Latest heartbeat round that the follower echoed with this or a former disk.
    pub(crate) heard_round: u64,
    /// The follower's last removal as a voter in this term.
    pub(crate) removal: Option<VoterRemoval>,
    /// Time at which a snapshot was last sent, so that it is not sent with each heartbeat.
    pub(crate) snapshot_sent: Option<Instant>,
}

/// Removal of a voter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoterRemoval {
    /// Disk that the voter was named with.
    pub(crate) disk: Option<DiskId>,
    /// Heartbeat round of the removal. Only replies of later rounds show that the daemon still has
    /// that disk.
    pub(crate) round: u64,
}

/// State of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderRole {
    /// When this replica became the leader.
    pub(crate) began: Instant,
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
}

impl LeaderRole {
    pub(crate) fn new(
        now: Instant,
        elected_within: Duration,
        followers: impl Iterator<Item = DaemonId>,
        last: LogIndex,
    ) -> Self {
        let progress = followers.map(|id| (id, FollowerProgress::new(last))).collect();
        Self {
            began: now,
            progress,
            synced: LogIndex(0),
            next_heartbeat: now,
            round: 0,
            round_starts: BTreeMap::new(),
            confirmed: now,
            round_trip: elected_within,
        }
    }

    /// Returns the highest index that a majority of the voters has synced.
    pub(crate) fn majority_index(&self, local: &DaemonId, voters: &Electorate) -> LogIndex {
        self.majority_value(voters, |voter| match self.counted(voter, voters) {
            _ if voter == local => self.synced,
            Some(progress) => progress.matched,
            None => LogIndex(0),
        })
    }

    /// Returns the highest value that a majority of the voters has reached.
    fn majority_value<T: Copy + Default + Ord>(
        &self,
        voters: &Electorate,
        value: impl Fn(&DaemonId) -> T,
    ) -> T {
        let mut values: Vec<T> = voters.ids().iter().map(value).collect();
        values.sort_by(|a, b| b.cmp(a));
        values.get(voters.ids().len() / 2).copied().unwrap_or_default()
    }

    /// Returns the progress of a follower if its last reply came from the disk that the voters name.
    pub(crate) fn counted(
        &self,
        follower: &DaemonId,
        voters: &Electorate,
    ) -> Option<&FollowerProgress> {
        let counts = |disk: &DiskIdentity| voters.counts(follower, disk);
        self.progress.get(follower).filter(|progress| progress.disk.as_ref().is_some_and(counts))
    }

    /// Starts a heartbeat round.
    pub(crate) fn start_round(&mut self, now: Instant, interval: Duration) {
        self.round += 1;
        self.round_starts.insert(self.round, now);
        self.next_heartbeat = now + interval;
    }

    /// Updates the start time of the latest round that a majority of the voters has echoed.
    pub(crate) fn confirm_rounds(&mut self, local: &DaemonId, voters: &Electorate, now: Instant) {
        let round = self.majority_value(voters, |voter| match self.counted(voter, voters) {
            _ if voter == local => self.round,
            Some(progress) => progress.round,
            None => 0,
        });
        if let Some(start) = self.round_starts.get(&round).filter(|at| **at > self.confirmed) {
            self.confirmed = *start;
            let round_trip = now.saturating_duration_since(*start);
            crate::replica::trace(format_args!("confirmed round={round} of={} trip={}", self.round, round_trip.as_millis()));
            self.round_trip = round_trip.max(decay(self.round_trip));
        }
        self.round_starts = self.round_starts.split_off(&round);
    }
}

impl FollowerProgress {
    pub(crate) fn new(last: LogIndex) -> Self {
        Self {
            next: LogIndex(*last + 1),
            disk: None,
            matched: LogIndex(0),
            contact: None,
            round: 0,
            heard_round: 0,
            removal: None,
            snapshot_sent: None,
        }
    }

    /// Records the disk of a reply and the round that it echoes; returns false if the reply is to be
    /// dropped, because the follower may have replaced that disk since. A new disk is accepted with
    /// the first round that no former disk has echoed, and what those had reached is dropped.
    pub(crate) fn accept_reply(&mut self, disk: &DiskIdentity, round: u64) -> bool {
        let replaced = self.disk.as_ref().is_some_and(|known| known.id != disk.id);
        if replaced && round <= self.heard_round {
            return false;
        }
        if replaced {
            self.matched = LogIndex(0);
            self.round = 0;
            self.snapshot_sent = None;
        }
        self.disk = Some(disk.clone());
        self.round = self.round.max(round);
        self.heard_round = self.heard_round.max(round);
        true
    }
}
