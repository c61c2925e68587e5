//! The content by which a repeated request is recognised.
//!
//! Request identifiers do not serve, since callers draw a new one for each attempt. Headers are
//! excluded, since some of them (deadlines, traces) differ between attempts.

use hollowbarrow_schema::RequestDigest;
use sha2::{Digest, Sha256};

/// The parts of a request that do not change when its caller sends it again.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Name of the organisation; empty if none is required.
    pub organisation: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Computes a digest over all parts. The hash is cryptographic, since callers choose the
    /// content: a caller cannot construct a request with the digest of another organisation's
    /// request.
    pub fn digest(&self) -> RequestDigest {
        let texts = [self.organisation, self.method, self.host, self.target];
        let mut hasher = Sha256::new();
        for part in texts.map(str::as_bytes).into_iter().chain([self.body]) {
            // The length of each part is hashed too, so that bytes cannot move from one part to the
            // next.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        RequestDigest(u64::from_le_bytes(first))
    }
}
