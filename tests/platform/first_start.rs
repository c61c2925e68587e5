//! The first leader of a system is cut off from the other controllers while it forms the first replicas.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;

use crate::fleet::Fleet;
use crate::system::{CONTROLLERS, Layout, System, configuration};
use crate::worker::Worker;

/// Workers of the model: two replicas.
const WORKERS: usize = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time in which the next leader is elected and would act.
const CUT_TIME: Duration = Duration::from_secs(6);

/// Returns the controller that leads.
async fn find_leader(system: &System) -> usize {
    loop {
        for controller in 0..CONTROLLERS {
            if system.has_metric(controller, "controller_leads 1").await {
                return controller;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a leader that takes itself for the first one although another leader has formed
/// replicas: it ordered their open heads, which it knew from older reports as free workers, into other
/// replicas.
#[rstest]
#[tokio::test]
async fn next_leader_respects_first_replicas() {
    let system = System::start_with(254, Layout::zoned_behind_proxies());
    assert_eq!(system.replace(&configuration(3)).await, 200);
    let leader = find_leader(&system).await;
    // Workers report to the first leader as long as it answers.
    let mut controllers = system.controllers.clone();
    controllers.swap(0, leader);
    let fleet = Fleet::new(controllers);
    let start = |number| Worker::start(&fleet, &format!("e{number}"), "models", true);
    let workers: Vec<Arc<Worker>> = (0..WORKERS).map(start).collect();
    while workers.iter().all(|worker| worker.membership().is_none()) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for other in (0..CONTROLLERS).filter(|other| *other != leader) {
        system.set_link(leader, other, FaultMode::Severed);
        system.set_link(other, leader, FaultMode::Severed);
    }
    tokio::time::sleep(CUT_TIME).await;
    assert_eq!(fleet.breaches(), Vec::<String>::new(), "{}", system.logs());
}
