//! Time until a leader is elected if exactly a majority of the voters remains and all start at once.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_log::{LogReplica, LogStorage, MemoryStorage, ReplicaConfig, VoteRecord};
use hollowbarrow_schema::{DaemonId, LogMessage, LogSnapshot, Term};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

/// Election timeouts of a voter: the usual one, and the one before it has received a leader's
/// message.
const ELECTION: Duration = Duration::from_millis(600);
const FIRST_ELECTION: Duration = Duration::from_millis(130);
/// Time after which controllers publish their state although there is no leader.
const LEADERLESS: Duration = Duration::from_secs(2);
/// Last acknowledged index.
const LAST: u64 = 20;
const STEP: Duration = Duration::from_millis(2);
/// Number of seeds per case.
const SEEDS: u64 = 300;

fn ids() -> Vec<DaemonId> {
    ["a", "b", "c", "d", "e"].map(DaemonId::from).to_vec()
}

/// A voter that has just started with a log up to index `kept` and the vote of its last election, or
/// with an empty disk.
fn voter(
    id: &DaemonId,
    kept: Option<u64>,
    vote: Option<&DaemonId>,
    seed: u64,
    now: Instant,
) -> LogReplica<MemoryStorage> {
    let config = ReplicaConfig::new(id, &ids(), &ids())
        .with_founding(false)
        .with_election(ELECTION)
        .with_first_election(FIRST_ELECTION)
        .with_seed(seed ^ u64::from(id.as_bytes()[0]));
    let mut storage = MemoryStorage::new().with_durable(true);
    if let Some(index) = kept {
        let vote = VoteRecord {
            term: Term(3),
            vote: vote.cloned(),
            initialised: true,
            disk: None,
            founder: false,
            founders: None,
        };
        storage.set_vote(vote).expect("memory takes it");
        let snapshot = LogSnapshot {
            index: index.into(),
            term: Term(3),
            voters: ids(),
            disks: Vec::new(),
            state: Vec::new(),
        };
        storage.install_snapshot(snapshot).expect("memory takes it");
    }
    LogReplica::new(config, storage, now)
}

/// Returns the time until there is a leader, if two of five voters have lost their disks, the first
/// of the others has a log up to index `first`, the others voted for `vote` before they stopped, and
/// messages take up to `slowest`.
fn time_to_leader(seed: u64, slowest: Duration, first: u64, vote: Option<&DaemonId>) -> Duration {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut replicas: BTreeMap<DaemonId, LogReplica<MemoryStorage>> = BTreeMap::new();
    for (position, id) in ids().iter().enumerate() {
        let kept = [Some(first), Some(LAST), Some(LAST), None, None][position];
        replicas.insert(id.clone(), voter(id, kept, vote, seed, start));
    }
    let mut in_flight: Vec<(Instant, DaemonId, DaemonId, LogMessage)> = Vec::new();
    let mut now = start;
    while now < start + Duration::from_secs(60) {
        now += STEP;
        let (due, later) = in_flight.into_iter().partition(|(at, ..)| *at <= now);
        in_flight = later;
        let due: Vec<(Instant, DaemonId, DaemonId, LogMessage)> = due;
        for (_, from, to, message) in due {
            replicas.get_mut(&to).expect("every id has a replica").step(&from, message, now);
        }
        for (id, replica) in &mut replicas {
            replica.tick(now);
            for (to, message) in replica.flush(now) {
                let latency = slowest.mul_f64(rng.random_range(0.1..1.0));
                in_flight.push((now + latency, id.clone(), to, message));
            }
        }
        if replicas.values().any(LogReplica::is_current) {
            return now - start;
        }
    }
    panic!("no leader was elected with seed {seed}");
}

#[rstest]
#[case::usual(Duration::from_millis(5), LAST)]
#[case::busy(Duration::from_millis(40), LAST)]
#[case::very_busy(Duration::from_millis(100), LAST)]
#[case::first_one_behind(Duration::from_millis(40), LAST - 1)]
fn leader_before_leaderless_publication(#[case] slowest: Duration, #[case] first: u64) {
    let mut times: Vec<Duration> =
        (0..SEEDS).map(|seed| time_to_leader(seed, slowest, first, None)).collect();
    times.sort();
    let late = times.iter().filter(|time| **time > LEADERLESS).count();
    let median = times[times.len() / 2];
    let longest = times[times.len() - 1];
    assert_eq!(late, 0, "late elections of {SEEDS}; median {median:?}, longest {longest:?}");
}

/// Guards against a vote from before a restart that counts as an election that failed, and doubles the
/// time until the next one.
#[rstest]
#[case::fast(Duration::from_millis(5))]
#[case::slow(Duration::from_millis(300))]
fn leader_as_soon_with_former_vote(#[case] slowest: Duration) {
    let former = &ids()[4];
    for seed in 0..SEEDS {
        let without = time_to_leader(seed, slowest, LAST, None);
        let with = time_to_leader(seed, slowest, LAST, Some(former));
        assert_eq!(with, without, "seed {seed}");
    }
}
