//! Workers that restart with the same id, and records of other writers with that id.
//!
//! Guards against two faults. Calls of the new instance counted as late calls of the former one
//! until its sequence numbers exceeded the former ones: of ten workers that restarted after 0.6 s,
//! five got no request within 12 s. A replica with a restarted member continued to get requests,
//! since that member still answered.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::foreign::{foreign_records, send_record};
use crate::system::{KEY, System, configuration};
use crate::worker::Worker;

/// Number of plain workers in each test.
const WORKERS: usize = 10;
/// Heartbeats that the first instances send, so that the sequence numbers of the next instances
/// stay lower for the whole test.
const FIRST_HEARTBEATS: u64 = 40;
/// Heartbeats of a restarted instance within which it must get requests. One should suffice.
const MAX_HEARTBEATS: u64 = 8;
/// Number of concurrent requests. Gateways prefer workers with an idle connection, and use other
/// workers only under concurrency.
const BURST: usize = 60;
/// Number of bursts within which each worker must get a request.
const MAX_BURSTS: usize = 50;
const RESTART_TIME: Duration = Duration::from_millis(600);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Fixture {
    system: System,
    workers: Vec<Arc<Worker>>,
}

/// Starts a system with plain workers that have sent many heartbeats.
async fn start_plain(block: u8) -> Fixture {
    let system = System::start(block);
    let fleet = Fleet::new(system.controllers.clone());
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|n| Worker::start_with_start_time(&fleet, &format!("p{n}"), "bookings", false, "a"))
        .collect();
    assert_eq!(system.replace(&configuration(3)).await, 200);
    system.wait_ready().await;
    system.call_until_served("/hold/1", "warm").await;
    let fixture = Fixture { system, workers };
    while fixture.workers.iter().any(|worker| worker.heartbeats_sent() < FIRST_HEARTBEATS) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    fixture
}

impl Fixture {
    /// Sends requests until each worker has answered one. Returns false once `continues` returns
    /// false or the bursts are used up.
    async fn all_used(&self, name: &str, mut continues: impl FnMut() -> bool) -> bool {
        let mut used: BTreeSet<String> = BTreeSet::new();
        for burst in 0..MAX_BURSTS {
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
            if !continues() {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
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
async fn restarted_workers_used(#[case] block: u8, #[case] after: Duration, #[case] moved: bool) {
    let fixture = start_plain(block).await;
    let restarts = fixture.workers.iter().map(|worker| worker.restart_after(after, moved));
    let instances = futures_util::future::join_all(restarts).await;
    let start = Instant::now();
    let within = || instances.iter().all(|instance| instance.heartbeats_sent() < MAX_HEARTBEATS);
    let used = fixture.all_used("again", within).await;
    println!("all instances had a request {:?} after the restart", start.elapsed());
    assert!(used, "some instances get no requests: {}", fixture.system.logs());
    // An instance may be used before its first heartbeat is accepted. `heartbeats_sent` includes the
    // heartbeat in progress, and heartbeats are sent one after the other. At a count of 3, the calls
    // of the first two have ended, so that a controller has logged the restart.
    while instances.iter().any(|instance| instance.heartbeats_sent() < 3) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let logs = fixture.system.logs();
    assert_eq!(logs.matches("event=worker_born_again").count(), WORKERS, "{logs}");
}

#[rstest]
#[tokio::test]
async fn foreign_records_refused() {
    let fixture = start_plain(34).await;
    for (number, record) in foreign_records().iter().enumerate() {
        for worker in &fixture.workers {
            let controller = &fixture.system.controllers[number % fixture.system.controllers.len()];
            let status = send_record(controller, &worker.id, record).await;
            assert_eq!(status, 400, "{record}");
        }
    }
    assert!(fixture.all_used("foreign", || true).await, "{}", fixture.system.logs());
    let logs = fixture.system.logs();
    assert!(logs.contains("event=record_refused worker=\"p0\" field=\"slots\""), "{logs}");
}

/// A restarted member counts as lost, even if it missed no heartbeat deadline.
#[rstest]
#[case::member(35, false, RESTART_TIME)]
#[case::member_at_once(36, false, Duration::from_millis(50))]
#[case::head(37, true, RESTART_TIME)]
#[tokio::test]
async fn restarted_member_lost(#[case] block: u8, #[case] head: bool, #[case] after: Duration) {
    let system = System::start(block);
    let fleet = Fleet::new(system.controllers.clone());
    let mut engines: Vec<Arc<Worker>> = (0..9)
        .map(|n| Worker::start_with_start_time(&fleet, &format!("e{n}"), "models", true, "a"))
        .collect();
    assert_eq!(system.replace(&configuration(3)).await, 200);
    system.wait_ready().await;
    system.call_until_served("/chat/1", "warm").await;
    while engines.iter().any(|engine| engine.heartbeats_sent() < FIRST_HEARTBEATS) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let open: BTreeSet<u64> =
        engines.iter().filter(|one| one.is_open_head()).filter_map(|one| one.epoch()).collect();
    let is_candidate = |engine: &Arc<Worker>| {
        engine.is_open_head() == head && engine.epoch().is_some_and(|epoch| open.contains(&epoch))
    };
    let index =
        engines.iter().position(is_candidate).expect("a replica with a matching member is open");
    let epoch = engines[index].epoch().expect("the engine is a member of a replica");
    engines[index] = engines[index].restart_after(after, false).await;
    // At a count of 3, the calls of the first two heartbeats have ended. By the second one, the
    // restart has been published to every gateway.
    while engines[index].heartbeats_sent() < 3 {
        tokio::time::sleep(POLL_INTERVAL).await;
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
