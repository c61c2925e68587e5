//! What callers are told when their request is refused or fails.

use std::time::Duration;

use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_routing::{LimitRequestError, ShedRequestError};
use hollowbarrow_schema::{ClaimOutcome, ErrorRan};
use hollowbarrow_upstream::SendRequestError;

use crate::answer::{CallerError, ErrorCode};
use crate::proposals::ProposeEntryError;

/// When a caller may come back after an upstream was lacking.
pub(crate) const UPSTREAM_RETRY: Duration = Duration::from_secs(2);
/// Shortest time to come back where upstreams take only so many requests a second.
const LIMITED_RETRY: Duration = Duration::from_secs(1);
/// When a caller may come back after the claims were not to be had.
const CLAIMS_RETRY: Duration = Duration::from_secs(2);

/// How far a failed send got.
pub(crate) fn to_send_error(error: SendRequestError) -> AttemptUpstreamError {
    match error {
        SendRequestError::Connect(_) => AttemptUpstreamError::NotReached,
        unsent if unsent.is_unsent() => AttemptUpstreamError::NotSent,
        SendRequestError::Timeout => AttemptUpstreamError::DeadlinePassed { sent: true },
        SendRequestError::OtherRequest(_) => {
            let reason = "it is for another request";
            AttemptUpstreamError::BrokenAnswer { reason, tokens: 0 }
        }
        _ => AttemptUpstreamError::ConnectionLost { tokens: 0 },
    }
}

/// A request that is sent to no upstream for this time.
pub(crate) fn to_quarantine_error(left: Duration) -> CallerError {
    let message = "upstreams ended, one after the other, while they ran this request";
    CallerError::not_run(ErrorCode::CrashesUpstreams, message).with_retry_after(left)
}

/// All upstreams want no requests, the first of them for this time.
pub(crate) fn to_backoff_error(left: Duration) -> CallerError {
    let message = "all upstreams have asked for no requests for now";
    CallerError::not_run(ErrorCode::NoUpstream, message).with_retry_after(left)
}

/// All upstreams that have room take only so many requests a second, the first of them the next one
/// after this time.
pub(crate) fn to_limited_error(wait: Duration) -> CallerError {
    let message = "all upstreams take as many requests as they want for now";
    CallerError::not_run(ErrorCode::NoUpstream, message).with_retry_after(wait.max(LIMITED_RETRY))
}

/// Another copy of the request is under way, of which nothing has come.
pub(crate) fn to_duplicate_error() -> CallerError {
    let message = "the same request is under way, and nothing has come of it yet";
    CallerError::not_run(ErrorCode::DuplicateInFlight, message).with_retry_after(UPSTREAM_RETRY)
}

/// A limit that stands against the request.
pub(crate) fn to_limit_error(error: &LimitRequestError) -> CallerError {
    let caller_error = CallerError::not_run(ErrorCode::LimitReached, error.to_string());
    match error {
        LimitRequestError::RateUsed { retry_after } => caller_error.with_retry_after(*retry_after),
        _ => caller_error.with_retry_after(Duration::from_secs(1)),
    }
}

/// Why the request was not let in.
pub(crate) fn to_shed_error(error: &ShedRequestError) -> CallerError {
    match error {
        ShedRequestError::QueueFull { retry_after } => {
            CallerError::not_run(ErrorCode::QueueFull, error.to_string())
                .with_retry_after(*retry_after)
        }
        ShedRequestError::DeadlinePassed => {
            CallerError::not_run(ErrorCode::DeadlinePassed, error.to_string())
        }
    }
}

/// What became of the first request with the same key.
pub(crate) fn to_claim_error(outcome: &ClaimOutcome) -> CallerError {
    let (code, ran, message) = match outcome {
        ClaimOutcome::InProgress => (
            ErrorCode::InProgress,
            ErrorRan::Unknown,
            "the first request with this key is still running",
        ),
        ClaimOutcome::Ran => (
            ErrorCode::AnswerNotKept,
            ErrorRan::Ran,
            "the first request with this key ran; its answer was not kept",
        ),
        ClaimOutcome::Mismatch => (
            ErrorCode::KeyReused,
            ErrorRan::NotRun,
            "this key was used for another request; this one was not run",
        ),
        _ => (
            ErrorCode::OutcomeUnknown,
            ErrorRan::Unknown,
            "the first request with this key may have run; it is not run again",
        ),
    };
    CallerError::not_run(code, message).with_ran(ran)
}

/// The claims are not to be had.
pub(crate) fn to_propose_error(error: ProposeEntryError) -> CallerError {
    let message = format!("it cannot be made sure that the request runs only once: {error}");
    CallerError::not_run(ErrorCode::ClaimsUnavailable, message).with_retry_after(CLAIMS_RETRY)
}

/// Why the last attempt failed.
pub(crate) fn to_attempt_error(error: &AttemptUpstreamError, ran: ErrorRan) -> CallerError {
    let code = match error {
        AttemptUpstreamError::DeadlinePassed { .. } => ErrorCode::DeadlinePassed,
        _ => ErrorCode::UpstreamFailed,
    };
    let caller_error = CallerError::not_run(code, error.to_string()).with_ran(ran);
    match error {
        AttemptUpstreamError::Refused { retry_after: Some(after), .. } => {
            caller_error.with_retry_after(*after)
        }
        _ if ran == ErrorRan::NotRun => caller_error.with_retry_after(UPSTREAM_RETRY),
        _ => caller_error,
    }
}
