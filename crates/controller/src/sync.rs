//! Messages between controllers and gateways.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_fleet::{MergeOutcome, TableReply};
use hollowbarrow_member::EncodedDeployment;
use hollowbarrow_routing::limit_text;
use hollowbarrow_schema::{
    ControllerHello, DaemonId, DeploymentWithdrawal, FleetMessage, GatewayHello, LogName,
    PeerMessage, PermitAsk, PermitGrant, WorkerReport,
};
use hollowbarrow_state::DeploymentState;
use tokio::time::Instant;

use crate::certainty::ConfigCertainty;
use crate::core::ControllerCore;
use crate::delivery::DeliveryOffer;
use crate::holder_sync::{forget_withdrawn, record_confirmations, take_releases};
use crate::holders::HeldFact;

/// Time between two hellos to the leader, which needs the gateways' loads.
const LEADER_INTERVAL: Duration = Duration::from_millis(75);
/// Time between two withdrawals of configurations that no leader has confirmed.
const WITHDRAWAL_INTERVAL: Duration = Duration::from_millis(250);
/// One of this many hellos goes to all controllers, the others go to the leader only.
const HELLOS_PER_BROADCAST: u32 = 3;

/// Sends hellos to the other controllers until the process ends.
pub(crate) async fn send_hellos(core: Arc<ControllerCore>) {
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
        let to_all = number.is_multiple_of(HELLOS_PER_BROADCAST);
        if leaders.is_empty() && !to_all {
            continue;
        }
        let hello = build_hello(&core, leader, to_all);
        if to_all {
            core.links().send_to_all(&others, FleetMessage::Controller(hello.clone()));
        }
        if !leaders.is_empty() {
            let now = Instant::now();
            let mut fleet = core.fleet();
            let (loads, crashes) = (Some(fleet.primary_gateway_loads(now)), fleet.crashes_due(now));
            drop(fleet);
            let hello = ControllerHello { loads, crashes, ..hello };
            core.links().send_to_all(&leaders, FleetMessage::Controller(hello));
        }
    }
}

/// Builds a hello without loads and crash records. Renewed registrations are taken only for a hello
/// to all controllers, since each renewal is sent once.
fn build_hello(
    core: &ControllerCore,
    leader: Option<DaemonId>,
    with_beats: bool,
) -> ControllerHello {
    let mut fleet = core.fleet();
    ControllerHello {
        zone: core.settings.zone.clone(),
        workers: fleet.table().table_hash(),
        beats: if with_beats { fleet.take_beats() } else { Vec::new() },
        gateways: fleet.count_primary_gateways(),
        served: fleet.has_served(),
        leader,
        loads: None,
        crashes: Vec::new(),
    }
}

/// Logs the leader and the voters whenever they change, until the process ends.
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

/// Sends each configuration, as soon as it is committed, to the gateways that this controller serves
/// without delay.
pub(crate) async fn push_deployments(core: Arc<ControllerCore>) {
    loop {
        core.applied.notified().await;
        let now = Instant::now();
        let version = core.log.read(DeploymentState::version);
        core.commits().record(version, now);
        log::info!("event=configuration_committed version={version}");
        if core.config_certainty(now) != ConfigCertainty::Complete {
            // The configuration held here may be older than the one in force.
            continue;
        }
        let Some(deployment) = core.encoded_deployment() else { continue };
        let gateways = core.fleet().begin_push(deployment.version(), now);
        core.metrics.count_configurations("committed", gateways.len());
        gateways.iter().for_each(|gateway| send_deployment(&core, gateway, &deployment));
        core.changed.notify_one();
    }
}

/// Withdraws from gateways, until the process ends, what no leader has confirmed to them, while this
/// controller waits for one in contact with a majority of the voters.
pub(crate) async fn withdraw_unconfirmed(core: Arc<ControllerCore>) {
    loop {
        tokio::time::sleep(WITHDRAWAL_INTERVAL).await;
        let now = Instant::now();
        core.config_certainty(now);
        if !core.withdraws_unconfirmed(now) {
            continue;
        }
        let held = core.fleet().held_versions();
        for (gateway, version) in held {
            let withdrawal = DeploymentWithdrawal { version };
            core.links().send(&gateway, FleetMessage::Withdrawal(withdrawal));
        }
    }
}

