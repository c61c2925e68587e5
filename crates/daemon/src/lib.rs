//! One entry node of hollowbarrow.
//!
//! This crate puts the parts together: the doors towards callers and
//! operators, the loops that observe nodes and exchange digests, the controller of
//! the own availability zone, and the clients of the two logs. [`Daemon`] is
//! what the command line starts.
//!
//! Invariants: a request is given to an upstream only after its lease and the
//! deadline were checked in the same step; a not repeatable request with a key
//! is given to one only after its claim was granted.

mod answer;
mod attempt;
mod caller_request;
mod callers;
mod claims;
mod core;
mod daemon;
mod digest;
mod dispatch;
mod fleet;
mod observer;
mod operator;
mod operator_view;
mod permits;
mod proposals;
mod quota;
mod refusals;
mod relay;
mod routes;
mod table_change;
mod telemetry;
mod zone_authority;
mod zone_control;
mod zone_demand;

pub use answer::error_catalogue;
pub use caller_request::headers;
pub use daemon::{Daemon, DaemonHandle, DaemonListeners, StartDaemonError};
pub use telemetry::metric_catalogue;
