//! Opens and accepts connections between daemons.
//!
//! Each direction has a connection of its own. An accepted connection shows that its peer runs, so it
//! ends a pause of the dialer towards that peer; an open connection to the peer is kept and only
//! pinged.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use hollowbarrow_ingress::{ClientConnection, ListenerGate};
use hollowbarrow_schema::{DaemonId, PeerMessage};
use rand::RngExt;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_tungstenite::tungstenite::Message;

use crate::handshake::{
    AcceptedPeer, ConnectPeerError, DialTarget, PeerSocket, accept_peer, dial_peer,
};
use crate::queue::{PeerQueue, QueuedMessages, new_queue};
use crate::seal::{EncodedMessage, FrameOpener, FrameSealer};
use crate::tunnel::{OpenTunnelError, TunnelStream, open_tunnel};
use crate::tunnel_server::{NoTunnels, TunnelGate, TunnelServer};

/// Default timeout of connecting, of a handshake step and of a write.
const STEP_TIMEOUT: Duration = Duration::from_secs(3);
/// Default time without any received frame after which a connection is closed.
const PONG_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of pings sent within the silence timeout.
const PINGS_PER_SILENCE: u32 = 4;
/// Minimum and maximum delay before a connection is tried again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Factor by which the timeout of a handshake step grows at most.
const MAX_STEP_GROWTH: u32 = 4;
type Dialers = Mutex<HashMap<DaemonId, DialerHandle>>;
type MessageHandler = Arc<dyn Fn(&DaemonId, PeerMessage) + Send + Sync>;

/// Why the mesh could not start.
#[derive(Debug, Error)]
pub enum StartMeshError {
    /// The listener cannot be used by the runtime.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
}

/// Identity of a daemon, its peers and its timeouts.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    pub(crate) id: DaemonId,
    peers: HashMap<DaemonId, SocketAddr>,
    pub(crate) keys: Vec<String>,
    addressed: bool,
    pub(crate) source: Option<IpAddr>,
    pub(crate) connect_timeout: Duration,
    step_timeout: Duration,
    silence_timeout: Duration,
    backoff: (Duration, Duration),
    gate: ListenerGate,
}

impl MeshConfig {
    /// Creates the configuration; the first key is used and all are accepted.
    pub fn new(id: &DaemonId, keys: &[String]) -> Self {
        Self {
            id: id.clone(),
            peers: HashMap::new(),
            keys: keys.to_vec(),
            addressed: false,
            source: None,
            connect_timeout: STEP_TIMEOUT,
            step_timeout: STEP_TIMEOUT,
            silence_timeout: PONG_TIMEOUT,
            backoff: BACKOFF,
            gate: ListenerGate::unbounded(),
        }
    }

    /// Accepts every daemon that holds a key as a peer and uses its id as its address.
    ///
    /// This needs no list of peers: messages can be sent to every id that was received.
    pub fn with_addressed_peers(mut self) -> Self {
        self.addressed = true;
        self
    }

    /// Sets the local IP address of outgoing connections.
    pub fn with_source(mut self, ip: IpAddr) -> Self {
        self.source = Some(ip);
        self
    }

    /// Sets the timeout for establishing a connection.
    ///
    /// It should be shorter than the time after which the kernel retransmits the SYN packet, because
    /// a machine that is just starting answers a new attempt sooner.
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the timeout of one handshake step or write, and the time without any received frame
    /// after which a connection is closed. The timeout of a handshake step grows with each attempt
    /// that exceeds it, up to four times, until a connection is established.
    pub fn with_timeouts(mut self, step: Duration, silence: Duration) -> Self {
        self.step_timeout = step;
        self.silence_timeout = silence;
        self
    }

    /// Sets the minimum and maximum delay before a connection is tried again.
    pub fn with_backoff(mut self, min: Duration, max: Duration) -> Self {
        self.backoff = (min, max);
        self
    }

    /// Sets the gate for connections whose dialers have not proved yet that they hold a key.
    pub fn with_gate(mut self, gate: ListenerGate) -> Self {
        self.gate = gate;
        self
    }

    /// Returns the longest timeout of a handshake step.
    pub(crate) fn longest_step(&self) -> Duration {
        self.step_timeout.saturating_mul(MAX_STEP_GROWTH)
    }

