//! Passes departures of workers on to other daemons before they are acknowledged.

use hollowbarrow_schema::{DaemonId, WorkerDeparture, WorkerId};
use tokio::time::Instant;

use crate::core::ControllerCore;
use crate::departures::{HOLD_TIMEOUT, REPEAT_INTERVAL, is_held};
use crate::sync::publish_report;

/// Waits until other daemons hold the departure that a worker has reported, for [`HOLD_TIMEOUT`] at
/// most. Returns at once if the table holds none.
pub(crate) async fn secure_departure(core: &ControllerCore, worker: &WorkerId) {
    let Some(departure) = core.fleet().table().departure(worker) else { return };
    core.departures().prune(core.fleet().table());
    core.departures().begin(departure);
    let secured = tokio::time::timeout(HOLD_TIMEOUT, wait_until_held(core, worker)).await;
    if secured.is_err() {
        let holders = core.departures().holders(worker).len();
        log::warn!("event=departure_unconfirmed worker={} holders={holders}", **worker);
        core.metrics.count_unconfirmed_departure();
    }
}

/// Sends a departure until enough daemons have confirmed it.
async fn wait_until_held(core: &ControllerCore, worker: &WorkerId) {
    loop {
        // Registered before the check, so that a confirmation in between is not missed.
        let confirmed = core.departure_confirmed.notified();
        if is_held_elsewhere(core, worker) {
            return;
        }
        let report = core.fleet().table().get(worker).map(|entry| entry.report.clone());
        if let Some(report) = report {
            publish_report(core, report);
        }
        let _ = tokio::time::timeout(REPEAT_INTERVAL, confirmed).await;
    }
}

fn is_held_elsewhere(core: &ControllerCore, worker: &WorkerId) -> bool {
    let reachable = core.fleet().reachable(Instant::now());
    let losses = core.settings.losses as usize;
    is_held(&core.departures().holders(worker), &reachable, losses)
}

/// Records that another daemon holds departures.
pub(crate) fn record_confirmations(
    core: &ControllerCore,
    from: &DaemonId,
    departures: &[WorkerDeparture],
) {
    let mut ledger = core.departures();
    departures.iter().for_each(|departure| ledger.confirm(from, departure));
    drop(ledger);
    core.departure_confirmed.notify_waiters();
}
