//! Serves HTTP on a local port, with the faults of a node.

use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Time in which a node that goes on finds out which connections were closed meanwhile.
const WAKE_PAUSE: Duration = Duration::from_millis(50);
/// Chunks that may wait between a handler and its connection.
const BODY_CHUNKS: usize = 16;

/// A body whose chunks come over a channel.
pub(crate) struct ChannelBody {
    chunks: mpsc::Receiver<Result<Bytes, BrokenBody>>,
}

/// Ends a body in the middle.
#[derive(Debug)]
pub(crate) struct BrokenBody;

impl std::fmt::Display for BrokenBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the stand-in broke its answer off")
    }
}

impl std::error::Error for BrokenBody {}

pub(crate) type ChunkSender = mpsc::Sender<Result<Bytes, BrokenBody>>;

impl ChannelBody {
    pub(crate) fn new() -> (ChunkSender, Self) {
        let (sender, chunks) = mpsc::channel(BODY_CHUNKS);
        (sender, Self { chunks })
    }

    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let (sender, body) = Self::new();
        // The channel has room for the one chunk.
        let _ = sender.try_send(Ok(bytes.into()));
        body
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        self.chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

pub(crate) type Answer = Response<ChannelBody>;

pub(crate) fn json_answer(status: StatusCode, value: &impl serde::Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("stand-ins' answers are JSON");
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .header("content-length", body.len())
        .body(ChannelBody::whole(body))
        .expect("a plain answer is valid")
}

/// Whether a node's process runs, is stopped in place, or is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Power {
    On,
    Paused,
    Off,
}

/// A listening node whose power can be switched.
#[derive(Clone)]
pub(crate) struct NodePort {
    pub(crate) address: SocketAddr,
    power: watch::Sender<Power>,
    switched: Arc<std::sync::Mutex<tokio::time::Instant>>,
}

impl NodePort {
    /// Binds a free port and serves with a handler while the power is on.
    pub(crate) fn serve<H, F>(handler: H) -> Self
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .expect("the kernel gives a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (power, watcher) = watch::channel(Power::On);
        listener.set_nonblocking(true).expect("a fresh socket can be made nonblocking");
        tokio::spawn(run_port(address, listener, Arc::new(handler), watcher));
        let switched = Arc::new(std::sync::Mutex::new(tokio::time::Instant::now()));
        Self { address, power, switched }
    }

    pub(crate) fn set_power(&self, power: Power) {
        *self.switched.lock().expect("no holder of the lock panics") = tokio::time::Instant::now();
        self.power.send_replace(power);
    }

    /// When the power was last switched.
    pub(crate) fn switched(&self) -> tokio::time::Instant {
        *self.switched.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn power(&self) -> Power {
        *self.power.borrow()
    }

    /// Waits while the node is paused; a handler calls this before each step.
    pub(crate) async fn pass(watcher: &mut watch::Receiver<Power>) {
        let _ = watcher.wait_for(|power| *power != Power::Paused).await;
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Power> {
        self.power.subscribe()
    }
}

async fn run_port<H, F>(
    address: SocketAddr,
    first: std::net::TcpListener,
    handler: Arc<H>,
    mut watcher: watch::Receiver<Power>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut listener = TcpListener::from_std(first).ok();
    loop {
        if *watcher.borrow_and_update() == Power::Off {
            listener = None;
            if watcher.wait_for(|power| *power != Power::Off).await.is_err() {
                return;
            }
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).await.ok();
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let handler = Arc::clone(&handler);
                tokio::spawn(serve_connection(stream, handler, watcher.clone()));
            }
            changed = watcher.changed() => if changed.is_err() { return },
        }
    }
}

async fn serve_connection<H, F>(
    stream: tokio::net::TcpStream,
    handler: Arc<H>,
    mut watcher: watch::Receiver<Power>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let paused = watcher.clone();
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let mut paused = paused.clone();
        async move {
            if *paused.borrow() == Power::Paused {
                NodePort::pass(&mut paused).await;
                // Whoever gave up meanwhile has closed the connection, and an engine that goes on
                // finds that before it runs the request.
                tokio::time::sleep(WAKE_PAUSE).await;
            }
            Ok::<_, std::convert::Infallible>(handler(request).await)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = watcher.wait_for(|power| *power == Power::Off) => {}
    }
}
