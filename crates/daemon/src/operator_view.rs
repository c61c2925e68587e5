//! Status and explanations for operators.

use std::sync::atomic::Ordering;

use hollowbarrow_log::LogView;
use hollowbarrow_planner::explain_nodes;
use hollowbarrow_schema::{
    Allocation, ConfigCommand, DaemonStatus, GroupExplanation, GroupName, GroupStatus, Labels,
    LogName, LogStatus, NodeStatus, QuorumStatus, ReplicaStatus, ZoneId,
};
use hollowbarrow_state::ConfigState;
use tokio::time::Instant;

use crate::core::DaemonCore;
use crate::fleet::{FleetView, NodeStanding};
use crate::zone_control::describe_drain;
use crate::zone_demand::{zone_demands, zone_planner};

/// Returns the status of this daemon.
pub(crate) fn daemon_status(core: &DaemonCore) -> DaemonStatus {
    let now = Instant::now();
    let config = core.config_log.view();
    let claims = core.claims_log.view();
    let confirmed = config.confirmed.map(|at| now.saturating_duration_since(at));
    let authority = core
        .authorities()
        .get(core.zone())
        .and_then(|member| member.holder(now))
        .map(|holder| holder.to_string());
    DaemonStatus {
        id: core.id().clone(),
        zone: core.zone().clone(),
        applied: config.applied,
        confirmed_ms: confirmed.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        leader: config.leader.as_ref().map(ToString::to_string),
        claims_leader: claims.leader.as_ref().map(ToString::to_string),
        authority,
        voters: config.voters.clone(),
        logs: vec![log_status(LogName::Config, &config), log_status(LogName::Claims, &claims)],
        stranded: core.telemetry.stranded_now(),
        ready: core.ready.load(Ordering::Relaxed),
        in_flight: core.in_flight.load(Ordering::Relaxed),
        fault: config.fault.or(claims.fault),
    }
}

/// Returns the state of a log as this daemon's replica knows it.
fn log_status(log: LogName, view: &LogView) -> LogStatus {
    LogStatus {
        log,
        leader: view.leader.as_ref().map(ToString::to_string),
        voters: view.voters.clone(),
        quorum: view.leads.then(|| quorum_status(view)),
        fault: view.fault.clone(),
    }
}

/// Returns which voters a leader counts.
fn quorum_status(view: &LogView) -> QuorumStatus {
    let as_count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    QuorumStatus {
        counted: as_count(view.counted),
        uncounted: view.uncounted.clone(),
        losses_borne: as_count(view.losses_borne),
    }
}

/// Returns every node, with its state as listed by the platform and as observed by this daemon.
pub(crate) fn node_statuses(core: &DaemonCore) -> Vec<NodeStatus> {
    let now = Instant::now();
    core.config_log.read(|config| {
        let fleet = core.fleet();
        fleet
            .nodes
            .iter()
            .map(|(id, node)| {
                let labels = config.labels().get(id);
                let assigned = fleet.allocations().find(|(_, a)| a.members.contains(id));
                let observation = fleet.leases.observation(id);
                let observed = match (fleet.node_standing(id, node, now), observation) {
                    (NodeStanding::Lost(cause) | NodeStanding::Withheld(cause), _) => cause,
                    (NodeStanding::Usable, Some(observation)) => {
                        format!("{} at epoch {}", observation.state, *observation.epoch)
                    }
                    (NodeStanding::Usable, None) => "not observed".to_owned(),
                };
                let platform = if node.in_list {
                    node.listed.state.to_string()
                } else {
                    "no longer listed".to_owned()
                };
                NodeStatus {
                    node: id.clone(),
                    zone: node.listed.zone.clone(),
                    domain: node.listed.domain.clone(),
                    accelerators: node.listed.accelerators,
                    platform,
                    observed,
                    labels: labels.map_or(Labels(Default::default()), |l| l.value.clone()),
                    revision: labels.map(|l| l.revision).unwrap_or_default(),
                    group: assigned.map(|(_, a)| format!("{}/{}", *a.group, a.slot)),
                }
            })
            .collect()
    })
}

/// Returns every group, with the number of its serving replicas.
pub(crate) fn group_statuses(core: &DaemonCore) -> Vec<GroupStatus> {
    let now = Instant::now();
    core.config_log.read(|config| {
        let fleet = core.fleet();
        config
            .groups()
            .values()
            .map(|recorded| GroupStatus {
                spec: recorded.value.clone(),
                revision: recorded.revision,
                wanted: recorded.value.count,
                serving: fleet.serving_count(&recorded.value.name, now),
                down_ms: 0,
            })
            .collect()
    })
}

