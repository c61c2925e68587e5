//! Sends orders and probes to workers.

use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_fleet::{OrderOutcome, OrderTicket};
use hollowbarrow_member::http::{CallError, call_once};
use hollowbarrow_schema::{ServiceName, WorkerId};
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Uri};

use crate::liveness::ProbeOutcome;
use crate::protocol::{ControlProtocol, WorkerMessage};

/// Time limit for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Result of a call to a worker.
pub(crate) enum WorkerEvent {
    Order(ServiceName, OrderTicket, OrderOutcome),
    Probe(WorkerId, ProbeOutcome),
}

/// Sends an order and returns its outcome.
pub(crate) async fn send_order(
    protocol: &dyn ControlProtocol,
    ticket: &OrderTicket,
    fence: u64,
) -> OrderOutcome {
    let message = protocol.write_order(&ticket.worker, &ticket.order, fence);
    let Some(request) = to_request(&ticket.address, message) else { return OrderOutcome::Refused };
    match call_once(&ticket.address, request, ORDER_TIMEOUT).await {
        Ok(answer) => protocol.read_order_answer(answer.status()),
        Err(CallError::NoAnswer) => OrderOutcome::Unknown,
        Err(CallError::Refused | CallError::Unreached | CallError::Address(_)) => {
            OrderOutcome::Unreached
        }
    }
}

/// Probes a worker.
pub(crate) async fn probe_worker(
    protocol: &dyn ControlProtocol,
    worker: &WorkerId,
    address: &str,
) -> ProbeOutcome {
    let message = protocol.write_probe(worker);
    let Some(request) = to_request(address, message) else { return ProbeOutcome::Refused };
    match call_once(address, request, PROBE_TIMEOUT).await {
        Ok(answer) => protocol.read_probe_answer(worker, answer.status(), answer.body()),
        Err(CallError::Refused | CallError::Address(_)) => ProbeOutcome::Refused,
        Err(CallError::Unreached | CallError::NoAnswer) => ProbeOutcome::Silent,
    }
}

/// Builds the request for a message; none if the address is not a valid host.
fn to_request(address: &str, message: WorkerMessage) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(message.body));
    *request.method_mut() = message.method;
    *request.uri_mut() = Uri::from_static(message.path);
    *request.headers_mut() = message.headers;
    request.headers_mut().insert(HOST, HeaderValue::from_str(address).ok()?);
    Some(request)
}
