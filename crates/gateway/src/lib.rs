//! Routes callers' requests to workers.
//!
//! A gateway holds no durable state. Controllers send it the active
//! configuration, the table of workers and the load from other gateways several
//! times a second; without new messages it continues with the last received
//! state. A [`CallerProtocol`] defines the wire format of callers and workers.
//!
//! Invariants:
//!
//! - A caller receives a worker's complete answer to its own request, or an
//!   answer that cannot be mistaken for one.
//! - An answer states that the request did not run only if that is certain.
//! - A request that may run only once is retried only if it certainly did not
//!   run.
//! - A request that crashed several workers in a row is quarantined: it is sent
//!   to no worker for a time.

mod attempt;
pub mod budget;
mod candidates;
pub mod contact;
mod core;
pub mod crashes;
mod estimate;
pub mod events;
mod flight;
mod gateway;
mod intake;
mod links;
mod loads;
mod lost_run;
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
mod view_dates;
mod watch;
mod whole;
mod worker_state;

pub use hollowbarrow_reach::InstanceReply;

pub use gateway::{Gateway, StartGatewayError};
pub use metrics::GATEWAY_METRICS;
pub use protocol::{AnswerFacts, CallerHead, CallerProtocol, HeadFault, SendFacts};
