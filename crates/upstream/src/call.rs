//! Calls to upstreams that run no request.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::time::Instant;

use crate::client::{ConnectionLease, SendRequestError, UpstreamClient};

/// Largest body of an answer to a call.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// A call to an upstream that runs no request, and therefore has no id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: &'static str,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Complete body, as far as the answer's framing tells.
    pub body: Bytes,
}

impl UpstreamClient {
    /// Makes a call on a connection, and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the call was not answered before the deadline. An answer with the id of a request
    /// belongs to an earlier request on the connection.
    pub async fn call(
        &self,
        mut lease: ConnectionLease,
        call: &UpstreamCall,
        deadline: Instant,
    ) -> Result<CallAnswer, SendRequestError> {
        let message = to_message(&lease, call)?;
        let (parts, body) = lease.exchange(message, deadline).await?.into_parts();
        if let Some(id) = parts.headers.get(self.identity_header()) {
            let id = String::from_utf8_lossy(id.as_bytes()).into_owned();
            return Err(SendRequestError::OtherRequest(id));
        }
        lease.record_head(&parts.headers, &body);
        let reading = lease.bound_body(body).read_within(MAX_ANSWER_BYTES);
        let body = tokio::time::timeout_at(deadline, reading).await;
        let body = body.map_err(|_| SendRequestError::Timeout)?;
        let body = body.map_err(|error| SendRequestError::NoAnswer(error.to_string()))?;
        lease.give_back();
        Ok(CallAnswer { status: parts.status, body })
    }
}

fn to_message(
    lease: &ConnectionLease,
    call: &UpstreamCall,
) -> Result<Request<Full<Bytes>>, SendRequestError> {
    let unwritable = |text: String| SendRequestError::Unwritable(text);
    let mut message = Request::builder()
        .method(call.method.clone())
        .uri(call.target)
        .body(Full::new(Bytes::new()))
        .map_err(|error| unwritable(error.to_string()))?;
    *message.headers_mut() = call.headers.clone();
    let host = HeaderValue::try_from(lease.address().to_string());
    message.headers_mut().insert(HOST, host.map_err(|error| unwritable(error.to_string()))?);
    Ok(message)
}
