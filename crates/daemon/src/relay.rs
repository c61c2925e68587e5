//! Relays answers from upstreams to callers.
//!
//! A streamed answer is checked token by token. If its upstream fails, another
//! one can continue after the last token if the engine numbers its tokens.
//! Repeated tokens are dropped and a gap is an error, so the caller receives each
//! token once. A stream without its end marker is never presented as complete.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_reach::{InstanceProbe, UpstreamTarget};
use hollowbarrow_routing::DuplicateTicket;
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_upstream::{EventParser, ReadBodyError, SentAnswer, StreamChunk, parse_chunk};
use http_body_util::BodyExt;
use hyper::Response;
use serde_json::Value;
use tokio::time::Instant;

use crate::answer::CallerLink;
use crate::attempt::AttemptAnswer;
use crate::caller_request::{CallerRequest, RequestKind};
use crate::core::DaemonCore;
use crate::refusals::to_lost_error;
use crate::upstream_state::UnframedAnswer;

/// End marker of a stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// When the last token of a streamed answer was received.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    last: Mutex<Option<Instant>>,
}

impl StreamProgress {
    /// Returns when the last token was received, `None` if none was.
    pub(crate) fn last(&self) -> Option<Instant> {
        *self.last.lock().expect("no holder of the lock panics")
    }

    /// Records a token; returns when the one before was received.
    fn record(&self, now: Instant) -> Option<Instant> {
        self.last.lock().expect("no holder of the lock panics").replace(now)
    }
}

/// A streamed answer, across all attempts of its request.
pub(crate) struct StreamRelay {
    link: Arc<CallerLink>,
    tokens: u32,
    numbered: bool,
    text: String,
    record: Option<String>,
    progress: Arc<StreamProgress>,
    /// Duplicate ticket to which the first token is reported as progress.
    duplicate: Option<Arc<DuplicateTicket>>,
}

impl StreamRelay {
    /// Creates a relay; with `records` it keeps the answer so that retries can be answered with it.
    pub(crate) fn new(link: &Arc<CallerLink>, records: bool) -> Self {
        Self {
            link: Arc::clone(link),
            tokens: 0,
            numbered: true,
            text: String::new(),
            record: records.then(String::new),
            progress: Arc::default(),
            duplicate: None,
        }
    }

    /// Sets the duplicate ticket, which releases waiting duplicates at the first token.
    pub(crate) fn with_duplicate(mut self, duplicate: &Arc<DuplicateTicket>) -> Self {
        self.duplicate = Some(Arc::clone(duplicate));
        self
    }

    /// Returns whether part of the answer has been sent to the caller.
    pub(crate) fn has_started(&self) -> bool {
        self.link.chunks().is_some()
    }

    /// Returns whether another upstream can continue after the last token.
    pub(crate) fn is_resumable(&self) -> bool {
        self.numbered && self.record.is_none()
    }

    /// Returns the progress of the answer.
    pub(crate) fn progress(&self) -> Arc<StreamProgress> {
        Arc::clone(&self.progress)
    }

    /// Takes the recorded answer, if this relay records.
    pub(crate) fn take_record(&mut self) -> Option<String> {
        self.record.take()
    }

    /// Returns the body that resumes the request after the received tokens, `None` if the answer has
    /// not started.
    pub(crate) fn resume_body(&self, request: &CallerRequest) -> Option<Bytes> {
        let RequestKind::Completion { body, .. } = &request.kind else { return None };
        if !self.has_started() {
            return None;
        }
        let mut body = body.clone();
        body["resume_from"] = Value::from(self.tokens);
        body["resume_text"] = Value::from(self.text.as_str());
        Some(Bytes::from(body.to_string()))
    }

    /// Relays one upstream's stream to its end, without the end marker.
    pub(crate) async fn run(
        &mut self,
        core: &Arc<DaemonCore>,
        request: &CallerRequest,
        mut answer: SentAnswer,
    ) -> Result<(), AttemptUpstreamError> {
        let idle = Duration::from_millis(core.settings.limits.idle_ms);
        let mut parser = EventParser::new();
        let mut received_bytes = 0;
        let mut finished = false;
        // Bytes that complete no event are no progress.
        let mut last_event = Instant::now();
        loop {
            let wait = request.deadline.min(last_event + idle);
            let frame = match tokio::time::timeout_at(wait, answer.body.frame()).await {
                Err(_) if Instant::now() >= request.deadline => {
                    return Err(AttemptUpstreamError::DeadlinePassed { sent: true });
                }
                Err(_) => return Err(self.broken_answer("no event within the idle timeout")),
                // An upstream whose process terminates may close its connection in order.
                Ok(None) if !answer.framed => {
                    return Err(to_lost_error(&answer.lease, self.tokens));
                }
                Ok(None) => return Err(self.broken_answer("it ended without the end marker")),
                Ok(Some(Err(_))) => return Err(to_lost_error(&answer.lease, self.tokens)),
                Ok(Some(Ok(frame))) => frame,
            };
            let Some(bytes) = frame.data_ref() else { continue };
            received_bytes += bytes.len() as u64;
            if received_bytes > core.settings.limits.answer_bytes {
                return Err(self.broken_answer("it is too long"));
            }
            let events =
                parser.push(bytes).map_err(|_| self.broken_answer("it is not an event stream"))?;
            if !events.is_empty() {
                last_event = Instant::now();
            }
            for event in events {
                let chunk = parse_chunk(&event)
                    .map_err(|_| self.broken_answer("an event is not a completion chunk"))?;
                match chunk {
                    StreamChunk::Done if finished => {
                        answer.lease.give_back();
                        return Ok(());
                    }
                    StreamChunk::Done => {
                        return Err(self.broken_answer("it ended without a finish reason"));
                    }
                    StreamChunk::Error => {
                        return Err(self.broken_answer("the engine reported an error"));
                    }
                    StreamChunk::Finish => finished = true,
                    StreamChunk::Token { index, text } => {
                        if !self.accept_token(index, &text)? {
                            continue;
                        }
                        self.record_token(core, request);
                    }
                    StreamChunk::Other if self.tokens > 0 => continue,
                    StreamChunk::Other => {}
                }
                self.forward_event(&event, request).await;
            }
        }
    }

