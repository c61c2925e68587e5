//! Workers that start again under their names, against a naive table: the newest life counts.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_fleet::{MergeOutcome, WorkerTable};
use hollowbarrow_schema::{Incarnation, ServiceName, WorkerBeat, WorkerId, WorkerReport, ZoneId};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

const SILENCE: Duration = Duration::from_millis(3000);
const HEARTBEAT: Duration = Duration::from_millis(1000);

fn life(born: u64) -> WorkerId {
    WorkerId::of_instance("w", Some(Incarnation(born)))
}

fn report(id: &WorkerId, seq: u64, slots: u32) -> WorkerReport {
    WorkerReport {
        id: id.clone(),
        seq,
        recount: None,
        service: ServiceName("chat".to_owned()),
        address: "127.0.0.1:9000".to_owned(),
        zone: ZoneId("a".to_owned()),
        slots,
        leaving: false,
        gone: false,
        domain: None,
        model: None,
        staged: Vec::new(),
        membership: None,
    }
}

fn newest(table: &WorkerTable) -> &WorkerId {
    &table.newest_instance("w").expect("the worker is known").report.id
}

#[rstest]
#[case::counted_far(900, 1)]
#[case::just_started(1, 1)]
fn merge_later_life(#[case] seq: u64, #[case] next_seq: u64) {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(&life(5), seq, 4), now);
    assert_eq!(
        table.merge_direct(report(&life(6), next_seq, 4), SILENCE, now),
        MergeOutcome::Changed
    );
    assert_eq!(newest(&table), &life(6));
    let former = table.get(&life(5)).expect("it is remembered");
    assert!(former.superseded && !former.is_available());
    assert_eq!(table.reports().len(), 1, "only the newest life is passed on");
}

/// A worker that deregistered and started again is not kept out by its former life.
#[rstest]
fn merge_later_life_after_removal() {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(&life(5), 7, 4), now);
    table.remove(&life(5), now);
    table.merge_direct(report(&life(6), 1, 4), SILENCE, now);
    assert!(table.newest_instance("w").expect("known").is_available());
}

#[rstest]
fn late_of_earlier_life() {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(&life(5), 7, 4), now);
    table.merge(report(&life(6), 1, 4), now);
    let (digest, revision) = (table.table_hash(), table.revision());
    let late = now + HEARTBEAT;
    assert_eq!(table.merge_direct(report(&life(5), 8, 9), SILENCE, late), MergeOutcome::Stale);
    assert_eq!(table.merge(report(&life(5), 9, 9), late), MergeOutcome::Stale);
    assert_eq!(table.merge(report(&life(4), 9, 9), late), MergeOutcome::Stale);
    assert_eq!(table.remove(&life(5), late), None);
    table.renew(&WorkerBeat { id: life(5), seq: 99, recount: None, changed: 1 }, late);
    assert_eq!((table.table_hash(), table.revision()), (digest, revision));
    assert_eq!(newest(&table), &life(6));
}

/// Heartbeats, one each second, of a worker whose name somebody else has used once with numbers far
/// ahead. It is believed again after a silence and a little more, and not before.
#[rstest]
#[case::seq_ahead(life(5), u64::MAX)]
#[case::born_ahead(life(u64::MAX), 1)]
fn numbers_far_ahead(#[case] foreign: WorkerId, #[case] seq: u64) {
    let start = Instant::now();
    let mut table = WorkerTable::new();
    let mut believed = None;
    for beat in 1..10u32 {
        let now = start + HEARTBEAT * beat;
        let outcome = table.merge_direct(report(&life(5), beat.into(), 4), SILENCE, now);
        if outcome != MergeOutcome::Stale && beat > 2 {
            believed.get_or_insert(beat);
        }
        if beat == 2 {
            table.merge_direct(report(&foreign, seq, 1), SILENCE, now);
        }
    }
    // Told at 2 s, silent at 5 s, believed with the second call after that.
    assert_eq!(believed, Some(7));
    let held = table.newest_instance("w").expect("known");
    assert_eq!((&held.report.id, held.report.slots, held.seq), (&life(5), 4, 9));
    assert_eq!(held.report.recount, Some(1));
}

/// A cut lets heartbeats of a worker that has ended through, all at once.
#[rstest]
fn late_calls_at_once() {
    let start = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(&life(5), 9, 4), start);
    let late = start + SILENCE * 2;
    for seq in 5..9 {
        assert_eq!(
            table.merge_direct(report(&life(5), seq, 4), SILENCE, late),
            MergeOutcome::Stale
        );
    }
}

/// A worker's clock was set back before it started again: it is kept out for no longer than a
/// silence of its former life, also where that one said that it goes.
#[rstest]
#[case::ended_without_a_word(false)]
#[case::deregistered(true)]
fn clock_set_back(#[case] deregistered: bool) {
    let start = Instant::now();
    let mut table = WorkerTable::new();
    table.merge_direct(report(&life(900), 50, 4), SILENCE, start);
    if deregistered {
        table.remove(&life(900), start);
    }
    let mut taken = None;
    for beat in 1..10u32 {
        let now = start + HEARTBEAT * beat;
        if table.merge_direct(report(&life(5), beat.into(), 4), SILENCE, now) != MergeOutcome::Stale
        {
            taken.get_or_insert(beat);
        }
    }
    assert_eq!(taken, Some(5));
    assert!(table.newest_instance("w").expect("known").is_available());
}

