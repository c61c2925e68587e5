//! A controller whose disk is restored from a backup.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::changes::{FIRST_VERSION, grown_configuration};
use crate::readmission::leader_of;
use crate::system::{CONTROLLERS, Layout, System, configuration};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for a condition that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of changes that the backup lacks.
const CHANGES: u64 = 5;

async fn wait_for_metric(system: &System, name: &str, expected: u64) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let leader = leader_of(system).await;
        if system.metric(leader, name).await == Some(expected) {
            return;
        }
        assert!(Instant::now() < deadline, "{name} is not {expected}: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a controller is a voter, and the leader has heard from it.
async fn wait_for_voter(system: &System, controller: usize) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !system.is_voter(controller) {
        assert!(Instant::now() < deadline, "{controller} is no voter: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    wait_for_metric(system, "controller_voters_counted", CONTROLLERS as u64).await;
}

/// Guards against a restored disk that goes on counting with what it has forgotten.
#[rstest]
#[tokio::test]
async fn restored_controller_is_readmitted() {
    let mut system = System::start_with(216, Layout::plain());
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    wait_for_metric(&system, "controller_voters_counted", CONTROLLERS as u64).await;
    let restored = (leader_of(&system).await + 1) % CONTROLLERS;
    system.kill_controller(restored);
    let copy = system.copy_data(restored);
    system.restart_controller(restored, false);
    wait_for_voter(&system, restored).await;
    for version in FIRST_VERSION + 1..=FIRST_VERSION + CHANGES {
        assert_eq!(system.replace(&grown_configuration(version)).await, 200);
    }
    wait_for_metric(&system, "controller_voters_counted", CONTROLLERS as u64).await;
    let noted = system.logs().matches("event=voters_proposed").count();
    system.kill_controller(restored);
    system.restore_data(restored, &copy);
    system.restart_controller(restored, false);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while system.logs().matches("event=voters_proposed").count() < noted + 2 {
        assert!(Instant::now() < deadline, "it is not replaced: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    wait_for_voter(&system, restored).await;
    assert!(system.logs().contains("the data folder was emptied or restored"), "{}", system.logs());
}
