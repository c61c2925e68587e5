//! Tells when a leader begins and ceases to bear no further lost voter.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which a new leader may have heard from no more than a majority without a report.
const FIRST_CONTACT_TIME: Duration = Duration::from_secs(1);

/// A change to report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossChange {
    /// The loss of one more voter would leave no majority.
    NoneBorne,
    /// At least one more voter may be lost.
    SomeBorne {
        /// Time before for which none could be.
        after: Duration,
    },
}

/// Follows how many lost voters a leader bears, from its election until it steps down.
#[derive(Debug, Default)]
pub(crate) struct LossWatch {
    /// Since when it bears none.
    none_since: Option<Instant>,
    /// Whether it bears any, as last reported. Each leader reports that it does, since another one may
    /// have reported that it did not.
    reported: Option<bool>,
}

impl LossWatch {
    /// Takes how many more voters may be lost now, or none if this replica does not lead.
    pub(crate) fn observe(&mut self, borne: Option<usize>, now: Instant) -> Option<LossChange> {
        let Some(borne) = borne else {
            *self = Self::default();
            return None;
        };
        let since = *self.none_since.get_or_insert(now);
        let lasted = now.saturating_duration_since(since);
        if borne > 0 {
            self.none_since = None;
            let known = self.reported.replace(true) == Some(true);
            return (!known).then_some(LossChange::SomeBorne { after: lasted });
        }
        let due = self.reported.unwrap_or(lasted >= FIRST_CONTACT_TIME);
        if due {
            self.reported = Some(false);
        }
        due.then_some(LossChange::NoneBorne)
    }
}
