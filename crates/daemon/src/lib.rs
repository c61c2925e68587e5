//! The daemon process of hollowbarrow, which serves callers and controls its availability zone.
//!
//! The crate combines the ingress listeners for callers and operators, the tasks
//! that probe nodes and exchange zone summaries, the controller of the local
//! availability zone, and the clients of the two logs. The command line starts a
//! [`Daemon`].
//!
//! Invariants: a request is sent to an upstream only after the upstream's lease
//! and the request's deadline have been checked without waiting in between; a
//! non-repeatable request with an idempotency key is sent only after its claim
//! has been granted.

mod answer;
mod attempt;
mod caller_request;
mod callers;
mod claims;
mod config_standing;
mod core;
mod daemon;
mod digest;
mod dispatch;
mod duplicates;
mod fleet;
mod lost_run;
mod observer;
mod operator;
mod operator_view;
mod paths;
mod permits;
mod proposals;
mod quota;
mod refusals;
mod relay;
mod routes;
mod table_change;
mod telemetry;
mod timers;
mod upstream_state;
mod voter_change;
mod zone_authority;
mod zone_control;
mod zone_demand;

pub use answer::error_catalogue;
pub use caller_request::headers;
pub use daemon::{Daemon, DaemonHandle, DaemonListeners, StartDaemonError};
pub use telemetry::metric_catalogue;
