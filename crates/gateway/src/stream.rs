//! Streamed answers: forwards events as they arrive, and resumes a broken stream
//! at another worker if its route allows that.
//!
//! The head of the answer is sent to the caller with the first event, so a worker
//! that fails before that can be replaced unnoticed. Only complete events are
//! forwarded: if a worker fails within an event, the next worker can continue
//! after the last complete one.
//!
//! Invariant: the event numbers of one answer increase without a gap or a repeat,
//! and the answer ends as complete only if its last worker completed it.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use hollowbarrow_fleet::Repeatability;
use hollowbarrow_ingress::{AnswerBody, HttpAnswer, TruncatedAnswerError};
use hollowbarrow_routing::AnswerProof;
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_upstream::{ConnectionLease, SentAnswer, UpstreamBody};
use http_body_util::BodyExt;
use hyper::Response;
use tokio::time::Instant;

use crate::attempt::{
    AttemptHistory, admit_request, choose_worker, connect_to_worker, send_to_worker,
};
use crate::core::GatewayCore;
use crate::events::{EventChunk, EventSplitter};
use crate::flight::{InFlightGuard, WorkerAttempt};
use crate::picker::PickedWorker;
use crate::refusal::Refusal;
use crate::request::CallerRequest;
use crate::timeouts::{event_gap_timeout, first_event_timeout};
use crate::watch::{ProgressWatch, WatchError};
use crate::whole::{forwarded_headers, lost, read_answer};
use crate::worker_state::UnframedAnswer;

/// Multiple of the progress timeout that is allowed while the worker makes progress on other
/// streams.
const BUSY_FACTOR: u32 = 3;

/// Bytes that a worker may send without a complete event that the caller lacks.
const MAX_SKIPPED_BYTES: usize = 8 << 20;

/// A worker's stream that is currently read.
struct OpenStream {
    source: EventSource,
    lease: ConnectionLease,
    attempt: WorkerAttempt,
    /// Set if neither chunks nor a length show that the stream is complete.
    unframed: Option<UnframedAnswer>,
}

/// The body of a worker's stream, split into events.
struct EventSource {
    body: UpstreamBody,
    splitter: EventSplitter,
    /// Whether any event was received.
    has_events: bool,
    /// Number of bytes that were received.
    bytes: usize,
}

/// Why no further events can be read.
enum ReadEventsError {
    /// The connection broke.
    Lost,
    /// The bytes are no stream of events, for this reason.
    Broken(&'static str),
}

impl EventSource {
    fn new(body: UpstreamBody) -> Self {
        Self { body, splitter: EventSplitter::new(), has_events: false, bytes: 0 }
    }

    /// Reads until complete events are available, without those up to `after`; `None` at the end of the
    /// body.
    async fn next(&mut self, after: Option<u64>) -> Result<Option<EventChunk>, ReadEventsError> {
        let mut skipped = 0;
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| ReadEventsError::Lost)?;
            let Some(bytes) = frame.data_ref() else { continue };
            self.bytes += bytes.len();
            skipped += bytes.len();
            let chunk = self.splitter.push(bytes, after);
            let chunk = chunk.map_err(|_| broken_events("an event is larger than 1 MiB"))?;
            let held = self.body.hold_buffered(self.splitter.rest().len()).await;
            held.map_err(|_| {
                broken_events("an event is too large beside the others that are read")
            })?;
            if chunk.is_some() {
                self.has_events = true;
                return Ok(chunk);
            }
            if skipped > MAX_SKIPPED_BYTES {
                return Err(broken_events("it has no further event"));
            }
        }
        Ok(None)
    }
}

fn broken_events(reason: &'static str) -> ReadEventsError {
    ReadEventsError::Broken(reason)
}

/// Result of reading from a stream.
enum ReadStep {
    Chunk(EventChunk),
    End,
    Broken(AttemptUpstreamError),
}

