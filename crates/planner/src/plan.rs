//! Computes which replicas to drain and which to form in one availability zone.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{
    Allocation, DomainId, GroupName, GroupSpec, Labels, NodeId, weights_name,
};
use thiserror::Error;

use crate::free::FreeNodes;

/// State of a node as input to the planner.
#[derive(Clone, Debug)]
pub struct NodeView {
    /// Name of the node.
    pub id: NodeId,
    /// Fabric domain of the node.
    pub domain: DomainId,
    /// Labels that operators have set on it.
    pub labels: Labels,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Why it cannot be used now, if so; a replica with it as a member is lost.
    pub unusable: Option<String>,
    /// Why it gets no new replica for now, although its replica is kept.
    pub withheld: Option<String>,
    /// Whether it is about to be stopped. It then gets no new replica, and its replica drains.
    pub leaving: bool,
    /// Why hollowbarrow may not use it, if operators have not given it to hollowbarrow.
    pub unmanaged: Option<String>,
    /// Weights on it, as `model@version`.
    pub weights: BTreeSet<String>,
}

/// A group and its desired number of replicas in this availability zone.
#[derive(Clone, Debug)]
pub struct GroupDemand {
    /// Specification by the operator.
    pub spec: GroupSpec,
    /// Desired replicas in this zone.
    pub desired: u32,
}

/// A current allocation and the state of its replica.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// The allocation.
    pub allocation: Allocation,
    /// Whether every member is ready and the replica accepts requests.
    pub serving: bool,
    /// Whether it is already draining.
    pub draining: bool,
    /// Whether loading failed or took too long.
    pub failed: bool,
}

/// Why a replica is drained.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DrainReason {
    /// The group was deleted.
    #[error("the group was deleted")]
    GroupDeleted,
    /// Fewer replicas are desired in the zone.
    #[error("fewer replicas are wanted in this availability zone")]
    TooMany,
    /// The model, version, adapter or size of the group has changed.
    #[error("the group now asks for another model, version, adapter or size")]
    SpecChanged,
    /// A member no longer matches the selector.
    #[error("node {node} no longer fits: {condition}")]
    SelectorChanged {
        /// The member.
        node: NodeId,
        /// The condition that fails.
        condition: String,
    },
    /// A member is about to be stopped.
    #[error("node {node} is about to be stopped")]
    NodeLeaving {
        /// The member.
        node: NodeId,
    },
    /// A member is lost.
    #[error("node {node} is lost: {cause}")]
    MemberLost {
        /// The member.
        node: NodeId,
        /// Why it is lost.
        cause: String,
    },
    /// Loading failed or took too long.
    #[error("the replica did not become ready in time")]
    LoadFailed,
}

impl NodeView {
    /// Returns whether the node may become a member of a new replica.
    pub fn is_available(&self) -> bool {
        self.unusable.is_none()
            && self.withheld.is_none()
            && self.unmanaged.is_none()
            && !self.leaving
    }
}

impl DrainReason {
    /// Returns whether the replica can no longer serve, so that its nodes are released at once.
    pub fn is_loss(&self) -> bool {
        matches!(self, Self::MemberLost { .. } | Self::LoadFailed)
    }
}

/// A replica to drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanDrain {
    /// Its group.
    pub group: GroupName,
    /// Its slot within the group.
    pub slot: u32,
    /// Why it is drained.
    pub reason: DrainReason,
}

/// A replica to form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewReplica {
    /// Its group.
    pub group: GroupName,
    /// Its slot within the group.
    pub slot: u32,
    /// Its members by rank.
    pub members: Vec<NodeId>,
    /// The fabric domain of all members.
    pub domain: DomainId,
}

/// Planned changes in an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZonePlan {
    /// Replicas to drain.
    pub drains: Vec<PlanDrain>,
    /// Replicas to form from nodes that are free once lost replicas are released.
    pub forms: Vec<NewReplica>,
    /// Number of replicas that cannot be formed for lack of nodes, by group.
    pub missing: BTreeMap<GroupName, u32>,
}

/// Plans one availability zone.
#[derive(Clone, Debug, Default)]
pub struct GroupPlanner {
    demands: Vec<GroupDemand>,
    nodes: Vec<NodeView>,
    index: BTreeMap<NodeId, usize>,
    replicas: Vec<ReplicaView>,
    rebuild_all: bool,
}

