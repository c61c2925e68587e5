//! Permits to send requests to upstreams that have rate limits.
//!
//! The leader of the configuration log issues them to all daemons, including itself, while a
//! majority has confirmed within the last election timeout that it leads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hollowbarrow_routing::{
    LimitNotice, NoticeInterval, PERMIT_INTERVAL, PERMIT_POLL_INTERVAL, PERMIT_WAIT_TIMEOUT,
    Permit, UpstreamKey, limit_text,
};
use hollowbarrow_schema::{DaemonId, FleetMessage, PeerMessage, PermitAsk, PermitGrant, Term};
use hollowbarrow_upstream::read_limit;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use tokio::time::Instant;

use crate::core::DaemonCore;

/// Header in which an upstream reports its limit of requests per second over all daemons.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-hollowbarrow-limit");

/// Returns the name of an upstream's instance (name and epoch) in messages about rate limits.
pub(crate) fn limit_name(key: &UpstreamKey) -> String {
    format!("{}/{}", key.name, *key.epoch)
}

/// A permit taken for a request; returned on drop unless the request was sent.
pub(crate) struct HeldPermit {
    core: Arc<DaemonCore>,
    upstream: String,
    permit: Permit,
    sent: AtomicBool,
}

impl HeldPermit {
    /// Takes a permit if the upstream needs one and one is available.
    pub(crate) fn take(core: &Arc<DaemonCore>, key: &UpstreamKey, now: Instant) -> Option<Self> {
        let upstream = limit_name(key);
        let permit = core.limits().take(&upstream, now)?;
        Some(Self { core: Arc::clone(core), upstream, permit, sent: AtomicBool::new(false) })
    }

    /// Records that the request is being sent to the upstream.
    pub(crate) fn record_sent(&self) {
        self.sent.store(true, Ordering::Relaxed);
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if !self.sent.load(Ordering::Relaxed) {
            self.core.limits().give_back(&self.upstream, self.permit);
        }
    }
}

/// A request's wait for a permit, across all its tries to select an upstream.
pub(crate) struct PermitWait {
    core: Arc<DaemonCore>,
    /// End of the wait, once it has begun.
    limit: Option<Instant>,
}

impl PermitWait {
    /// Creates the wait of a request, not begun yet.
    pub(crate) fn new(core: &Arc<DaemonCore>) -> Self {
        Self { core: Arc::clone(core), limit: None }
    }

    /// Waits until a permit of one of several upstreams may be available.
    ///
    /// # Errors
    ///
    /// Fails with the time until a permit can be available if that is too late for the request.
    pub(crate) async fn wait_for_any(&mut self, upstreams: &[String]) -> Result<(), Duration> {
        let now = Instant::now();
        let granted = self.core.permits_granted.notified();
        let limit = self.limit.unwrap_or(now + PERMIT_WAIT_TIMEOUT);
        let left = limit.saturating_duration_since(now);
        {
            let mut limits = self.core.limits();
            let may_be_granted =
                limits.record_need_of_any(upstreams, left, self.limit.is_some(), now);
            if left.is_zero() || !may_be_granted {
                return Err(limits.wait(upstreams, now));
            }
            if self.limit.is_none() {
                limits.begin_wait();
            }
        }
        self.limit = Some(limit);
        self.core.permit_requested.notify_one();
        let _ = tokio::time::timeout(left.min(PERMIT_POLL_INTERVAL), granted).await;
        Ok(())
    }
}

impl Drop for PermitWait {
    fn drop(&mut self) {
        if self.limit.is_some() {
            self.core.limits().end_wait();
        }
    }
}

/// Records the rate limit that an upstream reports in an answer, whose request was sent at this
/// time.
pub(crate) fn record_limit(
    core: &DaemonCore,
    key: &UpstreamKey,
    headers: &HeaderMap,
    sent: Instant,
) {
    let limit = match read_limit(headers, &LIMIT_HEADER) {
        Ok(limit) => limit,
        Err(error) => {
            log::warn!("event=limit_unreadable upstream={} error={error:?}", key.name);
            return;
        }
    };
    let notice = LimitNotice { limit, span: NoticeInterval { sent, came: Instant::now() } };
    if core.limits().record_notice(&limit_name(key), notice) {
        let milli = limit_text(limit);
        log::info!("event=upstream_limit upstream={} milli_per_s={milli}", key.name);
    }
}

/// Issues permits while this daemon leads, and requests them, until the process ends.
pub(crate) async fn maintain_permits(core: Arc<DaemonCore>) {
    loop {
        // Waiting requests are reported at once, everything else after `PERMIT_INTERVAL`.
        let _ = tokio::time::timeout(PERMIT_INTERVAL, core.permit_requested.notified()).await;
        let now = Instant::now();
        if let Some(term) = leading_term(&core, now) {
            let grants = {
                let mut coordinator = core.limit_coordinator();
                coordinator.enter(term);
                coordinator.issue(now)
            };
            send_grants(&core, grants);
        }
        let ask = core.limits().due(now);
        let leader = core.config_log.view().leader;
        if let (Some(ask), Some(leader)) = (ask, leader) {
            if leader == *core.id() {
                handle_permit_ask(&core, &leader, &ask);
            } else {
                core.send(&leader, PeerMessage::Fleet(FleetMessage::PermitAsk(ask)));
            }
        }
    }
}

/// Returns the current term while a majority has confirmed within the last election timeout that
/// this daemon leads.
fn leading_term(core: &DaemonCore, now: Instant) -> Option<Term> {
    let view = core.config_log.view();
    let election = Duration::from_millis(core.settings.timing.election_ms);
    let confirmed = view.confirmed.is_some_and(|at| now.saturating_duration_since(at) < election);
    (view.leads && confirmed).then_some(view.term)
}

/// Handles a daemon's request for permits; only the leader issues them.
pub(crate) fn handle_permit_ask(core: &DaemonCore, from: &DaemonId, ask: &PermitAsk) {
    let now = Instant::now();
    let Some(term) = leading_term(core, now) else { return };
    let answer = {
        let mut coordinator = core.limit_coordinator();
        coordinator.enter(term);
        coordinator.handle_ask(from, ask, now)
    };
    send_grants(core, answer.grants);
}

fn send_grants(core: &DaemonCore, grants: BTreeMap<DaemonId, PermitGrant>) {
    for (daemon, grant) in grants {
        if daemon == *core.id() {
            handle_permit_grant(core, &grant);
        } else {
            core.send(&daemon, PeerMessage::Fleet(FleetMessage::PermitGrant(grant)));
        }
    }
}

/// Records granted permits and notifies the requests that wait for them.
pub(crate) fn handle_permit_grant(core: &DaemonCore, grant: &PermitGrant) {
    core.limits().record_grant(grant, Instant::now());
    core.permits_granted.notify_waiters();
}
