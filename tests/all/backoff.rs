//! Nodes that reject requests with a `Retry-After` delay.
//!
//! Guards against entry daemons that pass the delay to the caller but send the next request to the
//! same node at once. A rejecting node runs nothing, so that it is the least loaded one.

use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_testkit::{CALLER_KEY, CallReply, CallerCall, Cluster};
use hyper::Method;
use rstest::rstest;
use tokio::time::Instant;

use crate::requests::stream;
use crate::support::{nine_daemons, serving_cluster};

/// `Retry-After` delay of the rejecting nodes.
const BACKOFF: Duration = Duration::from_secs(3);
/// Time in which a request that was already in flight can still reach a node.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// The daemon that receives the requests.
const DAEMON: &str = "a0";
/// Backoff that does not expire during a test.
const LONG_BACKOFF: Duration = Duration::from_secs(60);
/// Number of callers that send requests in a loop.
const CALLERS: usize = 8;

/// Kind of nodes that serve the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Plain,
    Model,
}

impl Kind {
    fn nodes(self, cluster: &Cluster) -> Vec<NodeId> {
        match self {
            Self::Plain => cluster.fleet().service_nodes(),
            Self::Model => cluster.fleet().model_nodes(),
        }
    }

    async fn call(self, cluster: &Cluster, prompt: &str) -> CallReply {
        let address = cluster.caller_address(DAEMON);
        match self {
            Self::Plain => {
                let call = CallerCall::new(Method::GET, "/pitches/free", CALLER_KEY);
                call.with_timeout(Duration::from_secs(10)).send(address).await
            }
            Self::Model => stream(address, prompt, 20).await,
        }
    }
}

/// Sends requests from all callers for a time and returns the replies.
async fn call_for(cluster: &Cluster, kind: Kind, time: Duration) -> Vec<CallReply> {
    let end = Instant::now() + time;
    let callers = (0..CALLERS).map(|caller| async move {
        let mut replies = Vec::new();
        while Instant::now() < end {
            let prompt = format!("prompt {caller} {}", replies.len());
            replies.push(kind.call(cluster, &prompt).await);
        }
        replies
    });
    futures_util::future::join_all(callers).await.concat()
}

/// Returns the times from a node's first rejection to later ones during its backoff, without those
/// whose request can have been in flight.
fn rejections_during_backoff(cluster: &Cluster, node: &NodeId) -> Vec<Duration> {
    let rejections = cluster.fleet().rejections(node);
    let Some(first) = rejections.first() else { return Vec::new() };
    let since = rejections.iter().map(|at| at.saturating_duration_since(*first));
    since.filter(|since| *since >= IN_FLIGHT_GRACE && *since < BACKOFF).collect()
}

/// The nodes of one zone reject requests, and those of other zones serve them.
#[rstest]
#[case::plain(Kind::Plain)]
#[case::model(Kind::Model)]
#[tokio::test(flavor = "multi_thread")]
async fn backoff_kept_towards_node(#[case] kind: Kind) {
    let cluster = serving_cluster(nine_daemons(), 6).await;
    let is_near = |node: &NodeId| node.starts_with("a-");
    let near: Vec<NodeId> = kind.nodes(&cluster).into_iter().filter(is_near).collect();
    near.iter().for_each(|node| cluster.fleet().reject_requests(node, Some(BACKOFF)));
    let replies = call_for(&cluster, kind, BACKOFF).await;
    let rejecting = near.iter().filter(|node| !cluster.fleet().rejections(node).is_empty()).count();
    assert!(rejecting > 0, "none of {near:?} rejected a request");
    for node in &near {
        let violations = rejections_during_backoff(&cluster, node);
        assert!(
            violations.is_empty(),
            "{node:?} got {} requests: {violations:?}",
            violations.len()
        );
    }
    // The first request of each caller can be answered with its node's rejection.
    let refused = replies.iter().filter(|reply| reply.status != 200).count();
    assert!(refused <= CALLERS, "{refused} of {} were not served", replies.len());
}

