//! A change of a zone's table, and the orders derived from a settled table.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_planner::NewReplica;
use hollowbarrow_schema::{
    Allocation, AllocationPhase, Epoch, GroupName, GroupSpec, LoadOrder, NodeId, NodeOrder,
    NodeState, StartId, ZoneTable,
};

use hollowbarrow_zone::ReplicaName;

use crate::core::wall_ms;
use crate::fleet::FleetView;

/// An order for a node, with its fencing epoch.
pub(crate) type NodeOrderEntry = (NodeId, Epoch, NodeOrder);

/// One change of the zone's table.
pub(crate) struct TableChange {
    pub(crate) loaded: BTreeMap<ReplicaName, Vec<StartId>>,
    pub(crate) released: BTreeSet<ReplicaName>,
    pub(crate) losses: BTreeSet<ReplicaName>,
    pub(crate) drains: BTreeSet<ReplicaName>,
    pub(crate) forms: Vec<NewReplica>,
    pub(crate) epoch_increment: u64,
    pub(crate) specs: BTreeMap<GroupName, GroupSpec>,
}

impl TableChange {
    /// Applies the change to a table.
    pub(crate) fn apply(self, table: &mut ZoneTable) {
        let name = |allocation: &Allocation| (allocation.group.clone(), allocation.slot);
        table.allocations.retain(|allocation| {
            let name = name(allocation);
            !self.released.contains(&name) && !self.losses.contains(&name)
        });
        for allocation in &mut table.allocations {
            let name = name(allocation);
            if let Some(starts) = self.loaded.get(&name) {
                allocation.starts = starts.clone();
            }
            if self.drains.contains(&name) {
                allocation.phase = AllocationPhase::Draining;
            }
        }
        table.high_epoch = Epoch(*table.high_epoch + self.epoch_increment);
        for form in self.forms {
            let Some(spec) = self.specs.get(&form.group) else { continue };
            table.high_epoch = Epoch(*table.high_epoch + 1);
            log::info!(
                "event=replica_form group={} slot={} epoch={} domain={} members={}",
                *form.group,
                form.slot,
                *table.high_epoch,
                *form.domain,
                form.members.iter().map(|member| member.as_str()).collect::<Vec<_>>().join(",")
            );
            table.allocations.push(Allocation {
                group: form.group,
                slot: form.slot,
                epoch: table.high_epoch,
                members: form.members,
                domain: form.domain,
                phase: AllocationPhase::Active,
                model: spec.model.clone(),
                version: spec.version.clone(),
                adapter: spec.adapter.clone(),
                starts: Vec::new(),
                since_ms: wall_ms(),
            });
        }
    }
}

/// Returns load orders for the members of a replica that have not accepted theirs yet.
pub(crate) fn load_orders(fleet: &FleetView, allocation: &Allocation) -> Vec<NodeOrderEntry> {
    let needs_order = |member: &NodeId| {
        fleet
            .leases
            .observation(member)
            .is_some_and(|observation| observation.epoch < allocation.epoch)
    };
    allocation
        .members
        .iter()
        .zip(0..)
        .filter(|(member, _)| needs_order(member))
        .map(|(member, rank)| {
            let order = LoadOrder {
                group: allocation.group.clone(),
                model: allocation.model.clone(),
                version: allocation.version.clone(),
                adapter: allocation.adapter.clone(),
                rank,
                members: allocation.members.clone(),
            };
            (member.clone(), allocation.epoch, NodeOrder::Load(order))
        })
        .collect()
}

/// Returns a drain order for a replica's head if it is ready, so not draining yet.
pub(crate) fn drain_order(fleet: &FleetView, allocation: &Allocation) -> Option<NodeOrderEntry> {
    let head = allocation.head();
    let ready = fleet.leases.observation(head).is_some_and(|s| s.state == NodeState::Ready);
    ready.then(|| (head.clone(), allocation.epoch, NodeOrder::Drain))
}
