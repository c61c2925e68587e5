//! Founding of a log, lost disks and the readmission of voters.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_log::{
    LogReplica, LogStorage, MemoryStorage, ReplicaConfig, ReplicaFault, VoteRecord,
};
use hollowbarrow_schema::{
    AppendReply, AppendRequest, DaemonId, DiskId, DiskIdentity, EntryPayload, Founders, LogEntry,
    LogIndex, LogMessage, LogSnapshot, SnapshotRequest, Term, VoteRequest, VoterDisk,
};
use rstest::rstest;
use tokio::time::Instant;

fn replica(founding: bool) -> LogReplica<MemoryStorage> {
    let ids = [DaemonId::from("a"), DaemonId::from("b"), DaemonId::from("c")];
    let config = ReplicaConfig::new(&ids[0], &ids, &ids)
        .with_founding(founding)
        .with_election(Duration::from_millis(100));
    LogReplica::new(config, MemoryStorage::new().with_durable(true), Instant::now())
}

#[rstest]
fn new_without_founding_has_lost_its_disk() {
    assert!(matches!(replica(false).fault(), Some(ReplicaFault::LostDisk)));
    assert!(replica(true).fault().is_none());
}

#[rstest]
fn add_peer_follows() {
    let mut replica = replica(true);
    let peer = DaemonId::from("d");
    replica.add_peer(peer.clone());
    assert!(!replica.voters().contains(&peer), "a discovered peer is not a voter");
}

/// Replicas whose messages are delivered immediately.
struct Cluster {
    now: Instant,
    replicas: BTreeMap<DaemonId, LogReplica<MemoryStorage>>,
    /// A replica that neither receives messages nor is heard.
    isolated: Option<DaemonId>,
}

/// A replica that has discovered all others, while its settings list only the first one.
fn replica_with_one_seed(id: &DaemonId, founding: bool) -> LogReplica<MemoryStorage> {
    let seeds = &ids()[..1];
    let config = ReplicaConfig::new(id, seeds, seeds)
        .with_founding(founding)
        .with_election(Duration::from_millis(100))
        .with_seed(u64::from(id.as_bytes()[0]));
    let storage = MemoryStorage::new().with_durable(true);
    let mut replica = LogReplica::new(config, storage, Instant::now());
    ids().into_iter().filter(|peer| peer != id).for_each(|peer| replica.add_peer(peer));
    replica
}

/// Three voters, while the settings of each list only the first one.
fn cluster_with_one_seed() -> Cluster {
    let mut cluster = Cluster::with_replicas(|id| replica_with_one_seed(id, true));
    cluster.run(50);
    for count in 2..=3 {
        cluster.propose(EntryPayload::Voters(ids()[..count].to_vec()));
        cluster.run(50);
    }
    cluster
}

/// A leader that no settings list must be able to propose voter changes. If it does not count itself
/// among the known daemons, it refuses its own proposals (50 in a row in one case), and a voter that
/// has lost its disk is never readmitted.
#[rstest]
fn propose_by_leader_beyond_seeds() {
    let mut cluster = cluster_with_one_seed();
    let seed = ids()[0].clone();
    cluster.replicas.insert(seed.clone(), replica_with_one_seed(&seed, false));
    cluster.run(100);
    let others = ids()[1..].to_vec();
    assert!(others.contains(cluster.leader().id()), "a voter that lost its log does not lead");
    cluster.propose(EntryPayload::Voters(others));
    cluster.run(50);
    cluster.propose(EntryPayload::Voters(ids()));
    cluster.run(50);
    assert!(cluster.replicas[&seed].fault().is_none(), "the replaced voter votes again");
}

/// Guards against a second log if the disk of the daemon that founded the first one alone is emptied:
/// once its settings list the voters that were admitted, it waits for them, and they have entries.
#[rstest]
#[case::cut_off(true)]
#[case::in_touch(false)]
fn emptied_seed_with_all_voters_in_settings(#[case] cut: bool) {
    let mut cluster = cluster_with_one_seed();
    let seed = ids()[0].clone();
    cluster.replicas.insert(seed.clone(), replica_of(&seed, true));
    cluster.isolated = Some(seed.clone()).filter(|_| cut);
    cluster.run(100);
    assert!(!cluster.replicas[&seed].is_leader(), "it found a log of its own");
    cluster.isolated = None;
    cluster.run(300);
    assert_ne!(cluster.leader().id(), &seed);
    assert_eq!(cluster.replicas[&seed].commit(), cluster.leader().commit());
}

