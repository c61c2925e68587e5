//! What one daemon knows of requests that crash upstreams, and what it sends to other daemons.
//!
//! A daemon forwards the runs that it observed or received, which keep their age, but only those
//! answers that it observed itself: an answer that was forwarded in a circle would seem newer each
//! time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hollowbarrow_schema::{ContentDigest, CrashRecord};
use tokio::time::Instant;

use crate::content::RequestContents;
use crate::crashes::{CrashLedger, QuarantineState, TerminatedRun, to_ms};

/// Maximum number of answered contents of each kind that are remembered, about 0.2 MB. Whole requests
/// of a minute at 70 requests a second, the load of the busiest daemon at the planned size, and parts
/// for as long as there are fewer of them.
const MAX_ANSWERS: usize = 4096;

/// Number of upstreams that must have terminated under a content that was never answered for it to be
/// suspected here. One is often lost for other reasons.
const SUSPECTED_RUNS: usize = 2;

/// When contents were last answered completely by this daemon; those whose last answer is the oldest
/// are evicted first.
#[derive(Debug, Default)]
struct RecentAnswers {
    at: HashMap<ContentDigest, Instant>,
    /// Each content once, with a time that may be earlier than its last answer.
    order: VecDeque<(ContentDigest, Instant)>,
}

impl RecentAnswers {
    fn record(&mut self, content: ContentDigest, now: Instant) {
        if self.at.insert(content, now).is_none() {
            self.order.push_back((content, now));
        }
        while self.at.len() > MAX_ANSWERS {
            let Some((oldest, at)) = self.order.pop_front() else { return };
            match self.at.get(&oldest) {
                Some(latest) if *latest > at => self.order.push_back((oldest, *latest)),
                _ => drop(self.at.remove(&oldest)),
            }
        }
    }

    fn get(&self, content: ContentDigest) -> Option<Instant> {
        self.at.get(&content).copied()
    }
}

/// What an answer shows about the request that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProof {
    /// The upstream completed what was asked of it.
    Success,
    /// The upstream rejected the request as such, and may have read no part of its prompt.
    Rejection,
}

/// Whether a content is known to be harmless at this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStanding {
    /// A request with it was answered completely.
    Answered,
    /// Nothing is known, or one upstream terminated while it ran a request with it.
    Unknown,
    /// Several upstreams terminated while they ran requests with it, and none was answered.
    Suspected,
}

/// Tracks which requests must not be sent to any upstream.
#[derive(Debug, Default)]
pub struct CrashTracker {
    ledger: CrashLedger,
    /// Answers to whole requests.
    answers: RecentAnswers,
    /// Answers to requests with parts.
    part_answers: RecentAnswers,
}

impl CrashTracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream terminated while it ran a request; the organisation of the run is
    /// that of the request.
    ///
    /// Parts that this daemon has answered are accused only if it has answered all of them.
    pub fn record_run(&mut self, contents: &RequestContents, run: TerminatedRun) {
        self.ledger.record_run(contents.whole(), TerminatedRun { organisation: None, ..run });
        self.contradict(contents.whole());
        let mut accused = self.unanswered_parts(contents);
        if accused.is_empty() {
            accused = contents.parts().to_vec();
        }
        let organisation = Some(contents.organisation());
        for part in accused {
            self.ledger.record_run(part, TerminatedRun { organisation, ..run });
            self.contradict(part);
        }
    }

    /// Returns the parts of a request that this daemon does not know to be harmless.
    pub fn unanswered_parts(&self, contents: &RequestContents) -> Vec<ContentDigest> {
        let parts = contents.parts().iter().copied();
        parts.filter(|part| self.standing(*part) != ContentStanding::Answered).collect()
    }

    /// Returns what is known of a whole request or of a part.
    pub fn standing(&self, content: ContentDigest) -> ContentStanding {
        if self.last_answer(content).is_some() {
            ContentStanding::Answered
        } else if self.ledger.unanswered_runs(content) >= SUSPECTED_RUNS {
            ContentStanding::Suspected
        } else {
            ContentStanding::Unknown
        }
    }

    /// Records that a request was answered completely.
    pub fn record_answer(&mut self, contents: &RequestContents, proof: AnswerProof, now: Instant) {
        self.ledger.record_answer(contents.whole(), now);
        self.answers.record(contents.whole(), now);
        if proof == AnswerProof::Success {
            for part in contents.parts() {
                self.ledger.record_answer(*part, now);
                self.part_answers.record(*part, now);
            }
        }
    }

    fn last_answer(&self, content: ContentDigest) -> Option<Instant> {
        self.answers.get(content).max(self.part_answers.get(content))
    }

    /// Adds the time at which this daemon answered a suspected request to the records it sends;
    /// returns false if it has not answered the request.
    pub fn contradict(&mut self, request: ContentDigest) -> bool {
        let Some(answered) = self.last_answer(request) else { return false };
        self.ledger.contradict(request, answered);
        true
    }

    /// Records an operator's decision that a request is harmless: upstreams that terminated under
    /// it until then no longer count, here and at every daemon that receives the record.
    pub fn release(&mut self, request: ContentDigest, at: Instant) {
        self.ledger.contradict(request, at);
        // The operator names a whole request or a part, and does not say which.
        for answers in [&mut self.answers, &mut self.part_answers] {
            if answers.get(request).is_none_or(|known| known < at) {
                answers.record(request, at);
            }
        }
    }

    /// Records that another daemon has published that a request is known to crash upstreams, so
    /// that what is known of it here is sent as long as it counts.
    pub fn record_published(&mut self, request: ContentDigest, now: Instant) {
        self.ledger.record_published(request, now);
    }

    /// Records that this gateway received a request that could serve as a probe request.
    pub fn record_probe_wanted(&mut self, content: ContentDigest, gateway: u64, now: Instant) {
        self.ledger.record_probe_wanted(content, gateway, now);
    }

    /// Records that this gateway sends a probe request.
    pub fn record_probe_sent(&mut self, content: ContentDigest, gateway: u64, now: Instant) {
        self.ledger.record_probe_sent(content, gateway, now);
    }

    /// Records that a probe request of this gateway did not run after all.
    pub fn withdraw_probe(&mut self, content: ContentDigest) {
        self.ledger.withdraw_probe(content);
    }

    /// Merges records that another daemon sent.
    pub fn merge(&mut self, records: &[CrashRecord], now: Instant) {
        self.ledger.merge(records, now);
        for record in records {
            self.contradict(record.request);
        }
    }

    /// Returns the remaining quarantine of a content; `None` if an organisation's request with it may
    /// be sent.
    pub fn quarantine_left(
        &self,
        content: ContentDigest,
        organisation: u64,
        now: Instant,
    ) -> Option<Duration> {
        self.ledger.quarantine_left(content, organisation, now)
    }

    /// Returns the quarantine of a content for an organisation's requests; `None` if the content is
    /// not known to crash upstreams.
    pub fn quarantine_state(
        &self,
        content: ContentDigest,
        organisation: u64,
        now: Instant,
    ) -> Option<QuarantineState> {
        self.ledger.quarantine_state(content, organisation, now)
    }

    /// Returns the records that are due to be sent now, and removes those that are too old.
    pub fn due(&mut self, now: Instant) -> Vec<CrashRecord> {
        self.ledger.prune(now);
        let mut records = self.ledger.due(now);
        for record in &mut records {
            let answered = self.last_answer(record.request);
            record.answered_ms = answered.map(|at| to_ms(now.saturating_duration_since(at)));
        }
        records.retain(|record| {
            !record.runs.is_empty() || record.answered_ms.is_some() || record.probe.is_some()
        });
        records
    }
}
