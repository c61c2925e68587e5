//! One replica of a log: it votes, leads or follows.
//!
//! The replica is driven with messages and the time and answers with messages.
//! It holds no thread and no socket. Its rules are those of leader-based
//! replication with terms: one vote a term, an up-to-date check, commitment by
//! a majority in the leader's own term, and one change of the voters at a time.
//! Trial elections keep a returning replica from disturbing a healthy leader;
//! a leader that a majority has not confirmed for an election time steps down.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::{
    AppendReply, AppendRequest, DaemonId, EntryPayload, LogEntry, LogIndex, LogMessage,
    LogSnapshot, SnapshotRequest, Term, VoteReply, VoteRequest,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use thiserror::Error;
use tokio::time::Instant;

use crate::leader::{FollowerProgress, LeaderRole};
use crate::storage::{LogStorage, StoreLogError, VoteRecord};

/// Most entries in one message.
const BATCH_ENTRIES: usize = 512;
/// A heartbeat goes out this many times in each election time.
const HEARTBEATS_PER_ELECTION: u32 = 4;

/// Fixed settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    id: DaemonId,
    peers: BTreeSet<DaemonId>,
    first_voters: Vec<DaemonId>,
    learners: bool,
    election: Duration,
    seed: u64,
}

impl ReplicaConfig {
    /// Creates settings for a daemon among its peers, of whom some vote from the first start on.
    pub fn new(id: &DaemonId, peers: &[DaemonId], first_voters: &[DaemonId]) -> Self {
        Self {
            id: id.clone(),
            peers: peers.iter().cloned().collect(),
            first_voters: first_voters.to_vec(),
            learners: true,
            election: Duration::from_millis(1000),
            seed: 0,
        }
    }

    /// Sets whether peers that do not vote follow the log too.
    pub fn with_learners(mut self, learners: bool) -> Self {
        self.learners = learners;
        self
    }

    /// Sets the silence after which a voter stands for election.
    pub fn with_election(mut self, election: Duration) -> Self {
        self.election = election;
        self
    }

    /// Sets the seed of the jitter.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// Why a replica neither votes nor acknowledges.
#[derive(Debug, Error)]
pub enum ReplicaFault {
    /// The storage failed.
    #[error("storage failed: {0}")]
    Storage(#[from] StoreLogError),
    /// The replica is a voter but has no disk.
    #[error("this daemon is a voter but has no data folder")]
    NoDisk,
    /// The replica is a voter whose disk is empty although the log is not.
    #[error("the data folder is empty although the log is not; replace this voter")]
    LostDisk,
    /// A leader wants entries replaced that were committed here.
    #[error("the leader's log contradicts committed entries; its voters lost their state")]
    Diverged,
}

#[derive(Debug)]
enum ReplicaRole {
    Follower {
        leader: Option<DaemonId>,
    },
    Candidate {
        trial: bool,
        granted: BTreeSet<DaemonId>,
        blank: BTreeSet<DaemonId>,
        founding: bool,
    },
    Leader(LeaderRole),
}

/// One replica of a log.
#[derive(Debug)]
pub struct LogReplica<S> {
    config: ReplicaConfig,
    storage: S,
    role: ReplicaRole,
    voters: Vec<DaemonId>,
    commit: LogIndex,
    applied: LogIndex,
    deadline: Instant,
    heard: Option<Instant>,
    confirmed: Option<Instant>,
    fault: Option<ReplicaFault>,
    early: Vec<(DaemonId, LogMessage)>,
    late: Vec<(DaemonId, LogMessage)>,
    installed: bool,
    rng: ChaCha8Rng,
}

impl<S: LogStorage> LogReplica<S> {
    /// Creates a replica over what its storage holds.
    pub fn new(config: ReplicaConfig, storage: S, now: Instant) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        let snapshot = storage.window().snapshot_index();
        let mut replica = Self {
            config,
            storage,
            role: ReplicaRole::Follower { leader: None },
            voters: Vec::new(),
            commit: snapshot,
            applied: snapshot,
            deadline: now,
            heard: None,
            confirmed: None,
            fault: None,
            early: Vec::new(),
            late: Vec::new(),
            installed: *snapshot > 0,
            rng,
        };
        replica.refresh_voters();
        replica.reset_deadline(now);
        replica
    }

