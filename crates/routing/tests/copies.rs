//! Tests of the bound on duplicates in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use hollowbarrow_routing::{
    ContentStanding, DuplicateGate, DuplicateLimiter, DuplicateStep, RequestContents, WaitLimits,
};
use hollowbarrow_schema::ContentDigest;
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::Instant;

const REQUEST: ContentDigest = ContentDigest(7);
const PROPAGATION_TIME: Duration = Duration::from_millis(600);
const WAIT: DuplicateStep = DuplicateStep::Wait(None);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn contents() -> RequestContents {
    RequestContents::new(REQUEST)
}

fn standing_if(answered: bool) -> ContentStanding {
    if answered { ContentStanding::Answered } else { ContentStanding::Unknown }
}

#[rstest]
fn begin_first_alone() {
    let now = Instant::now();
    let mut limiter = DuplicateLimiter::new();
    assert_eq!(limiter.begin(REQUEST, false, now), DuplicateStep::Go);
    assert_eq!(limiter.begin(REQUEST, false, now), WAIT);
    assert_eq!(limiter.begin(ContentDigest(8), false, now), DuplicateStep::Go, "another request");
    limiter.record_progress(REQUEST);
    for _ in 0..100 {
        assert_eq!(
            limiter.begin(REQUEST, false, now),
            DuplicateStep::Go,
            "the request was answered"
        );
    }
}

#[rstest]
fn begin_answered_before() {
    let now = Instant::now();
    let mut limiter = DuplicateLimiter::new();
    for _ in 0..100 {
        assert_eq!(limiter.begin(REQUEST, true, now), DuplicateStep::Go);
    }
}

/// If an upstream terminates under the first of several duplicates, none is sent before records of
/// other daemons can have arrived.
#[rstest]
fn begin_after_end() {
    let now = Instant::now();
    let mut limiter = DuplicateLimiter::new();
    limiter.begin(REQUEST, false, now);
    limiter.begin(REQUEST, false, now);
    let until = limiter.record_crash(REQUEST, now + ms(40)).expect("there is another duplicate");
    assert_eq!(until, now + ms(40) + PROPAGATION_TIME);
    limiter.end(REQUEST, now + ms(40));
    let paused = DuplicateStep::Wait(Some(until));
    assert_eq!(limiter.begin(REQUEST, false, now + ms(41)), paused);
    assert_eq!(limiter.begin(REQUEST, false, until), DuplicateStep::Go);
    limiter.end(REQUEST, until);
    assert!(limiter.is_empty(), "the entry is removed");
}

/// A single request that is interrupted is retried at once.
#[rstest]
fn record_crash_single_request() {
    let now = Instant::now();
    let mut limiter = DuplicateLimiter::new();
    limiter.begin(REQUEST, false, now);
    assert_eq!(limiter.record_crash(REQUEST, now + ms(40)), None);
    limiter.end(REQUEST, now + ms(50));
    assert!(limiter.is_empty());
}

#[rstest]
fn end_admits_next() {
    let now = Instant::now();
    let mut limiter = DuplicateLimiter::new();
    limiter.begin(REQUEST, false, now);
    assert_eq!(limiter.begin(REQUEST, false, now), WAIT);
    limiter.end(REQUEST, now + ms(10));
    assert_eq!(limiter.begin(REQUEST, false, now + ms(10)), DuplicateStep::Go);
}

/// A duplicate that waits for an upstream lets the next one go, and waits for it afterwards.
#[rstest]
fn suspend_admits_next() {
    let now = Instant::now();
    let mut limiter = DuplicateLimiter::new();
    limiter.begin(REQUEST, false, now);
    assert_eq!(limiter.begin(REQUEST, false, now), WAIT);
    limiter.suspend(REQUEST);
    assert_eq!(limiter.begin(REQUEST, false, now), DuplicateStep::Go);
    assert_eq!(limiter.resume(REQUEST, false, now), WAIT);
    limiter.record_progress(REQUEST);
    assert_eq!(limiter.resume(REQUEST, false, now), DuplicateStep::Go);
    limiter.end(REQUEST, now);
    limiter.end(REQUEST, now);
    assert!(limiter.is_empty(), "the entry is removed");
}

