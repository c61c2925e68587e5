//! Manages the configuration, the workers and the replicas.
//!
//! A few controllers with disks hold the configuration in a replicated log.
//! Each accepts registrations of workers and publishes them to gateways and the
//! other controllers. Only the leader of the log plans replicas and orders
//! workers, and only while a majority confirms that it leads. A
//! [`ControlProtocol`] defines the message format of workers and operators.
//!
//! Invariants:
//!
//! - A configuration is acknowledged only after a majority of disks holds it.
//! - An order is sent only while a majority has confirmed the leader within
//!   the election time.
//! - A configuration that a controller sends to gateways is committed, and is as new as what the
//!   leader had committed, unless the controller is cut off from a majority of the voters.

mod acquaintance;
mod api;
pub mod certainty;
pub mod contact_file;
pub mod contacts;
mod controller;
mod core;
pub mod delivery;
mod fleet;
mod holder_sync;
pub mod holders;
pub mod liveness;
mod metrics;
mod orders;
pub mod peer_samples;
mod pending;
mod protocol;
mod quarantine;
mod reconcile;
pub mod records;
mod sync;
pub mod table_hashes;
pub mod tables;
mod voter_upkeep;
pub mod voters;
mod worker_updates;

pub use controller::{Controller, StartControllerError};
pub use liveness::ProbeOutcome;
pub use metrics::CONTROLLER_METRICS;
pub use protocol::{CallKind, ControlAnswer, ControlCall, ControlProtocol, WorkerMessage};
pub use records::{RecordFault, RecordProblem};
