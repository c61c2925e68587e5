//! When a controller may send gateways the configuration that it holds.

use std::time::Duration;

use hollowbarrow_controller::certainty::{CertaintyFacts, ConfigCertainty};
use rstest::rstest;
use tokio::time::Instant;

/// Certainty of a controller; all times are in milliseconds after its start.
fn certainty_at(
    now_ms: u64,
    confirmed_ms: Option<u64>,
    complete_ms: Option<u64>,
) -> ConfigCertainty {
    let since = Instant::now();
    let at = |ms: u64| since + Duration::from_millis(ms);
    let facts =
        CertaintyFacts { since, confirmed: confirmed_ms.map(at), complete: complete_ms.map(at) };
    facts.certainty(at(now_ms))
}

/// Guards against sending an outdated configuration. After all machines had lost power, a controller
/// sent version 368, from a snapshot just installed, to 20 gateways while the leader that it followed
/// had committed version 401.
#[rstest]
#[case::just_started(300, None, None, ConfigCertainty::Nothing)]
#[case::behind_leader(300, Some(250), None, ConfigCertainty::Nothing)]
#[case::behind_leader_for_long(3_000, Some(2_900), None, ConfigCertainty::Nothing)]
#[case::caught_up(300, Some(250), Some(250), ConfigCertainty::Complete)]
#[case::caught_up_for_long(60_000, Some(59_500), Some(59_500), ConfigCertainty::Complete)]
#[case::partitioned(60_000, Some(50_000), Some(50_000), ConfigCertainty::Unconfirmed)]
#[case::behind_after_a_partition(60_000, Some(59_900), Some(50_000), ConfigCertainty::Unconfirmed)]
#[case::no_leader(2_100, None, None, ConfigCertainty::Unconfirmed)]
#[case::leader_lost(3_100, Some(1_000), None, ConfigCertainty::Unconfirmed)]
#[case::never_caught_up(6_100, Some(6_000), None, ConfigCertainty::Unconfirmed)]
fn certainty_cases(
    #[case] now_ms: u64,
    #[case] confirmed_ms: Option<u64>,
    #[case] complete_ms: Option<u64>,
    #[case] expected: ConfigCertainty,
) {
    assert_eq!(certainty_at(now_ms, confirmed_ms, complete_ms), expected);
}

/// A log that was complete before the process started or was suspended may be outdated now.
#[rstest]
fn certainty_after_restart() {
    let before = Instant::now();
    let since = before + Duration::from_secs(5);
    let facts = CertaintyFacts { since, confirmed: Some(before), complete: Some(before) };
    assert_eq!(facts.certainty(since + Duration::from_secs(1)), ConfigCertainty::Nothing);
}
