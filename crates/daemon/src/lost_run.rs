//! Runs whose connections were lost, and which of them count against their requests.
//!
//! A run counts only if another process answers in its upstream's place, or if the upstream cannot be
//! connected to any more while another one of its service can. A connection may also be lost alone, or
//! with the path.

use std::sync::Arc;

use hollowbarrow_reach::{FateReport, InstanceProbe, OtherUpstreams, UpstreamFate};
use hollowbarrow_routing::{RequestContents, TerminatedRun, UpstreamKey};
use rand::seq::SliceRandom;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::DaemonCore;

/// Number of other upstreams that are tried, one after the other, to find out whether the paths to all
/// are lost.
const OTHERS_TRIED: usize = 6;

/// A run that ended with its connection.
pub(crate) struct LostRun {
    pub(crate) request: String,
    /// The model or service that the upstream serves.
    pub(crate) service: String,
    pub(crate) contents: RequestContents,
    pub(crate) upstream: UpstreamKey,
    /// Recognises the process that ran the request.
    pub(crate) probe: Arc<dyn InstanceProbe>,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
}

impl LostRun {
    /// Finds out whether the upstream has terminated, and records the run against the contents of its
    /// request if so.
    pub(crate) async fn record_if_terminated(self, core: Arc<DaemonCore>) {
        let report = self.learn_fate(&core).await;
        let fate = report.map_or(UpstreamFate::Terminated, |report| report.fate);
        log::info!(
            "event=run_lost request={:?} upstream={} fate={} state={} ran_ms={} checked_ms={}",
            self.request,
            self.upstream.name,
            fate.name(),
            report.map_or("withdrawn", |report| report.state.name()),
            (self.ended - self.sent).as_millis(),
            self.ended.elapsed().as_millis(),
        );
        if fate != UpstreamFate::Terminated {
            return;
        }
        log::info!(
            "event=crash_recorded request={:?} upstream={} content={:016x} parts={:x?}",
            self.request,
            self.upstream.name,
            *self.contents.whole(),
            self.contents.parts().iter().map(|part| **part).collect::<Vec<u64>>(),
        );
        let UpstreamKey { name, epoch } = &self.upstream;
        let run = TerminatedRun {
            upstream: xxh3_64(format!("{name}/{}", **epoch).as_bytes()),
            sent: self.sent,
            ended: self.ended,
            organisation: Some(self.contents.organisation()),
        };
        core.crashes().record_run(&self.contents, run);
    }

    /// Finds out what became of the process that ran the request; `None` if its upstream has no route any
    /// more, and is therefore known to be lost.
    async fn learn_fate(&self, core: &DaemonCore) -> Option<FateReport> {
        let mut others = core.routes().targets().remove(&self.service).unwrap_or_default();
        let index = others.iter().position(|target| target.name == self.upstream.name);
        let target = others.swap_remove(index?);
        // The same ones each time may all have terminated.
        others.shuffle(&mut rand::rng());
        others.truncate(OTHERS_TRIED);
        let others = OtherUpstreams { serving: others, idle: Vec::new() };
        Some(core.reach.learn_fate(&target, &self.probe, others).await)
    }
}
