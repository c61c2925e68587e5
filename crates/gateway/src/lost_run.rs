//! Runs whose connections were lost, and which of them count against their requests.
//!
//! A lost connection alone does not show that a worker has terminated: the path may be lost, or the
//! connection alone. A run counts only if another instance answers in its worker's place, or if the worker
//! cannot be connected to any more while another one of the service can. Heads of replicas may all
//! terminate at the same moment, so other members are tried too.

use std::cmp::Reverse;
use std::sync::Arc;

use hollowbarrow_reach::{FateReport, OtherUpstreams, UpstreamFate, UpstreamTarget};
use hollowbarrow_routing::RequestContents;
use hollowbarrow_schema::WorkerId;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::core::GatewayCore;
use crate::request::CallerRequest;
use crate::worker_state::probe_of;

/// Number of other workers of a service that are tried, one after the other, to find out whether the
/// paths to all are lost: some that take requests, and some that do not. Several may have terminated that
/// controllers still report.
const SERVING_TRIED: usize = 4;
const IDLE_TRIED: usize = 4;

/// Finds out what became of a worker after a connection to it was lost. Other workers that have sent
/// something most recently are tried first.
async fn learn_fate(core: &GatewayCore, target: &UpstreamTarget) -> FateReport {
    let others = {
        let mut picker = core.picker();
        let mut serving = picker.targets().remove(&target.service).unwrap_or_default();
        serving.retain(|other| other.name != target.name);
        serving.sort_by_key(|other| Reverse(picker.progress(&WorkerId::from(other.name.as_str()))));
        serving.truncate(SERVING_TRIED);
        let mut idle = picker.idle_targets(&target.service);
        idle.retain(|other| other.name != target.name);
        idle.shuffle(&mut rand::rng());
        idle.truncate(IDLE_TRIED);
        OtherUpstreams { serving, idle }
    };
    let probe = probe_of(core, &WorkerId::from(target.name.as_str()));
    core.reach.learn_fate(target, &probe, others).await
}

/// A run that ended with its connection.
pub(crate) struct LostRun {
    request: String,
    contents: RequestContents,
    /// Names of the parts of the prompt, for logs.
    parts: Vec<String>,
    worker: WorkerId,
    sent: Instant,
    ended: Instant,
}

impl LostRun {
    pub(crate) fn new(
        request: &CallerRequest,
        worker: &WorkerId,
        sent: Instant,
        ended: Instant,
    ) -> Self {
        Self {
            request: request.head.id.clone(),
            contents: request.contents.clone(),
            parts: request.head.prompt_parts.clone(),
            worker: worker.clone(),
            sent,
            ended,
        }
    }

    /// Finds out whether the worker has terminated, and records the run against the contents of its
    /// request if so.
    pub(crate) async fn record_if_terminated(self, core: Arc<GatewayCore>, target: UpstreamTarget) {
        let FateReport { fate, state } = learn_fate(&core, &target).await;
        core.metrics.count_lost_run(fate);
        log::info!(
            "event=run_lost request={:?} worker={} fate={} state={} ran_ms={} checked_ms={}",
            self.request,
            *self.worker,
            fate.name(),
            state.name(),
            (self.ended - self.sent).as_millis(),
            self.ended.elapsed().as_millis(),
        );
        if fate != UpstreamFate::Terminated {
            return;
        }
        log::info!(
            "event=crash_recorded request={:?} worker={} content={:016x} parts={} ran_ms={}",
            self.request,
            *self.worker,
            *self.contents.whole(),
            self.parts_text(),
            (self.ended - self.sent).as_millis(),
        );
        core.crashes().record_crash(&self.contents, &self.worker, self.sent, self.ended);
    }

    /// Returns the name of each part with the digest by which it is quarantined.
    fn parts_text(&self) -> String {
        let mut names: Vec<&String> = Vec::new();
        // The last part is the request's own, and a repeated one is quarantined once.
        for name in self.parts.iter().rev().skip(1).rev() {
            if !names.contains(&name) {
                names.push(name);
            }
        }
        let pairs = names.iter().zip(self.contents.parts());
        let texts: Vec<String> =
            pairs.map(|(name, digest)| format!("{name:?}:{:016x}", **digest)).collect();
        texts.join(",")
    }
}
