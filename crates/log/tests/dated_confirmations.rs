//! What a replica knows to be complete right after its start.

mod support;

use rstest::rstest;

use support::{Cluster, ELECTION};

/// A daemon that asks only whether its log was ever complete takes this for a confirmation since its
/// start: a former leader, which is cut off and has not stepped down yet, tells a replica that has just
/// started of a confirmation from before. Another leader has committed more by then.
#[rstest]
fn complete_after_start_with_former_leader() {
    let mut seen = Vec::new();
    for seed in 0..200 {
        let mut cluster = Cluster::founded(5, seed);
        let leader = cluster.leader().expect("there is a leader");
        let beside = cluster.voters.iter().find(|id| **id != leader).cloned().expect("others");
        cluster.separate(&[leader.clone(), beside.clone()]);
        let next = cluster.run_until(ELECTION * 4, |cluster| {
            cluster.leader().is_some_and(|other| other != leader)
        });
        if next.is_none() || cluster.propose().is_none() {
            continue;
        }
        cluster.run(ELECTION / 5);
        cluster.stop(&beside);
        cluster.start(&beside, false);
        let started = cluster.now;
        let acknowledged = cluster.list.len() as u64;
        cluster.run(ELECTION / 2);
        let replica = cluster.replica(&beside);
        let lacks = *replica.commit() < acknowledged;
        if let Some(complete) = replica.complete().filter(|_| lacks) {
            assert!(complete < started, "seed {seed}: complete after the start, and lacks entries");
            seen.push(seed);
        }
    }
    assert!(
        seen.is_empty(),
        "complete before the start, lacks what was acknowledged: {} of 200 seeds {seen:?}",
        seen.len()
    );
}
