//! Wire encoding of message bodies: compressed if that makes them smaller.
//!
//! Tables, configurations and views contain many repeated strings, and each is sent many times
//! between zones, also over links of 20 Mbit/s.

use std::borrow::Cow;

use thiserror::Error;

/// First byte of an uncompressed body.
const PLAIN: u8 = 0;
/// First byte of a compressed body; its uncompressed length follows in four bytes.
const PACKED: u8 = 1;
const LENGTH_BYTES: usize = 4;
/// Minimum size of a body that is compressed; for smaller ones the gain is not worth the cost.
const MIN_PACKED: usize = 1 << 10;
/// Maximum uncompressed size that is accepted: well above a table of 12,000 workers.
const MAX_BYTES: usize = 64 << 20;
/// Compression level of zstd: the fastest one.
const LEVEL: i32 = 1;

/// Why a body cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnpackBodyError {
    /// The first byte is missing or names no known encoding.
    #[error("the encoding of the body is unknown")]
    UnknownForm,
    /// The stated uncompressed length exceeds the limit.
    #[error("the body has {0} bytes, more than the limit")]
    TooLarge(usize),
    /// The compressed data is damaged.
    #[error("the compressed body is damaged")]
    Damaged,
}

/// Encodes a body for a connection.
pub fn pack_body(body: &[u8]) -> Vec<u8> {
    pack_smaller(body).unwrap_or_else(|| {
        let mut plain = Vec::with_capacity(1 + body.len());
        plain.push(PLAIN);
        plain.extend(body);
        plain
    })
}

/// Returns the compressed encoding if it is smaller than the body.
fn pack_smaller(body: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(body.len()).ok()?;
    if body.len() < MIN_PACKED {
        return None;
    }
    let packed = zstd::bulk::compress(body, LEVEL).ok()?;
    let smaller = packed.len() + LENGTH_BYTES < body.len();
    smaller.then(|| {
        let mut form = Vec::with_capacity(1 + LENGTH_BYTES + packed.len());
        form.push(PACKED);
        form.extend(length.to_le_bytes());
        form.extend(packed);
        form
    })
}

/// Decodes a body encoded by [`pack_body`].
///
/// # Errors
///
/// Returns why the body cannot be decoded.
pub fn unpack_body(form: &[u8]) -> Result<Cow<'_, [u8]>, UnpackBodyError> {
    match form.split_first() {
        Some((&PLAIN, body)) => Ok(Cow::Borrowed(body)),
        Some((&PACKED, rest)) => unpack_smaller(rest).map(Cow::Owned),
        _ => Err(UnpackBodyError::UnknownForm),
    }
}

fn unpack_smaller(rest: &[u8]) -> Result<Vec<u8>, UnpackBodyError> {
    let (length, packed) =
        rest.split_first_chunk::<LENGTH_BYTES>().ok_or(UnpackBodyError::Damaged)?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_BYTES {
        return Err(UnpackBodyError::TooLarge(length));
    }
    let body = zstd::bulk::decompress(packed, length).map_err(|_| UnpackBodyError::Damaged)?;
    if body.len() == length { Ok(body) } else { Err(UnpackBodyError::Damaged) }
}
