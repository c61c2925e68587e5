//! Worker updates that have not been sent yet.

use std::collections::BTreeMap;

use hollowbarrow_schema::{WorkerId, WorkerReport};

/// Reports that are to be sent.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    /// Reports that workers sent to this controller.
    pub(crate) local: BTreeMap<WorkerId, WorkerReport>,
    /// Reports that other controllers relayed.
    pub(crate) relayed: BTreeMap<WorkerId, WorkerReport>,
    /// Whether a worker leaves: the reports are then sent without waiting for more.
    pub(crate) urgent: bool,
}

impl PendingReports {
    /// Adds a report that a worker sent to this controller.
    pub(crate) fn add_local(&mut self, report: WorkerReport) {
        self.urgent |= report.leaving || report.gone;
        self.relayed.remove(&report.id);
        self.local.insert(report.id.clone(), report);
    }

    /// Adds a report that another controller relayed.
    pub(crate) fn add_relayed(&mut self, report: WorkerReport) {
        self.urgent |= report.leaving || report.gone;
        self.relayed.insert(report.id.clone(), report);
    }
}
