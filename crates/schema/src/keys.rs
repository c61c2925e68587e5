//! Keys of callers and operators; only their hashes are stored.
//!
//! Invariant: a comparison takes the same time wherever the first differing
//! byte is, and every configured hash is compared, so that the timing reveals
//! nothing about the configured keys.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::KeySettings;

/// Length of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;

/// Returns the hash of a key as 64 hexadecimal digits, the format used in settings.
pub fn hash_key(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns whether the hash of the presented key is configured.
pub fn is_known_key(presented: &str, known: &[KeySettings]) -> bool {
    let presented = Sha256::digest(presented.as_bytes());
    known
        .iter()
        .filter_map(|key| decode_digest(&key.sha256))
        .fold(false, |found, digest| found | bool::from(presented.as_slice().ct_eq(&digest)))
}

/// Decodes 64 hexadecimal digits; returns none for any other text.
pub fn decode_digest(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