#[rstest]
fn untold_birth_after_told() {
    let start = Instant::now();
    let mut table = WorkerTable::new();
    table.merge_direct(report(&life(5), 1, 4), SILENCE, start);
    for beat in 1..10u32 {
        let foreign = report(&WorkerId::from("w"), 100 + u64::from(beat), 4);
        let outcome = table.merge_direct(foreign, SILENCE, start + HEARTBEAT * beat);
        assert_eq!(outcome, MergeOutcome::Stale);
    }
    assert_eq!(newest(&table), &life(5));
}

/// The daemon that a worker deregistered at had not heard of its last call, and gave the
/// deregistration a number that another daemon knew already: that one went on to use the worker.
#[rstest]
fn removal_under_known_number() {
    let now = Instant::now();
    let (mut one, mut other) = (WorkerTable::new(), WorkerTable::new());
    one.merge(report(&life(5), 1, 4), now);
    other.merge(report(&life(5), 2, 4), now);
    let removal = one.remove(&life(5), now).expect("it was there");
    assert_eq!(other.merge(removal, now), MergeOutcome::Changed);
    assert!(!other.newest_instance("w").expect("known").is_available());
    assert_eq!(one.table_hash(), other.table_hash());
}

/// What a daemon does with one table.
#[derive(Clone, Debug)]
enum TableEvent {
    Report {
        table: usize,
        born: u64,
        seq: u64,
    },
    Beat {
        table: usize,
        born: u64,
        seq: u64,
    },
    Remove {
        table: usize,
        born: u64,
    },
    /// All that one table holds goes to another.
    Exchange {
        from: usize,
        to: usize,
    },
}

fn any_event() -> impl Strategy<Value = TableEvent> {
    let (table, born, seq) = (0usize..3, 1u64..5, 1u64..6);
    prop_oneof![
        4 => (table.clone(), born.clone(), seq.clone())
            .prop_map(|(table, born, seq)| TableEvent::Report { table, born, seq }),
        1 => (table.clone(), born.clone(), seq)
            .prop_map(|(table, born, seq)| TableEvent::Beat { table, born, seq }),
        1 => (table.clone(), born).prop_map(|(table, born)| TableEvent::Remove { table, born }),
        2 => (table.clone(), table).prop_map(|(from, to)| TableEvent::Exchange { from, to }),
    ]
}

type Rank = (u32, Option<Incarnation>, u64);

fn rank(table: &WorkerTable) -> Option<Rank> {
    let held = table.newest_instance("w")?;
    Some((held.report.recount.unwrap_or(0), held.report.id.incarnation(), held.report.seq))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Lives, beats and deregistrations in any order, lost, late and twice, through three daemons:
    /// nothing older is ever shown after something newer, and all end at the newest life.
    #[test]
    fn lives_in_any_order(events in prop::collection::vec(any_event(), 1..60)) {
        let now = Instant::now();
        let mut tables = vec![WorkerTable::new(); 3];
        let mut told: BTreeMap<u64, u64> = BTreeMap::new();
        for event in &events {
            let before: Vec<Option<Rank>> = tables.iter().map(rank).collect();
            match event {
                TableEvent::Report { table, born, seq } => {
                    // One number of a life names one content.
                    let report = report(&life(*born), *seq, *seq as u32);
                    tables[*table].merge_direct(report, SILENCE, now);
                    let highest = told.entry(*born).or_default();
                    *highest = (*highest).max(*seq);
                }
                TableEvent::Beat { table, born, seq } => {
                    let beat = WorkerBeat { id: life(*born), seq: *seq, recount: None, changed: 1 };
                    tables[*table].renew(&beat, now);
                }
                TableEvent::Remove { table, born } => {
                    tables[*table].remove(&life(*born), now);
                }
                TableEvent::Exchange { from, to } => {
                    let reports = tables[*from].reports();
                    reports.into_iter().for_each(|report| { tables[*to].merge(report, now); });
                }
            }
            for (table, before) in tables.iter().zip(before) {
                prop_assert!(rank(table) >= before, "{event:?} went back");
            }
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0)] {
                let reports = tables[from].reports();
                reports.into_iter().for_each(|report| { tables[to].merge(report, now); });
            }
        }
        let newest = told.keys().max().map(|born| life(*born));
        for table in &tables {
            prop_assert_eq!(table.newest_instance("w").map(|held| &held.report.id), newest.as_ref());
            prop_assert_eq!(table.table_hash(), tables[0].table_hash());
            let there = table.iter().filter(|entry| entry.is_available()).count();
            prop_assert!(there <= 1, "one life at most is there");
        }
    }
}
