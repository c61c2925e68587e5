//! Callback of a driver for applied changes.
//!
//! Controllers send a configuration to gateways when the callback reports it as applied, and from
//! then on count how long a gateway lacks it. A controller that was unreachable for a time receives
//! the newest configuration in a snapshot. If the callback does not report the snapshot, the
//! controller treats gateways that lack the configuration as up to date.

use std::time::Duration;

use hollowbarrow_log::{DriverConfig, LogDriver, ReplicaConfig, StateMachine};
use hollowbarrow_schema::{
    DaemonId, LogEntry, LogIndex, LogMessage, LogSnapshot, ProposalOutcome, SnapshotRequest, Term,
};
use rstest::rstest;

/// Timeout for the callback, which is expected immediately.
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(10);

/// State machine whose state is the snapshot that it was restored from.
struct SnapshotMachine(Vec<u8>);

impl StateMachine for SnapshotMachine {
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
fn applied_callback_reports_snapshot() {
    let ids: Vec<DaemonId> = ["a", "b", "c"].iter().map(|id| DaemonId::from(*id)).collect();
    let (sender, reports) = flume::unbounded();
    let replica = ReplicaConfig::new(&ids[0], &ids[1..], &ids);
    let config = DriverConfig::new(replica, None).with_applied_callback(Box::new(move |_| {
        let _ = sender.send(());
    }));
    let driver = LogDriver::start(config, SnapshotMachine(Vec::new()), |_, _| {})
        .expect("the driver starts");
    let snapshot = LogSnapshot {
        index: LogIndex(20),
        term: Term(1),
        voters: ids[1..].to_vec(),
        disks: Vec::new(),
        state: b"newest".to_vec(),
    };
    let request = SnapshotRequest { term: Term(1), round: 1, snapshot, lease_ms: 0 };
    driver.deliver(&ids[1], LogMessage::Snapshot(request));
    assert!(reports.recv_timeout(CALLBACK_TIMEOUT).is_ok(), "the snapshot was not reported");
    assert_eq!(driver.read(|machine| machine.0.clone()), b"newest");
    driver.stop();
}
