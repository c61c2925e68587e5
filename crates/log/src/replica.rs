//! One replica of a log, as follower, candidate or leader.
//!
//! The replica is driven by messages and the current time and outputs messages.
//! It has no thread and no socket. It implements leader-based replication with
//! terms: one vote per term, an up-to-date check of the candidate's log,
//! commitment by a majority in the leader's own term, and one change of the
//! voters at a time. Trial elections (pre-votes) prevent a returning replica
//! from disturbing a healthy leader; a leader that no majority has confirmed
//! for two election timeouts steps down.
//!
//! Timeouts grow with the delays that a replica measures, up to
//! [`MAX_TIMEOUT_GROWTH`] times: where messages take longer than an election
//! timeout, no election would complete before the next one interrupts it, and no
//! leader would be confirmed in time. They only decide when an election starts
//! and when a leader gives up, never who may be elected or what is committed.

mod election;
mod followers;
mod founding;
mod replication;
mod voters;

use std::collections::BTreeSet;
use std::time::Duration;

use hollowbarrow_schema::{
    DaemonId, DiskId, EntryPayload, LogEntry, LogIndex, LogMessage, LogSnapshot, Term,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use thiserror::Error;
use tokio::time::Instant;

use self::founding::FoundingProgress;
use crate::electorate::Electorate;
use crate::leader::LeaderRole;
use crate::storage::{LogStorage, StoreLogError, VoteRecord};

/// Maximum number of entries in one message.
const BATCH_ENTRIES: usize = 512;
/// Factor by which timeouts grow at most.
const MAX_TIMEOUT_GROWTH: u32 = 8;
/// Highest exponent of the growth with each election that fails.
const MAX_FAILED_VOTES: u32 = 3;
/// A follower waits for its leader this many times as long as the leader was recently silent.
const LEADER_GAP_FACTOR: u32 = 2;
/// An election waits this many times as long as an answer to a trial recently took.
const TRIAL_TRIP_FACTOR: u32 = 2;
/// A leader waits for its confirmation this many times as long as one recently took.
const ROUND_TRIP_FACTOR: u32 = 4;
/// Number of heartbeats per election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 4;

/// Fixed settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    id: DaemonId,
    peers: BTreeSet<DaemonId>,
    first_voters: Vec<DaemonId>,
    learners: bool,
    founding: bool,
    election: Duration,
    first_election: Option<Duration>,
    seed: u64,
}

impl ReplicaConfig {
    /// Creates settings for a daemon, its peers and the initial voters.
    pub fn new(id: &DaemonId, peers: &[DaemonId], first_voters: &[DaemonId]) -> Self {
        Self {
            id: id.clone(),
            peers: peers.iter().cloned().collect(),
            first_voters: first_voters.to_vec(),
            learners: true,
            founding: true,
            election: Duration::from_millis(1000),
            first_election: None,
            seed: 0,
        }
    }

    /// Adds a peer.
    pub(crate) fn add_peer(&mut self, peer: &DaemonId) {
        self.peers.insert(peer.clone());
    }

    /// Sets whether peers that are not voters follow the log as learners.
    pub fn with_learners(mut self, learners: bool) -> Self {
        self.learners = learners;
        self
    }

    /// Sets whether this replica may found a log together with others whose disks are also empty. A
    /// disk keeps this from its first use, so it must be false for one that was emptied since.
    pub fn with_founding(mut self, founding: bool) -> Self {
        self.founding = founding;
        self
    }

    /// Forbids founding, also to a disk that has not been used yet.
    pub(crate) fn forbid_founding(&mut self) {
        self.founding = false;
    }

    /// Sets the election timeout: the time without a leader's message after which a voter starts an
    /// election.
    pub fn with_election(mut self, election: Duration) -> Self {
        self.election = election;
        self
    }

