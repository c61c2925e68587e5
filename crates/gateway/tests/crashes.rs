//! A gateway's quarantine of requests that crash workers, at simulated times.

use std::time::Duration;

use hollowbarrow_gateway::crashes::CrashGuard;
use hollowbarrow_routing::{AnswerProof, CrashLedger, RequestContents};
use hollowbarrow_schema::{ContentDigest, DaemonId, FleetView, HeldRequest, Term, WorkerId};
use rstest::rstest;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

const REQUEST: ContentDigest = ContentDigest(7);

fn view(term: u64, number: u64, held: &[u32]) -> FleetView {
    let entry = |left_ms: &u32| HeldRequest {
        request: REQUEST,
        left_ms: *left_ms,
        organisation: None,
        released_ms: None,
        // The guard of a gateway without an identity.
        prober: (*left_ms == 0).then_some(0),
    };
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
        crashes: Vec::new(),
        sent_ms: None,
    }
}

fn secs(time: u64) -> Duration {
    Duration::from_secs(time)
}

fn contents() -> RequestContents {
    RequestContents::new(REQUEST)
}

fn is_quarantined(guard: &mut CrashGuard, now: Instant) -> bool {
    // The question alone uses up no grant of a probe request.
    guard.quarantine_left(&contents(), now).is_some()
}

fn crash_worker(guard: &mut CrashGuard, number: u32, sent: Instant) -> Instant {
    let ended = sent + Duration::from_millis(80);
    let worker = WorkerId(format!("w{number}"));
    guard.record_crash(&contents(), &worker, sent, ended);
    ended
}

#[rstest]
fn quarantine_after_local_crashes() {
    let mut guard = CrashGuard::new();
    let mut now = Instant::now();
    for number in 0..3 {
        assert!(!is_quarantined(&mut guard, now));
        now = crash_worker(&mut guard, number, now);
    }
    assert!(is_quarantined(&mut guard, now), "local crashes need no controller");
    guard.record_answer(&contents(), AnswerProof::Success, now);
    assert!(!is_quarantined(&mut guard, now));
}

/// Guards against a quarantine that outlasts the leader's decision. A gateway that has just started
/// sees three heads crash in turn while running a request that other gateways have seen answered.
/// The leader does not quarantine the request, so this gateway must not refuse it for another minute.
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
        is_quarantined(&mut guard, now + Duration::from_millis(500)),
        "the leader has not received the crashes yet"
    );
    if publishes {
        for number in 2..32 {
            guard.apply_view(&view(1, number, &[]), now + Duration::from_millis(100 * number));
        }
    }
    assert_eq!(is_quarantined(&mut guard, now + secs(3)), !publishes);
}

#[rstest]
fn quarantine_from_leader() {
    let mut guard = CrashGuard::new();
    let now = Instant::now();
    guard.apply_view(&view(1, 5, &[60_000]), now);
    assert!(is_quarantined(&mut guard, now + secs(59)));
    guard.apply_view(&view(1, 4, &[]), now);
    assert!(is_quarantined(&mut guard, now), "an older view is ignored");
    guard.apply_view(&view(1, 6, &[]), now);
    assert!(!is_quarantined(&mut guard, now), "the leader has lifted the quarantine");
}

/// Quarantines of a former leader stay until the new one has received the crash records.
#[rstest]
fn quarantine_in_new_term() {
    let mut guard = CrashGuard::new();
    let now = Instant::now();
    guard.apply_view(&view(1, 5, &[60_000]), now);
    guard.apply_view(&view(2, 1, &[]), now);
    guard.apply_view(&view(2, 2, &[]), now + secs(4));
    assert!(is_quarantined(&mut guard, now + secs(4)));
    guard.apply_view(&view(2, 3, &[]), now + secs(6));
    assert!(!is_quarantined(&mut guard, now + secs(6)));
}