    /// Name of this replica's daemon.
    pub fn id(&self) -> &DaemonId {
        &self.config.id
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.storage.vote().term
    }

    /// Highest committed index known here.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// The leader of the current term, as far as known.
    pub fn leader(&self) -> Option<&DaemonId> {
        match &self.role {
            ReplicaRole::Leader(_) => Some(&self.config.id),
            ReplicaRole::Follower { leader } => leader.as_ref(),
            ReplicaRole::Candidate { .. } => None,
        }
    }

    /// Latest moment at which a majority is known to have confirmed what this replica follows.
    pub fn confirmed(&self) -> Option<Instant> {
        match &self.role {
            ReplicaRole::Leader(role) => Some(role.confirmed),
            _ => self.confirmed,
        }
    }

    /// Daemons that vote, by the latest entry that names them.
    pub fn voters(&self) -> &[DaemonId] {
        &self.voters
    }

    /// Why this replica takes no part in quorums, if it does not.
    pub fn fault(&self) -> Option<&ReplicaFault> {
        self.fault.as_ref()
    }

    /// The storage, for reading.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// Gives the storage back, for a restart in tests.
    pub fn into_storage(self) -> S {
        self.storage
    }

    /// When [`LogReplica::tick`] is next due.
    pub fn next_deadline(&self) -> Instant {
        match &self.role {
            ReplicaRole::Leader(role) => role.next_heartbeat,
            _ => self.deadline,
        }
    }

    /// Whether a snapshot replaced the applied state; the caller restores from it first.
    pub fn take_installed(&mut self) -> Option<&LogSnapshot> {
        if !std::mem::take(&mut self.installed) {
            return None;
        }
        let snapshot = self.storage.window().snapshot()?;
        self.applied = self.applied.max(snapshot.index);
        Some(snapshot)
    }

    /// Committed entries that were not taken yet, in order.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let count = self.commit.saturating_sub(*self.applied) as usize;
        let first = LogIndex(*self.applied + 1);
        let entries: Vec<LogEntry> =
            self.storage.window().entries_from(first, count).cloned().collect();
        if let Some(last) = entries.last() {
            self.applied = last.index;
        }
        entries
    }

    /// Messages that may leave before the storage is synced.
    pub fn take_early(&mut self) -> Vec<(DaemonId, LogMessage)> {
        std::mem::take(&mut self.early)
    }

    /// Syncs the storage and returns the messages that had to wait for it.
    pub fn flush(&mut self, now: Instant) -> Vec<(DaemonId, LogMessage)> {
        if self.storage_fault().is_none() {
            match self.storage.sync() {
                Ok(()) => self.count_own_sync(now),
                Err(error) => self.fail(error.into()),
            }
        }
        let mut messages = std::mem::take(&mut self.early);
        messages.append(&mut self.late);
        messages
    }

    fn count_own_sync(&mut self, now: Instant) {
        let last = self.storage.window().last_index();
        if let ReplicaRole::Leader(role) = &mut self.role {
            role.synced = last;
            self.advance_commit(now);
        }
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, now: Instant) {
        if now < self.next_deadline() {
            return;
        }
        if let ReplicaRole::Leader(role) = &self.role {
            if now.saturating_duration_since(role.confirmed) > self.config.election * 2 {
                self.step_down(self.term(), None, now);
            } else {
                self.broadcast(now, true);
            }
            return;
        }
        self.reset_deadline(now);
        if self.is_voter() && self.storage_fault().is_none() {
            self.campaign(now, true, false);
        }
    }

    /// Appends payloads where this replica leads; returns the index of the first.
    ///
    /// Returns none where it does not lead, or where a voters' change is asked
    /// for while another one is not committed yet or by more than one daemon.
    pub fn propose(&mut self, payloads: Vec<EntryPayload>, now: Instant) -> Option<LogIndex> {
        if !self.is_leader() || !payloads.iter().all(|payload| self.may_propose(payload)) {
            return None;
        }
        let first = LogIndex(*self.storage.window().last_index() + 1);
        let term = self.term();
        let entries: Vec<LogEntry> = payloads
            .into_iter()
            .zip(*first..)
            .map(|(payload, index)| LogEntry { index: LogIndex(index), term, payload })
            .collect();
        if !self.append(&entries) {
            return None;
        }
        self.broadcast(now, false);
        Some(first)
    }

