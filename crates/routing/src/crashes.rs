//! Distinguishes requests that crash upstreams from requests that were only in progress at
//! upstreams that terminated.
//!
//! Load pattern: a request that upstreams cannot handle crashes each upstream that starts to run
//! it, and its caller sends it again, at any daemon and under a new identity. Without a record that
//! survives the single arrival, 36 upstreams terminated under one request, two for each time that
//! it arrived.
//!
//! Upstreams also terminate for other reasons, many at once, and interrupt whatever is in progress
//! there. Such an event is one piece of evidence, however many upstreams it affects: runs count
//! only if each was sent after the previous one had ended, on another upstream, without a complete
//! answer since. A harmless request that is sent often is answered in between, and a request that
//! was answered before needs more such runs. Many duplicates of a request that was never answered
//! are distinguished from such an event by which upstreams terminated ([`crate::burst`]).
//!
//! Requests that differ may share a part of their prompts that upstreams cannot handle. A run counts
//! against each content of its request: the whole, and the parts of its prompt. Harmless contents
//! are interrupted beside it, in the same requests and in others on the same upstream, so the
//! termination of an upstream is attributed to the content with the strongest evidence that was in
//! progress there, and does not count against weaker ones ([`crate::attribution`]).
//!
//! An organisation chooses the names of the parts that it sends. Runs of one organisation therefore
//! quarantine a part for its own requests only, and those of two for all.
//!
//! Runs are merged by keeping the earliest time that was reported of each, so that forwarding a
//! record does not make it younger.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_schema::{ContentDigest, CrashRecord, CrashedRun, HeldRequest};
use tokio::time::Instant;

use crate::attribution::{CrashEvidence, TerminationCauses};
use crate::burst::{UpstreamTerminations, find_burst};
use crate::probe_turns::ProbeTurns;

/// When a request is quarantined.
#[derive(Clone, Copy, Debug)]
struct QuarantineRule {
    /// Number of consecutive runs that ended with their upstreams after which the request is
    /// quarantined.
    runs: usize,
    /// Length of the quarantine after the last of these runs; each further run doubles it.
    base: Duration,
}

