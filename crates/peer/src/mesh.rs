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
use hollowbarrow_schema::{
    DaemonId, PROTOCOL_VERSION, PeerChallenge, PeerMessage, PeerProof, PeerWelcome,
};
use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};

use crate::queue::{PeerQueue, QueuedMessages, new_queue};
use crate::seal::{
    EncodedMessage, FrameOpener, FrameSealer, HandshakeTranscript, NONCE_BYTES, same_code,
};

/// Default timeout of connecting, of a handshake step and of a write.
const STEP_TIMEOUT: Duration = Duration::from_secs(3);
/// Default time without any received frame after which a connection is closed.
const PONG_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of pings sent within the silence timeout.
const PINGS_PER_SILENCE: u32 = 4;
/// Minimum and maximum delay before a connection is tried again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
const DIAL_PURPOSE: &str = "hollowbarrow dial";
const ACCEPT_PURPOSE: &str = "hollowbarrow accept";
const SESSION_PURPOSE: &str = "hollowbarrow session";

type PeerSocket = WebSocketStream<TcpStream>;
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

#[derive(Debug, Error)]
enum ConnectPeerError {
    #[error("the connection failed: {0}")]
    Socket(#[from] tokio_tungstenite::tungstenite::Error),
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("the peer did not respond in time")]
    Timeout,
    #[error("the peer uses protocol version {0}")]
    Version(u32),
    #[error("the peer holds none of the cluster keys")]
    Key,
    #[error("the peer is unknown or expected another daemon")]
    Identity,
    #[error("the peer violated the protocol")]
    Protocol,
}