    /// Steps down where this replica leads, so that another voter takes over at once.
    pub fn hand_over(&mut self, now: Instant) {
        if self.is_leader() {
            self.step_down(self.term(), None, now);
            self.deadline = now + self.config.election * 4;
        }
    }

    fn may_propose(&self, payload: &EntryPayload) -> bool {
        let EntryPayload::Voters(voters) = payload else { return true };
        let wanted: BTreeSet<&DaemonId> = voters.iter().collect();
        let current: BTreeSet<&DaemonId> = self.voters.iter().collect();
        let pending = self
            .storage
            .window()
            .entries_from(LogIndex(*self.commit + 1), usize::MAX)
            .any(|entry| matches!(entry.payload, EntryPayload::Voters(_)));
        let known = wanted.iter().all(|id| self.config.peers.contains(*id));
        !pending
            && known
            && !wanted.is_empty()
            && wanted.symmetric_difference(&current).count() == 1
    }

    /// Acts on a message from another replica.
    pub fn step(&mut self, from: &DaemonId, message: LogMessage, now: Instant) {
        match message {
            LogMessage::Vote(request) => self.on_vote(from, &request, now),
            LogMessage::VoteReply(reply) => self.on_vote_reply(from, &reply, now),
            LogMessage::Append(request) => self.on_append(from, request, now),
            LogMessage::AppendReply(reply) => self.on_append_reply(from, &reply, now),
            LogMessage::Snapshot(request) => self.on_snapshot(from, request, now),
        }
    }

    fn is_voter(&self) -> bool {
        self.voters.contains(&self.config.id)
    }

    fn storage_fault(&self) -> Option<&ReplicaFault> {
        self.fault.as_ref().filter(|fault| matches!(fault, ReplicaFault::Storage(_)))
    }

