//! The worker table against a reference implementation: in any order of reports the newest one of
//! each worker takes precedence.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_fleet::{MergeOutcome, WorkerTable};
use hollowbarrow_schema::{ServiceName, WorkerBeat, WorkerId, WorkerReport, ZoneId};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

fn report(id: u8, seq: u64, leaving: bool) -> WorkerReport {
    WorkerReport {
        id: WorkerId(format!("w{id}")),
        seq,
        recount: None,
        service: ServiceName("chat".to_owned()),
        address: format!("127.0.0.1:{}", 9000 + u16::from(id)),
        zone: ZoneId("a".to_owned()),
        slots: 4,
        leaving,
        gone: false,
        domain: None,
        model: None,
        staged: Vec::new(),
        membership: None,
    }
}

#[rstest]
#[case::older(3, MergeOutcome::Stale)]
#[case::same(5, MergeOutcome::Stale)]
#[case::newer(6, MergeOutcome::Renewed)]
fn merge_same_content(#[case] seq: u64, #[case] expected: MergeOutcome) {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    assert_eq!(table.merge(report(1, 5, false), now), MergeOutcome::Changed);
    assert_eq!(table.merge(report(1, seq, false), now), expected);
}

#[rstest]
fn merge_late_report_after_removal() {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(1, 5, false), now);
    let removed = table.remove(&WorkerId::from("w1"), now).expect("the worker was registered");
    assert!(removed.gone);
    assert_eq!(table.remove(&WorkerId::from("w1"), now), None);
    table.merge(report(1, 9, false), now);
    assert!(table.get(&WorkerId::from("w1")).expect("the departed worker is kept").report.gone);
}

#[rstest]
fn renew_moves_only_forward() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut table = WorkerTable::new();
    table.merge(report(1, 5, false), start);
    let beat = |seq| WorkerBeat { id: WorkerId::from("w1"), seq, changed: 1, recount: None };
    assert!(table.renew(&beat(4), later));
    assert_eq!(
        table.get(&WorkerId::from("w1")).expect("the worker is in the table").last_received,
        start
    );
    assert!(table.renew(&beat(6), later));
    assert_eq!(
        table.get(&WorkerId::from("w1")).expect("the worker is in the table").last_received,
        later
    );
    assert!(
        !table.renew(
            &WorkerBeat { id: WorkerId::from("w9"), seq: 1, changed: 1, recount: None },
            later
        )
    );
}

/// A daemon that received only later sequence numbers still accepts the content that it missed.
#[rstest]
fn merge_content_missed_before_beats() {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(1, 5, false), now);
    assert!(
        table.renew(
            &WorkerBeat { id: WorkerId::from("w1"), seq: 9, changed: 7, recount: None },
            now
        )
    );
    assert_eq!(table.merge(report(1, 7, true), now), MergeOutcome::Changed);
    assert!(table.get(&WorkerId::from("w1")).expect("the worker is in the table").report.leaving);
}

/// A beat confirms the stored content only if the worker has not changed it since.
#[rstest]
#[case::unchanged(5, true)]
#[case::missed_change(8, false)]
fn renew_confirms_content(#[case] changed: u64, #[case] confirmed: bool) {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut table = WorkerTable::new();
    table.merge(report(1, 5, false), start);
    table.renew(&WorkerBeat { id: WorkerId::from("w1"), seq: 9, changed, recount: None }, later);
    let entry = table.get(&WorkerId::from("w1")).expect("the worker is in the table");
    assert_eq!(entry.last_received, later);
    assert_eq!(entry.confirmed, if confirmed { later } else { start });
}

/// An older report does not overwrite content that was confirmed under a later sequence number.
#[rstest]
fn merge_older_content_after_confirmation() {
    let now = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(1, 5, false), now);
    assert_eq!(table.merge(report(1, 9, false), now), MergeOutcome::Renewed);
    assert_eq!(table.merge(report(1, 7, true), now), MergeOutcome::Stale);
}

#[rstest]
fn table_hash_same_content_under_other_numbers() {
    let now = Instant::now();
    let (mut one, mut other) = (WorkerTable::new(), WorkerTable::new());
    one.merge(report(1, 5, false), now);
    other.merge(report(1, 8, false), now);
    assert_eq!(one.table_hash(), other.table_hash());
    other.merge(report(1, 9, true), now);
    assert_ne!(one.table_hash(), other.table_hash());
}

proptest! {
    /// Two tables that received the same reports in different orders, one of them each report
    /// twice, are equal and match the reference implementation.
    #[test]
    fn merge_any_order(
        reports in proptest::collection::vec((0u8..4, 1u64..12, any::<bool>()), 1..40),
        order in any::<u64>(),
    ) {
        let now = Instant::now();
        // Each sequence number has one content, as with real workers.
        let mut contents: BTreeMap<(u8, u64), bool> = BTreeMap::new();
        for (id, seq, leaving) in &reports {
            contents.entry((*id, *seq)).or_insert(*leaving);
        }
        let sent: Vec<WorkerReport> =
            reports.iter().map(|(id, seq, _)| report(*id, *seq, contents[&(*id, *seq)])).collect();
        let mut shuffled = sent.clone();
        let length = shuffled.len();
        for index in 0..length {
            let other = (order.rotate_left(index as u32) as usize) % length;
            shuffled.swap(index, other);
        }
        let (mut one, mut other) = (WorkerTable::new(), WorkerTable::new());
        for sent in &sent {
            one.merge(sent.clone(), now);
        }
        for sent in shuffled.iter().chain(&shuffled) {
            other.merge(sent.clone(), now);
        }
        prop_assert_eq!(one.table_hash(), other.table_hash());
        let mut reference: BTreeMap<WorkerId, WorkerReport> = BTreeMap::new();
        for sent in &sent {
            let newest = reference.entry(sent.id.clone()).or_insert_with(|| sent.clone());
            if sent.seq > newest.seq {
                *newest = sent.clone();
            }
        }
        for (id, newest) in &reference {
            let held = one.get(id).expect("every reported worker is in the table");
            prop_assert_eq!(held.seq, newest.seq);
            prop_assert_eq!(held.report.leaving, newest.leaving);
        }
    }
}

/// A worker that deregisters is listed for two more seconds, in which it drains.
#[rstest]
#[case::draining(1900, true)]
#[case::drained(2100, false)]
fn of_service_after_removal(#[case] elapsed_ms: u64, #[case] listed: bool) {
    let start = Instant::now();
    let mut table = WorkerTable::new();
    table.merge(report(1, 5, false), start);
    table.remove(&WorkerId::from("w1"), start);
    let now = start + Duration::from_millis(elapsed_ms);
    let service = ServiceName("chat".to_owned());
    assert_eq!(table.of_service(&service, now).count() == 1, listed);
}
