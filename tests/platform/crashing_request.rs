//! Requests that crash the workers that run them.
//!
//! Guards against a request that crashes a new set of workers each time its caller sends it again.
//! Each gateway treated it as a new request with all attempts of its route: 36 workers crashed
//! under one request, two each time it was sent, and 16 of its sends reached workers more than
//! three seconds after the third crash. The gateways logged `sends=2 last="...: its connection
//! broke; ...: its connection broke"` with a new request id each time, always within the attempts
//! that the route allows.

use std::time::Duration;

use hollowbarrow_member::http::call_once;
use hollowbarrow_schema::{parse_content, release_path};
use hollowbarrow_testkit::FaultMode;
use http_body_util::Full;
use hyper::{Method, Request};
use rstest::rstest;

use crate::departures::{HELD_TIME, find_leader, set_links_from};
use crate::system::{CONTROLLERS, KEY, Layout, Signal, System};
use crate::worker::{CRASHING_BODY, Worker};
use crate::{Deployment, deploy_with, wait_for_replicas};

/// Engine workers in addition to those of every deployment: one more replica and its spares.
const MORE_ENGINES: usize = 6;
/// Number of replicas that all workers form.
const REPLICAS: usize = 4;
/// Number of workers that a request may crash before it is quarantined.
const MAX_CRASHES: u32 = 3;
/// Highest number of times that the request is sent before and after its quarantine.
const RETRIES: usize = 8;
/// Time after the third crash within which all gateways know of the quarantine.
const PROPAGATION_TIME: Duration = Duration::from_millis(1500);
/// Time limit of a release.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of times that the request is sent after its release, over some ten seconds.
const MAX_CALLS_AFTER_RELEASE: usize = 60;
/// Pause between two sends of the request.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Event between the third crash and the next send of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interlude {
    Nothing,
    /// All controllers are killed and started again.
    RestartControllers,
    /// Each gateway in turn is killed and started again.
    RestartGateways,
}

/// Starts a deployment with four replicas.
async fn deploy_replicas(block: u8) -> Deployment {
    deploy_replicas_with(block, Layout::plain()).await
}

async fn deploy_replicas_with(block: u8, layout: Layout) -> Deployment {
    let mut deployment = deploy_with(block, layout).await;
    for number in 0..MORE_ENGINES {
        let id = format!("more-{number}");
        let worker = Worker::start(&deployment.fleet, &id, "models", true);
        deployment.engines.push(worker);
    }
    deployment.system.call_until_served("/chat/1", "warm").await;
    wait_for_replicas(&deployment, REPLICAS).await;
    deployment
}

