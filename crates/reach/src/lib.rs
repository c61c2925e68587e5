//! Connections to upstreams, over the process's own network path or through a peer.
//!
//! A process may lose its paths to upstreams while callers, other daemons and the upstreams themselves
//! are well. [`Reach`] then opens connections as tunnels through peers that still reach them. Which
//! upstream runs a request has been decided before; the path changes nothing about it.
//!
//! Invariants:
//!
//! - A failed connection counts as the process's own loss only if a peer reached the upstream.
//! - No request is sent over the process's own path to find out whether that path works again.
//! - A lost connection shows that an upstream has terminated only if another instance answers in its
//!   place, or if a new connection fails on either path while another upstream of the service is
//!   reached.
//! - An instance still runs after a connection has ended only if that shows later: by its answer, or by
//!   a connection from before that stays open beside a new one.
//! - An idle connection from before a loss of the path is not used after the loss was noticed.

mod checks;
mod connect;
mod fate;
mod instance;
mod paths;
mod reach;
mod relays;
mod shared_checks;

pub use connect::{ConnectTimes, NotConnected};
pub use fate::{FateReport, OtherUpstreams, UpstreamFate};
pub use instance::{InstanceProbe, InstanceReply, InstanceState, InstanceWatch};
pub use paths::{PathChange, PathTable, UpstreamPath};
pub use reach::{Reach, ReachObserver, ServiceTargets, UpstreamTarget, is_full_name};
pub use relays::RelayPeers;
