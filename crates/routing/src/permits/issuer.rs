//! Issues permits on the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, PermitNeed, RequestRate};
use tokio::time::Instant;

use super::{PERMIT_LIFETIME, permits_per_s};

/// Seconds of a limit that may be issued at once.
const BURST_SECONDS: f64 = 0.25;
/// Minimum for the number of permits that may be issued at once.
const MIN_BURST: f64 = 2.0;
/// Time for a permit to reach the daemon that it is issued to.
const DELIVERY_TIME: Duration = Duration::from_millis(10);

/// Permits that are issued to a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedPermits {
    /// The daemon that receives the permits.
    pub daemon: DaemonId,
    /// The upstream that the permits are for.
    pub upstream: String,
    /// Number of permits.
    pub count: u32,
}

/// Permits that a daemon needs.
#[derive(Clone, Debug)]
struct PendingNeed {
    daemon: DaemonId,
    count: u32,
    /// When the permits stop being of use.
    expires_at: Instant,
    /// Upstreams whose permits serve as well.
    others: Vec<String>,
}

/// The permits of one upstream.
#[derive(Clone, Debug)]
struct LimitBucket {
    per_s: f64,
    tokens: f64,
    filled: Instant,
    /// The newest need of each daemon, in order of expiry.
    needs: Vec<PendingNeed>,
}

impl LimitBucket {
    /// Creates an empty bucket: the previous issuer may just have issued what the limit allows.
    fn new(per_s: f64, now: Instant) -> Self {
        Self { per_s, tokens: 0.0, filled: now, needs: Vec::new() }
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.add(elapsed * self.per_s);
    }

    fn add(&mut self, tokens: f64) {
        let max = (self.per_s * BURST_SECONDS).max(MIN_BURST);
        self.tokens = (self.tokens + tokens).min(max);
    }

    fn set_rate(&mut self, per_s: f64, now: Instant) {
        self.fill(now);
        self.per_s = per_s;
        self.add(0.0);
    }

    /// Records a daemon's need in place of its previous one.
    fn need(&mut self, need: PendingNeed) {
        self.needs.retain(|former| former.daemon != need.daemon);
        let position = self.needs.partition_point(|other| other.expires_at <= need.expires_at);
        self.needs.insert(position, need);
    }

    /// Drops needs for which a permit would arrive too late.
    fn drop_expired(&mut self, now: Instant) {
        self.needs.retain(|need| need.count > 0 && now + DELIVERY_TIME < need.expires_at);
    }

    /// Takes the next permit for the daemon whose need expires first.
    fn issue_one(&mut self) -> Option<DaemonId> {
        let need = self.needs.first_mut().filter(|_| self.tokens >= 1.0)?;
        self.tokens -= 1.0;
        need.count -= 1;
        if need.count > 0 {
            return Some(need.daemon.clone());
        }
        Some(self.needs.remove(0).daemon)
    }

    /// Returns the time after which the next permit can be issued.
    fn wait(&self) -> Duration {
        Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / self.per_s)
    }
}

/// Issues permits for upstreams that have stated limits.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    buckets: BTreeMap<String, LimitBucket>,
}

impl PermitIssuer {
    /// Creates an issuer that has issued nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limit of an upstream; without a limit, nothing is issued for it.
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

    /// Records the permits that a daemon needs now, in place of its previous need, and those that
    /// it returns unused.
    pub fn record_need(&mut self, daemon: &DaemonId, need: &PermitNeed, now: Instant) {
        let Some(bucket) = self.buckets.get_mut(&need.upstream) else { return };
        bucket.fill(now);
        bucket.add(f64::from(need.returned));
        let lifetime = Duration::from_millis(need.lifetime_ms.into()).min(PERMIT_LIFETIME);
        bucket.need(PendingNeed {
            daemon: daemon.clone(),
            count: need.count,
            expires_at: now + lifetime,
            others: need.others.clone(),
        });
    }

    /// Issues the permits that are available now.
    pub fn issue(&mut self, now: Instant) -> Vec<IssuedPermits> {
        let mut issued: BTreeMap<(String, DaemonId), u32> = BTreeMap::new();
        for (upstream, bucket) in &mut self.buckets {
            bucket.fill(now);
            bucket.drop_expired(now);
            while let Some(daemon) = bucket.issue_one() {
                *issued.entry((upstream.clone(), daemon)).or_default() += 1;
            }
        }
        for permit in self.issue_others() {
            *issued.entry(permit).or_default() += 1;
        }
        let issued = issued.into_iter();
        issued
            .map(|((upstream, daemon), count)| IssuedPermits { daemon, upstream, count })
            .collect()
    }

    /// Takes permits that the needs of their own upstreams leave, for needs of other upstreams.
    fn issue_others(&mut self) -> Vec<(String, DaemonId)> {
        let unmet = self.buckets.iter().filter(|(_, bucket)| !bucket.needs.is_empty());
        let unmet: Vec<(String, Vec<PendingNeed>)> =
            unmet.map(|(name, bucket)| (name.clone(), bucket.needs.clone())).collect();
        let mut issued = Vec::new();
        for (upstream, mut needs) in unmet {
            for need in &mut needs {
                while need.count > 0
                    && let Some(other) = self.take_spare(&need.others)
                {
                    need.count -= 1;
                    issued.push((other, need.daemon.clone()));
                }
            }
            needs.retain(|need| need.count > 0);
            if let Some(bucket) = self.buckets.get_mut(&upstream) {
                bucket.needs = needs;
            }
        }
        issued
    }

    /// Takes a permit of the first upstream that has one and no needs of its own.
    fn take_spare(&mut self, upstreams: &[String]) -> Option<String> {
        let spare = |name: &&String| {
            let bucket = self.buckets.get(name.as_str());
            bucket.is_some_and(|bucket| bucket.needs.is_empty() && bucket.tokens >= 1.0)
        };
        let name = upstreams.iter().find(spare)?.clone();
        self.buckets.get_mut(&name)?.tokens -= 1.0;
        Some(name)
    }

    /// Returns the time after which the next permit can be issued; `None` without a limit.
    pub fn wait(&self, upstream: &str) -> Option<Duration> {
        self.buckets.get(upstream).map(LimitBucket::wait)
    }

    /// Removes upstreams that are no longer known.
    pub fn prune(&mut self, known: impl Fn(&str) -> bool) {
        self.buckets.retain(|upstream, _| known(upstream));
    }
}
