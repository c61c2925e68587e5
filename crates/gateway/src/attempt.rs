//! Attempts to send a request to a worker, and the record that decides whether another follows.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use hollowbarrow_reach::{NotConnected, UpstreamTarget};
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_routing::{
    AttemptLedger, DuplicateTicket, PERMIT_POLL_INTERVAL, PERMIT_WAIT_TIMEOUT, WaitLimits,
};
use hollowbarrow_schema::{DaemonId, ErrorRan, WorkerId};
use hollowbarrow_upstream::{ConnectionLease, SendRequestError, SentAnswer, UpstreamRequest};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::core::GatewayCore;
use crate::flight::WorkerAttempt;
use crate::lost_run::LostRun;
use crate::picker::{PermitWait, PickFacts, PickedWorker};
use crate::protocol::SendFacts;
use crate::refusal::Refusal;
use crate::request::CallerRequest;
use crate::timeouts::answer_timeout;
use crate::watch::WatchError;

/// Multiple of the objective for which a duplicate waits for the outcome of the request in
/// progress: as long as that request may take before its worker counts as hanging. With half an
/// objective, 14 of 15 harmless calls were refused that arrived together and ran for that long.
const DUPLICATE_WAIT_FACTOR: f64 = 1.5;
/// Divisor of a duplicate's remaining time; the quotient is its longest wait.
const DUPLICATE_WAIT_DIVISOR: u32 = 3;

/// Time before the next attempt while this gateway reaches a worker neither itself nor through a peer,
/// and controllers may name other peers.
const PEERS_WAIT_TIME: Duration = Duration::from_millis(150);

/// Number of lost connections of a request from which on it is retried only once it is known whether
/// their workers have terminated.
const UNCHECKED_RUNS: usize = 2;
/// Longest wait for that. A worker that refuses connections is known to have terminated once two peers
/// have tried too.
const CHECK_WAIT_TIME: Duration = Duration::from_millis(150);

/// The attempts at a request so far.
pub(crate) struct AttemptHistory {
    ticket: DuplicateTicket,
    /// Time before which the request is not retried: meanwhile other gateways may report that it
    /// crashes workers, or controllers may name other peers.
    repeat_after: Option<Instant>,
    ledger: AttemptLedger,
    excluded: Vec<WorkerId>,
    /// When the last attempt began.
    last_sent: Option<Instant>,
    /// Where the last attempt connected to.
    last_target: Option<UpstreamTarget>,
    /// Whether the connection of an attempt was lost.
    connection_lost: bool,
    /// Checks in progress of whether the workers of lost connections have terminated.
    lost_runs: Vec<JoinHandle<()>>,
    /// Number of lost connections.
    lost_connections: usize,
    /// Attempt that replaces one that was given up.
    next: Option<WorkerAttempt>,
    /// Peer that carries the connection of the last attempt, if one does.
    carrier: Option<DaemonId>,
    /// Worker and error of each failed attempt, for logs.
    summary: String,
}

impl AttemptHistory {
    /// Creates the history of a request before its first attempt.
    pub(crate) fn new(ticket: DuplicateTicket) -> Self {
        Self {
            ticket,
            repeat_after: None,
            ledger: AttemptLedger::new(),
            excluded: Vec::new(),
            last_sent: None,
            last_target: None,
            connection_lost: false,
            lost_runs: Vec::new(),
            lost_connections: 0,
            next: None,
            carrier: None,
            summary: String::new(),
        }
    }

    /// Records that part of an answer was received.
    pub(crate) fn record_progress(&self) {
        self.ticket.record_progress();
    }

    /// Records the peer that carries the connection of the current attempt, if one does.
    fn record_carrier(
        &mut self,
        request: &CallerRequest,
        attempt: &WorkerAttempt,
        carrier: Option<&str>,
    ) {
        self.carrier = carrier.map(DaemonId::from);
        if let Some(peer) = carrier {
            let (id, worker) = (&request.head.id, &attempt.worker.id);
            log::info!("event=request_carried request={id:?} worker={} peer={peer}", **worker);
        }
    }

    /// Waits until the request may be retried, at most until its deadline.
    ///
    /// A request that has lost several connections waits until it is known whether it has crashed the
    /// workers, since it may be quarantined then.
    pub(crate) async fn wait_until_repeatable(&mut self, request: &CallerRequest) {
        if self.lost_connections >= UNCHECKED_RUNS {
            let checks = join_all(self.lost_runs.drain(..));
            let _ = tokio::time::timeout(CHECK_WAIT_TIME, checks).await;
        }
        if let Some(until) = self.repeat_after.take() {
            tokio::time::sleep_until(until.min(request.deadline())).await;
        }
    }

