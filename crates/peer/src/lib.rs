//! Connections between daemons.
//!
//! Each daemon opens a websocket to a peer when it first has something to say
//! to it, and messages flow one way on it. Both ends prove that they hold a
//! cluster key, and each frame carries a number and a code that depends on the
//! key, so that nothing can be slipped in, changed, repeated or left out within
//! a connection. Across connections messages may be lost; who sends one that
//! matters sends it again.
//!
//! Invariants: a message is handed on only if it came whole from the daemon
//! that it names; queues are bounded in messages and bytes, and a full one drops what comes
//! next.

mod mesh;
mod pack;
mod queue;
mod seal;

pub use mesh::{MeshConfig, MeshTraffic, PeerMesh, StartMeshError};
pub use pack::{UnpackBodyError, pack_body, unpack_body};
pub use queue::{PeerQueue, QueuedMessages, new_queue};
pub use seal::{EncodedMessage, FrameOpener, FrameSealer, OpenFrameError};
