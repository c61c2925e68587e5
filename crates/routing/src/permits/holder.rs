//! The permits that were issued to one daemon.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hollowbarrow_schema::{PermitNeed, RequestRate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::{PERMIT_LIFETIME, permits_per_s};

/// Minimum pause between two messages about one upstream.
const NEED_PAUSE: Duration = Duration::from_millis(10);
/// Pause between two messages that only return permits.
const RETURN_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of needs recorded for one upstream.
const MAX_NEEDS: usize = 32;
/// Maximum number of other upstreams named for a need.
const MAX_OTHERS: usize = 4;
/// Time without an answer to a message after which the issuer is taken to be absent, and a daemon
/// issues permits to itself.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(600);
/// Share of a limit that all daemons together issue to themselves if no daemon issues permits.
/// Together with the permits of an issuer that other daemons still reach, it stays within the
/// tolerance of the limits.
const SELF_ISSUED_SHARE: f64 = 0.4;

/// Permission for one request to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// When the permit expires.
    expires_at: Instant,
    /// Whether the issuer issued the permit, so that it can be returned.
    issued: bool,
}

/// A request's need for a permit.
#[derive(Clone, Debug)]
struct RecordedNeed {
    expires_at: Instant,
    /// Upstreams whose permits serve as well.
    others: Vec<String>,
}

/// Permits and needs for one upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamPermits {
    /// Permits in order of expiry, the earliest first.
    permits: VecDeque<Permit>,
    /// Needs that are not fulfilled.
    needs: Vec<RecordedNeed>,
    /// Whether the newest need has not been sent to the issuer.
    unsent: bool,
    /// Number of permits that expired and have not been returned yet.
    returned: u32,
    /// When a message about this upstream was last sent to the issuer.
    last_sent: Option<Instant>,
    /// When the issuer expects to be able to issue the next permit.
    next_issue: Option<Instant>,
    /// When this daemon issues itself the next permit.
    next_self_issue: Option<Instant>,
}

impl UpstreamPermits {
    fn expire(&mut self, now: Instant) {
        while let Some(permit) = self.permits.front().filter(|permit| permit.expires_at <= now) {
            self.returned += u32::from(permit.issued);
            self.permits.pop_front();
        }
        self.needs.retain(|need| now < need.expires_at);
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

    /// Removes the need that expires first among those that a permit of an upstream serves.
    fn fulfil_first(&mut self, served: impl Fn(&RecordedNeed) -> bool) -> Option<Instant> {
        let needs = self.needs.iter().enumerate().filter(|(_, need)| served(need));
        let (position, _) = needs.min_by_key(|(_, need)| need.expires_at)?;
        Some(self.needs.remove(position).expires_at)
    }

    /// Returns the upstreams whose permits serve all needs.
    fn common_others(&self) -> Vec<String> {
        let Some((first, rest)) = self.needs.split_first() else { return Vec::new() };
        let serves_all =
            |name: &&String| rest.iter().all(|need| need.others.iter().any(|one| one == *name));
        first.others.iter().filter(serves_all).cloned().collect()
    }
}

/// The permits of one daemon for upstreams that have stated limits.
#[derive(Clone, Debug)]
pub struct PermitHolder {
    upstreams: BTreeMap<String, UpstreamPermits>,
    /// Since when the issuer has not answered.
    unanswered_since: Option<Instant>,
    rng: ChaCha8Rng,
}

impl PermitHolder {
    /// Creates a holder without permits. The seed is for permits that the daemon issues to itself.
    pub fn new(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { upstreams: BTreeMap::new(), unanswered_since: None, rng }
    }

    /// Returns whether a permit is available for an upstream with this limit, which `daemons`
    /// daemons share.
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

    /// Returns the number of needs that are not fulfilled yet.
    pub fn count_needs(&self, upstream: &str, now: Instant) -> usize {
        let needs = self.upstreams.get(upstream).map(|entry| entry.needs.as_slice());
        needs.unwrap_or_default().iter().filter(|need| now < need.expires_at).count()
    }

    /// Takes a permit for a request, if one is available.
    pub fn take(&mut self, upstream: &str, now: Instant) -> Option<Permit> {
        let entry = self.upstreams.get_mut(upstream)?;
        entry.expire(now);
        entry.permits.pop_front()
    }

