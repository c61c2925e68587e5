//! Upstreams to which this daemon sends nothing because they asked for a backoff or are leaving.
//!
//! Load pattern: an upstream at its limit rejects requests and states how long it accepts none.
//! When such an upstream was only ejected for 0.8 s, like one that has failed twice, it was sent 5
//! requests during a backoff of 3 s that it had asked for, and each of them cost its caller a round
//! trip. An upstream that is about to terminate states so in its answers, which also reach a daemon
//! that is partitioned from every daemon that maintains the upstream list.
//!
//! Trade-off: a request that no other upstream can serve is refused during the backoff, although
//! this upstream may have capacity before the backoff expires. Only the upstream itself knows its
//! load from other daemons.
//!
//! Invariant: a backoff is never shortened, unless another process has taken the upstream's place,
//! and an upstream that is leaving is never used again.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use tokio::time::Instant;

/// Upper bound on a backoff. A longer backoff is treated as a mistake: it would take a working
/// upstream out of service permanently.
const LONGEST_BACKOFF: Duration = Duration::from_secs(60 * 60);

/// Reason for which an upstream is sent nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffReason {
    /// The upstream asked for a backoff, which lasts for this time from now.
    Requested(Duration),
    /// The upstream is about to terminate.
    Leaving,
}

impl BackoffReason {
    /// Returns the time after which the upstream accepts requests again; `None` if it never does.
    pub fn remaining(self) -> Option<Duration> {
        match self {
            Self::Requested(left) => Some(left),
            Self::Leaving => None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct BackoffEntry {
    /// When the upstream last asked for a backoff.
    asked: Option<Instant>,
    /// End of the backoff that the upstream asked for.
    until: Option<Instant>,
    leaving: bool,
}

impl BackoffEntry {
    fn reason(&self, now: Instant) -> Option<BackoffReason> {
        if self.leaving {
            return Some(BackoffReason::Leaving);
        }
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(BackoffReason::Requested(left))
    }
}

/// Upstreams that accept no requests from this daemon.
#[derive(Clone, Debug)]
pub struct BackoffTable<K> {
    entries: HashMap<K, BackoffEntry>,
}

impl<K> Default for BackoffTable<K> {
    fn default() -> Self {
        Self { entries: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> BackoffTable<K> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream asked for a backoff of the given length.
    pub fn record_backoff(&mut self, upstream: &K, backoff: Duration, now: Instant) {
        let until = now + backoff.min(LONGEST_BACKOFF);
        let entry = self.entries.entry(upstream.clone()).or_default();
        entry.asked = entry.asked.max(Some(now));
        entry.until = entry.until.max(Some(until));
    }

    /// Ends a backoff that was asked for before the upstream's process was replaced. A notice that
    /// the upstream is leaving stays: it is only recorded under the ID of a single process.
    pub fn end_former(&mut self, upstream: &K, replaced: Instant) {
        if let Some(entry) = self.entries.get_mut(upstream)
            && entry.asked.is_some_and(|asked| asked < replaced)
        {
            (entry.asked, entry.until) = (None, None);
        }
    }

    /// Records that an upstream is about to terminate; returns false if this is already known.
    pub fn record_leaving(&mut self, upstream: &K) -> bool {
        let entry = self.entries.entry(upstream.clone()).or_default();
        !std::mem::replace(&mut entry.leaving, true)
    }

    /// Returns why an upstream is sent nothing now; `None` if it may be sent requests.
    pub fn reason(&self, upstream: &K, now: Instant) -> Option<BackoffReason> {
        self.entries.get(upstream)?.reason(now)
    }

    /// Removes backoffs that have expired, and upstreams that are no longer known.
    pub fn prune(&mut self, known: impl Fn(&K) -> bool, now: Instant) {
        self.entries.retain(|upstream, entry| entry.reason(now).is_some() && known(upstream));
    }

    /// Returns the number of upstreams in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
