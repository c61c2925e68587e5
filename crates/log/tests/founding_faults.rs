//! Founding of a log while messages are lost, late and reordered, links are cut and disks are lost.

mod support;

use std::time::Duration;

use rand::RngExt;
use rstest::rstest;

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
fn log_founded_once_with_lost_disk(#[case] voters: usize, #[case] again: bool) {
    assert_all_pass(&[voters], 300, |voters, seed| founded_once(voters, seed, again));
}
