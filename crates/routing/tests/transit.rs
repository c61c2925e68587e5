//! Tests of the clock that dates messages.

use std::time::Duration;

use hollowbarrow_routing::TransitClock;
use rstest::rstest;
use tokio::time::Instant;

/// Difference between the sender's clock and the local one.
const OFFSET: Duration = Duration::from_secs(5000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A message is as much older than its receipt as its way was longer than the shortest one.
#[rstest]
#[case::as_fast(&[(0, 40), (100, 40)], 0)]
#[case::slower(&[(0, 40), (100, 340)], 300)]
#[case::held_in_link(&[(0, 40), (100, 40), (200, 2640)], 2600)]
#[case::first_was_slow(&[(0, 900), (1000, 40), (1100, 40)], 0)]
#[case::shortest_of_window_before(&[(0, 40), (31_000, 540), (45_000, 540)], 500)]
#[case::shortest_forgotten(&[(0, 40), (31_000, 540), (32_000, 540), (63_000, 540), (64_000, 540)], 0)]
fn date_by_shortest_way(#[case] messages: &[(u64, u64)], #[case] age_ms: u64) {
    let start = Instant::now();
    let mut clock = TransitClock::new();
    let mut dated = None;
    for (sent, way) in messages {
        let received = start + ms(sent + way);
        dated = Some(received - clock.date(OFFSET + ms(*sent), received));
    }
    assert_eq!(dated, Some(ms(age_ms)));
}

/// Drift between the clocks does not make messages look older and older.
#[rstest]
fn date_with_drift() {
    let start = Instant::now();
    let mut clock = TransitClock::new();
    for second in 0..3600 {
        let received = start + Duration::from_secs(second);
        // The sender's clock loses 100 microseconds a second.
        let sent = Duration::from_secs(second) - Duration::from_micros(100) * second as u32;
        let age = received - clock.date(OFFSET + sent, received);
        assert!(age <= ms(10), "{age:?} after {second} s");
    }
}