/// Rule for a request that was never answered. With two runs, a request that was interrupted twice
/// for other reasons could not be retried by its caller; each further run costs a replica. Each
/// expiry of a quarantine may cost another replica, which takes half a minute to load elsewhere.
const NEVER_ANSWERED: QuarantineRule = QuarantineRule { runs: 3, base: Duration::from_secs(120) };
/// Quarantine of a request that was never answered and arrived in a burst. It is short, since
/// everything may have been lost at once. When it expires, one more duplicate is sent, which is
/// answered or confirms the suspicion.
const BURST_QUARANTINE: Duration = Duration::from_secs(10);
/// Quarantine after the first run that follows a burst. The upstream of a single request is seldom
/// lost for another reason, and each further run costs a replica.
const CONFIRMED_BURST_QUARANTINE: Duration = Duration::from_secs(30);
/// Time for which a daemon must have observed answers before the first run of a request to know
/// that the request was not answered: a request that is sent often is answered within this time.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(10);
/// Rule for a request of which no remaining daemon may know whether it was answered. After all
/// daemons that had seen it answered had terminated, a request was refused for two minutes because
/// heads had terminated under it in turn. A shorter quarantine ends with one duplicate, whose
/// answer clears the request or which costs one more replica.
const UNOBSERVED: QuarantineRule = QuarantineRule { runs: 3, base: Duration::from_secs(30) };
/// Rule for a request that was answered before. If many callers send the same request, it is in
/// progress at every upstream that terminates: while other requests crashed replica after replica,
/// such a request, which was answered ten times a second, was interrupted three times in turn and
/// then refused 725 times in a minute. A short quarantine allows a retry, and the first answer
/// clears the request.
const ANSWERED_BEFORE: QuarantineRule = QuarantineRule { runs: 6, base: Duration::from_secs(10) };
/// Smallest number of runs from which any quarantine or suspicion follows.
const MIN_RUNS: usize = 3;
/// Number of runs of a request that was never answered after which it is suspected, and sent only
/// as a probe request, although they are less evidence than a quarantine requires: runs that end two
/// at once and one later, or one and then two, are neither a burst nor three consecutive runs.
const SUSPECTED_RUNS: usize = 3;
/// Number of these runs that must be consecutive. One loss interrupts many runs at once.
const SUSPECTED_SEQUENCE: usize = 2;
/// Maximum length of a quarantine after the last run.
const MAX_QUARANTINE: Duration = Duration::from_secs(16 * 60);
/// Time after which a run no longer counts: the program that ran then, or the machine that it ran
/// on, may have changed.
const RETENTION: Duration = Duration::from_secs(60 * 60);
/// Number of doublings after which the shortest quarantine exceeds the longest.
const MAX_DOUBLINGS: u32 = 7;
/// Maximum number of runs kept of a request: as many as extend its quarantine to the maximum.
const MAX_RUNS: usize = 14;
/// Maximum number of requests kept, about 1 MB.
const MAX_REQUESTS: usize = 4096;
/// One in this many requests is evicted at once when there are too many, so that not every new
/// request costs a scan of all others.
const EVICTION_DIVISOR: usize = 8;
/// Maximum number of records in one message, so that many interrupted requests at once cost at most
/// 2.4 KB a message (16 records with three runs each, as encoded).
const MAX_SENT_RECORDS: usize = 16;
/// Maximum number of quarantined requests in one message.
const MAX_SENT_QUARANTINES: usize = 64;
/// Time after its end for which the only run of a request is sent again. A loss of many upstreams
/// interrupts thousands of requests once, and their records are of no use later: when they were
/// sent for an hour, 430 of them took 32 KB a second, although a gateway may send only 4 KB a
/// second of control messages.
const SINGLE_RUN_RESEND_TIME: Duration = Duration::from_secs(10);
/// Interval after which the records of a quarantined request are published again, for gateways that
/// have started since.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval after which a record is sent again, in case the message was lost or its receivers have
/// departed.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Quarantine of a request that is known to crash upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// The request must not be sent to any upstream for this time.
    Active(Duration),
    /// The request may be sent as a probe request; the quarantine expired this long ago. The
    /// quarantine of a request that is only suspected is empty: it expires with the last run.
    Expired(Duration),
}

/// A run during which its upstream's process terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TerminatedRun {
    /// Digest of the name of the upstream's instance.
    pub upstream: u64,
    /// When the request was sent to the upstream.
    pub sent: Instant,
    /// When the termination of the upstream was detected.
    pub ended: Instant,
    /// Hash of the organisation whose request it was; `None` if the content is specific to it.
    pub organisation: Option<u64>,
}

/// Whose requests a quarantine applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineScope {
    /// All requests with the content.
    All,
    /// Those of the organisation with this hash.
    Organisation(u64),
}

impl QuarantineScope {
    /// Returns the scope of a quarantine that follows from these runs.
    fn of(runs: &[TerminatedRun]) -> Self {
        let mut organisations = runs.iter().map(|run| run.organisation);
        match organisations.next() {
            Some(Some(first)) if organisations.all(|other| other == Some(first)) => {
                Self::Organisation(first)
            }
            _ => Self::All,
        }
    }

    /// Returns the scope that a message states.
    pub fn from_message(organisation: Option<u64>) -> Self {
        organisation.map_or(Self::All, Self::Organisation)
    }

    /// Returns whether the requests of an organisation are in the scope.
    pub fn includes(self, organisation: u64) -> bool {
        match self {
            Self::All => true,
            Self::Organisation(only) => only == organisation,
        }
    }

    fn to_message(self) -> Option<u64> {
        match self {
            Self::All => None,
            Self::Organisation(organisation) => Some(organisation),
        }
    }
}

/// A quarantine and the runs that it follows from.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    until: Instant,
    scope: QuarantineScope,
}

