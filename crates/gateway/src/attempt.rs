//! One request to one worker, and whether another may follow.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_routing::{
    AttemptLedger, DuplicateTicket, PERMIT_POLL_INTERVAL, PERMIT_WAIT_TIMEOUT,
};
use hollowbarrow_schema::{ErrorRan, WorkerId};
use hollowbarrow_upstream::{ConnectionLease, SendRequestError, SentAnswer, UpstreamRequest};
use tokio::time::Instant;

use crate::core::GatewayCore;
use crate::flight::Flight;
use crate::picker::{LimitedWait, NoWorker, PermitWait, PickFacts};
use crate::protocol::SendFacts;
use crate::refusal::Refusal;
use crate::request::CallerRequest;
use crate::watch::WatchEnd;

/// Longest time for a connection to a worker: two tries whose opening packet is lost. Nothing of
/// the request has left by then, so that another worker can be asked at once.
const LONGEST_CONNECT: Duration = Duration::from_millis(350);
/// Objectives for which a copy of a request waits for what comes of another one: as long as that may
/// take before its worker counts as hanging. Half an objective refused 14 of 15 harmless calls that
/// came together and whose work took that long.
const COPY_WAIT_FACTOR: f64 = 1.5;
/// Part of its time for which it waits at most.
const COPY_WAIT_PART: u32 = 3;

/// What was tried for a request so far.
#[derive(Debug)]
pub(crate) struct Tries {
    ticket: DuplicateTicket,
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
    pub(crate) fn new(ticket: DuplicateTicket) -> Self {
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
        self.ticket.record_progress();
    }

    /// Waits until the request may be repeated.
    pub(crate) async fn wait_for_news(&mut self, request: &CallerRequest) {
        if let Some(until) = self.paused_until.take() {
            tokio::time::sleep_until(until.min(request.deadline())).await;
        }
    }

    /// Times that the request was sent, or that a connection for it was asked for.
    pub(crate) fn sends(&self) -> u32 {
        self.ledger.sends()
    }

    /// Worker and outcome of each attempt.
    pub(crate) fn story(&self) -> &str {
        &self.story
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
        self.ledger.record_outcome(ran);
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
            self.paused_until = self.ticket.record_crash();
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
        self.ledger.record_budgeted();
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
) -> Result<DuplicateTicket, Refusal> {
    let (held, answered) = {
        let crashes = core.crashes();
        let held = crashes.hold_left(request.digest, Instant::now());
        (held, crashes.was_answered(request.digest))
    };
    if let Some(left) = held {
        return Err(Refusal::Held(left));
    }
    let wait = request.route.objective.mul_f64(COPY_WAIT_FACTOR);
    let limit = Instant::now() + wait.min(request.remaining() / COPY_WAIT_PART);
    let entering = core.copies.enter(request.digest, answered, limit);
    entering.await.ok_or(Refusal::CopyWaits)
}

/// Chooses a worker for the next attempt, unless the request is held. Where all that have room take
/// only so many requests a second, it waits for a moment until one may be sent.
pub(crate) async fn choose_worker(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    tries: &Tries,
) -> Result<Flight, Refusal> {
    let limit = request.deadline().min(Instant::now() + PERMIT_WAIT_TIMEOUT);
    let mut waiting: Option<PermitWaiting> = None;
    loop {
        let came = core.permits_came.notified();
        let left = limit.saturating_duration_since(Instant::now());
        let permit_wait = PermitWait { left, waiting: waiting.is_some() };
        let refusal = match choose_now(core, request, tries, permit_wait) {
            Ok(flight) => return Ok(flight),
            Err(refusal) => refusal,
        };
        let soon = refusal == Refusal::NoWorker(NoWorker::Limited(LimitedWait::Soon));
        if !soon || left.is_zero() {
            return Err(refusal);
        }
        waiting.get_or_insert_with(|| PermitWaiting::new(core));
        core.permits_wanted.notify_one();
        let _ = tokio::time::timeout(left.min(PERMIT_POLL_INTERVAL), came).await;
    }
}

/// Counts a request as waiting for a permit.
struct PermitWaiting(Arc<GatewayCore>);

impl PermitWaiting {
    fn new(core: &Arc<GatewayCore>) -> Self {
        core.picker().begin_wait();
        Self(Arc::clone(core))
    }
}

impl Drop for PermitWaiting {
    fn drop(&mut self) {
        self.0.picker().end_wait();
    }
}

fn choose_now(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    tries: &Tries,
    permit_wait: PermitWait,
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
        kept: &core.client.idle_addresses(),
        permit_wait,
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
        core.budget.record_request();
    }
    tries.ledger.record_send();
    tries.sent = Some(Instant::now());
    if tries.ledger.sends() > 1 {
        core.metrics.count_repeat(if resumes { "resumed" } else { "again" });
    }
    let limit = request.deadline().min(Instant::now() + LONGEST_CONNECT);
    let preparing = core.client.prepare(flight.worker.address, true);
    match tokio::time::timeout_at(limit, preparing).await {
        Ok(Ok(lease)) => Ok(lease.with_max_idle(core.most_idle(&request.service))),
        _ => {
            tries.ledger.record_outcome(ErrorRan::NotRun);
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
    core.count_limited_send(&worker.id);
    flight.note_sent();
    let sent_at = Instant::now();
    let sent = core.client.send(lease, &message, request.deadline()).await;
    let answer = sent.map_err(|error| to_attempt_error(&error, request))?;
    let facts = core.protocol.read_answer(answer.status, &answer.headers);
    core.note_answer_head(&worker.id, &facts, sent_at);
    let status = answer.status.as_u16();
    if facts.not_run || facts.misdirected {
        answer.lease.give_back_after(answer.body);
        let retry_after = facts.notice.backoff.ok().flatten();
        return Err(AttemptUpstreamError::Refused { status, retry_after });
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
