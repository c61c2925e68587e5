//! Sends one request to one upstream.
//!
//! Idle connections are kept for repeatable requests. A request that may run
//! only once always gets a fresh connection: on a reused one, a close by the
//! other end can cross with the request, and nobody could tell if it ran.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
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
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Most idle connections kept for one upstream.
const IDLE_PER_UPSTREAM: usize = 32;
/// How long a connection may stay idle.
const IDLE_LIFETIME: Duration = Duration::from_secs(15);
/// Part of the time for which an upstream keeps idle connections that is used, so that its close
/// does not cross with a request.
const USED_IDLE: f64 = 0.7;
/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is read only to keep its connection.
const SHORT_ANSWER_BYTES: usize = 4 << 10;
/// Header by which an upstream repeats the identity of the request that it answers.
pub(crate) const REQUEST_HEADER: &str = "x-request-id";
/// Headers that are about one connection only.
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

/// Whether a header is about one connection and must not be passed on.
pub fn is_hop_header(name: &HeaderName) -> bool {
    HOP_HEADERS.contains(&name.as_str())
}

/// How far a request got before it failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SendRequestError {
    /// No connection was made; no byte left.
    #[error("cannot connect to {0}")]
    Connect(SocketAddr),
    /// A connection was made but no byte of the request was written to it.
    #[error("the connection was closed before the request was written")]
    NotWritten,
    /// Some of the request may have been written, and no whole answer head came.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer names another request.
    #[error("the answer is for request {0:?}")]
    OtherRequest(String),
    /// The request cannot be written as HTTP.
    #[error("the request cannot be written: {0}")]
    Unwritable(String),
    /// The time limit passed.
    #[error("no answer in time")]
    Timeout,
}

impl SendRequestError {
    /// Whether it is certain that no byte of the request left.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotWritten | Self::Unwritable(_))
    }
}

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Identity that the upstream repeats in its answer, if it can.
    pub request_id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without those about one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether a kept connection may be used.
    pub reuse: bool,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct SentAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, still to be read.
    pub body: Incoming,
    /// Gives the connection back once the body has been read whole.
    pub lease: ConnectionLease,
}

type Sender = SendRequest<Full<Bytes>>;

/// A connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
    /// How long the upstream said that it keeps idle connections, if it did.
    kept_for: Option<Duration>,
}

impl IdleConnection {
    /// Whether it is young enough for the upstream not to close it at any moment.
    fn is_young(&self) -> bool {
        let limit = self.kept_for.map_or(IDLE_LIFETIME, |kept| kept.mul_f64(USED_IDLE));
        self.since.elapsed() < limit
    }

    fn is_usable(&self) -> bool {
        self.is_young() && self.sender.is_ready()
    }
}

#[derive(Debug, Default)]
struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<IdleConnection>>,
}

/// How requests name themselves to upstreams.
#[derive(Clone, Debug)]
struct RequestIdentity {
    header: HeaderName,
    /// Whether every answer must repeat the name.
    required: bool,
}

/// Sends requests and keeps idle connections.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    idle: Arc<Mutex<IdleConnections>>,
    identity: RequestIdentity,
    first_connect: Duration,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        let header = HeaderName::from_static(REQUEST_HEADER);
        Self {
            idle: Arc::default(),
            identity: RequestIdentity { header, required: false },
            first_connect: CONNECT_TIMEOUT,
        }
    }
}

/// A connection in use.
#[derive(Debug)]
pub struct ConnectionLease {
    client: UpstreamClient,
    address: SocketAddr,
    sender: Sender,
    reused: bool,
    kept_for: Option<Duration>,
    most_idle: usize,
}

impl ConnectionLease {
    /// Sets how many idle connections to the upstream there may be once this one is given back.
    pub fn with_max_idle(mut self, most_idle: usize) -> Self {
        self.most_idle = most_idle.min(IDLE_PER_UPSTREAM);
        self
    }

    /// Whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Keeps the connection once a short answer that nobody needs has been read to its end.
    pub fn give_back_after(self, body: Incoming) {
        tokio::spawn(async move {
            let reading = Limited::new(body, SHORT_ANSWER_BYTES).collect();
            if let Ok(Ok(_)) = tokio::time::timeout(CONNECT_TIMEOUT, reading).await {
                self.give_back();
            }
        });
    }

    /// Keeps the connection for another request; the answer's body was read whole.
    pub fn give_back(self) {
        if self.sender.is_closed() {
            return;
        }
        let mut idle = self.client.idle.lock().expect("no holder of the lock panics");
        let kept = idle.by_address.entry(self.address).or_default();
        if kept.len() < self.most_idle {
            let since = Instant::now();
            kept.push(IdleConnection { sender: self.sender, since, kept_for: self.kept_for });
        }
    }
}

impl UpstreamClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets after what time a connection that does not come up is tried a second time.
    pub fn with_first_connect_timeout(mut self, limit: Duration) -> Self {
        self.first_connect = limit;
        self
    }

    /// Names requests by another header, which every answer must repeat.
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

    /// Addresses to which a request can go now without a new connection.
    pub fn idle_addresses(&self) -> HashSet<SocketAddr> {
        let idle = self.idle.lock().expect("no holder of the lock panics");
        let usable =
            idle.by_address.iter().filter(|(_, kept)| kept.iter().any(|one| one.is_usable()));
        usable.map(|(address, _)| *address).collect()
    }

    /// Drops the idle connections that are too old to be used, and closes them.
    pub fn drop_expired(&self) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        for kept in idle.by_address.values_mut() {
            kept.retain(|connection| connection.is_young() && !connection.sender.is_closed());
        }
        idle.by_address.retain(|_, kept| !kept.is_empty());
    }

    /// Opens a connection; one whose opening packet may have been lost is tried once more, since
    /// the kernel would send that packet again only after a second.
    async fn open_stream(&self, address: SocketAddr) -> Option<TcpStream> {
        let first = tokio::time::timeout(self.first_connect, TcpStream::connect(address)).await;
        match first {
            Ok(connected) => connected.ok(),
            Err(_) => {
                let second = TcpStream::connect(address);
                tokio::time::timeout(CONNECT_TIMEOUT, second).await.ok()?.ok()
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, SendRequestError> {
        let fail = || SendRequestError::Connect(address);
        let stream = self.open_stream(address).await.ok_or_else(fail)?;
        stream.set_nodelay(true).map_err(|_| fail())?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| fail())?;
        tokio::spawn(async move {
            // The request's own future reports what went wrong.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Makes sure of a connection, so that what follows can be decided just before sending.
    ///
    /// # Errors
    ///
    /// Fails where no connection can be made; no byte has left then.
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
            kept_for: None,
            most_idle: IDLE_PER_UPSTREAM,
        })
    }

    /// Sends a request and waits for the head of its answer until the deadline.
    ///
    /// # Errors
    ///
    /// Says how far the request got.
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
                // The message comes back only where none of it was written.
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
    lease.kept_for = read_keep_alive(&parts.headers);
    Ok(SentAnswer { status: parts.status, headers: parts.headers, body, lease })
}

/// How long an upstream says that it keeps idle connections.
fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|part| part.strip_prefix("timeout=")).next()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
