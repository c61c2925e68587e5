//! Decides which nodes form each group of one availability zone.
//!
//! The planner is a pure function of the requested groups, the nodes with their
//! labels, and the current allocations. The zone's authority, `apply --dry-run`
//! and `explain` all call it, so that operators are shown what the authority
//! would do.
//!
//! Invariants of every plan: no node is in two replicas, all members of a
//! replica are in one fabric domain and match the group's selector, and a
//! replica that matches its group's specification is not changed.

mod explain;
mod free;
mod plan;

pub use explain::explain_nodes;
pub use plan::{
    DrainReason, GroupDemand, GroupPlanner, NewReplica, NodeView, PlanDrain, ReplicaView, ZonePlan,
};
