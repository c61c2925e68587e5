//! Every placement of a few faults over the life of one replica of two of three workers.
//!
//! Unlike the random simulation, this leaves no combination out: each pair of faults at each pair
//! of moments, and each three of the worst ones at fewer moments. In none of them is a replica
//! opened without a member, or a worker joined elsewhere while its head is open; and in all of
//! them a replica serves in the end.

mod standins;

use std::time::Duration;

use hollowbarrow_fleet::ReplicaController;
use rstest::rstest;
use standins::{OrderFault, Standins, TICK, new_leader};

const WORKERS: usize = 3;
const SIZE: usize = 2;
/// Steps in which faults come, and steps after them.
const DISTURBED_STEPS: usize = 40;
const CALM_STEPS: usize = 90;
/// How late an order is carried out: after newer ones, and after a change of the leader.
const LATE: Duration = Duration::from_millis(2600);
/// What the leader takes for the longest delay.
const LATEST: Duration = Duration::from_secs(3);
/// For how long a worker is cut off.
const CUT: Duration = Duration::from_millis(900);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Something becomes of the next order.
    Order(OrderFault),
    /// A worker ends, and another life comes.
    Restart(usize),
    /// A worker ends, and starts again at once under its name.
    Rebirth(usize),
    /// A worker is cut off from the leader.
    Cut(usize),
    /// Another leader begins; the former one acts once more, since it has not heard of it.
    NewLeader,
}

const ORDER_FAULTS: [OrderFault; 3] =
    [OrderFault::Lost, OrderFault::AnswerLost, OrderFault::Late(LATE)];

fn all_faults() -> Vec<Fault> {
    let mut faults: Vec<Fault> = ORDER_FAULTS.map(Fault::Order).to_vec();
    faults.extend((0..WORKERS).map(Fault::Restart));
    faults.extend((0..WORKERS).map(Fault::Rebirth));
    faults.extend((0..WORKERS).map(Fault::Cut));
    faults.push(Fault::NewLeader);
    faults
}

/// The workers, and the leaders that act: the newest, and one that may act once more.
struct World {
    standins: Standins,
    leader: ReplicaController,
    former: Option<ReplicaController>,
    term: u64,
}

impl World {
    fn new() -> Self {
        let mut standins = Standins::new(7, WORKERS, SIZE);
        standins.report_all();
        let leader = new_leader(1, standins.now, LATEST);
        Self { standins, leader, former: None, term: 1 }
    }

    fn strike(&mut self, fault: Fault) {
        let alive: Vec<usize> =
            (0..self.standins.workers.len()).filter(|n| self.standins.workers[*n].alive).collect();
        match fault {
            Fault::Order(fault) => self.standins.planned.push(fault),
            Fault::Restart(worker) => self.standins.replace(alive[worker]),
            Fault::Rebirth(worker) => self.standins.rebirth(alive[worker]),
            Fault::Cut(worker) => {
                self.standins.workers[alive[worker]].cut_until = Some(self.standins.now + CUT);
            }
            Fault::NewLeader => {
                self.term += 1;
                let next = new_leader(self.term, self.standins.now, LATEST);
                self.former = Some(std::mem::replace(&mut self.leader, next));
            }
        }
    }

    fn step(&mut self) {
        self.standins.advance();
        if let Some(mut former) = self.former.take() {
            self.standins.step(&mut former, 0.0);
        }
        self.standins.step(&mut self.leader, 0.0);
    }
}

/// Plays faults at given steps; says what must not be.
fn play(faults: &[(usize, Fault)]) -> Result<(), String> {
    let mut world = World::new();
    for step in 0..DISTURBED_STEPS + CALM_STEPS {
        for (_, fault) in faults.iter().filter(|(at, _)| *at == step) {
            world.strike(*fault);
        }
        world.step();
    }
    if !world.standins.broken.is_empty() {
        return Err(format!("{faults:?}: {:?}", world.standins.broken));
    }
    if world.standins.serving() == 0 {
        return Err(format!("{faults:?}: no replica serves after {:?}", TICK * 130));
    }
    Ok(())
}

#[rstest]
fn every_pair_keeps_order() {
    let faults = all_faults();
    let moments: Vec<usize> = (0..DISTURBED_STEPS).step_by(4).collect();
    let mut played = 0;
    for (index, first_at) in moments.iter().enumerate() {
        for second_at in &moments[index..] {
            for first in &faults {
                for second in &faults {
                    let result = play(&[(*first_at, *first), (*second_at, *second)]);
                    assert_eq!(result, Ok(()));
                    played += 1;
                }
            }
        }
    }
    assert_eq!(played, 55 * 169);
}

#[rstest]
fn every_three_of_the_worst_keep_order() {
    let faults = [
        Fault::Order(OrderFault::Late(LATE)),
        Fault::Restart(0),
        Fault::Rebirth(0),
        Fault::Rebirth(1),
        Fault::Cut(1),
        Fault::NewLeader,
    ];
    let moments = [22, 26, 30, 34, 38];
    for first_at in 0..moments.len() {
        for second_at in first_at..moments.len() {
            for third_at in second_at..moments.len() {
                for number in 0..faults.len().pow(3) {
                    let pick = |place: u32| faults[number / faults.len().pow(place) % faults.len()];
                    let result = play(&[
                        (moments[first_at], pick(0)),
                        (moments[second_at], pick(1)),
                        (moments[third_at], pick(2)),
                    ]);
                    assert_eq!(result, Ok(()));
                }
            }
        }
    }
}
