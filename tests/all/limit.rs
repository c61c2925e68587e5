//! Nodes that name the requests a second that they take from all daemons together.
//!
//! Entry daemons read backoffs only, and the node with the least to do is chosen first.

use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_testkit::{CALLER_KEY, CallReply, CallerCall, Cluster};
use hyper::Method;
use rstest::rstest;
use tokio::time::Instant;

use crate::requests::stream;
use crate::support::{nine_daemons, serving_cluster};

/// What nodes name, as it stands in their answers and as a number.
const LIMIT: &str = "2";
const LIMIT_PER_S: f64 = 2.0;
/// Time for which requests come.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Time after which the limit has to be kept.
const TOLD_TIME: Duration = Duration::from_secs(1);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Pause of each caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// Which nodes name limits.
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

/// One caller at each daemon, which asks for a while; how many were served.
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
            tokio::time::sleep(CALL_PAUSE).await;
        }
        served
    });
    futures_util::future::join_all(callers).await.into_iter().sum()
}

/// Most requests that came to a node in a window.
fn most_in_window(cluster: &Cluster, node: &NodeId, from: Instant) -> usize {
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
    assert!(served > 0, "nothing is served");
    let allowed = (LIMIT_PER_S * WINDOW.as_secs_f64() * 1.5 + 5.0).round() as usize;
    for node in &nodes {
        let most = most_in_window(&cluster, node, start + TOLD_TIME);
        assert!(most <= allowed, "{node:?} got {most} requests in 4 s; {allowed} allowed");
    }
}