/// A request whose answer is streamed.
struct StreamRun {
    core: Arc<GatewayCore>,
    request: CallerRequest,
    history: AttemptHistory,
    open: Option<OpenStream>,
    last_id: Option<u64>,
    /// When the last chunk was forwarded to the caller.
    last_chunk: Option<Instant>,
    _in_flight: InFlightGuard,
}

/// Sends a request to workers until a stream has begun, and returns the answer to the caller.
pub(crate) async fn run_stream(core: Arc<GatewayCore>, request: CallerRequest) -> HttpAnswer {
    let in_flight = InFlightGuard::new(&core);
    let ticket = match admit_request(&core, &request).await {
        Ok(ticket) => ticket,
        Err(refusal) => return request.refuse_untried(&core, refusal),
    };
    let mut run = StreamRun {
        core,
        request,
        history: AttemptHistory::new(ticket),
        open: None,
        last_id: None,
        last_chunk: None,
        _in_flight: in_flight,
    };
    loop {
        match run.begin().await {
            BeginStep::Answer(answer) => return answer,
            BeginStep::Streaming(head, first) => return run.into_answer(head, first),
            BeginStep::Failed(error) => {
                if !run.history.may_repeat(&run.core, &run.request, &error) {
                    return run.refuse(run.history.to_refusal(Refusal::from_attempt(&error)));
                }
                run.history.wait_until_repeatable(&run.request).await;
            }
            BeginStep::NoWorker(refusal) => return run.refuse(run.history.to_refusal(refusal)),
        }
    }
}

enum BeginStep {
    Answer(HttpAnswer),
    Streaming(hyper::http::response::Parts, Option<Bytes>),
    Failed(AttemptUpstreamError),
    NoWorker(Refusal),
}

impl StreamRun {
    fn refuse(&self, refusal: Refusal) -> HttpAnswer {
        self.request.record_failed(&self.core, refusal, &self.history);
        refusal.to_answer(self.request.remaining())
    }

    /// Makes one attempt, up to its first event.
    async fn begin(&mut self) -> BeginStep {
        let attempt = match choose_worker(&self.core, &self.request, &mut self.history).await {
            Ok(attempt) => attempt,
            Err(refusal) => return BeginStep::NoWorker(refusal),
        };
        let worker = attempt.worker.id.clone();
        let answer = match self.send(&attempt, None).await {
            Ok(answer) => answer,
            Err(error) => return BeginStep::Failed(self.record_failed(&worker, error)),
        };
        if !answer.status.is_success() {
            return self.handle_error_answer(answer, attempt).await;
        }
        let (mut head, ()) = Response::new(()).into_parts();
        head.status = answer.status;
        head.headers = forwarded_headers(&answer.headers);
        self.open = Some(self.open_stream(answer, attempt));
        match self.read().await {
            ReadStep::Chunk(chunk) => {
                self.record_chunk(&chunk);
                BeginStep::Streaming(head, Some(chunk.bytes))
            }
            ReadStep::End => {
                self.finish();
                BeginStep::Streaming(head, None)
            }
            ReadStep::Broken(error) => {
                self.open = None;
                BeginStep::Failed(self.record_failed(&worker, error))
            }
        }
    }

    /// Returns the stream of an answer whose head was received.
    fn open_stream(&self, answer: SentAnswer, attempt: WorkerAttempt) -> OpenStream {
        let unframed = (!answer.framed)
            .then(|| UnframedAnswer::new(&self.core, &self.request, &attempt.worker));
        let source = EventSource::new(answer.body);
        OpenStream { source, lease: answer.lease, attempt, unframed }
    }

    /// Sends the request, and abandons the worker at the progress timeout.
    async fn send(
        &mut self,
        attempt: &WorkerAttempt,
        resume_after: Option<&str>,
    ) -> Result<SentAnswer, AttemptUpstreamError> {
        let (core, request) = (&self.core, &self.request);
        let resumes = resume_after.is_some();
        let lease = connect_to_worker(core, request, attempt, &mut self.history, resumes).await?;
        let watch = self.watch(&attempt.worker);
        let sending = send_to_worker(core, request, attempt, lease, resume_after);
        let waited = watch.wait(attempt, sending).await;
        self.history.record_send_result(waited)
    }

