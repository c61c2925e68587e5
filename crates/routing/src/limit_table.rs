//! The limits that upstreams have named, each by its newest word.
//!
//! An upstream that is in need names the requests a second that it takes from all daemons
//! together, in each of its answers for as long as it holds. Answers may come in another order
//! than they were written in: what is known of a word is that it was written after its request was
//! sent and before the head of its answer came.
//!
//! Invariant: where two words may have been written in either order, the stricter one holds.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

use hollowbarrow_schema::RequestRate;
use tokio::time::Instant;

/// The time within which an upstream wrote a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeInterval {
    /// When the request was sent that the word answers.
    pub sent: Instant,
    /// When the head of the answer came.
    pub came: Instant,
}

/// A limit as it stands in logs: thousandths of a request a second, or `none`.
pub fn limit_text(limit: Option<RequestRate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}

/// What an upstream said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitNotice {
    /// Requests that it takes from all daemons together; none where it names no limit.
    pub limit: Option<RequestRate>,
    /// When it was written.
    pub span: NoticeInterval,
}

impl LimitNotice {
    /// Whether this word was surely written after another.
    pub fn is_after(&self, other: &Self) -> bool {
        self.span.sent >= other.span.came
    }

    /// Whether this word allows less than another.
    fn is_stricter(&self, other: &Self) -> bool {
        match (self.limit, other.limit) {
            (Some(this), Some(other)) => this < other,
            (this, other) => this.is_some() && other.is_none(),
        }
    }

    /// Which of two words holds; the same word told later keeps the later span.
    fn supersedes(&self, current: &Self) -> bool {
        if current.is_after(self) {
            return false;
        }
        let confirms = self.limit == current.limit && self.span.came > current.span.came;
        self.is_after(current) || self.is_stricter(current) || confirms
    }
}

/// The newest word of each upstream that has named a limit.
#[derive(Clone, Debug)]
pub struct LimitTable<K> {
    notices: HashMap<K, LimitNotice>,
}

impl<K> Default for LimitTable<K> {
    fn default() -> Self {
        Self { notices: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> LimitTable<K> {
    /// Creates a table that knows of no limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a word in; true where the limit of the upstream is another one now.
    pub fn record(&mut self, upstream: &K, notice: LimitNotice) -> bool {
        let current = self.notices.get(upstream);
        if current.map_or(notice.limit.is_none(), |current| !notice.supersedes(current)) {
            return false;
        }
        let former = self.notices.insert(upstream.clone(), notice);
        former.and_then(|former| former.limit) != notice.limit
    }

    /// The limit of an upstream, if it has one now.
    pub fn limit(&self, upstream: &K) -> Option<RequestRate> {
        self.notices.get(upstream)?.limit
    }

    /// The newest word of an upstream, if it has ever named a limit.
    pub fn notice<Q>(&self, upstream: &Q) -> Option<&LimitNotice>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.notices.get(upstream)
    }

    /// The newest words of all upstreams that have ever named a limit.
    pub fn notices(&self) -> impl Iterator<Item = (&K, &LimitNotice)> {
        self.notices.iter()
    }

    /// Forgets upstreams that are not known any more.
    pub fn prune(&mut self, known: impl Fn(&K) -> bool) {
        self.notices.retain(|upstream, _| known(upstream));
    }

    /// Number of upstreams kept.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }
}
