//! The set of voters, and whether this replica may be counted in quorums.

use std::collections::BTreeSet;

use hollowbarrow_schema::{DaemonId, EntryPayload, LogIndex};

use super::{LogReplica, ReplicaFault, ReplicaRole};
use crate::leader::FollowerProgress;
use crate::storage::{LogStorage, VoteRecord};

impl<S: LogStorage> LogReplica<S> {
    pub(super) fn may_propose(&self, payload: &EntryPayload) -> bool {
        let EntryPayload::Voters(voters) = payload else { return true };
        let requested: BTreeSet<&DaemonId> = voters.iter().collect();
        let current: BTreeSet<&DaemonId> = self.voters.iter().collect();
        let pending = self
            .storage
            .window()
            .entries_from(LogIndex(*self.commit + 1), usize::MAX)
            .any(|entry| matches!(entry.payload, EntryPayload::Voters(_)));
        // Current voters are known from the log; the settings may list neither them nor this daemon.
        let known = requested.difference(&current).all(|id| self.config.peers.contains(*id));
        !pending
            && known
            && !requested.is_empty()
            && requested.symmetric_difference(&current).count() == 1
    }

    pub(super) fn is_voter(&self) -> bool {
        self.voters.contains(&self.config.id)
    }

    /// Reads the voters from the latest entry that changes them, else from the snapshot, else from
    /// the settings.
    pub(super) fn refresh_voters(&mut self) {
        let window = self.storage.window();
        let named = window.newest_first().find_map(|entry| match &entry.payload {
            EntryPayload::Voters(voters) => Some(voters),
            _ => None,
        });
        let voters = named
            .or_else(|| window.snapshot().map(|snapshot| &snapshot.voters))
            .unwrap_or(&self.config.first_voters)
            .clone();
        self.set_voters(voters);
    }

    pub(super) fn set_voters(&mut self, voters: Vec<DaemonId>) {
        // Before this replica has caught up, it may read old entries: an entry that adds it as a
        // voter may be from before its disk was lost, and it may have voted since.
        let admissible = self.config.founding || self.complete.is_some();
        let joined = admissible
            && voters.contains(&self.config.id)
            && !self.voters.is_empty()
            && !self.voters.contains(&self.config.id);
        self.voters = voters;
        if joined && !self.storage.vote().initialised {
            let vote = VoteRecord { initialised: true, ..self.storage.vote().clone() };
            self.save_vote(vote);
        }
        self.track_followers();
    }

    pub(super) fn track_followers(&mut self) {
        let last = self.storage.window().last_index();
        let followers = self.followers();
        if let ReplicaRole::Leader(role) = &mut self.role {
            for id in followers {
                role.progress.entry(id).or_insert_with(|| FollowerProgress::new(last));
            }
        }
    }

    /// Returns the daemons to which this replica sends entries as leader.
    pub(super) fn followers(&self) -> BTreeSet<DaemonId> {
        let learners = self.config.peers.iter().filter(|_| self.config.learners);
        learners.chain(&self.voters).filter(|id| **id != self.config.id).cloned().collect()
    }

    pub(super) fn voters_at(&self, index: LogIndex) -> Vec<DaemonId> {
        let window = self.storage.window();
        let named =
            window.newest_first().filter(|entry| entry.index <= index).find_map(
                |entry| match &entry.payload {
                    EntryPayload::Voters(voters) => Some(voters),
                    _ => None,
                },
            );
        named
            .or_else(|| window.snapshot().map(|snapshot| &snapshot.voters))
            .unwrap_or(&self.config.first_voters)
            .clone()
    }

    /// Returns whether this replica may be counted in a quorum; records the fault if it is a voter
    /// that may not.
    pub(super) fn check_quorum_member(&mut self) -> bool {
        if self.storage_fault().is_some() {
            return false;
        }
        self.fault = None;
        if !self.is_voter() {
            return false;
        }
        if !self.storage.is_durable() {
            self.fault = Some(ReplicaFault::NoDisk);
            return false;
        }
        if !self.storage.vote().initialised {
            self.fault = Some(ReplicaFault::LostDisk);
            return false;
        }
        true
    }
}
