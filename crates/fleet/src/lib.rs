//! Registered workers, complete configurations and the lifecycle of replicas,
//! without input or output.
//!
//! Gateways and controllers share these types and decisions. Callers pass in
//! reports and the current time, so that tests can replay any order of events.
//! The crate is independent of the platform's message formats.
//!
//! Invariants:
//!
//! - Of two reports of one worker instance the one with the higher sequence
//!   number takes precedence.
//! - A replica is opened only after each member itself reported that it is ready
//!   under the replica's name and epoch.
//! - A worker is ordered into a replica only after the head of its former
//!   replica can no longer serve.

pub mod deployment;
pub mod engine;
pub mod loads;
pub mod placement;
pub mod replicas;
pub mod routes;
pub mod table_reply;
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
pub use table_reply::TableReply;
pub use term::TermState;
pub use versions::VersionTimes;
pub use workers::{MergeOutcome, WorkerTable};
