//! What a process reports while it reaches upstreams neither itself nor through a peer.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_reach::{ConnectTimes, PathChange, Reach, ReachObserver, UpstreamTarget};
use hollowbarrow_schema::ZoneId;
use hollowbarrow_upstream::UpstreamClient;
use rstest::rstest;
use tokio::time::Instant;

const TIMES: ConnectTimes = ConnectTimes {
    direct: Duration::from_millis(350),
    tunnel_delay: Duration::from_millis(200),
    request: Duration::from_millis(400),
};

struct NoObserver;

impl ReachObserver for NoObserver {
    fn record_connect(&self, _: &'static str) {}

    fn record_change(&self, _: PathChange) {}
}

/// Returns an address that refuses connections.
fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    listener.local_addr().expect("the listener is bound")
}

/// Guards against a process without peers that is never sent any, because it does not count as
/// isolated until a peer has carried a tunnel.
#[rstest]
#[tokio::test]
async fn service_without_peers_reported() {
    let client = UpstreamClient::new();
    let reach = Arc::new(Reach::new(client, TIMES, &ZoneId::from("a"), Arc::new(NoObserver)));
    assert!(reach.unreached_services().is_empty());
    let (service, name) = ("chat".to_owned(), "w1".to_owned());
    let target = UpstreamTarget { service, name, address: refusing_address() };
    let taken = reach.take(&target, Instant::now() + Duration::from_secs(1)).await;
    assert!(taken.is_err());
    assert_eq!(reach.unreached_services(), ["chat"]);
    assert!(reach.awaits_peers("chat"));
    assert!(!reach.awaits_peers("hold"));
    assert!(!reach.is_isolated());
}