    /// Sets the election timeout of a voter that has received no leader's message since its start;
    /// by default the usual election timeout applies.
    ///
    /// The election fails if there is a leader, because voters that follow one reject a trial.
    /// Votes that the voter gave a leader before its own restart do not delay the election, so code
    /// that relies on a leader's confirmation must wait for an election timeout at the beginning of
    /// a term.
    pub fn with_first_election(mut self, first_election: Duration) -> Self {
        self.first_election = Some(first_election);
        self
    }

    /// Sets the seed of the jitter.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// Why no quorum may count a replica.
#[derive(Debug, Error)]
pub enum ReplicaFault {
    /// The storage failed.
    #[error("storage failed: {0}")]
    Storage(#[from] StoreLogError),
    /// The replica is a voter but has no disk.
    #[error("this daemon is a voter but has no data folder")]
    NoDisk,
    /// The replica is a voter, and its disk is not the one that the log names.
    #[error("the data folder is empty although the log is not; replace this voter")]
    LostDisk,
    /// A leader sent entries that conflict with committed entries of this replica.
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
        /// In the first trial after a leader's silence: that leader, which may still lead.
        leader: Option<DaemonId>,
        granted: BTreeSet<DaemonId>,
        /// Those of them whose disks the log names; only these elect a leader that does not found.
        named: BTreeSet<DaemonId>,
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
    voters: Electorate,
    founding: FoundingProgress,
    commit: LogIndex,
    applied: LogIndex,
    deadline: Instant,
    /// Time of the last message from a leader.
    leader_contact: Option<Instant>,
    /// Number of elections that this replica has started since its own start.
    elections: u32,
    /// Time at which this replica last started an election.
    last_election: Instant,
    /// Time at which this replica last asked for trial votes.
    last_trial: Instant,
    /// Longest time that an answer to such a request recently took.
    trial_trip: Duration,
    /// Term of that leader.
    leader_term: Term,
    /// Longest time for which a leader was recently silent and then continued to lead.
    leader_gap: Duration,
    /// Number of recent terms in which this replica voted and no leader was elected in time.
    failed_votes: u32,
    /// Last term that was counted as failed.
    last_failed_term: Term,
    /// See [`LogReplica::confirmed`].
    confirmed: Option<Instant>,
    /// See [`LogReplica::complete`].
    complete: Option<Instant>,
    fault: Option<ReplicaFault>,
    /// Messages that may be sent before the storage is synced.
    early: Vec<(DaemonId, LogMessage)>,
    /// Messages that must wait for the sync of the storage.
    late: Vec<(DaemonId, LogMessage)>,
    installed: bool,
    rng: ChaCha8Rng,
}

impl<S: LogStorage> LogReplica<S> {
    /// Creates a replica from the state in its storage.
    pub fn new(config: ReplicaConfig, storage: S, now: Instant) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        let snapshot = storage.window().snapshot_index();
        let founding = FoundingProgress::new(storage.vote().founders.as_ref());
        let mut replica = Self {
            config,
            storage,
            role: ReplicaRole::Follower { leader: None },
            voters: Electorate::default(),
            founding,
            commit: snapshot,
            applied: snapshot,
            deadline: now,
            leader_contact: None,
            elections: 0,
            last_election: now,
            last_trial: now,
            trial_trip: Duration::ZERO,
            leader_term: Term(0),
            leader_gap: Duration::ZERO,
            failed_votes: 0,
            last_failed_term: Term(0),
            confirmed: None,
            complete: None,
            fault: None,
            early: Vec::new(),
            late: Vec::new(),
            installed: *snapshot > 0,
            rng,
        };
        replica.identify_disk();
        replica.refresh_voters();
        replica.reset_deadline(now);
        trace(format_args!("start term={} vote={:?} next_in={}", *replica.term(), replica.storage.vote().vote, (replica.deadline-now).as_millis()));
        replica
    }

    /// Draws the id of a disk that has none yet.
    fn identify_disk(&mut self) {
        if self.storage.is_durable() && self.storage.vote().disk.is_none() {
            let (disk, founder) = (Some(DiskId(rand::random())), self.config.founding);
            self.save_vote(VoteRecord { disk, founder, ..self.storage.vote().clone() });
        }
    }

