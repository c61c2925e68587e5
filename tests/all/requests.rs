//! Requests under failure, with real processes.

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

use crate::support::{nine_daemons, nine_daemons_before, pause, serving_cluster, zones};

/// Streams an answer of some tokens.
pub async fn stream(address: SocketAddr, prompt: &str, tokens: u32) -> CallReply {
    let messages = json!([{"role": "user", "content": prompt}]);
    let body = json!({"model": "m", "stream": true, "max_tokens": tokens, "messages": messages});
    CallerCall::new(Method::POST, "/v1/chat/completions", CALLER_KEY)
        .with_body(&body.to_string())
        .with_timeout(Duration::from_secs(60))
        .send(address)
        .await
}

fn is_own_whole_answer(reply: &CallReply, prompt: &str, count: u32) -> bool {
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

/// Four hundred streams at once through one daemon, each with its own answer, token by token.
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
                (is_own_whole_answer(&reply, &prompt, 200), reply)
            })
        })
        .collect();
    for task in streams {
        let (own, reply) = task.await.expect("the stream's task ends");
        assert!(own, "status {} {:?}", reply.status, &reply.body[..reply.body.len().min(300)]);
        assert!(reply.chunk_times.len() > 50, "tokens came in {} pieces", reply.chunk_times.len());
    }
}

/// A member is killed mid-stream; the caller sees one unbroken answer, also where a daemon that has
/// just started loses more streams at once than its budget of retries has saved up.
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
                (is_own_whole_answer(&reply, &prompt, 300), reply)
            })
        })
        .collect();
    pause(500).await;
    let replicas = cluster.serving_replicas("a1", "drafts").await;
    let own = replicas.iter().find(|(zone, _)| zone == "a").expect("zone a serves");
    cluster.fleet().kill(&NodeId::from(own.1[1].as_str()));
    for task in streams {
        let (own, reply) = task.await.expect("the stream's task ends");
        let tail = reply.body.len().saturating_sub(300);
        assert!(own, "status {} ... {}", reply.status, &reply.body[tail..]);
    }
}

/// What callers were told about holds, by key.
type Told = BTreeMap<String, Vec<CallReply>>;

/// A hold on its way: its key and what its caller was told.
type HoldTask = tokio::task::JoinHandle<(String, Vec<CallReply>)>;

/// Sends holds and waits for them.
async fn send_holds(cluster: &Cluster, from: u32, count: u32, told: &mut Told) {
    finish_holds(start_holds(cluster, from, count), told).await;
}

