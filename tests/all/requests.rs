//! Requests under failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_testkit::{
    CALLER_KEY, CallReply, CallerCall, Cluster, FaultMode, FleetConfig, expected_token,
};
use hyper::Method;
use rstest::rstest;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::support::{nine_daemons, nine_daemons_with_fleet, pause, serving_cluster, zones};

/// Requests a streamed response with a number of tokens.
pub async fn stream(address: SocketAddr, prompt: &str, tokens: u32) -> CallReply {
    let messages = json!([{"role": "user", "content": prompt}]);
    let body = json!({"model": "m", "stream": true, "max_tokens": tokens, "messages": messages});
    CallerCall::new(Method::POST, "/v1/chat/completions", CALLER_KEY)
        .with_body(&body.to_string())
        .with_timeout(Duration::from_secs(60))
        .send(address)
        .await
}

pub fn is_expected_answer(reply: &CallReply, prompt: &str, count: u32) -> bool {
    let messages = json!([{"role": "user", "content": prompt}]).to_string();
    let (tokens, done) = reply.tokens();
    let expected: Vec<String> = (0..count).map(|n| expected_token(&messages, n)).collect();
    done && reply.complete && tokens == expected
}

async fn hold(address: SocketAddr, key: &str) -> CallReply {
    CallerCall::new(Method::POST, "/holds/7", CALLER_KEY)
        .with_header("idempotency-key", key)
        .with_body("{}")
        .with_timeout(Duration::from_secs(10))
        .send(address)
        .await
}

/// 400 concurrent streams through one daemon get the response to their prompt, token by token.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_400_at_once() {
    let cluster = serving_cluster(nine_daemons(), 6).await;
    let address = cluster.caller_address("a1");
    let streams: Vec<_> = (0..400)
        .map(|number| {
            tokio::spawn(async move {
                let prompt = format!("prompt {number}");
                let reply = stream(address, &prompt, 200).await;
                (is_expected_answer(&reply, &prompt, 200), reply)
            })
        })
        .collect();
    for task in streams {
        let (is_expected, reply) = task.await.expect("the stream's task ends");
        assert!(
            is_expected,
            "status {} {:?}",
            reply.status,
            &reply.body[..reply.body.len().min(300)]
        );
        assert!(
            reply.chunk_times.len() > 50,
            "tokens were received in {} chunks",
            reply.chunk_times.len()
        );
    }
}

/// A member is killed while it streams, and callers get complete responses. This also holds on a
/// daemon that has just started and loses more streams at once than its retry budget covers.
#[rstest]
#[case::few(12)]
#[case::many(60)]
#[tokio::test(flavor = "multi_thread")]
async fn stream_member_killed(#[case] count: u32) {
    let cluster = serving_cluster(nine_daemons(), 3).await;
    let address = cluster.caller_address("a1");
    let streams: Vec<_> = (0..count)
        .map(|number| {
            tokio::spawn(async move {
                let prompt = format!("prompt {number}");
                let reply = stream(address, &prompt, 300).await;
                (is_expected_answer(&reply, &prompt, 300), reply)
            })
        })
        .collect();
    pause(500).await;
    let replicas = cluster.serving_replicas("a1", "drafts").await;
    let local_replica =
        replicas.iter().find(|(zone, _)| zone == "a").expect("zone a has a serving replica");
    cluster.fleet().kill(&NodeId::from(local_replica.1[1].as_str()));
    for task in streams {
        let (is_expected, reply) = task.await.expect("the stream's task ends");
        let tail = reply.body.len().saturating_sub(300);
        assert!(is_expected, "status {} ... {}", reply.status, &reply.body[tail..]);
    }
}

/// Starts streams through a daemon.
fn start_streams(
    address: SocketAddr,
    count: u32,
    tokens: u32,
) -> Vec<JoinHandle<(bool, CallReply)>> {
    (0..count)
        .map(|number| {
            tokio::spawn(async move {
                let prompt = format!("prompt {number}");
                let reply = stream(address, &prompt, tokens).await;
                (is_expected_answer(&reply, &prompt, tokens), reply)
            })
        })
        .collect()
}

