//! Replacement of voters of entry daemons whose disks were lost, in both logs.

use std::time::Duration;

use hollowbarrow_testkit::{CALLER_KEY, CallReply, CallerCall, Cluster, FaultMode, join_all};
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
/// Interval between two reads of a status.
const POLL_MS: u64 = 50;

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
        // A daemon that has not applied an entry since its start does not know the fault yet.
        let known = status["applied"].as_u64() > Some(0) && !status["confirmed_ms"].is_null();
        if known && status["fault"].is_string() == expected {
            return Ok(started.elapsed());
        }
        if started.elapsed() > RECOVERY_TIMEOUT {
            return Err(status);
        }
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
    assert_eq!(change.status, 200, "{}; {counts:?}; {}", change.body, cluster.log("c0"));
    let held = wait_hold(&cluster, "b1", "after").await;
    println!("a hold is confirmed after {:?}: {held}", lost.elapsed());
    assert!(held, "no hold is confirmed; {counts:?}; {}", cluster.log("c0"));
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
