//! Authority over one availability zone, and the leases under which groups serve.
//!
//! One daemon of a zone at a time holds the zone's authority: it alone gives
//! orders to the zone's nodes. The daemons of the zone elect it among
//! themselves with [`AuthorityMember`], so that a zone that is partitioned from
//! all others can continue to repair its groups. [`LeaseTable`] decides on every
//! daemon which replicas may take requests, from the reports of the nodes.
//!
//! Invariants:
//!
//! - At most one daemon holds the authority of a zone at any moment.
//! - The zone's table is replicated to a majority before an order follows from it.
//! - A replica is given up only once a member is known to be lost; [`FailureDetector`] tells that
//!   from a silence, which alone proves no loss.
//! - A replica serves only while every member's heartbeat is younger than the
//!   lease, names the allocation's epoch and comes from the same start of the
//!   process.

mod authority;
mod config;
mod detector;
mod lease;
mod lifecycle;
mod observers;
mod probe_pacer;
mod restarts;
mod stages;

pub use authority::{AuthorityMember, TableStanding, TableStore};
pub use config::AuthorityConfig;
pub use detector::{FailureDetector, MASS_SILENCE_LEASES};
pub use lease::{LeaseTable, NodeObservation, ServingRefusal, digest_time};
pub use lifecycle::{
    Draining, Failed, Forming, LifecycleState, Loading, Ready, Released, ReplicaLifecycle, Serving,
};
pub use observers::{choose_observers, members_without_witness, observing_members, zone_members};
pub use probe_pacer::ProbePacer;
pub use restarts::RestartTable;
pub use stages::{LoadedReplica, ReplicaName, ReplicaStage, ReplicaStages};
