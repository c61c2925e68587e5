//! Code shared by gateways and controllers: settings, links to other daemons,
//! HTTP calls, metrics and detection of suspensions.
//!
//! The id of a daemon is the address under which other daemons reach it, so
//! that a message can be sent to any id that was received. Daemons discover
//! each other from a few seeds, which the platform may change while they run, and from the ids in
//! later messages.
//!
//! Invariant: a message to another daemon may be lost; the sender repeats all
//! state that matters.

pub mod http;
mod links;
mod metrics;
mod seeds;
mod settings;
mod suspension;

pub use links::{EncodedDeployment, MemberLinks, StartLinksError};
pub use metrics::serve_metrics;
pub use seeds::follow_seeds;
pub use settings::{member_id, read_member_settings, seed_ids};
pub use suspension::{BootClock, SuspensionClock, SuspensionDetector};
