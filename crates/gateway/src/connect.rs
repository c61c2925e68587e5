//! Opens connections to workers: over the gateway's own path, and through a peer if that one fails.
//!
//! Both paths are tried in the way of "Happy Eyeballs" (RFC 8305): the second starts when the first has
//! failed or has taken long, and the one that is established first is used. Which worker runs the
//! request has been decided before, and does not depend on the path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hollowbarrow_peer::{OpenTunnelError, TunnelState, TunnelStream};
use hollowbarrow_routing::UpstreamPath;
use hollowbarrow_schema::{DaemonId, ServiceName, TunnelRefusal, WorkerId};
use hollowbarrow_upstream::{CarrierHealth, ConnectionLease, SendRequestError};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::core::GatewayCore;
use crate::picker::{PickedWorker, WorkerEndpoint};

/// Timeout of a request for a connection to a worker. Nothing has been sent by then, so another worker
/// can be used at once. It leaves time for tunnels through two peers after [`TUNNEL_DELAY`].
pub(crate) const REQUEST_CONNECT_TIMEOUT: Duration = Duration::from_millis(420);
/// Timeout for a connection over the gateway's own path: two attempts with a lost SYN.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time without a connection after which a tunnel is opened too: a little after the attempt that
/// follows a lost SYN.
const TUNNEL_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a tunnel through one peer. It covers the peer's attempt to connect to the worker.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(180);
/// Time after which a second peer is tried beside one that has not answered.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(40);
/// Number of peers that must fail to reach a worker before it counts as not reached.
const PEERS_TO_BLAME_WORKER: usize = 2;

/// A worker to connect to.
#[derive(Clone, Copy)]
pub(crate) struct ConnectTarget<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) worker: &'a WorkerId,
    pub(crate) address: SocketAddr,
}

impl<'a> ConnectTarget<'a> {
    /// Returns the target for a chosen worker.
    pub(crate) fn new(service: &'a ServiceName, worker: &'a PickedWorker) -> Self {
        Self { service, worker: &worker.id, address: worker.address }
    }

    fn to_endpoint(self) -> WorkerEndpoint {
        let Self { service, worker, address } = self;
        WorkerEndpoint { service: service.clone(), worker: worker.clone(), address }
    }
}

/// No connection was established; nothing was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NotConnected;

/// Takes an idle connection to a worker, or opens one.
pub(crate) async fn take_connection(
    core: &Arc<GatewayCore>,
    target: ConnectTarget<'_>,
    limit: Instant,
) -> Result<ConnectionLease, NotConnected> {
    let kept = match core.paths().path(target.service, target.worker) {
        UpstreamPath::Direct => core.client.take_kept(target.address),
        UpstreamPath::Peer => core.client.take_carried(target.address),
    };
    match kept {
        Some(lease) => Ok(lease),
        None => open_connection(core, target, limit).await,
    }
}

/// Opens a connection to a worker over the path that is known to work, or over the first of both that
/// does. One that is established after the limit goes to the pool of idle connections: it still shows
/// which path works.
pub(crate) async fn open_connection(
    core: &Arc<GatewayCore>,
    target: ConnectTarget<'_>,
    limit: Instant,
) -> Result<ConnectionLease, NotConnected> {
    let endpoint = target.to_endpoint();
    let (sender, opened) = oneshot::channel();
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let target = endpoint.target();
        let path = core.paths().path(target.service, target.worker);
        let lease = match path {
            UpstreamPath::Direct => open_either(&core, target).await,
            UpstreamPath::Peer => open_tunnel(&core, target).await,
        };
        if let Err(Ok(lease)) = sender.send(lease) {
            lease.give_back();
        }
    });
    match tokio::time::timeout_at(limit, opened).await {
        Ok(Ok(lease)) => lease,
        _ => Err(NotConnected),
    }
}

/// Opens a connection over both paths, the gateway's own first.
async fn open_either(
    core: &Arc<GatewayCore>,
    target: ConnectTarget<'_>,
) -> Result<ConnectionLease, NotConnected> {
    let direct = async {
        let opening = open_direct(core, target);
        tokio::time::timeout(CONNECT_TIMEOUT, opening).await.unwrap_or(Err(NotConnected))
    };
    tokio::pin!(direct);
    let early = tokio::time::timeout(TUNNEL_DELAY, direct.as_mut()).await;
    if let Ok(Ok(lease)) = early {
        return Ok(lease);
    }
    let tunnel = bypass(core, target);
    tokio::pin!(tunnel);
    if early.is_ok() {
        return tunnel.await;
    }
    tokio::select! {
        lease = direct.as_mut() => match lease {
            Ok(lease) => Ok(lease),
            Err(NotConnected) => tunnel.await,
        },
        lease = tunnel.as_mut() => match lease {
            Ok(lease) => Ok(lease),
            Err(NotConnected) => direct.await,
        },
    }
}

