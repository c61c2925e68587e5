//! What the leader does of upstreams that name limits.
//!
//! It puts together what daemons heard, tells all of them, and issues permits.
//!
//! Invariant: a leader begins with nothing to issue, since the one before it may just have issued
//! what the limits allow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::{
    DaemonId, PermitAsk, PermitGrant, PermitTerms, RequestRate, Term, UpstreamLimit,
};
use tokio::time::Instant;

use crate::limit_table::LimitTable;
use crate::limits::{from_message, to_message};
use crate::permits::{IssuedPermits, PermitIssuer};

/// Time for which daemons are told that an upstream names no limit any more.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// Pause between two times that all daemons are told of limits, unless one has changed. Daemons keep
/// what they were told for three times as long.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(900);

/// Limits of upstreams as all daemons heard them, and what is issued.
#[derive(Clone, Debug, Default)]
pub struct LimitCoordinator {
    term: Term,
    notices: LimitTable<String>,
    issuer: PermitIssuer,
    /// When all daemons were last told of limits; none where one has changed since.
    published: Option<Instant>,
}

/// What follows from what a daemon told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskOutcome {
    /// Upstreams whose limit is another one now.
    pub changed: Vec<(String, Option<RequestRate>)>,
    /// What to send to whom, an answer to the daemon that told among it.
    pub grants: BTreeMap<DaemonId, PermitGrant>,
}

impl LimitCoordinator {
    /// Creates the coordinator of a daemon that has never led.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins anew where the term is another one than before.
    pub fn enter(&mut self, term: Term) {
        if self.term != term {
            *self = Self { term, ..Self::default() };
        }
    }

    /// Takes in what a daemon tells.
    pub fn handle_ask(&mut self, from: &DaemonId, ask: &PermitAsk, now: Instant) -> AskOutcome {
        let mut changed = Vec::new();
        for reported in &ask.limits {
            if self.notices.record(&reported.upstream, from_message(reported, now)) {
                let limit = self.notices.limit(&reported.upstream);
                self.issuer.set_limit(&reported.upstream, limit, now);
                changed.push((reported.upstream.clone(), limit));
                self.published = None;
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

    /// What is known of the upstreams that a daemon tells of or asks for.
    fn known_limits(&self, ask: &PermitAsk, now: Instant) -> Vec<UpstreamLimit> {
        let reported = ask.limits.iter().map(|limit| limit.upstream.as_str());
        let needed = ask.needs.iter().map(|need| need.upstream.as_str());
        let names: BTreeSet<&str> = reported.chain(needed).collect();
        let known = names.into_iter().filter_map(|name| Some((name, self.notices.notice(name)?)));
        known.map(|(name, notice)| to_message(name, notice, now)).collect()
    }

    /// Issues what can be issued now; what to send to whom.
    pub fn issue(&mut self, now: Instant) -> BTreeMap<DaemonId, PermitGrant> {
        let mut grants: BTreeMap<DaemonId, PermitGrant> = BTreeMap::new();
        for IssuedPermits { daemon, upstream, count } in self.issuer.issue(now) {
            let terms = PermitTerms { upstream, issued: count, wait_ms: None };
            grants.entry(daemon).or_default().terms.push(terms);
        }
        grants
    }

    /// What all daemons are to be told of limits now; nothing where that was told a moment ago.
    pub fn due_limits(&mut self, now: Instant) -> Vec<UpstreamLimit> {
        let recent = |at: Instant| now.saturating_duration_since(at) < PUBLISH_INTERVAL;
        if self.published.is_some_and(recent) {
            return Vec::new();
        }
        self.published = Some(now);
        self.published_limits(now)
    }

    /// What daemons are told of limits.
    pub fn published_limits(&self, now: Instant) -> Vec<UpstreamLimit> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let notices = self.notices.notices();
        let current = notices.filter(|(_, notice)| {
            notice.limit.is_some() || age(notice.span.came) < ENDED_RETENTION
        });
        current.map(|(upstream, notice)| to_message(upstream, notice, now)).collect()
    }

    /// Forgets upstreams that are not known any more.
    pub fn prune(&mut self, known: impl Fn(&str) -> bool) {
        self.notices.prune(|upstream| known(upstream));
        self.issuer.prune(|upstream| known(upstream));
    }
}
