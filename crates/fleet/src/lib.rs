//! Registered workers, whole configurations and the life of replicas, without
//! input or output.
//!
//! Gateways and controllers share these types and decisions. Everything here is
//! driven by its caller with reports and the time, so that tests can play any
//! order of events. Nothing here knows how a platform spells its messages.
//!
//! Invariants:
//!
//! - Of two reports of one worker the one with the higher number counts.
//! - A replica is opened only after each member itself said that it is ready
//!   under the replica's name and epoch.
//! - A worker is ordered into a replica only after its former replica's head
//!   can no longer serve.

pub mod deployment;
pub mod engine;
pub mod loads;
pub mod placement;
pub mod replicas;
pub mod routes;
pub mod term;
pub mod versions;
pub mod workers;

pub use deployment::{
    CallerLimits, Deployment, DeploymentFault, Organisation, Repeatability, Route, Service,
};
pub use engine::{Engine, ModelSpec};
pub use loads::LoadLimiter;
pub use placement::{
    PlacementDemand, PlacementWorker, PlannedReplica, plan_replicas, plan_scattered,
};
pub use replicas::{
    LeaderTimes, OrderOutcome, OrderTicket, ReplicaController, ReplicaTiming, WorkerOrder,
    WorkerStatus,
};
pub use routes::RouteTable;
pub use term::TermState;
pub use versions::VersionTimes;
pub use workers::{MergeOutcome, WorkerTable};