    /// Whether this replica may count in a quorum; notes why where it may not.
    fn check_quorum_member(&mut self) -> bool {
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

    fn is_blank(&self) -> bool {
        *self.storage.window().last_index() == 0
    }

    fn fail(&mut self, fault: ReplicaFault) {
        self.fault = Some(fault);
        self.role = ReplicaRole::Follower { leader: None };
        self.late.clear();
    }

    fn save_vote(&mut self, vote: VoteRecord) -> bool {
        if *self.storage.vote() == vote {
            return true;
        }
        match self.storage.set_vote(vote) {
            Ok(()) => true,
            Err(error) => {
                self.fail(error.into());
                false
            }
        }
    }

    fn append(&mut self, entries: &[LogEntry]) -> bool {
        if let Err(error) = self.storage.append(entries) {
            self.fail(error.into());
            return false;
        }
        for entry in entries {
            // One at a time, so that a removal and a return in one batch are both seen.
            if let EntryPayload::Voters(voters) = &entry.payload {
                self.set_voters(voters.clone());
            }
        }
        true
    }

    /// Reads the voters from the latest entry that names them, the snapshot or the settings.
    fn refresh_voters(&mut self) {
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

    fn set_voters(&mut self, voters: Vec<DaemonId>) {
        let joined = voters.contains(&self.config.id)
            && !self.voters.is_empty()
            && !self.voters.contains(&self.config.id);
        self.voters = voters;
        if joined && !self.storage.vote().initialised {
            let vote = VoteRecord { initialised: true, ..self.storage.vote().clone() };
            self.save_vote(vote);
        }
        self.track_followers();
    }

    fn track_followers(&mut self) {
        let last = self.storage.window().last_index();
        let followers = self.followers();
        if let ReplicaRole::Leader(role) = &mut self.role {
            for id in followers {
                role.progress.entry(id).or_insert_with(|| FollowerProgress::new(last));
            }
        }
    }

    /// Daemons that this replica sends entries to when it leads.
    fn followers(&self) -> BTreeSet<DaemonId> {
        let learners = self.config.peers.iter().filter(|_| self.config.learners);
        learners.chain(&self.voters).filter(|id| **id != self.config.id).cloned().collect()
    }

    fn reset_deadline(&mut self, now: Instant) {
        let jitter = self.rng.random_range(1.0..2.0);
        self.deadline = now + self.config.election.mul_f64(jitter);
    }

    fn step_down(&mut self, term: Term, leader: Option<DaemonId>, now: Instant) {
        if term > self.term() {
            let initialised = self.storage.vote().initialised;
            if !self.save_vote(VoteRecord { term, vote: None, initialised }) {
                return;
            }
        }
        if let ReplicaRole::Leader(role) = &self.role {
            self.confirmed = self.confirmed.max(Some(role.confirmed));
        }
        self.role = ReplicaRole::Follower { leader };
        self.reset_deadline(now);
    }

    fn campaign(&mut self, now: Instant, trial: bool, founding: bool) {
        let term = Term(*self.term() + 1);
        if !trial {
            let initialised = self.storage.vote().initialised || founding;
            let vote = VoteRecord { term, vote: Some(self.config.id.clone()), initialised };
            if !self.save_vote(vote) {
                return;
            }
        }
        let own = BTreeSet::from([self.config.id.clone()]);
        let blank = if self.is_blank() { own.clone() } else { BTreeSet::new() };
        self.role = ReplicaRole::Candidate { trial, granted: own, blank, founding };
        let window = self.storage.window();
        let request = VoteRequest {
            term,
            last_index: window.last_index(),
            last_term: window.last_term(),
            trial,
            founding,
        };
        for voter in self.voters.iter().filter(|voter| **voter != self.config.id) {
            self.late.push((voter.clone(), LogMessage::Vote(request.clone())));
        }
        self.count_votes(now);
    }

    fn on_vote(&mut self, from: &DaemonId, request: &VoteRequest, now: Instant) {
        if self.storage_fault().is_some() {
            return;
        }
        let follows_leader = self.is_leader()
            || self
                .heard
                .is_some_and(|heard| now.saturating_duration_since(heard) < self.config.election);
        if follows_leader && self.leader() != Some(from) {
            return self.answer_vote(from, request, false);
        }
        if !request.trial && request.term > self.term() {
            self.step_down(request.term, None, now);
        }
        if request.founding && self.is_blank() && self.storage.is_durable() && !request.trial {
            let vote = VoteRecord { initialised: true, ..self.storage.vote().clone() };
            self.save_vote(vote);
        }
        let window = self.storage.window();
        let current =
            (request.last_term, request.last_index) >= (window.last_term(), window.last_index());
        let free = request.term > self.term()
            || (request.term == self.term()
                && self.storage.vote().vote.as_ref().is_none_or(|vote| vote == from));
        let mut granted = current && free && self.check_quorum_member();
        if granted && !request.trial {
            let term = request.term;
            granted =
                self.save_vote(VoteRecord { term, vote: Some(from.clone()), initialised: true });
            self.reset_deadline(now);
        }
        self.answer_vote(from, request, granted);
    }

    fn answer_vote(&mut self, from: &DaemonId, request: &VoteRequest, granted: bool) {
        let term = if granted { request.term } else { self.term() };
        let blank = self.is_blank() && self.is_voter() && self.storage.is_durable();
        let reply = VoteReply { term, granted, trial: request.trial, blank };
        self.late.push((from.clone(), LogMessage::VoteReply(reply)));
    }

    fn on_vote_reply(&mut self, from: &DaemonId, reply: &VoteReply, now: Instant) {
        if !reply.granted && reply.term > self.term() {
            return self.step_down(reply.term, None, now);
        }
        let expected = Term(*self.term() + 1);
        let own_term = self.term();
        let ReplicaRole::Candidate { trial, granted, blank, .. } = &mut self.role else { return };
        if *trial != reply.trial {
            return;
        }
        if reply.blank {
            blank.insert(from.clone());
        }
        let term = if *trial { expected } else { own_term };
        if reply.granted && reply.term == term {
            granted.insert(from.clone());
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Instant) {
        let ReplicaRole::Candidate { trial, granted, blank, founding } = &self.role else { return };
        let majority = self.voters.len() / 2 + 1;
        let votes = self.voters.iter().filter(|voter| granted.contains(*voter)).count();
        let all_blank = self.voters.iter().all(|voter| blank.contains(voter));
        let (trial, founding) = (*trial, *founding);
        if trial && all_blank {
            self.campaign(now, false, true);
        } else if trial && votes >= majority && self.check_quorum_member() {
            self.campaign(now, false, false);
        } else if !trial && votes >= majority && self.check_quorum_member() {
            self.lead(now, founding);
        }
    }

    fn lead(&mut self, now: Instant, founding: bool) {
        let last = self.storage.window().last_index();
        let followers = self.followers();
        let role = LeaderRole::new(now, followers.into_iter(), last, founding);
        self.role = ReplicaRole::Leader(role);
        let entry =
            LogEntry { index: LogIndex(*last + 1), term: self.term(), payload: EntryPayload::Noop };
        if self.append(&[entry]) {
            self.broadcast(now, true);
        }
    }

    fn broadcast(&mut self, now: Instant, heartbeat: bool) {
        let interval = self.config.election / HEARTBEATS_PER_ELECTION;
        let ReplicaRole::Leader(role) = &mut self.role else { return };
        if heartbeat {
            role.start_round(now, interval);
            role.confirm_rounds(&self.config.id, &self.voters);
        }
        let followers: Vec<DaemonId> = role.progress.keys().cloned().collect();
        for follower in followers {
            self.send_append(&follower, heartbeat, now);
        }
    }

    /// Sends what a follower lacks; without a heartbeat only where there is something.
    fn send_append(&mut self, to: &DaemonId, heartbeat: bool, now: Instant) {
        let term = self.term();
        let commit = self.commit;
        let window = self.storage.window();
        let ReplicaRole::Leader(role) = &mut self.role else { return };
        let confirmed = now.saturating_duration_since(role.confirmed);
        let (round, founding) = (role.round, role.founding);
        let Some(progress) = role.progress.get_mut(to) else { return };
        let previous_index = LogIndex(progress.next.saturating_sub(1));
        let Some(previous_term) = window.term_at(previous_index) else {
            let due = progress
                .snapshot_sent
                .is_none_or(|sent| now.saturating_duration_since(sent) > self.config.election);
            if let (true, Some(snapshot)) = (due, window.snapshot()) {
                progress.snapshot_sent = Some(now);
                let request = SnapshotRequest { term, snapshot: snapshot.clone() };
                self.early.push((to.clone(), LogMessage::Snapshot(request)));
            }
            return;
        };
        let entries: Vec<LogEntry> =
            window.entries_from(progress.next, BATCH_ENTRIES).cloned().collect();
        if entries.is_empty() && !heartbeat {
            return;
        }
        progress.next = LogIndex(*progress.next + entries.len() as u64);
        let request = AppendRequest {
            term,
            previous_index,
            previous_term,
            entries,
            commit,
            round,
            founding: founding && !progress.counted,
            confirmed_ms: confirmed.as_millis() as u64,
        };
        self.early.push((to.clone(), LogMessage::Append(request)));
    }

    fn on_append(&mut self, from: &DaemonId, request: AppendRequest, now: Instant) {
        if self.storage_fault().is_some() {
            return;
        }
        if request.term < self.term() {
            return self.answer_append(from, false, LogIndex(0), request.round);
        }
        self.step_down(request.term, Some(from.clone()), now);
        self.heard = Some(now);
        self.confirmed =
            now.checked_sub(Duration::from_millis(request.confirmed_ms)).max(self.confirmed);
        if request.founding && self.is_blank() && self.storage.is_durable() {
            let vote = VoteRecord { initialised: true, ..self.storage.vote().clone() };
            self.save_vote(vote);
        }
        let snapshot = self.storage.window().snapshot_index();
        let found = self.storage.window().term_at(request.previous_index);
        if request.previous_index >= snapshot && found != Some(request.previous_term) {
            let hint = self.conflict_hint(request.previous_index);
            return self.answer_append(from, false, hint, request.round);
        }
        let matched = LogIndex(*request.previous_index + request.entries.len() as u64);
        if !self.take_entries(request.entries) {
            return;
        }
        self.commit = self.commit.max(request.commit.min(matched));
        self.answer_append(from, true, matched, request.round);
    }

    /// Index up to which the leader should try next, after a mismatch.
    fn conflict_hint(&self, index: LogIndex) -> LogIndex {
        let window = self.storage.window();
        if index > window.last_index() {
            return window.last_index();
        }
        let term = window.term_at(index);
        let mut hint = index;
        while *hint > *window.snapshot_index() && window.term_at(hint) == term {
            hint = LogIndex(*hint - 1);
        }
        hint
    }

    /// Appends the entries that are not held yet, dropping those that conflict.
    fn take_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let window = self.storage.window();
        let held = |entry: &LogEntry| {
            entry.index <= window.snapshot_index()
                || window.term_at(entry.index) == Some(entry.term)
        };
        let fresh: Vec<LogEntry> = entries.into_iter().skip_while(held).collect();
        let Some(first) = fresh.first() else { return true };
        if first.index <= self.commit {
            // What was accepted never reverts, whoever asks.
            self.fault = Some(ReplicaFault::Diverged);
            return false;
        }
        if first.index <= window.last_index() {
            if let Err(error) = self.storage.truncate_from(first.index) {
                self.fail(error.into());
                return false;
            }
            self.refresh_voters();
        }
        self.append(&fresh)
    }

    fn answer_append(&mut self, to: &DaemonId, accepted: bool, matched: LogIndex, round: u64) {
        // A learner's answer only moves its own progress, so it needs no disk; a
        // voter's counts in a quorum, and says so where it must not be counted.
        let counts = !self.is_voter() || self.check_quorum_member();
        let reply = AppendReply { term: self.term(), accepted, matched, counts, round };
        self.late.push((to.clone(), LogMessage::AppendReply(reply)));
    }

    fn on_append_reply(&mut self, from: &DaemonId, reply: &AppendReply, now: Instant) {
        if reply.term > self.term() {
            return self.step_down(reply.term, None, now);
        }
        let last = self.storage.window().last_index();
        let ReplicaRole::Leader(role) = &mut self.role else { return };
        let Some(progress) = role.progress.get_mut(from) else { return };
        progress.contact = Some(now);
        if reply.counts {
            progress.round = progress.round.max(reply.round);
        } else {
            progress.matched = LogIndex(0);
        }
        if reply.accepted {
            if reply.counts {
                progress.matched = progress.matched.max(reply.matched);
                progress.counted = true;
            }
            progress.next = progress.next.max(LogIndex(*reply.matched + 1));
            progress.snapshot_sent = None;
        } else {
            progress.next = LogIndex(reply.matched.min(last).saturating_add(1));
        }
        let behind = progress.next <= last;
        role.confirm_rounds(&self.config.id, &self.voters);
        self.advance_commit(now);
        if behind {
            self.send_append(from, false, now);
        }
    }

    fn advance_commit(&mut self, now: Instant) {
        let term = self.term();
        let ReplicaRole::Leader(role) = &self.role else { return };
        let index = role.majority_index(&self.config.id, &self.voters);
        if index <= self.commit || self.storage.window().term_at(index) != Some(term) {
            return;
        }
        self.commit = index;
        let removed = !self.is_voter();
        // Followers hear of the commit at once, so that they apply it within a message.
        self.announce_commit(now);
        if removed {
            self.step_down(term, None, now);
        }
    }

    fn announce_commit(&mut self, now: Instant) {
        let ReplicaRole::Leader(role) = &self.role else { return };
        let followers: Vec<DaemonId> = role.progress.keys().cloned().collect();
        for follower in followers {
            self.send_append(&follower, true, now);
        }
    }

    fn on_snapshot(&mut self, from: &DaemonId, request: SnapshotRequest, now: Instant) {
        if self.storage_fault().is_some() || request.term < self.term() {
            return;
        }
        self.step_down(request.term, Some(from.clone()), now);
        self.heard = Some(now);
        let index = request.snapshot.index;
        if index > self.commit {
            if let Err(error) = self.storage.install_snapshot(request.snapshot) {
                return self.fail(error.into());
            }
            self.refresh_voters();
            self.commit = index;
            self.installed = true;
        }
        self.answer_append(from, true, self.commit, 0);
    }

    /// Replaces the applied entries by a snapshot of the state that they led to.
    pub fn compact(&mut self, state: Vec<u8>) {
        let window = self.storage.window();
        let Some(term) = window.term_at(self.applied) else { return };
        let voters = self.voters_at(self.applied);
        let snapshot = LogSnapshot { index: self.applied, term, voters, state };
        if self.applied > window.snapshot_index()
            && let Err(error) = self.storage.install_snapshot(snapshot)
        {
            self.fail(error.into());
        }
    }

    fn voters_at(&self, index: LogIndex) -> Vec<DaemonId> {
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

    /// When each follower last answered; empty where this replica does not lead.
    pub fn contacts(&self) -> BTreeMap<DaemonId, Option<Instant>> {
        match &self.role {
            ReplicaRole::Leader(role) => {
                role.progress.iter().map(|(id, progress)| (id.clone(), progress.contact)).collect()
            }
            _ => BTreeMap::new(),
        }
    }
}
