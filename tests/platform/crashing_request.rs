//! Requests that crash the workers that run them.
//!
//! Guards against a request that crashes a new set of workers each time its caller sends it again.
//! Each gateway treated it as a new request with all attempts of its route: 36 workers crashed
//! under one request, two each time it was sent, and 16 of its sends reached workers more than
//! three seconds after the third crash. The gateways logged `sends=2 last="...: its connection
//! broke; ...: its connection broke"` with a new request id each time, always within the attempts
//! that the route allows.

use std::time::Duration;

use rstest::rstest;

use crate::system::{CONTROLLERS, KEY, Signal, System};
use crate::worker::{CRASHING_BODY, Worker};
use crate::{Deployment, deploy, wait_for_replicas};

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
    let mut deployment = deploy(block).await;
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
    let prefix = "event=request_held content=";
    for number in 0..RETRIES {
        call_crashing(system, 0, &format!("first-{number}")).await;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    let logs = system.logs();
    let content = logs.split(prefix).nth(1).map(|rest| &rest[..16]);
    let content =
        content.unwrap_or_else(|| panic!("the request is not quarantined: {logs}")).to_owned();
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
