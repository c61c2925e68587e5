//! Runs a replica and its state machine on one thread.
//!
//! The thread takes all queued inputs, steps the replica through them, sends
//! the messages that need not wait for the disk, syncs the storage once, and
//! sends the other messages. One sync thus covers all proposals of a batch.
//!
//! Invariant: a proposal is answered with its outcome only after its entry was
//! applied from the committed log. If the entry was replaced, the answer is
//! `Lost`; if the outcome cannot be known, the answer's channel is dropped.

use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use hollowbarrow_schema::{
    DaemonId, EntryPayload, LogEntry, LogIndex, LogMessage, ProposalOutcome, Term,
};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::file::FileStorage;
use crate::replica::{LogReplica, ReplicaConfig};
use crate::storage::{LogStorage, MemoryStorage, StoreLogError};

/// Maximum number of inputs processed before the storage is synced.
const BATCH_INPUTS: usize = 1024;
/// Delay before a failed storage is opened again.
const REOPEN_PAUSE: Duration = Duration::from_secs(2);

/// Time without a reply after which a voter no longer counts as available.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// Deterministic state machine to which every replica applies the same entries.
pub trait StateMachine: Send + Sync + 'static {
    /// Applies one committed entry and returns its outcome.
    fn apply(&mut self, entry: &LogEntry) -> ProposalOutcome;

    /// Encodes the complete state for a snapshot.
    fn to_snapshot(&self) -> Vec<u8>;

    /// Replaces the complete state by that of a snapshot; returns false if it cannot be decoded.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}

/// A change of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum AppliedChange<'a> {
    /// A committed entry was applied.
    Entry(&'a LogEntry),
    /// A snapshot replaced the complete state; entries up to its index are not reported.
    Snapshot(LogIndex),
}