    fn watch(&self, worker: &PickedWorker) -> ProgressWatch<'_> {
        let timeout = match self.last_id {
            Some(_) => event_gap_timeout(worker.iteration_ms),
            None => first_event_timeout(worker.first_event_ms),
        };
        ProgressWatch {
            core: &self.core,
            request: &self.request,
            history: &self.history,
            timeout,
            busy_factor: BUSY_FACTOR,
        }
    }

    fn is_resumable(&self) -> bool {
        self.request.route.kind == Repeatability::ResumableStream
    }

    fn record_failed(
        &mut self,
        worker: &hollowbarrow_schema::WorkerId,
        error: AttemptUpstreamError,
    ) -> AttemptUpstreamError {
        self.core.record_failure(worker, &error);
        self.history.record_failure(&self.core, &self.request, worker, &error);
        error
    }

    /// Reads an answer with an error status. A server error is followed by another attempt if one is
    /// allowed; else the answer is forwarded to the caller.
    async fn handle_error_answer(
        &mut self,
        answer: SentAnswer,
        mut attempt: WorkerAttempt,
    ) -> BeginStep {
        let worker = attempt.worker.id.clone();
        let failed = answer.status.is_server_error();
        let (core, request) = (&self.core, &self.request);
        let answer = read_answer(core, request, &attempt.worker, &self.history, answer).await;
        if let Ok(answer) = &answer {
            attempt.record_progress();
            answer.record_proof(&self.core, &self.request);
            self.history.record_progress();
        }
        match answer {
            Ok(answer) if !failed => {
                self.core.metrics.count_request("answered");
                BeginStep::Answer(answer.into_http())
            }
            Ok(answer) => {
                let error = self.record_failed(&worker, AttemptUpstreamError::NoAnswer);
                if self.history.may_repeat(&self.core, &self.request, &error) {
                    BeginStep::Failed(error)
                } else {
                    self.core.metrics.count_request("answered");
                    BeginStep::Answer(answer.into_http())
                }
            }
            Err(error) => BeginStep::Failed(self.record_failed(&worker, error)),
        }
    }

    /// Returns the answer, whose body reads further events on demand.
    fn into_answer(self, head: hyper::http::response::Parts, first: Option<Bytes>) -> HttpAnswer {
        let Some(first) = first else {
            return Response::from_parts(head, AnswerBody::complete(Bytes::new()));
        };
        let chunks = unfold((self, Some(first)), |(mut run, first)| async move {
            if let Some(first) = first {
                return Some((Ok(first), (run, None)));
            }
            let chunk = run.next_chunk().await?;
            Some((chunk, (run, None)))
        });
        Response::from_parts(head, AnswerBody::Chunks(Box::pin(chunks)))
    }

    /// Returns the next events; `None` at the end of a complete stream.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, TruncatedAnswerError>> {
        loop {
            let error = match self.read().await {
                ReadStep::Chunk(chunk) => {
                    self.record_chunk(&chunk);
                    return Some(Ok(chunk.bytes));
                }
                ReadStep::End => {
                    self.finish();
                    return None;
                }
                ReadStep::Broken(error) => error,
            };
            if let Err(error) = self.resume(error).await {
                let refusal = self.history.to_refusal(Refusal::from_attempt(&error));
                self.request.record_failed(&self.core, refusal, &self.history);
                return Some(Err(TruncatedAnswerError));
            }
        }
    }

    fn record_chunk(&mut self, chunk: &EventChunk) {
        let now = Instant::now();
        match self.last_chunk.replace(now) {
            Some(last) => self.core.metrics.record_event_gap(now - last),
            None => {
                self.core.metrics.record_first_event(self.request.received.elapsed());
                self.history.record_progress();
            }
        }
        self.last_id = chunk.last_id.or(self.last_id);
    }

    /// Records that the stream is complete, and returns its connection for reuse.
    fn finish(&mut self) {
        if let Some(open) = self.open.take() {
            open.lease.give_back();
            self.core.record_outcome(&open.attempt.worker.id, true);
            let (contents, now) = (&self.request.contents, Instant::now());
            self.core.crashes().record_answer(contents, AnswerProof::Success, now);
            self.core.metrics.count_request("streamed");
        }
    }

    /// Resumes the stream after the last event at another worker, with as many attempts as are
    /// allowed.
    async fn resume(&mut self, error: AttemptUpstreamError) -> Result<(), AttemptUpstreamError> {
        let Some(open) = self.open.take() else { return Err(error) };
        let worker = open.attempt.worker.id.clone();
        drop(open);
        let mut error = self.record_failed(&worker, error);
        loop {
            let possible = self.is_resumable() && self.last_id.is_some();
            if !possible || !self.history.may_repeat(&self.core, &self.request, &error) {
                return Err(error);
            }
            self.history.wait_until_repeatable(&self.request).await;
            let Ok(attempt) = choose_worker(&self.core, &self.request, &mut self.history).await
            else {
                return Err(error);
            };
            log::info!(
                "event=stream_resumed request={:?} content={:016x} from={} to={} after={:?} cause={:?}",
                self.request.head.id,
                *self.request.contents.whole(),
                *worker,
                *attempt.worker.id,
                self.last_id,
                error.to_string()
            );
            let after = self.last_id.map(|id| id.to_string());
            match self.send(&attempt, after.as_deref()).await {
                Ok(answer) if answer.status.is_success() => {
                    self.open = Some(self.open_stream(answer, attempt));
                    return Ok(());
                }
                Ok(_) => {
                    error = self.record_failed(&attempt.worker.id, AttemptUpstreamError::NoAnswer);
                }
                Err(failed) => error = self.record_failed(&attempt.worker.id, failed),
            }
        }
    }

    /// Returns whether a stream is complete whose body has ended.
    ///
    /// A stream that ends with its connection also ends so where its worker terminates between two
    /// events. It counts as complete only if its worker still runs.
    async fn is_complete(&self, open: &OpenStream) -> bool {
        let source = &open.source;
        if !source.splitter.rest().is_empty() {
            return false;
        }
        let Some(unframed) = &open.unframed else { return true };
        let until = self.history.check_limit(&self.request);
        source.has_events
            && unframed.is_complete(&self.core, &self.request, source.bytes, until).await
    }

    /// Reads until complete events are available. Bytes that complete no event are no progress.
    async fn read(&mut self) -> ReadStep {
        let after = self.last_id;
        let Some(mut open) = self.open.take() else { return ReadStep::End };
        let watch = self.watch(&open.attempt.worker);
        let step = match watch.wait(&open.attempt, open.source.next(after)).await {
            Ok(Ok(Some(chunk))) => {
                open.attempt.record_progress();
                ReadStep::Chunk(chunk)
            }
            Ok(Ok(None)) if self.is_complete(&open).await => ReadStep::End,
            Ok(Ok(None) | Err(ReadEventsError::Lost)) => ReadStep::Broken(lost(&open.lease)),
            Ok(Err(ReadEventsError::Broken(reason))) => ReadStep::Broken(broken(reason)),
            Err(error @ WatchError::Deadline) => {
                ReadStep::Broken(self.history.record_given_up(error))
            }
            Err(error @ WatchError::NoProgress(_)) => {
                self.history.record_given_up(error);
                ReadStep::Broken(broken("it stands still"))
            }
        };
        self.open = Some(open);
        step
    }
}

fn broken(reason: &'static str) -> AttemptUpstreamError {
    AttemptUpstreamError::BrokenAnswer { reason, tokens: 0 }
}
