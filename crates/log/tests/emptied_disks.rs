//! Disks that have forgotten something and are taken for the ones that they replace.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_log::{
    FileStorage, LogReplica, LogStorage, MemoryStorage, ReplicaConfig, StoreLogError,
};
use hollowbarrow_schema::{
    ClaimCommand, ClaimSweep, DaemonId, EntryPayload, LogIndex, LogMessage, LogSnapshot, Term,
};
use rstest::rstest;
use tokio::time::Instant;

const ELECTION: Duration = Duration::from_millis(100);

type Sent = Vec<(DaemonId, DaemonId, LogMessage)>;

struct Founding {
    now: Instant,
    replicas: BTreeMap<DaemonId, LogReplica<MemoryStorage>>,
}

fn ids() -> Vec<DaemonId> {
    ["a", "b", "c"].map(DaemonId::from).to_vec()
}

fn config(id: &DaemonId, founding: bool) -> ReplicaConfig {
    ReplicaConfig::new(id, &ids(), &ids()).with_founding(founding).with_election(ELECTION)
}

impl Founding {
    fn new() -> Self {
        let now = Instant::now();
        let replica = |id: &DaemonId| {
            let storage = MemoryStorage::new().with_durable(true);
            (id.clone(), LogReplica::new(config(id, true), storage, now))
        };
        Self { now, replicas: ids().iter().map(replica).collect() }
    }

    fn replica(&mut self, id: &str) -> &mut LogReplica<MemoryStorage> {
        self.replicas.get_mut(&DaemonId::from(id)).expect("known")
    }

    fn flush(&mut self, id: &str) -> Sent {
        let now = self.now;
        let sent = self.replica(id).flush(now);
        sent.into_iter().map(|(to, message)| (DaemonId::from(id), to, message)).collect()
    }

    /// Ticks a replica when its deadline has passed and returns what it sends.
    fn elect(&mut self, id: &str) -> Sent {
        self.now = self.now.max(self.replica(id).next_deadline());
        let now = self.now;
        self.replica(id).tick(now);
        self.flush(id)
    }

    /// Delivers messages, and the answers to them, between two daemons only; returns the others.
    fn exchange(&mut self, mut sent: Sent, one: &str, other: &str) -> Sent {
        let mut kept = Vec::new();
        while !sent.is_empty() {
            let mut answers = Vec::new();
            for (from, to, message) in sent {
                if [one, other].contains(&from.as_str()) && [one, other].contains(&to.as_str()) {
                    let now = self.now;
                    self.replica(to.as_str()).step(&from, message, now);
                    answers.extend(self.flush(to.as_str()));
                } else {
                    kept.push((from, to, message));
                }
            }
            sent = answers;
        }
        kept
    }
}

fn sweep(number: u64) -> EntryPayload {
    EntryPayload::Claim(ClaimCommand::Sweep(ClaimSweep { now_ms: number, retain_ms: 0 }))
}

/// Guards against two leaders of one term after one disk was lost: a daemon whose disk is emptied
/// soon after it founded the log must not vote as in a first use, also if its settings still allow
/// it to found.
#[rstest]
#[case::restarted_to_join(false)]
#[case::restarted_to_found(true)]
fn founding_beside_disk_emptied_since(#[case] founding: bool) {
    let mut cluster = Founding::new();
    // The trial of a reaches b; c gets it late.
    let trial = cluster.elect("a");
    let late = cluster.exchange(trial, "a", "b");
    // Then b and c found the log; a receives nothing of it but trials.
    for _ in 0..20 {
        if cluster.replica("b").is_leader() {
            break;
        }
        let sent = cluster.elect("b");
        let trials = sent.iter().filter(
            |(_, _, message)| matches!(message, LogMessage::Vote(request) if request.trial),
        );
        let trials: Sent = trials.filter(|(_, to, _)| to.as_str() == "a").cloned().collect();
        cluster.exchange(trials, "a", "b");
        cluster.exchange(sent, "b", "c");
    }
    assert!(cluster.replica("b").is_leader(), "b and c found the log");
    let now = cluster.now;
    cluster.replica("b").propose(vec![sweep(1)], now).expect("b leads");
    let sent = cluster.flush("b");
    cluster.exchange(sent, "b", "c");
    assert_eq!(cluster.replica("b").commit(), LogIndex(2), "an entry is acknowledged");
    let term = cluster.replica("b").term();

    let (c, storage) = (DaemonId::from("c"), MemoryStorage::new().with_durable(true));
    cluster.replicas.insert(c.clone(), LogReplica::new(config(&c, founding), storage, now));
    let late = late.into_iter().filter(|(_, to, _)| *to == c).collect();
    cluster.exchange(late, "a", "c");
    for _ in 0..5 {
        let sent = cluster.elect("a");
        cluster.exchange(sent, "a", "c");
    }
    let leads = cluster.replica("a").is_leader();
    let found = cluster.replica("a").term();
    assert!(!leads, "a leads in term {} without the entry of term {}", *found, *term);
}

/// Guards against a disk that keeps its id although its entries are gone: it would count with
/// entries that it has forgotten.
#[rstest]
fn open_without_segments() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let id = DaemonId::from("a");
    let alone = [id.clone()];
    let config = || ReplicaConfig::new(&id, &alone, &alone).with_election(ELECTION);
    let mut now = Instant::now();
    let storage = FileStorage::open(folder.path()).expect("an empty folder can be opened");
    let mut replica = LogReplica::new(config(), storage, now);
    now = replica.next_deadline();
    replica.tick(now);
    replica.flush(now);
    assert!(replica.is_leader());
    replica.propose(vec![sweep(1)], now).expect("it leads");
    replica.flush(now);
    assert_eq!(replica.commit(), LogIndex(2));
    drop(replica);
    for file in std::fs::read_dir(folder.path()).expect("it can be listed") {
        let path = file.expect("it can be listed").path();
        if path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-")) {
            std::fs::remove_file(path).expect("it can be removed");
        }
    }
    let Ok(storage) = FileStorage::open(folder.path()) else { return };
    let replica = LogReplica::new(config().with_founding(false), storage, now);
    assert!(replica.fault().is_some(), "the disk counts although it has lost its entries");
}

/// Guards against a folder that lost its snapshot: the entries after it would be taken for the whole
/// log, or for none.
#[rstest]
fn open_without_snapshot() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut storage = FileStorage::open(folder.path()).expect("an empty folder can be opened");
    let snapshot = LogSnapshot {
        index: LogIndex(20),
        term: Term(1),
        voters: ids(),
        disks: Vec::new(),
        state: Vec::new(),
    };
    storage.install_snapshot(snapshot).expect("the disk works");
    drop(storage);
    std::fs::remove_file(folder.path().join("snapshot")).expect("it can be removed");
    let opened = FileStorage::open(folder.path());
    assert!(matches!(opened, Err(StoreLogError::BrokenOrder { .. })), "{opened:?}");
}
