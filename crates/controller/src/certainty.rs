//! Decides whether a controller may send gateways the configuration that it holds.
//!
//! Invariant: after its start a controller sends no configuration until its log holds everything
//! that a leader had committed. If no leader is elected, an older configuration is better than none,
//! so after a timeout the controller sends the one that it holds. Gateways serve with it; as they get
//! no leader's view, they know that no one has named the newest version to them.

use std::time::Duration;

use tokio::time::Instant;

/// Time without a confirmed leader after which a controller sends the configuration that it holds.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which it does so although it receives a leader's messages: its own messages may not
/// reach that leader.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(6);

/// How certain it is that a controller holds the newest committed configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConfigCertainty {
    /// Unknown yet: the configuration held may be older than the one in force, and is not sent.
    #[default]
    Nothing,
    /// The controller holds everything that was acknowledged until at most `LEADERLESS_TIMEOUT` ago.
    Complete,
    /// The controller could not confirm for too long that its log is complete. It sends the
    /// configuration that it holds, but later than controllers that could.
    Unconfirmed,
}

/// State of a controller's log from which [`ConfigCertainty`] follows.
#[derive(Clone, Copy, Debug)]
pub struct CertaintyFacts {
    /// When the process started or last resumed from a suspension: the configuration held then may
    /// be older than the one in force.
    pub since: Instant,
    /// Latest time at which a majority confirmed the leader that the controller follows.
    pub confirmed: Option<Instant>,
    /// Latest time up to which the log holds everything acknowledged.
    pub complete: Option<Instant>,
}

impl CertaintyFacts {
    /// Computes the certainty at `now`.
    pub fn certainty(&self, now: Instant) -> ConfigCertainty {
        let age = |at: Instant| now.saturating_duration_since(at);
        let complete = self.complete.filter(|at| *at > self.since);
        if complete.is_some_and(|at| age(at) <= LEADERLESS_TIMEOUT) {
            return ConfigCertainty::Complete;
        }
        let last_confirmed = self.confirmed.map_or(self.since, |at| at.max(self.since));
        if age(last_confirmed) > LEADERLESS_TIMEOUT || age(self.since) > CATCH_UP_TIMEOUT {
            ConfigCertainty::Unconfirmed
        } else {
            ConfigCertainty::Nothing
        }
    }
}
