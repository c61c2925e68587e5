//! Lends permits as the leader.

use std::collections::HashMap;
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, PermitNeed, RequestRate};
use tokio::time::Instant;

use super::{PERMIT_LIFETIME, permits_per_s};

/// Seconds of a limit that may be lent at once.
const BURST_SECONDS: f64 = 0.25;
/// Permits that may be lent at once where that is less.
const LEAST_BURST: f64 = 2.0;
/// Time for a permit to reach the daemon that it is lent to.
const LOAN_TIME: Duration = Duration::from_millis(10);

/// Permits that are lent to a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitLoan {
    /// Who gets them.
    pub daemon: DaemonId,
    /// The upstream that they are for.
    pub upstream: String,
    /// How many they are.
    pub count: u32,
}

/// Permits that a daemon wishes for.
#[derive(Clone, Debug)]
struct PendingWish {
    daemon: DaemonId,
    count: u32,
    /// Until when they are of use.
    end: Instant,
}

/// What is lent for one upstream.
#[derive(Clone, Debug)]
struct LimitBucket {
    per_s: f64,
    tokens: f64,
    filled: Instant,
    /// The newest of each daemon, the one that ends first in front.
    wishes: Vec<PendingWish>,
}

impl LimitBucket {
    /// Creates an empty bucket: a former lender may just have lent what the limit allows.
    fn new(per_s: f64, now: Instant) -> Self {
        Self { per_s, tokens: 0.0, filled: now, wishes: Vec::new() }
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.add(elapsed * self.per_s);
    }

    fn add(&mut self, tokens: f64) {
        let most = (self.per_s * BURST_SECONDS).max(LEAST_BURST);
        self.tokens = (self.tokens + tokens).min(most);
    }

    fn set_rate(&mut self, per_s: f64, now: Instant) {
        self.fill(now);
        self.per_s = per_s;
        self.add(0.0);
    }

    /// Takes the newest wish of a daemon in.
    fn wish(&mut self, wish: PendingWish) {
        self.wishes.retain(|former| former.daemon != wish.daemon);
        let place = self.wishes.partition_point(|other| other.end <= wish.end);
        self.wishes.insert(place, wish);
    }

    /// Drops wishes for which a permit would come too late.
    fn drop_ended(&mut self, now: Instant) {
        self.wishes.retain(|wish| wish.count > 0 && now + LOAN_TIME < wish.end);
    }

    /// The daemon that gets the next permit: the one whose wish ends first.
    fn lend_one(&mut self) -> Option<DaemonId> {
        let wish = self.wishes.first_mut().filter(|_| self.tokens >= 1.0)?;
        self.tokens -= 1.0;
        wish.count -= 1;
        if wish.count > 0 {
            return Some(wish.daemon.clone());
        }
        Some(self.wishes.remove(0).daemon)
    }

    /// Time after which the next permit can be lent.
    fn wait(&self) -> Duration {
        Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / self.per_s)
    }
}

/// Lends permits for upstreams that have named limits.
#[derive(Clone, Debug, Default)]
pub struct PermitLender {
    buckets: HashMap<String, LimitBucket>,
}

impl PermitLender {
    /// Creates a lender that has lent nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limit of an upstream; without one, nothing is lent for it.
    pub fn set_limit(&mut self, upstream: &str, limit: Option<RequestRate>, now: Instant) {
        let Some(limit) = limit else {
            self.buckets.remove(upstream);
            return;
        };
        let per_s = permits_per_s(limit);
        match self.buckets.get_mut(upstream) {
            Some(bucket) => bucket.set_rate(per_s, now),
            None => {
                self.buckets.insert(upstream.to_owned(), LimitBucket::new(per_s, now));
            }
        }
    }

    /// Takes in what a daemon wishes for now, in place of what it wished for before, and what it
    /// returns unused.
    pub fn take_need(&mut self, daemon: &DaemonId, need: &PermitNeed, now: Instant) {
        let Some(bucket) = self.buckets.get_mut(&need.upstream) else { return };
        bucket.fill(now);
        bucket.add(f64::from(need.returned));
        let lifetime = Duration::from_millis(need.lifetime_ms.into()).min(PERMIT_LIFETIME);
        bucket.wish(PendingWish { daemon: daemon.clone(), count: need.count, end: now + lifetime });
    }

    /// Lends what can be lent now.
    pub fn lend(&mut self, now: Instant) -> Vec<PermitLoan> {
        let mut loans: Vec<PermitLoan> = Vec::new();
        for (upstream, bucket) in &mut self.buckets {
            bucket.fill(now);
            bucket.drop_ended(now);
            let first = loans.len();
            while let Some(daemon) = bucket.lend_one() {
                match loans[first..].iter_mut().find(|loan| loan.daemon == daemon) {
                    Some(loan) => loan.count += 1,
                    None => loans.push(PermitLoan { daemon, upstream: upstream.clone(), count: 1 }),
                }
            }
        }
        loans
    }

    /// Time after which the next permit can be lent; none without a limit.
    pub fn wait(&self, upstream: &str) -> Option<Duration> {
        self.buckets.get(upstream).map(LimitBucket::wait)
    }

    /// Forgets upstreams that are not known any more.
    pub fn tidy(&mut self, known: impl Fn(&str) -> bool) {
        self.buckets.retain(|upstream, _| known(upstream));
    }
}
