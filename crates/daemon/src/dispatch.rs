//! Takes one request from the door to its end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_routing::retry::{AttemptUpstreamError, RequestFacts, RetryStep, decide_retry};
use hollowbarrow_routing::{RouteCandidate, UpstreamKey, hash_prefix};
use hollowbarrow_schema::{ClaimOutcome, ErrorRan, StoredAnswer};
use hollowbarrow_upstream::{SentAnswer, UpstreamRequest};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use crate::answer::{AnswerBody, CallerAnswer, CallerError, CallerLink, ErrorCode};
use crate::claims::{ClaimIdentity, HeldClaim};
use crate::core::DaemonCore;
use crate::facts::{CallerRequest, RequestKind, headers};
use crate::refusals::{
    UPSTREAM_RETRY, to_attempt_error, to_claim_error, to_limit_error, to_propose_error,
    to_send_error, to_shed_error,
};
use crate::relay::{StreamRelay, read_whole};
use crate::routes::{RouteEntry, RouteTarget};
use crate::telemetry::HopSpan;

/// Pause before the upstreams are looked at again when none has room.
const ROOM_PAUSE: Duration = Duration::from_millis(10);

/// How a request ended, for logs and metrics.
#[derive(Debug)]
pub(crate) struct RequestEnd {
    pub(crate) outcome: &'static str,
    pub(crate) ran: Option<ErrorRan>,
    pub(crate) upstream: Option<UpstreamKey>,
    pub(crate) attempts: u32,
}

/// One request on its way.
pub(crate) struct RequestRun {
    pub(crate) core: Arc<DaemonCore>,
    pub(crate) request: CallerRequest,
    pub(crate) link: Arc<CallerLink>,
    pub(crate) span: HopSpan,
    pub(crate) blocks: Vec<u64>,
    pub(crate) attempts: u32,
    pub(crate) upstream: Option<UpstreamKey>,
    tried: Vec<UpstreamKey>,
}

