//! HTTP/1.1 client that sends single requests to upstreams and pools idle connections.
//!
//! Repeatable requests may reuse pooled connections. A request that may run
//! only once always gets a new connection: on a reused one, the upstream may
//! close the connection while the request is being sent, and then it is unknown
//! whether the request ran.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

/// Maximum number of idle connections kept for one upstream.
const IDLE_PER_UPSTREAM: usize = 32;
/// Maximum idle time of a connection if the upstream does not state one.
const IDLE_LIFETIME: Duration = Duration::from_secs(15);
/// Fraction of the upstream's keep-alive timeout during which an idle connection is reused, so that
/// the upstream does not close the connection while a request is being sent.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer body that is read to its end only to keep the connection.
const SHORT_ANSWER_BYTES: usize = 4 << 10;
/// Header that carries the request id in the request and, if the upstream returns it, in the answer.
pub(crate) const REQUEST_HEADER: &str = "x-request-id";
/// Hop-by-hop headers.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header is hop-by-hop and must not be forwarded.
pub fn is_hop_header(name: &HeaderName) -> bool {
    HOP_HEADERS.contains(&name.as_str())
}

/// How far a request got before it failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SendRequestError {
    /// No connection was established; no byte was sent.
    #[error("cannot connect to {0}")]
    Connect(SocketAddr),
    /// The address refused the connection, so no process listens on it.
    #[error("{0} refuses connections")]
    Refused(SocketAddr),
    /// A connection was made but no byte of the request was written to it.
    #[error("the connection was closed before the request was written")]
    NotWritten,
    /// Part of the request may have been written, and no complete answer head was received.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer carries the id of another request, or lacks a required one.
    #[error("the answer is for request {0:?}")]
    OtherRequest(String),
    /// The request cannot be written as HTTP.
    #[error("the request cannot be written: {0}")]
    Unwritable(String),
    /// The deadline passed.
    #[error("no answer in time")]
    Timeout,
}

impl SendRequestError {
    /// Returns whether it is certain that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Refused(_) | Self::NotWritten | Self::Unwritable(_))
    }
}

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Id that the upstream may return in its answer.
    pub request_id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether a pooled connection may be used.
    pub reuse: bool,
}

/// An answer whose head has been received.
#[derive(Debug)]
pub struct SentAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Answer headers.
    pub headers: HeaderMap,
    /// Body that has not been read yet.
    pub body: Incoming,
    /// Returns the connection to the pool after the body has been read to its end.
    pub lease: ConnectionLease,
}

type Sender = SendRequest<Full<Bytes>>;

/// Pooled connection without a request in progress.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
    /// Keep-alive timeout that the upstream stated, if any.
    keep_alive: Option<Duration>,
}

impl IdleConnection {
    /// Returns whether the upstream is not yet expected to close the connection.
    fn is_fresh(&self) -> bool {
        let limit = self.keep_alive.map_or(IDLE_LIFETIME, |kept| kept.mul_f64(KEEP_ALIVE_FRACTION));
        self.since.elapsed() < limit
    }

    fn is_usable(&self) -> bool {
        self.is_fresh() && self.sender.is_ready()
    }
}

#[derive(Debug, Default)]
struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<IdleConnection>>,
}

/// Header that identifies requests to upstreams.
#[derive(Clone, Debug)]
struct RequestIdentity {
    header: HeaderName,
    /// Whether every answer must return the request id.
    required: bool,
}

/// Sends requests and pools idle connections.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    idle: Arc<Mutex<IdleConnections>>,
    identity: RequestIdentity,
    first_connect_timeout: Duration,
    /// Local IP address of connections; none lets the kernel choose.
    source: Option<IpAddr>,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        let header = HeaderName::from_static(REQUEST_HEADER);
        Self {
            idle: Arc::default(),
            identity: RequestIdentity { header, required: false },
            first_connect_timeout: CONNECT_TIMEOUT,
            source: None,
        }
    }
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct ConnectionLease {
    client: UpstreamClient,
    address: SocketAddr,
    sender: Sender,
    reused: bool,
    keep_alive: Option<Duration>,
    max_idle: usize,
}

impl ConnectionLease {
    /// Sets the maximum number of idle connections to the upstream, including this one, that the
    /// pool keeps when this one is returned.
    pub fn with_max_idle(mut self, max_idle: usize) -> Self {
        self.max_idle = max_idle.min(IDLE_PER_UPSTREAM);
        self
    }

    /// Returns whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Reads a short, unneeded answer body to its end in the background, then returns the connection
    /// to the pool. A body that is too long or too slow closes the connection.
    pub fn give_back_after(self, body: Incoming) {
        tokio::spawn(async move {
            let reading = Limited::new(body, SHORT_ANSWER_BYTES).collect();
            if let Ok(Ok(_)) = tokio::time::timeout(CONNECT_TIMEOUT, reading).await {
                self.give_back();
            }
        });
    }

    /// Returns the connection to the pool; the answer's body must have been read to its end.
    pub fn give_back(self) {
        if self.sender.is_closed() {
            return;
        }
        let mut idle = self.client.idle.lock().expect("no holder of the lock panics");
        let kept = idle.by_address.entry(self.address).or_default();
        if kept.len() < self.max_idle {
            let since = Instant::now();
            kept.push(IdleConnection { sender: self.sender, since, keep_alive: self.keep_alive });
        }
    }
}

