//! Answers to callers: complete and streamed bodies, and errors in the JSON format of engines.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::poll_fn;
use hollowbarrow_ingress::{AnswerBody, HttpAnswer, TruncatedAnswerError};
use hollowbarrow_schema::{ErrorAnswer, ErrorBody, ErrorRan};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

/// Chunks of an answer that may be buffered for a slow caller.
const BODY_CHANNEL_CAPACITY: usize = 32;

/// Sends the chunks of a streamed answer.
pub(crate) type ChunkSender = mpsc::Sender<Result<Bytes, TruncatedAnswerError>>;

/// Returns the sender of a streamed body's chunks, and the body; it is complete when the sender is dropped.
fn chunked_body() -> (ChunkSender, AnswerBody) {
    let (sender, mut receiver) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    let chunks = poll_fn(move |context| receiver.poll_recv(context));
    (sender, AnswerBody::Chunks(Box::pin(chunks)))
}

/// Connection to a caller: carries its one answer and, if that is streamed, the chunks.
#[derive(Debug)]
pub(crate) struct CallerLink {
    answer: mpsc::Sender<HttpAnswer>,
    answer_sent: AtomicBool,
    chunks: OnceLock<ChunkSender>,
}

impl CallerLink {
    /// Creates a link and the receiver of its answer.
    pub(crate) fn new() -> (Self, mpsc::Receiver<HttpAnswer>) {
        let (answer, receiver) = mpsc::channel(1);
        (Self { answer, answer_sent: AtomicBool::new(false), chunks: OnceLock::new() }, receiver)
    }

    /// Sends the answer, unless one was sent before.
    pub(crate) fn send_answer(&self, answer: HttpAnswer) {
        if !self.answer_sent.swap(true, Ordering::Relaxed) {
            let _ = self.answer.try_send(answer);
        }
    }

    /// Sends the head of a streamed answer, whose chunks follow.
    pub(crate) fn start(&self, head: hyper::http::response::Builder) {
        let (sender, body) = chunked_body();
        if self.chunks.set(sender).is_ok() {
            self.send_answer(head.body(body).expect("the headers are valid"));
        }
    }

    /// Returns the sender of chunks once a streamed answer has started.
    pub(crate) fn chunks(&self) -> Option<&ChunkSender> {
        self.chunks.get()
    }

    /// Waits until the caller disconnects before its answer is complete.
    pub(crate) async fn disconnected(&self) {
        self.answer.closed().await;
        match self.chunks.get() {
            Some(chunks) => chunks.closed().await,
            None if self.answer_sent.load(Ordering::Relaxed) => std::future::pending().await,
            None => {}
        }
    }
}

