//! Stand-ins for what hollowbarrow meets, for tests, measurements and the demo.
//!
//! [`StandinFleet`] runs model workers, plain services and the platform's list
//! on local ports; [`FaultProxy`] stands between two processes and cuts,
//! delays, repeats or damages what passes. Stand-ins record what they ran, so
//! that a checker can hold it against what callers were told.

mod caller;
mod cluster;
mod fleet;
mod join;
mod model;
mod proxy;
mod record;
mod serve;
mod service;
mod turn_away;

pub use caller::{CallReply, CallerCall};
pub use cluster::{CALLER_KEY, Cluster, ClusterConfig, OPERATOR_KEY};
pub use fleet::{FleetConfig, StandinFleet};
pub use join::join_all;
pub use model::{CRASHING_PROMPT, ModelConfig, expected_token};
pub use proxy::{FaultMode, FaultProxy, LinkProxy};
pub use record::{RunHistory, RunRecord};
