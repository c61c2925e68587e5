//! Runs one caller's request: admission, claim, duplicates, attempts and the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use hollowbarrow_ingress::{AnswerBody, HttpAnswer};
use hollowbarrow_reach::InstanceProbe;
use hollowbarrow_routing::retry::{AttemptUpstreamError, RequestFacts, RetryStep, decide_retry};
use hollowbarrow_routing::{
    DuplicateTicket, RequestContent, RequestContents, UpstreamKey, hash_prefix,
};
use hollowbarrow_schema::{ClaimOutcome, ErrorRan, StoredAnswer};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::answer::{CallerError, CallerLink};
use crate::attempt::{
    Attempt, AttemptAnswer, AttemptEnd, AttemptError, TriedUpstream, run_attempt, run_plain_attempt,
};
use crate::caller_request::{CallerRequest, RequestKind};
use crate::claims::{ClaimIdentity, HeldClaim};
use crate::core::DaemonCore;
use crate::duplicates::{DuplicatePlace, DuplicateWait};
use crate::lost_run::LostRun;
use crate::refusals::{
    to_attempt_error, to_claim_error, to_duplicate_error, to_limit_error, to_propose_error,
    to_quarantine_error, to_shed_error,
};
use crate::relay::StreamRelay;
use crate::telemetry::HopSpan;

/// Number of lost connections of a request from which on it is retried only once it is known whether
/// their upstreams have terminated.
const UNCHECKED_RUNS: usize = 2;
/// Longest wait for that.
const CHECK_WAIT_TIME: Duration = Duration::from_millis(500);

/// Times for which a request waited, for logs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestWaits {
    /// For a slot in the admission queue.
    pub(crate) queue: Duration,
    /// For the outcome of its claim.
    pub(crate) claim: Duration,
    /// For another duplicate.
    pub(crate) duplicate: Duration,
    /// For an upstream, over all attempts.
    pub(crate) upstream: Duration,
}

/// How a request ended, for logs and metrics.
#[derive(Debug)]
pub(crate) struct RequestEnd {
    pub(crate) outcome: &'static str,
    pub(crate) ran: Option<ErrorRan>,
    /// Message of the error that the caller received.
    pub(crate) reason: Option<String>,
    pub(crate) upstream: Option<UpstreamKey>,
    pub(crate) attempts: u32,
}

/// A request in progress.
pub(crate) struct RequestRun {
    pub(crate) core: Arc<DaemonCore>,
    pub(crate) request: CallerRequest,
    pub(crate) link: Arc<CallerLink>,
    pub(crate) span: HopSpan,
    pub(crate) blocks: Vec<u64>,
    pub(crate) attempts: u32,
    pub(crate) upstream: Option<UpstreamKey>,
    /// Recognises the process of that upstream.
    probe: Option<Arc<dyn InstanceProbe>>,
    tried: Vec<UpstreamKey>,
    /// Whether a failed attempt may have run the request.
    may_have_run: bool,
    /// Whether the connection of an attempt was lost.
    connection_lost: bool,
    /// Checks in progress of whether the upstreams of lost connections have terminated.
    lost_runs: Vec<JoinHandle<()>>,
    /// Number of lost connections.
    lost_connections: usize,
    /// Contents by which it is recognised if it crashes upstreams.
    pub(crate) contents: RequestContents,
    pub(crate) waits: RequestWaits,
}

