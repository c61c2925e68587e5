//! Gateways that lose their paths to all workers, while callers, controllers and other gateways
//! reach them.
//!
//! Guards against callers of such a gateway being served less often than those of the others.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use tokio::time::Instant;

use crate::system::{CONTROLLERS, KEY, Layout, Signal};
use crate::worker::Worker;
use crate::{
    Deployment, RETRY_BUDGET_REQUESTS, complete_stream, deploy_fronted, wait_for_replicas,
};

/// Time after which an isolated gateway must serve its callers like the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of each kind that are sent to an isolated gateway.
const REQUESTS: usize = 12;
/// Pause between two requests of a kind. Five streams are in progress at a time, fewer than a gateway's
/// share of the replicas' slots.
const PAUSE: Duration = Duration::from_millis(150);
/// Time after which a caller leaves a stream, which takes over a second at slow workers.
const LEAVE_AFTER: Duration = Duration::from_millis(500);
/// Time within which a worker must notice that a caller has left.
const LEAVING_NOTICED: Duration = Duration::from_millis(500);
/// Time that a worker takes for a request that may run only once.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Streams in progress while all connections are lost, few enough for any of the replicas.
const STREAMS_AT_LOSS: usize = 3;
/// Time for which a sound worker is silent.
const SILENCE: Duration = Duration::from_secs(1);

/// How the connections of an isolated gateway to workers fail.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// All packets vanish.
    Silent,
    /// Open connections are closed, and new ones hang.
    Closed,
    /// Open connections are closed; new ones are closed once accepted for a moment, and then hang.
    ClosedThenSilent,
    /// Open connections continue, and new ones hang.
    OpenOnesContinue,
}

/// Isolates a gateway from all workers.
async fn isolate(deployment: &Deployment, gateway: usize, loss: Loss) {
    let mode = match loss {
        Loss::Silent => FaultMode::Unreachable,
        Loss::Closed => FaultMode::Severed,
        Loss::ClosedThenSilent => {
            deployment.set_worker_links(gateway, FaultMode::Disconnect);
            tokio::time::sleep(Duration::from_millis(50)).await;
            FaultMode::Unreachable
        }
        Loss::OpenOnesContinue => FaultMode::NoNewConnections,
    };
    deployment.set_worker_links(gateway, mode);
}

impl Deployment {
    /// Returns whether a gateway reports that it reaches no worker of a service itself.
    async fn is_isolated(&self, gateway: usize) -> bool {
        self.system.metric(CONTROLLERS + gateway, "gateway_isolated").await == Some(1)
    }
}

/// Sends requests of both kinds to a gateway, and returns how many are served.
async fn count_served(deployment: &Deployment, gateway: usize, name: &str) -> usize {
    count_served_of(deployment, gateway, name, &["chat", "hold"]).await
}

/// Sends requests for streams to a gateway, and returns how many are served.
async fn count_streams(deployment: &Deployment, gateway: usize, name: &str) -> usize {
    count_served_of(deployment, gateway, name, &["chat"]).await
}

async fn count_served_of(
    deployment: &Deployment,
    gateway: usize,
    name: &str,
    kinds: &[&str],
) -> usize {
    let system = &deployment.system;
    let calls = (0..REQUESTS).flat_map(|number| kinds.iter().map(move |kind| (number, *kind)));
    let calls = calls.map(|(number, kind)| async move {
        tokio::time::sleep(PAUSE * number as u32).await;
        // Requests with the same path would be duplicates of each other.
        let path = format!("/{kind}/{name}-{number}");
        let id = format!("{name}-{kind}-{number}");
        let answer = system.call(gateway, &path, &id, Some(KEY)).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                println!("{id}: {error}");
                return false;
            }
        };
        if answer.status() != 200 {
            println!("{id}: {answer:?}");
        }
        if kind == "chat" && answer.status() == 200 {
            assert_eq!(String::from_utf8_lossy(answer.body()), complete_stream());
        }
        answer.status() == 200
    });
    let served = hollowbarrow_testkit::join_all(calls.collect::<Vec<_>>()).await;
    served.into_iter().filter(|served| *served).count()
}

