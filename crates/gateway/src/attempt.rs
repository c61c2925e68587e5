//! One request to one worker, and whether another may follow.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_routing::{AttemptLedger, CopyTicket, PERMIT_PATIENCE, PERMIT_POLL};
use hollowbarrow_schema::{ErrorRan, WorkerId};
use hollowbarrow_upstream::{ConnectionLease, SendRequestError, SentAnswer, UpstreamRequest};
use tokio::time::Instant;

use crate::core::GatewayCore;
use crate::flight::WorkerAttempt;
use crate::picker::{LimitedWait, NoWorker, PermitWait, PickFacts};
use crate::protocol::SendFacts;
use crate::refusal::Refusal;
use crate::request::CallerRequest;
use crate::watch::WatchError;

/// Longest time for a connection to a worker: two tries whose opening packet is lost. Nothing of
/// the request has left by then, so that another worker can be asked at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Objectives for which a copy of a request waits for what comes of another one: as long as that may
/// take before its worker counts as hanging. Half an objective refused 14 of 15 harmless calls that
/// came together and whose work took that long.
const DUPLICATE_WAIT_FACTOR: f64 = 1.5;
/// Part of its time for which it waits at most.
const DUPLICATE_WAIT_DIVISOR: u32 = 3;

/// What was tried for a request so far.
#[derive(Debug)]
pub(crate) struct AttemptHistory {
    ticket: CopyTicket,
    /// Until when it is not repeated, since others may know that it ends workers.
    repeat_after: Option<Instant>,
    ledger: AttemptLedger,
    excluded: Vec<WorkerId>,
    /// When the request was last sent to a worker.
    last_sent: Option<Instant>,
    /// Worker and outcome of each attempt, for logs.
    summary: String,
}

impl AttemptHistory {
    /// Creates the record of a request that goes to its first worker.
    pub(crate) fn new(ticket: CopyTicket) -> Self {
        Self {
            ticket,
            repeat_after: None,
            ledger: AttemptLedger::new(),
            excluded: Vec::new(),
            last_sent: None,
            summary: String::new(),
        }
    }

    /// Notes that something of an answer came.
    pub(crate) fn record_progress(&self) {
        self.ticket.note_progress();
    }

    /// Waits until the request may be repeated.
    pub(crate) async fn wait_until_repeatable(&mut self, request: &CallerRequest) {
        if let Some(until) = self.repeat_after.take() {
            tokio::time::sleep_until(until.min(request.deadline())).await;
        }
    }

    /// Times that the request was sent, or that a connection for it was asked for.
    pub(crate) fn sends(&self) -> u32 {
        self.ledger.sends()
    }

    /// Worker and outcome of each attempt.
    pub(crate) fn summary(&self) -> &str {
        &self.summary
    }

    /// Workers that were tried.
    pub(crate) fn excluded(&self) -> &[WorkerId] {
        &self.excluded
    }

    /// Notes what came of a send that was watched, and returns it.
    pub(crate) fn record_send_result(
        &mut self,
        waited: Result<Result<SentAnswer, AttemptUpstreamError>, WatchError>,
    ) -> Result<SentAnswer, AttemptUpstreamError> {
        if matches!(waited, Err(WatchError::NoProgress)) {
            self.record_charged_repeat();
        }
        let sent = waited.unwrap_or_else(|error| Err(error.into()));
        let ran = sent.as_ref().map_or_else(AttemptUpstreamError::ran, |_| ErrorRan::Ran);
        self.ledger.note_outcome(ran);
        sent
    }

