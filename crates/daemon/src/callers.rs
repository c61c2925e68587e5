//! Accepts callers' connections.
//!
//! Each connection has limits on its headers, bodies and idle time. Each request
//! runs in a separate task: if its caller disconnects, a repeatable request is
//! cancelled with its upstream, and a non-repeatable one runs to completion so
//! that its outcome is recorded.

use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

use crate::answer::{AnswerBody, CallerAnswer, CallerError, CallerLink, ErrorCode};
use crate::caller_request::{authenticate, headers, read_request};
use crate::core::DaemonCore;
use crate::dispatch::run_request;
use crate::telemetry::HopSpan;

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest number of headers of a request.
const MAX_HEADERS: usize = 100;
/// Longest request id that is accepted from a caller.
const MAX_ID_BYTES: usize = 128;
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until shutdown, then lets open connections finish.
pub(crate) async fn serve_callers(
    core: Arc<DaemonCore>,
    listener: std::net::TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let slots = Arc::new(Semaphore::new(core.settings.limits.connections as usize));
    loop {
        let slot = tokio::select! {
            slot = Arc::clone(&slots).acquire_owned() => slot,
            () = wait_for_stop(&mut stop) => return,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let core = Arc::clone(&core);
        let stop = stop.clone();
        tokio::spawn(async move {
            serve_connection(core, stream, stop).await;
            drop(slot);
        });
    }
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped with the daemon, which also requires a stop.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection(
    core: Arc<DaemonCore>,
    stream: tokio::net::TcpStream,
    mut stop: watch::Receiver<bool>,
) {
    let header_time = Duration::from_millis(core.settings.limits.header_ms);
    // The connection is counted until it is dropped with its service.
    let used = OnceLock::new();
    let service = service_fn(move |request| {
        used.get_or_init(|| UsedConnection::new(&core));
        let core = Arc::clone(&core);
        async move { Ok::<_, Infallible>(answer_caller(core, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_time)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn answer_caller(core: Arc<DaemonCore>, request: Request<Incoming>) -> CallerAnswer {
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

/// Counts a connection on which a request was read, until it is closed.
struct UsedConnection(Arc<DaemonCore>);

impl UsedConnection {
    fn new(core: &Arc<DaemonCore>) -> Self {
        core.used_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(core))
    }
}

impl Drop for UsedConnection {
    fn drop(&mut self) {
        self.0.used_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

struct InFlightGuard(Arc<DaemonCore>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the request id from the caller if it is valid, otherwise a random one.
fn request_id(request: &Request<Incoming>) -> String {
    let supplied = request.headers().get(headers::REQUEST_ID).and_then(|id| id.to_str().ok());
    let usable = |id: &&str| {
        (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
    };
    supplied
        .filter(usable)
        .map_or_else(|| format!("{:032x}", rand::random::<u128>()), str::to_owned)
}

fn ready_answer(core: &DaemonCore) -> CallerAnswer {
    let ready = core.ready.load(Ordering::Relaxed);
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let body = if ready { "ready\n" } else { "not ready\n" };
    Response::builder()
        .status(status)
        .body(AnswerBody::complete(body))
        .expect("the headers are valid")
}

fn list_models(core: &DaemonCore, request: &Request<Incoming>, id: &str) -> CallerAnswer {
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
