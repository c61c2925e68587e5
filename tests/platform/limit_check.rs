//! Checks that workers get no more requests than the limits that they name allow.
//!
//! The check is pure: it goes by the ordered record of what workers named and what came to them.

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::demands::{DemandEvent, WorkerWord};

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of what a limit allows that may come in a window, and requests beyond that.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;
/// Time after a worker has told a gateway from which on that gateway's requests count.
const TELLING_TIME: Duration = Duration::from_millis(500);
/// Time after a worker has first named a limit from which on it has to be kept, and time for which a
/// disturbance excuses a gateway.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// What one worker named, from when on.
type NamedLimits = Vec<(Instant, Option<f64>)>;

/// Workers that got more than they allow, and by how much.
pub fn find_limit_breaches(events: &[DemandEvent]) -> Vec<String> {
    let workers: BTreeSet<&str> = events.iter().filter_map(named_worker).collect();
    workers.into_iter().filter_map(|worker| find_breach(events, worker)).collect()
}

fn named_worker(event: &DemandEvent) -> Option<&str> {
    match event {
        DemandEvent::Named { worker, .. } => Some(worker),
        DemandEvent::Came { .. } | DemandEvent::Disturbed { .. } => None,
    }
}

/// The window of a worker in which most came beyond what was allowed.
fn find_breach(events: &[DemandEvent], name: &str) -> Option<String> {
    let named = events.iter().filter_map(|event| match event {
        DemandEvent::Named { worker, limit, at } if worker == name => Some((*at, *limit)),
        _ => None,
    });
    let named: NamedLimits = named.collect();
    let first = named.iter().find(|(_, limit)| limit.is_some()).map(|(at, _)| *at)?;
    let counted = counted_arrivals(events, name);
    let mut worst: Option<(f64, String)> = None;
    for (index, end) in counted.iter().enumerate() {
        if *end < first + CONTACT_TIME {
            continue;
        }
        let inside = |at: &&Instant| end.saturating_duration_since(**at) < WINDOW;
        let came = counted[..=index].iter().rev().take_while(inside).count() as f64;
        let Some(granted) = granted_until(&named, *end) else { continue };
        let allowed = granted * ALLOWED_FACTOR + ALLOWED_MORE;
        let times = came / allowed;
        if came > allowed.round() && worst.as_ref().is_none_or(|(most, _)| times > *most) {
            let since = end.saturating_duration_since(first).as_secs_f64();
            let text = format!(
                "{name} got {came} requests in 4 s, {since:.1} s after it named a limit; \
                 {allowed:.1} allowed"
            );
            worst = Some((times, text));
        }
    }
    worst.map(|(_, text)| text)
}

/// When requests came by gateways that the worker had told, in order.
fn counted_arrivals(events: &[DemandEvent], name: &str) -> Vec<Instant> {
    let came: Vec<(usize, Instant, WorkerWord)> = events
        .iter()
        .filter_map(|event| match event {
            DemandEvent::Came { worker, gateway, at, word } if worker == name => {
                Some((*gateway, *at, *word))
            }
            _ => None,
        })
        .collect();
    let is_told = |gateway: usize, at: Instant| {
        came.iter().any(|(teller, told, word)| {
            *teller == gateway && word.limit.is_some() && *told + TELLING_TIME <= at
        })
    };
    let counts = |(gateway, at, _): &&(usize, Instant, WorkerWord)| {
        is_told(*gateway, *at) && !is_excused(events, *gateway, *at)
    };
    came.iter().filter(counts).map(|(_, at, _)| *at).collect()
}

fn is_excused(events: &[DemandEvent], who: usize, now: Instant) -> bool {
    events.iter().any(|event| match event {
        DemandEvent::Disturbed { gateway, at } => {
            *gateway == who && *at <= now && now < *at + CONTACT_TIME
        }
        DemandEvent::Came { .. } | DemandEvent::Named { .. } => false,
    })
}

