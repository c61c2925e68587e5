//! What gateways and controllers have in common: settings, links to each other
//! and HTTP.
//!
//! Daemons are named by the address under which others reach them, so that a
//! name heard of is one that can be written to. They learn of each other from a
//! few seeds and from what they are told afterwards.
//!
//! Invariant: what is sent to a daemon may be lost; whoever sends says
//! everything that matters again.

pub mod http;
mod links;
mod metrics;
mod settings;
mod suspension;

pub use http::{AnswerBody, HttpAnswer, HttpHandler, HttpLimits, TruncatedAnswerError, serve_http};
pub use links::{EncodedDeployment, MemberLinks, StartLinksError};
pub use metrics::serve_metrics;
pub use settings::{member_id, read_member_settings, seed_ids};
pub use suspension::{BootClock, SuspensionClock, SuspensionDetector};
