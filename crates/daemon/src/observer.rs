//! Polls the platform's list of nodes and probes the nodes assigned to this daemon.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_schema::{NodeId, NodeReport, NodeState, StartId};
use hollowbarrow_upstream::{EngineClient, ProbeNodeError, SendRequestError, list_nodes};
use hollowbarrow_zone::{NodeObservation, ProbePacer, choose_observers, observing_members};
use tokio::time::Instant;

use crate::core::DaemonCore;

/// Leases for which a probe waits for its answer. An answer that is too late to renew the lease still
/// shows that the node runs.
const PROBE_TIMEOUT_LEASES: u32 = 2;

/// Polls the platform's list of nodes.
pub(crate) async fn watch_platform(core: Arc<DaemonCore>) {
    let interval = Duration::from_millis(core.settings.timing.platform_ms);
    let mut failing = false;
    loop {
        let url = core.settings.platform.clone();
        let listed = tokio::task::spawn_blocking(move || list_nodes(&url)).await;
        match listed {
            Ok(Ok(list)) => {
                failing = false;
                let changed = core.fleet_mut().record_list(list, Instant::now());
                if changed {
                    core.rebuild_routes();
                }
            }
            Ok(Err(error)) if !failing => {
                // The last known list stays valid while the platform cannot be read.
                failing = true;
                log::warn!("event=platform_unread reason={:?}", error.to_string());
            }
            _ => {}
        }
        let known = core.fleet().listed_once;
        tokio::time::sleep(if known { interval } else { interval.min(Duration::from_millis(200)) })
            .await;
    }
}

/// Probes this daemon's share of its zone's nodes at a fixed interval.
pub(crate) async fn probe_nodes(core: Arc<DaemonCore>) {
    let period = Duration::from_millis(core.settings.timing.probe_ms);
    let pacer = Arc::new(Mutex::new(ProbePacer::new(core.lease(), period)));
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let mut nodes = nodes_to_probe(&core);
        nodes.extend(suspects_of_others(&core, &nodes));
        let now = Instant::now();
        let mut paced = pacer.lock().expect("no holder of the lock panics");
        nodes.retain(|node| paced.begin(node, now));
        drop(paced);
        for node in nodes {
            let (core, pacer) = (Arc::clone(&core), Arc::clone(&pacer));
            tokio::spawn(async move {
                probe_node(core, &node).await;
                pacer.lock().expect("no holder of the lock panics").end(&node);
            });
        }
    }
}

/// Returns the nodes of the local zone that this daemon probes, given which other daemons report.
pub(crate) fn nodes_to_probe(core: &DaemonCore) -> Vec<NodeId> {
    let now = Instant::now();
    let fleet = core.fleet();
    let within = core.lease() * 2;
    let daemons = observing_members(core.zone(), &core.settings.peers, |id| {
        id == core.id() || fleet.has_reported(id, within, now)
    });
    if !daemons.contains(&core.id()) {
        return Vec::new();
    }
    fleet
        .nodes
        .iter()
        .filter(|(_, node)| node.listed.zone == *core.zone())
        .filter(|(id, _)| choose_observers(id, &daemons).contains(&core.id()))
        .map(|(id, _)| id.clone())
        .collect()
}

/// Returns the suspect nodes of the local zone that other daemons probe. Before this daemon takes
/// one for lost it must have probed the node itself, since the other daemons may be what is late.
fn suspects_of_others(core: &DaemonCore, assigned: &[NodeId]) -> Vec<NodeId> {
    let now = Instant::now();
    if !core.zone_members(core.zone()).contains(core.id()) {
        return Vec::new();
    }
    let fleet = core.fleet();
    let local = fleet.nodes.iter().filter(|(_, node)| node.listed.zone == *core.zone());
    local
        .map(|(id, _)| id)
        .filter(|id| fleet.detector.is_suspect(id, now) && !assigned.contains(id))
        .cloned()
        .collect()
}

async fn probe_node(core: Arc<DaemonCore>, node: &NodeId) {
    let Some(address) = core.fleet().address(node) else { return };
    let timeout = core.lease() * PROBE_TIMEOUT_LEASES;
    let sent_at = Instant::now();
    let outcome = core.engine.probe(address, timeout).await;
    let now = Instant::now();
    core.telemetry.record_probe(probe_outcome(&outcome), now - sent_at);
    match outcome {
        Ok(report) if report.node == *node => {
            core.fleet_mut().record_observation(node, to_observation(report, sent_at), now);
        }
        Ok(report) => {
            log::warn!("event=probe_other_node wanted={} found={}", **node, *report.node);
        }
        Err(ProbeNodeError::NotReport) if is_service(&core, node) => {
            // A plain service does not implement the report; any answer shows that it is running.
            let report = NodeReport {
                node: node.clone(),
                start: StartId(0),
                epoch: hollowbarrow_schema::Epoch(0),
                state: NodeState::Ready,
                owner: None,
                running: 0,
                queued: 0,
                weights: Vec::new(),
            };
            core.fleet_mut().record_observation(node, to_observation(report, sent_at), now);
        }
        Err(ProbeNodeError::NoAnswer(SendRequestError::Refused(_))) => {
            core.fleet_mut().record_loss(node, sent_at);
        }
        Err(_) => {}
    }
}

/// Returns the outcome of a probe for metrics.
fn probe_outcome(outcome: &Result<NodeReport, ProbeNodeError>) -> &'static str {
    match outcome {
        Ok(_) | Err(ProbeNodeError::NotReport) => "answered",
        Err(ProbeNodeError::NoAnswer(SendRequestError::Refused(_))) => "refused",
        Err(ProbeNodeError::NoAnswer(_)) => "silent",
    }
}

fn is_service(core: &DaemonCore, node: &NodeId) -> bool {
    core.fleet().nodes.get(node).is_some_and(|node| node.listed.service.is_some())
}

fn to_observation(report: NodeReport, sent_at: Instant) -> NodeObservation {
    NodeObservation {
        start: report.start,
        epoch: report.epoch,
        state: report.state,
        load: report.running + report.queued,
        owner: report.owner,
        weights: report.weights,
        seen: sent_at,
    }
}
