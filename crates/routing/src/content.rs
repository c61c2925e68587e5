//! The contents by which requests that crash upstreams are recognised.
//!
//! A repeated request is recognised by the whole of it. Request identifiers do not serve, since
//! callers draw a new one for each attempt. Headers are excluded, since some of them (deadlines,
//! traces) differ between attempts.
//!
//! Different requests are recognised by the parts of their prompts that they share. The last part is
//! excluded, since it is the request's own, which the whole covers. A part is the same for all
//! organisations, but differs between models: it crashes the program and the weights that run it.

use std::sync::Arc;

use hollowbarrow_schema::ContentDigest;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of parts of one prompt that are recognised; further ones are ignored.
const MAX_PARTS: usize = 64;
/// Separates the digests of parts from those of whole requests.
const PART_DOMAIN: &str = "part of a prompt";

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
    pub fn digest(&self) -> ContentDigest {
        let texts = [self.organisation, self.method, self.host, self.target];
        digest_texts(texts.map(str::as_bytes).into_iter().chain([self.body]))
    }
}

/// Computes the digest of one part of a prompt. `model` names the weights that run the request, or
/// the service if it names no model.
pub fn digest_part(model: &str, part: &[u8]) -> ContentDigest {
    digest_texts([PART_DOMAIN.as_bytes(), model.as_bytes(), part].into_iter())
}

fn digest_texts<'a>(texts: impl Iterator<Item = &'a [u8]>) -> ContentDigest {
    let mut hasher = Sha256::new();
    for text in texts {
        // The length of each text is hashed too, so that bytes cannot move from one to the next.
        hasher.update((text.len() as u64).to_le_bytes());
        hasher.update(text);
    }
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    ContentDigest(u64::from_le_bytes(first))
}

/// The contents of one request: the whole of it, and the parts of its prompt but the last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContents {
    whole: ContentDigest,
    parts: Arc<[ContentDigest]>,
    organisation: u64,
}

impl RequestContents {
    /// Creates the contents of a request whose prompt has no parts to share.
    pub fn new(whole: ContentDigest) -> Self {
        Self { whole, parts: Arc::default(), organisation: 0 }
    }

    /// Sets the name of the organisation that sends the request; empty if none is required.
    pub fn with_organisation(mut self, organisation: &str) -> Self {
        self.organisation = xxh3_64(organisation.as_bytes());
        self
    }

    /// Sets the parts of the prompt in order, including the last.
    pub fn with_parts<'a>(
        mut self,
        model: &str,
        parts: impl DoubleEndedIterator<Item = &'a [u8]>,
    ) -> Self {
        let shared = parts.rev().skip(1).map(|part| digest_part(model, part));
        let mut digests: Vec<ContentDigest> = shared.collect();
        digests.reverse();
        digests.truncate(MAX_PARTS);
        let mut known = std::collections::HashSet::new();
        digests.retain(|digest| known.insert(*digest));
        self.parts = digests.into();
        self
    }

    /// Returns the digest of the whole request.
    pub fn whole(&self) -> ContentDigest {
        self.whole
    }

    /// Returns the digests of the parts that other requests may share.
    pub fn parts(&self) -> &[ContentDigest] {
        &self.parts
    }

    /// Returns the hash of the organisation's name.
    pub fn organisation(&self) -> u64 {
        self.organisation
    }

    /// Returns all digests, the whole first.
    pub fn all(&self) -> impl Iterator<Item = ContentDigest> {
        std::iter::once(self.whole).chain(self.parts.iter().copied())
    }
}
