//! Serves HTTP with limits, and makes single calls.
//!
//! Invariant: once told to stop, no connection takes a further request, and
//! those under way end by themselves.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4096;
/// Most headers of a request.
const MAX_HEADERS: usize = 100;
/// Pause after a failed accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest answer that a call takes.
const CALL_BYTES: usize = 64 << 10;

/// An answer that ended before it was whole; its connection is cut.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
pub struct TruncatedAnswerError;

/// Pieces of an answer.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedAnswerError>> + Send>>;

/// Body of an answer.
pub enum AnswerBody {
    /// Everything is there.
    Complete(Option<Bytes>),
    /// Pieces come one after the other; the answer is whole when they end.
    Chunks(ChunkStream),
}

impl AnswerBody {
    /// A body that is there already.
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
            Self::Chunks(pieces) => {
                let next = pieces.as_mut().poll_next(context);
                next.map(|piece| piece.map(|piece| piece.map(Frame::data)))
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

/// An answer.
pub type HttpAnswer = Response<AnswerBody>;

/// A plain answer of a status and a text.
pub fn plain_answer(status: StatusCode, text: impl Into<Bytes>) -> HttpAnswer {
    let mut answer = Response::new(AnswerBody::complete(text));
    *answer.status_mut() = status;
    answer
}

/// Answers requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Bounds on a connection that is accepted now.
    fn limits(&self) -> HttpLimits;

    /// Answers one request; the future is dropped where the caller goes away.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HttpAnswer> + Send;
}

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Longest time until the head of the next request has come.
    pub idle: Duration,
}

/// Binds an address with a queue long enough for a burst of connections.
///
/// # Errors
///
/// Fails where the address cannot be listened on.
pub fn bind_http(address: &str) -> std::io::Result<TcpListener> {
    let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidInput);
    let address: SocketAddr = address.parse().map_err(|_| invalid())?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves connections until told to stop.
pub async fn serve_http<H: HttpHandler>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    handler: Arc<H>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = told_to_stop(&mut stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let limits = handler.limits();
        tokio::spawn(serve_connection(stream, limits, stop.clone(), Arc::clone(&handler)));
    }
}

async fn told_to_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the daemon is gone, which is as good as being told.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    limits: HttpLimits,
    mut stop: watch::Receiver<bool>,
    handler: Arc<H>,
) {
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.answer(request).await) }
    });
    let connection = server::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = told_to_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Why a call got no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The address is none.
    #[error("{0:?} is no address")]
    Address(String),
    /// Nobody accepts connections there; the call was not taken.
    #[error("the connection was refused")]
    Refused,
    /// No connection came up in time; the call was not taken.
    #[error("no connection came up")]
    Unreached,
    /// The call was sent, and no whole answer came.
    #[error("no answer came")]
    NoAnswer,
}

/// Makes one call on a connection of its own.
///
/// # Errors
///
/// Says whether the call may have been taken.
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
    let (mut sender, connection) =
        client::handshake(TokioIo::new(stream)).await.map_err(|_| CallError::Unreached)?;
    let driver = tokio::spawn(async move {
        // The call's own future reports what went wrong.
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
