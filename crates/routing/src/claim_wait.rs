//! Decides how long a request waits for its claim.
//!
//! Only a leader grants claims. A daemon that is cut off from a majority of the voters cannot reach one,
//! and another daemon serves the caller sooner. While a leader is being elected no daemon can do so,
//! and a request that waits is served as soon as there is one.

use std::time::Duration;

/// Share of a request's remaining time within which its claim must be granted. The rest is for running
/// the request, or for the caller to try another daemon.
const WAIT_SHARE_DIVISOR: u32 = 2;
/// Timeout for a claim to be granted at a daemon that may be cut off.
const PARTITIONED_TIMEOUT: Duration = Duration::from_secs(2);

/// How many voters a daemon can reach, as far as it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterContact {
    /// Number of voters.
    pub voters: usize,
    /// Number of voters in zones from which messages arrive.
    pub reachable: usize,
}

impl VoterContact {
    /// Returns whether the voters that can be reached are enough to elect a leader.
    pub fn has_majority(&self) -> bool {
        self.reachable * 2 > self.voters
    }
}

/// A request that needs a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimWaitFacts {
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Whether a leader was confirmed recently.
    pub is_leader_confirmed: bool,
    /// Voters that the daemon can reach.
    pub voters: VoterContact,
}

/// Returns for how long a request waits for its claim.
pub fn claim_wait(facts: &ClaimWaitFacts) -> Duration {
    let share = facts.remaining / WAIT_SHARE_DIVISOR;
    if facts.is_leader_confirmed || facts.voters.has_majority() {
        share
    } else {
        share.min(PARTITIONED_TIMEOUT)
    }
}
