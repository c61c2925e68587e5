//! What a gateway knows of requests that end the workers they run on.
//!
//! The leading controller decides by what it has put together from all gateways. A gateway goes by
//! what it has seen itself until the leader has heard of that, and while there is none. It tells
//! controllers of each worker that ended under a request, and contradicts them where it has seen
//! such a request answered.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_routing::{CrashTracker, TerminatedRun, probe_delay};
use hollowbarrow_schema::{
    CrashRecord, DaemonId, FleetView, HeldRequest, RequestDigest, Term, WorkerId,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which what a former leader told is kept: a new one hears of it from gateways and
/// controllers within two seconds of having settled.
const FORMER_TIME: Duration = Duration::from_secs(5);
/// Time for which a request that is known to end workers is held after it has done so here, until
/// the leader tells for how long.
const OWN_HOLD: Duration = Duration::from_secs(5);

/// Time for which what this gateway has seen itself holds a request, after its last run: the leader
/// hears of it meanwhile, and knows whether others have answered the request.
const OWN_VERDICT_TIME: Duration = Duration::from_secs(2);
/// Silence of the leader after which a gateway goes by what it has seen itself: an election, and
/// the first views after it.
const LEADER_SILENCE: Duration = Duration::from_millis(1500);

/// Time for the leader to hear that a request which it suspects was answered here, and to tell what
/// follows: two hellos and a view, several times over.
const CONTRADICTION_TIME: Duration = Duration::from_millis(1000);

/// What the leading controller told of a request.
#[derive(Clone, Copy, Debug)]
struct ToldHold {
    /// From when on it is held.
    from: Instant,
    /// Until when it is held.
    until: Instant,
    /// Until when this is believed although the leader tells of it no more.
    kept: Instant,
    /// Since when the leader has told that the hold is over.
    over_since: Option<Instant>,
}

/// Views of the leader that make up one window for trials, about a second.
const VIEWS_OF_WINDOW: u64 = 11;

/// Decides which requests are sent to no worker.
#[derive(Debug, Default)]
pub struct CrashGuard {
    /// Tells this gateway from others.
    own: u64,
    /// Gateways that there are, as last told.
    gateways: u32,
    watch: CrashTracker,
    told: HashMap<RequestDigest, ToldHold>,
    /// Rank of the view by which the leader last told, and when that came.
    rank: (Term, u64),
    viewed: Option<Instant>,
    /// When a worker last ended here under each request that this gateway would hold by itself.
    own_runs: HashMap<RequestDigest, Instant>,
}

impl CrashGuard {
    /// Creates a guard that knows of no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Has it try requests by itself in other windows than other gateways do.
    pub fn with_identity(mut self, own: &DaemonId) -> Self {
        self.own = xxh3_64(own.as_bytes());
        self
    }

    /// For how long a request is to be sent to no worker; none where it may be.
    pub fn hold_left(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        self.told_hold(request, now).max(self.own_hold(request, now))
    }

    /// For how long a request is held by what the leader told.
    fn told_hold(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        let hold = self.told.get(&request).filter(|hold| now >= hold.from)?;
        let left = hold.until.saturating_duration_since(now);
        if !left.is_zero() {
            return Some(left);
        }
        let over = now.saturating_duration_since(hold.over_since?);
        let window = self.rank.1 / VIEWS_OF_WINDOW;
        probe_delay(self.own, request, window, self.gateways, over)
    }

    /// For how long a request is held by what was seen here alone.
    fn own_hold(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        let within = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        let silent = self.viewed.is_none_or(|at| !within(at, LEADER_SILENCE));
        let fresh = self.own_runs.get(&request).is_some_and(|at| within(*at, OWN_VERDICT_TIME));
        let counts = silent || fresh;
        self.watch.quarantine_left(request, now).filter(|_| counts)
    }

    /// Notes that a worker ended while it ran a request that was sent to it at this time.
    pub fn note_run(
        &mut self,
        request: RequestDigest,
        worker: &WorkerId,
        sent: Instant,
        now: Instant,
    ) {
        let upstream = xxh3_64(worker.as_bytes());
        self.watch.record_run(request, TerminatedRun { upstream, sent, ended: now });
        if self.watch.quarantine_left(request, now).is_some() {
            self.own_runs.insert(request, now);
        }
        if let Some(hold) = self.told.get_mut(&request) {
            hold.until = hold.until.max(now + OWN_HOLD);
            hold.kept = now + OWN_HOLD;
        }
    }

    /// Notes that a request was answered whole.
    pub fn note_answer(&mut self, request: RequestDigest, now: Instant) {
        self.watch.record_answer(request, now);
    }

    /// Whether such a request was answered here lately.
    pub fn was_answered(&self, request: RequestDigest) -> bool {
        self.watch.was_answered(request)
    }

    /// Takes in what the leader tells; what comes late is passed over.
    pub fn take_view(&mut self, view: &FleetView, now: Instant) {
        let rank = (view.term, view.number);
        if rank <= self.rank {
            return;
        }
        let new_term = view.term != self.rank.0;
        self.rank = rank;
        self.gateways = view.gateways;
        self.viewed = Some(now);
        if new_term {
            self.told.values_mut().for_each(|hold| hold.kept = hold.kept.max(now + FORMER_TIME));
        }
        let listed: HashSet<RequestDigest> = view.held.iter().map(|held| held.request).collect();
        self.told.retain(|request, hold| now < hold.kept || listed.contains(request));
        for held in &view.held {
            self.take_held(held, now);
        }
    }

    fn take_held(&mut self, held: &HeldRequest, now: Instant) {
        if let Some(ms) = held.released_ms {
            // Told again and again, it is the same word: what ends workers since counts.
            let at = now.checked_sub(Duration::from_millis(ms.into())).unwrap_or(now);
            self.watch.release(held.request, at);
            self.told.remove(&held.request);
            return;
        }
        let until = now + Duration::from_millis(held.left_ms.into());
        let contradicted = self.watch.contradict(held.request);
        let from = if contradicted { now + CONTRADICTION_TIME } else { now };
        let told = ToldHold { from, until, kept: now, over_since: None };
        let hold = self.told.entry(held.request).or_insert(told);
        if held.left_ms > 0 {
            hold.over_since = None;
        } else {
            hold.over_since.get_or_insert(now);
        }
        if now >= hold.kept {
            hold.until = until;
        } else {
            hold.until = hold.until.max(until);
        }
    }

    /// Records to tell controllers now.
    pub fn due(&mut self, now: Instant) -> Vec<CrashRecord> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < OWN_VERDICT_TIME;
        self.own_runs.retain(|_, at| fresh(at));
        self.watch.due(now)
    }
}
