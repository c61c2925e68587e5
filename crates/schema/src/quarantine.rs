//! Paths and digests by which operators refer to a quarantined request.

use thiserror::Error;

use crate::ContentDigest;

/// First part of the path of the call that releases a quarantined request.
const QUARANTINE_PATH: &str = "/held/";
/// Last part of that path.
const RELEASE_PATH: &str = "/release";

/// Returned if a text is not the digest of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the content must be 16 hexadecimal digits, as in content= of a log line")]
pub struct ParseContentError;

/// Parses the digest of a request in the format of `content=` in log lines.
///
/// # Errors
///
/// Fails if the text is not 16 hexadecimal digits.
pub fn parse_content(text: &str) -> Result<ContentDigest, ParseContentError> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    number.map(ContentDigest).ok_or(ParseContentError)
}

/// Returns the path of the call that releases a quarantined request.
pub fn release_path(request: ContentDigest) -> String {
    format!("{QUARANTINE_PATH}{:016x}{RELEASE_PATH}", *request)
}

/// Returns the request that a call releases; none if the path is that of another call.
pub fn read_release_path(path: &str) -> Option<Result<ContentDigest, ParseContentError>> {
    let content = path.strip_prefix(QUARANTINE_PATH)?.strip_suffix(RELEASE_PATH)?;
    Some(parse_content(content))
}
