//! Links between controllers are so slow that no confirmation of the leader is ever recent.

use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use tokio::time::Instant;

use crate::changes::FIRST_VERSION;
use crate::readmission::leader_of;
use crate::system::{CONTROLLERS, Layout, System, configuration};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for each awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay of each message. A reply arrives after twice this time, which is longer than the time for
/// which a confirmation is recent.
const LINK_DELAY: Duration = Duration::from_millis(350);

fn delay_links(system: &System) {
    for from in 0..CONTROLLERS {
        for to in (0..CONTROLLERS).filter(|to| *to != from) {
            system.set_link(from, to, FaultMode::Delay(LINK_DELAY));
        }
    }
}

/// Waits until a controller, leading whether or not that is confirmed, counts this many voters.
async fn wait_until_counted(system: &System, expected: usize) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let counted = format!("controller_voters_counted {expected}");
    let lines = [counted.as_str(), "controller_voters_uncounted 0"];
    loop {
        for controller in 0..CONTROLLERS {
            if system.has_metrics(controller, &lines).await {
                return;
            }
        }
        assert!(Instant::now() < deadline, "no leader counts {expected} voters: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a controller itself knows that it counts, which it learns from the leader.
async fn wait_until_voter(system: &System, controller: usize) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !system.is_voter(controller) {
        assert!(Instant::now() < deadline, "{controller} does not count: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

// Guards against a returned voter that is not admitted because the leader waits for a confirmation.
#[rstest]
#[tokio::test]
async fn voter_admitted_without_recent_confirmation() {
    let mut system = System::start_with(94, Layout::zoned_behind_proxies());
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    wait_until_counted(&system, CONTROLLERS).await;
    let lost = (leader_of(&system).await + 1) % CONTROLLERS;
    delay_links(&system);
    system.kill_controller(lost);
    wait_until_counted(&system, CONTROLLERS - 1).await;
    system.restart_controller(lost, true);
    wait_until_counted(&system, CONTROLLERS).await;
    wait_until_voter(&system, lost).await;
}
