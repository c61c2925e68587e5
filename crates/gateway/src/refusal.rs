//! Answers that a gateway gives without a worker: their status, their cause in logs and the delay
//! before a retry.

use std::time::Duration;

use hollowbarrow_ingress::{AnswerBody, HttpAnswer};
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_schema::ErrorRan;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};

use crate::picker::{LimitedWait, NoWorker};
use crate::retry_after::{retry_delay, retry_jitter};

/// Assumed time left of a caller whose deadline is unknown. Deadlines of streams are 5 to 8 s.
pub(crate) const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(5);
/// Retry-After delay if workers rejected the request.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Retry-After delay while a newer configuration is being delivered: four times the longest
/// delivery by the primary controller in 49 changes (45 ms).
const CONFIGURATION_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why a gateway refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The head of the request is not valid.
    BadRequest,
    /// No configuration is active yet.
    NoDeployment,
    /// No route matches the host and path.
    NoRoute,
    /// A newer configuration that this gateway lacks may allow the request.
    ConfigurationBehind,
    /// The route needs a key, and the request has no valid one.
    BadKey,
    /// The body is larger than the limit.
    TooLarge,
    /// There is no memory for the body beside those of other requests.
    Overloaded,
    /// The body was truncated or too slow.
    BodyTruncated,
    /// The request crashed workers and is quarantined for this time.
    Quarantined(Duration),
    /// The same request is in progress and has not produced any answer yet.
    DuplicateInProgress,
    /// No worker can take the request.
    NoWorker(NoWorker),
    /// No worker ran the request.
    NotRun,
    /// A worker may have run the request, but did not answer.
    Unknown,
    /// The deadline passed, and a worker may have run the request.
    TimedOut,
}

impl Refusal {
    /// Returns the refusal after the last failed attempt.
    pub(crate) fn from_attempt(error: &AttemptUpstreamError) -> Self {
        match (error, error.ran()) {
            (_, ErrorRan::NotRun) => Self::NotRun,
            (AttemptUpstreamError::DeadlinePassed { .. }, _) => Self::TimedOut,
            _ => Self::Unknown,
        }
    }

    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTruncated => StatusCode::REQUEST_TIMEOUT,
            Self::NoDeployment
            | Self::ConfigurationBehind
            | Self::Overloaded
            | Self::Quarantined(_)
            | Self::DuplicateInProgress
            | Self::NoWorker(_)
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the status tells the caller that the request did not run.
    pub(crate) fn states_not_run(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Returns whether a permit that can come soon would let the request be sent.
    pub(crate) fn ends_with_permit(self) -> bool {
        self == Self::NoWorker(NoWorker::Limited(LimitedWait::Soon))
    }

    /// Returns the cause in logs and answers.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoDeployment => "no_configuration",
            Self::NoRoute => "no_route",
            Self::ConfigurationBehind => "configuration_behind",
            Self::BadKey => "bad_key",
            Self::TooLarge => "too_large",
            Self::Overloaded => "overloaded",
            Self::BodyTruncated => "body_cut",
            Self::Quarantined(_) => "ends_workers",
            Self::DuplicateInProgress => "copy_under_way",
            Self::NoWorker(NoWorker::Unknown) => "no_worker",
            Self::NoWorker(NoWorker::Full) => "workers_full",
            Self::NoWorker(NoWorker::Backoff(_)) => "workers_back_off",
            Self::NoWorker(NoWorker::Limited(_)) => "workers_limited",
            Self::NotRun => "not_run",
            Self::Unknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    fn retry_after(self, left: Duration) -> Option<Duration> {
        match self {
            Self::NoWorker(NoWorker::Backoff(backoff)) => {
                Some(backoff + retry_jitter(left, rand::random()))
            }
            Self::NoWorker(NoWorker::Limited(LimitedWait::Later(wait))) => {
                let delay = retry_delay(left, rand::random());
                Some(delay.max(wait + retry_jitter(left, rand::random())))
            }
            Self::NoDeployment
            | Self::Overloaded
            | Self::DuplicateInProgress
            | Self::NoWorker(_) => Some(retry_delay(left, rand::random())),
            Self::Quarantined(quarantine) => Some(quarantine),
            Self::NotRun => Some(REJECTED_RETRY_DELAY),
            Self::ConfigurationBehind => Some(CONFIGURATION_RETRY_DELAY),
            _ => None,
        }
    }

    /// Builds the answer to a caller with this time left.
    pub(crate) fn to_answer(self, left: Duration) -> HttpAnswer {
        let mut builder = Response::builder().status(self.status());
        if let Some(delay) = self.retry_after(left) {
            builder = builder.header(RETRY_AFTER, format!("{:.3}", delay.as_secs_f64()));
        }
        builder.body(AnswerBody::complete(self.name())).expect("status and headers are valid")
    }
}