/// Runs a request and gives its answer.
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
    let mut run = RequestRun {
        core,
        request,
        link: Arc::new(link),
        span,
        blocks,
        attempts: 0,
        upstream: None,
        tried: Vec::new(),
    };
    let end = run.admit_and_run().await;
    let core = Arc::clone(&run.core);
    core.telemetry.note_end(&run, &end);
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
            () = self.link.abandoned() => return self.end("cancelled", Some(ErrorRan::NotRun)),
        };
        drop(queue_span);
        core.telemetry.note_queued(self.request.urgency, now.elapsed());
        let place = match entered {
            Ok(place) => place,
            Err(error) => return self.refuse(&to_shed_error(&error)),
        };
        let end = self.run_claimed().await;
        drop(place);
        drop(limit);
        end
    }

    /// Runs the request, under a claim where it must not run twice.
    async fn run_claimed(&mut self) -> RequestEnd {
        let key = self.request.key.clone().filter(|_| self.request.not_repeatable);
        let Some(key) = key else { return self.run(None).await };
        let request = &self.request;
        let identity =
            ClaimIdentity::new(&request.organisation.id, &key, &request.target, &request.body);
        let attempt = format!("{}/{:016x}", **self.core.id(), rand::random::<u64>());
        let span = self.span.child("claim");
        let opened = self.core.open_claim(&identity, &attempt, request.deadline).await;
        drop(span);
        match opened {
            Ok((ClaimOutcome::Granted, held)) => self.run(Some(held)).await,
            Ok((ClaimOutcome::Answered(answer), _)) => self.replay(answer),
            Ok((outcome, _)) => self.refuse(&to_claim_error(&outcome)),
            Err(error) => self.refuse(&to_propose_error(error)),
        }
    }

    async fn run(&mut self, claim: Option<HeldClaim>) -> RequestEnd {
        if let RequestKind::Plain(route) = &self.request.kind
            && let Some(hedge_ms) = route.hedge_ms
            && !self.request.not_repeatable
            && self.request.method.is_safe()
        {
            return self.run_hedged(Duration::from_millis(hedge_ms)).await;
        }
        self.run_attempts(claim).await
    }

    /// Tries upstreams in turn for as long as that is safe.
    async fn run_attempts(&mut self, claim: Option<HeldClaim>) -> RequestEnd {
        self.core.budget.note_request();
        let streamed = matches!(self.request.kind, RequestKind::Completion { stream: true, .. });
        let mut relay = StreamRelay::new(&self.link, claim.is_some());
        loop {
            self.attempts += 1;
            let attempt = attempt_once(
                &self.core,
                &self.request,
                &self.blocks,
                &self.tried,
                &self.span,
                &mut relay,
                streamed,
            );
            let watched = self.link.abandoned();
            let tried = tokio::select! {
                tried = attempt => tried,
                // Dropping the attempt closes its connection, which cancels the upstream.
                () = watched, if !self.request.not_repeatable => {
                    return self.end("cancelled", Some(ErrorRan::Unknown));
                }
            };
            let (key, outcome) = tried;
            if let Some(key) = key {
                self.tried.push(key.clone());
                self.upstream = Some(key);
            }
            let error = match outcome {
                Ok(answer) => return self.finish(answer, &mut relay, claim).await,
                Err(AttemptEnd::Failed(error)) => error,
                Err(AttemptEnd::Nothing(error)) => {
                    if let Some(held) = claim {
                        self.core.release_claim(held);
                    }
                    return self.fail(&error, &mut relay).await;
                }
            };
            let facts = RequestFacts {
                repeatable: !self.request.not_repeatable,
                resumable: relay.is_resumable(),
                answer_started: relay.has_started(),
                attempts: self.attempts,
                deadline: self.request.deadline,
            };
            match decide_retry(&facts, &error, &self.core.budget, Instant::now()) {
                RetryStep::Again => self.core.telemetry.note_retry("again"),
                RetryStep::Resume => self.core.telemetry.note_retry("resume"),
                RetryStep::GiveUp(ran) => {
                    self.settle_failed_claim(claim, ran).await;
                    return self.fail(&to_attempt_error(&error, ran), &mut relay).await;
                }
            }
        }
    }

    async fn settle_failed_claim(&self, claim: Option<HeldClaim>, ran: ErrorRan) {
        let Some(held) = claim else { return };
        if ran == ErrorRan::NotRun {
            self.core.release_claim(held);
        } else {
            self.core.close_claim(held, None, false).await;
        }
    }

    /// Gives the whole answer, recording it first where it is claimed.
    async fn finish(
        &mut self,
        answer: Attempted,
        relay: &mut StreamRelay,
        claim: Option<HeldClaim>,
    ) -> RequestEnd {
        match answer {
            Attempted::Streamed => {
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
            Attempted::Whole { status, content_type, body } => {
                if let Some(held) = claim {
                    let text = String::from_utf8(body.to_vec()).ok();
                    let stored = text.map(|body| StoredAnswer {
                        status: status.as_u16(),
                        content_type: content_type.clone(),
                        body,
                    });
                    self.core.close_claim(held, stored, true).await;
                }
                self.link.give(whole_answer(&self.request.id, status, &content_type, body));
            }
        }
        self.end("ok", None)
    }

    /// Asks a second upstream when the first is slow, and takes the first whole answer.
    async fn run_hedged(&mut self, after: Duration) -> RequestEnd {
        self.core.budget.note_request();
        self.attempts = 1;
        let core = Arc::clone(&self.core);
        let request = self.request.clone();
        let span = self.span.child("hedge");
        let first = plain_attempt(&core, &request, &[], &span);
        tokio::pin!(first);
        let early = tokio::time::timeout(after, first.as_mut()).await;
        let (key, outcome) = match early {
            Ok(done) => done,
            Err(_) if core.budget.take(Instant::now()) => {
                self.attempts = 2;
                core.telemetry.note_retry("hedge");
                let avoid: Vec<UpstreamKey> = Vec::new();
                let second = plain_attempt(&core, &request, &avoid, &span);
                tokio::pin!(second);
                tokio::select! {
                    done = first.as_mut() => if done.1.is_ok() { done } else { second.await },
                    done = second.as_mut() => if done.1.is_ok() { done } else { first.await },
                }
            }
            Err(_) => first.await,
        };
        self.upstream = key;
        let mut relay = StreamRelay::new(&self.link, false);
        match outcome {
            Ok(answer) => self.finish(answer, &mut relay, None).await,
            Err(AttemptEnd::Failed(_)) => {
                self.tried.extend(self.upstream.clone());
                self.run_attempts(None).await
            }
            Err(AttemptEnd::Nothing(error)) => self.fail(&error, &mut relay).await,
        }
    }

    fn replay(&mut self, answer: StoredAnswer) -> RequestEnd {
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
        let body = Bytes::from(answer.body);
        let mut replayed = whole_answer(&self.request.id, status, &answer.content_type, body);
        replayed.headers_mut().insert("x-hollowbarrow-replayed", HeaderValue::from_static("true"));
        self.link.give(replayed);
        self.end("replayed", Some(ErrorRan::Ran))
    }

    fn refuse(&mut self, error: &CallerError) -> RequestEnd {
        self.link.give(error.to_answer(&self.request.id));
        self.end(error.name(), Some(error.ran))
    }

    async fn fail(&mut self, error: &CallerError, relay: &mut StreamRelay) -> RequestEnd {
        if relay.has_started() {
            relay.fail(&error.to_json(&self.request.id)).await;
            return self.end(error.name(), Some(error.ran));
        }
        self.refuse(error)
    }

    fn end(&self, outcome: &'static str, ran: Option<ErrorRan>) -> RequestEnd {
        let upstream = self.upstream.clone();
        RequestEnd { outcome, ran, upstream, attempts: self.attempts }
    }
}

