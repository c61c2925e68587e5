//! Clusters of the real binary.

use std::path::Path;
use std::time::Duration;

use hollowbarrow_schema::ZoneId;
use hollowbarrow_testkit::{Cluster, ClusterConfig, FleetConfig};
use serde_json::{Value, json};

/// A group of three nodes a replica.
pub fn group(name: &str, count: u32) -> Value {
    json!({"put_group": {"name": name, "model": "m", "version": "1", "size": 3, "count": count,
        "selector": {"match_labels": {"given": "hollowbarrow"}}}})
}

/// The three zones that most tests use.
pub fn zones() -> Vec<ZoneId> {
    ["a", "b", "c"].map(ZoneId::from).to_vec()
}

/// Nine daemons in three zones before two fabric domains of four nodes in each.
pub fn nine_daemons() -> ClusterConfig {
    nine_daemons_before(FleetConfig::new(&zones(), 2, 4).with_unfenced_nodes(true))
}

/// Nine daemons in three zones before given stand-ins.
pub fn nine_daemons_before(fleet: FleetConfig) -> ClusterConfig {
    let zones = zones();
    let counts: Vec<(ZoneId, u32)> = zones.into_iter().map(|zone| (zone, 3)).collect();
    let program = Path::new(env!("CARGO_BIN_EXE_hollowbarrow"));
    ClusterConfig::new(program, &["serve", "--settings"], &counts, fleet)
}

/// Starts nine daemons, gives them all nodes and waits until a group serves.
pub async fn serving_cluster(config: ClusterConfig, count: u32) -> Cluster {
    let cluster = Cluster::start(config);
    cluster.wait_ready().await;
    cluster.label_all_nodes().await;
    let reply = cluster.submit_change("a0", "put group", &group("drafts", count)).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    for id in cluster.ids() {
        assert!(
            cluster.wait_serving(&id, "drafts", u64::from(count)).await,
            "{id} does not see the group serve: {}",
            cluster.read_operator_api(&id, "/explain/drafts").await
        );
    }
    cluster
}

/// Waits a while.
pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
