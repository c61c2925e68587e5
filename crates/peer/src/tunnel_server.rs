//! Tunnels at the daemon that carries them for its peers.
//!
//! Invariants: only peers that hold a cluster key are served, and only upstreams that the gate admits
//! are connected to. The upstream's connection ends when the peer's does, and the end of the
//! upstream's connection is reported to the peer together with how it ended.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use hollowbarrow_schema::{DaemonId, TunnelRefusal, TunnelReply};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;

use crate::handshake::{PeerSocket, open_stream, send};
use crate::mesh::MeshConfig;
use crate::tunnel::{BROKEN, ENDED, FRAME_BYTES};

/// Largest number of tunnels that a daemon carries, which bounds descriptors and buffers.
const MAX_TUNNELS: u32 = 400;
/// Time to connect to an upstream. The peer waits for little longer than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for one frame to be written to a peer, or for the reply to reach it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which the kernel probes whether a peer's machine still runs, the time between two
/// probes and the number of probes without an answer after which the connection is closed.
const KEEPALIVE: (Duration, Duration, u32) = (Duration::from_secs(5), Duration::from_secs(2), 3);
/// Text of the frame that announces that this daemon is stopping.
const LEAVING_NOTICE: &str = "stopping";

/// Decides which tunnels a daemon carries.
pub trait TunnelGate: Send + Sync + 'static {
    /// Returns the address of an upstream to which a tunnel may be opened for a peer.
    ///
    /// # Errors
    ///
    /// Returns why none may be.
    fn admit(&self, peer: &DaemonId, upstream: &str) -> Result<SocketAddr, TunnelRefusal>;
}

/// Refuses all tunnels.
pub(crate) struct NoTunnels;

impl TunnelGate for NoTunnels {
    fn admit(&self, _: &DaemonId, _: &str) -> Result<SocketAddr, TunnelRefusal> {
        Err(TunnelRefusal::UnknownUpstream)
    }
}

/// The tunnels that a daemon carries.
pub struct TunnelServer {
    gate: Box<dyn TunnelGate>,
    open: AtomicU32,
    stopping: watch::Sender<bool>,
}

/// Counts a tunnel as open until dropped.
struct OpenTunnel<'a>(&'a AtomicU32);

impl Drop for OpenTunnel<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl TunnelServer {
    pub(crate) fn new(gate: impl TunnelGate) -> Self {
        let (stopping, _) = watch::channel(false);
        Self { gate: Box::new(gate), open: AtomicU32::new(0), stopping }
    }

    /// Returns the number of open tunnels.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Refuses new tunnels from now on, and tells the peers of open ones to use others. Open tunnels
    /// continue until their peers close them.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Serves one accepted tunnel until it ends.
    pub(crate) async fn serve(
        &self,
        config: &MeshConfig,
        mut socket: PeerSocket,
        peer: &DaemonId,
        upstream: &str,
    ) {
        let _open = self.count();
        let connected = self.connect(config, peer, upstream).await;
        let refusal = connected.as_ref().err().copied();
        if send(&mut socket, &TunnelReply { refusal }, WRITE_TIMEOUT).await.is_err() {
            return;
        }
        match connected {
            Ok(stream) => carry(socket, stream, self.stopping.subscribe()).await,
            Err(refusal) => log::debug!(
                "event=tunnel_refused peer={} upstream={upstream:?} reason={refusal:?}",
                **peer
            ),
        }
    }

    fn count(&self) -> OpenTunnel<'_> {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenTunnel(&self.open)
    }

    async fn connect(
        &self,
        config: &MeshConfig,
        peer: &DaemonId,
        upstream: &str,
    ) -> Result<TcpStream, TunnelRefusal> {
        if *self.stopping.borrow() {
            return Err(TunnelRefusal::Stopping);
        }
        if self.open() > MAX_TUNNELS {
            return Err(TunnelRefusal::Busy);
        }
        let address = self.gate.admit(peer, upstream)?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, open_stream(config, address));
        let stream = connecting.await.map_err(|_| TunnelRefusal::Unreachable)?;
        let stream = stream.map_err(|_| TunnelRefusal::Unreachable)?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

/// Carries bytes in both directions until either side ends.
async fn carry(socket: PeerSocket, mut upstream: TcpStream, stopping: watch::Receiver<bool>) {
    let (time, interval, retries) = KEEPALIVE;
    let keepalive =
        TcpKeepalive::new().with_time(time).with_interval(interval).with_retries(retries);
    // Without probes, a peer whose machine is lost would only be noticed when data is sent to it.
    let _ = SockRef::from(socket.get_ref()).set_tcp_keepalive(&keepalive);
    let (sink, frames) = socket.split();
    let (reader, writer) = upstream.split();
    tokio::select! {
        () = carry_to_upstream(frames, writer) => {}
        () = carry_to_peer(reader, sink, stopping) => {}
    }
}

async fn carry_to_upstream(mut frames: SplitStream<PeerSocket>, mut upstream: WriteHalf<'_>) {
    while let Some(Ok(frame)) = frames.next().await {
        match frame {
            Message::Binary(bytes) if upstream.write_all(&bytes).await.is_err() => {
                // The other direction reports how the upstream's connection ended.
                std::future::pending::<()>().await;
            }
            Message::Close(_) => return,
            _ => {}
        }
    }
}

async fn carry_to_peer(
    mut upstream: ReadHalf<'_>,
    mut sink: SplitSink<PeerSocket, Message>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut buffer = BytesMut::new();
    let mut announced = false;
    loop {
        buffer.reserve(FRAME_BYTES);
        let frame = tokio::select! {
            read = upstream.read_buf(&mut buffer) => match read {
                Ok(0) => close(ENDED),
                Ok(_) => Message::Binary(buffer.split().freeze()),
                Err(_) => close(BROKEN),
            },
            Ok(_) = stopping.wait_for(|stopping| *stopping), if !announced => {
                announced = true;
                Message::text(LEAVING_NOTICE)
            }
        };
        let ends = frame.is_close();
        let written = tokio::time::timeout(WRITE_TIMEOUT, sink.send(frame)).await;
        if ends || !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}

fn close(code: CloseCode) -> Message {
    Message::Close(Some(CloseFrame { code, reason: "".into() }))
}