/// Opens a connection over the gateway's own path.
pub(crate) async fn open_direct(
    core: &Arc<GatewayCore>,
    target: ConnectTarget<'_>,
) -> Result<ConnectionLease, NotConnected> {
    let opened = core.client.connect(target.address).await;
    core.metrics.count_connect(match &opened {
        Ok(_) => "connected",
        Err(SendRequestError::Refused(_)) => "refused",
        Err(_) => "timed_out",
    });
    let lease = opened.map_err(|_| NotConnected)?;
    core.record_connected(target.service, target.worker);
    Ok(lease)
}

/// Opens a tunnel to a worker that the gateway's own path does not reach.
async fn bypass(
    core: &Arc<GatewayCore>,
    target: ConnectTarget<'_>,
) -> Result<ConnectionLease, NotConnected> {
    let lease = open_tunnel(core, target).await?;
    core.record_bypassed(target, lease.carrier().unwrap_or_default());
    Ok(lease)
}

/// Opens a tunnel to a worker through the first peer that can carry it.
pub(crate) async fn open_tunnel(
    core: &Arc<GatewayCore>,
    target: ConnectTarget<'_>,
) -> Result<ConnectionLease, NotConnected> {
    let peers = core.relays().candidates(Instant::now(), &mut rand::rng());
    open_tunnel_through(core, target, peers).await
}

/// Opens a tunnel to a worker through the first of these peers that can carry it.
pub(crate) async fn open_tunnel_through(
    core: &Arc<GatewayCore>,
    target: ConnectTarget<'_>,
    peers: Vec<DaemonId>,
) -> Result<ConnectionLease, NotConnected> {
    let mut waiting = peers.into_iter();
    let mut tries = FuturesUnordered::new();
    let mut doubtful: Vec<DaemonId> = Vec::new();
    while doubtful.len() < PEERS_TO_BLAME_WORKER {
        if tries.is_empty() {
            let Some(peer) = waiting.next() else { break };
            tries.push(try_peer(core, target, peer));
        }
        let (peer, tried) = tokio::select! {
            Some(tried) = tries.next() => tried,
            () = tokio::time::sleep(NEXT_PEER_DELAY), if waiting.len() > 0 => {
                tries.extend(waiting.next().map(|peer| try_peer(core, target, peer)));
                continue;
            }
        };
        match tried {
            Ok(stream) => {
                core.record_carried(&peer, &doubtful);
                return adopt(core, target, peer, stream).await;
            }
            Err(Some(TunnelRefusal::Unreachable)) => doubtful.push(peer),
            Err(Some(TunnelRefusal::UnknownUpstream)) => {}
            Err(_) => core.relays().record_unusable(&peer, Instant::now()),
        }
    }
    if doubtful.len() >= PEERS_TO_BLAME_WORKER {
        core.metrics.count_connect("peer_unreached");
        return Err(NotConnected);
    }
    core.metrics.count_connect("no_peer");
    core.relays().record_none_usable(Instant::now());
    Err(NotConnected)
}

/// Tries to open a tunnel through one peer. The error is the peer's refusal, if it answered.
async fn try_peer(
    core: &GatewayCore,
    target: ConnectTarget<'_>,
    peer: DaemonId,
) -> (DaemonId, Result<TunnelStream, Option<TunnelRefusal>>) {
    let Some(links) = core.links.get() else { return (peer, Err(None)) };
    let opening = links.open_tunnel(&peer, target.address);
    let opened = match tokio::time::timeout(TUNNEL_TIMEOUT, opening).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(OpenTunnelError::Refused(refusal))) => Err(Some(refusal)),
        _ => Err(None),
    };
    (peer, opened)
}

async fn adopt(
    core: &GatewayCore,
    target: ConnectTarget<'_>,
    peer: DaemonId,
    stream: TunnelStream,
) -> Result<ConnectionLease, NotConnected> {
    core.metrics.count_connect("tunnel");
    let health = Arc::new(TunnelHealth { state: Arc::clone(stream.state()), peer });
    core.client.adopt(target.address, stream, health).await.map_err(|_| NotConnected)
}

/// Health of a tunnel for the pool of connections.
#[derive(Debug)]
struct TunnelHealth {
    state: Arc<TunnelState>,
    peer: DaemonId,
}

impl CarrierHealth for TunnelHealth {
    fn is_lost(&self) -> bool {
        self.state.is_lost()
    }

    fn is_leaving(&self) -> bool {
        self.state.is_leaving()
    }

    fn name(&self) -> &str {
        &self.peer
    }
}
