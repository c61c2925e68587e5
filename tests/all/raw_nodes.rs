//! A cluster whose plain service runs on nodes that write their answers byte by byte.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_testkit::{
    CALLER_KEY, CallReply, CallerCall, Cluster, ClusterConfig, FleetConfig, RawAnswer, RawEnd,
    RawHandler, RawRequest, RawUpstream,
};
use hyper::Method;
use serde_json::json;
use tokio::sync::Notify;

use crate::support::{pause, zones};

/// Body of a whole answer, and the part of it that is sent.
pub const WHOLE: &str = "the first half, and the second half";
pub const PART: &str = "the first half";

/// How the raw nodes answer requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// All answer, without a length.
    Whole,
    /// All answer with a length, and so many bytes.
    Long(usize),
    /// The first node that is asked sends this much, and holds the connection.
    Part(&'static str),
    /// All send these bytes, and then the second ones without end, to requests with the key
    /// [`ENDLESS_KEY`]. The others are answered without a length.
    Endless(&'static str, &'static str),
    /// All send these bytes and close the connection for requests with the key [`INVALID_KEY`]. The
    /// others are answered without a length.
    Invalid(&'static str),
    /// All answer, and send their reports like that.
    EndlessReports(&'static str, &'static str),
}

/// Key of the requests to which bytes are sent without end.
pub const ENDLESS_KEY: &str = "endless";

/// Key of the requests whose answers are no answers.
pub const INVALID_KEY: &str = "invalid";

/// Returns an answer that goes on without end.
fn endless(first: &str, unit: &'static str) -> RawAnswer {
    let bytes = first.as_bytes().to_vec();
    RawAnswer { bytes, end: RawEnd::Endless(unit, None), rest: Vec::new() }
}

/// What the raw nodes share.
pub struct RawNodes {
    pub plan: Mutex<Plan>,
    runs: Mutex<BTreeMap<String, u32>>,
    pub holder: Mutex<Option<NodeId>>,
    pub held: Notify,
}

impl RawNodes {
    fn run(&self, node: &NodeId, request: &RawRequest) -> RawAnswer {
        let key = request.header("idempotency-key").to_owned();
        *self.runs.lock().expect("not poisoned").entry(key.clone()).or_default() += 1;
        let head = "200 OK\r\ncontent-type: text/plain\r\n";
        let part = match *self.plan.lock().expect("not poisoned") {
            Plan::Endless(first, unit) if key == ENDLESS_KEY => return endless(first, unit),
            Plan::Invalid(bytes) if key == INVALID_KEY => {
                let bytes = bytes.as_bytes().to_vec();
                return RawAnswer { bytes, end: RawEnd::Close, rest: Vec::new() };
            }
            Plan::Whole | Plan::Endless(..) | Plan::Invalid(_) | Plan::EndlessReports(..) => {
                return RawAnswer::unframed(head, WHOLE, RawEnd::Close);
            }
            Plan::Long(bytes) => return RawAnswer::framed(head, &"x".repeat(bytes)),
            Plan::Part(part) => part,
        };
        let mut holder = self.holder.lock().expect("not poisoned");
        if holder.is_some() {
            return RawAnswer::unframed(head, WHOLE, RawEnd::Close);
        }
        *holder = Some(node.clone());
        self.held.notify_one();
        RawAnswer::unframed(head, part, RawEnd::Hold)
    }

    pub fn runs(&self, key: &str) -> u32 {
        self.runs.lock().expect("not poisoned").get(key).copied().unwrap_or_default()
    }
}

pub fn handler(nodes: &Arc<RawNodes>, node: &NodeId, start: u64) -> RawHandler {
    let (nodes, node) = (Arc::clone(nodes), node.clone());
    Arc::new(move |request: &RawRequest| {
        if request.target != "/hollowbarrow/v1/report" {
            return nodes.run(&node, request);
        }
        let plan = *nodes.plan.lock().expect("not poisoned");
        if let Plan::EndlessReports(first, unit) = plan {
            return endless(first, unit);
        }
        let report = json!({"node": *node, "start": start, "epoch": 0, "state": "ready"});
        RawAnswer::framed("200 OK\r\ncontent-type: application/json\r\n", &report.to_string())
    })
}

/// A cluster whose plain service runs on raw nodes.
pub struct RawCluster {
    pub cluster: Cluster,
    pub nodes: Arc<RawNodes>,
    pub upstreams: BTreeMap<NodeId, RawUpstream>,
}

impl RawCluster {
    pub async fn start() -> Self {
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

    pub async fn read(&self, key: &str) -> CallReply {
        let call = CallerCall::new(Method::GET, "/pitches/free", CALLER_KEY);
        let call = call.with_header("idempotency-key", key);
        call.send(self.cluster.caller_address("a0")).await
    }

    pub async fn hold(&self, key: &str) -> CallReply {
        let call = CallerCall::new(Method::POST, "/holds/7", CALLER_KEY).with_body("{}");
        let call = call.with_header("idempotency-key", key).with_timeout(Duration::from_secs(20));
        call.send(self.cluster.caller_address("a0")).await
    }
}
