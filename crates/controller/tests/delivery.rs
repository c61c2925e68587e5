//! When each controller sends a configuration to a gateway.

use std::time::Duration;

use hollowbarrow_controller::certainty::ConfigCertainty;
use hollowbarrow_controller::delivery::{DeliveryOffer, DeliveryRole, DeliveryState};
use hollowbarrow_fleet::VersionTimes;
use rstest::rstest;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// A small configuration.
fn offer(version: u64) -> DeliveryOffer {
    DeliveryOffer { version, bytes: 5_000 }
}

/// Longest time between two reports of a gateway to a controller that is not its primary one.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Longest time for which a gateway may lack a change, without the transfer itself.
const MOST_LAG: Duration = Duration::from_millis(1400);

/// A gateway depends on a controller of another zone while changes follow one another. The lag must
/// stay bounded even if changes come faster than the fallback delay.
#[rstest]
#[case::slower_than_delay(500)]
#[case::faster_than_delay(150)]
#[case::fast(20)]
fn is_due_during_changes(#[case] pause_ms: u64) {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(1, start);
    let mut state = DeliveryState::new(1, start);
    let mut reported = start;
    let mut lags = Vec::new();
    for step in 1..1000u64 {
        let now = start + MS * 10 * u32::try_from(step).expect("the step number fits in u32");
        if (step * 10).is_multiple_of(pause_ms) {
            commits.record(1 + step, now);
        }
        if now >= reported + REPORT_INTERVAL {
            reported = now;
            let newest = commits.newest();
            lags.push(state.lag(&commits, now));
            if state.is_due(offer(newest), DeliveryRole::Fallback, &commits, now) {
                state.record_sent(newest, now);
                state.record_reported_version(newest, now);
            }
        }
    }
    let longest = lags.into_iter().max().expect("the gateway reported at least once");
    assert!(longest < MOST_LAG, "{longest:?} behind");
}

/// A gateway holds version 1, and version 2 is committed 100 ms after its first report.
#[rstest]
#[case::primary_at_once(DeliveryRole::Primary, 100, true)]
#[case::fallback_waits(DeliveryRole::Fallback, 480, false)]
#[case::fallback_sends(DeliveryRole::Fallback, 520, true)]
#[case::uncertain_waits(DeliveryRole::Uncertain, 1080, false)]
#[case::uncertain_sends(DeliveryRole::Uncertain, 1120, true)]
fn is_due_after_commit(#[case] role: DeliveryRole, #[case] at: u32, #[case] due: bool) {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(1, start);
    commits.record(2, start + MS * 100);
    let state = DeliveryState::new(1, start);
    assert_eq!(state.is_due(offer(2), role, &commits, start + MS * at), due);
}

#[rstest]
fn is_due_after_restart() {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(1, start);
    let mut state = DeliveryState::new(1, start);
    let restarted = start + MS * 9000;
    state.record_reported_version(0, restarted);
    assert!(state.is_due(offer(1), DeliveryRole::Primary, &commits, restarted));
    assert!(
        !state.is_due(offer(1), DeliveryRole::Fallback, &commits, restarted + MS * 300),
        "the primary controller has a head start"
    );
    assert!(state.is_due(offer(1), DeliveryRole::Fallback, &commits, restarted + MS * 500));
}

#[rstest]
fn is_due_of_same_version() {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(2, start);
    let mut state = DeliveryState::new(1, start);
    state.record_sent(2, start);
    assert!(
        !state.is_due(offer(2), DeliveryRole::Primary, &commits, start + MS * 75),
        "version 2 is in transfer"
    );
    assert!(
        state.is_due(offer(2), DeliveryRole::Primary, &commits, start + MS * 300),
        "version 2 was lost"
    );
    state.record_sent(2, start + MS * 300);
    state.record_dropped();
    assert!(
        state.is_due(offer(2), DeliveryRole::Primary, &commits, start + MS * 301),
        "version 2 was dropped by the send queue"
    );
    state.record_sent(2, start + MS * 301);
    commits.record(3, start + MS * 302);
    assert!(
        state.is_due(offer(3), DeliveryRole::Primary, &commits, start + MS * 303),
        "a newer version is sent at once"
    );
}

/// Guards against duplicates that slow each other down: a configuration with 7,000 routes was sent
/// every 250 ms, from up to six controllers at once, while the first transfer took longer than that.
#[rstest]
#[case::duplicate_from_primary(DeliveryRole::Primary, 1_000, false)]
#[case::duplicate_from_primary_once_late(DeliveryRole::Primary, 1_300, true)]
#[case::duplicate_from_other_zone(DeliveryRole::Fallback, 1_300, false)]
#[case::duplicate_from_other_zone_once_late(DeliveryRole::Fallback, 1_500, true)]
fn is_due_of_large_configuration(#[case] role: DeliveryRole, #[case] at: u32, #[case] due: bool) {
    let start = Instant::now();
    let mut commits = VersionTimes::default();
    commits.record(2, start);
    let mut state = DeliveryState::new(1, start);
    if role == DeliveryRole::Primary {
        state.record_sent(2, start);
    }
    let large = DeliveryOffer { version: 2, bytes: 1_000_000 };
    assert_eq!(state.is_due(large, role, &commits, start + MS * at), due);
}

/// Guards against an older configuration in force after an acknowledged one, and against gateways
/// that stay behind. Without a leader, a controller in contact with others sends nothing to a gateway
/// that holds nothing, since it would serve by what may be outdated. One that serves already only
/// comes closer to the newest configuration.
#[rstest]
#[case::unknown(0, ConfigCertainty::Nothing, true, None)]
#[case::unknown_to_serving(3, ConfigCertainty::Nothing, true, None)]
#[case::waiting(0, ConfigCertainty::Waiting, true, None)]
#[case::waiting_to_serving(3, ConfigCertainty::Waiting, true, Some(DeliveryRole::Uncertain))]
#[case::cut_off(0, ConfigCertainty::Unconfirmed, true, Some(DeliveryRole::Uncertain))]
#[case::cut_off_to_serving(3, ConfigCertainty::Unconfirmed, false, Some(DeliveryRole::Uncertain))]
#[case::complete_primary(0, ConfigCertainty::Complete, true, Some(DeliveryRole::Primary))]
#[case::complete_other(0, ConfigCertainty::Complete, false, Some(DeliveryRole::Fallback))]
fn towards_cases(
    #[case] held: u64,
    #[case] certainty: ConfigCertainty,
    #[case] immediately: bool,
    #[case] expected: Option<DeliveryRole>,
) {
    assert_eq!(DeliveryRole::towards(held, certainty, immediately), expected);
}
