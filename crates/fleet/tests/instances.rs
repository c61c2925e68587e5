//! Restarts of workers under the same name, checked against a reference: the newest instance takes
//! precedence.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_fleet::{MergeOutcome, WorkerTable};
use hollowbarrow_schema::{Incarnation, ServiceName, WorkerBeat, WorkerId, WorkerReport, ZoneId};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

const SILENCE: Duration = Duration::from_millis(3000);
const HEARTBEAT: Duration = Duration::from_millis(1000);

fn instance(incarnation: u64) -> WorkerId {
    WorkerId::of_instance("w", Some(Incarnation(incarnation)))
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
fn merge_later_instance(#[case] seq: u64, #[case] next_seq: u64) {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(&instance(5), seq, 4), now);
    assert_eq!(
        table.merge_direct(report(&instance(6), next_seq, 4), SILENCE, now),
        MergeOutcome::Changed
    );
    assert_eq!(newest(&table), &instance(6));
    let former = table.get(&instance(5)).expect("the former instance is kept");
    assert!(former.superseded && !former.is_available());
    assert_eq!(table.reports().len(), 1, "only the newest instance is forwarded");
}

/// A worker that deregistered and restarted is not blocked by its former instance.
#[rstest]
fn merge_later_instance_after_removal() {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(&instance(5), 7, 4), now);
    table.remove(&instance(5), now);
    table.merge_direct(report(&instance(6), 1, 4), SILENCE, now);
    assert!(table.newest_instance("w").expect("the worker is known").is_available());
}

#[rstest]
fn merge_late_report_of_earlier_instance() {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(&instance(5), 7, 4), now);
    table.merge(report(&instance(6), 1, 4), now);
    let (hash, revision) = (table.table_hash(), table.revision());
    let late = now + HEARTBEAT;
    assert_eq!(table.merge_direct(report(&instance(5), 8, 9), SILENCE, late), MergeOutcome::Stale);
    assert_eq!(table.merge(report(&instance(5), 9, 9), late), MergeOutcome::Stale);
    assert_eq!(table.merge(report(&instance(4), 9, 9), late), MergeOutcome::Stale);
    assert_eq!(table.remove(&instance(5), late), None);
    table.renew(&WorkerBeat { id: instance(5), seq: 99, recount: None, changed: 1 }, late);
    assert_eq!((table.table_hash(), table.revision()), (hash, revision));
    assert_eq!(newest(&table), &instance(6));
}

/// Heartbeats, one per second, of a worker whose name another process used once with far higher
/// numbers. They are accepted again after the silence time plus the time for which regressed
/// reports must continue, and not before.
#[rstest]
#[case::seq_ahead(instance(5), u64::MAX)]
#[case::incarnation_ahead(instance(u64::MAX), 1)]
fn merge_direct_numbers_far_ahead(#[case] foreign: WorkerId, #[case] seq: u64) {
    let start = Instant::now();
    let mut table = WorkerTable::new();
    let mut accepted = None;
    for beat in 1..10u32 {
        let now = start + HEARTBEAT * beat;
        let outcome = table.merge_direct(report(&instance(5), beat.into(), 4), SILENCE, now);
        if outcome != MergeOutcome::Stale && beat > 2 {
            accepted.get_or_insert(beat);
        }
        if beat == 2 {
            table.merge_direct(report(&foreign, seq, 1), SILENCE, now);
        }
    }
    // The other process reports at 2 s and counts as silent after 5 s; the second report after
    // that is accepted.
    assert_eq!(accepted, Some(7));
    let held = table.newest_instance("w").expect("the worker is known");
    assert_eq!((&held.report.id, held.report.slots, held.seq), (&instance(5), 4, 9));
    assert_eq!(held.report.recount, Some(1));
}

/// Heartbeats of a terminated worker that a partition delayed arrive all at once and are not
/// accepted.
#[rstest]
fn merge_direct_late_reports_at_once() {
    let start = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(&instance(5), 9, 4), start);
    let late = start + SILENCE * 2;
    for seq in 5..9 {
        assert_eq!(
            table.merge_direct(report(&instance(5), seq, 4), SILENCE, late),
            MergeOutcome::Stale
        );
    }
}

/// The clock of a worker was set back before the worker restarted. It is rejected for no longer
/// than until its former instance counts as silent, also if that one deregistered.
#[rstest]
#[case::terminated_silently(false)]
#[case::deregistered(true)]
fn merge_direct_clock_set_back(#[case] deregistered: bool) {
    let start = Instant::now();
    let mut table = WorkerTable::new();
    table.merge_direct(report(&instance(900), 50, 4), SILENCE, start);
    if deregistered {
        table.remove(&instance(900), start);
    }
    let mut accepted = None;
    for beat in 1..10u32 {
        let now = start + HEARTBEAT * beat;
        if table.merge_direct(report(&instance(5), beat.into(), 4), SILENCE, now)
            != MergeOutcome::Stale
        {
            accepted.get_or_insert(beat);
        }
    }
    assert_eq!(accepted, Some(5));
    assert!(table.newest_instance("w").expect("the worker is known").is_available());
}

