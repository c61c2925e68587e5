//! Serves clients over HTTP within bounds of memory and descriptors.
//!
//! Every listener of a process admits its connections through one [`ClientGate`], which knows what each
//! connection holds and since when it waits for its client. See [`gate`](ClientGate) for what is closed
//! when memory or descriptors run out.

mod answer;
mod budget;
mod buffer;
mod gate;
mod json;
mod overload;
mod pressure;
mod process;
mod request;
mod server;
mod stream;
mod used_connections;

pub use answer::{AnswerBody, ChunkStream, HttpAnswer, TruncatedAnswerError, plain_answer};
pub use budget::{DescriptorBudget, MachineMemory};
pub use gate::{
    ByteHold, ClientConnection, ClientGate, ClientHandle, GateLevels, ListenerGate, ListenerLevels,
    OverloadedError,
};
pub use overload::{ConnectionLimiter, OpenConnection};
pub use process::{CLIENT_METRICS, ClientMetrics, ProcessGate};
pub use request::{ReadRequestError, RequestBody};
pub use server::{HttpHandler, HttpLimits, bind_http, serve_http};
pub use stream::GatedStream;
pub use used_connections::{UsedConnection, UsedConnections};
