//! When versions of the configuration became known, which tells for how long a daemon lacks one.
//!
//! Invariant: the time for which a daemon lacks something is counted from the oldest version that
//! it lacks. Later versions never make it shorter.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Versions that are remembered: 20 s of a change every 80 ms, the fastest series met. Of what is
/// older the time is counted from the oldest one that is remembered.
const REMEMBERED_VERSIONS: usize = 256;

/// Times at which the last versions became known here, oldest first.
#[derive(Clone, Debug, Default)]
pub struct VersionTimes {
    known: VecDeque<(u64, Instant)>,
}

impl VersionTimes {
    /// Notes that a version is known; one that is not newer than the last changes nothing.
    pub fn record(&mut self, version: u64, now: Instant) {
        if version <= self.newest() {
            return;
        }
        if self.known.len() == REMEMBERED_VERSIONS {
            self.known.pop_front();
        }
        self.known.push_back((version, now));
    }

    /// The newest version known; 0 means none.
    pub fn newest(&self) -> u64 {
        self.known.back().map_or(0, |(version, _)| *version)
    }

    /// When the oldest version became known that a daemon with this version lacks; none if it
    /// lacks nothing.
    pub fn behind_since(&self, held: u64) -> Option<Instant> {
        let lacked = self.known.iter().find(|(version, _)| *version > held);
        lacked.map(|(_, at)| *at)
    }

    /// For how long a daemon with this version has lacked something; zero if it lacks nothing.
    pub fn lag(&self, held: u64, now: Instant) -> Duration {
        let since = self.behind_since(held);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
