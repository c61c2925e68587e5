//! Which workers count as usable, lost or terminated.

mod standins;

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_controller::liveness::{
    LivenessFacts, LivenessTracker, ProbeOutcome, find_terminated,
};
use hollowbarrow_fleet::{WorkerStatus, WorkerTable};
use hollowbarrow_schema::{Incarnation, WorkerId, WorkerReport};
use rstest::rstest;
use standins::report;
use tokio::time::Instant;

const HEARTBEAT: Duration = Duration::from_millis(1000);

/// Builds a table from registrations at the given times, in milliseconds.
fn table_after(start: Instant, registrations: &[(u64, &str, u64)]) -> WorkerTable {
    let mut table = WorkerTable::new();
    for (at, id, seq) in registrations {
        table.merge(report(id, *seq), start + Duration::from_millis(*at));
    }
    table
}

/// Two instances register under the same address.
#[rstest]
#[case::new_instance_continues(&[(0, "old", 1), (1000, "new", 1), (2000, "new", 2), (3000, "new", 3)], &["old"])]
#[case::new_instance_just_started(&[(0, "old", 1), (1000, "new", 1), (2000, "new", 2)], &[])]
#[case::old_instance_reports_late(
    &[(0, "old", 1), (1000, "new", 1), (2000, "new", 2), (3000, "new", 3), (3100, "old", 2)], &[])]
#[case::old_instance_first_reports_late(&[(0, "new", 1), (1000, "new", 2), (1500, "old", 7)], &[])]
#[case::both_relayed_at_once(
    &[(0, "old", 5), (0, "new", 3), (1000, "new", 4), (2000, "new", 5)], &["old"])]
fn find_terminated_instances(
    #[case] registrations: &[(u64, &str, u64)],
    #[case] expected: &[&str],
) {
    let table = table_after(Instant::now(), registrations);
    let mut terminated: Vec<String> =
        find_terminated(&table, HEARTBEAT).iter().map(ToString::to_string).collect();
    terminated.sort();
    assert_eq!(terminated, expected);
}

#[rstest]
#[case::answered(&[ProbeOutcome::Answered], WorkerStatus::Usable)]
#[case::another_worker_answered(&[ProbeOutcome::Replaced], WorkerStatus::Dead)]
#[case::silent_once(&[ProbeOutcome::Silent], WorkerStatus::Usable)]
#[case::silent_twice(&[ProbeOutcome::Silent, ProbeOutcome::Silent], WorkerStatus::Lost)]
#[case::refused(&[ProbeOutcome::Refused], WorkerStatus::Lost)]
fn assess_probed_worker(#[case] outcomes: &[ProbeOutcome], #[case] expected: WorkerStatus) {
    let start = Instant::now();
    let table = table_after(start, &[(0, "w", 1)]);
    let worker = WorkerId::from("w");
    let now = start + HEARTBEAT * 2;
    let mut tracker = LivenessTracker::new();
    for outcome in outcomes {
        tracker.record_probe_sent(&worker, now);
        tracker.record_probe_result(&worker, *outcome, now);
    }
    let (uses, terminated) = (BTreeMap::new(), find_terminated(&table, HEARTBEAT));
    let facts = LivenessFacts { uses: &uses, terminated: &terminated, heartbeat: HEARTBEAT, now };
    let entry = table.get(&worker).expect("the worker has registered");
    assert_eq!(tracker.assess(entry, None, &facts).standing, expected);
}

/// A later instance registers under the same name. At first it may come from another writer, and the
/// former instance is probed. Once the later one has continued to register, or has answered that
/// probe, the former one counts as terminated.
#[rstest]
#[case::first_registration(&[], 0, WorkerStatus::Lost)]
#[case::later_instance_answered(&[ProbeOutcome::Replaced], 0, WorkerStatus::Dead)]
#[case::former_instance_answered(&[ProbeOutcome::Answered], 0, WorkerStatus::Lost)]
#[case::continues(&[], 2, WorkerStatus::Dead)]
fn assess_former_instance(
    #[case] outcomes: &[ProbeOutcome],
    #[case] beats: u64,
    #[case] expected: WorkerStatus,
) {
    let start = Instant::now();
    let instance = |started| WorkerId::of_instance("w", Some(Incarnation(started)));
    let (former, next) = (instance(5), instance(6));
    let mut table = table_after(start, &[(0, former.as_str(), 9)]);
    for beat in 0..=beats {
        table.merge(report(next.as_str(), beat + 1), start + HEARTBEAT * (beat as u32 + 1));
    }
    let now = start + HEARTBEAT * (beats as u32 + 1);
    let mut tracker = LivenessTracker::new();
    for outcome in outcomes {
        tracker.record_probe_sent(&former, now);
        tracker.record_probe_result(&former, *outcome, now);
    }
    let (uses, terminated) = (BTreeMap::new(), find_terminated(&table, HEARTBEAT));
    let facts = LivenessFacts { uses: &uses, terminated: &terminated, heartbeat: HEARTBEAT, now };
    let entry = table.get(&former).expect("the former instance is in the table");
    assert_eq!(tracker.assess(entry, None, &facts).standing, expected);
    let entry = table.get(&next).expect("the worker has registered");
    assert_eq!(tracker.assess(entry, None, &facts).standing, WorkerStatus::Usable);
}

/// Another writer registered a later instance and answered the worker's probe. The worker continues
/// to register, with an accepted regression of its sequence numbers, and is usable again.
#[rstest]
fn assess_recounted_instance() {
    let start = Instant::now();
    let former = WorkerId::of_instance("w", Some(Incarnation(5)));
    let mut table = table_after(start, &[(0, former.as_str(), 9)]);
    let mut tracker = LivenessTracker::new();
    tracker.record_probe_sent(&former, start);
    tracker.record_probe_result(&former, ProbeOutcome::Replaced, start);
    let recounted = WorkerReport { recount: Some(1), ..report(former.as_str(), 2) };
    table.merge(recounted, start + HEARTBEAT);
    tracker.prune(&table);
    let (uses, terminated) = (BTreeMap::new(), find_terminated(&table, HEARTBEAT));
    let now = start + HEARTBEAT;
    let facts = LivenessFacts { uses: &uses, terminated: &terminated, heartbeat: HEARTBEAT, now };
    let entry = table.get(&former).expect("the former instance is in the table");
    assert_eq!(tracker.assess(entry, None, &facts).standing, WorkerStatus::Usable);
}
