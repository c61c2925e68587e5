//! Since when a controller tells gateways the configuration that it holds.

use std::time::Duration;

use hollowbarrow_controller::certainty::{CertaintyFacts, ConfigCertainty};
use rstest::rstest;
use tokio::time::Instant;

/// Facts of a controller that started a while ago, with moments in milliseconds after its start.
fn basis_at(now_ms: u64, confirmed_ms: Option<u64>, complete_ms: Option<u64>) -> ConfigCertainty {
    let since = Instant::now();
    let at = |ms: u64| since + Duration::from_millis(ms);
    let facts =
        CertaintyFacts { since, confirmed: confirmed_ms.map(at), complete: complete_ms.map(at) };
    facts.basis(at(now_ms))
}

/// After all machines had lost power, a controller told 20 gateways version 368, a snapshot that it
/// had just got, while the leader that it followed had committed 401.
#[rstest]
#[case::just_started(300, None, None, ConfigCertainty::Nothing)]
#[case::leader_not_caught_up_with(300, Some(250), None, ConfigCertainty::Nothing)]
#[case::leader_not_caught_up_with_for_long(3_000, Some(2_900), None, ConfigCertainty::Nothing)]
#[case::caught_up(300, Some(250), Some(250), ConfigCertainty::Complete)]
#[case::caught_up_for_long(60_000, Some(59_500), Some(59_500), ConfigCertainty::Complete)]
#[case::cut_off(60_000, Some(50_000), Some(50_000), ConfigCertainty::Unconfirmed)]
#[case::behind_after_a_cut(60_000, Some(59_900), Some(50_000), ConfigCertainty::Unconfirmed)]
#[case::no_leader(2_100, None, None, ConfigCertainty::Unconfirmed)]
#[case::no_leader_any_more(3_100, Some(1_000), None, ConfigCertainty::Unconfirmed)]
#[case::never_caught_up(6_100, Some(6_000), None, ConfigCertainty::Unconfirmed)]
fn basis(
    #[case] now_ms: u64,
    #[case] confirmed_ms: Option<u64>,
    #[case] complete_ms: Option<u64>,
    #[case] expected: ConfigCertainty,
) {
    assert_eq!(basis_at(now_ms, confirmed_ms, complete_ms), expected);
}

/// What was complete before the start, or before the machine was suspended, says nothing now.
#[rstest]
fn basis_of_former_life() {
    let before = Instant::now();
    let since = before + Duration::from_secs(5);
    let facts = CertaintyFacts { since, confirmed: Some(before), complete: Some(before) };
    assert_eq!(facts.basis(since + Duration::from_secs(1)), ConfigCertainty::Nothing);
}