/// A voter that no settings list and that restarts with an empty disk must not vote. It could
/// mistake the old entry that admitted it for an admission after the loss.
#[rstest]
#[case::entries_kept(false)]
#[case::entries_compacted(true)]
fn wiped_voter_beyond_seeds_does_not_count(#[case] compacted: bool) {
    let mut cluster = cluster_with_one_seed();
    if compacted {
        for replica in cluster.replicas.values_mut() {
            replica.compact(b"state".to_vec());
        }
    }
    let leader = cluster.leader().id().clone();
    let wiped = ids().into_iter().rfind(|id| *id != leader).expect("there are three");
    cluster.replicas.insert(wiped.clone(), replica_with_one_seed(&wiped, false));
    cluster.run(50);
    let fault = |cluster: &Cluster| cluster.replicas[&wiped].fault().map(ToString::to_string);
    assert!(matches!(cluster.replicas[&wiped].fault(), Some(ReplicaFault::LostDisk)));
    let others: Vec<DaemonId> = ids().into_iter().filter(|id| *id != wiped).collect();
    cluster.propose(EntryPayload::Voters(others));
    cluster.run(50);
    cluster.propose(EntryPayload::Voters(ids()));
    cluster.run(50);
    assert_eq!(fault(&cluster), None, "the replaced voter votes again");
}

impl Cluster {
    fn new() -> Self {
        Self::with_replicas(|id| replica_of(id, true))
    }

    fn with_replicas(create: impl Fn(&DaemonId) -> LogReplica<MemoryStorage>) -> Self {
        let replicas = ids().iter().map(|id| (id.clone(), create(id))).collect();
        Self { now: Instant::now(), replicas, isolated: None }
    }

    /// Advances the time in steps of 10 ms and delivers every message.
    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += Duration::from_millis(10);
            let now = self.now;
            for replica in self.replicas.values_mut() {
                replica.tick(now);
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        loop {
            let mut messages = Vec::new();
            for (id, replica) in &mut self.replicas {
                let sent = replica.flush(self.now);
                messages.extend(sent.into_iter().map(|(to, message)| (id.clone(), to, message)));
                replica.take_installed();
                replica.take_committed();
            }
            if messages.is_empty() {
                return;
            }
            for (from, to, message) in messages {
                if [&from, &to].into_iter().any(|id| self.isolated.as_ref() == Some(id)) {
                    continue;
                }
                if let Some(replica) = self.replicas.get_mut(&to) {
                    replica.step(&from, message, self.now);
                }
            }
        }
    }

    /// Restarts a replica with its disk.
    fn restart(&mut self, id: &DaemonId) {
        let storage = self.replicas.remove(id).expect("known").into_storage();
        let replica = LogReplica::new(config_of(id, false), storage, self.now);
        self.replicas.insert(id.clone(), replica);
    }

    fn leader(&mut self) -> &mut LogReplica<MemoryStorage> {
        self.replicas.values_mut().find(|replica| replica.is_leader()).expect("there is a leader")
    }

    fn propose(&mut self, payload: EntryPayload) {
        let now = self.now;
        self.leader().propose(vec![payload], now).expect("the leader accepts the proposal");
        self.deliver();
    }
}

fn ids() -> Vec<DaemonId> {
    ["a", "b", "c"].map(DaemonId::from).to_vec()
}

fn config_of(id: &DaemonId, founding: bool) -> ReplicaConfig {
    ReplicaConfig::new(id, &ids(), &ids())
        .with_founding(founding)
        .with_election(Duration::from_millis(100))
        .with_seed(u64::from(id.as_bytes()[0]))
}

fn replica_of(id: &DaemonId, founding: bool) -> LogReplica<MemoryStorage> {
    LogReplica::new(
        config_of(id, founding),
        MemoryStorage::new().with_durable(true),
        Instant::now(),
    )
}

