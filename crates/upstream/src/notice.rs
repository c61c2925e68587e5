//! What an upstream says of itself in the head of an answer.

use std::time::Duration;

use hollowbarrow_schema::RequestRate;
use hyper::header::{HeaderMap, HeaderName, RETRY_AFTER};
use thiserror::Error;

/// Thousandths of a request in one request.
const MILLI: f64 = 1000.0;

/// Why a wish for no requests cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadBackoffError {
    /// The header `Retry-After` is no text.
    #[error("the header retry-after is no text")]
    NotText,
    /// The header `Retry-After` is no number of seconds. Dates are not taken: clocks of machines
    /// differ by seconds, as much as the times that are asked for.
    #[error("the header retry-after is no number of seconds")]
    NotSeconds,
}

/// Why a limit cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadLimitError {
    /// The header stands several times.
    #[error("the limit is named several times")]
    Several,
    /// The value is no decimal number, such as `2` or `0.05`.
    #[error("the limit is no decimal number")]
    NotDecimal,
}

/// What the head of an answer says of requests to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// For how long the upstream wants no requests from this daemon; none where it does not say.
    pub backoff: Result<Option<Duration>, ReadBackoffError>,
    /// Whether the upstream says that it is about to end.
    pub leaving: bool,
    /// Requests that the upstream takes from all daemons together; none where it names no limit.
    pub limit: Result<Option<RequestRate>, ReadLimitError>,
}

impl UpstreamNotice {
    /// Creates the word of an upstream that asks for nothing.
    pub fn new() -> Self {
        Self { backoff: Ok(None), leaving: false, limit: Ok(None) }
    }
}

impl Default for UpstreamNotice {
    fn default() -> Self {
        Self::new()
    }
}

/// The time that the header `Retry-After` names, in seconds with or without a fraction; none where
/// it is not there.
///
/// # Errors
///
/// Says why it cannot be read.
pub fn read_backoff(headers: &HeaderMap) -> Result<Option<Duration>, ReadBackoffError> {
    let Some(value) = headers.get(RETRY_AFTER) else { return Ok(None) };
    let text = value.to_str().map_err(|_| ReadBackoffError::NotText)?;
    let seconds: f64 = text.trim().parse().map_err(|_| ReadBackoffError::NotSeconds)?;
    let backoff = Duration::try_from_secs_f64(seconds);
    backoff.map(Some).map_err(|_| ReadBackoffError::NotSeconds)
}

/// The limit that a header names, in requests a second with or without a fraction; none where it is
/// not there. A limit beyond what a rate can hold is read as the highest rate.
///
/// # Errors
///
/// Says why it cannot be read.
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
    // A limit is never raised by rounding.
    Ok(Some(RequestRate((per_s * MILLI + f64::EPSILON * MILLI).floor() as u64)))
}
