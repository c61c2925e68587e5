//! The life of replicas against stand-in workers that lose orders, carry them out late, end and
//! come back, under leaders that replace each other.
//!
//! Whatever happens: no head serves while a member was never ready with it, and no worker joins a
//! replica while the head of another one, which it has not left, is open. Once things are calm the
//! replicas stand.

mod standins;

use std::time::Duration;

use hollowbarrow_fleet::TermState;
use hollowbarrow_schema::Term;
use proptest::prelude::*;
use rand::RngExt;
use rstest::rstest;
use standins::{Standins, new_leader};

const WORKERS: usize = 9;
const SIZE: usize = 3;
/// Longest delay of an order that the stand-ins draw, and a little more.
const LATEST: Duration = Duration::from_secs(9);

#[rstest]
fn step_forms_and_repairs() {
    let mut standins = Standins::new(1, WORKERS, SIZE);
    standins.report_all();
    let mut controller = new_leader(1, standins.now, LATEST);
    for _ in 0..120 {
        standins.advance();
        standins.step(&mut controller, 0.0);
    }
    assert_eq!(standins.serving(), 2, "two of nine workers stay free beside two replicas");
    let member = (0..WORKERS)
        .find(|index| {
            standins.workers[*index].membership.is_some() && !standins.workers[*index].is_open()
        })
        .expect("there is a member that is no head");
    standins.replace(member);
    for _ in 0..30 {
        standins.advance();
        standins.step(&mut controller, 0.0);
    }
    assert_eq!(standins.serving(), 2, "a spare took the lost member's place");
    assert_eq!(standins.broken, Vec::<String>::new());
}

#[rstest]
fn step_new_leader_keeps_replicas() {
    let mut standins = Standins::new(2, WORKERS, SIZE);
    standins.report_all();
    let mut controller = new_leader(1, standins.now, LATEST);
    for _ in 0..120 {
        standins.advance();
        standins.step(&mut controller, 0.0);
    }
    let before = standins.serving();
    let mut next = new_leader(2, standins.now, LATEST);
    for _ in 0..30 {
        standins.advance();
        standins.step(&mut next, 0.0);
        assert_eq!(standins.serving(), before, "no replica stops for a change of leader");
    }
}

/// A new leader joined the head of an open replica to another one, since the last that it had heard
/// of that worker was from before the replica was formed: the worker's reports went to the leader
/// before, which was cut off.
#[rstest]
fn step_new_leader_without_news() {
    let mut standins = Standins::new(3, WORKERS, SIZE);
    standins.report_all();
    let before: Vec<_> = standins.workers.iter().map(|worker| worker.heard.clone()).collect();
    let mut controller = new_leader(1, standins.now, LATEST);
    for _ in 0..120 {
        standins.advance();
        standins.step(&mut controller, 0.0);
    }
    for (worker, heard) in standins.workers.iter_mut().zip(before) {
        worker.heard = heard;
        worker.unheard = true;
    }
    let mut next = new_leader(2, standins.now, LATEST);
    for _ in 0..30 {
        standins.advance();
        standins.step(&mut next, 0.0);
    }
    assert_eq!(standins.broken, Vec::<String>::new());
    standins.workers.iter_mut().for_each(|worker| worker.unheard = false);
    for _ in 0..60 {
        standins.advance();
        standins.step(&mut next, 0.0);
    }
    assert_eq!(standins.broken, Vec::<String>::new());
    assert_eq!(standins.serving(), 2, "no replica was taken apart");
}

/// What comes in the place of workers that end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkerEnds {
    /// Other workers.
    NewNames,
    /// The same ones, started again at once.
    SameNames,
}

/// Plays faults at random, and a calm time after them.
fn play(seed: u64, faults: f64, ends: WorkerEnds) -> Standins {
    let mut standins = Standins::new(seed, WORKERS, SIZE);
    standins.report_all();
    let mut term = 1;
    let mut terms = TermState::new();
    for _ in 0..400 {
        standins.advance();
        if standins.rng.random_bool(0.02) {
            let alive: Vec<usize> = (0..standins.workers.len())
                .filter(|index| standins.workers[*index].alive)
                .collect();
            let chosen = alive[standins.rng.random_range(0..alive.len())];
            match ends {
                WorkerEnds::NewNames => standins.replace(chosen),
                WorkerEnds::SameNames => standins.rebirth(chosen),
            }
        }
        if standins.rng.random_bool(0.02) {
            let chosen = standins.rng.random_range(0..standins.workers.len());
            let length = Duration::from_millis(standins.rng.random_range(500..6000));
            standins.workers[chosen].cut_until = Some(standins.now + length);
        }
        if standins.rng.random_bool(0.01) {
            term += 1;
        }
        // Now and then the leader is not sure to lead, and goes on in the same term later.
        if standins.rng.random_bool(0.05) {
            continue;
        }
        let now = standins.now;
        let controller = terms.enter(Term(term), || new_leader(term, now, LATEST));
        standins.step(controller, faults);
    }
    // Calm again: late orders run out, and the replicas stand.
    for _ in 0..250 {
        standins.advance();
        let now = standins.now;
        let controller = terms.enter(Term(term), || new_leader(term, now, LATEST));
        standins.step(controller, 0.0);
    }
    standins
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn step_under_faults_keeps_order(seed in any::<u64>(), faults in 0.0f64..0.3) {
        let standins = play(seed, faults, WorkerEnds::NewNames);
        prop_assert_eq!(&standins.broken, &Vec::<String>::new());
        prop_assert!(standins.serving() >= 2, "{} replicas serve", standins.serving());
    }

    #[test]
    fn step_under_rebirths_keeps_order(seed in any::<u64>(), faults in 0.0f64..0.3) {
        let standins = play(seed, faults, WorkerEnds::SameNames);
        prop_assert_eq!(&standins.broken, &Vec::<String>::new());
        prop_assert!(standins.serving() >= 2, "{} replicas serve", standins.serving());
    }
}
