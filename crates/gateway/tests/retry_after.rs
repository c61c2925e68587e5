//! The Retry-After delays of refused callers.

use std::time::Duration;

use hollowbarrow_gateway::retry_after::{retry_delay, retry_jitter};
use rstest::rstest;

/// Callers accept a delay of up to a third of their remaining time.
#[rstest]
#[case::plain_call(1000)]
#[case::stream(6000)]
#[case::long_stream(8000)]
fn retry_delay_within_third(#[case] left_ms: u64) {
    let left = Duration::from_millis(left_ms);
    for draw in [0.0, 0.25, 0.5, 0.75, 1.0] {
        assert!(retry_delay(left, draw) < left / 3);
    }
}

/// Many callers are refused at the same moment: the first tenth of the period in which they retry
/// must not receive more than its share.
#[rstest]
fn retry_delay_spreads_callers() {
    let left = Duration::from_secs(6);
    let delays: Vec<Duration> = (0..1000).map(|n| retry_delay(left, n as f64 / 999.0)).collect();
    let (first, last) = (delays[0], delays[999]);
    assert!(last - first >= left / 8);
    let tenth = (last - first) / 10;
    let within = delays.iter().filter(|delay| **delay < first + tenth).count();
    assert!(within <= 101);
}

/// Callers that are refused because all workers back off until the same moment must not all retry
/// at that moment.
#[rstest]
fn retry_jitter_spreads_callers() {
    let left = Duration::from_secs(6);
    let later: Vec<Duration> = (0..1000).map(|n| retry_jitter(left, n as f64 / 999.0)).collect();
    let last = later[999];
    assert!(last >= left / 15 && last < left / 10, "{last:?}");
    let within = later.iter().filter(|one| **one < last / 10).count();
    assert!(within <= 101, "{within}");
}
