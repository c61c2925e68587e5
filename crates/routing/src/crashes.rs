//! Tells requests under which upstreams end from requests that only were there.
//!
//! Load pattern: a request that an upstream cannot bear ends each one that begins to run it, and
//! its caller sends it again, at any daemon and under a new identity. Without a memory across
//! arrivals 36 upstreams ended under one request, two for each time that it came.
//!
//! Upstreams also end by themselves, many at once, and break off whatever is under way there. Such
//! an event is one piece of evidence however many it takes: runs count only where each was sent
//! after the one before had ended, at another upstream, with no whole answer since. A request that
//! is asked for often and does no harm is answered in between, and one that was answered before
//! needs more of them. Many copies of one that was never answered are told from such an event by
//! which upstreams ended ([`crate::burst`]).
//!
//! Runs are merged by keeping the earliest time that was told of each, so that passing a record on
//! does not make it younger.

use std::collections::HashMap;
use std::time::Duration;

use hollowbarrow_schema::{CrashRecord, CrashedRun, HeldRequest, RequestDigest};
use tokio::time::Instant;

use crate::burst::{UpstreamTerminations, find_burst};

/// When a request is held.
#[derive(Clone, Copy, Debug)]
struct QuarantineRule {
    /// Runs one after the other, each ended with its upstream, after which it is held.
    runs: usize,
    /// Time for which it is held after the last of them; each further run doubles it.
    base: Duration,
}

/// For a request that was never answered. With two runs a request that was broken off twice by
/// others would lose its caller's repeat; each one more costs a replica. Each end of a hold may
/// cost a replica again, which takes half a minute to load elsewhere.
const NEVER_ANSWERED: QuarantineRule = QuarantineRule { runs: 3, base: Duration::from_secs(120) };
/// For a request that was never answered and came in a burst: a short hold, since everything may
/// have been lost at once. It ends with one copy more, which is answered or proves the suspicion.
const BURST_QUARANTINE: Duration = Duration::from_secs(10);
/// Time for which a daemon must have watched before the first run of a request to know that it was
/// not answered: what is asked for often is answered in it.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(10);
/// For a request of which nobody who is left may know whether it was answered. After all who had
/// seen it answered had ended, one was refused for two minutes that heads had ended under in turn;
/// a shorter hold ends with one copy, whose answer clears it, or costs one more replica.
const UNOBSERVED: QuarantineRule = QuarantineRule { runs: 3, base: Duration::from_secs(30) };
/// For a request that was answered before. Where many callers send it alike, it is under way at
/// every upstream that ends: while requests ended replica after replica, another one that was
/// answered ten times a second was broken off three times in turn, and then refused 725 times in a
/// minute. A short hold lets it be tried, and the first answer clears it.
const ANSWERED_BEFORE: QuarantineRule = QuarantineRule { runs: 6, base: Duration::from_secs(10) };
/// Longest time for which a request is held after its last run.
const MAX_QUARANTINE: Duration = Duration::from_secs(16 * 60);
/// Time after which a run counts no more: what ran then, or what it ran on, may have changed.
const RETENTION: Duration = Duration::from_secs(60 * 60);
/// Doublings that take the shortest hold to the longest.
const MAX_DOUBLINGS: u32 = 7;
/// Most runs kept of a request: as many as take it to the longest hold.
const MAX_RUNS: usize = 14;
/// Most requests kept, about 1 MB.
const MAX_REQUESTS: usize = 4096;
/// Part of them that is dropped at once where there are more, so that not each one costs a look at
/// all others.
const EVICTION_DIVISOR: usize = 8;
/// Most records told at once, so that many broken requests at once cost 2.4 KB a message at most
/// (16 with three runs each, as encoded).
const MAX_SENT_RECORDS: usize = 16;
/// Most held requests told at once.
const MAX_SENT_QUARANTINES: usize = 64;
/// Time after its end for which a request's only run is told again. A storm breaks thousands of
/// requests off once, and those are told to nobody who needs them later: told for an hour, 430 of
/// them took 32 KB a second of a gateway's 4.
const SINGLE_RUN_RESEND_TIME: Duration = Duration::from_secs(10);
/// Pause after which a record is told again, in case it was lost or whoever heard it has gone.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// How a request is held that is known to end upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// It is to be sent to no upstream for this time.
    Active(Duration),
    /// It may be tried once more; the hold has been over for this time.
    Expired(Duration),
}

/// A run that ended with its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TerminatedRun {
    /// Digest over the name of the upstream's life.
    pub upstream: u64,
    /// When the request was sent there.
    pub sent: Instant,
    /// When the upstream's end showed.
    pub ended: Instant,
}

#[derive(Clone, Debug, Default)]
struct RequestEntry {
    runs: Vec<TerminatedRun>,
    answered: Option<Instant>,
    /// When it was last told of since it has changed.
    last_sent: Option<Instant>,
}

