//! Workers that ask for a backoff in an answer.
//!
//! Guards against gateways that ignore the backoff. Heads of replicas at their limit rejected
//! requests and asked each gateway for a backoff of 3 s. Gateways treated this like any
//! other failure, ejected the worker after the second one for 0.8 s, and selected it again while
//! other workers had capacity: one gateway logged `event=worker_left_out` for the same worker 0.54
//! s and 1.31 s after the answer, and sent it five requests in the three seconds. In a run with
//! such workers that logged each of these sends, all six had `event=sent_despite_backoff ...
//! left_out=false`: the worker was selected in the usual way, not as the last resort, and up to 1 s
//! after the answer, so that none of the requests had been in flight before it.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::system::{KEY, System, configuration};
use crate::worker::{Arrival, Worker};
use crate::{Deployment, deploy, wait_for_replicas};

/// Backoff that a worker asks for.
const BACKOFF_TIME: Duration = Duration::from_secs(3);
/// Backoff of a worker that asks for one repeatedly, and the number of its rejections.
const SHORT_BACKOFF: Duration = Duration::from_millis(100);
const MANY_REJECTIONS: usize = 12;
/// Time in which a request that was already in flight may still arrive at a worker.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Time that a plain worker takes for each request.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Timeout for a worker to reach a state, such as to get a request after its backoff.
const REUSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Share of the requests that the other plain worker must serve meanwhile. It has capacity for all;
/// the rest allows for requests that were rejected after the retry budget was used up.
const SERVED: f64 = 0.95;
/// Number of concurrent callers at one gateway that exceeds the capacity of the other workers, so
/// that the gateway has reason to use a worker during its backoff.
const MANY_CALLERS: usize = 24;
/// Number of concurrent callers for which the other plain worker has capacity.
const FEW_CALLERS: usize = 10;
/// Backoff that outlasts a test.
const LONG_BACKOFF: Duration = Duration::from_secs(60);
/// Time until a slow worker sends the first part of an answer. It exceeds the progress timeout of
/// both kinds, and ends before the deadline.
const SLOW_SERVICE_TIME: Duration = Duration::from_secs(2);
/// Rounds of calls that fill the retry budget, and the number of calls in each.
const EARNING_ROUNDS: usize = 8;
const EARNING_CALLS: usize = 4;
/// The gateway that gets all requests.
const GATEWAY: usize = 0;

/// Kind of the workers that are called.
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

/// Starts a deployment with two plain workers and three replicas that serve.
async fn deploy_serving(block: u8) -> (Deployment, [Arc<Worker>; 2]) {
    let mut deployment = deploy(block).await;
    // With a spare worker a third replica can form.
    let spare = Worker::start(&deployment.fleet, "spare", "models", true);
    deployment.engines.push(spare);
    let other = Worker::start(&deployment.fleet, "p1", "bookings", false);
    let plain = [Arc::clone(&deployment.plain), other];
    plain.iter().for_each(|worker| worker.set_service_time(SERVICE_TIME));
    // All requests of a kind have the same content, so they are duplicates. Until a gateway has
    // received part of an answer to one of them, it sends one at a time and the others wait. The
    // warm-up therefore uses the gateway under test.
    for kind in [Kind::Plain, Kind::Replica] {
        deployment.system.call_gateway_until_served(GATEWAY, kind.path(), "warm").await;
    }
    wait_for_replicas(&deployment, 3).await;
    (deployment, plain)
}

/// Returns the workers that can serve a kind of request.
fn workers_for(kind: Kind, deployment: &Deployment, plain: &[Arc<Worker>]) -> Vec<Arc<Worker>> {
    let engines = deployment.engines.iter().filter(|engine| engine.is_open_head());
    match kind {
        Kind::Plain => plain.to_vec(),
        Kind::Replica => engines.cloned().collect(),
    }
}

/// Results of the callers.
#[derive(Debug, Default)]
struct Tally {
    served: AtomicU32,
    refused: Mutex<Vec<String>>,
    stop: AtomicBool,
}

/// Runs one caller, which sends the next request as soon as the last one is answered.
async fn call_repeatedly(system: &System, kind: Kind, caller: usize, tally: &Tally) {
    let mut number = 0;
    while !tally.stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("c{caller}-{number}");
        let answer = system.call(GATEWAY, kind.path(), &id, Some(KEY)).await;
        match answer.expect("the gateway answers").status().as_u16() {
            200 => {
                tally.served.fetch_add(1, Ordering::Relaxed);
            }
            503 => {
                tally.refused.lock().expect("not poisoned").push(id);
                tokio::time::sleep(SERVICE_TIME).await;
            }
            status => panic!("{id} got status {status}: {}", system.logs()),
        }
    }
}

/// Runs callers until another future has completed.
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

