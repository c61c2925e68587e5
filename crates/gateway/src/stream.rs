//! Streams: events are passed on as they come, and a broken stream is taken up
//! by another worker where its route allows.
//!
//! The head of the answer goes to the caller with the first event, so that a
//! worker that fails before can be replaced unseen. Afterwards only whole
//! events are passed on: where a worker breaks off within an event, what the
//! next one sends from the last whole event on fits.
//!
//! Invariant: the events of one answer rise without a gap or a repeat, and the
//! answer ends as whole only where its last worker ended it as whole.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use hollowbarrow_fleet::Repeatability;
use hollowbarrow_member::{AnswerBody, HttpAnswer, TruncatedAnswerError};
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_upstream::{ConnectionLease, SentAnswer};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::attempt::{Tries, choose_worker, connect_to_worker, enter_copy, send_to_worker};
use crate::core::GatewayCore;
use crate::events::{EventPiece, EventSplitter};
use crate::flight::{Flight, InFlight};
use crate::patience::{first_patience, pause_patience};
use crate::picker::PickedWorker;
use crate::refusal::Refusal;
use crate::request::CallerRequest;
use crate::watch::{SilenceWatch, WatchEnd};
use crate::whole::{passed_headers, read_whole};

/// Silence that is borne where the same worker goes on with other streams, as a multiple.
const BUSY_FACTOR: u32 = 3;

/// A worker's stream that is being read.
struct OpenStream {
    body: Incoming,
    lease: ConnectionLease,
    flight: Flight,
    splitter: EventSplitter,
}

/// What reading a stream led to.
enum ReadStep {
    Piece(EventPiece),
    End,
    Broken(AttemptUpstreamError),
}

/// A request whose answer is a stream.
struct StreamRun {
    core: Arc<GatewayCore>,
    request: CallerRequest,
    tries: Tries,
    open: Option<OpenStream>,
    last_id: Option<u64>,
    /// When the last piece went on to the caller.
    last_piece: Option<Instant>,
    _in_flight: InFlight,
}

