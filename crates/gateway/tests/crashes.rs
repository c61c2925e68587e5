//! What a gateway makes of requests under which workers end, with the clock paused.

use std::time::Duration;

use hollowbarrow_gateway::crashes::CrashGuard;
use hollowbarrow_schema::{DaemonId, FleetView, HeldRequest, RequestDigest, Term, WorkerId};
use rstest::rstest;
use tokio::time::Instant;

const REQUEST: RequestDigest = RequestDigest(7);

fn view(term: u64, number: u64, held: &[u32]) -> FleetView {
    let entry =
        |left_ms: &u32| HeldRequest { request: REQUEST, left_ms: *left_ms, released_ms: None };
    let held = held.iter().map(entry);
    FleetView {
        term: Term(term),
        number,
        deployment: 0,
        gateways: 1,
        controllers: Vec::new(),
        withheld: Vec::new(),
        loads: Vec::new(),
        held: held.collect(),
        leader: None,
        limits: Vec::new(),
    }
}

fn secs(time: u64) -> Duration {
    Duration::from_secs(time)
}

fn is_quarantined(guard: &CrashGuard, now: Instant) -> bool {
    guard.quarantine_left(REQUEST, now).is_some()
}

fn crash_worker(guard: &mut CrashGuard, number: u32, sent: Instant) -> Instant {
    let ended = sent + Duration::from_millis(80);
    guard.record_crash(REQUEST, &WorkerId(format!("w{number}")), sent, ended);
    ended
}

#[rstest]
fn quarantine_after_local_crashes() {
    let mut guard = CrashGuard::new();
    let mut now = Instant::now();
    for number in 0..3 {
        assert!(!is_quarantined(&guard, now));
        now = crash_worker(&mut guard, number, now);
    }
    assert!(is_quarantined(&guard, now), "it needs no controller for what it has seen itself");
    guard.record_answer(REQUEST, now);
    assert!(!is_quarantined(&guard, now));
}

/// A gateway that had just started saw three heads end in turn under a request that the others had
/// answered all the time. The leader let it go, and this gateway refused it for another minute.
#[rstest]
#[case::leader_publishes(true)]
#[case::leader_is_silent(false)]
fn quarantine_after_local_crashes_until_leader_decides(#[case] publishes: bool) {
    let mut guard = CrashGuard::new();
    let start = Instant::now();
    guard.apply_view(&view(1, 1, &[]), start);
    let mut now = start;
    for number in 0..3 {
        now = crash_worker(&mut guard, number, now);
    }
    assert!(
        is_quarantined(&guard, now + Duration::from_millis(500)),
        "the leader has not heard of it"
    );
    if publishes {
        for number in 2..32 {
            guard.apply_view(&view(1, number, &[]), now + Duration::from_millis(100 * number));
        }
    }
    assert_eq!(is_quarantined(&guard, now + secs(3)), !publishes);
}

#[rstest]
fn quarantine_from_leader() {
    let mut guard = CrashGuard::new();
    let now = Instant::now();
    guard.apply_view(&view(1, 5, &[60_000]), now);
    assert!(is_quarantined(&guard, now + secs(59)));
    guard.apply_view(&view(1, 4, &[]), now);
    assert!(is_quarantined(&guard, now), "an older view says nothing");
    guard.apply_view(&view(1, 6, &[]), now);
    assert!(!is_quarantined(&guard, now), "the leader has let it go");
}

/// A new leader has to hear first of what the former one knew.
#[rstest]
fn quarantine_in_new_term() {
    let mut guard = CrashGuard::new();
    let now = Instant::now();
    guard.apply_view(&view(1, 5, &[60_000]), now);
    guard.apply_view(&view(2, 1, &[]), now);
    guard.apply_view(&view(2, 2, &[]), now + secs(4));
    assert!(is_quarantined(&guard, now + secs(4)));
    guard.apply_view(&view(2, 3, &[]), now + secs(6));
    assert!(!is_quarantined(&guard, now + secs(6)));
}

