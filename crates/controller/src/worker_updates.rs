//! Publishes worker updates to gateways and other controllers.
//!
//! The controller that receives a worker's report sends it to the other controllers, and each
//! controller sends it to the gateways whose primary controller it is. Updates of a few milliseconds
//! are combined into one message.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_schema::{FleetMessage, WorkerReport};
use tokio::time::Instant;

use crate::core::ControllerCore;
use crate::pending::PendingReports;

/// Time for which updates are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(15);
/// Longest time between two checks for daemons that need the full table.
const TABLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends updates until the process ends.
pub(crate) async fn publish_updates(core: Arc<ControllerCore>) {
    loop {
        tokio::select! {
            () = core.updates_due.notified() => {
                if !core.pending().urgent {
                    tokio::time::sleep(BATCH_DELAY).await;
                }
            }
            () = tokio::time::sleep(TABLE_CHECK_INTERVAL) => {}
        }
        let pending = std::mem::take(&mut *core.pending());
        send_updates(&core, pending);
        send_tables(&core);
    }
}

fn send_updates(core: &ControllerCore, pending: PendingReports) {
    if pending.local.is_empty() && pending.relayed.is_empty() {
        return;
    }
    let now = Instant::now();
    let gateways = {
        let mut fleet = core.fleet();
        fleet.record_published(now);
        fleet.attached_gateways()
    };
    let local: Vec<WorkerReport> = pending.local.into_values().collect();
    let all = local.iter().cloned().chain(pending.relayed.into_values()).collect();
    core.links().send_to_all(&gateways, FleetMessage::Workers(all));
    if !local.is_empty() {
        core.links().send_to_all(&core.links().controllers(), FleetMessage::Workers(local));
    }
}

fn send_tables(core: &ControllerCore) {
    let (daemons, reports) = {
        let mut fleet = core.fleet();
        let daemons = fleet.tables_due(Instant::now());
        let reports = if daemons.is_empty() { Vec::new() } else { fleet.table().reports() };
        (daemons, reports)
    };
    if !reports.is_empty() {
        core.metrics.count_tables(daemons.len());
        core.links().send_to_all(&daemons, FleetMessage::Workers(reports));
    }
}