#[derive(Clone, Debug, Default)]
struct ContentEntry {
    runs: Vec<TerminatedRun>,
    answered: Option<Instant>,
    /// When another daemon last published that the request is known to crash upstreams.
    published: Option<Instant>,
    /// When the record was last sent; `None` if it has changed since.
    last_sent: Option<Instant>,
    /// When the record was last published as evidence; `None` if it has changed since.
    evidence_sent: Option<Instant>,
    /// Probe requests for the content.
    probes: ProbeTurns,
}

impl ContentEntry {
    /// Adds a run, or moves a known one to an earlier time; returns false if nothing changes.
    fn add_run(&mut self, run: TerminatedRun) -> bool {
        match self.runs.iter_mut().find(|known| known.upstream == run.upstream) {
            Some(known) if known.ended <= run.ended => return false,
            Some(known) => *known = run,
            None => self.runs.push(run),
        }
        self.runs.sort_by_key(|run| run.ended);
        let surplus = self.runs.len().saturating_sub(MAX_RUNS);
        self.runs.drain(..surplus);
        self.evidence_sent = None;
        true
    }

    fn last_end(&self) -> Option<Instant> {
        self.runs.last().map(|run| run.ended)
    }

    /// Returns the strength of all evidence against the content.
    fn evidence(&self) -> CrashEvidence {
        CrashEvidence { unanswered: self.answered.is_none(), runs: self.runs.len() }
    }

    /// Returns the runs that no content with stronger evidence accounts for.
    fn counted_runs(&self, causes: &TerminationCauses) -> Vec<TerminatedRun> {
        let evidence = self.evidence();
        let counts = |run: &&TerminatedRun| !causes.explains(run.upstream, evidence);
        self.runs.iter().filter(counts).copied().collect()
    }

    /// Counts the runs since the last complete answer, each sent after the previous one had ended.
    fn chain(&self) -> usize {
        count_sequence(&self.runs, self.answered)
    }

    /// Returns the key by which requests are ordered: first by how likely they crash upstreams,
    /// then by how recent their last run is.
    fn suspicion(&self) -> (usize, usize, Option<Instant>) {
        (self.chain(), self.runs.len(), self.last_end())
    }

    /// Returns whether the record is due to be sent: at once if it has changed, and otherwise at
    /// intervals. A record with a single run is sent again only for a limited time, unless it is
    /// part of the evidence against a request that was published at this time or later. An answer is
    /// sent again while a daemon publishes the request although it should have received the answer.
    fn is_due(&self, published_since: Option<Instant>, now: Instant) -> bool {
        let Some(last_sent) = self.last_sent else { return true };
        let within = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        let fresh = self.last_end().is_some_and(|ended| within(ended, SINGLE_RUN_RESEND_TIME));
        let listed =
            self.published.is_some_and(|at| published_since.is_none_or(|since| at >= since));
        let evidence = self.runs.len() > 1 || (listed && self.answered.is_none());
        let lacking = self.published.is_some_and(|at| at >= last_sent + RESEND_INTERVAL);
        !within(last_sent, RESEND_INTERVAL) && (fresh || evidence || lacking)
    }

    /// Returns the quarantine; `None` if the content is not known to crash upstreams.
    fn quarantine(&self, ledger: &CrashLedger, causes: &TerminationCauses) -> Option<Quarantine> {
        if self.runs.len() < MIN_RUNS {
            return None;
        }
        let runs = self.counted_runs(causes);
        let length = self
            .quarantine_by_sequence(&runs, ledger)
            .max(self.quarantine_by_burst(&runs, &ledger.terminations))
            .max(self.is_suspected(&runs).then_some(Duration::ZERO))?;
        let until = runs.last()?.ended + length.min(MAX_QUARANTINE);
        Some(Quarantine { until, scope: QuarantineScope::of(&runs) })
    }

