//! Seeds that are gone, since every controller that they name was replaced at another address.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::changes::FIRST_VERSION;
use crate::fleet::Fleet;
use crate::spares::wait_until_replaced;
use crate::system::{KEY, Layout, System, configuration};
use crate::worker::Worker;

/// Numbers of the controllers that the settings name, and of their successors.
const SEEDS: [usize; 3] = [0, 1, 2];
const SUCCESSORS: [usize; 3] = [3, 4, 5];
/// Numbers of the gateways among the daemons.
const GATEWAYS: [usize; 2] = [6, 7];
/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for a successor to become a voter.
const SETUP_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the start of a gateway, or from the end of a controller, in which it is in contact with
/// the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after which a change is in force at all gateways in contact.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time after which the controllers forget a gateway's state.
const FORGET_TIME: Duration = Duration::from_secs(6);
/// Time for two controllers to elect a leader before the third one starts.
const ELECTION_TIME: Duration = Duration::from_secs(3);

/// How gateways end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The gateways are down for longer than controllers remember their state.
    GatewaysAbsent,
    /// All daemons lose power and are back at once.
    Power,
}

/// Starts a system in which a successor at another address has taken the place of each seed.
async fn start_without_seeds(block: u8) -> (System, Arc<Fleet>, Arc<Worker>) {
    let spares = SUCCESSORS.len();
    let layout = Layout { spares, gateways: 2, ..Layout::with_controllers(6, 1) };
    let mut system = System::start_with(block, layout);
    let fleet = Fleet::new(system.controllers.clone());
    let worker = Worker::start(&fleet, "p0", "bookings", false);
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    system.wait_ready().await;
    let mut listed = SEEDS;
    for (position, successor) in SUCCESSORS.into_iter().enumerate() {
        let seed = SEEDS[position];
        system.set_seeds(successor, &listed);
        listed[position] = successor;
        system.kill_controller(seed);
        system.restart_controller(successor, false);
        let replaced = wait_until_replaced(&system, 3, &[seed], SETUP_TIMEOUT).await;
        assert!(replaced.is_some(), "seed {seed} is not replaced: {}", system.logs());
    }
    (system, fleet, worker)
}

