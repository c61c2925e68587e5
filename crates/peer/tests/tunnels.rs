//! Tunnels through a peer: how their ends are reported, and who may open which.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hollowbarrow_peer::{MeshConfig, OpenTunnelError, PeerMesh, TunnelGate, TunnelStream};
use hollowbarrow_schema::{DaemonId, TunnelRefusal};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const KEY: &str = "key";
const WAIT: Duration = Duration::from_secs(10);

/// Name of the upstream that is admitted.
const UPSTREAM: &str = "models/w1";

/// Admits tunnels to one upstream.
struct OneUpstream(SocketAddr);

impl TunnelGate for OneUpstream {
    fn admit(&self, _: &DaemonId, upstream: &str) -> Result<SocketAddr, TunnelRefusal> {
        if upstream == UPSTREAM { Ok(self.0) } else { Err(TunnelRefusal::UnknownUpstream) }
    }
}

/// A daemon that opens tunnels, one that carries them, and the upstream.
struct Tunnels {
    opener: PeerMesh,
    carrier: PeerMesh,
    carrier_id: DaemonId,
    upstream: TcpListener,
}

fn listen() -> std::net::TcpListener {
    std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port can be bound")
}

fn config(listener: &std::net::TcpListener, key: &str) -> (DaemonId, MeshConfig) {
    let address = listener.local_addr().expect("a bound socket has an address");
    let id = DaemonId::from(address.to_string().as_str());
    let config = MeshConfig::new(&id, &[key.to_owned()]).with_addressed_peers();
    (id, config)
}

async fn start(opener_key: &str) -> Tunnels {
    let upstream = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let address = upstream.local_addr().expect("a bound socket has an address");
    let listener = listen();
    let (carrier_id, carrier) = config(&listener, KEY);
    let gate = OneUpstream(address);
    let carrier = PeerMesh::start_with_tunnels(carrier, listener, |_, _| {}, gate);
    let listener = listen();
    let (_, opener) = config(&listener, opener_key);
    let opener = PeerMesh::start(opener, listener, |_, _| {});
    let (opener, carrier) = (opener.expect("it starts"), carrier.expect("it starts"));
    Tunnels { opener, carrier, carrier_id, upstream }
}

impl Tunnels {
    /// Opens a tunnel, and accepts its connection at the upstream.
    async fn open(&self) -> (TunnelStream, TcpStream) {
        let opening = self.opener.open_tunnel(&self.carrier_id, UPSTREAM);
        let (opened, accepted) = tokio::join!(opening, self.upstream.accept());
        (opened.expect("the tunnel opens"), accepted.expect("it is accepted").0)
    }

    async fn wait_closed(&self) {
        let waiting = async {
            while self.carrier.tunnels().open() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT, waiting).await.expect("the tunnels end");
    }
}

#[rstest]
#[tokio::test]
async fn bytes_carried_in_both_directions() {
    let tunnels = start(KEY).await;
    let (mut tunnel, mut upstream) = tunnels.open().await;
    let sent: Vec<u8> = (0..200_000u32).map(|number| number as u8).collect();
    let writing = async {
        tunnel.write_all(&sent).await.expect("it is written");
        tunnel.flush().await.expect("it is written");
    };
    let mut received = vec![0; sent.len()];
    let (_, read) = tokio::join!(writing, upstream.read_exact(&mut received));
    read.expect("all bytes arrive");
    assert_eq!(received, sent);
    upstream.write_all(b"answer").await.expect("it is written");
    let mut answer = [0; 6];
    tunnel.read_exact(&mut answer).await.expect("the answer arrives");
    assert_eq!(&answer, b"answer");
}

/// The end of an answer without a length is the end of its connection.
#[rstest]
#[tokio::test]
async fn end_reported_if_upstream_closes() {
    let tunnels = start(KEY).await;
    let (mut tunnel, mut upstream) = tunnels.open().await;
    upstream.write_all(b"whole").await.expect("it is written");
    drop(upstream);
    let mut answer = Vec::new();
    tunnel.read_to_end(&mut answer).await.expect("the end is in order");
    assert_eq!(answer, b"whole");
    assert!(!tunnel.state().is_lost());
}