    /// Returns the quarantine that follows from consecutive runs.
    fn quarantine_by_sequence(
        &self,
        runs: &[TerminatedRun],
        ledger: &CrashLedger,
    ) -> Option<Duration> {
        let rule = match (self.answered, runs.first()) {
            (Some(_), _) => ANSWERED_BEFORE,
            (None, Some(first)) if !ledger.was_observing(first.sent) => UNOBSERVED,
            (None, _) => NEVER_ANSWERED,
        };
        let beyond = count_sequence(runs, self.answered).checked_sub(rule.runs)?;
        Some(doubled(rule.base, beyond))
    }

    /// Returns whether the content may be sent only in a probe request, which is answered or adds
    /// the evidence that is missing.
    fn is_suspected(&self, runs: &[TerminatedRun]) -> bool {
        self.answered.is_none()
            && runs.len() >= SUSPECTED_RUNS
            && count_sequence(runs, None) >= SUSPECTED_SEQUENCE
    }

    /// Returns the quarantine that follows from a burst and the runs after it.
    fn quarantine_by_burst(
        &self,
        runs: &[TerminatedRun],
        terminations: &UpstreamTerminations,
    ) -> Option<Duration> {
        if self.answered.is_some() {
            return None;
        }
        let burst = find_burst(runs, terminations)?;
        Some(match count_sequence(runs, Some(burst)).checked_sub(1) {
            None => BURST_QUARANTINE,
            Some(further) => doubled(CONFIRMED_BURST_QUARANTINE, further),
        })
    }
}

/// Counts the runs that ended after a given time, each sent after the previous one had ended.
fn count_sequence(runs: &[TerminatedRun], since: Option<Instant>) -> usize {
    let mut count = 0;
    let mut last: Option<Instant> = None;
    for run in runs {
        let earlier = since.is_some_and(|since| since >= run.ended);
        if earlier || last.is_some_and(|last| run.sent < last) {
            continue;
        }
        count += 1;
        last = Some(run.ended);
    }
    count
}

/// Doubles a quarantine for each run beyond those that the rule requires.
fn doubled(first: Duration, beyond: usize) -> Duration {
    first * 2u32.pow(u32::try_from(beyond).unwrap_or(u32::MAX).min(MAX_DOUBLINGS))
}