async fn wait_until(what: &str, system: &System, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + REUSE_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}: {}", system.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the requests that arrived during a backoff that the worker had asked for, except those
/// that may have been in flight.
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
        wait_until("the worker rejects a request", system, || {
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
    let used_again = wait_until("the worker is used again", system, || {
        worker.arrivals().last().is_some_and(|last| last.backoff.is_none())
    });
    with_callers(system, kind, MANY_CALLERS, &Tally::default(), used_again).await;
}

/// A worker that has rejected many requests with a backoff is used again once it accepts requests,
/// even if the other workers have capacity for all.
#[rstest]
#[case::plain(58, Kind::Plain)]
#[case::replica(59, Kind::Replica)]
#[tokio::test]
async fn worker_used_again_after_backoffs(#[case] block: u8, #[case] kind: Kind) {
    let (deployment, plain) = deploy_serving(block).await;
    let system = &deployment.system;
    let worker = Arc::clone(&workers_for(kind, &deployment, &plain)[0]);
    worker.set_rejecting(Some(SHORT_BACKOFF));
    let rejected = wait_until("the worker rejects many requests", system, || {
        worker.arrivals().iter().filter(|arrival| arrival.backoff.is_some()).count()
            >= MANY_REJECTIONS
    });
    with_callers(system, kind, MANY_CALLERS, &Tally::default(), rejected).await;
    worker.set_rejecting(None);
    let used_again = wait_until("the worker is used again", system, || {
        worker.arrivals().last().is_some_and(|last| last.backoff.is_none())
    });
    with_callers(system, kind, FEW_CALLERS, &Tally::default(), used_again).await;
}

/// Other workers serve the requests that they have capacity for while one worker is in its backoff.
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

/// Without another worker, a caller is answered at once that its request has not run, with a
/// retry-after delay that covers the rest of the backoff.
#[rstest]
#[tokio::test]
async fn backoff_of_all_workers() {
    let deployment = deploy(28).await;
    let system = &deployment.system;
    system.call_until_served("/hold/1", "warm").await;
    let worker = &deployment.plain;
    worker.set_rejecting(Some(BACKOFF_TIME));
    let rejected = system.call(GATEWAY, "/hold/1", "first", Some(KEY)).await;
    assert_eq!(rejected.expect("the gateway answers").status().as_u16(), 503);
    let backoff_start = Instant::now();
    while backoff_start.elapsed() < BACKOFF_TIME - IN_FLIGHT_TIME {
        let before = Instant::now();
        let answer = system.call(GATEWAY, "/hold/1", "later", Some(KEY)).await;
        let answer = answer.expect("the gateway answers");
        assert_eq!(answer.status().as_u16(), 503, "{}", system.logs());
        assert!(
            before.elapsed() < IN_FLIGHT_TIME,
            "the gateway must answer without delay: {}",
            system.logs()
        );
        let pause = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
        let pause: f64 =
            pause.and_then(|value| value.parse().ok()).expect("the retry-after header is a number");
        let left = BACKOFF_TIME.saturating_sub(backoff_start.elapsed()).as_secs_f64();
        assert!(
            pause >= left - 0.1,
            "retry-after is {pause} s, but {left} s of the backoff are left"
        );
        tokio::time::sleep(SERVICE_TIME).await;
    }
    assert_eq!(
        worker.arrivals().len(),
        2,
        "only the warm-up and the rejected request arrive: {}",
        system.logs()
    );
    worker.set_rejecting(None);
    system.call_until_served("/hold/1", "after").await;
}

/// A worker's leaving report can reach gateways through controllers seconds late, so its answers
/// state at once that it is leaving.
#[rstest]
#[case::plain(29, Kind::Plain)]
#[case::replica(30, Kind::Replica)]
#[tokio::test]
async fn leaving_worker_sent_nothing(#[case] block: u8, #[case] kind: Kind) {
    let (deployment, plain) = deploy_serving(block).await;
    let system = &deployment.system;
    let worker = Arc::clone(&workers_for(kind, &deployment, &plain)[0]);
    // Two seconds of draining exceed the time in which any request may still arrive.
    let drain_time = Duration::from_secs(2);
    let left = std::sync::OnceLock::new();
    let other = async {
        worker.leave_unreported();
        let before = worker.arrivals().len();
        wait_until("the worker answers a request", system, || worker.arrivals().len() > before)
            .await;
        let _ = left.set(Instant::now());
        tokio::time::sleep(drain_time + BACKOFF_TIME).await;
    };
    with_callers(system, kind, MANY_CALLERS, &Tally::default(), other).await;
    let left = *left.get().expect("the worker has answered that it is leaving");
    let arrivals = worker.arrivals();
    let late: Vec<_> = arrivals.iter().filter(|one| one.at > left + drain_time).collect();
    assert!(late.is_empty(), "{} arrived later than {drain_time:?}: {}", late.len(), system.logs());
}

/// Guards against a 502 for a request whose slow worker is given up while no other can take it.
#[rstest]
#[case::plain(92, Kind::Plain)]
#[case::replica(93, Kind::Replica)]
#[tokio::test]
async fn slow_worker_kept_while_others_back_off(#[case] block: u8, #[case] kind: Kind) {
    let (deployment, plain) = deploy_serving(block).await;
    let system = &deployment.system;
    let mut repeatable = configuration(4);
    repeatable["routes"][1]["kind"] = "idempotent".into();
    repeatable["routes"][1]["max_attempts"] = 2.into();
    assert_eq!(system.replace(&repeatable).await, 200);
    let workers = workers_for(kind, &deployment, &plain);
    let (slow, others) = workers.split_first().expect("there are workers");
    others.iter().for_each(|worker| worker.set_rejecting(Some(LONG_BACKOFF)));
    let rejected = wait_until("the other workers reject requests", system, || {
        others.iter().all(|worker| worker.arrivals().iter().any(|one| one.backoff.is_some()))
    });
    with_callers(system, kind, MANY_CALLERS, &Tally::default(), rejected).await;
    for round in 0..EARNING_ROUNDS {
        let calls = (0..EARNING_CALLS).map(|number| async move {
            let id = format!("earning-{round}-{number}");
            system.call(GATEWAY, kind.path(), &id, Some(KEY)).await
        });
        futures_util::future::join_all(calls).await;
    }
    slow.set_service_time(SLOW_SERVICE_TIME);
    let answer = system.call(GATEWAY, kind.path(), "slow", Some(KEY)).await;
    let status = answer.expect("the gateway answers").status().as_u16();
    assert_eq!(status, 200, "{}", system.logs());
    assert_eq!(deployment.fleet.runs("slow"), 1, "{}", system.logs());
}
