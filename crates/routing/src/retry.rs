//! Decides which requests may be retried, and what the caller is told.
//!
//! The rules depend on whether the request can have run. It cannot have run only if no byte of it
//! was sent, or if an upstream that reports this reliably refused it.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use hollowbarrow_schema::ErrorRan;
use thiserror::Error;
use tokio::time::Instant;

/// Retries earned by each request that is sent.
const BUDGET_RATIO: f64 = 0.1;
/// Retries allowed each second, whatever the traffic.
const BUDGET_FLOOR: f64 = 5.0;
/// Maximum number of retries that can be saved up.
const BUDGET_MOST: f64 = 100.0;
/// Maximum number of attempts for one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Failure of an attempt at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AttemptUpstreamError {
    /// No connection was established, so no byte was sent.
    #[error("the upstream could not be reached")]
    NotReached,
    /// The upstream's lease expired before the first byte was sent.
    #[error("the upstream's lease ran out before the request was sent")]
    NotSent,
    /// The connection closed before the first byte was written, or the request cannot be written.
    #[error("the request could not be written to the upstream")]
    NotWritten,
    /// The upstream asked for a backoff before the first byte was sent.
    #[error("the upstream asked for a backoff")]
    BackedOff,
    /// The upstream refused the request, and its report that it did not run the request is
    /// reliable.
    #[error("the upstream refused the request with status {status}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Time after which the upstream asks for a retry.
        retry_after: Option<Duration>,
    },
    /// Part of the request was sent and no answer was received.
    #[error("the upstream did not answer")]
    NoAnswer,
    /// The connection closed before the answer was complete, for example because the upstream's
    /// process terminated.
    #[error("the upstream's connection broke")]
    ConnectionLost {
        /// Number of tokens received completely.
        tokens: u32,
    },
    /// The connection broke at the daemon that carried it for this one, which says nothing about the
    /// upstream.
    #[error("the connection broke at the daemon that carried it")]
    CarrierLost,
    /// The answer was truncated, or violated the protocol after part of it was received.
    #[error("the upstream's answer broke off: {reason}")]
    BrokenAnswer {
        /// The fault in the answer.
        reason: &'static str,
        /// Number of tokens received completely.
        tokens: u32,
    },
    /// The time limit of the request expired.
    #[error("the deadline passed")]
    DeadlinePassed {
        /// Whether any byte of the request had been sent.
        sent: bool,
    },
}

impl AttemptUpstreamError {
    /// Returns whether the request ran, as far as is known.
    pub fn ran(&self) -> ErrorRan {
        match self {
            Self::NotReached
            | Self::NotSent
            | Self::NotWritten
            | Self::BackedOff
            | Self::Refused { .. } => ErrorRan::NotRun,
            Self::DeadlinePassed { sent: false } => ErrorRan::NotRun,
            Self::NoAnswer
            | Self::CarrierLost
            | Self::ConnectionLost { .. }
            | Self::BrokenAnswer { .. }
            | Self::DeadlinePassed { sent: true } => ErrorRan::Unknown,
        }
    }

    /// Returns whether this side withdrew the attempt before it sent anything, because the state of
    /// the upstream had changed since it was selected. Such an attempt does not count.
    pub fn is_withdrawn(&self) -> bool {
        matches!(self, Self::NotSent | Self::BackedOff)
    }

    /// Returns whether nothing of the request can have reached the upstream, so that another attempt
    /// adds no load.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotReached | Self::NotSent | Self::NotWritten | Self::BackedOff)
    }

    /// Returns whether the failure counts against the upstream. An upstream that asks for a backoff
    /// states when it accepts requests again; if it also counted as failing, it would not be
    /// selected at that time.
    pub fn blames_upstream(&self) -> bool {
        !matches!(
            self,
            Self::BackedOff | Self::CarrierLost | Self::Refused { retry_after: Some(_), .. }
        )
    }
}

/// State of a request when an attempt fails.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the engine can continue an answer from a given token.
    pub resumable: bool,
    /// Whether part of the answer has been sent to the caller.
    pub answer_started: bool,
    /// Number of attempts so far, without those that were withdrawn.
    pub attempts: u32,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// Send the complete request to another upstream.
    Again,
    /// Have another upstream continue from the last token.
    Resume,
    /// Report the failure to the caller, with whether the request ran.
    GiveUp(ErrorRan),
}

/// Decides what follows a failed attempt. The budget is charged only if a retry is safe, and not
/// after an attempt that sent nothing.
///
/// The first resumption of an answer is not charged to the budget: a failing replica interrupts all
/// of its answers at once, which may exceed what the traffic has earned. Such resumptions cannot
/// amplify an outage, since each of these answers had a working upstream and continues where that
/// upstream stopped.
pub fn decide_retry(
    facts: &RequestFacts,
    error: &AttemptUpstreamError,
    budget: &RetryBudget,
    now: Instant,
) -> RetryStep {
    let ran = error.ran();
    let give_up = RetryStep::GiveUp(if facts.answer_started { ErrorRan::Unknown } else { ran });
    if now >= facts.deadline || matches!(error, AttemptUpstreamError::DeadlinePassed { .. }) {
        return give_up;
    }
    let safe = ran == ErrorRan::NotRun || facts.repeatable;
    let possible = !facts.answer_started || facts.resumable;
    if !safe || !possible || facts.attempts >= MAX_ATTEMPTS {
        return give_up;
    }
    let first_resumption = facts.answer_started && facts.attempts == 1;
    if !first_resumption && !error.is_unsent() && !budget.take(now) {
        return give_up;
    }
    if facts.answer_started { RetryStep::Resume } else { RetryStep::Again }
}

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Retries earned each second, whatever the traffic.
    pub floor: f64,
    /// Maximum number of retries that can be saved up.
    pub most: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { ratio: BUDGET_RATIO, floor: BUDGET_FLOOR, most: BUDGET_MOST }
    }
}

#[derive(Debug)]
struct BudgetState {
    limits: RetryLimits,
    tokens: f64,
    filled: Instant,
}

/// Bounds retries to a share of the traffic, so that they cannot amplify an outage.
#[derive(Debug)]
pub struct RetryBudget {
    state: Mutex<BudgetState>,
}

impl RetryBudget {
    /// Creates a budget that holds the retries earned in one second by the floor.
    pub fn new(now: Instant) -> Self {
        Self::with_limits(RetryLimits::default(), now)
    }

    /// Creates a budget with the given limits.
    pub fn with_limits(limits: RetryLimits, now: Instant) -> Self {
        let tokens = limits.floor.min(limits.most);
        Self { state: Mutex::new(BudgetState { limits, tokens, filled: now }) }
    }

    /// Changes the limits; retries saved beyond the new maximum are lost.
    pub fn set_limits(&self, limits: RetryLimits) {
        let mut state = self.lock();
        state.tokens = state.tokens.min(limits.most);
        state.limits = limits;
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn record_request(&self) {
        let mut state = self.lock();
        state.tokens = (state.tokens + state.limits.ratio).min(state.limits.most);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn take(&self, now: Instant) -> bool {
        let mut state = self.lock();
        let elapsed = now.saturating_duration_since(state.filled).as_secs_f64();
        state.filled = now;
        let floor = state.limits.floor;
        let refilled = state.tokens + (elapsed * floor).min(floor);
        state.tokens = refilled.min(state.limits.most);
        if state.tokens < 1.0 {
            return false;
        }
        state.tokens -= 1.0;
        true
    }

    /// Returns a retry that was taken and not made.
    pub fn give_back(&self) {
        let mut state = self.lock();
        state.tokens = (state.tokens + 1.0).min(state.limits.most);
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
