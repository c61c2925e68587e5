//! Handshake between two daemons: each proves to the other that it holds a cluster key.
//!
//! The proof also covers what the connection is for: messages, or a tunnel to one upstream.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use hollowbarrow_schema::{DaemonId, PROTOCOL_VERSION, PeerChallenge, PeerProof, PeerWelcome};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::mesh::MeshConfig;
use crate::seal::{HandshakeTranscript, NONCE_BYTES, same_code};

const DIAL_PURPOSE: &str = "hollowbarrow dial";
const TUNNEL_PURPOSE: &str = "hollowbarrow tunnel";
const ACCEPT_PURPOSE: &str = "hollowbarrow accept";
const SESSION_PURPOSE: &str = "hollowbarrow session";
/// Size of the read buffer of a connection. A daemon has hundreds of connections while it carries
/// tunnels.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Largest message of a dialer that has not proved yet that it holds a key.
const HANDSHAKE_BYTES: usize = 16 << 10;

pub(crate) type PeerSocket = WebSocketStream<TcpStream>;

/// Why a connection to or from a peer failed.
#[derive(Debug, Error)]
pub enum ConnectPeerError {
    /// The websocket failed.
    #[error("the connection failed: {0}")]
    Socket(#[from] tokio_tungstenite::tungstenite::Error),
    /// The TCP connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The gate closed the connection for others before the handshake was complete.
    #[error("the connection was closed for others")]
    Displaced,
    /// A step of the handshake took too long.
    #[error("the peer did not respond in time")]
    Timeout,
    /// The peer uses another version of the protocol.
    #[error("the peer uses protocol version {0}")]
    Version(u32),
    /// The peer's proof does not match any key.
    #[error("the peer holds none of the cluster keys")]
    Key,
    /// The peer has no known address, or dialed another daemon.
    #[error("the peer is unknown or expected another daemon")]
    Identity,
    /// The peer sent something else than the handshake's next message.
    #[error("the peer violated the protocol")]
    Protocol,
}

/// The peer to dial, and what for.
pub(crate) struct DialTarget<'a> {
    pub(crate) to: &'a DaemonId,
    pub(crate) address: SocketAddr,
    /// Upstream of the tunnel; none for a connection that carries messages.
    pub(crate) tunnel: Option<&'a str>,
}

/// A connection whose dialer has proved that it holds a key.
pub(crate) struct AcceptedPeer {
    pub(crate) socket: PeerSocket,
    pub(crate) from: DaemonId,
    /// Session key of the connection.
    pub(crate) session: Vec<u8>,
    pub(crate) tunnel: Option<String>,
}

/// Connects to a peer; returns the connection and its session key.
pub(crate) async fn dial_peer(
    config: &MeshConfig,
    target: &DialTarget<'_>,
    step: Duration,
) -> Result<(PeerSocket, Vec<u8>), ConnectPeerError> {
    let DialTarget { to, address, tunnel } = *target;
    let opening = async { Ok(open_stream(config, address).await?) };
    let stream = within(config.connect_timeout, opening).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/peer");
    let upgrading =
        async { Ok(client_async_with_config(url, stream, Some(socket_config())).await?) };
    let (mut socket, _) = within(step, upgrading).await?;
    let challenge: PeerChallenge = receive(&mut socket, step).await?;
    if challenge.version != PROTOCOL_VERSION {
        return Err(ConnectPeerError::Version(challenge.version));
    }
    let key = config.keys.first().ok_or(ConnectPeerError::Key)?;
    let nonce = fresh_nonce();
    let transcript = HandshakeTranscript {
        from: &config.id,
        to,
        accept_nonce: &challenge.nonce,
        dial_nonce: &nonce,
    };
    let proof = PeerProof {
        from: config.id.clone(),
        to: to.clone(),
        nonce: nonce.clone(),
        mac: transcript.code(key, &dial_purpose(tunnel)),
        tunnel: tunnel.map(str::to_owned),
    };
    send(&mut socket, &proof, step).await?;
    let welcome: PeerWelcome = receive(&mut socket, step).await?;
    if !same_code(&welcome.mac, &transcript.code(key, ACCEPT_PURPOSE)) {
        return Err(ConnectPeerError::Key);
    }
    Ok((socket, transcript.code(key, SESSION_PURPOSE)))
}

/// Performs the handshake on an accepted connection.
pub(crate) async fn accept_peer(
    config: &MeshConfig,
    stream: TcpStream,
) -> Result<AcceptedPeer, ConnectPeerError> {
    stream.set_nodelay(true)?;
    // The dialer decides when to give up an attempt.
    let step = config.longest_step();
    let bounded = socket_config()
        .max_message_size(Some(HANDSHAKE_BYTES))
        .max_frame_size(Some(HANDSHAKE_BYTES));
    let upgrading = async { Ok(accept_async_with_config(stream, Some(bounded)).await?) };
    let mut socket = within(step, upgrading).await?;
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
    let purpose = dial_purpose(proof.tunnel.as_deref());
    let key = config
        .keys
        .iter()
        .find(|key| same_code(&proof.mac, &transcript.code(key, &purpose)))
        .ok_or(ConnectPeerError::Key)?;
    send(&mut socket, &PeerWelcome { mac: transcript.code(key, ACCEPT_PURPOSE) }, step).await?;
    let session = transcript.code(key, SESSION_PURPOSE);
    // A dialer sends nothing before the welcome, so nothing that was read is lost.
    let stream = socket.into_inner();
    let socket =
        WebSocketStream::from_raw_socket(stream, Role::Server, Some(socket_config())).await;
    Ok(AcceptedPeer { socket, from: proof.from, session, tunnel: proof.tunnel })
}

/// Opens a TCP connection from the address that the configuration names.
pub(crate) async fn open_stream(
    config: &MeshConfig,
    address: SocketAddr,
) -> std::io::Result<TcpStream> {
    let Some(source) = config.source else { return TcpStream::connect(address).await };
    let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Sends a message of the handshake.
pub(crate) async fn send<T: Serialize>(
    socket: &mut PeerSocket,
    value: &T,
    limit: Duration,
) -> Result<(), ConnectPeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|_| ConnectPeerError::Protocol)?;
    within(limit, async { Ok(socket.send(Message::binary(bytes)).await?) }).await
}

/// Receives a message of the handshake.
pub(crate) async fn receive<T: DeserializeOwned>(
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

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER_BYTES)
}

/// Returns the purpose that a dialer's proof is for.
fn dial_purpose(tunnel: Option<&str>) -> String {
    match tunnel {
        Some(upstream) => format!("{TUNNEL_PURPOSE} {upstream}"),
        None => DIAL_PURPOSE.to_owned(),
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
