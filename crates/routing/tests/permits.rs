//! Tests of permits for upstreams that have stated limits.

use std::time::Duration;

use hollowbarrow_routing::{IssuedPermits, PERMIT_LIFETIME, PermitHolder, PermitIssuer};
use hollowbarrow_schema::{DaemonId, PermitNeed, RequestRate};
use rstest::rstest;
use tokio::time::Instant;

const LIMIT: RequestRate = RequestRate(2000);
const DAEMONS: u32 = 8;
const WAIT_TIMEOUT: Duration = Duration::from_millis(100);

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn need(count: u32, lifetime: Duration, returned: u32) -> PermitNeed {
    let lifetime_ms = lifetime.as_millis() as u32;
    PermitNeed { upstream: "a".to_owned(), count, lifetime_ms, returned, others: Vec::new() }
}

fn daemon(name: &str) -> DaemonId {
    DaemonId(name.to_owned())
}

fn issued(name: &str, count: u32) -> IssuedPermits {
    IssuedPermits { daemon: daemon(name), upstream: "a".to_owned(), count }
}

fn issuer(now: Instant) -> PermitIssuer {
    let mut issuer = PermitIssuer::new();
    issuer.set_limit("a", Some(LIMIT), now);
    issuer
}

/// Half a second yields one permit, and at most two are saved up.
#[rstest]
#[case::at_first(0, 0)]
#[case::just_before(499, 0)]
#[case::one(500, 1)]
#[case::saved_up(60_000, 2)]
fn issue_by_rate(#[case] ms: u64, #[case] expected: u32) {
    let start = Instant::now();
    let mut issuer = issuer(start);
    issuer.record_need(&daemon("x"), &need(5, WAIT_TIMEOUT, 0), after(start, ms));
    let issued: u32 = issuer.issue(after(start, ms)).iter().map(|issued| issued.count).sum();
    assert_eq!(issued, expected);
}

/// The need that expires first is served first.
#[rstest]
fn issue_earliest_expiring_need() {
    let start = Instant::now();
    let now = after(start, 500);
    let mut issuer = issuer(start);
    issuer.record_need(&daemon("late"), &need(1, PERMIT_LIFETIME, 0), now);
    issuer.record_need(&daemon("soon"), &need(1, WAIT_TIMEOUT, 0), now);
    assert_eq!(issuer.issue(now), vec![issued("soon", 1)]);
    assert_eq!(issuer.wait("a"), Some(Duration::from_millis(500)));
}

#[rstest]
fn issue_nothing_for_expired_need() {
    let start = Instant::now();
    let mut issuer = issuer(start);
    issuer.record_need(&daemon("x"), &need(1, WAIT_TIMEOUT, 0), after(start, 400));
    assert_eq!(issuer.issue(after(start, 500)), Vec::new(), "the need has expired");
}

#[rstest]
fn issue_returned_again() {
    let start = Instant::now();
    let now = after(start, 500);
    let mut issuer = issuer(start);
    issuer.record_need(&daemon("x"), &need(1, WAIT_TIMEOUT, 0), now);
    assert_eq!(issuer.issue(now), vec![issued("x", 1)]);
    issuer.record_need(&daemon("x"), &need(0, Duration::ZERO, 1), now);
    issuer.record_need(&daemon("y"), &need(1, WAIT_TIMEOUT, 0), now);
    assert_eq!(issuer.issue(now), vec![issued("y", 1)]);
}

#[rstest]
#[case::fallen(Some(RequestRate(100)), 10_000)]
#[case::nothing_allowed(Some(RequestRate(0)), 10_000)]
fn issue_by_lowered_rate(#[case] limit: Option<RequestRate>, #[case] first_ms: u64) {
    let start = Instant::now();
    let mut issuer = issuer(start);
    issuer.set_limit("a", limit, start);
    for (ms, expected) in [(first_ms - 1, 0), (first_ms, 1)] {
        issuer.record_need(&daemon("x"), &need(1, WAIT_TIMEOUT, 0), after(start, ms));
        assert_eq!(issuer.issue(after(start, ms)).len(), expected, "at {ms}");
    }
}

#[rstest]
fn issue_nothing_without_limit() {
    let start = Instant::now();
    let mut issuer = issuer(start);
    issuer.set_limit("a", None, start);
    issuer.record_need(&daemon("x"), &need(1, WAIT_TIMEOUT, 0), after(start, 500));
    assert_eq!(issuer.issue(after(start, 500)), Vec::new());
    assert_eq!(issuer.wait("a"), None);
}

fn has_permit(holder: &mut PermitHolder, now: Instant) -> bool {
    holder.has_permit("a", LIMIT, DAEMONS, now)
}

#[rstest]
fn holder_takes_issued() {
    let now = Instant::now();
    let mut holder = PermitHolder::new(1);
    assert!(!has_permit(&mut holder, now));
    assert!(holder.record_need("a", WAIT_TIMEOUT, now), "a permit may arrive");
    assert_eq!(holder.due(now), vec![need(1, WAIT_TIMEOUT, 0)]);
    assert_eq!(holder.due(now), Vec::new(), "the need was already sent");
    holder.record_issued("a", 1, now);
    assert!(has_permit(&mut holder, now));
    let permit = holder.take("a", now).expect("one permit was issued");
    assert!(holder.take("a", now).is_none(), "the permit was taken");
    holder.give_back("a", permit);
    assert!(holder.take("a", now).is_some(), "the permit was given back");
}

