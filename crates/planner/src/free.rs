//! The nodes that are in no replica, by fabric domain.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{DomainId, GroupSpec, NodeId};

use crate::plan::NodeView;

/// Available nodes that are not allocated.
pub(crate) struct FreeNodes<'a> {
    domains: BTreeMap<&'a DomainId, Vec<&'a NodeView>>,
    allocated: BTreeSet<NodeId>,
}

impl<'a> FreeNodes<'a> {
    pub(crate) fn new(nodes: &'a [NodeView]) -> Self {
        let mut domains: BTreeMap<&DomainId, Vec<&NodeView>> = BTreeMap::new();
        for node in nodes.iter().filter(|node| node.is_available()) {
            domains.entry(&node.domain).or_default().push(node);
        }
        Self { domains, allocated: BTreeSet::new() }
    }

    pub(crate) fn allocate(&mut self, members: &[NodeId]) {
        self.allocated.extend(members.iter().cloned());
    }

    pub(crate) fn in_domain(&self, domain: &DomainId) -> impl Iterator<Item = &'a NodeView> {
        let nodes = self.domains.get(domain).map(Vec::as_slice).unwrap_or_default();
        nodes.iter().copied().filter(|node| !self.allocated.contains(&node.id))
    }

    /// Returns the free nodes that match a group's selector, for each domain.
    pub(crate) fn matching_by_domain(
        &self,
        spec: &GroupSpec,
    ) -> impl Iterator<Item = (&'a DomainId, Vec<&'a NodeView>)> {
        self.domains.keys().map(|domain| {
            let nodes =
                self.in_domain(domain).filter(|node| spec.selector.matches(&node.labels)).collect();
            (*domain, nodes)
        })
    }

    /// Returns how many complete replicas of a group the free nodes could form.
    pub(crate) fn possible_replicas(&self, spec: &GroupSpec) -> u32 {
        let size = spec.size.max(1);
        self.matching_by_domain(spec).map(|(_, nodes)| nodes.len() as u32 / size).sum()
    }
}
