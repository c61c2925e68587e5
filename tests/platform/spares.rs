//! Deployments with more controllers than voters, or with a controller that takes the place of a lost
//! one: how soon as many disks may be lost again as promised.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::changes::FIRST_VERSION;
use crate::system::{Layout, System, configuration};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for a condition that must hold before a disk is lost.
const SETUP_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of leaders that are lost at most until one leads that is no seed.
const MAX_LEADERS: usize = 20;

/// What the leader says about the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Quorum {
    leader: usize,
    voters: u64,
    counted: u64,
    uncounted: u64,
}

impl Quorum {
    /// Returns whether all of these voters count.
    fn is_complete(&self, voters: u64) -> bool {
        (self.voters, self.counted, self.uncounted) == (voters, voters, 0)
    }
}

async fn read_quorum(system: &System) -> Option<Quorum> {
    for leader in 0..system.controllers.len() {
        if system.metric(leader, "controller_leads").await == Some(1) {
            return Some(Quorum {
                leader,
                voters: system.metric(leader, "controller_voters").await?,
                counted: system.metric(leader, "controller_voters_counted").await?,
                uncounted: system.metric(leader, "controller_voters_uncounted").await?,
            });
        }
    }
    None
}

/// Waits until the leader counts so many voters; returns it, or `None` after the limit.
async fn wait_until_complete(system: &System, voters: u64, limit: Duration) -> Option<usize> {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if let Some(quorum) = read_quorum(system).await.filter(|seen| seen.is_complete(voters)) {
            return Some(quorum.leader);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

/// Waits until the leader counts so few voters, so that it has noticed a loss.
async fn wait_until_missed(system: &System, counted: u64) {
    let deadline = Instant::now() + SETUP_TIMEOUT;
    while read_quorum(system).await.is_none_or(|seen| seen.counted > counted) {
        assert!(Instant::now() < deadline, "lost voters count: {}", system.logs());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Loses leaders and returns them with their disks until one leads that is no seed.
async fn let_non_seed_lead(system: &mut System, seeds: usize, voters: u64) -> usize {
    for _ in 0..MAX_LEADERS {
        let leader = wait_until_complete(system, voters, SETUP_TIMEOUT).await;
        let leader = leader.unwrap_or_else(|| panic!("{}", system.logs()));
        if leader >= seeds {
            return leader;
        }
        system.kill_controller(leader);
        wait_until_missed(system, voters - 1).await;
        system.restart_controller(leader, false);
    }
    panic!("only seeds lead: {}", system.logs());
}

/// Guards against a controller at a new address that never follows the log, because it knows only seeds
/// and none of them leads.
#[rstest]
#[tokio::test]
async fn successor_admitted_by_leader_that_is_no_seed() {
    let layout = Layout { spares: 1, seeds: 2, ..Layout::with_controllers(4, 1) };
    let mut system = System::start_with(214, layout);
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    let leader = let_non_seed_lead(&mut system, layout.seeds, 3).await;
    system.kill_controller(0);
    wait_until_missed(&system, 2).await;
    system.restart_controller(layout.controllers - 1, true);
    let seen = wait_until_complete(&system, 3, SETUP_TIMEOUT).await;
    assert!(seen.is_some(), "{leader} led: {}", system.logs());
}
