//! Entry daemons that lose their paths to all upstreams, while callers and other daemons reach them.

use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_testkit::{CALLER_KEY, CallerCall, Cluster, FaultMode};
use hyper::Method;
use rstest::rstest;

use crate::support::{nine_daemons, pause, zones};

/// Calls that are sent to the isolated daemon.
const CALLS: usize = 20;
/// Time after which the isolated daemon must serve its callers.
const CONTACT_MS: u64 = 4000;

async fn send_calls(cluster: &Cluster, name: &str) -> Vec<String> {
    let address = cluster.caller_address("a0");
    let mut failed = Vec::new();
    for number in 0..CALLS {
        let call = if number % 2 == 0 {
            CallerCall::new(Method::GET, "/pitches", CALLER_KEY)
        } else {
            let key = format!("{name}-{number}");
            CallerCall::new(Method::POST, "/holds", CALLER_KEY)
                .with_header("idempotency-key", &key)
                .with_body(r#"{"pitch": 7}"#)
        };
        let reply = call.with_timeout(Duration::from_secs(8)).send(address).await;
        if reply.status != 200 {
            failed.push(format!("{number}: {} {}", reply.status, reply.body));
        }
    }
    failed
}

/// The zone of the daemon has no upstream left, and its daemons reach none in the others.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_isolated_daemon_served() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    pause(2000).await;
    assert_eq!(send_calls(&cluster, "before").await, Vec::<String>::new());
    let zone = zones().remove(0);
    let fleet = cluster.fleet();
    let local =
        fleet.service_nodes().into_iter().filter(|node| fleet.zone(node).as_ref() == Some(&zone));
    local.collect::<Vec<NodeId>>().iter().for_each(|node| fleet.kill(node));
    cluster.set_node_links(&zone, FaultMode::Unreachable);
    pause(CONTACT_MS).await;
    assert_eq!(send_calls(&cluster, "isolated").await, Vec::<String>::new());
}
