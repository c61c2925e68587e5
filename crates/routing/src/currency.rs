//! Whether a daemon may tell a caller that something is not in the configuration.
//!
//! Callers do not ask again after such a refusal, so it needs a configuration that is known to be
//! the newest. A daemon that is not sure says when to come back, and goes on serving what its
//! configuration has.

use std::time::Duration;

/// Longest age of the leader's word on what is newest. With the time for which a leader trusts its
/// own majority (600 ms) it stays under the two seconds in which a change is in force everywhere.
pub const WORD_TRUST: Duration = Duration::from_millis(1200);

/// What a daemon knows of how old its configuration is.
#[derive(Clone, Copy, Debug)]
pub struct CurrencyFacts {
    /// Version in force here; 0 means none.
    pub version: u64,
    /// Newest version that a leader has told of; 0 means none.
    pub known: u64,
    /// Time since a leader last told what is newest; none if none has.
    pub word_age: Option<Duration>,
}

impl CurrencyFacts {
    /// Whether what this configuration does not have is in none that was acknowledged.
    pub fn is_current(&self) -> bool {
        let recent = self.word_age.is_some_and(|age| age <= WORD_TRUST);
        recent && self.version >= self.known
    }
}
