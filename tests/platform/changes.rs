//! Configuration changes that follow each other faster than they reach all gateways.
//!
//! Guards against a gateway that answers 404 more than two seconds after the change that added the
//! route was acknowledged, while a change is committed every 150 ms. It happens when a zone's
//! controller is partitioned from the other controllers, so that the gateways of the zone depend on
//! controllers of other zones. These wait 400 ms before they publish to another zone, to let that
//! zone's own controller publish first. They measured the wait from the newest commit, so that each
//! change restarted it and it never elapsed while changes continued.
//!
//! In the logs of the fault, `event=gateway_behind` named only gateways of that zone. In nine
//! seconds of changes these gateways logged `event=configuration_in_force` three times, each time
//! after a pause of more than 400 ms in `event=configuration_committed`; reading a configuration
//! took 2 ms (`read_ms`).

use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use serde_json::{Value, json};

use crate::system::{CONTROLLERS, KEY, Layout, System, configuration};

/// Pause between two changes, well below the wait of controllers of other zones.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);
/// Number of changes within which an earlier change must have reached every gateway. A delivery
/// takes about ten.
const MAX_CHANGES: u64 = 80;
/// Number of polls for a condition that must hold before the disturbance, one `CHANGE_PAUSE` apart.
const MAX_POLLS: u32 = 600;
/// Version of the first configuration.
pub const FIRST_VERSION: u64 = 3;

/// Reason why a zone's controller does not publish to its gateways.
#[derive(Clone, Copy, Debug)]
enum Absence {
    /// It is partitioned from the other controllers, and still reaches its gateways.
    Isolated,
    /// Its process was killed.
    Killed,
}

/// Returns a configuration in which each change since the first has added a route.
pub fn grown_configuration(version: u64) -> Value {
    let added: Vec<u64> = (FIRST_VERSION + 1..=version).collect();
    configuration_with(version, &added)
}

/// Returns a configuration with an additional route for each version in `added`.
pub fn configuration_with(version: u64, added: &[u64]) -> Value {
    let mut content = configuration(version);
    let routes = content["routes"].as_array_mut().expect("the configuration has routes");
    for added in added {
        let mut route = routes[1].clone();
        route["name"] = json!(format!("added-{added}"));
        route["path_prefix"] = json!(added_path(*added));
        routes.push(route);
    }
    content
}

/// Number of routes that a configuration of [`configuration_before`] removes one by one.
const REMOVED_ROUTES: u64 = 40;

/// Returns a configuration with an additional route for each version in `added`, and with the routes
/// that the next versions remove: a gateway that runs a request of the route that a version removed
/// uses an older version.
pub fn configuration_before(version: u64, added: &[u64]) -> Value {
    let mut content = configuration_with(version, added);
    let routes = content["routes"].as_array_mut().expect("the configuration has routes");
    for removed in version + 1..=version + REMOVED_ROUTES {
        let mut route = routes[1].clone();
        route["name"] = json!(format!("removed-{removed}"));
        route["path_prefix"] = json!(removed_path(removed));
        routes.push(route);
    }
    content
}

/// Returns the path of the route that a version and all later ones lack.
pub fn removed_path(version: u64) -> String {
    format!("/removed-{version}/")
}

pub fn added_path(version: u64) -> String {
    format!("/added-{version}/")
}

/// Returns whether a gateway has the route that a version added.
async fn knows_route(system: &System, gateway: usize, version: u64) -> bool {
    if system.version_at(gateway).await == 0 {
        // A gateway without a configuration also answers 503.
        return false;
    }
    let id = format!("route-{gateway}-{version}");
    let answer = system.call(gateway, &added_path(version), &id, Some(KEY)).await;
    // No workers run: a request with a route is answered with 503, one without a route with 404.
    answer.is_ok_and(|answer| answer.status().as_u16() == 503)
}

/// Waits, before the disturbance, until a gateway has the route that a version added.
async fn wait_for_route(system: &System, gateway: usize, version: u64) {
    for _ in 0..MAX_POLLS {
        if knows_route(system, gateway, version).await {
            return;
        }
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    panic!("gateway {gateway} does not reach version {version}: {}", system.logs());
}

/// Returns a controller that does not lead. The gateway with the same index is in its zone.
pub async fn find_follower(system: &System) -> usize {
    for _ in 0..MAX_POLLS {
        let mut leads = Vec::new();
        for controller in 0..CONTROLLERS {
            leads.push(system.metrics(controller).await.contains("controller_leads 1"));
        }
        if leads.contains(&true) {
            return leads.iter().position(|leads| !leads).expect("at most one controller leads");
        }
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    panic!("no controller leads: {}", system.logs());
}

fn make_absent(system: &mut System, controller: usize, absence: Absence) {
    match absence {
        Absence::Isolated => {
            for other in (0..CONTROLLERS).filter(|other| *other != controller) {
                system.set_link(controller, other, FaultMode::Blackhole);
                system.set_link(other, controller, FaultMode::Blackhole);
            }
        }
        Absence::Killed => system.kill_controller(controller),
    }
}

#[rstest]
#[case::isolated(6, Absence::Isolated)]
#[case::killed(7, Absence::Killed)]
#[tokio::test]
async fn change_reaches_zone_without_controller(#[case] block: u8, #[case] absence: Absence) {
    let mut system = System::start_with(block, Layout::zoned_behind_proxies());
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    let mut version = FIRST_VERSION + 1;
    assert_eq!(system.replace(&grown_configuration(version)).await, 200);
    for gateway in 0..system.gateways.len() {
        wait_for_route(&system, gateway, version).await;
    }
    let absent = find_follower(&system).await;
    make_absent(&mut system, absent, absence);
    let first = version + 1;
    // Once the absence is detected, each later change must arrive as fast as the first one.
    let mut pending = vec![first, first + 40];
    while let Some(awaited) = pending.first().copied() {
        version += 1;
        assert_eq!(system.replace(&grown_configuration(version)).await, 200);
        tokio::time::sleep(CHANGE_PAUSE).await;
        if version >= awaited && knows_route(&system, absent, awaited).await {
            pending.remove(0);
        }
        assert!(
            version < awaited + MAX_CHANGES,
            "the gateway in the zone of controller {absent} still lacks version \
             {awaited}, {MAX_CHANGES} changes later: {}",
            system.logs()
        );
    }
}