/// Handles a message of another daemon.
pub(crate) fn handle_message(core: &ControllerCore, from: &DaemonId, message: PeerMessage) {
    let now = Instant::now();
    match message {
        PeerMessage::Log { name: LogName::Config, message } => core.log.deliver(from, message),
        PeerMessage::Fleet(FleetMessage::Gateway(hello)) => {
            handle_gateway_hello(core, from, hello, now)
        }
        PeerMessage::Fleet(FleetMessage::Controller(hello)) => {
            core.learn_controller(from);
            if let Some(leader) = &hello.leader {
                core.learn_controller(leader);
            }
            core.contacts().hear_controller(from, now);
            core.fleet().record_controller(from, hello, now);
        }
        PeerMessage::Fleet(FleetMessage::View(view)) => {
            for place in &view.controllers {
                core.learn_controller(&place.id);
            }
            let gateways = core.fleet().view_gateways();
            core.links().send_to_all(&gateways, FleetMessage::View(view));
        }
        PeerMessage::Fleet(FleetMessage::PermitAsk(ask)) => issue_permits(core, from, &ask, now),
        PeerMessage::Fleet(FleetMessage::Workers(reports)) => {
            relay_updates(core, from, &reports, now);
        }
        PeerMessage::Fleet(FleetMessage::Departures(departures)) => {
            record_confirmations(core, from, departures.into_iter().map(HeldFact::from));
        }
        PeerMessage::Fleet(FleetMessage::Releases(releases)) => {
            take_releases(core, from, &releases, now);
        }
        PeerMessage::Fleet(FleetMessage::ReleasesHeld(requests)) => {
            record_confirmations(core, from, requests.into_iter().map(HeldFact::Released));
        }
        _ => log::debug!("event=message_refused peer={}", **from),
    }
}

/// Handles a gateway's request for permits at workers with limits; only a leader issues permits.
fn issue_permits(core: &ControllerCore, from: &DaemonId, ask: &PermitAsk, now: Instant) {
    let view = core.log.view();
    if !core.is_confirmed_leader(&view, now) {
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

/// Sends issued permits to their gateways.
pub(crate) fn send_grants(core: &ControllerCore, grants: BTreeMap<DaemonId, PermitGrant>) {
    for (gateway, grant) in grants {
        core.links().send(&gateway, FleetMessage::PermitGrant(grant));
    }
}

fn handle_gateway_hello(core: &ControllerCore, from: &DaemonId, hello: GatewayHello, now: Instant) {
    let reported = hello.deployment;
    core.contacts().hear_gateway(from, now);
    let peers = {
        let mut fleet = core.fleet();
        fleet.record_gateway(from, hello, now);
        fleet.log_lag(from, &core.commits(), now);
        fleet.peers_due(from, now)
    };
    if let Some(peers) = peers {
        core.links().send(from, FleetMessage::Peers(peers));
    }
    if reported >= core.log.read(DeploymentState::version) {
        return;
    }
    let Some(deployment) = core.encoded_deployment() else { return };
    let offer = DeliveryOffer { version: deployment.version(), bytes: deployment.size() };
    let certainty = core.config_certainty(now);
    if core.fleet().begin_delivery(from, offer, certainty, &core.commits(), now) {
        core.metrics.count_configurations("lacking", 1);
        send_deployment(core, from, &deployment);
    }
}

/// Sends a configuration to a gateway. One that the full send queue drops does not count as in
/// transfer.
fn send_deployment(core: &ControllerCore, gateway: &DaemonId, deployment: &EncodedDeployment) {
    if !core.links().send_deployment(gateway, deployment) {
        let version = deployment.version();
        log::warn!("event=configuration_dropped gateway={} version={version}", **gateway);
        core.fleet().record_dropped(gateway);
    }
}

/// Merges worker reports of another daemon and replies to them. Those that changed the table go to
/// gateways, and also to the other controllers if the sender is a gateway.
fn relay_updates(core: &ControllerCore, from: &DaemonId, reports: &[WorkerReport], now: Instant) {
    let (changed, reply) = {
        let mut fleet = core.fleet();
        let changed = fleet.merge(reports, now);
        (changed, TableReply::new(fleet.table(), reports))
    };
    reply.into_messages().for_each(|message| {
        core.links().send(from, message);
    });
    if changed.is_empty() {
        return;
    }
    forget_withdrawn(core);
    let relayed = core.links().controllers().contains(from);
    let mut pending = core.pending();
    for report in changed {
        if relayed {
            pending.add_relayed(report);
        } else {
            pending.add_local(report);
        }
    }
    drop(pending);
    core.updates_due.notify_one();
    core.changed.notify_one();
}

/// Records a worker's own report and publishes it if it changed the table.
pub(crate) fn accept_report(core: &ControllerCore, report: WorkerReport) {
    let id = report.id.clone();
    let mut fleet = core.fleet();
    let former = fleet.table().newest_instance(id.name()).map(|entry| entry.report.id.clone());
    if fleet.record_report(report, core.heartbeat(), Instant::now()) != MergeOutcome::Changed {
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
    forget_withdrawn(core);
    publish_report(core, report);
}

/// Publishes a worker's report to the attached gateways and to all controllers.
pub(crate) fn publish_report(core: &ControllerCore, report: WorkerReport) {
    core.pending().add_local(report);
    core.updates_due.notify_one();
    core.changed.notify_one();
}