/// Identity of a daemon, its peers and its timeouts.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    id: DaemonId,
    peers: HashMap<DaemonId, SocketAddr>,
    keys: Vec<String>,
    addressed: bool,
    source: Option<IpAddr>,
    connect_timeout: Duration,
    step_timeout: Duration,
    silence_timeout: Duration,
    backoff: (Duration, Duration),
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
    /// after which a connection is closed.
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

    fn address_of(&self, peer: &DaemonId) -> Option<SocketAddr> {
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
    /// Starts accepting connections; each received message is passed to the handler.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used by the runtime.
    pub fn start(
        config: MeshConfig,
        listener: std::net::TcpListener,
        handler: impl Fn(&DaemonId, PeerMessage) + Send + Sync + 'static,
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
        };
        let acceptor = PeerAcceptor {
            config: Arc::clone(&mesh.config),
            dialers: Arc::downgrade(&mesh.dialers),
            handler: Arc::new(handler),
            traffic: Arc::clone(&mesh.traffic),
        };
        tokio::spawn(Arc::new(acceptor).run(listener));
        Ok(mesh)
    }

    /// Returns the traffic counters of all connections.
    pub fn traffic(&self) -> &MeshTraffic {
        &self.traffic
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

    fn push(&self, to: &DaemonId, push: impl FnOnce(&PeerQueue) -> bool) -> bool {
        let Some(address) = self.config.address_of(to) else { return false };
        let mut dialers = self.dialers.lock().expect("no holder of the lock panics");
        let dialer = dialers.entry(to.clone()).or_insert_with(|| self.start_dialer(to, address));
        let queued = push(&dialer.queue);
        if !queued {
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
        queued
    }

    fn start_dialer(&self, to: &DaemonId, address: SocketAddr) -> DialerHandle {
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
        self.runtime.spawn(dialer.run());
        DialerHandle { queue, accepted }
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
        let mut reported = false;
        loop {
            let began = tokio::time::Instant::now();
            let result = self.connect().await;
            let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            eprintln!("TRACE at={} dial to={} ms={} result={:?}", at.as_millis(), *self.to, began.elapsed().as_millis(), result.as_ref().err().map(ToString::to_string));
            match result {
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

    async fn connect(&self) -> Result<(PeerSocket, FrameSealer), ConnectPeerError> {
        let step = self.config.step_timeout;
        let stream =
            within(self.config.connect_timeout, async { Ok(self.open_stream().await?) }).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{}/peer", self.address);
        let (mut socket, _) = within(step, async { Ok(client_async(url, stream).await?) }).await?;
        let challenge: PeerChallenge = receive(&mut socket, step).await?;
        if challenge.version != PROTOCOL_VERSION {
            return Err(ConnectPeerError::Version(challenge.version));
        }
        let key = self.config.keys.first().ok_or(ConnectPeerError::Key)?;
        let nonce = fresh_nonce();
        let transcript = HandshakeTranscript {
            from: &self.config.id,
            to: &self.to,
            accept_nonce: &challenge.nonce,
            dial_nonce: &nonce,
        };
        let proof = PeerProof {
            from: self.config.id.clone(),
            to: self.to.clone(),
            nonce: nonce.clone(),
            mac: transcript.code(key, DIAL_PURPOSE),
        };
        send(&mut socket, &proof, step).await?;
        let welcome: PeerWelcome = receive(&mut socket, step).await?;
        if !same_code(&welcome.mac, &transcript.code(key, ACCEPT_PURPOSE)) {
            return Err(ConnectPeerError::Key);
        }
        Ok((socket, FrameSealer::new(transcript.code(key, SESSION_PURPOSE))))
    }

    async fn open_stream(&self) -> std::io::Result<TcpStream> {
        let Some(source) = self.config.source else {
            return TcpStream::connect(self.address).await;
        };
        let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(self.address).await
    }

    /// Sends queued messages until the connection fails; returns the reason.
    async fn send_queued(&self, socket: PeerSocket, mut sealer: FrameSealer) -> &'static str {
        let (mut writer, mut reader) = socket.split();
        let mut ping = tokio::time::interval(self.config.silence_timeout / PINGS_PER_SILENCE);
        let mut last_received = tokio::time::Instant::now();
        loop {
            let frame = tokio::select! {
                message = self.queue.next() => match message {
                    Some(message) => {
                        let frame = sealer.seal_encoded(&message);
                        self.traffic.sent.fetch_add(frame.len() as u64, Ordering::Relaxed);
                        Message::binary(frame)
                    }
                    None => return "stopping",
                },
                _ = ping.tick() => {
                    if last_received.elapsed() > self.config.silence_timeout {
                        return "silent";
                    }
                    Message::Ping(Vec::new().into())
                }
                // If the peer has restarted, its machine answers with a reset.
                () = self.accepted.notified() => Message::Ping(Vec::new().into()),
                incoming = reader.next() => match incoming {
                    Some(Ok(_)) => {
                        last_received = tokio::time::Instant::now();
                        continue;
                    }
                    _ => return "closed",
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

/// Accepts the connections of all peers.
struct PeerAcceptor {
    config: Arc<MeshConfig>,
    dialers: Weak<Dialers>,
    handler: MessageHandler,
    traffic: Arc<MeshTraffic>,
}

impl PeerAcceptor {
    async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let acceptor = Arc::clone(&self);
                    tokio::spawn(async move {
                        if let Err(error) = acceptor.serve(stream).await {
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

    async fn serve(&self, stream: TcpStream) -> Result<(), ConnectPeerError> {
        let config = &self.config;
        stream.set_nodelay(true)?;
        let step = config.step_timeout;
        let mut socket = within(step, async { Ok(accept_async(stream).await?) }).await?;
        let accept_nonce = fresh_nonce();
        let challenge = PeerChallenge { version: PROTOCOL_VERSION, nonce: accept_nonce.clone() };
        send(&mut socket, &challenge, step).await?;
        let proof: PeerProof = receive(&mut socket, step).await?;
        if proof.to != config.id || config.address_of(&proof.from).is_none() {
            return Err(ConnectPeerError::Identity);
        }
        let transcript = HandshakeTranscript {
            from: &proof.from,
            to: &proof.to,
            accept_nonce: &accept_nonce,
            dial_nonce: &proof.nonce,
        };
        let key = config
            .keys
            .iter()
            .find(|key| same_code(&proof.mac, &transcript.code(key, DIAL_PURPOSE)))
            .ok_or(ConnectPeerError::Key)?;
        send(&mut socket, &PeerWelcome { mac: transcript.code(key, ACCEPT_PURPOSE) }, step).await?;
        self.notify_dialer(&proof.from);
        let mut opener = FrameOpener::new(transcript.code(key, SESSION_PURPOSE));
        while let Some(frame) = socket.next().await {
            if let Message::Binary(bytes) = frame? {
                self.traffic.received.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                match opener.open(&bytes) {
                    Ok(message) => (self.handler)(&proof.from, message),
                    Err(error) => {
                        log::warn!(
                            "event=peer_frame_refused peer={} reason={:?}",
                            *proof.from,
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

fn fresh_nonce() -> Vec<u8> {
    rand::random::<[u8; NONCE_BYTES]>().to_vec()
}

async fn within<T>(
    limit: Duration,
    step: impl Future<Output = Result<T, ConnectPeerError>>,
) -> Result<T, ConnectPeerError> {
    tokio::time::timeout(limit, step).await.map_err(|_| ConnectPeerError::Timeout)?
}

async fn send<T: Serialize>(
    socket: &mut PeerSocket,
    value: &T,
    limit: Duration,
) -> Result<(), ConnectPeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|_| ConnectPeerError::Protocol)?;
    within(limit, async { Ok(socket.send(Message::binary(bytes)).await?) }).await
}

async fn receive<T: DeserializeOwned>(
    socket: &mut PeerSocket,
    limit: Duration,
) -> Result<T, ConnectPeerError> {
    within(limit, async {
        match socket.next().await {
            Some(Ok(Message::Binary(bytes))) => {
                ciborium::from_reader(&bytes[..]).map_err(|_| ConnectPeerError::Protocol)
            }
            Some(Err(error)) => Err(error.into()),
            _ => Err(ConnectPeerError::Protocol),
        }
    })
    .await
}