/// Voters that have just started use the first election timeout, not the usual one.
#[rstest]
#[case::soon(20, true)]
#[case::usual_timeout(100, false)]
fn election_after_first_timeout(#[case] first_ms: u64, #[case] elected: bool) {
    let first = Duration::from_millis(first_ms);
    let mut cluster = Cluster::with_replicas(|id| {
        let config = config_of(id, true).with_first_election(first);
        LogReplica::new(config, MemoryStorage::new().with_durable(true), Instant::now())
    });
    cluster.run(8);
    assert_eq!(cluster.replicas.values().any(LogReplica::is_leader), elected);
}

#[rstest]
#[case::entries_kept(false)]
#[case::entries_compacted(true)]
fn wiped_voter_is_readmitted(#[case] compacted: bool) {
    let mut cluster = Cluster::new();
    cluster.run(100);
    for _ in 0..20 {
        cluster.propose(EntryPayload::Noop);
    }
    if compacted {
        for replica in cluster.replicas.values_mut() {
            replica.compact(b"state".to_vec());
        }
    }
    let leader = cluster.leader().id().clone();
    let wiped = ids().into_iter().find(|id| *id != leader).expect("there are three");
    cluster.replicas.insert(wiped.clone(), replica_of(&wiped, false));
    cluster.run(50);
    let others: Vec<DaemonId> = ids().into_iter().filter(|id| *id != wiped).collect();
    cluster.propose(EntryPayload::Voters(others));
    cluster.run(50);
    assert_eq!(cluster.replicas[&wiped].voters().len(), 2, "the wiped voter receives its removal");
    cluster.propose(EntryPayload::Voters(ids()));
    cluster.run(50);
    assert!(cluster.replicas[&wiped].fault().is_none(), "the replaced voter votes again");
    assert_eq!(cluster.replicas[&wiped].commit(), cluster.leader().commit());
}

/// A voter that lost its disk must count again although its removal and its admission reach it
/// together, or the next lost disk leaves no majority.
#[rstest]
#[case::entries(false)]
#[case::snapshot(true)]
fn wiped_voter_is_readmitted_while_isolated(#[case] compacted: bool) {
    let mut cluster = Cluster::new();
    cluster.run(100);
    let leader = cluster.leader().id().clone();
    let wiped = ids().into_iter().find(|id| *id != leader).expect("there are three");
    cluster.replicas.insert(wiped.clone(), replica_of(&wiped, false));
    cluster.run(50);
    cluster.restart(&wiped);
    cluster.isolated = Some(wiped.clone());
    let others: Vec<DaemonId> = ids().into_iter().filter(|id| *id != wiped).collect();
    cluster.propose(EntryPayload::Voters(others));
    cluster.run(20);
    cluster.propose(EntryPayload::Voters(ids()));
    cluster.run(20);
    if compacted {
        cluster.leader().compact(b"state".to_vec());
    }
    cluster.isolated = None;
    cluster.run(100);
    let fault = cluster.replicas[&wiped].fault().map(ToString::to_string);
    assert_eq!(fault, None, "the voter counts again");
    assert_eq!(cluster.replicas[&wiped].commit(), cluster.leader().commit());
}

/// A voter as an earlier release left it: its log names the voters without disks, and its vote file
/// says that the disk was part of the quorum.
fn replica_of_earlier_release(id: &DaemonId) -> LogReplica<MemoryStorage> {
    let mut storage = MemoryStorage::new().with_durable(true);
    let vote = VoteRecord { term: Term(1), vote: None, initialised: true, ..VoteRecord::default() };
    storage.set_vote(vote).expect("memory takes it");
    let payload = EntryPayload::Voters(ids());
    let entry = LogEntry { index: LogIndex(1), term: Term(1), payload };
    storage.append(&[entry]).expect("memory takes it");
    LogReplica::new(config_of(id, false), storage, Instant::now())
}

/// An upgrade must neither stop the log nor let a disk count that was emptied meanwhile.
#[rstest]
#[case::emptied_before_upgrade(true)]
#[case::emptied_after_upgrade(false)]
fn wiped_voter_of_earlier_release(#[case] before: bool) {
    let mut cluster = Cluster::with_replicas(replica_of_earlier_release);
    let wiped = ids()[2].clone();
    if before {
        cluster.replicas.insert(wiped.clone(), replica_of(&wiped, false));
    }
    cluster.run(100);
    if !before {
        cluster.replicas.insert(wiped.clone(), replica_of(&wiped, false));
        cluster.run(100);
    }
    assert_eq!(cluster.leader().uncounted_voters(), std::slice::from_ref(&wiped));
    assert!(matches!(cluster.replicas[&wiped].fault(), Some(ReplicaFault::LostDisk)));
    cluster.propose(EntryPayload::Voters(ids()[..2].to_vec()));
    cluster.run(20);
    cluster.propose(EntryPayload::Voters(ids()));
    cluster.run(20);
    assert_eq!(cluster.leader().uncounted_voters(), []);
    assert!(cluster.replicas[&wiped].fault().is_none(), "the voter counts again");
}