/// A probe request after the quarantine crashes the next worker: no further attempt may follow,
/// although the leader has not received that crash yet.
#[rstest]
fn quarantine_after_probe() {
    let mut guard = CrashGuard::new();
    let now = Instant::now();
    guard.apply_view(&view(1, 5, &[0]), now);
    assert!(!is_quarantined(&mut guard, now));
    let ended = crash_worker(&mut guard, 0, now);
    assert!(is_quarantined(&mut guard, ended));
    guard.apply_view(&view(1, 6, &[0]), ended);
    assert!(
        is_quarantined(&mut guard, ended),
        "the view predates the leader's record of the crash"
    );
    guard.apply_view(&view(1, 7, &[240_000]), ended + secs(1));
    assert!(is_quarantined(&mut guard, ended + secs(200)));
}

/// The leader quarantines a request by crashes at gateways that saw no answer. A gateway that has
/// seen an answer contradicts the quarantine.
#[rstest]
#[case::answered_here(true)]
#[case::not_answered_here(false)]
fn due_contradicts(#[case] answered: bool) {
    let mut guard = CrashGuard::new();
    let now = Instant::now();
    if answered {
        guard.record_answer(&contents(), AnswerProof::Success, now);
    }
    assert!(guard.due(now).is_empty(), "answers are reported only for quarantined requests");
    guard.apply_view(&view(1, 5, &[60_000]), now + secs(1));
    assert_eq!(is_quarantined(&mut guard, now + secs(1)), !answered, "the leader lacks the answer");
    guard.apply_view(&view(1, 6, &[60_000]), now + secs(2));
    assert!(
        is_quarantined(&mut guard, now + secs(2)),
        "the leader had time to lift the quarantine"
    );
    let due = guard.due(now + secs(1));
    assert_eq!(due.len(), usize::from(answered));
    assert!(due.iter().all(|record| record.answered_ms == Some(1000) && record.runs.is_empty()));
}

/// Guards against an answer that only the former leader knew: the next one keeps the request quarantined.
#[rstest]
fn due_contradicts_next_leader() {
    let mut guard = CrashGuard::new();
    let mut now = Instant::now();
    guard.record_answer(&contents(), AnswerProof::Success, now);
    guard.apply_view(&view(1, 1, &[60_000]), now);
    assert_eq!(guard.due(now).len(), 1);
    now += secs(20);
    guard.apply_view(&view(1, 2, &[]), now);
    assert!(guard.due(now).is_empty(), "the leader has lifted the quarantine");
    guard.apply_view(&view(2, 1, &[40_000]), now);
    let due = guard.due(now);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].answered_ms, Some(20_000));
}

/// A quarantine ends at many gateways at the same moment while duplicates arrive at all of them: only
/// the one that the leader names may send a probe request, and only one.
#[rstest]
fn quarantine_end_probed_by_one() {
    let now = Instant::now();
    let identity = |number: usize| DaemonId(format!("10.1.0.{number}:7000"));
    let mut guards: Vec<CrashGuard> =
        (0..82).map(|number| CrashGuard::new().with_identity(&identity(number))).collect();
    let mut held = view(1, 5, &[0]);
    held.held[0].prober = Some(xxh3_64(identity(17).as_bytes()));
    guards.iter_mut().for_each(|guard| guard.apply_view(&held, now));
    // Without a view for a while, each gateway decides by itself: no further crash was reported.
    for (after, expected) in [(0, 1), (1, 1), (10, 1), (40, 82)] {
        let now = now + secs(after);
        let probing =
            guards.iter_mut().map(|guard| !is_quarantined(guard, now)).filter(|free| *free).count();
        assert_eq!(probing, expected, "after {after} s");
    }
    assert_eq!(guards[17].admit(&contents(), now), None);
    assert!(guards[17].admit(&contents(), now + secs(1)).is_some(), "the grant is used up");
    held.number += 1;
    held.held[0].prober = None;
    guards.iter_mut().for_each(|guard| guard.apply_view(&held, now + secs(9)));
    let probing = guards
        .iter_mut()
        .map(|guard| !is_quarantined(guard, now + secs(9)))
        .filter(|free| *free)
        .count();
    assert_eq!(probing, 0, "no gateway is named");
}

