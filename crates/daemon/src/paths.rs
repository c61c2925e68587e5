//! The paths of a daemon to its upstreams: its own, and tunnels through peers.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use hollowbarrow_peer::TunnelGate;
use hollowbarrow_reach::{ConnectTimes, PathChange, Reach, ReachObserver, UpstreamTarget};
use hollowbarrow_schema::{DaemonId, GatewayPlace, Settings, TunnelRefusal};
use hollowbarrow_upstream::UpstreamClient;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

use crate::core::DaemonCore;
use crate::routes::RouteEntry;
use crate::telemetry::Telemetry;

/// Times for connections to upstreams.
const CONNECT_TIMES: ConnectTimes = ConnectTimes {
    direct: Duration::from_secs(2),
    tunnel_delay: Duration::from_millis(400),
    request: Duration::from_millis(2500),
};

/// Counts connections to upstreams by outcome.
struct ConnectCounter(Counter<u64>);

impl ReachObserver for ConnectCounter {
    fn record_connect(&self, outcome: &'static str) {
        self.0.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    fn record_change(&self, _: PathChange) {}
}

/// Creates the paths of a daemon with these settings.
pub(crate) fn new_reach(
    settings: &Settings,
    client: &UpstreamClient,
    telemetry: &Telemetry,
) -> Arc<Reach> {
    let observer = Arc::new(ConnectCounter(telemetry.connects()));
    let reach = Reach::new(client.clone(), CONNECT_TIMES, &settings.zone, observer);
    let peers = settings.peers.iter().filter(|peer| peer.id != settings.id);
    reach.replace_peers(
        peers.map(|peer| GatewayPlace { id: peer.id.clone(), zone: peer.zone.clone() }),
    );
    Arc::new(reach)
}

/// Returns an upstream as the target of a connection.
pub(crate) fn target_of(service: &str, entry: &RouteEntry) -> UpstreamTarget {
    UpstreamTarget {
        service: service.to_owned(),
        name: entry.key.name.clone(),
        address: entry.address,
    }
}

/// Admits tunnels to the upstreams of the routes.
pub(crate) struct RouteGate(pub(crate) Weak<DaemonCore>);

impl TunnelGate for RouteGate {
    fn admit(&self, _: &DaemonId, upstream: &str) -> Result<SocketAddr, TunnelRefusal> {
        let core = self.0.upgrade().ok_or(TunnelRefusal::Stopping)?;
        let target = core.routes().find_target(upstream);
        core.reach.admit_tunnel(&target.ok_or(TunnelRefusal::UnknownUpstream)?)
    }
}
