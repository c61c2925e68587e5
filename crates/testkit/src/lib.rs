//! Simulated upstreams, clusters of daemons and fault injection for tests, measurements and the
//! demo.
//!
//! [`StandinFleet`] runs stand-in model workers, plain services and the platform's node list
//! on local ports. [`FaultProxy`] forwards connections between two processes and disconnects,
//! delays, duplicates or corrupts their traffic. Stand-ins record each execution, so that a
//! test can compare the executions with the replies that callers received.

mod caller;
mod cluster;
mod fleet;
mod join;
mod model;
mod proxy;
mod raw;
mod record;
mod rejection;
mod serve;
mod service;

pub use caller::{CallReply, CallerCall};
pub use cluster::{CALLER_KEY, Cluster, ClusterConfig, OPERATOR_KEY};
pub use fleet::{FleetConfig, StandinFleet};
pub use join::join_all;
pub use model::{CRASHING_PROMPT, ENDLESS_PROMPT, ModelConfig, expected_token};
pub use proxy::{FaultMode, FaultProxy, LinkProxy};
pub use raw::{RawAnswer, RawEnd, RawHandler, RawRequest, RawUpstream};
pub use record::{RunHistory, RunRecord};
