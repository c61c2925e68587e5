//! What is new of workers and has not gone out yet.

use std::collections::BTreeMap;

use hollowbarrow_schema::{WorkerId, WorkerReport};

/// Reports that are to go out.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    /// What workers told this controller.
    pub(crate) own: BTreeMap<WorkerId, WorkerReport>,
    /// What other controllers told.
    pub(crate) relayed: BTreeMap<WorkerId, WorkerReport>,
    /// Whether a worker leaves, so that each moment counts.
    pub(crate) urgent: bool,
}

impl PendingReports {
    /// Adds what a worker told this controller.
    pub(crate) fn add_own(&mut self, report: WorkerReport) {
        self.urgent |= report.leaving || report.gone;
        self.relayed.remove(&report.id);
        self.own.insert(report.id.clone(), report);
    }

    /// Adds what another controller told.
    pub(crate) fn add_relayed(&mut self, report: WorkerReport) {
        self.urgent |= report.leaving || report.gone;
        self.relayed.insert(report.id.clone(), report);
    }
}