async fn start(block: u8) -> Deployment {
    let deployment = deploy_fronted(block, Layout::zoned_behind_proxies()).await;
    let system = &deployment.system;
    system.call_until_served("/chat/1", "warm").await;
    wait_for_replicas(&deployment, 2).await;
    deployment
}

#[rstest]
#[case::silent(230, Loss::Silent)]
#[case::closed(231, Loss::Closed)]
#[case::open_ones_continue(232, Loss::OpenOnesContinue)]
#[case::closed_then_silent(243, Loss::ClosedThenSilent)]
#[tokio::test]
async fn callers_of_isolated_gateway_served(#[case] block: u8, #[case] loss: Loss) {
    let deployment = start(block).await;
    // Requests before the loss leave connections behind, which are lost with the paths.
    let served = count_served(&deployment, 0, "before").await;
    assert_eq!(served, 2 * REQUESTS, "{}", deployment.system.logs());
    isolate(&deployment, 0, loss).await;
    count_served(&deployment, 0, "at-once").await;
    tokio::time::sleep(CONTACT_TIME).await;
    let served = count_served(&deployment, 0, "isolated").await;
    assert_eq!(served, 2 * REQUESTS, "{}", deployment.system.logs());
}

/// Two of three gateways are isolated, so that only one can reach workers.
#[rstest]
#[tokio::test]
async fn callers_served_while_most_gateways_isolated() {
    let deployment = start(233).await;
    isolate(&deployment, 0, Loss::Silent).await;
    isolate(&deployment, 1, Loss::Silent).await;
    count_served(&deployment, 0, "at-once-0").await;
    count_served(&deployment, 1, "at-once-1").await;
    tokio::time::sleep(CONTACT_TIME).await;
    for gateway in 0..3 {
        let served = count_served(&deployment, gateway, &format!("isolated-{gateway}")).await;
        assert_eq!(served, 2 * REQUESTS, "gateway {gateway}: {}", deployment.system.logs());
    }
}

/// A peer that carries streams is asked to stop, or is killed, while they are in progress.
#[rstest]
#[case::stopped(234, Signal::Terminate)]
#[case::killed(235, Signal::Kill)]
#[tokio::test]
async fn streams_complete_without_their_peer(#[case] block: u8, #[case] signal: Signal) {
    let deployment = start(block).await;
    isolate(&deployment, 0, Loss::Silent).await;
    count_served(&deployment, 0, "at-once").await;
    tokio::time::sleep(CONTACT_TIME).await;
    let ending = async {
        // Some streams are carried by either of the two peers by then.
        tokio::time::sleep(PAUSE * (REQUESTS as u32 / 2)).await;
        deployment.system.signal(CONTROLLERS + 1, signal);
    };
    let (served, ()) = tokio::join!(count_streams(&deployment, 0, "isolated"), ending);
    assert_eq!(served, REQUESTS, "{}", deployment.system.logs());
}

/// A caller leaves while a peer carries its stream.
///
/// Guards against a worker that runs on for a caller that has left.
#[rstest]
#[tokio::test]
async fn worker_notices_caller_leaving_through_peer() {
    let deployment = start(236).await;
    isolate(&deployment, 0, Loss::Silent).await;
    count_streams(&deployment, 0, "at-once").await;
    tokio::time::sleep(CONTACT_TIME).await;
    assert!(deployment.is_isolated(0).await, "{}", deployment.system.logs());
    deployment.engines.iter().for_each(|engine| engine.set_slow());
    let call = deployment.system.call(0, "/chat/leaving", "leaving", Some(KEY));
    let answer = tokio::time::timeout(LEAVE_AFTER, call).await;
    assert!(answer.is_err(), "the stream has ended: {answer:?}");
    let left = Instant::now();
    assert_eq!(deployment.fleet.runs("leaving"), 1, "{}", deployment.system.logs());
    tokio::time::sleep(LEAVING_NOTICED).await;
    let noticed = deployment.fleet.unfinished_at("leaving");
    let noticed = noticed.unwrap_or_else(|| panic!("still runs: {}", deployment.system.logs()));
    assert!(noticed.duration_since(left) < LEAVING_NOTICED, "{:?}", noticed - left);
}