/// Waits for streams and checks that all are whole.
async fn check_streams(streams: Vec<JoinHandle<(bool, CallReply)>>) {
    for task in streams {
        let (is_expected, reply) = task.await.expect("the stream's task ends");
        let tail = reply.body.len().saturating_sub(300);
        assert!(is_expected, "status {} ... {}", reply.status, &reply.body[tail..]);
    }
}

/// All nodes are silent for longer than the lease and continue as if nothing had happened.
///
/// Guards against giving up all replicas, and their streams with them, for a silence alone.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_all_nodes_paused() {
    let cluster = serving_cluster(nine_daemons(), 3).await;
    let before = cluster.serving_replicas("a1", "drafts").await;
    let streams = start_streams(cluster.caller_address("a1"), 12, 300);
    pause(500).await;
    let nodes = cluster.fleet().model_nodes();
    nodes.iter().for_each(|node| cluster.fleet().pause(node));
    pause(2000).await;
    nodes.iter().for_each(|node| cluster.fleet().resume(node));
    check_streams(streams).await;
    assert!(cluster.wait_serving("a1", "drafts", 3).await);
    assert_eq!(cluster.serving_replicas("a1", "drafts").await, before, "{}", cluster.log("a0"));
}

/// The daemon that relays streams is suspended for longer than the lease.
///
/// Guards against taking the nodes for lost whose answers the daemon has not read meanwhile.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_daemon_paused() {
    let cluster = serving_cluster(nine_daemons(), 3).await;
    let streams = start_streams(cluster.caller_address("a1"), 12, 300);
    pause(500).await;
    cluster.pause("a1");
    pause(1500).await;
    cluster.resume("a1");
    check_streams(streams).await;
}

/// A member is silent for good while the other nodes answer, and its replica is replaced.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_member_paused() {
    let cluster = serving_cluster(nine_daemons(), 3).await;
    let replicas = cluster.serving_replicas("a1", "drafts").await;
    let local = replicas.iter().find(|(zone, _)| zone == "a").expect("zone a has a replica");
    let streams = start_streams(cluster.caller_address("a1"), 12, 300);
    pause(500).await;
    let member = NodeId::from(local.1[1].as_str());
    cluster.fleet().pause(&member);
    cluster.fleet().pause(&NodeId::from(local.1[0].as_str()));
    check_streams(streams).await;
    assert!(cluster.wait_serving("a1", "drafts", 3).await);
    let after = cluster.serving_replicas("a1", "drafts").await;
    assert!(after.iter().all(|(_, members)| !members.contains(&member.to_string())), "{after:?}");
}

/// Streams that arrive while the leases of all replicas have expired are served once the nodes answer
/// again.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_sent_while_nodes_paused() {
    let cluster = serving_cluster(nine_daemons(), 3).await;
    let nodes = cluster.fleet().model_nodes();
    nodes.iter().for_each(|node| cluster.fleet().pause(node));
    pause(1200).await;
    let streams = start_streams(cluster.caller_address("a1"), 40, 20);
    pause(800).await;
    nodes.iter().for_each(|node| cluster.fleet().resume(node));
    check_streams(streams).await;
}

/// The only replica of a group loses a member, and its streams continue on the replacement.
///
/// Guards against ending streams at once because no upstream accepts requests while one is loading.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_only_replica_lost() {
    let cluster = serving_cluster(nine_daemons(), 1).await;
    let (zone, members) = cluster.serving_replicas("a0", "drafts").await.remove(0);
    let streams = start_streams(cluster.caller_address(&format!("{zone}1")), 12, 300);
    pause(500).await;
    cluster.fleet().kill(&NodeId::from(members[1].as_str()));
    check_streams(streams).await;
}

/// Replies to holds by idempotency key.
type HoldReplies = BTreeMap<String, Vec<CallReply>>;

/// Task that sends a hold and returns its key and the replies.
type HoldTask = JoinHandle<(String, Vec<CallReply>)>;

/// Sends holds, waits for them and adds their replies.
async fn send_holds(cluster: &Cluster, from: u32, count: u32, hold_replies: &mut HoldReplies) {
    finish_holds(start_holds(cluster, from, count), hold_replies).await;
}

