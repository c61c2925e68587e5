//! Decides when this controller sends a configuration to a gateway that lacks it.
//!
//! The gateway's primary controller sends it at once, as do the controllers of the gateway's zone if
//! the primary is in another zone or the gateway has none. Other controllers send it only after a
//! delay, so that a configuration crosses zones only if needed, and duplicates are rare. A controller
//! whose own configuration may be outdated waits longer than those that are up to date.
//!
//! Invariant: a gateway that any controller can reach has each configuration within a bounded time
//! of its commit, however fast further commits follow.

use std::time::Duration;

use hollowbarrow_fleet::VersionTimes;
use tokio::time::Instant;

use crate::certainty::ConfigCertainty;

/// Head start of a gateway's primary controller and of the controllers of its zone over the others:
/// several times what a delivery within a zone takes, and a fraction of the two seconds within which
/// a change has to be in force.
const FALLBACK_DELAY: Duration = Duration::from_millis(400);
/// Time, in addition to the transfer time, before the same configuration is sent to a gateway again.
/// Gateways report every 75 ms meanwhile.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Assumed transfer rate to a gateway beside its other traffic, in bytes per second: a bit less than
/// half of a link of 20 Mbit/s.
const TRANSFER_RATE: u32 = 1_000_000;
/// Head start of controllers that are up to date over one that may not be: longer than a gateway
/// takes to find them, and short compared with the start of a process.
const UNCERTAIN_DELAY: Duration = Duration::from_millis(1000);

/// A configuration that may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryOffer {
    /// Its version.
    pub version: u64,
    /// Encoded size.
    pub bytes: usize,
}

impl DeliveryOffer {
    /// Estimated transfer time. A duplicate sent within it would only slow the first transfer down.
    fn transfer_time(self) -> Duration {
        let bytes = u32::try_from(self.bytes).unwrap_or(u32::MAX);
        Duration::from_secs(1) * bytes / TRANSFER_RATE
    }
}

/// Role of a controller towards a gateway that lacks a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryRole {
    /// The gateway's primary controller, or a controller of the gateway's zone if the primary is in
    /// another zone or the gateway has none.
    Primary,
    /// A controller that other controllers precede.
    Fallback,
    /// A controller whose configuration may be older than that of others.
    Uncertain,
}

impl DeliveryRole {
    /// Returns the role towards a gateway that reported the version `held`; 0 means none.
    /// `immediately` states that no other controllers precede this one; `None` means that nothing
    /// may be sent.
    pub fn towards(held: u64, certainty: ConfigCertainty, immediately: bool) -> Option<Self> {
        match certainty {
            ConfigCertainty::Nothing => None,
            // A gateway that serves by an older configuration is not set back by a newer one.
            ConfigCertainty::Waiting => (held > 0).then_some(Self::Uncertain),
            ConfigCertainty::Unconfirmed => Some(Self::Uncertain),
            ConfigCertainty::Complete if immediately => Some(Self::Primary),
            ConfigCertainty::Complete => Some(Self::Fallback),
        }
    }

    /// Time for which the gateway must have lacked the configuration first; `None` means that it is
    /// sent without a delay.
    fn delay(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::Fallback => Some(FALLBACK_DELAY),
            Self::Uncertain => Some(UNCERTAIN_DELAY),
        }
    }
}

/// Delivery state of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryState {
    /// Version that the gateway last reported.
    reported: u64,
    /// When this instance of the gateway first reported.
    since: Instant,
    /// Version that this controller last sent to it, and when.
    sent: Option<(u64, Instant)>,
}

impl DeliveryState {
    /// Creates the state of a gateway at its first report.
    pub fn new(reported: u64, now: Instant) -> Self {
        Self { reported, since: now, sent: None }
    }

    /// Version that the gateway last reported.
    pub fn reported_version(&self) -> u64 {
        self.reported
    }

    /// Records the version that the gateway reports. A lower one than before means that the gateway
    /// has restarted.
    pub fn record_reported_version(&mut self, reported: u64, now: Instant) {
        if reported < self.reported {
            *self = Self::new(reported, now);
        }
        self.reported = reported;
    }

    /// Records that a version is sent to the gateway.
    pub fn record_sent(&mut self, version: u64, now: Instant) {
        self.sent = Some((version, now));
    }

    /// Records that the last message was dropped by the full send queue, so that it does not count as
    /// in transfer.
    pub fn record_dropped(&mut self) {
        self.sent = None;
    }

    /// Returns for how long the gateway has lacked a configuration that is committed here; zero if it
    /// lacks none.
    pub fn lag(&self, commits: &VersionTimes, now: Instant) -> Duration {
        // The lag counts from the oldest commit that the gateway lacks. Counted from the newest, each
        // commit would restart it, and changes every 150 ms kept a zone's gateways behind for 4.3 s.
        let lacking = commits.behind_since(self.reported);
        let since = lacking.map(|committed| committed.max(self.since));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Whether the newest committed configuration is to be sent now.
    pub fn is_due(
        &self,
        offer: DeliveryOffer,
        role: DeliveryRole,
        commits: &VersionTimes,
        now: Instant,
    ) -> bool {
        if offer.version <= self.reported {
            return false;
        }
        let interval = RESEND_INTERVAL + offer.transfer_time();
        let expired = |at: Instant| now.saturating_duration_since(at) >= interval;
        let in_transfer = self.sent.is_some_and(|(sent, at)| sent == offer.version && !expired(at));
        let waited_for = |delay: Duration| self.lag(commits, now) > delay + offer.transfer_time();
        !in_transfer && role.delay().is_none_or(waited_for)
    }
}