    /// Notes a failed attempt.
    pub(crate) fn record_failure(
        &mut self,
        core: &GatewayCore,
        request: &CallerRequest,
        worker: &WorkerId,
        error: &AttemptUpstreamError,
    ) {
        if let (AttemptUpstreamError::ConnectionLost { .. }, Some(sent)) = (error, self.last_sent) {
            core.crashes().record_crash(request.digest, worker, sent, Instant::now());
            self.repeat_after = self.ticket.note_ended();
        }
        self.excluded.push(worker.clone());
        if !self.summary.is_empty() {
            self.summary.push_str("; ");
        }
        self.summary.push_str(&format!("{}: {error}", **worker));
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
    pub(crate) fn record_charged_repeat(&mut self) {
        self.ledger.note_paid();
    }

    /// Whether nothing may follow the attempt that is under way.
    pub(crate) fn is_last(&self, request: &CallerRequest) -> bool {
        self.ledger.is_last(&request.bounds())
    }

    /// What the caller is told where nothing more is tried: never that the request did not run
    /// where a worker may have run it.
    pub(crate) fn to_refusal(&self, refusal: Refusal) -> Refusal {
        if self.ledger.may_have_run() && refusal.states_not_run() {
            return Refusal::Unknown;
        }
        refusal
    }
}

/// Has a request go on as one of its copies, unless it is held or has to wait for too long.
pub(crate) async fn admit_request(
    core: &GatewayCore,
    request: &CallerRequest,
) -> Result<CopyTicket, Refusal> {
    let (quarantine, answered) = {
        let crashes = core.crashes();
        let quarantine = crashes.quarantine_left(request.digest, Instant::now());
        (quarantine, crashes.was_answered(request.digest))
    };
    if let Some(left) = quarantine {
        return Err(Refusal::Quarantined(left));
    }
    let wait = request.route.objective.mul_f64(DUPLICATE_WAIT_FACTOR);
    let limit = Instant::now() + wait.min(request.remaining() / DUPLICATE_WAIT_DIVISOR);
    let entering = core.duplicates.enter(request.digest, answered, limit);
    entering.await.ok_or(Refusal::DuplicateInProgress)
}

/// Chooses a worker for the next attempt, unless the request is held. Where all that have room take
/// only so many requests a second, it waits for a moment until one may be sent.
pub(crate) async fn choose_worker(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    history: &AttemptHistory,
) -> Result<WorkerAttempt, Refusal> {
    let limit = request.deadline().min(Instant::now() + PERMIT_PATIENCE);
    let mut waiting: Option<PermitWaiting> = None;
    loop {
        let permits = core.permits_answered.notified();
        let left = limit.saturating_duration_since(Instant::now());
        let permit_wait = PermitWait { left, waiting: waiting.is_some() };
        let refusal = match choose_now(core, request, history, permit_wait) {
            Ok(attempt) => return Ok(attempt),
            Err(refusal) => refusal,
        };
        let soon = refusal == Refusal::NoWorker(NoWorker::Limited(LimitedWait::Soon));
        if !soon || left.is_zero() {
            return Err(refusal);
        }
        waiting.get_or_insert_with(|| PermitWaiting::new(core));
        core.permits_requested.notify_one();
        let _ = tokio::time::timeout(left.min(PERMIT_POLL), permits).await;
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
    history: &AttemptHistory,
    permit_wait: PermitWait,
) -> Result<WorkerAttempt, Refusal> {
    // Looked up before each attempt: another one may end the next replica.
    if let Some(left) = core.crashes().quarantine_left(request.digest, Instant::now()) {
        return Err(Refusal::Quarantined(left));
    }
    let attempt = core.begin_attempt(&PickFacts {
        service: &request.service,
        model: request.head.model.as_ref(),
        prompt_tokens: request.head.prompt_tokens,
        excluded: history.excluded(),
        kept: &core.client.kept_addresses(),
        permit_wait,
    });
    attempt.map_err(Refusal::NoWorker)
}

/// Makes sure of a connection to a worker: nothing of the request has left before.
pub(crate) async fn connect_to_worker(
    core: &GatewayCore,
    request: &CallerRequest,
    attempt: &WorkerAttempt,
    history: &mut AttemptHistory,
    is_resume: bool,
) -> Result<ConnectionLease, AttemptUpstreamError> {
    if history.ledger.sends() == 0 {
        core.budget.note_request();
    }
    history.ledger.note_send();
    history.last_sent = Some(Instant::now());
    if history.ledger.sends() > 1 {
        core.metrics.count_repeat(if is_resume { "resumed" } else { "again" });
    }
    let limit = request.deadline().min(Instant::now() + CONNECT_TIMEOUT);
    let preparing = core.client.prepare(attempt.worker.address, true);
    match tokio::time::timeout_at(limit, preparing).await {
        Ok(Ok(lease)) => Ok(lease.with_most_idle(core.most_idle(&request.service))),
        _ => {
            history.ledger.note_outcome(ErrorRan::NotRun);
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
    attempt: &WorkerAttempt,
    lease: ConnectionLease,
    resume_after: Option<&str>,
) -> Result<SentAnswer, AttemptUpstreamError> {
    let worker = &attempt.worker;
    // Others were under way when it was chosen, and may have been turned away since: making a
    // connection takes up to LONGEST_CONNECT.
    if core.is_backing_off(&worker.id) {
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
    attempt.record_sent();
    let sent_at = Instant::now();
    let sent = core.client.send(lease, &message, request.deadline()).await;
    let answer = sent.map_err(|error| to_attempt_error(&error, request))?;
    let facts = core.protocol.read_answer(answer.status, &answer.headers);
    core.record_answer_head(&worker.id, &facts, sent_at);
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
