//! Keeps the configuration, the workers and the replicas.
//!
//! A few controllers with disks hold the configuration in a replicated log.
//! Each takes registrations of workers and tells gateways and the other
//! controllers. The leader of the log alone plans replicas and orders workers,
//! while it is sure that it leads. How workers and operators spell their
//! messages comes from a [`ControlProtocol`].
//!
//! Invariants:
//!
//! - A configuration is acknowledged only after a majority of disks holds it.
//! - An order is given only while a majority has confirmed the leader within
//!   the election time.
//! - What a controller tells gateways about the configuration is committed, and is as new as what
//!   its leader had committed, or no leader was there to ask.

mod api;
pub mod certainty;
mod controller;
mod core;
pub mod delivery;
mod fleet;
pub mod liveness;
mod metrics;
mod orders;
mod pending;
mod protocol;
mod quarantine;
mod reconcile;
pub mod records;
mod sync;
pub mod table_hashes;
pub mod tables;
pub mod voters;
mod worker_updates;

pub use controller::{Controller, StartControllerError};
pub use liveness::ProbeOutcome;
pub use metrics::CONTROLLER_METRICS;
pub use protocol::{ControlAnswer, ControlCall, ControlProtocol, WorkerMessage};
pub use records::{RecordFault, RecordProblem};
