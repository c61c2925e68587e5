//! How hollowbarrow speaks to upstreams and to the platform.
//!
//! [`UpstreamClient`] carries requests and says exactly how far one got, which
//! is what retries and "not run" rest on. [`EngineClient`] is the one trait
//! behind which an engine's health and orders stand; [`HttpEngine`] speaks the
//! protocol of `docs/upstream-protocol.md`. [`EventParser`] reads streams.
//!
//! Invariant: an answer is handed on as whole only if its framing says so.

mod client;
mod engine;
mod events;
mod notice;
mod platform;

pub use client::{
    ConnectionLease, SendRequestError, SentAnswer, UpstreamClient, UpstreamRequest, is_hop_header,
};
pub use engine::{EngineClient, EngineFuture, HttpEngine, ProbeNodeError, SendOrderError};
pub use events::{EventParser, ParseEventError, StreamChunk, parse_chunk};
pub use notice::{ReadBackoffError, ReadLimitError, UpstreamNotice, read_backoff, read_limit};
pub use platform::{ListNodesError, list_nodes};
