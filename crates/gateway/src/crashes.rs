//! What a gateway knows of requests that end the workers they run on.
//!
//! The leading controller decides by what it has put together from all gateways. A gateway goes by
//! what it has seen itself until the leader has heard of that, and while there is none. It tells
//! controllers of each worker that ended under a request, and contradicts them where it has seen
//! such a request answered.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_routing::{CrashWatch, EndedRun, trial_hold};
use hollowbarrow_schema::{
    CrashRecord, DaemonId, FleetView, HeldRequest, RequestDigest, Term, WorkerId,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which what a former leader told is kept: a new one hears of it from gateways and
/// controllers within two seconds of having settled.
const FORMER_LEADER_TIME: Duration = Duration::from_secs(5);
/// Time for which a request that is known to end workers is held after it has done so here, until
/// the leader tells for how long.
const LOCAL_QUARANTINE: Duration = Duration::from_secs(5);

/// Time for which what this gateway has seen itself holds a request, after its last run: the leader
/// hears of it meanwhile, and knows whether others have answered the request.
const LOCAL_VERDICT_TIME: Duration = Duration::from_secs(2);
/// Silence of the leader after which a gateway goes by what it has seen itself: an election, and
/// the first views after it.
const LEADER_SILENCE: Duration = Duration::from_millis(1500);

/// Time for the leader to hear that a request which it suspects was answered here, and to tell what
/// follows: two hellos and a view, several times over.
const CONTRADICTION_TIME: Duration = Duration::from_millis(1000);

/// What the leading controller told of a request.
#[derive(Clone, Copy, Debug)]
struct LeaderQuarantine {
    /// From when on it is held.
    from: Instant,
    /// Until when it is held.
    until: Instant,
    /// Until when this is believed although the leader tells of it no more.
    keep_until: Instant,
    /// Since when the leader has told that the hold is over.
    ended_since: Option<Instant>,
}

/// Views of the leader that make up one window for trials, about a second.
const VIEWS_PER_WINDOW: u64 = 11;

/// Decides which requests are sent to no worker.
#[derive(Debug, Default)]
pub struct CrashGuard {
    /// Tells this gateway from others.
    local: u64,
    /// Gateways that there are, as last told.
    gateways: u32,
    watch: CrashWatch,
    from_leader: HashMap<RequestDigest, LeaderQuarantine>,
    /// Rank of the view by which the leader last told, and when that came.
    view_version: (Term, u64),
    last_view: Option<Instant>,
    /// When a worker last ended here under each request that this gateway would hold by itself.
    local_crashes: HashMap<RequestDigest, Instant>,
}

impl CrashGuard {
    /// Creates a guard that knows of no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Has it try requests by itself in other windows than other gateways do.
    pub fn with_identity(mut self, local: &DaemonId) -> Self {
        self.local = xxh3_64(local.as_bytes());
        self
    }

    /// For how long a request is to be sent to no worker; none where it may be.
    pub fn quarantine_left(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        self.leader_quarantine(request, now).max(self.local_quarantine(request, now))
    }

    /// For how long a request is held by what the leader told.
    fn leader_quarantine(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        let quarantine =
            self.from_leader.get(&request).filter(|quarantine| now >= quarantine.from)?;
        let left = quarantine.until.saturating_duration_since(now);
        if !left.is_zero() {
            return Some(left);
        }
        let elapsed = now.saturating_duration_since(quarantine.ended_since?);
        let window = self.view_version.1 / VIEWS_PER_WINDOW;
        trial_hold(self.local, request, window, self.gateways, elapsed)
    }

    /// For how long a request is held by what was seen here alone.
    fn local_quarantine(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        let within = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        let silent = self.last_view.is_none_or(|at| !within(at, LEADER_SILENCE));
        let fresh =
            self.local_crashes.get(&request).is_some_and(|at| within(*at, LOCAL_VERDICT_TIME));
        let applies = silent || fresh;
        self.watch.hold_left(request, now).filter(|_| applies)
    }

    /// Notes that a worker ended while it ran a request that was sent to it at this time.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        worker: &WorkerId,
        sent: Instant,
        now: Instant,
    ) {
        let upstream = xxh3_64(worker.as_bytes());
        self.watch.note_run(request, EndedRun { upstream, sent, ended: now });
        if self.watch.hold_left(request, now).is_some() {
            self.local_crashes.insert(request, now);
        }
        if let Some(quarantine) = self.from_leader.get_mut(&request) {
            quarantine.until = quarantine.until.max(now + LOCAL_QUARANTINE);
            quarantine.keep_until = now + LOCAL_QUARANTINE;
        }
    }

    /// Notes that a request was answered whole.
    pub fn record_answer(&mut self, request: RequestDigest, now: Instant) {
        self.watch.note_answer(request, now);
    }

    /// Whether such a request was answered here lately.
    pub fn was_answered(&self, request: RequestDigest) -> bool {
        self.watch.was_answered(request)
    }

    /// Takes in what the leader tells; what comes late is passed over.
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
        }
        let listed: HashSet<RequestDigest> = view.held.iter().map(|entry| entry.request).collect();
        self.from_leader
            .retain(|request, quarantine| now < quarantine.keep_until || listed.contains(request));
        for entry in &view.held {
            self.apply_entry(entry, now);
        }
    }

    fn apply_entry(&mut self, entry: &HeldRequest, now: Instant) {
        if let Some(ms) = entry.released_ms {
            // Told again and again, it is the same word: what ends workers since counts.
            let at = now.checked_sub(Duration::from_millis(ms.into())).unwrap_or(now);
            self.watch.release(entry.request, at);
            self.from_leader.remove(&entry.request);
            return;
        }
        let until = now + Duration::from_millis(entry.left_ms.into());
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

    /// Records to tell controllers now.
    pub fn due(&mut self, now: Instant) -> Vec<CrashRecord> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < LOCAL_VERDICT_TIME;
        self.local_crashes.retain(|_, at| fresh(at));
        self.watch.due(now)
    }
}
