//! The form in which messages go over connections: compressed where that makes them smaller.
//!
//! Tables, configurations and views repeat the same words; each crosses zones, and links of
//! 20 Mbit/s, many times.

use std::borrow::Cow;

use thiserror::Error;

/// First byte of a body that stands as it is.
const PLAIN: u8 = 0;
/// First byte of a compressed body; its whole length follows in four bytes.
const PACKED: u8 = 1;
const LENGTH_BYTES: usize = 4;
/// Bodies below this gain less than compressing them costs.
const LEAST_PACKED: usize = 1 << 10;
/// Largest body that is taken: well beyond a table of 12,000 workers.
const MOST_BYTES: usize = 64 << 20;
/// The fastest level of the format.
const LEVEL: i32 = 1;

/// A body that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnpackBodyError {
    /// It begins with neither form.
    #[error("the body has no form that is known")]
    UnknownForm,
    /// It says that it is larger than any message may be.
    #[error("the body has {0} bytes")]
    TooLarge(usize),
    /// What was compressed is damaged.
    #[error("the body is damaged")]
    Damaged,
}

/// Puts a body into the form in which it travels.
pub fn pack_body(body: &[u8]) -> Vec<u8> {
    pack_smaller(body).unwrap_or_else(|| {
        let mut plain = Vec::with_capacity(1 + body.len());
        plain.push(PLAIN);
        plain.extend(body);
        plain
    })
}

/// The compressed form, if it is smaller.
fn pack_smaller(body: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(body.len()).ok()?;
    if body.len() < LEAST_PACKED {
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

/// The body that was put into this form.
///
/// # Errors
///
/// Says what is wrong with the form.
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
    if length > MOST_BYTES {
        return Err(UnpackBodyError::TooLarge(length));
    }
    let body = zstd::bulk::decompress(packed, length).map_err(|_| UnpackBodyError::Damaged)?;
    if body.len() == length { Ok(body) } else { Err(UnpackBodyError::Damaged) }
}
