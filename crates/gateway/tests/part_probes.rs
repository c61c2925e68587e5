//! Probe requests for a part of many prompts, at simulated times: eight gateways and their leader.

use std::time::Duration;

use hollowbarrow_gateway::crashes::CrashGuard;
use hollowbarrow_routing::{AnswerProof, CrashLedger, RequestContents};
use hollowbarrow_schema::{ContentDigest, DaemonId, FleetView, Term, WorkerId};
use rstest::rstest;
use tokio::time::Instant;

const GATEWAYS: usize = 8;
/// Interval at which the leader receives records and publishes views.
const VIEW_INTERVAL: Duration = Duration::from_millis(90);
/// Time that a request runs before it is answered.
const RUN_TIME: Duration = Duration::from_millis(1500);
/// Time that a worker runs a request with the part before it crashes.
const CRASH_TIME: Duration = Duration::from_millis(80);

/// Gateways that receive a request with the part in each interval, each another one.
struct Fleet {
    guards: Vec<CrashGuard>,
    leader: CrashLedger,
    now: Instant,
    views: u64,
    requests: u64,
    /// Whether the part still crashes workers.
    crashes: bool,
    /// Requests in progress: gateway, contents and when they end.
    running: Vec<(usize, RequestContents, Instant)>,
    /// When requests were sent to workers.
    sent: Vec<Instant>,
}

impl Fleet {
    fn new() -> Self {
        let identity = |number| DaemonId(format!("10.1.0.{number}:7000"));
        Self {
            guards: (0..GATEWAYS)
                .map(|number| CrashGuard::new().with_identity(&identity(number)))
                .collect(),
            leader: CrashLedger::new(),
            now: Instant::now(),
            views: 0,
            requests: 0,
            crashes: true,
            running: Vec::new(),
            sent: Vec::new(),
        }
    }

    /// Lets requests arrive, run and end for a time.
    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += VIEW_INTERVAL;
            self.end_requests();
            self.receive_request();
            self.exchange();
        }
    }

    fn receive_request(&mut self) {
        self.requests += 1;
        let gateway = self.requests as usize % GATEWAYS;
        let parts = [b"part".as_slice(), b"own"].into_iter();
        let contents =
            RequestContents::new(ContentDigest(self.requests)).with_parts("model", parts);
        if self.guards[gateway].admit(&contents, self.now).is_none() {
            let time = if self.crashes { CRASH_TIME } else { RUN_TIME };
            self.sent.push(self.now);
            self.running.push((gateway, contents, self.now + time));
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        for (gateway, contents, end) in self.running.extract_if(.., |(.., end)| *end <= now) {
            let guard = &mut self.guards[gateway];
            if !self.crashes {
                guard.record_answer(&contents, AnswerProof::Success, end);
                continue;
            }
            let worker = WorkerId(format!("w{}", *contents.whole()));
            guard.record_crash(&contents, &worker, end - CRASH_TIME, end);
        }
    }

    /// Passes the gateways' records to the leader, and its view to them.
    fn exchange(&mut self) {
        for guard in &mut self.guards {
            self.leader.merge(&guard.due(self.now), self.now);
        }
        self.views += 1;
        let mut held = self.leader.quarantined(self.now);
        self.leader.grant_probes(&mut held, self.now);
        let crashes = self.leader.evidence_due(&held, self.now);
        let view = FleetView {
            term: Term(1),
            number: self.views,
            deployment: 0,
            gateways: GATEWAYS as u32,
            controllers: Vec::new(),
            withheld: Vec::new(),
            loads: Vec::new(),
            held,
            leader: None,
            limits: Vec::new(),
            crashes,
            sent_ms: None,
        };
        self.guards.iter_mut().for_each(|guard| guard.apply_view(&view, self.now));
    }

    fn sent_since(&self, since: Instant) -> usize {
        self.sent.iter().filter(|at| **at > since).count()
    }
}

/// Each end of the quarantine costs one worker, whichever gateways receive requests with the part.
#[rstest]
fn part_probed_once_after_each_quarantine() {
    let mut fleet = Fleet::new();
    fleet.run_for(Duration::from_secs(3));
    let first = fleet.sent.len();
    assert!(first <= 5, "{first} requests are sent before the part is known");
    for _ in 0..3 {
        let known = fleet.now;
        let left = fleet.leader.quarantined(fleet.now)[0].left_ms;
        fleet.run_for(Duration::from_millis(left.into()) + Duration::from_secs(20));
        assert_eq!(fleet.sent_since(known), 1, "one probe request in all");
    }
}

/// A part that no longer crashes workers is served again after one probe request is answered.
#[rstest]
fn mended_part_served_after_one_probe() {
    let mut fleet = Fleet::new();
    fleet.run_for(Duration::from_secs(3));
    let known = fleet.now;
    fleet.crashes = false;
    while fleet.sent_since(known) == 0 {
        fleet.run_for(VIEW_INTERVAL);
        assert!(fleet.now < known + Duration::from_secs(400), "no probe request is sent");
    }
    let probed = fleet.now;
    fleet.run_for(RUN_TIME - VIEW_INTERVAL);
    assert_eq!(fleet.sent_since(probed), 0, "one probe request is in progress");
    fleet.run_for(Duration::from_secs(2));
    let answered = fleet.now;
    fleet.run_for(Duration::from_secs(2));
    let expected = 2000 / VIEW_INTERVAL.as_millis() as usize;
    assert!(fleet.sent_since(answered) >= expected, "all requests are served again");
}
