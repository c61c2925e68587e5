//! Runs a replica and the state machine behind it on one thread.
//!
//! The thread takes all inputs that wait, steps the replica through them, lets
//! the messages go that need not wait for the disk, syncs once, and lets the
//! rest go. One sync thus serves every proposal that came in meanwhile.
//!
//! Invariant: a proposal is answered with its outcome only after its entry was
//! applied from the committed log; where the entry was replaced the answer says
//! so, and where that cannot be known the answer's channel is dropped.

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

/// Most inputs taken before the storage is synced.
const BATCH_INPUTS: usize = 1024;
/// Pause before a failed storage is opened again.
const REOPEN_PAUSE: Duration = Duration::from_secs(2);

/// Something that entries are applied to, the same on every replica.
pub trait StateMachine: Send + Sync + 'static {
    /// Applies one committed entry and says what came of it.
    fn apply(&mut self, entry: &LogEntry) -> ProposalOutcome;

    /// The whole state, for a snapshot.
    fn to_snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by a snapshot's; false where it cannot be read.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}

/// What has changed the state machine.
#[derive(Clone, Copy, Debug)]
pub enum AppliedChange<'a> {
    /// A committed entry.
    Entry(&'a LogEntry),
    /// A snapshot that replaced the whole state; entries up to its index are not told of.
    Snapshot(LogIndex),
}

/// Who is told of what was applied.
pub type AppliedCallback = Box<dyn Fn(AppliedChange<'_>) + Send>;

/// Where outgoing messages go.
type SendMessage = Box<dyn Fn(&DaemonId, LogMessage) + Send>;

/// Settings of a driver.
pub struct DriverConfig {
    replica: ReplicaConfig,
    folder: Option<std::path::PathBuf>,
    snapshot_entries: usize,
    applied: Option<AppliedCallback>,
}

impl DriverConfig {
    /// Creates settings; without a folder the replica follows but cannot vote.
    pub fn new(replica: ReplicaConfig, folder: Option<std::path::PathBuf>) -> Self {
        Self { replica, folder, snapshot_entries: 4096, applied: None }
    }

    /// Sets after how many entries a snapshot replaces them.
    pub fn with_snapshot_entries(mut self, entries: usize) -> Self {
        self.snapshot_entries = entries;
        self
    }

    /// Sets who is told of each applied entry and each installed snapshot.
    pub fn with_applied_callback(mut self, applied: AppliedCallback) -> Self {
        self.applied = Some(applied);
        self
    }
}

/// Input of a driver.
pub enum DriverInput {
    /// A message from another replica.
    Message(DaemonId, LogMessage),
    /// A proposal and where its outcome goes.
    Propose(EntryPayload, Sender<ProposalOutcome>),
    /// A peer that was learned of after the start.
    AddPeer(DaemonId),
    /// Give up leadership, because this daemon is about to stop.
    HandOver,
    /// End the thread.
    Stop,
}

/// What others may know of a replica.
#[derive(Clone, Debug, Default)]
pub struct LogView {
    /// Leader of the current term, as far as known.
    pub leader: Option<DaemonId>,
    /// Whether this daemon leads.
    pub leads: bool,
    /// Current term.
    pub term: Term,
    /// Highest applied index.
    pub applied: LogIndex,
    /// Latest moment at which a majority confirmed what this replica follows.
    pub confirmed: Option<Instant>,
    /// Latest moment of which it is known that everything acknowledged until then is applied here.
    pub complete: Option<Instant>,
    /// Daemons that vote.
    pub voters: Vec<DaemonId>,
    /// Whether this daemon leads and has committed an entry of its own term, so that what it has
    /// applied holds everything acknowledged before.
    pub current: bool,
    /// Whether this daemon is a voter whose disk came back empty.
    pub lost_disk: bool,
    /// Why this replica does not vote although it should.
    pub fault: Option<String>,
}

/// Handle of a replica that runs on its own thread.
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
    /// Fails where the folder cannot be opened or is damaged.
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

    /// Hands a message to the replica.
    pub fn deliver(&self, from: &DaemonId, message: LogMessage) {
        let _ = self.inputs.send(DriverInput::Message(from.clone(), message));
    }

    /// Proposes an entry; the outcome comes on the returned channel, which is
    /// dropped where the outcome cannot be known.
    pub fn propose(&self, payload: EntryPayload) -> Receiver<ProposalOutcome> {
        let (sender, receiver) = flume::bounded(1);
        let _ = self.inputs.send(DriverInput::Propose(payload, sender));
        receiver
    }

    /// Adds a peer that was learned of after the start; it follows the log.
    pub fn add_peer(&self, peer: &DaemonId) {
        let _ = self.inputs.send(DriverInput::AddPeer(peer.clone()));
    }

    /// Gives up leadership.
    pub fn hand_over(&self) {
        let _ = self.inputs.send(DriverInput::HandOver);
    }

    /// Ends the thread; later calls have no effect.
    pub fn stop(&self) {
        let _ = self.inputs.send(DriverInput::Stop);
    }

    /// Reads the applied state.
    pub fn read<T>(&self, read: impl FnOnce(&M) -> T) -> T {
        read(&self.machine.read().expect("no holder of the lock panics"))
    }

    /// What is known of the replica now.
    pub fn view(&self) -> LogView {
        self.view.borrow().clone()
    }

    /// Follows what is known of the replica.
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
            if !self.take_batch(batch) {
                return;
            }
            self.replica.tick(Instant::now());
            self.send_all(Phase::Early);
            self.send_all(Phase::Flushed);
            self.apply_committed();
            self.reopen_failed();
        }
    }

    /// Steps the replica through inputs, proposals as one batch; false at a stop.
    fn take_batch(&mut self, batch: impl Iterator<Item = DriverInput>) -> bool {
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
        if self.replica.is_leader() && self.is_present_voters(&payload) {
            // Asked for again after a lost answer: it is so already.
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

    fn is_present_voters(&self, payload: &EntryPayload) -> bool {
        let EntryPayload::Voters(wanted) = payload else { return false };
        let sorted = |voters: &[DaemonId]| {
            let mut voters = voters.to_vec();
            voters.sort();
            voters
        };
        sorted(wanted) == sorted(self.replica.voters())
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
            Phase::Flushed => self.replica.flush(Instant::now()),
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
                    EntryPayload::Voters(_) => ProposalOutcome::VotersChanged,
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

    /// Opens a failed storage again after a pause, as a restart would.
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
                    self.replica = LogReplica::new(self.config.replica.clone(), storage, now);
                    // Outcomes of proposals of the failed replica cannot be known here.
                    self.waiters.clear();
                    self.reopen = None;
                }
            }
            _ => {}
        }
    }

    fn publish(&self) {
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
        };
        self.view.send_replace(view);
    }
}

#[derive(Clone, Copy)]
enum Phase {
    Early,
    Flushed,
}
