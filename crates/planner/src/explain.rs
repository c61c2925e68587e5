//! Explains why each node is or is not a member of a group.

use std::collections::BTreeMap;

use hollowbarrow_schema::{Allocation, DomainId, GroupSpec, NodeId, NodeVerdict};

use crate::plan::NodeView;

/// Returns for each node of the zone whether the group has it, and why or why not.
pub fn explain_nodes(
    spec: &GroupSpec,
    nodes: &[NodeView],
    allocations: &[Allocation],
) -> Vec<NodeVerdict> {
    let holders: BTreeMap<&NodeId, &Allocation> = allocations
        .iter()
        .flat_map(|allocation| allocation.members.iter().map(move |member| (member, allocation)))
        .collect();
    let mut free: BTreeMap<&DomainId, u32> = BTreeMap::new();
    for node in nodes {
        let fits = node.is_available()
            && !holders.contains_key(&node.id)
            && spec.selector.matches(&node.labels);
        *free.entry(&node.domain).or_default() += u32::from(fits);
    }
    nodes
        .iter()
        .map(|node| {
            let holder = holders.get(&node.id);
            let taken = holder.is_some_and(|holder| holder.group == spec.name);
            let reason = if let Some(cause) = node.unusable.as_ref().or(node.withheld.as_ref()) {
                format!("not usable: {cause}")
            } else if let Some(condition) = &node.unmanaged {
                format!("not given to hollowbarrow: {condition}")
            } else if node.leaving {
                "about to be stopped".to_owned()
            } else if let Some(holder) = holder {
                format!(
                    "member of {} slot {} at epoch {}",
                    *holder.group, holder.slot, *holder.epoch
                )
            } else if let Some(condition) = spec.selector.failing_condition(&node.labels) {
                format!("does not match: {condition}")
            } else if free[&node.domain] < spec.size {
                format!(
                    "fits, but its domain {} has {} free nodes that fit, {} are needed",
                    *node.domain, free[&node.domain], spec.size
                )
            } else {
                "fits and is free".to_owned()
            };
            NodeVerdict { node: node.id.clone(), taken, reason }
        })
        .collect()
}
