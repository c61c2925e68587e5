//! A caller's request while the gateway handles it, and the log line for its failure.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_fleet::{Organisation, Route, Service};
use hollowbarrow_ingress::HttpAnswer;
use hollowbarrow_member::SuspensionDetector;
use hollowbarrow_routing::{AttemptBounds, RequestContents};
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use crate::attempt::AttemptHistory;
use crate::core::GatewayCore;
use crate::protocol::CallerHead;
use crate::refusal::Refusal;

/// Least urgent priority; larger values of routes and organisations are reduced to it.
const LOWEST_PRIORITY: u8 = 9;

/// A request that was read and routed.
pub(crate) struct CallerRequest {
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) received: Instant,
    /// The deadline, if the machine is not suspended before.
    pub(crate) latest_end: Instant,
    /// Total time of suspensions before the request was received.
    pub(crate) suspended_before: Duration,
    pub(crate) suspension: Arc<SuspensionDetector>,
    /// Contents by which it is recognised if it crashes workers.
    pub(crate) contents: RequestContents,
}

impl CallerRequest {
    /// Returns the priority of the request; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        let organisation =
            self.organisation.as_ref().and_then(|organisation| organisation.priority);
        organisation.unwrap_or(self.route.priority).min(LOWEST_PRIORITY)
    }

    /// Returns the bounds on attempts at the request.
    pub(crate) fn bounds(&self) -> AttemptBounds {
        AttemptBounds {
            repeatable: self.route.kind.may_repeat(),
            max_runs: self.route.max_attempts,
            deadline: self.deadline(),
        }
    }

    /// Returns the time at which the caller gives up. Time in which this machine was suspended
    /// counts, because the caller does not wait longer for it.
    pub(crate) fn deadline(&self) -> Instant {
        let suspended =
            self.suspension.suspended(Instant::now()).saturating_sub(self.suspended_before);
        self.latest_end.checked_sub(suspended).unwrap_or(self.received)
    }

    /// Returns the time that remains until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Counts the request as failed and logs the reason.
    pub(crate) fn record_failed(
        &self,
        core: &GatewayCore,
        refusal: Refusal,
        history: &AttemptHistory,
    ) {
        self.log_failed(core, refusal, history.sends(), history.summary());
    }

    /// Counts the request as failed before any attempt, logs the reason and returns the answer.
    pub(crate) fn refuse_untried(&self, core: &GatewayCore, refusal: Refusal) -> HttpAnswer {
        self.log_failed(core, refusal, 0, "");
        refusal.to_answer(self.remaining())
    }

    fn log_failed(&self, core: &GatewayCore, refusal: Refusal, sends: u32, summary: &str) {
        core.metrics.count_request(refusal.name());
        log::warn!(
            "event=request_failed request={:?} content={:016x} route={} model={:?} status={} cause={} held_ms={} sends={} last={:?}",
            self.head.id,
            *self.contents.whole(),
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