/// Starts tasks that send a hold each. A hold is resent through another daemon until it is
/// confirmed, up to 6 times in all.
fn start_holds(cluster: &Cluster, from: u32, count: u32) -> Vec<HoldTask> {
    let ids: Vec<String> = cluster.ids().into_iter().filter(|id| cluster.is_running(id)).collect();
    (from..from + count)
        .map(|number| {
            let addresses: Vec<SocketAddr> =
                ids.iter().map(|id| cluster.caller_address(id)).collect();
            tokio::spawn(async move {
                let key = format!("hold-{number}");
                let mut replies = Vec::new();
                for attempt in 0..6 {
                    let address = addresses[(number as usize * 7 + attempt * 4) % addresses.len()];
                    let reply = hold(address, &key).await;
                    let done = reply.status == 200 && reply.complete;
                    replies.push(reply);
                    if done {
                        break;
                    }
                    pause(200).await;
                }
                (key, replies)
            })
        })
        .collect()
}

async fn finish_holds(tasks: Vec<HoldTask>, hold_replies: &mut HoldReplies) {
    for task in tasks {
        let (key, replies) = task.await.expect("the hold's task ends");
        hold_replies.entry(key).or_default().extend(replies);
    }
}

/// Compares the replies with the executions and returns the number of confirmed holds.
fn check_holds(cluster: &Cluster, hold_replies: &HoldReplies) -> usize {
    let counts = cluster.fleet().history().counts();
    let mut confirmed = 0;
    for (key, replies) in hold_replies {
        let runs = counts.get(key).copied().unwrap_or(0);
        assert!(runs <= 1, "{key} ran {runs} times: {replies:?}");
        let answers: Vec<&CallReply> = replies.iter().filter(|reply| reply.status == 200).collect();
        for answer in &answers {
            assert!(answer.body.contains(key.as_str()), "{key} got {}", answer.body);
            assert_eq!(answer.body, answers[0].body, "{key} got two answers");
        }
        if !answers.is_empty() {
            confirmed += 1;
            assert_eq!(runs, 1, "{key} was confirmed but did not run");
        }
        let never = replies.iter().all(|reply| reply.ran() == "not_run");
        assert!(!never || runs == 0, "{key} ran although all replies said not run: {replies:?}");
    }
    confirmed
}

/// Holds run at most once while a daemon is killed, one is paused and a zone is partitioned.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_under_faults() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    pause(2000).await;
    let mut hold_replies = HoldReplies::new();
    send_holds(&cluster, 0, 40, &mut hold_replies).await;
    assert_eq!(check_holds(&cluster, &hold_replies), 40, "without faults all holds are confirmed");
    cluster.kill("b1");
    send_holds(&cluster, 100, 40, &mut hold_replies).await;
    cluster.pause("a2");
    send_holds(&cluster, 200, 20, &mut hold_replies).await;
    cluster.resume("a2");
    let zone = zones().remove(2);
    cluster.set_zone_links(&zone, FaultMode::Blackhole);
    send_holds(&cluster, 300, 40, &mut hold_replies).await;
    cluster.set_zone_links(&zone, FaultMode::Pass);
    cluster.restart("b1");
    cluster.wait_ready().await;
    pause(2000).await;
    send_holds(&cluster, 400, 40, &mut hold_replies).await;
    let confirmed = check_holds(&cluster, &hold_replies);
    assert!(confirmed >= 150, "only {confirmed} of 180 holds were confirmed");
}

/// Maximum number of polls until a hold has started to run.
const MAX_POLLS: usize = 1000;

/// A daemon is killed while holds that it sent are running, so that their answers are lost. The
/// callers resend them through other daemons, and no hold runs twice.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_answer_lost() {
    let slow = FleetConfig::new(&zones(), 1, 1).with_service_delay(Duration::from_millis(400));
    let mut cluster = Cluster::start(nine_daemons_with_fleet(slow));
    cluster.wait_ready().await;
    pause(2000).await;
    let mut hold_replies = HoldReplies::new();
    let running = start_holds(&cluster, 0, 60);
    pause(250).await;
    // On a busy machine, the first hold starts later. Each hold runs for 400 ms.
    for _ in 0..MAX_POLLS {
        if !cluster.fleet().history().counts().is_empty() {
            break;
        }
        pause(10).await;
    }
    let ran = cluster.fleet().history().counts().len();
    cluster.kill("b1");
    finish_holds(running, &mut hold_replies).await;
    check_holds(&cluster, &hold_replies);
    assert!(ran > 0, "no hold was running when its daemon was killed");
}