/// A peer that carries requests that may run only once is killed while they run.
///
/// Guards against such a request being sent again, or being refused as not run although it ran.
#[rstest]
#[tokio::test]
async fn request_run_once_without_its_peer() {
    let deployment = start(237).await;
    let system = &deployment.system;
    isolate(&deployment, 0, Loss::Silent).await;
    count_served(&deployment, 0, "at-once").await;
    tokio::time::sleep(CONTACT_TIME).await;
    assert!(deployment.is_isolated(0).await, "{}", system.logs());
    deployment.plain.set_service_time(SERVICE_TIME);
    let calls = (0..REQUESTS).map(|number| async move {
        tokio::time::sleep(PAUSE * number as u32).await;
        let (path, id) = (format!("/hold/once-{number}"), format!("once-{number}"));
        let answer = system.call(0, &path, &id, Some(KEY)).await;
        (id, answer.map(|answer| answer.status().as_u16()))
    });
    let ending = async {
        // The peer carries a request at that moment, unless the other one carries all of them.
        tokio::time::sleep(PAUSE * (REQUESTS as u32 / 2) + SERVICE_TIME / 2).await;
        system.signal(CONTROLLERS + 1, Signal::Kill);
    };
    let (answers, ()) =
        tokio::join!(hollowbarrow_testkit::join_all(calls.collect::<Vec<_>>()), ending);
    for (id, status) in &answers {
        let runs = deployment.fleet.runs(id);
        assert!(runs <= 1, "{id} ran {runs} times: {}", system.logs());
        let refused = matches!(status, Ok(408 | 421 | 429 | 503));
        assert!(!(refused && runs > 0), "{id} ran and was refused: {}", system.logs());
    }
    // The requests whose peer was killed are lost, at most those in progress at that moment.
    let served = answers.iter().filter(|(_, status)| matches!(status, Ok(200))).count();
    let in_progress = SERVICE_TIME.div_duration_f64(PAUSE).ceil() as usize;
    assert!(served + in_progress >= REQUESTS, "{answers:?}: {}", system.logs());
}

/// A worker stays silent for a second and goes on, while the other workers answer.
///
/// Guards against a gateway that takes the silence of workers for the loss of its own path.
#[rstest]
#[tokio::test]
async fn gateways_not_isolated_by_silent_worker() {
    let deployment = start(238).await;
    let head = deployment.engines.iter().find(|engine| engine.is_open_head());
    let head = head.expect("a replica is open");
    let set_silent = |mode| {
        for gateway in 0..3 {
            head.set_source_mode(deployment.system.source(CONTROLLERS + gateway), mode);
        }
    };
    let silence = async {
        tokio::time::sleep(PAUSE).await;
        set_silent(FaultMode::Unreachable);
        tokio::time::sleep(SILENCE).await;
        set_silent(FaultMode::Pass);
    };
    let (served, ()) = tokio::join!(count_streams(&deployment, 0, "beside-silence"), silence);
    let logs = deployment.system.logs();
    assert_eq!(served, REQUESTS, "{logs}");
    assert!(!logs.contains("event=isolated"), "a gateway took the loss for its own: {logs}");
}

/// Guards against a gateway that is isolated before it knows enough peers, and is told of others only
/// seconds later.
#[rstest]
#[tokio::test]
async fn callers_served_when_isolated_soon_after_start() {
    let deployment = start(239).await;
    isolate(&deployment, 0, Loss::Silent).await;
    count_served(&deployment, 0, "at-once").await;
    tokio::time::sleep(CONTACT_TIME).await;
    let served = count_served(&deployment, 0, "isolated").await;
    assert_eq!(served, 2 * REQUESTS, "{}", deployment.system.logs());
}