    pub(crate) fn address_of(&self, peer: &DaemonId) -> Option<SocketAddr> {
        match self.peers.get(peer) {
            Some(address) => Some(*address),
            None if self.addressed => peer.parse().ok(),
            None => None,
        }
    }

    /// Adds a peer and its address.
    pub fn with_peer(mut self, id: &DaemonId, address: SocketAddr) -> Self {
        self.peers.insert(id.clone(), address);
        self
    }
}

/// Sends messages to other daemons and receives theirs.
#[derive(Clone)]
pub struct PeerMesh {
    config: Arc<MeshConfig>,
    dialers: Arc<Dialers>,
    runtime: tokio::runtime::Handle,
    traffic: Arc<MeshTraffic>,
    tunnels: Arc<TunnelServer>,
}

/// Queue of a dialer, and its notification that the peer has opened a connection.
#[derive(Debug)]
struct DialerHandle {
    queue: PeerQueue,
    accepted: Arc<Notify>,
}

/// Counters of sent and received bytes, without the overhead of TCP and websockets, and of dropped
/// messages.
#[derive(Debug, Default)]
pub struct MeshTraffic {
    sent: AtomicU64,
    received: AtomicU64,
    dropped: AtomicU64,
}

impl MeshTraffic {
    /// Returns the number of bytes sent to other daemons.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received from other daemons.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of messages that were dropped because the queue of their daemon was full
    /// or the connection to it failed or could not be established.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl PeerMesh {
    /// Starts accepting connections; each received message is passed to the handler. No tunnels are
    /// carried for peers.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used by the runtime.
    pub fn start(
        config: MeshConfig,
        listener: std::net::TcpListener,
        handler: impl Fn(&DaemonId, PeerMessage) + Send + Sync + 'static,
    ) -> Result<Self, StartMeshError> {
        Self::start_with_tunnels(config, listener, handler, NoTunnels)
    }

    /// Starts accepting connections, and carries tunnels to the upstreams that the gate admits.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used by the runtime.
    pub fn start_with_tunnels(
        config: MeshConfig,
        listener: std::net::TcpListener,
        handler: impl Fn(&DaemonId, PeerMessage) + Send + Sync + 'static,
        gate: impl TunnelGate,
    ) -> Result<Self, StartMeshError> {
        let address = listener.local_addr().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)));
        let fail = |source| StartMeshError::Listen { address, source };
        listener.set_nonblocking(true).map_err(fail)?;
        let listener = TcpListener::from_std(listener).map_err(fail)?;
        let mesh = Self {
            config: Arc::new(config),
            dialers: Arc::default(),
            runtime: tokio::runtime::Handle::current(),
            traffic: Arc::default(),
            tunnels: Arc::new(TunnelServer::new(gate)),
        };
        let acceptor = PeerAcceptor {
            config: Arc::clone(&mesh.config),
            dialers: Arc::downgrade(&mesh.dialers),
            handler: Arc::new(handler),
            traffic: Arc::clone(&mesh.traffic),
            tunnels: Arc::clone(&mesh.tunnels),
        };
        tokio::spawn(Arc::new(acceptor).run(listener));
        Ok(mesh)
    }

    /// Returns the traffic counters of all connections.
    pub fn traffic(&self) -> &MeshTraffic {
        &self.traffic
    }

    /// Opens a tunnel through a peer to an upstream, by the name under which the peer knows it too.
    ///
    /// # Errors
    ///
    /// Nothing has been sent to the upstream then.
    pub async fn open_tunnel(
        &self,
        through: &DaemonId,
        upstream: &str,
    ) -> Result<TunnelStream, OpenTunnelError> {
        let address = self.config.address_of(through).ok_or(OpenTunnelError::UnknownPeer)?;
        let target = DialTarget { to: through, address, tunnel: Some(upstream) };
        open_tunnel(&self.config, &target, self.config.step_timeout).await
    }

    /// Returns the tunnels that this daemon carries for its peers.
    pub fn tunnels(&self) -> &TunnelServer {
        &self.tunnels
    }

    /// Queues a message; returns false if the queue is full or the peer has no address.
    pub fn send(&self, to: &DaemonId, message: &PeerMessage) -> bool {
        let message = EncodedMessage::new(message);
        self.push(to, |queue| queue.push(message))
    }

    /// Queues a message for several daemons and encodes it once; returns the daemons for which it
    /// was dropped.
    pub fn send_to_all<'a>(&self, to: &'a [DaemonId], message: &PeerMessage) -> Vec<&'a DaemonId> {
        if to.is_empty() {
            return Vec::new();
        }
        let message = EncodedMessage::new(message);
        to.iter().filter(|peer| !self.push(peer, |queue| queue.push(message.clone()))).collect()
    }

    /// Queues a message, replacing an earlier one from this function that is still queued; returns
    /// false if the queue is full or the peer has no address.
    pub fn send_newest(&self, to: &DaemonId, message: &EncodedMessage) -> bool {
        self.push(to, |queue| queue.push_newest(message.clone()))
    }

    /// Drops what is queued for a peer and closes the connection to it. The next message opens another
    /// one.
    pub fn forget(&self, peer: &DaemonId) {
        self.dialers.lock().expect("no holder of the lock panics").remove(peer);
    }

    fn push(&self, to: &DaemonId, push: impl FnOnce(&PeerQueue) -> bool) -> bool {
        let Some(address) = self.config.address_of(to) else { return false };
        let mut dialers = self.dialers.lock().expect("no holder of the lock panics");
        let mut created = None;
        let handle = dialers.entry(to.clone()).or_insert_with(|| {
            let (handle, dialer) = self.create_dialer(to, address);
            created = Some(dialer);
            handle
        });
        let queued = push(&handle.queue);
        // The message must be queued before the first attempt to connect can fail, which drops the
        // messages queued until then.
        if let Some(dialer) = created {
            self.runtime.spawn(dialer.run());
        }
        if !queued {
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
        queued
    }

    fn create_dialer(&self, to: &DaemonId, address: SocketAddr) -> (DialerHandle, PeerDialer) {
        let (queue, messages) = new_queue();
        let accepted = Arc::<Notify>::default();
        let dialer = PeerDialer {
            config: Arc::clone(&self.config),
            to: to.clone(),
            address,
            queue: messages,
            accepted: Arc::clone(&accepted),
            traffic: Arc::clone(&self.traffic),
        };
        (DialerHandle { queue, accepted }, dialer)
    }
}

