//! HTTP server with limits per connection, and single HTTP calls.
//!
//! Invariants:
//!
//! - After the stop signal no connection accepts another request, requests in
//!   progress run to completion, and a connection is closed once its last answer
//!   is written.
//! - The connection of a truncated answer is reset where its end in order would
//!   be the end of the answer, as in HTTP/1.0.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use hollowbarrow_upstream::{MAX_HEAD_BYTES, MeteredStream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::overload::ConnectionLimiter;
use crate::used_connections::UsedConnections;

/// Length of the listener's accept queue.
const BACKLOG: u32 = 4096;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 100;
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest answer body that [`call_once`] accepts.
const CALL_BYTES: usize = 64 << 10;

/// An answer that ended before it was complete; its connection is closed.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer was truncated")]
pub struct TruncatedAnswerError;

/// Chunks of an answer's body.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedAnswerError>> + Send>>;

/// Body of an answer.
pub enum AnswerBody {
    /// The complete body; none once it has been sent.
    Complete(Option<Bytes>),
    /// A body sent chunk by chunk; it is complete when the stream ends.
    Chunks(ChunkStream),
}

impl AnswerBody {
    /// Creates a body from bytes that are already available.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedAnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswerError>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(chunks) => {
                let next = chunks.as_mut().poll_next(context);
                next.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Answer to an HTTP request.
pub type HttpAnswer = Response<AnswerBody>;

/// Creates an answer with a status and a text body.
pub fn plain_answer(status: StatusCode, text: impl Into<Bytes>) -> HttpAnswer {
    let mut answer = Response::new(AnswerBody::complete(text));
    *answer.status_mut() = status;
    answer
}

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

    /// Answers one request; the future is dropped if the caller disconnects.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HttpAnswer> + Send;
}

/// Limits on a connection.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
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

/// Serves connections until the stop signal. Those that the handler's limiter does not admit are closed
/// unread.
pub async fn serve_http<H: HttpHandler>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    handler: Arc<H>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let open = match handler.limiter().map(|limiter| limiter.open()) {
            Some(None) => continue,
            Some(open) => open,
            None => None,
        };
        let _ = stream.set_nodelay(true);
        let limits = handler.limits();
        let serving = serve_connection(stream, limits, stop.clone(), Arc::clone(&handler));
        tokio::spawn(async move {
            serving.await;
            drop(open);
        });
    }
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped because the daemon stops.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    limits: HttpLimits,
    mut stop: watch::Receiver<bool>,
    handler: Arc<H>,
) {
    // The connection is counted until it is dropped with its service.
    let used = OnceLock::new();
    // Whether the end of the connection is the end of a streamed answer.
    let unframed = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&unframed);
    let service = service_fn(move |request: Request<Incoming>| {
        used.get_or_init(|| handler.used_connections().map(UsedConnections::begin));
        seen.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.answer(request).await) }
    });
    let mut connection = server::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        served = &mut connection => served,
        () = wait_for_stop(&mut stop) => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let truncated = served.is_err_and(|error| error.is_user());
    if truncated && unframed.load(Ordering::Relaxed) {
        let _ = connection.into_parts().io.into_inner().set_zero_linger();
    }
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The address cannot be parsed.
    #[error("{0:?} is not an IP address and port")]
    Address(String),
    /// The connection was refused; the request was not processed.
    #[error("the connection was refused")]
    Refused,
    /// No connection was established; the request was not processed.
    #[error("no connection could be established")]
    Unreached,
    /// The request was sent, but no complete answer was received.
    #[error("no complete answer was received")]
    NoAnswer,
}

/// Sends one request on a new connection and returns the answer.
///
/// # Errors
///
/// The error states whether the request may have been processed.
pub async fn call_once(
    address: &str,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response<Bytes>, CallError> {
    let target: SocketAddr = address.parse().map_err(|_| CallError::Address(address.to_owned()))?;
    let end = tokio::time::Instant::now() + limit;
    let connecting = tokio::time::timeout_at(end, TcpStream::connect(target));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(CallError::Refused);
        }
        _ => return Err(CallError::Unreached),
    };
    let _ = stream.set_nodelay(true);
    let stream = TokioIo::new(MeteredStream::new(stream));
    let mut builder = client::Builder::new();
    let handshake = builder.max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
    let (mut sender, connection) = handshake.map_err(|_| CallError::Unreached)?;
    let driver = tokio::spawn(async move {
        // `send_request` returns the error as well.
        let _ = connection.await;
    });
    let exchange = async {
        let answer = sender.send_request(request).await.map_err(|_| CallError::NoAnswer)?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, CALL_BYTES).collect().await;
        let body = body.map_err(|_| CallError::NoAnswer)?.to_bytes();
        Ok(Response::from_parts(parts, body))
    };
    let answer = tokio::time::timeout_at(end, exchange).await;
    driver.abort();
    answer.unwrap_or(Err(CallError::NoAnswer))
}
