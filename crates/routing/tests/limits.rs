//! Tests of limits as daemons record them and as the leader publishes them.

use std::time::Duration;

use hollowbarrow_routing::{LimitCoordinator, LimitNotice, NoticeInterval, UpstreamLimits};
use hollowbarrow_schema::{DaemonId, PermitAsk, RequestRate, Term, UpstreamLimit};
use rstest::rstest;
use tokio::time::Instant;

const NAMED: Option<RequestRate> = Some(RequestRate(2000));
const WAIT_TIMEOUT: Duration = Duration::from_millis(100);
const DAEMONS: u32 = 8;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Returns a notice in the answer to a request that was sent 10 ms before.
fn notice(start: Instant, came_ms: u64, limit: Option<RequestRate>) -> LimitNotice {
    let span = NoticeInterval { sent: after(start, came_ms - 10), came: after(start, came_ms) };
    LimitNotice { limit, span }
}

/// Returns what a leader publishes of a notice whose answer was received `came_ms` ago.
fn published(came_ms: u32, limit: Option<RequestRate>) -> Vec<UpstreamLimit> {
    vec![UpstreamLimit { upstream: "a".to_owned(), limit, sent_ms: came_ms + 10, came_ms }]
}

fn daemon(name: &str) -> DaemonId {
    DaemonId(name.to_owned())
}

fn coordinator() -> LimitCoordinator {
    let mut coordinator = LimitCoordinator::new();
    coordinator.enter(Term(1));
    coordinator
}

#[rstest]
fn local_notice_counts() {
    let start = Instant::now();
    let mut limits = UpstreamLimits::new(1);
    assert!(limits.record_notice("a", notice(start, 100, NAMED)));
    assert_eq!(limits.limit("a"), NAMED);
    assert!(limits.without_permit(DAEMONS, after(start, 100)).contains("a"));
    assert!(limits.record_notice("a", notice(start, 200, None)));
    assert!(limits.without_permit(DAEMONS, after(start, 200)).is_empty());
    assert!(limits.take("a", after(start, 200)).is_none(), "no permit is needed");
}

/// The published limit applies unless the daemon's own notice may be as new.
#[rstest]
#[case::only_others(None, 50, NAMED, NAMED)]
#[case::local_older(Some((100, None)), 50, NAMED, NAMED)]
#[case::local_newer(Some((900, None)), 500, NAMED, None)]
#[case::about_as_old(Some((800, None)), 100, NAMED, None)]
#[case::ended_at_others(Some((100, NAMED)), 50, None, None)]
fn limit_published_by_leader(
    #[case] local: Option<(u64, Option<RequestRate>)>,
    #[case] came_ms: u32,
    #[case] others: Option<RequestRate>,
    #[case] expected: Option<RequestRate>,
) {
    let start = Instant::now();
    let mut limits = UpstreamLimits::new(1);
    if let Some((ms, limit)) = local {
        limits.record_notice("a", notice(start, ms - 20, NAMED));
        limits.record_notice("a", notice(start, ms, limit));
    }
    limits.record_published(&published(came_ms, others), after(start, 1000));
    assert_eq!(limits.limit("a"), expected);
}

/// A daemon that knows a limit only from the leader can observe its end by itself.
#[rstest]
fn published_limit_ends_locally() {
    let start = Instant::now();
    let mut limits = UpstreamLimits::new(1);
    limits.record_published(&published(50, NAMED), after(start, 1000));
    assert!(limits.record_notice("a", notice(start, 1500, None)));
    assert_eq!(limits.limit("a"), None);
    let ask = limits.due(after(start, 1500)).expect("the leader does not know of the end");
    assert_eq!(ask.limits, published(0, None));
}

/// A new leader learns limits within a short time, for which limits of the previous one are kept.
#[rstest]
#[case::kept(2999, NAMED)]
#[case::forgotten(3000, None)]
fn limit_of_former_leader(#[case] ms: u64, #[case] expected: Option<RequestRate>) {
    let start = Instant::now();
    let mut limits = UpstreamLimits::new(1);
    limits.record_published(&published(50, NAMED), start);
    limits.record_published(&[], after(start, ms));
    assert_eq!(limits.limit("a"), expected);
}