/// Runs a request and sends its answer.
pub(crate) async fn run_request(
    core: Arc<DaemonCore>,
    request: CallerRequest,
    link: CallerLink,
    span: HopSpan,
) {
    let blocks = match &request.kind {
        RequestKind::Completion { model, prompt, .. } => hash_prefix(model, prompt),
        RequestKind::Plain(_) => Vec::new(),
    };
    let content = RequestContent {
        organisation: &request.organisation.id,
        method: request.method.as_str(),
        // A daemon's routes do not depend on the host.
        host: "",
        target: &request.target,
        body: &request.body,
    };
    let contents = RequestContents::new(content.digest())
        .with_organisation(&request.organisation.id)
        .with_parts(
            request.kind.service(),
            request.kind.prompt_parts().iter().map(String::as_bytes),
        );
    let mut run = RequestRun {
        core,
        request,
        link: Arc::new(link),
        span,
        blocks,
        attempts: 0,
        upstream: None,
        probe: None,
        tried: Vec::new(),
        may_have_run: false,
        connection_lost: false,
        lost_runs: Vec::new(),
        lost_connections: 0,
        contents,
        waits: RequestWaits::default(),
    };
    let end = run.admit_and_run().await;
    let core = Arc::clone(&run.core);
    core.telemetry.record_end(&run, &end);
}

impl RequestRun {
    async fn admit_and_run(&mut self) -> RequestEnd {
        let core = Arc::clone(&self.core);
        let organisation = self.request.organisation.clone();
        let now = Instant::now();
        let limit = match core.limiter.admit(&organisation.id, self.request.cost, now) {
            Ok(ticket) => ticket,
            Err(error) => return self.refuse(&to_limit_error(&error)),
        };
        let queue_span = self.span.child("queue");
        let deadline = self.request.deadline;
        let entering = core.admission.enter(
            self.request.urgency,
            &organisation.id,
            organisation.weight,
            deadline,
        );
        let entered = tokio::select! {
            entered = entering => entered,
            () = self.link.disconnected() => return self.end("cancelled", Some(ErrorRan::NotRun)),
        };
        drop(queue_span);
        self.waits.queue = now.elapsed();
        core.telemetry.record_queue_time(self.request.urgency, self.waits.queue);
        let slot = match entered {
            Ok(slot) => slot,
            Err(error) => return self.refuse(&to_shed_error(&error)),
        };
        let end = self.run_claimed().await;
        drop(slot);
        drop(limit);
        end
    }

    /// Runs the request, under a claim if it is not repeatable and has a key.
    async fn run_claimed(&mut self) -> RequestEnd {
        let key = self.request.key.clone().filter(|_| self.request.not_repeatable);
        let Some(key) = key else { return self.run(None).await };
        let request = &self.request;
        let identity =
            ClaimIdentity::new(&request.organisation.id, &key, &request.target, &request.body);
        let attempt = format!("{}/{:016x}", **self.core.id(), rand::random::<u64>());
        let span = self.span.child("claim");
        let asked = Instant::now();
        let opened = self.core.open_claim(&identity, &attempt, request.deadline).await;
        self.waits.claim = asked.elapsed();
        drop(span);
        match opened {
            Ok((ClaimOutcome::Granted, held)) => self.run(Some(held)).await,
            Ok((ClaimOutcome::Answered(answer), _)) => self.replay(answer),
            Ok((outcome, _)) => self.refuse(&to_claim_error(&outcome)),
            Err(error) => self.refuse(&to_propose_error(error)),
        }
    }

    fn is_streamed(&self) -> bool {
        matches!(self.request.kind, RequestKind::Completion { stream: true, .. })
    }

    /// Runs the request once the duplicate gate admits it, hedged where its route allows that.
    async fn run(&mut self, claim: Option<HeldClaim>) -> RequestEnd {
        let arrived = Instant::now();
        let wait = DuplicateWait {
            core: Arc::clone(&self.core),
            contents: self.contents.clone(),
            streamed: self.is_streamed(),
            deadline: self.request.deadline,
        };
        let entered = tokio::select! {
            place = wait.enter() => place.ok_or(Some(to_duplicate_error())),
            () = self.link.disconnected() => Err(None),
        };
        self.waits.duplicate = arrived.elapsed();
        let place = match entered {
            Ok(place) => place,
            Err(error) => {
                if let Some(held) = claim {
                    self.core.release_claim(held).await;
                }
                return match error {
                    Some(error) => self.refuse(&error),
                    None => self.end("cancelled", Some(ErrorRan::NotRun)),
                };
            }
        };
        if let RequestKind::Plain(route) = &self.request.kind
            && let Some(hedge_ms) = route.hedge_ms
            && !self.request.not_repeatable
            && self.request.method.is_safe()
        {
            return self.run_hedged(Duration::from_millis(hedge_ms), &place).await;
        }
        self.run_attempts(claim, &place).await
    }

