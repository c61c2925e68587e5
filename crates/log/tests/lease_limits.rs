//! Leases that have grown with slow messages, after messages have become fast again.

mod support;

use std::time::Duration;

use hollowbarrow_schema::DaemonId;
use rstest::rstest;

use support::{Cluster, ELECTION, Network};

/// Share of an election timeout that a leader used to act for after its last confirmation.
const ACTED_BEFORE: Duration = ELECTION;
/// Time without a reply after which a leader takes a voter for silent, as the ratio of the
/// controllers' settings: 2 s with an election timeout of 600 ms.
const SILENT: Duration = Duration::from_millis(ELECTION.as_millis() as u64 * 10 / 3);

fn leased(cluster: &Cluster, id: &DaemonId) -> bool {
    let replica = cluster.replica(id);
    replica.is_current() && replica.lease_end().is_some_and(|end| cluster.now < end)
}

/// Returns a cluster whose messages were slow and are fast again, with a leader.
fn recovered(seed: u64) -> Option<(Cluster, DaemonId)> {
    let slowest = ELECTION * 3;
    let mut cluster = Cluster::new(3, 0, seed, Network { slowest, ..Network::CALM });
    cluster.run_until(ELECTION * 200, Cluster::has_leader)?;
    cluster.run(ELECTION * 20);
    cluster.network = Network::CALM;
    cluster.run(ELECTION);
    let leader = cluster.leader()?;
    Some((cluster, leader))
}

/// Two leaders act at the same time, where the voters that granted the lease restart and cannot
/// reach the former leader.
#[rstest]
fn no_second_leader_after_restarts_within_lease() {
    let mut overlaps = Vec::new();
    for seed in 0..40 {
        let Some((mut cluster, leader)) = recovered(seed) else { continue };
        cluster.isolate(&leader);
        let others: Vec<DaemonId> =
            cluster.voters.iter().filter(|id| **id != leader).cloned().collect();
        for id in &others {
            cluster.stop(id);
            cluster.start(id, false);
        }
        let mut overlap = Duration::ZERO;
        let until = cluster.now + ELECTION * 10;
        while cluster.now < until {
            cluster.run(Duration::from_millis(5));
            if leased(&cluster, &leader) && others.iter().any(|id| leased(&cluster, id)) {
                overlap += Duration::from_millis(5);
            }
        }
        overlaps.push(overlap);
    }
    overlaps.sort();
    let most = overlaps.last().copied().unwrap_or_default();
    let above = overlaps.iter().filter(|overlap| **overlap > ACTED_BEFORE).count();
    assert!(
        most <= ACTED_BEFORE,
        "two leaders act for {most:?} at most, median {:?}, longer than {ACTED_BEFORE:?} in {above} of {}",
        overlaps[overlaps.len() / 2],
        overlaps.len()
    );
}

/// A leader with a lease takes all other voters for silent, although a majority is said to have
/// confirmed it.
#[rstest]
fn majority_is_not_silent_within_lease() {
    let mut seen = Vec::new();
    for seed in 0..40 {
        let Some((mut cluster, leader)) = recovered(seed) else { continue };
        cluster.isolate(&leader);
        let until = cluster.now + ELECTION * 10;
        let mut silent = false;
        while cluster.now < until {
            cluster.run(Duration::from_millis(5));
            let contacts = cluster.replica(&leader).voter_contacts();
            let all_silent = contacts.values().all(|at| cluster.now - *at >= SILENT);
            silent |= leased(&cluster, &leader) && all_silent && !contacts.is_empty();
        }
        if silent {
            seen.push(seed);
        }
    }
    assert!(seen.is_empty(), "all voters silent within a lease at seeds {seen:?}");
}
