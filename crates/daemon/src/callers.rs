//! Answers callers.
//!
//! Each request
//! runs in a separate task: if its caller disconnects, a repeatable request is
//! cancelled with its upstream, and a non-repeatable one runs to completion so
//! that its outcome is recorded.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hollowbarrow_ingress::{
    AnswerBody, HttpAnswer, HttpHandler, HttpLimits, RequestBody, UsedConnections,
};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::answer::{CallerError, CallerLink, ErrorCode};
use crate::caller_request::{authenticate, headers, read_request};
use crate::core::DaemonCore;
use crate::dispatch::run_request;
use crate::telemetry::HopSpan;

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Longest request id that is accepted from a caller.
const MAX_ID_BYTES: usize = 128;

/// Answers callers' requests.
pub(crate) struct CallerHandler(pub(crate) Arc<DaemonCore>);

impl HttpHandler for CallerHandler {
    fn limits(&self) -> HttpLimits {
        let header = Duration::from_millis(self.0.settings.limits.header_ms);
        HttpLimits { head_bytes: MAX_HEAD_BYTES, header, idle: header }
    }

    fn used_connections(&self) -> Option<&UsedConnections> {
        Some(&self.0.used_connections)
    }

    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> HttpAnswer {
        answer_caller(Arc::clone(&self.0), request).await
    }
}

async fn answer_caller(core: Arc<DaemonCore>, request: Request<RequestBody>) -> HttpAnswer {
    let id = request_id(&request);
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/ready") => return ready_answer(&core),
        (&Method::GET, "/v1/models") => return list_models(&core, &request, &id),
        _ => {}
    }
    let span = core.telemetry.start_ingress_span(&request, &id);
    let checked = match read_request(&core.settings, &id, request).await {
        Ok(checked) => checked,
        Err(error) => {
            core.telemetry.record_refused(&id, &error);
            return error.to_answer(&id);
        }
    };
    let (link, mut receiver) = CallerLink::new();
    core.in_flight.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(run_counted(Arc::clone(&core), checked, link, span));
    receiver.recv().await.unwrap_or_else(|| {
        // The task ended without an answer, which only a bug can cause.
        let error = CallerError::not_run(
            ErrorCode::UpstreamFailed,
            "the request's task ended without an answer",
        );
        error.with_ran(hollowbarrow_schema::ErrorRan::Unknown).to_answer(&id)
    })
}

async fn run_counted(
    core: Arc<DaemonCore>,
    request: crate::caller_request::CallerRequest,
    link: CallerLink,
    span: HopSpan,
) {
    let _guard = InFlightGuard(Arc::clone(&core));
    run_request(core, request, link, span).await;
}

struct InFlightGuard(Arc<DaemonCore>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the request id from the caller if it is valid, otherwise a random one.
fn request_id(request: &Request<RequestBody>) -> String {
    let supplied = request.headers().get(headers::REQUEST_ID).and_then(|id| id.to_str().ok());
    let usable = |id: &&str| {
        (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
    };
    supplied
        .filter(usable)
        .map_or_else(|| format!("{:032x}", rand::random::<u128>()), str::to_owned)
}

fn ready_answer(core: &DaemonCore) -> HttpAnswer {
    let ready = core.ready.load(Ordering::Relaxed);
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let body = if ready { "ready\n" } else { "not ready\n" };
    Response::builder()
        .status(status)
        .body(AnswerBody::complete(body))
        .expect("the headers are valid")
}

fn list_models(core: &DaemonCore, request: &Request<RequestBody>, id: &str) -> HttpAnswer {
    if let Err(error) = authenticate(&core.settings, request.headers()) {
        return error.to_answer(id);
    }
    let routes = core.routes();
    let models: Vec<_> = routes
        .models()
        .map(|model| json!({"id": **model, "object": "model", "owned_by": "hollowbarrow"}))
        .collect();
    let body = json!({"object": "list", "data": models}).to_string();
    Response::builder()
        .header("content-type", "application/json")
        .header("x-request-id", id)
        .body(AnswerBody::complete(body))
        .expect("the headers are valid")
}
