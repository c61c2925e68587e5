//! Messages between controllers and gateways.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_fleet::MergeOutcome;
use hollowbarrow_member::EncodedDeployment;
use hollowbarrow_routing::limit_text;
use hollowbarrow_schema::{
    ControllerHello, DaemonId, FleetMessage, GatewayHello, LogName, PeerMessage, PermitAsk,
    PermitGrant, WorkerReport,
};
use hollowbarrow_state::DeploymentState;
use tokio::time::Instant;

use crate::certainty::ConfigCertainty;
use crate::core::ControllerCore;
use crate::delivery::DeliveryOffer;

/// Pause between two hellos to the leader, which needs to know what gateways have under way.
const LEADER_INTERVAL: Duration = Duration::from_millis(75);
/// Hellos to the leader for each one that goes to the other controllers too.
const HELLOS_TO_LEADER: u32 = 3;

/// Tells other controllers of this one until the process ends.
pub(crate) async fn greet_controllers(core: Arc<ControllerCore>) {
    let mut ticks = tokio::time::interval(LEADER_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut number = 0u32;
    loop {
        ticks.tick().await;
        number = number.wrapping_add(1);
        let controllers = core.links().controllers();
        let leader = core.log.view().leader;
        let (leaders, others): (Vec<DaemonId>, Vec<DaemonId>) =
            controllers.into_iter().partition(|id| leader.as_ref().is_none_or(|l| l == id));
        let to_all = number.is_multiple_of(HELLOS_TO_LEADER);
        if leaders.is_empty() && !to_all {
            continue;
        }
        let hello = write_hello(&core, to_all);
        if to_all {
            core.links().send_to_all(&others, FleetMessage::Controller(hello.clone()));
        }
        if !leaders.is_empty() {
            let now = Instant::now();
            let mut fleet = core.fleet();
            let (loads, crashes) = (Some(fleet.homed_loads(now)), fleet.crashes_due(now));
            drop(fleet);
            let hello = ControllerHello { loads, crashes, ..hello };
            core.links().send_to_all(&leaders, FleetMessage::Controller(hello));
        }
    }
}

/// What this controller tells others but for loads; beats only where all are told.
fn write_hello(core: &ControllerCore, with_beats: bool) -> ControllerHello {
    // While the log is being founded every disk is empty, and none is lost.
    let lost_disk = core.log.view().lost_disk && !core.settings.found;
    let mut fleet = core.fleet();
    ControllerHello {
        zone: core.settings.zone.clone(),
        workers: fleet.table().table_hash(),
        beats: if with_beats { fleet.take_beats() } else { Vec::new() },
        lost_disk,
        gateways: fleet.count_homed(),
        served: fleet.has_served(),
        loads: None,
        crashes: Vec::new(),
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

/// Pushes each configuration to the gateways that depend on this controller as soon as it is
/// committed.
pub(crate) async fn push_deployments(core: Arc<ControllerCore>) {
    loop {
        core.applied.notified().await;
        let now = Instant::now();
        let version = core.log.read(DeploymentState::version);
        core.commits().record(version, now);
        log::info!("event=configuration_committed version={version}");
        if core.tell_basis(now) != ConfigCertainty::Complete {
            // What this controller holds may be older than what is in force.
            continue;
        }
        let Some(deployment) = core.encoded_deployment() else { continue };
        let gateways = core.fleet().begin_push(deployment.version(), now);
        core.metrics.count_configurations("committed", gateways.len());
        gateways.iter().for_each(|gateway| send_deployment(&core, gateway, &deployment));
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
            core.fleet().take_controller(from, hello, now);
        }
        PeerMessage::Fleet(FleetMessage::View(view)) => {
            for place in &view.controllers {
                core.learn_controller(&place.id);
            }
            let gateways = core.fleet().view_gateways();
            core.links().send_to_all(&gateways, FleetMessage::View(view));
        }
        PeerMessage::Fleet(FleetMessage::PermitAsk(ask)) => issue_permits(core, from, &ask, now),
        PeerMessage::Fleet(FleetMessage::Workers(reports)) => relay_news(core, reports, now),
        _ => log::debug!("event=message_refused peer={}", **from),
    }
}

/// Answers what a gateway tells of workers that name limits; only a leader issues permits.
fn issue_permits(core: &ControllerCore, from: &DaemonId, ask: &PermitAsk, now: Instant) {
    let view = core.log.view();
    if !core.is_sure_to_lead(&view, now) {
        return;
    }
    let answer = {
        let mut limits = core.limits();
        limits.enter(view.term);
        limits.handle_ask(from, ask, now)
    };
    for (worker, limit) in &answer.changed {
        let milli = limit_text(*limit);
        log::info!("event=worker_limit worker={worker} milli_per_s={milli} from={}", **from);
    }
    send_grants(core, answer.grants);
}

/// Sends gateways the permits that they are issued.
pub(crate) fn send_grants(core: &ControllerCore, grants: BTreeMap<DaemonId, PermitGrant>) {
    for (gateway, grant) in grants {
        core.links().send(&gateway, FleetMessage::PermitGrant(grant));
    }
}

fn take_gateway(core: &ControllerCore, from: &DaemonId, hello: GatewayHello, now: Instant) {
    let held = hello.deployment;
    {
        let mut fleet = core.fleet();
        fleet.take_gateway(from, hello, now);
        fleet.log_lag(from, &core.commits(), now);
    }
    if held >= core.log.read(DeploymentState::version) {
        return;
    }
    let Some(deployment) = core.encoded_deployment() else { return };
    let offer = DeliveryOffer { version: deployment.version(), bytes: deployment.size() };
    let basis = core.tell_basis(now);
    if core.fleet().begin_delivery(from, offer, basis, &core.commits(), now) {
        core.metrics.count_configurations("lacking", 1);
        send_deployment(core, from, &deployment);
    }
}

/// Sends a configuration to a gateway; one that finds no room does not count as on its way.
fn send_deployment(core: &ControllerCore, gateway: &DaemonId, deployment: &EncodedDeployment) {
    if !core.links().send_deployment(gateway, deployment) {
        let version = deployment.version();
        log::warn!("event=configuration_dropped gateway={} version={version}", **gateway);
        core.fleet().record_dropped(gateway);
    }
}

/// Takes in what another controller heard of workers, and passes on what is new.
fn relay_news(core: &ControllerCore, reports: Vec<WorkerReport>, now: Instant) {
    let changed = core.fleet().merge(reports, now);
    if changed.is_empty() {
        return;
    }
    let mut pending = core.pending();
    changed.into_iter().for_each(|report| pending.add_relayed(report));
    drop(pending);
    core.news_due.notify_one();
    core.changed.notify_one();
}

/// Takes a worker's own report in and passes on what is new in it.
pub(crate) fn take_report(core: &ControllerCore, report: WorkerReport) {
    let id = report.id.clone();
    let mut fleet = core.fleet();
    let former = fleet.table().newest_instance(id.name()).map(|entry| entry.report.id.clone());
    if fleet.take_report(report, core.heartbeat(), Instant::now()) != MergeOutcome::Changed {
        return;
    }
    let Some(report) = fleet.table().get(&id).map(|entry| entry.report.clone()) else { return };
    drop(fleet);
    if let Some(former) = former.filter(|former| *former != id) {
        log::info!("event=worker_born_again worker={} former={}", *id, *former);
    }
    if let Some(recount) = report.recount {
        log::warn!("event=worker_recounted worker={} seq={} recount={recount}", *id, report.seq);
    }
    log::debug!("event=worker_changed worker={} seq={}", *id, report.seq);
    pass_on(core, report);
}

/// Tells every gateway and controller of a worker.
pub(crate) fn pass_on(core: &ControllerCore, report: WorkerReport) {
    core.pending().add_own(report);
    core.news_due.notify_one();
    core.changed.notify_one();
}
