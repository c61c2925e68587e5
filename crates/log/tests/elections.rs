//! How soon one leads where exactly a majority of the voters is left and all start at once.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_log::{LogReplica, LogStorage, MemoryStorage, ReplicaConfig, VoteRecord};
use hollowbarrow_schema::{DaemonId, LogMessage, LogSnapshot, Term};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

/// Silence after which a voter stands, once it has heard a leader and before.
const ELECTION: Duration = Duration::from_millis(600);
const FIRST_ELECTION: Duration = Duration::from_millis(130);
/// Time after which controllers tell what they hold although none leads.
const LEADERLESS: Duration = Duration::from_secs(2);
/// Last index that is acknowledged.
const LAST: u64 = 20;
const STEP: Duration = Duration::from_millis(2);
/// Draws of each situation.
const DRAWS: u64 = 300;

fn ids() -> Vec<DaemonId> {
    ["a", "b", "c", "d", "e"].map(DaemonId::from).to_vec()
}

/// A voter that has just started; its disk held a log up to this index, or nothing.
fn voter(id: &DaemonId, kept: Option<u64>, seed: u64, now: Instant) -> LogReplica<MemoryStorage> {
    let config = ReplicaConfig::new(id, &ids(), &ids())
        .with_founding(false)
        .with_election(ELECTION)
        .with_first_election(FIRST_ELECTION)
        .with_seed(seed ^ u64::from(id.as_bytes()[0]));
    let mut storage = MemoryStorage::new().with_durable(true);
    if let Some(index) = kept {
        let vote = VoteRecord { term: Term(3), vote: None, initialised: true };
        storage.set_vote(vote).expect("memory takes it");
        let snapshot =
            LogSnapshot { index: index.into(), term: Term(3), voters: ids(), state: Vec::new() };
        storage.install_snapshot(snapshot).expect("memory takes it");
    }
    LogReplica::new(config, storage, now)
}

/// Time until one leads, if two of five have lost their disks, the first of the others holds a log
/// up to this index, and messages take up to this long.
fn time_to_leader(seed: u64, slowest: Duration, first: u64) -> Duration {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut replicas: BTreeMap<DaemonId, LogReplica<MemoryStorage>> = BTreeMap::new();
    for (place, id) in ids().iter().enumerate() {
        let kept = [Some(first), Some(LAST), Some(LAST), None, None][place];
        replicas.insert(id.clone(), voter(id, kept, seed, start));
    }
    let mut under_way: Vec<(Instant, DaemonId, DaemonId, LogMessage)> = Vec::new();
    let mut now = start;
    while now < start + Duration::from_secs(60) {
        now += STEP;
        let (due, later) = under_way.into_iter().partition(|(at, ..)| *at <= now);
        under_way = later;
        let due: Vec<(Instant, DaemonId, DaemonId, LogMessage)> = due;
        for (_, from, to, message) in due {
            replicas.get_mut(&to).expect("it is there").step(&from, message, now);
        }
        for (id, replica) in &mut replicas {
            replica.tick(now);
            for (to, message) in replica.flush(now) {
                let travel = slowest.mul_f64(rng.random_range(0.1..1.0));
                under_way.push((now + travel, id.clone(), to, message));
            }
        }
        if replicas.values().any(LogReplica::is_current) {
            return now - start;
        }
    }
    panic!("none leads with seed {seed}");
}

#[rstest]
#[case::usual(Duration::from_millis(5), LAST)]
#[case::busy(Duration::from_millis(40), LAST)]
#[case::very_busy(Duration::from_millis(100), LAST)]
#[case::first_one_behind(Duration::from_millis(40), LAST - 1)]
fn leader_before_controllers_tell_on_their_own(#[case] slowest: Duration, #[case] first: u64) {
    let mut times: Vec<Duration> =
        (0..DRAWS).map(|seed| time_to_leader(seed, slowest, first)).collect();
    times.sort();
    let late = times.iter().filter(|time| **time > LEADERLESS).count();
    let median = times[times.len() / 2];
    let longest = times[times.len() - 1];
    assert_eq!(late, 0, "of {DRAWS}; median {median:?}, longest {longest:?}");
}
