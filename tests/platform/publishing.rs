//! Controllers without a leader, and gateways that restart beside them.
//!
//! Guards against a gateway that serves by an older version than one acknowledged. Controllers in
//! contact with a majority of the voters wait for a leader; those of a zone that is cut off publish
//! what they hold, so that the zone goes on serving.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use tokio::time::Instant;

use crate::changes::{FIRST_VERSION, added_path, configuration_with, find_follower};
use crate::fleet::Fleet;
use crate::system::{CONTROLLERS, KEY, Layout, System, configuration, fetch_at};
use crate::worker::Worker;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of polls after which a condition that must hold counts as failed.
const MAX_POLLS: u32 = 600;
/// Time for which no older version may be in force: longer than all timeouts of controllers.
const OBSERVED_TIME: Duration = Duration::from_secs(10);
/// Time after a cut within which a controller stops to hold its configuration for complete, also if
/// its messages no longer arrive while it receives those of others.
const CUT_TIME: Duration = Duration::from_secs(5);
/// Version that added a route, which the last version drops.
const ADDED_VERSION: u64 = FIRST_VERSION + 1;
/// Last version. It lies some changes beyond a snapshot, which replaces 16 log entries.
const LAST_VERSION: u64 = FIRST_VERSION + 22;

/// Directions in which a zone is cut off.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// Nothing reaches the zone or leaves it.
    BothDirections,
    /// Nothing leaves the zone.
    Outgoing,
}

/// Starts a system with a worker and makes all changes up to the last version, which drops the route
/// that an earlier one added.
async fn start_with_changes(block: u8, layout: Layout) -> (System, Arc<Fleet>, Arc<Worker>) {
    let system = System::start_with(block, layout);
    let fleet = Fleet::new(system.controllers.clone());
    let worker = Worker::start(&fleet, "p0", "bookings", false);
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    for version in ADDED_VERSION..LAST_VERSION {
        let with_route = configuration_with(version, &[ADDED_VERSION]);
        assert_eq!(system.replace(&with_route).await, 200);
    }
    system.wait_ready().await;
    system.call_until_served(&added_path(ADDED_VERSION), "added").await;
    assert_eq!(system.replace(&configuration(LAST_VERSION)).await, 200);
    for gateway in 0..system.gateways.len() {
        wait_for_version(&system, gateway, LAST_VERSION).await;
        system.call_gateway_until_served(gateway, "/hold/1", &format!("before-{gateway}")).await;
    }
    wait_for_lines(&system, system.gateways.len()).await;
    (system, fleet, worker)
}

