//! Replies to reports that a daemon has merged into its table of workers.

use hollowbarrow_schema::{FleetMessage, WorkerDeparture, WorkerReport};

use crate::workers::WorkerTable;

/// What the sender of reports should know about the table that they were merged into.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableReply {
    /// Reported departures that the table holds.
    pub held: Vec<WorkerDeparture>,
    /// Reports of departures that the sender lacks, because it reported the workers as available.
    pub lacking: Vec<WorkerReport>,
}

impl TableReply {
    /// Compares reports with the table that they were merged into.
    pub fn new(table: &WorkerTable, reports: &[WorkerReport]) -> Self {
        let mut reply = Self::default();
        for report in reports {
            let Some(departure) = table.departure(&report.id) else { continue };
            if is_departed(report) {
                reply.held.push(departure);
            } else {
                let held = table.get(&report.id).map(|entry| &entry.report);
                reply.lacking.extend(held.filter(|held| is_departed(held)).cloned());
            }
        }
        reply
    }

    /// Returns the messages that carry the reply; an empty one needs none.
    pub fn into_messages(self) -> impl Iterator<Item = FleetMessage> {
        let lacking = (!self.lacking.is_empty()).then_some(FleetMessage::Workers(self.lacking));
        let held = (!self.held.is_empty()).then_some(FleetMessage::Departures(self.held));
        lacking.into_iter().chain(held)
    }
}

fn is_departed(report: &WorkerReport) -> bool {
    report.gone || report.leaving
}
