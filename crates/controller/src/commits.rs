//! When each configuration was committed here, which tells for how long a gateway lacks one.
//!
//! Invariant: the time for which a gateway lacks something is counted from the oldest commit that
//! it lacks. Later commits never make it shorter.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Commits that are remembered: 38 s of a change every 150 ms, the fastest series met. Of what is
/// older the time is counted from the oldest one that is remembered.
const REMEMBERED_COMMITS: usize = 256;

/// Times of the last commits, oldest first.
#[derive(Clone, Debug, Default)]
pub struct CommitTimes {
    commits: VecDeque<(u64, Instant)>,
}

impl CommitTimes {
    /// Notes that a version was committed; one that is not newer than the last changes nothing.
    pub fn note(&mut self, version: u64, now: Instant) {
        if self.commits.back().is_some_and(|(last, _)| *last >= version) {
            return;
        }
        if self.commits.len() == REMEMBERED_COMMITS {
            self.commits.pop_front();
        }
        self.commits.push_back((version, now));
    }

    /// When the oldest version was committed that a daemon with this version lacks; none if it
    /// lacks nothing.
    pub fn lacking_since(&self, version: u64) -> Option<Instant> {
        let lacked = self.commits.iter().find(|(committed, _)| *committed > version);
        lacked.map(|(_, at)| *at)
    }

    /// For how long a daemon with this version has lacked something; zero if it lacks nothing.
    pub fn lag(&self, version: u64, now: Instant) -> Duration {
        let since = self.lacking_since(version);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
