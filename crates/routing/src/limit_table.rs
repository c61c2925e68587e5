//! The limits that upstreams have stated, each by its newest notice.
//!
//! An upstream under load states, in each of its answers for as long as the limit applies, the
//! requests a second that it accepts from all daemons together. Answers may arrive in another order
//! than they were written in. All that is known of a notice is that it was written after its
//! request was sent and before the head of its answer was received.
//!
//! Invariant: if either of two notices may have been written first, the stricter one applies.

use std::borrow::Borrow;
use std::collections::BTreeMap;

use hollowbarrow_schema::RequestRate;
use tokio::time::Instant;

/// The interval within which an upstream wrote a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeInterval {
    /// When the request was sent whose answer carries the notice.
    pub sent: Instant,
    /// When the head of the answer was received.
    pub came: Instant,
}

/// Formats a limit for logs: thousandths of a request a second, or `none`.
pub fn limit_text(limit: Option<RequestRate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}

/// The limit that an upstream stated in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitNotice {
    /// Requests that the upstream accepts from all daemons together; `None` if it states no limit.
    pub limit: Option<RequestRate>,
    /// Interval within which the notice was written.
    pub span: NoticeInterval,
}

impl LimitNotice {
    /// Returns whether this notice was certainly written after another.
    pub fn is_after(&self, other: &Self) -> bool {
        self.span.sent >= other.span.came
    }

    /// Returns whether this notice allows less than another.
    fn is_stricter(&self, other: &Self) -> bool {
        match (self.limit, other.limit) {
            (Some(this), Some(other)) => this < other,
            (this, other) => this.is_some() && other.is_none(),
        }
    }

    /// Returns whether this notice replaces the current one. A notice that repeats the current
    /// limit and was received later replaces it, to keep the later interval.
    fn supersedes(&self, current: &Self) -> bool {
        if current.is_after(self) {
            return false;
        }
        let confirms = self.limit == current.limit && self.span.came > current.span.came;
        self.is_after(current) || self.is_stricter(current) || confirms
    }
}

/// The newest notice of each upstream that has stated a limit.
#[derive(Clone, Debug)]
pub struct LimitTable<K> {
    notices: BTreeMap<K, LimitNotice>,
}

impl<K> Default for LimitTable<K> {
    fn default() -> Self {
        Self { notices: BTreeMap::new() }
    }
}

impl<K: Clone + Ord> LimitTable<K> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a notice; returns whether the limit of the upstream has changed.
    pub fn record(&mut self, upstream: &K, notice: LimitNotice) -> bool {
        let current = self.notices.get(upstream);
        if current.map_or(notice.limit.is_none(), |current| !notice.supersedes(current)) {
            return false;
        }
        let former = self.notices.insert(upstream.clone(), notice);
        former.and_then(|former| former.limit) != notice.limit
    }

    /// Returns the limit of an upstream, if it has one now.
    pub fn limit(&self, upstream: &K) -> Option<RequestRate> {
        self.notices.get(upstream)?.limit
    }

    /// Returns the newest notice of an upstream, if it has ever stated a limit.
    pub fn notice<Q>(&self, upstream: &Q) -> Option<&LimitNotice>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.notices.get(upstream)
    }

    /// Returns the newest notices of all upstreams that have ever stated a limit.
    pub fn notices(&self) -> impl Iterator<Item = (&K, &LimitNotice)> {
        self.notices.iter()
    }

    /// Removes upstreams that are no longer known.
    pub fn prune(&mut self, known: impl Fn(&K) -> bool) {
        self.notices.retain(|upstream, _| known(upstream));
    }

    /// Returns the number of upstreams in the table.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }
}
