//! Reads and validates callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_ingress::{ByteHold, OverloadedError, ReadRequestError, RequestBody};
use hollowbarrow_schema::{
    ModelName, OrganisationSettings, RouteSettings, Settings, Urgency, keys,
};
use hollowbarrow_upstream::is_hop_header;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request};
use serde_json::Value;
use tokio::time::Instant;

use crate::answer::{CallerError, ErrorCode};

/// Names of the headers that callers may send.
pub mod headers {
    /// The organisation's key, as `Bearer KEY`.
    pub const AUTHORIZATION: &str = "authorization";
    /// `urgent`, `normal` or `batch`.
    pub const PRIORITY: &str = "x-hollowbarrow-priority";
    /// Milliseconds within which the caller needs the answer.
    pub const DEADLINE: &str = "x-hollowbarrow-deadline-ms";
    /// Key that identifies the request across retries.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// `true` if the request must run at most once.
    pub const NOT_REPEATABLE: &str = "x-hollowbarrow-not-repeatable";
    /// Id of the request in logs and traces.
    pub const REQUEST_ID: &str = "x-request-id";
    /// Epoch of the replica that a request is addressed to; sent to upstreams only.
    pub const EPOCH: &str = "x-hollowbarrow-epoch";
    /// W3C trace context.
    pub const TRACE_PARENT: &str = "traceparent";
}

/// Timeout of a completion whose caller sets no deadline.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(300);
/// Longest deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Tokens that a completion is charged when the caller sets no `max_tokens`.
const DEFAULT_TOKENS: u64 = 256;
/// Timeout for receiving a caller's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry-After delay of requests for which there was no memory.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Kind of a request.
#[derive(Clone, Debug)]
pub(crate) enum RequestKind {
    /// A completion of a model.
    Completion {
        /// The requested model.
        model: ModelName,
        /// Whether the answer is to be streamed.
        stream: bool,
        /// The body as JSON.
        body: Value,
        /// Text whose prefix determines the affinity to upstreams.
        prompt: String,
    },
    /// A call of a plain service.
    Plain(RouteSettings),
}

impl RequestKind {
    /// Returns the name of the requested model or service.
    pub(crate) fn service(&self) -> &str {
        match self {
            Self::Completion { model, .. } => model,
            Self::Plain(route) => &route.service,
        }
    }
}

impl RequestKind {
    /// Returns the parts of the prompt that other requests may share, and the last one: each message
    /// of a chat.
    pub(crate) fn prompt_parts(&self) -> Vec<String> {
        match self {
            Self::Completion { body, .. } => {
                let messages = body["messages"].as_array().map(Vec::as_slice).unwrap_or_default();
                messages.iter().map(Value::to_string).collect()
            }
            Self::Plain(_) => Vec::new(),
        }
    }
}

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: String,
    pub(crate) organisation: OrganisationSettings,
    pub(crate) kind: RequestKind,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory of the parsed body, which counts as held until the request ends.
    pub(crate) _parsed: Option<Arc<ByteHold>>,
    pub(crate) urgency: Urgency,
    pub(crate) received: Instant,
    pub(crate) deadline: Instant,
    pub(crate) key: Option<String>,
    pub(crate) not_repeatable: bool,
    pub(crate) cost: f64,
}

/// Finds the organisation whose key a request carries.
///
/// # Errors
///
/// Fails if the key is missing or unknown.
pub(crate) fn authenticate<'a>(
    settings: &'a Settings,
    headers: &HeaderMap,
) -> Result<&'a OrganisationSettings, CallerError> {
    let refuse =
        || CallerError::not_run(ErrorCode::BadKey, "a valid key is required as Bearer token");
    let key = bearer(headers).ok_or_else(refuse)?;
    settings
        .organisations
        .iter()
        .find(|organisation| keys::is_known_key(key, &organisation.keys))
        .ok_or_else(refuse)
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(headers::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Rejects framings that two HTTP parsers could read as different requests.
pub(crate) fn check_framing(headers: &HeaderMap) -> Result<(), CallerError> {
    // The HTTP library drops a content-length beside transfer-encoding, so that combination cannot
    // be distinguished from plain chunked encoding. Callers know the length of their bodies, so
    // chunked encoding is not accepted.
    if headers.contains_key(TRANSFER_ENCODING) {
        let message = "send content-length; chunked bodies are not accepted";
        return Err(CallerError::not_run(ErrorCode::LengthRequired, message));
    }
    if headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        let message = "the request has more than one content-length header";
        return Err(CallerError::not_run(ErrorCode::BadRequest, message));
    }
    Ok(())
}