/// Holds of different guests that have the same content arrive at one daemon at once. Each has a
/// key of its own, and all are confirmed at the first try.
///
/// Guards against running such holds one after the other, and refusing those that waited for 2 s.
#[rstest]
#[case::many(Duration::from_millis(400), 12)]
#[case::slow(Duration::from_millis(2500), 3)]
#[tokio::test(flavor = "multi_thread")]
async fn hold_beside_equal_holds(#[case] service_delay: Duration, #[case] count: usize) {
    let slow = FleetConfig::new(&zones(), 1, 1).with_service_delay(service_delay);
    let cluster = Cluster::start(nine_daemons_with_fleet(slow));
    cluster.wait_ready().await;
    pause(2000).await;
    let address = cluster.caller_address("a0");
    let keys: Vec<String> = (0..count).map(|number| format!("guest-{number}")).collect();
    let replies = futures_util::future::join_all(keys.iter().map(|key| hold(address, key))).await;
    let refused: Vec<_> = replies.iter().filter(|reply| reply.status != 200).collect();
    assert!(refused.is_empty(), "{} refused: {refused:?}\n{}", refused.len(), cluster.log("a0"));
    let hold_replies = keys.into_iter().zip(replies.into_iter().map(|reply| vec![reply])).collect();
    assert_eq!(check_holds(&cluster, &hold_replies), count);
}

/// Election timeout, in milliseconds, with which a log has no leader for the first seconds.
const LONG_ELECTION_MS: u64 = 4_000;

/// A hold arrives while the first leader is being elected, with time to wait for it.
///
/// Guards against taking a daemon that hears from the others for one that is cut off from them, and
/// refusing its holds although a leader emerges within half of their time.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_during_first_election() {
    let timing = json!({"probe_ms": 150, "digest_ms": 150, "lease_ms": 900,
        "election_ms": LONG_ELECTION_MS, "authority_ms": 800, "platform_ms": 500,
        "balancer_ms": 300, "drain_ms": 10_000});
    let cluster = Cluster::start(nine_daemons().with_timing(timing));
    cluster.wait_ready().await;
    pause(1000).await;
    let holds = cluster.ids().into_iter().map(async |id| {
        CallerCall::new(Method::POST, "/holds/7", CALLER_KEY)
            .with_header("idempotency-key", &format!("first-{id}"))
            .with_header("x-hollowbarrow-deadline-ms", "40000")
            .with_body("{}")
            .with_timeout(Duration::from_secs(45))
            .send(cluster.caller_address(&id))
            .await
    });
    for reply in futures_util::future::join_all(holds).await {
        assert_eq!(reply.status, 200, "after {:?}: {}", reply.total, reply.body);
    }
}

/// The local service node is lost, and those of other zones fall silent for a moment. Holds wait for
/// one of them.
///
/// Guards against refusing a hold at once although service nodes were reported a moment ago: only
/// nodes of the local zone were waited for.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_while_remote_services_silent() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    pause(2000).await;
    let (local, remote): (Vec<_>, Vec<_>) = cluster
        .fleet()
        .service_nodes()
        .into_iter()
        .partition(|node| cluster.fleet().zone(node).as_ref() == Some(&zones()[0]));
    local.iter().for_each(|node| cluster.fleet().kill(node));
    pause(500).await;
    remote.iter().for_each(|node| cluster.fleet().pause(node));
    pause(1500).await;
    let address = cluster.caller_address("a0");
    let holding = tokio::spawn(async move { hold(address, "waits").await });
    pause(300).await;
    remote.iter().for_each(|node| cluster.fleet().resume(node));
    let reply = holding.await.expect("the hold's task ends");
    assert_eq!(reply.status, 200, "after {:?}: {}", reply.total, reply.body);
}