    /// Adds a peer that was discovered after the start: it follows the log and may become a voter.
    pub fn add_peer(&mut self, peer: DaemonId) {
        if self.config.peers.insert(peer) {
            self.track_followers();
        }
    }

    /// Returns the index up to which entries were taken.
    pub(crate) fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the id of this replica's daemon.
    pub fn id(&self) -> &DaemonId {
        &self.config.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.storage.vote().term
    }

    /// Returns the highest index known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// Returns whether this replica is the leader and has committed an entry of its own term.
    pub fn is_current(&self) -> bool {
        self.is_leader() && self.storage.window().term_at(self.commit) == Some(self.term())
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&DaemonId> {
        match &self.role {
            ReplicaRole::Leader(_) => Some(&self.config.id),
            ReplicaRole::Follower { leader } => leader.as_ref(),
            ReplicaRole::Candidate { leader, .. } => leader.as_ref(),
        }
    }

    /// Returns the latest time at which a majority is known to have confirmed the leader that this
    /// replica follows.
    pub fn confirmed(&self) -> Option<Instant> {
        match &self.role {
            ReplicaRole::Leader(role) => Some(role.confirmed),
            _ => self.confirmed,
        }
    }

    /// Returns the latest time for which it is known that all entries acknowledged before it are
    /// committed here; none if this replica has not caught up with a leader since its start.
    pub fn complete(&self) -> Option<Instant> {
        match &self.role {
            ReplicaRole::Leader(role) if self.is_current() => Some(role.confirmed),
            _ => self.complete,
        }
    }

    /// Returns the voters, as stated by the latest entry that changes them.
    pub fn voters(&self) -> &[DaemonId] {
        self.voters.ids()
    }

    /// Returns why no quorum may count this replica, if it has a fault.
    pub fn fault(&self) -> Option<&ReplicaFault> {
        self.fault.as_ref()
    }

    /// Returns the storage for reading.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// Returns the storage, for restarts in tests.
    pub fn into_storage(self) -> S {
        self.storage
    }

    /// Returns the time at which [`LogReplica::tick`] is next due.
    pub fn next_deadline(&self) -> Instant {
        match &self.role {
            ReplicaRole::Leader(role) => role.next_heartbeat,
            _ => self.deadline,
        }
    }

    /// Takes the snapshot that replaced the applied state, if any; the caller must restore the state
    /// from it before it applies entries.
    pub fn take_installed(&mut self) -> Option<&LogSnapshot> {
        if !std::mem::take(&mut self.installed) {
            return None;
        }
        let snapshot = self.storage.window().snapshot()?;
        self.applied = self.applied.max(snapshot.index);
        Some(snapshot)
    }

    /// Takes the committed entries that were not taken before, in order.
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

    /// Continues after the entries that an earlier replica of this process has applied.
    pub(crate) fn resume_applied(&mut self, applied: LogIndex) {
        if applied >= self.storage.window().snapshot_index() {
            self.installed = false;
        }
        self.applied = self.applied.max(applied);
    }

    /// Takes the messages that may be sent before the storage is synced.
    pub fn take_early(&mut self) -> Vec<(DaemonId, LogMessage)> {
        std::mem::take(&mut self.early)
    }

    /// Syncs the storage and returns all messages, including those that had to wait for the sync.
    pub fn flush(&mut self, now: Instant) -> Vec<(DaemonId, LogMessage)> {
        if self.storage_fault().is_none() {
            match self.storage.sync() {
                Ok(()) => self.record_local_sync(now),
                Err(error) => self.fail(error.into()),
            }
        }
        let mut messages = std::mem::take(&mut self.early);
        messages.append(&mut self.late);
        messages
    }

    fn record_local_sync(&mut self, now: Instant) {
        let last = self.storage.window().last_index();
        if let ReplicaRole::Leader(role) = &mut self.role {
            role.synced = last;
            self.advance_commit(now);
        }
    }

    /// Sends heartbeats, steps down or starts an election if the deadline has passed.
    pub fn tick(&mut self, now: Instant) {
        if now < self.next_deadline() {
            return;
        }
        if let ReplicaRole::Leader(role) = &self.role {
            if now.saturating_duration_since(role.confirmed) > self.confirmation_timeout(role) {
                trace(format_args!("unconfirmed_step_down age={} rt={}", now.saturating_duration_since(role.confirmed).as_millis(), role.round_trip.as_millis()));
                self.step_down(self.term(), None, now);
            } else {
                self.name_missing_disks(now);
                self.broadcast(now, true);
            }
            return;
        }
        self.count_failed_vote();
        let late = now.saturating_duration_since(self.deadline).as_millis();
        self.reset_deadline(now);
        trace(format_args!("tick late={late} next_in={} failed={} elections={} trip={} leader={:?} quorum_member={}", (self.deadline-now).as_millis(), self.failed_votes, self.elections, self.trial_trip.as_millis(), self.leader(), self.is_quorum_member()));
        if self.is_quorum_member() || self.may_found() {
            self.elections = self.elections.saturating_add(1);
            self.last_election = now;
            self.campaign(now, true, false);
        }
    }

    /// Appends payloads if this replica is the leader; returns the index of the first one.
    ///
    /// Returns none if it is not the leader, if a change of the voters is proposed
    /// while another one is not committed yet or before this leader has committed
    /// an entry, if the change adds or removes more than one daemon or adds one
    /// that is unknown, or if the storage fails. A daemon that has not replied yet,
    /// or not since it was removed, is refused too, but is sent the log, so that a
    /// later proposal can add it.
    pub fn propose(&mut self, payloads: Vec<EntryPayload>, now: Instant) -> Option<LogIndex> {
        if !self.is_leader() {
            return None;
        }
        let payloads = payloads.into_iter().map(|payload| self.prepare_payload(payload, now));
        let payloads: Vec<EntryPayload> = payloads.collect::<Option<_>>()?;
        let first = LogIndex(*self.storage.window().last_index() + 1);
        let term = self.term();
        let entries: Vec<LogEntry> = payloads
            .into_iter()
            .zip(*first..)
            .map(|(payload, index)| LogEntry { index: LogIndex(index), term, payload })
            .collect();
        // Replies to a change of the voters are told from earlier ones by their round.
        let new_round =
            entries.iter().any(|entry| Electorate::from_payload(&entry.payload).is_some());
        if !self.append(&entries) {
            return None;
        }
        self.broadcast(now, new_round);
        Some(first)
    }

    /// Steps down if this replica is the leader and delays its next election, so that another voter
    /// becomes the leader first.
    pub fn hand_over(&mut self, now: Instant) {
        if self.is_leader() {
            self.step_down(self.term(), None, now);
            self.deadline = now + self.config.election * 4;
        }
    }

    /// Processes a message from another replica.
    pub fn step(&mut self, from: &DaemonId, message: LogMessage, now: Instant) {
        match message {
            LogMessage::Vote(request) => self.on_vote(from, &request, now),
            LogMessage::VoteReply(reply) => self.on_vote_reply(from, &reply, now),
            LogMessage::Append(request) => self.on_append(from, request, now),
            LogMessage::AppendReply(reply) => self.on_append_reply(from, &reply, now),
            LogMessage::Snapshot(request) => self.on_snapshot(from, request, now),
        }
    }

    fn storage_fault(&self) -> Option<&ReplicaFault> {
        self.fault.as_ref().filter(|fault| matches!(fault, ReplicaFault::Storage(_)))
    }

    pub(crate) fn is_blank(&self) -> bool {
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
            if let Some(voters) = Electorate::from_payload(&entry.payload) {
                self.set_voters(voters);
            }
        }
        self.refresh_fault();
        true
    }

