//! Bursts of a request that crashes nodes, while no upstream accepts requests.

use std::time::Duration;

use hollowbarrow_testkit::{CRASHING_PROMPT, FleetConfig, ModelConfig};
use rstest::rstest;

use crate::requests::stream;
use crate::support::{nine_daemons_with_fleet, pause, serving_cluster, zones};

/// Number of duplicates that are sent at once, to daemons of three zones.
const DUPLICATES: usize = 24;
/// Daemons that receive the duplicates.
const INGRESS_DAEMONS: [&str; 3] = ["a0", "b0", "c0"];
/// Two crashes that do not quarantine the request yet, and one more for each daemon.
const MAX_CRASHED: usize = 2 + INGRESS_DAEMONS.len();

/// Guards against sending all duplicates that have waited together as soon as there is an upstream,
/// because each gave up its place among them while it waited.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn crashing_burst_bounded_after_wait_for_upstream() {
    let fleet =
        FleetConfig::new(&zones(), 2, 4).with_unfenced_nodes(true).with_model(ModelConfig {
            crash_delay: Duration::from_millis(300),
            ..ModelConfig::default()
        });
    let cluster = serving_cluster(nine_daemons_with_fleet(fleet), 6).await;
    let nodes = cluster.fleet().model_nodes();
    nodes.iter().for_each(|node| cluster.fleet().pause(node));
    pause(1200).await;
    let duplicates: Vec<_> = (0..DUPLICATES)
        .map(|number| {
            let id = INGRESS_DAEMONS[number % INGRESS_DAEMONS.len()];
            let address = cluster.caller_address(id);
            tokio::spawn(async move { stream(address, CRASHING_PROMPT, 20).await })
        })
        .collect();
    pause(800).await;
    nodes.iter().for_each(|node| cluster.fleet().resume(node));
    for duplicate in duplicates {
        let reply = duplicate.await.expect("the request's task ends");
        assert!(reply.status >= 500, "{}", reply.body);
    }
    let crashed = nodes.len() - cluster.fleet().running_models().len();
    assert!((1..=MAX_CRASHED).contains(&crashed), "{crashed} nodes crashed, {MAX_CRASHED} at most");
}
