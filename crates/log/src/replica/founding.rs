//! Founding of a log: the voters agree on the disks that found it before any vote counts.
//!
//! A log is founded while the logs of all voters are empty. An empty log does not show that nothing
//! has happened: a disk that was emptied meanwhile has forgotten whom it voted for and what it
//! acknowledged. A candidate therefore first proposes founders, which are the disks of all voters,
//! and asks for founding votes only after every one of these disks has agreed to them in one term.
//! Votes count only from founders, and only between voters that hold the same ones.
//!
//! A disk holds one proposal durably. It replaces it by other disks only in a higher term, in which
//! it gives up its candidacy, and only while its log is empty. Of two leaders that were elected by
//! different founders, the earlier one therefore had the votes of a disk that agreed to the later
//! founders afterwards, in a term that is not lower; the later one was elected in a term after that.
//! And founders cannot change once a disk that is among the new ones has an entry.
//!
//! Agreements do not compete as votes do, because all voters propose the same disks.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{
    AppendRequest, DaemonId, DiskId, Founders, Term, VoteReply, VoteRequest, VoterDisk,
};
use tokio::time::Instant;

use super::{BATCH_ENTRIES, LogReplica};
use crate::electorate::Electorate;
use crate::storage::{LogStorage, VoteRecord};

/// What a replica whose log is empty knows of the other voters.
#[derive(Debug, Default)]
pub(super) struct FoundingProgress {
    /// Disks of the voters whose logs were empty when they were last heard.
    empty: BTreeMap<DaemonId, DiskId>,
    /// Other voters that hold the same proposal as this replica.
    agreed: BTreeSet<DaemonId>,
    /// Whether all founders agreed to the disks that this replica holds.
    unanimous: bool,
}

impl FoundingProgress {
    /// Creates the progress of a replica that has just started.
    pub(super) fn new(founders: Option<&Founders>) -> Self {
        let empty = founders.map(disks_by_voter).unwrap_or_default();
        Self { empty, ..Self::default() }
    }
}

/// Returns the disks of founders.
pub(super) fn disks_by_voter(founders: &Founders) -> BTreeMap<DaemonId, DiskId> {
    founders.disks.iter().map(|named| (named.voter.clone(), named.disk)).collect()
}

fn names_disk(founders: &Founders, voter: &DaemonId, disk: Option<DiskId>) -> bool {
    founders.disks.iter().any(|named| named.voter == *voter && Some(named.disk) == disk)
}

impl<S: LogStorage> LogReplica<S> {
    /// Returns whether this replica may found a log with others whose logs are also empty.
    ///
    /// A disk that an earlier release recorded as part of the quorum was in use when its log was
    /// founded, whatever the settings say now.
    pub(super) fn may_found(&self) -> bool {
        let vote = self.storage.vote();
        (vote.founder || vote.initialised) && self.may_agree()
    }

    /// Returns whether this replica may be one of the founders of a log.
    fn may_agree(&self) -> bool {
        self.is_blank()
            && self.is_voter()
            && self.storage.is_durable()
            && self.storage_fault().is_none()
    }

    /// Returns whether this replica stores the first entries of a log only once the first one is
    /// committed, because the leader's log does not name its disk.
    ///
    /// Such a disk is in no quorum of that log, so the leader does not need it. If it held an entry
    /// that is committed nowhere, and all other disks that held it were emptied, this replica could
    /// neither be elected nor agree to other founders. A full batch is stored, since an entry that it
    /// does not contain may name the disk.
    pub(super) fn awaits_first_commit(&self, request: &AppendRequest) -> bool {
        if *request.commit > 0 || request.entries.len() >= BATCH_ENTRIES || !self.may_agree() {
            return false;
        }
        let entries = request.entries.iter().rev();
        let named = entries.filter_map(|entry| Electorate::from_payload(&entry.payload)).next();
        let voters = named.as_ref().unwrap_or(&self.voters);
        !voters.counts(&self.config.id, &self.storage.vote().identity())
    }

    /// Returns the founders that this replica holds.
    pub(super) fn founders(&self) -> Option<&Founders> {
        self.storage.vote().founders.as_ref()
    }

    /// Returns whether all founders agreed to the disks that this replica holds.
    pub(super) fn is_founding_unanimous(&self) -> bool {
        self.founding.unanimous
    }

    /// Returns the founders to name in a vote request: those that this replica holds, or only its own
    /// disk before it knows those of all voters.
    pub(super) fn requested_founders(&self) -> Option<Founders> {
        if !self.may_found() {
            return None;
        }
        let own = self.storage.vote().disk.map(|disk| {
            let disks = vec![VoterDisk { voter: self.config.id.clone(), disk }];
            Founders { term: self.term(), disks }
        });
        self.founders().cloned().or(own)
    }

    /// Holds the proposal that follows from the empty disks of all voters if they are known.
    pub(super) fn propose_founders(&mut self, now: Instant) {
        if !self.may_found() {
            return;
        }
        self.founding.empty.extend(self.storage.vote().disk.map(|id| (self.config.id.clone(), id)));
        let Some(disks) = self.known_founders() else { return };
        let term = self.term();
        let held = self.founders();
        let same = held.is_none_or(|held| held.disks == disks);
        let current = self.founding.unanimous || held.is_some_and(|held| held.term == term);
        if !same {
            self.hold_founders(Founders { term: Term(*term + 1), disks }, now);
        } else if !current {
            self.hold_founders(Founders { term, disks }, now);
        }
        self.refresh_unanimity();
    }

