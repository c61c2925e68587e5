//! Messages between controllers and gateways.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_fleet::MergeOutcome;
use hollowbarrow_schema::{
    ControllerHello, DaemonId, FleetMessage, GatewayHello, LogName, PeerMessage, WorkerReport,
};
use tokio::time::Instant;

use crate::controller::ControllerCore;

/// Pause between two hellos to other controllers.
const HELLO_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a gateway of another zone gets a configuration that its own zone's controller
/// has not told it.
const FAR_DELAY: Duration = Duration::from_millis(400);

/// Tells other controllers of this one until the process ends.
pub(crate) async fn greet_controllers(core: Arc<ControllerCore>) {
    let mut ticks = tokio::time::interval(HELLO_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // While the log is being founded every disk is empty, and none is lost.
        let lost_disk = core.log.view().lost_disk && !core.settings.found;
        let hello = {
            let mut fleet = core.fleet();
            ControllerHello {
                zone: core.settings.zone.clone(),
                workers: fleet.table().digest(),
                beats: fleet.take_beats(),
                lost_disk,
            }
        };
        for controller in core.links().controllers() {
            core.links().send(&controller, FleetMessage::Controller(hello.clone()));
        }
    }
}

/// Logs who leads and who votes whenever that changes, until the process ends.
pub(crate) async fn log_quorum(core: Arc<ControllerCore>) {
    let mut views = core.log.watch();
    let mut logged = String::new();
    loop {
        let line = {
            let view = views.borrow_and_update();
            let voters: Vec<&str> = view.voters.iter().map(|voter| voter.as_str()).collect();
            let leader = view.leader.as_ref().map_or("none", |leader| leader.as_str());
            let (voters, lost_disk) = (voters.join(","), view.lost_disk);
            format!("leader={leader} term={} voters={voters} lost_disk={lost_disk}", *view.term)
        };
        if line != logged {
            log::info!("event=quorum {line}");
            logged = line;
        }
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Pushes each configuration to the gateways of this zone as soon as it is committed.
pub(crate) async fn push_deployments(core: Arc<ControllerCore>) {
    loop {
        core.applied.notified().await;
        core.note_applied(Instant::now());
        let Some(document) = core.newest_document() else { continue };
        log::info!("event=configuration_committed version={}", document.version);
        let gateways = core.fleet().gateways(true);
        for gateway in gateways {
            core.links().send(&gateway, FleetMessage::Deployment(document.clone()));
        }
        core.changed.notify_one();
    }
}

/// Takes a message of another daemon.
pub(crate) fn take_message(core: &ControllerCore, from: &DaemonId, message: PeerMessage) {
    let now = Instant::now();
    match message {
        PeerMessage::Log { name: LogName::Config, message } => core.log.deliver(from, message),
        PeerMessage::Fleet(FleetMessage::Gateway(hello)) => take_gateway(core, from, hello, now),
        PeerMessage::Fleet(FleetMessage::Controller(hello)) => {
            core.learn_controller(from);
            if core.fleet().take_controller(from, &hello, now) {
                send_table(core, from);
            }
        }
        PeerMessage::Fleet(FleetMessage::Workers(reports)) => {
            if core.fleet().merge(reports, now) {
                core.changed.notify_one();
            }
        }
        _ => log::debug!("event=message_refused peer={}", **from),
    }
}

fn take_gateway(core: &ControllerCore, from: &DaemonId, hello: GatewayHello, now: Instant) {
    let near = hello.zone == core.settings.zone;
    let version = hello.deployment;
    if core.fleet().take_gateway(from, hello, now) {
        send_table(core, from);
    }
    if !core.may_tell(now) {
        return;
    }
    let Some(document) = core.newest_document() else { return };
    let waited = near || core.applied_for(now) > FAR_DELAY;
    if document.version > version && waited {
        core.links().send(from, FleetMessage::Deployment(document));
    }
}

fn send_table(core: &ControllerCore, to: &DaemonId) {
    let reports = core.fleet().table().reports();
    if !reports.is_empty() {
        core.links().send(to, FleetMessage::Workers(reports));
    }
}

/// Takes a worker's own report in and passes on what is new in it.
pub(crate) fn take_report(core: &ControllerCore, report: WorkerReport) {
    let outcome = core.fleet().take_report(report.clone(), Instant::now());
    if outcome == MergeOutcome::Changed {
        log::debug!("event=worker_changed worker={} seq={}", *report.id, report.seq);
        pass_on(core, report);
    }
}

/// Tells every gateway and controller of a worker.
pub(crate) fn pass_on(core: &ControllerCore, report: WorkerReport) {
    let gateways = core.fleet().gateways(false);
    let message = FleetMessage::Workers(vec![report]);
    for daemon in gateways.into_iter().chain(core.links().controllers()) {
        core.links().send(&daemon, message.clone());
    }
    core.changed.notify_one();
}
