//! Checks that workers do not get more requests than the limits that they state.
//!
//! The check is a pure function of the recorded limit changes and request arrivals, in order.

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::notices::{NoticeEvent, WorkerNotice};

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor on the requests that a limit permits in a window, and number of requests allowed beyond
/// that.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;
/// Time after an answer with a limit from which on later requests of that gateway count.
const NOTICE_DELAY: Duration = Duration::from_millis(500);
/// Time after a worker's first limit from which on the limit is enforced, and time for which a
/// disturbance excuses a gateway.
const GRACE_TIME: Duration = Duration::from_secs(3);

/// Limits of one worker, each with the time from which on it applies.
type LimitHistory = Vec<(Instant, Option<f64>)>;

/// Returns a message for each worker that got more requests than it allows, with the worst excess.
pub fn find_limit_breaches(events: &[NoticeEvent]) -> Vec<String> {
    let workers: BTreeSet<&str> = events.iter().filter_map(worker_of_limit).collect();
    workers.into_iter().filter_map(|worker| find_breach(events, worker)).collect()
}

fn worker_of_limit(event: &NoticeEvent) -> Option<&str> {
    match event {
        NoticeEvent::LimitSet { worker, .. } => Some(worker),
        NoticeEvent::Arrived { .. } | NoticeEvent::Disturbed { .. } => None,
    }
}

/// Returns a message on the window with the highest ratio of arrived to allowed requests, if that
/// window exceeds the allowance.
fn find_breach(events: &[NoticeEvent], name: &str) -> Option<String> {
    let limits = events.iter().filter_map(|event| match event {
        NoticeEvent::LimitSet { worker, limit, at } if worker == name => Some((*at, *limit)),
        _ => None,
    });
    let limits: LimitHistory = limits.collect();
    let first = limits.iter().find(|(_, limit)| limit.is_some()).map(|(at, _)| *at)?;
    let counted = counted_arrivals(events, name);
    let mut worst: Option<(f64, String)> = None;
    for (index, end) in counted.iter().enumerate() {
        if *end < first + GRACE_TIME {
            continue;
        }
        let inside = |at: &&Instant| end.saturating_duration_since(**at) < WINDOW;
        let arrived = counted[..=index].iter().rev().take_while(inside).count() as f64;
        let Some(granted) = granted_until(&limits, *end) else { continue };
        let allowed = granted * ALLOWED_FACTOR + ALLOWED_EXTRA;
        let times = arrived / allowed;
        if arrived > allowed.round() && worst.as_ref().is_none_or(|(most, _)| times > *most) {
            let since = end.saturating_duration_since(first).as_secs_f64();
            let text = format!(
                "{name} got {arrived} requests in 4 s, {since:.1} s after its first limit; \
                 {allowed:.1} allowed"
            );
            worst = Some((times, text));
        }
    }
    worst.map(|(_, text)| text)
}

/// Returns the arrival times of requests from gateways that had already received a limit, in order.
fn counted_arrivals(events: &[NoticeEvent], name: &str) -> Vec<Instant> {
    let arrived: Vec<(usize, Instant, WorkerNotice)> = events
        .iter()
        .filter_map(|event| match event {
            NoticeEvent::Arrived { worker, gateway, at, notice } if worker == name => {
                Some((*gateway, *at, *notice))
            }
            _ => None,
        })
        .collect();
    let is_notified = |gateway: usize, at: Instant| {
        arrived.iter().any(|(notified_gateway, notified_at, notice)| {
            *notified_gateway == gateway
                && notice.limit.is_some()
                && *notified_at + NOTICE_DELAY <= at
        })
    };
    let counts = |(gateway, at, _): &&(usize, Instant, WorkerNotice)| {
        is_notified(*gateway, *at) && !is_excused(events, *gateway, *at)
    };
    arrived.iter().filter(counts).map(|(_, at, _)| *at).collect()
}

fn is_excused(events: &[NoticeEvent], who: usize, now: Instant) -> bool {
    events.iter().any(|event| match event {
        NoticeEvent::Disturbed { gateway, at } => {
            *gateway == who && *at <= now && now < *at + GRACE_TIME
        }
        NoticeEvent::Arrived { .. } | NoticeEvent::LimitSet { .. } => false,
    })
}

