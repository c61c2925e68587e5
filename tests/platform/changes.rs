//! Changes of the configuration that follow each other faster than they travel.
//!
//! What happened: two gateways of one zone refused requests with 404 more than two seconds after
//! the change that added their route was acknowledged, while a change came every 150 ms.
//!
//! Sequence: the zone's controller was cut off from the others, so its gateways depended on the
//! controllers of other zones. These wait 400 ms, so that the zone's own controller comes first.
//! They counted the wait from the newest commit, so each change began it anew, and it never ended
//! while changes went on.
//!
//! What settled it: `event=gateway_behind` named the gateways of that zone only. In nine seconds of
//! changes they logged `event=configuration_in_force` three times, each time after a pause of more
//! than 400 ms in `event=configuration_committed`; reading one took 2 ms (`read_ms`).

use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use serde_json::{Value, json};

use crate::system::{CONTROLLERS, KEY, Layout, System, configuration};

/// Pause between two changes: well under the wait of controllers of other zones.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);
/// Changes within which an earlier one must have come everywhere; a delivery takes about ten.
const MOST_CHANGES: u64 = 80;
/// Looks, a pause apart, at what must come about before anything is disturbed.
const MOST_LOOKS: u32 = 600;
/// Version of the first configuration.
pub const FIRST_VERSION: u64 = 3;

/// Why a zone's controller does not tell its gateways.
#[derive(Clone, Copy, Debug)]
enum Absence {
    /// It is cut off from the other controllers, and reaches its gateways.
    CutOff,
    /// Its process has ended.
    Killed,
}

/// A configuration in which each change since the first has added a route.
pub fn grown_configuration(version: u64) -> Value {
    let added: Vec<u64> = (FIRST_VERSION + 1..=version).collect();
    configuration_with(version, &added)
}

/// A configuration with a route for each of the versions that have added one.
pub fn configuration_with(version: u64, added: &[u64]) -> Value {
    let mut content = configuration(version);
    let routes = content["routes"].as_array_mut().expect("it has routes");
    for added in added {
        let mut route = routes[1].clone();
        route["name"] = json!(format!("added-{added}"));
        route["path_prefix"] = json!(added_path(*added));
        routes.push(route);
    }
    content
}

pub fn added_path(version: u64) -> String {
    format!("/added-{version}/")
}

/// Whether a gateway routes what a version added.
async fn knows_route(system: &System, gateway: usize, version: u64) -> bool {
    if system.version_at(gateway).await == 0 {
        // Without any configuration it refuses with 503 too.
        return false;
    }
    let id = format!("route-{gateway}-{version}");
    let answer = system.call(gateway, &added_path(version), &id, Some(KEY)).await;
    // There are no workers: what is routed is refused with 503, and anything else with 404.
    answer.is_ok_and(|answer| answer.status().as_u16() == 503)
}

/// Waits until a gateway routes what a version added, before anything is disturbed.
async fn wait_for_route(system: &System, gateway: usize, version: u64) {
    for _ in 0..MOST_LOOKS {
        if knows_route(system, gateway, version).await {
            return;
        }
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    panic!("gateway {gateway} does not come to version {version}: {}", system.logs());
}

/// A controller that does not lead; the gateway of the same index is in its zone.
async fn find_follower(system: &System) -> usize {
    for _ in 0..MOST_LOOKS {
        let mut leads = Vec::new();
        for controller in 0..CONTROLLERS {
            leads.push(system.metrics(controller).await.contains("controller_leads 1"));
        }
        if leads.contains(&true) {
            return leads.iter().position(|leads| !leads).expect("one leads at most");
        }
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    panic!("no controller leads: {}", system.logs());
}

fn take_away(system: &mut System, controller: usize, absence: Absence) {
    match absence {
        Absence::CutOff => {
            for other in (0..CONTROLLERS).filter(|other| *other != controller) {
                system.set_link(controller, other, FaultMode::Blackhole);
                system.set_link(other, controller, FaultMode::Blackhole);
            }
        }
        Absence::Killed => system.kill_controller(controller),
    }
}

#[rstest]
#[case::cut_off(6, Absence::CutOff)]
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
    take_away(&mut system, absent, absence);
    let first = version + 1;
    // Once the absence is noticed each later change arrives as soon as the first does.
    let mut pending = vec![first, first + 40];
    while let Some(wanted) = pending.first().copied() {
        version += 1;
        assert_eq!(system.replace(&grown_configuration(version)).await, 200);
        tokio::time::sleep(CHANGE_PAUSE).await;
        if version >= wanted && knows_route(&system, absent, wanted).await {
            pending.remove(0);
        }
        assert!(
            version < wanted + MOST_CHANGES,
            "the gateway in the zone of controller {absent} still lacks version \
             {wanted}, {MOST_CHANGES} changes later: {}",
            system.logs()
        );
    }
}
