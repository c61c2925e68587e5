//! Workers whose departure was acknowledged, while controllers are lost, suspended or partitioned.
//!
//! Guards against requests that go on to a worker after its deregistration was acknowledged: the
//! controller answered once the departure was in its own memory, and if it was lost before it had
//! sent the change, nobody else ever learnt of it.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::system::{CONTROLLERS, KEY, Layout, Signal, System};
use crate::worker::Worker;
use crate::{Deployment, deploy_with};

/// Time after the acknowledgement from which on a worker gets no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which a worker serves on after that.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Time within which a worker must have its acknowledgement.
const ACK_TIME: Duration = Duration::from_secs(1);
/// Time for which the messages of the acknowledging controller are held up.
pub const HELD_TIME: Duration = Duration::from_millis(250);
/// Time after which a lost controller is started again.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(20);
/// Callers of each gateway, which do not all find the same worker idle.
const CALLERS: usize = 3;
/// Time that a worker takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Requests that a worker has served before it leaves.
const MIN_ARRIVALS: usize = 10;
/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of polls after which a condition that must hold counts as failed.
const MAX_POLLS: u32 = 600;

/// The controller that acknowledges a departure.
#[derive(Clone, Copy, Debug)]
enum Acknowledger {
    /// The leader.
    Leader,
    /// The first one that does not lead. Without other troubles the workers report to the first
    /// controller.
    FirstFollower,
    /// The last one that does not lead.
    LastFollower,
}

/// What happens to a controller that was killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Return {
    /// It starts again with its disk.
    WithDisk,
    /// It starts again with an empty disk.
    Wiped,
    /// It does not start again.
    Never,
}

/// What a worker reports.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// It takes no new requests.
    Draining,
    /// The same, after it has taken an earlier such report back.
    DrainingAgain,
    /// It deregisters.
    Gone,
}

impl Departure {
    async fn report(self, worker: &Worker, controller: &str) -> u16 {
        match self {
            Self::Draining | Self::DrainingAgain => {
                worker.report_state_to(controller, "draining").await
            }
            Self::Gone => worker.deregister_at(controller).await,
        }
    }
}

