//! Lifecycle of replicas with simulated workers that lose orders, carry them out late, terminate
//! and restart, under successive leaders.
//!
//! Invariants under all faults: no head serves unless each member was ready under its epoch, and no
//! worker joins a replica while the head of another one, which it has not left, is open. Once the
//! faults stop, the replicas serve again.

mod simulation;

use std::time::Duration;

use hollowbarrow_fleet::TermState;
use hollowbarrow_schema::Term;
use proptest::prelude::*;
use rand::RngExt;
use rstest::rstest;
use simulation::{SimulatedWorker, Simulation, new_leader};

const WORKERS: usize = 9;
const SIZE: usize = 3;
/// Upper bound of the delays of orders that the simulation draws.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(9);

#[rstest]
fn step_forms_and_repairs() {
    let mut simulation = Simulation::new(1, WORKERS, SIZE);
    simulation.report_all();
    let mut controller = new_leader(1, simulation.now, MAX_ORDER_DELAY);
    for _ in 0..120 {
        simulation.advance();
        simulation.step(&mut controller, 0.0);
    }
    assert_eq!(simulation.serving(), 2, "two of nine workers stay free beside two replicas");
    let member = (0..WORKERS)
        .find(|index| {
            simulation.workers[*index].membership.is_some() && !simulation.workers[*index].is_open()
        })
        .expect("a replica has a member that is not its head");
    simulation.replace(member);
    for _ in 0..30 {
        simulation.advance();
        simulation.step(&mut controller, 0.0);
    }
    assert_eq!(simulation.serving(), 2, "a free worker replaced the lost member");
    assert_eq!(simulation.violations, Vec::<String>::new());
}

#[rstest]
fn step_new_leader_keeps_replicas() {
    let mut simulation = Simulation::new(2, WORKERS, SIZE);
    simulation.report_all();
    let mut controller = new_leader(1, simulation.now, MAX_ORDER_DELAY);
    for _ in 0..120 {
        simulation.advance();
        simulation.step(&mut controller, 0.0);
    }
    let before = simulation.serving();
    let mut next = new_leader(2, simulation.now, MAX_ORDER_DELAY);
    for _ in 0..30 {
        simulation.advance();
        simulation.step(&mut next, 0.0);
        assert_eq!(simulation.serving(), before, "a change of leader stopped a replica");
    }
}

/// Guards against a new leader that orders the head of an open replica into another one. The
/// worker's reports went to the former leader, which was partitioned, so the new leader's last
/// report of that worker dates from before the replica was formed.
#[rstest]
fn step_new_leader_stale_reports() {
    let mut simulation = Simulation::new(3, WORKERS, SIZE);
    simulation.report_all();
    let before: Vec<_> =
        simulation.workers.iter().map(|worker| worker.last_report.clone()).collect();
    let mut controller = new_leader(1, simulation.now, MAX_ORDER_DELAY);
    for _ in 0..120 {
        simulation.advance();
        simulation.step(&mut controller, 0.0);
    }
    for (worker, report) in simulation.workers.iter_mut().zip(before) {
        worker.last_report = report;
        worker.reports_lost = true;
    }
    let mut next = new_leader(2, simulation.now, MAX_ORDER_DELAY);
    for _ in 0..30 {
        simulation.advance();
        simulation.step(&mut next, 0.0);
    }
    assert_eq!(simulation.violations, Vec::<String>::new());
    simulation.workers.iter_mut().for_each(|worker| worker.reports_lost = false);
    for _ in 0..60 {
        simulation.advance();
        simulation.step(&mut next, 0.0);
    }
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.serving(), 2, "a replica was disbanded");
}

