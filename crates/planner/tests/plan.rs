//! The planner against a reference implementation, and the invariants of every plan.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_planner::{
    DrainReason, GroupDemand, GroupPlanner, NodeView, ReplicaView, ZonePlan, explain_nodes,
};
use hollowbarrow_schema::{
    Allocation, AllocationPhase, DomainId, Epoch, GroupName, GroupSpec, Labels, ModelName, NodeId,
    Selector, StartId, Urgency,
};
use proptest::prelude::*;
use rstest::rstest;

fn spec(name: &str, size: u32, tier: Option<&str>, urgency: Urgency) -> GroupSpec {
    let tier = tier.map(|tier| ("tier".to_owned(), tier.to_owned()));
    GroupSpec {
        name: GroupName::from(name),
        model: ModelName::from("m"),
        version: "1".to_owned(),
        adapter: None,
        size,
        count: 0,
        selector: Selector {
            match_labels: Labels(tier.into_iter().collect()),
            expressions: Vec::new(),
        },
        urgency,
        weight: 100,
        spares: 0,
    }
}

fn node(domain: usize, number: usize, tier: &str) -> NodeView {
    NodeView {
        id: NodeId(format!("d{domain}-n{number}")),
        domain: DomainId(format!("d{domain}")),
        labels: Labels(BTreeMap::from([("tier".to_owned(), tier.to_owned())])),
        accelerators: 2,
        unusable: None,
        withheld: None,
        leaving: false,
        unmanaged: None,
        weights: BTreeSet::new(),
    }
}

fn serving(group: &str, slot: u32, members: &[&NodeView]) -> ReplicaView {
    ReplicaView {
        allocation: Allocation {
            group: GroupName::from(group),
            slot,
            epoch: Epoch(1),
            members: members.iter().map(|node| node.id.clone()).collect(),
            domain: members[0].domain.clone(),
            phase: AllocationPhase::Active,
            model: ModelName::from("m"),
            version: "1".to_owned(),
            adapter: None,
            starts: vec![StartId(1); members.len()],
            since_ms: 0,
        },
        serving: true,
        draining: false,
        failed: false,
    }
}

fn nodes_of(domains: &[usize], tier: &str) -> Vec<NodeView> {
    let numbers = domains.iter().enumerate();
    numbers.flat_map(|(domain, count)| (0..*count).map(move |n| node(domain, n, tier))).collect()
}

/// Returns the replicas after a plan is carried out, without regard to the time that this takes.
fn apply_plan(replicas: &[ReplicaView], plan: &ZonePlan) -> Vec<ReplicaView> {
    let drained = |replica: &ReplicaView| {
        plan.drains.iter().any(|drain| {
            drain.group == replica.allocation.group && drain.slot == replica.allocation.slot
        })
    };
    let mut after: Vec<ReplicaView> = replicas.iter().filter(|r| !drained(r)).cloned().collect();
    for form in &plan.forms {
        let mut replica = replicas
            .first()
            .cloned()
            .unwrap_or_else(|| serving(&form.group, form.slot, &[&node(0, 0, "fast")]));
        replica.allocation.group = form.group.clone();
        replica.allocation.slot = form.slot;
        replica.allocation.members = form.members.clone();
        replica.allocation.domain = form.domain.clone();
        after.push(replica);
    }
    after
}

fn check_invariants(nodes: &[NodeView], demands: &[GroupDemand], after: &[ReplicaView]) {
    let mut taken = BTreeSet::new();
    for replica in after {
        let allocation = &replica.allocation;
        let demand = demands
            .iter()
            .find(|d| d.spec.name == allocation.group)
            .expect("every replica has a demand");
        assert_eq!(allocation.members.len(), demand.spec.size as usize);
        for member in &allocation.members {
            assert!(taken.insert(member.clone()), "{} is in two replicas", **member);
            let node = nodes
                .iter()
                .find(|node| node.id == *member)
                .expect("every member is a node of the zone");
            assert_eq!(node.domain, allocation.domain, "a replica spans two domains");
            assert!(demand.spec.selector.matches(&node.labels));
            assert!(node.is_available());
        }
    }
}