    /// Returns a permit that was taken for a request which was not sent.
    pub fn give_back(&mut self, upstream: &str, permit: Permit) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.add(permit);
        }
    }

    /// Records that a request could use a permit for the given time, unless the issuer has stated
    /// that none can be issued within it; returns whether a permit may arrive.
    pub fn record_need(&mut self, upstream: &str, lifetime: Duration, now: Instant) -> bool {
        self.record_need_of_any(upstream, &[], lifetime, now)
    }

    /// Records that a request could use a permit of one upstream or, if that has none to issue, of
    /// one of `others`; returns whether a permit of the first one may arrive.
    pub fn record_need_of_any(
        &mut self,
        upstream: &str,
        others: &[&str],
        lifetime: Duration,
        now: Instant,
    ) -> bool {
        let entry = self.upstreams.entry(upstream.to_owned()).or_default();
        if entry.next_issue.is_some_and(|next_issue| next_issue > now + lifetime) {
            return false;
        }
        if entry.needs.len() < MAX_NEEDS {
            let expires_at = now + lifetime.min(PERMIT_LIFETIME);
            let others = others.iter().take(MAX_OTHERS).map(|one| (*one).to_owned()).collect();
            entry.needs.push(RecordedNeed { expires_at, others });
            entry.unsent = true;
        }
        true
    }

    /// Returns the needs and returned permits that are due to the issuer now.
    pub fn due(&mut self, now: Instant) -> Vec<PermitNeed> {
        let mut needs = Vec::new();
        for (upstream, entry) in &mut self.upstreams {
            entry.expire(now);
            if !entry.is_due(now) {
                continue;
            }
            entry.last_sent = Some(now);
            entry.unsent = false;
            let last = entry.needs.iter().map(|need| need.expires_at).max().unwrap_or(now);
            needs.push(PermitNeed {
                upstream: upstream.clone(),
                count: entry.needs.len() as u32,
                lifetime_ms: last.saturating_duration_since(now).as_millis() as u32,
                returned: std::mem::take(&mut entry.returned),
                others: entry.common_others(),
            });
        }
        if !needs.is_empty() {
            self.unanswered_since.get_or_insert(now);
        }
        needs
    }

    /// Records permits that were issued, each for the need that expires first. Permits without a
    /// need have arrived too late and are returned.
    pub fn record_issued(&mut self, upstream: &str, count: u32, now: Instant) {
        self.unanswered_since = None;
        for _ in 0..count {
            let need = self.fulfil_one(upstream, now);
            let entry = self.upstreams.entry(upstream.to_owned()).or_default();
            match need {
                Some(expires_at) => entry.add(Permit { expires_at, issued: true }),
                None => entry.returned += 1,
            }
        }
    }

    /// Removes the need that a permit of an upstream serves: one of its own, or else one of another
    /// upstream.
    fn fulfil_one(&mut self, upstream: &str, now: Instant) -> Option<Instant> {
        let waits = |need: &RecordedNeed| now < need.expires_at;
        let own = self.upstreams.get_mut(upstream).and_then(|entry| entry.fulfil_first(waits));
        let serves =
            |need: &RecordedNeed| waits(need) && need.others.iter().any(|other| other == upstream);
        own.or_else(|| self.upstreams.values_mut().find_map(|entry| entry.fulfil_first(serves)))
    }

    /// Records the time after which the issuer expects to issue the next permit, and drops the
    /// needs that expire before.
    pub fn record_wait(&mut self, upstream: &str, wait: Duration, now: Instant) {
        self.unanswered_since = None;
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.next_issue = Some(now + wait);
            entry.needs.retain(|need| need.expires_at >= now + wait);
        }
    }

    /// Keeps at most one permit for an upstream whose limit has decreased.
    pub fn record_limit_decrease(&mut self, upstream: &str) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.permits.truncate(1);
        }
    }

    /// Drops the times of the next permits of an upstream whose limit has risen or ended: they follow
    /// from the former limit.
    pub fn record_limit_increase(&mut self, upstream: &str) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.next_issue = None;
            entry.next_self_issue = None;
        }
    }

    /// Returns the time after which the issuer expects to issue a permit; zero if that is not
    /// known.
    pub fn wait(&self, upstream: &str, now: Instant) -> Duration {
        let next_issue = self.upstreams.get(upstream).and_then(|entry| entry.next_issue);
        next_issue.map_or(Duration::ZERO, |next_issue| next_issue.saturating_duration_since(now))
    }

    /// Returns whether the issuer has not answered for so long that it is taken to be absent.
    fn is_issuer_silent(&self, now: Instant) -> bool {
        let silence = self.unanswered_since.map(|since| now.saturating_duration_since(since));
        silence.is_some_and(|silence| silence >= ISSUER_TIMEOUT)
    }

    /// Removes upstreams without a limit.
    pub fn prune(&mut self, limited: impl Fn(&str) -> bool) {
        self.upstreams.retain(|upstream, _| limited(upstream));
        if self.upstreams.is_empty() {
            self.unanswered_since = None;
        }
    }
}

/// Issues a permit to this daemon at times drawn at random, a few a second over all daemons. A
/// permit that is not used in time is lost, so that daemons do not save up permits.
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
