//! What one daemon knows of requests under which upstreams end, and what it tells others.
//!
//! A daemon passes on the runs that it saw or heard of, which keep their age on the way, but only
//! those answers that it saw itself: an answer that went round would seem newer each time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hollowbarrow_schema::{CrashRecord, RequestDigest};
use tokio::time::Instant;

use crate::crashes::{CrashLedger, QuarantineState, TerminatedRun, to_ms};

/// Answers that are remembered, about 0.2 MB: those of a minute at 70 requests a second, the
/// busiest daemon at the size that is planned for.
const MAX_ANSWERS: usize = 4096;

/// When requests were last answered whole here; the oldest are forgotten first.
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

/// Knows which requests are to be sent to no upstream.
#[derive(Debug, Default)]
pub struct CrashTracker {
    ledger: CrashLedger,
    answers: RecentAnswers,
}

impl CrashTracker {
    /// Creates a watch that knows of no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an upstream ended while it ran a request.
    pub fn record_run(&mut self, request: RequestDigest, run: TerminatedRun) {
        self.ledger.record_run(request, run);
        self.contradict(request);
    }

    /// Notes that a request was answered whole.
    pub fn record_answer(&mut self, request: RequestDigest, now: Instant) {
        self.ledger.record_answer(request, now);
        self.answers.record(request, now);
    }

    /// Whether such a request was answered here lately.
    pub fn was_answered(&self, request: RequestDigest) -> bool {
        self.answers.get(request).is_some()
    }

    /// Has it said from now on when a suspected request was answered here; false if it was not.
    pub fn contradict(&mut self, request: RequestDigest) -> bool {
        let Some(answered) = self.answers.get(request) else { return false };
        self.ledger.contradict(request, answered);
        true
    }

    /// Takes an operator's word that a request does no harm: what had ended under it by then counts
    /// no more, here and wherever this is told.
    pub fn release(&mut self, request: RequestDigest, at: Instant) {
        self.ledger.contradict(request, at);
        if self.answers.get(request).is_none_or(|known| known < at) {
            self.answers.record(request, at);
        }
    }

    /// Takes in what another daemon told.
    pub fn merge(&mut self, records: &[CrashRecord], now: Instant) {
        self.ledger.merge(records, now);
        for record in records {
            self.contradict(record.request);
        }
    }

    /// For how long a request is to be sent to no upstream; none where it may be.
    pub fn quarantine_left(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        self.ledger.quarantine_left(request, now)
    }

    /// How a request is held; none where it is not known to end upstreams.
    pub fn quarantine_state(
        &self,
        request: RequestDigest,
        now: Instant,
    ) -> Option<QuarantineState> {
        self.ledger.quarantine_state(request, now)
    }

    /// Records to tell others now; forgets what is too old.
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
