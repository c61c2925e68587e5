//! Builds and starts clusters of the `hollowbarrow` binary.

use std::path::Path;
use std::time::Duration;

use hollowbarrow_schema::ZoneId;
use hollowbarrow_testkit::{Cluster, ClusterConfig, FleetConfig};
use serde_json::{Value, json};

/// Returns a change that puts a group whose replicas have three nodes each.
pub fn group(name: &str, count: u32) -> Value {
    json!({"put_group": {"name": name, "model": "m", "version": "1", "size": 3, "count": count,
        "selector": {"match_labels": {"given": "hollowbarrow"}}}})
}

/// Returns the three zones that most tests use.
pub fn zones() -> Vec<ZoneId> {
    ["a", "b", "c"].map(ZoneId::from).to_vec()
}

/// Configures nine daemons in three zones, with two fabric domains of four nodes in each zone.
pub fn nine_daemons() -> ClusterConfig {
    nine_daemons_with_fleet(FleetConfig::new(&zones(), 2, 4).with_unfenced_nodes(true))
}

/// Configures nine daemons in three zones, with a given fleet of stand-ins.
pub fn nine_daemons_with_fleet(fleet: FleetConfig) -> ClusterConfig {
    let zones = zones();
    let counts: Vec<(ZoneId, u32)> = zones.into_iter().map(|zone| (zone, 3)).collect();
    let program = Path::new(env!("CARGO_BIN_EXE_hollowbarrow"));
    ClusterConfig::new(program, &["serve", "--settings"], &counts, fleet)
}

/// Starts a cluster, labels all its nodes and waits until all replicas of a group serve.
pub async fn serving_cluster(config: ClusterConfig, count: u32) -> Cluster {
    let cluster = Cluster::start(config);
    cluster.wait_ready().await;
    cluster.label_all_nodes().await;
    let reply = cluster.submit_change("a0", "put group", &group("drafts", count)).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    for id in cluster.ids() {
        assert!(
            cluster.wait_serving(&id, "drafts", u64::from(count)).await,
            "{id} does not report the group as serving: {}",
            cluster.read_operator_api(&id, "/explain/drafts").await
        );
    }
    cluster
}

pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