fn domains() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(0usize..12, 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// One group: as many replicas as the sum over the domains of the complete replicas that fit.
    #[test]
    fn plan_one_group_reference(domains in domains(), size in 1u32..7, desired in 0u32..12) {
        let nodes = nodes_of(&domains, "fast");
        let demands =
            vec![GroupDemand { spec: spec("g", size, None, Urgency::Normal), desired }];
        let plan = GroupPlanner::new(demands.clone()).with_nodes(nodes.clone()).plan();
        let reference: u32 = domains.iter().map(|count| *count as u32 / size).sum();
        prop_assert_eq!(plan.forms.len() as u32, reference.min(desired));
        let missing = plan.missing.values().sum::<u32>();
        prop_assert_eq!(missing, desired - reference.min(desired));
        check_invariants(&nodes, &demands, &apply_plan(&[], &plan));
    }

    /// Several groups with lost nodes: the invariants hold, no replica without a loss moves, and
    /// the next plan is empty.
    #[test]
    fn plan_losses_converges(
        domains in domains(),
        sizes in prop::collection::vec((1u32..5, 0u32..4, 0u8..3), 1..4),
        lost in prop::collection::vec(any::<prop::sample::Index>(), 0..4),
    ) {
        let mut nodes = nodes_of(&domains, "fast");
        let demands: Vec<GroupDemand> = sizes
            .iter()
            .enumerate()
            .map(|(number, (size, desired, urgency))| {
                let urgency = [Urgency::Urgent, Urgency::Normal, Urgency::Batch][*urgency as usize];
                let spec = spec(&format!("g{number}"), *size, None, urgency);
                GroupDemand { spec, desired: *desired }
            })
            .collect();
        let planner = GroupPlanner::new(demands.clone()).with_nodes(nodes.clone());
        let before = apply_plan(&[], &planner.plan());
        check_invariants(&nodes, &demands, &before);
        for index in &lost {
            if !nodes.is_empty() {
                index.get_mut(&mut nodes).unusable = Some("lost".to_owned());
            }
        }
        let planner =
            GroupPlanner::new(demands.clone()).with_nodes(nodes.clone()).with_replicas(before.clone());
        let plan = planner.plan();
        let intact = |replica: &ReplicaView| {
            replica.allocation.members.iter().all(|member| {
                nodes.iter().any(|node| node.id == *member && node.unusable.is_none())
            })
        };
        for replica in before.iter().filter(|replica| intact(replica)) {
            let drained = plan.drains.iter().any(|drain| {
                drain.group == replica.allocation.group && drain.slot == replica.allocation.slot
            });
            prop_assert!(!drained, "a replica without a loss was drained");
        }
        let after = apply_plan(&before, &plan);
        check_invariants(&nodes, &demands, &after);
        let again = GroupPlanner::new(demands.clone())
            .with_nodes(nodes.clone())
            .with_replicas(after)
            .plan();
        let empty = again.drains.is_empty() && again.forms.is_empty();
        prop_assert!(empty, "the next plan is not empty");
    }
}

#[rstest]
fn plan_repair_keeps_ranks() {
    let mut nodes = nodes_of(&[4, 4], "fast");
    let members: Vec<&NodeView> = nodes[4..7].iter().collect();
    let replicas = vec![serving("g", 0, &members)];
    nodes[5].unusable = Some("lost".to_owned());
    let demand = GroupDemand { spec: spec("g", 3, None, Urgency::Normal), desired: 1 };
    let plan = GroupPlanner::new(vec![demand]).with_nodes(nodes).with_replicas(replicas).plan();
    assert!(matches!(plan.drains[0].reason, DrainReason::MemberLost { .. }));
    let members: Vec<&str> = plan.forms[0].members.iter().map(|node| node.as_str()).collect();
    assert_eq!(members, ["d1-n0", "d1-n3", "d1-n2"], "remaining members did not keep their ranks");
}

/// Guards against a replica that is given up because a member is silent without being known to be
/// lost. Such a node joins no new replica.
#[rstest]
fn plan_withheld_member_kept() {
    let mut nodes = nodes_of(&[4], "fast");
    let members: Vec<&NodeView> = nodes[0..2].iter().collect();
    let replicas = vec![serving("g", 0, &members)];
    nodes[1].withheld = Some("silent".to_owned());
    nodes[2].withheld = Some("silent".to_owned());
    let demand = GroupDemand { spec: spec("g", 2, None, Urgency::Normal), desired: 2 };
    let plan = GroupPlanner::new(vec![demand]).with_nodes(nodes).with_replicas(replicas).plan();
    assert!(plan.drains.is_empty(), "{:?}", plan.drains);
    assert!(plan.forms.is_empty(), "a silent node was given a new replica: {:?}", plan.forms);
}

