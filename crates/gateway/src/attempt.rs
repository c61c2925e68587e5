//! One request to one worker, and whether another may follow.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_fleet::{Organisation, Route, Service};
use hollowbarrow_member::{HttpAnswer, WakeWatch};
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_routing::{AttemptBounds, AttemptLedger, CopyTicket};
use hollowbarrow_schema::{ErrorRan, RequestDigest, WorkerId};
use hollowbarrow_upstream::{ConnectionLease, SendRequestError, SentAnswer, UpstreamRequest};
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use crate::core::{Flight, GatewayCore};
use crate::picker::PickFacts;
use crate::protocol::{CallerHead, SendFacts};
use crate::refusal::Refusal;
use crate::watch::WatchEnd;

/// Longest time for a connection to a worker: two tries whose opening packet is lost. Nothing of
/// the request has left by then, so that another worker can be asked at once.
const LONGEST_CONNECT: Duration = Duration::from_millis(350);
/// Part of its objective for which a copy of a request waits for what comes of another one: later
/// it could hardly be answered in time.
const COPY_WAIT_PART: f64 = 0.5;
/// Rank of a request where neither its route nor its organisation names one.
const LOWEST_RANK: u8 = 9;

/// A request whose route, organisation and body are known.
pub(crate) struct CallerRequest {
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) received: Instant,
    /// When its caller gives it up, if the machine is not suspended.
    pub(crate) end: Instant,
    /// Time of all suspensions until it was received.
    pub(crate) slept_before: Duration,
    pub(crate) wake: Arc<WakeWatch>,
    /// Tells whether two requests are the same one, sent again.
    pub(crate) digest: RequestDigest,
}

impl CallerRequest {
    fn priority(&self) -> u8 {
        let organisation =
            self.organisation.as_ref().and_then(|organisation| organisation.priority);
        organisation.unwrap_or(self.route.priority).min(LOWEST_RANK)
    }

    fn bounds(&self) -> AttemptBounds {
        AttemptBounds {
            repeatable: self.route.kind.may_repeat(),
            max_runs: self.route.max_attempts,
            deadline: self.deadline(),
        }
    }

    /// When its caller gives it up. Callers do not wait longer because this machine slept.
    pub(crate) fn deadline(&self) -> Instant {
        let slept = self.wake.suspended(Instant::now()).saturating_sub(self.slept_before);
        self.end.checked_sub(slept).unwrap_or(self.received)
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Counts the request as failed, and logs why.
    pub(crate) fn note_failed(&self, core: &GatewayCore, refusal: Refusal, tries: &Tries) {
        self.log_failed(core, refusal, tries.ledger.sends(), &tries.story);
    }

    /// Counts a request as failed that went to no worker, and logs why.
    pub(crate) fn refuse_untried(&self, core: &GatewayCore, refusal: Refusal) -> HttpAnswer {
        self.log_failed(core, refusal, 0, "");
        refusal.to_answer(self.remaining())
    }

    fn log_failed(&self, core: &GatewayCore, refusal: Refusal, sends: u32, story: &str) {
        core.metrics.count_request(refusal.name());
        log::warn!(
            "event=request_failed request={:?} content={:016x} route={} model={:?} status={} cause={} held_ms={} sends={} last={:?}",
            self.head.id,
            *self.digest,
            self.route.name,
            self.head.model.as_ref().map_or("", |model| model.as_str()),
            refusal.status().as_u16(),
            refusal.name(),
            self.received.elapsed().as_millis(),
            sends,
            story,
        );
    }
}

/// What was tried for a request so far.
#[derive(Debug)]
pub(crate) struct Tries {
    ticket: CopyTicket,
    /// Until when it is not repeated, since others may know that it ends workers.
    paused_until: Option<Instant>,
    ledger: AttemptLedger,
    excluded: Vec<WorkerId>,
    /// When the request was last sent to a worker.
    sent: Option<Instant>,
    /// Worker and outcome of each attempt, for logs.
    story: String,
}

impl Tries {
    /// Creates the record of a request that goes to its first worker.
    pub(crate) fn new(ticket: CopyTicket) -> Self {
        Self {
            ticket,
            paused_until: None,
            ledger: AttemptLedger::new(),
            excluded: Vec::new(),
            sent: None,
            story: String::new(),
        }
    }

