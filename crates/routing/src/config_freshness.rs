//! Decides whether a daemon may tell a caller that something is not in the configuration.
//!
//! Callers do not retry after this refusal, so it requires a configuration that is known to be the
//! newest. A daemon that cannot confirm this returns a Retry-After delay instead, and continues to
//! serve what its configuration contains.

use std::time::Duration;

/// The age of a daemon's configuration, as far as the daemon knows it.
#[derive(Clone, Copy, Debug)]
pub struct ConfigFreshness {
    /// Version in force at this daemon; 0 means none.
    pub version: u64,
    /// Newest version that a leader has reported; 0 means none.
    pub known: u64,
    /// Time since a leader last confirmed which version is newest; `None` if none has.
    pub confirmation_age: Option<Duration>,
}

impl ConfigFreshness {
    /// Returns whether what this configuration lacks is also missing from every configuration that
    /// must be in force, if the leader's confirmation is valid for `validity`.
    pub fn is_current(&self, validity: Duration) -> bool {
        let recent = self.confirmation_age.is_some_and(|age| age <= validity);
        recent && self.version >= self.known
    }
}