/// Maintains one outgoing connection.
struct PeerDialer {
    config: Arc<MeshConfig>,
    to: DaemonId,
    address: SocketAddr,
    queue: QueuedMessages,
    accepted: Arc<Notify>,
    traffic: Arc<MeshTraffic>,
}

impl PeerDialer {
    async fn run(self) {
        let (shortest, longest) = self.config.backoff;
        let mut pause = shortest;
        let mut step = self.config.step_timeout;
        let mut reported = false;
        loop {
            let connected = self.connect(step).await;
            // Where each step takes longer than its timeout, attempts that all end at the same step
            // would never connect.
            step = match &connected {
                Ok(_) => self.config.step_timeout,
                Err(ConnectPeerError::Timeout) => (step * 2).min(self.config.longest_step()),
                Err(_) => step,
            };
            match connected {
                Ok((socket, sealer)) => {
                    log::info!("event=peer_connected peer={}", *self.to);
                    (pause, reported) = (shortest, false);
                    let end = self.send_queued(socket, sealer).await;
                    log::info!("event=peer_disconnected peer={} reason={:?}", *self.to, end);
                }
                Err(error) if !reported => {
                    reported = true;
                    log::warn!(
                        "event=peer_unreachable peer={} reason={:?}",
                        *self.to,
                        error.to_string()
                    );
                }
                Err(_) => {}
            }
            if self.queue.is_closed() {
                return;
            }
            let jitter = rand::rng().random_range(0.5..1.0);
            // Messages queued for a failed connection are stale; their senders repeat what matters.
            self.drop_queued();
            let paused =
                tokio::time::timeout(pause.mul_f64(jitter), self.accepted.notified()).await;
            pause = (pause * 2).min(longest);
            if paused.is_err() {
                self.drop_queued();
            }
            // Otherwise the queue may hold replies to what the peer has just sent.
        }
    }

    fn drop_queued(&self) {
        let stale = self.queue.clear();
        self.traffic.dropped.fetch_add(stale, Ordering::Relaxed);
    }

    async fn connect(&self, step: Duration) -> Result<(PeerSocket, FrameSealer), ConnectPeerError> {
        let target = DialTarget { to: &self.to, address: self.address, tunnel: None };
        let (socket, session) = dial_peer(&self.config, &target, step).await?;
        Ok((socket, FrameSealer::new(session)))
    }

