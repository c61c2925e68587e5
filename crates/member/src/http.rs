//! Single HTTP calls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_upstream::{MAX_HEAD_BYTES, MeteredStream, is_final_status};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1 as client;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

/// Largest answer body that [`call_once`] accepts.
const CALL_BYTES: usize = 64 << 10;

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
        if !is_final_status(answer.status()) {
            return Err(CallError::NoAnswer);
        }
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, CALL_BYTES).collect().await;
        let body = body.map_err(|_| CallError::NoAnswer)?.to_bytes();
        Ok(Response::from_parts(parts, body))
    };
    let answer = tokio::time::timeout_at(end, exchange).await;
    driver.abort();
    answer.unwrap_or(Err(CallError::NoAnswer))
}