#[rstest]
fn due_reports_unknown_limits() {
    let start = Instant::now();
    let mut limits = UpstreamLimits::new(1);
    limits.record_notice("a", notice(start, 100, NAMED));
    let ask = PermitAsk { limits: published(0, NAMED), needs: Vec::new() };
    assert_eq!(limits.due(after(start, 100)), Some(ask));
    assert_eq!(limits.due(after(start, 349)), None, "the report may still be in delivery");
    assert!(limits.due(after(start, 350)).is_some(), "the leader has not published the limit");
    limits.record_published(&published(400, NAMED), after(start, 500));
    assert_eq!(limits.due(after(start, 1000)), None);
}

#[rstest]
fn coordinator_publishes_and_issues() {
    let start = Instant::now();
    let mut coordinator = coordinator();
    let mut limits = UpstreamLimits::new(1);
    limits.record_notice("a", notice(start, 100, NAMED));
    assert!(limits.record_need_of_any(&["a".to_owned()], WAIT_TIMEOUT, false, after(start, 100)));
    let ask = limits.due(after(start, 100)).expect("a message is due");
    let answer = coordinator.handle_ask(&daemon("x"), &ask, after(start, 100));
    assert_eq!(answer.changed, vec![("a".to_owned(), NAMED)]);
    let grant = &answer.grants[&daemon("x")];
    assert_eq!((grant.terms[0].issued, grant.terms[0].wait_ms), (0, Some(500)));
    assert_eq!(coordinator.published_limits(after(start, 100)).len(), 1);
    limits.record_grant(grant, after(start, 100));
    assert!(!limits.record_need_of_any(&["a".to_owned()], WAIT_TIMEOUT, false, after(start, 100)));
    assert!(limits.record_need_of_any(&["a".to_owned()], WAIT_TIMEOUT, false, after(start, 590)));
    let ask = limits.due(after(start, 590)).expect("a message is due");
    assert!(coordinator.handle_ask(&daemon("x"), &ask, after(start, 590)).changed.is_empty());
    let grants = coordinator.issue(after(start, 600));
    limits.record_grant(&grants[&daemon("x")], after(start, 600));
    assert!(limits.without_permit(DAEMONS, after(start, 600)).is_empty());
    assert!(limits.take("a", after(start, 600)).is_some());
}

/// The permits that the previous leader issued may just have been used.
#[rstest]
fn coordinator_starts_empty() {
    let start = Instant::now();
    let mut coordinator = coordinator();
    let ask = PermitAsk { limits: published(0, NAMED), needs: Vec::new() };
    coordinator.handle_ask(&daemon("x"), &ask, start);
    coordinator.enter(Term(1));
    assert_eq!(coordinator.published_limits(start).len(), 1, "the term is the same");
    coordinator.enter(Term(2));
    assert!(coordinator.published_limits(start).is_empty());
}

/// The end of a limit is published for a while.
#[rstest]
#[case::published(9_999, 1)]
#[case::over(10_500, 0)]
fn coordinator_publishes_ended_limit(#[case] ms: u64, #[case] expected: usize) {
    let start = Instant::now();
    let mut coordinator = coordinator();
    let ask = |limit| PermitAsk { limits: published(0, limit), needs: Vec::new() };
    coordinator.handle_ask(&daemon("x"), &ask(NAMED), start);
    // The delay exceeds the maximum delivery time.
    let answer = coordinator.handle_ask(&daemon("y"), &ask(None), after(start, 500));
    assert_eq!(answer.changed, vec![("a".to_owned(), None)]);
    assert_eq!(coordinator.published_limits(after(start, ms)).len(), expected);
}

#[rstest]
fn coordinator_forgets_unknown() {
    let start = Instant::now();
    let mut coordinator = coordinator();
    let ask = PermitAsk { limits: published(0, NAMED), needs: Vec::new() };
    coordinator.handle_ask(&daemon("x"), &ask, start);
    coordinator.prune(|upstream| upstream != "a");
    assert!(coordinator.published_limits(start).is_empty());
}