macro_rules! error_codes {
    ($($(#[doc = $doc:literal])* $code:ident = $status:expr, $name:literal, $kind:literal;)+) => {
        /// Stable error codes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum ErrorCode { $($(#[doc = $doc])* $code,)+ }

        /// Returns name, HTTP status and meaning of each error that callers can receive.
        pub fn error_catalogue() -> Vec<(&'static str, u16, String)> {
            vec![$({
                let (status, name, _) = ErrorCode::$code.details();
                (name, status.as_u16(), [$($doc),*].concat().trim().to_owned())
            }),+]
        }

        impl ErrorCode {
            /// Returns status, stable name and type of the code.
            fn details(self) -> (StatusCode, &'static str, &'static str) {
                match self { $(Self::$code => ($status, $name, $kind),)+ }
            }
        }
    };
}

error_codes! {
    /// The request has no key, or an unknown one.
    BadKey = StatusCode::UNAUTHORIZED, "bad_key", "authentication_error";
    /// The request is malformed or not supported by the API.
    BadRequest = StatusCode::BAD_REQUEST, "bad_request", "invalid_request_error";
    /// The request has no content-length; chunked bodies are not accepted.
    LengthRequired = StatusCode::LENGTH_REQUIRED, "length_required", "invalid_request_error";
    /// The body is larger than the limit.
    TooLarge = StatusCode::PAYLOAD_TOO_LARGE, "too_large", "invalid_request_error";
    /// There is no memory for the request beside others.
    Overloaded = StatusCode::SERVICE_UNAVAILABLE, "overloaded", "server_error";
    /// The body was not received in time.
    TooSlow = StatusCode::REQUEST_TIMEOUT, "too_slow", "invalid_request_error";
    /// The path does not exist.
    NoSuchPath = StatusCode::NOT_FOUND, "no_such_path", "invalid_request_error";
    /// No group or endpoint serves the model.
    NoSuchModel = StatusCode::NOT_FOUND, "model_not_found", "invalid_request_error";
    /// Upstreams exist but none accepts requests now.
    NoUpstream = StatusCode::SERVICE_UNAVAILABLE, "no_upstream", "server_error";
    /// Several upstreams crashed, one after the other, while they ran this request.
    CrashesUpstreams = StatusCode::SERVICE_UNAVAILABLE, "ends_upstreams", "server_error";
    /// A duplicate of this request is in progress and has not made progress yet.
    DuplicateInFlight = StatusCode::SERVICE_UNAVAILABLE, "copy_under_way", "server_error";
    /// The organisation's limit is used up.
    LimitReached = StatusCode::TOO_MANY_REQUESTS, "limit_reached", "rate_limit_error";
    /// The queue of the request's class is full.
    QueueFull = StatusCode::SERVICE_UNAVAILABLE, "queue_full", "server_error";
    /// The deadline passed.
    DeadlinePassed = StatusCode::GATEWAY_TIMEOUT, "deadline_passed", "server_error";
    /// The upstream failed, and trying again was not safe or did not help.
    UpstreamFailed = StatusCode::BAD_GATEWAY, "upstream_failed", "server_error";
    /// The claims log is unavailable, so running the request only once cannot be guaranteed.
    ClaimsUnavailable = StatusCode::SERVICE_UNAVAILABLE, "claims_unavailable", "server_error";
    /// The first request with this key is still running.
    InProgress = StatusCode::CONFLICT, "in_progress", "conflict_error";
    /// The first request with this key may have run; its answer is not known.
    OutcomeUnknown = StatusCode::CONFLICT, "outcome_unknown", "conflict_error";
    /// The first request with this key ran; its answer was too large to keep.
    AnswerNotKept = StatusCode::CONFLICT, "answer_not_kept", "conflict_error";
    /// The key was used for another request.
    KeyReused = StatusCode::UNPROCESSABLE_ENTITY, "key_reused", "invalid_request_error";
}

/// An error that is sent to a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerError {
    pub(crate) code: ErrorCode,
    pub(crate) ran: ErrorRan,
    pub(crate) message: String,
    pub(crate) field: Option<String>,
    pub(crate) retry_after: Option<Duration>,
}

impl CallerError {
    /// Creates an error of a request that was not run.
    pub(crate) fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: ErrorRan::NotRun,
            message: message.into(),
            field: None,
            retry_after: None,
        }
    }

    pub(crate) fn with_ran(mut self, ran: ErrorRan) -> Self {
        self.ran = ran;
        self
    }

    pub(crate) fn with_field(mut self, field: &str) -> Self {
        self.field = Some(field.to_owned());
        self
    }

    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the stable name of the code.
    pub(crate) fn name(&self) -> &'static str {
        self.code.details().1
    }

    /// Returns the error as JSON.
    pub(crate) fn to_json(&self, request_id: &str) -> Vec<u8> {
        let (_, code, kind) = self.code.details();
        let answer = ErrorAnswer {
            error: ErrorBody {
                message: self.message.clone(),
                type_: kind.to_owned(),
                code: code.to_owned(),
                param: self.field.clone(),
                ran: self.ran,
                request_id: Some(request_id.to_owned()),
            },
        };
        serde_json::to_vec(&answer).expect("an error answer serialises to JSON")
    }

    /// Returns the error as an answer with this request id.
    pub(crate) fn to_answer(&self, request_id: &str) -> HttpAnswer {
        let (status, ..) = self.code.details();
        let mut builder = Response::builder()
            .status(status)
            .header("content-type", "application/json")
            .header("x-request-id", request_id)
            .header("x-hollowbarrow-ran", self.ran.to_string());
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
            builder = builder.header("retry-after", seconds);
        }
        builder.body(AnswerBody::complete(self.to_json(request_id))).expect("the headers are valid")
    }
}
