//! Desired groups of an availability zone, and its capacity.

use hollowbarrow_planner::{GroupDemand, GroupPlanner, ReplicaView};
use hollowbarrow_schema::{Allocation, AllocationPhase, LogIndex, ZoneCapacity, ZoneId};
use hollowbarrow_state::ConfigState;
use tokio::time::Instant;

use crate::core::DaemonCore;
use crate::fleet::FleetView;

/// Returns the groups that the zone must run, by the applied configuration.
pub(crate) fn zone_demands(config: &ConfigState, zone: &ZoneId) -> Vec<GroupDemand> {
    config
        .groups()
        .values()
        .map(|recorded| {
            let quota = config.quotas().get(&recorded.value.name);
            let wanted = quota.and_then(|quota| quota.value.counts.get(&**zone)).copied();
            GroupDemand { spec: recorded.value.clone(), desired: wanted.unwrap_or(0) }
        })
        .collect()
}

/// Returns the planner's view of a replica.
pub(crate) fn replica_view(
    fleet: &FleetView,
    allocation: &Allocation,
    now: Instant,
) -> ReplicaView {
    ReplicaView {
        serving: fleet.leases.serving_until(allocation, now).is_ok(),
        draining: allocation.phase == AllocationPhase::Draining,
        failed: false,
        allocation: allocation.clone(),
    }
}

/// Returns a planner for the local zone in its observed state.
pub(crate) fn zone_planner(core: &DaemonCore, config: &ConfigState, now: Instant) -> GroupPlanner {
    let fleet = core.fleet();
    let zone = core.zone();
    let settings = &core.settings;
    let nodes = fleet.node_views(zone, config, &settings.managed, &settings.owner, now);
    let table = fleet.tables.get(zone);
    let replicas = table.iter().flat_map(|table| &table.allocations);
    let replicas = replicas.map(|allocation| replica_view(&fleet, allocation, now)).collect();
    GroupPlanner::new(zone_demands(config, zone)).with_nodes(nodes).with_replicas(replicas)
}

/// Returns the replicas of each group that the local zone could run, and the index up to which the
/// configuration was applied; empty unless this daemon is the zone's authority.
pub(crate) fn zone_capacity(core: &DaemonCore, now: Instant) -> (LogIndex, Vec<ZoneCapacity>) {
    let is_authority =
        core.authorities().get(core.zone()).is_some_and(|m| m.remaining(now).is_some());
    if !is_authority {
        return (LogIndex(0), Vec::new());
    }
    core.config_log.read(|config| {
        let planner = zone_planner(core, config, now);
        let fleet = core.fleet();
        let allocations: Vec<&Allocation> =
            fleet.tables.get(core.zone()).iter().flat_map(|table| &table.allocations).collect();
        let groups = zone_demands(config, core.zone())
            .iter()
            .map(|demand| {
                let local = allocations.iter().filter(|a| a.group == demand.spec.name);
                let serving = local.filter(|a| fleet.leases.serving_until(a, now).is_ok()).count();
                ZoneCapacity {
                    group: demand.spec.name.clone(),
                    possible: planner.possible_replicas(demand),
                    serving: u32::try_from(serving).unwrap_or(u32::MAX),
                }
            })
            .collect();
        (config.applied(), groups)
    })
}