    /// Returns the number of attempts, including those that failed to connect.
    pub(crate) fn sends(&self) -> u32 {
        self.ledger.sends()
    }

    /// Returns the worker and error of each failed attempt.
    pub(crate) fn summary(&self) -> &str {
        &self.summary
    }

    /// Returns the workers of failed attempts.
    pub(crate) fn excluded(&self) -> &[WorkerId] {
        &self.excluded
    }

    /// Records the result of a send under a progress timeout, and returns it.
    pub(crate) fn record_send_result(
        &mut self,
        waited: Result<Result<SentAnswer, AttemptUpstreamError>, WatchError>,
    ) -> Result<SentAnswer, AttemptUpstreamError> {
        let sent = waited.unwrap_or_else(|error| Err(self.record_given_up(error)));
        let ran = sent.as_ref().map_or_else(AttemptUpstreamError::ran, |_| ErrorRan::Ran);
        self.ledger.record_outcome(ran);
        sent
    }

    /// Records a failed attempt.
    pub(crate) fn record_failure(
        &mut self,
        core: &Arc<GatewayCore>,
        request: &CallerRequest,
        worker: &WorkerId,
        error: &AttemptUpstreamError,
    ) {
        if let Some(peer) = &self.carrier
            && may_be_carriers_fault(error)
        {
            core.reach.record_doubtful_peer(peer);
        }
        if matches!(error, AttemptUpstreamError::ConnectionLost { .. }) {
            self.record_lost_run(core, request, worker);
        }
        if error.ran() == ErrorRan::NotRun {
            core.crashes().withdraw_probe(&request.contents);
        }
        self.record_path(core, request, error);
        // A worker is as good as before if only the peer between was lost.
        if *error != AttemptUpstreamError::CarrierLost {
            self.excluded.push(worker.clone());
        }
        if !self.summary.is_empty() {
            self.summary.push_str("; ");
        }
        let through = self.carrier.as_ref().map(|peer| format!(" through {}", **peer));
        let through = through.unwrap_or_default();
        self.summary.push_str(&format!("{}{through}: {error}", **worker));
    }

    /// Records a run whose connection was lost, if its worker turns out to have terminated.
    fn record_lost_run(
        &mut self,
        core: &Arc<GatewayCore>,
        request: &CallerRequest,
        worker: &WorkerId,
    ) {
        // While this gateway is isolated, its own connections break whatever their workers do.
        let own_fault = self.carrier.is_none() && core.reach.is_unreached(&request.service.name);
        let (Some(sent), Some(target), false) = (self.last_sent, &self.last_target, own_fault)
        else {
            return;
        };
        let run = LostRun::new(request, worker, sent, Instant::now());
        let check = run.record_if_terminated(Arc::clone(core), target.clone());
        self.lost_connections += 1;
        self.lost_runs.push(tokio::spawn(check));
        self.repeat_after = self.ticket.record_crash(|content| core.crashes().standing(content));
    }

    /// Records what a failure may mean for this gateway's paths.
    fn record_path(
        &mut self,
        core: &GatewayCore,
        request: &CallerRequest,
        error: &AttemptUpstreamError,
    ) {
        match error {
            AttemptUpstreamError::ConnectionLost { .. } => self.connection_lost = true,
            AttemptUpstreamError::NotReached if core.reach.awaits_peers(&request.service.name) => {
                self.repeat_after = Some(Instant::now() + PEERS_WAIT_TIME);
            }
            _ => {}
        }
    }

    /// Returns whether the request may be sent to another worker after this failure.
    pub(crate) fn may_repeat(
        &mut self,
        core: &GatewayCore,
        request: &CallerRequest,
        error: &AttemptUpstreamError,
    ) -> bool {
        self.ledger.may_repeat(&request.bounds(), error, &core.budget, Instant::now())
    }

    /// Records that an attempt is given up, and returns its error.
    pub(crate) fn record_given_up(&mut self, error: WatchError) -> AttemptUpstreamError {
        match error {
            WatchError::Deadline => AttemptUpstreamError::DeadlinePassed { sent: true },
            WatchError::NoProgress(next) => {
                self.ledger.record_budgeted();
                self.next = Some(next);
                AttemptUpstreamError::NoAnswer
            }
        }
    }