impl UpstreamClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time after which a first attempt to connect is abandoned and tried once more.
    pub fn with_first_connect_timeout(mut self, timeout: Duration) -> Self {
        self.first_connect_timeout = timeout;
        self
    }

    /// Sets the local IP address of connections.
    pub fn with_source(mut self, source: IpAddr) -> Self {
        self.source = Some(source);
        self
    }

    /// Identifies requests by the given header, which every answer must return.
    pub fn with_identity(mut self, header: HeaderName) -> Self {
        self.identity = RequestIdentity { header, required: true };
        self
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let kept = idle.by_address.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            if connection.is_usable() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Returns the addresses that have a usable idle connection.
    pub fn idle_addresses(&self) -> HashSet<SocketAddr> {
        let idle = self.idle.lock().expect("no holder of the lock panics");
        let usable =
            idle.by_address.iter().filter(|(_, kept)| kept.iter().any(|one| one.is_usable()));
        usable.map(|(address, _)| *address).collect()
    }

    /// Closes idle connections that are too old to be reused or already closed by the upstream.
    pub fn drop_expired(&self) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        for kept in idle.by_address.values_mut() {
            kept.retain(|connection| connection.is_fresh() && !connection.sender.is_closed());
        }
        idle.by_address.retain(|_, kept| !kept.is_empty());
    }

    /// Opens a TCP connection. An attempt that times out is repeated once, because the kernel
    /// retransmits a lost SYN packet only after a second.
    async fn open_stream(&self, address: SocketAddr) -> Result<TcpStream, SendRequestError> {
        let first = self.connect_tcp(address);
        let first = tokio::time::timeout(self.first_connect_timeout, first).await;
        let connected = match first {
            Ok(connected) => connected,
            Err(_) => {
                let second = self.connect_tcp(address);
                let connected = tokio::time::timeout(CONNECT_TIMEOUT, second).await;
                connected.map_err(|_| SendRequestError::Connect(address))?
            }
        };
        connected.map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => SendRequestError::Refused(address),
            _ => SendRequestError::Connect(address),
        })
    }

    async fn connect_tcp(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let Some(source) = self.source else { return TcpStream::connect(address).await };
        let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, SendRequestError> {
        let fail = || SendRequestError::Connect(address);
        let stream = self.open_stream(address).await?;
        stream.set_nodelay(true).map_err(|_| fail())?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| fail())?;
        tokio::spawn(async move {
            // The future of the request returns the error as well.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Takes a pooled connection or opens one, so that the caller can make its last decisions
    /// directly before the request is sent.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established; no byte has been sent then.
    pub async fn prepare(
        &self,
        address: SocketAddr,
        reuse: bool,
    ) -> Result<ConnectionLease, SendRequestError> {
        let kept = if reuse { self.take_idle(address) } else { None };
        let reused = kept.is_some();
        let sender = match kept {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        Ok(ConnectionLease {
            client: self.clone(),
            address,
            sender,
            reused,
            keep_alive: None,
            max_idle: IDLE_PER_UPSTREAM,
        })
    }

    /// Sends a request and waits for the head of its answer until the deadline.
    ///
    /// # Errors
    ///
    /// The error states whether the request may have been sent.
    pub async fn send(
        &self,
        mut lease: ConnectionLease,
        request: &UpstreamRequest,
        deadline: Instant,
    ) -> Result<SentAnswer, SendRequestError> {
        let message = to_message(lease.address, request, &self.identity.header)?;
        let answer = tokio::time::timeout_at(deadline, lease.sender.try_send_request(message));
        match answer.await {
            Err(_) => Err(SendRequestError::Timeout),
            Ok(Ok(response)) => check_identity(response, request, lease, &self.identity),
            Ok(Err(mut error)) => {
                // hyper returns the message only if no part of it was written.
                if error.take_message().is_some() {
                    return Err(SendRequestError::NotWritten);
                }
                Err(SendRequestError::NoAnswer(error.into_error().to_string()))
            }
        }
    }
}

fn to_message(
    address: SocketAddr,
    request: &UpstreamRequest,
    identity: &HeaderName,
) -> Result<Request<Full<Bytes>>, SendRequestError> {
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(&request.target)
        .body(Full::new(request.body.clone()))
        .map_err(|error| SendRequestError::Unwritable(error.to_string()))?;
    let headers = message.headers_mut();
    headers.extend(request.headers.clone());
    let unwritable = |_| SendRequestError::Unwritable("a header".to_owned());
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::try_from(address.to_string()).map_err(unwritable)?);
    }
    let id = HeaderValue::try_from(&request.request_id).map_err(unwritable)?;
    headers.insert(identity.clone(), id);
    Ok(message)
}

fn check_identity(
    response: Response<Incoming>,
    request: &UpstreamRequest,
    mut lease: ConnectionLease,
    identity: &RequestIdentity,
) -> Result<SentAnswer, SendRequestError> {
    let (parts, body) = response.into_parts();
    let named = parts.headers.get(&identity.header);
    let matches = match named {
        Some(named) => named.as_bytes() == request.request_id.as_bytes(),
        None => !identity.required,
    };
    if !matches {
        let named = named.map(|named| String::from_utf8_lossy(named.as_bytes()).into_owned());
        return Err(SendRequestError::OtherRequest(named.unwrap_or_default()));
    }
    lease.keep_alive = read_keep_alive(&parts.headers);
    Ok(SentAnswer { status: parts.status, headers: parts.headers, body, lease })
}

/// Reads the timeout of the `Keep-Alive` header.
fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|part| part.strip_prefix("timeout=")).next()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