/// Guards against repeating a duplicate at once that crashed its upstream beside others, because
/// these had given up their places.
#[rstest]
fn record_crash_beside_suspended() {
    let now = Instant::now();
    let mut limiter = DuplicateLimiter::new();
    limiter.begin(REQUEST, false, now);
    limiter.suspend(REQUEST);
    limiter.begin(REQUEST, false, now);
    let until = limiter.record_crash(REQUEST, now).expect("there is another duplicate");
    limiter.end(REQUEST, now);
    let paused = DuplicateStep::Wait(Some(until));
    assert_eq!(limiter.resume(REQUEST, false, now), paused);
    assert_eq!(limiter.resume(REQUEST, false, until), DuplicateStep::Go);
    limiter.suspend(REQUEST);
    limiter.end_suspended(REQUEST, until);
    assert!(limiter.is_empty(), "the entry is removed");
}

/// Forty duplicates wait for an upstream. Once there is one, a single one of them is in progress
/// until it is answered, whatever the order of their arrival.
#[rstest]
#[tokio::test(start_paused = true)]
async fn resume_burst_one_at_a_time() {
    let gate = DuplicateGate::new();
    let answered = Arc::new(AtomicBool::new(false));
    let in_progress = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let mut duplicates = JoinSet::new();
    for number in 0..40 {
        let (gate, answered) = (gate.clone(), Arc::clone(&answered));
        let in_progress = Arc::clone(&in_progress);
        duplicates.spawn(async move {
            let was_answered = || answered.load(Ordering::Relaxed);
            let standing = |_| standing_if(was_answered());
            let limit = start + ms(4000);
            let ticket = gate.enter(&contents(), standing, WaitLimits::until(limit)).await?;
            ticket.suspend();
            tokio::time::sleep_until(start + ms(1000 + number % 5)).await;
            if !ticket.resume(standing, WaitLimits::until(limit)).await {
                return None;
            }
            let beside = in_progress.fetch_add(1, Ordering::Relaxed);
            assert!(beside == 0 || was_answered(), "{beside} others are in progress");
            tokio::time::sleep(ms(400)).await;
            in_progress.fetch_sub(1, Ordering::Relaxed);
            answered.store(true, Ordering::Relaxed);
            ticket.record_progress();
            Some(())
        });
    }
    let sent = duplicates.join_all().await.into_iter().flatten().count();
    assert_eq!(sent, 40);
    assert_eq!(start.elapsed(), ms(1800), "the others wait for the first one only");
}

/// Expired pauses are removed even if no further duplicate arrives.
#[rstest]
fn begin_forgets_pauses() {
    let now = Instant::now();
    let mut limiter = DuplicateLimiter::new();
    for number in 0..1000 {
        let request = ContentDigest(number);
        limiter.begin(request, false, now);
        limiter.begin(request, false, now);
        limiter.record_crash(request, now);
        limiter.end(request, now);
    }
    assert_eq!(limiter.len(), 1000);
    limiter.begin(REQUEST, false, now + PROPAGATION_TIME);
    assert_eq!(limiter.len(), 1);
}

/// Forty duplicates arrive at once: one is sent, and the others are sent after its first event, or
/// not at all.
#[rstest]
#[case::answered(true, 40)]
#[case::ended(false, 1)]
#[tokio::test(start_paused = true)]
async fn enter_burst(#[case] answered: bool, #[case] expected: usize) {
    let gate = DuplicateGate::new();
    let limit = Instant::now() + ms(250);
    let first = gate
        .enter(&contents(), |_| ContentStanding::Unknown, WaitLimits::until(limit))
        .await
        .expect("the first duplicate is admitted");
    let contents = contents();
    let others = (0..39)
        .map(|_| gate.enter(&contents, |_| ContentStanding::Unknown, WaitLimits::until(limit)));
    let others = async {
        let mut tickets = Vec::new();
        for other in others {
            tickets.push(other.await);
        }
        tickets
    };
    let outcome = async {
        tokio::time::sleep(ms(80)).await;
        if answered {
            first.record_progress();
            return Some(first);
        }
        first.record_crash(|_| ContentStanding::Unknown);
        drop(first);
        None
    };
    let (others, _first) = tokio::join!(others, outcome);
    assert_eq!(others.iter().flatten().count() + 1, expected);
}

