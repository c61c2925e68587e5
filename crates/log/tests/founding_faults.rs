//! Founding of a log while messages are lost, late and reordered, links are cut and disks are lost.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_log::LogStorage;
use hollowbarrow_schema::DaemonId;
use rand::RngExt;
use rstest::rstest;
use tokio::time::Instant;

use support::{Cluster, ELECTION, Network, assert_all_pass, ensure};

/// Longest time from the end of all faults until there is a leader that counts every voter.
const FOUNDED_WITHIN: Duration = Duration::from_secs(6);
/// Interval of random faults.
const PAUSE: Duration = Duration::from_millis(20);

/// A network that loses every fourth message and delays some for several election timeouts.
const FOUNDING: Network = Network {
    slowest: Duration::from_millis(60),
    lost: 0.25,
    doubled: 0.05,
    straggling: 0.05,
    straggle: Duration::from_millis(400),
    unsynced: 0.0,
};

/// A network that delays every fourth message for several election timeouts, so that messages reach a
/// voter whose disk was emptied since.
const LATE: Network = Network {
    slowest: Duration::from_millis(30),
    lost: 0.1,
    doubled: 0.05,
    straggling: 0.25,
    straggle: Duration::from_millis(800),
    unsynced: 0.0,
};

fn founded(cluster: &mut Cluster) -> Result<(), String> {
    let founded = cluster.run_until(FOUNDED_WITHIN, Cluster::all_count);
    cluster.broken.clone().map_or(Ok(()), Err)?;
    ensure(cluster.has_leader(), "no leader")?;
    ensure(founded.is_some(), "a voter keeps a fault")
}

/// Runs with random cuts between all daemons.
fn run_with_cuts(cluster: &mut Cluster, length: Duration) {
    let until = cluster.now + length;
    while cluster.now < until {
        if cluster.rng.random_bool(0.15) {
            let all = cluster.all();
            let one = all[cluster.rng.random_range(0..all.len())].clone();
            let other = all[cluster.rng.random_range(0..all.len())].clone();
            let healed = cluster.now + Duration::from_millis(cluster.rng.random_range(50..600));
            cluster.cut_until(&one, &other, healed);
        }
        if cluster.rng.random_bool(0.2) {
            cluster.propose();
        }
        cluster.run(PAUSE);
    }
}

/// Returns whether a log is founded if faults last from the first moment for some time.
fn founded_after_faults(voters: usize, learners: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::new(voters, learners, seed, FOUNDING);
    let length = Duration::from_millis(cluster.rng.random_range(200..1500));
    run_with_cuts(&mut cluster, length);
    cluster.mend();
    cluster.network = Network::CALM;
    founded(&mut cluster)
}

/// Guards against voters that miss the founding and keep a fault until an operator replaces them.
#[rstest]
#[case::three(3, 0)]
#[case::three_with_learners(3, 2)]
#[case::five(5, 0)]
#[case::five_with_learners(5, 2)]
#[case::six(6, 0)]
#[case::six_with_learners(6, 2)]
fn log_founded_despite_faults(#[case] voters: usize, #[case] learners: usize) {
    assert_all_pass(&[voters], 1000, |voters, seed| founded_after_faults(voters, learners, seed));
}

/// Returns whether every voter counts if one is cut off when a candidate asks for the founding votes
/// and another election is held before it is back.
fn founded_without_one(voters: usize, learners: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::new(voters, learners, seed, Network::CALM);
    let asked = cluster.run_until(FOUNDED_WITHIN, |cluster| cluster.vote_requested_by.is_some());
    ensure(asked.is_some(), "nobody asks for votes")?;
    let candidate = cluster.vote_requested_by.clone();
    let others: Vec<_> =
        cluster.voters.iter().filter(|id| Some(*id) != candidate.as_ref()).cloned().collect();
    let away = others[cluster.rng.random_range(0..others.len())].clone();
    cluster.isolate(&away);
    cluster.run(ELECTION * 10);
    if cluster.has_leader() {
        cluster.hand_over();
        cluster.run(ELECTION * 2);
    }
    cluster.mend();
    founded(&mut cluster)
}

/// Guards against founding leaders that begin without a voter and are replaced before it is back.
#[rstest]
#[case::three(3, 0)]
#[case::three_with_learners(3, 2)]
#[case::five(5, 0)]
#[case::five_with_learners(5, 2)]
#[case::six(6, 0)]
#[case::six_with_learners(6, 2)]
fn log_founded_with_one_voter_cut_off(#[case] voters: usize, #[case] learners: usize) {
    assert_all_pass(&[voters], 200, |voters, seed| founded_without_one(voters, learners, seed));
}

