//! HTTP server whose connections are bounded by the gate.
//!
//! Invariants:
//!
//! - After the stop signal no connection accepts another request, requests in
//!   progress run to completion, and a connection is closed once its last answer
//!   is written.
//! - The connection of a truncated answer is reset where its end in order would
//!   be the end of the answer, as in HTTP/1.0.
//! - A client whose incomplete body is given up is told so, if it reads that soon.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::answer::{GatedBody, HttpAnswer};
use crate::gate::{ClientConnection, ClientHandle, ListenerGate};
use crate::overload::{ConnectionLimiter, OpenConnection};
use crate::request::RequestBody;
use crate::stream::GatedStream;
use crate::used_connections::UsedConnections;

/// Length of the listener's accept queue.
const BACKLOG: u32 = 4096;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 100;
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time in which the refusal of an incomplete request must be written, and in which its client may go on
/// sending after that.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Bytes that are read at once to be discarded.
const DISCARD_BYTES: usize = 8 << 10;
/// Time without progress after which an incomplete request makes room for a new connection while the
/// process is overloaded.
const OVERLOAD_STALL: Duration = Duration::from_secs(1);

/// Answers requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Returns the limits for a connection that is accepted now.
    fn limits(&self) -> HttpLimits;

    /// Returns the limiter of connections; `None` if all are served.
    fn limiter(&self) -> Option<&Arc<ConnectionLimiter>> {
        None
    }

    /// Returns what counts the connections on which a request was read, if they are counted.
    fn used_connections(&self) -> Option<&UsedConnections> {
        None
    }

    /// Answers one request; the future is dropped if the client disconnects.
    fn answer(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> impl Future<Output = HttpAnswer> + Send;
}

/// Limits on a connection.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a request head to its last.
    pub header: Duration,
    /// Maximum time until the head of the next request has been received.
    pub idle: Duration,
}

/// Listens on an address, with an accept queue long enough for a burst of connections.
///
/// # Errors
///
/// Fails if the address cannot be parsed or listened on.
pub fn bind_http(address: &str) -> std::io::Result<TcpListener> {
    let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidInput);
    let address: SocketAddr = address.parse().map_err(|_| invalid())?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves the connections that the gate and the handler's limiter admit, until the stop signal. Others are
/// closed unread.
pub async fn serve_http<H: HttpHandler>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    handler: Arc<H>,
    gate: ListenerGate,
) {
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &gate) => accepted,
            () = wait_for_stop(&mut stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let open = match handler.limiter().map(|limiter| admit(limiter, &gate)) {
            Some(None) => continue,
            Some(open) => open,
            None => None,
        };
        let Some(client) = gate.open() else { continue };
        let _ = stream.set_nodelay(true);
        let serving = serve_connection(stream, client, stop.clone(), Arc::clone(&handler));
        tokio::spawn(async move {
            serving.await;
            drop(open);
        });
    }
}

/// Accepts a connection once those that were closed for others have given up their descriptors.
async fn accept(
    listener: &TcpListener,
    gate: &ListenerGate,
) -> std::io::Result<(TcpStream, SocketAddr)> {
    gate.ready().await;
    listener.accept().await
}

/// Counts a new connection as open; `None` if it is to be closed unread. A client that has stalled within
/// a request does not keep others out.
fn admit(limiter: &Arc<ConnectionLimiter>, gate: &ListenerGate) -> Option<OpenConnection> {
    let open = limiter.open();
    open.or_else(|| gate.close_stalled(OVERLOAD_STALL).then(|| limiter.open_in_place()))
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped because the daemon stops.
    let _ = stop.wait_for(|stop| *stop).await;
}

/// What the requests of a connection have shown that matters when it ends.
#[derive(Debug, Default)]
struct ConnectionFacts {
    /// Whether the end of the connection is the end of a streamed answer.
    unframed: AtomicBool,
    /// Whether a request was answered before its body was read.
    body_unread: AtomicBool,
}

async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    client: ClientConnection,
    mut stop: watch::Receiver<bool>,
    handler: Arc<H>,
) {
    let limits = handler.limits();
    let facts = Arc::<ConnectionFacts>::default();
    // The connection is counted until it is dropped with its service.
    let used = OnceLock::new();
    let (handle, seen) = (client.handle().clone(), Arc::clone(&facts));
    let service = service_fn(move |request: Request<Incoming>| {
        used.get_or_init(|| handler.used_connections().map(UsedConnections::begin));
        let (handler, handle, seen) = (Arc::clone(&handler), handle.clone(), Arc::clone(&seen));
        async move { Ok::<_, Infallible>(answer(handler, handle, &seen, request).await) }
    });
    let handle = client.handle();
    let gated = GatedStream::new(stream, handle.clone(), limits.header);
    let mut connection = server::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(gated), service);
    let served = tokio::select! {
        served = &mut connection => Some(served),
        () = handle.closing() => None,
        () = wait_for_stop(&mut stop) => {
            Pin::new(&mut connection).graceful_shutdown();
            tokio::select! {
                served = &mut connection => Some(served),
                () = handle.closing() => None,
            }
        }
    };
    let reset = match &served {
        Some(Err(error)) => error.is_user() && facts.unframed.load(Ordering::Relaxed),
        Some(Ok(())) => false,
        None if handle.is_reading_body() && !handle.is_closing_at_once() => {
            // The reader of the body fails, and its refusal is written.
            let _ = tokio::time::timeout(REFUSAL_TIME, &mut connection).await;
            false
        }
        None => handle.is_unread(),
    };
    let stream = connection.into_parts().io.into_inner().into_inner();
    if reset {
        let _ = stream.set_zero_linger();
    } else if served.is_none_or(|served| served.is_ok())
        && facts.body_unread.load(Ordering::Relaxed)
    {
        tokio::select! {
            () = discard(stream) => {}
            () = tokio::time::sleep(REFUSAL_TIME) => {}
            () = handle.closing_at_once() => {}
        }
    }
}

/// Reads until the client closes the connection. If it were closed with unread bytes, the reset would
/// take the answer from a client that still sends.
async fn discard(mut stream: TcpStream) {
    let mut buffer = [0; DISCARD_BYTES];
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
}

async fn answer<H: HttpHandler>(
    handler: Arc<H>,
    client: ClientHandle,
    facts: &ConnectionFacts,
    request: Request<Incoming>,
) -> hyper::Response<GatedBody> {
    facts.unframed.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
    if client.begin_request(!request.body().is_end_stream()).is_err() {
        // The connection is dropped, and the request is not run.
        std::future::pending::<()>().await;
    }
    let request = request.map(|body| RequestBody::new(body, client.clone()));
    let answer: HttpAnswer = handler.answer(request).await;
    facts.body_unread.store(client.is_reading_body(), Ordering::Relaxed);
    answer.map(|body| GatedBody::new(body, client))
}
