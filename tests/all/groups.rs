//! Groups of replicas under failures.

use hollowbarrow_schema::{NodeId, PlatformState};
use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use serde_json::json;

use crate::support::{nine_daemons, pause, serving_cluster, zones};

/// Two nodes of a replica are lost, the second one directly after the repair. No node accepts a
/// stale order.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn repair_second_loss() {
    let cluster = serving_cluster(nine_daemons(), 3).await;
    for _ in 0..2 {
        let (_, members) = cluster.serving_replicas("a0", "drafts").await.remove(0);
        cluster.fleet().kill(&NodeId::from(members[1].as_str()));
        pause(300).await;
        assert!(cluster.wait_serving("b1", "drafts", 3).await, "{}", cluster.log("a0"));
    }
    assert_eq!(
        cluster.fleet().stale_orders_accepted(),
        0,
        "a node that does not check epochs accepted a stale order"
    );
}

/// The other daemons repair a replica after a voter was killed, which can also be the leader and
/// the authority of its zone. After its restart, the daemon reports all replicas as serving.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn repair_without_voter() {
    let mut cluster = serving_cluster(nine_daemons(), 3).await;
    cluster.kill("a0");
    let replicas = cluster.serving_replicas("a1", "drafts").await;
    let (_, members) =
        replicas.into_iter().find(|(zone, _)| zone == "a").expect("a replica is in zone a");
    cluster.fleet().kill(&NodeId::from(members[0].as_str()));
    pause(300).await;
    assert!(cluster.wait_serving("a1", "drafts", 3).await, "{}", cluster.log("a1"));
    cluster.restart("a0");
    cluster.wait_ready().await;
    assert!(cluster.wait_serving("a0", "drafts", 3).await, "{}", cluster.log("a0"));
}

/// A partitioned zone continues to serve and repairs its replica.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn repair_partitioned_zone() {
    let cluster = serving_cluster(nine_daemons(), 3).await;
    let zone = zones().remove(2);
    cluster.set_zone_links(&zone, FaultMode::Blackhole);
    pause(1500).await;
    let mut local_replica = None;
    for _ in 0..100 {
        let replicas = cluster.serving_replicas("c1", "drafts").await;
        local_replica = replicas.into_iter().find(|(zone, _)| zone == "c");
        if local_replica.is_some() {
            break;
        }
        pause(50).await;
    }
    let (_, members) = local_replica.expect("zone c continues to serve");
    cluster.fleet().kill(&NodeId::from(members[2].as_str()));
    pause(300).await;
    let mut repaired = false;
    for _ in 0..200 {
        let replicas = cluster.serving_replicas("c1", "drafts").await;
        repaired = replicas.iter().any(|(zone, now)| zone == "c" && !now.contains(&members[2]));
        if repaired {
            break;
        }
        pause(100).await;
    }
    assert!(repaired, "zone c did not repair its replica: {}", cluster.log("c0"));
    cluster.set_zone_links(&zone, FaultMode::Pass);
    assert!(cluster.wait_serving("a0", "drafts", 3).await);
    assert_eq!(cluster.fleet().stale_orders_accepted(), 0);
}

/// A member that restarts with its state is not accepted under the old epoch.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn return_unchanged_member() {
    let cluster = serving_cluster(nine_daemons(), 1).await;
    let (_, members) = cluster.serving_replicas("a0", "drafts").await.remove(0);
    let member = NodeId::from(members[1].as_str());
    let before =
        cluster.read_operator_api("a0", "/explain/drafts").await["replicas"][0]["epoch"].clone();
    cluster.fleet().kill(&member);
    cluster.fleet().restart_with_state(&member);
    let mut after = before.clone();
    for _ in 0..200 {
        let replica =
            cluster.read_operator_api("a0", "/explain/drafts").await["replicas"][0].clone();
        if replica["state"] == "serving" && replica["epoch"] != before {
            after = replica["epoch"].clone();
            break;
        }
        pause(50).await;
    }
    assert_ne!(
        after, before,
        "the replica continues to serve under the epoch of the terminated process"
    );
}

/// A node that the platform lists as leaving is drained, and requests in flight complete.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn drain_leaving_node() {
    let cluster = serving_cluster(nine_daemons(), 1).await;
    let (_, members) = cluster.serving_replicas("a0", "drafts").await.remove(0);
    let address = cluster.caller_address("b0");
    let streaming =
        tokio::spawn(async move { crate::requests::stream(address, "long", 400).await });
    pause(300).await;
    cluster.fleet().set_listed_state(&NodeId::from(members[0].as_str()), PlatformState::Leaving);
    let reply = streaming.await.expect("the stream's task ends");
    let (tokens, done) = reply.tokens();
    assert!(done && tokens.len() == 400, "{} of 400 tokens received, done {done}", tokens.len());
    let mut moved = false;
    for _ in 0..200 {
        let replicas = cluster.serving_replicas("a0", "drafts").await;
        moved = replicas.len() == 1 && !replicas[0].1.contains(&members[0]);
        if moved {
            break;
        }
        pause(50).await;
    }
    assert!(moved, "the leaving node was not replaced: {}", cluster.log("a0"));
}

/// A node with another owner gets no orders.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn form_beside_foreign_owner() {
    let config = nine_daemons();
    let cluster = hollowbarrow_testkit::Cluster::start(config);
    cluster.wait_ready().await;
    for node in cluster.fleet().model_nodes().iter().filter(|node| node.contains("-d0-")) {
        cluster.fleet().set_owner(node, "other-half");
    }
    cluster.label_all_nodes().await;
    cluster.submit_change("a0", "put group", &crate::support::group("drafts", 6)).await;
    assert!(cluster.wait_serving("a0", "drafts", 3).await, "{}", cluster.log("a0"));
    pause(1000).await;
    assert_eq!(
        cluster.serving_count("a0", "drafts").await,
        3,
        "a node with another owner was used"
    );
    let nodes = cluster.fleet().node_states();
    let foreign = nodes.iter().filter(|(id, ..)| id.contains("-d0-"));
    assert!(
        foreign.into_iter().all(|(_, epoch, _)| **epoch == 0),
        "a node with another owner got an order"
    );
}

/// A node whose labels are removed is drained and released.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn release_unlabelled_node() {
    let cluster = serving_cluster(nine_daemons(), 1).await;
    let (_, members) = cluster.serving_replicas("a0", "drafts").await.remove(0);
    for member in &members {
        let command = json!({"change_labels": {"node": member, "remove": ["given"]}});
        cluster.submit_change("b1", &format!("take {member}"), &command).await;
    }
    let mut released = false;
    for _ in 0..300 {
        let states = cluster.fleet().node_states();
        let state_of =
            |name: &String| states.iter().find(|(id, ..)| **id == **name).map(|(.., s)| *s);
        released = members
            .iter()
            .all(|member| state_of(member) == Some(hollowbarrow_schema::NodeState::Idle));
        if released {
            break;
        }
        pause(50).await;
    }
    assert!(released, "the nodes were not released: {:?}", cluster.fleet().node_states());
    assert!(cluster.wait_serving("a0", "drafts", 1).await);
}
