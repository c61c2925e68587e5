//! What one daemon knows of requests that crash upstreams, and what it sends to other daemons.
//!
//! A daemon forwards the runs that it observed or received, which keep their age, but only those
//! answers that it observed itself: an answer that was forwarded in a circle would seem newer each
//! time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hollowbarrow_schema::{CrashRecord, RequestDigest};
use tokio::time::Instant;

use crate::crashes::{CrashLedger, QuarantineState, TerminatedRun, to_ms};

/// Maximum number of answers remembered, about 0.2 MB: those of a minute at 70 requests a second,
/// the load of the busiest daemon at the planned size.
const MAX_ANSWERS: usize = 4096;

/// When requests were last answered completely by this daemon; the oldest are evicted first.
#[derive(Debug, Default)]
struct RecentAnswers {
    at: HashMap<RequestDigest, Instant>,
    order: VecDeque<(RequestDigest, Instant)>,
}

impl RecentAnswers {
    fn record(&mut self, request: RequestDigest, now: Instant) {
        self.at.insert(request, now);
        self.order.push_back((request, now));
        while self.order.len() > MAX_ANSWERS {
            let Some((oldest, at)) = self.order.pop_front() else { return };
            if self.at.get(&oldest) == Some(&at) {
                self.at.remove(&oldest);
            }
        }
    }

    fn get(&self, request: RequestDigest) -> Option<Instant> {
        self.at.get(&request).copied()
    }
}

/// Tracks which requests must not be sent to any upstream.
#[derive(Debug, Default)]
pub struct CrashTracker {
    ledger: CrashLedger,
    answers: RecentAnswers,
}

impl CrashTracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream terminated while it ran a request.
    pub fn record_run(&mut self, request: RequestDigest, run: TerminatedRun) {
        self.ledger.record_run(request, run);
        self.contradict(request);
    }

    /// Records that a request was answered completely.
    pub fn record_answer(&mut self, request: RequestDigest, now: Instant) {
        self.ledger.record_answer(request, now);
        self.answers.record(request, now);
    }

    /// Returns whether this daemon recently answered this request.
    pub fn was_answered(&self, request: RequestDigest) -> bool {
        self.answers.get(request).is_some()
    }

    /// Adds the time at which this daemon answered a suspected request to the records it sends;
    /// returns false if it has not answered the request.
    pub fn contradict(&mut self, request: RequestDigest) -> bool {
        let Some(answered) = self.answers.get(request) else { return false };
        self.ledger.contradict(request, answered);
        true
    }

    /// Records an operator's decision that a request is harmless: upstreams that terminated under
    /// it until then no longer count, here and at every daemon that receives the record.
    pub fn release(&mut self, request: RequestDigest, at: Instant) {
        self.ledger.contradict(request, at);
        if self.answers.get(request).is_none_or(|known| known < at) {
            self.answers.record(request, at);
        }
    }

    /// Records that another daemon has published that a request is known to crash upstreams, so
    /// that what is known of it here is sent as long as it counts.
    pub fn record_published(&mut self, request: RequestDigest, now: Instant) {
        self.ledger.record_published(request, now);
    }

    /// Merges records that another daemon sent.
    pub fn merge(&mut self, records: &[CrashRecord], now: Instant) {
        self.ledger.merge(records, now);
        for record in records {
            self.contradict(record.request);
        }
    }

    /// Returns the remaining quarantine of a request; `None` if the request may be sent.
    pub fn quarantine_left(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        self.ledger.quarantine_left(request, now)
    }

    /// Returns the quarantine of a request; `None` if the request is not known to crash upstreams.
    pub fn quarantine_state(
        &self,
        request: RequestDigest,
        now: Instant,
    ) -> Option<QuarantineState> {
        self.ledger.quarantine_state(request, now)
    }

    /// Returns the records that are due to be sent now, and removes those that are too old.
    pub fn due(&mut self, now: Instant) -> Vec<CrashRecord> {
        self.ledger.prune(now);
        let mut records = self.ledger.due(now);
        for record in &mut records {
            let answered = self.answers.get(record.request);
            record.answered_ms = answered.map(|at| to_ms(now.saturating_duration_since(at)));
        }
        records.retain(|record| !record.runs.is_empty() || record.answered_ms.is_some());
        records
    }
}
