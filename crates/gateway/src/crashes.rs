//! Quarantine of requests that crash the workers they run on, at one gateway.
//!
//! The leading controller decides from the crashes that all gateways report. A gateway uses the
//! crashes that it observed itself until the leader has received them, and while there is no
//! leader. It reports to controllers each worker whose process terminated while running a request,
//! and contradicts a quarantine if it has seen the request answered.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_routing::{CrashLedger, CrashTracker, TerminatedRun, probe_delay};
use hollowbarrow_schema::{
    CrashRecord, DaemonId, FleetView, HeldRequest, RequestDigest, Term, WorkerId,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which quarantines of a former leader are kept. A new leader receives the crash records
/// from gateways and controllers within two seconds after its election has settled.
const FORMER_LEADER_TIME: Duration = Duration::from_secs(5);
/// Quarantine of a request on the leader's list after it has crashed a worker here, until the
/// leader sends its own time.
const LOCAL_QUARANTINE: Duration = Duration::from_secs(5);

/// Time after its last crash here for which this gateway quarantines a request by its own
/// observations. The leader receives them meanwhile, and knows whether the request was answered
/// elsewhere.
const LOCAL_VERDICT_TIME: Duration = Duration::from_secs(2);
/// Time without a view after which a gateway also quarantines requests by its own observations,
/// whatever their age: an election, and the first views after it.
const LEADER_SILENCE: Duration = Duration::from_millis(1500);

/// Time for the leader to receive that a quarantined request was answered here, and to send its
/// decision: two hellos and a view, several times over.
const CONTRADICTION_TIME: Duration = Duration::from_millis(1000);

/// A quarantine that the leading controller published.
#[derive(Clone, Copy, Debug)]
struct LeaderQuarantine {
    /// Start of the quarantine here.
    from: Instant,
    /// End of the quarantine.
    until: Instant,
    /// Time until which the quarantine is kept although the leader no longer lists it.
    keep_until: Instant,
    /// Since when the leader has reported that the quarantine has ended.
    ended_since: Option<Instant>,
}

/// Views of the leader in one window for probe requests, about a second.
const VIEWS_PER_WINDOW: u64 = 11;

/// Decides which requests are quarantined.
#[derive(Debug, Default)]
pub struct CrashGuard {
    /// Hash of this gateway's identity.
    local: u64,
    /// Number of gateways in the last view.
    gateways: u32,
    watch: CrashTracker,
    from_leader: HashMap<RequestDigest, LeaderQuarantine>,
    /// Records that the leader published of the requests that it lists. They may be all that is
    /// left when the leader and the gateways that observed the crashes have terminated.
    evidence: CrashLedger,
    /// Time until which the evidence of a former leader is sent to the new one.
    resend_until: Option<Instant>,
    /// Term and number of the last view of the leader.
    view_version: (Term, u64),
    /// When that view was received.
    last_view: Option<Instant>,
    /// Time of the last crash here of each request that this gateway quarantines by its own
    /// observations.
    local_crashes: HashMap<RequestDigest, Instant>,
}

impl CrashGuard {
    /// Creates a guard without quarantined requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the gateway's identity, so that gateways send probe requests in different windows.
    pub fn with_identity(mut self, local: &DaemonId) -> Self {
        self.local = xxh3_64(local.as_bytes());
        self
    }

    /// Returns the remaining quarantine of a request; `None` if it may be sent to a worker.
    pub fn quarantine_left(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        self.leader_quarantine(request, now).max(self.local_quarantine(request, now))
    }

    /// Returns the remaining quarantine by the leader's decision.
    fn leader_quarantine(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        let quarantine =
            self.from_leader.get(&request).filter(|quarantine| now >= quarantine.from)?;
        let left = quarantine.until.saturating_duration_since(now);
        if !left.is_zero() {
            return Some(left);
        }
        let elapsed = now.saturating_duration_since(quarantine.ended_since?);
        let window = self.view_version.1 / VIEWS_PER_WINDOW;
        probe_delay(self.local, request, window, self.gateways, elapsed)
    }

    /// Returns the remaining quarantine by the observations of this gateway alone.
    fn local_quarantine(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        let within = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        let silent = self.last_view.is_none_or(|at| !within(at, LEADER_SILENCE));
        let fresh =
            self.local_crashes.get(&request).is_some_and(|at| within(*at, LOCAL_VERDICT_TIME));
        let applies = silent || fresh;
        self.watch.quarantine_left(request, now).filter(|_| applies)
    }

    /// Records that a worker's process terminated while running a request that was sent to it at
    /// this time.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        worker: &WorkerId,
        sent: Instant,
        now: Instant,
    ) {
        let upstream = xxh3_64(worker.as_bytes());
        self.watch.record_run(request, TerminatedRun { upstream, sent, ended: now });
        if self.watch.quarantine_left(request, now).is_some() {
            self.local_crashes.insert(request, now);
        }
        if let Some(quarantine) = self.from_leader.get_mut(&request) {
            quarantine.until = quarantine.until.max(now + LOCAL_QUARANTINE);
            quarantine.keep_until = now + LOCAL_QUARANTINE;
        }
    }

    /// Records a complete answer to a request.
    pub fn record_answer(&mut self, request: RequestDigest, now: Instant) {
        self.watch.record_answer(request, now);
    }

    /// Returns whether a request with this content was answered here recently.
    pub fn was_answered(&self, request: RequestDigest) -> bool {
        self.watch.was_answered(request)
    }

    /// Applies the quarantines in a view of the leader, unless the view is outdated.
    pub fn apply_view(&mut self, view: &FleetView, now: Instant) {
        let view_version = (view.term, view.number);
        if view_version <= self.view_version {
            return;
        }
        let new_term = view.term != self.view_version.0;
        self.view_version = view_version;
        self.gateways = view.gateways;
        self.last_view = Some(now);
        if new_term {
            self.from_leader.values_mut().for_each(|quarantine| {
                quarantine.keep_until = quarantine.keep_until.max(now + FORMER_LEADER_TIME)
            });
            self.evidence.resend_all();
            self.resend_until = Some(now + FORMER_LEADER_TIME);
        }
        let listed: HashSet<RequestDigest> = view.held.iter().map(|entry| entry.request).collect();
        self.from_leader
            .retain(|request, quarantine| now < quarantine.keep_until || listed.contains(request));
        if self.resend_until.is_none_or(|until| now >= until) {
            self.evidence.retain(|request| listed.contains(&request));
        }
        self.evidence.merge(&view.crashes, now);
        for entry in &view.held {
            self.apply_entry(entry, now);
        }
    }

    fn apply_entry(&mut self, entry: &HeldRequest, now: Instant) {
        if let Some(ms) = entry.released_ms {
            // The same release is in many views. Crashes after the time of the release still count.
            let at = now.checked_sub(Duration::from_millis(ms.into())).unwrap_or(now);
            self.watch.release(entry.request, at);
            self.evidence.retain(|request| request != entry.request);
            self.from_leader.remove(&entry.request);
            return;
        }
        let until = now + Duration::from_millis(entry.left_ms.into());
        self.watch.record_published(entry.request, now);
        let contradicted = self.watch.contradict(entry.request);
        let from = if contradicted { now + CONTRADICTION_TIME } else { now };
        let new = LeaderQuarantine { from, until, keep_until: now, ended_since: None };
        let quarantine = self.from_leader.entry(entry.request).or_insert(new);
        if entry.left_ms > 0 {
            quarantine.ended_since = None;
        } else {
            quarantine.ended_since.get_or_insert(now);
        }
        if now >= quarantine.keep_until {
            quarantine.until = until;
        } else {
            quarantine.until = quarantine.until.max(until);
        }
    }

    /// Returns the crash records that are due to controllers now.
    pub fn due(&mut self, now: Instant) -> Vec<CrashRecord> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < LOCAL_VERDICT_TIME;
        self.local_crashes.retain(|_, at| fresh(at));
        let mut records = self.watch.due(now);
        if self.resend_until.is_some_and(|until| now < until) {
            self.evidence.prune(now);
            records.extend(self.evidence.due(now));
        }
        records
    }
}
