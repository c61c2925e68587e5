//! A disk that fails at one moment and works at the next.

use std::time::Duration;

use hollowbarrow_log::{
    DriverConfig, EntryWindow, FileStorage, LogDriver, LogReplica, LogStorage, MemoryStorage,
    ReplicaConfig, StateMachine, StoreLogError, VoteRecord,
};
use hollowbarrow_schema::{
    AppendRequest, DaemonId, DiskId, EntryPayload, LogEntry, LogIndex, LogMessage, LogSnapshot,
    ProposalOutcome, SnapshotRequest, Term, VoterDisk, VoterSet,
};
use rstest::rstest;
use tokio::time::Instant;

/// A storage that refuses to store votes while `full` is set, and counts its syncs.
struct FullDisk {
    inner: MemoryStorage,
    full: bool,
    synced: LogIndex,
}

impl LogStorage for FullDisk {
    fn is_durable(&self) -> bool {
        true
    }

    fn vote(&self) -> &VoteRecord {
        self.inner.vote()
    }

    fn set_vote(&mut self, vote: VoteRecord) -> Result<(), StoreLogError> {
        if self.full && vote.term > self.inner.vote().term {
            return Err(StoreLogError::EncodeRecord("the disk is full".to_owned()));
        }
        self.inner.set_vote(vote)
    }

    fn window(&self) -> &EntryWindow {
        self.inner.window()
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StoreLogError> {
        self.inner.append(entries)
    }

    fn truncate_from(&mut self, index: LogIndex) -> Result<(), StoreLogError> {
        self.inner.truncate_from(index)
    }

    fn install_snapshot(&mut self, snapshot: LogSnapshot) -> Result<(), StoreLogError> {
        self.inner.install_snapshot(snapshot)
    }

    fn set_committed(&mut self, index: LogIndex) {
        self.inner.set_committed(index);
    }

    fn sync(&mut self) -> Result<(), StoreLogError> {
        self.synced = self.inner.window().last_index();
        self.inner.sync()
    }
}

fn voters() -> Vec<DaemonId> {
    vec!["a".into(), "b".into(), "c".into()]
}

fn append(term: u64, previous: (u64, u64), entries: Vec<LogEntry>, commit: u64) -> LogMessage {
    LogMessage::Append(AppendRequest {
        term: Term(term),
        previous_index: LogIndex(previous.0),
        previous_term: Term(previous.1),
        entries,
        commit: LogIndex(commit),
        round: 1,
        confirmed_ms: 0,
    })
}

fn entry(index: u64, term: u64, payload: EntryPayload) -> LogEntry {
    LogEntry { index: LogIndex(index), term: Term(term), payload }
}

/// Guards against an acknowledgement of entries that were not synced, because the vote file of a new
/// term could not be written: such an entry is committed and gone once the storage is opened again.
#[rstest]
fn unsynced_entries_not_acknowledged_after_failed_vote() {
    let now = Instant::now();
    let mut disk = MemoryStorage::new().with_durable(true);
    let vote = VoteRecord { disk: Some(DiskId(2)), founder: true, ..VoteRecord::default() };
    disk.set_vote(vote).expect("memory works");
    let storage = FullDisk { inner: disk, full: false, synced: LogIndex(0) };
    let config =
        ReplicaConfig::new(&"b".into(), &voters(), &voters()).with_election(Duration::from_secs(1));
    let mut replica = LogReplica::new(config, storage, now);
    let disks = (1..).zip(voters()).map(|(disk, voter)| VoterDisk { voter, disk: DiskId(disk) });
    let set = VoterSet { voters: voters(), disks: disks.collect() };
    let first = entry(1, 1, EntryPayload::VoterSet(set));
    replica.step(&"a".into(), append(1, (0, 0), vec![first], 0), now);
    assert!(!replica.flush(now).is_empty(), "the first entry is acknowledged");
    let mut storage = replica.into_storage();
    assert_eq!(storage.synced, LogIndex(1));
    storage.full = true;
    let config = ReplicaConfig::new(&"b".into(), &voters(), &voters());
    let mut replica = LogReplica::new(config, storage, now);
    let second = entry(2, 2, EntryPayload::Noop);
    replica.step(&"c".into(), append(2, (1, 1), vec![second], 1), now);
    let messages = replica.flush(now);
    assert!(replica.fault().is_some(), "the storage failed");
    let acknowledged = messages.iter().find_map(|(_, message)| match message {
        LogMessage::AppendReply(reply) if reply.accepted => Some(reply.matched),
        _ => None,
    });
    let synced = replica.storage().synced;
    assert!(acknowledged <= Some(synced), "{acknowledged:?} acknowledged, {synced:?} synced");
}

/// As above, where the message of the new term is a snapshot that covers less than what is committed
/// here, and the entries after it were not synced yet.
#[rstest]
fn unsynced_entries_not_acknowledged_for_snapshot_after_failed_vote() {
    let now = Instant::now();
    let mut disk = MemoryStorage::new().with_durable(true);
    let vote = VoteRecord { disk: Some(DiskId(2)), founder: true, ..VoteRecord::default() };
    disk.set_vote(vote).expect("memory works");
    let storage = FullDisk { inner: disk, full: false, synced: LogIndex(0) };
    let config = ReplicaConfig::new(&"b".into(), &voters(), &voters());
    let mut replica = LogReplica::new(config, storage, now);
    let disks = (1..).zip(voters()).map(|(disk, voter)| VoterDisk { voter, disk: DiskId(disk) });
    let disks: Vec<VoterDisk> = disks.collect();
    let set = VoterSet { voters: voters(), disks: disks.clone() };
    let first = entry(1, 1, EntryPayload::VoterSet(set));
    replica.step(&"a".into(), append(1, (0, 0), vec![first], 0), now);
    replica.flush(now);
    let mut storage = replica.into_storage();
    storage.full = true;
    let config = ReplicaConfig::new(&"b".into(), &voters(), &voters());
    let mut replica = LogReplica::new(config, storage, now);
    let second = entry(2, 1, EntryPayload::Noop);
    replica.step(&"a".into(), append(1, (1, 1), vec![second], 2), now);
    let snapshot = LogSnapshot {
        index: LogIndex(1),
        term: Term(1),
        voters: voters(),
        disks,
        state: Vec::new(),
    };
    let request = SnapshotRequest { term: Term(2), round: 1, snapshot };
    replica.step(&"c".into(), LogMessage::Snapshot(request), now);
    let messages = replica.flush(now);
    let acknowledged = messages.iter().find_map(|(_, message)| match message {
        LogMessage::AppendReply(reply) if reply.accepted => Some(reply.matched),
        _ => None,
    });
    let synced = replica.storage().synced;
    assert!(acknowledged <= Some(synced), "{acknowledged:?} acknowledged, {synced:?} synced");
}

struct NoState;

impl StateMachine for NoState {
    fn apply(&mut self, _: &LogEntry) -> ProposalOutcome {
        ProposalOutcome::Held
    }

