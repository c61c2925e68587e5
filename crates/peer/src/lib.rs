//! Connections between daemons.
//!
//! Each daemon opens a websocket to a peer when it sends its first message to
//! it; messages flow in one direction on a connection. Both ends prove that
//! they hold a cluster key. Each frame carries a sequence number and a message
//! authentication code, so that frames cannot be inserted, changed, repeated or
//! omitted within a connection. Messages may be lost when a connection breaks;
//! senders repeat messages that matter.
//!
//! A daemon can also open a tunnel through a peer to an upstream that it cannot
//! reach itself: a byte stream in place of its own TCP connection. The handshake
//! covers the upstream's name; the bytes are protected no more than on a
//! direct connection to the upstream.
//!
//! Invariants: a message is delivered only if it was received completely from
//! the daemon that it is attributed to; queues are bounded in messages and
//! bytes, and a full queue drops further messages.

mod handshake;
mod mesh;
mod pack;
mod queue;
mod seal;
mod tunnel;
mod tunnel_server;

pub use handshake::ConnectPeerError;
pub use mesh::{MeshConfig, MeshTraffic, PeerMesh, StartMeshError};
pub use pack::{UnpackBodyError, pack_body, unpack_body};
pub use queue::{PeerQueue, QueuedMessages, new_queue};
pub use seal::{EncodedMessage, FrameOpener, FrameSealer, OpenFrameError};
pub use tunnel::{OpenTunnelError, TunnelState, TunnelStream};
pub use tunnel_server::{TunnelGate, TunnelServer};