async fn call_crashing(system: &System, gateway: usize, id: &str) -> u16 {
    let answer = system.call_with_body(gateway, "/chat/1", id, Some(KEY), CRASHING_BODY).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

async fn run_interlude(interlude: Interlude, deployment: &mut Deployment) {
    let system = &mut deployment.system;
    match interlude {
        Interlude::Nothing => {}
        Interlude::RestartControllers => {
            (0..CONTROLLERS).for_each(|daemon| system.signal(daemon, Signal::Kill));
            for daemon in 0..CONTROLLERS {
                system.resume_or_restart(daemon, true).await;
            }
        }
        Interlude::RestartGateways => {
            for gateway in 0..system.gateways.len() {
                system.signal(CONTROLLERS + gateway, Signal::Kill);
                system.resume_or_restart(CONTROLLERS + gateway, true).await;
                tokio::time::sleep(PROPAGATION_TIME).await;
            }
        }
    }
    system.wait_ready().await;
}

#[rstest]
#[case::same_daemons(21, Interlude::Nothing)]
#[case::restarted_controllers(22, Interlude::RestartControllers)]
#[case::restarted_gateways(23, Interlude::RestartGateways)]
#[tokio::test]
async fn crashing_request_quarantined(#[case] block: u8, #[case] interlude: Interlude) {
    let mut deployment = deploy_replicas(block).await;
    let gateways = deployment.system.gateways.len();
    // The request is sent to the gateways in turn until it has crashed three workers.
    for number in 0..RETRIES {
        if deployment.fleet.crash_count() >= MAX_CRASHES {
            break;
        }
        call_crashing(&deployment.system, number % gateways, &format!("first-{number}")).await;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    let crashes = deployment.fleet.crash_count();
    run_interlude(interlude, &mut deployment).await;
    for number in 0..RETRIES {
        let system = &deployment.system;
        // Replicas are open each time, so that the request could run.
        system.call_until_served("/chat/1", &format!("other-{number}")).await;
        let id = format!("again-{number}");
        let status = call_crashing(system, number % gateways, &id).await;
        assert_eq!(deployment.fleet.runs(&id), 0, "{id} ran: {}", system.logs());
        assert_eq!(
            status,
            503,
            "the answer states that the request has not run: {}",
            system.logs()
        );
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    assert!(crashes <= MAX_CRASHES, "{crashes} workers crashed");
    assert_eq!(deployment.fleet.crash_count(), crashes);
}

/// Workers that crash at once while they run equal requests have another cause: the request is not
/// quarantined and is served once workers are available again.
#[rstest]
#[tokio::test]
async fn similar_requests_served_after_common_crash() {
    let deployment = deploy_replicas(24).await;
    let system = &deployment.system;
    let calls = futures_util::future::join_all((0..20).map(|number| {
        let id = format!("alike-{number}");
        async move { system.call(number % 2, "/chat/1", &id, Some(KEY)).await }
    }));
    let kill_heads = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let heads: Vec<_> = deployment.engines.iter().filter(|one| one.is_open_head()).collect();
        assert_eq!(heads.len(), REPLICAS);
        heads.iter().for_each(|head| head.kill());
    };
    tokio::join!(calls, kill_heads);
    for number in 0..REPLICAS {
        let id = format!("spare-{number}");
        Worker::start(&deployment.fleet, &id, "models", true);
    }
    system.call_until_served("/chat/1", "after").await;
}

/// Sends the request until it is quarantined everywhere; returns the digest of its content.
async fn quarantine(system: &System) -> String {
    let prefix = "event=request_held content=";
    for number in 0..RETRIES {
        call_crashing(system, 0, &format!("first-{number}")).await;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    let logs = system.logs();
    let content = logs.split(prefix).nth(1).map(|rest| &rest[..16]);
    content.unwrap_or_else(|| panic!("the request is not quarantined: {logs}")).to_owned()
}

/// An operator releases a quarantined request through any controller, and it runs again at any
/// gateway.
#[rstest]
#[case::first(37, 0)]
#[case::second(38, 1)]
#[case::third(39, 2)]
#[tokio::test]
async fn crashing_request_released(#[case] block: u8, #[case] controller: usize) {
    let deployment = deploy_replicas(block).await;
    let system = &deployment.system;
    let content = quarantine(system).await;
    let server = format!("http://{}", system.controllers[controller]);
    let crashes = deployment.fleet.crash_count();
    let release = tokio::task::spawn_blocking(move || {
        let program = env!("CARGO_BIN_EXE_hollowbarrow");
        let arguments = ["release", &content, "--server", &server];
        std::process::Command::new(program)
            .args(arguments)
            .output()
            .expect("the command can be started")
    });
    let output = release.await.expect("the command task does not panic");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    tokio::time::sleep(PROPAGATION_TIME).await;
    system.call_until_served("/chat/1", "other").await;
    call_crashing(system, 1, "again").await;
    assert!(deployment.fleet.runs("again") > 0, "{}", system.logs());
    assert!(deployment.fleet.crash_count() > crashes);
}

/// Guards against a release that was acknowledged and is lost with the leader: only its own memory had
/// it, and the request stayed quarantined.
#[rstest]
#[tokio::test]
async fn release_kept_after_lost_leader() {
    let mut deployment = deploy_replicas_with(128, Layout::zoned_behind_proxies()).await;
    let content = quarantine(&deployment.system).await;
    let leader = find_leader(&deployment.system).await;
    set_links_from(&deployment.system, leader, FaultMode::Blackhole);
    let address = deployment.system.controllers[leader].clone();
    let mut release = tokio::spawn(async move {
        let digest = parse_content(&content).expect("the log has the digest");
        let request = Request::builder()
            .method(Method::POST)
            .uri(release_path(digest))
            .header("host", &address)
            .body(Full::default())
            .expect("the request is valid");
        call_once(&address, request, RELEASE_TIMEOUT).await
    });
    let answer = match tokio::time::timeout(HELD_TIME, &mut release).await {
        Ok(answer) => answer,
        Err(_) => {
            set_links_from(&deployment.system, leader, FaultMode::Pass);
            release.await
        }
    };
    deployment.system.kill_controller(leader);
    set_links_from(&deployment.system, leader, FaultMode::Stale);
    let answer = answer.expect("the call ends").expect("the release is answered");
    assert!(answer.status().is_success(), "{}", deployment.system.logs());
    for number in 0..MAX_CALLS_AFTER_RELEASE {
        let id = format!("released-{number}");
        call_crashing(&deployment.system, 1, &id).await;
        if deployment.fleet.runs(&id) > 0 {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    panic!("the request stays quarantined: {}", deployment.system.logs());
}
