//! All daemons lose power, and one controller its disk, right after acknowledged changes.
//!
//! Guards against gateways that answer 404 on an acknowledged route: it happened ten seconds after
//! the change was acknowledged and five seconds after all machines had power again. No controller
//! led, because a voter that had lost its disk earlier was never admitted again, and the disks lost
//! at the end left no majority. After two seconds the controllers published their last snapshots,
//! and the gateways treated these as the newest configuration.
//!
//! The voter was not admitted because the leader, which no setting named as a seed, refused its own
//! proposal every half second: `event=voters_proposed` 50 times in 26 s, each followed by
//! `event=voters_refused outcome=Busy`, while the voter continued to report `lost_disk=true`.

use std::time::Duration;

use rstest::rstest;

use crate::changes::{FIRST_VERSION, added_path, grown_configuration};
use crate::system::{CONTROLLERS, KEY, Layout, System, configuration};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of polls after which a condition that must hold counts as failed.
const MAX_POLLS: u32 = 600;
/// Number of polls for the admission of a voter.
const ADMISSION_POLLS: u32 = 100;
/// Version of the last change. It lies some changes beyond a snapshot, which replaces 16 log
/// entries.
const LAST_VERSION: u64 = FIRST_VERSION + 22;

/// Returns the controller that leads.
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
    let expected = format!("controller_voters {CONTROLLERS}");
    for _ in 0..MAX_POLLS {
        let leader = find_leader(system).await;
        if system.has_metric(leader, &expected).await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the controllers do not reach {CONTROLLERS} voters: {}", system.logs());
}

/// Waits until a gateway has the last change, and fails if it denies the route.
async fn wait_for_last_change(system: &System, gateway: usize) {
    for poll in 0..MAX_POLLS {
        let id = format!("added-{gateway}-{poll}");
        let answer = system.call(gateway, &added_path(LAST_VERSION), &id, Some(KEY)).await;
        if answer.is_ok_and(|answer| answer.status().as_u16() == 404) {
            panic!("gateway {gateway} denies the route of the last change: {}", system.logs());
        }
        if system.version_at(gateway).await == LAST_VERSION {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("gateway {gateway} does not reach the last change: {}", system.logs());
}

#[rstest]
#[tokio::test]
async fn route_kept_after_lost_disks() {
    let mut system = System::start_with(45, Layout::with_one_seed());
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    wait_for_voters(&system).await;
    // The seed loses its disk, so that a controller leads that the settings do not name.
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