/// Guards against a head that is ordered into another replica while it is open again: late orders of
/// the former leader had opened the replica that its successor had ended, and the successor ignored
/// what the head reported of it. `watched` states that the successor acts meanwhile.
#[rstest]
#[case::soon(Duration::from_millis(2500), true)]
#[case::last(Duration::from_millis(8400), true)]
#[case::soon_unwatched(Duration::from_millis(2500), false)]
#[case::last_unwatched(Duration::from_millis(8400), false)]
fn step_late_orders_of_former_leader(#[case] delay: Duration, #[case] watched: bool) {
    let mut simulation = Simulation::new(4, 2, 2);
    simulation.report_all();
    let mut controller = new_leader(1, simulation.now, MAX_ORDER_DELAY);
    for _ in 0..60 {
        simulation.advance();
        simulation.step(&mut controller, 0.0);
    }
    assert_eq!(simulation.serving(), 1);
    let head = simulation.workers.iter().position(SimulatedWorker::is_open).expect("it serves");
    let opened = delay + Duration::from_millis(400);
    simulation.repeat_late(head, delay, opened);
    simulation.terminate(1 - head);
    let mut next = new_leader(2, simulation.now, MAX_ORDER_DELAY);
    let repeated = simulation.now + opened;
    let mut left = false;
    while simulation.now < repeated {
        simulation.advance();
        left |= simulation.workers[head].membership.is_none();
        if watched || !left {
            simulation.step(&mut next, 0.0);
        }
    }
    assert!(left, "the successor ends the replica");
    assert!(watched || simulation.workers[head].is_open(), "it is open again");
    simulation.start_worker();
    simulation.start_worker();
    for _ in 0..150 {
        simulation.step(&mut next, 0.0);
        simulation.advance();
    }
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.serving(), 1, "a replica is formed with another worker");
}

/// Name under which a terminated worker is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replacement {
    /// A worker with a new name starts.
    NewName,
    /// The worker restarts at once under its name.
    SameName,
}

/// Runs the simulation with random faults, and then without faults.
fn run(seed: u64, faults: f64, replacement: Replacement) -> Simulation {
    let mut simulation = Simulation::new(seed, WORKERS, SIZE);
    simulation.report_all();
    let mut term = 1;
    let mut terms = TermState::new();
    for _ in 0..400 {
        simulation.advance();
        if simulation.rng.random_bool(0.02) {
            let alive: Vec<usize> = (0..simulation.workers.len())
                .filter(|index| simulation.workers[*index].alive)
                .collect();
            let chosen = alive[simulation.rng.random_range(0..alive.len())];
            match replacement {
                Replacement::NewName => simulation.replace(chosen),
                Replacement::SameName => simulation.restart(chosen),
            }
        }
        if simulation.rng.random_bool(0.02) {
            let chosen = simulation.rng.random_range(0..simulation.workers.len());
            let length = Duration::from_millis(simulation.rng.random_range(500..6000));
            simulation.workers[chosen].partitioned_until = Some(simulation.now + length);
        }
        if simulation.rng.random_bool(0.01) {
            term += 1;
        }
        // The leader loses contact with its majority for this step and continues in the same term.
        if simulation.rng.random_bool(0.05) {
            continue;
        }
        let now = simulation.now;
        let controller = terms.enter(Term(term), || new_leader(term, now, MAX_ORDER_DELAY));
        simulation.step(controller, faults);
    }
    // Without faults: late orders are carried out, and the replicas recover.
    for _ in 0..250 {
        simulation.advance();
        let now = simulation.now;
        let controller = terms.enter(Term(term), || new_leader(term, now, MAX_ORDER_DELAY));
        simulation.step(controller, 0.0);
    }
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn step_under_faults_keeps_invariants(seed in any::<u64>(), faults in 0.0f64..0.3) {
        let simulation = run(seed, faults, Replacement::NewName);
        prop_assert_eq!(&simulation.violations, &Vec::<String>::new());
        prop_assert!(simulation.serving() >= 2, "{} replicas serve", simulation.serving());
    }

    #[test]
    fn step_under_restarts_keeps_invariants(seed in any::<u64>(), faults in 0.0f64..0.3) {
        let simulation = run(seed, faults, Replacement::SameName);
        prop_assert_eq!(&simulation.violations, &Vec::<String>::new());
        prop_assert!(simulation.serving() >= 2, "{} replicas serve", simulation.serving());
    }
}
