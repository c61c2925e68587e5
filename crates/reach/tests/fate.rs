//! What became of an upstream to which a connection was lost, without peers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_reach::{
    ConnectTimes, PathChange, Reach, ReachObserver, UpstreamFate, UpstreamTarget,
};
use hollowbarrow_schema::ZoneId;
use hollowbarrow_upstream::UpstreamClient;
use rstest::rstest;
use tokio::net::TcpListener;

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

/// How an upstream treats connections.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Accepts,
    Refuses,
    /// It accepts connections and closes them at once, as a lost path may.
    Closes,
}

async fn start(listener: Listener, name: &str) -> UpstreamTarget {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let address: SocketAddr = socket.local_addr().expect("the listener is bound");
    if !matches!(listener, Listener::Refuses) {
        tokio::spawn(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = socket.accept().await {
                if matches!(listener, Listener::Accepts) {
                    open.push(stream);
                }
            }
        });
    }
    UpstreamTarget { service: "chat".to_owned(), name: name.to_owned(), address }
}

/// An upstream has terminated only if it accepts no connection while another one does.
#[rstest]
#[case::alive(Listener::Accepts, Some(Listener::Accepts), UpstreamFate::Running)]
#[case::terminated(Listener::Refuses, Some(Listener::Accepts), UpstreamFate::Terminated)]
#[case::closing(Listener::Closes, Some(Listener::Accepts), UpstreamFate::Terminated)]
#[case::all_refuse(Listener::Refuses, Some(Listener::Refuses), UpstreamFate::Unknown)]
#[case::all_close(Listener::Closes, Some(Listener::Closes), UpstreamFate::Unknown)]
#[case::only_one(Listener::Refuses, None, UpstreamFate::Terminated)]
#[tokio::test]
async fn fate_of_upstream(
    #[case] lost: Listener,
    #[case] other: Option<Listener>,
    #[case] expected: UpstreamFate,
) {
    let client = UpstreamClient::new();
    let reach = Arc::new(Reach::new(client, TIMES, &ZoneId::from("a"), Arc::new(NoObserver)));
    let target = start(lost, "w1").await;
    let mut others = Vec::new();
    if let Some(other) = other {
        others.push(start(other, "w2").await);
    }
    // Requests that lost their connections together share the outcome.
    let asked = (0..3).map(|_| reach.learn_fate(&target, others.clone()));
    let fates = futures_util::future::join_all(asked).await;
    assert_eq!(fates, [expected; 3]);
}
