//! Exhaustive combinations of a few faults in the lifecycle of one replica of two out of three
//! workers.
//!
//! Unlike the random simulation, these tests run every combination: each pair of faults at each
//! pair of steps, and each triple of the most severe faults at fewer steps. No run opens a replica
//! before all members are ready, or joins a worker to another replica while its head is open. In
//! every run a replica serves at the end.

mod simulation;

use std::time::Duration;

use hollowbarrow_fleet::ReplicaController;
use rstest::rstest;
use simulation::{OrderFault, Simulation, TICK, new_leader};

const WORKERS: usize = 3;
const SIZE: usize = 2;
/// Steps in which faults occur, and steps after them.
const FAULT_STEPS: usize = 40;
const FAULT_FREE_STEPS: usize = 90;
/// Delay of a late order: long enough that newer orders and a change of leader come before it.
const ORDER_DELAY: Duration = Duration::from_millis(2600);
/// Longest delay of an order that the leader expects.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(3);
/// Length of a partition.
const PARTITION: Duration = Duration::from_millis(900);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The next order is delivered with a fault.
    Order(OrderFault),
    /// A worker terminates, and one with a new name starts.
    Replace(usize),
    /// A worker terminates and restarts at once under its name.
    Restart(usize),
    /// A worker is partitioned from the leader.
    Partition(usize),
    /// Another leader starts its term. The former one runs one more step, since it does not know of
    /// the new term.
    NewLeader,
}

const ORDER_FAULTS: [OrderFault; 3] =
    [OrderFault::Lost, OrderFault::AnswerLost, OrderFault::Late(ORDER_DELAY)];

fn all_faults() -> Vec<Fault> {
    let mut faults: Vec<Fault> = ORDER_FAULTS.map(Fault::Order).to_vec();
    faults.extend((0..WORKERS).map(Fault::Replace));
    faults.extend((0..WORKERS).map(Fault::Restart));
    faults.extend((0..WORKERS).map(Fault::Partition));
    faults.push(Fault::NewLeader);
    faults
}

/// The simulated workers, the current leader, and a former leader that runs one more step.
struct Cluster {
    simulation: Simulation,
    leader: ReplicaController,
    former: Option<ReplicaController>,
    term: u64,
}

impl Cluster {
    fn new() -> Self {
        let mut simulation = Simulation::new(7, WORKERS, SIZE);
        simulation.report_all();
        let leader = new_leader(1, simulation.now, MAX_ORDER_DELAY);
        Self { simulation, leader, former: None, term: 1 }
    }

    fn inject(&mut self, fault: Fault) {
        let alive: Vec<usize> = (0..self.simulation.workers.len())
            .filter(|n| self.simulation.workers[*n].alive)
            .collect();
        match fault {
            Fault::Order(fault) => self.simulation.planned.push(fault),
            Fault::Replace(worker) => self.simulation.replace(alive[worker]),
            Fault::Restart(worker) => self.simulation.restart(alive[worker]),
            Fault::Partition(worker) => {
                self.simulation.workers[alive[worker]].partitioned_until =
                    Some(self.simulation.now + PARTITION);
            }
            Fault::NewLeader => {
                self.term += 1;
                let next = new_leader(self.term, self.simulation.now, MAX_ORDER_DELAY);
                self.former = Some(std::mem::replace(&mut self.leader, next));
            }
        }
    }

    fn step(&mut self) {
        self.simulation.advance();
        if let Some(mut former) = self.former.take() {
            self.simulation.step(&mut former, 0.0);
        }
        self.simulation.step(&mut self.leader, 0.0);
    }
}

/// Runs the simulation with faults at given steps, and returns a description of any violation.
fn run(faults: &[(usize, Fault)]) -> Result<(), String> {
    let mut cluster = Cluster::new();
    for step in 0..FAULT_STEPS + FAULT_FREE_STEPS {
        for (_, fault) in faults.iter().filter(|(at, _)| *at == step) {
            cluster.inject(*fault);
        }
        cluster.step();
    }
    if !cluster.simulation.violations.is_empty() {
        return Err(format!("{faults:?}: {:?}", cluster.simulation.violations));
    }
    if cluster.simulation.serving() == 0 {
        return Err(format!("{faults:?}: no replica serves after {:?}", TICK * 130));
    }
    Ok(())
}

#[rstest]
fn run_every_pair() {
    let faults = all_faults();
    let fault_steps: Vec<usize> = (0..FAULT_STEPS).step_by(4).collect();
    let mut runs = 0;
    for (index, first_at) in fault_steps.iter().enumerate() {
        for second_at in &fault_steps[index..] {
            for first in &faults {
                for second in &faults {
                    let result = run(&[(*first_at, *first), (*second_at, *second)]);
                    assert_eq!(result, Ok(()));
                    runs += 1;
                }
            }
        }
    }
    assert_eq!(runs, 55 * 169);
}

#[rstest]
fn run_every_triple_of_severe_faults() {
    let faults = [
        Fault::Order(OrderFault::Late(ORDER_DELAY)),
        Fault::Replace(0),
        Fault::Restart(0),
        Fault::Restart(1),
        Fault::Partition(1),
        Fault::NewLeader,
    ];
    let fault_steps = [22, 26, 30, 34, 38];
    for first_at in 0..fault_steps.len() {
        for second_at in first_at..fault_steps.len() {
            for third_at in second_at..fault_steps.len() {
                for number in 0..faults.len().pow(3) {
                    let pick = |place: u32| faults[number / faults.len().pow(place) % faults.len()];
                    let result = run(&[
                        (fault_steps[first_at], pick(0)),
                        (fault_steps[second_at], pick(1)),
                        (fault_steps[third_at], pick(2)),
                    ]);
                    assert_eq!(result, Ok(()));
                }
            }
        }
    }
}
