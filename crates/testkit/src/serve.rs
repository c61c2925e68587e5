//! Serves HTTP on a local port, with a process that can be paused, stopped and restarted.

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

/// Time in which a resumed node detects the connections that were closed while it was paused.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// Capacity of the channel between a handler and its connection, in chunks.
const BODY_CHUNKS: usize = 16;

/// A response body whose chunks are received from a channel.
pub(crate) struct ChannelBody {
    chunks: mpsc::Receiver<Result<Bytes, TruncatedBody>>,
}

/// Error that truncates a response body.
#[derive(Debug)]
pub(crate) struct TruncatedBody;

impl std::fmt::Display for TruncatedBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the stand-in truncated its response")
    }
}

impl std::error::Error for TruncatedBody {}

pub(crate) type ChunkSender = mpsc::Sender<Result<Bytes, TruncatedBody>>;

impl ChannelBody {
    pub(crate) fn new() -> (ChunkSender, Self) {
        let (sender, chunks) = mpsc::channel(BODY_CHUNKS);
        (sender, Self { chunks })
    }

    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        let (sender, body) = Self::new();
        // The new channel has capacity for one chunk.
        let _ = sender.try_send(Ok(bytes.into()));
        body
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        self.chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

pub(crate) type Answer = Response<ChannelBody>;

pub(crate) fn json_answer(status: StatusCode, value: &impl serde::Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("the response serialises to JSON");
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .header("content-length", body.len())
        .body(ChannelBody::complete(body))
        .expect("the response has a valid status and valid headers")
}

/// State of a node's simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Running,
    Paused,
    Stopped,
}

/// The HTTP server of a node, whose process state can be changed.
#[derive(Clone)]
pub(crate) struct NodePort {
    pub(crate) address: SocketAddr,
    state: watch::Sender<ProcessState>,
    changed_at: Arc<std::sync::Mutex<tokio::time::Instant>>,
}

impl NodePort {
    /// Binds a free port and serves requests with a handler while the process runs.
    pub(crate) fn serve<H, F>(handler: H) -> Self
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .expect("a free local port can be bound");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (state, watcher) = watch::channel(ProcessState::Running);
        listener.set_nonblocking(true).expect("a new socket can be set to non-blocking");
        tokio::spawn(run_port(address, listener, Arc::new(handler), watcher));
        let changed_at = Arc::new(std::sync::Mutex::new(tokio::time::Instant::now()));
        Self { address, state, changed_at }
    }

    pub(crate) fn set_process_state(&self, state: ProcessState) {
        *self.changed_at.lock().expect("the mutex is not poisoned") = tokio::time::Instant::now();
        self.state.send_replace(state);
    }

    /// Returns the time of the last change of the process state.
    pub(crate) fn changed_at(&self) -> tokio::time::Instant {
        *self.changed_at.lock().expect("the mutex is not poisoned")
    }

    pub(crate) fn process_state(&self) -> ProcessState {
        *self.state.borrow()
    }

    /// Waits while the process is paused; handlers call this before each step.
    pub(crate) async fn wait_until_resumed(watcher: &mut watch::Receiver<ProcessState>) {
        let _ = watcher.wait_for(|state| *state != ProcessState::Paused).await;
    }

    pub(crate) fn watch(&self) -> watch::Receiver<ProcessState> {
        self.state.subscribe()
    }
}

async fn run_port<H, F>(
    address: SocketAddr,
    initial: std::net::TcpListener,
    handler: Arc<H>,
    mut watcher: watch::Receiver<ProcessState>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut listener = TcpListener::from_std(initial).ok();
    loop {
        if *watcher.borrow_and_update() == ProcessState::Stopped {
            listener = None;
            if watcher.wait_for(|state| *state != ProcessState::Stopped).await.is_err() {
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
    mut watcher: watch::Receiver<ProcessState>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let paused = watcher.clone();
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let mut paused = paused.clone();
        async move {
            if *paused.borrow() == ProcessState::Paused {
                NodePort::wait_until_resumed(&mut paused).await;
                // A caller that gave up during the pause has closed the connection. A resumed
                // engine detects this before it runs the request.
                tokio::time::sleep(RESUME_DELAY).await;
            }
            Ok::<_, std::convert::Infallible>(handler(request).await)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = watcher.wait_for(|state| *state == ProcessState::Stopped) => {}
    }
}
