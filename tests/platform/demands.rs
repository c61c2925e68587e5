//! Checks that gateways heed what workers ask for in their answers.
//!
//! The record holds, in order, what came to workers and when gateways were disturbed. The checks
//! are pure, so that each can be shown by a record that only just breaks it.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

/// Time after a worker's word in which a request that was under way may still come.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests that may come later than that within the time for which none are wanted.
const MOST_AGAINST_BACKOFF: usize = 2;
/// Time after which a worker that has said that it leaves gets nothing from whoever was told.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// What a worker said in its answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerWord {
    /// For how long it wants no requests from the gateway that sent this one.
    pub backoff: Option<Duration>,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Requests a second that it takes, where it names that.
    pub limit: Option<f64>,
}

/// Something that counts for what workers ask for.
#[derive(Clone, Debug)]
pub enum DemandEvent {
    /// A request came to a worker.
    Came { worker: String, gateway: usize, at: Instant, word: WorkerWord },
    /// A worker names another limit from now on, or none.
    Named { worker: String, limit: Option<f64>, at: Instant },
    /// A gateway was killed, frozen or started, or its links were cut; what it was told before is
    /// excused.
    Disturbed { gateway: usize, at: Instant },
}

/// One request that came.
struct Arrival<'a> {
    worker: &'a str,
    gateway: usize,
    at: Instant,
    word: WorkerWord,
}

impl Arrival<'_> {
    fn is_beside(&self, other: &Self) -> bool {
        self.worker == other.worker && self.gateway == other.gateway
    }
}

fn arrivals(events: &[DemandEvent]) -> Vec<Arrival<'_>> {
    let came = events.iter().filter_map(|event| match event {
        DemandEvent::Came { worker, gateway, at, word } => {
            Some(Arrival { worker, gateway: *gateway, at: *at, word: *word })
        }
        DemandEvent::Disturbed { .. } | DemandEvent::Named { .. } => None,
    });
    came.collect()
}

fn is_disturbed(events: &[DemandEvent], who: usize, from: Instant, to: Instant) -> bool {
    events.iter().any(|event| match event {
        DemandEvent::Disturbed { gateway, at } => *gateway == who && *at >= from && *at <= to,
        DemandEvent::Came { .. } | DemandEvent::Named { .. } => false,
    })
}

/// What gateways sent although they had been told not to.
pub fn find_breaches(events: &[DemandEvent]) -> Vec<String> {
    let arrivals = arrivals(events);
    let mut breaches = Vec::new();
    for told in &arrivals {
        let later = arrivals.iter().filter(|later| {
            later.is_beside(told) && !is_disturbed(events, told.gateway, told.at, later.at)
        });
        let since: Vec<Duration> =
            later.map(|later| later.at.saturating_duration_since(told.at)).collect();
        let (worker, gateway) = (told.worker, told.gateway);
        if let Some(backoff) = told.word.backoff {
            let against = since.iter().filter(|one| **one > UNDER_WAY && **one < backoff).count();
            if against > MOST_AGAINST_BACKOFF {
                breaches.push(format!(
                    "{worker} asked gateway {gateway} for {backoff:?} and got {against} requests"
                ));
            }
        }
        // A request that was turned away does not count: nothing of its answer is passed on.
        let passed_on = told.word.leaving && told.word.backoff.is_none();
        let late = since.iter().filter(|one| **one > DRAIN_TIME).count();
        if passed_on && late > 0 {
            breaches.push(format!("{worker} told gateway {gateway} that it leaves and got {late}"));
        }
    }
    breaches
}

/// A record: what came to which worker by which gateway, with the worker's word, or (none) that the
/// gateway was disturbed.
type Record<'a> = &'a [(u64, usize, Option<WorkerWord>)];

const NOTHING: Option<WorkerWord> = Some(WorkerWord { backoff: None, leaving: false, limit: None });
const ASKS: Option<WorkerWord> =
    Some(WorkerWord { backoff: Some(Duration::from_secs(3)), leaving: false, limit: None });
const LEAVES: Option<WorkerWord> = Some(WorkerWord { backoff: None, leaving: true, limit: None });

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
#[case::leaving_told_to_other(&[(0, 0, LEAVES), (2001, 1, LEAVES)], 0)]
#[case::leaving_before_restart(&[(0, 0, LEAVES), (1000, 0, None), (2001, 0, LEAVES)], 0)]
fn find_breaches_record(#[case] record: Record<'_>, #[case] expected: usize) {
    let start = Instant::now();
    let to_event = |(ms, gateway, word): &(u64, usize, Option<WorkerWord>)| {
        let (gateway, at) = (*gateway, start + Duration::from_millis(*ms));
        match *word {
            Some(word) => DemandEvent::Came { worker: "w".to_owned(), gateway, at, word },
            None => DemandEvent::Disturbed { gateway, at },
        }
    };
    let events: Vec<DemandEvent> = record.iter().map(to_event).collect();
    let breaches = find_breaches(&events);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
}