impl RequestEntry {
    /// Adds a run, or moves one to an earlier time; false where it is known.
    fn add_run(&mut self, run: TerminatedRun) -> bool {
        match self.runs.iter_mut().find(|known| known.upstream == run.upstream) {
            Some(known) if known.ended <= run.ended => return false,
            Some(known) => *known = run,
            None => self.runs.push(run),
        }
        self.runs.sort_by_key(|run| run.ended);
        let surplus = self.runs.len().saturating_sub(MAX_RUNS);
        self.runs.drain(..surplus);
        true
    }

    fn last_end(&self) -> Option<Instant> {
        self.runs.last().map(|run| run.ended)
    }

    /// Number of runs since the last whole answer, each sent after the one before had ended.
    fn chain(&self) -> usize {
        self.chain_since(self.answered)
    }

    /// Number of runs after some moment, each sent after the one before had ended.
    fn chain_since(&self, since: Option<Instant>) -> usize {
        let mut chain = 0;
        let mut last: Option<Instant> = None;
        for run in &self.runs {
            let earlier = since.is_some_and(|since| since >= run.ended);
            if earlier || last.is_some_and(|last| run.sent < last) {
                continue;
            }
            chain += 1;
            last = Some(run.ended);
        }
        chain
    }

    /// Orders requests by how likely they end upstreams, and those alike by how new that is.
    fn suspicion(&self) -> (usize, usize, Option<Instant>) {
        (self.chain(), self.runs.len(), self.last_end())
    }

    /// Whether others are to be told of it now: of what is new, and now and then of the rest.
    fn is_due(&self, now: Instant) -> bool {
        let Some(last_sent) = self.last_sent else { return true };
        let within = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        let fresh = self.last_end().is_some_and(|ended| within(ended, SINGLE_RUN_RESEND_TIME));
        !within(last_sent, RESEND_INTERVAL) && (fresh || self.runs.len() > 1)
    }

    /// Until when the request is held; none where it is not known to end upstreams.
    fn quarantined_until(&self, ledger: &CrashLedger) -> Option<Instant> {
        let quarantine = self
            .quarantine_by_sequence(ledger)
            .max(self.quarantine_by_burst(&ledger.terminations))?;
        self.last_end().map(|ended| ended + quarantine.min(MAX_QUARANTINE))
    }

    /// For how long runs that followed each other hold the request.
    fn quarantine_by_sequence(&self, ledger: &CrashLedger) -> Option<Duration> {
        let rule = match (self.answered, self.runs.first()) {
            (Some(_), _) => ANSWERED_BEFORE,
            (None, Some(first)) if !ledger.was_observing(first.sent) => UNOBSERVED,
            (None, _) => NEVER_ANSWERED,
        };
        let beyond = self.chain().checked_sub(rule.runs)?;
        Some(doubled(rule.base, beyond))
    }

    /// For how long a burst holds the request, and what has followed it.
    fn quarantine_by_burst(&self, terminations: &UpstreamTerminations) -> Option<Duration> {
        if self.answered.is_some() {
            return None;
        }
        let burst = find_burst(&self.runs, terminations)?;
        Some(doubled(BURST_QUARANTINE, self.chain_since(Some(burst))))
    }
}

/// A hold after so many runs beyond those that it takes.
fn doubled(first: Duration, beyond: usize) -> Duration {
    first * 2u32.pow(u32::try_from(beyond).unwrap_or(u32::MAX).min(MAX_DOUBLINGS))
}

/// Requests under which upstreams have ended.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<RequestDigest, RequestEntry>,
    terminations: UpstreamTerminations,
    /// Since when this daemon and others have told it of answers; none if they always have.
    observing_since: Option<Instant>,
}

impl CrashLedger {
    /// Creates a ledger that knows of no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets since when answers would have been heard of.
    pub fn with_observation_since(mut self, since: Instant) -> Self {
        self.observing_since = Some(since);
        self
    }

    /// Whether answers for a while before this moment would be known.
    fn was_observing(&self, at: Instant) -> bool {
        self.observing_since.is_none_or(|since| since + MIN_OBSERVATION_TIME <= at)
    }

    /// Notes that an upstream ended while it ran a request.
    pub fn record_run(&mut self, request: RequestDigest, run: TerminatedRun) {
        self.terminations.record(run.upstream, run.ended);
        let entry = self.requests.entry(request).or_default();
        if entry.add_run(run) {
            entry.last_sent = None;
        }
        self.evict_surplus();
    }

    /// Notes that a request was answered whole. One of which nothing is known is passed over.
    pub fn record_answer(&mut self, request: RequestDigest, at: Instant) {
        if let Some(entry) = self.requests.get_mut(&request) {
            set_answered(entry, at);
        }
    }

    /// Notes that a request which another daemon suspects was answered whole here.
    pub fn contradict(&mut self, request: RequestDigest, answered: Instant) {
        set_answered(self.requests.entry(request).or_default(), answered);
        self.evict_surplus();
    }