/// Reads and validates a request.
///
/// # Errors
///
/// Fails with the error to send to the caller.
pub(crate) async fn read_request(
    settings: &Settings,
    id: &str,
    request: Request<RequestBody>,
) -> Result<CallerRequest, CallerError> {
    let (parts, body) = request.into_parts();
    check_framing(&parts.headers)?;
    let organisation = authenticate(settings, &parts.headers)?.clone();
    let path = parts.uri.path();
    let target = parts.uri.path_and_query().map_or(path, |target| target.as_str()).to_owned();
    let completion = matches!(path, "/v1/chat/completions" | "/v1/completions");
    let route = settings.routes.iter().filter(|route| is_below(path, &route.path));
    let route = route.max_by_key(|route| route.path.len()).cloned();
    if !completion && route.is_none() {
        return Err(CallerError::not_run(ErrorCode::NoSuchPath, format!("no such path: {path}")));
    }
    if completion && parts.method != Method::POST {
        return Err(CallerError::not_run(
            ErrorCode::BadRequest,
            "completions must be requested with POST",
        ));
    }
    let received = Instant::now();
    let client = body.client().clone();
    let body = read_body(body, settings.limits.body_bytes).await?;
    let (kind, parsed) = match route {
        Some(route) => (RequestKind::Plain(route), None),
        None => {
            let parsed = client.hold_parsed(&body).await.map_err(overloaded)?;
            (read_completion(&body)?, Some(Arc::new(parsed)))
        }
    };
    let (timeout, urgency, by_route) = match &kind {
        RequestKind::Plain(route) => {
            (Duration::from_millis(route.timeout_ms), route.urgency, route.not_repeatable)
        }
        RequestKind::Completion { .. } => (COMPLETION_TIMEOUT, Urgency::Normal, false),
    };
    let requested = read_deadline(&parts.headers)?;
    let by_header = read_flag(&parts.headers, headers::NOT_REPEATABLE)?;
    let cost = request_cost(&kind);
    Ok(CallerRequest {
        id: id.to_owned(),
        organisation,
        kind,
        method: parts.method.clone(),
        target,
        headers: forwarded_headers(&parts),
        body,
        _parsed: parsed,
        urgency: read_urgency(&parts.headers, urgency)?,
        received,
        deadline: received + requested.unwrap_or(timeout),
        key: read_key(&parts.headers)?,
        // On a route set as not repeatable only safe methods are repeatable. The header can make a
        // request not repeatable, but never repeatable.
        not_repeatable: by_header || (by_route && !parts.method.is_safe()),
        cost,
    })
}

fn is_below(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn overloaded(error: OverloadedError) -> CallerError {
    CallerError::not_run(ErrorCode::Overloaded, error.to_string())
        .with_retry_after(OVERLOAD_RETRY_DELAY)
}

async fn read_body(body: RequestBody, limit: u64) -> Result<Bytes, CallerError> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let refuse = |code, message: &str| CallerError::not_run(code, message);
    match tokio::time::timeout(BODY_TIMEOUT, body.read_within(limit)).await {
        Ok(Ok(body)) => Ok(body),
        Err(_) => Err(refuse(ErrorCode::TooSlow, "the body was not received in time")),
        Ok(Err(error)) => Err(match error {
            ReadRequestError::TooLong(_) => refuse(ErrorCode::TooLarge, &error.to_string()),
            ReadRequestError::Overloaded(error) => overloaded(error),
            ReadRequestError::Truncated(_) => {
                refuse(ErrorCode::BadRequest, "the body was not received completely")
            }
        }),
    }
}

