//! Rate limits of upstreams as one daemon knows them, and its permits to send to these upstreams.
//!
//! A daemon learns limits from the answers to its own requests and from the leader, which collects
//! them from all daemons. The daemon's own notice takes precedence unless the leader's is certainly
//! newer.
//!
//! Invariant: a request is sent to an upstream with a limit only with a permit.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_schema::{PermitAsk, PermitGrant, PermitNeed, RequestRate, UpstreamLimit};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::limit_table::{LimitNotice, LimitTable, NoticeInterval};
use crate::permits::{Permit, PermitHolder};

/// Assumed maximum delivery time of a message, by which a notice from another daemon may be older
/// than its stated age.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(200);
/// Time for which a published notice is kept after the leader stops publishing it. A new leader
/// learns the limit within this time.
const PUBLISHED_RETENTION: Duration = Duration::from_secs(3);
/// Pause between two reports to the leader about a limit that it does not seem to know.
const REPORT_PAUSE: Duration = Duration::from_millis(250);

/// Converts a notice to the message that is sent to another daemon.
pub(crate) fn to_message(upstream: &str, notice: &LimitNotice, now: Instant) -> UpstreamLimit {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
    UpstreamLimit {
        upstream: upstream.to_owned(),
        limit: notice.limit,
        sent_ms: age(notice.span.sent),
        came_ms: age(notice.span.came),
    }
}

/// Converts a message from another daemon to a notice. The time that the message took to arrive
/// makes the notice seem newer than it is, so the start of its interval is moved back.
pub(crate) fn from_message(message: &UpstreamLimit, now: Instant) -> LimitNotice {
    let before = |ms: u32| now.checked_sub(Duration::from_millis(ms.into())).unwrap_or(now);
    let came = before(message.came_ms);
    let sent = before(message.sent_ms);
    let sent = sent.checked_sub(MAX_DELIVERY_TIME).unwrap_or(sent);
    LimitNotice { limit: message.limit, span: NoticeInterval { sent, came } }
}

/// A notice that the leader published.
#[derive(Clone, Copy, Debug)]
struct PublishedNotice {
    notice: LimitNotice,
    /// When the leader last published the notice.
    received: Instant,
}

/// Limits of upstreams, and the permits to send to them.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    local: LimitTable<String>,
    published: HashMap<String, PublishedNotice>,
    holder: PermitHolder,
    /// When each limit was last reported to the leader.
    reported: HashMap<String, Instant>,
    /// Number of requests that wait for a permit.
    waiting_requests: usize,
    rng: ChaCha8Rng,
}

impl UpstreamLimits {
    /// Creates the limits of a daemon that knows of none. The seed is for the choice among upstreams
    /// that are equally in demand, and for permits that the daemon issues to itself when no leader
    /// issues any.
    pub fn new(seed: u64) -> Self {
        Self {
            local: LimitTable::new(),
            published: HashMap::new(),
            holder: PermitHolder::new(seed),
            rng: ChaCha8Rng::seed_from_u64(seed),
            reported: HashMap::new(),
            waiting_requests: 0,
        }
    }

    /// Returns the request rate that an upstream accepts, if it has stated a limit.
    pub fn limit(&self, upstream: &str) -> Option<RequestRate> {
        self.newest(upstream)?.limit
    }

    fn newest(&self, upstream: &str) -> Option<LimitNotice> {
        let published = self.published.get(upstream).map(|published| published.notice);
        let local = self.local.notice(upstream);
        match (local, published) {
            (Some(local), Some(published)) if published.is_after(local) => Some(published),
            (Some(local), _) => Some(*local),
            (None, published) => published,
        }
    }

    /// Records the notice in the head of an answer; returns whether the limit has changed.
    pub fn record_notice(&mut self, upstream: &str, notice: LimitNotice) -> bool {
        let former = self.limit(upstream);
        let name = upstream.to_owned();
        if self.local.notice(upstream).is_none()
            && let Some(published) = self.published.get(upstream)
        {
            // The published notice must be in the local table for the new notice to be able to end
            // its limit.
            self.local.record(&name, published.notice);
        }
        self.local.record(&name, notice);
        if former != self.limit(upstream) {
            self.reported.remove(upstream);
        }
        self.apply_change(upstream, former)
    }

    /// Records the limits that the leader publishes.
    pub fn record_published(&mut self, limits: &[UpstreamLimit], now: Instant) {
        for published in limits {
            let former = self.limit(&published.upstream);
            let notice = from_message(published, now);
            self.published
                .insert(published.upstream.clone(), PublishedNotice { notice, received: now });
            self.apply_change(&published.upstream, former);
        }
        let kept = |notice: &PublishedNotice| {
            now.saturating_duration_since(notice.received) < PUBLISHED_RETENTION
        };
        self.published.retain(|_, notice| kept(notice));
    }

    /// Drops permits that a lowered limit would not have allowed, or waits that follow from a former
    /// limit; returns whether the limit has changed.
    fn apply_change(&mut self, upstream: &str, former: Option<RequestRate>) -> bool {
        let limit = self.limit(upstream);
        let decreases = match (former, limit) {
            (Some(former), Some(limit)) => limit < former,
            _ => false,
        };
        if decreases {
            self.holder.record_limit_decrease(upstream);
        } else if limit != former {
            self.holder.record_limit_increase(upstream);
        }
        limit != former
    }

