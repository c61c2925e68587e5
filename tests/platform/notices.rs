//! Checks that gateways heed what workers ask for in their answers.
//!
//! The record holds, in order, what came to workers and when gateways were disturbed. The checks
//! are pure, so that each can be shown by a record that only just breaks it.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

/// Time after a worker's word in which a request that was under way may still come.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Requests that may come later than that within the time for which none are wanted.
const MAX_DURING_BACKOFF: usize = 2;
/// Time after which a worker that has said that it leaves gets nothing from whoever was told.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// What a worker said in its answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerNotice {
    /// For how long it wants no requests from the gateway that sent this one.
    pub backoff: Option<Duration>,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Requests a second that it takes, where it names that.
    pub limit: Option<f64>,
}

/// Something that counts for what workers ask for.
#[derive(Clone, Debug)]
pub enum NoticeEvent {
    /// A request came to a worker.
    Arrived { worker: String, gateway: usize, at: Instant, notice: WorkerNotice },
    /// A worker names another limit from now on, or none.
    LimitSet { worker: String, limit: Option<f64>, at: Instant },
    /// A gateway was killed, frozen or started, or its links were cut; what it was told before is
    /// excused.
    Disturbed { gateway: usize, at: Instant },
}

/// One request that came.
struct Arrival<'a> {
    worker: &'a str,
    gateway: usize,
    at: Instant,
    notice: WorkerNotice,
}

impl Arrival<'_> {
    fn is_beside(&self, other: &Self) -> bool {
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

/// What gateways sent although they had been told not to.
pub fn find_notice_breaches(events: &[NoticeEvent]) -> Vec<String> {
    let arrivals = arrivals(events);
    let mut breaches = Vec::new();
    for notice_arrival in &arrivals {
        let later = arrivals.iter().filter(|later| {
            later.is_beside(notice_arrival)
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
                    "{worker} asked gateway {gateway} for {backoff:?} and got {during_backoff} requests"
                ));
            }
        }
        // A request that was turned away does not count: nothing of its answer is passed on.
        let passed_on = notice_arrival.notice.leaving && notice_arrival.notice.backoff.is_none();
        let late = since.iter().filter(|one| **one > DRAIN_TIME).count();
        if passed_on && late > 0 {
            breaches.push(format!("{worker} told gateway {gateway} that it leaves and got {late}"));
        }
    }
    breaches
}

/// A record: what came to which worker by which gateway, with the worker's word, or (none) that the
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
