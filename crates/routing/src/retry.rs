//! What may be tried again, and what the caller is told.
//!
//! The rules turn on one question: can the request have run? Only where no
//! byte of it left, or an upstream that is known to say so truthfully refused
//! it, is the answer no.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use hollowbarrow_schema::ErrorRan;
use thiserror::Error;
use tokio::time::Instant;

/// Retries allowed for each request that was sent.
const BUDGET_RATIO: f64 = 0.1;
/// Retries allowed each second whatever the traffic.
const BUDGET_FLOOR: f64 = 5.0;
/// Most retries saved up.
const BUDGET_MOST: f64 = 100.0;
/// Most attempts at one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// How an attempt at an upstream failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AttemptUpstreamError {
    /// No connection was made, so no byte left.
    #[error("the upstream could not be reached")]
    NotReached,
    /// The lease or deadline ran out before the first byte left.
    #[error("the upstream's lease ran out before the request was sent")]
    NotSent,
    /// The upstream asked for no requests before the first byte left.
    #[error("the upstream wants no requests for now")]
    BackedOff,
    /// The upstream refused and is known to say truthfully that it ran nothing.
    #[error("the upstream refused the request with status {status}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// When the upstream wants it to be tried again.
        retry_after: Option<Duration>,
    },
    /// Some of the request left and no answer came.
    #[error("the upstream did not answer")]
    NoAnswer,
    /// The connection ended before the answer was whole, as it does where the upstream ends.
    #[error("the upstream's connection broke")]
    ConnectionLost {
        /// Tokens that had come whole.
        tokens: u32,
    },
    /// The answer broke off or broke the protocol after some of it came.
    #[error("the upstream's answer broke off: {reason}")]
    BrokenAnswer {
        /// What was wrong.
        reason: &'static str,
        /// Tokens that had come whole.
        tokens: u32,
    },
    /// The time for the request ran out.
    #[error("the deadline passed")]
    DeadlinePassed {
        /// Whether a byte of the request had left.
        sent: bool,
    },
}

impl AttemptUpstreamError {
    /// Whether the request ran, as far as can be known.
    pub fn ran(&self) -> ErrorRan {
        match self {
            Self::NotReached | Self::NotSent | Self::BackedOff | Self::Refused { .. } => {
                ErrorRan::NotRun
            }
            Self::DeadlinePassed { sent: false } => ErrorRan::NotRun,
            Self::NoAnswer
            | Self::ConnectionLost { .. }
            | Self::BrokenAnswer { .. }
            | Self::DeadlinePassed { sent: true } => ErrorRan::Unknown,
        }
    }

    /// Whether the failure speaks against the upstream. One that asks for a backoff says itself
    /// when it wants requests again, and would not be chosen then if it counted as failing.
    pub fn blames_upstream(&self) -> bool {
        !matches!(self, Self::BackedOff | Self::Refused { retry_after: Some(_), .. })
    }
}

/// What is known of a request when an attempt fails.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether the engine can go on from a given token.
    pub resumable: bool,
    /// Whether part of the answer has already gone to the caller.
    pub answer_started: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// When the request must be done.
    pub deadline: Instant,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// Send the whole request to another upstream.
    Again,
    /// Have another upstream go on from the last token.
    Resume,
    /// Tell the caller, with whether it ran.
    GiveUp(ErrorRan),
}

/// Decides what follows a failed attempt; the budget is asked only where a retry is safe.
///
/// The first resumption of an answer takes nothing from the budget: a replica that fails breaks all
/// its answers at once, which may be more than the traffic has earned. It cannot amplify an outage,
/// since each such answer had an upstream that worked, and goes on where that one stopped.
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
    if !first_resumption && !budget.take(now) {
        return give_up;
    }
    if facts.answer_started { RetryStep::Resume } else { RetryStep::Again }
}

/// How many retries are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Retries earned each second whatever the traffic.
    pub floor: f64,
    /// Most retries saved up.
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

/// Bounds retries to a part of the traffic, so that they cannot amplify an outage.
#[derive(Debug)]
pub struct RetryBudget {
    state: Mutex<BudgetState>,
}

impl RetryBudget {
    /// Creates a budget with one second's floor in it.
    pub fn new(now: Instant) -> Self {
        Self::with_limits(RetryLimits::default(), now)
    }

    /// Creates a budget with other limits.
    pub fn with_limits(limits: RetryLimits, now: Instant) -> Self {
        let tokens = limits.floor.min(limits.most);
        Self { state: Mutex::new(BudgetState { limits, tokens, filled: now }) }
    }

    /// Changes the limits; what was saved beyond them is lost.
    pub fn set_limits(&self, limits: RetryLimits) {
        let mut state = self.lock();
        state.tokens = state.tokens.min(limits.most);
        state.limits = limits;
    }

    /// Notes a first attempt, which earns a part of a retry.
    pub fn record_request(&self) {
        let mut state = self.lock();
        state.tokens = (state.tokens + state.limits.ratio).min(state.limits.most);
    }

    /// Takes one retry, if there is one.
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

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
