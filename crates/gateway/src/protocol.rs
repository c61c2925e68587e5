//! How callers and workers spell what a gateway decides on.
//!
//! A gateway knows no header and no path of its own: whoever runs it brings a
//! [`CallerProtocol`], which only translates and keeps no state.

use std::time::Duration;

use hollowbarrow_fleet::{Deployment, DeploymentFault};
use hollowbarrow_schema::{ModelName, WorkerId};
use hollowbarrow_upstream::UpstreamNotice;
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode, header::HeaderName};
use thiserror::Error;

/// What a request says of itself before its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Identity, which workers repeat in their answers.
    pub id: String,
    /// Host that it names, with or without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Path and query, as they came.
    pub target: String,
    /// Model that it asks for.
    pub model: Option<ModelName>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Most tokens of its answer.
    pub answer_tokens: u32,
    /// How long its caller waits.
    pub deadline: Option<Duration>,
    /// Key of its organisation.
    pub key: Option<String>,
}

/// Why a request cannot be served whatever the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadFault {
    /// It has no host, several or one that is no name.
    #[error("the host is missing, doubled or not valid")]
    Host,
    /// It has no identity.
    #[error("the identity is missing or not valid")]
    Identity,
    /// A header holds something that it must not.
    #[error("a header is not valid")]
    Header,
}

/// What a gateway adds to a request that it sends on.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts<'a> {
    /// The worker that it is meant for.
    pub worker: &'a WorkerId,
    /// Name of the organisation, if the route needs one.
    pub organisation: Option<&'a str>,
    /// Time that is left for the answer.
    pub remaining: Duration,
    /// Number of the last event that the caller has, where a stream is taken up again.
    pub resume_after: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
}

/// What the head of a worker's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Whether the worker vouches for the answer.
    pub signed: bool,
    /// Whether the worker states that it did not run the request.
    pub not_run: bool,
    /// Whether another worker has the address now.
    pub misdirected: bool,
    /// What the worker says of requests to come.
    pub notice: UpstreamNotice,
}

/// Translates between the messages of a platform and a gateway.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Reads a whole configuration.
    ///
    /// # Errors
    ///
    /// Lists what cannot be read.
    fn read_deployment(&self, text: &str) -> Result<Deployment, Vec<DeploymentFault>>;

    /// Header by which requests are named to workers and answers name their request.
    fn identity_header(&self) -> HeaderName;

    /// Whether a request asks if this daemon is ready.
    fn is_readiness_check(&self, head: &Parts) -> bool;

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Says why the request cannot be served.
    fn read_head(&self, head: &Parts) -> Result<CallerHead, HeadFault>;

    /// Headers of a request as they go to a worker.
    fn upstream_headers(&self, caller: &HeaderMap, facts: &SendFacts<'_>) -> HeaderMap;

    /// Reads the head of a worker's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;
}
