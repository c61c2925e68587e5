//! How operators name a request that is held, as log lines do.

use thiserror::Error;

use crate::RequestDigest;

/// First part of the path of the call that lets a held request go.
const HELD_PATH: &str = "/held/";
/// Last part of that path.
const RELEASE_PATH: &str = "/release";

/// Why a text names no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the content must be 16 hexadecimal digits, as in content= of a log line")]
pub struct ParseContentError;

/// Reads the digest of a request as log lines write it.
///
/// # Errors
///
/// Fails where the text is not 16 hexadecimal digits.
pub fn parse_content(text: &str) -> Result<RequestDigest, ParseContentError> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    number.map(RequestDigest).ok_or(ParseContentError)
}

/// Path of the call that lets a held request go.
pub fn release_path(request: RequestDigest) -> String {
    format!("{HELD_PATH}{:016x}{RELEASE_PATH}", *request)
}

/// The request that a call lets go; none where the path is another one.
pub fn read_release_path(path: &str) -> Option<Result<RequestDigest, ParseContentError>> {
    let content = path.strip_prefix(HELD_PATH)?.strip_suffix(RELEASE_PATH)?;
    Some(parse_content(content))
}
