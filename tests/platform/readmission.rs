//! A controller loses its disk while the configuration changes, and four seconds after its return
//! all daemons lose power and the leader its disk.
//!
//! Guards against a voter that is admitted again and does not count, so that the next lost disk leaves
//! no majority.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_testkit::FaultMode;
use rand::RngExt;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::changes::{FIRST_VERSION, added_path, grown_configuration};
use crate::fleet::Fleet;
use crate::system::{CONTROLLERS, KEY, Layout, System, configuration, replace_at};
use crate::worker::Worker;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for a condition that must hold before the disturbance.
const SETUP_TIMEOUT: Duration = Duration::from_secs(60);
/// Bounds of the pause between two changes, in milliseconds.
const CHANGE_PAUSE_MS: (u64, u64) = (100, 150);
/// Time of changes before the first disk is lost, in which the log is compacted several times.
const CHANGED_TIME: Duration = Duration::from_secs(4);
/// Longest time for which the leader's messages do not reach the returned controller.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time after its return for which a controller counts as lost. After it, another disk may be lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time after the loss of power within which a leader is elected and all gateways are up to date.
const RECOVERY_TIME: Duration = Duration::from_secs(20);
/// Service of the `hold` route in the last version. It has no workers, so that only a gateway with
/// an older version can run a request of that route.
const LAST_SERVICE: &str = "moved";

/// Controller whose disk is lost first.
#[derive(Clone, Copy, Debug)]
enum FirstLoss {
    Follower,
    Leader,
}

/// Changes of the configuration, sent until they are stopped.
pub struct Changes {
    stopped: Arc<AtomicBool>,
    task: JoinHandle<u64>,
}

impl Changes {
    /// Sends changes, each to the first of the controllers that acknowledges it. `content` returns
    /// the configuration of a version.
    pub fn start(controllers: Vec<String>, content: fn(u64) -> Value) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(send_changes(controllers, content, Arc::clone(&stopped)));
        Self { stopped, task }
    }

    /// Stops the changes and returns the version that was sent last.
    pub async fn stop(self) -> u64 {
        self.stopped.store(true, Ordering::Relaxed);
        self.task.await.expect("the changes do not panic")
    }
}

