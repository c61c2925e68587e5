//! Daemons that restart while no leader can confirm their configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hollowbarrow_testkit::{CALLER_KEY, CallReply, CallerCall, Cluster, FaultMode};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::support::{group, nine_daemons, pause, serving_cluster, zones};

/// Interval between two calls.
const POLL_MS: u64 = 50;
/// Time within which a state that must come is there.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which nothing that was forbidden may happen: longer than all timeouts of a daemon.
const OBSERVED_TIME: Duration = Duration::from_secs(8);

/// An external endpoint that answers everything and counts the requests.
struct Endpoint {
    address: SocketAddr,
    requests: Arc<AtomicU32>,
}

impl Endpoint {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port exists");
        let address = listener.local_addr().expect("the listener is bound");
        let requests = Arc::new(AtomicU32::new(0));
        let counted = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let counted = Arc::clone(&counted);
                tokio::spawn(async move {
                    let mut buffer = vec![0; 4096];
                    if stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
                        counted.fetch_add(1, Ordering::Relaxed);
                        let answer = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                             content-length: 2\r\nconnection: close\r\n\r\n{}";
                        let _ = stream.write_all(answer.as_bytes()).await;
                    }
                });
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }

    fn to_change(&self) -> Value {
        json!({"put_endpoint": {"name": "other", "model": "elsewhere",
            "address": self.address.to_string(), "weight": 1}})
    }
}

/// Asks a daemon for the model that the endpoint serves.
async fn call_elsewhere(cluster: &Cluster, id: &str) -> CallReply {
    let messages = json!([{"role": "user", "content": "hello"}]);
    let body = json!({"model": "elsewhere", "max_tokens": 1, "messages": messages});
    CallerCall::new(Method::POST, "/v1/chat/completions", CALLER_KEY)
        .with_body(&body.to_string())
        .with_timeout(Duration::from_secs(5))
        .send(cluster.caller_address(id))
        .await
}

/// Calls until the endpoint gets a request.
async fn wait_used(cluster: &Cluster, id: &str, endpoint: &Endpoint) {
    let (started, before) = (Instant::now(), endpoint.requests());
    while endpoint.requests() == before {
        let reply = call_elsewhere(cluster, id).await;
        let waited = started.elapsed();
        assert!(waited < STATE_TIMEOUT, "{id} does not use the endpoint: {reply:?}");
        pause(POLL_MS).await;
    }
}

async fn change(cluster: &Cluster, id: &str, change_id: &str, command: &Value) {
    let reply = cluster.submit_change(id, change_id, command).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}

/// Starts a cluster whose daemon a0 uses an endpoint, and knows after a restart that it was put.
async fn cluster_with_endpoint(endpoint: &Endpoint) -> Cluster {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    change(&cluster, "a0", "put endpoint", &endpoint.to_change()).await;
    change(&cluster, "a0", "put group", &group("filler", 0)).await;
    wait_used(&cluster, "a0", endpoint).await;
    cluster
}

/// A voter is down while an endpoint is deleted, and restarts beside another one whose disk is lost, so
/// that no leader can be elected. It must not send requests to the endpoint, which happened by the
/// older configuration on its disk.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn deleted_endpoint_not_used_without_leader() {
    let endpoint = Endpoint::start().await;
    let mut cluster = cluster_with_endpoint(&endpoint).await;
    cluster.kill("a0");
    change(&cluster, "b1", "delete endpoint", &json!({"delete_endpoint": "other"})).await;
    cluster.kill("b0");
    cluster.kill("c0");
    let data = cluster.data_folder("b0").expect("the voter has a disk").to_owned();
    std::fs::remove_dir_all(&data).expect("the data folder can be removed");
    let before = endpoint.requests();
    cluster.restart("b0");
    cluster.restart("a0");
    let (started, mut refused) = (Instant::now(), 0);
    while started.elapsed() < OBSERVED_TIME {
        let reply = call_elsewhere(&cluster, "a0").await;
        refused += u32::from(reply.status == 503 && reply.retry_after.is_some());
        let used = endpoint.requests() - before;
        assert_eq!(used, 0, "the endpoint was used: {reply:?}\n{}", cluster.log("a0"));
        pause(POLL_MS).await;
    }
    assert!(refused > 0, "no request is refused: {}", cluster.log("a0"));
    cluster.restart("c0");
    let started = Instant::now();
    while call_elsewhere(&cluster, "a0").await.status != 404 {
        assert!(
            started.elapsed() < STATE_TIMEOUT,
            "the model is not unknown: {}",
            cluster.log("a0")
        );
        pause(POLL_MS).await;
    }
    assert_eq!(endpoint.requests(), before);
}

/// A zone is cut off and its voter restarts: it goes on using what its configuration names.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_used_in_cut_off_zone() {
    let endpoint = Endpoint::start().await;
    let mut cluster = cluster_with_endpoint(&endpoint).await;
    cluster.set_zone_links(&zones()[0], FaultMode::Blackhole);
    cluster.kill("a0");
    cluster.restart("a0");
    wait_used(&cluster, "a0", &endpoint).await;
}

/// A zone is cut off and all its daemons restart, so that most of them know no group. Its replica must
/// go on serving, and not be drained as one of a deleted group.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn replica_kept_by_restarted_zone() {
    let mut cluster = serving_cluster(nine_daemons(), 3).await;
    cluster.set_zone_links(&zones()[0], FaultMode::Blackhole);
    let ids = cluster.ids_in(&zones()[0]);
    ids.iter().for_each(|id| cluster.kill(id));
    ids.iter().for_each(|id| cluster.restart(id));
    let started = Instant::now();
    while started.elapsed() < OBSERVED_TIME {
        for id in &ids {
            let log = cluster.log(id);
            assert!(!log.contains("event=replica_drain"), "{id} drains a replica: {log}");
        }
        pause(POLL_MS).await;
    }
    for id in &ids {
        let reply = crate::requests::stream(cluster.caller_address(id), "prompt", 5).await;
        assert_eq!(reply.status, 200, "{id} does not serve: {reply:?}\n{}", cluster.log(id));
    }
    cluster.set_zone_links(&zones()[0], FaultMode::Pass);
    assert!(cluster.wait_serving("b0", "drafts", 3).await, "{}", cluster.log("a0"));
}