/// Sends a request until its stream has begun, and answers the caller.
pub(crate) async fn run_stream(core: Arc<GatewayCore>, request: CallerRequest) -> HttpAnswer {
    let in_flight = InFlight::new(&core);
    let ticket = match enter_copy(&core, &request).await {
        Ok(ticket) => ticket,
        Err(refusal) => return request.refuse_untried(&core, refusal),
    };
    let mut run = StreamRun {
        core,
        request,
        tries: Tries::new(ticket),
        open: None,
        last_id: None,
        last_piece: None,
        _in_flight: in_flight,
    };
    loop {
        match run.begin().await {
            BeginStep::Answer(answer) => return answer,
            BeginStep::Streaming(head, first) => return run.into_answer(head, first),
            BeginStep::Failed(error) => {
                if !run.tries.may_repeat(&run.core, &run.request, &error) {
                    return run.refuse(run.tries.to_refusal(Refusal::from_attempt(&error)));
                }
                run.tries.wait_for_news(&run.request).await;
            }
            BeginStep::NoWorker(refusal) => return run.refuse(run.tries.to_refusal(refusal)),
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
        self.request.note_failed(&self.core, refusal, &self.tries);
        refusal.to_answer(self.request.remaining())
    }

    /// Makes one attempt up to its first event.
    async fn begin(&mut self) -> BeginStep {
        let flight = match choose_worker(&self.core, &self.request, &self.tries).await {
            Ok(flight) => flight,
            Err(refusal) => return BeginStep::NoWorker(refusal),
        };
        let worker = flight.worker.id.clone();
        let answer = match self.send(&flight, None).await {
            Ok(answer) => answer,
            Err(error) => return BeginStep::Failed(self.fail(&worker, error)),
        };
        if !answer.status.is_success() {
            return self.take_failure(answer, flight).await;
        }
        let (mut head, ()) = Response::new(()).into_parts();
        head.status = answer.status;
        head.headers = passed_headers(&answer.headers);
        self.open = Some(OpenStream {
            body: answer.body,
            lease: answer.lease,
            flight,
            splitter: EventSplitter::new(),
        });
        match self.read().await {
            ReadStep::Piece(piece) => {
                self.note_piece(&piece);
                BeginStep::Streaming(head, Some(piece.bytes))
            }
            ReadStep::End => {
                self.finish();
                BeginStep::Streaming(head, None)
            }
            ReadStep::Broken(error) => {
                self.open = None;
                BeginStep::Failed(self.fail(&worker, error))
            }
        }
    }

    /// Sends the request, and gives the worker up where it is silent for too long.
    async fn send(
        &mut self,
        flight: &Flight,
        resume_after: Option<&str>,
    ) -> Result<SentAnswer, AttemptUpstreamError> {
        let (core, request) = (&self.core, &self.request);
        let resumes = resume_after.is_some();
        let lease = connect_to_worker(core, request, flight, &mut self.tries, resumes).await?;
        let watch = self.watch(&flight.worker);
        let sending = send_to_worker(core, request, flight, lease, resume_after);
        let waited = watch.wait(flight, sending).await;
        self.tries.take_sent(waited)
    }

    fn watch(&self, worker: &PickedWorker) -> SilenceWatch<'_> {
        let patience = match self.last_id {
            Some(_) => pause_patience(worker.pass_ms),
            None => first_patience(worker.first_ms),
        };
        SilenceWatch {
            core: &self.core,
            request: &self.request,
            tries: &self.tries,
            patience,
            busy_factor: BUSY_FACTOR,
        }
    }

    fn may_repeat(&self) -> bool {
        self.request.route.kind == Repeatability::ResumableStream
    }

    fn fail(
        &mut self,
        worker: &hollowbarrow_schema::WorkerId,
        error: AttemptUpstreamError,
    ) -> AttemptUpstreamError {
        self.core.note_failure(worker, &error);
        self.tries.note_failure(&self.core, &self.request, worker, &error);
        error
    }

    /// A worker's own failure goes to the caller, unless another worker may do better.
    async fn take_failure(&mut self, answer: SentAnswer, mut flight: Flight) -> BeginStep {
        let worker = flight.worker.id.clone();
        let failed = answer.status.is_server_error();
        let whole = read_whole(answer, self.request.deadline()).await;
        flight.note_progress();
        if whole.is_ok() {
            self.core.crashes().note_answer(self.request.digest, Instant::now());
        }
        match whole {
            Ok(answer) if !failed => {
                self.core.metrics.count_request("answered");
                BeginStep::Answer(answer.into_http())
            }
            Ok(answer) => {
                let error = self.fail(&worker, AttemptUpstreamError::NoAnswer);
                if self.tries.may_repeat(&self.core, &self.request, &error) {
                    BeginStep::Failed(error)
                } else {
                    self.core.metrics.count_request("answered");
                    BeginStep::Answer(answer.into_http())
                }
            }
            Err(error) => BeginStep::Failed(self.fail(&worker, error)),
        }
    }

    /// The answer, whose further events follow as they come.
    fn into_answer(self, head: hyper::http::response::Parts, first: Option<Bytes>) -> HttpAnswer {
        let Some(first) = first else {
            return Response::from_parts(head, AnswerBody::complete(Bytes::new()));
        };
        let pieces = unfold((self, Some(first)), |(mut run, first)| async move {
            if let Some(first) = first {
                return Some((Ok(first), (run, None)));
            }
            let piece = run.next_piece().await?;
            Some((piece, (run, None)))
        });
        Response::from_parts(head, AnswerBody::Chunks(Box::pin(pieces)))
    }

    /// The next events; none where the stream is whole.
    async fn next_piece(&mut self) -> Option<Result<Bytes, TruncatedAnswerError>> {
        loop {
            let error = match self.read().await {
                ReadStep::Piece(piece) => {
                    self.note_piece(&piece);
                    return Some(Ok(piece.bytes));
                }
                ReadStep::End => {
                    self.finish();
                    return None;
                }
                ReadStep::Broken(error) => error,
            };
            if let Err(error) = self.resume(error).await {
                let refusal = Refusal::from_attempt(&error);
                self.request.note_failed(&self.core, refusal, &self.tries);
                return Some(Err(TruncatedAnswerError));
            }
        }
    }

    fn note_piece(&mut self, piece: &EventPiece) {
        let now = Instant::now();
        match self.last_piece.replace(now) {
            Some(last) => self.core.metrics.note_event_gap(now - last),
            None => {
                self.core.metrics.note_first_event(self.request.received.elapsed());
                self.tries.note_progress();
            }
        }
        self.last_id = piece.last_id.or(self.last_id);
    }

    /// The stream is whole: its connection may carry another request.
    fn finish(&mut self) {
        if let Some(open) = self.open.take() {
            open.lease.give_back();
            self.core.note_outcome(&open.flight.worker.id, true);
            self.core.crashes().note_answer(self.request.digest, Instant::now());
            self.core.metrics.count_request("streamed");
        }
    }

    /// Has other workers go on from the last event until one does.
    async fn resume(&mut self, error: AttemptUpstreamError) -> Result<(), AttemptUpstreamError> {
        let Some(open) = self.open.take() else { return Err(error) };
        let worker = open.flight.worker.id.clone();
        drop(open);
        let mut error = self.fail(&worker, error);
        loop {
            let possible = self.may_repeat() && self.last_id.is_some();
            if !possible || !self.tries.may_repeat(&self.core, &self.request, &error) {
                return Err(error);
            }
            self.tries.wait_for_news(&self.request).await;
            let Ok(flight) = choose_worker(&self.core, &self.request, &self.tries).await else {
                return Err(error);
            };
            log::info!(
                "event=stream_resumed request={:?} content={:016x} from={} to={} after={:?} cause={:?}",
                self.request.head.id,
                *self.request.digest,
                *worker,
                *flight.worker.id,
                self.last_id,
                error.to_string()
            );
            let after = self.last_id.map(|id| id.to_string());
            match self.send(&flight, after.as_deref()).await {
                Ok(answer) if answer.status.is_success() => {
                    let splitter = EventSplitter::new();
                    let (body, lease) = (answer.body, answer.lease);
                    self.open = Some(OpenStream { body, lease, flight, splitter });
                    return Ok(());
                }
                Ok(_) => {
                    error = self.fail(&flight.worker.id, AttemptUpstreamError::NoAnswer);
                }
                Err(failed) => error = self.fail(&flight.worker.id, failed),
            }
        }
    }

    /// Reads until whole events are there.
    async fn read(&mut self) -> ReadStep {
        let after = self.last_id;
        let Some(mut open) = self.open.take() else { return ReadStep::End };
        let step = loop {
            let frame =
                match self.watch(&open.flight.worker).wait(&open.flight, open.body.frame()).await {
                    Err(WatchEnd::Deadline) => {
                        break ReadStep::Broken(AttemptUpstreamError::DeadlinePassed {
                            sent: true,
                        });
                    }
                    Err(WatchEnd::Silent) => {
                        self.tries.note_paid();
                        break ReadStep::Broken(broken("it stands still"));
                    }
                    Ok(None) if open.splitter.rest().is_empty() => break ReadStep::End,
                    Ok(None) | Ok(Some(Err(_))) => {
                        break ReadStep::Broken(AttemptUpstreamError::ConnectionLost { tokens: 0 });
                    }
                    Ok(Some(Ok(frame))) => frame,
                };
            let Some(bytes) = frame.data_ref() else { continue };
            open.flight.note_progress();
            match open.splitter.push(bytes, after) {
                Ok(Some(piece)) => break ReadStep::Piece(piece),
                Ok(None) => {}
                Err(_) => break ReadStep::Broken(broken("an event is too large")),
            }
        };
        self.open = Some(open);
        step
    }
}

fn broken(reason: &'static str) -> AttemptUpstreamError {
    AttemptUpstreamError::BrokenAnswer { reason, tokens: 0 }
}
