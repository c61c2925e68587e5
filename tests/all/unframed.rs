//! Answers of plain services that have neither a length nor chunks, and end with their connection.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_testkit::{
    CALLER_KEY, CallReply, CallerCall, Cluster, ClusterConfig, FleetConfig, RawAnswer, RawEnd,
    RawHandler, RawRequest, RawUpstream,
};
use hyper::Method;
use rstest::rstest;
use serde_json::json;
use tokio::sync::Notify;

use crate::support::{pause, zones};

/// Body of a whole answer, and the part of it that is sent.
const WHOLE: &str = "the first half, and the second half";
const PART: &str = "the first half";

/// How the raw nodes answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plan {
    Whole,
    /// The first node that is asked sends this much, and holds the connection.
    Part(&'static str),
}

/// What the raw nodes share.
struct RawNodes {
    plan: Mutex<Plan>,
    runs: Mutex<BTreeMap<String, u32>>,
    holder: Mutex<Option<NodeId>>,
    held: Notify,
    reports: AtomicU64,
}

impl RawNodes {
    fn run(&self, node: &NodeId, request: &RawRequest) -> RawAnswer {
        let key = request.header("idempotency-key").to_owned();
        *self.runs.lock().expect("not poisoned").entry(key).or_default() += 1;
        let head = "200 OK\r\ncontent-type: text/plain\r\n";
        let Plan::Part(part) = *self.plan.lock().expect("not poisoned") else {
            return RawAnswer::unframed(head, WHOLE, RawEnd::Close);
        };
        let mut holder = self.holder.lock().expect("not poisoned");
        if holder.is_some() {
            return RawAnswer::unframed(head, WHOLE, RawEnd::Close);
        }
        *holder = Some(node.clone());
        self.held.notify_one();
        RawAnswer::unframed(head, part, RawEnd::Hold)
    }

    fn runs(&self, key: &str) -> u32 {
        self.runs.lock().expect("not poisoned").get(key).copied().unwrap_or_default()
    }
}

fn handler(nodes: &Arc<RawNodes>, node: &NodeId, start: u64) -> RawHandler {
    let (nodes, node) = (Arc::clone(nodes), node.clone());
    Arc::new(move |request: &RawRequest| {
        if request.target != "/hollowbarrow/v1/report" {
            return nodes.run(&node, request);
        }
        nodes.reports.fetch_add(1, Ordering::Relaxed);
        let report = json!({"node": *node, "start": start, "epoch": 0, "state": "ready"});
        RawAnswer::framed("200 OK\r\ncontent-type: application/json\r\n", &report.to_string())
    })
}

/// A cluster whose plain service runs on raw nodes.
struct RawCluster {
    cluster: Cluster,
    nodes: Arc<RawNodes>,
    upstreams: BTreeMap<NodeId, RawUpstream>,
}

impl RawCluster {
    async fn start() -> Self {
        let counts: Vec<_> = zones().into_iter().map(|zone| (zone, 1)).collect();
        let program = Path::new(env!("CARGO_BIN_EXE_hollowbarrow"));
        let fleet = FleetConfig::new(&zones(), 1, 1);
        let config = ClusterConfig::new(program, &["serve", "--settings"], &counts, fleet);
        // The addresses in the platform's list are the nodes' own.
        let config = config.with_proxies(false);
        let cluster = Cluster::start(config);
        let nodes = Arc::new(RawNodes {
            plan: Mutex::new(Plan::Whole),
            runs: Mutex::default(),
            holder: Mutex::default(),
            held: Notify::new(),
            reports: AtomicU64::new(0),
        });
        let mut upstreams = BTreeMap::new();
        for node in cluster.fleet().service_nodes() {
            let address = "127.0.0.1:0".parse().expect("the address is valid");
            let upstream = RawUpstream::start(address, handler(&nodes, &node, 7));
            cluster.fleet().set_listed_address(&node, upstream.address());
            upstreams.insert(node, upstream);
        }
        cluster.wait_ready().await;
        let started = Self { cluster, nodes, upstreams };
        started.wait_until_used().await;
        started
    }