/// Two gateways lose their paths to the workers of one service, the third those to the workers of the
/// other service.
///
/// Guards against a gateway that carries no tunnels to workers that it reaches.
#[rstest]
#[tokio::test]
async fn callers_served_while_each_gateway_lacks_a_service() {
    let deployment = start(240).await;
    let second = Worker::start(&deployment.fleet, "p1", "bookings", false);
    for gateway in [0, 1] {
        let source = deployment.system.source(CONTROLLERS + gateway);
        let cut = |engine: &Arc<Worker>| engine.set_source_mode(source, FaultMode::Unreachable);
        deployment.engines.iter().for_each(cut);
    }
    let source = deployment.system.source(CONTROLLERS + 2);
    for plain in [&deployment.plain, &second] {
        plain.set_source_mode(source, FaultMode::Unreachable);
    }
    for gateway in 0..3 {
        count_served(&deployment, gateway, &format!("at-once-{gateway}")).await;
    }
    tokio::time::sleep(CONTACT_TIME).await;
    for gateway in 0..3 {
        let served = count_served(&deployment, gateway, &format!("isolated-{gateway}")).await;
        assert_eq!(served, 2 * REQUESTS, "gateway {gateway}: {}", deployment.system.logs());
    }
}

/// All connections of a gateway to workers are closed while it streams, and new ones hang.
///
/// Guards against a stream that is resumed on an idle connection lost at the same moment.
#[rstest]
#[tokio::test]
async fn streams_complete_when_all_connections_close() {
    let deployment = start(241).await;
    // Leaves idle connections to the heads of both replicas behind.
    let served = count_streams(&deployment, 0, "before").await;
    assert_eq!(served, REQUESTS, "{}", deployment.system.logs());
    let system = &deployment.system;
    // The served requests raise the retry budget above what the streams use.
    for number in 0..2 * RETRY_BUDGET_REQUESTS {
        let id = format!("earning-{number}");
        system.call(0, "/hold/1", &id, Some(KEY)).await.expect("the gateway answers");
    }
    let calls = (0..STREAMS_AT_LOSS).map(|number| async move {
        let (path, id) = (format!("/chat/closed-{number}"), format!("closed-{number}"));
        let answer = system.call(0, &path, &id, Some(KEY)).await;
        answer.map(|answer| String::from_utf8_lossy(answer.body()).into_owned())
    });
    let loss = async {
        tokio::time::sleep(PAUSE).await;
        isolate(&deployment, 0, Loss::Closed).await;
    };
    let (answers, ()) =
        tokio::join!(hollowbarrow_testkit::join_all(calls.collect::<Vec<_>>()), loss);
    for answer in answers {
        assert_eq!(answer.ok(), Some(complete_stream()), "{}", system.logs());
    }
}

/// All idle connections of a gateway have been lost without a sign, and break when they are used.
///
/// Guards against attempts that use one such connection after the other until none may follow.
#[rstest]
#[tokio::test]
async fn streams_served_after_idle_connections_were_lost() {
    let deployment = start(242).await;
    let system = &deployment.system;
    let served = count_streams(&deployment, 0, "before").await;
    assert_eq!(served, REQUESTS, "{}", system.logs());
    // The served requests raise the retry budget above what the streams use.
    for number in 0..2 * RETRY_BUDGET_REQUESTS {
        let id = format!("earning-{number}");
        system.call(0, "/hold/1", &id, Some(KEY)).await.expect("the gateway answers");
    }
    deployment.set_worker_links(0, FaultMode::Stale);
    let served = count_streams(&deployment, 0, "stale").await;
    assert_eq!(served, REQUESTS, "{}", system.logs());
}
