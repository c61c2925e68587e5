//! Holds the permits that one daemon was issued.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hollowbarrow_schema::{PermitNeed, RequestRate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::{PERMIT_LIFETIME, permits_per_s};

/// Shortest pause between two messages about one upstream.
const NEED_PAUSE: Duration = Duration::from_millis(10);
/// Pause between two messages that only return permits.
const RETURN_PAUSE: Duration = Duration::from_millis(50);
/// Most needs that are noted at once.
const MAX_NEEDS: usize = 32;
/// Silence of the issuer after an ask from which on a daemon permits itself requests.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(600);
/// Part of a limit that all daemons together permit themselves where nobody issues permits. With
/// what an issuer that others still reach gives out meanwhile, it stays within what limits bear.
const SELF_ISSUED_SHARE: f64 = 0.4;

/// Permission for one request to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// When it runs out.
    expires_at: Instant,
    /// Whether the issuer gave it, so that it can be returned.
    issued: bool,
}

/// What is held for one upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamPermits {
    /// The one that runs out next comes first.
    permits: VecDeque<Permit>,
    /// When each need that is not fulfilled ends.
    needs: Vec<Instant>,
    /// Whether the issuer does not know the newest of them.
    unsent: bool,
    /// Permits that ran out and were not returned yet.
    returned: u32,
    /// When the issuer was last told.
    last_sent: Option<Instant>,
    /// When the issuer said that it can issue the next permit.
    next_issue: Option<Instant>,
    /// When this daemon permits itself the next request.
    next_self_issue: Option<Instant>,
}

impl UpstreamPermits {
    fn expire(&mut self, now: Instant) {
        while let Some(permit) = self.permits.front().filter(|permit| permit.expires_at <= now) {
            self.returned += u32::from(permit.issued);
            self.permits.pop_front();
        }
        self.needs.retain(|expires_at| now < *expires_at);
    }

    fn is_due(&self, now: Instant) -> bool {
        let passed = |pause: Duration| {
            self.last_sent.is_none_or(|at| now.saturating_duration_since(at) >= pause)
        };
        let needs = self.unsent && !self.needs.is_empty();
        (needs && passed(NEED_PAUSE)) || (self.returned > 0 && passed(RETURN_PAUSE))
    }

    fn add(&mut self, permit: Permit) {
        let position = self.permits.partition_point(|other| other.expires_at <= permit.expires_at);
        self.permits.insert(position, permit);
    }

    /// Takes permits in, each for the need that ends first; those that come too late are returned.
    fn fulfil(&mut self, count: u32) {
        self.needs.sort();
        for _ in 0..count {
            if self.needs.is_empty() {
                self.returned += 1;
            } else {
                let expires_at = self.needs.remove(0);
                self.add(Permit { expires_at, issued: true });
            }
        }
    }
}

/// The permits of one daemon for upstreams that have named limits.
#[derive(Clone, Debug)]
pub struct PermitHolder {
    upstreams: HashMap<String, UpstreamPermits>,
    /// Since when the issuer has not answered.
    unanswered_since: Option<Instant>,
    rng: ChaCha8Rng,
}

impl PermitHolder {
    /// Creates a holder without permits; the seed is for times at which nobody issues permits.
    pub fn new(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { upstreams: HashMap::new(), unanswered_since: None, rng }
    }

    /// Whether a permit is there for an upstream with this limit, which so many daemons share.
    pub fn has_permit(
        &mut self,
        upstream: &str,
        limit: RequestRate,
        daemons: u32,
        now: Instant,
    ) -> bool {
        let silent = self.is_issuer_silent(now);
        let entry = self.upstreams.entry(upstream.to_owned()).or_default();
        entry.expire(now);
        if silent {
            let per_s = permits_per_s(limit) * SELF_ISSUED_SHARE / f64::from(daemons.max(1));
            issue_to_self(entry, per_s, &mut self.rng, now);
        } else {
            entry.next_self_issue = None;
        }
        !entry.permits.is_empty()
    }

    /// Needs that are not fulfilled yet.
    pub fn count_needs(&self, upstream: &str, now: Instant) -> usize {
        let needs = self.upstreams.get(upstream).map(|entry| entry.needs.as_slice());
        needs.unwrap_or_default().iter().filter(|expires_at| now < **expires_at).count()
    }

