//! Replacement of voters of entry daemons whose disks were lost, in both logs.

use std::process::Command;
use std::time::Duration;

use hollowbarrow_testkit::{
    CALLER_KEY, CallReply, CallerCall, Cluster, FaultMode, OPERATOR_KEY, join_all,
};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::support::{group, nine_daemons, pause};

/// Number of entries after which a daemon replaces a log's entries by a snapshot, and some more.
const SNAPSHOT_ENTRIES: usize = 4200;
/// Number of changes or requests that run at once.
const AT_ONCE: usize = 64;
/// Time within which a replaced voter must count, and the cluster serve after another loss.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a voter is down while it is replaced; the call waits longer.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Number of times that operators replace a voter at once.
const TRIALS: u32 = 5;
/// Number of calls whose answer is lost.
const LOST_ANSWERS: u32 = 8;
/// By how much later than the call before a daemon is killed during the next one.
const LOST_ANSWER_STEP: Duration = Duration::from_millis(6);
/// Delay of each message on the links of a voter that learns of its fault late.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(100);
/// Interval between two reads of a status.
const POLL_MS: u64 = 50;

/// Names of the logs of entry daemons.
const LOGS: [&str; 2] = ["config", "claims"];

/// Sends a request that must not run twice, and so needs the log of claims.
async fn hold(cluster: &Cluster, id: &str, key: &str) -> CallReply {
    CallerCall::new(Method::POST, "/holds/7", CALLER_KEY)
        .with_header("idempotency-key", key)
        .with_body(&json!({"key": key}).to_string())
        .with_timeout(Duration::from_secs(10))
        .send(cluster.caller_address(id))
        .await
}

/// Repeats a hold with new keys until it is confirmed; returns false on timeout.
async fn wait_hold(cluster: &Cluster, id: &str, key: &str) -> bool {
    let started = Instant::now();
    for number in 0.. {
        if hold(cluster, id, &format!("{key} {number}")).await.status == 200 {
            return true;
        }
        if started.elapsed() > RECOVERY_TIMEOUT {
            break;
        }
        pause(POLL_MS).await;
    }
    false
}

/// Appends entries to both logs, two for each hold in the log of claims.
async fn append_entries(cluster: &Cluster, id: &str, count: usize) {
    for first in (0..count).step_by(AT_ONCE) {
        let changes = (first..first + AT_ONCE).map(|number| {
            let body = json!({"id": format!("fill {number}"), "author": "",
                "command": group("filler", 0)});
            async move { cluster.call_operator_api(id, Method::POST, "/changes", &body).await }
        });
        let refused = join_all(changes.collect()).await.into_iter().find(|r| r.status != 200);
        assert!(refused.is_none(), "{refused:?}");
    }
    for first in (0..count / 2).step_by(AT_ONCE) {
        let holds = (first..first + AT_ONCE)
            .map(|number| async move { hold(cluster, id, &format!("fill {number}")).await });
        let refused = join_all(holds.collect()).await.into_iter().find(|r| r.status != 200);
        assert!(refused.is_none(), "{refused:?}");
    }
}

/// Empties a daemon's disk while it is down, and starts it again.
async fn lose_disk(cluster: &mut Cluster, id: &str) {
    cluster.kill(id);
    let data = cluster.data_folder(id).expect("the voter has a disk").to_owned();
    std::fs::remove_dir_all(&data).expect("the data folder can be removed");
    cluster.restart(id);
    cluster.wait_ready().await;
}

/// Waits until a daemon's status shows a fault, or none; returns the last status that was read.
async fn wait_fault(cluster: &Cluster, id: &str, expected: bool) -> Result<Duration, Value> {
    let started = Instant::now();
    loop {
        let status = cluster.read_operator_api(id, "/status").await;
        // A daemon that has heard of no leader since its start does not know the fault yet.
        let logs = status["logs"].as_array().into_iter().flatten();
        let known = logs.filter(|log| log["leader"].is_string()).count() == LOGS.len();
        if known && status["fault"].is_string() == expected {
            return Ok(started.elapsed());
        }
        if started.elapsed() > RECOVERY_TIMEOUT {
            return Err(status);
        }
        pause(POLL_MS).await;
    }
}

