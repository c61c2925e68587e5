//! The log against a reference model: one list that only grows.
//!
//! Random schedules lose, duplicate, delay and reorder messages, partition
//! links, crash replicas (which lose unsynced data) and advance the time by
//! random steps. In every schedule, the entries applied by each replica must be
//! a prefix of one list, no acknowledged entry may be missing from it, and a
//! term has at most one leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_log::{LogReplica, LogStorage, MemoryStorage, ReplicaConfig};
use hollowbarrow_schema::{
    ClaimCommand, ClaimSweep, DaemonId, EntryPayload, LogEntry, LogIndex, LogMessage, LogSnapshot,
    Term,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

const ELECTION: Duration = Duration::from_millis(100);

/// Storage that loses unsynced data on a crash.
#[derive(Debug)]
struct CrashStorage {
    synced: Vec<StorageAction>,
    pending: Vec<StorageAction>,
    live: MemoryStorage,
}

#[derive(Clone, Debug)]
enum StorageAction {
    Append(LogEntry),
    Commit(LogIndex),
    Truncate(LogIndex),
    Vote(hollowbarrow_log::VoteRecord),
    Snapshot(LogSnapshot),
}

impl CrashStorage {
    fn new() -> Self {
        let live = MemoryStorage::new().with_durable(true);
        Self { synced: Vec::new(), pending: Vec::new(), live }
    }

    /// Returns the storage that a restart finds.
    fn crash(self) -> Self {
        let mut live = MemoryStorage::new().with_durable(true);
        for action in &self.synced {
            let replayed = match action.clone() {
                StorageAction::Append(entry) => live.append(&[entry]),
                StorageAction::Commit(index) => {
                    live.set_committed(index);
                    Ok(())
                }
                StorageAction::Truncate(index) => live.truncate_from(index),
                StorageAction::Vote(vote) => live.set_vote(vote),
                StorageAction::Snapshot(snapshot) => live.install_snapshot(snapshot),
            };
            replayed.expect("synced actions can be replayed");
        }
        Self { synced: self.synced, pending: Vec::new(), live }
    }

    fn sync_with(&mut self, action: StorageAction) {
        self.synced.append(&mut self.pending);
        self.synced.push(action);
    }
}

impl LogStorage for CrashStorage {
    fn is_durable(&self) -> bool {
        true
    }

    fn vote(&self) -> &hollowbarrow_log::VoteRecord {
        self.live.vote()
    }

    fn set_vote(
        &mut self,
        vote: hollowbarrow_log::VoteRecord,
    ) -> Result<(), hollowbarrow_log::StoreLogError> {
        // A vote is synced on its own: pending entries stay unsynced.
        self.synced.push(StorageAction::Vote(vote.clone()));
        self.live.set_vote(vote)
    }

    fn window(&self) -> &hollowbarrow_log::EntryWindow {
        self.live.window()
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), hollowbarrow_log::StoreLogError> {
        self.pending.extend(entries.iter().cloned().map(StorageAction::Append));
        self.live.append(entries)
    }

    fn truncate_from(&mut self, index: LogIndex) -> Result<(), hollowbarrow_log::StoreLogError> {
        self.pending.push(StorageAction::Truncate(index));
        self.live.truncate_from(index)
    }

    fn install_snapshot(
        &mut self,
        snapshot: LogSnapshot,
    ) -> Result<(), hollowbarrow_log::StoreLogError> {
        self.sync_with(StorageAction::Snapshot(snapshot.clone()));
        self.live.install_snapshot(snapshot)
    }

    fn set_committed(&mut self, index: LogIndex) {
        self.live.set_committed(index);
    }

    fn sync(&mut self) -> Result<(), hollowbarrow_log::StoreLogError> {
        if !self.pending.is_empty() {
            self.pending.push(StorageAction::Commit(self.live.window().committed()));
        }
        self.synced.append(&mut self.pending);
        self.live.sync()
    }
}

struct Group {
    now: Instant,
    rng: ChaCha8Rng,
    ids: Vec<DaemonId>,
    replicas: BTreeMap<DaemonId, LogReplica<CrashStorage>>,
    network: Vec<(DaemonId, DaemonId, LogMessage)>,
    partitioned: BTreeSet<(DaemonId, DaemonId)>,
    applied: BTreeMap<DaemonId, Vec<LogEntry>>,
    leaders: BTreeMap<Term, DaemonId>,
    acknowledged: Vec<(LogIndex, Term)>,
    longest: Vec<LogEntry>,
    proposed: u64,
}

fn payload(number: u64) -> EntryPayload {
    EntryPayload::Claim(ClaimCommand::Sweep(ClaimSweep { now_ms: number, retain_ms: 0 }))
}

impl Group {
    fn new(voters: usize, seed: u64) -> Self {
        let ids: Vec<DaemonId> = (0..voters).map(|n| DaemonId(format!("v{n}"))).collect();
        let now = Instant::now();
        let replicas = ids
            .iter()
            .zip(0..)
            .map(|(id, number)| {
                let config = ReplicaConfig::new(id, &ids, &ids)
                    .with_election(ELECTION)
                    .with_seed(seed ^ number);
                (id.clone(), LogReplica::new(config, CrashStorage::new(), now))
            })
            .collect();
        Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            applied: ids.iter().map(|id| (id.clone(), Vec::new())).collect(),
            ids,
            replicas,
            network: Vec::new(),
            partitioned: BTreeSet::new(),
            leaders: BTreeMap::new(),
            acknowledged: Vec::new(),
            longest: Vec::new(),
            proposed: 0,
        }
    }

    fn settle(&mut self, id: &DaemonId) {
        let now = self.now;
        let replica = self.replicas.get_mut(id).expect("every id has a replica");
        let mut messages = replica.take_early();
        messages.extend(replica.flush(now));
        if let Some(snapshot) = replica.take_installed() {
            // The snapshot's state is the list up to its index, as JSON.
            let state: Vec<LogEntry> =
                serde_from(&snapshot.state).expect("snapshots hold the list");
            self.applied.insert(id.clone(), state);
        }
        let list = self.applied.get_mut(id).expect("every id has a list");
        for entry in replica.take_committed() {
            assert_eq!(*entry.index as usize, list.len() + 1, "{} skipped an entry", **id);
            list.push(entry);
        }
        if replica.is_leader() {
            let leader = self.leaders.entry(replica.term()).or_insert_with(|| id.clone());
            assert_eq!(leader, id, "term {} has two leaders", *replica.term());
            self.acknowledged.extend(list.iter().map(|entry| (entry.index, entry.term)));
        }
        let shared = list.len().min(self.longest.len());
        assert_eq!(list[..shared], self.longest[..shared], "{} applied another list", **id);
        if list.len() > self.longest.len() {
            self.longest.clone_from(list);
        }
        for (to, message) in messages {
            self.network.push((id.clone(), to, message));
        }
    }

    fn step(&mut self) {
        let id = self.ids[self.rng.random_range(0..self.ids.len())].clone();
        match self.rng.random_range(0..100) {
            0..55 => self.deliver(),
            55..80 => {
                self.now += Duration::from_millis(self.rng.random_range(0..40));
                let now = self.now;
                self.replicas.get_mut(&id).expect("known").tick(now);
                self.settle(&id);
            }
            80..90 => {
                self.proposed += 1;
                let now = self.now;
                let entries = vec![payload(self.proposed)];
                self.replicas.get_mut(&id).expect("known").propose(entries, now);
                if self.rng.random_bool(0.8) {
                    self.settle(&id);
                }
            }
            90..93 => self.crash(&id),
            93..96 => {
                let other = self.ids[self.rng.random_range(0..self.ids.len())].clone();
                self.partitioned.insert((id, other));
            }
            96..98 => self.partitioned.clear(),
            _ => {
                let state = serde_to(&self.applied[&id]);
                self.replicas.get_mut(&id).expect("known").compact(state);
                self.settle(&id);
            }
        }
    }

    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.network.len().min(12));
        let (from, to, message) = if self.rng.random_bool(0.05) {
            self.network[position].clone()
        } else {
            self.network.remove(position)
        };
        let lost =
            self.rng.random_bool(0.05) || self.partitioned.contains(&(from.clone(), to.clone()));
        if lost {
            return;
        }
        let now = self.now;
        self.replicas.get_mut(&to).expect("known").step(&from, message, now);
        if self.rng.random_bool(0.9) {
            self.settle(&to);
        }
    }

    fn crash(&mut self, id: &DaemonId) {
        let replica = self.replicas.remove(id).expect("known");
        let storage = replica.into_storage().crash();
        let list = storage.window().snapshot().map_or_else(Vec::new, |snapshot| {
            serde_from(&snapshot.state).expect("snapshots hold the list")
        });
        self.applied.insert(id.clone(), list);
        let config = ReplicaConfig::new(id, &self.ids, &self.ids)
            .with_election(ELECTION)
            .with_seed(self.rng.random());
        self.replicas.insert(id.clone(), LogReplica::new(config, storage, self.now));
    }

    /// Ends all faults and runs for 4 s, so that all replicas catch up.
    fn heal(&mut self) {
        self.partitioned.clear();
        for _ in 0..400 {
            self.now += Duration::from_millis(10);
            for id in self.ids.clone() {
                let now = self.now;
                self.replicas.get_mut(&id).expect("known").tick(now);
                self.settle(&id);
            }
            for (from, to, message) in std::mem::take(&mut self.network) {
                let now = self.now;
                self.replicas.get_mut(&to).expect("known").step(&from, message, now);
                self.settle(&to);
            }
        }
    }
}