/// The first of forty duplicates is answered completely and ends, and the others are sent together.
///
/// Guards against sending them one after the other, because each was taken for one of a request
/// that nobody had seen answered.
#[rstest]
#[tokio::test(start_paused = true)]
async fn enter_after_complete_answer() {
    let gate = DuplicateGate::new();
    let answered = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let limit = start + ms(250);
    let first = gate
        .enter(&contents(), |_| ContentStanding::Unknown, WaitLimits::until(limit))
        .await
        .expect("the first is admitted");
    let mut others = JoinSet::new();
    for _ in 0..39 {
        let (gate, answered) = (gate.clone(), Arc::clone(&answered));
        others.spawn(async move {
            let standing = |_| standing_if(answered.load(Ordering::Relaxed));
            let ticket = gate.enter(&contents(), standing, WaitLimits::until(limit)).await;
            tokio::time::sleep(ms(80)).await;
            ticket.is_some()
        });
    }
    tokio::time::sleep(ms(80)).await;
    answered.store(true, Ordering::Relaxed);
    drop(first);
    let admitted = others.join_all().await.into_iter().filter(|admitted| *admitted).count();
    assert_eq!(admitted, 39);
    assert_eq!(start.elapsed(), ms(160), "the others wait for the first one only");
}

/// Returns a request with its own content and a part that others share.
fn request_with_part(number: u64) -> RequestContents {
    let parts = [b"part".as_slice(), b"own"].into_iter();
    RequestContents::new(ContentDigest(number)).with_parts("m", parts)
}

/// Sends thirty different requests with a part at once, of which each ends or shows progress after
/// 80 ms, and returns after how many milliseconds each was sent.
async fn send_thirty(standing: ContentStanding, limit: u64, progress: bool) -> Vec<u64> {
    let gate = DuplicateGate::new();
    let start = Instant::now();
    let mut requests = JoinSet::new();
    for number in 0..30 {
        let gate = gate.clone();
        requests.spawn(async move {
            let contents = request_with_part(number);
            let ticket =
                gate.enter(&contents, |_| standing, WaitLimits::until(start + ms(limit))).await?;
            let sent = start.elapsed().as_millis() as u64;
            tokio::time::sleep(ms(80)).await;
            if progress {
                ticket.record_progress();
                tokio::time::sleep(ms(1000)).await;
            } else {
                ticket.record_crash(|_| standing);
            }
            Some(sent)
        });
    }
    let mut sent: Vec<u64> = requests.join_all().await.into_iter().flatten().collect();
    sent.sort_unstable();
    sent
}

/// Different requests with a part of which nothing is known wait for the first one's progress, and no
/// longer than their limit.
#[rstest]
#[case::shows_progress(ContentStanding::Unknown, 250, true, 1, 80)]
#[case::shows_nothing(ContentStanding::Unknown, 50, true, 1, 50)]
#[case::known(ContentStanding::Answered, 250, true, 30, 0)]
#[tokio::test(start_paused = true)]
async fn enter_different_requests_with_part(
    #[case] standing: ContentStanding,
    #[case] limit: u64,
    #[case] progress: bool,
    #[case] first: usize,
    #[case] others_at: u64,
) {
    let sent = send_thirty(standing, limit, progress).await;
    assert_eq!(sent.len(), 30);
    assert_eq!(sent.iter().filter(|at| **at == 0).count(), first, "{sent:?}");
    assert!(sent[first..].iter().all(|at| *at == others_at), "{sent:?}");
}

/// Progress shows nothing about a part under which upstreams have terminated: one request at a time
/// is sent, and the others are refused at their limit.
#[rstest]
#[tokio::test(start_paused = true)]
async fn enter_suspected_part_one_at_a_time() {
    let sent = send_thirty(ContentStanding::Suspected, 250, true).await;
    assert_eq!(sent, [0]);
}

/// A request whose upstream terminates pauses all others with an unknown part, and itself, until
/// other daemons' records can have arrived.
#[rstest]
#[tokio::test(start_paused = true)]
async fn crash_pauses_requests_with_part() {
    let gate = DuplicateGate::new();
    let start = Instant::now();
    let unknown = |_| ContentStanding::Unknown;
    let limit = start + ms(250);
    let first = gate
        .enter(&request_with_part(1), unknown, WaitLimits::until(limit))
        .await
        .expect("it is alone");
    let until = first.record_crash(unknown).expect("its part is unknown");
    assert_eq!(until, start + PROPAGATION_TIME);
    drop(first);
    let other = request_with_part(2);
    let refused = gate.enter(&other, unknown, WaitLimits::until(limit)).await;
    assert!(refused.is_none(), "the pause is longer than it may wait");
    let limits = WaitLimits { others: limit, pause: start + ms(1000) };
    assert!(gate.enter(&other, unknown, limits).await.is_some());
    assert_eq!(start.elapsed(), PROPAGATION_TIME);
    let limit = WaitLimits::until(until + ms(250));
    let whole = RequestContents::new(ContentDigest(3));
    let alone = gate.enter(&whole, unknown, limit).await.expect("it is alone");
    assert_eq!(alone.record_crash(unknown), None, "a single request without parts is retried");
}
