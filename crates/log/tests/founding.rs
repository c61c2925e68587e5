//! Who may found a log, and who has lost its disk.

use std::time::Duration;

use hollowbarrow_log::{LogReplica, MemoryStorage, ReplicaConfig, ReplicaFault};
use hollowbarrow_schema::DaemonId;
use rstest::rstest;
use tokio::time::Instant;

fn replica(founding: bool) -> LogReplica<MemoryStorage> {
    let ids = [DaemonId::from("a"), DaemonId::from("b"), DaemonId::from("c")];
    let config = ReplicaConfig::new(&ids[0], &ids, &ids)
        .with_founding(founding)
        .with_election(Duration::from_millis(100));
    LogReplica::new(config, MemoryStorage::new().with_durable(true), Instant::now())
}

#[rstest]
fn new_without_founding_has_lost_its_disk() {
    assert!(matches!(replica(false).fault(), Some(ReplicaFault::LostDisk)));
    assert!(replica(true).fault().is_none());
}

#[rstest]
fn add_peer_follows() {
    let mut replica = replica(true);
    let peer = DaemonId::from("d");
    replica.add_peer(peer.clone());
    assert!(!replica.voters().contains(&peer), "a peer that is learned of does not vote");
}
