//! When another attempt at a request may follow, and whether it is charged to the retry budget.

use std::time::Duration;

use hollowbarrow_routing::retry::{AttemptUpstreamError, RetryBudget, RetryLimits};
use hollowbarrow_routing::{AttemptBounds, AttemptLedger};
use hollowbarrow_schema::ErrorRan;
use rstest::rstest;
use tokio::time::Instant;

fn empty_budget(now: Instant) -> RetryBudget {
    RetryBudget::with_limits(RetryLimits { ratio: 0.0, floor: 0.0, most: 0.0 }, now)
}

fn bounds(now: Instant, repeatable: bool) -> AttemptBounds {
    AttemptBounds { repeatable, max_runs: 3, deadline: now + Duration::from_secs(5) }
}

fn ledger_after(runs: u32) -> AttemptLedger {
    let mut ledger = AttemptLedger::new();
    for _ in 0..runs {
        ledger.record_send();
        ledger.record_outcome(ErrorRan::Unknown);
    }
    ledger
}

/// All connections of a lost carrier break together, which no budget covers.
#[rstest]
#[case::first(1, true)]
#[case::second(2, false)]
fn repeat_after_lost_carrier(#[case] runs: u32, #[case] expected: bool) {
    let now = Instant::now();
    let mut ledger = ledger_after(runs);
    let (budget, error) = (empty_budget(now), AttemptUpstreamError::CarrierLost);
    assert_eq!(ledger.may_repeat(&bounds(now, true), &error, &budget, now), expected);
}

#[rstest]
#[case::lost_carrier(AttemptUpstreamError::CarrierLost)]
#[case::lost_connection(AttemptUpstreamError::ConnectionLost { tokens: 0 })]
fn no_repeat_of_what_may_run_once(#[case] error: AttemptUpstreamError) {
    let now = Instant::now();
    let mut ledger = ledger_after(1);
    assert!(!ledger.may_repeat(&bounds(now, false), &error, &empty_budget(now), now));
}

#[rstest]
fn no_repeat_after_lost_connection_without_budget() {
    let now = Instant::now();
    let mut ledger = ledger_after(1);
    let error = AttemptUpstreamError::ConnectionLost { tokens: 0 };
    assert!(!ledger.may_repeat(&bounds(now, true), &error, &empty_budget(now), now));
}
