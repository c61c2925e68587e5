//! A controller that returns with an empty disk counts in quorums again within four seconds, while
//! the configuration changes.
//!
//! From then on another disk may be lost, so the voter must hold all that was acknowledged and must
//! count, not only be listed as a voter.

use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::changes::{FIRST_VERSION, added_path, grown_configuration};
use crate::losses::CATCH_UP_TIME;
use crate::readmission::{Changes, leader_of};
use crate::system::{CONTROLLERS, Layout, System, configuration};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for a condition that must hold before the return.
const SETUP_TIMEOUT: Duration = Duration::from_secs(60);
/// Time of changes before a disk is lost, in which the log is compacted.
const CHANGED_TIME: Duration = Duration::from_secs(3);
/// Time for which links hold back all messages to and from the returned controller.
const HOLD_TIME: Duration = Duration::from_secs(1);
/// Number of routes of a large configuration.
const LARGE_ROUTES: u64 = 1_500;

/// Controller whose disk is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostDisk {
    Follower,
    Leader,
}

/// Links of the returned controller to the other controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Links {
    Pass,
    /// They hold back all messages for [`HOLD_TIME`].
    Held,
}

/// Returns a configuration with [`LARGE_ROUTES`] routes that all versions have.
fn large_configuration(version: u64) -> Value {
    let mut content = configuration(version);
    let routes = content["routes"].as_array_mut().expect("the configuration has routes");
    for number in routes.len() as u64..LARGE_ROUTES {
        let mut route = routes[1].clone();
        route["name"] = json!(format!("added-{number}"));
        route["path_prefix"] = json!(added_path(number));
        routes.push(route);
    }
    content
}

/// Returns whether a controller leads and counts the given number of voters.
async fn counts(system: &System, leader: usize, voters: usize) -> bool {
    system
        .has_metrics(
            leader,
            &["controller_leads 1", &format!("controller_voters_counted {voters}")],
        )
        .await
}

/// Waits until the leader no longer counts the lost controller, so that a later count of all voters
/// includes the returned one.
async fn wait_until_uncounted(system: &System, leader: usize) {
    let deadline = Instant::now() + SETUP_TIMEOUT;
    while !counts(system, leader, CONTROLLERS - 1).await {
        assert!(Instant::now() < deadline, "the lost voter counts: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn set_links(system: &System, controller: usize, mode: FaultMode) {
    for other in (0..CONTROLLERS).filter(|other| *other != controller) {
        system.set_link(controller, other, mode);
        system.set_link(other, controller, mode);
    }
}

/// Returns the time after the return from which on the leader counted all voters, polled until
/// [`CATCH_UP_TIME`] after the return, and `None` if it did not at the end.
async fn measure_counted(system: &System, leader: usize, returned: Instant) -> Option<Duration> {
    let mut counted_from = None;
    while returned.elapsed() < CATCH_UP_TIME {
        let counted = counts(system, leader, CONTROLLERS).await;
        counted_from = counted_from.filter(|_| counted).or(counted.then(|| returned.elapsed()));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    counted_from
}

#[rstest]
#[case::follower(75, LostDisk::Follower, grown_configuration, Links::Pass)]
#[case::leader(76, LostDisk::Leader, grown_configuration, Links::Pass)]
#[case::large_configuration(77, LostDisk::Follower, large_configuration, Links::Pass)]
#[case::held_links(78, LostDisk::Follower, grown_configuration, Links::Held)]
#[case::held_links_of_leader(79, LostDisk::Leader, grown_configuration, Links::Held)]
#[tokio::test]
async fn voter_counted_after_return(
    #[case] block: u8,
    #[case] lost_disk: LostDisk,
    #[case] content: fn(u64) -> Value,
    #[case] links: Links,
) {
    let mut system = System::start_with(block, Layout::zoned_behind_proxies());
    assert_eq!(system.replace(&content(FIRST_VERSION)).await, 200);
    let leader = leader_of(&system).await;
    let lost = match lost_disk {
        LostDisk::Follower => (leader + 1) % CONTROLLERS,
        LostDisk::Leader => leader,
    };
    let others = (0..CONTROLLERS).filter(|index| *index != lost);
    let addresses = others.map(|index| system.controllers[index].clone()).collect();
    let changes = Changes::start(addresses, content);
    tokio::time::sleep(CHANGED_TIME).await;
    system.kill_controller(lost);
    let leader = leader_of(&system).await;
    wait_until_uncounted(&system, leader).await;
    if links == Links::Held {
        set_links(&system, lost, FaultMode::Blackhole);
    }
    system.restart_controller(lost, true);
    let returned = Instant::now();
    if links == Links::Held {
        tokio::time::sleep(HOLD_TIME).await;
        set_links(&system, lost, FaultMode::Pass);
    }
    let counted = measure_counted(&system, leader, returned).await;
    let is_voter = system.is_voter(lost);
    let version = changes.stop().await;
    println!("{lost_disk:?}, {links:?}: counted {counted:?} after the return, version {version}");
    assert!(
        counted.is_some() && is_voter,
        "all voters counted from {counted:?} after the return, voter {is_voter}, version \
         {version}: {}",
        system.logs()
    );
}