/// Lease of the nodes, in milliseconds, where a test pauses all of them. They are given up after
/// several leases.
const LONG_LEASE_MS: u64 = 2_000;
/// Number of holds of equal content that wait for an upstream at once.
const WAITING_HOLDS: usize = 6;

/// Holds of equal content arrive at one daemon while the leases of all nodes have expired. Nothing
/// of them is sent, and all are refused as soon as the wait for an upstream ends.
///
/// Guards against a hold that waits for an upstream in the place of the first duplicate: the others
/// waited for it one after the other, and for longer, and were refused because of it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_beside_equal_holds_without_upstream() {
    let timing = json!({"probe_ms": 150, "digest_ms": 150, "lease_ms": LONG_LEASE_MS,
        "election_ms": 400, "authority_ms": 800, "platform_ms": 500, "balancer_ms": 300,
        "drain_ms": 10_000});
    let cluster = Cluster::start(nine_daemons().with_timing(timing));
    cluster.wait_ready().await;
    pause(2000).await;
    let fleet = cluster.fleet();
    for node in fleet.model_nodes().iter().chain(&fleet.service_nodes()) {
        fleet.pause(node);
    }
    pause(LONG_LEASE_MS + 200).await;
    let address = cluster.caller_address("a0");
    let keys: Vec<String> = (0..WAITING_HOLDS).map(|number| format!("guest-{number}")).collect();
    let replies = futures_util::future::join_all(keys.iter().map(|key| hold(address, key))).await;
    for reply in replies {
        assert_eq!((reply.code().as_str(), reply.ran().as_str()), ("no_upstream", "not_run"));
    }
}

/// The leader of the claims log is killed between two batches of holds.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_leader_killed() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    pause(2000).await;
    let mut hold_replies = HoldReplies::new();
    send_holds(&cluster, 0, 10, &mut hold_replies).await;
    let leader = cluster.read_operator_api("a0", "/status").await["claims_leader"]
        .as_str()
        .map(str::to_owned);
    let leader = leader.expect("the claims log has a leader");
    cluster.kill(&leader);
    send_holds(&cluster, 100, 40, &mut hold_replies).await;
    cluster.restart(&leader);
    cluster.wait_ready().await;
    send_holds(&cluster, 200, 20, &mut hold_replies).await;
    let confirmed = check_holds(&cluster, &hold_replies);
    assert!(confirmed >= 60, "only {confirmed} of 70 holds were confirmed");
}

/// Messages between daemons take longer than the first wait for a claim's outcome.
///
/// Guards against refusing holds whose claim is granted, by dropping an answer that is on its way.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_over_slow_links() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    pause(2000).await;
    cluster.set_all_links(FaultMode::Delay(Duration::from_millis(250)));
    pause(4000).await;
    let mut hold_replies = HoldReplies::new();
    send_holds(&cluster, 0, 20, &mut hold_replies).await;
    assert_eq!(check_holds(&cluster, &hold_replies), 20, "{hold_replies:?}");
}

/// A hold that is refused as not run can be resent at once through the leader of the claims log.
///
/// Guards against answering the caller before the release of its claim is recorded: the resent hold
/// was refused because the first one seemed to be in progress.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_resent_after_refusal() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    pause(2000).await;
    let status = cluster.read_operator_api("a0", "/status").await;
    let leader = status["claims_leader"].as_str().map(str::to_owned);
    let leader = leader.expect("the claims log has a leader");
    cluster.set_all_links(FaultMode::Delay(Duration::from_millis(50)));
    let services = cluster.fleet().service_nodes();
    services.iter().for_each(|node| cluster.fleet().kill(node));
    pause(2000).await;
    for number in 0..5 {
        let key = format!("refused-{number}");
        let refused = hold(cluster.caller_address("a1"), &key).await;
        assert_eq!((refused.status, refused.ran().as_str()), (503, "not_run"), "{}", refused.body);
        let again = hold(cluster.caller_address(&leader), &key).await;
        assert_eq!((again.status, again.ran().as_str()), (503, "not_run"), "{}", again.body);
    }
}

