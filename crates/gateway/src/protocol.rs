//! Interface to the wire format of callers and workers.
//!
//! A gateway defines no header and no path itself. Its user supplies a
//! [`CallerProtocol`], which only translates messages and keeps no state.

use std::time::Duration;

use hollowbarrow_fleet::{Deployment, DeploymentFault};
use hollowbarrow_reach::InstanceReply;
use hollowbarrow_schema::{ModelName, WorkerId};
use hollowbarrow_upstream::{UpstreamCall, UpstreamNotice};
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode, header::HeaderName};
use thiserror::Error;

/// Contents of a request's head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Identity of the request, which workers repeat in their answers.
    pub id: String,
    /// Requested host, with or without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Path and query, unchanged.
    pub target: String,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Names of the parts of the prompt in order; the last part is the request's own.
    pub prompt_parts: Vec<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens of the answer.
    pub answer_tokens: u32,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Key of the organisation.
    pub key: Option<String>,
}

/// Why the head of a request is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadFault {
    /// The request has no host, several hosts or an invalid host.
    #[error("the host is missing, repeated or not valid")]
    Host,
    /// The request has no valid identity.
    #[error("the identity is missing or not valid")]
    Identity,
    /// A header is repeated or has an invalid value.
    #[error("a header is not valid")]
    Header,
}

/// What a gateway adds to a request that it sends to a worker.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts<'a> {
    /// Worker that the request is meant for.
    pub worker: &'a WorkerId,
    /// Name of the organisation, if the route needs one.
    pub organisation: Option<&'a str>,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Number of the last event that the caller has, if a stream is resumed.
    pub resume_after: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Contents of the head of a worker's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Whether the worker has signed the answer.
    pub signed: bool,
    /// Whether the worker states that it did not run the request.
    pub not_run: bool,
    /// Whether another worker now has the address.
    pub misdirected: bool,
    /// The worker's notices: its limit, a backoff, or that it leaves.
    pub notice: UpstreamNotice,
}

/// Translates between a gateway and the messages of a platform.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Parses a complete configuration.
    ///
    /// # Errors
    ///
    /// Fails with the list of faults.
    fn read_deployment(&self, text: &str) -> Result<Deployment, Vec<DeploymentFault>>;

    /// Returns the header that carries a request's identity to workers and back in answers.
    fn identity_header(&self) -> HeaderName;

    /// Returns whether a request is a readiness check.
    fn is_readiness_check(&self, head: &Parts) -> bool;

    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the head is not valid.
    fn read_head(&self, head: &Parts) -> Result<CallerHead, HeadFault>;

    /// Returns the headers with which a request is sent to a worker.
    fn upstream_headers(&self, caller: &HeaderMap, facts: &SendFacts<'_>) -> HeaderMap;

    /// Parses the head of a worker's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Encodes a call that runs nothing at a worker and is answered with its identity.
    fn write_probe(&self, worker: &WorkerId) -> UpstreamCall;

    /// Returns which instance of a worker answered such a call.
    fn read_probe_answer(
        &self,
        worker: &WorkerId,
        status: StatusCode,
        body: &[u8],
    ) -> InstanceReply;
}
