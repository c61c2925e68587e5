//! Trial: time to a leader after a loss of power, by whether the voters' disks hold a vote.
use std::collections::BTreeMap;
use std::time::Duration;
use hollowbarrow_log::{LogReplica, LogStorage, MemoryStorage, ReplicaConfig, VoteRecord};
use hollowbarrow_schema::{DaemonId, LogMessage, LogSnapshot, Term};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
const ELECTION: Duration = Duration::from_millis(600);
const FIRST_ELECTION: Duration = Duration::from_millis(130);
const STEP: Duration = Duration::from_millis(5);
fn ids() -> Vec<DaemonId> { ["a", "b", "c"].map(DaemonId::from).to_vec() }
fn voter(id: &DaemonId, kept: bool, voted: bool, seed: u64, now: Instant) -> LogReplica<MemoryStorage> {
    let config = ReplicaConfig::new(id, &ids(), &ids())
        .with_founding(false).with_election(ELECTION).with_first_election(FIRST_ELECTION)
        .with_seed(seed ^ u64::from(id.as_bytes()[0]));
    let mut storage = MemoryStorage::new().with_durable(true);
    if kept {
        let vote = VoteRecord { term: Term(3), vote: voted.then(|| DaemonId::from("c")), initialised: true, disk: None, founder: false, founders: None };
        storage.set_vote(vote).expect("memory takes it");
        let snapshot = LogSnapshot { index: 20.into(), term: Term(3), voters: ids(), disks: Vec::new(), state: Vec::new() };
        storage.install_snapshot(snapshot).expect("memory takes it");
    }
    LogReplica::new(config, storage, now)
}
fn time_to_leader(seed: u64, slowest: Duration, voted: bool, apart: Duration, confirmed: bool) -> Duration {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut replicas: BTreeMap<DaemonId, LogReplica<MemoryStorage>> = BTreeMap::new();
    let mut starts: Vec<(Instant, DaemonId, bool)> = Vec::new();
    for (position, id) in ids().iter().enumerate() {
        starts.push((start + apart.mul_f64(rng.random_range(0.0..1.0)), id.clone(), position < 2));
    }
    let mut in_flight: Vec<(Instant, DaemonId, DaemonId, LogMessage)> = Vec::new();
    let mut last: BTreeMap<(DaemonId, DaemonId), Instant> = BTreeMap::new();
    let mut now = start;
    while now < start + Duration::from_secs(60) {
        now += STEP;
        for (at, id, kept) in &starts {
            if *at <= now && !replicas.contains_key(id) {
                replicas.insert(id.clone(), voter(id, *kept, voted, seed, now));
            }
        }
        let (due, later) = in_flight.into_iter().partition(|(at, ..)| *at <= now);
        in_flight = later;
        let due: Vec<(Instant, DaemonId, DaemonId, LogMessage)> = due;
        for (_, from, to, message) in due {
            if let Some(r) = replicas.get_mut(&to) { r.step(&from, message, now); }
        }
        for (id, replica) in &mut replicas {
            replica.tick(now);
            for (to, message) in replica.flush(now) {
                let latency = slowest.mul_f64(rng.random_range(0.1..1.0));
                let link = (id.clone(), to.clone());
                let at = last.get(&link).copied().unwrap_or(now).max(now + latency);
                last.insert(link, at);
                in_flight.push((at, id.clone(), to, message));
            }
        }
        let ok = replicas.values().any(|r| r.is_current() && (!confirmed || r.confirmed().is_some_and(|at| now.saturating_duration_since(at) < ELECTION)));
        if ok { return now - start; }
    }
    Duration::from_secs(60)
}
#[test]
fn trial_times() {
    for confirmed in [false, true] {
    for slowest in [5, 50, 100, 200, 300, 400, 600, 900, 1200] {
        for voted in [false, true] {
            let mut t: Vec<f64> = (0..300).map(|s| time_to_leader(s, Duration::from_millis(slowest), voted, Duration::from_millis(1000), confirmed).as_secs_f64()).collect();
            t.sort_by(f64::total_cmp);
            println!("confirmed={confirmed} slowest={slowest} voted={voted} median={:.2} p90={:.2} p99={:.2} max={:.2}", t[150], t[270], t[297], t[299]);
        }
    }
    }
}