    /// Tries upstreams one after the other while a retry is safe.
    async fn run_attempts(
        &mut self,
        claim: Option<HeldClaim>,
        place: &DuplicatePlace,
    ) -> RequestEnd {
        let duplicate = place.ticket();
        self.core.budget.record_request();
        let streamed = self.is_streamed();
        let mut relay = StreamRelay::new(&self.link, claim.is_some()).with_duplicate(duplicate);
        loop {
            // Checked before each attempt, since a further attempt may crash the next replica.
            let quarantined = self.core.quarantine_left(&self.contents, Instant::now());
            if let Some(left) = quarantined {
                let ran = if self.may_have_run { ErrorRan::Unknown } else { ErrorRan::NotRun };
                self.settle_failed_claim(claim, ran).await;
                return self.fail(&to_quarantine_error(left), &mut relay).await;
            }
            self.attempts += 1;
            let attempt = Attempt {
                core: &self.core,
                request: &self.request,
                blocks: &self.blocks,
                avoid: &self.tried,
                span: &self.span,
                streamed,
                connection_lost: self.connection_lost,
                place: Some(place),
            };
            let disconnected = self.link.disconnected();
            let tried = tokio::select! {
                tried = run_attempt(attempt, &mut relay) => tried,
                // Dropping the attempt closes its connection, which cancels the upstream.
                () = disconnected, if !self.request.not_repeatable => {
                    return self.end("cancelled", Some(ErrorRan::Unknown));
                }
            };
            let AttemptEnd { upstream, outcome, selected, upstream_wait, duplicate_wait } = tried;
            self.waits.upstream += upstream_wait;
            self.waits.duplicate += duplicate_wait;
            let withdrawn = is_withdrawn(&outcome);
            if withdrawn {
                self.attempts -= 1;
            }
            if let Some(TriedUpstream { key, probe }) = upstream {
                if !withdrawn {
                    self.tried.push(key.clone());
                }
                self.upstream = Some(key);
                self.probe = Some(probe);
            }
            let error = match outcome {
                Ok(answer) => return self.finish(answer, &mut relay, claim, duplicate).await,
                Err(AttemptError::Failed(error)) => error,
                Err(AttemptError::NotAttempted(error)) => {
                    if let Some(held) = claim {
                        self.core.release_claim(held).await;
                    }
                    return self.fail(&error, &mut relay).await;
                }
            };
            self.may_have_run |= error.ran() != ErrorRan::NotRun;
            self.connection_lost |= is_connection_lost(&error);
            let retry_at = self.record_crash(&error, selected, duplicate);
            let facts = RequestFacts {
                repeatable: !self.request.not_repeatable,
                resumable: relay.is_resumable(),
                answer_started: relay.has_started(),
                attempts: self.attempts,
                deadline: self.request.deadline,
            };
            match decide_retry(&facts, &error, &self.core.budget, Instant::now()) {
                RetryStep::Again => self.core.telemetry.record_retry("again"),
                RetryStep::Resume => self.core.telemetry.record_retry("resume"),
                RetryStep::GiveUp(ran) => {
                    self.settle_failed_claim(claim, ran).await;
                    return self.fail(&to_attempt_error(&error, ran), &mut relay).await;
                }
            }
            if let Some(until) = retry_at {
                tokio::time::sleep_until(until.min(self.request.deadline)).await;
            }
            self.wait_for_checks().await;
        }
    }