/// Requests during which upstreams terminated.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    contents: HashMap<ContentDigest, ContentEntry>,
    terminations: UpstreamTerminations,
    /// Contents with enough runs to be quarantined.
    repeated: BTreeSet<ContentDigest>,
    /// Which terminations are accounted for; `None` since the last change.
    causes: RefCell<Option<Arc<TerminationCauses>>>,
    /// Since when this daemon has learnt of answers, its own and those of other daemons; `None` if
    /// it always has.
    observing_since: Option<Instant>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time since which the ledger has learnt of answers.
    pub fn with_observation_since(mut self, since: Instant) -> Self {
        self.observing_since = Some(since);
        self
    }

    /// Returns whether answers shortly before this time would be known.
    fn was_observing(&self, at: Instant) -> bool {
        self.observing_since.is_none_or(|since| since + MIN_OBSERVATION_TIME <= at)
    }

    /// Records that an upstream terminated while it ran a request.
    pub fn record_run(&mut self, request: ContentDigest, run: TerminatedRun) {
        self.terminations.record(run.upstream, run.ended);
        let entry = self.contents.entry(request).or_default();
        if entry.add_run(run) {
            entry.last_sent = None;
        }
        if entry.runs.len() >= MIN_RUNS {
            self.repeated.insert(request);
        }
        self.evict_surplus();
        self.causes.take();
    }

    /// Records that a request was answered completely. An unknown request is ignored.
    pub fn record_answer(&mut self, request: ContentDigest, at: Instant) {
        if let Some(entry) = self.contents.get_mut(&request) {
            set_answered(entry, at);
            self.causes.take();
        }
    }

    /// Records that a request which another daemon suspects was answered completely here.
    pub fn contradict(&mut self, request: ContentDigest, answered: Instant) {
        set_answered(self.contents.entry(request).or_default(), answered);
        self.evict_surplus();
        self.causes.take();
    }

    /// Records that another daemon has published that a request is known to crash upstreams. Runs
    /// that are known here are then sent as long as they count, since the daemons that have received
    /// them may all terminate; a contradicting answer is sent again if it was sent before.
    pub fn record_published(&mut self, request: ContentDigest, now: Instant) {
        if let Some(entry) = self.contents.get_mut(&request) {
            entry.published = Some(now);
        }
    }

    /// Merges records that another daemon sent.
    pub fn merge(&mut self, records: &[CrashRecord], now: Instant) {
        for record in records {
            let entry = self.contents.entry(record.request).or_default();
            let mut changed = false;
            for run in &record.runs {
                let times = (time_before(run.sent_ms, now), time_before(run.ended_ms, now));
                let (Some(sent), Some(ended)) = times else { continue };
                self.terminations.record(run.upstream, ended);
                let CrashedRun { upstream, organisation, .. } = *run;
                changed |= entry.add_run(TerminatedRun { upstream, sent, ended, organisation });
            }
            if changed {
                entry.last_sent = None;
            }
            if entry.runs.len() >= MIN_RUNS {
                self.repeated.insert(record.request);
            }
            if let Some(report) = &record.probe
                && entry.probes.merge(report, now)
            {
                entry.last_sent = None;
            }
            if let Some(answered) = record.answered_ms.and_then(|ms| time_before(ms, now)) {
                set_answered(entry, answered);
            }
        }
        self.evict_surplus();
        self.causes.take();
    }

    /// Returns the remaining quarantine of a content; `None` if an organisation's request with it may
    /// be sent.
    pub fn quarantine_left(
        &self,
        content: ContentDigest,
        organisation: u64,
        now: Instant,
    ) -> Option<Duration> {
        match self.quarantine_state(content, organisation, now)? {
            QuarantineState::Active(left) => Some(left),
            QuarantineState::Expired(_) => None,
        }
    }

    /// Returns the quarantine of a content for an organisation's requests; `None` if the content is
    /// not known to crash upstreams.
    pub fn quarantine_state(
        &self,
        content: ContentDigest,
        organisation: u64,
        now: Instant,
    ) -> Option<QuarantineState> {
        let entry = self.contents.get(&content)?;
        if entry.runs.len() < MIN_RUNS {
            return None;
        }
        let quarantine = entry.quarantine(self, &self.causes())?;
        if !quarantine.scope.includes(organisation) {
            return None;
        }
        Some(match quarantine.until.checked_duration_since(now) {
            Some(left) if !left.is_zero() => QuarantineState::Active(left),
            _ => QuarantineState::Expired(now.saturating_duration_since(quarantine.until)),
        })
    }

    /// Returns the contents that are known to crash upstreams, the latest end of quarantine first.
    pub fn quarantined(&self, now: Instant) -> Vec<HeldRequest> {
        let causes = self.causes();
        let known = |(content, entry): (&ContentDigest, &ContentEntry)| {
            let quarantine = entry.quarantine(self, &causes)?;
            Some((quarantine.until, *content, quarantine.scope))
        };
        let mut quarantined: Vec<_> = self.repeated_contents().filter_map(known).collect();
        quarantined.sort_by_key(|(until, content, _)| std::cmp::Reverse((*until, *content)));
        quarantined.truncate(MAX_SENT_QUARANTINES);
        let to_message = |(until, request, scope): (Instant, ContentDigest, QuarantineScope)| {
            let left_ms = to_ms(until.saturating_duration_since(now));
            let organisation = scope.to_message();
            HeldRequest { request, left_ms, organisation, released_ms: None, prober: None }
        };
        quarantined.into_iter().map(to_message).collect()
    }

    /// Returns the number of upstreams that terminated while they ran a content that was never
    /// answered, without those that another content accounts for.
    pub fn unanswered_runs(&self, content: ContentDigest) -> usize {
        let answered = self.contents.get(&content).is_some_and(|entry| entry.answered.is_some());
        if answered { 0 } else { self.count_runs(content) }
    }

    /// Returns the number of upstreams that terminated while they ran a content, without those that
    /// another content accounts for.
    pub fn count_runs(&self, content: ContentDigest) -> usize {
        let entry = self.contents.get(&content);
        entry.map_or(0, |entry| entry.counted_runs(&self.causes()).len())
    }

    /// Sets which gateway may send the next probe request for each content whose quarantine has ended.
    pub fn grant_probes(&mut self, quarantined: &mut [HeldRequest], now: Instant) {
        for held in quarantined.iter_mut().filter(|held| held.left_ms == 0) {
            if let Some(entry) = self.contents.get_mut(&held.request) {
                held.prober = entry.probes.grant(entry.last_end(), now);
            }
        }
    }

    /// Records that a gateway received a request that could serve as a probe request.
    pub fn record_probe_wanted(&mut self, content: ContentDigest, gateway: u64, now: Instant) {
        let entry = self.contents.entry(content).or_default();
        if entry.probes.record_wanted(gateway, now) {
            entry.last_sent = None;
        }
        self.evict_surplus();
    }

    /// Records that a gateway sends a probe request.
    pub fn record_probe_sent(&mut self, content: ContentDigest, gateway: u64, now: Instant) {
        let entry = self.contents.entry(content).or_default();
        entry.probes.record_sent(gateway, now);
        entry.last_sent = None;
        self.evict_surplus();
    }

    /// Records that a gateway's probe request did not run after all.
    pub fn withdraw_probe(&mut self, content: ContentDigest) {
        if let Some(entry) = self.contents.get_mut(&content) {
            entry.probes.withdraw();
        }
    }

    /// Returns which terminations are accounted for, and computes it after a change.
    fn causes(&self) -> Arc<TerminationCauses> {
        let mut causes = self.causes.borrow_mut();
        Arc::clone(causes.get_or_insert_with(|| Arc::new(self.attribute())))
    }

    /// Attributes terminations to contents.
    fn attribute(&self) -> TerminationCauses {
        let mut causes = TerminationCauses::new();
        let none = TerminationCauses::new();
        let accused = self.repeated_contents().filter(|(_, entry)| {
            entry.runs.len() >= MIN_RUNS && entry.quarantine(self, &none).is_some()
        });
        let mut accused: Vec<_> = accused.collect();
        accused.sort_by_key(|(content, entry)| std::cmp::Reverse((entry.evidence(), **content)));
        for (_, entry) in accused {
            if entry.quarantine(self, &causes).is_some() {
                let upstreams = entry.runs.iter().map(|run| run.upstream);
                causes.record(upstreams, entry.evidence());
            }
        }
        causes
    }

    fn repeated_contents(&self) -> impl Iterator<Item = (&ContentDigest, &ContentEntry)> {
        self.repeated.iter().filter_map(|content| self.contents.get_key_value(content))
    }

    /// Returns the records that are due to be sent now: those that have changed, and those not sent
    /// for a while.
    pub fn due(&mut self, now: Instant) -> Vec<CrashRecord> {
        let since = self.latest_list_time();
        let mut due: Vec<_> =
            self.contents.iter_mut().filter(|(_, entry)| entry.is_due(since, now)).collect();
        // Requests most likely to be quarantined come first, and of these the most recent. Digests
        // decide among the others, so that the result does not depend on the order of the map.
        due.sort_by_key(|(request, entry)| std::cmp::Reverse((entry.suspicion(), **request)));
        due.truncate(MAX_SENT_RECORDS);
        let mut records = Vec::with_capacity(due.len());
        for (request, entry) in due {
            entry.last_sent = Some(now);
            records.push(to_record(*request, entry, now));
        }
        records
    }

    /// Returns since when the requests of the latest list were published, `None` if no more requests
    /// than a list holds were ever published. Lists change, and only the latest one's requests are
    /// still known to crash upstreams.
    fn latest_list_time(&self) -> Option<Instant> {
        let mut times: Vec<Instant> =
            self.contents.values().filter_map(|entry| entry.published).collect();
        if times.len() <= MAX_SENT_QUARANTINES {
            return None;
        }
        times.sort_unstable();
        Some(times[times.len() - MAX_SENT_QUARANTINES])
    }

    /// Returns the records of these quarantined requests that are due to be published now, so that
    /// those who receive them can tell them to the next leader.
    pub fn evidence_due(&mut self, quarantined: &[HeldRequest], now: Instant) -> Vec<CrashRecord> {
        let mut records = Vec::new();
        for held in quarantined {
            let Some(entry) = self.contents.get_mut(&held.request) else { continue };
            let recent = |at: Instant| now.saturating_duration_since(at) < EVIDENCE_INTERVAL;
            if records.len() < MAX_SENT_RECORDS && !entry.evidence_sent.is_some_and(recent) {
                entry.evidence_sent = Some(now);
                records.push(to_record(held.request, entry, now));
            }
        }
        records
    }

    /// Makes all records due to be sent, as if they had changed.
    pub fn resend_all(&mut self) {
        self.contents.values_mut().for_each(|entry| entry.last_sent = None);
    }

    /// Removes the records of all requests but those selected.
    pub fn retain(&mut self, selected: impl Fn(ContentDigest) -> bool) {
        self.contents.retain(|request, _| selected(*request));
        self.causes.take();
    }

    /// Removes runs that are older than the retention time.
    pub fn prune(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.terminations.prune(recent);
        let before = self.contents.len();
        self.contents.retain(|_, entry| {
            entry.runs.retain(|run| recent(run.ended));
            let kept = !entry.runs.is_empty() || entry.answered.is_some_and(recent);
            kept || entry.probes.is_recent(now)
        });
        if self.contents.len() < before {
            let contents = &self.contents;
            self.repeated.retain(|content| contents.contains_key(content));
            self.causes.take();
        }
    }

    /// Returns the number of requests kept.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Returns whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Evicts the least suspected requests if there are too many, several at once.
    fn evict_surplus(&mut self) {
        if self.contents.len() <= MAX_REQUESTS {
            return;
        }
        let suspicion =
            |(request, entry): (&ContentDigest, &ContentEntry)| (entry.suspicion(), *request);
        let mut suspicions: Vec<_> = self.contents.iter().map(suspicion).collect();
        suspicions.sort_unstable();
        for (_, request) in suspicions.iter().take(MAX_REQUESTS / EVICTION_DIVISOR) {
            self.contents.remove(request);
        }
        let contents = &self.contents;
        self.repeated.retain(|content| contents.contains_key(content));
    }
}

fn set_answered(entry: &mut ContentEntry, at: Instant) {
    // When the same answer is reported again with some delay, it seems a little later each time,
    // which is no change. A later answer matters only if it follows a run.
    let matters = entry.runs.is_empty() && entry.answered.is_none()
        || entry.runs.iter().any(|run| run.ended <= at && entry.answered < Some(run.ended));
    entry.answered = entry.answered.max(Some(at));
    if matters {
        entry.last_sent = None;
    }
}

fn to_record(request: ContentDigest, entry: &ContentEntry, now: Instant) -> CrashRecord {
    let age = |at: Instant| to_ms(now.saturating_duration_since(at));
    let to_message = |run: &TerminatedRun| CrashedRun {
        upstream: run.upstream,
        sent_ms: age(run.sent),
        ended_ms: age(run.ended),
        organisation: run.organisation,
    };
    CrashRecord {
        request,
        runs: entry.runs.iter().map(to_message).collect(),
        answered_ms: entry.answered.map(age),
        probe: entry.probes.to_report(now),
    }
}

pub(crate) fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

pub(crate) fn time_before(ms: u32, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(ms.into()))
}
