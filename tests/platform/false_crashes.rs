//! Contents that are in progress whenever connections to workers are lost, although they crash none.
//!
//! Guards against a common content that is refused everywhere after a gateway has lost its paths to
//! all workers: each request with it lost its connection, one after the other, and was taken for
//! one that crashes workers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;

use crate::system::{KEY, Layout, Signal, call_gateway_with_parts};
use crate::worker::SHARED_PART;
use crate::{Deployment, deploy_fronted, wait_for_replicas};

/// Pause between two requests to a gateway.
const PAUSE: Duration = Duration::from_millis(60);
/// Time before the paths are lost, and time for which they are.
const SOUND_TIME: Duration = Duration::from_secs(2);
const LOST_TIME: Duration = Duration::from_secs(4);
/// Number of times that paths are lost.
const LOSSES: usize = 2;

/// Requests with equal content, and how many were refused as crashing workers.
#[derive(Debug, Default)]
struct Tally {
    stopped: AtomicBool,
    sent: AtomicU32,
    refused: AtomicU32,
}

/// Sends requests with equal content to a gateway until the tally is stopped.
async fn send_equal(address: String, gateway: usize, tally: Arc<Tally>) {
    let parts = format!("{SHARED_PART}:40,1:30");
    let mut calls = Vec::new();
    while !tally.stopped.load(Ordering::Relaxed) {
        let number = tally.sent.fetch_add(1, Ordering::Relaxed);
        let (address, parts, tally) = (address.clone(), parts.clone(), Arc::clone(&tally));
        calls.push(tokio::spawn(async move {
            let id = format!("equal-{gateway}-{number}");
            let answer = call_gateway_with_parts(&address, "/chat/1", &id, KEY, &parts).await;
            if answer.is_ok_and(|answer| answer.body().as_ref() == b"ends_workers") {
                tally.refused.fetch_add(1, Ordering::Relaxed);
            }
        }));
        tokio::time::sleep(PAUSE).await;
    }
    futures_util::future::join_all(calls).await;
}

async fn lose_paths(deployment: &Deployment, gateways: &[usize], mode: FaultMode) {
    for _ in 0..LOSSES {
        gateways.iter().for_each(|gateway| deployment.set_worker_links(*gateway, mode));
        tokio::time::sleep(LOST_TIME).await;
        let passes = FaultMode::Pass;
        gateways.iter().for_each(|gateway| deployment.set_worker_links(*gateway, passes));
        tokio::time::sleep(SOUND_TIME).await;
    }
}

/// What the daemons remember when the paths are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Memory {
    /// That the content was answered.
    Answers,
    /// Nothing, since all daemons have just started again.
    Nothing,
}

#[rstest]
#[case::one_closed(55, &[0], FaultMode::Disconnect, Memory::Answers)]
#[case::one_severed(56, &[0], FaultMode::Severed, Memory::Answers)]
#[case::all_closed(57, &[0, 1, 2], FaultMode::Disconnect, Memory::Answers)]
#[case::one_closed_after_restart(81, &[0], FaultMode::Disconnect, Memory::Nothing)]
#[case::all_closed_after_restart(82, &[0, 1, 2], FaultMode::Disconnect, Memory::Nothing)]
#[tokio::test]
async fn common_content_not_refused_after_lost_paths(
    #[case] block: u8,
    #[case] lost: &[usize],
    #[case] mode: FaultMode,
    #[case] memory: Memory,
) {
    let mut deployment = deploy_fronted(block, Layout::zoned_behind_proxies()).await;
    deployment.system.call_until_served("/chat/0", "warm").await;
    wait_for_replicas(&deployment, 2).await;
    if memory == Memory::Nothing {
        let system = &mut deployment.system;
        (0..system.daemon_count()).for_each(|daemon| system.signal(daemon, Signal::Kill));
        for daemon in 0..system.daemon_count() {
            system.resume_or_restart(daemon, true).await;
        }
        system.wait_ready().await;
    }
    let system = &deployment.system;
    let tally = Arc::new(Tally::default());
    let gateways = system.gateways.iter().cloned().enumerate();
    let loads = gateways
        .map(|(gateway, address)| tokio::spawn(send_equal(address, gateway, Arc::clone(&tally))));
    let loads: Vec<_> = loads.collect();
    // Without a memory, the paths are lost before the first requests are answered.
    if memory == Memory::Answers {
        tokio::time::sleep(SOUND_TIME).await;
    }
    lose_paths(&deployment, lost, mode).await;
    tally.stopped.store(true, Ordering::Relaxed);
    futures_util::future::join_all(loads).await;
    println!("{tally:?}");
    assert_eq!(tally.refused.load(Ordering::Relaxed), 0, "{}", system.logs());
    for gateway in 0..system.gateways.len() {
        system.call_gateway_until_served(gateway, "/chat/1", &format!("after-{gateway}")).await;
    }
}