    /// Waits until it is known whether the request has crashed the upstreams of several lost
    /// connections, since it may be quarantined then.
    async fn wait_for_checks(&mut self) {
        if self.lost_connections >= UNCHECKED_RUNS {
            let checks = join_all(self.lost_runs.drain(..));
            let _ = tokio::time::timeout(CHECK_WAIT_TIME, checks).await;
        }
    }

    /// Records a crash if the last upstream's connection was lost while it ran the request, and the
    /// upstream turns out to have terminated.
    ///
    /// Returns until when the request must not be retried, since other requests with its contents may
    /// show meanwhile whether they crash upstreams.
    fn record_crash(
        &mut self,
        error: &AttemptUpstreamError,
        sent: Instant,
        duplicate: &DuplicateTicket,
    ) -> Option<Instant> {
        let (AttemptUpstreamError::ConnectionLost { .. }, Some(key), Some(probe)) =
            (error, &self.upstream, &self.probe)
        else {
            return None;
        };
        let run = LostRun {
            request: self.request.id.clone(),
            service: self.request.kind.service().to_owned(),
            contents: self.contents.clone(),
            upstream: key.clone(),
            probe: Arc::clone(probe),
            sent,
            ended: Instant::now(),
        };
        self.lost_connections += 1;
        self.lost_runs.push(tokio::spawn(run.record_if_terminated(Arc::clone(&self.core))));
        duplicate.record_crash(|content| self.core.crashes().standing(content))
    }

    async fn settle_failed_claim(&self, claim: Option<HeldClaim>, ran: ErrorRan) {
        let Some(held) = claim else { return };
        if ran == ErrorRan::NotRun {
            self.core.release_claim(held).await;
        } else {
            self.core.close_claim(held, None, false).await;
        }
    }

    /// Completes the answer, after recording it if the request has a claim.
    async fn finish(
        &mut self,
        answer: AttemptAnswer,
        relay: &mut StreamRelay,
        claim: Option<HeldClaim>,
        duplicate: &DuplicateTicket,
    ) -> RequestEnd {
        if let Some(proof) = answer.proof() {
            self.core.crashes().record_answer(&self.contents, proof, Instant::now());
        }
        // Recording the outcome of a claim takes a commit, for which duplicates need not wait.
        duplicate.record_progress();
        match answer {
            AttemptAnswer::Streamed => {
                if let Some(held) = claim {
                    let stored = relay.take_record().map(|body| StoredAnswer {
                        status: StatusCode::OK.as_u16(),
                        content_type: "text/event-stream".to_owned(),
                        body,
                    });
                    self.core.close_claim(held, stored, true).await;
                }
                relay.finish().await;
            }
            AttemptAnswer::Complete { status, content_type, body, .. } => {
                if let Some(held) = claim {
                    let text = String::from_utf8(body.to_vec()).ok();
                    let stored = text.map(|body| StoredAnswer {
                        status: status.as_u16(),
                        content_type: content_type.clone(),
                        body,
                    });
                    self.core.close_claim(held, stored, true).await;
                }
                self.link.send_answer(complete_answer(
                    &self.request.id,
                    status,
                    &content_type,
                    body,
                ));
            }
        }
        self.end("ok", None)
    }