fn read_completion(bytes: &Bytes) -> Result<RequestKind, CallerError> {
    let bad = |field: &str, message: &str| {
        CallerError::not_run(ErrorCode::BadRequest, message).with_field(field)
    };
    let body: Value = serde_json::from_slice(bytes)
        .map_err(|error| bad("(body)", &format!("the body is not JSON: {error}")))?;
    if !body.is_object() {
        return Err(bad("(body)", "the body must be an object"));
    }
    let model = body["model"].as_str().filter(|model| !model.is_empty());
    let model = model.ok_or_else(|| bad("model", "model must be the name of a model"))?.to_owned();
    let stream = match &body["stream"] {
        Value::Null => false,
        Value::Bool(stream) => *stream,
        _ => return Err(bad("stream", "stream must be true or false")),
    };
    if !matches!(&body["max_tokens"], Value::Null) && body["max_tokens"].as_u64().is_none() {
        return Err(bad("max_tokens", "max_tokens must be an integer that is not negative"));
    }
    let prompt = match (&body["messages"], &body["prompt"]) {
        (Value::Array(messages), _) if !messages.is_empty() => body["messages"].to_string(),
        (Value::Null, Value::String(prompt)) => prompt.clone(),
        _ => return Err(bad("messages", "messages or prompt is required")),
    };
    Ok(RequestKind::Completion { model: ModelName(model), stream, body, prompt })
}

fn request_cost(kind: &RequestKind) -> f64 {
    match kind {
        RequestKind::Plain(_) => 1.0,
        RequestKind::Completion { body, .. } => {
            1.0 + body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS) as f64
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let once = values.next().is_none();
    match value.to_str() {
        Ok(text) if once => Ok(Some(text.trim())),
        _ => {
            let message = format!("{name} must be sent once, as visible ASCII text");
            Err(CallerError::not_run(ErrorCode::BadRequest, message).with_field(name))
        }
    }
}

fn read_urgency(headers: &HeaderMap, default: Urgency) -> Result<Urgency, CallerError> {
    let Some(value) = header_text(headers, headers::PRIORITY)? else { return Ok(default) };
    value.parse().map_err(|_| {
        let message = format!("{value:?} is not one of urgent, normal and batch");
        CallerError::not_run(ErrorCode::BadRequest, message).with_field(headers::PRIORITY)
    })
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, CallerError> {
    let Some(value) = header_text(headers, headers::DEADLINE)? else { return Ok(None) };
    match value.parse() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Some(Duration::from_millis(ms))),
        _ => {
            let message = format!("{value:?} is not a number from 1 to {MAX_DEADLINE_MS}");
            Err(CallerError::not_run(ErrorCode::BadRequest, message).with_field(headers::DEADLINE))
        }
    }
}

fn read_flag(headers: &HeaderMap, name: &str) -> Result<bool, CallerError> {
    match header_text(headers, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => {
            let message = format!("{other:?} is neither true nor false");
            Err(CallerError::not_run(ErrorCode::BadRequest, message).with_field(name))
        }
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    let Some(key) = header_text(headers, headers::IDEMPOTENCY_KEY)? else { return Ok(None) };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("the key must have 1 to {MAX_KEY_BYTES} bytes");
        let error = CallerError::not_run(ErrorCode::BadRequest, message);
        return Err(error.with_field(headers::IDEMPOTENCY_KEY));
    }
    Ok(Some(key.to_owned()))
}

/// Returns the headers to forward, without hop-by-hop headers, hollowbarrow's headers and the key.
fn forwarded_headers(parts: &Parts) -> HeaderMap {
    let named_by_connection: Vec<String> = parts
        .headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let dropped = |name: &HeaderName| {
        is_hop_header(name)
            || *name == CONTENT_LENGTH
            || name == "host"
            || name == "expect"
            || name.as_str() == headers::AUTHORIZATION
            || name.as_str() == headers::REQUEST_ID
            || name.as_str() == headers::TRACE_PARENT
            || name.as_str().starts_with("x-hollowbarrow-")
            || named_by_connection.iter().any(|named| named == name.as_str())
    };
    let kept = parts.headers.iter().filter(|(name, _)| !dropped(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}
