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

/// What a leader says about the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Voters {
    /// Voters of the log.
    all: u64,
    /// Voters that have replied lately and count in quorums.
    counted: u64,
    /// Voters that may not count.
    uncounted: u64,
}

/// Returns what the controller that leads says about the voters, or `None` if none leads. The leader
/// is looked up each time, since it may change on a busy machine.
async fn read_voters(system: &System) -> Option<Voters> {
    for controller in 0..CONTROLLERS {
        if system.metric(controller, "controller_leads").await == Some(1) {
            return Some(Voters {
                all: system.metric(controller, "controller_voters").await?,
                counted: system.metric(controller, "controller_voters_counted").await?,
                uncounted: system.metric(controller, "controller_voters_uncounted").await?,
            });
        }
    }
    None
}

/// Waits until the leader no longer counts the lost controller, so that a later count of all voters
/// includes the returned one.
async fn wait_until_uncounted(system: &System) {
    let deadline = Instant::now() + SETUP_TIMEOUT;
    let expected = CONTROLLERS as u64 - 1;
    while read_voters(system).await.is_none_or(|voters| voters.counted != expected) {
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

/// What was seen until [`CATCH_UP_TIME`] after a return.
#[derive(Debug, Default)]
struct Catching {
    /// Time after the return at which the leader first counted all voters.
    counted: Option<Duration>,
    /// Times after that at which a leader missed a voter, or had one that may not count.
    missed: Vec<(Duration, Voters)>,
    /// Number of polls at which no controller led.
    leaderless: usize,
}

/// Polls the leader until [`CATCH_UP_TIME`] after the return. A counted voter whose replies are late
/// on a busy machine is still one that may count, and is not missed.
async fn observe_catching(system: &System, returned: Instant) -> Catching {
    let all = CONTROLLERS as u64;
    let mut seen = Catching::default();
    while returned.elapsed() < CATCH_UP_TIME {
        let voters = read_voters(system).await;
        let elapsed = returned.elapsed();
        match voters {
            None => seen.leaderless += 1,
            Some(voters) if voters.all != all || voters.uncounted != 0 => {
                if seen.counted.is_some() {
                    seen.missed.push((elapsed, voters));
                }
            }
            Some(voters) if voters.counted == all && elapsed < CATCH_UP_TIME => {
                seen.counted.get_or_insert(elapsed);
            }
            Some(_) => {}
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    seen
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
    wait_until_uncounted(&system).await;
    if links == Links::Held {
        set_links(&system, lost, FaultMode::Blackhole);
    }
    system.restart_controller(lost, true);
    let returned = Instant::now();
    if links == Links::Held {
        tokio::time::sleep(HOLD_TIME).await;
        set_links(&system, lost, FaultMode::Pass);
    }
    let seen = observe_catching(&system, returned).await;
    let is_voter = system.is_voter(lost);
    let version = changes.stop().await;
    println!("{lost_disk:?}, {links:?}: {seen:?}, version {version}");
    assert!(
        seen.counted.is_some() && seen.missed.is_empty() && is_voter,
        "after the return {seen:?}, voter {is_voter}, version {version}: {}",
        system.logs()
    );
}
