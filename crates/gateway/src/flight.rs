//! Counts requests while they are in flight, at this gateway and at their worker.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::time::Instant;

use crate::core::GatewayCore;
use crate::picker::PickedWorker;

/// Counts a request as in flight at this gateway until it is dropped.
pub(crate) struct InFlightGuard(Arc<GatewayCore>);

impl InFlightGuard {
    pub(crate) fn new(core: &Arc<GatewayCore>) -> Self {
        core.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(core))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as in flight at a worker until it is dropped.
pub(crate) struct WorkerAttempt {
    core: Arc<GatewayCore>,
    pub(crate) worker: PickedWorker,
    /// Whether the worker may still have to process the prompt.
    prefilling: bool,
    /// Whether the request was sent to the worker.
    sent: AtomicBool,
}

impl WorkerAttempt {
    /// Creates the attempt of a request that is already counted at its worker.
    pub(crate) fn new(core: &Arc<GatewayCore>, worker: PickedWorker) -> Self {
        Self { core: Arc::clone(core), worker, prefilling: true, sent: AtomicBool::new(false) }
    }

    /// Records that the request is sent to the worker.
    pub(crate) fn record_sent(&self) {
        self.sent.store(true, Ordering::Relaxed);
    }

    /// Records that part of the answer was received.
    pub(crate) fn record_progress(&mut self) {
        let mut picker = self.core.picker();
        if std::mem::take(&mut self.prefilling) {
            picker.end_prefill(&self.worker.id, self.worker.prefill_ms);
        }
        picker.record_progress(&self.worker.id, Instant::now());
    }
}

impl Drop for WorkerAttempt {
    fn drop(&mut self) {
        let mut picker = self.core.picker();
        if self.prefilling {
            picker.end_prefill(&self.worker.id, self.worker.prefill_ms);
        }
        picker.end(&self.worker.id);
        let unsent = !self.sent.load(Ordering::Relaxed);
        if let Some(permit) = self.worker.permit.take_if(|_| unsent) {
            picker.give_back(&self.worker.id, permit);
        }
    }
}
