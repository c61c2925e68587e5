//! Workers that state a limit in requests per second, which applies to all gateways together.
//!
//! Guards against gateways that ignore the limit: heads of replicas stated 1.8 and 3.1 per second
//! and still got 6 and 8, since a worker with few requests is the preferred choice.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::limit_check::find_limit_breaches;
use crate::notices::NoticeEvent;
use crate::system::{CONTROLLERS, KEY, Layout, Signal, call_gateway};
use crate::worker::{Worker, request_id_via};
use crate::{Deployment, deploy_with};

/// Number of gateways of each system. Callers use all of them equally.
const GATEWAYS: usize = 6;
/// Number of plain workers of a system.
const PLAIN_WORKERS: usize = 10;
/// Pause between two requests, over all callers.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);
/// Time that a plain worker takes for each request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Duration of the load. It covers the time in which limits are not enforced yet and a complete
/// window.
const LOAD_TIME: Duration = Duration::from_secs(9);

/// Starts a system with plain workers in addition to those of replicas.
async fn deploy_plain(block: u8) -> (Deployment, Vec<Arc<Worker>>) {
    let layout = Layout { gateways: GATEWAYS as u8, ..Layout::plain() };
    let deployment = deploy_with(block, layout).await;
    let mut plain = vec![Arc::clone(&deployment.plain)];
    for number in 1..PLAIN_WORKERS {
        let id = format!("p{number}");
        plain.push(Worker::start(&deployment.fleet, &id, "bookings", false));
    }
    plain.iter().for_each(|worker| worker.set_service_time(SERVICE_TIME));
    for gateway in 0..GATEWAYS {
        deployment.system.call_gateway_until_served(gateway, "/hold/1", "warm").await;
    }
    (deployment, plain)
}

/// Sends requests to all gateways in turn at a constant rate, independent of the answers, and
/// returns how many were served.
async fn send_evenly(deployment: &Deployment, path: &'static str, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut pace = tokio::time::interval(REQUEST_PAUSE);
    let mut calls = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        pace.tick().await;
        let gateway = number % GATEWAYS;
        let address = deployment.system.gateways[gateway].clone();
        let id = request_id_via(gateway, &format!("even-{number}"));
        calls.push(tokio::spawn(async move {
            let answer = call_gateway(&address, path, &id, Some(KEY)).await;
            answer.is_ok_and(|answer| answer.status().as_u16() == 200)
        }));
        number += 1;
    }
    let mut served = 0;
    for call in calls {
        served += usize::from(call.await.expect("the call task does not panic"));
    }
    println!("{served} of {number} served");
    served
}

fn assert_limits_kept(deployment: &Deployment) {
    let breaches = find_limit_breaches(&deployment.fleet.notice_events());
    assert!(breaches.is_empty(), "{breaches:#?}: {}", deployment.system.logs());
}

#[rstest]
#[case::some(60, &["2", "0.7", "5"])]
#[case::all(61, &["3", "3", "3", "3", "3", "3", "3", "3", "3", "3"])]
#[case::nothing_allowed(62, &["0", "0.05"])]
#[tokio::test]
async fn limit_kept_across_gateways(#[case] block: u8, #[case] limits: &[&'static str]) {
    let (deployment, plain) = deploy_plain(block).await;
    for (worker, limit) in plain.iter().zip(limits) {
        worker.set_limit(Some(limit));
    }
    let served = send_evenly(&deployment, "/hold/1", LOAD_TIME).await;
    assert!(served > 0, "{}", deployment.system.logs());
    assert_limits_kept(&deployment);
}

/// A lower limit also applies to the allowance that gateways computed from the former limit.
#[rstest]
#[tokio::test]
async fn limit_kept_while_falling() {
    let (deployment, plain) = deploy_plain(63).await;
    let fall = async {
        for limit in ["20", "4", "1"] {
            plain.iter().take(3).for_each(|worker| worker.set_limit(Some(limit)));
            tokio::time::sleep(LOAD_TIME / 3).await;
        }
    };
    tokio::join!(fall, send_evenly(&deployment, "/hold/1", LOAD_TIME));
    assert_limits_kept(&deployment);
}

/// Workers that withdraw their limit are used as before.
#[rstest]
#[tokio::test]
async fn limit_withdrawn() {
    let (deployment, plain) = deploy_plain(64).await;
    plain.iter().for_each(|worker| worker.set_limit(Some("1")));
    send_evenly(&deployment, "/hold/1", LOAD_TIME / 3).await;
    plain.iter().for_each(|worker| worker.set_limit(None));
    // One answer without the limit reaches a gateway, which publishes it to the others.
    let deadline = Instant::now() + LOAD_TIME * 3;
    loop {
        let from = deployment.fleet.notice_events().len();
        send_evenly(&deployment, "/hold/1", Duration::from_secs(1)).await;
        let arrived = deployment.fleet.notice_events().len() - from;
        if arrived >= 90 {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "{arrived} requests arrived: {}",
            deployment.system.logs()
        );
    }
    assert_limits_kept(&deployment);
}

/// Fault in a system while workers state limits.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// All controllers are killed, so that gateways receive no state of each other.
    LostControllers,
    /// One gateway is killed and another one is suspended for a while.
    LostGateways,
}

#[rstest]
#[case::controllers(65, Fault::LostControllers)]
#[case::gateways(66, Fault::LostGateways)]
#[tokio::test]
async fn limit_kept_under_faults(#[case] block: u8, #[case] fault: Fault) {
    let (deployment, plain) = deploy_plain(block).await;
    for (worker, limit) in plain.iter().zip(["2", "0.7", "5"]) {
        worker.set_limit(Some(limit));
    }
    let disturb = async {
        tokio::time::sleep(LOAD_TIME / 3).await;
        let system = &deployment.system;
        match fault {
            Fault::LostControllers => {
                (0..CONTROLLERS).for_each(|daemon| system.signal(daemon, Signal::Kill));
            }
            Fault::LostGateways => {
                system.signal(CONTROLLERS, Signal::Kill);
                system.signal(CONTROLLERS + 1, Signal::Stop);
                record_disturbed(&deployment, 1);
                tokio::time::sleep(LOAD_TIME / 6).await;
                system.signal(CONTROLLERS + 1, Signal::Continue);
                record_disturbed(&deployment, 1);
            }
        }
    };
    tokio::join!(disturb, send_evenly(&deployment, "/hold/1", LOAD_TIME));
    assert_limits_kept(&deployment);
}

fn record_disturbed(deployment: &Deployment, gateway: usize) {
    deployment.fleet.record_notice_event(NoticeEvent::Disturbed { gateway, at: Instant::now() });
}

/// Some heads of replicas state limits while streams are sent.
#[rstest]
#[tokio::test]
async fn limit_kept_towards_heads() {
    let (mut deployment, _) = deploy_plain(67).await;
    // With a spare worker a third replica can form.
    let spare = Worker::start(&deployment.fleet, "spare", "models", true);
    deployment.engines.push(spare);
    crate::wait_for_replicas(&deployment, 3).await;
    let heads = deployment.engines.iter().filter(|engine| engine.is_open_head());
    for (head, limit) in heads.zip(["1.8", "3"]) {
        head.set_limit(Some(limit));
    }
    let served = send_evenly(&deployment, "/chat/1", LOAD_TIME).await;
    assert!(served > 0, "{}", deployment.system.logs());
    assert_limits_kept(&deployment);
}
