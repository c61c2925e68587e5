//! Nodes that report a limit of requests per second for all daemons together.
//!
//! Guards against entry daemons that evaluate only backoffs. The least loaded node is chosen first,
//! so that a node can get more requests than its limit.

use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_testkit::{CALLER_KEY, CallReply, CallerCall, Cluster};
use hyper::Method;
use rstest::rstest;
use tokio::time::Instant;

use crate::requests::stream;
use crate::support::{nine_daemons, serving_cluster};

/// Limit of the nodes, as in their responses and as a number.
const LIMIT: &str = "2";
const LIMIT_PER_S: f64 = 2.0;
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Time within which the limit must have reached all daemons.
const PUBLISH_TIME: Duration = Duration::from_secs(1);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Pause of each caller between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Kind of nodes that report limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Plain,
    Model,
}

async fn call(cluster: &Cluster, kind: Kind, daemon: &str, prompt: &str) -> CallReply {
    let address = cluster.caller_address(daemon);
    match kind {
        Kind::Plain => {
            let call = CallerCall::new(Method::GET, "/pitches/free", CALLER_KEY);
            call.with_timeout(Duration::from_secs(10)).send(address).await
        }
        Kind::Model => stream(address, prompt, 3).await,
    }
}

/// Sends requests from one caller at each daemon for a time; returns how many were served.
async fn call_for(cluster: &Cluster, kind: Kind, time: Duration) -> usize {
    let end = Instant::now() + time;
    let ids = cluster.ids();
    let callers = ids.iter().map(|daemon| async move {
        let mut served = 0;
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let reply = call(cluster, kind, daemon, &format!("{daemon} {number}")).await;
            served += usize::from(reply.status == 200);
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        served
    });
    futures_util::future::join_all(callers).await.into_iter().sum()
}

/// Returns the maximum number of requests that reached a node within a window.
fn max_in_window(cluster: &Cluster, node: &NodeId, from: Instant) -> usize {
    let arrivals = cluster.fleet().arrivals(node);
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let count = |end: &Instant| {
        counted
            .iter()
            .filter(|at| *at <= end && end.saturating_duration_since(**at) < WINDOW)
            .count()
    };
    counted.iter().map(count).max().unwrap_or_default()
}

#[rstest]
#[case::plain(Kind::Plain)]
#[case::model(Kind::Model)]
#[tokio::test(flavor = "multi_thread")]
async fn limit_kept_over_daemons(#[case] kind: Kind) {
    let cluster = serving_cluster(nine_daemons(), 6).await;
    let nodes = match kind {
        Kind::Plain => cluster.fleet().service_nodes(),
        Kind::Model => cluster.fleet().model_nodes(),
    };
    nodes.iter().for_each(|node| cluster.fleet().set_limit(node, Some(LIMIT)));
    let start = Instant::now();
    let served = call_for(&cluster, kind, LOAD_TIME).await;
    assert!(served > 0, "no request was served");
    let allowed = (LIMIT_PER_S * WINDOW.as_secs_f64() * 1.5 + 5.0).round() as usize;
    for node in &nodes {
        let max_requests = max_in_window(&cluster, node, start + PUBLISH_TIME);
        assert!(
            max_requests <= allowed,
            "{node:?} got {max_requests} requests in 4 s; {allowed} allowed"
        );
    }
}
