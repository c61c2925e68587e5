//! Crowds at the addresses of an entry daemon of `serve`.

use std::path::Path;

use hollowbarrow_schema::ZoneId;
use hollowbarrow_testkit::{CALLER_KEY, CallerCall, Cluster, ClusterConfig, FleetConfig};
use hyper::Method;
use rstest::rstest;
use serde_json::json;
use tokio::time::Instant;

use crate::client::{ClientScript, Crowd, Repeats};
use crate::{ANSWER_TIMEOUT, BODY_BYTES, CROWD_TIME, MEMORY_MB, RUNNING};

/// Clients of a crowd; their bodies have 160 MB together.
const CLIENTS: usize = 40;
/// Silent connections of a crowd.
const SILENT_CLIENTS: usize = 600;
/// Connections of callers that the settings allow.
const CONNECTIONS: u32 = 64;
/// Descriptors and threads that a daemon has beside those of callers and operators.
const OTHER_DESCRIPTORS: usize = 192;
const OTHER_THREADS: usize = 64;
const DAEMON: &str = "a0";

fn head(length: usize) -> String {
    format!(
        "POST /pitches/free HTTP/1.1\r\nhost: serve\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {length}\r\n\r\n"
    )
}

fn one_byte_short() -> ClientScript {
    let unit = "x".repeat(BODY_BYTES - 1);
    ClientScript::new(head(BODY_BYTES)).with_unit(unit, Repeats::Times(1))
}

fn whole_bodies() -> ClientScript {
    let whole = format!("{}{}", head(BODY_BYTES), "x".repeat(BODY_BYTES));
    ClientScript::new("").with_unit(whole, Repeats::Endless)
}

/// Returns a script for whole bodies that take far more memory once they are parsed.
fn many_values() -> ClientScript {
    let body = format!(r#"{{"model":"m","messages":[{}"#, "0,".repeat(BODY_BYTES / 2));
    let head = head(BODY_BYTES).replacen("/pitches/free", "/v1/chat/completions", 1);
    let whole = format!("{head}{}", &body[..BODY_BYTES]);
    ClientScript::new("").with_unit(whole, Repeats::Endless)
}

async fn start() -> Cluster {
    let zone = ZoneId::from("a");
    let fleet = FleetConfig::new(std::slice::from_ref(&zone), 1, 4).with_unfenced_nodes(true);
    let program = Path::new(env!("CARGO_BIN_EXE_hollowbarrow"));
    let limits = json!({"body_bytes": BODY_BYTES, "memory_mb": MEMORY_MB,
        "connections": CONNECTIONS});
    let config = ClusterConfig::new(program, &["serve", "--settings"], &[(zone, 3)], fleet)
        .with_limits(limits);
    let cluster = Cluster::start(config);
    cluster.wait_ready().await;
    assert_ordinary_served(&cluster).await;
    cluster
}

async fn assert_ordinary_served(cluster: &Cluster) {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    loop {
        let call = CallerCall::new(Method::GET, "/pitches/free", CALLER_KEY);
        let reply = call.with_timeout(ANSWER_TIMEOUT).send(cluster.caller_address(DAEMON)).await;
        if reply.status == 200 {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "{} {}: {}",
            reply.status,
            reply.body,
            cluster.log(DAEMON)
        );
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
}

fn figure(cluster: &Cluster, name: &str) -> u64 {
    let pid = cluster.pid(DAEMON).expect("the daemon runs");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"));
    let status = status.expect("the process can be read");
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let value = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    value.expect("the kernel shows the figure")
}

fn open_descriptors(cluster: &Cluster) -> usize {
    let pid = cluster.pid(DAEMON).expect("the daemon runs");
    std::fs::read_dir(format!("/proc/{pid}/fd")).expect("the process can be read").count()
}

fn assert_within_memory(cluster: &Cluster) {
    assert!(cluster.is_running(DAEMON), "the daemon ended: {}", cluster.log(DAEMON));
    let peak_kb = figure(cluster, "VmHWM");
    println!("peak {peak_kb} KB");
    assert!(peak_kb <= u64::from(MEMORY_MB) << 10, "{peak_kb} KB were resident");
}

/// Guards against bodies that are held without a bound over all callers together.
#[rstest]
#[case::one_byte_short(one_byte_short())]
#[case::whole_bodies(whole_bodies())]
#[case::many_values(many_values())]
#[tokio::test(flavor = "multi_thread")]
async fn serve_bodies_bounded(#[case] script: ClientScript) {
    let _running = RUNNING.lock().await;
    let cluster = start().await;
    let address = cluster.caller_address(DAEMON).to_string();
    let crowd = Crowd::start(&address, CLIENTS, &script);
    tokio::time::sleep(CROWD_TIME).await;
    assert_ordinary_served(&cluster).await;
    assert_within_memory(&cluster);
    crowd.leave().await;
    assert_ordinary_served(&cluster).await;
    assert_within_memory(&cluster);
}

/// Guards against silent connections to one address of a daemon that keep callers and operators out.
#[rstest]
#[case::callers(false)]
#[case::operators(true)]
#[tokio::test(flavor = "multi_thread")]
async fn serve_silent_connections_bounded(#[case] operators: bool) {
    let _running = RUNNING.lock().await;
    let cluster = start().await;
    let address =
        if operators { cluster.operator_address(DAEMON) } else { cluster.caller_address(DAEMON) };
    let crowd = Crowd::start(&address.to_string(), SILENT_CLIENTS, &ClientScript::new(""));
    tokio::time::sleep(CROWD_TIME).await;
    assert_ordinary_served(&cluster).await;
    let status = cluster.read_operator_api(DAEMON, "/status").await;
    assert!(status.is_object(), "operators are answered: {status}");
    assert_within_memory(&cluster);
    let descriptors = open_descriptors(&cluster);
    let threads = figure(&cluster, "Threads");
    println!("{descriptors} descriptors, {threads} threads");
    assert!(descriptors <= CONNECTIONS as usize * 2 + OTHER_DESCRIPTORS, "{descriptors} are open");
    assert!(threads as usize <= CONNECTIONS as usize + OTHER_THREADS, "{threads} threads run");
    crowd.leave().await;
    assert_ordinary_served(&cluster).await;
}
