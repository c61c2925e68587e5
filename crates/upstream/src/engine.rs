//! Health probes of engines and orders to them.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_schema::{FencedOrder, NodeReport, OrderRefusal};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use thiserror::Error;
use tokio::time::Instant;

use crate::call::UpstreamCall;
use crate::client::{SendRequestError, UpstreamClient, UpstreamRequest};

/// Path of the health probe.
const REPORT_TARGET: &str = "/hollowbarrow/v1/report";
/// Path that orders are posted to.
const ORDER_TARGET: &str = "/hollowbarrow/v1/order";
/// Maximum size of a report or refusal.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Why a probe returned no report.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProbeNodeError {
    /// The node did not answer.
    #[error("the node did not answer: {0}")]
    NoAnswer(#[from] SendRequestError),
    /// The answer has another status than 200 or cannot be parsed as a report.
    #[error("the node's answer is not a valid report")]
    NotReport,
}

/// Why an order was not accepted, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SendOrderError {
    /// The node refused the order because it holds a conflicting epoch or owner.
    #[error("the node holds epoch {} of owner {}", *.0.epoch, .0.owner)]
    Fenced(OrderRefusal),
    /// The node refused the order for another reason.
    #[error("the node refused the order with status {0}")]
    Refused(u16),
    /// The node did not answer; the order may have been accepted.
    #[error("the node did not answer: {0}")]
    NoAnswer(#[from] SendRequestError),
}

/// A future that an engine client returns.
pub type EngineFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Control interface of an engine: health and orders.
pub trait EngineClient: Send + Sync {
    /// Requests a node's report.
    fn probe(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> EngineFuture<'_, Result<NodeReport, ProbeNodeError>>;

    /// Sends an order to a node.
    fn order<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a FencedOrder,
        timeout: Duration,
    ) -> EngineFuture<'a, Result<(), SendOrderError>>;
}

/// Client for engines that implement the protocol of `docs/upstream-protocol.md`.
#[derive(Clone, Debug, Default)]
pub struct HttpEngine {
    client: UpstreamClient,
}

impl HttpEngine {
    /// Creates a client for engines.
    pub fn new() -> Self {
        Self::default()
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: UpstreamRequest,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), SendRequestError> {
        let deadline = Instant::now() + timeout;
        let exchange = async {
            let lease = self.client.prepare(address, request.reuse).await?;
            let answer = self.client.send(lease, &request, deadline).await?;
            let body = answer.body.read_within(MAX_REPORT_BYTES).await;
            let body = body.map_err(|error| SendRequestError::NoAnswer(error.to_string()))?;
            answer.lease.give_back();
            Ok((answer.status, body))
        };
        tokio::time::timeout_at(deadline, exchange).await.map_err(|_| SendRequestError::Timeout)?
    }
}

/// Returns the call that requests a node's report.
pub fn report_call() -> UpstreamCall {
    UpstreamCall { method: Method::GET, target: REPORT_TARGET, headers: HeaderMap::new() }
}

/// Parses the answer to a request for a node's report.
///
/// # Errors
///
/// Fails if the answer has another status than 200 or is not a report.
pub fn parse_report(status: StatusCode, body: &[u8]) -> Result<NodeReport, ProbeNodeError> {
    if status != StatusCode::OK {
        return Err(ProbeNodeError::NotReport);
    }
    serde_json::from_slice(body).map_err(|_| ProbeNodeError::NotReport)
}

fn plain_request(method: Method, target: &str, body: Bytes) -> UpstreamRequest {
    let mut headers = HeaderMap::new();
    if !body.is_empty() {
        headers.insert("content-type", HeaderValue::from_static("application/json"));
    }
    UpstreamRequest {
        request_id: "control".to_owned(),
        method,
        target: target.to_owned(),
        headers,
        body,
        reuse: true,
    }
}

impl EngineClient for HttpEngine {
    fn probe(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> EngineFuture<'_, Result<NodeReport, ProbeNodeError>> {
        Box::pin(async move {
            let request = plain_request(Method::GET, REPORT_TARGET, Bytes::new());
            let (status, body) = self.call(address, request, timeout).await?;
            parse_report(status, &body)
        })
    }

    fn order<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a FencedOrder,
        timeout: Duration,
    ) -> EngineFuture<'a, Result<(), SendOrderError>> {
        Box::pin(async move {
            let body = serde_json::to_vec(order).unwrap_or_default();
            let request = plain_request(Method::POST, ORDER_TARGET, Bytes::from(body));
            let (status, body) = self.call(address, request, timeout).await?;
            match status {
                StatusCode::OK | StatusCode::ACCEPTED => Ok(()),
                StatusCode::CONFLICT => match serde_json::from_slice(&body) {
                    Ok(refusal) => Err(SendOrderError::Fenced(refusal)),
                    Err(_) => Err(SendOrderError::Refused(status.as_u16())),
                },
                _ => Err(SendOrderError::Refused(status.as_u16())),
            }
        })
    }
}