/// A vote of a disk that the candidate's log does not name must not elect it.
#[rstest]
fn vote_of_wiped_disk_not_counted() {
    let mut cluster = Cluster::new();
    cluster.run(100);
    let leader = cluster.leader().id().clone();
    let wiped = ids().into_iter().find(|id| *id != leader).expect("there are three");
    cluster.replicas.insert(wiped.clone(), replica_of(&wiped, false));
    cluster.replicas.remove(&leader);
    cluster.run(500);
    let led = cluster.replicas.values().filter(|replica| replica.is_leader()).count();
    assert_eq!(led, 0, "one disk of three is no majority");
}

/// A voter that was removed while it was down must not be admitted with the disk that it had: if that
/// one is lost, the admission names a disk that never answers.
#[rstest]
#[case::disk_lost(true)]
#[case::disk_kept(false)]
fn admission_of_voter_that_is_down(#[case] lost: bool) {
    let mut cluster = Cluster::new();
    cluster.run(100);
    let leader = cluster.leader().id().clone();
    let down = ids().into_iter().find(|id| *id != leader).expect("there are three");
    let stopped = cluster.replicas.remove(&down).expect("known");
    let others: Vec<DaemonId> = ids().into_iter().filter(|id| *id != down).collect();
    cluster.propose(EntryPayload::Voters(others));
    cluster.run(50);
    let now = cluster.now;
    let early = cluster.leader().propose(vec![EntryPayload::Voters(ids())], now);
    assert_eq!(early, None, "its disk is not known since its removal");
    let storage =
        if lost { MemoryStorage::new().with_durable(true) } else { stopped.into_storage() };
    let returned = LogReplica::new(config_of(&down, false), storage, cluster.now);
    cluster.replicas.insert(down.clone(), returned);
    cluster.run(50);
    cluster.propose(EntryPayload::Voters(ids()));
    cluster.run(50);
    assert_eq!(cluster.leader().uncounted_voters(), []);
    assert!(cluster.replicas[&down].fault().is_none(), "the voter counts");
}

/// A leader must not doubt a good voter because of an answer that its former disk gave in the same
/// round; a later answer of another disk shows that the disk was replaced.
#[rstest]
#[case::same_round(0, false)]
#[case::next_round(1, true)]
fn reply_of_other_disk(#[case] rounds_later: u64, #[case] replaced: bool) {
    let mut cluster = Cluster::new();
    cluster.run(100);
    let leader = cluster.leader().id().clone();
    let follower = ids().into_iter().find(|id| *id != leader).expect("there are three");
    cluster.now = cluster.leader().next_deadline();
    let now = cluster.now;
    cluster.leader().tick(now);
    let sent = cluster.leader().flush(now);
    let heartbeat = sent.into_iter().find(|(to, _)| *to == follower).expect("a heartbeat is due").1;
    let replica = cluster.replicas.get_mut(&follower).expect("known");
    replica.step(&leader, heartbeat, now);
    let Some((_, LogMessage::AppendReply(reply))) = replica.flush(now).pop() else {
        panic!("the heartbeat is answered")
    };
    cluster.leader().step(&follower, LogMessage::AppendReply(reply.clone()), now);
    let disk = DiskIdentity { id: Some(DiskId(1)), initialised: false };
    let other = AppendReply { disk, round: reply.round + rounds_later, ..reply };
    cluster.leader().step(&follower, LogMessage::AppendReply(other), now);
    assert_eq!(cluster.leader().uncounted_voters().contains(&follower), replaced);
}