    /// Returns the empty disks of all voters if they are known.
    fn known_founders(&self) -> Option<Vec<VoterDisk>> {
        let mut voters: Vec<&DaemonId> = self.voters.ids().iter().collect();
        voters.sort();
        let disk = |voter: &DaemonId| {
            let disk = *self.founding.empty.get(voter)?;
            Some(VoterDisk { voter: voter.clone(), disk })
        };
        voters.into_iter().map(disk).collect()
    }

    /// Stores a proposal; if its term is new, this replica gives up its candidacy.
    fn hold_founders(&mut self, founders: Founders, now: Instant) {
        if founders.term > self.term() {
            self.step_down(founders.term, None, now);
        }
        let held = self.founders();
        let same = held.is_some_and(|held| held.disks == founders.disks);
        let record = VoteRecord { founders: Some(founders), ..self.storage.vote().clone() };
        if self.storage_fault().is_none() && self.save_vote(record) {
            self.founding.unanimous &= same;
            self.founding.agreed.clear();
            self.refresh_unanimity();
        }
    }

    fn refresh_unanimity(&mut self) {
        let Some(founders) = self.storage.vote().founders.as_ref() else { return };
        let mut others =
            founders.disks.iter().map(|named| &named.voter).filter(|id| **id != self.config.id);
        self.founding.unanimous |= others.all(|voter| self.founding.agreed.contains(voter));
    }

    /// Takes what the vote request of a candidate whose log is empty says about the founders, and
    /// agrees to them if that is allowed.
    pub(super) fn on_requested_founders(
        &mut self,
        from: &DaemonId,
        request: &VoteRequest,
        now: Instant,
    ) {
        let Some(founders) = &request.founders else { return };
        if !request.trial || !self.may_agree() || !self.voters.contains(from) {
            return;
        }
        let disks = disks_by_voter(founders);
        if let Some(disk) = disks.get(from) {
            self.founding.empty.insert(from.clone(), *disk);
        }
        let voters: BTreeSet<&DaemonId> = self.voters.ids().iter().collect();
        let complete = disks.keys().collect::<BTreeSet<_>>() == voters;
        let own = self.storage.vote().disk;
        if !complete || !names_disk(founders, &self.config.id, own) {
            return;
        }
        if self.founders() != Some(founders) && self.may_replace_founders(founders) {
            self.hold_founders(founders.clone(), now);
        }
        if self.founders() == Some(founders) {
            for (voter, disk) in disks {
                self.founding.empty.entry(voter).or_insert(disk);
            }
            self.founding.agreed.insert(from.clone());
            self.refresh_unanimity();
        }
    }

    /// Returns whether a proposal may replace the one that this replica holds: other disks only in a
    /// term higher than all in which it may have voted.
    fn may_replace_founders(&self, founders: &Founders) -> bool {
        let same = self.founders().is_none_or(|held| held.disks == founders.disks);
        founders.term > self.term() || (founders.term == self.term() && same)
    }

    /// Takes what a voter's answer says about the founders; returns whether this replica shall ask
    /// again at once, because it has another proposal.
    pub(super) fn on_founders_reply(
        &mut self,
        from: &DaemonId,
        reply: &VoteReply,
        now: Instant,
    ) -> bool {
        if !self.may_found() || !self.voters.contains(from) {
            return false;
        }
        match reply.disk.id.filter(|_| reply.blank) {
            Some(disk) => self.founding.empty.insert(from.clone(), disk),
            None => self.founding.empty.remove(from),
        };
        let Some(held) = self.founders() else { return self.known_founders().is_some() };
        let named = reply.founders.as_ref().filter(|_| names_disk(held, from, reply.disk.id));
        let agreed = named.filter(|founders| founders.disks == held.disks);
        // The voter agreed to the same disks in a later term, which its answer may not tell if it
        // grants a trial in the term that follows this replica's.
        let later = agreed.filter(|founders| founders.term > self.term()).cloned();
        if let Some(later) = &later {
            self.hold_founders(later.clone(), now);
        }
        if agreed.is_some() && reply.founders.as_ref() == self.founders() {
            self.founding.agreed.insert(from.clone());
            self.refresh_unanimity();
            return later.is_some();
        }
        let Some(disks) = self.known_founders() else { return false };
        if self.founders().is_some_and(|held| held.disks != disks) {
            return true;
        }
        let refused = self.is_proposal_refused(reply);
        if refused {
            let term = Term(*self.term() + 1);
            self.hold_founders(Founders { term, disks }, now);
        }
        refused
    }

    /// Returns whether a voter refuses the founders that this replica holds because it has agreed to
    /// other disks, which it gives up only in a higher term.
    fn is_proposal_refused(&self, reply: &VoteReply) -> bool {
        let (Some(held), Some(other)) = (self.founders(), &reply.founders) else { return false };
        let voters = |founders: &Founders| disks_by_voter(founders).into_keys().collect::<Vec<_>>();
        !reply.granted
            && reply.term == self.term()
            && other.disks != held.disks
            && voters(other) == voters(held)
    }

    /// Returns whether a vote may be granted to a candidate, as far as the founders tell: a candidate
    /// whose log is empty gets it only from voters that hold the same founders.
    pub(super) fn may_vote_with_founders(&self, request: &VoteRequest) -> bool {
        match &request.founders {
            Some(founders) => {
                let held = self.founders().is_some_and(|held| held.disks == founders.disks);
                held && (!request.founding || self.may_found())
            }
            None => !request.founding,
        }
    }

    /// Returns the disk whose vote an empty log counts from a voter.
    pub(super) fn founding_disk(&self, voter: &DaemonId, trial: bool) -> Option<DiskId> {
        if trial {
            return self.founding.empty.get(voter).copied();
        }
        let disks = &self.founders()?.disks;
        disks.iter().find(|named| named.voter == *voter).map(|named| named.disk)
    }
}