impl GroupPlanner {
    /// Creates a planner for the groups desired in the zone.
    pub fn new(demands: Vec<GroupDemand>) -> Self {
        Self { demands, ..Self::default() }
    }

    /// Sets the zone's nodes.
    pub fn with_nodes(mut self, nodes: Vec<NodeView>) -> Self {
        self.index =
            nodes.iter().enumerate().map(|(position, node)| (node.id.clone(), position)).collect();
        self.nodes = nodes;
        self
    }

    /// Sets the current allocations.
    pub fn with_replicas(mut self, replicas: Vec<ReplicaView>) -> Self {
        self.replicas = replicas;
        self
    }

    /// Sets whether the loss of any member drains every replica, which serves as the baseline for
    /// comparisons.
    pub fn with_rebuild_all(mut self, rebuild_all: bool) -> Self {
        self.rebuild_all = rebuild_all;
        self
    }

    /// Computes the plan.
    pub fn plan(&self) -> ZonePlan {
        let drains = self.plan_drains();
        let lost: BTreeSet<(&GroupName, u32)> = drains
            .iter()
            .filter(|drain| drain.reason.is_loss())
            .map(|drain| (&drain.group, drain.slot))
            .collect();
        let mut free = FreeNodes::new(&self.nodes);
        for replica in &self.replicas {
            let allocation = &replica.allocation;
            let released = lost.contains(&(&allocation.group, allocation.slot));
            if !released {
                free.allocate(&allocation.members);
            }
        }
        let mut plan = ZonePlan { drains: drains.clone(), ..ZonePlan::default() };
        let mut demands: Vec<&GroupDemand> = self.demands.iter().collect();
        demands.sort_by(|a, b| {
            let key = |d: &GroupDemand| (d.spec.urgency, std::cmp::Reverse(d.spec.size));
            key(a).cmp(&key(b)).then_with(|| a.spec.name.cmp(&b.spec.name))
        });
        for demand in demands {
            self.form_missing(demand, &drains, &mut free, &mut plan);
        }
        plan
    }

    /// Returns how many replicas of a group could run in the zone if the group had all free nodes.
    pub fn possible_replicas(&self, demand: &GroupDemand) -> u32 {
        let mut free = FreeNodes::new(&self.nodes);
        let mut existing = 0;
        for replica in &self.replicas {
            let allocation = &replica.allocation;
            let usable = self.drain_reason(replica).is_none_or(|reason| !reason.is_loss());
            if usable {
                free.allocate(&allocation.members);
                existing += u32::from(allocation.group == demand.spec.name && !replica.draining);
            }
        }
        existing + free.possible_replicas(&demand.spec)
    }

    fn demand(&self, group: &GroupName) -> Option<&GroupDemand> {
        self.demands.iter().find(|demand| demand.spec.name == *group)
    }

    /// Returns the replicas that must be drained, and those that may be drained now without
    /// avoidable downtime.
    fn plan_drains(&self) -> Vec<PlanDrain> {
        let mut drains = Vec::new();
        let mut voluntary: BTreeMap<&GroupName, u32> = BTreeMap::new();
        for replica in &self.replicas {
            let Some(reason) = self.drain_reason(replica) else { continue };
            let group = &replica.allocation.group;
            if replica.draining && !reason.is_loss() {
                *voluntary.entry(group).or_default() += 1;
                continue;
            }
            let immediate = matches!(
                reason,
                DrainReason::GroupDeleted | DrainReason::TooMany | DrainReason::NodeLeaving { .. }
            );
            if !reason.is_loss() && !immediate {
                // A rolling change drains one replica at a time while the others serve.
                let changing = voluntary.entry(group).or_default();
                if *changing > 0 || (replica.serving && !self.others_serve(replica)) {
                    continue;
                }
                *changing += 1;
            }
            let slot = replica.allocation.slot;
            drains.push(PlanDrain { group: group.clone(), slot, reason });
        }
        drains
    }