/// What an attempt brought.
pub(crate) enum Attempted {
    /// The stream came whole and was passed on but for its end mark.
    Streamed,
    /// A whole answer.
    Whole { status: StatusCode, content_type: String, body: Bytes },
}

/// Why an attempt brought nothing.
pub(crate) enum AttemptEnd {
    /// An upstream failed.
    Failed(AttemptUpstreamError),
    /// There was none to try.
    Nothing(CallerError),
}

type AttemptResult = (Option<UpstreamKey>, Result<Attempted, AttemptEnd>);

async fn plain_attempt(
    core: &Arc<DaemonCore>,
    request: &CallerRequest,
    avoid: &[UpstreamKey],
    span: &HopSpan,
) -> AttemptResult {
    // A plain call is never streamed, so nothing goes over this link.
    let (link, _) = CallerLink::new();
    let mut relay = StreamRelay::new(&Arc::new(link), false);
    attempt_once(core, request, &[], avoid, span, &mut relay, false).await
}

/// Picks an upstream, sends the request and brings its answer.
async fn attempt_once(
    core: &Arc<DaemonCore>,
    request: &CallerRequest,
    blocks: &[u64],
    avoid: &[UpstreamKey],
    span: &HopSpan,
    relay: &mut StreamRelay,
    streamed: bool,
) -> AttemptResult {
    let pick_span = span.child("pick");
    let entry = match pick_upstream(core, request, blocks, avoid).await {
        Ok(entry) => entry,
        Err(error) => return (None, Err(AttemptEnd::Nothing(error))),
    };
    drop(pick_span);
    let attempt_span = span.child("upstream");
    attempt_span.set("upstream", &entry.key.name);
    let key = entry.key.clone();
    let tally = PickerTally::new(core, &key, blocks);
    let sending = send_to_upstream(core, request, &entry, &attempt_span, relay, streamed, &tally);
    let outcome = tokio::select! {
        outcome = sending => outcome,
        // The answer of a replica that lost a member will not come; only what may run again
        // is given up for that.
        () = entry.lost(core), if !request.not_repeatable => {
            Err(AttemptUpstreamError::BrokenAnswer { reason: "the replica lost a member", tokens: 0 })
        }
    };
    if let Err(AttemptUpstreamError::Refused { .. }) = &outcome {
        core.picker().note_refusal(&key);
    }
    if let Err(error) = &outcome {
        attempt_span.set("error", &error.to_string());
    }
    drop(tally);
    (Some(key), outcome.map_err(AttemptEnd::Failed))
}

/// Counts an attempt at its upstream until it ends.
pub(crate) struct PickerTally<'a> {
    core: &'a DaemonCore,
    key: &'a UpstreamKey,
    started: Instant,
    first: std::sync::OnceLock<Instant>,
}

impl<'a> PickerTally<'a> {
    fn new(core: &'a DaemonCore, key: &'a UpstreamKey, blocks: &[u64]) -> Self {
        let started = Instant::now();
        core.picker().note_start(key, blocks, started);
        Self { core, key, started, first: std::sync::OnceLock::new() }
    }

    /// Notes that the first byte of the answer came.
    pub(crate) fn note_first(&self) {
        let _ = self.first.set(Instant::now());
    }
}

impl Drop for PickerTally<'_> {
    fn drop(&mut self) {
        let first = self.first.get().map(|at| (*at - self.started).as_secs_f64() * 1000.0);
        self.core.picker().note_end(self.key, first, Instant::now());
    }
}

/// Chooses an upstream, waiting for room until the deadline.
async fn pick_upstream(
    core: &DaemonCore,
    request: &CallerRequest,
    blocks: &[u64],
    avoid: &[UpstreamKey],
) -> Result<RouteEntry, CallerError> {
    loop {
        let now = Instant::now();
        if now >= request.deadline {
            let message = "the deadline passed before an upstream had room";
            return Err(CallerError::not_run(ErrorCode::DeadlinePassed, message));
        }
        let routes = core.routes();
        let entries = match &request.kind {
            RequestKind::Completion { model, .. } => routes.model(model),
            RequestKind::Plain(route) => routes.service(&route.service),
        };
        let candidates = {
            let fleet = core.fleet();
            let open = entries.iter().filter_map(|entry| entry.to_candidate(&fleet, now));
            open.collect::<Vec<RouteCandidate>>()
        };
        if candidates.is_empty() {
            return Err(no_upstream(core, request, entries));
        }
        let fresh: Vec<RouteCandidate> =
            candidates.iter().filter(|c| !avoid.contains(&c.key)).cloned().collect();
        let pool = if fresh.is_empty() { &candidates } else { &fresh };
        let choice = core.picker().pick(pool, blocks, &mut rand::rng());
        if let Some(choice) = choice
            && let Some(entry) = entries.iter().find(|entry| entry.key == choice.key)
        {
            return Ok(entry.clone());
        }
        tokio::time::sleep(ROOM_PAUSE).await;
    }
}

