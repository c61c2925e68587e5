//! Errors that callers receive when their request is refused or fails.

use std::time::Duration;

use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_routing::{LimitRequestError, ShedRequestError};
use hollowbarrow_schema::{ClaimOutcome, ErrorRan};
use hollowbarrow_upstream::{ConnectionLease, SendRequestError};

use crate::answer::{CallerError, ErrorCode};
use crate::proposals::ProposeEntryError;

/// Retry-After delay when no upstream was available.
pub(crate) const UPSTREAM_RETRY: Duration = Duration::from_secs(2);
/// Shortest Retry-After delay when upstreams are at their rate limits.
const LIMITED_RETRY: Duration = Duration::from_secs(1);
/// Retry-After delay when the claims log was unavailable.
const CLAIMS_RETRY: Duration = Duration::from_secs(2);

/// Converts a failed send into an attempt's error, by how far the request got.
pub(crate) fn to_send_error(error: SendRequestError) -> AttemptUpstreamError {
    match error {
        SendRequestError::Connect(_) | SendRequestError::Refused(_) => {
            AttemptUpstreamError::NotReached
        }
        unsent if unsent.is_unsent() => AttemptUpstreamError::NotWritten,
        SendRequestError::Timeout => AttemptUpstreamError::DeadlinePassed { sent: true },
        SendRequestError::OtherRequest(_) => {
            let reason = "it belongs to another request";
            AttemptUpstreamError::BrokenAnswer { reason, tokens: 0 }
        }
        SendRequestError::InvalidStatus(_) => {
            let reason = "its status is not valid";
            AttemptUpstreamError::BrokenAnswer { reason, tokens: 0 }
        }
        SendRequestError::CarrierLost => AttemptUpstreamError::CarrierLost,
        _ => AttemptUpstreamError::ConnectionLost { tokens: 0 },
    }
}

/// Returns the error of a connection that broke after so many tokens.
pub(crate) fn to_lost_error(lease: &ConnectionLease, tokens: u32) -> AttemptUpstreamError {
    if lease.is_carrier_lost() {
        AttemptUpstreamError::CarrierLost
    } else {
        AttemptUpstreamError::ConnectionLost { tokens }
    }
}

/// Returns the error of a request that stays quarantined for this time.
pub(crate) fn to_quarantine_error(left: Duration) -> CallerError {
    let message = "several upstreams crashed, one after the other, while they ran this request";
    CallerError::not_run(ErrorCode::CrashesUpstreams, message).with_retry_after(left)
}

/// Returns the error when all upstreams are in backoff, the shortest for this time.
pub(crate) fn to_backoff_error(left: Duration) -> CallerError {
    let message = "all upstreams are in backoff";
    CallerError::not_run(ErrorCode::NoUpstream, message).with_retry_after(left)
}

/// Returns the error when all upstreams with capacity are at their rate limits, the first of them
/// for this time.
pub(crate) fn to_limited_error(wait: Duration) -> CallerError {
    let message = "all upstreams are at their rate limits";
    CallerError::not_run(ErrorCode::NoUpstream, message).with_retry_after(wait.max(LIMITED_RETRY))
}

/// Returns the error when a duplicate of the request is in progress without any progress yet.
pub(crate) fn to_duplicate_error() -> CallerError {
    let message = "a duplicate of this request is in progress and has not made progress yet";
    CallerError::not_run(ErrorCode::DuplicateInFlight, message).with_retry_after(UPSTREAM_RETRY)
}

/// Returns the error when the organisation's limits do not admit the request.
pub(crate) fn to_limit_error(error: &LimitRequestError) -> CallerError {
    let caller_error = CallerError::not_run(ErrorCode::LimitReached, error.to_string());
    match error {
        LimitRequestError::RateUsed { retry_after } => caller_error.with_retry_after(*retry_after),
        _ => caller_error.with_retry_after(Duration::from_secs(1)),
    }
}

/// Returns the error when the queue did not admit the request.
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

/// Returns the error for the outcome of the first request with the same key.
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

/// Returns the error when the claims log gave no outcome.
pub(crate) fn to_propose_error(error: ProposeEntryError) -> CallerError {
    let message = format!("cannot guarantee that the request runs only once: {error}");
    CallerError::not_run(ErrorCode::ClaimsUnavailable, message).with_retry_after(CLAIMS_RETRY)
}

/// Returns the error for the failure of the last attempt.
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