    /// Waits until the daemon that is called knows the raw nodes.
    async fn wait_until_used(&self) {
        let mut used = 0;
        while used < 10 {
            let reply = self.read("warm").await;
            used = if reply.body == WHOLE { used + 1 } else { 0 };
            pause(100).await;
        }
    }

    async fn read(&self, key: &str) -> CallReply {
        let call = CallerCall::new(Method::GET, "/pitches/free", CALLER_KEY);
        let call = call.with_header("idempotency-key", key);
        call.send(self.cluster.caller_address("a0")).await
    }

    async fn hold(&self, key: &str) -> CallReply {
        let call = CallerCall::new(Method::POST, "/holds/7", CALLER_KEY).with_body("{}");
        let call = call.with_header("idempotency-key", key).with_timeout(Duration::from_secs(20));
        call.send(self.cluster.caller_address("a0")).await
    }

    /// Loses the node that holds a part of an answer.
    async fn lose_holder(&self, loss: Loss) {
        self.nodes.held.notified().await;
        // The part arrives before the connection ends.
        pause(200).await;
        let holder = self.nodes.holder.lock().expect("not poisoned").clone();
        let holder = holder.expect("a node holds an answer");
        match loss {
            Loss::Terminated => self.upstreams[&holder].terminate(),
            Loss::Replaced => self.upstreams[&holder].replace(handler(&self.nodes, &holder, 8)),
            Loss::All => self.upstreams.values().for_each(RawUpstream::terminate),
        }
    }
}

/// How a node is lost within an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Its process terminates.
    Terminated,
    /// Its process terminates while the next one already listens at its address.
    Replaced,
    /// The processes of all nodes terminate.
    All,
}

/// Guards against a part of an answer without a length that is forwarded as a complete one, because the
/// connection of a terminated node ends in order.
#[rstest]
#[case::terminated(PART, Loss::Terminated)]
#[case::replaced(PART, Loss::Replaced)]
#[case::nothing_received("", Loss::Terminated)]
#[tokio::test(flavor = "multi_thread")]
async fn cut_read_repeated(#[case] part: &'static str, #[case] loss: Loss) {
    let cluster = RawCluster::start().await;
    *cluster.nodes.plan.lock().expect("not poisoned") = Plan::Part(part);
    let (reply, ()) = tokio::join!(cluster.read("half"), cluster.lose_holder(loss));
    let log = cluster.cluster.log("a0");
    assert_eq!((reply.status, reply.body.as_str()), (200, WHOLE), "{log}");
    assert_eq!(cluster.nodes.runs("half"), 2);
}

/// Guards against the same where the request may run only once, and against the part as the recorded
/// answer of its key.
#[rstest]
#[case::terminated(PART, Loss::Terminated)]
#[case::replaced(PART, Loss::Replaced)]
#[case::nothing_received("", Loss::Terminated)]
#[case::all_lost(PART, Loss::All)]
#[tokio::test(flavor = "multi_thread")]
async fn cut_hold_not_forwarded(#[case] part: &'static str, #[case] loss: Loss) {
    let cluster = RawCluster::start().await;
    *cluster.nodes.plan.lock().expect("not poisoned") = Plan::Part(part);
    let (reply, ()) = tokio::join!(cluster.hold("half"), cluster.lose_holder(loss));
    let log = cluster.cluster.log("a0");
    assert!(reply.status >= 500, "{} {}: {log}", reply.status, reply.body);
    assert_eq!(reply.ran(), "unknown", "{}", reply.body);
    let again = cluster.hold("half").await;
    assert_eq!(again.code(), "outcome_unknown", "{} {}: {log}", again.status, again.body);
    assert_eq!(cluster.nodes.runs("half"), 1);
}

/// Guards against sound answers that count as cut: the hold runs once, and its answer is recorded.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn sound_hold_recorded() {
    let cluster = RawCluster::start().await;
    for _ in 0..2 {
        let reply = cluster.hold("sound").await;
        let log = cluster.cluster.log("a0");
        assert_eq!((reply.status, reply.body.as_str()), (200, WHOLE), "{log}");
    }
    assert_eq!(cluster.nodes.runs("sound"), 1);
}