    /// Sends queued messages until the connection fails; returns the reason.
    async fn send_queued(&self, socket: PeerSocket, mut sealer: FrameSealer) -> &'static str {
        let (mut writer, mut reader) = socket.split();
        let mut ping = tokio::time::interval(self.config.silence_timeout / PINGS_PER_SILENCE);
        let mut silence = PeerSilence { timeout: self.config.silence_timeout, since: None };
        loop {
            let frame = tokio::select! {
                // What has arrived while this process did not run is read before silence is judged.
                biased;
                incoming = reader.next() => match incoming {
                    Some(Ok(_)) => {
                        silence.since = None;
                        continue;
                    }
                    _ => return "closed",
                },
                () = silence.lasts_too_long() => return "silent",
                _ = ping.tick() => silence.next_ping(),
                // If the peer has restarted, its machine answers with a reset.
                () = self.accepted.notified() => silence.next_ping(),
                message = self.queue.next() => match message {
                    Some(message) => {
                        let frame = sealer.seal_encoded(&message);
                        self.traffic.sent.fetch_add(frame.len() as u64, Ordering::Relaxed);
                        Message::binary(frame)
                    }
                    None => return "stopping",
                },
            };
            match tokio::time::timeout(self.config.step_timeout, writer.send(frame)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return "write failed",
                Err(_) => return "write stalled",
            }
        }
    }
}

/// Time for which a peer has left pings unanswered.
struct PeerSilence {
    timeout: Duration,
    /// Time of the first ping since the last received frame.
    since: Option<tokio::time::Instant>,
}

impl PeerSilence {
    /// Returns a ping, from which on the peer is silent until a frame is received.
    fn next_ping(&mut self) -> Message {
        let now = tokio::time::Instant::now();
        self.since.get_or_insert(now);
        Message::Ping(Vec::new().into())
    }

    /// Waits until the timeout has passed since the first ping without an answer.
    async fn lasts_too_long(&self) {
        match self.since {
            Some(since) => tokio::time::sleep_until(since + self.timeout).await,
            None => std::future::pending().await,
        }
    }
}

/// Accepts the connections of all peers.
struct PeerAcceptor {
    config: Arc<MeshConfig>,
    dialers: Weak<Dialers>,
    handler: MessageHandler,
    traffic: Arc<MeshTraffic>,
    tunnels: Arc<TunnelServer>,
}

impl PeerAcceptor {
    async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            self.config.gate.ready().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let Some(dialer) = self.config.gate.open() else { continue };
                    let acceptor = Arc::clone(&self);
                    tokio::spawn(async move {
                        if let Err(error) = acceptor.serve(stream, dialer).await {
                            log::debug!("event=peer_refused reason={:?}", error.to_string());
                        }
                    });
                }
                Err(_) => tokio::time::sleep(BACKOFF.0).await,
            }
        }
    }

    /// Tells the dialer towards a peer, if there is one, that the peer runs.
    fn notify_dialer(&self, peer: &DaemonId) {
        let Some(dialers) = self.dialers.upgrade() else { return };
        let dialers = dialers.lock().expect("no holder of the lock panics");
        if let Some(dialer) = dialers.get(peer) {
            dialer.accepted.notify_one();
        }
    }

    async fn serve(
        &self,
        stream: TcpStream,
        dialer: ClientConnection,
    ) -> Result<(), ConnectPeerError> {
        let AcceptedPeer { mut socket, from, session, tunnel } = tokio::select! {
            accepted = accept_peer(&self.config, stream) => accepted?,
            () = dialer.handle().closing() => return Err(ConnectPeerError::Displaced),
        };
        drop(dialer);
        if let Some(upstream) = tunnel {
            self.tunnels.serve(&self.config, socket, &from, &upstream).await;
            return Ok(());
        }
        self.notify_dialer(&from);
        let mut opener = FrameOpener::new(session);
        while let Some(frame) = socket.next().await {
            if let Message::Binary(bytes) = frame? {
                self.traffic.received.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                match opener.open(&bytes) {
                    Ok(message) => (self.handler)(&from, message),
                    Err(error) => {
                        log::warn!(
                            "event=peer_frame_refused peer={} reason={:?}",
                            *from,
                            error.to_string()
                        );
                        return Err(ConnectPeerError::Protocol);
                    }
                }
            }
        }
        Ok(())
    }
}