/// An operator releases a request because the workers crashed for another reason.
#[rstest]
fn quarantine_released() {
    let mut guard = CrashGuard::new();
    let mut now = Instant::now();
    for number in 0..3 {
        now = crash_worker(&mut guard, number, now);
    }
    guard.apply_view(&view(1, 5, &[60_000]), now);
    assert!(is_quarantined(&mut guard, now));
    let entry = |number: u64, ms: u32| {
        let mut released = view(1, number, &[0]);
        released.held[0].released_ms = Some(ms);
        released
    };
    guard.apply_view(&entry(6, 0), now);
    assert!(!is_quarantined(&mut guard, now + secs(1)));
    let due = guard.due(now + secs(1));
    let answered = due.iter().any(|record| record.answered_ms.is_some());
    assert!(answered, "a new leader must receive the release, too");
    let start = now + Duration::from_millis(10);
    now = start;
    for number in 10..16 {
        now = crash_worker(&mut guard, number, now);
        let age = now.saturating_duration_since(start) + Duration::from_millis(10);
        guard.apply_view(&entry(number.into(), age.as_millis() as u32), now);
    }
    assert!(is_quarantined(&mut guard, now), "crashes after the release count");
}

/// Interval at which the leader receives crash records and publishes views.
const VIEW_INTERVAL: Duration = Duration::from_millis(90);

/// Three gateways and the ledger of their leader.
struct Fleet {
    request: ContentDigest,
    guards: Vec<CrashGuard>,
    leader: CrashLedger,
    now: Instant,
    term: u64,
    views: u64,
    workers: u32,
}

fn guard(number: usize) -> CrashGuard {
    CrashGuard::new().with_identity(&DaemonId(format!("10.1.0.{number}:7000")))
}

impl Fleet {
    fn new(request: ContentDigest) -> Self {
        Self {
            request,
            guards: (0..3).map(guard).collect(),
            leader: CrashLedger::new(),
            now: Instant::now(),
            term: 1,
            views: 0,
            workers: 0,
        }
    }

    /// Lets records and views pass for a time.
    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += VIEW_INTERVAL;
            self.report();
            self.views += 1;
            let mut held = self.leader.quarantined(self.now);
            self.leader.grant_probes(&mut held, self.now);
            let crashes = self.leader.evidence_due(&held, self.now);
            let view = FleetView { gateways: 3, held, crashes, ..view(self.term, self.views, &[]) };
            self.guards.iter_mut().for_each(|guard| guard.apply_view(&view, self.now));
        }
    }

    /// Replaces the leader and these gateways by new processes.
    fn restart(&mut self, gateways: &[usize]) {
        for gateway in gateways {
            self.guards[*gateway] = guard(*gateway);
        }
        self.leader = CrashLedger::new();
        self.term += 1;
    }

    fn report(&mut self) {
        for guard in &mut self.guards {
            self.leader.merge(&guard.due(self.now), self.now);
        }
    }

    /// Sends the request at these gateways, unless it is quarantined there, and returns how often
    /// it was sent. It crashes another worker at each after 80 ms.
    fn send(&mut self, gateways: &[usize]) -> usize {
        let sent = self.now;
        self.now += Duration::from_millis(80);
        let mut sends = 0;
        for gateway in gateways {
            let guard = &mut self.guards[*gateway];
            let contents = RequestContents::new(self.request);
            if guard.admit(&contents, sent).is_none() {
                sends += 1;
                self.workers += 1;
                let worker = WorkerId(format!("w{}", self.workers));
                guard.record_crash(&contents, &worker, sent, self.now);
            }
        }
        sends
    }
}