    /// Notes that something of an answer came.
    pub(crate) fn note_progress(&self) {
        self.ticket.note_progress();
    }

    /// Waits until the request may be repeated.
    pub(crate) async fn wait_for_news(&mut self, request: &CallerRequest) {
        if let Some(until) = self.paused_until.take() {
            tokio::time::sleep_until(until.min(request.deadline())).await;
        }
    }

    /// Workers that were tried.
    pub(crate) fn excluded(&self) -> &[WorkerId] {
        &self.excluded
    }

    /// Notes what came of a send that was watched, and returns it.
    pub(crate) fn take_sent(
        &mut self,
        waited: Result<Result<SentAnswer, AttemptUpstreamError>, WatchEnd>,
    ) -> Result<SentAnswer, AttemptUpstreamError> {
        if matches!(waited, Err(WatchEnd::Silent)) {
            self.note_paid();
        }
        let sent = waited.unwrap_or_else(|end| Err(end.into()));
        let ran = sent.as_ref().map_or_else(AttemptUpstreamError::ran, |_| ErrorRan::Ran);
        self.ledger.note_outcome(ran);
        sent
    }

    /// Notes a failed attempt.
    pub(crate) fn note_failure(
        &mut self,
        core: &GatewayCore,
        request: &CallerRequest,
        worker: &WorkerId,
        error: &AttemptUpstreamError,
    ) {
        if let (AttemptUpstreamError::ConnectionLost { .. }, Some(sent)) = (error, self.sent) {
            core.crashes().note_run(request.digest, worker, sent, Instant::now());
            self.paused_until = self.ticket.note_ended();
        }
        self.excluded.push(worker.clone());
        if !self.story.is_empty() {
            self.story.push_str("; ");
        }
        self.story.push_str(&format!("{}: {error}", **worker));
    }

    /// Whether the request may be sent to another worker after this failure.
    pub(crate) fn may_repeat(
        &mut self,
        core: &GatewayCore,
        request: &CallerRequest,
        error: &AttemptUpstreamError,
    ) -> bool {
        self.ledger.may_repeat(&request.bounds(), error, &core.budget, Instant::now())
    }

    /// Notes that the next attempt was taken from the budget already.
    pub(crate) fn note_paid(&mut self) {
        self.ledger.note_paid();
    }

    /// Whether nothing may follow the attempt that is under way.
    pub(crate) fn is_last(&self, request: &CallerRequest) -> bool {
        self.ledger.is_last(&request.bounds())
    }