/// Returns the number of requests that the limits permit in the window before `end`, or `None` if
/// the worker had no limit in a part of the window. Before the first limit, that limit applies.
fn granted_until(limits: &LimitHistory, end: Instant) -> Option<f64> {
    let start = end.checked_sub(WINDOW)?;
    let mut granted = 0.0;
    let firsts = limits.iter().take(1).map(|(_, limit)| (start, *limit));
    let steps: LimitHistory = firsts.chain(limits.iter().copied()).collect();
    for (index, (at, limit)) in steps.iter().enumerate() {
        let until = steps.get(index + 1).map_or(end, |(next, _)| *next).min(end);
        let part = until.saturating_duration_since((*at).max(start));
        if !part.is_zero() {
            granted += (*limit)? * part.as_secs_f64();
        }
    }
    Some(granted)
}

const LIMITED: WorkerNotice = WorkerNotice { backoff: None, leaving: false, limit: Some(2.0) };
const UNLIMITED: WorkerNotice = WorkerNotice { backoff: None, leaving: false, limit: None };

/// Returns a limit of 2 per second and one request from each gateway, answered with that limit.
fn notified_gateways(start: Instant, count: usize) -> Vec<NoticeEvent> {
    let notified = |gateway| arrived(start, gateway, LIMITED);
    let limit_set = NoticeEvent::LimitSet { worker: "w".to_owned(), limit: Some(2.0), at: start };
    [limit_set].into_iter().chain((0..count).map(notified)).collect()
}

fn arrived(at: Instant, gateway: usize, notice: WorkerNotice) -> NoticeEvent {
    NoticeEvent::Arrived { worker: "w".to_owned(), gateway, at, notice }
}

/// A limit of 2 per second allows 17 requests in 4 s.
#[rstest]
#[case::allowed(17, 0)]
#[case::one_more(18, 1)]
fn find_limit_breaches_count(#[case] count: usize, #[case] expected: usize) {
    let start = Instant::now();
    let mut events = notified_gateways(start, 2);
    let at = |number: usize| start + Duration::from_millis(5000 + 100 * number as u64);
    events.extend((0..count).map(|number| arrived(at(number), number % 2, LIMITED)));
    let breaches = find_limit_breaches(&events);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
}

#[rstest]
#[case::kept_from_then_on(3000, &[], 1)]
#[case::not_yet(2999, &[], 0)]
#[case::disturbed(3000, &[(0, 1)], 0)]
#[case::disturbed_long_ago(6000, &[(0, 2900)], 1)]
#[case::other_disturbed(3000, &[(1, 1)], 1)]
fn find_limit_breaches_excuses(
    #[case] last_ms: u64,
    #[case] disturbed: &[(usize, u64)],
    #[case] expected: usize,
) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut events = notified_gateways(start, 2);
    let disturb =
        |(gateway, ms): &(usize, u64)| NoticeEvent::Disturbed { gateway: *gateway, at: at(*ms) };
    events.extend(disturbed.iter().map(disturb));
    events.extend((0..18).map(|number| arrived(at(last_ms - 17 + number), 0, LIMITED)));
    let breaches = find_limit_breaches(&events);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
}

#[rstest]
#[case::by_notified(0, 1)]
#[case::by_one_not_notified(2, 0)]
fn find_limit_breaches_notified(#[case] gateway: usize, #[case] expected: usize) {
    let start = Instant::now();
    let mut events = notified_gateways(start, 2);
    let at = start + Duration::from_secs(5);
    events.extend((0..18).map(|_| arrived(at, gateway, UNLIMITED)));
    let breaches = find_limit_breaches(&events);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
}

/// A limit that applies in a part of the window counts in proportion to that part.
#[rstest]
#[case::falls(&[(4000, Some(0.0))], 11, 0)]
#[case::falls_one_more(&[(4000, Some(0.0))], 12, 1)]
#[case::rises(&[(4000, Some(4.0))], 23, 0)]
#[case::rises_one_more(&[(4000, Some(4.0))], 24, 1)]
#[case::removed(&[(4000, None)], 100, 0)]
#[case::set_again(&[(1000, None), (1500, Some(2.0))], 18, 1)]
fn find_limit_breaches_change(
    #[case] changes: &[(u64, Option<f64>)],
    #[case] count: usize,
    #[case] expected: usize,
) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut events = notified_gateways(start, 1);
    let change = |(ms, limit): &(u64, Option<f64>)| NoticeEvent::LimitSet {
        worker: "w".to_owned(),
        limit: *limit,
        at: at(*ms),
    };
    events.extend(changes.iter().map(change));
    // Half of the window lies before the change.
    events.extend((0..count).map(|_| arrived(at(6000), 0, LIMITED)));
    let breaches = find_limit_breaches(&events);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
}
