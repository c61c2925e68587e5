//! Digests that a controller's table of workers had lately.
//!
//! News travel for a while, so a daemon whose digest is one of these is on its way to the same
//! table and needs nothing. Only one that keeps other digests has missed something.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time for news to arrive, and for the digest after them to come back.
const TRAVEL_TIME: Duration = Duration::from_millis(1000);

/// Digests of the last moments.
#[derive(Clone, Debug, Default)]
pub struct TableHashHistory {
    passed: VecDeque<(u64, Instant)>,
}

impl TableHashHistory {
    /// Notes the digest after news went out.
    pub fn note(&mut self, digest: u64, now: Instant) {
        self.drop_old(now);
        if self.passed.back().is_none_or(|(last, _)| *last != digest) {
            self.passed.push_back((digest, now));
        }
    }

    /// Whether a daemon with this digest has what it should, if the table's digest now is `own`.
    pub fn covers(&mut self, digest: u64, own: u64, now: Instant) -> bool {
        self.drop_old(now);
        digest == own || self.passed.iter().any(|(passed, _)| *passed == digest)
    }

    /// Drops digests that were replaced by another one a while ago.
    fn drop_old(&mut self, now: Instant) {
        let replaced_early = |at: Instant| now.saturating_duration_since(at) > TRAVEL_TIME;
        while self.passed.get(1).is_some_and(|(_, at)| replaced_early(*at)) {
            self.passed.pop_front();
        }
    }
}
