//! Reads for how long an upstream wants no requests.

use std::time::Duration;

use hyper::header::{HeaderMap, RETRY_AFTER};
use thiserror::Error;

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
