//! Which workers count as usable, lost or ended.

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

/// The table after registrations that come at given times, in milliseconds.
fn table_after(start: Instant, registrations: &[(u64, &str, u64)]) -> WorkerTable {
    let mut table = WorkerTable::new();
    for (at, id, seq) in registrations {
        table.merge(report(id, *seq), start + Duration::from_millis(*at));
    }
    table
}

/// The old life has the address `x` first; the new one takes it over.
#[rstest]
#[case::new_life_goes_on(&[(0, "old", 1), (1000, "new", 1), (2000, "new", 2), (3000, "new", 3)], &["old"])]
#[case::new_life_just_came(&[(0, "old", 1), (1000, "new", 1), (2000, "new", 2)], &[])]
#[case::old_life_is_heard_late(
    &[(0, "old", 1), (1000, "new", 1), (2000, "new", 2), (3000, "new", 3), (3100, "old", 2)], &[])]
#[case::old_life_is_first_heard_late(&[(0, "new", 1), (1000, "new", 2), (1500, "old", 7)], &[])]
#[case::told_at_once_by_another_controller(
    &[(0, "old", 5), (0, "new", 3), (1000, "new", 4), (2000, "new", 5)], &["old"])]
fn find_ended_lives(#[case] registrations: &[(u64, &str, u64)], #[case] expected: &[&str]) {
    let table = table_after(Instant::now(), registrations);
    let mut ended: Vec<String> =
        find_terminated(&table, HEARTBEAT).iter().map(ToString::to_string).collect();
    ended.sort();
    assert_eq!(ended, expected);
}

#[rstest]
#[case::answered(&[ProbeOutcome::Answered], WorkerStatus::Usable)]
#[case::another_worker_answered(&[ProbeOutcome::Replaced], WorkerStatus::Dead)]
#[case::silent_once(&[ProbeOutcome::Silent], WorkerStatus::Usable)]
#[case::silent_twice(&[ProbeOutcome::Silent, ProbeOutcome::Silent], WorkerStatus::Lost)]
#[case::refused(&[ProbeOutcome::Refused], WorkerStatus::Lost)]
fn judge_probed_worker(#[case] outcomes: &[ProbeOutcome], #[case] expected: WorkerStatus) {
    let start = Instant::now();
    let table = table_after(start, &[(0, "w", 1)]);
    let worker = WorkerId::from("w");
    let now = start + HEARTBEAT * 2;
    let mut judge = LivenessTracker::new();
    for outcome in outcomes {
        judge.record_probe_sent(&worker, now);
        judge.record_probe_result(&worker, *outcome, now);
    }
    let (uses, ended) = (BTreeMap::new(), find_terminated(&table, HEARTBEAT));
    let facts = LivenessFacts { uses: &uses, ended: &ended, heartbeat: HEARTBEAT, now };
    let entry = table.get(&worker).expect("it has registered");
    assert_eq!(judge.judge(entry, None, &facts).standing, expected);
}

/// A later life under the same name: at first it may be another writer's, and the former life is
/// probed; once it has gone on, or answered that probe, the former life has ended.
#[rstest]
#[case::just_heard(&[], 0, WorkerStatus::Lost)]
#[case::probe_answered_by_it(&[ProbeOutcome::Replaced], 0, WorkerStatus::Dead)]
#[case::former_life_answered(&[ProbeOutcome::Answered], 0, WorkerStatus::Lost)]
#[case::goes_on(&[], 2, WorkerStatus::Dead)]
fn judge_earlier_life(
    #[case] outcomes: &[ProbeOutcome],
    #[case] beats: u64,
    #[case] expected: WorkerStatus,
) {
    let start = Instant::now();
    let life = |born| WorkerId::of_instance("w", Some(Incarnation(born)));
    let (former, next) = (life(5), life(6));
    let mut table = table_after(start, &[(0, former.as_str(), 9)]);
    for beat in 0..=beats {
        table.merge(report(next.as_str(), beat + 1), start + HEARTBEAT * (beat as u32 + 1));
    }
    let now = start + HEARTBEAT * (beats as u32 + 1);
    let mut judge = LivenessTracker::new();
    for outcome in outcomes {
        judge.record_probe_sent(&former, now);
        judge.record_probe_result(&former, *outcome, now);
    }
    let (uses, ended) = (BTreeMap::new(), find_terminated(&table, HEARTBEAT));
    let facts = LivenessFacts { uses: &uses, ended: &ended, heartbeat: HEARTBEAT, now };
    let entry = table.get(&former).expect("it is remembered");
    assert_eq!(judge.judge(entry, None, &facts).standing, expected);
    let entry = table.get(&next).expect("it has registered");
    assert_eq!(judge.judge(entry, None, &facts).standing, WorkerStatus::Usable);
}

/// Another writer's later life answered for the worker, which goes on and is believed again.
#[rstest]
fn judge_recounted_life() {
    let start = Instant::now();
    let former = WorkerId::of_instance("w", Some(Incarnation(5)));
    let mut table = table_after(start, &[(0, former.as_str(), 9)]);
    let mut judge = LivenessTracker::new();
    judge.record_probe_sent(&former, start);
    judge.record_probe_result(&former, ProbeOutcome::Replaced, start);
    let recounted = WorkerReport { recount: Some(1), ..report(former.as_str(), 2) };
    table.merge(recounted, start + HEARTBEAT);
    judge.tidy(&table);
    let (uses, ended) = (BTreeMap::new(), find_terminated(&table, HEARTBEAT));
    let now = start + HEARTBEAT;
    let facts = LivenessFacts { uses: &uses, ended: &ended, heartbeat: HEARTBEAT, now };
    let entry = table.get(&former).expect("it is there");
    assert_eq!(judge.judge(entry, None, &facts).standing, WorkerStatus::Usable);
}