async fn send_changes(
    controllers: Vec<String>,
    content: fn(u64) -> Value,
    stopped: Arc<AtomicBool>,
) -> u64 {
    let mut version = FIRST_VERSION;
    while !stopped.load(Ordering::Relaxed) {
        version += 1;
        let body = Bytes::from(content(version).to_string());
        for controller in &controllers {
            if replace_at(controller, &body).await == 200 {
                break;
            }
        }
        let (shortest, longest) = CHANGE_PAUSE_MS;
        let pause = rand::rng().random_range(shortest..longest);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    version
}

/// Returns the last configuration, in which the `hold` route belongs to another service.
fn last_configuration(version: u64) -> Value {
    let mut content = grown_configuration(version);
    content["routes"][1]["service"] = json!(LAST_SERVICE);
    let services = content["services"].as_array_mut().expect("the configuration has services");
    services.push(json!({"name": LAST_SERVICE, "health_path": "/healthz", "max_conns": 100}));
    content
}

/// Returns the controller that leads, if one does before the deadline.
pub async fn find_leader(system: &System, deadline: Instant) -> Option<usize> {
    while Instant::now() < deadline {
        for controller in 0..CONTROLLERS {
            if system.has_metric(controller, "controller_leads 1").await {
                return Some(controller);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

/// Returns the controller that leads; fails if none does.
pub async fn leader_of(system: &System) -> usize {
    let leader = find_leader(system, Instant::now() + SETUP_TIMEOUT).await;
    leader.unwrap_or_else(|| panic!("no controller leads: {}", system.logs()))
}

/// Waits until the leader has removed a voter and admitted it again, at most for [`HOLD_TIME`].
async fn wait_for_readmission(system: &System, leader: usize) {
    let deadline = Instant::now() + HOLD_TIME;
    for voters in [CONTROLLERS - 1, CONTROLLERS] {
        let expected = format!("controller_voters {voters}");
        while Instant::now() < deadline && !system.has_metric(leader, &expected).await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Kills a controller and starts it with an empty disk. The leader's messages reach it only after
/// the leader has removed and admitted it, so that both changes of the voters arrive together.
async fn lose_disk(system: &mut System, controller: usize) {
    system.kill_controller(controller);
    let leader = leader_of(system).await;
    system.set_link(leader, controller, FaultMode::Blackhole);
    system.restart_controller(controller, true);
    wait_for_readmission(system, leader).await;
    system.set_link(leader, controller, FaultMode::Pass);
}

/// Requests the routes of the last version at a gateway until it has that version. Returns what it
/// did by an older version, and whether it lacks the last one after [`RECOVERY_TIME`].
async fn watch_gateway(system: &System, fleet: &Fleet, gateway: usize, last: u64) -> Vec<String> {
    let (mut polls, mut denied, mut outdated) = (0, 0, 0);
    let path = added_path(last);
    let deadline = Instant::now() + RECOVERY_TIME;
    let version = loop {
        polls += 1;
        let (added, moved) =
            (format!("added-{gateway}-{polls}"), format!("moved-{gateway}-{polls}"));
        let (answer, _, version) = tokio::join!(
            system.call(gateway, &path, &added, Some(KEY)),
            system.call(gateway, "/hold/1", &moved, Some(KEY)),
            system.version_at(gateway),
        );
        denied += u32::from(answer.is_ok_and(|answer| answer.status().as_u16() == 404));
        outdated += u32::from(fleet.runs(&moved) > 0);
        if version == last || Instant::now() > deadline {
            break version;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    let mut breaches = Vec::new();
    if denied > 0 {
        breaches.push(format!("gateway {gateway} denied the last route {denied} times of {polls}"));
    }
    if outdated > 0 {
        breaches.push(format!(
            "gateway {gateway} ran {outdated} requests of {polls} by an older version"
        ));
    }
    if version != last {
        breaches.push(format!("gateway {gateway} has version {version} instead of {last}"));
    }
    breaches
}

/// Returns what is wrong after the loss of power.
async fn watch_recovery(system: &System, fleet: &Fleet, last: u64) -> Vec<String> {
    let gateways =
        (0..system.gateways.len()).map(|gateway| watch_gateway(system, fleet, gateway, last));
    let deadline = Instant::now() + RECOVERY_TIME;
    let (leader, breaches) =
        tokio::join!(find_leader(system, deadline), futures_util::future::join_all(gateways));
    let mut breaches = breaches.concat();
    if leader.is_none() {
        let voters: Vec<usize> = (0..CONTROLLERS).filter(|index| system.is_voter(*index)).collect();
        breaches.push(format!("no controller leads, and only {voters:?} may vote"));
    }
    breaches
}

#[rstest]
#[case::follower(73, FirstLoss::Follower)]
#[case::leader(74, FirstLoss::Leader)]
#[tokio::test]
async fn voter_uncounted_after_removal_and_admission_together(
    #[case] block: u8,
    #[case] first_loss: FirstLoss,
) {
    let mut system = System::start_with(block, Layout::zoned_behind_proxies());
    let fleet = Fleet::new(system.controllers.clone());
    let _worker = Worker::start(&fleet, "p0", "bookings", false);
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    system.call_until_served("/hold/1", "warm").await;
    let leader = leader_of(&system).await;
    let lost = match first_loss {
        FirstLoss::Follower => (leader + 1) % CONTROLLERS,
        FirstLoss::Leader => leader,
    };
    let others = (0..CONTROLLERS).filter(|index| *index != lost);
    let addresses = others.map(|index| system.controllers[index].clone()).collect();
    let changes = Changes::start(addresses, grown_configuration);
    tokio::time::sleep(CHANGED_TIME).await;
    lose_disk(&mut system, lost).await;
    tokio::time::sleep(CATCH_UP_TIME).await;
    let last = changes.stop().await + 1;
    let leader = leader_of(&system).await;
    assert_eq!(system.replace(&last_configuration(last)).await, 200);
    system.lose_power(&[leader]);
    let breaches = watch_recovery(&system, &fleet, last).await;
    assert!(breaches.is_empty(), "{breaches:#?}: {}", system.logs());
}
