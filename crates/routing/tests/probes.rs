//! Tests of which daemons may send a probe request after a quarantine has expired.

use std::time::Duration;

use hollowbarrow_routing::may_probe;
use hollowbarrow_schema::ContentDigest;
use rstest::rstest;

const REQUEST: ContentDigest = ContentDigest(7);

/// Returns the number of daemons that may send a probe request in each of 2000 windows.
fn probing(daemons: u32, expired_for: Duration) -> Vec<usize> {
    let windows = 0..2000;
    let count = |window| {
        (0..u64::from(daemons))
            .filter(|daemon| may_probe(*daemon * 7919, REQUEST, window, daemons, expired_for))
            .count()
    };
    windows.map(count).collect()
}

/// Duplicates arrive at all daemons at once: more than three are rarely sent.
#[rstest]
#[case::few(3)]
#[case::site_of_today(9)]
#[case::large_site(82)]
#[case::planned_size(410)]
fn may_probe_few_at_once(#[case] daemons: u32) {
    let probing = probing(daemons, Duration::ZERO);
    let mean = probing.iter().sum::<usize>() as f64 / probing.len() as f64;
    assert!((0.4..0.6).contains(&mean), "{mean} daemons may probe on average");
    let many = probing.iter().filter(|count| **count > 3).count();
    assert!(
        many * 200 < probing.len(),
        "more than three may probe in {many} of {} windows",
        probing.len()
    );
}

/// A rare request is not blocked permanently: after some time every daemon may send a probe
/// request.
#[rstest]
#[case::alone(1, 0)]
#[case::few(3, 15)]
#[case::large_site(82, 40)]
#[case::planned_size(410, 50)]
fn may_probe_after_doublings(#[case] daemons: u32, #[case] seconds: u64) {
    let probing = probing(daemons, Duration::from_secs(seconds));
    assert!(probing.iter().all(|count| *count == daemons as usize));
}