    /// Returns whether no further attempt may follow the current one.
    pub(crate) fn is_last(&self, request: &CallerRequest) -> bool {
        self.ledger.is_last(&request.bounds())
    }

    /// Returns until when a worker is waited for that does not answer a check after its answer has ended.
    /// Nothing is gained by giving up the last attempt earlier.
    pub(crate) fn check_limit(&self, request: &CallerRequest) -> Instant {
        let deadline = request.deadline();
        if self.is_last(request) {
            return deadline;
        }
        let timeout = answer_timeout(request.remaining(), request.route.objective);
        deadline.min(Instant::now() + timeout)
    }

    /// Returns the refusal for the caller when no further attempt follows. It never states that the
    /// request did not run if a worker may have run it.
    pub(crate) fn to_refusal(&self, refusal: Refusal) -> Refusal {
        if self.ledger.may_have_run() && refusal.states_not_run() {
            return Refusal::Unknown;
        }
        refusal
    }
}

/// Returns whether the peer that carries a connection may have caused an error.
fn may_be_carriers_fault(error: &AttemptUpstreamError) -> bool {
    matches!(
        error,
        AttemptUpstreamError::CarrierLost
            | AttemptUpstreamError::NoAnswer
            | AttemptUpstreamError::BrokenAnswer { .. }
    )
}

/// Admits a request. Refuses it if it is quarantined, or if it is a duplicate that may not be sent
/// in time because the request in progress neither ends nor shows progress.
pub(crate) async fn admit_request(
    core: &GatewayCore,
    request: &CallerRequest,
) -> Result<DuplicateTicket, Refusal> {
    if let Some(left) = core.crashes().quarantine_left(&request.contents, Instant::now()) {
        return Err(Refusal::Quarantined(left));
    }
    let wait = request.route.objective.mul_f64(DUPLICATE_WAIT_FACTOR);
    let (now, most) = (Instant::now(), request.remaining() / DUPLICATE_WAIT_DIVISOR);
    let limits = WaitLimits { others: now + wait.min(most), pause: now + most };
    let standing = |content| core.crashes().standing(content);
    let entering = core.duplicates.enter(&request.contents, standing, limits);
    entering.await.ok_or(Refusal::DuplicateInProgress)
}

/// Why no attempt can replace the one in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReplacement {
    /// The other workers with capacity need a permit, which was requested.
    NeedsPermit,
    /// The retry budget is used up, or no other worker has capacity.
    Unavailable,
}

/// Returns an attempt at another worker that may replace the one at `current`. It is charged to the
/// retry budget.
pub(crate) fn reserve_replacement(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    history: &AttemptHistory,
    current: &WorkerId,
) -> Result<WorkerAttempt, NoReplacement> {
    if !core.budget.take(Instant::now()) {
        return Err(NoReplacement::Unavailable);
    }
    let excluded: Vec<WorkerId> = history.excluded().iter().chain([current]).cloned().collect();
    let permit_wait = PermitWait { left: PERMIT_WAIT_TIMEOUT, waiting: false };
    choose_now(core, request, &excluded, permit_wait).map_err(|refusal| {
        core.budget.give_back();
        if !refusal.ends_with_permit() {
            return NoReplacement::Unavailable;
        }
        core.permits_requested.notify_one();
        NoReplacement::NeedsPermit
    })
}

/// Chooses a worker for the next attempt, unless the request is quarantined. If all workers with
/// free capacity have a rate limit, waits up to [`PERMIT_WAIT_TIMEOUT`] for a permit.
pub(crate) async fn choose_worker(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    history: &mut AttemptHistory,
) -> Result<WorkerAttempt, Refusal> {
    if let Some(next) = history.next.take() {
        return Ok(next);
    }
    let limit = request.deadline().min(Instant::now() + PERMIT_WAIT_TIMEOUT);
    let mut waiting: Option<PermitWaiting> = None;
    loop {
        let permits = core.permits_answered.notified();
        let left = limit.saturating_duration_since(Instant::now());
        let permit_wait = PermitWait { left, waiting: waiting.is_some() };
        let refusal = match choose_now(core, request, history.excluded(), permit_wait) {
            Ok(attempt) => return Ok(attempt),
            Err(refusal) => refusal,
        };
        if !refusal.ends_with_permit() || left.is_zero() {
            return Err(refusal);
        }
        waiting.get_or_insert_with(|| PermitWaiting::new(core));
        core.permits_requested.notify_one();
        let _ = tokio::time::timeout(left.min(PERMIT_POLL_INTERVAL), permits).await;
    }
}

