//! Reads the platform's list of nodes.

use std::time::Duration;

use hollowbarrow_schema::PlatformList;
use thiserror::Error;

/// Timeout of one request for the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the list could not be read.
#[derive(Debug, Error)]
pub enum ListNodesError {
    /// The platform did not answer.
    #[error("the platform did not answer: {0}")]
    NoAnswer(#[from] attohttpc::Error),
    /// The platform answered with an error status, or with a body of another length than stated
    /// (status 0).
    #[error("the platform answered with status {0}")]
    Status(u16),
    /// The answer cannot be parsed as a list of nodes.
    #[error("the platform's answer is not a list of nodes: {0}")]
    NotList(#[from] serde_json::Error),
}

/// Reads the list of nodes. Blocks, so it must run on a thread for blocking calls.
///
/// # Errors
///
/// Fails if the platform does not answer with a complete list.
pub fn list_nodes(url: &str) -> Result<PlatformList, ListNodesError> {
    let response =
        attohttpc::get(url).connect_timeout(LIST_TIMEOUT).timeout(LIST_TIMEOUT).send()?;
    if !response.is_success() {
        return Err(ListNodesError::Status(response.status().as_u16()));
    }
    // A truncated body must not be accepted as a list, so its length is checked.
    let length =
        response.headers().get("content-length").and_then(|v| v.to_str().ok()?.parse().ok());
    let bytes = response.bytes()?;
    if length.is_some_and(|length: usize| length != bytes.len()) {
        return Err(ListNodesError::Status(0));
    }
    Ok(serde_json::from_slice(&bytes)?)
}
