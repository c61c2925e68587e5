//! A leader whose process did not run for a time.

use hollowbarrow_log::{LogReplica, MemoryStorage, ReplicaConfig};
use hollowbarrow_schema::{DaemonId, LogMessage};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const ELECTION: Duration = Duration::from_millis(100);

/// Guards against a leader that steps down because its own process did not run, while the replies of
/// its followers lie unread. One that hears nobody after that steps down.
#[rstest]
#[case::replies_unread(true)]
#[case::no_replies(false)]
fn leader_kept_after_own_stall(#[case] replied: bool) {
    let ids = ["a", "b", "c"].map(DaemonId::from);
    let start = Instant::now();
    let mut replicas = ids.clone().map(|id| {
        let config = ReplicaConfig::new(&id, &ids, &ids).with_election(ELECTION);
        LogReplica::new(config, MemoryStorage::new().with_durable(true), start)
    });
    let mut now = start;
    while !replicas[0].is_current() {
        now = now.max(replicas[0].next_deadline());
        replicas[0].tick(now);
        exchange(&mut replicas, now);
    }
    // The others receive a heartbeat, and their replies stay unread for several election timeouts.
    now = replicas[0].next_deadline();
    replicas[0].tick(now);
    let replies = answers(&mut replicas, now);
    now += ELECTION * 10;
    replicas[0].tick(now);
    assert!(replicas[0].is_leader(), "it steps down before it has read what arrived");
    for (from, message) in replies.into_iter().filter(|_| replied) {
        replicas[0].step(&from, message, now);
    }
    replicas[0].flush(now);
    for _ in 0..30 {
        now += ELECTION / 10;
        replicas[0].tick(now);
        if replied {
            exchange(&mut replicas, now);
        }
        replicas[0].flush(now);
    }
    assert_eq!(replicas[0].is_leader(), replied);
}

/// Delivers what the first replica sends and returns the answers to it.
fn answers(
    replicas: &mut [LogReplica<MemoryStorage>; 3],
    now: Instant,
) -> Vec<(DaemonId, LogMessage)> {
    let [first, others @ ..] = replicas;
    let mut answers = Vec::new();
    for (to, message) in first.flush(now) {
        let other = others.iter_mut().find(|replica| *replica.id() == to).expect("it is known");
        other.step(first.id(), message, now);
        answers.extend(other.flush(now).into_iter().map(|(_, answer)| (to.clone(), answer)));
    }
    answers
}

/// Delivers messages between the first replica and the others until there are none.
fn exchange(replicas: &mut [LogReplica<MemoryStorage>; 3], now: Instant) {
    loop {
        let answers = answers(replicas, now);
        if answers.is_empty() {
            return;
        }
        for (from, message) in answers {
            replicas[0].step(&from, message, now);
        }
    }
}