    /// Returns the limited upstreams for which this daemon has no permit, if `daemons` daemons
    /// share each limit.
    pub fn without_permit(&mut self, daemons: u32, now: Instant) -> HashSet<String> {
        let names: BTreeSet<&String> =
            self.local.notices().map(|(name, _)| name).chain(self.published.keys()).collect();
        let limited: Vec<(String, RequestRate)> =
            names.into_iter().filter_map(|name| Some((name.clone(), self.limit(name)?))).collect();
        let lacks_permit = |(name, limit): &(String, RequestRate)| {
            !self.holder.has_permit(name, *limit, daemons, now)
        };
        limited.into_iter().filter(lacks_permit).map(|(name, _)| name).collect()
    }

    /// Takes a permit for a request; returns `None` if the upstream has no limit or no permit is
    /// available.
    pub fn take(&mut self, upstream: &str, now: Instant) -> Option<Permit> {
        self.limit(upstream)?;
        self.holder.take(upstream, now)
    }

    /// Returns a permit that was taken for a request which was not sent.
    pub fn give_back(&mut self, upstream: &str, permit: Permit) {
        self.holder.give_back(upstream, permit);
    }

    /// Records that a later request could use a permit, while the present one is sent to another
    /// upstream.
    pub fn record_future_need(&mut self, upstream: &str, lifetime: Duration, now: Instant) {
        self.holder.record_need(upstream, lifetime, now);
    }

    /// Records that a request waits for a permit of one of several upstreams or, if `is_waiting`,
    /// that it still does. Returns false if no permit can arrive in time.
    pub fn record_need_of_any(
        &mut self,
        upstreams: &[String],
        lifetime: Duration,
        is_waiting: bool,
        now: Instant,
    ) -> bool {
        let needs: usize = upstreams.iter().map(|one| self.holder.count_needs(one, now)).sum();
        if is_waiting && needs >= self.waiting_requests {
            return true;
        }
        let mut order: Vec<&String> = upstreams.iter().collect();
        order.shuffle(&mut self.rng);
        order.sort_by_key(|one| (self.holder.wait(one, now), self.holder.count_needs(one, now)));
        let holder = &mut self.holder;
        (0..order.len()).any(|first| {
            let others = order.iter().filter(|one| **one != order[first]);
            let others: Vec<&str> = others.map(|one| one.as_str()).collect();
            holder.record_need_of_any(order[first], &others, lifetime, now)
        })
    }

    /// Returns the shortest time after which one of several upstreams may have a permit.
    pub fn wait(&self, upstreams: &[String], now: Instant) -> Duration {
        let waits = upstreams.iter().map(|one| self.holder.wait(one, now));
        waits.min().unwrap_or_default()
    }

    /// Records that a request starts to wait for a permit.
    pub fn begin_wait(&mut self) {
        self.waiting_requests += 1;
    }

    /// Records that a request stops waiting for a permit.
    pub fn end_wait(&mut self) {
        self.waiting_requests = self.waiting_requests.saturating_sub(1);
    }

    /// Returns the message that is due to the leader now, if any.
    pub fn due(&mut self, now: Instant) -> Option<PermitAsk> {
        let limits = self.due_notices(now);
        let needs: Vec<PermitNeed> = self.holder.due(now);
        (!limits.is_empty() || !needs.is_empty()).then_some(PermitAsk { limits, needs })
    }

    /// Returns limits that the leader does not seem to know.
    fn due_notices(&mut self, now: Instant) -> Vec<UpstreamLimit> {
        let mut due = Vec::new();
        for (name, local) in self.local.notices() {
            let published = self.published.get(name).map(|published| published.notice);
            let known = published.and_then(|published| published.limit) == local.limit;
            let paused = self.reported.get(name).is_some_and(|at| *at + REPORT_PAUSE > now);
            if known || paused || published.is_some_and(|published| published.is_after(local)) {
                continue;
            }
            due.push(to_message(name, local, now));
        }
        self.reported.extend(due.iter().map(|limit| (limit.upstream.clone(), now)));
        due
    }

    /// Records the permits that the leader issued.
    pub fn record_grant(&mut self, grant: &PermitGrant, now: Instant) {
        self.record_published(&grant.limits, now);
        for terms in &grant.terms {
            self.holder.record_issued(&terms.upstream, terms.issued, now);
            if let Some(wait_ms) = terms.wait_ms
                && !self.is_outdated(&terms.upstream, grant)
            {
                let wait = Duration::from_millis(wait_ms.into());
                self.holder.record_wait(&terms.upstream, wait, now);
            }
        }
    }

    /// Returns whether the leader derived its terms for an upstream from a lower limit than the one
    /// that applies here.
    fn is_outdated(&self, upstream: &str, grant: &PermitGrant) -> bool {
        let stated = grant.limits.iter().find(|stated| stated.upstream == upstream);
        match (stated.and_then(|stated| stated.limit), self.limit(upstream)) {
            (Some(stated), Some(limit)) => stated < limit,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Removes upstreams that are no longer known.
    pub fn prune(&mut self, known: impl Fn(&str) -> bool) {
        self.local.prune(|name| known(name.as_str()));
        self.reported.retain(|name, _| known(name));
        let limited: HashSet<String> = self
            .local
            .notices()
            .map(|(name, _)| name.clone())
            .chain(self.published.keys().cloned())
            .collect();
        self.holder.prune(|name| limited.contains(name));
    }
}