/// Guards against a voter that waits for its own agreement because it stopped before it voted.
#[rstest]
fn single_voter_stopped_after_agreement() {
    let (id, disk) = (ids()[0].clone(), DiskId(1));
    let founders = Founders { term: Term(0), disks: vec![VoterDisk { voter: id.clone(), disk }] };
    let mut storage = MemoryStorage::new().with_durable(true);
    let vote = VoteRecord {
        disk: Some(disk),
        founder: true,
        founders: Some(founders),
        ..VoteRecord::default()
    };
    storage.set_vote(vote).expect("memory takes it");
    let config = ReplicaConfig::new(&id, &ids()[..1], &ids()[..1]);
    let mut replica = LogReplica::new(config, storage, Instant::now());
    let now = replica.next_deadline();
    replica.tick(now);
    replica.flush(now);
    assert!(replica.is_leader(), "it needs nobody else");
}

/// Guards against founders that replace others in a term in which those may have elected a leader.
#[rstest]
#[case::same_term(0, 0, false)]
#[case::earlier_term(3, 2, false)]
#[case::later_term(0, 1, true)]
fn other_founders_agreed_to(#[case] term: u64, #[case] proposed_in: u64, #[case] agreed: bool) {
    let mut replica = replica(true);
    let own = replica.storage().vote().disk.expect("it has a disk");
    let founders = |term: u64, last: u64| {
        let named = ids().into_iter().zip([own, DiskId(1), DiskId(last)]);
        let disks = named.map(|(voter, disk)| VoterDisk { voter, disk }).collect();
        Founders { term: Term(term), disks }
    };
    let request = |founders: Founders, founding: bool| {
        LogMessage::Vote(VoteRequest {
            founding,
            founders: Some(founders.clone()),
            last_index: LogIndex(0),
            last_term: Term(0),
            term: Term(if founding { term } else { *founders.term + 1 }),
            trial: !founding,
        })
    };
    let now = Instant::now();
    replica.step(&ids()[1], request(founders(0, 2), false), now);
    if term > 0 {
        replica.step(&ids()[1], request(founders(0, 2), true), now);
    }
    assert_eq!(replica.term(), Term(term));
    replica.step(&ids()[2], request(founders(proposed_in, 3), false), now);
    let held = replica.storage().vote().founders.clone().expect("it agreed to the first ones");
    assert_eq!(held == founders(proposed_in, 3), agreed, "{held:?}");
}

/// Append request of a leader of term 2 with the entries after `previous` up to `last`.
fn append(previous: u64, last: u64, commit: u64, term_of_last: u64) -> LogMessage {
    let entry = |index: u64| {
        let term = if index == last { Term(term_of_last) } else { Term(1) };
        LogEntry { index: LogIndex(index), term, payload: EntryPayload::Noop }
    };
    LogMessage::Append(AppendRequest {
        term: Term(2),
        previous_index: LogIndex(previous),
        previous_term: Term(1),
        entries: (previous + 1..=last).map(entry).collect(),
        commit: LogIndex(commit),
        acknowledged: None,
        round: 1,
        confirmed_ms: 0,
        lease_ms: 0,
    })
}

/// A replica is not complete after a snapshot alone, although its leader is confirmed. Controllers
/// that publish this state send gateways a configuration older than the acknowledged one, by 18
/// changes in one case.
#[rstest]
#[case::caught_up(append(20, 40, 40, 2), true)]
#[case::behind_commit(append(20, 30, 40, 2), false)]
#[case::gap(append(30, 40, 40, 2), false)]
#[case::commit_of_former_term(append(20, 40, 40, 1), false)]
fn complete_after_snapshot(#[case] next: LogMessage, #[case] complete: bool) {
    let mut replica = replica(false);
    let leader = ids()[1].clone();
    let snapshot = LogSnapshot {
        index: LogIndex(20),
        term: Term(1),
        voters: ids(),
        disks: Vec::new(),
        state: Vec::new(),
    };
    let request = SnapshotRequest { term: Term(2), round: 1, snapshot, lease_ms: 0 };
    replica.step(&leader, LogMessage::Snapshot(request), Instant::now());
    replica.step(&leader, append(40, 40, 40, 2), Instant::now());
    assert!(replica.confirmed().is_some(), "the leader is confirmed");
    assert!(replica.complete().is_none(), "the replica has only the snapshot");
    replica.step(&leader, next, Instant::now());
    assert_eq!(replica.complete().is_some(), complete);
}
