//! Clients for upstreams and for the platform.
//!
//! [`UpstreamClient`] sends requests and reports exactly how far a failed one
//! got; retries and the "not run" status of answers depend on it.
//! [`EngineClient`] is the trait for health probes of engines and orders to
//! them; [`HttpEngine`] implements it with the protocol of
//! `docs/upstream-protocol.md`. [`EventParser`] parses streams of events.
//!
//! Invariants: an answer is passed on as complete only if its HTTP framing marks
//! it as complete. What an upstream can make this process read and keep is bounded.

mod answer_budget;
mod body;
mod call;
mod client;
mod engine;
mod events;
mod meter;
mod notice;
mod platform;

pub use answer_budget::{AnswerBudget, BudgetHold, OverBudgetError};
pub use body::{ReadBodyError, UpstreamBody};
pub use call::{CallAnswer, UpstreamCall};
pub use client::{
    CarrierHealth, ConnectionLease, SendRequestError, SentAnswer, UpstreamClient, UpstreamRequest,
    is_final_status, is_hop_header,
};
pub use engine::{
    EngineClient, EngineFuture, HttpEngine, ProbeNodeError, SendOrderError, parse_report,
    report_call,
};
pub use events::{EventParser, ParseEventError, StreamChunk, parse_chunk};
pub use meter::{MAX_HEAD_BYTES, MeteredStream};
pub use notice::{ReadBackoffError, ReadLimitError, UpstreamNotice, read_backoff, read_limit};
pub use platform::{ListNodesError, list_nodes};