fn no_upstream(core: &DaemonCore, request: &CallerRequest, entries: &[RouteEntry]) -> CallerError {
    if let RequestKind::Completion { model, .. } = &request.kind {
        let asked_for = core
            .config_log
            .read(|config| config.groups().values().any(|group| group.value.model == *model));
        if entries.is_empty() && !asked_for {
            let message = format!("no group or endpoint serves model {}", **model);
            return CallerError::not_run(ErrorCode::NoSuchModel, message).with_field("model");
        }
    }
    let message = "no upstream may take requests now";
    CallerError::not_run(ErrorCode::NoUpstream, message).with_retry_after(UPSTREAM_RETRY)
}

async fn send_to_upstream(
    core: &Arc<DaemonCore>,
    request: &CallerRequest,
    entry: &RouteEntry,
    span: &HopSpan,
    relay: &mut StreamRelay,
    streamed: bool,
    tally: &PickerTally<'_>,
) -> Result<Attempted, AttemptUpstreamError> {
    let reuse = !request.not_repeatable;
    let lease = core
        .client
        .prepare(entry.address, reuse)
        .await
        .map_err(|_| AttemptUpstreamError::NotReached)?;
    let message = to_upstream_request(request, entry, span, relay);
    // From here on nothing may take time: the lease and the deadline are checked, then it goes.
    let now = Instant::now();
    if now >= request.deadline {
        return Err(AttemptUpstreamError::DeadlinePassed { sent: false });
    }
    if entry.until(&core.fleet(), now).is_none() {
        return Err(AttemptUpstreamError::NotSent);
    }
    let answer =
        core.client.send(lease, &message, request.deadline).await.map_err(to_send_error)?;
    tally.note_first();
    let engine = matches!(entry.target, RouteTarget::Replica(_));
    if engine && is_refusal(answer.status) {
        return Err(to_refusal(&answer));
    }
    if engine && answer.status.is_server_error() {
        return Err(AttemptUpstreamError::NoAnswer);
    }
    let event_stream = answer
        .headers
        .get("content-type")
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    if streamed && event_stream {
        return relay.run(core, request, answer).await.map(|()| Attempted::Streamed);
    }
    if relay.has_started() {
        let reason = "the resumed answer is no stream";
        return Err(AttemptUpstreamError::BrokenAnswer { reason, tokens: 0 });
    }
    read_whole(core, request, answer).await
}

/// Statuses by which an engine says that it ran nothing, as the upstream protocol promises.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn to_refusal(answer: &SentAnswer) -> AttemptUpstreamError {
    let seconds = answer.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
    AttemptUpstreamError::Refused {
        status: answer.status.as_u16(),
        retry_after: seconds.map(Duration::from_secs),
    }
}

fn to_upstream_request(
    request: &CallerRequest,
    entry: &RouteEntry,
    span: &HopSpan,
    relay: &StreamRelay,
) -> UpstreamRequest {
    let mut passed = request.headers.clone();
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::try_from(value) {
            passed.insert(name, value);
        }
    };
    let left = request.deadline.saturating_duration_since(Instant::now());
    put(headers::DEADLINE, left.as_millis().to_string());
    put(headers::PRIORITY, request.urgency.to_string());
    put(headers::TRACE_PARENT, span.trace_parent());
    if *entry.key.epoch > 0 {
        put(headers::EPOCH, entry.key.epoch.to_string());
    }
    UpstreamRequest {
        request_id: request.id.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
        headers: passed,
        body: relay.resume_body(request).unwrap_or_else(|| request.body.clone()),
        reuse: !request.not_repeatable,
    }
}

fn whole_answer(id: &str, status: StatusCode, content_type: &str, body: Bytes) -> CallerAnswer {
    let mut builder = Response::builder().status(status).header("x-request-id", id);
    if let Ok(kind) = HeaderValue::try_from(content_type) {
        builder = builder.header("content-type", kind);
    }
    builder.body(AnswerBody::whole(body)).expect("the headers are valid")
}