    /// Returns whether all other replicas of the group serve; true if there are none.
    fn others_serve(&self, replica: &ReplicaView) -> bool {
        self.replicas
            .iter()
            .filter(|other| other.allocation.group == replica.allocation.group)
            .filter(|other| other.allocation.slot != replica.allocation.slot)
            .all(|other| other.serving && !other.draining)
    }

    fn drain_reason(&self, replica: &ReplicaView) -> Option<DrainReason> {
        let allocation = &replica.allocation;
        if let Some(reason) = self.member_loss(allocation) {
            return Some(reason);
        }
        if self.rebuild_all {
            let others = self.replicas.iter().map(|replica| &replica.allocation);
            if let Some(reason) = others.filter_map(|other| self.member_loss(other)).next() {
                return Some(reason);
            }
        }
        if replica.failed {
            return Some(DrainReason::LoadFailed);
        }
        let leaving = self.member_nodes(allocation).find(|node| node.leaving);
        if let Some(node) = leaving {
            return Some(DrainReason::NodeLeaving { node: node.id.clone() });
        }
        let Some(demand) = self.demand(&allocation.group) else {
            return Some(DrainReason::GroupDeleted);
        };
        if self.surplus_slots(demand).contains(&allocation.slot) {
            return Some(DrainReason::TooMany);
        }
        let spec = &demand.spec;
        let same = spec.model == allocation.model
            && spec.version == allocation.version
            && spec.adapter == allocation.adapter
            && spec.size as usize == allocation.members.len();
        if !same {
            return Some(DrainReason::SpecChanged);
        }
        self.member_nodes(allocation).find_map(|node| {
            let condition =
                node.unmanaged.clone().or_else(|| spec.selector.failing_condition(&node.labels))?;
            Some(DrainReason::SelectorChanged { node: node.id.clone(), condition })
        })
    }

