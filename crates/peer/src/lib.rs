//! Connections between daemons.
//!
//! Each daemon opens a websocket to a peer when it sends its first message to
//! it; messages flow in one direction on a connection. Both ends prove that
//! they hold a cluster key. Each frame carries a sequence number and a message
//! authentication code, so that frames cannot be inserted, changed, repeated or
//! omitted within a connection. Messages may be lost when a connection breaks;
//! senders repeat messages that matter.
//!
//! Invariants: a message is delivered only if it was received completely from
//! the daemon that it is attributed to; queues are bounded in messages and
//! bytes, and a full queue drops further messages.

mod mesh;
mod pack;
mod queue;
mod seal;

pub use mesh::{MeshConfig, MeshTraffic, PeerMesh, StartMeshError};
pub use pack::{UnpackBodyError, pack_body, unpack_body};
pub use queue::{PeerQueue, QueuedMessages, new_queue};
pub use seal::{EncodedMessage, FrameOpener, FrameSealer, OpenFrameError};
