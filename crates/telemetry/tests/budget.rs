//! Rate limit of log lines.

use std::time::{Duration, Instant};

use hollowbarrow_telemetry::{LinePriority, LogBudget};
use rstest::rstest;

/// Lines of one priority: 3000 in a single burst, or ten every 10 ms for a minute.
#[rstest]
#[case::ordinary_burst(LinePriority::Ordinary, 100, 1, 500)]
#[case::important_burst(LinePriority::Important, 100, 1, 1000)]
#[case::long_lines(LinePriority::Important, 32 << 10, 1, 10)]
#[case::ordinary_for_a_minute(LinePriority::Ordinary, 100, 6000, 500 + 60 * 200)]
#[case::important_for_a_minute(LinePriority::Important, 100, 6000, 1000 + 60 * 200)]
fn take_lines(
    #[case] priority: LinePriority,
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
        written += (0..lines).filter(|_| budget.take(priority, bytes, now)).count() as u64;
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
    assert!(
        written >= 500,
        "{written} important lines were written after a flood of ordinary ones"
    );
}

/// A flood of important lines, for example of refused requests, does not suppress the lines of
/// requests of which it is unknown whether they ran.
#[rstest]
#[case::within_their_share(100, 100)]
#[case::more(200, 100)]
fn take_unsettled_after_flood(#[case] lines: usize, #[case] expected: usize) {
    let now = Instant::now();
    let mut budget = LogBudget::new(now);
    while budget.take(LinePriority::Important, 100, now) {}
    let written = (0..lines).filter(|_| budget.take(LinePriority::Unsettled, 100, now)).count();
    assert_eq!(written, expected);
}
