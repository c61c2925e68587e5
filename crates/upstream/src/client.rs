//! HTTP/1.1 client that sends single requests to upstreams and pools idle connections.
//!
//! Repeatable requests may reuse pooled connections. A request that may run
//! only once always gets a new connection: on a reused one, the upstream may
//! close the connection while the request is being sent, and then it is unknown
//! whether the request ran.

use std::collections::{HashMap, HashSet};
use std::fmt::Debug;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use crate::answer_budget::AnswerBudget;
use crate::body::UpstreamBody;
use crate::meter::{AnswerMeter, MAX_HEAD_BYTES, MeteredStream};

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

/// Returns whether a status may end the exchange of a request without `Upgrade` (RFC 9110, section
/// 15). Interim answers come before the one with this status.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
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
    /// Part of the request may have been written, and the connection broke at the daemon that
    /// carries it.
    #[error("no answer: the connection broke at the daemon that carries it")]
    CarrierLost,
    /// The answer carries the id of another request, or lacks a required one.
    #[error("the answer is for request {0:?}")]
    OtherRequest(String),
    /// The answer has a status that no request without `Upgrade` may get.
    #[error("the answer has the invalid status {0}")]
    InvalidStatus(u16),
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
    pub body: UpstreamBody,
    /// Whether a length, chunks or the absence of a body show where the answer ends. The end of its
    /// connection is the end of any other answer, also where the upstream terminates within it.
    pub framed: bool,
    /// Returns the connection to the pool after the body has been read to its end.
    pub lease: ConnectionLease,
}

type Sender = SendRequest<Full<Bytes>>;

/// Health of a path to an upstream that another daemon carries.
pub trait CarrierHealth: Debug + Send + Sync {
    /// Returns whether the path broke at the carrier, so that nothing is known about how the
    /// upstream's side ended.
    fn is_lost(&self) -> bool;

    /// Returns whether the carrier has announced that it is stopping.
    fn is_leaving(&self) -> bool;

    /// Returns the name of the carrier.
    fn name(&self) -> &str;
}

/// The path of a connection: `None` for one of this process's own, else the health of its carrier.
type Carrier = Option<Arc<dyn CarrierHealth>>;

/// Pooled connection without a request in progress.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    meter: Arc<AnswerMeter>,
    carrier: Carrier,
    since: Instant,
    /// Keep-alive timeout that the upstream stated, if any.
    keep_alive: Option<Duration>,
    /// Whether the upstream has answered on it.
    answered: bool,
}

impl IdleConnection {
    /// Returns whether the upstream is not yet expected to close the connection.
    fn is_fresh(&self) -> bool {
        let limit = self.keep_alive.map_or(IDLE_LIFETIME, |kept| kept.mul_f64(KEEP_ALIVE_FRACTION));
        self.since.elapsed() < limit
    }

    fn is_usable(&self) -> bool {
        self.is_fresh() && self.sender.is_ready() && !is_leaving(&self.carrier)
    }
}

fn is_leaving(carrier: &Carrier) -> bool {
    carrier.as_ref().is_some_and(|carrier| carrier.is_leaving())
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
    budget: AnswerBudget,
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
            budget: AnswerBudget::default(),
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
    meter: Arc<AnswerMeter>,
    carrier: Carrier,
    reused: bool,
    keep_alive: Option<Duration>,
    max_idle: usize,
    /// Whether the upstream has answered on it.
    answered: bool,
    /// Whether the answer on it ends with the connection.
    ends: bool,
}

impl ConnectionLease {
    /// Sets the maximum number of idle connections to the upstream, including this one, that the
    /// pool keeps when this one is returned.
    pub fn with_max_idle(mut self, max_idle: usize) -> Self {
        self.max_idle = max_idle.min(IDLE_PER_UPSTREAM);
        self
    }

    /// Returns whether the connection is open, as far as is known.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns whether the upstream has answered on the connection, so that its process has accepted it.
    pub fn has_answered(&self) -> bool {
        self.answered
    }

    /// Returns whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the name of the daemon that carries the connection; none if it is this process's own.
    pub fn carrier(&self) -> Option<&str> {
        self.carrier.as_ref().map(|carrier| carrier.name())
    }

