//! End-to-end tests of real controller and gateway processes with stand-in workers of the platform.

mod backoff;
mod borne;
mod changes;
mod counted;
mod crashing_burst;
mod crashing_part;
mod crashing_request;
mod departures;
mod disturbance;
mod duplicates;
mod endless;
mod false_crashes;
mod first_start;
mod fleet;
mod foreign;
mod heads;
mod isolation;
mod late_confirmations;
mod limit;
mod limit_check;
mod losses;
mod lost_head;
mod lost_power;
mod notices;
mod observer;
mod publishing;
mod raw_worker;
mod readmission;
mod restarted_worker;
mod restored;
mod seeds;
mod silence;
mod slow_caller;
mod soak;
mod spares;
mod stale_gateway;
mod system;
mod unframed;
mod worker;

use std::sync::Arc;
use std::time::Duration;

use fleet::Fleet;
use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use system::{CONTROLLERS, KEY, Layout, System, configuration};
use worker::{EVENTS, Worker, event};

struct Deployment {
    system: System,
    fleet: Arc<Fleet>,
    engines: Vec<Arc<Worker>>,
    plain: Arc<Worker>,
}

async fn deploy(block: u8) -> Deployment {
    deploy_with(block, Layout::plain()).await
}

async fn deploy_with(block: u8, layout: Layout) -> Deployment {
    let system = System::start_with(block, layout);
    let fleet = Fleet::new(system.controllers.clone());
    deploy_workers(system, fleet).await
}

/// Deploys workers with a proxy in front of each.
async fn deploy_fronted(block: u8, layout: Layout) -> Deployment {
    let system = System::start_with(block, layout);
    let fleet = Fleet::with_fronts(system.controllers.clone());
    deploy_workers(system, fleet).await
}

async fn deploy_workers(system: System, fleet: Arc<Fleet>) -> Deployment {
    let engines: Vec<Arc<Worker>> =
        (0..9).map(|n| Worker::start(&fleet, &format!("e{n}"), "models", true)).collect();
    let plain = Worker::start(&fleet, "p0", "bookings", false);
    assert_eq!(system.replace(&configuration(3)).await, 200);
    system.wait_ready().await;
    Deployment { system, fleet, engines, plain }
}

impl Deployment {
    /// Sets the fault mode of a gateway's connections to all workers.
    fn set_worker_links(&self, gateway: usize, mode: FaultMode) {
        let source = self.system.source(CONTROLLERS + gateway);
        self.fleet.set_source_mode(source, mode);
    }
}

fn complete_stream() -> String {
    (1..=EVENTS).map(event).collect()
}

#[rstest]
#[tokio::test]
async fn serve_end_to_end() {
    let deployment = deploy(1).await;
    let system = &deployment.system;
    let body = system.call_until_served("/chat/1", "first").await;
    assert_eq!(String::from_utf8_lossy(&body), complete_stream());
    let body = system.call_until_served("/hold/1", "hold").await;
    let body = String::from_utf8_lossy(&body);
    assert!(body.starts_with("tenant family request hold-"), "{body}");
    let status = async |path: &str, key: Option<&str>| {
        let answer = system.call(0, path, "refused", key).await.expect("the gateway answers");
        answer.status().as_u16()
    };
    assert_eq!(status("/chat/1", Some("other")).await, 401);
    assert_eq!(status("/chat/1", None).await, 401);
    assert_eq!(status("/none/1", Some(KEY)).await, 404);
    assert_eq!(deployment.fleet.runs("refused"), 0);
    assert_eq!(system.fetch().await, configuration(3));
    let mut bad = configuration(4);
    bad["routes"][0]["timeout_ms"] = 0.into();
    assert_eq!(system.replace(&bad).await, 400);
    assert_eq!(system.replace(&configuration(2)).await, 200, "an older version changes nothing");
    assert_eq!(system.fetch().await, configuration(3));
    let logs = system.logs();
    assert!(!logs.contains("event=voters_proposed"), "no voter was lost: {logs}");
}