/// Callback for changes of the state machine.
pub type AppliedCallback = Box<dyn Fn(AppliedChange<'_>) + Send>;

/// Function that sends outgoing messages.
type SendMessage = Box<dyn Fn(&DaemonId, LogMessage) + Send>;

/// Settings of a driver.
pub struct DriverConfig {
    name: &'static str,
    replica: ReplicaConfig,
    folder: Option<std::path::PathBuf>,
    snapshot_entries: usize,
    applied: Option<AppliedCallback>,
}

impl DriverConfig {
    /// Creates settings; without a folder the replica follows the log but cannot vote.
    pub fn new(replica: ReplicaConfig, folder: Option<std::path::PathBuf>) -> Self {
        Self { name: "log", replica, folder, snapshot_entries: 4096, applied: None }
    }

    /// Sets the name of the log in log lines.
    pub fn with_name(mut self, name: &'static str) -> Self {
        self.name = name;
        self
    }

    /// Sets the number of applied entries after which they are replaced by a snapshot.
    pub fn with_snapshot_entries(mut self, entries: usize) -> Self {
        self.snapshot_entries = entries;
        self
    }

    /// Sets the callback for each applied entry and each installed snapshot.
    pub fn with_applied_callback(mut self, applied: AppliedCallback) -> Self {
        self.applied = Some(applied);
        self
    }
}

/// Input of a driver.
pub enum DriverInput {
    /// A message from another replica.
    Message(DaemonId, LogMessage),
    /// A proposal and the channel for its outcome.
    Propose(EntryPayload, Sender<ProposalOutcome>),
    /// A peer that was discovered after the start.
    AddPeer(DaemonId),
    /// Step down as leader, because this daemon is about to stop.
    HandOver,
    /// Stop the thread.
    Stop,
}

/// Published state of a replica.
#[derive(Clone, Debug, Default)]
pub struct LogView {
    /// Leader of the current term, if known.
    pub leader: Option<DaemonId>,
    /// Whether this daemon is the leader.
    pub leads: bool,
    /// Current term.
    pub term: Term,
    /// Highest applied index.
    pub applied: LogIndex,
    /// Latest time at which a majority confirmed the leader that this replica follows.
    pub confirmed: Option<Instant>,
    /// Latest time for which it is known that all entries acknowledged before it are applied here.
    pub complete: Option<Instant>,
    /// Voting daemons.
    pub voters: Vec<DaemonId>,
    /// Whether this daemon is the leader and has committed an entry of its own term, so that its
    /// applied state includes every entry acknowledged before.
    pub current: bool,
    /// Whether this daemon is a voter whose disk is not the one that the log names.
    pub lost_disk: bool,
    /// Why no quorum may count this replica, if it has a fault.
    pub fault: Option<String>,
    /// Voters that replied to this leader and may not be counted in a quorum, for example because
    /// they lost their disks; empty if this replica is not the leader.
    pub uncounted: Vec<DaemonId>,
    /// Whether a change of the voters is not committed yet.
    pub voters_pending: bool,
    /// When each other voter last replied to this leader, at the earliest when it became the leader;
    /// empty if this replica is not the leader.
    pub contacts: BTreeMap<DaemonId, Instant>,
    /// Daemons with a disk that replied to this leader recently and do not vote, the one that lacks
    /// the least of the log first; empty if this replica is not the leader.
    pub candidates: Vec<DaemonId>,
    /// Number of voters that this leader counts and that replied recently, including itself; 0 if
    /// this replica is not the leader.
    pub counted: usize,
}

/// Handle to a replica that runs on its own thread.
pub struct LogDriver<M> {
    inputs: Sender<DriverInput>,
    machine: Arc<RwLock<M>>,
    view: watch::Receiver<LogView>,
}

impl<M> Clone for LogDriver<M> {
    fn clone(&self) -> Self {
        Self {
            inputs: self.inputs.clone(),
            machine: Arc::clone(&self.machine),
            view: self.view.clone(),
        }
    }
}

impl<M: StateMachine> LogDriver<M> {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be opened or holds damaged files.
    pub fn start(
        config: DriverConfig,
        machine: M,
        send: impl Fn(&DaemonId, LogMessage) + Send + 'static,
    ) -> Result<Self, StoreLogError> {
        let storage = open_storage(config.folder.as_deref())?;
        let (inputs, receiver) = flume::unbounded();
        let machine = Arc::new(RwLock::new(machine));
        let (view_sender, view) = watch::channel(LogView::default());
        let replica = LogReplica::new(config.replica.clone(), storage, Instant::now());
        let worker = DriverWorker {
            config,
            replica,
            machine: Arc::clone(&machine),
            send: Box::new(send),
            view: view_sender,
            waiters: BTreeMap::new(),
            last_snapshot: LogIndex(0),
            reopen: None,
            timer_delay: Duration::ZERO,
            fault_since: None,
        };
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || worker.run(&receiver))
            .map_err(|source| StoreLogError::AccessFile {
                action: "start a thread for",
                path: std::path::PathBuf::from("log"),
                source,
            })?;
        Ok(Self { inputs, machine, view })
    }

    /// Passes a message from another replica to this one.
    pub fn deliver(&self, from: &DaemonId, message: LogMessage) {
        let _ = self.inputs.send(DriverInput::Message(from.clone(), message));
    }

    /// Proposes an entry. The outcome is sent on the returned channel, which is
    /// dropped if the outcome cannot be known.
    pub fn propose(&self, payload: EntryPayload) -> Receiver<ProposalOutcome> {
        let (sender, receiver) = flume::bounded(1);
        let _ = self.inputs.send(DriverInput::Propose(payload, sender));
        receiver
    }

    /// Adds a peer that was discovered after the start; it follows the log.
    pub fn add_peer(&self, peer: &DaemonId) {
        let _ = self.inputs.send(DriverInput::AddPeer(peer.clone()));
    }

    /// Steps down if this replica is the leader.
    pub fn hand_over(&self) {
        let _ = self.inputs.send(DriverInput::HandOver);
    }

    /// Stops the thread; later calls have no effect.
    pub fn stop(&self) {
        let _ = self.inputs.send(DriverInput::Stop);
    }

    /// Reads the applied state.
    pub fn read<T>(&self, read: impl FnOnce(&M) -> T) -> T {
        read(&self.machine.read().expect("no holder of the lock panics"))
    }

    /// Returns the current published state of the replica.
    pub fn view(&self) -> LogView {
        self.view.borrow().clone()
    }

    /// Returns a receiver for changes of the published state.
    pub fn watch(&self) -> watch::Receiver<LogView> {
        self.view.clone()
    }
}

fn open_storage(folder: Option<&std::path::Path>) -> Result<Box<dyn LogStorage>, StoreLogError> {
    Ok(match folder {
        Some(folder) => Box::new(FileStorage::open(folder)?),
        None => Box::new(MemoryStorage::new()),
    })
}

struct DriverWorker<M> {
    config: DriverConfig,
    replica: LogReplica<Box<dyn LogStorage>>,
    machine: Arc<RwLock<M>>,
    send: SendMessage,
    view: watch::Sender<LogView>,
    waiters: BTreeMap<LogIndex, (Term, Sender<ProposalOutcome>)>,
    last_snapshot: LogIndex,
    reopen: Option<Instant>,
    /// How late the replica's timer was at the last step; zero if it was not due.
    timer_delay: Duration,
    /// Since when this replica has had a fault.
    fault_since: Option<Instant>,
}

