//! Times at which versions of the configuration became known, from which the lag of other daemons
//! is computed.
//!
//! Invariant: a daemon's lag is counted from the oldest version that it lacks. Later versions never
//! make it shorter.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Number of versions that are kept: 20 s of a change every 80 ms, the fastest known series of
/// changes. The lag of a daemon behind older versions is counted from the oldest kept version.
const KEPT_VERSIONS: usize = 256;

/// Times at which the last versions became known to this daemon, oldest first.
#[derive(Clone, Debug, Default)]
pub struct VersionTimes {
    known: VecDeque<(u64, Instant)>,
}

impl VersionTimes {
    /// Records that a version is known. A version that is not newer than the last has no effect.
    pub fn record(&mut self, version: u64, now: Instant) {
        if version <= self.newest() {
            return;
        }
        if self.known.len() == KEPT_VERSIONS {
            self.known.pop_front();
        }
        self.known.push_back((version, now));
    }

    /// Returns the newest known version, or 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.known.back().map_or(0, |(version, _)| *version)
    }

    /// Returns when the oldest version became known that a daemon with version `held` lacks, or
    /// `None` if it lacks none.
    pub fn behind_since(&self, held: u64) -> Option<Instant> {
        let lacked = self.known.iter().find(|(version, _)| *version > held);
        lacked.map(|(_, at)| *at)
    }

    /// Returns for how long a daemon with version `held` has lacked a version, or zero if it lacks
    /// none.
    pub fn lag(&self, held: u64, now: Instant) -> Duration {
        let since = self.behind_since(held);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
