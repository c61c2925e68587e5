//! How long requests wait while none of their upstreams accepts requests.

use std::time::Duration;

use hollowbarrow_routing::{UpstreamOutlook, WaitFacts, may_return_to_failed, upstream_wait_limit};
use rstest::rstest;
use tokio::time::Instant;

const IDLE: Duration = Duration::from_secs(30);

fn wait_ms(outlook: UpstreamOutlook, answer_started: bool, remaining_ms: u64) -> Option<u128> {
    let since = Instant::now();
    let deadline = since + Duration::from_millis(remaining_ms);
    let facts = WaitFacts { outlook, answer_started, since, deadline, idle: IDLE };
    Some(upstream_wait_limit(&facts)?.saturating_duration_since(since).as_millis())
}

/// A request that can be told that it has not run waits only for an upstream that may be running.
#[rstest]
#[case::none(UpstreamOutlook::None, 60_000, None)]
#[case::loading(UpstreamOutlook::Loading, 60_000, None)]
#[case::unconfirmed(UpstreamOutlook::Unconfirmed, 60_000, Some(15_000))]
#[case::unconfirmed_urgent(UpstreamOutlook::Unconfirmed, 600, Some(150))]
#[case::unconfirmed_late(UpstreamOutlook::Unconfirmed, 0, Some(0))]
fn wait_of_new_request(
    #[case] outlook: UpstreamOutlook,
    #[case] remaining_ms: u64,
    #[case] expected: Option<u128>,
) {
    assert_eq!(wait_ms(outlook, false, remaining_ms), expected);
}

/// Guards against ending a stream that another replica could continue as soon as it has loaded.
#[rstest]
#[case::none(UpstreamOutlook::None, 60_000, None)]
#[case::loading(UpstreamOutlook::Loading, 60_000, Some(30_000))]
#[case::unconfirmed(UpstreamOutlook::Unconfirmed, 60_000, Some(30_000))]
#[case::until_deadline(UpstreamOutlook::Loading, 5_000, Some(5_000))]
fn wait_of_started_answer(
    #[case] outlook: UpstreamOutlook,
    #[case] remaining_ms: u64,
    #[case] expected: Option<u128>,
) {
    assert_eq!(wait_ms(outlook, true, remaining_ms), expected);
}

/// A load pattern: requests with 8 s each arrive ten times a second while the leases of all upstreams
/// are expired for a time. Those that a lease can still serve in a quarter of their time are served.
#[rstest]
#[case::short(1_500, 0)]
#[case::long(3_000, 10)]
fn refused_during_expiry(#[case] expired_ms: u64, #[case] expected: usize) {
    let start = Instant::now();
    let renewed = start + Duration::from_millis(expired_ms);
    let refused = (0..expired_ms / 100).filter(|number| {
        let since = start + Duration::from_millis(number * 100);
        let facts = WaitFacts {
            outlook: UpstreamOutlook::Unconfirmed,
            answer_started: false,
            since,
            deadline: since + Duration::from_secs(8),
            idle: IDLE,
        };
        upstream_wait_limit(&facts).is_none_or(|limit| limit < renewed)
    });
    assert_eq!(refused.count(), expected);
}

/// Guards against a stream that uses up its attempts on the replica that broke it off, before the
/// daemon knows that the replica has lost a member.
#[rstest]
#[case::new_request(false, 0, true)]
#[case::at_once(true, 0, false)]
#[case::within_lease(true, 1_999, false)]
#[case::after_lease(true, 2_000, true)]
fn return_to_failed(#[case] answer_started: bool, #[case] waited_ms: u64, #[case] expected: bool) {
    let since = Instant::now();
    let now = since + Duration::from_millis(waited_ms);
    let lease = Duration::from_secs(2);
    assert_eq!(may_return_to_failed(answer_started, since, lease, now), expected);
}
