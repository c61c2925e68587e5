//! Opens connections: over the process's own path, and through a peer if that one fails.
//!
//! Both paths are tried in the way of "Happy Eyeballs" (RFC 8305): the second starts when the first has
//! failed or has taken long, and the one that is established first is used.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hollowbarrow_peer::{OpenTunnelError, TunnelState, TunnelStream};
use hollowbarrow_schema::{DaemonId, TunnelRefusal};
use hollowbarrow_upstream::{CarrierHealth, ConnectionLease, SendRequestError};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::paths::UpstreamPath;
use crate::reach::{Reach, UpstreamTarget};

/// How long the steps of opening a connection may take.
#[derive(Clone, Copy, Debug)]
pub struct ConnectTimes {
    /// Timeout for a connection over the process's own path.
    pub direct: Duration,
    /// Time without a connection after which a tunnel is opened too.
    pub tunnel_delay: Duration,
    /// Timeout of a request for a connection. Nothing has been sent by then, so another upstream can
    /// be used at once. It should leave time for tunnels through two peers after `tunnel_delay`.
    pub request: Duration,
}

/// Timeout of a tunnel through one peer. It covers the peer's attempt to connect to the upstream.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a second peer is tried beside one that has not answered.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(40);
/// Number of peers that are tried for one connection.
const MAX_PEERS: usize = 4;
/// Number of peers that must fail to reach an upstream before it counts as not reached.
const PEERS_TO_BLAME_UPSTREAM: usize = 2;

/// No connection was established; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotConnected;

impl Reach {
    /// Takes an idle connection to an upstream, or opens one within a limit that leaves time for
    /// another upstream.
    ///
    /// # Errors
    ///
    /// Fails if neither path has led to the upstream in time.
    pub async fn take(
        self: &Arc<Self>,
        target: &UpstreamTarget,
        deadline: Instant,
    ) -> Result<ConnectionLease, NotConnected> {
        match self.take_idle(target) {
            Some(lease) => Ok(lease),
            None => self.open(target, deadline).await,
        }
    }

    /// Takes an idle connection to an upstream, if there is one over its path.
    pub(crate) fn take_idle(&self, target: &UpstreamTarget) -> Option<ConnectionLease> {
        match self.path(target) {
            UpstreamPath::Direct => self.client.take_kept(target.address),
            UpstreamPath::Peer => self.client.take_carried(target.address),
        }
    }

