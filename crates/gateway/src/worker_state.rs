//! What is known of a worker's instance after a connection to it has ended.

use std::sync::Arc;

use hollowbarrow_reach::{
    InstanceProbe, InstanceReply, InstanceState, InstanceWatch, UpstreamTarget,
};
use hollowbarrow_schema::WorkerId;
use hollowbarrow_upstream::UpstreamCall;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::attempt::target_of;
use crate::core::GatewayCore;
use crate::picker::PickedWorker;
use crate::protocol::CallerProtocol;
use crate::request::CallerRequest;

/// Recognises an instance of a worker.
struct WorkerProbe {
    protocol: Arc<dyn CallerProtocol>,
    worker: WorkerId,
}

impl InstanceProbe for WorkerProbe {
    fn instance(&self) -> String {
        self.worker.to_string()
    }

    fn call(&self) -> UpstreamCall {
        self.protocol.write_probe(&self.worker)
    }

    fn read_answer(&self, status: StatusCode, body: &[u8]) -> InstanceReply {
        self.protocol.read_probe_answer(&self.worker, status, body)
    }
}

/// Returns the probe that recognises an instance of a worker.
pub(crate) fn probe_of(core: &GatewayCore, worker: &WorkerId) -> Arc<dyn InstanceProbe> {
    let protocol = Arc::clone(&core.protocol);
    Arc::new(WorkerProbe { protocol, worker: worker.clone() })
}

/// An answer that has neither a length nor chunks, and ends with its connection.
pub(crate) struct UnframedAnswer {
    target: UpstreamTarget,
    probe: Arc<dyn InstanceProbe>,
    _watch: InstanceWatch,
}

impl UnframedAnswer {
    /// Creates the answer of a worker that has sent its head.
    pub(crate) fn new(core: &GatewayCore, request: &CallerRequest, worker: &PickedWorker) -> Self {
        let (target, probe) = (target_of(request, worker), probe_of(core, &worker.id));
        let watch = core.reach.watch_instance(&target, &probe);
        Self { target, probe, _watch: watch }
    }

    /// Returns whether the answer is complete after its connection has ended in order: whether the
    /// worker's instance still runs, so that it has closed the connection itself. A worker that does not
    /// answer is asked again until the limit.
    pub(crate) async fn is_complete(
        &self,
        core: &GatewayCore,
        request: &CallerRequest,
        bytes: usize,
        until: Instant,
    ) -> bool {
        let ended = Instant::now();
        let state = core.reach.confirm_instance(&self.target, &self.probe, until).await;
        core.metrics.count_unframed_answer(state);
        if state == InstanceState::Running {
            return true;
        }
        log::warn!(
            "event=answer_doubtful request={:?} worker={} bytes={bytes} state={} checked_ms={}",
            request.head.id,
            self.target.name,
            state.name(),
            ended.elapsed().as_millis(),
        );
        false
    }
}