    fn member_nodes<'a>(
        &'a self,
        allocation: &'a Allocation,
    ) -> impl Iterator<Item = &'a NodeView> {
        allocation.members.iter().filter_map(|member| self.nodes.get(*self.index.get(member)?))
    }

    fn member_loss(&self, allocation: &Allocation) -> Option<DrainReason> {
        allocation.members.iter().find_map(|member| {
            let cause = match self.index.get(member) {
                None => "it is no longer listed".to_owned(),
                Some(position) => self.nodes[*position].unusable.clone()?,
            };
            Some(DrainReason::MemberLost { node: member.clone(), cause })
        })
    }

    /// Returns the slots beyond the desired number. Slots of replicas that do not serve are chosen
    /// first, then the highest.
    fn surplus_slots(&self, demand: &GroupDemand) -> BTreeSet<u32> {
        let mut slots: Vec<(bool, u32)> = self
            .replicas
            .iter()
            .filter(|replica| replica.allocation.group == demand.spec.name && !replica.draining)
            .map(|replica| (!replica.serving, replica.allocation.slot))
            .collect();
        slots.sort_unstable();
        slots.into_iter().skip(demand.desired as usize).map(|(_, slot)| slot).collect()
    }

    fn form_missing(
        &self,
        demand: &GroupDemand,
        drains: &[PlanDrain],
        free: &mut FreeNodes<'_>,
        plan: &mut ZonePlan,
    ) {
        let spec = &demand.spec;
        let mut used_slots = BTreeSet::new();
        let mut staying = 0;
        let mut lost: Vec<&Allocation> = Vec::new();
        for replica in self.replicas.iter().filter(|r| r.allocation.group == spec.name) {
            let allocation = &replica.allocation;
            used_slots.insert(allocation.slot);
            let drain = drains.iter().find(|d| d.group == spec.name && d.slot == allocation.slot);
            match drain {
                Some(drain) if drain.reason.is_loss() => lost.push(allocation),
                Some(_) => {}
                None if replica.draining => {}
                None => staying += 1,
            }
        }
        let missing = demand.desired.saturating_sub(staying);
        let mut slots = (0u32..).filter(|slot| !used_slots.contains(slot));
        for position in 0..missing {
            let replaced = lost.get(position as usize).copied();
            let Some((domain, members)) = self.choose_members(spec, replaced, free) else {
                plan.missing.insert(spec.name.clone(), missing - position);
                return;
            };
            free.allocate(&members);
            let slot = slots.next().unwrap_or_default();
            plan.forms.push(NewReplica { group: spec.name.clone(), slot, members, domain });
        }
    }

    /// Chooses a fabric domain and nodes in it: first by the members of the replaced replica that
    /// can stay, then by the tightest fit.
    fn choose_members(
        &self,
        spec: &GroupSpec,
        replaced: Option<&Allocation>,
        free: &FreeNodes<'_>,
    ) -> Option<(DomainId, Vec<NodeId>)> {
        let weights = weights_name(&spec.model, &spec.version);
        let size = spec.size as usize;
        let mut best: Option<DomainChoice> = None;
        for (domain, mut nodes) in free.matching_by_domain(spec) {
            let reserved = self.reserved_for_others(spec, domain, free);
            if nodes.len() < size + reserved {
                continue;
            }
            let leftover = nodes.len() - size;
            let stays =
                |node: &NodeView| replaced.is_some_and(|old| old.members.contains(&node.id));
            nodes.sort_by_key(|node| {
                let other_uses = self.other_uses(spec, node);
                (!stays(node), !node.weights.contains(&weights), other_uses, &node.id)
            });
            nodes.truncate(size);
            let moved = nodes.iter().filter(|node| !stays(node)).count();
            let unloaded = nodes.iter().filter(|node| !node.weights.contains(&weights)).count();
            // Without a replaced replica every node is new, so the tightest fit decides.
            let moved = if replaced.is_some() { moved } else { 0 };
            let key = (moved, leftover % size.max(1), unloaded, leftover);
            let members = order_members(&nodes, replaced);
            if best.as_ref().is_none_or(|(found, ..)| key < *found) {
                best = Some((key, domain.clone(), members));
            }
        }
        best.map(|(_, domain, members)| (domain, members))
    }

    /// Returns how many other groups could use a node. Nodes with the fewest uses are chosen first.
    fn other_uses(&self, spec: &GroupSpec, node: &NodeView) -> usize {
        self.demands
            .iter()
            .filter(|demand| demand.spec.name != spec.name && demand.desired > 0)
            .filter(|demand| demand.spec.selector.matches(&node.labels))
            .count()
    }

    /// Returns how many free nodes of a domain are reserved as spares for other groups' replicas
    /// there.
    fn reserved_for_others(
        &self,
        spec: &GroupSpec,
        domain: &DomainId,
        free: &FreeNodes<'_>,
    ) -> usize {
        let mut reserved = 0;
        for demand in self.demands.iter().filter(|demand| demand.spec.name != spec.name) {
            let hosted = self.replicas.iter().any(|replica| {
                replica.allocation.group == demand.spec.name && replica.allocation.domain == *domain
            });
            if hosted && demand.spec.spares > 0 && demand.spec.urgency <= spec.urgency {
                let both = free
                    .in_domain(domain)
                    .filter(|node| demand.spec.selector.matches(&node.labels))
                    .filter(|node| spec.selector.matches(&node.labels))
                    .count();
                reserved += both.min(demand.spec.spares as usize);
            }
        }
        reserved
    }
}

/// Cost of a choice of nodes, and the choice.
type DomainChoice = (ChoiceCost, DomainId, Vec<NodeId>);

/// Cost, compared in order: members moved, remaining nodes that form no complete replica, nodes
/// without the weights, and all remaining free nodes.
type ChoiceCost = (usize, usize, usize, usize);

/// Orders the chosen nodes by rank. Members that stay keep their ranks, so that as few as possible
/// move.
fn order_members(nodes: &[&NodeView], replaced: Option<&Allocation>) -> Vec<NodeId> {
    let chosen: BTreeSet<&NodeId> = nodes.iter().map(|node| &node.id).collect();
    let old = replaced.map(|replaced| replaced.members.as_slice()).unwrap_or_default();
    let mut fresh = nodes.iter().map(|node| &node.id).filter(|id| !old.contains(id));
    let mut members: Vec<NodeId> = old
        .iter()
        .take(nodes.len())
        .filter_map(|member| if chosen.contains(member) { Some(member) } else { fresh.next() })
        .cloned()
        .collect();
    members.extend(fresh.cloned());
    for id in chosen {
        if !members.contains(id) {
            members.push(id.clone());
        }
    }
    members.truncate(nodes.len());
    members
}
