//! A stand-in upstream that writes its answers byte by byte, and whose process can end within one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::AbortHandle;

/// Largest request that is read.
const MAX_REQUEST_BYTES: usize = 64 << 10;
/// Bytes that are written at once where they have no end.
const ENDLESS_BLOCK_BYTES: usize = 16 << 10;
/// Pause between two looks at whether the process stands still.
const STILL_POLL: Duration = Duration::from_millis(5);

/// A request to a raw upstream.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// Path and query.
    pub target: String,
    /// Lower-case names and values of the headers.
    headers: Vec<(String, String)>,
}

impl RawRequest {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|(header, _)| header == name);
        header.map_or("", |(_, value)| value)
    }

    fn parse(head: &str) -> Self {
        let mut lines = head.split("\r\n");
        let target = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        Self { target: target.to_owned(), headers: headers.collect() }
    }
}

/// What a raw upstream does after the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnd {
    /// It keeps the connection for the next request.
    Keep,
    /// It sends nothing more on the connection, and keeps it open.
    Hold,
    /// It closes the connection in order.
    Close,
    /// It closes its listener after this time, sends the rest of the answer after the same time again,
    /// and closes the connection in order.
    CloseWithoutListener(Duration),
    /// It closes the connection in order, and the process ends after a time.
    CloseAndExit(Duration),
    /// It closes the connection in order, and the process stands still from then on.
    CloseAndStandStill,
    /// It sends these bytes over and over again, with a pause after each time or as fast as they are
    /// taken, until the connection is closed.
    Endless(&'static str, Option<Duration>),
}

/// An answer of a raw upstream.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// The bytes that are sent, head included.
    pub bytes: Vec<u8>,
    /// What follows them.
    pub end: RawEnd,
    /// The rest of the bytes, if it is sent later.
    pub rest: Vec<u8>,
}

impl RawAnswer {
    /// Creates an answer with a length.
    pub fn framed(head: &str, body: &str) -> Self {
        let length = body.len();
        let text = format!("HTTP/1.1 {head}content-length: {length}\r\n\r\n{body}");
        Self { bytes: text.into_bytes(), end: RawEnd::Keep, rest: Vec::new() }
    }

    /// Creates an answer with neither a length nor chunks.
    pub fn unframed(head: &str, body: &str, end: RawEnd) -> Self {
        let mut bytes = format!("HTTP/1.1 {head}\r\n{body}").into_bytes();
        let later = matches!(end, RawEnd::CloseWithoutListener(_));
        let rest = if later { bytes.split_off(bytes.len() - body.len() / 2) } else { Vec::new() };
        Self { bytes, end, rest }
    }
}

/// Answers the requests of one process.
pub type RawHandler = Arc<dyn Fn(&RawRequest) -> RawAnswer + Send + Sync>;

/// The connections of a process, and whether it stands still.
#[derive(Default)]
struct RawProcess {
    connections: Mutex<Vec<AbortHandle>>,
    stands_still: AtomicBool,
    /// Connections on which bytes are sent without end.
    endless: AtomicUsize,
    accepting: Mutex<Option<AbortHandle>>,
}

impl RawProcess {
    fn close_connections(&self) {
        let connections = std::mem::take(&mut *self.connections.lock().expect("not poisoned"));
        connections.iter().for_each(AbortHandle::abort);
    }

    fn close_listener(&self) {
        if let Some(accepting) = self.accepting.lock().expect("not poisoned").take() {
            accepting.abort();
        }
    }
}

/// A running raw upstream.
pub struct RawUpstream {
    address: SocketAddr,
    process: Arc<RawProcess>,
    handler: Arc<Mutex<RawHandler>>,
}

