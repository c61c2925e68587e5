//! What is known of an upstream's process after a connection to it has ended.

use std::sync::Arc;

use hollowbarrow_reach::{
    InstanceProbe, InstanceReply, InstanceState, InstanceWatch, UpstreamTarget,
};
use hollowbarrow_schema::{NodeId, StartId};
use hollowbarrow_upstream::{UpstreamCall, parse_report, report_call};
use hyper::StatusCode;
use tokio::time::Instant;

use crate::caller_request::CallerRequest;
use crate::core::DaemonCore;
use crate::routes::{RouteEntry, RouteTarget};

/// Divisor of the remaining time of a request that may be repeated; the quotient is the longest time
/// for which an upstream is waited for that does not answer a check.
const CHECK_TIME_DIVISOR: u32 = 3;

/// Recognises the process of an upstream.
struct NodeProbe {
    name: String,
    /// Start of the process, if the upstream reports it. Any process is recognised otherwise.
    start: Option<StartId>,
}

impl InstanceProbe for NodeProbe {
    fn instance(&self) -> String {
        match self.start {
            Some(start) => format!("{}/{}", self.name, *start),
            None => self.name.clone(),
        }
    }

    fn call(&self) -> UpstreamCall {
        report_call()
    }

    fn read_answer(&self, status: StatusCode, body: &[u8]) -> InstanceReply {
        let Some(start) = self.start else { return InstanceReply::Same };
        match parse_report(status, body) {
            Ok(report) if *report.node == self.name && report.start == start => InstanceReply::Same,
            Ok(_) => InstanceReply::Other,
            Err(_) => InstanceReply::Unclear,
        }
    }
}

/// Returns the probe that recognises the process that runs at an upstream now.
pub(crate) fn probe_of(core: &DaemonCore, entry: &RouteEntry) -> Arc<dyn InstanceProbe> {
    let start = match &entry.target {
        RouteTarget::Replica(allocation) => allocation.starts.first().copied(),
        RouteTarget::Service(node) => observed_start(core, node),
        RouteTarget::Endpoint => None,
    };
    Arc::new(NodeProbe { name: entry.key.name.clone(), start })
}

fn observed_start(core: &DaemonCore, node: &NodeId) -> Option<StartId> {
    let start = core.fleet().leases.observation(node)?.start;
    // A plain service that does not report its start.
    (*start != 0).then_some(start)
}

/// An answer that has neither a length nor chunks, and ends with its connection.
pub(crate) struct UnframedAnswer<'a> {
    target: &'a UpstreamTarget,
    probe: &'a Arc<dyn InstanceProbe>,
    _watch: InstanceWatch,
}

impl<'a> UnframedAnswer<'a> {
    /// Creates the answer of an upstream that has sent its head.
    pub(crate) fn new(
        core: &DaemonCore,
        target: &'a UpstreamTarget,
        probe: &'a Arc<dyn InstanceProbe>,
    ) -> Self {
        Self { target, probe, _watch: core.reach.watch_instance(target, probe) }
    }

    /// Returns whether the answer is complete after its connection has ended in order: whether the
    /// upstream's process still runs, so that it has closed the connection itself.
    pub(crate) async fn is_complete(
        &self,
        core: &DaemonCore,
        request: &CallerRequest,
        bytes: usize,
    ) -> bool {
        let ended = Instant::now();
        let until = check_limit(request, ended);
        let state = core.reach.confirm_instance(self.target, self.probe, until).await;
        core.telemetry.record_unframed_answer(state);
        if state == InstanceState::Running {
            return true;
        }
        log::warn!(
            "event=answer_doubtful request={:?} upstream={} bytes={bytes} state={} checked_ms={}",
            request.id,
            self.target.name,
            state.name(),
            ended.elapsed().as_millis(),
        );
        false
    }
}

/// Returns until when an upstream is waited for that does not answer a check.
fn check_limit(request: &CallerRequest, ended: Instant) -> Instant {
    if request.not_repeatable {
        return request.deadline;
    }
    ended + request.deadline.saturating_duration_since(ended) / CHECK_TIME_DIVISOR
}