    /// Takes in what another daemon told.
    pub fn merge(&mut self, records: &[CrashRecord], now: Instant) {
        for record in records {
            let entry = self.requests.entry(record.request).or_default();
            let mut changed = false;
            for run in &record.runs {
                let times = (time_before(run.sent_ms, now), time_before(run.ended_ms, now));
                let (Some(sent), Some(ended)) = times else { continue };
                self.terminations.record(run.upstream, ended);
                changed |= entry.add_run(TerminatedRun { upstream: run.upstream, sent, ended });
            }
            if changed {
                entry.last_sent = None;
            }
            if let Some(answered) = record.answered_ms.and_then(|ms| time_before(ms, now)) {
                set_answered(entry, answered);
            }
        }
        self.evict_surplus();
    }

    /// For how long a request is to be sent to no upstream; none where it may be.
    pub fn quarantine_left(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        match self.quarantine_state(request, now)? {
            QuarantineState::Active(left) => Some(left),
            QuarantineState::Expired(_) => None,
        }
    }

    /// How a request is held; none where it is not known to end upstreams.
    pub fn quarantine_state(
        &self,
        request: RequestDigest,
        now: Instant,
    ) -> Option<QuarantineState> {
        let until = self.requests.get(&request)?.quarantined_until(self)?;
        Some(match until.checked_duration_since(now) {
            Some(left) if !left.is_zero() => QuarantineState::Active(left),
            _ => QuarantineState::Expired(now.saturating_duration_since(until)),
        })
    }

    /// Requests that are known to end upstreams, the latest first.
    pub fn quarantined(&self, now: Instant) -> Vec<HeldRequest> {
        let known = |(request, entry): (&RequestDigest, &RequestEntry)| {
            Some((entry.quarantined_until(self)?, *request))
        };
        let mut quarantined: Vec<_> = self.requests.iter().filter_map(known).collect();
        quarantined.sort_by(|a, b| b.cmp(a));
        quarantined.truncate(MAX_SENT_QUARANTINES);
        let to_message = |(until, request): (Instant, RequestDigest)| HeldRequest {
            request,
            left_ms: to_ms(until.saturating_duration_since(now)),
            released_ms: None,
        };
        quarantined.into_iter().map(to_message).collect()
    }

    /// Records to tell others now: those that have changed, and those not told for a while.
    pub fn due(&mut self, now: Instant) -> Vec<CrashRecord> {
        let mut due: Vec<_> =
            self.requests.iter_mut().filter(|(_, entry)| entry.is_due(now)).collect();
        // Those that are likest to be held first, and of these the newest.
        due.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.suspicion()));
        due.truncate(MAX_SENT_RECORDS);
        let mut records = Vec::with_capacity(due.len());
        for (request, entry) in due {
            entry.last_sent = Some(now);
            records.push(to_record(*request, entry, now));
        }
        records
    }

    /// Forgets runs of long ago.
    pub fn prune(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.terminations.prune(recent);
        self.requests.retain(|_, entry| {
            entry.runs.retain(|run| recent(run.ended));
            !entry.runs.is_empty() || entry.answered.is_some_and(recent)
        });
    }

    /// Number of requests kept.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Drops the requests that matter least where there are too many, several at once.
    fn evict_surplus(&mut self) {
        if self.requests.len() <= MAX_REQUESTS {
            return;
        }
        let suspicion =
            |(request, entry): (&RequestDigest, &RequestEntry)| (entry.suspicion(), *request);
        let mut suspicions: Vec<_> = self.requests.iter().map(suspicion).collect();
        suspicions.sort_unstable();
        for (_, request) in suspicions.iter().take(MAX_REQUESTS / EVICTION_DIVISOR) {
            self.requests.remove(request);
        }
    }
}

fn set_answered(entry: &mut RequestEntry, at: Instant) {
    // Told again with some delay, the same answer seems a little later each time: that is nothing
    // new. Where it is, it matters only if it came after a run.
    let matters = entry.runs.is_empty() && entry.answered.is_none()
        || entry.runs.iter().any(|run| run.ended <= at && entry.answered < Some(run.ended));
    entry.answered = entry.answered.max(Some(at));
    if matters {
        entry.last_sent = None;
    }
}

fn to_record(request: RequestDigest, entry: &RequestEntry, now: Instant) -> CrashRecord {
    let age = |at: Instant| to_ms(now.saturating_duration_since(at));
    let to_message = |run: &TerminatedRun| CrashedRun {
        upstream: run.upstream,
        sent_ms: age(run.sent),
        ended_ms: age(run.ended),
    };
    CrashRecord {
        request,
        runs: entry.runs.iter().map(to_message).collect(),
        answered_ms: entry.answered.map(age),
    }
}

pub(crate) fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn time_before(ms: u32, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(ms.into()))
}