    fn reset_deadline(&mut self, now: Instant) {
        let first = self.config.first_election.filter(|_| self.is_starting());
        // If messages take longer than the first election timeout, each election is interrupted by
        // the next one, and if every vote is needed, candidates block each other. The timeout
        // therefore doubles with each election, up to the usual election timeout.
        let grown = first.map(|timeout| timeout * 2u32.saturating_pow(self.elections));
        let timeout = grown.map_or(self.config.election, |grown| grown.min(self.config.election));
        let jitter = self.rng.random_range(1.0..2.0);
        self.deadline = now + self.slowed_timeout(timeout).mul_f64(jitter);
    }

    /// Returns a timeout prolonged by the delays that this replica has measured.
    fn slowed_timeout(&self, timeout: Duration) -> Duration {
        let most = self.config.election * MAX_TIMEOUT_GROWTH;
        match self.leader() {
            Some(_) => timeout.max((self.leader_gap * LEADER_GAP_FACTOR).min(most)),
            None => {
                let grown = timeout * 2u32.pow(self.failed_votes);
                grown.max((self.trial_trip * TRIAL_TRIP_FACTOR).min(most))
            }
        }
    }

    /// Returns for how long a leader waits until a majority confirms it.
    fn confirmation_timeout(&self, role: &LeaderRole) -> Duration {
        let most = self.config.election * MAX_TIMEOUT_GROWTH;
        (self.config.election * 2).max((role.round_trip * ROUND_TRIP_FACTOR).min(most))
    }