/// Changed limits are published at once, and the others about once a second.
#[rstest]
fn coordinator_publishes_periodically() {
    let start = Instant::now();
    let mut coordinator = coordinator();
    let ask = |limit| PermitAsk { limits: published(0, limit), needs: Vec::new() };
    coordinator.handle_ask(&daemon("x"), &ask(NAMED), start);
    assert_eq!(coordinator.due_limits(start).len(), 1);
    coordinator.handle_ask(&daemon("y"), &ask(NAMED), after(start, 100));
    assert!(coordinator.due_limits(after(start, 899)).is_empty());
    assert_eq!(coordinator.due_limits(after(start, 900)).len(), 1);
    coordinator.handle_ask(&daemon("x"), &ask(None), after(start, 1000));
    assert_eq!(coordinator.due_limits(after(start, 1000)).len(), 1, "the limit has changed");
}

/// The wait that the leader stated under a lower limit must not apply after the limit has risen.
#[rstest]
fn need_noted_after_rise() {
    let start = Instant::now();
    let upstreams = ["a".to_owned()];
    let mut coordinator = coordinator();
    let mut limits = UpstreamLimits::new(1);
    limits.record_notice("a", notice(start, 100, Some(RequestRate(0))));
    assert!(limits.record_need_of_any(&upstreams, WAIT_TIMEOUT, false, after(start, 100)));
    let ask = limits.due(after(start, 100)).expect("a message is due");
    let answer = coordinator.handle_ask(&daemon("x"), &ask, after(start, 100));
    limits.record_grant(&answer.grants[&daemon("x")], after(start, 100));
    assert!(limits.record_notice("a", notice(start, 1000, Some(RequestRate(50_000)))));
    assert!(limits.record_need_of_any(&upstreams, WAIT_TIMEOUT, false, after(start, 1000)));
}

/// Guards against a wait that outlives the limit it was derived from: the leader's answer may have
/// been sent before the leader learned that the limit has risen or ended.
#[rstest]
#[case::risen(Some(RequestRate(50_000)))]
#[case::ended(None)]
fn wait_of_outdated_grant(#[case] now_stated: Option<RequestRate>) {
    let start = Instant::now();
    let upstreams = ["a".to_owned()];
    let mut coordinator = coordinator();
    let mut limits = UpstreamLimits::new(1);
    limits.record_notice("a", notice(start, 100, Some(RequestRate(0))));
    assert!(limits.record_need_of_any(&upstreams, WAIT_TIMEOUT, false, after(start, 100)));
    let ask = limits.due(after(start, 100)).expect("a message is due");
    let answer = coordinator.handle_ask(&daemon("x"), &ask, after(start, 100));
    assert!(limits.record_notice("a", notice(start, 150, now_stated)));
    limits.record_grant(&answer.grants[&daemon("x")], after(start, 160));
    limits.record_notice("a", notice(start, 200, Some(RequestRate(50_000))));
    assert!(limits.record_need_of_any(&upstreams, WAIT_TIMEOUT, false, after(start, 200)));
}

/// A daemon that issues permits to itself does so at the rate of the limit that applies now.
///
/// Guards against a time that was drawn for a limit of 0, which is tens of seconds away, and that
/// stays in force after the limit has risen.
#[rstest]
fn self_issue_after_rise() {
    let start = Instant::now();
    let upstreams = ["a".to_owned()];
    let mut limits = UpstreamLimits::new(1);
    limits.record_notice("a", notice(start, 100, Some(RequestRate(0))));
    assert!(limits.record_need_of_any(&upstreams, WAIT_TIMEOUT, false, after(start, 100)));
    assert!(limits.due(after(start, 100)).is_some(), "nobody answers this message");
    assert!(limits.without_permit(1, after(start, 800)).contains("a"));
    assert!(limits.record_notice("a", notice(start, 900, Some(RequestRate(50_000)))));
    let mut waited_ms = 0;
    while limits.without_permit(1, after(start, 900 + waited_ms)).contains("a") {
        waited_ms += 10;
        assert!(waited_ms < 2000, "no permit within 2 s although 20 a second are self-issued");
    }
}