#[rstest]
fn merge_direct_unknown_start_after_known() {
    let start = Instant::now();
    let mut table = WorkerTable::new();
    table.merge_direct(report(&instance(5), 1, 4), SILENCE, start);
    for beat in 1..10u32 {
        let foreign = report(&WorkerId::from("w"), 100 + u64::from(beat), 4);
        let outcome = table.merge_direct(foreign, SILENCE, start + HEARTBEAT * beat);
        assert_eq!(outcome, MergeOutcome::Stale);
    }
    assert_eq!(newest(&table), &instance(5));
}

/// Guards against a daemon that continues to use a deregistered worker. The daemon that accepted
/// the deregistration had missed the worker's last report, and gave the deregistration a sequence
/// number that the other daemon knew already.
#[rstest]
fn removal_under_known_number() {
    let now = Instant::now();
    let (mut one, mut other) = (WorkerTable::new(), WorkerTable::new());
    one.merge(report(&instance(5), 1, 4), now);
    other.merge(report(&instance(5), 2, 4), now);
    let removal = one.remove(&instance(5), now).expect("the worker was registered");
    assert_eq!(other.merge(removal, now), MergeOutcome::Changed);
    assert!(!other.newest_instance("w").expect("the worker is known").is_available());
    assert_eq!(one.table_hash(), other.table_hash());
}

/// Operation on the tables of three daemons.
#[derive(Clone, Debug)]
enum TableOperation {
    Report {
        table: usize,
        incarnation: u64,
        seq: u64,
    },
    Beat {
        table: usize,
        incarnation: u64,
        seq: u64,
    },
    Remove {
        table: usize,
        incarnation: u64,
    },
    /// All reports of one table are merged into another.
    Exchange {
        from: usize,
        to: usize,
    },
}

fn any_operation() -> impl Strategy<Value = TableOperation> {
    let (table, incarnation, seq) = (0usize..3, 1u64..5, 1u64..6);
    prop_oneof![
        4 => (table.clone(), incarnation.clone(), seq.clone())
            .prop_map(|(table, incarnation, seq)| {
                TableOperation::Report { table, incarnation, seq }
            }),
        1 => (table.clone(), incarnation.clone(), seq)
            .prop_map(|(table, incarnation, seq)| TableOperation::Beat { table, incarnation, seq }),
        1 => (table.clone(), incarnation)
            .prop_map(|(table, incarnation)| TableOperation::Remove { table, incarnation }),
        2 => (table.clone(), table).prop_map(|(from, to)| TableOperation::Exchange { from, to }),
    ]
}

type Precedence = (u32, Option<Incarnation>, u64);

fn precedence(table: &WorkerTable) -> Option<Precedence> {
    let held = table.newest_instance("w")?;
    Some((held.report.recount.unwrap_or(0), held.report.id.incarnation(), held.report.seq))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Reports, beats and deregistrations of several instances in any order, lost, late and twice,
    /// through three daemons: no table ever regresses, and all converge to the newest instance.
    #[test]
    fn merge_instances_any_order(operations in prop::collection::vec(any_operation(), 1..60)) {
        let now = Instant::now();
        let mut tables = vec![WorkerTable::new(); 3];
        let mut reported: BTreeMap<u64, u64> = BTreeMap::new();
        for operation in &operations {
            let before: Vec<Option<Precedence>> = tables.iter().map(precedence).collect();
            match operation {
                TableOperation::Report { table, incarnation, seq } => {
                    // Each sequence number of an instance has one content.
                    let report = report(&instance(*incarnation), *seq, *seq as u32);
                    tables[*table].merge_direct(report, SILENCE, now);
                    let highest = reported.entry(*incarnation).or_default();
                    *highest = (*highest).max(*seq);
                }
                TableOperation::Beat { table, incarnation, seq } => {
                    let id = instance(*incarnation);
                    let beat = WorkerBeat { id, seq: *seq, recount: None, changed: 1 };
                    tables[*table].renew(&beat, now);
                }
                TableOperation::Remove { table, incarnation } => {
                    tables[*table].remove(&instance(*incarnation), now);
                }
                TableOperation::Exchange { from, to } => {
                    let reports = tables[*from].reports();
                    reports.into_iter().for_each(|report| { tables[*to].merge(report, now); });
                }
            }
            for (table, before) in tables.iter().zip(before) {
                prop_assert!(precedence(table) >= before, "{operation:?} regressed");
            }
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0)] {
                let reports = tables[from].reports();
                reports.into_iter().for_each(|report| { tables[to].merge(report, now); });
            }
        }
        let newest = reported.keys().max().map(|incarnation| instance(*incarnation));
        for table in &tables {
            let stored = table.newest_instance("w").map(|entry| &entry.report.id);
            prop_assert_eq!(stored, newest.as_ref());
            prop_assert_eq!(table.table_hash(), tables[0].table_hash());
            let available = table.iter().filter(|entry| entry.is_available()).count();
            prop_assert!(available <= 1, "more than one instance is available");
        }
    }
}