/// Sends holds, resending each through another daemon until the answer is final.
fn start_holds(cluster: &Cluster, from: u32, count: u32) -> Vec<HoldTask> {
    let ids: Vec<String> = cluster.ids().into_iter().filter(|id| cluster.is_running(id)).collect();
    (from..from + count)
        .map(|number| {
            let doors: Vec<SocketAddr> = ids.iter().map(|id| cluster.caller_address(id)).collect();
            tokio::spawn(async move {
                let key = format!("hold-{number}");
                let mut replies = Vec::new();
                for attempt in 0..6 {
                    let door = doors[(number as usize * 7 + attempt * 4) % doors.len()];
                    let reply = hold(door, &key).await;
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

async fn finish_holds(tasks: Vec<HoldTask>, told: &mut Told) {
    for task in tasks {
        let (key, replies) = task.await.expect("the hold's task ends");
        told.entry(key).or_default().extend(replies);
    }
}

/// Holds each reply against what ran.
fn check_holds(cluster: &Cluster, told: &Told) -> usize {
    let counts = cluster.fleet().history().counts();
    let mut confirmed = 0;
    for (key, replies) in told {
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

/// Holds while a daemon is killed, one is paused and a zone is cut off.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_under_faults() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    pause(2000).await;
    let mut told = Told::new();
    send_holds(&cluster, 0, 40, &mut told).await;
    assert_eq!(check_holds(&cluster, &told), 40, "without faults all are confirmed");
    cluster.kill("b1");
    send_holds(&cluster, 100, 40, &mut told).await;
    cluster.pause("a2");
    send_holds(&cluster, 200, 20, &mut told).await;
    cluster.resume("a2");
    let zone = zones().remove(2);
    cluster.set_zone_links(&zone, FaultMode::Blackhole);
    send_holds(&cluster, 300, 40, &mut told).await;
    cluster.set_zone_links(&zone, FaultMode::Pass);
    cluster.restart("b1");
    cluster.wait_ready().await;
    pause(2000).await;
    send_holds(&cluster, 400, 40, &mut told).await;
    let confirmed = check_holds(&cluster, &told);
    assert!(confirmed >= 150, "only {confirmed} of 180 holds were confirmed");
}

/// Looks at whether a hold runs, before the test fails.
const MOST_LOOKS: usize = 1000;

/// A daemon is killed while holds that it sent are running, so that their answers are lost; their
/// callers ask again elsewhere, and nothing runs twice.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_answer_lost() {
    let slow = FleetConfig::new(&zones(), 1, 1).with_service_delay(Duration::from_millis(400));
    let mut cluster = Cluster::start(nine_daemons_before(slow));
    cluster.wait_ready().await;
    pause(2000).await;
    let mut told = Told::new();
    let running = start_holds(&cluster, 0, 60);
    pause(250).await;
    // On a busy machine it takes longer until the first one runs; each then takes 400 ms.
    for _ in 0..MOST_LOOKS {
        if !cluster.fleet().history().counts().is_empty() {
            break;
        }
        pause(10).await;
    }
    let ran = cluster.fleet().history().counts().len();
    cluster.kill("b1");
    finish_holds(running, &mut told).await;
    check_holds(&cluster, &told);
    assert!(ran > 0, "no hold was running when its daemon was killed");
}

/// The claims' leader is killed while holds run.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hold_leader_killed() {
    let mut cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    pause(2000).await;
    let mut told = Told::new();
    send_holds(&cluster, 0, 10, &mut told).await;
    let leader = cluster.read_operator_api("a0", "/status").await["claims_leader"]
        .as_str()
        .map(str::to_owned);
    let leader = leader.expect("the claims have a leader");
    cluster.kill(&leader);
    send_holds(&cluster, 100, 40, &mut told).await;
    cluster.restart(&leader);
    cluster.wait_ready().await;
    send_holds(&cluster, 200, 20, &mut told).await;
    let confirmed = check_holds(&cluster, &told);
    assert!(confirmed >= 60, "only {confirmed} of 70 holds were confirmed");
}

/// A resent hold through another daemon gets the first one's answer, and another body is refused.
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

/// A daemon told to stop turns its readiness off, ends its streams and exits 0.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_planned() {
    let mut cluster = serving_cluster(nine_daemons(), 3).await;
    let address = cluster.caller_address("a0");
    let streaming = tokio::spawn(async move { stream(address, "long", 400).await });
    pause(300).await;
    let code = cluster.stop("a0").await;
    let reply = streaming.await.expect("the stream's task ends");
    assert!(is_own_whole_answer(&reply, "long", 400), "{}", reply.body.len());
    assert_eq!(code, Some(0));
    let again = cluster.submit_change("b0", "after", &crate::support::group("drafts", 3)).await;
    assert_eq!(again.status, 200, "{}", again.body);
}

/// Wrong keys, paths, models and bodies are refused, each with its code, and have not run.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn refuse_bad_requests() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let address = cluster.caller_address("a0");
    // Until it has heard a leader, it cannot know that a model does not exist.
    assert_eq!(ask_until(address, 404).await, 404, "{}", cluster.log("a0"));
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

/// Asks a daemon for a model until it answers with a status; the last status.
async fn ask_until(address: SocketAddr, wanted: u16) -> u16 {
    let mut status = 0;
    for _ in 0..200 {
        let call = CallerCall::new(Method::POST, "/v1/chat/completions", CALLER_KEY);
        let reply = call.with_body("{\"model\":\"m\",\"prompt\":\"p\"}").send(address).await;
        status = reply.status;
        if status == wanted {
            break;
        }
        pause(50).await;
    }
    status
}

/// A daemon that was cut off from the others refused a model with 404 for as long as the cut lasted,
/// although a group for it had been accepted: it took its own log for the newest.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unknown_model_at_cut_daemon() {
    let cluster = Cluster::start(nine_daemons());
    cluster.wait_ready().await;
    let address = cluster.caller_address("a2");
    assert_eq!(ask_until(address, 404).await, 404, "no group is for the model");
    cluster.set_daemon_links("a2", FaultMode::Blackhole);
    let reply = cluster.submit_change("b0", "put group", &crate::support::group("drafts", 1)).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(ask_until(address, 503).await, 503, "the daemon cannot know: {}", cluster.log("a2"));
}
