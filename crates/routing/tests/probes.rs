//! Who sends a request once more whose hold is over.

use std::time::Duration;

use hollowbarrow_routing::may_probe;
use hollowbarrow_schema::RequestDigest;
use rstest::rstest;

const REQUEST: RequestDigest = RequestDigest(7);

/// Daemons that may try in each of some windows.
fn trying(daemons: u32, over: Duration) -> Vec<usize> {
    let windows = 0..2000;
    let count = |window| {
        (0..u64::from(daemons))
            .filter(|daemon| may_probe(*daemon * 7919, REQUEST, window, daemons, over))
            .count()
    };
    windows.map(count).collect()
}

/// Copies come to all daemons at once: hardly ever do more than three go.
#[rstest]
#[case::few(3)]
#[case::site_of_today(9)]
#[case::large_site(82)]
#[case::planned_size(410)]
fn may_try_few_at_once(#[case] daemons: u32) {
    let trying = trying(daemons, Duration::ZERO);
    let mean = trying.iter().sum::<usize>() as f64 / trying.len() as f64;
    assert!((0.4..0.6).contains(&mean), "{mean} try in the mean");
    let many = trying.iter().filter(|count| **count > 3).count();
    assert!(many * 200 < trying.len(), "more than three try in {many} of {}", trying.len());
}

/// A rare request is not held for good: after a while every daemon may try.
#[rstest]
#[case::alone(1, 0)]
#[case::few(3, 15)]
#[case::large_site(82, 40)]
#[case::planned_size(410, 50)]
fn may_try_after_while(#[case] daemons: u32, #[case] seconds: u64) {
    let trying = trying(daemons, Duration::from_secs(seconds));
    assert!(trying.iter().all(|count| *count == daemons as usize));
}
