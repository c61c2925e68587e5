//! Accepted configuration changes under races, resends, partitions, restarts and lost disks.

use hollowbarrow_testkit::{Cluster, FaultMode, join_all};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{group, nine_daemons, pause};

async fn revision(cluster: &Cluster, id: &str, name: &str) -> Option<u64> {
    let groups = cluster.read_operator_api(id, "/groups").await;
    let found = groups.as_array().into_iter().flatten().find(|g| g["spec"]["name"] == name);
    found.and_then(|group| group["revision"].as_u64())
}

async fn wait_revision(cluster: &Cluster, id: &str, name: &str, expected: u64) -> bool {
    for _ in 0..400 {
        if revision(cluster, id, name).await == Some(expected) {
            return true;
        }
        pause(50).await;
    }
    false
}

fn accepted_revision(reply: &hollowbarrow_testkit::CallReply) -> u64 {
    let value: Value = serde_json::from_str(&reply.body).unwrap_or_default();
    value["accepted"].as_u64().unwrap_or_else(|| panic!("not accepted: {}", reply.body))
}

/// Of concurrent changes with the same base revision, one is accepted. The others get a conflict
/// with the accepted change.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn change_race() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let base = accepted_revision(&cluster.submit_change("a0", "first", &group("drafts", 0)).await);
    let racers = ["a0", "b1", "c2", "b0", "c0"].map(|id| {
        let body = json!({"id": format!("race {id}"), "author": "", "base": base,
            "command": group("drafts", 0)});
        (id, body)
    });
    let mut replies = Vec::new();
    for (id, body) in &racers {
        replies.push(cluster.call_operator_api(id, Method::POST, "/changes", body));
    }
    let replies = join_all(replies).await;
    let winners = replies.iter().filter(|reply| reply.status == 200).count();
    let losers: Vec<Value> = replies
        .iter()
        .filter(|reply| reply.status == 409)
        .map(|reply| serde_json::from_str(&reply.body).expect("a conflict is JSON"))
        .collect();
    assert_eq!((winners, losers.len()), (1, 4), "{replies:?}");
    for loser in losers {
        assert_eq!(loser["conflict"]["wanted"], base);
        assert!(loser["conflict"]["found"].as_u64() > Some(base));
        assert!(loser["conflict"]["theirs"]["put_group"].is_object(), "{loser}");
    }
}

/// A resent change gets the outcome of the first one, also from a new leader.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn change_resent_after_leader_killed() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let first = accepted_revision(&cluster.submit_change("b1", "once", &group("drafts", 0)).await);
    accepted_revision(&cluster.submit_change("b1", "twice", &group("drafts", 1)).await);
    let leader =
        cluster.read_operator_api("b1", "/status").await["leader"].as_str().map(str::to_owned);
    cluster.kill(&leader.expect("the cluster has a leader"));
    let again = accepted_revision(&cluster.submit_change("b2", "once", &group("drafts", 0)).await);
    assert_eq!(first, again, "the resent change was accepted as a new one");
}

/// Accepted changes survive a kill of all daemons and are restored from the disks.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn restart_all_daemons() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let mut last = 0;
    for number in 0..20 {
        let reply = cluster.submit_change("a1", &format!("c{number}"), &group("drafts", 0)).await;
        last = accepted_revision(&reply);
    }
    for id in cluster.ids() {
        cluster.kill(&id);
    }
    for id in cluster.ids() {
        cluster.restart(&id);
    }
    cluster.wait_ready().await;
    for id in cluster.ids() {
        assert!(wait_revision(&cluster, &id, "drafts", last).await, "{id}: {}", cluster.log(&id));
    }
}