/// Returns the controller that leads.
pub async fn find_leader(system: &System) -> usize {
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

async fn choose(system: &System, acknowledger: Acknowledger) -> usize {
    let leader = find_leader(system).await;
    let mut followers = (0..CONTROLLERS).filter(|controller| *controller != leader);
    match acknowledger {
        Acknowledger::Leader => leader,
        Acknowledger::FirstFollower => followers.next().expect("there are followers"),
        Acknowledger::LastFollower => followers.next_back().expect("there are followers"),
    }
}

/// Sets the fault mode of all connections that a daemon opens to others.
pub fn set_links_from(system: &System, daemon: usize, mode: FaultMode) {
    let others = (0..system.daemon_count()).filter(|other| *other != daemon);
    others.for_each(|other| system.set_link(daemon, other, mode));
}

/// Starts another worker of the plain service and waits until it has served requests of each
/// gateway.
async fn start_worker(deployment: &Deployment, id: &str) -> Arc<Worker> {
    let worker = Worker::start(&deployment.fleet, id, "bookings", false);
    for plain in [&deployment.plain, &worker] {
        plain.set_service_time(SERVICE_TIME);
    }
    let callers = start_callers(&deployment.system);
    for _ in 0..MAX_POLLS {
        tokio::time::sleep(POLL_INTERVAL).await;
        if worker.arrivals().len() >= MIN_ARRIVALS {
            callers.iter().for_each(JoinHandle::abort);
            return worker;
        }
    }
    panic!("no requests reach {id}: {}", deployment.system.logs());
}

/// Sends requests to each gateway, several at a time, until the tasks are aborted.
fn start_callers(system: &System) -> Vec<JoinHandle<()>> {
    let start = |(caller, gateway): (usize, String)| {
        tokio::spawn(async move {
            for number in 0u32.. {
                let id = format!("caller-{caller}-{number}");
                let _ = crate::system::call_gateway(&gateway, "/hold/1", &id, Some(KEY)).await;
                tokio::time::sleep(PAUSE).await;
            }
        })
    };
    let gateways = std::iter::repeat_n(&system.gateways, CALLERS).flatten().cloned();
    gateways.enumerate().map(start).collect()
}

/// Sends requests until a departed worker ends, and fails if any of them reaches it too late.
async fn expect_no_late_requests(deployment: &Deployment, worker: &Worker, acknowledged: Instant) {
    let callers = start_callers(&deployment.system);
    tokio::time::sleep_until(acknowledged + DRAIN_TIME + LINGER_TIME).await;
    callers.iter().for_each(JoinHandle::abort);
    let arrivals = worker.arrivals();
    let late = arrivals.iter().filter(|arrival| arrival.at > acknowledged + DRAIN_TIME).count();
    assert_eq!(late, 0, "requests after the departure: {}", deployment.system.logs());
    assert!(!deployment.plain.arrivals().is_empty(), "the others serve");
}

#[rstest]
#[case::follower_with_disk(155, Acknowledger::FirstFollower, Return::WithDisk, Departure::Gone)]
#[case::follower_wiped(156, Acknowledger::FirstFollower, Return::Wiped, Departure::Gone)]
#[case::follower_never(157, Acknowledger::FirstFollower, Return::Never, Departure::Gone)]
#[case::last_follower_never(158, Acknowledger::LastFollower, Return::Never, Departure::Gone)]
#[case::leader_with_disk(159, Acknowledger::Leader, Return::WithDisk, Departure::Gone)]
#[case::leader_wiped(160, Acknowledger::Leader, Return::Wiped, Departure::Gone)]
#[case::leader_never(161, Acknowledger::Leader, Return::Never, Departure::Gone)]
#[case::draining_never(162, Acknowledger::FirstFollower, Return::Never, Departure::Draining)]
#[case::draining_again(129, Acknowledger::FirstFollower, Return::Never, Departure::DrainingAgain)]
#[tokio::test]
async fn departure_kept_after_lost_controller(
    #[case] block: u8,
    #[case] acknowledger: Acknowledger,
    #[case] returns: Return,
    #[case] departure: Departure,
) {
    let mut deployment = deploy_with(block, Layout::zoned_behind_proxies()).await;
    let leaving = start_worker(&deployment, "p1").await;
    let lost = choose(&deployment.system, acknowledger).await;
    leaving.stop_heartbeats();
    let controller = deployment.system.controllers[lost].clone();
    if let Departure::DrainingAgain = departure {
        for state in ["draining", "ready"] {
            assert_eq!(leaving.report_state_to(&controller, state).await, 200);
            tokio::time::sleep(HELD_TIME).await;
        }
    }
    set_links_from(&deployment.system, lost, FaultMode::Blackhole);
    let worker = Arc::clone(&leaving);
    let mut reported = tokio::spawn(async move { departure.report(&worker, &controller).await });
    let status = match tokio::time::timeout(HELD_TIME, &mut reported).await {
        Ok(status) => status,
        Err(_) => {
            set_links_from(&deployment.system, lost, FaultMode::Pass);
            reported.await
        }
    };
    let acknowledged = Instant::now();
    deployment.system.kill_controller(lost);
    // What was held up until now does not arrive any more.
    set_links_from(&deployment.system, lost, FaultMode::Stale);
    assert_eq!(status.expect("the call ends"), 200, "{}", deployment.system.logs());
    if returns != Return::Never {
        tokio::time::sleep(RESTART_TIME).await;
        deployment.system.restart_controller(lost, returns == Return::Wiped);
    }
    expect_no_late_requests(&deployment, &leaving, acknowledged).await;
}

/// Other controllers, while one acknowledges a departure.
#[derive(Clone, Copy, Debug)]
enum Others {
    /// One is suspended.
    OneSuspended,
    /// All are suspended.
    Suspended,
    /// All were killed.
    Killed,
    /// All are partitioned from the one and from its gateway.
    Partitioned,
}

impl Others {
    fn disturb(self, system: &mut System, controller: usize) {
        let others: Vec<usize> = (0..CONTROLLERS).filter(|other| *other != controller).collect();
        match self {
            Self::OneSuspended => system.signal(others[0], Signal::Stop),
            Self::Suspended => others.iter().for_each(|other| system.signal(*other, Signal::Stop)),
            Self::Killed => system.kill_all(&others),
            Self::Partitioned => {
                let near = [controller, CONTROLLERS + controller];
                let far = (0..system.daemon_count()).filter(|daemon| !near.contains(daemon));
                for daemon in far {
                    for one in near {
                        system.set_link(daemon, one, FaultMode::Unreachable);
                        system.set_link(one, daemon, FaultMode::Unreachable);
                    }
                }
            }
        }
    }
}

/// Guards against a controller that waits for others longer than a worker waits for its answer.
#[rstest]
#[case::one_suspended(163, Others::OneSuspended)]
#[case::suspended(164, Others::Suspended)]
#[case::killed(165, Others::Killed)]
#[case::partitioned(166, Others::Partitioned)]
#[tokio::test]
async fn departure_acknowledged_without_others(#[case] block: u8, #[case] others: Others) {
    let mut deployment = deploy_with(block, Layout::zoned_behind_proxies()).await;
    let leaving = start_worker(&deployment, "p1").await;
    let second = start_worker(&deployment, "p2").await;
    let controller = 0;
    let address = deployment.system.controllers[controller].clone();
    leaving.stop_heartbeats();
    others.disturb(&mut deployment.system, controller);
    let started = Instant::now();
    assert_eq!(leaving.deregister_at(&address).await, 200);
    let acknowledged = Instant::now();
    assert!(acknowledged - started < ACK_TIME, "{}", deployment.system.logs());
    // Later, when the loss of the others has been noticed.
    tokio::time::sleep(DRAIN_TIME).await;
    second.stop_heartbeats();
    let started = Instant::now();
    assert_eq!(second.deregister_at(&address).await, 200);
    assert!(started.elapsed() < ACK_TIME, "{}", deployment.system.logs());
    // The gateway of the controller's zone knows it.
    let before = leaving.arrivals().len();
    for number in 0..20 {
        let id = format!("after-{number}");
        let _ = deployment.system.call(controller, "/hold/1", &id, Some(KEY)).await;
    }
    assert_eq!(leaving.arrivals().len(), before, "{}", deployment.system.logs());
}

/// Guards against a departure that is forgotten if only gateways hold it: its controller could reach
/// no other one, and was lost before it could.
#[rstest]
#[tokio::test]
async fn departure_returned_by_gateways() {
    let mut deployment = deploy_with(167, Layout::zoned_behind_proxies()).await;
    let leaving = start_worker(&deployment, "p1").await;
    let controller = 0;
    let address = deployment.system.controllers[controller].clone();
    leaving.stop_heartbeats();
    let others: Vec<usize> = (0..CONTROLLERS).filter(|other| *other != controller).collect();
    let set_links = |system: &System, mode| {
        for other in &others {
            system.set_link(controller, *other, mode);
            system.set_link(*other, controller, mode);
        }
    };
    set_links(&deployment.system, FaultMode::Unreachable);
    assert_eq!(leaving.deregister_at(&address).await, 200);
    let acknowledged = Instant::now();
    deployment.system.kill_controller(controller);
    set_links(&deployment.system, FaultMode::Stale);
    expect_no_late_requests(&deployment, &leaving, acknowledged).await;
}