/// Guards against five late duplicates: three crashes were two pieces of evidence, and a burst reached all gateways twice.
#[rstest]
#[case::after_2_s(2)]
#[case::after_8_s(8)]
#[case::after_20_s(20)]
fn late_duplicates_bounded_after_split_burst(#[case] pause: u64) {
    for request in 0..100 {
        let mut fleet = Fleet::new(ContentDigest(request));
        fleet.run_for(secs(1));
        assert_eq!(fleet.send(&[0, 1]), 2);
        fleet.run_for(Duration::from_millis(600));
        assert_eq!(fleet.send(&[0]), 1);
        fleet.run_for(secs(pause));
        let late = fleet.send(&[0, 1, 2]);
        // No view arrives before the duplicates that waited are sent.
        fleet.now += Duration::from_millis(600);
        let late = late + fleet.send(&[0, 1, 2]);
        assert!(late <= 3, "{late} late duplicates of request {request}");
    }
}

/// Guards against crashes that all controllers forget: each gateway had seen one and no longer reported it.
#[rstest]
fn quarantine_survives_loss_of_controllers() {
    let mut fleet = Fleet::new(REQUEST);
    for gateway in 0..3 {
        assert_eq!(fleet.send(&[gateway]), 1);
        fleet.run_for(secs(1));
    }
    fleet.run_for(secs(30));
    let left = fleet.leader.quarantine_left(REQUEST, 0, fleet.now).expect("it is quarantined");
    fleet.leader = CrashLedger::new();
    for _ in 0..30 {
        fleet.now += VIEW_INTERVAL;
        fleet.report();
    }
    let left_anew = fleet.leader.quarantine_left(REQUEST, 0, fleet.now).unwrap_or_default();
    let lost = left.saturating_sub(left_anew);
    assert!(lost < secs(3), "{left:?} were left, {left_anew:?} after the loss");
}

/// Guards against a quarantine that ends with its leader and the gateways that saw the crashes, while another gateway knows of it.
#[rstest]
fn quarantine_survives_loss_of_observers() {
    let mut fleet = Fleet::new(REQUEST);
    fleet.run_for(secs(1));
    for gateway in [0, 1, 0] {
        assert_eq!(fleet.send(&[gateway]), 1);
        fleet.run_for(secs(1));
    }
    let left = fleet.leader.quarantine_left(REQUEST, 0, fleet.now).expect("it is quarantined");
    fleet.restart(&[0, 1]);
    fleet.now += secs(3);
    fleet.run_for(secs(1));
    let left_anew = fleet.leader.quarantine_left(REQUEST, 0, fleet.now).unwrap_or_default();
    let lost = left.saturating_sub(left_anew);
    assert!(lost < secs(5), "{left:?} were left, {left_anew:?} after the loss");
    fleet.run_for(secs(10));
    assert_eq!(fleet.send(&[0, 1, 2]), 0, "all gateways have been told again");
}

/// Evidence that the leader no longer lists is not told to the next one.
#[rstest]
fn evidence_ends_with_listing() {
    let mut fleet = Fleet::new(REQUEST);
    fleet.run_for(secs(1));
    for gateway in [0, 1, 0] {
        fleet.send(&[gateway]);
        fleet.run_for(secs(1));
    }
    fleet.leader.contradict(REQUEST, fleet.now);
    fleet.run_for(secs(1));
    fleet.restart(&[0, 1]);
    fleet.run_for(secs(6));
    assert_eq!(fleet.leader.quarantine_state(REQUEST, 0, fleet.now), None);
}

/// Guards against a probe request that could not be written to its worker and counted as in progress:
/// a content was refused for a minute, since each probe request was lost so.
#[rstest]
fn probe_that_did_not_run_is_repeated() {
    let mut guard = CrashGuard::new();
    let now = Instant::now();
    guard.apply_view(&view(1, 5, &[0]), now);
    assert_eq!(guard.admit(&contents(), now), None);
    assert!(guard.admit(&contents(), now).is_some(), "one probe request at a time");
    guard.withdraw_probe(&contents());
    assert_eq!(guard.admit(&contents(), now), None);
    assert_eq!(guard.due(now).iter().filter_map(|record| record.probe.as_ref()).count(), 1);
}
