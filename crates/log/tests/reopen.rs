//! A driver whose storage fails and is opened again.

use std::path::Path;
use std::time::{Duration, Instant};

use hollowbarrow_log::{
    DriverConfig, FileStorage, LogDriver, LogStorage, ReplicaConfig, StateMachine, VoteRecord,
};
use hollowbarrow_schema::{
    AppendRequest, ClaimCommand, ClaimSweep, DaemonId, DiskId, EntryPayload, LogEntry, LogIndex,
    LogMessage, LogSnapshot, ProposalOutcome, SnapshotRequest, Term, VoterDisk, VoterSet,
};
use rstest::rstest;

/// Longest time for an expected change.
const TIMEOUT: Duration = Duration::from_secs(15);

/// State machine that lists the entries that it has applied.
struct Listed(Vec<LogIndex>);

impl StateMachine for Listed {
    fn apply(&mut self, entry: &LogEntry) -> ProposalOutcome {
        self.0.push(entry.index);
        ProposalOutcome::Held
    }

    fn to_snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: &[u8]) -> bool {
        self.0.clear();
        true
    }
}

fn wait_for(holds: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < TIMEOUT {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

fn start(folder: &Path) -> LogDriver<Listed> {
    let id = DaemonId::from("a");
    let replica = ReplicaConfig::new(&id, &[], std::slice::from_ref(&id))
        .with_election(Duration::from_millis(100));
    let config = DriverConfig::new(replica, Some(folder.to_owned()));
    LogDriver::start(config, Listed(Vec::new()), |_, _| {}).expect("the driver starts")
}

/// Has the driver save a vote, which fails while its folder is away.
fn deliver_later_term(driver: &LogDriver<Listed>) {
    let request = AppendRequest {
        term: Term(1000),
        previous_index: LogIndex(0),
        previous_term: Term(0),
        entries: Vec::new(),
        commit: LogIndex(0),
        round: 1,
        confirmed_ms: 0,
    };
    driver.deliver(&DaemonId::from("b"), LogMessage::Append(request));
}

fn fail_and_reopen(driver: &LogDriver<Listed>, folder: &Path, emptied: bool) {
    let away = folder.with_extension("away");
    std::fs::rename(folder, &away).expect("it can be renamed");
    std::fs::write(folder, b"").expect("a file can take its place");
    deliver_later_term(driver);
    assert!(wait_for(|| driver.view().fault.is_some()), "the storage fails");
    std::fs::remove_file(folder).expect("it can be removed");
    if !emptied {
        std::fs::rename(&away, folder).expect("it can be renamed");
    }
}

/// Guards against entries that are applied again to a state that holds them already.
#[rstest]
fn reopen_applies_entries_once() {
    let parent = tempfile::tempdir().expect("a temporary folder");
    let folder = parent.path().join("log");
    let driver = start(&folder);
    assert!(wait_for(|| driver.view().current), "it leads");
    let sweep = EntryPayload::Claim(ClaimCommand::Sweep(ClaimSweep { now_ms: 1, retain_ms: 0 }));
    let outcome = driver.propose(sweep).recv_timeout(TIMEOUT);
    assert!(outcome.is_ok(), "an entry is committed");
    fail_and_reopen(&driver, &folder, false);
    assert!(wait_for(|| driver.view().current && driver.view().fault.is_none()), "it leads again");
    let applied = driver.read(|machine| machine.0.clone());
    let mut once = applied.clone();
    once.sort();
    once.dedup();
    assert_eq!(applied, once);
    driver.stop();
}

/// Guards against a folder that is emptied while the process runs and then counts as one in its first
/// use: the voter would neither report the loss nor lack a vote in a founding election.
#[rstest]
fn reopen_emptied_folder_is_lost_disk() {
    let parent = tempfile::tempdir().expect("a temporary folder");
    let folder = parent.path().join("log");
    let driver = start(&folder);
    assert!(wait_for(|| driver.view().current), "it leads");
    let committed = driver.view().applied;
    fail_and_reopen(&driver, &folder, true);
    let reopened = wait_for(|| !driver.view().fault.is_some_and(|fault| fault.contains("failed")));
    assert!(reopened, "the storage is opened again");
    std::thread::sleep(Duration::from_secs(1));
    let view = driver.view();
    assert!(view.lost_disk, "fault {:?}, leads {}, was at {}", view.fault, view.leads, *committed);
    driver.stop();
}

/// Guards against a state that is published as applied before it is: whoever waited for the index read
/// an empty state, and nothing told of the change afterwards.
#[rstest]
fn start_publishes_only_what_is_applied() {
    let parent = tempfile::tempdir().expect("a temporary folder");
    let folder = parent.path().join("log");
    let driver = start(&folder);
    assert!(wait_for(|| driver.view().current), "it leads");
    for now_ms in 1..=3 {
        let sweep = ClaimSweep { now_ms, retain_ms: 0 };
        let outcome = driver.propose(EntryPayload::Claim(ClaimCommand::Sweep(sweep)));
        assert!(outcome.recv_timeout(TIMEOUT).is_ok(), "an entry is committed");
    }
    driver.stop();
    assert!(wait_for(|| driver.watch().has_changed().is_err()), "the thread ends");
    let id = DaemonId::from("a");
    let replica = ReplicaConfig::new(&id, &[], std::slice::from_ref(&id))
        .with_election(Duration::from_secs(60));
    let config = DriverConfig::new(replica, Some(folder));
    let driver = LogDriver::start(config, Listed(Vec::new()), |_, _| {}).expect("it starts");
    assert!(wait_for(|| *driver.view().applied > 0), "it knows what was committed");
    let published = driver.view().applied;
    assert_eq!(driver.read(|machine| machine.0.last().copied()), Some(published));
    driver.stop();
}

fn start_follower(folder: &Path) -> LogDriver<Listed> {
    let ids = ["a", "b", "c"].map(DaemonId::from);
    let vote = VoteRecord { disk: Some(DiskId(1)), ..VoteRecord::default() };
    FileStorage::open(folder).and_then(|mut disk| disk.set_vote(vote)).expect("the disk works");
    let replica = ReplicaConfig::new(&ids[0], &ids[1..], &ids);
    let config = DriverConfig::new(replica, Some(folder.to_owned()));
    LogDriver::start(config, Listed(Vec::new()), |_, _| {}).expect("the driver starts")
}

/// Delivers committed entries of term 1 from a leader of a later term.
fn deliver_entries(driver: &LogDriver<Listed>, leader_term: u64, first: u64, last: u64) {
    let sweep = EntryPayload::Claim(ClaimCommand::Sweep(ClaimSweep { now_ms: 1, retain_ms: 0 }));
    let voters = ["a", "b", "c"].map(DaemonId::from).to_vec();
    let disks = vec![VoterDisk { voter: "a".into(), disk: DiskId(1) }];
    let set = EntryPayload::VoterSet(VoterSet { voters, disks });
    let payload = |index| if index == 1 { set.clone() } else { sweep.clone() };
    let entry = |index| LogEntry { index: LogIndex(index), term: Term(1), payload: payload(index) };
    let request = AppendRequest {
        term: Term(leader_term),
        previous_index: LogIndex(first - 1),
        previous_term: Term(u64::from(first > 1)),
        entries: (first..=last).map(entry).collect(),
        commit: LogIndex(last),
        round: 1,
        confirmed_ms: 0,
    };
    driver.deliver(&DaemonId::from("b"), LogMessage::Append(request));
}

/// Guards against a state that a snapshot put back and that lacks the entries between the snapshot and
/// what had been applied before the storage was opened again.
#[rstest]
fn reopen_applies_entries_after_older_snapshot() {
    let parent = tempfile::tempdir().expect("a temporary folder");
    let folder = parent.path().join("log");
    let driver = start_follower(&folder);
    deliver_entries(&driver, 1, 1, 5);
    let applied = |driver: &LogDriver<Listed>| driver.read(|machine| machine.0.clone());
    assert!(wait_for(|| applied(&driver).len() == 4), "the entries are applied");
    fail_and_reopen(&driver, &folder, true);
    let reopened = wait_for(|| !driver.view().fault.is_some_and(|fault| fault.contains("failed")));
    assert!(reopened, "the storage is opened again");
    let snapshot = LogSnapshot {
        index: LogIndex(3),
        term: Term(1),
        voters: ["a", "b", "c"].map(DaemonId::from).to_vec(),
        disks: vec![VoterDisk { voter: "a".into(), disk: DiskId(1) }],
        state: Vec::new(),
    };
    let request = SnapshotRequest { term: Term(2), round: 1, snapshot };
    driver.deliver(&DaemonId::from("b"), LogMessage::Snapshot(request));
    deliver_entries(&driver, 2, 4, 6);
    let done = wait_for(|| applied(&driver).contains(&LogIndex(6)));
    assert!(done, "entry 6 is not applied: {:?}, {:?}", applied(&driver), driver.view());
    assert_eq!(applied(&driver), [4, 5, 6].map(LogIndex), "entries after the snapshot");
    driver.stop();
}
