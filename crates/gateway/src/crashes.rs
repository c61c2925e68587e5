//! Quarantine of requests that crash the workers they run on, at one gateway: by the whole request, and
//! by the parts of its prompt.
//!
//! The leading controller decides from the crashes that all gateways report. A gateway uses the
//! crashes that it observed itself until the leader has received them, and while there is no
//! leader. It reports to controllers each worker whose process terminated while running a request,
//! and contradicts a quarantine if it has seen the request answered.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_routing::{
    AnswerProof, ContentStanding, CrashLedger, CrashTracker, QuarantineScope, RequestContents,
    TerminatedRun,
};
use hollowbarrow_schema::{
    ContentDigest, CrashRecord, DaemonId, FleetView, HeldRequest, Term, WorkerId,
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

/// Time without a view after which no leader is expected to grant probe requests.
const LEADER_LOSS: Duration = Duration::from_secs(15);

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
    /// Whose requests the quarantine applies to.
    scope: QuarantineScope,
    /// Whether this gateway may send the next probe request.
    granted: bool,
    /// When this gateway last sent a probe request.
    probe_sent: Option<Instant>,
}

/// Time after a probe request of this gateway within which it sends no other one. The leader grants
/// the next one later than that.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Retry-After delay of a caller whose request may not serve as a probe request now.
const PROBE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a quarantine means for the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QuarantineStep {
    /// It may be sent as a probe request.
    Probe,
    /// It may be sent once the leader grants this gateway a probe request.
    AwaitGrant,
    /// It must not be sent for this time.
    Wait(Duration),
}

impl LeaderQuarantine {
    /// Returns what the quarantine means for the next request; `None` if it does not apply now. If the
    /// leader is lost, nobody grants probe requests, and the observations of this gateway decide.
    fn step(&self, leader_lost: bool, now: Instant) -> Option<QuarantineStep> {
        if now < self.from {
            return None;
        }
        let left = self.until.saturating_duration_since(now);
        if !left.is_zero() {
            return Some(QuarantineStep::Wait(left));
        }
        if leader_lost {
            return None;
        }
        let in_progress = |at: Instant| now.saturating_duration_since(at) < PROBE_INTERVAL;
        let may_probe = self.granted && !self.probe_sent.is_some_and(in_progress);
        Some(if may_probe { QuarantineStep::Probe } else { QuarantineStep::AwaitGrant })
    }
}

/// Decides which requests are quarantined.
#[derive(Debug, Default)]
pub struct CrashGuard {
    /// Hash of this gateway's identity.
    local: u64,
    watch: CrashTracker,
    from_leader: HashMap<ContentDigest, LeaderQuarantine>,
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
    local_crashes: HashMap<ContentDigest, Instant>,
}

impl CrashGuard {
    /// Creates a guard without quarantined requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the gateway's identity, by which the leader grants it probe requests.
    pub fn with_identity(mut self, local: &DaemonId) -> Self {
        self.local = xxh3_64(local.as_bytes());
        self
    }

    /// Returns the remaining quarantine of a request; `None` if it may be sent to a worker.
    pub fn quarantine_left(
        &mut self,
        contents: &RequestContents,
        now: Instant,
    ) -> Option<Duration> {
        let steps = contents.all().filter_map(|content| self.content_step(contents, content, now));
        match steps.max()? {
            QuarantineStep::Probe => None,
            QuarantineStep::Wait(left) => Some(left),
            QuarantineStep::AwaitGrant => {
                self.record_probe_wanted(contents, now);
                Some(PROBE_RETRY_AFTER)
            }
        }
    }

    /// Returns the remaining quarantine of a request that is to be sent now; `None` if it may be. If
    /// it needs a grant for a probe request, the grant is used up.
    pub fn admit(&mut self, contents: &RequestContents, now: Instant) -> Option<Duration> {
        let left = self.quarantine_left(contents, now);
        if left.is_none() {
            self.record_probe_sent(contents, now);
        }
        left
    }

    fn content_step(
        &self,
        contents: &RequestContents,
        content: ContentDigest,
        now: Instant,
    ) -> Option<QuarantineStep> {
        let organisation = contents.organisation();
        let by_leader = self.from_leader.get(&content);
        let by_leader = by_leader.filter(|quarantine| quarantine.scope.includes(organisation));
        let lost = self.is_silent_for(LEADER_LOSS, now);
        let by_leader = by_leader.and_then(|quarantine| quarantine.step(lost, now));
        let local = self.local_quarantine(content, organisation, now);
        by_leader.max(local.map(QuarantineStep::Wait))
    }

