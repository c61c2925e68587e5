//! Takes requests of callers to workers.
//!
//! A gateway holds no durable state. What it needs to know (the configuration
//! in force, the workers, what others have under way) controllers tell it
//! several times a second, and it goes on with what it last heard. How callers
//! and workers spell their messages comes from a [`CallerProtocol`].
//!
//! Invariants:
//!
//! - A caller gets a worker's whole answer to its own request, or an answer
//!   that cannot be taken for one.
//! - Only where the request certainly did not run is the caller told so.
//! - A request that may run only once is sent again only where it certainly did
//!   not run.
//! - A request under which several workers have ended one after the other is sent
//!   to none for a time.

mod attempt;
pub mod budget;
mod candidates;
mod core;
pub mod crashes;
mod estimate;
pub mod events;
mod flight;
mod gateway;
mod intake;
mod links;
mod loads;
mod metrics;
pub mod picker;
pub mod primary;
mod protocol;
mod refusal;
mod request;
pub mod retry_after;
mod shared_view;
mod stream;
mod timeouts;
mod watch;
mod whole;

pub use gateway::{Gateway, StartGatewayError};
pub use metrics::GATEWAY_METRICS;
pub use protocol::{AnswerFacts, CallerHead, CallerProtocol, HeadFault, SendFacts};
