//! Founding of a log under an adversary that delivers any message that was ever sent, in any order and
//! any number of times, and empties disks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_log::{LogReplica, LogStorage, MemoryStorage, ReplicaConfig, VoteRecord};
use hollowbarrow_schema::{
    ClaimCommand, ClaimSweep, DaemonId, EntryPayload, LogIndex, LogMessage, Term,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

const ELECTION: Duration = Duration::from_millis(100);

struct Adversary {
    now: Instant,
    /// The voters of the settings.
    ids: Vec<DaemonId>,
    /// These voters, and daemons with a disk that a leader may admit.
    all: Vec<DaemonId>,
    replicas: BTreeMap<DaemonId, LogReplica<MemoryStorage>>,
    sent: Vec<(DaemonId, DaemonId, LogMessage)>,
    fresh: Vec<usize>,
    lives: BTreeMap<DaemonId, u64>,
    emptied: BTreeSet<DaemonId>,
    leaders: BTreeMap<Term, (DaemonId, u64)>,
    committed: BTreeMap<u64, (Term, String)>,
    rng: ChaCha8Rng,
}

impl Adversary {
    fn config(&self, id: &DaemonId, seed: u64) -> ReplicaConfig {
        ReplicaConfig::new(id, &self.all, &self.ids).with_election(ELECTION).with_seed(seed)
    }

    fn new(voters: usize, earlier: u8, seed: u64) -> Self {
        Self::with_learners(voters, 0, earlier, seed)
    }

    fn with_learners(voters: usize, learners: usize, earlier: u8, seed: u64) -> Self {
        let ids = ["a", "b", "c", "d", "e", "f", "g", "h"].map(DaemonId::from);
        let now = Instant::now();
        let mut new = Self {
            now,
            ids: ids[..voters].to_vec(),
            all: ids[..voters + learners].to_vec(),
            replicas: BTreeMap::new(),
            sent: Vec::new(),
            fresh: Vec::new(),
            lives: BTreeMap::new(),
            emptied: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for id in new.all.clone() {
            let mut storage = MemoryStorage::new().with_durable(true);
            if earlier > 0 && new.rng.random_bool(0.5) {
                // A folder of an earlier release that had votes, no disk id and no entries.
                let term = Term(new.rng.random_range(0..4));
                let initialised = earlier > 1;
                let vote = VoteRecord { term, initialised, ..VoteRecord::default() };
                storage.set_vote(vote).expect("memory takes it");
            }
            new.start(&id, storage);
        }
        new
    }

    fn start(&mut self, id: &DaemonId, storage: MemoryStorage) {
        let seed = self.rng.random_range(0..u64::MAX);
        let replica = LogReplica::new(self.config(id, seed), storage, self.now);
        self.replicas.insert(id.clone(), replica);
    }

    /// Returns, in half of the draws with learners, the voters that a replica knows and a learner.
    fn admission(&mut self, id: &DaemonId) -> Option<EntryPayload> {
        let learners = self.all.len() - self.ids.len();
        if learners == 0 || self.rng.random_bool(0.5) {
            return None;
        }
        let learner = &self.all[self.ids.len() + self.rng.random_range(0..learners)];
        let voters = self.replicas[id].voters().iter().chain([learner]);
        Some(EntryPayload::Voters(voters.cloned().collect()))
    }

    fn flush(&mut self, id: &DaemonId) -> Result<(), String> {
        let now = self.now;
        let replica = self.replicas.get_mut(id).expect("known");
        for (to, message) in replica.flush(now) {
            if self.all.contains(&to) {
                self.fresh.push(self.sent.len());
                self.sent.push((id.clone(), to, message));
            }
        }
        let life = *self.lives.entry(id.clone()).or_default();
        if replica.is_leader() {
            let term = replica.term();
            let leader = (id.clone(), life);
            let known = self.leaders.entry(term).or_insert_with(|| leader.clone());
            if *known != leader {
                return Err(format!("term {} has two leaders: {known:?} and {leader:?}", *term));
            }
        }
        for entry in replica.take_committed() {
            let found = (entry.term, format!("{:?}", entry.payload));
            let known = self.committed.entry(*entry.index).or_insert_with(|| found.clone());
            if *known != found {
                return Err(format!("index {} has {known:?} and {found:?}", *entry.index));
            }
        }
        // A disk that the committed log names is no emptied one any more.
        let replica = &self.replicas[id];
        let last = *replica.storage().window().last_index();
        let voter = replica.voters().contains(id) && replica.fault().is_none();
        if last > 0 && *replica.commit() == last && voter {
            self.emptied.remove(id);
        }
        Ok(())
    }

    fn act(&mut self) -> Result<(), String> {
        let id = self.all[self.rng.random_range(0..self.all.len())].clone();
        match self.rng.random_range(0..1000) {
            0..60 => {
                let replica = self.replicas.get_mut(&id).expect("known");
                self.now = self.now.max(replica.next_deadline());
                replica.tick(self.now);
                self.flush(&id)
            }
            60..72 => {
                let bearable = (self.ids.len() - 1) / 2;
                if !self.emptied.contains(&id) && self.emptied.len() >= bearable {
                    return Ok(());
                }
                self.emptied.insert(id.clone());
                *self.lives.entry(id.clone()).or_default() += 1;
                self.start(&id, MemoryStorage::new().with_durable(true));
                self.flush(&id)
            }
            72..80 => {
                let replica = self.replicas.remove(&id).expect("known");
                self.start(&id, replica.into_storage());
                self.flush(&id)
            }
            80..100 => {
                let number = self.rng.random_range(0..u64::MAX);
                let sweep = ClaimCommand::Sweep(ClaimSweep { now_ms: number, retain_ms: 0 });
                let payload = self.admission(&id).unwrap_or(EntryPayload::Claim(sweep));
                let now = self.now;
                let replica = self.replicas.get_mut(&id).expect("known");
                replica.propose(vec![payload], now);
                self.flush(&id)
            }
            number => {
                let position = if number < 700 && !self.fresh.is_empty() {
                    let recent = self.fresh.len().saturating_sub(12);
                    let at = self.rng.random_range(recent..self.fresh.len());
                    self.fresh.remove(at)
                } else if self.sent.is_empty() {
                    return Ok(());
                } else {
                    self.rng.random_range(0..self.sent.len())
                };
                let (from, to, message) = self.sent[position].clone();
                self.now += Duration::from_millis(self.rng.random_range(0..8));
                let now = self.now;
                self.replicas.get_mut(&to).expect("known").step(&from, message, now);
                self.flush(&to)
            }
        }
    }
}

/// Longest time from the last fault until there is a leader that has committed an entry.
const FOUNDED_WITHIN: Duration = Duration::from_secs(20);

impl Adversary {
    /// Delivers all further messages at once and in order until a leader has committed an entry.
    fn settle(&mut self) -> Result<(), String> {
        self.fresh.clear();
        let until = self.now + FOUNDED_WITHIN;
        while !self.replicas.values().any(LogReplica::is_current) {
            let next =
                self.replicas.iter().map(|(id, one)| (one.next_deadline(), id.clone())).min();
            let (due, id) = next.expect("there are voters");
            self.now = self.now.max(due);
            if self.now > until {
                let state = |one: &LogReplica<MemoryStorage>| {
                    let window = one.storage().window();
                    let last = (*window.last_term(), *window.last_index());
                    let first = window.entry(LogIndex(1)).map(|entry| &entry.payload);
                    format!(
                        "{} last {last:?} first {first:?} {:?} {:?}",
                        one.id(),
                        one.storage().vote(),
                        one.fault()
                    )
                };
                let states: Vec<String> = self.replicas.values().map(state).collect();
                return Err(format!("no leader: {states:#?}"));
            }
            let now = self.now;
            self.replicas.get_mut(&id).expect("known").tick(now);
            self.flush(&id)?;
            while !self.fresh.is_empty() {
                let (from, to, message) = self.sent[self.fresh.remove(0)].clone();
                self.replicas.get_mut(&to).expect("known").step(&from, message, now);
                self.flush(&to)?;
            }
        }
        Ok(())
    }
}

/// Guards against two leaders of one term, and committed entries that are lost, if messages of former
/// lives arrive at any time.
#[rstest]
#[case::one(1, 0)]
#[case::two(2, 0)]
#[case::three(3, 0)]
#[case::five(5, 0)]
#[case::three_with_earlier_folders(3, 1)]
#[case::three_with_earlier_quorum(3, 2)]
#[case::five_with_earlier_folders(5, 1)]
#[case::five_with_earlier_quorum(5, 2)]
fn log_founded_once_under_adversary(#[case] voters: usize, #[case] earlier: u8) {
    assert_founded_once(voters, 0, earlier);
}

/// Guards against the same where half of the voters are no majority, and where daemons are admitted
/// while or after the log is founded.
#[rstest]
#[case::four(4, 0)]
#[case::six(6, 0)]
#[case::eight(8, 0)]
#[case::three_with_learners(3, 3)]
#[case::six_with_learners(6, 2)]
fn log_founded_once_under_adversary_with(#[case] voters: usize, #[case] learners: usize) {
    assert_founded_once(voters, learners, 0);
}

fn assert_founded_once(voters: usize, learners: usize, earlier: u8) {
    let draws: u64 = std::env::var("HB_DRAWS").ok().and_then(|n| n.parse().ok()).unwrap_or(2000);
    let (mut led, mut committed, mut admitted, mut failed) = (0, 0, 0, Vec::new());
    for seed in 0..draws {
        let mut adversary = Adversary::with_learners(voters, learners, earlier, seed);
        let acts = adversary.rng.random_range(0..600);
        let acted = (0..acts).try_for_each(|_| adversary.act());
        let result = acted.and_then(|()| adversary.settle());
        led += usize::from(!adversary.leaders.is_empty());
        committed += usize::from(!adversary.committed.is_empty());
        let mut replicas = adversary.replicas.values();
        admitted += usize::from(replicas.any(|one| one.voters().len() > voters));
        if let Err(error) = result {
            failed.push(format!("seed {seed}: {error}"));
        }
    }
    let doubled = failed.iter().filter(|one| !one.contains("no leader")).count();
    println!("{doubled} unsafe, {} in all", failed.len());
    println!("{voters} voters, {learners} learners ({earlier}): {draws} draws");
    println!("{led} led, {committed} committed, {admitted} admitted");
    assert!(failed.is_empty(), "{} failed: {:#?}", failed.len(), &failed[..failed.len().min(1)]);
}

/// Guards against a log that is never founded because the only disk with an entry was emptied before,
/// and nobody can elect it or found without it. Two of five disks are emptied, nothing is committed.
#[rstest]
fn founding_after_entry_on_emptied_disk() -> Result<(), String> {
    let mut cluster = Adversary::new(5, 0, 1);
    let mut appends = Vec::new();
    let leader = loop {
        if let Some(leader) = cluster.replicas.values().find(|one| one.is_leader()) {
            break leader.id().clone();
        }
        let next = cluster.replicas.iter().map(|(id, one)| (one.next_deadline(), id.clone())).min();
        let (due, id) = next.expect("there are voters");
        cluster.now = cluster.now.max(due);
        let now = cluster.now;
        cluster.replicas.get_mut(&id).expect("known").tick(now);
        cluster.flush(&id)?;
        while !cluster.fresh.is_empty() {
            let (from, to, message) = cluster.sent[cluster.fresh.remove(0)].clone();
            if matches!(message, LogMessage::Append(_)) {
                appends.push((from, to, message));
                continue;
            }
            cluster.replicas.get_mut(&to).expect("known").step(&from, message, now);
            cluster.flush(&to)?;
        }
    };
    let other = cluster.ids.iter().find(|id| **id != leader).expect("there are others").clone();
    cluster.start(&other, MemoryStorage::new().with_durable(true));
    let now = cluster.now;
    for (from, _, message) in appends.into_iter().filter(|(_, to, _)| *to == other) {
        cluster.replicas.get_mut(&other).expect("known").step(&from, message, now);
    }
    cluster.flush(&other)?;
    cluster.start(&leader, MemoryStorage::new().with_durable(true));
    assert!(cluster.committed.is_empty(), "nothing was acknowledged");
    cluster.settle()
}

/// Guards against a log that is never founded because a voter of an earlier release, which has voted
/// and has no entry, is elected by disks that the log then does not name.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn founding_with_voter_of_earlier_release(#[case] voters: usize) -> Result<(), String> {
    for seed in 0..20 {
        let mut cluster = Adversary::new(voters, 0, seed);
        let mut storage = MemoryStorage::new().with_durable(true);
        let vote = VoteRecord { term: Term(1), initialised: true, ..VoteRecord::default() };
        storage.set_vote(vote).expect("memory takes it");
        cluster.start(&DaemonId::from("a"), storage);
        cluster.settle().map_err(|error| format!("seed {seed}: {error}"))?;
    }
    Ok(())
}