/// While all nodes reject requests, callers are refused at once with a `Retry-After` delay.
#[rstest]
#[case::plain(Kind::Plain)]
#[case::model(Kind::Model)]
#[tokio::test(flavor = "multi_thread")]
async fn backoff_of_all_nodes(#[case] kind: Kind) {
    let cluster = serving_cluster(nine_daemons(), 6).await;
    let nodes = kind.nodes(&cluster);
    nodes.iter().for_each(|node| cluster.fleet().reject_requests(node, Some(BACKOFF)));
    call_for(&cluster, kind, IN_FLIGHT_GRACE).await;
    let counts = || nodes.iter().map(|node| cluster.fleet().rejections(node).len()).sum::<usize>();
    let before = counts();
    let start = Instant::now();
    let reply = kind.call(&cluster, "when all ask for none").await;
    assert!(start.elapsed() < IN_FLIGHT_GRACE, "the request was not refused at once");
    assert_eq!((reply.status, reply.code().as_str()), (503, "no_upstream"), "{}", reply.body);
    assert_eq!(reply.ran(), "not_run");
    let retry_after = reply.retry_after.expect("the refusal has a Retry-After delay");
    assert!((1..=BACKOFF.as_secs()).contains(&retry_after), "{retry_after}");
    assert_eq!(counts(), before, "the request was sent to a node");
    nodes.iter().for_each(|node| cluster.fleet().reject_requests(node, None));
    tokio::time::sleep(BACKOFF).await;
    assert_eq!(kind.call(&cluster, "afterwards").await.status, 200);
}

/// A restarted node is used again although its former process has asked for a long backoff.
///
/// Guards against a backoff that outlives the process that asked for it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn backoff_ended_by_restart() {
    let long_backoff = Duration::from_secs(60);
    let cluster = serving_cluster(nine_daemons(), 1).await;
    let nodes = Kind::Plain.nodes(&cluster);
    nodes.iter().for_each(|node| cluster.fleet().reject_requests(node, Some(long_backoff)));
    call_for(&cluster, Kind::Plain, IN_FLIGHT_GRACE).await;
    assert_eq!(Kind::Plain.call(&cluster, "during the backoff").await.status, 503);
    nodes.iter().for_each(|node| cluster.fleet().kill(node));
    tokio::time::sleep(Duration::from_secs(1)).await;
    for node in &nodes {
        cluster.fleet().reject_requests(node, None);
        cluster.fleet().restart(node);
    }
    let restarted = Instant::now();
    while Kind::Plain.call(&cluster, "after the restart").await.status != 200 {
        assert!(restarted.elapsed() < long_backoff / 4, "the backoff still applies");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Makes all plain nodes ask the daemon for a long backoff, and returns them.
async fn ask_for_long_backoff(cluster: &Cluster) -> Vec<NodeId> {
    let nodes = Kind::Plain.nodes(cluster);
    nodes.iter().for_each(|node| cluster.fleet().reject_requests(node, Some(LONG_BACKOFF)));
    call_for(cluster, Kind::Plain, IN_FLIGHT_GRACE).await;
    assert_eq!(Kind::Plain.call(cluster, "during the backoff").await.status, 503);
    nodes
}

/// Kills nodes and restarts them so that they serve.
async fn replace_processes(cluster: &Cluster, nodes: &[NodeId]) {
    nodes.iter().for_each(|node| cluster.fleet().kill(node));
    tokio::time::sleep(Duration::from_secs(1)).await;
    for node in nodes {
        cluster.fleet().reject_requests(node, None);
        cluster.fleet().restart(node);
    }
}

/// Waits until a request is served, long before the backoff expires.
async fn wait_served(cluster: &Cluster) {
    let start = Instant::now();
    while Kind::Plain.call(cluster, "after the restart").await.status != 200 {
        assert!(start.elapsed() < LONG_BACKOFF / 4, "the backoff still applies");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Restarted nodes of other zones, which this daemon does not probe, are used again as well.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn backoff_ended_by_restart_in_other_zones() {
    let cluster = serving_cluster(nine_daemons(), 1).await;
    let nodes = ask_for_long_backoff(&cluster).await;
    let remote: Vec<NodeId> = nodes.into_iter().filter(|node| !node.starts_with("a-")).collect();
    replace_processes(&cluster, &remote).await;
    wait_served(&cluster).await;
}

/// A daemon whose own probes missed the restart learns of it from other daemons.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn backoff_ended_by_restart_while_paused() {
    let cluster = serving_cluster(nine_daemons(), 1).await;
    let nodes = ask_for_long_backoff(&cluster).await;
    cluster.pause(DAEMON);
    replace_processes(&cluster, &nodes).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.resume(DAEMON);
    wait_served(&cluster).await;
}
