//! Tells gateways and other controllers what is new of workers.
//!
//! News go from the controller that a worker told to the other controllers, and from each of them
//! to the gateways whose home it is. What comes within a few milliseconds goes out as one message.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_schema::{FleetMessage, WorkerReport};
use tokio::time::Instant;

use crate::core::ControllerCore;
use crate::pending::PendingReports;

/// Time for which news are gathered.
const GATHER_TIME: Duration = Duration::from_millis(15);
/// Longest pause between two looks at who needs a whole table.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends news out until the process ends.
pub(crate) async fn publish_updates(core: Arc<ControllerCore>) {
    loop {
        tokio::select! {
            () = core.news_due.notified() => {
                if !core.pending().urgent {
                    tokio::time::sleep(GATHER_TIME).await;
                }
            }
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
        }
        let news = std::mem::take(&mut *core.pending());
        send_news(&core, news);
        send_tables(&core);
    }
}

fn send_news(core: &ControllerCore, news: PendingReports) {
    if news.own.is_empty() && news.relayed.is_empty() {
        return;
    }
    let now = Instant::now();
    let gateways = {
        let mut fleet = core.fleet();
        fleet.note_told(now);
        fleet.attached_gateways()
    };
    let own: Vec<WorkerReport> = news.own.into_values().collect();
    let all = own.iter().cloned().chain(news.relayed.into_values()).collect();
    core.links().send_to_all(&gateways, FleetMessage::Workers(all));
    if !own.is_empty() {
        core.links().send_to_all(&core.links().controllers(), FleetMessage::Workers(own));
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
