//! What a driver tells of that it applied.
//!
//! Controllers push a configuration to gateways when they are told that it was applied, and count
//! from then for how long a gateway lacks it. One that had been away got the newest configuration
//! with a snapshot, was told nothing, and so held for up to date what its gateways lacked.

use std::time::Duration;

use hollowbarrow_log::{DriverConfig, LogDriver, ReplicaConfig, StateMachine};
use hollowbarrow_schema::{
    DaemonId, LogEntry, LogIndex, LogMessage, LogSnapshot, ProposalOutcome, SnapshotRequest, Term,
};
use rstest::rstest;

/// Longest wait for what must happen at once.
const PATIENCE: Duration = Duration::from_secs(10);

/// Holds the snapshot that it was restored from.
struct SnapshotHolder(Vec<u8>);

impl StateMachine for SnapshotHolder {
    fn apply(&mut self, _: &LogEntry) -> ProposalOutcome {
        ProposalOutcome::Held
    }

    fn to_snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        self.0 = snapshot.to_vec();
        true
    }
}

#[rstest]
fn with_applied_tells_of_snapshot() {
    let ids: Vec<DaemonId> = ["a", "b", "c"].iter().map(|id| DaemonId::from(*id)).collect();
    let (sender, told) = flume::unbounded();
    let replica = ReplicaConfig::new(&ids[0], &ids[1..], &ids);
    let config = DriverConfig::new(replica, None).with_applied_callback(Box::new(move |_| {
        let _ = sender.send(());
    }));
    let driver = LogDriver::start(config, SnapshotHolder(Vec::new()), |_, _| {}).expect("it runs");
    let snapshot = LogSnapshot {
        index: LogIndex(20),
        term: Term(1),
        voters: ids[1..].to_vec(),
        state: b"newest".to_vec(),
    };
    let request = SnapshotRequest { term: Term(1), snapshot };
    driver.deliver(&ids[1], LogMessage::Snapshot(request));
    assert!(told.recv_timeout(PATIENCE).is_ok(), "nobody was told");
    assert_eq!(driver.read(|held| held.0.clone()), b"newest");
    driver.stop();
}