/// Returns whether a term has one leader and an index one entry if a voter loses its disk during the
/// founding.
fn founded_once(voters: usize, seed: u64, again: bool) -> Result<(), String> {
    let mut cluster = Cluster::new(voters, 0, seed, FOUNDING);
    let before = Duration::from_millis(cluster.rng.random_range(0..800));
    run_with_cuts(&mut cluster, before);
    let wiped = cluster.voters[cluster.rng.random_range(0..voters)].clone();
    cluster.wipe(&wiped);
    cluster.let_found(&wiped);
    let away = Duration::from_millis(cluster.rng.random_range(0..60));
    run_with_cuts(&mut cluster, away);
    cluster.start(&wiped, again);
    run_with_cuts(&mut cluster, Duration::from_secs(1));
    cluster.mend();
    cluster.network = Network::CALM;
    cluster.readmits = true;
    cluster.run(Duration::from_secs(2));
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against a log that is founded twice.
#[rstest]
#[case::three(3, false)]
#[case::five(5, false)]
#[case::three_founding_again(3, true)]
#[case::five_founding_again(5, true)]
#[case::six(6, false)]
#[case::six_founding_again(6, true)]
fn log_founded_once_with_lost_disk(#[case] voters: usize, #[case] again: bool) {
    assert_all_pass(&[voters], 300, |voters, seed| founded_once(voters, seed, again));
}

/// Random faults of voters that always may found, while their log is founded.
struct EmptiedDisks {
    cluster: Cluster,
    /// Stopped voters and when they start again.
    stopped: BTreeMap<DaemonId, Instant>,
    /// Voters whose disk was emptied and which the log does not name with the next one yet.
    emptied: BTreeSet<DaemonId>,
}

impl EmptiedDisks {
    fn new(voters: usize, seed: u64, network: Network) -> Self {
        let mut cluster = Cluster::new(voters, 0, seed, network);
        cluster.readmits = true;
        Self { cluster, stopped: BTreeMap::new(), emptied: BTreeSet::new() }
    }

    fn run(&mut self, length: Duration) {
        let until = self.cluster.now + length;
        while self.cluster.now < until {
            self.act();
            run_with_cuts(&mut self.cluster, PAUSE);
            self.restart();
            let cluster = &self.cluster;
            self.emptied.retain(|id| !is_named(cluster, id));
        }
    }

    /// Empties a disk unless the cluster cannot bear it, or lets a voter lose its power.
    fn act(&mut self) {
        let position = self.cluster.rng.random_range(0..self.cluster.voters.len());
        let id = self.cluster.voters[position].clone();
        let away = Duration::from_millis(self.cluster.rng.random_range(0..100));
        let bearable = (self.cluster.voters.len() - 1) / 2;
        let emptied = self.emptied.contains(&id) || self.emptied.len() < bearable;
        match self.cluster.rng.random_range(0..100) {
            0..10 if emptied => {
                self.cluster.wipe(&id);
                self.cluster.let_found(&id);
                self.emptied.insert(id.clone());
            }
            10..16 => self.cluster.stop(&id),
            _ => return,
        }
        self.stopped.insert(id, self.cluster.now + away);
    }

    fn restart(&mut self) {
        let now = self.cluster.now;
        for id in self.cluster.voters.clone() {
            if self.stopped.get(&id).is_some_and(|at| *at <= now) {
                self.stopped.remove(&id);
                self.cluster.start(&id, true);
            }
        }
    }
}

/// Returns whether the committed log of a voter names the disk that it has.
fn is_named(cluster: &Cluster, id: &DaemonId) -> bool {
    if !cluster.is_running(id) {
        return false;
    }
    let replica = cluster.replica(id);
    let last = replica.storage().window().last_index();
    let voter = replica.voters().contains(id) && replica.fault().is_none();
    *last > 0 && replica.commit() == last && voter
}

/// Returns whether a log is founded once, and then counts every voter, if disks are emptied and
/// voters lose their power while it is founded.
fn founded_over_emptied_disks(voters: usize, seed: u64, network: Network) -> Result<(), String> {
    let mut faults = EmptiedDisks::new(voters, seed, network);
    let length = Duration::from_millis(faults.cluster.rng.random_range(0..2500));
    faults.run(length);
    let mut cluster = faults.cluster;
    cluster.mend();
    cluster.network = Network::CALM;
    for id in faults.stopped.into_keys() {
        cluster.start(&id, true);
    }
    founded(&mut cluster)
}

/// Guards against two leaders of one term, and acknowledged entries that are lost, if the voters may
/// always found and disks are emptied before the log names them.
#[rstest]
#[case::three(3, LATE)]
#[case::five(5, LATE)]
#[case::three_slow_disks(3, Network::ROUGH)]
#[case::five_slow_disks(5, Network::ROUGH)]
#[case::six(6, LATE)]
#[case::six_slow_disks(6, Network::ROUGH)]
fn log_founded_once_over_emptied_disks(#[case] voters: usize, #[case] network: Network) {
    assert_all_pass(&[voters], 1000, |voters, seed| {
        founded_over_emptied_disks(voters, seed, network)
    });
}
