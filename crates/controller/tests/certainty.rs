//! When a controller may send gateways the configuration that it holds.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowbarrow_controller::certainty::{
    CertaintyFacts, CertaintyHistory, ConfigCertainty, contact_age, hears_majority,
};
use hollowbarrow_schema::DaemonId;
use rstest::rstest;
use tokio::time::Instant;

/// Certainty of a controller; all times are in milliseconds after its start.
fn certainty_at(
    now_ms: u64,
    confirmed_ms: Option<u64>,
    complete_ms: Option<u64>,
    in_contact: bool,
) -> ConfigCertainty {
    let since = Instant::now();
    let at = |ms: u64| since + Duration::from_millis(ms);
    let (confirmed, complete) = (confirmed_ms.map(at), complete_ms.map(at));
    let facts = CertaintyFacts { since, confirmed, complete, in_contact };
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
    // A controller that is cut off.
    assert_eq!(certainty_at(now_ms, confirmed_ms, complete_ms, false), expected);
}

/// Guards against sending an outdated configuration beside controllers that may hold a newer one.
#[rstest]
#[case::just_started(300, None, None, ConfigCertainty::Nothing)]
#[case::behind_leader_for_long(3_000, Some(2_900), None, ConfigCertainty::Nothing)]
#[case::caught_up(300, Some(250), Some(250), ConfigCertainty::Complete)]
#[case::no_leader(2_100, None, None, ConfigCertainty::Waiting)]
#[case::no_leader_for_long(600_000, None, None, ConfigCertainty::Waiting)]
#[case::leader_lost(60_000, Some(50_000), Some(50_000), ConfigCertainty::Waiting)]
#[case::behind_after_a_partition(60_000, Some(59_900), Some(50_000), ConfigCertainty::Waiting)]
#[case::never_caught_up(6_100, Some(6_000), None, ConfigCertainty::Waiting)]
fn certainty_in_contact(
    #[case] now_ms: u64,
    #[case] confirmed_ms: Option<u64>,
    #[case] complete_ms: Option<u64>,
    #[case] expected: ConfigCertainty,
) {
    assert_eq!(certainty_at(now_ms, confirmed_ms, complete_ms, true), expected);
}

/// Guards against a controller that takes others for a majority that are none, and against one that
/// takes a majority for too few. Controllers that do not vote count for nothing.
#[rstest]
#[case::alone_of_three("a", "a,b,c", "", false)]
#[case::two_of_three("a", "a,b,c", "b", true)]
#[case::with_a_learner("a", "a,b,c", "d", false)]
#[case::learner_with_one_voter("d", "a,b,c", "a,e", false)]
#[case::learner_with_two_voters("d", "a,b,c", "a,c", true)]
#[case::half_of_four("a", "a,b,c,d", "b", false)]
#[case::two_of_five("a", "a,b,c,d,e", "b", false)]
#[case::three_of_five("a", "a,b,c,d,e", "b,e", true)]
#[case::voters_unknown("a", "", "b,c", false)]
fn hears_majority_cases(
    #[case] local: &str,
    #[case] voters: &str,
    #[case] heard: &str,
    #[case] expected: bool,
) {
    let ids = |names: &str| -> Vec<DaemonId> {
        names.split(',').filter(|name| !name.is_empty()).map(DaemonId::from).collect()
    };
    let heard: BTreeSet<DaemonId> = ids(heard).into_iter().collect();
    assert_eq!(hears_majority(&DaemonId::from(local), &ids(voters), &heard), expected);
}

/// Guards against contact that a restart or a suspension has ended: a hello from before does not
/// count after it.
#[rstest]
#[case::just_resumed(300, 300)]
#[case::running(60_000, 2_000)]
fn contact_age_cases(#[case] now_ms: u64, #[case] expected_ms: u64) {
    let since = Instant::now();
    let age = contact_age(since, since + Duration::from_millis(now_ms));
    assert_eq!(age, Duration::from_millis(expected_ms));
}

/// A log that was complete before the process started or was suspended may be outdated now.
#[rstest]
fn certainty_after_restart() {
    let before = Instant::now();
    let since = before + Duration::from_secs(5);
    let (confirmed, complete) = (Some(before), Some(before));
    let facts = CertaintyFacts { since, confirmed, complete, in_contact: false };
    assert_eq!(facts.certainty(since + Duration::from_secs(1)), ConfigCertainty::Nothing);
}

/// A configuration that nobody confirmed is withdrawn only after a contact has lasted for as long as a
/// leader usually takes to confirm one.
#[rstest]
#[case::contact_is_new(&[(0, ConfigCertainty::Unconfirmed), (5_000, ConfigCertainty::Waiting)], 6_900, false)]
#[case::contact_lasts(&[(0, ConfigCertainty::Unconfirmed), (5_000, ConfigCertainty::Waiting)], 7_100, true)]
#[case::recorded_again(&[(0, ConfigCertainty::Waiting), (3_000, ConfigCertainty::Waiting)], 3_100, true)]
#[case::cut_off(&[(0, ConfigCertainty::Unconfirmed)], 60_000, false)]
#[case::complete(&[(0, ConfigCertainty::Waiting), (5_000, ConfigCertainty::Complete)], 60_000, false)]
#[case::just_started(&[(0, ConfigCertainty::Nothing)], 60_000, false)]
fn withdraws_unconfirmed_cases(
    #[case] recorded: &[(u64, ConfigCertainty)],
    #[case] now_ms: u64,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut history = CertaintyHistory::default();
    for (ms, certainty) in recorded {
        history.record(*certainty, at(*ms));
    }
    assert_eq!(history.withdraws_unconfirmed(at(now_ms)), expected);
}

/// Guards against a configuration that a controller in contact with a majority sends in a short stall
/// of its links, although a later one may be in force.
#[rstest]
#[case::stall(&[(0, ConfigCertainty::Waiting), (100, ConfigCertainty::Unconfirmed)], 260, ConfigCertainty::Waiting)]
#[case::stalls(&[(0, ConfigCertainty::Waiting), (100, ConfigCertainty::Unconfirmed), (2_000, ConfigCertainty::Waiting)], 2_200, ConfigCertainty::Waiting)]
#[case::cut_off(&[(0, ConfigCertainty::Waiting), (100, ConfigCertainty::Unconfirmed)], 2_101, ConfigCertainty::Unconfirmed)]
#[case::cut_off_from_the_start(&[(0, ConfigCertainty::Nothing)], 100, ConfigCertainty::Unconfirmed)]
#[case::after_a_leader(&[(0, ConfigCertainty::Complete)], 100, ConfigCertainty::Unconfirmed)]
fn waiting_outlasts_short_stalls(
    #[case] recorded: &[(u64, ConfigCertainty)],
    #[case] now_ms: u64,
    #[case] expected: ConfigCertainty,
) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut history = CertaintyHistory::default();
    for (ms, certainty) in recorded {
        history.record(*certainty, at(*ms));
    }
    history.record(ConfigCertainty::Unconfirmed, at(now_ms));
    assert_eq!(history.last(), expected);
}