/// Returns the leader of a log, and which voters it counts.
async fn read_quorum(cluster: &Cluster, log: &str) -> Option<(String, Value)> {
    for id in ["a0", "b0", "c0"] {
        let status = cluster.read_operator_api(id, "/status").await;
        let logs = status["logs"].as_array().into_iter().flatten();
        let known = logs.filter(|known| known["log"] == log);
        if let Some(quorum) = known.map(|known| &known["quorum"]).find(|quorum| quorum.is_object())
        {
            return Some((id.to_owned(), quorum.clone()));
        }
    }
    None
}

/// Waits until the leaders of both logs count exactly these voters; returns the leaders.
async fn wait_quorums(cluster: &Cluster, expected: &Value) -> Vec<String> {
    let started = Instant::now();
    let mut leaders = Vec::new();
    for log in LOGS {
        loop {
            let quorum = read_quorum(cluster, log).await;
            if let Some((leader, _)) = quorum.as_ref().filter(|(_, found)| found == expected) {
                leaders.push(leader.clone());
                break;
            }
            assert!(started.elapsed() < RECOVERY_TIMEOUT, "{log}: {quorum:?}, not {expected}");
            pause(POLL_MS).await;
        }
    }
    leaders
}

/// Returns what a leader tells while all three voters count.
fn all_counted() -> Value {
    json!({"counted": 3, "uncounted": [], "losses_borne": 1})
}

/// Returns what a leader tells while the voter c0 answers and must not count.
fn one_uncounted() -> Value {
    json!({"counted": 2, "uncounted": ["c0"], "losses_borne": 0})
}

async fn read_metrics(cluster: &Cluster, id: &str) -> String {
    cluster.call_operator_api(id, Method::GET, "/metrics", &Value::Null).await.body
}

/// Waits until the metrics of a voter show its fault in both logs. A leader counts the voter out by
/// its first reply, before the entries from which the voter learns of its fault have arrived.
async fn wait_fault_metrics(cluster: &Cluster, id: &str) {
    let started = Instant::now();
    loop {
        let metrics = read_metrics(cluster, id).await;
        let shown = |log: &&str| {
            metrics.contains(&format!("hollowbarrow_log_voter_fault{{log=\"{log}\"}} 1\n"))
        };
        if LOGS.iter().all(shown) {
            return;
        }
        assert!(started.elapsed() < RECOVERY_TIMEOUT, "a fault is not in {metrics}");
        pause(POLL_MS).await;
    }
}

/// Replaces a voter by itself, and repeats that until it is answered with success.
async fn replace_voter(cluster: &Cluster, through: &str, voter: &str) -> CallReply {
    let change = json!({"remove": voter, "add": voter});
    let started = Instant::now();
    loop {
        let reply = cluster.call_operator_api(through, Method::POST, "/voters", &change).await;
        if reply.status == 200 || started.elapsed() > RECOVERY_TIMEOUT {
            return reply;
        }
        pause(POLL_MS).await;
    }
}

/// A voter whose disk was lost is cut off while it is removed and admitted, so that both changes
/// arrive together: as entries, or in a snapshot. Then another voter's disk is lost.
///
/// Guards against a voter that keeps its fault after its replacement was acknowledged, so that the
/// next lost disk leaves no majority, for configuration and for claims.
#[rstest]
#[case::entries(FaultMode::Blackhole, 0)]
#[case::snapshot(FaultMode::Disconnect, SNAPSHOT_ENTRIES)]
#[tokio::test(flavor = "multi_thread")]
async fn replaced_while_cut_off(#[case] cut: FaultMode, #[case] entries: usize) {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    assert_eq!(cluster.submit_change("a1", "before", &group("drafts", 0)).await.status, 200);
    assert!(wait_hold(&cluster, "a1", "before").await);
    lose_disk(&mut cluster, "c0").await;
    wait_fault(&cluster, "c0", true).await.expect("the fault is told");
    wait_quorums(&cluster, &one_uncounted()).await;
    cluster.set_daemon_links("c0", cut);
    let replaced = replace_voter(&cluster, "a1", "c0").await;
    assert_eq!(replaced.status, 200, "{}", replaced.body);
    append_entries(&cluster, "a1", entries).await;
    cluster.set_daemon_links("c0", FaultMode::Pass);
    let counts = wait_fault(&cluster, "c0", false).await;
    println!("c0 counts after {counts:?}");
    lose_disk(&mut cluster, "a0").await;
    let lost = Instant::now();
    let change = cluster.submit_change("b1", "after", &group("drafts", 0)).await;
    println!("a change is accepted after {:?}: {}", lost.elapsed(), change.status);
    let held = wait_hold(&cluster, "b1", "after").await;
    println!("a hold is confirmed after {:?}: {held}", lost.elapsed());
    let served = (change.status, held);
    assert_eq!(served, (200, true), "{}; {counts:?}; {}", change.body, cluster.log("c0"));
    counts.expect("a voter that was replaced has no fault");
}

