//! Workers that start again under their ids, and records of other writers under those ids.
//!
//! A later life was taken for late calls of the former one until its numbers had passed that one's:
//! of ten workers that came back after 0.6 s five got no request within 12 s. A replica whose
//! member had started again went on to get requests, since that member seemed to answer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::foreign::{foreign_records, send_record};
use crate::system::{KEY, System, configuration};
use crate::worker::Worker;

/// Plain workers of each test.
const WORKERS: usize = 10;
/// Heartbeats of the first lives: those of the next ones are behind their numbers for long.
const FIRST_BEATS: u64 = 40;
/// Heartbeats within which a life that has come back must get requests; one should do.
const MOST_BEATS: u64 = 8;
/// Requests at once: gateways prefer workers to which a connection waits, and use others only
/// beside those.
const BURST: usize = 60;
/// Bursts after which each of the workers has had some.
const MOST_BURSTS: usize = 50;
const RESTART_TIME: Duration = Duration::from_millis(600);
const POLL: Duration = Duration::from_millis(20);

struct Scene {
    system: System,
    workers: Vec<Arc<Worker>>,
}

/// Plain workers that have gone on for a while.
async fn start_plain(block: u8) -> Scene {
    let system = System::start(block);
    let fleet = Fleet::new(system.controllers.clone());
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|n| Worker::start_born(&fleet, &format!("p{n}"), "bookings", false, "a"))
        .collect();
    assert_eq!(system.replace(&configuration(3)).await, 200);
    system.wait_ready().await;
    system.call_until_served("/hold/1", "warm").await;
    let scene = Scene { system, workers };
    while scene.workers.iter().any(|worker| worker.beats() < FIRST_BEATS) {
        tokio::time::sleep(POLL).await;
    }
    scene
}

impl Scene {
    /// Sends requests until each worker has answered one; false where that takes too many.
    async fn all_are_used(&self, name: &str, mut goes_on: impl FnMut() -> bool) -> bool {
        let mut used: BTreeSet<String> = BTreeSet::new();
        for burst in 0..MOST_BURSTS {
            let calls = (0..BURST).map(|number| {
                let id = format!("hold-{name}-{burst}-{number}");
                async move { self.system.call(number % 2, "/hold/1", &id, Some(KEY)).await }
            });
            for answer in futures_util::future::join_all(calls).await.into_iter().flatten() {
                let signature = answer.headers().get("response-signature");
                let signature = signature.and_then(|value| value.to_str().ok()).unwrap_or_default();
                used.extend(
                    signature.split('.').next().filter(|id| !id.is_empty()).map(str::to_owned),
                );
            }
            if used.len() == WORKERS {
                return true;
            }
            if !goes_on() {
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        println!("used: {used:?}");
        false
    }
}

#[rstest]
#[case::same_address(31, RESTART_TIME, false)]
#[case::other_address(32, RESTART_TIME, true)]
#[case::at_once(33, Duration::from_millis(50), false)]
#[tokio::test]
async fn reborn_workers_used(#[case] block: u8, #[case] after: Duration, #[case] moved: bool) {
    let scene = start_plain(block).await;
    let again = scene.workers.iter().map(|worker| worker.start_again(after, moved));
    let lives = futures_util::future::join_all(again).await;
    let start = Instant::now();
    let within = || lives.iter().all(|life| life.beats() < MOST_BEATS);
    let used = scene.all_are_used("again", within).await;
    println!("all lives had a request {:?} after they had started", start.elapsed());
    assert!(used, "some lives get no requests: {}", scene.system.logs());
    // A life that was used before its first call has been told by then.
    while lives.iter().any(|life| life.beats() < 3) {
        tokio::time::sleep(POLL).await;
    }
    let logs = scene.system.logs();
    assert_eq!(logs.matches("event=worker_born_again").count(), WORKERS, "{logs}");
}

#[rstest]
#[tokio::test]
async fn foreign_records_refused() {
    let scene = start_plain(34).await;
    for (number, record) in foreign_records().iter().enumerate() {
        for worker in &scene.workers {
            let controller = &scene.system.controllers[number % scene.system.controllers.len()];
            let status = send_record(controller, &worker.id, record).await;
            assert_eq!(status, 400, "{record}");
        }
    }
    assert!(scene.all_are_used("foreign", || true).await, "{}", scene.system.logs());
    let logs = scene.system.logs();
    assert!(logs.contains("event=record_refused worker=\"p0\" field=\"slots\""), "{logs}");
}

/// A member that has started again is a lost one, though it never missed a heartbeat for long.
#[rstest]
#[case::member(35, false, RESTART_TIME)]
#[case::member_at_once(36, false, Duration::from_millis(50))]
#[case::head(37, true, RESTART_TIME)]
#[tokio::test]
async fn reborn_member_lost(#[case] block: u8, #[case] head: bool, #[case] after: Duration) {
    let system = System::start(block);
    let fleet = Fleet::new(system.controllers.clone());
    let mut engines: Vec<Arc<Worker>> =
        (0..9).map(|n| Worker::start_born(&fleet, &format!("e{n}"), "models", true, "a")).collect();
    assert_eq!(system.replace(&configuration(3)).await, 200);
    system.wait_ready().await;
    system.call_until_served("/chat/1", "warm").await;
    while engines.iter().any(|engine| engine.beats() < FIRST_BEATS) {
        tokio::time::sleep(POLL).await;
    }
    let open: BTreeSet<u64> =
        engines.iter().filter(|one| one.is_open_head()).filter_map(|one| one.epoch()).collect();
    let wanted = |engine: &Arc<Worker>| {
        engine.is_open_head() == head && engine.epoch().is_some_and(|epoch| open.contains(&epoch))
    };
    let place = engines.iter().position(wanted).expect("a replica is open");
    let epoch = engines[place].epoch().expect("it is a member");
    engines[place] = engines[place].start_again(after, false).await;
    // From its second heartbeat on every gateway has been told.
    while engines[place].beats() < 3 {
        tokio::time::sleep(POLL).await;
    }
    for number in 0..12 {
        let id = format!("after-{number}");
        let answer = system.call(number % 2, "/chat/1", &id, Some(KEY)).await;
        let answer = answer.unwrap_or_else(|error| panic!("{error}: {}", system.logs()));
        assert_eq!(answer.status().as_u16(), 200, "{}", system.logs());
        assert!(!fleet.epochs_of(&id).contains(&epoch), "{id}: {}", system.logs());
    }
    assert_eq!(fleet.breaches(), Vec::<String>::new(), "{}", system.logs());
}