#[rstest]
#[tokio::test]
async fn metrics_report_requests_and_orders() {
    let deployment = deploy(5).await;
    let system = &deployment.system;
    system.call_until_served("/chat/1", "counted").await;
    system.call(0, "/none/1", "no-route", Some(KEY)).await.expect("the gateway answers");
    let gateways = system.metrics(3).await + &system.metrics(4).await;
    for line in [
        "hollowbarrow_gateway_requests{outcome=\"streamed\"} 1",
        "hollowbarrow_gateway_requests{outcome=\"no_route\"} 1",
        "hollowbarrow_gateway_event_gap_ms_count",
        "hollowbarrow_gateway_configuration_version 3",
    ] {
        assert!(gateways.contains(line), "{line} is not in {gateways}");
    }
    let mut controllers = String::new();
    for daemon in 0..system::CONTROLLERS {
        controllers += &system.metrics(daemon).await;
    }
    for line in [
        "hollowbarrow_controller_leads 1",
        "hollowbarrow_controller_voters 3",
        "hollowbarrow_controller_workers{state=\"ready\"} 10",
        "hollowbarrow_controller_orders{order=\"open\",outcome=\"begun\"}",
    ] {
        assert!(controllers.contains(line), "{line} is not in {controllers}");
    }
}

#[rstest]
#[tokio::test]
async fn stream_resumed_after_lost_member() {
    let deployment = deploy(2).await;
    let system = &deployment.system;
    system.call_until_served("/chat/1", "warm").await;
    let streams = futures_util::future::join_all((0..6).map(|n| {
        let id = format!("stream-{n}");
        async move { system.call(n % 2, "/chat/1", &id, Some(KEY)).await }
    }));
    let kill = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let member = deployment.engines.iter().find(|engine| {
            engine
                .membership()
                .is_some_and(|(name, state)| name.starts_with("serving") && state == "ready")
        });
        member.expect("a replica has members").kill();
    };
    let (answers, ()) = tokio::join!(streams, kill);
    for answer in answers {
        let answer = answer.unwrap_or_else(|error| panic!("{error}: {}", system.logs()));
        assert_eq!(answer.status().as_u16(), 200);
        assert_eq!(String::from_utf8_lossy(answer.body()), complete_stream());
    }
}

/// Guards against truncated streams after the head of their replica deregisters without a leaving
/// notice. The head serves on for two seconds, but controllers released the replica at once
/// (`event=replica_released reason="the head is lost"`) and ordered its members to leave, so that
/// streams stalled and some were truncated 1.2 s after the deregistration.
#[rstest]
#[tokio::test]
async fn stream_kept_at_deregistered_head() {
    let deployment = deploy(13).await;
    let system = &deployment.system;
    // With a spare worker, the remaining members can form another replica.
    let _spare = Worker::start(&deployment.fleet, "spare", "models", true);
    system.call_until_served("/chat/1", "warm").await;
    wait_for_replicas(&deployment, 3).await;
    deployment.engines.iter().for_each(|engine| engine.set_slow());
    let streams = futures_util::future::join_all((0..6).map(|n| {
        let id = format!("stream-{n}");
        async move { system.call(n % 2, "/chat/1", &id, Some(KEY)).await }
    }));
    let deregister = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        for engine in deployment.engines.iter().filter(|engine| engine.is_open_head()) {
            engine.deregister().await;
        }
    };
    let (answers, ()) = tokio::join!(streams, deregister);
    for answer in answers {
        let answer = answer.unwrap_or_else(|error| panic!("{error}: {}", system.logs()));
        assert_eq!(answer.status().as_u16(), 200);
        assert_eq!(String::from_utf8_lossy(answer.body()), complete_stream());
    }
    let logs = system.logs();
    assert!(!logs.contains("event=stream_resumed"), "a stream was resumed: {logs}");
}

/// Number of served requests after which the retry budget of a gateway permits more than two
/// retries. Each served request adds 0.15 of a retry.
const RETRY_BUDGET_REQUESTS: u32 = 20;

