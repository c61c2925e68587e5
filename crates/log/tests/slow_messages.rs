//! Leaders where messages take longer than an election timeout, as on machines that lack processor
//! time: they are elected, keep leading, and commit. A leader that stops is replaced as fast as
//! before where messages are fast.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_log::{LogReplica, MemoryStorage, ReplicaConfig};
use hollowbarrow_schema::{DaemonId, LogMessage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

const ELECTION: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(5);
const SEEDS: u64 = 40;

/// Voters whose messages arrive in order, each some time after it was sent.
struct SlowCluster {
    replicas: BTreeMap<DaemonId, LogReplica<MemoryStorage>>,
    in_flight: Vec<(Instant, DaemonId, DaemonId, LogMessage)>,
    last_arrival: BTreeMap<(DaemonId, DaemonId), Instant>,
    slowest: Duration,
    rng: ChaCha8Rng,
    now: Instant,
}

impl SlowCluster {
    fn new(seed: u64, slowest: Duration) -> Self {
        let now = Instant::now();
        let ids: Vec<DaemonId> = ["a", "b", "c"].map(DaemonId::from).to_vec();
        let replica = |id: &DaemonId| {
            let config = ReplicaConfig::new(id, &ids, &ids)
                .with_election(ELECTION)
                .with_seed(seed ^ u64::from(id.as_bytes()[0]));
            (id.clone(), LogReplica::new(config, MemoryStorage::new().with_durable(true), now))
        };
        Self {
            replicas: ids.iter().map(replica).collect(),
            in_flight: Vec::new(),
            last_arrival: BTreeMap::new(),
            slowest,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later) = in_flight.into_iter().partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        let due: Vec<(Instant, DaemonId, DaemonId, LogMessage)> = due;
        for (_, from, to, message) in due {
            if let Some(replica) = self.replicas.get_mut(&to) {
                replica.step(&from, message, now);
            }
        }
        for (id, replica) in &mut self.replicas {
            replica.tick(now);
            for (to, message) in replica.flush(now) {
                let link = (id.clone(), to.clone());
                let latency = self.slowest.mul_f64(self.rng.random_range(0.1..1.0));
                let earliest = self.last_arrival.get(&link).copied().unwrap_or(now);
                let at = earliest.max(now + latency);
                self.last_arrival.insert(link, at);
                self.in_flight.push((at, id.clone(), to, message));
            }
        }
    }

    fn leader(&self) -> Option<DaemonId> {
        self.replicas.values().find(|replica| replica.is_current()).map(|r| r.id().clone())
    }

    /// Runs for a time and returns for how much of it there was a leader that could commit.
    fn run(&mut self, length: Duration) -> Duration {
        let mut led = Duration::ZERO;
        let until = self.now + length;
        while self.now < until {
            self.step();
            led += if self.leader().is_some() { STEP } else { Duration::ZERO };
        }
        led
    }

    /// Runs until there is a leader that can commit, for a minute at most.
    fn run_until_leader(&mut self) -> Duration {
        let started = self.now;
        while self.leader().is_none() && self.now < started + Duration::from_secs(60) {
            self.step();
        }
        self.now - started
    }
}

/// Guards against elections that interrupt each other, and leaders that are lost again before a
/// majority has confirmed them.
#[rstest]
#[case::within_timeout(300)]
#[case::as_long_as_timeout(600)]
#[case::longer_than_timeout(1200)]
fn leader_kept_with_slow_messages(#[case] slowest_ms: u64) {
    for seed in 0..SEEDS {
        let mut cluster = SlowCluster::new(seed, Duration::from_millis(slowest_ms));
        let elected = cluster.run_until_leader();
        assert!(elected < Duration::from_secs(20), "seed {seed}: no leader in {elected:?}");
        let led = cluster.run(Duration::from_secs(30));
        assert!(led > Duration::from_secs(24), "seed {seed}: a leader for {led:?} of 30 s only");
    }
}

/// Guards against elections that end before an answer can arrive, and against a leader that is lost
/// for several elections to a candidate that nobody elects.
#[rstest]
fn leader_lost_to_late_candidate() {
    for seed in SEEDS..SEEDS * 6 {
        let mut cluster = SlowCluster::new(seed, Duration::from_millis(1200));
        let elected = cluster.run_until_leader();
        assert!(elected < Duration::from_secs(20), "seed {seed}: no leader in {elected:?}");
        let led = cluster.run(Duration::from_secs(30));
        assert!(led > Duration::from_secs(24), "seed {seed}: a leader for {led:?} of 30 s only");
    }
}

/// A leader that stops is replaced within the usual election time where messages are fast.
#[rstest]
fn stopped_leader_replaced_as_fast() {
    for seed in 0..SEEDS {
        let mut cluster = SlowCluster::new(seed, Duration::from_millis(5));
        cluster.run_until_leader();
        cluster.run(Duration::from_secs(5));
        let leader = cluster.leader().expect("there is a leader");
        cluster.replicas.remove(&leader);
        let replaced = cluster.run_until_leader();
        assert!(replaced < ELECTION * 5, "seed {seed}: replaced after {replaced:?}");
    }
}

/// Timeouts shrink again once messages are fast.
#[rstest]
fn patience_ends_with_slowness() {
    for seed in 0..SEEDS {
        let mut cluster = SlowCluster::new(seed, Duration::from_millis(1200));
        cluster.run_until_leader();
        cluster.run(Duration::from_secs(20));
        cluster.slowest = Duration::from_millis(5);
        cluster.run(Duration::from_secs(15));
        let leader = cluster.leader().expect("there is a leader");
        cluster.replicas.remove(&leader);
        let replaced = cluster.run_until_leader();
        assert!(replaced < ELECTION * 5, "seed {seed}: replaced after {replaced:?}");
    }
}

/// A follower names its leader while it only tries whether the others still hear from it.
///
/// Guards against daemons that report no leader, and send proposals elsewhere, because one message is
/// late.
#[rstest]
fn leader_named_during_trial() {
    for seed in 0..SEEDS {
        let mut cluster = SlowCluster::new(seed, Duration::from_millis(5));
        cluster.run_until_leader();
        cluster.run(Duration::from_secs(5));
        let leader = cluster.leader().expect("there is a leader");
        let follower = cluster.replicas.keys().find(|id| **id != leader).cloned();
        let follower = follower.expect("two replicas follow");
        // The follower hears nothing for long enough to start its first trial.
        let replica = cluster.replicas.get_mut(&follower).expect("it runs");
        let late = replica.next_deadline();
        replica.tick(late);
        assert_eq!(replica.leader(), Some(&leader), "seed {seed}: the first trial");
        let later = replica.next_deadline();
        replica.tick(later);
        assert_eq!(replica.leader(), None, "seed {seed}: nobody answered the first trial");
    }
}
