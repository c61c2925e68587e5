//! What makes a request the same when it comes again.
//!
//! Identities cannot tell: callers draw a new one for each try. Headers are left out, since some
//! of them (deadlines, traces) differ from try to try.

use hollowbarrow_schema::RequestDigest;
use sha2::{Digest, Sha256};

/// The parts of a request that stay when its caller sends it again.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Name of the organisation; empty where none is needed.
    pub organisation: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host that it names.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Digest over all parts. A cryptographic hash, since callers choose what goes in: nobody can
    /// make up a request that shares its digest with one of another organisation.
    pub fn digest(&self) -> RequestDigest {
        let texts = [self.organisation, self.method, self.host, self.target];
        let mut hasher = Sha256::new();
        for part in texts.map(str::as_bytes).into_iter().chain([self.body]) {
            // Each length is hashed too, so that no bytes can move from one part to the next.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        RequestDigest(u64::from_le_bytes(first))
    }
}
