//! Tests of the table of upstreams that asked for a backoff or are leaving.

use std::time::Duration;

use hollowbarrow_routing::{BackoffReason, BackoffTable};
use rstest::rstest;
use tokio::time::Instant;

const BACKOFF: Duration = Duration::from_secs(3);

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[rstest]
#[case::at_once(0, Some(3000))]
#[case::later(2500, Some(500))]
#[case::just_before(2999, Some(1))]
#[case::over(3000, None)]
fn reason_requested(#[case] ms: u64, #[case] left_ms: Option<u64>) {
    let now = Instant::now();
    let mut table = BackoffTable::new();
    table.record_backoff(&"a", BACKOFF, now);
    let left = left_ms.map(|ms| BackoffReason::Requested(Duration::from_millis(ms)));
    assert_eq!(table.reason(&"a", after(now, ms)), left);
    assert_eq!(table.reason(&"b", after(now, ms)), None, "b asked for no backoff");
}

/// Several requests are rejected at about the same time, each with its own backoff.
#[rstest]
#[case::shorter_later(&[(0, 3000), (500, 1000)], 3000)]
#[case::longer_later(&[(0, 1000), (500, 3000)], 3500)]
#[case::requested_again_at_expiry(&[(0, 1000), (1000, 1000)], 2000)]
fn reason_never_shortened(#[case] requests: &[(u64, u64)], #[case] end_ms: u64) {
    let now = Instant::now();
    let mut table = BackoffTable::new();
    for (at, ms) in requests {
        table.record_backoff(&"a", Duration::from_millis(*ms), after(now, *at));
    }
    assert!(table.reason(&"a", after(now, end_ms - 1)).is_some());
    assert_eq!(table.reason(&"a", after(now, end_ms)), None);
}

#[rstest]
fn reason_leaving_permanently() {
    let now = Instant::now();
    let mut table = BackoffTable::new();
    table.record_backoff(&"a", BACKOFF, now);
    assert!(table.record_leaving(&"a"), "the first notice is new");
    assert!(!table.record_leaving(&"a"), "a repeated notice is not new");
    assert_eq!(table.reason(&"a", after(now, 86_400_000)), Some(BackoffReason::Leaving));
}

/// An unreasonably long backoff must not take a working upstream out of service permanently.
#[rstest]
fn reason_requested_too_long() {
    let now = Instant::now();
    let mut table = BackoffTable::new();
    table.record_backoff(&"a", Duration::MAX, now);
    assert!(table.reason(&"a", after(now, 3_599_999)).is_some());
    assert_eq!(table.reason(&"a", after(now, 3_600_000)), None);
}

/// The size of the table is bounded by the number of known upstreams.
#[rstest]
fn prune_keeps_active() {
    let now = Instant::now();
    let mut table = BackoffTable::new();
    table.record_backoff(&"over", Duration::from_secs(1), now);
    table.record_backoff(&"asked", BACKOFF, now);
    table.record_leaving(&"leaving");
    table.record_leaving(&"ended");
    table.prune(|upstream| *upstream != "ended", after(now, 1000));
    assert_eq!(table.len(), 2);
    assert!(!table.is_empty());
    assert!(table.reason(&"asked", after(now, 1000)).is_some());
    assert!(table.reason(&"leaving", after(now, 1000)).is_some());
}

/// Guards against a backoff that outlives the process that asked for it, and against one that is
/// extended by what the former process asked for.
#[rstest]
#[case::asked_before(Some(100), 200, 1000, false)]
#[case::asked_after(Some(300), 200, 1000, true)]
#[case::asked_again_after(Some(300), 200, 4000, false)]
fn end_former_by_time(
    #[case] again_ms: Option<u64>,
    #[case] replaced_ms: u64,
    #[case] at_ms: u64,
    #[case] applies: bool,
) {
    let now = Instant::now();
    let mut table = BackoffTable::new();
    table.record_backoff(&"a", BACKOFF * 20, now);
    if let Some(ms) = again_ms {
        table.end_former(&"a", after(now, replaced_ms.min(ms)));
        table.record_backoff(&"a", BACKOFF, after(now, ms));
    }
    table.end_former(&"a", after(now, replaced_ms));
    assert_eq!(table.reason(&"a", after(now, at_ms)).is_some(), applies);
}
