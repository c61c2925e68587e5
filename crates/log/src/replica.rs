//! One replica of a log: it votes, leads or follows.
//!
//! The replica is driven with messages and the time and answers with messages.
//! It holds no thread and no socket. Its rules are those of leader-based
//! replication with terms: one vote a term, an up-to-date check, commitment by
//! a majority in the leader's own term, and one change of the voters at a time.
//! Trial elections keep a returning replica from disturbing a healthy leader;
//! a leader that a majority has not confirmed for an election time steps down.

mod election;
mod replication;
mod voters;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::{
    DaemonId, EntryPayload, LogEntry, LogIndex, LogMessage, LogSnapshot, Term,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use thiserror::Error;
use tokio::time::Instant;

use crate::leader::LeaderRole;
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
    founding: bool,
    election: Duration,
    first_election: Option<Duration>,
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

    /// Sets whether peers that do not vote follow the log too.
    pub fn with_learners(mut self, learners: bool) -> Self {
        self.learners = learners;
        self
    }

    /// Sets whether this replica may found a log together with others whose disks are empty too.
    pub fn with_founding(mut self, founding: bool) -> Self {
        self.founding = founding;
        self
    }

    /// Sets the silence after which a voter stands for election.
    pub fn with_election(mut self, election: Duration) -> Self {
        self.election = election;
        self
    }

    /// Sets the time after which a voter that has just started, and has heard of no leader since,
    /// stands for election; without it, it waits as if it missed a leader.
    ///
    /// Where one leads it comes to nothing, since who follows a leader refuses a trial. Votes that a
    /// leader was given before a restart do not hold such a voter back, so that whoever counts on
    /// a leader's confirmation must wait out an election time at the beginning of a term.
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
    /// Times that this replica has stood since its start.
    stood: u32,
    /// When it last stood.
    stood_at: Instant,
    confirmed: Option<Instant>,
    complete: Option<Instant>,
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
            stood: 0,
            stood_at: now,
            confirmed: None,
            complete: None,
            fault: None,
            early: Vec::new(),
            late: Vec::new(),
            installed: *snapshot > 0,
            rng,
        };
        replica.refresh_voters();
        if !replica.config.founding {
            // Where no log is being founded, a voter with an empty disk has lost it.
            replica.check_quorum_member();
        }
        replica.reset_deadline(now);
        replica
    }

    /// Adds a peer that was learned of after the start: it follows the log, and may become a voter.
    pub fn add_peer(&mut self, peer: DaemonId) {
        if self.config.peers.insert(peer) {
            self.track_followers();
        }
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

    /// Whether this replica leads and has committed an entry of its own term.
    pub fn is_current(&self) -> bool {
        self.is_leader() && self.storage.window().term_at(self.commit) == Some(self.term())
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

    /// Latest moment of which it is known that everything acknowledged until then is committed
    /// here; none since the start if this replica has not caught up with a leader yet.
    pub fn complete(&self) -> Option<Instant> {
        match &self.role {
            ReplicaRole::Leader(role) if self.is_current() => Some(role.confirmed),
            _ => self.complete,
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
            self.stood = self.stood.saturating_add(1);
            self.stood_at = now;
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

    fn storage_fault(&self) -> Option<&ReplicaFault> {
        self.fault.as_ref().filter(|fault| matches!(fault, ReplicaFault::Storage(_)))
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

    fn reset_deadline(&mut self, now: Instant) {
        let first = self.config.first_election.filter(|_| self.is_starting());
        // Where messages take longer than the first silence, each try is cut short by the next one,
        // and where every vote is needed voters get in each other's way: tries that fail grow apart.
        let grown = first.map(|silence| silence * 2u32.saturating_pow(self.stood));
        let silence = grown.map_or(self.config.election, |grown| grown.min(self.config.election));
        let jitter = self.rng.random_range(1.0..2.0);
        self.deadline = now + silence.mul_f64(jitter);
    }

    /// Whether no leader was heard of, and this one has not led, since the start.
    fn is_starting(&self) -> bool {
        self.heard.is_none() && self.confirmed.is_none()
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
            self.complete = self.complete.max(self.complete());
        }
        self.role = ReplicaRole::Follower { leader };
        self.reset_deadline(now);
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