    /// What the caller is told where nothing more is tried: never that the request did not run
    /// where a worker may have run it.
    pub(crate) fn to_refusal(&self, refusal: Refusal) -> Refusal {
        if self.ledger.may_have_run() && refusal.says_not_run() {
            return Refusal::Unknown;
        }
        refusal
    }
}

/// Has a request go on as one of its copies, unless it is held or has to wait for too long.
pub(crate) async fn enter_copy(
    core: &GatewayCore,
    request: &CallerRequest,
) -> Result<CopyTicket, Refusal> {
    let (held, answered) = {
        let crashes = core.crashes();
        let held = crashes.hold_left(request.digest, Instant::now());
        (held, crashes.was_answered(request.digest))
    };
    if let Some(left) = held {
        return Err(Refusal::Held(left));
    }
    let limit = request.received + request.route.objective.mul_f64(COPY_WAIT_PART);
    let entering = core.copies.enter(request.digest, answered, limit.min(request.deadline()));
    entering.await.ok_or(Refusal::CopyWaits)
}

/// Chooses a worker for the next attempt, unless the request is held.
pub(crate) fn choose_worker(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    tries: &Tries,
) -> Result<Flight, Refusal> {
    // Looked up before each attempt: another one may end the next replica.
    if let Some(left) = core.crashes().hold_left(request.digest, Instant::now()) {
        return Err(Refusal::Held(left));
    }
    let flight = core.begin_flight(&PickFacts {
        service: &request.service,
        model: request.head.model.as_ref(),
        prompt_tokens: request.head.prompt_tokens,
        excluded: tries.excluded(),
        kept: &core.client.kept_addresses(),
    });
    flight.map_err(Refusal::NoWorker)
}

/// Makes sure of a connection to a worker: nothing of the request has left before.
pub(crate) async fn connect_to_worker(
    core: &GatewayCore,
    request: &CallerRequest,
    flight: &Flight,
    tries: &mut Tries,
    resumes: bool,
) -> Result<ConnectionLease, AttemptUpstreamError> {
    if tries.ledger.sends() == 0 {
        core.budget.note_request();
    }
    tries.ledger.note_send();
    tries.sent = Some(Instant::now());
    if tries.ledger.sends() > 1 {
        core.metrics.count_repeat(if resumes { "resumed" } else { "again" });
    }
    let limit = request.deadline().min(Instant::now() + LONGEST_CONNECT);
    let preparing = core.client.prepare(flight.worker.address, true);
    match tokio::time::timeout_at(limit, preparing).await {
        Ok(Ok(lease)) => Ok(lease.with_most_idle(core.most_idle(&request.service))),
        _ => {
            tries.ledger.note_outcome(ErrorRan::NotRun);
            Err(AttemptUpstreamError::NotReached)
        }
    }
}

/// Sends a request to a worker and waits for the head of its answer, until the request's deadline.
///
/// Answers by which a worker turns a request away are failures here.
pub(crate) async fn send_to_worker(
    core: &GatewayCore,
    request: &CallerRequest,
    flight: &Flight,
    lease: ConnectionLease,
    resume_after: Option<&str>,
) -> Result<SentAnswer, AttemptUpstreamError> {
    let worker = &flight.worker;
    // Others were under way when it was chosen, and may have been turned away since: making a
    // connection takes up to LONGEST_CONNECT.
    if core.is_backed_off(&worker.id) {
        lease.give_back();
        return Err(AttemptUpstreamError::BackedOff);
    }
    let remaining = request.remaining();
    if remaining.is_zero() {
        return Err(AttemptUpstreamError::DeadlinePassed { sent: false });
    }
    let facts = SendFacts {
        worker: &worker.id,
        organisation: request.organisation.as_ref().map(|organisation| organisation.name.as_str()),
        remaining,
        resume_after,
        priority: request.priority(),
    };
    let message = UpstreamRequest {
        request_id: request.head.id.clone(),
        method: request.method.clone(),
        target: request.head.target.clone(),
        headers: core.protocol.upstream_headers(&request.headers, &facts),
        body: request.body.clone(),
        reuse: true,
    };
    let sent = core.client.send(lease, &message, request.deadline()).await;
    let answer = sent.map_err(|error| to_attempt_error(&error, request))?;
    let facts = core.protocol.read_answer(answer.status, &answer.headers);
    core.note_answer_head(&worker.id, &facts);
    let status = answer.status.as_u16();
    if facts.not_run || facts.misdirected {
        answer.lease.give_back_after(answer.body);
        return Err(AttemptUpstreamError::Refused { status, retry_after: None });
    }
    if answer.status.is_success() && !facts.signed {
        return Err(AttemptUpstreamError::BrokenAnswer { reason: "it is not signed", tokens: 0 });
    }
    Ok(answer)
}

fn to_attempt_error(error: &SendRequestError, request: &CallerRequest) -> AttemptUpstreamError {
    match error {
        SendRequestError::Connect(_) => AttemptUpstreamError::NotReached,
        SendRequestError::NotWritten | SendRequestError::Unwritable(_) => {
            AttemptUpstreamError::NotSent
        }
        SendRequestError::Timeout if Instant::now() >= request.deadline() => {
            AttemptUpstreamError::DeadlinePassed { sent: true }
        }
        SendRequestError::OtherRequest(_) => {
            AttemptUpstreamError::BrokenAnswer { reason: "it is for another request", tokens: 0 }
        }
        SendRequestError::NoAnswer(_) => AttemptUpstreamError::ConnectionLost { tokens: 0 },
        SendRequestError::Timeout => AttemptUpstreamError::NoAnswer,
    }
}