/// Requests that the limits named grant in the window before a moment; none where the worker took
/// any number for a part of it. Before the first limit that one counts.
fn granted_until(named: &NamedLimits, end: Instant) -> Option<f64> {
    let start = end.checked_sub(WINDOW)?;
    let mut granted = 0.0;
    let firsts = named.iter().take(1).map(|(_, limit)| (start, *limit));
    let steps: NamedLimits = firsts.chain(named.iter().copied()).collect();
    for (index, (at, limit)) in steps.iter().enumerate() {
        let until = steps.get(index + 1).map_or(end, |(next, _)| *next).min(end);
        let part = until.saturating_duration_since((*at).max(start));
        if !part.is_zero() {
            granted += (*limit)? * part.as_secs_f64();
        }
    }
    Some(granted)
}

const TOLD: WorkerWord = WorkerWord { backoff: None, leaving: false, limit: Some(2.0) };
const UNTOLD: WorkerWord = WorkerWord { backoff: None, leaving: false, limit: None };

/// One request a gateway that tells it, at the beginning.
fn told_gateways(start: Instant, count: usize) -> Vec<DemandEvent> {
    let told = |gateway| came(start, gateway, TOLD);
    let named = DemandEvent::Named { worker: "w".to_owned(), limit: Some(2.0), at: start };
    [named].into_iter().chain((0..count).map(told)).collect()
}

fn came(at: Instant, gateway: usize, word: WorkerWord) -> DemandEvent {
    DemandEvent::Came { worker: "w".to_owned(), gateway, at, word }
}

/// With a limit of 2 a second, 17 requests may come in 4 s.
#[rstest]
#[case::allowed(17, 0)]
#[case::one_more(18, 1)]
fn find_limit_breaches_count(#[case] count: usize, #[case] expected: usize) {
    let start = Instant::now();
    let mut events = told_gateways(start, 2);
    let at = |number: usize| start + Duration::from_millis(5000 + 100 * number as u64);
    events.extend((0..count).map(|number| came(at(number), number % 2, TOLD)));
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
    let mut events = told_gateways(start, 2);
    let disturb =
        |(gateway, ms): &(usize, u64)| DemandEvent::Disturbed { gateway: *gateway, at: at(*ms) };
    events.extend(disturbed.iter().map(disturb));
    events.extend((0..18).map(|number| came(at(last_ms - 17 + number), 0, TOLD)));
    let breaches = find_limit_breaches(&events);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
}

#[rstest]
#[case::by_told(0, 1)]
#[case::by_one_not_told(2, 0)]
fn find_limit_breaches_told(#[case] gateway: usize, #[case] expected: usize) {
    let start = Instant::now();
    let mut events = told_gateways(start, 2);
    let at = start + Duration::from_secs(5);
    events.extend((0..18).map(|_| came(at, gateway, UNTOLD)));
    let breaches = find_limit_breaches(&events);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
}

/// Limits that change within the window count for the time for which they held.
#[rstest]
#[case::falls(&[(4000, Some(0.0))], 11, 0)]
#[case::falls_one_more(&[(4000, Some(0.0))], 12, 1)]
#[case::rises(&[(4000, Some(4.0))], 23, 0)]
#[case::rises_one_more(&[(4000, Some(4.0))], 24, 1)]
#[case::ends(&[(4000, None)], 100, 0)]
#[case::named_anew(&[(1000, None), (1500, Some(2.0))], 18, 1)]
fn find_limit_breaches_change(
    #[case] changes: &[(u64, Option<f64>)],
    #[case] count: usize,
    #[case] expected: usize,
) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut events = told_gateways(start, 1);
    let change = |(ms, limit): &(u64, Option<f64>)| DemandEvent::Named {
        worker: "w".to_owned(),
        limit: *limit,
        at: at(*ms),
    };
    events.extend(changes.iter().map(change));
    // Half of the window is before the change.
    events.extend((0..count).map(|_| came(at(6000), 0, TOLD)));
    let breaches = find_limit_breaches(&events);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
}