    fn to_snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: &[u8]) -> bool {
        true
    }
}

/// As the first test, with files: a folder takes the place of the file by which the vote is replaced.
#[rstest]
fn driver_acknowledges_only_what_its_folder_holds() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let vote = VoteRecord { disk: Some(DiskId(1)), ..VoteRecord::default() };
    let stored = FileStorage::open(folder.path()).and_then(|mut disk| disk.set_vote(vote));
    stored.expect("the disk works");
    let (sender, sent) = flume::unbounded();
    let replica = ReplicaConfig::new(&"a".into(), &voters()[1..], &voters());
    let config = DriverConfig::new(replica, Some(folder.path().to_owned()));
    let send = move |_: &DaemonId, message| {
        let _ = sender.send(message);
    };
    let driver = LogDriver::start(config, NoState, send).expect("the driver starts");
    let acknowledged = || {
        std::iter::from_fn(|| sent.recv_timeout(Duration::from_secs(1)).ok()).find_map(|message| {
            match message {
                LogMessage::AppendReply(reply) if reply.accepted => Some(reply.matched),
                _ => None,
            }
        })
    };
    let disks = (1..).zip(voters()).map(|(disk, voter)| VoterDisk { voter, disk: DiskId(disk) });
    let set = VoterSet { voters: voters(), disks: disks.collect() };
    let first = entry(1, 1, EntryPayload::VoterSet(set));
    driver.deliver(&"b".into(), append(1, (0, 0), vec![first], 0));
    assert_eq!(acknowledged(), Some(LogIndex(1)));
    std::fs::create_dir(folder.path().join("vote.new")).expect("a folder can be made");
    let second = entry(2, 2, EntryPayload::Noop);
    driver.deliver(&"c".into(), append(2, (1, 1), vec![second], 1));
    let matched = acknowledged().unwrap_or_default();
    let fault = driver.view().fault;
    driver.stop();
    let held = FileStorage::open(folder.path()).expect("it opens").window().last_index();
    assert!(matched <= held, "{matched:?} acknowledged, {held:?} held, fault {fault:?}");
}