    /// Checks a token's index; returns false if the caller has received the token already.
    fn accept_token(
        &mut self,
        index: Option<u32>,
        text: &str,
    ) -> Result<bool, AttemptUpstreamError> {
        match index {
            Some(index) if index < self.tokens => return Ok(false),
            Some(index) if index > self.tokens => {
                return Err(self.broken_answer("a token is missing"));
            }
            Some(_) => {}
            None => self.numbered = false,
        }
        self.tokens += 1;
        self.text.push_str(text);
        Ok(true)
    }

    fn record_token(&mut self, core: &DaemonCore, request: &CallerRequest) {
        let now = Instant::now();
        match self.progress.record(now) {
            Some(last) => core.telemetry.record_token_gap(now - last),
            None => core.telemetry.record_first_token(request.received, now),
        }
        if let Some(duplicate) = self.duplicate.take() {
            duplicate.record_progress();
        }
    }

    /// Forwards an event to the caller.
    async fn forward_event(&mut self, event: &str, request: &CallerRequest) {
        let mut chunk = String::with_capacity(event.len() + 16);
        for line in event.split('\n') {
            chunk.push_str("data: ");
            chunk.push_str(line);
            chunk.push('\n');
        }
        chunk.push('\n');
        if let Some(record) = &mut self.record {
            record.push_str(&chunk);
        }
        if self.link.chunks().is_none() {
            let head = Response::builder()
                .header("content-type", "text/event-stream")
                .header("cache-control", "no-cache")
                .header("x-request-id", &request.id);
            self.link.start(head);
        }
        self.send(chunk).await;
    }

    async fn send(&self, chunk: String) {
        if let Some(chunks) = self.link.chunks() {
            // A caller's disconnect is handled by the task that watches the link.
            let _ = chunks.send(Ok(Bytes::from(chunk))).await;
        }
    }

    /// Ends a complete answer with the end marker.
    pub(crate) async fn finish(&mut self) {
        self.send(DONE_EVENT.to_owned()).await;
    }

    /// Ends a failed answer with an error and without the end marker.
    pub(crate) async fn fail(&mut self, error: &[u8]) {
        self.send(format!("data: {}\n\n", String::from_utf8_lossy(error))).await;
    }

    fn broken_answer(&self, reason: &'static str) -> AttemptUpstreamError {
        AttemptUpstreamError::BrokenAnswer { reason, tokens: self.tokens }
    }
}

/// Reads a complete answer, within the deadline and the size limit. An answer that ends with its
/// connection is lost unless its upstream still runs.
pub(crate) async fn read_complete_answer(
    core: &DaemonCore,
    request: &CallerRequest,
    answer: SentAnswer,
    upstream: (&UpstreamTarget, &Arc<dyn InstanceProbe>),
) -> Result<AttemptAnswer, AttemptUpstreamError> {
    let limit = usize::try_from(core.settings.limits.answer_bytes).unwrap_or(usize::MAX);
    let SentAnswer { status, headers, body, framed, lease } = answer;
    let (target, probe) = upstream;
    let unframed = (!framed).then(|| UnframedAnswer::new(core, target, probe));
    let content_type = headers
        .get("content-type")
        .and_then(|kind| kind.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let reading = body.read_within(limit);
    let body = match tokio::time::timeout_at(request.deadline, reading).await {
        Err(_) => return Err(AttemptUpstreamError::DeadlinePassed { sent: true }),
        Ok(Err(ReadBodyError::TooLong)) => {
            return Err(AttemptUpstreamError::BrokenAnswer { reason: "it is too long", tokens: 0 });
        }
        Ok(Err(ReadBodyError::OverBudget(_))) => {
            let reason = "it is too long beside the others that are read";
            return Err(AttemptUpstreamError::BrokenAnswer { reason, tokens: 0 });
        }
        Ok(Err(_)) => return Err(to_lost_error(&lease, 0)),
        Ok(Ok(body)) => body,
    };
    if let Some(unframed) = unframed
        && !unframed.is_complete(core, request, body.len()).await
    {
        return Err(to_lost_error(&lease, 0));
    }
    lease.give_back();
    Ok(AttemptAnswer::Complete { status, content_type, body })
}