#[rstest]
fn plan_domain_full() {
    let nodes = nodes_of(&[2, 2], "fast");
    let demand = GroupDemand { spec: spec("g", 3, None, Urgency::Normal), desired: 1 };
    let plan = GroupPlanner::new(vec![demand]).with_nodes(nodes).plan();
    assert!(plan.forms.is_empty(), "a replica must not span two domains");
    assert_eq!(plan.missing.get(&GroupName::from("g")), Some(&1));
}

#[rstest]
fn plan_spares_kept() {
    let nodes = nodes_of(&[4], "fast");
    let members: Vec<&NodeView> = nodes[0..2].iter().collect();
    let mut urgent = spec("urgent", 2, None, Urgency::Urgent);
    urgent.spares = 1;
    let demands = vec![
        GroupDemand { spec: urgent, desired: 1 },
        GroupDemand { spec: spec("batch", 2, None, Urgency::Batch), desired: 1 },
    ];
    let planner = GroupPlanner::new(demands)
        .with_nodes(nodes.clone())
        .with_replicas(vec![serving("urgent", 0, &members)]);
    assert!(planner.plan().forms.is_empty(), "the batch group used the spare");
}

#[rstest]
#[case("version")]
#[case("selector")]
#[case("unmanaged")]
fn plan_change_drains_one_by_one(#[case] change: &str) {
    let mut nodes = nodes_of(&[4], "fast");
    let first: Vec<&NodeView> = nodes[0..2].iter().collect();
    let second: Vec<&NodeView> = nodes[2..4].iter().collect();
    let replicas = vec![serving("g", 0, &first), serving("g", 1, &second)];
    let mut changed = spec("g", 2, None, Urgency::Normal);
    match change {
        "version" => changed.version = "2".to_owned(),
        "selector" => changed.selector = spec("g", 2, Some("slow"), Urgency::Normal).selector,
        _ => nodes.iter_mut().for_each(|node| node.unmanaged = Some("taken back".to_owned())),
    }
    let demand = GroupDemand { spec: changed, desired: 2 };
    let plan = GroupPlanner::new(vec![demand]).with_nodes(nodes).with_replicas(replicas).plan();
    assert_eq!(plan.drains.len(), 1, "not exactly one replica is drained");
    assert!(!plan.drains[0].reason.is_loss(), "a replica that can still serve was treated as lost");
}

#[rstest]
fn plan_leaving_drains_at_once() {
    let mut nodes = nodes_of(&[4], "fast");
    let members: Vec<&NodeView> = nodes[0..2].iter().collect();
    let replicas = vec![serving("g", 0, &members)];
    nodes[0].leaving = true;
    let demand = GroupDemand { spec: spec("g", 2, None, Urgency::Normal), desired: 1 };
    let plan = GroupPlanner::new(vec![demand]).with_nodes(nodes).with_replicas(replicas).plan();
    assert!(matches!(plan.drains[0].reason, DrainReason::NodeLeaving { .. }));
    assert_eq!(plan.forms.len(), 1, "the replacement is not formed while the old replica drains");
    assert!(!plan.forms[0].members.contains(&NodeId::from("d0-n0")));
}

#[rstest]
fn explain_each_node() {
    let mut nodes = nodes_of(&[2, 3], "fast");
    nodes[0].unusable = Some("not seen for 9.0 s".to_owned());
    nodes[2].unmanaged = Some("label given is missing".to_owned());
    nodes.push(node(1, 9, "slow"));
    let group = spec("g", 2, Some("fast"), Urgency::Normal);
    let reasons: Vec<String> =
        explain_nodes(&group, &nodes, &[]).into_iter().map(|verdict| verdict.reason).collect();
    assert!(reasons[0].contains("not seen for 9.0 s"));
    assert!(reasons[1].contains("1 free nodes that fit, 2 are needed"));
    assert!(reasons[2].contains("not given to hollowbarrow"));
    assert_eq!(reasons[3], "fits and is free");
    assert!(reasons[5].contains("label tier is slow, not fast"));
}
