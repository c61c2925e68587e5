//! Admissions to a log without learners, whose leader sends messages only to voters.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_log::{LogReplica, MemoryStorage, ReplicaConfig};
use hollowbarrow_schema::{DaemonId, EntryPayload};
use rstest::rstest;
use tokio::time::Instant;

const ELECTION: Duration = Duration::from_millis(100);

/// Replicas of a log that has no learners, and whose messages are delivered at once.
struct LogWithoutLearners {
    now: Instant,
    replicas: BTreeMap<DaemonId, LogReplica<MemoryStorage>>,
}

fn ids(names: &str) -> Vec<DaemonId> {
    names.split(',').map(DaemonId::from).collect()
}

impl LogWithoutLearners {
    fn new(peers: &str, voters: &str) -> Self {
        let now = Instant::now();
        let replica = |id: &DaemonId| {
            let config = ReplicaConfig::new(id, &ids(peers), &ids(voters))
                .with_learners(false)
                .with_election(ELECTION)
                .with_seed(u64::from(id.as_bytes()[0]));
            LogReplica::new(config, MemoryStorage::new().with_durable(true), now)
        };
        let replicas = ids(peers).iter().map(|id| (id.clone(), replica(id))).collect();
        let mut log = Self { now, replicas };
        log.run(ELECTION * 10);
        log
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += Duration::from_millis(5);
            let now = self.now;
            self.replicas.values_mut().for_each(|replica| replica.tick(now));
            loop {
                let mut sent = Vec::new();
                for (id, replica) in &mut self.replicas {
                    sent.extend(replica.flush(now).into_iter().map(|(to, m)| (id.clone(), to, m)));
                }
                if sent.is_empty() {
                    break;
                }
                for (from, to, message) in sent {
                    if let Some(replica) = self.replicas.get_mut(&to) {
                        replica.step(&from, message, now);
                    }
                }
            }
        }
    }

    fn leader(&mut self) -> &mut LogReplica<MemoryStorage> {
        self.replicas.values_mut().find(|replica| replica.is_current()).expect("there is a leader")
    }

    /// Proposes voters until the leader accepts them; returns whether it did within a minute.
    fn change(&mut self, voters: &str) -> bool {
        for _ in 0..600 {
            let now = self.now;
            if self.leader().propose(vec![EntryPayload::Voters(ids(voters))], now).is_some() {
                self.run(ELECTION);
                return true;
            }
            self.run(ELECTION);
        }
        false
    }
}

/// Guards against a log without learners that can never get another voter, since its leader hears
/// only from voters.
#[rstest]
fn admission_of_new_voter_without_learners() {
    let mut log = LogWithoutLearners::new("a,b,c,d", "a,b,c");
    assert!(log.change("a,b,c,d"), "the admission of a fourth voter was refused for a minute");
}

/// Guards against a removed voter of a log without learners that cannot be admitted again after the
/// leader has changed.
#[rstest]
fn readmission_after_leader_change_without_learners() {
    let mut log = LogWithoutLearners::new("a,b,c,d", "a,b,c,d");
    let former = log.leader().id().clone();
    let removed = ids("a,b,c,d").into_iter().rfind(|id| *id != former).expect("others");
    let rest: Vec<DaemonId> = ids("a,b,c,d").into_iter().filter(|id| *id != removed).collect();
    let names: Vec<&str> = rest.iter().map(|id| id.as_str()).collect();
    assert!(log.change(&names.join(",")), "the removal was refused");
    let now = log.now;
    log.leader().hand_over(now);
    log.run(ELECTION * 10);
    assert_ne!(*log.leader().id(), former, "the leader has changed");
    assert!(log.change("a,b,c,d"), "the admission was refused for a minute");
}
