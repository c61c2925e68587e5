//! Which upstreams are to be sent nothing by this daemon, because they said so in an answer.
//!
//! Load pattern: an upstream at its limit turns requests away and names the time for which it
//! wants none. Left out for 0.8 s only, as one that has failed twice, it was sent 5 requests
//! within 3 s for which it had asked for none, and each of them cost its caller a round trip. An
//! upstream that is about to end says so in its answers, which also reach a daemon that is cut off
//! from everybody who keeps a list.
//!
//! Trade-off: what no other upstream can take is refused meanwhile, although this one may have
//! room before its time is over. It alone knows what it was asked by others.
//!
//! Invariant: a backoff is never shortened, and an upstream that is leaving never comes back.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use tokio::time::Instant;

/// Longest backoff that is kept. A longer one is taken for a mistake: it would take an upstream
/// out of service for good although it works.
const LONGEST_BACKOFF: Duration = Duration::from_secs(60 * 60);

/// Why an upstream is to be sent nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffReason {
    /// It asked for that, for this time from now on.
    Requested(Duration),
    /// It is about to end.
    Leaving,
}

impl BackoffReason {
    /// After what time it wants requests again; none where it never will.
    pub fn remaining(self) -> Option<Duration> {
        match self {
            Self::Requested(left) => Some(left),
            Self::Leaving => None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct BackoffEntry {
    /// Until when it asked for no requests.
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

/// Upstreams that want no requests from this daemon.
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
    /// Creates a table that knows of no upstream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an upstream asked for no requests for some time from now on.
    pub fn record_backoff(&mut self, upstream: &K, backoff: Duration, now: Instant) {
        let until = now + backoff.min(LONGEST_BACKOFF);
        let entry = self.entries.entry(upstream.clone()).or_default();
        entry.until = entry.until.max(Some(until));
    }

    /// Notes that an upstream is about to end; false where that is known.
    pub fn record_leaving(&mut self, upstream: &K) -> bool {
        let entry = self.entries.entry(upstream.clone()).or_default();
        !std::mem::replace(&mut entry.leaving, true)
    }

    /// Why an upstream is to be sent nothing now; none where it may be sent requests.
    pub fn reason(&self, upstream: &K, now: Instant) -> Option<BackoffReason> {
        self.entries.get(upstream)?.reason(now)
    }

    /// Forgets what is over, and upstreams that are not known any more.
    pub fn prune(&mut self, known: impl Fn(&K) -> bool, now: Instant) {
        self.entries.retain(|upstream, entry| entry.reason(now).is_some() && known(upstream));
    }

    /// Number of upstreams kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
