//! Decides whether a controller may send gateways the configuration that it holds.
//!
//! Invariant: a controller sends a configuration only if its log holds everything that a leader had
//! committed, or if it is cut off from a majority of the voters. One that is cut off cannot learn of
//! newer configurations, and an older one is better than none, so after a timeout it sends the one
//! that it holds. Gateways serve with it; as they get no leader's view, they know that no one has
//! named the newest version to them.
//!
//! What a controller that was cut off has sent to gateways that had started with it is withdrawn
//! once a majority is in contact and no leader follows from that.
//!
//! A controller in contact with a majority of the voters waits for a leader instead, however long
//! that takes: its own log, or that of a controller it is in contact with, may hold entries that were
//! acknowledged and that it cannot know to be committed.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowbarrow_schema::DaemonId;
use tokio::time::Instant;

/// Time without a confirmed leader after which a controller that is cut off sends the configuration
/// that it holds.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which it does so although it receives a leader's messages: its own messages may not
/// reach that leader.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(6);
/// Age up to which another controller's hello shows that it is in contact. Hellos come several times
/// a second, and a controller that is cut off waits no longer than for a leader.
const CONTACT_TIMEOUT: Duration = LEADERLESS_TIMEOUT;

/// How certain it is that a controller holds the newest committed configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConfigCertainty {
    /// Unknown yet: the configuration held may be older than the one in force, and is not sent.
    #[default]
    Nothing,
    /// The controller holds everything that was acknowledged until at most `LEADERLESS_TIMEOUT` ago.
    Complete,
    /// The controller could not confirm for too long that its log is complete, but is in contact
    /// with a majority of the voters. It waits for a leader, and sends nothing to a
    /// gateway without a configuration.
    Waiting,
    /// The controller could not confirm for too long that its log is complete, and is cut off from a
    /// majority of the voters. It sends the configuration that it holds, but later than controllers
    /// that could.
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
    /// Whether this controller is in contact with a majority of the voters.
    pub in_contact: bool,
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
        let timed_out =
            age(last_confirmed) > LEADERLESS_TIMEOUT || age(self.since) > CATCH_UP_TIMEOUT;
        match (timed_out, self.in_contact) {
            (false, _) => ConfigCertainty::Nothing,
            (true, true) => ConfigCertainty::Waiting,
            (true, false) => ConfigCertainty::Unconfirmed,
        }
    }
}

/// The last certainty of a controller, and since when it lasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct CertaintyHistory {
    last: ConfigCertainty,
    since: Option<Instant>,
    /// Since when a controller that waits is no longer in contact with a majority.
    contact_lost: Option<Instant>,
}

impl CertaintyHistory {
    /// Returns the last certainty that was recorded.
    pub fn last(&self) -> ConfigCertainty {
        self.last
    }

    /// Records the certainty at `now`; returns whether it differs from the last one.
    ///
    /// A controller that waits in contact with a majority goes on waiting until it has been cut off
    /// for as long as it waits after its start: a stall of its links, or of this process, looks like
    /// a cut at first.
    pub fn record(&mut self, certainty: ConfigCertainty, now: Instant) -> bool {
        let cut_off = certainty == ConfigCertainty::Unconfirmed;
        if cut_off && self.last == ConfigCertainty::Waiting {
            let lost = *self.contact_lost.get_or_insert(now);
            if now.saturating_duration_since(lost) <= LEADERLESS_TIMEOUT {
                return false;
            }
        } else {
            self.contact_lost = None;
        }
        let changed = self.last != certainty;
        if changed {
            *self = Self { last: certainty, since: Some(now), contact_lost: None };
        }
        changed
    }

    /// Returns whether gateways are to stop using what no leader has confirmed to them: the
    /// controller waits for a leader for longer than a new contact takes to bring one.
    pub fn withdraws_unconfirmed(&self, now: Instant) -> bool {
        let age = self.since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.last == ConfigCertainty::Waiting && age > LEADERLESS_TIMEOUT
    }
}

/// Returns the age up to which a hello counts as contact for a process that started or last resumed
/// at `since`: a hello from before shows nothing about the time after.
pub fn contact_age(since: Instant, now: Instant) -> Duration {
    CONTACT_TIMEOUT.min(now.saturating_duration_since(since))
}

/// Returns whether a controller that hears from these controllers hears from a majority of the
/// voters, itself included.
pub fn hears_majority(local: &DaemonId, voters: &[DaemonId], heard: &BTreeSet<DaemonId>) -> bool {
    let counts = |voter: &&DaemonId| *voter == local || heard.contains(*voter);
    voters.iter().filter(counts).count() > voters.len() / 2
}