/// Waits until a gateway uses this version or a later one.
async fn wait_for_version(system: &System, gateway: usize, version: u64) {
    for _ in 0..MAX_POLLS {
        if system.version_at(gateway).await >= version {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("gateway {gateway} does not reach version {version}: {}", system.logs());
}

/// Returns how often gateways have put any version in force, and how often the last one.
fn count_installed(system: &System) -> (usize, usize) {
    let logs = system.logs();
    let last = format!("event=configuration_in_force version={LAST_VERSION} ");
    (logs.matches("event=configuration_in_force").count(), logs.matches(&last).count())
}

/// Waits until so many lines report the last version in force. Lines are written shortly after what
/// they report.
async fn wait_for_lines(system: &System, expected: usize) {
    for _ in 0..MAX_POLLS {
        if count_installed(system).1 >= expected {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{expected} lines do not report the last version: {}", system.logs());
}

/// Watches a gateway that has restarted while no leader can be elected: it must refuse everything and
/// get no configuration, and controllers must answer no read.
async fn watch_without_leader(system: &System, fleet: &Fleet, restarted: usize) {
    let end = Instant::now() + OBSERVED_TIME;
    let mut answers = 0;
    for poll in 0.. {
        let id = format!("dropped-{poll}");
        let path = added_path(ADDED_VERSION);
        if let Ok(answer) = system.call(restarted, &path, &id, Some(KEY)).await {
            let (status, runs) = (answer.status().as_u16(), fleet.runs(&id));
            assert_eq!((status, runs), (503, 0), "{path} at the gateway: {}", system.logs());
            let retry = answer.headers().contains_key("retry-after");
            assert!(retry, "the refusal lacks Retry-After: {}", system.logs());
            answers += 1;
        }
        let version = system.version_at(restarted).await;
        assert_eq!(version, 0, "the gateway got a version without a leader: {}", system.logs());
        for controller in &system.controllers {
            let read = fetch_at(controller).await;
            assert!(read.is_none(), "{controller} answers a read: {}", system.logs());
        }
        if Instant::now() > end {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(answers > 0, "the gateway does not answer: {}", system.logs());
}

/// Two of three disks are lost with all power, so that no leader can be elected. A gateway that
/// restarted serves nothing; one that kept running serves by the version that it has.
#[rstest]
#[tokio::test]
async fn no_older_version_without_leader() {
    let (mut system, fleet, _worker) = start_with_changes(84, Layout::plain()).await;
    let (restarted, running) = (0, 1);
    let wiped: Vec<usize> = (1..CONTROLLERS).collect();
    let controllers_and_gateway: Vec<usize> = (0..=CONTROLLERS + restarted).collect();
    system.lose_power_of(&controllers_and_gateway, &wiped);
    watch_without_leader(&system, &fleet, restarted).await;
    system.call_gateway_until_served(running, "/hold/1", "running").await;
    assert_eq!(system.version_at(running).await, LAST_VERSION);
    for controller in 0..CONTROLLERS {
        assert!(system.has_metric(controller, "controller_leads 0").await);
    }
    assert!(system.logs().contains("event=telling basis=Waiting"), "{}", system.logs());
}

/// All power is lost and one disk with it, and one controller with its disk is back later than the
/// others. Until then no leader can be elected; after that every gateway gets the last version and
/// never an older one.
#[rstest]
#[tokio::test]
async fn last_version_once_majority_is_back() {
    let (mut system, fleet, _worker) = start_with_changes(88, Layout::plain()).await;
    let (wiped, late) = (1, 2);
    let installed_before = count_installed(&system);
    system.kill_controller(late);
    let others: Vec<usize> = (0..system.daemon_count()).filter(|daemon| *daemon != late).collect();
    system.lose_power_of(&others, &[wiped]);
    watch_without_leader(&system, &fleet, 0).await;
    system.restart_controller(late, false);
    for gateway in 0..system.gateways.len() {
        wait_for_version(&system, gateway, LAST_VERSION).await;
        system.call_gateway_until_served(gateway, "/hold/1", &format!("after-{gateway}")).await;
    }
    // Each gateway has put one version in force since, which was the last one.
    let (all, last) = installed_before;
    let expected = (all + system.gateways.len(), last + system.gateways.len());
    wait_for_lines(&system, expected.1).await;
    assert_eq!(count_installed(&system), expected, "{}", system.logs());
}

/// A zone is cut off with its controller, and its gateway restarts, alone or together with the
/// controller. The gateway must be served again, and get the last version once the zone is back.
///
/// In the case of one direction, messages still reach the zone: its controller hears others and must
/// notice that it is cut off all the same.
#[rstest]
#[case::gateway(85, false, Cut::BothDirections)]
#[case::gateway_and_controller(86, true, Cut::BothDirections)]
#[case::one_direction(87, false, Cut::Outgoing)]
#[tokio::test]
async fn cut_off_zone_serves(
    #[case] block: u8,
    #[case] controller_restarts: bool,
    #[case] cut: Cut,
) {
    let (mut system, _, _other_worker) =
        start_with_changes(block, Layout::zoned_behind_proxies()).await;
    let zone = find_follower(&system).await;
    // A worker of the zone registers with the zone's controller.
    let fleet = Fleet::new(vec![system.controllers[zone].clone()]);
    let _worker = Worker::start(&fleet, "p1", "bookings", false);
    let inside = [zone, CONTROLLERS + zone];
    let modes = match cut {
        Cut::BothDirections => (FaultMode::Blackhole, FaultMode::Blackhole),
        Cut::Outgoing => (FaultMode::Blackhole, FaultMode::BlackholeReplies),
    };
    set_links_around(&system, &inside, modes);
    tokio::time::sleep(CUT_TIME).await;
    let restarted = if controller_restarts { &inside[..] } else { &inside[1..] };
    system.lose_power_of(restarted, &[]);
    system.call_gateway_until_served(zone, "/hold/1", "cut-off").await;
    set_links_around(&system, &inside, (FaultMode::Pass, FaultMode::Pass));
    wait_for_version(&system, zone, LAST_VERSION).await;
}

/// Sets the fault modes of the connections between these daemons and the others: of those that these
/// daemons open, and of those that the others open.
fn set_links_around(system: &System, inside: &[usize], modes: (FaultMode, FaultMode)) {
    for outside in (0..system.daemon_count()).filter(|daemon| !inside.contains(daemon)) {
        for daemon in inside {
            system.set_link(*daemon, outside, modes.0);
            system.set_link(outside, *daemon, modes.1);
        }
    }
}

/// A zone is cut off and loses power after an acknowledged change that dropped a route, and one more
/// change. Its gateway must be served again, and must not run requests of the route: that happened
/// by a snapshot that lay up to 16 changes behind.
#[rstest]
#[tokio::test]
async fn dropped_route_not_served_in_cut_off_zone() {
    let (mut system, _, _other_worker) =
        start_with_changes(89, Layout::zoned_behind_proxies()).await;
    let zone = find_follower(&system).await;
    let fleet = Fleet::new(vec![system.controllers[zone].clone()]);
    let _worker = Worker::start(&fleet, "p1", "bookings", false);
    let next = LAST_VERSION + 1;
    assert_eq!(system.replace(&configuration(next)).await, 200);
    wait_for_version(&system, zone, next).await;
    wait_for_controller(&system, zone, next).await;
    let inside = [zone, CONTROLLERS + zone];
    set_links_around(&system, &inside, (FaultMode::Blackhole, FaultMode::Blackhole));
    system.lose_power_of(&inside, &[]);
    for poll in 0..MAX_POLLS {
        let id = format!("dropped-{poll}");
        let _ = system.call(zone, &added_path(ADDED_VERSION), &id, Some(KEY)).await;
        assert_eq!(fleet.runs(&id), 0, "the dropped route is served: {}", system.logs());
        if system.version_at(zone).await > 0 {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    system.call_gateway_until_served(zone, "/hold/1", "cut-off").await;
    let id = "dropped-last";
    let _ = system.call(zone, &added_path(ADDED_VERSION), id, Some(KEY)).await;
    assert_eq!(fleet.runs(id), 0, "the dropped route is served: {}", system.logs());
    let version = system.version_at(zone).await;
    assert!(version >= LAST_VERSION, "version {version} is in force: {}", system.logs());
}

/// Waits until a controller holds this version as committed.
async fn wait_for_controller(system: &System, controller: usize, version: u64) {
    let line = format!("controller_configuration_version {version}");
    for _ in 0..MAX_POLLS {
        if system.has_metric(controller, &line).await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("controller {controller} does not hold version {version}: {}", system.logs());
}