/// Guards against requests that exceed the attempts of their route. A send counted only once the
/// head of its answer had arrived, so six requests ran at three unresponsive workers each although
/// their route allows two attempts.
#[rstest]
#[tokio::test]
async fn attempts_bounded_at_unresponsive_workers() {
    let deployment = deploy(14).await;
    let system = &deployment.system;
    // With a spare worker a third replica can form.
    let spare = Worker::start(&deployment.fleet, "spare", "models", true);
    let mut bounded = configuration(4);
    bounded["routes"][0]["max_attempts"] = 2.into();
    assert_eq!(system.replace(&bounded).await, 200);
    system.call_until_served("/chat/1", "warm").await;
    wait_for_replicas(&deployment, 3).await;
    // The served requests raise the retry budget above what the request could use.
    for number in 0..RETRY_BUDGET_REQUESTS {
        let id = format!("earning-{number}");
        system.call(0, "/chat/1", &id, Some(KEY)).await.expect("the gateway answers");
    }
    deployment.engines.iter().chain([&spare]).for_each(|engine| engine.set_unresponsive());
    let answer =
        system.call(0, "/chat/1", "bounded", Some(KEY)).await.expect("the gateway answers");
    assert_eq!(deployment.fleet.runs("bounded"), 2, "{}", system.logs());
    let status = answer.status().as_u16();
    assert_eq!(
        status,
        504,
        "the gateway waits for the last attempt, which may have run: {}",
        system.logs()
    );
}

/// Guards against idempotent calls that wait at an unresponsive worker until their deadline: 98 of
/// 946 such calls failed while workers hung.
#[rstest]
#[tokio::test]
async fn call_served_beside_unresponsive_worker() {
    let deployment = deploy(15).await;
    let system = &deployment.system;
    let unresponsive = Worker::start(&deployment.fleet, "p1", "bookings", false);
    let mut repeatable = configuration(4);
    repeatable["routes"][1]["kind"] = "idempotent".into();
    repeatable["routes"][1]["max_attempts"] = 2.into();
    assert_eq!(system.replace(&repeatable).await, 200);
    system.call_until_served("/hold/1", "warm").await;
    // The budget is filled at the gateway called below, where each call may need a retry.
    for number in 0..2 * RETRY_BUDGET_REQUESTS {
        let id = format!("earning-{number}");
        system.call(0, "/hold/1", &id, Some(KEY)).await.expect("the gateway answers");
    }
    unresponsive.set_unresponsive();
    for number in 0..6 {
        let id = format!("hold-{number}");
        let answer = system.call(0, "/hold/1", &id, Some(KEY)).await.expect("the gateway answers");
        assert_eq!(answer.status().as_u16(), 200, "{}", system.logs());
    }
}

/// Waits until the given number of replicas is open.
async fn wait_for_replicas(deployment: &Deployment, expected: usize) {
    for _ in 0..600 {
        if deployment.engines.iter().filter(|engine| engine.is_open_head()).count() == expected {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{expected} replicas are not open: {}", deployment.system.logs());
}

#[rstest]
#[case::killed(3, false)]
#[case::wiped(4, true)]
#[tokio::test]
async fn replace_survives_lost_controllers(#[case] block: u8, #[case] wiped: bool) {
    let mut deployment = deploy(block).await;
    for (index, version) in [(0, 5), (1, 6), (2, 7)] {
        let system = &mut deployment.system;
        system.kill_controller(index);
        assert_eq!(system.replace(&configuration(version)).await, 200);
        system.restart_controller(index, wiped);
        assert_eq!(system.fetch().await, configuration(version));
        // Only one controller is lost at a time: the next one waits until this one is a voter
        // again.
        wait_for_voter(system, index).await;
    }
    deployment.system.call_until_served("/chat/1", "after").await;
}

/// Waits until a restarted controller is a voter again.
async fn wait_for_voter(system: &System, index: usize) {
    for _ in 0..600 {
        if system.is_voter(index) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("controller {index} is not a voter again: {}", system.logs());
}