/// Waits until a gateway has a version of the configuration; returns whether it has it in time.
async fn has_version(system: &System, gateway: usize, version: u64, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while system.version_at(gateway).await < version {
        if Instant::now() > deadline {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}

/// Guards against gateways that find no controller after a restart, because their settings name only
/// controllers that are gone: they answered 503 for as long as they ran.
#[rstest]
#[case::gateways_absent(Loss::GatewaysAbsent, 120)]
#[case::power_lost(Loss::Power, 121)]
#[tokio::test]
async fn gateways_served_after_seeds_are_gone(#[case] loss: Loss, #[case] block: u8) {
    let (mut system, _fleet, _worker) = start_without_seeds(block).await;
    match loss {
        Loss::GatewaysAbsent => {
            system.kill_all(&GATEWAYS);
            tokio::time::sleep(FORGET_TIME).await;
            system.lose_power_of(&GATEWAYS, &[]);
        }
        Loss::Power => system.lose_power_of(&[&SUCCESSORS[..], &GATEWAYS[..]].concat(), &[]),
    }
    let deadline = Instant::now() + CONTACT_TIME + APPLY_TIME;
    for gateway in 0..GATEWAYS.len() {
        let mut status = 0;
        for number in 0.. {
            let id = format!("after-{gateway}-{number}");
            let answer = system.call(gateway, "/hold/1", &id, Some(KEY)).await;
            status = answer.map_or(0, |answer| answer.status().as_u16());
            if status == 200 || Instant::now() > deadline {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert_eq!(status, 200, "gateway {gateway} serves nothing: {}", system.logs());
    }
}

/// Guards against gateways that know one controller only and follow the configuration that it had when
/// it ended. After a loss of power, a controller whose seeds did not name the leader, and which the
/// leader's seeds did not name, shared the log with the leader but got none of its views, and so its
/// gateways learnt of no other controller.
#[rstest]
#[case::disk_kept(false, 122)]
#[case::disk_lost(true, 123)]
#[tokio::test]
async fn gateways_follow_changes_after_their_seed_ends(#[case] wiped: bool, #[case] block: u8) {
    let (mut system, _fleet, _worker) = start_without_seeds(block).await;
    let [first, second, late] = SUCCESSORS;
    system.kill_all(&[&SUCCESSORS[..], &GATEWAYS[..]].concat());
    for daemon in [first, second] {
        system.set_seeds(daemon, &[SEEDS[0], first, second]);
    }
    for daemon in [late, GATEWAYS[0], GATEWAYS[1]] {
        system.set_seeds(daemon, &[SEEDS[0], SEEDS[1], late]);
    }
    system.lose_power_of(&[first, second], &[]);
    tokio::time::sleep(ELECTION_TIME).await;
    let lost = if wiped { vec![late] } else { Vec::new() };
    system.lose_power_of(&[&[late], &GATEWAYS[..]].concat(), &lost);
    assert_eq!(system.replace(&configuration(FIRST_VERSION + 1)).await, 200);
    for gateway in 0..GATEWAYS.len() {
        let limit = CONTACT_TIME + APPLY_TIME;
        let found = has_version(&system, gateway, FIRST_VERSION + 1, limit).await;
        assert!(found, "gateway {gateway} finds no controller: {}", system.logs());
    }
    tokio::time::sleep(CONTACT_TIME).await;
    system.kill_controller(late);
    tokio::time::sleep(CONTACT_TIME).await;
    assert_eq!(system.replace(&configuration(FIRST_VERSION + 2)).await, 200);
    for gateway in 0..GATEWAYS.len() {
        let follows = has_version(&system, gateway, FIRST_VERSION + 2, APPLY_TIME).await;
        assert!(follows, "gateway {gateway} follows an older version: {}", system.logs());
    }
}

/// Guards against daemons that keep the seeds of their start: a gateway whose settings named only
/// controllers that never ran found none after its settings had been corrected.
#[rstest]
#[tokio::test]
async fn gateway_served_after_seeds_are_corrected() {
    let spares = SUCCESSORS.len();
    let layout = Layout { spares, gateways: 2, ..Layout::with_controllers(6, 1) };
    let mut system = System::start_with(124, layout);
    system.kill_all(&GATEWAYS[..1]);
    system.set_seeds(GATEWAYS[0], &SUCCESSORS);
    let fleet = Fleet::new(system.controllers.clone());
    let _worker = Worker::start(&fleet, "p0", "bookings", false);
    system.lose_power_of(&GATEWAYS[..1], &[]);
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    system.call_gateway_until_served(1, "/hold/1", "other").await;
    tokio::time::sleep(CONTACT_TIME).await;
    assert_eq!(system.version_at(0).await, 0, "the gateway knows a controller: {}", system.logs());
    system.set_seeds(GATEWAYS[0], &SEEDS);
    let limit = CONTACT_TIME + APPLY_TIME;
    let found = has_version(&system, 0, FIRST_VERSION, limit).await;
    assert!(found, "the gateway finds no controller: {}", system.logs());
}

/// Guards against gateways that follow an older version than one that was acknowledged directly before
/// all controllers lost power, and the one that had acknowledged it its disk.
#[rstest]
#[case::gateways_kept(false, 125)]
#[case::gateways_lost(true, 126)]
#[tokio::test]
async fn last_change_followed_after_power_lost(#[case] all: bool, #[case] block: u8) {
    let (mut system, _fleet, _worker) = start_without_seeds(block).await;
    let last = FIRST_VERSION + 3;
    for version in FIRST_VERSION + 1..=last {
        assert_eq!(system.replace(&configuration(version)).await, 200);
    }
    let mut leader = None;
    for controller in SUCCESSORS {
        if system.has_metric(controller, "controller_leads 1").await {
            leader = Some(controller);
        }
    }
    let leader = leader.unwrap_or_else(|| panic!("no controller leads: {}", system.logs()));
    assert_eq!(system.replace(&configuration(last + 1)).await, 200);
    let lost = if all { [&SUCCESSORS[..], &GATEWAYS[..]].concat() } else { SUCCESSORS.to_vec() };
    system.lose_power_of(&lost, &[leader]);
    for gateway in 0..GATEWAYS.len() {
        let limit = CONTACT_TIME + APPLY_TIME;
        let follows = has_version(&system, gateway, last + 1, limit).await;
        assert!(follows, "gateway {gateway} follows an older version: {}", system.logs());
    }
}