    /// Takes a permit for a request, if there is one.
    pub fn take(&mut self, upstream: &str, now: Instant) -> Option<Permit> {
        let entry = self.upstreams.get_mut(upstream)?;
        entry.expire(now);
        entry.permits.pop_front()
    }

    /// Gives a permit back that was taken for a request which did not go.
    pub fn give_back(&mut self, upstream: &str, permit: Permit) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.add(permit);
        }
    }

    /// Notes that a request could use a permit for some time, unless the issuer has said that none
    /// can come meanwhile; true where it may come.
    pub fn record_need(&mut self, upstream: &str, lifetime: Duration, now: Instant) -> bool {
        let entry = self.upstreams.entry(upstream.to_owned()).or_default();
        if entry.next_issue.is_some_and(|next_issue| next_issue > now + lifetime) {
            return false;
        }
        if entry.needs.len() < MAX_NEEDS {
            entry.needs.push(now + lifetime.min(PERMIT_LIFETIME));
            entry.unsent = true;
        }
        true
    }

    /// What to tell the issuer now.
    pub fn due(&mut self, now: Instant) -> Vec<PermitNeed> {
        let mut needs = Vec::new();
        for (upstream, entry) in &mut self.upstreams {
            entry.expire(now);
            if !entry.is_due(now) {
                continue;
            }
            entry.last_sent = Some(now);
            entry.unsent = false;
            let last = entry.needs.iter().max().copied().unwrap_or(now);
            needs.push(PermitNeed {
                upstream: upstream.clone(),
                count: entry.needs.len() as u32,
                lifetime_ms: last.saturating_duration_since(now).as_millis() as u32,
                returned: std::mem::take(&mut entry.returned),
            });
        }
        if !needs.is_empty() {
            self.unanswered_since.get_or_insert(now);
        }
        needs
    }

    /// Takes permits in.
    pub fn record_issued(&mut self, upstream: &str, count: u32, now: Instant) {
        self.unanswered_since = None;
        let entry = self.upstreams.entry(upstream.to_owned()).or_default();
        entry.expire(now);
        entry.fulfil(count);
    }

    /// Takes in after what time the issuer expects to issue one more; drops the needs that end
    /// before.
    pub fn record_wait(&mut self, upstream: &str, wait: Duration, now: Instant) {
        self.unanswered_since = None;
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.next_issue = Some(now + wait);
            entry.needs.retain(|expires_at| *expires_at >= now + wait);
        }
    }

    /// Keeps one permit at most for an upstream whose limit has fallen.
    pub fn record_limit_decrease(&mut self, upstream: &str) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.permits.truncate(1);
        }
    }

    /// Time after which the issuer expects to issue a permit; zero where that is not known.
    pub fn wait(&self, upstream: &str, now: Instant) -> Duration {
        let next_issue = self.upstreams.get(upstream).and_then(|entry| entry.next_issue);
        next_issue.map_or(Duration::ZERO, |next_issue| next_issue.saturating_duration_since(now))
    }

    /// Whether nobody issues permits: the issuer does not answer.
    fn is_issuer_silent(&self, now: Instant) -> bool {
        let silence = self.unanswered_since.map(|since| now.saturating_duration_since(since));
        silence.is_some_and(|silence| silence >= ISSUER_TIMEOUT)
    }

    /// Forgets upstreams without a limit.
    pub fn prune(&mut self, limited: impl Fn(&str) -> bool) {
        self.upstreams.retain(|upstream, _| limited(upstream));
        if self.upstreams.is_empty() {
            self.unanswered_since = None;
        }
    }
}

/// Permits a request by itself at times drawn at random, a few a second over all daemons. A time
/// that passes unused is lost, so that daemons do not save up permits.
fn issue_to_self(entry: &mut UpstreamPermits, per_s: f64, rng: &mut ChaCha8Rng, now: Instant) {
    let mut draw = || Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / per_s);
    let next_issue = *entry.next_self_issue.get_or_insert_with(|| now + draw());
    if next_issue > now {
        return;
    }
    let expires_at = next_issue + PERMIT_LIFETIME;
    if now < expires_at && entry.permits.is_empty() {
        entry.add(Permit { expires_at, issued: false });
    }
    entry.next_self_issue = Some(now + draw());
}