/// Returns the status of a replica as observed by this daemon.
fn replica_status(fleet: &FleetView, zone: &ZoneId, allocation: &Allocation) -> ReplicaStatus {
    let now = Instant::now();
    let (state, reason) = match fleet.leases.serving_until(allocation, now) {
        Ok(until) => {
            let remaining = until.saturating_duration_since(now).as_millis();
            ("serving".to_owned(), format!("lease runs {remaining} ms more"))
        }
        Err(refusal) => (allocation.phase.to_string(), refusal.to_string()),
    };
    ReplicaStatus {
        group: allocation.group.clone(),
        zone: zone.clone(),
        slot: allocation.slot,
        epoch: allocation.epoch,
        members: allocation.members.clone(),
        since_ms: allocation.since_ms,
        state,
        reason,
        in_flight: fleet.leases.load(allocation).map_or(0, |(load, _)| load),
    }
}

/// Explains the state of a group in the local zone; `None` if the group does not exist.
pub(crate) fn explain_group(core: &DaemonCore, name: &GroupName) -> Option<GroupExplanation> {
    let now = Instant::now();
    core.config_log.read(|config| {
        let recorded = config.groups().get(name)?;
        let spec = &recorded.value;
        let planner = zone_planner(core, config, now);
        let plan = planner.plan();
        let fleet = core.fleet();
        let settings = &core.settings;
        let nodes = fleet.node_views(core.zone(), config, &settings.managed, &settings.owner, now);
        let table = fleet.tables.get(core.zone());
        let allocations: Vec<Allocation> =
            table.map(|table| table.allocations.clone()).unwrap_or_default();
        let replicas = fleet
            .allocations()
            .filter(|(_, allocation)| allocation.group == *name)
            .map(|(zone, allocation)| replica_status(&fleet, zone, allocation))
            .collect();
        let demand = zone_demands(config, core.zone()).into_iter().find(|d| d.spec.name == *name);
        let wanted_here = demand.map_or(0, |demand| demand.desired);
        let mut unblock = Vec::new();
        let serving = fleet.serving_count(name, now);
        if let Some(missing) = plan.missing.get(name) {
            unblock.push(format!(
                "{missing} replicas need {} more free nodes each that match the selector in one \
                 fabric domain",
                spec.size
            ));
        }
        let divided: u32 =
            config.quotas().get(name).map_or(0, |quota| quota.value.counts.values().sum());
        if divided < spec.count {
            let short = spec.count - divided;
            unblock.push(format!(
                "{short} replicas fit into no availability zone that reports; label more nodes"
            ));
        }
        if unblock.is_empty() && serving < spec.count {
            unblock
                .push("nothing is missing; replicas are forming, loading or draining".to_owned());
        }
        Some(GroupExplanation {
            group: name.clone(),
            author: format!("{} at revision {}", recorded.author, *recorded.revision),
            zone: core.zone().clone(),
            wanted_here,
            replicas,
            nodes: explain_nodes(spec, &nodes, &allocations),
            unblock,
        })
    })
}

/// Returns what a command would change in the local zone, one line for each change.
pub(crate) fn dry_run(core: &DaemonCore, command: &ConfigCommand) -> Vec<String> {
    let now = Instant::now();
    let mut changed: ConfigState = core.config_log.read(Clone::clone);
    changed.try_command(command);
    if let ConfigCommand::PutGroup(spec) = command {
        assume_quota(core, &mut changed, spec);
    }
    let plan = zone_planner(core, &changed, now).plan();
    let mut lines = Vec::new();
    for drain in &plan.drains {
        let action = describe_drain(&drain.reason);
        lines.push(format!("{}/{} would be {action}", *drain.group, drain.slot));
    }
    for form in &plan.forms {
        let members: Vec<&str> = form.members.iter().map(|member| member.as_str()).collect();
        lines.push(format!(
            "{}/{} would be formed in domain {} of {}",
            *form.group,
            form.slot,
            *form.domain,
            members.join(", ")
        ));
    }
    for (group, missing) in &plan.missing {
        lines.push(format!("{} would lack nodes for {missing} replicas", **group));
    }
    if lines.is_empty() {
        lines.push("nothing would move in this availability zone".to_owned());
    }
    lines
}

/// Assumes a quota for a changed group: the local zone gets an even share of missing replicas, and
/// never keeps more than the group's count.
fn assume_quota(
    core: &DaemonCore,
    config: &mut ConfigState,
    spec: &hollowbarrow_schema::GroupSpec,
) {
    let present = config.quotas().get(&spec.name).map(|q| q.value.counts.clone());
    let zones: Vec<ZoneId> = core.settings.peers.iter().map(|peer| peer.zone.clone()).collect();
    let mut counts = present.unwrap_or_default();
    let total: u32 = counts.values().sum();
    let zone = core.zone().to_string();
    if total < spec.count {
        let zones = u32::try_from(zones.iter().collect::<std::collections::BTreeSet<_>>().len());
        let even = (spec.count - total).div_ceil(zones.unwrap_or(1).max(1));
        *counts.entry(zone).or_default() += even;
    } else if total > spec.count {
        let current = counts.get(&zone).copied().unwrap_or(0);
        counts.insert(zone, current.min(spec.count));
    }
    let quota = hollowbarrow_schema::Quota { group: spec.name.clone(), counts };
    config.try_command(&ConfigCommand::SetQuota(quota));
}
