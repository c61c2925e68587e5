//! Which lines may be logged.

use std::time::{Duration, Instant};

use hollowbarrow_telemetry::{LinePriority, LogBudget};
use rstest::rstest;

/// Lines of one rank that come at once, or for a minute, ten at a time each 10 ms.
#[rstest]
#[case::ordinary_burst(LinePriority::Ordinary, 100, 1, 500)]
#[case::important_burst(LinePriority::Important, 100, 1, 1000)]
#[case::long_lines(LinePriority::Important, 32 << 10, 1, 10)]
#[case::ordinary_for_a_minute(LinePriority::Ordinary, 100, 6000, 500 + 60 * 200)]
#[case::important_for_a_minute(LinePriority::Important, 100, 6000, 1000 + 60 * 200)]
fn take_lines(
    #[case] rank: LinePriority,
    #[case] bytes: usize,
    #[case] rounds: u32,
    #[case] expected: u64,
) {
    let start = Instant::now();
    let mut budget = LogBudget::new(start);
    let lines = if rounds == 1 { 3000 } else { 10 };
    let mut written = 0;
    for round in 0..rounds {
        let now = start + Duration::from_millis(10) * round;
        written += (0..lines).filter(|_| budget.take(rank, bytes, now)).count() as u64;
    }
    assert!(written.abs_diff(expected) <= 4, "{written} were written, not {expected}");
    assert_eq!(budget.take_dropped(), u64::from(rounds) * lines - written);
    assert_eq!(budget.take_dropped(), 0);
}

#[rstest]
fn take_important_after_flood() {
    let now = Instant::now();
    let mut budget = LogBudget::new(now);
    while budget.take(LinePriority::Ordinary, 100, now) {}
    let written = (0..3000).filter(|_| budget.take(LinePriority::Important, 100, now)).count();
    assert!(written >= 500, "{written} lines that matter were written after a flood");
}

/// A storm of callers that are refused does not hide a request of which nobody knows whether it ran.
#[rstest]
#[case::within_their_part(100, 100)]
#[case::more(200, 100)]
fn take_unsettled_after_storm(#[case] lines: usize, #[case] expected: usize) {
    let now = Instant::now();
    let mut budget = LogBudget::new(now);
    while budget.take(LinePriority::Important, 100, now) {}
    let written = (0..lines).filter(|_| budget.take(LinePriority::Unsettled, 100, now)).count();
    assert_eq!(written, expected);
}
