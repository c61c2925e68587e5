//! Deployments with more controllers than voters, or with a controller that takes the place of a lost
//! one: how soon as many disks may be lost again as promised.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::changes::{FIRST_VERSION, grown_configuration};
use crate::readmission::Changes;
use crate::system::{Layout, System, configuration};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for a condition that must hold before a disk is lost.
const SETUP_TIMEOUT: Duration = Duration::from_secs(60);
/// Time of changes before a disk is lost, in which the log is compacted.
const CHANGED_TIME: Duration = Duration::from_secs(3);
/// Time after which the return of a controller, or the start of its successor, makes up for its
/// loss.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// The same in deployments of which two disks may be lost.
const LONG_CATCH_UP_TIME: Duration = Duration::from_secs(6);
/// Time after a loss at which the controller returns, or its successor starts.
const ABSENCE: Duration = Duration::from_millis(500);

/// Number of leaders that are lost at most until one leads that is no seed.
const MAX_LEADERS: usize = 20;

/// Controllers that are lost together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lost {
    Follower,
    Leader,
    TwoFollowers,
    LeaderAndFollower,
}

impl Lost {
    /// Returns the voters that are lost, by their numbers.
    fn select(self, leader: usize, followers: &[usize]) -> Vec<usize> {
        match self {
            Self::Follower => vec![followers[0]],
            Self::Leader => vec![leader],
            Self::TwoFollowers => followers[..2].to_vec(),
            Self::LeaderAndFollower => vec![leader, followers[0]],
        }
    }
}

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

/// Waits until the leader counts so many voters, none of which is a lost controller that it has not
/// admitted since; returns how long that took.
pub async fn wait_until_replaced(
    system: &System,
    voters: u64,
    lost: &[usize],
    limit: Duration,
) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() < limit {
        let quorum = read_quorum(system).await.filter(|seen| seen.is_complete(voters));
        let replaced = |leader: usize| {
            let named = |lost: &&usize| system.names_voter(leader, **lost);
            lost.iter().filter(named).all(|lost| system.is_voter(*lost))
        };
        if quorum.is_some_and(|seen| replaced(seen.leader)) {
            return Some(started.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

/// Starts a deployment that changes its configuration, if `busy`, and waits until all voters count.
/// Returns the leader and the other voters.
async fn start(
    block: u8,
    layout: Layout,
    busy: bool,
) -> (System, usize, Vec<usize>, Option<Changes>) {
    let system = System::start_with(block, layout);
    assert_eq!(system.replace(&configuration(FIRST_VERSION)).await, 200);
    let voters = 2 * u64::from(layout.losses) + 1;
    assert!(
        wait_until_complete(&system, voters, SETUP_TIMEOUT).await.is_some(),
        "{}",
        system.logs()
    );
    let changes = busy.then(|| Changes::start(system.controllers.clone(), grown_configuration));
    tokio::time::sleep(CHANGED_TIME).await;
    let leader = wait_until_complete(&system, voters, SETUP_TIMEOUT).await;
    let leader = leader.unwrap_or_else(|| panic!("{}", system.logs()));
    let followers = (0..layout.controllers)
        .filter(|index| *index != leader && system.is_voter(*index))
        .collect();
    (system, leader, followers, changes)
}

/// Guards against disks that are counted late after two were lost at once.
#[rstest]
#[case::five_two_followers(200, 5, Lost::TwoFollowers, false)]
#[case::five_with_leader(201, 5, Lost::LeaderAndFollower, true)]
#[case::six_two_followers(202, 6, Lost::TwoFollowers, true)]
#[case::six_with_leader(203, 6, Lost::LeaderAndFollower, true)]
#[case::eight_two_followers(204, 8, Lost::TwoFollowers, true)]
#[case::eight_with_leader(205, 8, Lost::LeaderAndFollower, false)]
#[tokio::test]
async fn all_voters_counted_after_two_lost_disks(
    #[case] block: u8,
    #[case] controllers: usize,
    #[case] lost: Lost,
    #[case] busy: bool,
) {
    let layout = Layout::with_controllers(controllers, 2);
    let (mut system, leader, followers, changes) = start(block, layout, busy).await;
    let lost = lost.select(leader, &followers);
    lost.iter().for_each(|index| system.kill_controller(*index));
    tokio::time::sleep(ABSENCE).await;
    lost.iter().for_each(|index| system.restart_controller(*index, true));
    let taken = wait_until_replaced(&system, 5, &lost, LONG_CATCH_UP_TIME).await;
    println!("{controllers} controllers, {lost:?} of {leader}: counted {taken:?} after the return");
    if let Some(changes) = changes {
        changes.stop().await;
    }
    assert!(taken.is_some(), "{}", system.logs());
}

/// Guards against voters that are lost for good and not replaced by controllers that follow the log.
#[rstest]
#[case::six_follower(206, 6, Lost::Follower, true)]
#[case::six_leader(207, 6, Lost::Leader, true)]
#[case::eight_two_followers(208, 8, Lost::TwoFollowers, true)]
#[case::eight_with_leader(209, 8, Lost::LeaderAndFollower, true)]
#[tokio::test]
async fn lost_voter_replaced_by_spare(
    #[case] block: u8,
    #[case] controllers: usize,
    #[case] lost: Lost,
    #[case] busy: bool,
) {
    let layout = Layout::with_controllers(controllers, 2);
    let (mut system, leader, followers, changes) = start(block, layout, busy).await;
    let lost = lost.select(leader, &followers);
    lost.iter().for_each(|index| system.kill_controller(*index));
    let taken = wait_until_replaced(&system, 5, &lost, SETUP_TIMEOUT).await;
    println!("{controllers} controllers, {lost:?} of {leader}: replaced {taken:?} after the loss");
    if let Some(changes) = changes {
        changes.stop().await;
    }
    assert!(taken.is_some(), "{}", system.logs());
}

/// Guards against successors that are admitted after the time from which another disk may be lost.
#[rstest]
#[case::follower(210, 4, Lost::Follower, true)]
#[case::leader(211, 4, Lost::Leader, true)]
#[case::leader_calm(212, 4, Lost::Leader, false)]
#[case::six_leader(213, 6, Lost::Leader, true)]
#[tokio::test]
async fn voter_replaced_by_successor_at_new_address(
    #[case] block: u8,
    #[case] controllers: usize,
    #[case] lost: Lost,
    #[case] busy: bool,
) {
    let losses = if controllers > 4 { 2 } else { 1 };
    let layout = Layout { spares: 1, ..Layout::with_controllers(controllers, losses) };
    let (mut system, leader, followers, changes) = start(block, layout, busy).await;
    let lost = lost.select(leader, &followers);
    lost.iter().for_each(|index| system.kill_controller(*index));
    tokio::time::sleep(ABSENCE).await;
    system.restart_controller(controllers - 1, true);
    let limit = if losses == 1 { CATCH_UP_TIME } else { LONG_CATCH_UP_TIME };
    let voters = 2 * u64::from(losses) + 1;
    let taken = wait_until_replaced(&system, voters, &lost, limit).await;
    println!("{controllers} controllers, {lost:?} of {leader}: replaced {taken:?} after the start");
    if let Some(changes) = changes {
        changes.stop().await;
    }
    assert!(taken.is_some(), "{}", system.logs());
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
