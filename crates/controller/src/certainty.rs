//! Decides whether a controller may tell gateways the configuration that it holds.
//!
//! Invariant: a controller that has started tells nothing until it holds what a leader had
//! committed. Where no leader comes up, an older configuration is better than none: gateways serve
//! with it, and know that nobody has told them what is newest.

use std::time::Duration;

use tokio::time::Instant;

/// Time without a confirmed leader after which a controller tells what it holds.
const LEADERLESS_TIME: Duration = Duration::from_secs(2);
/// Time after which it does so although it hears a leader, which its own messages may not reach.
const BEHIND_TIME: Duration = Duration::from_secs(6);

/// What entitles a controller to tell the configuration that it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConfigCertainty {
    /// Nothing yet: what is held may be older than what is in force.
    #[default]
    Nothing,
    /// It holds everything that was acknowledged until a moment ago.
    Complete,
    /// It could not learn for too long whether it does, so that others come first.
    Unconfirmed,
}

/// What a controller knows of its own log.
#[derive(Clone, Copy, Debug)]
pub struct CertaintyFacts {
    /// When it started or last woke: what it held then may be older than what is in force.
    pub since: Instant,
    /// Latest moment at which a majority confirmed the leader that it follows.
    pub confirmed: Option<Instant>,
    /// Latest moment of which it holds everything acknowledged.
    pub complete: Option<Instant>,
}

impl CertaintyFacts {
    /// What entitles the controller to tell now.
    pub fn basis(&self, now: Instant) -> ConfigCertainty {
        let age = |at: Instant| now.saturating_duration_since(at);
        let complete = self.complete.filter(|at| *at > self.since);
        if complete.is_some_and(|at| age(at) <= LEADERLESS_TIME) {
            return ConfigCertainty::Complete;
        }
        let heard = self.confirmed.map_or(self.since, |at| at.max(self.since));
        if age(heard) > LEADERLESS_TIME || age(self.since) > BEHIND_TIME {
            ConfigCertainty::Unconfirmed
        } else {
            ConfigCertainty::Nothing
        }
    }
}