/// Counts a request as waiting for a permit until it is dropped.
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
    excluded: &[WorkerId],
    permit_wait: PermitWait,
) -> Result<WorkerAttempt, Refusal> {
    // Checked before each attempt: a further attempt could crash another replica.
    if let Some(left) = core.crashes().quarantine_left(&request.contents, Instant::now()) {
        return Err(Refusal::Quarantined(left));
    }
    let attempt = core.begin_attempt(&PickFacts {
        service: &request.service,
        model: request.head.model.as_ref(),
        prompt_tokens: request.head.prompt_tokens,
        excluded,
        kept: &core.client.idle_addresses(),
        permit_wait,
    });
    let attempt = attempt.map_err(Refusal::NoWorker)?;
    match core.crashes().admit(&request.contents, Instant::now()) {
        Some(left) => Err(Refusal::Quarantined(left)),
        None => Ok(attempt),
    }
}

/// Returns a worker as the target of a connection.
pub(crate) fn target_of(request: &CallerRequest, worker: &PickedWorker) -> UpstreamTarget {
    UpstreamTarget {
        service: request.service.name.to_string(),
        name: worker.id.to_string(),
        address: worker.address,
    }
}

/// Connects to a worker, or reuses an idle connection unless one was lost before. Nothing of the
/// request has been sent when this returns.
pub(crate) async fn connect_to_worker(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    attempt: &WorkerAttempt,
    history: &mut AttemptHistory,
    is_resume: bool,
) -> Result<ConnectionLease, AttemptUpstreamError> {
    if history.ledger.sends() == 0 {
        core.budget.record_request();
    }
    history.ledger.record_send();
    let (target, deadline) = (target_of(request, &attempt.worker), request.deadline());
    history.last_sent = Some(Instant::now());
    history.last_target = Some(target.clone());
    if history.ledger.sends() > 1 {
        core.metrics.count_repeat(if is_resume { "resumed" } else { "again" });
    }
    // An idle connection may have been lost with the former attempt's, without a sign of it yet.
    let opened = if history.connection_lost {
        core.reach.open(&target, deadline).await
    } else {
        core.reach.take(&target, deadline).await
    };
    match opened {
        Ok(lease) => {
            history.record_carrier(request, attempt, lease.carrier());
            Ok(lease.with_max_idle(core.most_idle(&request.service)))
        }
        Err(NotConnected) => {
            history.carrier = None;
            history.ledger.record_outcome(ErrorRan::NotRun);
            Err(AttemptUpstreamError::NotReached)
        }
    }
}

/// Sends a request to a worker and waits for the head of its answer, until the request's deadline.
///
/// An answer by which the worker rejects the request is returned as an error.
pub(crate) async fn send_to_worker(
    core: &GatewayCore,
    request: &CallerRequest,
    attempt: &WorkerAttempt,
    lease: ConnectionLease,
    resume_after: Option<&str>,
) -> Result<SentAnswer, AttemptUpstreamError> {
    let worker = &attempt.worker;
    // Connecting takes some time. Meanwhile the worker may have rejected other requests
    // and asked for a backoff.
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
        SendRequestError::Connect(_) | SendRequestError::Refused(_) => {
            AttemptUpstreamError::NotReached
        }
        SendRequestError::NotWritten | SendRequestError::Unwritable(_) => {
            AttemptUpstreamError::NotWritten
        }
        SendRequestError::Timeout if Instant::now() >= request.deadline() => {
            AttemptUpstreamError::DeadlinePassed { sent: true }
        }
        SendRequestError::OtherRequest(_) => {
            AttemptUpstreamError::BrokenAnswer { reason: "it is for another request", tokens: 0 }
        }
        SendRequestError::InvalidStatus(_) => {
            AttemptUpstreamError::BrokenAnswer { reason: "its status is not valid", tokens: 0 }
        }
        SendRequestError::CarrierLost => AttemptUpstreamError::CarrierLost,
        SendRequestError::NoAnswer(_) => AttemptUpstreamError::ConnectionLost { tokens: 0 },
        SendRequestError::Timeout => AttemptUpstreamError::NoAnswer,
    }
}