    /// Sends the request to a second upstream when the first is slow, and uses the first complete
    /// answer.
    async fn run_hedged(&mut self, after: Duration, place: &DuplicatePlace) -> RequestEnd {
        let duplicate = place.ticket();
        self.core.budget.record_request();
        self.attempts = 1;
        let core = Arc::clone(&self.core);
        let sent = Instant::now();
        if core.quarantine_left(&self.contents, sent).is_some() {
            return self.run_attempts(None, place).await;
        }
        let request = self.request.clone();
        let span = self.span.child("hedge");
        let attempt = Attempt {
            core: &core,
            request: &request,
            blocks: &[],
            avoid: &[],
            span: &span,
            streamed: false,
            connection_lost: false,
            place: None,
        };
        let first = run_plain_attempt(attempt);
        tokio::pin!(first);
        let early = tokio::time::timeout(after, first.as_mut()).await;
        let AttemptEnd { upstream, outcome, upstream_wait, .. } = match early {
            Ok(done) => done,
            Err(_) if core.budget.take(Instant::now()) => {
                self.attempts = 2;
                core.telemetry.record_retry("hedge");
                let second = run_plain_attempt(attempt);
                tokio::pin!(second);
                tokio::select! {
                    done = first.as_mut() => if done.outcome.is_ok() { done } else { second.await },
                    done = second.as_mut() => if done.outcome.is_ok() { done } else { first.await },
                }
            }
            Err(_) => first.await,
        };
        self.waits.upstream += upstream_wait;
        if let Some(TriedUpstream { key, probe }) = upstream {
            self.upstream = Some(key);
            self.probe = Some(probe);
        }
        let mut relay = StreamRelay::new(&self.link, false);
        match outcome {
            Ok(answer) => self.finish(answer, &mut relay, None, duplicate).await,
            Err(AttemptError::Failed(error)) => {
                // With two attempts, the other one failed too and may have run the request.
                self.may_have_run |= error.ran() != ErrorRan::NotRun || self.attempts > 1;
                self.connection_lost |= is_connection_lost(&error);
                self.tried.extend(self.upstream.clone());
                if let Some(until) = self.record_crash(&error, sent, duplicate) {
                    tokio::time::sleep_until(until.min(self.request.deadline)).await;
                }
                self.run_attempts(None, place).await
            }
            Err(AttemptError::NotAttempted(error)) => self.fail(&error, &mut relay).await,
        }
    }

    fn replay(&mut self, answer: StoredAnswer) -> RequestEnd {
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
        let body = Bytes::from(answer.body);
        let mut replayed = complete_answer(&self.request.id, status, &answer.content_type, body);
        replayed.headers_mut().insert("x-hollowbarrow-replayed", HeaderValue::from_static("true"));
        self.link.send_answer(replayed);
        self.end("replayed", Some(ErrorRan::Ran))
    }

    fn refuse(&mut self, error: &CallerError) -> RequestEnd {
        self.link.send_answer(error.to_answer(&self.request.id));
        self.end_with(error)
    }

    async fn fail(&mut self, error: &CallerError, relay: &mut StreamRelay) -> RequestEnd {
        let mut error = error.clone();
        if self.may_have_run && error.ran == ErrorRan::NotRun {
            error = error.with_ran(ErrorRan::Unknown);
        }
        if relay.has_started() {
            relay.fail(&error.to_json(&self.request.id)).await;
            return self.end_with(&error);
        }
        self.refuse(&error)
    }

    fn end(&self, outcome: &'static str, ran: Option<ErrorRan>) -> RequestEnd {
        let upstream = self.upstream.clone();
        RequestEnd { outcome, ran, reason: None, upstream, attempts: self.attempts }
    }

    fn end_with(&self, error: &CallerError) -> RequestEnd {
        let reason = Some(error.message.clone());
        RequestEnd { reason, ..self.end(error.name(), Some(error.ran)) }
    }
}

fn is_connection_lost(error: &AttemptUpstreamError) -> bool {
    matches!(error, AttemptUpstreamError::ConnectionLost { .. })
}

/// Returns whether an attempt was withdrawn before anything was sent.
fn is_withdrawn(outcome: &Result<AttemptAnswer, AttemptError>) -> bool {
    matches!(outcome, Err(AttemptError::Failed(error)) if error.is_withdrawn())
}

fn complete_answer(id: &str, status: StatusCode, content_type: &str, body: Bytes) -> HttpAnswer {
    let mut builder = Response::builder().status(status).header("x-request-id", id);
    if let Ok(kind) = HeaderValue::try_from(content_type) {
        builder = builder.header("content-type", kind);
    }
    builder.body(AnswerBody::complete(body)).expect("the headers are valid")
}
