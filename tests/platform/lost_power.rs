//! All daemons lose power, some of them their disks, right after an acknowledged change.
//!
//! Ten seconds after a change was acknowledged, and five after all machines had power again,
//! gateways still refused the route that it had added with 404. No controller led: a voter that had
//! lost its disk earlier had never been admitted anew, and with the disks lost at the end no
//! majority was left. The controllers told their last snapshots after two seconds, and the
//! gateways took these for the newest.
//!
//! The leader, which no setting named, had refused its own proposal every half second:
//! `event=voters_proposed` 50 times in 26 s, each followed by `event=voters_refused outcome=Busy`,
//! while the voter went on to say `lost_disk=true`.

use std::time::Duration;

use rstest::rstest;

use crate::changes::{FIRST_VERSION, added_path, grown_configuration};
use crate::system::{CONTROLLERS, KEY, Layout, System, configuration};

/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Looks before something that must happen counts as missing.
const MAX_POLLS: u32 = 600;
/// Looks at a voter that is to be admitted anew.
const ADMISSION_POLLS: u32 = 100;
/// Version of the last change: some beyond a snapshot, which replaces 16 entries of the log.
const LAST_VERSION: u64 = FIRST_VERSION + 22;

/// The controller that leads.
async fn find_leader(system: &System) -> usize {
    for _ in 0..MAX_POLLS {
        for controller in 0..CONTROLLERS {
            if system.has_metric(controller, "controller_leads 1").await {
                return controller;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("no controller leads: {}", system.logs());
}

async fn wait_for_voters(system: &System) {
    let wanted = format!("controller_voters {CONTROLLERS}");
    for _ in 0..MAX_POLLS {
        let leader = find_leader(system).await;
        if system.has_metric(leader, &wanted).await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("there are not {CONTROLLERS} voters: {}", system.logs());
}

/// Waits until a gateway holds the last change, and fails where it refuses its route for good.
async fn wait_for_last_change(system: &System, gateway: usize) {
    for poll in 0..MAX_POLLS {
        let id = format!("added-{gateway}-{poll}");
        let answer = system.call(gateway, &added_path(LAST_VERSION), &id, Some(KEY)).await;
        if answer.is_ok_and(|answer| answer.status().as_u16() == 404) {
            panic!("gateway {gateway} says that the route does not exist: {}", system.logs());
        }
        if system.version_at(gateway).await == LAST_VERSION {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("gateway {gateway} does not come to the last change: {}", system.logs());
}

#[rstest]
#[tokio::test]
async fn route_kept_after_lost_disks() {
    let mut system = System::start_with(45, Layout::with_one_seed());
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    wait_for_voters(&system).await;
    // The seed loses its disk, so that one leads which the settings do not name.
    system.kill_controller(0);
    assert_eq!(system.replace(&grown_configuration(FIRST_VERSION + 1)).await, 200);
    system.restart_controller(0, true);
    for _ in 0..ADMISSION_POLLS {
        if system.is_voter(0) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for version in FIRST_VERSION + 2..=LAST_VERSION {
        assert_eq!(system.replace(&grown_configuration(version)).await, 200);
    }
    let leader = find_leader(&system).await;
    system.lose_power(&[leader]);
    for gateway in 0..system.gateways.len() {
        wait_for_last_change(&system, gateway).await;
    }
}
