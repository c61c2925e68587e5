//! When a gateway gets a configuration from which controller.

use std::time::Duration;

use hollowbarrow_controller::delivery::{DeliveryOffer, DeliveryRole, DeliveryState};
use hollowbarrow_fleet::VersionTimes;
use rstest::rstest;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// A configuration of some routes.
fn offer(version: u64) -> DeliveryOffer {
    DeliveryOffer { version, bytes: 5_000 }
}

/// Longest time between two reports of a gateway to a controller that is not its home.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Longest time for which a change may be missing, with the delivery itself left out.
const MOST_LAG: Duration = Duration::from_millis(1400);

/// A gateway depends on a controller of another zone, while a change comes again and again.
#[rstest]
#[case::slower_than_the_wait(500)]
#[case::as_reported(150)]
#[case::fast(20)]
fn is_due_while_changes_go_on(#[case] pause_ms: u64) {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(1, start);
    let mut state = DeliveryState::new(1, start);
    let mut reported = start;
    let mut lags = Vec::new();
    for step in 1..1000u64 {
        let now = start + MS * 10 * u32::try_from(step).expect("small");
        if (step * 10).is_multiple_of(pause_ms) {
            commits.record(1 + step, now);
        }
        if now >= reported + REPORT_INTERVAL {
            reported = now;
            let newest = commits.newest();
            lags.push(state.lag(&commits, now));
            if state.is_due(offer(newest), DeliveryRole::Far, &commits, now) {
                state.record_sent(newest, now);
                state.record_reported_version(newest, now);
            }
        }
    }
    let longest = lags.into_iter().max().expect("it reported");
    assert!(longest < MOST_LAG, "{longest:?} behind");
}

/// A gateway holds version 1 and version 2 was committed 100 ms after it was first heard of.
#[rstest]
#[case::home_at_once(DeliveryRole::Near, 100, true)]
#[case::others_wait(DeliveryRole::Far, 480, false)]
#[case::others_step_in(DeliveryRole::Far, 520, true)]
#[case::unsure_ones_leave_time(DeliveryRole::Unsure, 1080, false)]
#[case::unsure_ones_step_in(DeliveryRole::Unsure, 1120, true)]
fn is_due_after_commit(#[case] place: DeliveryRole, #[case] at: u32, #[case] due: bool) {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(1, start);
    commits.record(2, start + MS * 100);
    let state = DeliveryState::new(1, start);
    assert_eq!(state.is_due(offer(2), place, &commits, start + MS * at), due);
}

#[rstest]
fn is_due_of_new_life() {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(1, start);
    let mut state = DeliveryState::new(1, start);
    let restarted = start + MS * 9000;
    state.record_reported_version(0, restarted);
    assert!(state.is_due(offer(1), DeliveryRole::Near, &commits, restarted));
    assert!(
        !state.is_due(offer(1), DeliveryRole::Far, &commits, restarted + MS * 300),
        "its home comes first"
    );
    assert!(state.is_due(offer(1), DeliveryRole::Far, &commits, restarted + MS * 500));
}

#[rstest]
fn is_due_of_same_version() {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(2, start);
    let mut state = DeliveryState::new(1, start);
    state.record_sent(2, start);
    assert!(
        !state.is_due(offer(2), DeliveryRole::Near, &commits, start + MS * 75),
        "it is on its way"
    );
    assert!(state.is_due(offer(2), DeliveryRole::Near, &commits, start + MS * 300), "it was lost");
    state.record_sent(2, start + MS * 300);
    state.record_dropped();
    assert!(
        state.is_due(offer(2), DeliveryRole::Near, &commits, start + MS * 301),
        "it found no room"
    );
    state.record_sent(2, start + MS * 301);
    commits.record(3, start + MS * 302);
    assert!(
        state.is_due(offer(3), DeliveryRole::Near, &commits, start + MS * 303),
        "a newer one does not wait"
    );
}

/// Copies of a configuration with 7,000 routes went out every 250 ms, from up to six controllers at
/// once, while the first one took longer than that: they held each other up.
#[rstest]
#[case::second_copy_from_home(DeliveryRole::Near, 1_000, false)]
#[case::second_copy_once_the_first_is_late(DeliveryRole::Near, 1_300, true)]
#[case::copy_of_another_zone(DeliveryRole::Far, 1_300, false)]
#[case::copy_of_another_zone_once_late(DeliveryRole::Far, 1_500, true)]
fn is_due_of_large_one(#[case] place: DeliveryRole, #[case] at: u32, #[case] due: bool) {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(2, start);
    let mut state = DeliveryState::new(1, start);
    if place == DeliveryRole::Near {
        state.record_sent(2, start);
    }
    let large = DeliveryOffer { version: 2, bytes: 1_000_000 };
    assert_eq!(state.is_due(large, place, &commits, start + MS * at), due);
}