impl<M: StateMachine> DriverWorker<M> {
    fn run(mut self, inputs: &Receiver<DriverInput>) {
        loop {
            self.publish();
            let deadline = self.reopen.unwrap_or(self.replica.next_deadline());
            let wait = deadline.saturating_duration_since(Instant::now());
            let first = match inputs.recv_timeout(wait) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let batch = first.into_iter().chain(inputs.try_iter().take(BATCH_INPUTS));
            if !self.process_batch(batch) {
                return;
            }
            let now = Instant::now();
            self.timer_delay = now.saturating_duration_since(self.replica.next_deadline());
            self.replica.tick(now);
            self.send_all(Phase::Early);
            self.send_all(Phase::Flushed);
            self.apply_committed();
            self.reopen_failed();
        }
    }

    /// Steps the replica through inputs, with all proposals as one batch; returns false on
    /// [`DriverInput::Stop`].
    fn process_batch(&mut self, batch: impl Iterator<Item = DriverInput>) -> bool {
        let mut payloads = Vec::new();
        let mut senders = Vec::new();
        for input in batch {
            match input {
                DriverInput::Message(from, message) => {
                    self.replica.step(&from, message, Instant::now());
                }
                DriverInput::Propose(payload @ EntryPayload::Voters(_), sender) => {
                    self.propose_voters(payload, sender);
                }
                DriverInput::Propose(payload, sender) => {
                    payloads.push(payload);
                    senders.push(sender);
                }
                DriverInput::AddPeer(peer) => {
                    self.config.replica.add_peer(&peer);
                    self.replica.add_peer(peer);
                }
                DriverInput::HandOver => self.replica.hand_over(Instant::now()),
                DriverInput::Stop => return false,
            }
        }
        if !payloads.is_empty() {
            self.propose_batch(payloads, senders);
        }
        true
    }

    fn propose_voters(&mut self, payload: EntryPayload, sender: Sender<ProposalOutcome>) {
        let committed = !self.replica.is_voter_change_pending();
        if self.replica.is_leader() && committed && self.matches_current_voters(&payload) {
            // The proposal was repeated after its answer was lost; the change is already applied.
            let _ = sender.send(ProposalOutcome::VotersChanged);
        } else if self.replica.is_leader() {
            match self.replica.propose(vec![payload], Instant::now()) {
                Some(index) => {
                    self.waiters.insert(index, (self.replica.term(), sender));
                }
                None => {
                    let _ = sender.send(ProposalOutcome::Busy);
                }
            }
        } else {
            let _ = sender.send(ProposalOutcome::NoLeader);
        }
    }

    fn matches_current_voters(&self, payload: &EntryPayload) -> bool {
        let EntryPayload::Voters(requested) = payload else { return false };
        let sorted = |voters: &[DaemonId]| {
            let mut voters = voters.to_vec();
            voters.sort();
            voters
        };
        sorted(requested) == sorted(self.replica.voters())
    }

    fn propose_batch(
        &mut self,
        payloads: Vec<EntryPayload>,
        senders: Vec<Sender<ProposalOutcome>>,
    ) {
        match self.replica.propose(payloads, Instant::now()) {
            Some(first) => {
                let term = self.replica.term();
                for (index, sender) in (*first..).zip(senders) {
                    self.waiters.insert(LogIndex(index), (term, sender));
                }
            }
            None => {
                for sender in senders {
                    let _ = sender.send(ProposalOutcome::NoLeader);
                }
            }
        }
    }

    fn send_all(&mut self, phase: Phase) {
        let messages = match phase {
            Phase::Early => self.replica.take_early(),
            Phase::Flushed => {
                let before = Instant::now();
                let messages = self.replica.flush(before);
                if before.elapsed() > Duration::from_millis(50) {
                    crate::replica::trace(format_args!("slow_flush ms={}", before.elapsed().as_millis()));
                }
                messages
            }
        };
        for (to, message) in messages {
            (self.send)(&to, message);
        }
    }

    fn apply_committed(&mut self) {
        if let Some(snapshot) = self.replica.take_installed() {
            let index = snapshot.index;
            let restored = self
                .machine
                .write()
                .expect("no holder of the lock panics")
                .restore(&snapshot.state);
            if !restored {
                log::error!("event=snapshot_unreadable index={}", *index);
            } else if let Some(applied) = &self.config.applied {
                applied(AppliedChange::Snapshot(index));
            }
            self.last_snapshot = index;
            self.waiters = self.waiters.split_off(&LogIndex(*index + 1));
        }
        let entries = self.replica.take_committed();
        let Some(last) = entries.last().map(|entry| entry.index) else { return };
        let mut outcomes = Vec::with_capacity(entries.len());
        {
            let mut machine = self.machine.write().expect("no holder of the lock panics");
            for entry in &entries {
                outcomes.push(match entry.payload {
                    EntryPayload::Voters(_) | EntryPayload::VoterSet(_) => {
                        ProposalOutcome::VotersChanged
                    }
                    _ => machine.apply(entry),
                });
            }
        }
        for (entry, outcome) in entries.iter().zip(outcomes) {
            if let Some(applied) = &self.config.applied {
                applied(AppliedChange::Entry(entry));
            }
            if let Some((term, sender)) = self.waiters.remove(&entry.index) {
                let outcome = if term == entry.term { outcome } else { ProposalOutcome::Lost };
                let _ = sender.send(outcome);
            }
        }
        if *last >= *self.last_snapshot + self.config.snapshot_entries as u64 {
            let state = self.machine.read().expect("no holder of the lock panics").to_snapshot();
            self.replica.compact(state);
            self.last_snapshot = last;
        }
    }

