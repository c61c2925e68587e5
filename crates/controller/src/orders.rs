//! Carries orders and probes to workers.

use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_fleet::{OrderOutcome, OrderTicket};
use hollowbarrow_member::http::{CallError, call_once};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};

use crate::liveness::ProbeOutcome;
use crate::protocol::ControlProtocol;

/// Longest time for an order to be answered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time for a probe to be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Type of the body of an order.
const JSON: &str = "application/json";

/// Gives an order and says what came of it.
pub(crate) async fn give_order(
    protocol: &dyn ControlProtocol,
    ticket: &OrderTicket,
    fence: u64,
) -> OrderOutcome {
    let message = protocol.write_order(&ticket.order, fence);
    let request = Request::builder()
        .method(Method::POST)
        .uri(message.path)
        .header(HOST, &ticket.address)
        .header(CONTENT_TYPE, JSON)
        .body(Full::new(message.body));
    let Ok(request) = request else { return OrderOutcome::Refused };
    match call_once(&ticket.address, request, ORDER_TIMEOUT).await {
        Ok(answer) => protocol.read_order_answer(answer.status()),
        Err(CallError::NoAnswer) => OrderOutcome::Unknown,
        Err(CallError::Refused | CallError::Unreached | CallError::Address(_)) => {
            OrderOutcome::Unreached
        }
    }
}

/// Asks a worker how it is.
pub(crate) async fn probe_worker(protocol: &dyn ControlProtocol, address: &str) -> ProbeOutcome {
    let request = Request::builder()
        .uri(protocol.probe_path())
        .header(HOST, address)
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return ProbeOutcome::Refused };
    match call_once(address, request, PROBE_TIMEOUT).await {
        Ok(_) => ProbeOutcome::Answered,
        Err(CallError::Refused | CallError::Address(_)) => ProbeOutcome::Refused,
        Err(CallError::Unreached | CallError::NoAnswer) => ProbeOutcome::Silent,
    }
}