    /// Returns the remaining quarantine by the observations of this gateway alone.
    fn local_quarantine(
        &self,
        content: ContentDigest,
        organisation: u64,
        now: Instant,
    ) -> Option<Duration> {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < LOCAL_VERDICT_TIME;
        let fresh = self.local_crashes.get(&content).is_some_and(recent);
        let applies = fresh || self.is_silent_for(LEADER_SILENCE, now);
        self.watch.quarantine_left(content, organisation, now).filter(|_| applies)
    }

    /// Returns whether no view has been received for this time.
    fn is_silent_for(&self, time: Duration, now: Instant) -> bool {
        self.last_view.is_none_or(|at| now.saturating_duration_since(at) >= time)
    }

    fn record_probe_wanted(&mut self, contents: &RequestContents, now: Instant) {
        for content in contents.all() {
            let awaits = self.from_leader.get(&content).and_then(|one| one.step(false, now));
            if awaits == Some(QuarantineStep::AwaitGrant) {
                self.watch.record_probe_wanted(content, self.local, now);
            }
        }
    }

    fn record_probe_sent(&mut self, contents: &RequestContents, now: Instant) {
        let lost = self.is_silent_for(LEADER_LOSS, now);
        for content in contents.all() {
            let Some(quarantine) = self.from_leader.get_mut(&content) else { continue };
            if quarantine.step(lost, now) == Some(QuarantineStep::Probe) {
                quarantine.probe_sent = Some(now);
                self.watch.record_probe_sent(content, self.local, now);
                log::info!("event=probe_sent content={:016x}", *content);
            }
        }
    }

    /// Records that a request did not run. If it was to be a probe request, its retry or another request
    /// may be one.
    pub fn withdraw_probe(&mut self, contents: &RequestContents) {
        for content in contents.all() {
            let quarantine = self.from_leader.get_mut(&content);
            if quarantine.is_some_and(|quarantine| quarantine.probe_sent.take().is_some()) {
                self.watch.withdraw_probe(content);
            }
        }
    }

    /// Records that a worker's process terminated while running a request, with the times at which
    /// the request was sent to it and the connection was lost.
    pub fn record_crash(
        &mut self,
        contents: &RequestContents,
        worker: &WorkerId,
        sent: Instant,
        now: Instant,
    ) {
        let upstream = xxh3_64(worker.as_bytes());
        let organisation = Some(contents.organisation());
        let run = TerminatedRun { upstream, sent, ended: now, organisation };
        self.watch.record_run(contents, run);
        for content in contents.all() {
            if self.watch.quarantine_left(content, contents.organisation(), now).is_some() {
                self.local_crashes.insert(content, now);
            }
            if let Some(quarantine) = self.from_leader.get_mut(&content) {
                quarantine.until = quarantine.until.max(now + LOCAL_QUARANTINE);
                quarantine.keep_until = now + LOCAL_QUARANTINE;
            }
        }
    }

    /// Records a complete answer to a request.
    pub fn record_answer(&mut self, contents: &RequestContents, proof: AnswerProof, now: Instant) {
        self.watch.record_answer(contents, proof, now);
    }

    /// Returns what is known here of a whole request or of a part.
    pub fn standing(&self, content: ContentDigest) -> ContentStanding {
        self.watch.standing(content)
    }

    /// Returns the parts of a request that this gateway does not know to be harmless.
    pub fn unanswered_parts(&self, contents: &RequestContents) -> Vec<ContentDigest> {
        self.watch.unanswered_parts(contents)
    }

    /// Applies the quarantines in a view of the leader, unless the view is outdated.
    pub fn apply_view(&mut self, view: &FleetView, now: Instant) {
        let view_version = (view.term, view.number);
        if view_version <= self.view_version {
            return;
        }
        let new_term = view.term != self.view_version.0;
        self.view_version = view_version;
        self.last_view = Some(now);
        if new_term {
            self.from_leader.values_mut().for_each(|quarantine| {
                quarantine.keep_until = quarantine.keep_until.max(now + FORMER_LEADER_TIME)
            });
            self.evidence.resend_all();
            self.resend_until = Some(now + FORMER_LEADER_TIME);
        }
        let listed: HashSet<ContentDigest> = view.held.iter().map(|entry| entry.request).collect();
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
        let scope = QuarantineScope::from_message(entry.organisation);
        let new = LeaderQuarantine {
            from,
            until,
            keep_until: now,
            scope,
            granted: false,
            probe_sent: None,
        };
        let quarantine = self.from_leader.entry(entry.request).or_insert(new);
        quarantine.scope = scope;
        quarantine.granted = entry.prober == Some(self.local);
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
