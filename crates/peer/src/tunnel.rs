//! Tunnels: byte streams to upstreams that a peer carries, at the daemon that opened them.
//!
//! A tunnel replaces the TCP connection to an upstream that this daemon cannot reach itself. The peer
//! only carries bytes; it knows nothing of requests, and decides nothing about them.
//!
//! Invariant: the end of a tunnel reads like the end of the upstream's connection only if the peer
//! reports it. A peer that terminates, or whose connection breaks, never looks like an upstream that
//! closed its connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_util::{Sink, Stream};
use hollowbarrow_schema::{TunnelRefusal, TunnelReply};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;

use crate::handshake::{ConnectPeerError, DialTarget, PeerSocket, dial_peer, receive};
use crate::mesh::MeshConfig;

/// Largest number of bytes in one frame.
pub(crate) const FRAME_BYTES: usize = 16 << 10;
/// Close code by which a peer reports that the upstream closed its connection in order.
pub(crate) const ENDED: CloseCode = CloseCode::Normal;
/// Close code by which a peer reports that the upstream's connection broke.
pub(crate) const BROKEN: CloseCode = CloseCode::Error;

/// Why a tunnel was not opened. Nothing was sent to the upstream.
#[derive(Debug, Error)]
pub enum OpenTunnelError {
    /// The peer's id has no address.
    #[error("the peer has no address")]
    UnknownPeer,
    /// No connection to the peer was established.
    #[error("the peer cannot be reached: {0}")]
    Peer(#[from] ConnectPeerError),
    /// The peer refuses to carry the tunnel, or does not reach the upstream.
    #[error("the peer refuses the tunnel: {0:?}")]
    Refused(TunnelRefusal),
}

/// What is known about the peer that carries a tunnel.
#[derive(Debug, Default)]
pub struct TunnelState {
    lost: AtomicBool,
    leaving: AtomicBool,
}

impl TunnelState {
    /// Returns whether the connection to the peer broke, so that nothing is known about the end of
    /// the upstream's connection.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// Returns whether the peer has announced that it is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

/// A byte stream to an upstream, through a peer.
#[derive(Debug)]
pub struct TunnelStream {
    socket: PeerSocket,
    state: Arc<TunnelState>,
    /// Bytes that were received and not read yet.
    received: Bytes,
    ended: bool,
}

impl TunnelStream {
    /// Returns what is known about the peer, also after the stream was dropped.
    pub fn state(&self) -> &Arc<TunnelState> {
        &self.state
    }

    /// Takes the next frame; returns false at the end of the upstream's connection.
    fn take_frame(
        &mut self,
        frame: Option<Result<Message, tokio_tungstenite::tungstenite::Error>>,
    ) -> io::Result<bool> {
        match frame {
            Some(Ok(Message::Binary(bytes))) => self.received = bytes,
            Some(Ok(Message::Text(_))) => self.state.leaving.store(true, Ordering::Relaxed),
            Some(Ok(Message::Close(Some(frame)))) if frame.code == ENDED => return Ok(false),
            Some(Ok(Message::Close(Some(frame)))) if frame.code == BROKEN => {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_) | Message::Frame(_))) => {}
            Some(Ok(Message::Close(_)) | Err(_)) | None => return Err(self.record_lost()),
        }
        Ok(true)
    }

    fn record_lost(&self) -> io::Error {
        self.state.lost.store(true, Ordering::Relaxed);
        io::ErrorKind::ConnectionAborted.into()
    }
}

/// Opens a tunnel through a peer.
pub(crate) async fn open_tunnel(
    config: &MeshConfig,
    target: &DialTarget<'_>,
    step: Duration,
) -> Result<TunnelStream, OpenTunnelError> {
    let (mut socket, _) = dial_peer(config, target, step).await?;
    let reply: TunnelReply = receive(&mut socket, step).await?;
    match reply.refusal {
        Some(refusal) => Err(OpenTunnelError::Refused(refusal)),
        None => {
            let state = Arc::default();
            Ok(TunnelStream { socket, state, received: Bytes::new(), ended: false })
        }
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.received.is_empty() && !self.ended {
            let frame = ready!(Pin::new(&mut self.socket).poll_next(context));
            self.ended = !self.take_frame(frame)?;
        }
        let length = self.received.len().min(buffer.remaining());
        buffer.put_slice(&self.received[..length]);
        self.received.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if ready!(Pin::new(&mut self.socket).poll_ready(context)).is_err() {
            return Poll::Ready(Err(self.record_lost()));
        }
        let length = bytes.len().min(FRAME_BYTES);
        let frame = Message::Binary(Bytes::copy_from_slice(&bytes[..length]));
        match Pin::new(&mut self.socket).start_send(frame) {
            Ok(()) => Poll::Ready(Ok(length)),
            Err(_) => Poll::Ready(Err(self.record_lost())),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.socket).poll_flush(context));
        Poll::Ready(flushed.map_err(|_| self.record_lost()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket that is already closed has nothing left to close.
        let _ = ready!(Pin::new(&mut self.socket).poll_close(context));
        Poll::Ready(Ok(()))
    }
}
