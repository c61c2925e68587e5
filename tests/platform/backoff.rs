//! Workers that say in an answer that they want no requests.
//!
//! Heads of replicas at their limit turned requests away and asked each gateway for three seconds
//! without any. Gateways did not read that. They took it for a failure like any other, left the
//! worker out after the second one, for 0.8 s, and chose it again while other workers had room: one
//! gateway logged `event=worker_left_out` for the same worker 0.54 s and 1.31 s after it had asked,
//! and sent it five requests in its three seconds. With a line for each such send in the log, all
//! six on a day with such workers said `event=sent_despite_backoff ... left_out=false`: the worker
//! was chosen as usual, not as the last one, and up to 1 s after it had asked, so that nothing was
//! under way either.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::system::{KEY, System};
use crate::worker::{Arrival, Worker};
use crate::{Deployment, deploy, wait_for_replicas};

/// Time for which a worker asks for no requests.
const BACKOFF_TIME: Duration = Duration::from_secs(3);
/// The same for a worker that asks again and again, and how often it does.
const SHORT_BACKOFF: Duration = Duration::from_millis(100);
const MANY_REJECTIONS: usize = 12;
/// Time in which a request that was under way already may still come to a worker.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Time for which a plain worker works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time in which a worker that may be sent requests again gets one.
const REUSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Part of the requests that the other plain worker serves meanwhile. It has room for all; the
/// rest is for those that were turned away when the budget of repeats was used up.
const SERVED: f64 = 0.95;
/// Callers that ask one gateway again and again, for which the other workers have no room, so that
/// it is worth a lot to use one that wants no requests.
const MANY_CALLERS: usize = 24;
/// Callers for which the other plain worker has room.
const FEW_CALLERS: usize = 10;
/// The gateway that is asked.
const GATEWAY: usize = 0;

/// Which workers are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Plain,
    Replica,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Plain => "/hold/1",
            Self::Replica => "/chat/1",
        }
    }
}

/// A deployment with two plain workers and three replicas, which serve.
async fn deploy_serving(block: u8) -> (Deployment, [Arc<Worker>; 2]) {
    let mut deployment = deploy(block).await;
    // With a spare there is room for a third replica.
    let spare = Worker::start(&deployment.fleet, "spare", "models", true);
    deployment.engines.push(spare);
    let other = Worker::start(&deployment.fleet, "p1", "bookings", false);
    let plain = [Arc::clone(&deployment.plain), other];
    plain.iter().for_each(|worker| worker.set_service_time(SERVICE_TIME));
    // At the gateway that is asked, so that it knows of answers: else the first copy goes alone.
    for kind in [Kind::Plain, Kind::Replica] {
        deployment.system.call_gateway_until_served(GATEWAY, kind.path(), "warm").await;
    }
    wait_for_replicas(&deployment, 3).await;
    (deployment, plain)
}

/// Workers that can serve a kind of request.
fn workers_for(kind: Kind, deployment: &Deployment, plain: &[Arc<Worker>]) -> Vec<Arc<Worker>> {
    let engines = deployment.engines.iter().filter(|engine| engine.is_open_head());
    match kind {
        Kind::Plain => plain.to_vec(),
        Kind::Replica => engines.cloned().collect(),
    }
}

/// What callers saw.
#[derive(Debug, Default)]
struct Tally {
    served: AtomicU32,
    refused: Mutex<Vec<String>>,
    stop: AtomicBool,
}

/// One caller, which asks again as soon as it is answered.
async fn call_repeatedly(system: &System, kind: Kind, caller: usize, tally: &Tally) {
    let mut number = 0;
    while !tally.stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("c{caller}-{number}");
        let answer = system.call(GATEWAY, kind.path(), &id, Some(KEY)).await;
        match answer.expect("it is answered").status().as_u16() {
            200 => {
                tally.served.fetch_add(1, Ordering::Relaxed);
            }
            503 => {
                tally.refused.lock().expect("not poisoned").push(id);
                tokio::time::sleep(SERVICE_TIME).await;
            }
            status => panic!("{id} is answered with {status}: {}", system.logs()),
        }
    }
}

