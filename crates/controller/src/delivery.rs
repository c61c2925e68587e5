//! Decides when a gateway that lacks a configuration gets it from this controller.
//!
//! The gateway's home tells it at once, or the controllers of its zone where that is in another
//! one. The others step in where these do not, and wait for a moment first, so that a configuration
//! crosses zones only where it must, and one copy at a time. One that may be behind itself leaves
//! time for those that are not.
//!
//! Invariant: a gateway that can be reached by any controller has each configuration within a
//! bounded time of its commit, however fast others follow.

use std::time::Duration;

use hollowbarrow_fleet::VersionTimes;
use tokio::time::Instant;

/// Time for a gateway's home and its zone's controllers before the others step in: several times
/// what a delivery within a zone takes, and a fraction of the two seconds within which a change
/// has to be in force.
const FAR_DELAY: Duration = Duration::from_millis(400);
/// Time before the same configuration is sent to a gateway again, beside what it takes on its way.
/// Gateways report every 75 ms meanwhile.
const REPEAT_PAUSE: Duration = Duration::from_millis(250);
/// Bytes a second that a gateway is taken to get beside its other traffic: a bit less than half of
/// a link of 20 Mbit/s.
const TRAVEL_RATE: u32 = 1_000_000;
/// Time for controllers that know what is newest before one that does not steps in: longer than a
/// gateway takes to find them, and short beside the start of a process.
const UNSURE_DELAY: Duration = Duration::from_millis(1000);

/// A configuration that may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryOffer {
    /// Its version.
    pub version: u64,
    /// Bytes of a copy on its way.
    pub bytes: usize,
}

impl DeliveryOffer {
    /// Time that a copy takes on its way, in which another one would only hold it up.
    fn travel(self) -> Duration {
        let bytes = u32::try_from(self.bytes).unwrap_or(u32::MAX);
        Duration::from_secs(1) * bytes / TRAVEL_RATE
    }
}

/// How a controller stands to a gateway that lacks a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryRole {
    /// It is the gateway's home, or of its zone where the home is not.
    Near,
    /// Others are nearer.
    Far,
    /// What it holds may be older than what others hold.
    Unsure,
}

impl DeliveryRole {
    /// Time for which the gateway has to lack the configuration first; none where it need not.
    fn delay(self) -> Option<Duration> {
        match self {
            Self::Near => None,
            Self::Far => Some(FAR_DELAY),
            Self::Unsure => Some(UNSURE_DELAY),
        }
    }
}

/// What a controller knows of one gateway's configuration.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryState {
    /// Version that the gateway last told of.
    held: u64,
    /// When this life of the gateway was first heard of.
    since: Instant,
    /// Version that was last sent to it from here, and when.
    sent: Option<(u64, Instant)>,
}

impl DeliveryState {
    /// Creates the state of a gateway that tells of itself for the first time.
    pub fn new(held: u64, now: Instant) -> Self {
        Self { held, since: now, sent: None }
    }

    /// Version that the gateway last told of.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Notes the version that the gateway tells of. A lower one than before means that it has
    /// started anew.
    pub fn record_reported_version(&mut self, held: u64, now: Instant) {
        if held < self.held {
            *self = Self::new(held, now);
        }
        self.held = held;
    }

    /// Notes that a version goes out to the gateway.
    pub fn record_sent(&mut self, version: u64, now: Instant) {
        self.sent = Some((version, now));
    }

    /// Notes that what was last sent found no room, so that it does not count as on its way.
    pub fn record_dropped(&mut self) {
        self.sent = None;
    }

    /// For how long the gateway has lacked a configuration that is committed here; zero if it
    /// lacks none.
    pub fn lag(&self, commits: &VersionTimes, now: Instant) -> Duration {
        // Counted from the oldest commit that it lacks. From the newest one, each commit would
        // begin the time anew, and changes every 150 ms kept a zone's gateways behind for 4.3 s.
        let lacking = commits.behind_since(self.held);
        let since = lacking.map(|committed| committed.max(self.since));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Whether the newest committed configuration is to be sent now.
    pub fn is_due(
        &self,
        offer: DeliveryOffer,
        place: DeliveryRole,
        commits: &VersionTimes,
        now: Instant,
    ) -> bool {
        if offer.version <= self.held {
            return false;
        }
        let pause = REPEAT_PAUSE + offer.travel();
        let waited = |at: Instant| now.saturating_duration_since(at) >= pause;
        let repeated = self.sent.is_some_and(|(sent, at)| sent == offer.version && !waited(at));
        let waits = |delay: Duration| self.lag(commits, now) > delay + offer.travel();
        !repeated && place.delay().is_none_or(waits)
    }
}
