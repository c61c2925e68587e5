//! An HTTP caller that records the reply to each call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::RETRY_AFTER;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Reply to a call, as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct CallReply {
    /// HTTP status, 0 if no response was received.
    pub status: u16,
    /// Value of `Retry-After` in seconds, if the response has one.
    pub retry_after: Option<u64>,
    /// Body, as far as it was received.
    pub body: String,
    /// Whether the body was received up to the end that its framing marks.
    pub complete: bool,
    /// Whether the connection was established.
    pub connected: bool,
    /// Time from the start of the call to the first chunk of the body.
    pub first_byte: Option<Duration>,
    /// Arrival time of each chunk of the body.
    pub chunk_times: Vec<Instant>,
    /// Time from the start of the call to its end.
    pub total: Duration,
}

impl CallReply {
    /// Returns `not_run`, `ran` or `unknown` for an error, an empty text for other replies.
    pub fn ran(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the stable code of an error, an empty text for other replies.
    pub fn code(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the token texts of a streamed response, and whether `[DONE]` was received.
    pub fn tokens(&self) -> (Vec<String>, bool) {
        let mut tokens = Vec::new();
        let mut done = false;
        for line in self.body.lines() {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                tokens.push(text.to_owned());
            }
        }
        (tokens, done)
    }
}

/// An HTTP call that can be sent to a daemon.
#[derive(Clone, Debug)]
pub struct CallerCall {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    timeout: Duration,
}

impl CallerCall {
    /// Creates a call that is authenticated by a caller's key.
    pub fn new(method: Method, path: &str, key: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: vec![("authorization".to_owned(), format!("Bearer {key}"))],
            body: String::new(),
            timeout: Duration::from_secs(30),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: &str) -> Self {
        self.body = body.to_owned();
        self
    }

    /// Sets the time after which the caller gives up.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends the call on a new connection.
    pub async fn send(&self, address: SocketAddr) -> CallReply {
        let started = Instant::now();
        let mut reply = CallReply::default();
        let _ =
            tokio::time::timeout(self.timeout, self.exchange(address, started, &mut reply)).await;
        reply.total = started.elapsed();
        reply
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        started: Instant,
        reply: &mut CallReply,
    ) -> Option<()> {
        let stream = TcpStream::connect(address).await.ok()?;
        reply.connected = true;
        stream.set_nodelay(true).ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = AbortOnDrop(tokio::spawn(async move {
            let _ = connection.await;
        }));
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", address.to_string());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(self.body.clone()))).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        reply.status = answer.status().as_u16();
        let retry_after = answer.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
        reply.retry_after = retry_after.and_then(|seconds| seconds.parse().ok());
        let mut body = answer.into_body();
        let mut bytes = Vec::new();
        loop {
            match body.frame().await {
                None => {
                    reply.complete = true;
                    break;
                }
                Some(Err(_)) => break,
                Some(Ok(frame)) => {
                    let now = Instant::now();
                    reply.first_byte.get_or_insert(now - started);
                    reply.chunk_times.push(now);
                    bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
                    // Updated for each chunk, so that the reply of a call that times out has the
                    // body so far.
                    reply.body = String::from_utf8_lossy(&bytes).into_owned();
                }
            }
        }
        drop(driver);
        Some(())
    }
}

struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