/// A voter's disk is lost, the voter is replaced, and its new disk is lost too.
///
/// Guards against a voter that takes its former admission, which it reads again in the log, for one
/// of its new disk: it would count although it has forgotten its votes and entries.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_again_after_replacement() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    assert_eq!(cluster.submit_change("a1", "before", &group("drafts", 0)).await.status, 200);
    for number in 0..2 {
        lose_disk(&mut cluster, "c0").await;
        let told = wait_fault(&cluster, "c0", true).await;
        told.unwrap_or_else(|status| panic!("loss {number} is not told: {status}"));
        let replaced = replace_voter(&cluster, "a1", "c0").await;
        assert_eq!(replaced.status, 200, "{}", replaced.body);
        let counts = wait_fault(&cluster, "c0", false).await;
        counts.unwrap_or_else(|status| panic!("c0 does not count: {status}"));
    }
}

/// A voter is replaced while it is still down, with an empty disk. It comes back within the time of
/// the call.
///
/// Guards against a call that is refused because the voter does not follow the logs yet, and against
/// one that is answered with success and leaves the voter uncounted.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn replaced_before_return() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    wait_quorums(&cluster, &all_counted()).await;
    cluster.kill("c0");
    let data = cluster.data_folder("c0").expect("the voter has a disk").to_owned();
    std::fs::remove_dir_all(&data).expect("the data folder can be removed");
    let call = CallerCall::new(Method::POST, "/voters", OPERATOR_KEY)
        .with_body(&json!({"remove": "c0", "add": "c0"}).to_string())
        .with_timeout(RECOVERY_TIMEOUT);
    let address = cluster.operator_address("a1");
    let call = tokio::spawn(async move { call.send(address).await });
    tokio::time::sleep(DOWN_TIME).await;
    cluster.restart("c0");
    let reply = call.await.expect("the call's task ends");
    assert_eq!(reply.status, 200, "{}", reply.body);
    wait_quorums(&cluster, &all_counted()).await;
    wait_fault(&cluster, "c0", false).await.expect("c0 counts");
}

/// A voter whose disk was lost is removed; the other voters are restarted, so that others may lead;
/// then it is added.
///
/// Guards against leaders that wait for a daemon to which they send nothing: only voters are sent the
/// log of claims.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn added_after_leader_change() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    wait_quorums(&cluster, &all_counted()).await;
    lose_disk(&mut cluster, "c0").await;
    wait_quorums(&cluster, &one_uncounted()).await;
    let change = json!({"remove": "c0"});
    let removed = cluster.call_operator_api("a1", Method::POST, "/voters", &change).await;
    assert_eq!(removed.status, 200, "{}", removed.body);
    for id in ["a0", "b0"] {
        cluster.kill(id);
    }
    for id in ["a0", "b0"] {
        cluster.restart(id);
    }
    cluster.wait_ready().await;
    assert_eq!(cluster.submit_change("a1", "led", &group("drafts", 0)).await.status, 200);
    let change = json!({"add": "c0"});
    let added = cluster.call_operator_api("a1", Method::POST, "/voters", &change).await;
    assert_eq!(added.status, 200, "{}", added.body);
    wait_quorums(&cluster, &all_counted()).await;
}

/// Several operators replace the same voter through different daemons at once, itself included.
///
/// Guards against refusing a change because another one is not committed at that moment, and
/// against voters that differ between the logs afterwards.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn replaced_by_several_operators() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    wait_quorums(&cluster, &all_counted()).await;
    lose_disk(&mut cluster, "c0").await;
    wait_quorums(&cluster, &one_uncounted()).await;
    let change = json!({"remove": "c0", "add": "c0"});
    for _ in 0..TRIALS {
        let calls = ["a1", "b1", "a0", "b0", "c0"]
            .map(|id| cluster.call_operator_api(id, Method::POST, "/voters", &change));
        for reply in join_all(calls.into()).await {
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
        wait_quorums(&cluster, &all_counted()).await;
    }
}

