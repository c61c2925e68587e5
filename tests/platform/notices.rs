//! Checks that gateways respect the notices in workers' answers: backoff, limit and leaving.
//!
//! The record holds request arrivals and gateway disturbances in order. The checks are pure
//! functions, so that tests can use records that violate a rule by the smallest amount.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

/// Time after a notice in which a request that was in flight may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Number of requests that may arrive later than that during a backoff.
const MAX_DURING_BACKOFF: usize = 2;
/// Time after a leaving notice from which on the notified gateway may send nothing.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Notice of a worker in its answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerNotice {
    /// Time for which the gateway must send no requests.
    pub backoff: Option<Duration>,
    /// Whether the worker is about to terminate.
    pub leaving: bool,
    /// Limit in requests per second, if the worker states one.
    pub limit: Option<f64>,
}

/// Event that the checks of notices evaluate.
#[derive(Clone, Debug)]
pub enum NoticeEvent {
    /// A request arrived at a worker.
    Arrived { worker: String, gateway: usize, at: Instant, notice: WorkerNotice },
    /// A worker changed or removed its limit.
    LimitSet { worker: String, limit: Option<f64>, at: Instant },
    /// A gateway was killed, suspended or started, or its links were partitioned. Notices that it
    /// received before are no longer checked.
    Disturbed { gateway: usize, at: Instant },
}

/// One request that arrived.
struct Arrival<'a> {
    worker: &'a str,
    gateway: usize,
    at: Instant,
    notice: WorkerNotice,
}

impl Arrival<'_> {
    fn is_same_pair(&self, other: &Self) -> bool {
        self.worker == other.worker && self.gateway == other.gateway
    }
}

fn arrivals(events: &[NoticeEvent]) -> Vec<Arrival<'_>> {
    let arrived = events.iter().filter_map(|event| match event {
        NoticeEvent::Arrived { worker, gateway, at, notice } => {
            Some(Arrival { worker, gateway: *gateway, at: *at, notice: *notice })
        }
        NoticeEvent::Disturbed { .. } | NoticeEvent::LimitSet { .. } => None,
    });
    arrived.collect()
}

fn is_disturbed(events: &[NoticeEvent], who: usize, from: Instant, to: Instant) -> bool {
    events.iter().any(|event| match event {
        NoticeEvent::Disturbed { gateway, at } => *gateway == who && *at >= from && *at <= to,
        NoticeEvent::Arrived { .. } | NoticeEvent::LimitSet { .. } => false,
    })
}

/// Returns a message for each notice that a gateway violated.
pub fn find_notice_breaches(events: &[NoticeEvent]) -> Vec<String> {
    let arrivals = arrivals(events);
    let mut breaches = Vec::new();
    let with_notice =
        |arrival: &&Arrival<'_>| arrival.notice.backoff.is_some() || arrival.notice.leaving;
    for notice_arrival in arrivals.iter().filter(with_notice) {
        let later = arrivals.iter().filter(|later| {
            later.is_same_pair(notice_arrival)
                && !is_disturbed(events, notice_arrival.gateway, notice_arrival.at, later.at)
        });
        let since: Vec<Duration> =
            later.map(|later| later.at.saturating_duration_since(notice_arrival.at)).collect();
        let (worker, gateway) = (notice_arrival.worker, notice_arrival.gateway);
        if let Some(backoff) = notice_arrival.notice.backoff {
            let during_backoff =
                since.iter().filter(|one| **one > IN_FLIGHT_TIME && **one < backoff).count();
            if during_backoff > MAX_DURING_BACKOFF {
                breaches.push(format!(
                    "{worker} asked gateway {gateway} for a backoff of {backoff:?} and got {during_backoff} requests"
                ));
            }
        }
        // A leaving notice in a rejection does not count: the gateway passes on nothing from a
        // rejection.
        let passed_on = notice_arrival.notice.leaving && notice_arrival.notice.backoff.is_none();
        let late = since.iter().filter(|one| **one > DRAIN_TIME).count();
        if passed_on && late > 0 {
            breaches.push(format!(
                "{worker} notified gateway {gateway} that it is leaving and got {late} requests"
            ));
        }
    }
    breaches
}

/// Entries of a record: time in milliseconds, gateway, and the worker's notice, or `None` if the
/// gateway was disturbed.
type Record<'a> = &'a [(u64, usize, Option<WorkerNotice>)];

const NOTHING: Option<WorkerNotice> =
    Some(WorkerNotice { backoff: None, leaving: false, limit: None });
const ASKS: Option<WorkerNotice> =
    Some(WorkerNotice { backoff: Some(Duration::from_secs(3)), leaving: false, limit: None });
const LEAVES: Option<WorkerNotice> =
    Some(WorkerNotice { backoff: None, leaving: true, limit: None });

#[rstest]
#[case::backoff_kept(&[(0, 0, ASKS), (500, 0, NOTHING), (3000, 0, NOTHING), (3001, 0, NOTHING)], 0)]
#[case::two_against_backoff(&[(0, 0, ASKS), (501, 0, NOTHING), (2999, 0, NOTHING)], 0)]
#[case::three_against_backoff(
    &[(0, 0, ASKS), (501, 0, NOTHING), (600, 0, NOTHING), (2999, 0, NOTHING)], 1)]
#[case::by_other_gateways(
    &[(0, 0, ASKS), (501, 1, NOTHING), (600, 1, NOTHING), (2999, 1, NOTHING)], 0)]
#[case::disturbed_since(
    &[(0, 0, ASKS), (400, 0, None), (501, 0, NOTHING), (600, 0, NOTHING), (2999, 0, NOTHING)], 0)]
#[case::other_disturbed(
    &[(0, 0, ASKS), (400, 1, None), (501, 0, NOTHING), (600, 0, NOTHING), (2999, 0, NOTHING)], 1)]
#[case::leaving_heeded(&[(0, 0, LEAVES), (2000, 0, LEAVES)], 0)]
#[case::leaving_not_heeded(&[(0, 0, LEAVES), (2001, 0, LEAVES)], 1)]
#[case::leaving_sent_to_other(&[(0, 0, LEAVES), (2001, 1, LEAVES)], 0)]
#[case::leaving_before_restart(&[(0, 0, LEAVES), (1000, 0, None), (2001, 0, LEAVES)], 0)]
fn find_notice_breaches_record(#[case] record: Record<'_>, #[case] expected: usize) {
    let start = Instant::now();
    let to_event = |(ms, gateway, notice): &(u64, usize, Option<WorkerNotice>)| {
        let (gateway, at) = (*gateway, start + Duration::from_millis(*ms));
        match *notice {
            Some(notice) => NoticeEvent::Arrived { worker: "w".to_owned(), gateway, at, notice },
            None => NoticeEvent::Disturbed { gateway, at },
        }
    };
    let events: Vec<NoticeEvent> = record.iter().map(to_event).collect();
    let breaches = find_notice_breaches(&events);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
}