impl RawUpstream {
    /// Starts an upstream at an address; port 0 stands for a free one.
    pub fn start(address: SocketAddr, handler: RawHandler) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket can be created");
        socket.set_reuseaddr(true).expect("the option can be set");
        socket.bind(address).expect("the address is free");
        let listener = socket.listen(128).expect("the socket can listen");
        let address = listener.local_addr().expect("the listener is bound");
        let process = Arc::new(RawProcess::default());
        let handler = Arc::new(Mutex::new(handler));
        let accepting = accept(listener, Arc::clone(&process), Arc::clone(&handler));
        let accepting = tokio::spawn(accepting).abort_handle();
        *process.accepting.lock().expect("not poisoned") = Some(accepting);
        Self { address, process, handler }
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns on how many connections bytes are sent without end.
    pub fn endless_connections(&self) -> usize {
        self.process.endless.load(Ordering::Relaxed)
    }

    /// Ends the process: its listener and its connections are closed.
    pub fn terminate(&self) {
        self.process.close_listener();
        self.process.close_connections();
    }

    /// Ends the process. Its listener, which accepts nothing any more, is closed last.
    pub async fn terminate_listener_last(&self, delay: Duration) {
        self.process.stands_still.store(true, Ordering::Relaxed);
        self.process.close_connections();
        tokio::time::sleep(delay).await;
        self.terminate();
    }

    /// Refuses new connections from now on, and serves the open ones.
    pub fn close_listener(&self) {
        self.process.close_listener();
    }

    /// Ends the process, while another one already listens at its address.
    pub fn replace(&self, handler: RawHandler) {
        *self.handler.lock().expect("not poisoned") = handler;
        self.process.close_connections();
    }
}

async fn accept(listener: TcpListener, process: Arc<RawProcess>, handler: Arc<Mutex<RawHandler>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let handler = Arc::clone(&handler.lock().expect("not poisoned"));
        let serving = tokio::spawn(serve(stream, Arc::clone(&process), handler)).abort_handle();
        process.connections.lock().expect("not poisoned").push(serving);
    }
}

async fn serve(mut stream: TcpStream, process: Arc<RawProcess>, handler: RawHandler) {
    let _ = stream.set_nodelay(true);
    while let Some(request) = read_request(&mut stream).await {
        while process.stands_still.load(Ordering::Relaxed) {
            tokio::time::sleep(STILL_POLL).await;
        }
        let answer = handler(&request);
        if stream.write_all(&answer.bytes).await.is_err() {
            return;
        }
        match answer.end {
            RawEnd::Keep => {}
            RawEnd::Hold => std::future::pending().await,
            RawEnd::Close => return,
            RawEnd::CloseWithoutListener(pause) => {
                tokio::time::sleep(pause).await;
                process.close_listener();
                tokio::time::sleep(pause).await;
                let _ = stream.write_all(&answer.rest).await;
                return;
            }
            RawEnd::CloseAndStandStill => {
                process.stands_still.store(true, Ordering::Relaxed);
                return;
            }
            RawEnd::Endless(unit, pause) => {
                process.endless.fetch_add(1, Ordering::Relaxed);
                send_endless(&mut stream, unit, pause).await;
                process.endless.fetch_sub(1, Ordering::Relaxed);
                return;
            }
            RawEnd::CloseAndExit(after) => {
                drop(stream);
                tokio::time::sleep(after).await;
                process.close_listener();
                process.close_connections();
                return;
            }
        }
    }
}

/// Sends bytes over and over again until the connection is closed.
async fn send_endless(stream: &mut TcpStream, unit: &str, pause: Option<Duration>) {
    let block = match pause {
        Some(_) => unit.as_bytes().to_vec(),
        None => unit.as_bytes().repeat(ENDLESS_BLOCK_BYTES / unit.len()),
    };
    while stream.write_all(&block).await.is_ok() {
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Reads a request; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<RawRequest> {
    let mut bytes = Vec::new();
    while bytes.len() < MAX_REQUEST_BYTES {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let request = RawRequest::parse(head);
        let length: usize = request.header("content-length").parse().unwrap_or_default();
        if body.len() >= length {
            return Some(request);
        }
    }
    None
}
