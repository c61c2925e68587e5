//! The ingress listener under malformed, slow and hostile connections.

use std::net::SocketAddr;
use std::time::Duration;

use hollowbarrow_testkit::{CALLER_KEY, Cluster, ClusterConfig, FleetConfig};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::zones;

/// Starts one daemon with low limits and waits until it has a ready service.
async fn one_daemon() -> Cluster {
    let zone = zones().remove(0);
    let fleet = FleetConfig::new(std::slice::from_ref(&zone), 1, 1);
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_hollowbarrow"));
    let limits = json!({"body_bytes": 2000, "header_ms": 400, "connections": 64});
    let config = ClusterConfig::new(program, &["serve", "--settings"], &[(zone, 1)], fleet)
        .with_limits(limits);
    let cluster = Cluster::start(config);
    cluster.wait_ready().await;
    for _ in 0..200 {
        let nodes = cluster.read_operator_api("a0", "/nodes").await;
        let seen = |node: &serde_json::Value| {
            node["observed"].as_str().is_some_and(|observed| observed.starts_with("ready"))
        };
        if nodes.as_array().is_some_and(|nodes| nodes.iter().any(seen)) {
            return cluster;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the daemon reports no ready service: {}", cluster.log("a0"));
}

/// Sends bytes and reads until the connection is closed or nothing is received for 2 s.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream =
        TcpStream::connect(address).await.expect("the ingress listener accepts connections");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(Ok(length)) =
        tokio::time::timeout(Duration::from_secs(2), stream.read(&mut buffer)).await
    {
        if length == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(extra: &str, body: &str) -> String {
    format!(
        "POST /holds/1 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n{extra}\r\n{body}"
    )
}

/// Requests that could smuggle a second request, and requests above the limits, are refused or
/// disconnected. None reaches a service.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn refuse_hostile_bytes() {
    let cluster = one_daemon().await;
    let address = cluster.caller_address("a0");
    let long = "a".repeat(70_000);
    let many: String = (0..200).map(|number| format!("x-{number}: 1\r\n")).collect();
    let big = "b".repeat(3000);
    let cases = [
        ("two lengths", post("content-length: 2\r\ncontent-length: 7\r\n", "{}12345")),
        (
            "length and chunks",
            post(
                "content-length: 5\r\ntransfer-encoding: chunked\r\n",
                "0\r\n\r\nGET /ready HTTP/1.1\r\n\r\n",
            ),
        ),
        ("odd coding", post("transfer-encoding: chunked, identity\r\n", "0\r\n\r\n")),
        ("bad chunk", post("transfer-encoding: chunked\r\n", "zz\r\n{}\r\n0\r\n\r\n")),
        ("negative length", post("content-length: -1\r\n", "{}")),
        ("space before colon", post("content-length : 2\r\n", "{}")),
        ("long header", post(&format!("x-long: {long}\r\n"), "")),
        ("many headers", post(&many, "")),
        ("large body", post("content-length: 3000\r\n", &big)),
        ("no request", "\0\x01\x02\r\n\r\n".to_owned()),
        ("old version", "POST /holds/1 HTTP/0.9\r\n\r\n".to_owned()),
    ];
    for (name, bytes) in cases {
        let answer = exchange(address, bytes.as_bytes()).await;
        assert!(!answer.contains(" 200 "), "{name} was accepted: {answer}");
        let answers = answer.matches("HTTP/1.1 ").count();
        assert!(answers <= 1, "{name} got {answers} answers: {answer}");
    }
    assert!(cluster.fleet().history().to_vec().is_empty(), "a refused request ran");
    // Two equal lengths are not ambiguous. The request may be accepted, but only as one request.
    let twice = post("content-length: 2\r\ncontent-length: 2\r\nconnection: close\r\n", "{}");
    let answer = exchange(address, twice.as_bytes()).await;
    let ran = cluster.fleet().history().to_vec().len();
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert!(ran <= 1, "{ran} executions of one request");
    // The listener still serves valid requests.
    let good =
        exchange(address, post("content-length: 2\r\nconnection: close\r\n", "{}").as_bytes())
            .await;
    assert!(good.contains(" 200 "), "{good}");
}

/// Callers that do not complete their headers are disconnected and occupy no connection slots.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn disconnect_slow_callers() {
    let cluster = one_daemon().await;
    let address = cluster.caller_address("a0");
    let mut silent = Vec::new();
    for _ in 0..80 {
        let mut stream =
            TcpStream::connect(address).await.expect("the ingress listener accepts connections");
        let _ = stream.write_all(b"GET /ready HT").await;
        silent.push(stream);
    }
    let answer =
        exchange(address, b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await;
    assert!(answer.contains(" 200 "), "slow callers occupy all connection slots: {answer}");
}

#[derive(Clone, Debug)]
enum Mutation {
    Insert(usize, Vec<u8>),
    Remove(usize, usize),
    Flip(usize, u8),
}

fn mutations() -> impl Strategy<Value = Vec<Mutation>> {
    let one = prop_oneof![
        (0usize..220, prop::collection::vec(any::<u8>(), 1..6))
            .prop_map(|(at, bytes)| Mutation::Insert(at, bytes)),
        (0usize..220, 1usize..8).prop_map(|(at, count)| Mutation::Remove(at, count)),
        (0usize..220, 0u8..8).prop_map(|(at, bit)| Mutation::Flip(at, bit)),
    ];
    prop::collection::vec(one, 1..4)
}

fn mutate(mut bytes: Vec<u8>, mutations: &[Mutation]) -> Vec<u8> {
    for mutation in mutations {
        match mutation {
            Mutation::Insert(at, inserted) => {
                let at = (*at).min(bytes.len());
                bytes.splice(at..at, inserted.iter().copied());
            }
            Mutation::Remove(at, count) => {
                let at = (*at).min(bytes.len());
                let end = (at + count).min(bytes.len());
                bytes.drain(at..end);
            }
            Mutation::Flip(at, bit) => {
                if let Some(byte) = bytes.get_mut(*at) {
                    *byte ^= 1 << bit;
                }
            }
        }
    }
    bytes
}

/// Sends mutations of a valid request. Each request is executed at most once, is not executed if
/// the answer says `not_run`, and the listener continues to answer.
#[rstest]
fn fuzz_ingress() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
    let cluster = runtime.block_on(one_daemon());
    let address = cluster.caller_address("a0");
    let good = |number: usize| {
        let headers =
            format!("x-request-id: case-{number}-\r\ncontent-length: 2\r\nconnection: close\r\n");
        post(&headers, "{}").into_bytes()
    };
    let sent = std::cell::Cell::new(0);
    let config =
        ProptestConfig { cases: 120, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let outcome = runner.run(&mutations(), |mutations| {
        sent.set(sent.get() + 1);
        let bytes = mutate(good(sent.get()), &mutations);
        let answer = runtime.block_on(async {
            let mut stream = TcpStream::connect(address)
                .await
                .expect("the ingress listener accepts connections");
            let _ = stream.write_all(&bytes).await;
            let mut answer = Vec::new();
            let reading = stream.read_to_end(&mut answer);
            let _ = tokio::time::timeout(Duration::from_millis(700), reading).await;
            String::from_utf8_lossy(&answer).into_owned()
        });
        let counts = cluster.fleet().history().counts();
        let ran: u32 = counts.values().sum();
        prop_assert!(ran as usize <= sent.get(), "{ran} executions of {} requests", sent.get());
        prop_assert!(counts.values().all(|count| *count <= 1), "a request ran twice: {counts:?}");
        let case_runs = counts.get(&format!("case-{}-", sent.get())).copied().unwrap_or(0);
        prop_assert!(
            !answer.contains("not_run") || case_runs == 0,
            "the answer says not_run, but the request ran: {answer}"
        );
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
    let answer = runtime.block_on(exchange(address, &good(0)));
    assert!(answer.contains(" 200 "), "the listener stopped answering: {answer}");
}
