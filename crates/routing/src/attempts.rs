//! Counts the attempts of one request, and decides whether another attempt may follow.
//!
//! Load pattern: workers that start to run a request and then stop answering, or truncate their
//! answers. Each attempt that is given up may have run, and the caller's route limits the number of
//! workers that may run the request.
//!
//! Invariant: an attempt that may have run counts as run, both against that limit and in the answer
//! to the caller. Without this rule, six requests ran on three workers each although their route
//! allows two.

use hollowbarrow_schema::ErrorRan;
use tokio::time::Instant;

use crate::retry::{AttemptUpstreamError, RetryBudget};

/// Maximum number of times that a request is sent. Attempts that were rejected count too, since
/// each of them costs the caller a round trip.
const MAX_SENDS: u32 = 4;

/// Bounds on the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBounds {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of workers that may run the request.
    pub max_runs: u32,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptLedger {
    sends: u32,
    runs: u32,
    /// Whether the outcome of the last send has not been recorded yet.
    pending: bool,
    /// Whether the next attempt has already been charged to the budget.
    budgeted: bool,
}

impl AttemptLedger {
    /// Creates the ledger of a request that has not been sent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how often the request was sent, or a connection for it was requested.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Records that the request is sent to a worker.
    pub fn record_send(&mut self) {
        self.sends += 1;
        self.pending = true;
    }

    /// Records the outcome of a send. Each outcome is recorded once, when the answer begins or the
    /// attempt has failed.
    pub fn record_outcome(&mut self, ran: ErrorRan) {
        self.pending = false;
        if ran != ErrorRan::NotRun {
            self.runs += 1;
        }
    }

    /// Records that another attempt was charged to the budget before the one in progress is given
    /// up. Giving up an attempt that cannot be retried would only lose it.
    pub fn record_budgeted(&mut self) {
        self.budgeted = true;
    }

    /// Returns whether any worker may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether no attempt may follow the one in progress, so that nothing is gained by
    /// giving it up when its worker stops answering.
    pub fn is_last(&self, bounds: &AttemptBounds) -> bool {
        let runs = self.runs + u32::from(self.pending);
        !bounds.repeatable || runs >= bounds.max_runs || self.sends >= MAX_SENDS
    }

    /// Returns whether another attempt may follow this failure, and charges it to the budget if so.
    pub fn may_repeat(
        &mut self,
        bounds: &AttemptBounds,
        error: &AttemptUpstreamError,
        budget: &RetryBudget,
        now: Instant,
    ) -> bool {
        let safe = bounds.repeatable || !self.may_have_run();
        let bounded = self.runs < bounds.max_runs && self.sends < MAX_SENDS;
        if !safe || !bounded || now >= bounds.deadline {
            return false;
        }
        // A lost carrier breaks all its connections at once, more than a daemon has saved up, and an
        // upstream's overload has no part in it.
        let carrier_lost = *error == AttemptUpstreamError::CarrierLost && self.runs == 1;
        let is_free = error.is_unsent() || carrier_lost;
        is_free || std::mem::take(&mut self.budgeted) || budget.take(now)
    }
}