/// A leader behind a network partition accepts no change and reports that its state is stale. No
/// daemon returns to an older revision when the partition heals.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_leader() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let first =
        accepted_revision(&cluster.submit_change("a1", "before", &group("drafts", 0)).await);
    for id in cluster.ids() {
        assert!(wait_revision(&cluster, &id, "drafts", first).await);
    }
    let leader =
        cluster.read_operator_api("a1", "/status").await["leader"].as_str().map(str::to_owned);
    let leader = leader.expect("the cluster has a leader");
    let other =
        cluster.ids().into_iter().find(|id| *id != leader).expect("the cluster has nine daemons");
    cluster.set_daemon_links(&leader, FaultMode::Blackhole);
    let lost = json!({"id": "lost", "author": "", "command": group("drafts", 1)});
    let reply = cluster.call_operator_api(&leader, Method::POST, "/changes", &lost).await;
    assert_ne!(reply.status, 200, "a leader without a majority accepted a change");
    let after =
        accepted_revision(&cluster.submit_change(&other, "after", &group("drafts", 0)).await);
    let status = cluster.read_operator_api(&leader, "/status").await;
    assert!(status["confirmed_ms"].as_u64() > Some(1500), "{status}");
    cluster.set_daemon_links(&leader, FaultMode::Pass);
    for id in cluster.ids() {
        let mut seen = 0;
        for _ in 0..400 {
            let now = revision(&cluster, &id, "drafts").await.unwrap_or(0);
            assert!(now >= seen, "{id} went from revision {seen} back to {now}");
            seen = now;
            if seen >= after {
                break;
            }
            pause(50).await;
        }
        assert!(seen >= after, "{id} is at revision {seen}, expected {after}");
    }
}

/// A voter that lost its disk reports the fault and does not vote. To replace it by itself clears
/// the fault.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn replace_voter_with_lost_disk() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let before =
        accepted_revision(&cluster.submit_change("a1", "before", &group("drafts", 0)).await);
    cluster.kill("c0");
    let data = cluster.data_folder("c0").expect("c0 has a disk").to_owned();
    std::fs::remove_dir_all(&data).expect("the data folder can be removed");
    cluster.restart("c0");
    cluster.wait_ready().await;
    assert!(
        wait_revision(&cluster, "c0", "drafts", before).await,
        "the voter must still follow the leader"
    );
    let status = cluster.read_operator_api("c0", "/status").await;
    assert!(status["fault"].as_str().is_some_and(|f| f.contains("replace this voter")), "{status}");
    let change = json!({"remove": "c0", "add": "c0"});
    let mut replaced = cluster.call_operator_api("a1", Method::POST, "/voters", &change).await;
    for _ in 0..20 {
        if replaced.status == 200 {
            break;
        }
        pause(300).await;
        replaced = cluster.call_operator_api("a1", Method::POST, "/voters", &change).await;
    }
    assert_eq!(replaced.status, 200, "{}", replaced.body);
    let mut fault = json!("not read yet");
    for _ in 0..100 {
        fault = cluster.read_operator_api("c0", "/status").await["fault"].clone();
        if fault.is_null() {
            break;
        }
        pause(100).await;
    }
    assert!(fault.is_null(), "{fault}");
    cluster.kill("a0");
    accepted_revision(&cluster.submit_change("b1", "after", &group("drafts", 0)).await);
}

/// A change of voters with an unknown daemon is refused, and the fault has the field's name.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn change_unknown_voter() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let reply = cluster
        .call_operator_api("a0", Method::POST, "/voters", &json!({"remove": "nobody"}))
        .await;
    let fault: Value = serde_json::from_str(&reply.body).unwrap_or_default();
    assert_eq!((reply.status, &fault["faults"][0]["field"]), (422, &json!("remove")), "{fault}");
}

/// Corrupted, duplicated, truncated and reordered bytes between daemons lose no accepted change.
#[rstest]
#[case::damage(FaultMode::Corrupt)]
#[case::repeat(FaultMode::Duplicate)]
#[case::truncate(FaultMode::Truncate)]
#[case::reorder(FaultMode::Reorder)]
#[tokio::test(flavor = "multi_thread")]
async fn change_over_bad_links(#[case] mode: FaultMode) {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    cluster.set_all_links(mode);
    let mut last = 0;
    for number in 0..10 {
        let reply = cluster.submit_change("b2", &format!("c{number}"), &group("drafts", 0)).await;
        last = accepted_revision(&reply);
    }
    cluster.set_all_links(FaultMode::Pass);
    for id in cluster.ids() {
        assert!(wait_revision(&cluster, &id, "drafts", last).await, "{id}: {}", cluster.log(&id));
    }
}
