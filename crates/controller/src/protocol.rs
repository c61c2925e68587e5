//! Translation between a platform's messages and a controller's calls, answers and orders.

use bytes::Bytes;
use hollowbarrow_fleet::{Deployment, DeploymentFault, OrderOutcome, WorkerOrder};
use hollowbarrow_schema::{WorkerId, WorkerReport};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};

use crate::liveness::ProbeOutcome;
use crate::records::RecordFault;

/// A call of a worker or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// A worker registers, or renews its registration.
    Report(Box<WorkerReport>),
    /// A worker deregisters.
    Remove(WorkerId),
    /// An operator replaces the configuration.
    Replace(String),
    /// An operator reads the newest configuration.
    Fetch,
    /// A configuration that is not valid text, with the reason.
    Unreadable(String),
    /// A record under a worker's name that no worker would send.
    InvalidRecord(WorkerId, RecordFault),
    /// The call does not exist.
    Unknown,
}

/// What the head of a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A call under a worker's name.
    Record,
    /// An operator replaces the configuration.
    Replace,
    /// An operator reads the newest configuration.
    Fetch,
    /// The call does not exist.
    Unknown,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlAnswer {
    /// The call was accepted.
    Accepted,
    /// The configuration, as the operator sent it.
    Document(String),
    /// The call is not valid, for these reasons.
    Invalid(Vec<String>),
    /// Another daemon answers the call; holds its URL.
    Redirect(String),
    /// The call cannot be answered now, for this reason.
    Unavailable(&'static str),
    /// The call does not exist.
    Unknown,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerMessage {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'static str,
    /// Headers; one of them names the worker, so that another worker at its address refuses the call.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Translates between the messages of a platform and a controller.
pub trait ControlProtocol: Send + Sync + 'static {
    /// Parses a full configuration.
    ///
    /// # Errors
    ///
    /// Lists all faults of the text.
    fn read_deployment(&self, text: &str) -> Result<Deployment, Vec<DeploymentFault>>;

    /// Returns what the head of a call asks for, before its body is read.
    fn call_kind(&self, head: &Parts) -> CallKind;

    /// Parses a call.
    fn read_call(&self, head: &Parts, body: &[u8]) -> ControlCall;

    /// Returns status, headers and body of the answer to a call.
    fn write_answer(&self, answer: &ControlAnswer) -> (StatusCode, HeaderMap, Bytes);

    /// Encodes an order to a worker; `fence` grows with each leader, so that a worker can refuse the
    /// orders of former ones.
    fn write_order(&self, worker: &WorkerId, order: &WorkerOrder, fence: u64) -> WorkerMessage;

    /// Interprets the answer to an order.
    fn read_order_answer(&self, status: StatusCode) -> OrderOutcome;

    /// Encodes a probe of a worker.
    fn write_probe(&self, worker: &WorkerId) -> WorkerMessage;

    /// Interprets the answer to a probe of a worker.
    fn read_probe_answer(&self, worker: &WorkerId, status: StatusCode, body: &[u8])
    -> ProbeOutcome;
}
