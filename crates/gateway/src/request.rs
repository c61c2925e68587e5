//! A caller's request on its way through the gateway, and the log line where it fails.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_fleet::{Organisation, Route, Service};
use hollowbarrow_member::{HttpAnswer, WakeWatch};
use hollowbarrow_routing::AttemptBounds;
use hollowbarrow_schema::RequestDigest;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use crate::attempt::AttemptHistory;
use crate::core::GatewayCore;
use crate::protocol::CallerHead;
use crate::refusal::Refusal;

/// Rank of a request where neither its route nor its organisation names one.
const LOWEST_PRIORITY: u8 = 9;

/// A request whose route, organisation and body are known.
pub(crate) struct CallerRequest {
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) received: Instant,
    /// When its caller gives it up, if the machine is not suspended.
    pub(crate) latest_end: Instant,
    /// Time of all suspensions until it was received.
    pub(crate) suspended_before: Duration,
    pub(crate) suspension: Arc<WakeWatch>,
    /// Tells whether two requests are the same one, sent again.
    pub(crate) digest: RequestDigest,
}

impl CallerRequest {
    /// Rank of the request; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        let organisation =
            self.organisation.as_ref().and_then(|organisation| organisation.priority);
        organisation.unwrap_or(self.route.priority).min(LOWEST_PRIORITY)
    }

    /// What bounds the attempts at it.
    pub(crate) fn bounds(&self) -> AttemptBounds {
        AttemptBounds {
            repeatable: self.route.kind.may_repeat(),
            max_runs: self.route.max_attempts,
            deadline: self.deadline(),
        }
    }

    /// When its caller gives it up. Callers do not wait longer because this machine slept.
    pub(crate) fn deadline(&self) -> Instant {
        let suspended =
            self.suspension.suspended(Instant::now()).saturating_sub(self.suspended_before);
        self.latest_end.checked_sub(suspended).unwrap_or(self.received)
    }

    /// Time that is left for its answer.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Counts the request as failed, and logs why.
    pub(crate) fn record_failed(
        &self,
        core: &GatewayCore,
        refusal: Refusal,
        history: &AttemptHistory,
    ) {
        self.log_failed(core, refusal, history.sends(), history.summary());
    }

    /// Counts a request as failed that went to no worker, and logs why.
    pub(crate) fn refuse_untried(&self, core: &GatewayCore, refusal: Refusal) -> HttpAnswer {
        self.log_failed(core, refusal, 0, "");
        refusal.to_answer(self.remaining())
    }

    fn log_failed(&self, core: &GatewayCore, refusal: Refusal, sends: u32, summary: &str) {
        core.metrics.count_request(refusal.name());
        log::warn!(
            "event=request_failed request={:?} content={:016x} route={} model={:?} status={} cause={} held_ms={} sends={} last={:?}",
            self.head.id,
            *self.digest,
            self.route.name,
            self.head.model.as_ref().map_or("", |model| model.as_str()),
            refusal.status().as_u16(),
            refusal.name(),
            self.received.elapsed().as_millis(),
            sends,
            summary,
        );
    }
}
