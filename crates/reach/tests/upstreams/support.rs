//! Stand-in upstreams that answer, or do not answer, the call by which an instance is recognised.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hollowbarrow_reach::{
    ConnectTimes, InstanceProbe, InstanceReply, PathChange, Reach, ReachObserver, UpstreamTarget,
};
use hollowbarrow_schema::ZoneId;
use hollowbarrow_upstream::{UpstreamCall, UpstreamClient};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

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

/// Creates a process without peers.
pub fn new_reach() -> Arc<Reach> {
    let client = UpstreamClient::new();
    Arc::new(Reach::new(client, TIMES, &ZoneId::from("a"), Arc::new(NoObserver)))
}

/// Takes an instance for the one that answers with its name.
pub struct NameProbe(pub &'static str);

impl InstanceProbe for NameProbe {
    fn instance(&self) -> String {
        self.0.to_owned()
    }

    fn call(&self) -> UpstreamCall {
        UpstreamCall { method: Method::GET, target: "/report", headers: HeaderMap::new() }
    }

    fn read_answer(&self, _: StatusCode, body: &[u8]) -> InstanceReply {
        if body == self.0.as_bytes() { InstanceReply::Same } else { InstanceReply::Other }
    }
}

/// Returns the probe of an instance.
pub fn probe(name: &'static str) -> Arc<dyn InstanceProbe> {
    Arc::new(NameProbe(name))
}

/// How an upstream treats connections and calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It answers each call with this name.
    Answers(&'static str),
    /// It accepts connections and answers nothing.
    Silent,
    /// It refuses connections.
    Refuses,
    /// It accepts connections and closes them, as a lost path may.
    Closes,
    /// It answers with the surplus answer to an earlier request.
    Surplus,
}

/// A stand-in upstream, whose manner can change. Its open connections keep the manner of their time.
pub struct Upstream {
    pub target: UpstreamTarget,
    manner: watch::Sender<Manner>,
    state: Arc<UpstreamState>,
}

#[derive(Default)]
struct UpstreamState {
    calls: AtomicUsize,
    /// Number of connections that were accepted.
    accepted: AtomicUsize,
    /// Number of connections, from the first, on which nothing is answered any more.
    silent: AtomicUsize,
}

impl Upstream {
    /// Starts an upstream on a free port.
    pub async fn start(manner: Manner, name: &str) -> Self {
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
        let address: SocketAddr = socket.local_addr().expect("the listener is bound");
        let target = UpstreamTarget { service: "chat".to_owned(), name: name.to_owned(), address };
        let (manner, current) = watch::channel(manner);
        let state = Arc::new(UpstreamState::default());
        tokio::spawn(listen(socket, current, Arc::clone(&state)));
        let upstream = Self { target, manner, state };
        upstream.settle().await;
        upstream
    }

    /// Treats new connections in this manner from now on.
    pub async fn set_manner(&self, manner: Manner) {
        self.manner.send_replace(manner);
        self.settle().await;
    }

    /// Answers nothing any more on the connections that are open.
    pub fn stand_still(&self) {
        let accepted = self.state.accepted.load(Ordering::Relaxed);
        self.state.silent.store(accepted, Ordering::Relaxed);
    }

    /// Returns the number of calls that were answered.
    pub fn calls(&self) -> usize {
        self.state.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were accepted.
    pub fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::Relaxed)
    }

    /// Waits until a change of the manner has had its effect on the listener.
    async fn settle(&self) {
        let refuses = *self.manner.borrow() == Manner::Refuses;
        while refuses && TcpStream::connect(self.target.address).await.is_ok() {
            tokio::task::yield_now().await;
        }
    }
}

async fn listen(
    socket: TcpListener,
    mut current: watch::Receiver<Manner>,
    state: Arc<UpstreamState>,
) {
    loop {
        if *current.borrow_and_update() == Manner::Refuses {
            return;
        }
        tokio::select! {
            Ok((stream, _)) = socket.accept() => {
                let manner = *current.borrow();
                tokio::spawn(serve(stream, manner, Arc::clone(&state)));
            }
            Ok(()) = current.changed() => {}
            else => return,
        }
    }
}

async fn serve(mut stream: TcpStream, manner: Manner, state: Arc<UpstreamState>) {
    let mut buffer = [0; 4096];
    let number = state.accepted.fetch_add(1, Ordering::Relaxed);
    if manner == Manner::Closes {
        return;
    }
    // Calls are short, so that each one arrives in a single read.
    while let Ok(1..) = stream.read(&mut buffer).await {
        let (head, body) = match manner {
            Manner::Answers(name) => ("", name),
            Manner::Surplus => ("x-request-id: r1\r\n", "w1"),
            _ => continue,
        };
        if number < state.silent.load(Ordering::Relaxed) {
            continue;
        }
        state.calls.fetch_add(1, Ordering::Relaxed);
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\n{head}content-length: {length}\r\n\r\n{body}");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
