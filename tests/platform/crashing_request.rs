//! Requests that end the workers they run on.
//!
//! A request that a worker cannot bear ended each worker that began to run it. Its caller sent it
//! again, at other gateways, and each gateway took it for a new request with all its attempts: 36
//! workers ended under one request, two for each time that it came, and 16 of its sends reached
//! workers more than three seconds after the third had ended. The log of the gateways showed
//! `sends=2 last="...: its connection broke; ...: its connection broke"` under a new identity each
//! time, always within the attempts that its route allowed.

use std::time::Duration;

use rstest::rstest;

use crate::system::{CONTROLLERS, KEY, Signal, System};
use crate::worker::{CRASHING_BODY, Worker};
use crate::{Deployment, deploy, wait_for_replicas};

/// Workers beyond those of every deployment: one more replica and its spares.
const MORE_ENGINES: usize = 6;
/// Replicas that all workers form.
const REPLICAS: usize = 4;
/// Workers that may end under a request before it is known to end them.
const MAX_CRASHES: u32 = 3;
/// Times that the request comes again once it is known.
const RETRIES: usize = 8;
/// Time after the third end within which all gateways know of the request.
const PROPAGATION_TIME: Duration = Duration::from_millis(1500);
/// Pause between two times that the request comes.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What happens between the third end and the next time that the request comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interlude {
    Nothing,
    /// All controllers end at once and start again.
    RestartControllers,
    /// Each gateway in turn ends and starts again.
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
    // It comes at one gateway and then at another, until three workers have ended under it.
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
        // Replicas are there each time, so that the request could run.
        system.call_until_served("/chat/1", &format!("other-{number}")).await;
        let id = format!("again-{number}");
        let status = call_crashing(system, number % gateways, &id).await;
        assert_eq!(deployment.fleet.runs(&id), 0, "{id} ran: {}", system.logs());
        assert_eq!(status, 503, "it has not run, and is told so: {}", system.logs());
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    assert!(crashes <= MAX_CRASHES, "{crashes} workers ended");
    assert_eq!(deployment.fleet.crash_count(), crashes);
}

/// Workers that end at once, under requests that are alike, were ended by something else: the same
/// request is served as soon as there are workers again.
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

/// An operator lets a held request go, by way of any controller, and it runs again at any gateway.
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
    let content = content.unwrap_or_else(|| panic!("it is held: {logs}")).to_owned();
    let server = format!("http://{}", system.controllers[controller]);
    let crashes = deployment.fleet.crash_count();
    let release = tokio::task::spawn_blocking(move || {
        let program = env!("CARGO_BIN_EXE_hollowbarrow");
        let arguments = ["release", &content, "--server", &server];
        std::process::Command::new(program).args(arguments).output().expect("it runs")
    });
    let output = release.await.expect("it ends");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    tokio::time::sleep(PROPAGATION_TIME).await;
    system.call_until_served("/chat/1", "other").await;
    call_crashing(system, 1, "again").await;
    assert!(deployment.fleet.runs("again") > 0, "{}", system.logs());
    assert!(deployment.fleet.crash_count() > crashes);
}
