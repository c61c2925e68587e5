//! When refused callers come back.

use std::time::Duration;

use hollowbarrow_gateway::retry_after::{retry_delay, retry_jitter};
use rstest::rstest;

/// Callers heed a pause of up to a third of the time that is left to them.
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

/// Replays many callers that are refused at one moment: no tenth of the time in which they come
/// back gets more than its share.
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

/// Replays callers that are refused since all workers want no requests until one moment: they do
/// not all come back at that moment.
#[rstest]
fn retry_jitter_spreads_callers() {
    let left = Duration::from_secs(6);
    let later: Vec<Duration> = (0..1000).map(|n| retry_jitter(left, n as f64 / 999.0)).collect();
    let last = later[999];
    assert!(last >= left / 15 && last < left / 10, "{last:?}");
    let within = later.iter().filter(|one| **one < last / 10).count();
    assert!(within <= 101, "{within}");
}
