//! What the leader says about the losses that its deployment bears, before a second disk is lost.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::changes::FIRST_VERSION;
use crate::readmission::leader_of;
use crate::system::{Layout, System, configuration};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for a condition that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until the leader bears so many losses, by its metrics.
async fn wait_for_losses_borne(system: &System, expected: u64) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let leader = leader_of(system).await;
        if system.metric(leader, "controller_losses_borne").await == Some(expected) {
            return;
        }
        assert!(Instant::now() < deadline, "not {expected} losses borne: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a line that contains a text was logged.
async fn wait_for_line(system: &System, text: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !system.logs().contains(text) {
        assert!(Instant::now() < deadline, "{text} was not logged: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a deployment that can bear no further lost disk and doesn't say so.
#[rstest]
#[tokio::test]
async fn losses_borne_after_lost_disk() {
    let mut system = System::start_with(215, Layout::plain());
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    wait_for_losses_borne(&system, 1).await;
    let lost = (leader_of(&system).await + 1) % system.controllers.len();
    system.kill_controller(lost);
    wait_for_losses_borne(&system, 0).await;
    wait_for_line(&system, "event=no_loss_borne log=log counted=2 voters=3").await;
    let before = system.logs().matches("event=losses_borne log=log borne=1").count();
    system.restart_controller(lost, true);
    wait_for_losses_borne(&system, 1).await;
    let borne = || system.logs().matches("event=losses_borne log=log borne=1").count();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while borne() <= before {
        assert!(Instant::now() < deadline, "that is not logged: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