    /// Opens a failed storage again after a delay, as a restart of the daemon would.
    fn reopen_failed(&mut self) {
        let failed = matches!(self.replica.fault(), Some(crate::ReplicaFault::Storage(_)));
        let now = Instant::now();
        match self.reopen {
            None if failed => {
                if let Some(fault) = self.replica.fault() {
                    log::error!("event=storage_failed reason={:?}", fault.to_string());
                }
                self.reopen = Some(now + REOPEN_PAUSE);
            }
            Some(at) if now >= at => {
                self.reopen = Some(now + REOPEN_PAUSE);
                if let Ok(storage) = open_storage(self.config.folder.as_deref()) {
                    let applied = self.replica.applied();
                    if !self.replica.is_blank() {
                        // A folder that is empty now has lost what it held.
                        self.config.replica.forbid_founding();
                    }
                    self.replica = LogReplica::new(self.config.replica.clone(), storage, now);
                    self.replica.resume_applied(applied);
                    // The outcomes of proposals to the failed replica cannot be known.
                    self.waiters.clear();
                    self.reopen = None;
                }
            }
            _ => {}
        }
    }

    fn publish(&mut self) {
        let now = Instant::now();
        let view = LogView {
            leader: self.replica.leader().cloned(),
            leads: self.replica.is_leader(),
            term: self.replica.term(),
            applied: self.replica.commit(),
            confirmed: self.replica.confirmed(),
            complete: self.replica.complete(),
            voters: self.replica.voters().to_vec(),
            current: self.replica.is_current(),
            lost_disk: matches!(self.replica.fault(), Some(crate::ReplicaFault::LostDisk)),
            fault: self.replica.fault().map(ToString::to_string),
            uncounted: self.replica.uncounted_voters(),
            voters_pending: self.replica.is_voter_change_pending(),
            candidates: self.replica.candidate_voters(CONTACT_TIMEOUT, now),
            contacts: self.replica.voter_contacts(),
            counted: self.replica.counted_voters(CONTACT_TIMEOUT, now),
        };
        self.log_leader_change(&view);
        self.log_fault_change(&view);
        self.log_quorum_change(&view);
        self.view.send_replace(view);
    }

    /// Logs that this replica stops or begins to count in quorums, and for how long it did not.
    fn log_fault_change(&mut self, view: &LogView) {
        if self.view.borrow().fault == view.fault {
            return;
        }
        let now = Instant::now();
        match &view.fault {
            Some(fault) => {
                self.fault_since.get_or_insert(now);
                log::warn!("event=voter_fault log={} reason={fault:?}", self.config.name);
            }
            None => {
                let since = self.fault_since.take().unwrap_or(now);
                let lasted = now.saturating_duration_since(since).as_millis();
                log::info!("event=voter_fault_ended log={} lasted_ms={lasted}", self.config.name);
            }
        }
    }

    /// Logs, on the leader, how many voters count in quorums and which ones may not.
    fn log_quorum_change(&self, view: &LogView) {
        let former = self.view.borrow();
        let shown = |view: &LogView| (view.counted, view.voters.len(), view.uncounted.clone());
        if !view.leads || (former.leads && shown(&former) == shown(view)) {
            return;
        }
        let uncounted: Vec<&str> = view.uncounted.iter().map(|id| id.as_str()).collect();
        log::info!(
            "event=voters_counted log={} counted={} voters={} uncounted={}",
            self.config.name,
            view.counted,
            view.voters.len(),
            uncounted.join(",")
        );
    }

    /// Logs that this replica follows another leader than before, or none, and how late its own timer
    /// was, which tells an election that a lack of processor time caused from one by a lost leader.
    fn log_leader_change(&self, view: &LogView) {
        let former = self.view.borrow();
        if (&former.leader, former.term) == (&view.leader, view.term) {
            return;
        }
        log::info!(
            "event=log_leader log={} term={} leader={} timer_delay_ms={}",
            self.config.name,
            *view.term,
            view.leader.as_ref().map_or("-", |leader| leader.as_str()),
            self.timer_delay.as_millis()
        );
    }
}

#[derive(Clone, Copy)]
enum Phase {
    Early,
    Flushed,
}