/// A request that may be tried once more has ended the next worker: that attempt is not followed
/// by another one, although the leader has not heard of it yet.
#[rstest]
fn quarantine_after_probe() {
    let mut guard = CrashGuard::new();
    let now = Instant::now();
    guard.apply_view(&view(1, 5, &[0]), now);
    assert!(!is_quarantined(&guard, now));
    let ended = crash_worker(&mut guard, 0, now);
    assert!(is_quarantined(&guard, ended));
    guard.apply_view(&view(1, 6, &[0]), ended);
    assert!(is_quarantined(&guard, ended), "the view was made before the leader heard of it");
    guard.apply_view(&view(1, 7, &[240_000]), ended + secs(1));
    assert!(is_quarantined(&guard, ended + secs(200)));
}

/// The leader put runs together from gateways that saw no answer; this one has seen one since.
#[rstest]
#[case::answered_here(true)]
#[case::not_answered_here(false)]
fn due_contradicts(#[case] answered: bool) {
    let mut guard = CrashGuard::new();
    let now = Instant::now();
    if answered {
        guard.record_answer(REQUEST, now);
    }
    assert!(guard.due(now).is_empty(), "answers matter only where there is a suspicion");
    guard.apply_view(&view(1, 5, &[60_000]), now + secs(1));
    assert_eq!(is_quarantined(&guard, now + secs(1)), !answered, "the leader does not know of it");
    guard.apply_view(&view(1, 6, &[60_000]), now + secs(2));
    assert!(is_quarantined(&guard, now + secs(2)), "the leader knows, and holds it all the same");
    let due = guard.due(now + secs(1));
    assert_eq!(due.len(), usize::from(answered));
    assert!(due.iter().all(|record| record.answered_ms == Some(1000) && record.runs.is_empty()));
}

/// A hold is over at many gateways at the same moment, and copies come to all of them.
#[rstest]
fn quarantine_end_probed_by_few() {
    let now = Instant::now();
    let view = FleetView { gateways: 82, ..view(1, 5, &[0]) };
    let guards = (0..82).map(|number| {
        let local = DaemonId(format!("10.1.0.{number}:7000"));
        let mut guard = CrashGuard::new().with_identity(&local);
        guard.apply_view(&view, now);
        guard
    });
    let guards: Vec<CrashGuard> = guards.collect();
    let probing =
        |after: Duration| guards.iter().filter(|guard| !is_quarantined(guard, now + after)).count();
    assert!(probing(Duration::ZERO) <= 3, "{} try at once", probing(Duration::ZERO));
    assert_eq!(probing(secs(40)), 82, "nothing came of it for a while");
}

/// An operator knows that the workers were ended by something else.
#[rstest]
fn quarantine_released() {
    let mut guard = CrashGuard::new();
    let mut now = Instant::now();
    for number in 0..3 {
        now = crash_worker(&mut guard, number, now);
    }
    guard.apply_view(&view(1, 5, &[60_000]), now);
    assert!(is_quarantined(&guard, now));
    let entry = |number: u64, ms: u32| {
        let released = HeldRequest { request: REQUEST, left_ms: 0, released_ms: Some(ms) };
        FleetView { held: vec![released], ..view(1, number, &[]) }
    };
    guard.apply_view(&entry(6, 0), now);
    assert!(!is_quarantined(&guard, now + secs(1)));
    let due = guard.due(now + secs(1));
    let answered = due.iter().any(|record| record.answered_ms.is_some());
    assert!(answered, "a leader that has just begun is told, too");
    let start = now + Duration::from_millis(10);
    now = start;
    for number in 10..16 {
        now = crash_worker(&mut guard, number, now);
        let age = now.saturating_duration_since(start) + Duration::from_millis(10);
        guard.apply_view(&entry(number.into(), age.as_millis() as u32), now);
    }
    assert!(is_quarantined(&guard, now), "what has ended under it since counts");
}