/// The daemon through which a voter is replaced is killed during the call, at one moment after
/// another, and the operator sends the change again through another daemon.
///
/// Guards against a change that one log has taken and the other has not, and that cannot be sent
/// again.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn replaced_again_after_lost_answer() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    wait_quorums(&cluster, &all_counted()).await;
    lose_disk(&mut cluster, "c0").await;
    wait_quorums(&cluster, &one_uncounted()).await;
    let change = json!({"remove": "c0", "add": "c0"});
    for number in 0..LOST_ANSWERS {
        let call = cluster.call_operator_api("a1", Method::POST, "/voters", &change);
        let _ = tokio::time::timeout(LOST_ANSWER_STEP * number, call).await;
        cluster.kill("a1");
        let again = cluster.call_operator_api("b1", Method::POST, "/voters", &change).await;
        assert_eq!(again.status, 200, "after {:?}: {}", LOST_ANSWER_STEP * number, again.body);
        wait_quorums(&cluster, &all_counted()).await;
        cluster.restart("a1");
        cluster.wait_ready().await;
    }
}

/// A voter is to be replaced through a daemon that is cut off.
///
/// Guards against a call without an answer, and against one that changes voters although it fails.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn refused_through_cut_off_daemon() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    wait_quorums(&cluster, &all_counted()).await;
    cluster.set_daemon_links("a1", FaultMode::Blackhole);
    let change = json!({"remove": "c0"});
    let reply = cluster.call_operator_api("a1", Method::POST, "/voters", &change).await;
    assert_eq!(reply.status, 503, "{}", reply.body);
    cluster.set_daemon_links("a1", FaultMode::Pass);
    wait_quorums(&cluster, &all_counted()).await;
}

/// A voter's disk is lost, then replaced. Status and metrics of the leaders tell which voters count.
///
/// Guards against a deployment that bears no further loss without an operator being able to see it.
#[rstest]
#[case::prompt(FaultMode::Pass)]
#[case::slow_links(FaultMode::Delay(SLOW_LINK_DELAY))]
#[tokio::test(flavor = "multi_thread")]
async fn lost_disk_in_status_and_metrics(#[case] links: FaultMode) {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    wait_quorums(&cluster, &all_counted()).await;
    cluster.set_daemon_links("c0", links);
    lose_disk(&mut cluster, "c0").await;
    let leaders = wait_quorums(&cluster, &one_uncounted()).await;
    wait_fault_metrics(&cluster, "c0").await;
    for (log, leader) in LOGS.iter().zip(&leaders) {
        let metrics = read_metrics(&cluster, leader).await;
        for line in [
            format!("hollowbarrow_log_leads{{log=\"{log}\"}} 1\n"),
            format!("hollowbarrow_log_voters{{log=\"{log}\"}} 3\n"),
            format!("hollowbarrow_log_voters_counted{{log=\"{log}\"}} 2\n"),
            format!("hollowbarrow_log_voters_uncounted{{log=\"{log}\"}} 1\n"),
            format!("hollowbarrow_log_losses_borne{{log=\"{log}\"}} 0\n"),
        ] {
            assert!(metrics.contains(&line), "{line} is not in {metrics}");
        }
        let line = format!("Log of {log}: 2 of 3 voters count (c0 must not); 0 more may be lost.");
        let status = status_command(&cluster, leader);
        assert!(status.contains(&line), "{line} is not in {status}");
    }
    let replaced = replace_voter(&cluster, "a1", "c0").await;
    assert_eq!(replaced.status, 200, "{}", replaced.body);
    let leaders = wait_quorums(&cluster, &all_counted()).await;
    for (log, leader) in LOGS.iter().zip(&leaders) {
        let line = format!("Log of {log}: 3 of 3 voters count; 1 more may be lost.");
        let status = status_command(&cluster, leader);
        assert!(status.contains(&line), "{line} is not in {status}");
    }
}

/// Returns the output of `hollowbarrow status` for a daemon.
fn status_command(cluster: &Cluster, id: &str) -> String {
    let server = format!("http://{}", cluster.operator_address(id));
    let output = Command::new(env!("CARGO_BIN_EXE_hollowbarrow"))
        .args(["status", "--server", &server, "--key", OPERATOR_KEY])
        .output()
        .expect("the binary can be executed");
    String::from_utf8_lossy(&output.stdout).into_owned()
}
