//! Nodes that turn requests away and ask for none for some seconds.
//!
//! Entry daemons told the caller when to come back, and sent the next request there at once: the
//! node was the least loaded one, since it ran nothing.

use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_testkit::{CALLER_KEY, CallReply, CallerCall, Cluster};
use hyper::Method;
use rstest::rstest;
use tokio::time::Instant;

use crate::requests::stream;
use crate::support::{nine_daemons, serving_cluster};

/// Time for which nodes ask for no requests.
const ASKED: Duration = Duration::from_secs(3);
/// Time in which a request that was under way already may still come to a node.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// The daemon that is asked.
const DAEMON: &str = "a0";
/// Callers that ask it again and again.
const CALLERS: usize = 8;

/// Which nodes are asked.
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

/// Asks until a while is over; what callers got.
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

/// Times from a node's first refusal to later ones within the time that it asked for, those that
/// may have been under way aside.
fn against_backoff(cluster: &Cluster, node: &NodeId) -> Vec<Duration> {
    let turned_away = cluster.fleet().rejections(node);
    let Some(first) = turned_away.first() else { return Vec::new() };
    let since = turned_away.iter().map(|at| at.saturating_duration_since(*first));
    since.filter(|since| *since >= UNDER_WAY && *since < ASKED).collect()
}

/// The nodes of one zone ask for no requests; those of others serve.
#[rstest]
#[case::plain(Kind::Plain)]
#[case::model(Kind::Model)]
#[tokio::test(flavor = "multi_thread")]
async fn backoff_kept_towards_node(#[case] kind: Kind) {
    let cluster = serving_cluster(nine_daemons(), 6).await;
    let is_near = |node: &NodeId| node.starts_with("a-");
    let near: Vec<NodeId> = kind.nodes(&cluster).into_iter().filter(is_near).collect();
    near.iter().for_each(|node| cluster.fleet().reject_requests(node, Some(ASKED)));
    let replies = call_for(&cluster, kind, ASKED).await;
    let asked = near.iter().filter(|node| !cluster.fleet().rejections(node).is_empty()).count();
    assert!(asked > 0, "none of {near:?} was asked");
    for node in &near {
        let against = against_backoff(&cluster, node);
        assert!(against.is_empty(), "{node:?} got {} requests: {against:?}", against.len());
    }
    // The first of each caller may be turned away, as its node's answer.
    let refused = replies.iter().filter(|reply| reply.status != 200).count();
    assert!(refused <= CALLERS, "{refused} of {} were not served", replies.len());
}

/// Where all ask for none, callers are told so at once, and when to come back.
#[rstest]
#[case::plain(Kind::Plain)]
#[case::model(Kind::Model)]
#[tokio::test(flavor = "multi_thread")]
async fn backoff_of_all_nodes(#[case] kind: Kind) {
    let cluster = serving_cluster(nine_daemons(), 6).await;
    let nodes = kind.nodes(&cluster);
    nodes.iter().for_each(|node| cluster.fleet().reject_requests(node, Some(ASKED)));
    call_for(&cluster, kind, UNDER_WAY).await;
    let counts = || nodes.iter().map(|node| cluster.fleet().rejections(node).len()).sum::<usize>();
    let before = counts();
    let start = Instant::now();
    let reply = kind.call(&cluster, "when all ask for none").await;
    assert!(start.elapsed() < UNDER_WAY, "it is not held");
    assert_eq!((reply.status, reply.code().as_str()), (503, "no_upstream"), "{}", reply.body);
    assert_eq!(reply.ran(), "not_run");
    let pause = reply.retry_after.expect("a time to come back");
    assert!((1..=ASKED.as_secs()).contains(&pause), "{pause}");
    assert_eq!(counts(), before, "it was sent to none");
    nodes.iter().for_each(|node| cluster.fleet().reject_requests(node, None));
    tokio::time::sleep(ASKED).await;
    assert_eq!(kind.call(&cluster, "afterwards").await.status, 200);
}
