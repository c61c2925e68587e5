//! Notices about later requests that an upstream states in the headers of an answer.

use std::time::Duration;

use hollowbarrow_schema::RequestRate;
use hyper::header::{HeaderMap, HeaderName, RETRY_AFTER};
use thiserror::Error;

/// Thousandths of a request in one request.
const MILLI: f64 = 1000.0;

/// Why a backoff cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadBackoffError {
    /// The value of the header `Retry-After` is not visible ASCII text.
    #[error("the value of the header Retry-After is not text")]
    NotText,
    /// The value of the header `Retry-After` is not a number of seconds. Dates are not supported:
    /// the clocks of machines differ by seconds, as much as the backoffs that are requested.
    #[error("the value of the header Retry-After is not a number of seconds")]
    NotSeconds,
}

/// Why a limit cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadLimitError {
    /// The answer has the header more than once.
    #[error("the limit is stated more than once")]
    Several,
    /// The value is not a decimal number like `2` or `0.05`.
    #[error("the limit is not a decimal number")]
    NotDecimal,
}

/// What the headers of an answer state about later requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Time for which the upstream requests no further requests from this daemon, if stated.
    pub backoff: Result<Option<Duration>, ReadBackoffError>,
    /// Whether the upstream announces that it is about to stop.
    pub leaving: bool,
    /// Limit on the request rate of all daemons together, if stated.
    pub limit: Result<Option<RequestRate>, ReadLimitError>,
}

impl UpstreamNotice {
    /// Creates a notice that states nothing.
    pub fn new() -> Self {
        Self { backoff: Ok(None), leaving: false, limit: Ok(None) }
    }
}

impl Default for UpstreamNotice {
    fn default() -> Self {
        Self::new()
    }
}

/// Reads the header `Retry-After`, in seconds with or without a fraction; returns none if the header
/// is missing.
///
/// # Errors
///
/// Returns why the value cannot be read.
pub fn read_backoff(headers: &HeaderMap) -> Result<Option<Duration>, ReadBackoffError> {
    let Some(value) = headers.get(RETRY_AFTER) else { return Ok(None) };
    let text = value.to_str().map_err(|_| ReadBackoffError::NotText)?;
    let seconds: f64 = text.trim().parse().map_err(|_| ReadBackoffError::NotSeconds)?;
    let backoff = Duration::try_from_secs_f64(seconds);
    backoff.map(Some).map_err(|_| ReadBackoffError::NotSeconds)
}

/// Reads a limit from a header, in requests per second with or without a fraction; returns none if
/// the header is missing. A limit above the largest rate is read as the largest rate.
///
/// # Errors
///
/// Returns why the value cannot be read.
pub fn read_limit(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<RequestRate>, ReadLimitError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(ReadLimitError::Several);
    }
    let text = value.to_str().map_err(|_| ReadLimitError::NotDecimal)?.trim();
    let decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !decimal {
        return Err(ReadLimitError::NotDecimal);
    }
    let per_s: f64 = text.parse().map_err(|_| ReadLimitError::NotDecimal)?;
    // Rounds down, so that rounding never raises a limit.
    Ok(Some(RequestRate((per_s * MILLI + f64::EPSILON * MILLI).floor() as u64)))
}
