//! The set of voters, and whether this replica may be counted in quorums.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{DaemonId, DiskId, EntryPayload, LogEntry, LogIndex};
use tokio::time::Instant;

use super::{LogReplica, ReplicaFault, ReplicaRole};
use crate::electorate::Electorate;
use crate::leader::{FollowerProgress, VoterRemoval};
use crate::storage::LogStorage;

impl<S: LogStorage> LogReplica<S> {
    /// Returns the entry to append for a proposed payload, or none if the proposal is refused.
    ///
    /// Other voters are named with the disks that this leader has heard of. They are refused until an
    /// entry of its own term is committed, so that no earlier change of the voters is still pending.
    pub(super) fn prepare_payload(
        &mut self,
        payload: EntryPayload,
        now: Instant,
    ) -> Option<EntryPayload> {
        match payload {
            EntryPayload::Voters(voters) if self.may_change_voters(&voters) => {
                let named = self.name_disks(&voters);
                if named.is_none() {
                    self.follow_up(&voters, now);
                }
                named.map(|electorate| electorate.to_payload())
            }
            EntryPayload::Voters(_) | EntryPayload::VoterSet(_) => None,
            other => Some(other),
        }
    }

    /// Sends the log to daemons that do not follow it yet, so that their replies tell their disks.
    fn follow_up(&mut self, daemons: &[DaemonId], now: Instant) {
        let last = self.storage.window().last_index();
        for id in daemons {
            let ReplicaRole::Leader(role) = &mut self.role else { return };
            if *id != self.config.id && !role.progress.contains_key(id) {
                role.progress.insert(id.clone(), FollowerProgress::new(last));
                self.send_append(id, true, now);
            }
        }
    }

    fn may_change_voters(&self, voters: &[DaemonId]) -> bool {
        let requested: BTreeSet<&DaemonId> = voters.iter().collect();
        let current: BTreeSet<&DaemonId> = self.voters.ids().iter().collect();
        // Current voters are known from the log; the settings may list neither them nor this daemon.
        let known = requested.difference(&current).all(|id| self.config.peers.contains(*id));
        self.is_current()
            && !self.is_voter_change_pending()
            && known
            && !requested.is_empty()
            && requested.symmetric_difference(&current).count() == 1
    }

    /// Returns whether a change of the voters is not committed yet.
    pub fn is_voter_change_pending(&self) -> bool {
        let uncommitted =
            self.storage.window().entries_from(LogIndex(*self.commit + 1), usize::MAX);
        uncommitted.into_iter().any(|entry| Electorate::from_payload(&entry.payload).is_some())
    }

    /// Names the disks of voters; none if the disk of a new one is not known.
    fn name_disks(&self, voters: &[DaemonId]) -> Option<Electorate> {
        let mut disks = BTreeMap::new();
        for voter in voters {
            let named = self.voters.disks().get(voter).copied();
            match named.or_else(|| self.heard_disk(voter)) {
                Some(disk) => {
                    disks.insert(voter.clone(), disk);
                }
                None if self.voters.contains(voter) => {}
                None => return None,
            }
        }
        Some(Electorate::new(voters.to_vec(), disks))
    }

    /// Returns the disk with which a daemon may be named as a voter, as far as its replies show.
    pub(super) fn heard_disk(&self, id: &DaemonId) -> Option<DiskId> {
        let ReplicaRole::Leader(role) = &self.role else { return None };
        if *id == self.config.id {
            return self.storage.vote().disk;
        }
        let progress = role.progress.get(id)?;
        let disk = progress.disk.as_ref()?;
        let current = match self.voters.contains(id) {
            true => self.voters.counts(id, disk),
            false => progress
                .removal
                .is_none_or(|removal| removal.disk != disk.id || progress.round > removal.round),
        };
        disk.id.filter(|_| current)
    }

    /// Names the disks of voters that a log of an earlier release lists without them, as far as they
    /// have replied.
    pub(super) fn name_missing_disks(&mut self, now: Instant) {
        let complete = self.voters.disks().len() == self.voters.ids().len();
        if complete || !self.is_current() || self.is_voter_change_pending() {
            return;
        }
        let Some(named) = self.name_disks(self.voters.ids()).filter(|set| *set != self.voters)
        else {
            return;
        };
        let index = LogIndex(*self.storage.window().last_index() + 1);
        let entry = LogEntry { index, term: self.term(), payload: named.to_payload() };
        if self.append(&[entry]) {
            self.broadcast(now, false);
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.voters.contains(&self.config.id)
    }

    /// Returns whether this replica may be counted in quorums, as far as its own log tells.
    pub(super) fn is_quorum_member(&self) -> bool {
        self.storage_fault().is_none()
            && self.voters.counts(&self.config.id, &self.storage.vote().identity())
    }

    /// Updates the fault that follows from the voters that the log names.
    pub(super) fn refresh_fault(&mut self) {
        if self.storage_fault().is_some() {
            return;
        }
        self.fault = if !self.is_voter() || self.is_quorum_member() || self.may_found() {
            None
        } else if !self.storage.is_durable() {
            Some(ReplicaFault::NoDisk)
        } else {
            Some(ReplicaFault::LostDisk)
        };
    }

    /// Reads the voters from the latest entry that changes them, else from the snapshot, else from
    /// the settings.
    pub(super) fn refresh_voters(&mut self) {
        self.set_voters(self.voters_at(self.storage.window().last_index()));
    }

    pub(super) fn set_voters(&mut self, voters: Electorate) {
        let former = std::mem::replace(&mut self.voters, voters);
        if let ReplicaRole::Leader(role) = &mut self.role {
            let removed = former.ids().iter().filter(|id| !self.voters.contains(id));
            for id in removed {
                if let Some(progress) = role.progress.get_mut(id) {
                    let disk = former.disks().get(id).copied();
                    progress.removal = Some(VoterRemoval { disk, round: role.round });
                }
            }
        }
        self.refresh_fault();
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
        learners.chain(self.voters.ids()).filter(|id| **id != self.config.id).cloned().collect()
    }

    /// Returns the voters that the log names up to an index.
    pub(super) fn voters_at(&self, index: LogIndex) -> Electorate {
        let window = self.storage.window();
        let named = window
            .newest_first()
            .filter(|entry| entry.index <= index)
            .find_map(|entry| Electorate::from_payload(&entry.payload));
        named
            .or_else(|| window.snapshot().map(Electorate::from_snapshot))
            .unwrap_or_else(|| Electorate::without_disks(&self.config.first_voters))
    }
}
