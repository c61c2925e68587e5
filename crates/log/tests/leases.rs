//! Leases of leaders: while a leader holds one, no other replica is elected, whatever the network
//! does, and a leader keeps its lease where messages take longer than an election timeout.

mod support;

use std::time::Duration;

use hollowbarrow_log::{LogReplica, MemoryStorage, ReplicaConfig};
use hollowbarrow_schema::{AppendRequest, DaemonId, LogIndex, LogMessage, Term, VoteRequest};
use rand::RngExt;
use rstest::rstest;
use tokio::time::Instant;

use support::{Cluster, ELECTION, Network};

/// Number of seeds of each case.
const SEEDS: u64 = 40;
/// Number of disturbances of each seed.
const DISTURBANCES: usize = 40;
/// Bounds of the time between two disturbances, in milliseconds.
const DISTURBANCE_MS: (u64, u64) = (20, 1_500);
/// Time for which a leader is observed in a calm network, and for which it must hold a lease.
const OBSERVED: Duration = Duration::from_secs(20);
const LEASED: Duration = Duration::from_secs(16);
/// Interval between two observations.
const INTERVAL: Duration = Duration::from_millis(10);

/// Returns the replicas that have committed an entry of their term and hold a lease.
fn holders(cluster: &Cluster) -> Vec<DaemonId> {
    let now = cluster.now;
    let holds = |id: &&DaemonId| {
        let replica = cluster.replica(id);
        replica.is_current() && replica.lease_end().is_some_and(|end| now < end)
    };
    cluster.voters.iter().filter(holds).cloned().collect()
}

/// Returns whether a replica leads in a later term than one that holds a lease.
fn is_lease_broken(cluster: &Cluster) -> bool {
    let leads = |id: &&DaemonId| cluster.replica(id).is_leader();
    let latest = cluster.voters.iter().filter(leads).map(|id| cluster.replica(id).term()).max();
    holders(cluster).iter().any(|id| Some(cluster.replica(id).term()) < latest)
}

fn disturb(cluster: &mut Cluster) {
    let voters = cluster.voters.clone();
    let count = cluster.rng.random_range(1..=voters.len() / 2);
    let first = cluster.rng.random_range(0..voters.len());
    let group: Vec<DaemonId> = voters.iter().cycle().skip(first).take(count).cloned().collect();
    match cluster.rng.random_range(0..4) {
        0 => cluster.mend(),
        1 => cluster.isolate(&voters[first]),
        2 => cluster.separate(&group),
        _ => {
            let other = &voters[(first + 1) % voters.len()];
            let until = cluster.now + ELECTION * cluster.rng.random_range(1..10);
            cluster.cut_until(&voters[first], other, until);
        }
    }
}

#[rstest]
#[case::fast(3, 4)]
#[case::within_timeout(3, 60)]
#[case::as_long_as_timeout(3, 120)]
#[case::longer_than_timeout(3, 300)]
#[case::five_voters(5, 120)]
fn none_elected_while_leased(#[case] voters: usize, #[case] slowest_ms: u64) {
    for seed in 0..SEEDS {
        let slowest = Duration::from_millis(slowest_ms);
        let mut cluster = Cluster::new(voters, 0, seed, Network { slowest, ..Network::ROUGH });
        for _ in 0..DISTURBANCES {
            let (shortest, longest) = DISTURBANCE_MS;
            let time = Duration::from_millis(cluster.rng.random_range(shortest..longest));
            let broken = cluster.run_until(time, is_lease_broken);
            assert!(
                broken.is_none(),
                "seed {seed}: a leader elected while {:?} lead",
                holders(&cluster)
            );
            assert_eq!(cluster.broken, None, "seed {seed}");
            disturb(&mut cluster);
        }
    }
}

// Guards against a leader that everyone follows and that never acts, because each confirmation is
// older than an election timeout when it arrives.
#[rstest]
#[case::fast(4)]
#[case::within_timeout(60)]
#[case::as_long_as_timeout(120)]
fn lease_kept_with_slow_messages(#[case] slowest_ms: u64) {
    for seed in 0..SEEDS {
        let slowest = Duration::from_millis(slowest_ms);
        let mut cluster = Cluster::new(3, 0, seed, Network { slowest, ..Network::CALM });
        let elected = cluster.run_until(OBSERVED, Cluster::has_leader);
        assert!(elected.is_some(), "seed {seed}: no leader");
        cluster.run(OBSERVED);
        let mut leased = Duration::ZERO;
        let until = cluster.now + OBSERVED;
        while cluster.now < until {
            cluster.run(INTERVAL);
            leased += if holders(&cluster).is_empty() { Duration::ZERO } else { INTERVAL };
        }
        assert!(leased > LEASED, "seed {seed}: a lease for {leased:?} of {OBSERVED:?}");
    }
}

/// A leader that stops is replaced once its lease has ended, which is soon where messages are fast.
#[rstest]
fn leader_replaced_after_lease() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::founded(3, seed);
        cluster.run(OBSERVED);
        let leader = cluster.leader().expect("there is a leader");
        let lease_end = cluster.replica(&leader).lease_end().expect("it leads");
        assert!(lease_end <= cluster.now + ELECTION, "seed {seed}: the lease is longer than usual");
        cluster.isolate(&leader);
        let replaced = cluster.run_until(ELECTION * 5, |cluster| {
            cluster.leader().is_some_and(|other| other != leader)
        });
        assert!(replaced.is_some(), "seed {seed}: not replaced");
        assert!(cluster.now >= lease_end, "seed {seed}: replaced within its lease");
    }
}

fn heartbeat(lease: Duration) -> LogMessage {
    LogMessage::Append(AppendRequest {
        term: Term(1),
        previous_index: LogIndex(0),
        previous_term: Term(0),
        entries: Vec::new(),
        commit: LogIndex(0),
        round: 1,
        confirmed_ms: 0,
        lease_ms: lease.as_millis() as u64,
        acknowledged: None,
    })
}

fn trial() -> LogMessage {
    LogMessage::Vote(VoteRequest {
        term: Term(2),
        last_index: LogIndex(1),
        last_term: Term(1),
        trial: true,
        founding: false,
        founders: None,
    })
}

/// A follower neither stands nor votes for another while the lease lasts that it has granted, also if
/// a later message asks for a shorter one.
#[rstest]
#[case::before_end(399, false)]
#[case::at_end(400, true)]
fn granted_lease_is_kept(#[case] asked_ms: u64, #[case] granted: bool) {
    let ids = ["a", "b", "c"].map(DaemonId::from);
    let [local, leader, other] = &ids;
    let config = ReplicaConfig::new(local, &ids, &ids).with_election(ELECTION);
    let start = Instant::now();
    let mut replica = LogReplica::new(config, MemoryStorage::new().with_durable(true), start);
    replica.step(leader, heartbeat(ELECTION * 4), start);
    let later = start + ELECTION / 10;
    replica.step(leader, heartbeat(ELECTION), later);
    replica.flush(later);
    let end = start + ELECTION * 4;
    assert!(replica.next_deadline() >= end, "it stands while the lease lasts");
    let asked = start + Duration::from_millis(asked_ms);
    replica.step(other, trial(), asked);
    let replies = replica.flush(asked);
    let answer = replies.iter().find_map(|(_, message)| match message {
        LogMessage::VoteReply(reply) => Some(reply.granted),
        _ => None,
    });
    assert_eq!(answer, Some(granted));
}
