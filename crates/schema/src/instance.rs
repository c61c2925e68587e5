//! Lives of workers: a name, and when the process under it started.
//!
//! A worker may start again under the name that it had. What is known of its former life holds no
//! more, so each life has an identity of its own and everything kept by [`WorkerId`] is kept by
//! life. Only what may reach a process by its name alone, such as an order on its way, is kept by
//! name.

use crate::WorkerId;

/// Sign between a name and the start of a life; no name holds it.
pub const START_TIME_SEPARATOR: char = '@';

/// When a life of a worker started, in Unix milliseconds by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl WorkerId {
    /// Names a life; one that tells nothing of its start is known by its name alone.
    pub fn of_instance(name: &str, born: Option<Incarnation>) -> Self {
        match born {
            Some(Incarnation(ms)) => Self(format!("{name}{START_TIME_SEPARATOR}{ms:x}")),
            None => Self(name.to_owned()),
        }
    }

    /// Name under which the worker registers, the same for all its lives.
    pub fn name(&self) -> &str {
        self.split_once(START_TIME_SEPARATOR).map_or(self.as_str(), |(name, _)| name)
    }

    /// When this life started, where it has told that.
    pub fn incarnation(&self) -> Option<Incarnation> {
        let (_, born) = self.split_once(START_TIME_SEPARATOR)?;
        u64::from_str_radix(born, 16).ok().map(Incarnation)
    }
}