    /// Returns whether the connection broke at the daemon that carries it.
    pub fn is_carrier_lost(&self) -> bool {
        self.carrier.as_ref().is_some_and(|carrier| carrier.is_lost())
    }

    /// Returns the address of the upstream.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message and waits for the head of its answer until the deadline.
    pub(crate) async fn exchange(
        &mut self,
        message: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendRequestError> {
        self.meter.reset();
        let answer = tokio::time::timeout_at(deadline, self.sender.try_send_request(message));
        match answer.await {
            Err(_) => Err(SendRequestError::Timeout),
            Ok(Ok(response)) if is_final_status(response.status()) => Ok(response),
            Ok(Ok(response)) => Err(SendRequestError::InvalidStatus(response.status().as_u16())),
            Ok(Err(mut error)) => {
                // hyper returns the message only if no part of it was written.
                if error.take_message().is_some() {
                    return Err(SendRequestError::NotWritten);
                }
                if self.is_carrier_lost() {
                    return Err(SendRequestError::CarrierLost);
                }
                Err(SendRequestError::NoAnswer(error.into_error().to_string()))
            }
        }
    }

    /// Records what the head of an answer states about the connection. Returns whether the answer is
    /// framed.
    pub(crate) fn record_head(&mut self, headers: &HeaderMap, body: &Incoming) -> bool {
        self.keep_alive = read_keep_alive(headers);
        self.answered = true;
        let framed = is_framed(headers, body);
        self.ends = !framed;
        framed
    }

    /// Returns the body of the answer on this connection, bounded in memory.
    pub(crate) fn bound_body(&self, body: Incoming) -> UpstreamBody {
        UpstreamBody::new(body, Arc::clone(&self.meter), self.client.budget.begin())
    }

    /// Reads a short, unneeded answer body to its end in the background, then returns the connection
    /// to the pool. A body that is too long or too slow closes the connection.
    pub fn give_back_after(self, body: UpstreamBody) {
        tokio::spawn(async move {
            let reading = body.read_within(SHORT_ANSWER_BYTES);
            if let Ok(Ok(_)) = tokio::time::timeout(CONNECT_TIMEOUT, reading).await {
                self.give_back();
            }
        });
    }

    /// Returns the connection to the pool; the answer's body must have been read to its end.
    pub fn give_back(self) {
        if self.ends || self.sender.is_closed() || is_leaving(&self.carrier) {
            return;
        }
        let mut idle = self.client.idle.lock().expect("no holder of the lock panics");
        let kept = idle.by_address.entry(self.address).or_default();
        if kept.len() < self.max_idle {
            let since = Instant::now();
            let Self { sender, meter, carrier, keep_alive, answered, .. } = self;
            kept.push(IdleConnection { sender, meter, carrier, since, keep_alive, answered });
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

    /// Sets the memory for answers that are read at the same time.
    pub fn with_answer_budget(mut self, budget: AnswerBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Identifies requests by the given header, which every answer must return.
    pub fn with_identity(mut self, header: HeaderName) -> Self {
        self.identity = RequestIdentity { header, required: true };
        self
    }

    /// Takes an idle connection, either one of this process's own or one that is carried.
    fn take_idle(&self, address: SocketAddr, carried: bool) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let kept = idle.by_address.get_mut(&address)?;
        while let Some(index) = kept.iter().rposition(|one| one.carrier.is_some() == carried) {
            let connection = kept.remove(index);
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Takes an idle connection that another daemon carries, if there is one.
    pub fn take_carried(&self, address: SocketAddr) -> Option<ConnectionLease> {
        self.take_idle(address, true).map(|kept| self.lease_kept(address, kept))
    }

    /// Takes one of this process's own idle connections, if there is one.
    pub fn take_kept(&self, address: SocketAddr) -> Option<ConnectionLease> {
        self.take_idle(address, false).map(|kept| self.lease_kept(address, kept))
    }

    /// Closes all idle connections that other daemons carry.
    pub fn drop_carried(&self) {
        self.retain_idle(|_, connection| connection.carrier.is_none());
    }

    /// Closes the idle connections that one daemon carries.
    pub fn drop_carried_by(&self, name: &str) {
        let by_it = |carrier: &Carrier| carrier.as_ref().is_some_and(|one| one.name() == name);
        self.retain_idle(|_, connection| !by_it(&connection.carrier));
    }

    /// Closes this process's own idle connections to one address.
    pub fn drop_kept_at(&self, address: SocketAddr) {
        self.retain_idle(|at, connection| *at != address || connection.carrier.is_some());
    }

    /// Closes all of this process's own idle connections.
    pub fn drop_kept(&self) {
        self.retain_idle(|_, connection| connection.carrier.is_some());
    }

    fn retain_idle(&self, keeps: impl Fn(&SocketAddr, &IdleConnection) -> bool) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        for (address, kept) in &mut idle.by_address {
            kept.retain(|connection| keeps(address, connection));
        }
        idle.by_address.retain(|_, kept| !kept.is_empty());
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
        self.retain_idle(|_, connection| {
            let open = !connection.sender.is_closed() && !is_leaving(&connection.carrier);
            open && connection.is_fresh()
        });
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

    /// Opens a connection of this process's own.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established.
    pub async fn connect(&self, address: SocketAddr) -> Result<ConnectionLease, SendRequestError> {
        let stream = self.open_stream(address).await?;
        stream.set_nodelay(true).map_err(|_| SendRequestError::Connect(address))?;
        self.start_connection(address, stream, None).await
    }

    /// Uses a byte stream to an upstream that another daemon carries as a connection.
    ///
    /// # Errors
    ///
    /// Fails if the stream cannot be used.
    pub async fn adopt(
        &self,
        address: SocketAddr,
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        health: Arc<dyn CarrierHealth>,
    ) -> Result<ConnectionLease, SendRequestError> {
        self.start_connection(address, stream, Some(health)).await
    }

    async fn start_connection(
        &self,
        address: SocketAddr,
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        carrier: Carrier,
    ) -> Result<ConnectionLease, SendRequestError> {
        let meter = Arc::<AnswerMeter>::default();
        let stream = MeteredStream::with_meter(stream, Arc::clone(&meter));
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SendRequestError::Connect(address))?;
        tokio::spawn(async move {
            // The future of the request returns the error as well.
            let _ = connection.await;
        });
        Ok(self.lease(address, sender, meter, carrier))
    }

    fn lease(
        &self,
        address: SocketAddr,
        sender: Sender,
        meter: Arc<AnswerMeter>,
        carrier: Carrier,
    ) -> ConnectionLease {
        ConnectionLease {
            client: self.clone(),
            address,
            sender,
            meter,
            carrier,
            reused: false,
            keep_alive: None,
            max_idle: IDLE_PER_UPSTREAM,
            answered: false,
            ends: false,
        }
    }

    fn lease_kept(&self, address: SocketAddr, kept: IdleConnection) -> ConnectionLease {
        let IdleConnection { sender, meter, carrier, answered, .. } = kept;
        ConnectionLease { reused: true, answered, ..self.lease(address, sender, meter, carrier) }
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
        let kept = if reuse { self.take_kept(address) } else { None };
        match kept {
            Some(lease) => Ok(lease),
            None => self.connect(address).await,
        }
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
        let response = lease.exchange(message, deadline).await?;
        check_identity(response, request, lease, &self.identity)
    }

    /// Returns the header that carries the id of a request.
    pub(crate) fn identity_header(&self) -> &HeaderName {
        &self.identity.header
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
    let framed = lease.record_head(&parts.headers, &body);
    let body = lease.bound_body(body);
    Ok(SentAnswer { status: parts.status, headers: parts.headers, body, framed, lease })
}

fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    if body.is_end_stream() {
        return true;
    }
    // A transfer encoding takes the place of a length.
    match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
        Some(encodings) => ends_with_chunks(encodings),
        None => headers.contains_key(CONTENT_LENGTH),
    }
}

/// Returns whether the last one of these transfer encodings is `chunked`.
fn ends_with_chunks(encodings: &HeaderValue) -> bool {
    let last = encodings.to_str().ok().and_then(|text| text.rsplit(',').next());
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

/// Reads the timeout of the `Keep-Alive` header.
fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|part| part.strip_prefix("timeout=")).next()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