/// A hold that is resent through another daemon gets the stored answer. Another request with the
/// same key is refused.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_resent_elsewhere() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    pause(2000).await;
    let first = hold(cluster.caller_address("a0"), "family").await;
    assert_eq!(first.status, 200, "{}", first.body);
    for id in cluster.ids() {
        let again = hold(cluster.caller_address(&id), "family").await;
        assert_eq!((again.status, &again.body), (200, &first.body), "through {id}");
    }
    let other = CallerCall::new(Method::POST, "/holds/8", CALLER_KEY)
        .with_header("idempotency-key", "family")
        .send(cluster.caller_address("b0"))
        .await;
    assert_eq!((other.status, other.code().as_str()), (422, "key_reused"));
    assert_eq!(cluster.fleet().history().counts().get("family"), Some(&1));
}

/// A daemon that gets `SIGTERM` completes its streams and exits with code 0, and the other daemons
/// continue to accept changes.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_gracefully() {
    let mut cluster = serving_cluster(nine_daemons(), 3).await;
    let address = cluster.caller_address("a0");
    let streaming = tokio::spawn(async move { stream(address, "long", 400).await });
    pause(300).await;
    let code = cluster.stop("a0").await;
    let reply = streaming.await.expect("the stream's task ends");
    assert!(is_expected_answer(&reply, "long", 400), "{}", reply.body.len());
    assert_eq!(code, Some(0));
    let again = cluster.submit_change("b0", "after", &crate::support::group("drafts", 3)).await;
    assert_eq!(again.status, 200, "{}", again.body);
}

/// Requests with invalid keys, paths, models, bodies or headers are refused with their error code
/// and do not run.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn refuse_bad_requests() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let address = cluster.caller_address("a0");
    // Before a daemon has received state from a leader, it cannot know that a model does not exist.
    assert_eq!(request_until(address, 404).await, 404, "{}", cluster.log("a0"));
    let post = |path: &str, key: &str| CallerCall::new(Method::POST, path, key);
    let chat = "/v1/chat/completions";
    let cases = [
        (post(chat, "wrong").with_body("{}"), 401, "bad_key"),
        (post("/nowhere", CALLER_KEY), 404, "no_such_path"),
        (post(chat, CALLER_KEY).with_body("{"), 400, "bad_request"),
        (post(chat, CALLER_KEY).with_body("{\"model\":\"m\"}"), 400, "bad_request"),
        (
            post(chat, CALLER_KEY).with_body("{\"model\":\"x\",\"prompt\":\"p\"}"),
            404,
            "model_not_found",
        ),
        (
            post("/holds/1", CALLER_KEY).with_header("x-hollowbarrow-priority", "now"),
            400,
            "bad_request",
        ),
        (
            post("/holds/1", CALLER_KEY).with_header("x-hollowbarrow-deadline-ms", "0"),
            400,
            "bad_request",
        ),
    ];
    for (call, status, code) in cases {
        let reply = call.send(address).await;
        assert_eq!((reply.status, reply.code().as_str()), (status, code), "{}", reply.body);
        assert_eq!(reply.ran(), "not_run");
    }
    assert!(cluster.fleet().history().to_vec().is_empty(), "a refused request ran");
}

/// Requests a model from a daemon until it answers with a status, and returns the last status.
async fn request_until(address: SocketAddr, expected_status: u16) -> u16 {
    let mut status = 0;
    for _ in 0..200 {
        let call = CallerCall::new(Method::POST, "/v1/chat/completions", CALLER_KEY);
        let reply = call.with_body("{\"model\":\"m\",\"prompt\":\"p\"}").send(address).await;
        status = reply.status;
        if status == expected_status {
            break;
        }
        pause(50).await;
    }
    status
}

/// A partitioned daemon refuses an unknown model with 503, since a group for it can have been
/// accepted.
///
/// Guards against a daemon that treats its local log as current and answers 404 for as long as the
/// partition lasts.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unknown_model_at_partitioned_daemon() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let address = cluster.caller_address("a2");
    assert_eq!(request_until(address, 404).await, 404, "the model has no group");
    cluster.set_daemon_links("a2", FaultMode::Blackhole);
    let reply = cluster.submit_change("b0", "put group", &crate::support::group("drafts", 1)).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(
        request_until(address, 503).await,
        503,
        "a partitioned daemon must not answer 404: {}",
        cluster.log("a2")
    );
}
