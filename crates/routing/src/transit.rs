//! Dates messages of another daemon by when they can have been sent.
//!
//! A message that waited in a link, or in a queue of the process that receives it, is older than
//! its receipt shows. The sender states its own clock in each message. The clocks of two daemons
//! have no common zero, but the message with the shortest way shows how they relate: any other one
//! was on its way for at least as much longer as its receipt is later.
//!
//! Load pattern: a daemon that is cut off may still receive messages that were sent before. Dated by
//! their receipt they would show that it knows the newest state.
//!
//! Trade-off: the shortest way itself is not known and counts as zero. It is compared over the
//! last one to two [`WINDOW`]s, so that clocks that drift do not age all messages.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which the shortest way is kept at least.
const WINDOW: Duration = Duration::from_secs(30);

/// Relation of one sender's clock to the local one.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitClock {
    current: Option<TransitWindow>,
    /// Earliest zero of the window before.
    previous: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct TransitWindow {
    began: Instant,
    /// Earliest local time to which the zero of the sender's clock can correspond.
    zero: Instant,
}

impl TransitClock {
    /// Creates the clock of a sender from which no message was received.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns when a message received now, in which the sender stated its clock, was sent, if the
    /// shortest way took no time.
    pub fn date(&mut self, sent: Duration, now: Instant) -> Instant {
        let Some(zero) = now.checked_sub(sent) else { return now };
        let known = self.current.get_or_insert(TransitWindow { began: now, zero });
        known.zero = known.zero.min(zero);
        let earliest = self.previous.map_or(known.zero, |previous| previous.min(known.zero));
        if now.saturating_duration_since(known.began) >= WINDOW {
            self.previous = Some(known.zero);
            self.current = None;
        }
        earliest + sent
    }
}