/// A truncated answer must not look complete.
#[rstest]
#[tokio::test]
async fn error_reported_if_upstream_breaks() {
    let tunnels = start(KEY).await;
    let (mut tunnel, mut upstream) = tunnels.open().await;
    upstream.write_all(b"part").await.expect("it is written");
    let mut part = [0; 4];
    tunnel.read_exact(&mut part).await.expect("the part arrives");
    upstream.set_zero_linger().expect("the option exists");
    drop(upstream);
    let error = tunnel.read_to_end(&mut Vec::new()).await.expect_err("it is no end in order");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    assert!(!tunnel.state().is_lost(), "the upstream broke, not the carrier");
}

/// A carrier that terminates closes its sockets, as an upstream does at the end of an answer.
#[rstest]
#[tokio::test]
async fn lost_carrier_is_no_end() {
    let upstream = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let address = upstream.local_addr().expect("a bound socket has an address");
    let listener = listen();
    let (carrier_id, carrier) = config(&listener, KEY);
    let carrier_process = tokio::runtime::Runtime::new().expect("a runtime starts");
    let entered = carrier_process.enter();
    let gate = OneUpstream(address);
    let carrier = PeerMesh::start_with_tunnels(carrier, listener, |_, _| {}, gate);
    drop(entered);
    let listener = listen();
    let (_, opener) = config(&listener, KEY);
    let opener = PeerMesh::start(opener, listener, |_, _| {}).expect("it starts");
    let mut tunnel = opener.open_tunnel(&carrier_id, UPSTREAM).await.expect("the tunnel opens");
    drop(carrier);
    carrier_process.shutdown_background();
    let error = tunnel.read_to_end(&mut Vec::new()).await.expect_err("it is no end in order");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionAborted);
    assert!(tunnel.state().is_lost());
}

/// An upstream must stop work for a caller that has left, also behind a tunnel.
#[rstest]
#[tokio::test]
async fn upstream_closed_if_opener_leaves() {
    let tunnels = start(KEY).await;
    let (tunnel, mut upstream) = tunnels.open().await;
    drop(tunnel);
    let read = tokio::time::timeout(WAIT, upstream.read(&mut [0; 1])).await;
    assert!(matches!(read.expect("it ends"), Ok(0) | Err(_)));
    tunnels.wait_closed().await;
}

#[rstest]
#[tokio::test]
async fn stopping_carrier_announces_and_refuses() {
    let tunnels = start(KEY).await;
    let (mut tunnel, mut upstream) = tunnels.open().await;
    tunnels.carrier.tunnels().stop();
    let state = std::sync::Arc::clone(tunnel.state());
    upstream.write_all(b"rest").await.expect("open tunnels continue");
    let mut rest = [0; 4];
    tunnel.read_exact(&mut rest).await.expect("the rest arrives");
    drop(upstream);
    tunnel.read_to_end(&mut Vec::new()).await.expect("the end is in order");
    assert!(state.is_leaving());
    let refused = tunnels.opener.open_tunnel(&tunnels.carrier_id, UPSTREAM).await;
    assert!(matches!(refused, Err(OpenTunnelError::Refused(TunnelRefusal::Stopping))));
}

/// A daemon must not be an open proxy.
#[rstest]
#[tokio::test]
async fn tunnel_refused_to_unknown_upstream() {
    let tunnels = start(KEY).await;
    let address = tunnels.upstream.local_addr().expect("a bound socket has an address");
    let refused = tunnels.opener.open_tunnel(&tunnels.carrier_id, &address.to_string()).await;
    assert!(matches!(refused, Err(OpenTunnelError::Refused(TunnelRefusal::UnknownUpstream))));
}

#[rstest]
#[tokio::test]
async fn tunnel_refused_without_cluster_key() {
    let tunnels = start("another key").await;
    let refused = tunnels.opener.open_tunnel(&tunnels.carrier_id, UPSTREAM).await;
    assert!(matches!(refused, Err(OpenTunnelError::Peer(_))), "{refused:?}");
    assert_eq!(tunnels.carrier.tunnels().open(), 0);
}

#[rstest]
#[tokio::test]
async fn tunnel_refused_if_upstream_unreachable() {
    let tunnels = start(KEY).await;
    drop(tunnels.upstream);
    let refused = tunnels.opener.open_tunnel(&tunnels.carrier_id, UPSTREAM).await;
    assert!(matches!(refused, Err(OpenTunnelError::Refused(TunnelRefusal::Unreachable))));
}
