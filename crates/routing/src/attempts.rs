//! Counts what was done for one request, and decides whether another attempt may follow.
//!
//! Load pattern: workers that run what they get and then fall silent, or break off. Each attempt
//! that is given up may have run, and the caller's route bounds on how many workers it may run.
//!
//! Invariant: whatever may have run counts as run, both against that bound and in what the caller
//! is told. Without it, six requests ran at three workers each where their route allows two.

use hollowbarrow_schema::ErrorRan;
use tokio::time::Instant;

use crate::retry::{AttemptUpstreamError, RetryBudget};

/// Most times that a request is sent, attempts that were turned away included: each of them costs
/// its caller the time of a round trip.
const MAX_SENDS: u32 = 4;

/// What bounds the attempts at a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBounds {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Most workers that it may run on.
    pub max_runs: u32,
    /// When it must be done.
    pub deadline: Instant,
}

/// What was done for one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptLedger {
    sends: u32,
    runs: u32,
    /// Whether what came of the last send is not noted yet.
    pending: bool,
    /// Whether the next attempt was taken from the budget already.
    budgeted: bool,
}

impl AttemptLedger {
    /// Creates the ledger of a request that was sent nowhere yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Times that the request was sent, or that a connection for it was asked for.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Notes that the request goes to a worker.
    pub fn record_send(&mut self) {
        self.sends += 1;
        self.pending = true;
    }

    /// Notes what came of a send: each is noted once, when its answer begins or it has failed.
    pub fn record_outcome(&mut self, ran: ErrorRan) {
        self.pending = false;
        if ran != ErrorRan::NotRun {
            self.runs += 1;
        }
    }

    /// Notes that another attempt was taken from the budget before the one under way is given up:
    /// to give up what cannot be tried again would only lose it.
    pub fn record_budgeted(&mut self) {
        self.budgeted = true;
    }

    /// Whether any worker may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Whether no attempt may follow the one that is under way if its worker falls silent, so that
    /// nothing is gained by giving it up.
    pub fn is_last(&self, bounds: &AttemptBounds) -> bool {
        let runs = self.runs + u32::from(self.pending);
        !bounds.repeatable || runs >= bounds.max_runs || self.sends >= MAX_SENDS
    }

    /// Whether another attempt may follow this failure; takes it from the budget if so.
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
        // What never arrived at a worker amplifies nothing.
        let arrived = !matches!(
            error,
            AttemptUpstreamError::NotReached
                | AttemptUpstreamError::NotSent
                | AttemptUpstreamError::BackedOff
        );
        !arrived || std::mem::take(&mut self.budgeted) || budget.take(now)
    }
}
