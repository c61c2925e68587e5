//! The lag of a daemon behind the known versions of the configuration.

use std::time::Duration;

use hollowbarrow_fleet::VersionTimes;
use rstest::rstest;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Versions with the times at which they became known; the lag of a daemon at 1000 ms.
#[rstest]
#[case::nothing_known(&[], 0, 0)]
#[case::newest_held(&[(3, 0), (4, 900)], 4, 0)]
#[case::newer_held_than_known_here(&[(3, 0)], 4, 0)]
#[case::oldest_lacked_counts(&[(3, 0), (4, 100), (5, 990)], 3, 900)]
#[case::holds_nothing(&[(3, 250), (4, 990)], 0, 750)]
#[case::same_version_again(&[(3, 100), (3, 900)], 2, 900)]
fn lag_of_version(#[case] known: &[(u64, u32)], #[case] held: u64, #[case] lag_ms: u32) {
    let start = Instant::now();
    let mut times = VersionTimes::default();
    for (version, at) in known {
        times.record(*version, start + MS * *at);
    }
    assert_eq!(times.lag(held, start + MS * 1000), MS * lag_ms);
}

#[rstest]
fn lag_of_forgotten_version() {
    let start = Instant::now();
    let mut times = VersionTimes::default();
    for version in 1..=1000 {
        times.record(u64::from(version), start + MS * version);
    }
    assert!(
        times.lag(0, start + MS * 1000) > MS * 250,
        "the lag of a forgotten version is counted from the oldest kept version"
    );
    assert_eq!(times.lag(999, start + MS * 1000), Duration::ZERO);
}
