//! Whether a daemon may tell a caller that something is not in the configuration.
//!
//! Callers do not ask again after such a refusal, so it needs a configuration that is known to be
//! the newest. A daemon that is not sure says when to come back, and goes on serving what its
//! configuration has.

use std::time::Duration;

/// What a daemon knows of how old its configuration is.
#[derive(Clone, Copy, Debug)]
pub struct ConfigFreshness {
    /// Version in force here; 0 means none.
    pub version: u64,
    /// Newest version that a leader has told of; 0 means none.
    pub known: u64,
    /// Time since a leader last told what is newest; none if none has.
    pub confirmation_age: Option<Duration>,
}

impl ConfigFreshness {
    /// Whether what this configuration does not have is in none that has to be in force, where the
    /// leader's word holds for so long.
    pub fn is_current(&self, validity: Duration) -> bool {
        let recent = self.confirmation_age.is_some_and(|age| age <= validity);
        recent && self.version >= self.known
    }
}