/// A permit is usable for as long as its request waits, and is then returned.
#[rstest]
#[case::unused(99, true, 0)]
#[case::ran_out(100, false, 1)]
fn holder_returns_unused(#[case] ms: u64, #[case] available: bool, #[case] returned: u32) {
    let start = Instant::now();
    let mut holder = PermitHolder::new(1);
    holder.record_need("a", WAIT_TIMEOUT, start);
    holder.due(start);
    holder.record_issued("a", 1, start);
    assert_eq!(has_permit(&mut holder, after(start, ms)), available);
    let returned_count: u32 = holder.due(after(start, ms)).iter().map(|need| need.returned).sum();
    assert_eq!(returned_count, returned);
}

#[rstest]
fn holder_returns_late_permits() {
    let start = Instant::now();
    let mut holder = PermitHolder::new(1);
    holder.record_need("a", WAIT_TIMEOUT, start);
    holder.due(start);
    holder.record_issued("a", 1, after(start, 100));
    assert!(!has_permit(&mut holder, after(start, 100)));
    assert_eq!(holder.due(after(start, 100)), vec![need(0, Duration::ZERO, 1)]);
}

/// Permits that cannot arrive in time are not requested.
#[rstest]
fn holder_drops_unfulfillable_needs() {
    let start = Instant::now();
    let mut holder = PermitHolder::new(1);
    holder.record_need("a", WAIT_TIMEOUT, start);
    holder.record_wait("a", Duration::from_millis(400), start);
    assert_eq!(holder.count_needs("a", start), 0, "the need cannot be fulfilled");
    assert!(!holder.record_need("a", WAIT_TIMEOUT, after(start, 299)));
    assert_eq!(holder.wait("a", after(start, 299)), Duration::from_millis(101));
    assert!(holder.record_need("a", WAIT_TIMEOUT, after(start, 300)));
}

/// Permits that were issued under a higher limit must not all be used under a lower one.
#[rstest]
fn holder_keeps_one_after_decrease() {
    let now = Instant::now();
    let mut holder = PermitHolder::new(1);
    (0..3).for_each(|_| assert!(holder.record_need("a", WAIT_TIMEOUT, now)));
    holder.record_issued("a", 3, now);
    holder.record_limit_decrease("a");
    assert!(holder.take("a", now).is_some());
    assert!(holder.take("a", now).is_none());
}

/// Returns the rate at which a daemon issues permits to itself, as a fraction of the limit.
fn self_issued_share(holder: &mut PermitHolder, start: Instant) -> f64 {
    let steps = 400_000;
    let taken = (0..steps).filter(|step| {
        let now = after(start, step * 10);
        has_permit(holder, now) && holder.take("a", now).is_some()
    });
    let seconds = steps as f64 / 100.0;
    taken.count() as f64 / seconds / (*LIMIT as f64 / 1000.0)
}

/// Without an issuer, all daemons together use less than half of the limit, in equal shares.
#[rstest]
fn holder_self_issues_without_issuer() {
    let start = Instant::now();
    let mut holder = PermitHolder::new(1);
    assert!(!has_permit(&mut holder, start));
    holder.record_need("a", WAIT_TIMEOUT, start);
    holder.due(start);
    let part = self_issued_share(&mut holder, after(start, 600)) * f64::from(DAEMONS);
    assert!((0.3..0.5).contains(&part), "{part}");
    let end = after(start, 5_000_000);
    holder.record_wait("a", Duration::ZERO, end);
    assert_eq!(self_issued_share(&mut holder, end), 0.0, "the issuer answers");
}

/// Guards against a need that waits for one upstream while another one that serves it has a permit.
#[rstest]
fn issue_permit_of_other_upstream() {
    let start = Instant::now();
    let now = after(start, 500);
    let mut issuer = issuer(start);
    issuer.set_limit("b", Some(LIMIT), now);
    let others = vec!["a".to_owned()];
    let need = PermitNeed { upstream: "b".to_owned(), others, ..need(1, WAIT_TIMEOUT, 0) };
    issuer.record_need(&daemon("x"), &need, now);
    assert_eq!(issuer.issue(now), vec![issued("x", 1)]);
    assert_eq!(issuer.issue(now), Vec::new(), "the need is met");
}

/// An upstream's own needs come first.
#[rstest]
fn issue_to_own_needs_first() {
    let start = Instant::now();
    let now = after(start, 500);
    let mut issuer = issuer(start);
    issuer.set_limit("b", Some(LIMIT), now);
    let others = vec!["a".to_owned()];
    let other = PermitNeed { upstream: "b".to_owned(), others, ..need(1, WAIT_TIMEOUT, 0) };
    issuer.record_need(&daemon("x"), &other, now);
    issuer.record_need(&daemon("y"), &need(1, WAIT_TIMEOUT, 0), now);
    assert_eq!(issuer.issue(now), vec![issued("y", 1)]);
}

/// A permit of an upstream that was not asked serves a need that names it, and only that one.
#[rstest]
#[case::named(&["b"], true, 0)]
#[case::not_named(&["c"], false, 1)]
fn holder_takes_permit_of_other_upstream(
    #[case] others: &[&str],
    #[case] available: bool,
    #[case] returned: u32,
) {
    let start = Instant::now();
    let mut holder = PermitHolder::new(1);
    assert!(holder.record_need_of_any("a", others, WAIT_TIMEOUT, start));
    assert_eq!(holder.due(start)[0].others, others);
    holder.record_issued("b", 1, after(start, 10));
    assert_eq!(holder.has_permit("b", LIMIT, DAEMONS, after(start, 10)), available);
    assert_eq!(holder.count_needs("a", after(start, 10)), usize::from(!available));
    let due = holder.due(after(start, 60));
    assert_eq!(due.iter().map(|need| need.returned).sum::<u32>(), returned);
}
