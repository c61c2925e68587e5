//! The leader's part in the rate limits of upstreams.
//!
//! The leader combines the limits that daemons report, publishes them to all daemons and issues
//! permits.
//!
//! Invariant: a new leader starts with nothing to issue, since its predecessor may just have issued
//! all that the limits allow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::{
    DaemonId, PermitAsk, PermitGrant, PermitTerms, RequestRate, Term, UpstreamLimit,
};
use tokio::time::Instant;

use crate::limit_table::LimitTable;
use crate::limits::{from_message, to_message};
use crate::permits::{IssuedPermits, PermitIssuer};

/// Time for which the leader keeps publishing that an upstream no longer states a limit.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// Interval at which limits are published to all daemons, unless one has changed. Daemons keep a
/// published limit for more than three times as long.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(900);

/// Limits of upstreams as reported by all daemons, and the issuer of permits.
#[derive(Clone, Debug, Default)]
pub struct LimitCoordinator {
    term: Term,
    notices: LimitTable<String>,
    issuer: PermitIssuer,
    /// When limits were last published to all daemons; `None` if one has changed since.
    last_published: Option<Instant>,
}

/// Effects of a message from a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskOutcome {
    /// Upstreams whose limit has changed.
    pub changed: Vec<(String, Option<RequestRate>)>,
    /// The messages to send to each daemon, including the answer to the sender.
    pub grants: BTreeMap<DaemonId, PermitGrant>,
}

impl LimitCoordinator {
    /// Creates the coordinator of a daemon that has never led.
    pub fn new() -> Self {
        Self::default()
    }

    /// Enters a term, and discards all state if the term is a new one.
    pub fn enter(&mut self, term: Term) {
        if self.term != term {
            *self = Self { term, ..Self::default() };
        }
    }

    /// Handles a message in which a daemon reports limits and asks for permits.
    pub fn handle_ask(&mut self, from: &DaemonId, ask: &PermitAsk, now: Instant) -> AskOutcome {
        let mut changed = Vec::new();
        for reported in &ask.limits {
            if self.notices.record(&reported.upstream, from_message(reported, now)) {
                let limit = self.notices.limit(&reported.upstream);
                self.issuer.set_limit(&reported.upstream, limit, now);
                changed.push((reported.upstream.clone(), limit));
                self.last_published = None;
            }
        }
        for need in &ask.needs {
            self.issuer.record_need(from, need, now);
        }
        let mut grants = self.issue(now);
        let answer = grants.entry(from.clone()).or_default();
        for need in &ask.needs {
            let wait = self.issuer.wait(&need.upstream);
            let wait_ms = wait.map(|wait| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
            let upstream = need.upstream.clone();
            answer.terms.push(PermitTerms { upstream, issued: 0, wait_ms });
        }
        answer.limits = self.known_limits(ask, now);
        AskOutcome { changed, grants }
    }

    /// Returns the known limits of the upstreams that a daemon's message names.
    fn known_limits(&self, ask: &PermitAsk, now: Instant) -> Vec<UpstreamLimit> {
        let reported = ask.limits.iter().map(|limit| limit.upstream.as_str());
        let needed = ask.needs.iter().map(|need| need.upstream.as_str());
        let names: BTreeSet<&str> = reported.chain(needed).collect();
        let known = names.into_iter().filter_map(|name| Some((name, self.notices.notice(name)?)));
        known.map(|(name, notice)| to_message(name, notice, now)).collect()
    }

    /// Issues the permits that are available now; returns the messages to send to each daemon.
    pub fn issue(&mut self, now: Instant) -> BTreeMap<DaemonId, PermitGrant> {
        let mut grants: BTreeMap<DaemonId, PermitGrant> = BTreeMap::new();
        for IssuedPermits { daemon, upstream, count } in self.issuer.issue(now) {
            let terms = PermitTerms { upstream, issued: count, wait_ms: None };
            grants.entry(daemon).or_default().terms.push(terms);
        }
        grants
    }

    /// Returns the limits that are due to be published now; empty if they were published within the
    /// interval.
    pub fn due_limits(&mut self, now: Instant) -> Vec<UpstreamLimit> {
        let recent = |at: Instant| now.saturating_duration_since(at) < PUBLISH_INTERVAL;
        if self.last_published.is_some_and(recent) {
            return Vec::new();
        }
        self.last_published = Some(now);
        self.published_limits(now)
    }

    /// Returns the limits to publish to daemons.
    pub fn published_limits(&self, now: Instant) -> Vec<UpstreamLimit> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let notices = self.notices.notices();
        let current = notices.filter(|(_, notice)| {
            notice.limit.is_some() || age(notice.span.came) < ENDED_RETENTION
        });
        current.map(|(upstream, notice)| to_message(upstream, notice, now)).collect()
    }

    /// Removes upstreams that are no longer known.
    pub fn prune(&mut self, known: impl Fn(&str) -> bool) {
        self.notices.prune(|upstream| known(upstream));
        self.issuer.prune(|upstream| known(upstream));
    }
}
