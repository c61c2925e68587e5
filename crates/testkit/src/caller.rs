//! A caller that notes exactly what it was told.

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

/// What a caller was told.
#[derive(Clone, Debug, Default)]
pub struct CallReply {
    /// Status, 0 where no answer came.
    pub status: u16,
    /// Whole seconds after which the caller is told to come back, if it is.
    pub retry_after: Option<u64>,
    /// Body, as far as it came.
    pub body: String,
    /// Whether the answer's framing says that it is whole.
    pub complete: bool,
    /// Whether the request's connection was made at all.
    pub connected: bool,
    /// Time until the first byte of the body.
    pub first_byte: Option<Duration>,
    /// Arrival of each piece of the body.
    pub chunk_times: Vec<Instant>,
    /// Time until the end.
    pub total: Duration,
}

impl CallReply {
    /// `not_run`, `ran` or `unknown` of an error; empty for others.
    pub fn ran(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Stable code of an error; empty for others.
    pub fn code(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Texts of the tokens of a streamed answer, and whether its end mark came.
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

/// One call to make.
#[derive(Clone, Debug)]
pub struct CallerCall {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    timeout: Duration,
}

impl CallerCall {
    /// Creates a call with a caller's key.
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

    /// Sets how long the caller waits.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Makes the call on a connection of its own.
    pub async fn send(&self, address: SocketAddr) -> CallReply {
        let begun = Instant::now();
        let mut reply = CallReply::default();
        let _ = tokio::time::timeout(self.timeout, self.exchange(address, begun, &mut reply)).await;
        reply.total = begun.elapsed();
        reply
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        begun: Instant,
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
        let pause = answer.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
        reply.retry_after = pause.and_then(|seconds| seconds.parse().ok());
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
                    reply.first_byte.get_or_insert(now - begun);
                    reply.chunk_times.push(now);
                    bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
                    // Kept up to date, so that a caller that gives up knows what it had.
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
