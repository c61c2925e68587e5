//! Dates views by when their leader can have sent them.

use std::time::Duration;

use hollowbarrow_routing::TransitClock;
use hollowbarrow_schema::{FleetView, Term};
use tokio::time::Instant;

/// Relation of the clock of the latest leader to the local one.
#[derive(Debug, Default)]
pub(crate) struct ViewDates {
    term: Term,
    clock: TransitClock,
}

impl ViewDates {
    /// Returns when a view that is received now was sent; now if its leader does not state that.
    /// Each term has its own clock, since a term has one leader and a new leader another clock.
    pub(crate) fn date(&mut self, view: &FleetView, now: Instant) -> Instant {
        let Some(sent_ms) = view.sent_ms else { return now };
        if self.term != view.term {
            *self = Self { term: view.term, clock: TransitClock::new() };
        }
        self.clock.date(Duration::from_millis(sent_ms), now)
    }
}