/// Runs callers beside something else until that has ended.
async fn with_callers(
    system: &System,
    kind: Kind,
    count: usize,
    tally: &Tally,
    other: impl Future<Output = ()>,
) {
    let callers = (0..count).map(|caller| call_repeatedly(system, kind, caller, tally));
    let callers = futures_util::future::join_all(callers);
    let until_stopped = async {
        other.await;
        tally.stop.store(true, Ordering::Relaxed);
    };
    tokio::join!(callers, until_stopped);
}

async fn wait_until(what: &str, system: &System, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + REUSE_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "{what}: {}", system.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Requests that came although the worker had asked for none at an earlier one, those that may
/// have been under way aside.
fn arrivals_during_backoff(arrivals: &[Arrival]) -> Vec<&Arrival> {
    let is_allowed = |arrival: &Arrival| {
        arrivals.iter().all(|earlier| {
            let Some(backoff) = earlier.backoff else { return true };
            let since = arrival.at.saturating_duration_since(earlier.at);
            since < IN_FLIGHT_TIME || since >= backoff
        })
    };
    arrivals.iter().filter(|arrival| !is_allowed(arrival)).collect()
}

#[rstest]
#[case::plain(26, Kind::Plain)]
#[case::replica(27, Kind::Replica)]
#[tokio::test]
async fn backoff_kept_towards_worker(#[case] block: u8, #[case] kind: Kind) {
    let (deployment, plain) = deploy_serving(block).await;
    let system = &deployment.system;
    let worker = Arc::clone(&workers_for(kind, &deployment, &plain)[0]);
    let tally = Tally::default();
    let rejected = async {
        worker.set_rejecting(Some(BACKOFF_TIME));
        wait_until("it turns one away", system, || {
            worker.arrivals().iter().any(|arrival| arrival.backoff.is_some())
        })
        .await;
        tokio::time::sleep(BACKOFF_TIME).await;
    };
    with_callers(system, kind, MANY_CALLERS, &tally, rejected).await;
    let arrivals = worker.arrivals();
    let during_backoff = arrivals_during_backoff(&arrivals);
    assert!(during_backoff.is_empty(), "{during_backoff:?}: {}", system.logs());
    let refused = tally.refused.into_inner().expect("not poisoned");
    for id in &refused {
        assert_eq!(deployment.fleet.runs(id), 0, "{id} ran, but was refused: {}", system.logs());
    }
    worker.set_rejecting(None);
    let used_again = wait_until("it is used again", system, || {
        worker.arrivals().last().is_some_and(|last| last.backoff.is_none())
    });
    with_callers(system, kind, MANY_CALLERS, &Tally::default(), used_again).await;
}

/// A worker that has turned many requests away, and asked for a backoff each time, is used again
/// once it takes requests, although the others have room for all.
#[rstest]
#[case::plain(58, Kind::Plain)]
#[case::replica(59, Kind::Replica)]
#[tokio::test]
async fn worker_used_again_after_backoffs(#[case] block: u8, #[case] kind: Kind) {
    let (deployment, plain) = deploy_serving(block).await;
    let system = &deployment.system;
    let worker = Arc::clone(&workers_for(kind, &deployment, &plain)[0]);
    worker.set_rejecting(Some(SHORT_BACKOFF));
    let rejected = wait_until("it turns many away", system, || {
        worker.arrivals().iter().filter(|arrival| arrival.backoff.is_some()).count()
            >= MANY_REJECTIONS
    });
    with_callers(system, kind, MANY_CALLERS, &Tally::default(), rejected).await;
    worker.set_rejecting(None);
    let used_again = wait_until("it is used again", system, || {
        worker.arrivals().last().is_some_and(|last| last.backoff.is_none())
    });
    with_callers(system, kind, FEW_CALLERS, &Tally::default(), used_again).await;
}

/// What others have room for is served beside a worker that wants no requests.
#[rstest]
#[tokio::test]
async fn others_served_beside_backoff() {
    let (deployment, plain) = deploy_serving(40).await;
    let system = &deployment.system;
    plain[0].set_rejecting(Some(BACKOFF_TIME));
    let tally = Tally::default();
    let during_backoff = tokio::time::sleep(BACKOFF_TIME);
    with_callers(system, Kind::Plain, FEW_CALLERS, &tally, during_backoff).await;
    let refused = tally.refused.into_inner().expect("not poisoned").len();
    let served = f64::from(tally.served.into_inner());
    let share = served / (served + refused as f64);
    assert!(share >= SERVED, "others serve {share} of the requests: {}", system.logs());
}

/// Where no other worker is there, a caller is told at once that its request has not run, and to
/// come back when the worker wants requests again.
#[rstest]
#[tokio::test]
async fn backoff_of_all_workers() {
    let deployment = deploy(28).await;
    let system = &deployment.system;
    system.call_until_served("/hold/1", "warm").await;
    let worker = &deployment.plain;
    worker.set_rejecting(Some(BACKOFF_TIME));
    let rejected = system.call(GATEWAY, "/hold/1", "first", Some(KEY)).await;
    assert_eq!(rejected.expect("it is answered").status().as_u16(), 503);
    let backoff_start = Instant::now();
    while backoff_start.elapsed() < BACKOFF_TIME - IN_FLIGHT_TIME {
        let before = Instant::now();
        let answer = system.call(GATEWAY, "/hold/1", "later", Some(KEY)).await;
        let answer = answer.expect("it is answered");
        assert_eq!(answer.status().as_u16(), 503, "{}", system.logs());
        assert!(before.elapsed() < IN_FLIGHT_TIME, "it is not held: {}", system.logs());
        let pause = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
        let pause: f64 = pause.and_then(|value| value.parse().ok()).expect("a time to come back");
        let left = BACKOFF_TIME.saturating_sub(backoff_start.elapsed()).as_secs_f64();
        assert!(pause >= left - 0.1, "{pause} s, but the worker wants none for {left} s");
        tokio::time::sleep(SERVICE_TIME).await;
    }
    assert_eq!(worker.arrivals().len(), 2, "the first and the warming one: {}", system.logs());
    worker.set_rejecting(None);
    system.call_until_served("/hold/1", "after").await;
}

/// What a worker tells controllers may come seconds late; its answers say at once that it leaves.
#[rstest]
#[case::plain(29, Kind::Plain)]
#[case::replica(30, Kind::Replica)]
#[tokio::test]
async fn leaving_worker_sent_nothing(#[case] block: u8, #[case] kind: Kind) {
    let (deployment, plain) = deploy_serving(block).await;
    let system = &deployment.system;
    let worker = Arc::clone(&workers_for(kind, &deployment, &plain)[0]);
    // Drained within two seconds: more than any request takes to come.
    let drain_time = Duration::from_secs(2);
    let left = std::sync::OnceLock::new();
    let other = async {
        worker.leave_unreported();
        let before = worker.arrivals().len();
        wait_until("it answers one", system, || worker.arrivals().len() > before).await;
        let _ = left.set(Instant::now());
        tokio::time::sleep(drain_time + BACKOFF_TIME).await;
    };
    with_callers(system, kind, MANY_CALLERS, &Tally::default(), other).await;
    let left = *left.get().expect("it left");
    let arrivals = worker.arrivals();
    let late: Vec<_> = arrivals.iter().filter(|one| one.at > left + drain_time).collect();
    assert!(late.is_empty(), "{} came later than {drain_time:?}: {}", late.len(), system.logs());
}
