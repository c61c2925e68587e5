//! Ids of worker instances: the worker's name and the start time of its process.
//!
//! A worker may restart under the same name. State recorded for the earlier instance is invalid
//! then, so each instance has its own [`WorkerId`], and state keyed by that id belongs to one
//! instance. Only state about messages that reach a process by its name alone, for example an order
//! in transit, is keyed by name.

use crate::WorkerId;

/// Character between a worker's name and its start time; names do not contain it.
pub const START_TIME_SEPARATOR: char = '@';

/// Start time of a worker instance, in Unix milliseconds by the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl WorkerId {
    /// Creates the id of an instance; without a known start time the id is the name alone.
    pub fn of_instance(name: &str, started: Option<Incarnation>) -> Self {
        match started {
            Some(Incarnation(ms)) => Self(format!("{name}{START_TIME_SEPARATOR}{ms:x}")),
            None => Self(name.to_owned()),
        }
    }

    /// Returns the name under which the worker registers, the same for all its instances.
    pub fn name(&self) -> &str {
        self.split_once(START_TIME_SEPARATOR).map_or(self.as_str(), |(name, _)| name)
    }

    /// Returns the start time of this instance, if it was reported.
    pub fn incarnation(&self) -> Option<Incarnation> {
        let (_, started) = self.split_once(START_TIME_SEPARATOR)?;
        u64::from_str_radix(started, 16).ok().map(Incarnation)
    }
}