    /// Counts the current term as failed if this replica voted in it and no leader has emerged. A
    /// majority agreed to that election beforehand, so its messages were late or votes were split.
    fn count_failed_vote(&mut self) {
        let voted = self.storage.vote().vote.is_some();
        if voted && self.leader().is_none() && self.term() > self.last_failed_term {
            self.last_failed_term = self.term();
            self.failed_votes = (self.failed_votes + 1).min(MAX_FAILED_VOTES);
        }
    }

    /// Records a message of the current term's leader.
    fn record_leader_contact(&mut self, term: Term, now: Instant) {
        let silent = self.leader_contact.filter(|_| term == self.leader_term);
        let silent = silent.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.leader_gap = silent.max(decay(self.leader_gap));
        self.leader_contact = Some(now);
        self.leader_term = term;
        self.failed_votes = 0;
    }

    /// Returns whether this replica has received no leader's message and has not led since its
    /// start.
    fn is_starting(&self) -> bool {
        self.leader_contact.is_none() && self.confirmed.is_none()
    }

    fn step_down(&mut self, term: Term, leader: Option<DaemonId>, now: Instant) {
        let vote = VoteRecord { term, vote: None, ..self.storage.vote().clone() };
        if term > self.term() && !self.save_vote(vote) {
            return;
        }
        if let ReplicaRole::Leader(role) = &self.role {
            self.confirmed = self.confirmed.max(Some(role.confirmed));
            self.complete = self.complete.max(self.complete());
        }
        self.role = ReplicaRole::Follower { leader };
        self.reset_deadline(now);
    }

    /// Replaces the applied entries by a snapshot of the resulting state.
    pub fn compact(&mut self, state: Vec<u8>) {
        let window = self.storage.window();
        let Some(term) = window.term_at(self.applied) else { return };
        let voters = self.voters_at(self.applied);
        let (voters, disks) = (voters.ids().to_vec(), voters.voter_disks());
        let snapshot = LogSnapshot { index: self.applied, term, voters, disks, state };
        if self.applied > window.snapshot_index()
            && let Err(error) = self.storage.install_snapshot(snapshot)
        {
            self.fail(error.into());
        }
    }
}

/// Trial trace.
pub(crate) fn trace(text: std::fmt::Arguments<'_>) {
    let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    eprintln!("TRACE at={} {text}", at.as_millis());
}

/// Returns what remains of a measured delay after another measurement.
pub(crate) fn decay(delay: Duration) -> Duration {
    delay * 7 / 8
}
