//! How workers and operators spell what a controller decides on.

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
    /// A worker goes.
    Remove(WorkerId),
    /// An operator puts a whole configuration in force.
    Replace(String),
    /// An operator reads the newest configuration.
    Fetch,
    /// The configuration cannot be read.
    Unreadable(String),
    /// What was said under a worker's name is not what a worker says.
    InvalidRecord(WorkerId, RecordFault),
    /// No such call.
    Unknown,
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlAnswer {
    /// It was taken.
    Accepted,
    /// The configuration, as it was sent.
    Document(String),
    /// It is not valid, for these reasons.
    Invalid(Vec<String>),
    /// Another daemon answers it.
    Redirect(String),
    /// It cannot be answered now.
    Unavailable(&'static str),
    /// No such call.
    Unknown,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerMessage {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'static str,
    /// Headers; one of them names the worker, so that another one at its address refuses the call.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Translates between the messages of a platform and a controller.
pub trait ControlProtocol: Send + Sync + 'static {
    /// Reads a whole configuration.
    ///
    /// # Errors
    ///
    /// Lists what cannot be read.
    fn read_deployment(&self, text: &str) -> Result<Deployment, Vec<DeploymentFault>>;

    /// Reads a call.
    fn read_call(&self, head: &Parts, body: &[u8]) -> ControlCall;

    /// Status, headers and body of an answer to a call.
    fn write_answer(&self, answer: &ControlAnswer) -> (StatusCode, HeaderMap, Bytes);

    /// Writes an order to a worker; `fence` grows with each leader.
    fn write_order(&self, worker: &WorkerId, order: &WorkerOrder, fence: u64) -> WorkerMessage;

    /// Reads the answer to an order.
    fn read_order_answer(&self, status: StatusCode) -> OrderOutcome;

    /// Asks a worker how it is.
    fn write_probe(&self, worker: &WorkerId) -> WorkerMessage;

    /// Reads the answer to a probe of a worker's life.
    fn read_probe_answer(&self, worker: &WorkerId, status: StatusCode, body: &[u8])
    -> ProbeOutcome;
}