fn serde_to(list: &[LogEntry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(&list, &mut bytes).expect("writing to memory does not fail");
    bytes
}

fn serde_from(bytes: &[u8]) -> Option<Vec<LogEntry>> {
    ciborium::from_reader(bytes).ok()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, max_shrink_iters: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn replicate_random_faults(seed: u64, voters in 1usize..6, steps in 50usize..800) {
        let mut group = Group::new(voters, seed);
        group.heal();
        for _ in 0..steps {
            group.step();
        }
        group.heal();
        let leaders = group.replicas.values().filter(|replica| replica.is_leader()).count();
        prop_assert_eq!(leaders, 1, "a healed group has one leader");
        let list = group.longest.clone();
        for (index, term) in &group.acknowledged {
            let kept = &list[**index as usize - 1];
            prop_assert_eq!(&kept.term, term, "an acknowledged entry was replaced");
        }
        for (id, applied) in &group.applied {
            prop_assert_eq!(applied.len(), list.len(), "{} did not catch up", **id);
        }
    }
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(5)]
fn found_all_blank(#[case] voters: usize) {
    let mut group = Group::new(voters, 7);
    group.heal();
    assert_eq!(group.replicas.values().filter(|replica| replica.is_leader()).count(), 1);
    assert!(group.replicas.values().all(|replica| replica.fault().is_none()));
}

/// A voter whose disk was lost must not vote, or acknowledged entries could be lost.
#[rstest]
fn vote_lost_disk() {
    let mut group = Group::new(3, 11);
    group.heal();
    // Only the wiped voter and one other can communicate, which must not be a quorum.
    let leader = group.replicas.values().find(|r| r.is_leader()).map(|r| r.id().clone());
    let isolated = leader.expect("the group has a leader");
    let wiped = group.ids.iter().find(|id| **id != isolated).cloned().expect("there are three");
    let config = ReplicaConfig::new(&wiped, &group.ids, &group.ids).with_election(ELECTION);
    group.applied.insert(wiped.clone(), Vec::new());
    group.replicas.insert(wiped.clone(), LogReplica::new(config, CrashStorage::new(), group.now));
    for id in group.ids.clone() {
        group.partitioned.insert((isolated.clone(), id.clone()));
        group.partitioned.insert((id, isolated.clone()));
    }
    for _ in 0..4000 {
        group.deliver();
        group.now += Duration::from_millis(2);
        for id in group.ids.clone().iter().filter(|id| **id != isolated) {
            let now = group.now;
            group.replicas.get_mut(id).expect("known").tick(now);
            group.settle(id);
        }
    }
    let others = group.replicas.values().filter(|r| r.is_leader() && *r.id() != isolated).count();
    assert_eq!(others, 0, "a wiped voter helped to elect a leader");
    group.heal();
    let fault = group.replicas[&wiped].fault().map(ToString::to_string).unwrap_or_default();
    assert!(fault.contains("replace this voter"), "the wiped voter reports {fault:?}");
}

/// Removing a wiped voter and adding it again, as an operator does, restores it.
#[rstest]
fn replace_lost_disk() {
    let mut group = Group::new(3, 13);
    group.heal();
    let leader = group.replicas.values().find(|r| r.is_leader()).map(|r| r.id().clone());
    let leader = leader.expect("the group has a leader");
    let wiped = group.ids.iter().find(|id| **id != leader).cloned().expect("there are three");
    let config = ReplicaConfig::new(&wiped, &group.ids, &group.ids).with_election(ELECTION);
    group.applied.insert(wiped.clone(), Vec::new());
    group.replicas.insert(wiped.clone(), LogReplica::new(config, CrashStorage::new(), group.now));
    group.heal();
    let rest: Vec<DaemonId> = group.ids.iter().filter(|id| **id != wiped).cloned().collect();
    for voters in [rest, group.ids.clone()] {
        let now = group.now;
        let replica = group.replicas.get_mut(&leader).expect("known");
        let proposed = replica.propose(vec![EntryPayload::Voters(voters)], now);
        assert!(proposed.is_some(), "the change of voters was refused");
        group.heal();
    }
    assert!(group.replicas[&wiped].fault().is_none(), "{:?}", group.replicas[&wiped].fault());
    assert_eq!(group.replicas[&wiped].voters().len(), 3);
}

/// A leader that receives no replies steps down.
#[rstest]
fn lead_while_isolated() {
    let mut group = Group::new(3, 17);
    group.heal();
    let leader = group.replicas.values().find(|r| r.is_leader()).map(|r| r.id().clone());
    let leader = leader.expect("the group has a leader");
    for id in group.ids.clone() {
        group.partitioned.insert((leader.clone(), id.clone()));
        group.partitioned.insert((id, leader.clone()));
    }
    for _ in 0..200 {
        group.now += ELECTION / 10;
        for id in group.ids.clone() {
            let now = group.now;
            group.replicas.get_mut(&id).expect("known").tick(now);
            group.settle(&id);
        }
        for _ in 0..20 {
            group.deliver();
        }
    }
    assert!(!group.replicas[&leader].is_leader());
    assert_eq!(group.replicas.values().filter(|replica| replica.is_leader()).count(), 1);
}