    /// Opens a new connection to an upstream, within the same limit.
    ///
    /// One that is established later goes to the pool of idle connections: it still shows which path
    /// works.
    ///
    /// # Errors
    ///
    /// Fails if neither path has led to the upstream in time.
    pub async fn open(
        self: &Arc<Self>,
        target: &UpstreamTarget,
        deadline: Instant,
    ) -> Result<ConnectionLease, NotConnected> {
        let limit = deadline.min(Instant::now() + self.times.request);
        let (sender, opened) = oneshot::channel();
        let (reach, target) = (Arc::clone(self), target.clone());
        tokio::spawn(async move {
            let lease = match reach.path(&target) {
                UpstreamPath::Direct => open_either(&reach, &target).await,
                UpstreamPath::Peer => open_tunnel(&reach, &target).await,
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
}

/// Opens a connection over both paths, the process's own first.
async fn open_either(
    reach: &Reach,
    target: &UpstreamTarget,
) -> Result<ConnectionLease, NotConnected> {
    let direct = open_direct(reach, target);
    tokio::pin!(direct);
    let early = tokio::time::timeout(reach.times.tunnel_delay, direct.as_mut()).await;
    if let Ok(Ok(lease)) = early {
        return Ok(lease);
    }
    let tunnel = bypass(reach, target);
    tokio::pin!(tunnel);
    if early.is_ok() {
        return tunnel.await;
    }
    tokio::select! {
        lease = direct.as_mut() => match lease {
            Ok(lease) => Ok(lease),
            Err(_) => tunnel.await,
        },
        lease = tunnel.as_mut() => match lease {
            Ok(lease) => Ok(lease),
            Err(NotConnected) => direct.await.map_err(|_| NotConnected),
        },
    }
}

/// Why no connection over the process's own path was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoDirect {
    /// The address refused it.
    Refused,
    /// It was not established in time, or failed otherwise.
    TimedOut,
}

/// Opens a connection over the process's own path.
pub(crate) async fn open_direct(
    reach: &Reach,
    target: &UpstreamTarget,
) -> Result<ConnectionLease, NoDirect> {
    let connecting = reach.client.connect(target.address);
    let opened = match tokio::time::timeout(reach.times.direct, connecting).await {
        Ok(Ok(lease)) => Ok(lease),
        Ok(Err(SendRequestError::Refused(_))) => Err(NoDirect::Refused),
        _ => Err(NoDirect::TimedOut),
    };
    reach.observer.record_connect(match &opened {
        Ok(_) => "connected",
        Err(NoDirect::Refused) => "refused",
        Err(NoDirect::TimedOut) => "timed_out",
    });
    let lease = opened?;
    reach.record_connected(target);
    Ok(lease)
}

/// Opens a tunnel to an upstream that the process's own path does not reach.
pub(crate) async fn bypass(
    reach: &Reach,
    target: &UpstreamTarget,
) -> Result<ConnectionLease, NotConnected> {
    let lease = open_tunnel(reach, target).await?;
    reach.record_bypassed(target, lease.carrier().unwrap_or_default());
    Ok(lease)
}

/// Opens a tunnel to an upstream through the first peer that can carry it.
pub(crate) async fn open_tunnel(
    reach: &Reach,
    target: &UpstreamTarget,
) -> Result<ConnectionLease, NotConnected> {
    let peers = reach.relays().candidates(&target.service, Instant::now(), &mut rand::rng());
    let mut waiting = peers.into_iter().take(MAX_PEERS);
    let mut tries = FuturesUnordered::new();
    let mut doubtful: Vec<DaemonId> = Vec::new();
    let mut ended = 0;
    while doubtful.len() < PEERS_TO_BLAME_UPSTREAM {
        if tries.is_empty() {
            let Some(peer) = waiting.next() else { break };
            tries.push(try_peer(reach, target, peer));
        }
        let (peer, tried) = tokio::select! {
            Some(tried) = tries.next() => {
                ended += 1;
                tried
            }
            () = tokio::time::sleep(NEXT_PEER_DELAY), if waiting.len() > 0 => {
                tries.extend(waiting.next().map(|peer| try_peer(reach, target, peer)));
                continue;
            }
        };
        match tried {
            Ok(stream) => {
                reach.record_carried(&peer, target, &doubtful);
                return adopt(reach, target, peer, stream).await;
            }
            Err(Some(TunnelRefusal::Unreachable)) => doubtful.push(peer),
            Err(Some(TunnelRefusal::Isolated)) => {
                reach.relays().record_unreaching(&peer, &target.service, Instant::now());
            }
            Err(Some(TunnelRefusal::UnknownUpstream)) => {}
            Err(_) => reach.relays().record_unusable(&peer, Instant::now()),
        }
    }
    // Fewer are enough if every peer that was tried says so.
    let unanimous = !doubtful.is_empty() && doubtful.len() == ended;
    if doubtful.len() >= PEERS_TO_BLAME_UPSTREAM || unanimous {
        reach.observer.record_connect("peer_unreached");
        return Err(NotConnected);
    }
    reach.observer.record_connect("no_peer");
    reach.relays().record_none_usable(&target.service, Instant::now());
    Err(NotConnected)
}

/// Tries to open a tunnel through one peer. The error is the peer's refusal, if it answered.
async fn try_peer(
    reach: &Reach,
    target: &UpstreamTarget,
    peer: DaemonId,
) -> (DaemonId, Result<TunnelStream, Option<TunnelRefusal>>) {
    let Some(mesh) = reach.mesh.get() else { return (peer, Err(None)) };
    let upstream = target.full_name();
    let opening = mesh.open_tunnel(&peer, &upstream);
    let opened = match tokio::time::timeout(TUNNEL_TIMEOUT, opening).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(OpenTunnelError::Refused(refusal))) => Err(Some(refusal)),
        _ => Err(None),
    };
    (peer, opened)
}

async fn adopt(
    reach: &Reach,
    target: &UpstreamTarget,
    peer: DaemonId,
    stream: TunnelStream,
) -> Result<ConnectionLease, NotConnected> {
    reach.observer.record_connect("tunnel");
    let health = Arc::new(TunnelHealth { state: Arc::clone(stream.state()), peer });
    reach.client.adopt(target.address, stream, health).await.map_err(|_| NotConnected)
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
