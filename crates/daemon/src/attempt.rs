//! One attempt to run a request: selects an upstream, sends the request and reads its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_reach::{InstanceProbe, NotConnected};
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_routing::{
    AnswerProof, BackoffReason, PERMIT_LIFETIME, RouteCandidate, UpstreamKey, UpstreamOutlook,
    WaitFacts, may_return_to_failed, upstream_wait_limit,
};
use hollowbarrow_upstream::{SendRequestError, SentAnswer, UpstreamRequest, read_backoff};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use tokio::time::Instant;

use crate::answer::{CallerError, CallerLink, ErrorCode};
use crate::caller_request::{CallerRequest, RequestKind, headers};
use crate::core::DaemonCore;
use crate::duplicates::DuplicatePlace;
use crate::paths::target_of;
use crate::permits::{HeldPermit, PermitWait, limit_name, record_limit};
use crate::refusals::{UPSTREAM_RETRY, to_backoff_error, to_limited_error, to_send_error};
use crate::relay::{StreamRelay, read_complete_answer};
use crate::routes::{RouteEntry, RouteTarget};
use crate::telemetry::HopSpan;
use crate::upstream_state::probe_of;

/// Pause before upstreams are checked again when none has capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Pause before upstreams are checked again when none accepts requests.
const UPSTREAM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Answer of a successful attempt.
pub(crate) enum AttemptAnswer {
    /// The stream is complete and has been forwarded except for its end marker.
    Streamed,
    /// A complete answer.
    Complete { status: StatusCode, content_type: String, body: Bytes },
}

impl AttemptAnswer {
    /// Returns what the answer shows about the contents of its request; nothing if an upstream that
    /// failed to run the request may have given it.
    pub(crate) fn proof(&self) -> Option<AnswerProof> {
        match self {
            Self::Streamed => Some(AnswerProof::Success),
            Self::Complete { status, .. } if status.is_success() => Some(AnswerProof::Success),
            Self::Complete { status, .. } if status.is_server_error() => None,
            Self::Complete { .. } => Some(AnswerProof::Rejection),
        }
    }
}

/// Why an attempt has no answer.
pub(crate) enum AttemptError {
    /// An upstream failed.
    Failed(AttemptUpstreamError),
    /// No upstream was tried.
    NotAttempted(CallerError),
}

/// An upstream that was tried.
pub(crate) struct TriedUpstream {
    pub(crate) key: UpstreamKey,
    /// Recognises the process that was tried.
    pub(crate) probe: Arc<dyn InstanceProbe>,
}

/// How an attempt ended.
pub(crate) struct AttemptEnd {
    /// The upstream that was tried, if any.
    pub(crate) upstream: Option<TriedUpstream>,
    pub(crate) outcome: Result<AttemptAnswer, AttemptError>,
    /// When the upstream was selected, or none was; the request was sent later, if at all.
    pub(crate) selected: Instant,
    /// Time until the upstream was selected, or until none was, without `duplicate_wait`.
    pub(crate) upstream_wait: Duration,
    /// Time for which the attempt waited for another duplicate.
    pub(crate) duplicate_wait: Duration,
}

/// What an attempt to run a request needs.
#[derive(Clone, Copy)]
pub(crate) struct Attempt<'a> {
    pub(crate) core: &'a Arc<DaemonCore>,
    pub(crate) request: &'a CallerRequest,
    pub(crate) blocks: &'a [u64],
    /// Upstreams that are tried only if no other accepts requests.
    pub(crate) avoid: &'a [UpstreamKey],
    pub(crate) span: &'a HopSpan,
    /// Whether the caller wants a stream.
    pub(crate) streamed: bool,
    /// Whether the connection of a former attempt was lost. An idle one may have been lost with it,
    /// without a sign of that yet.
    pub(crate) connection_lost: bool,
    /// Place among the request's duplicates, given up while the attempt waits for an upstream. `None`
    /// if another attempt of the same request may be in progress.
    pub(crate) place: Option<&'a DuplicatePlace>,
}

/// Makes an attempt for a call of a plain service.
pub(crate) async fn run_plain_attempt(attempt: Attempt<'_>) -> AttemptEnd {
    // A plain call is never streamed, so nothing is sent over this link.
    let (link, _) = CallerLink::new();
    let mut relay = StreamRelay::new(&Arc::new(link), false);
    run_attempt(attempt, &mut relay).await
}

/// Selects an upstream, sends the request and reads its answer.
pub(crate) async fn run_attempt(attempt: Attempt<'_>, relay: &mut StreamRelay) -> AttemptEnd {
    let Attempt { core, request, span, .. } = attempt;
    let pick_span = span.child("pick");
    let started = Instant::now();
    let waited_before = attempt.duplicate_wait();
    let picked = pick_upstream(attempt, relay.has_started()).await;
    let duplicate_wait = attempt.duplicate_wait() - waited_before;
    let selected = Instant::now();
    let upstream_wait = (selected - started).saturating_sub(duplicate_wait);
    let end = |upstream, outcome| AttemptEnd {
        upstream,
        outcome,
        selected,
        upstream_wait,
        duplicate_wait,
    };
    let PickedUpstream { entry, permit } = match picked {
        Ok(picked) => picked,
        Err(error) => return end(None, Err(AttemptError::NotAttempted(error))),
    };
    drop(pick_span);
    let attempt_span = span.child("upstream");
    attempt_span.set("upstream", &entry.key.name);
    let key = entry.key.clone();
    let probe = probe_of(core, &entry);
    let picker_guard = PickerGuard::new(core, &key, attempt.blocks).with_permit(permit);
    let progress = relay.progress();
    let sending = send_to_upstream(attempt, (&entry, &probe), &attempt_span, relay, &picker_guard);
    let outcome = tokio::select! {
        outcome = sending => outcome,
        // A replica that lost a member cannot answer any more. Only a repeatable request is
        // abandoned for that.
        () = entry.wait_until_lost(core, &progress), if !request.not_repeatable => {
            Err(AttemptUpstreamError::BrokenAnswer { reason: "the replica lost a member", tokens: 0 })
        }
    };
    if let Err(AttemptUpstreamError::Refused { .. }) = &outcome {
        core.picker().record_refusal(&key);
    }
    if let Err(error) = &outcome {
        attempt_span.set("error", &error.to_string());
    }
    drop(picker_guard);
    end(Some(TriedUpstream { key, probe }), outcome.map_err(AttemptError::Failed))
}

impl Attempt<'_> {
    /// Gives up the place among the request's duplicates while the attempt waits.
    fn give_up_place(&self) {
        if let Some(place) = self.place {
            place.give_up();
        }
    }

    /// Waits for the place among the request's duplicates. Returns whether that took a wait.
    async fn regain_place(&self) -> Result<bool, CallerError> {
        match self.place {
            Some(place) => place.regain().await,
            None => Ok(false),
        }
    }

    fn duplicate_wait(&self) -> Duration {
        self.place.map_or(Duration::ZERO, DuplicatePlace::waited)
    }
}

/// Keeps an attempt counted at its upstream in the picker until dropped.
pub(crate) struct PickerGuard<'a> {
    core: &'a DaemonCore,
    key: &'a UpstreamKey,
    started: Instant,
    first_byte_at: std::sync::OnceLock<Instant>,
    permit: Option<HeldPermit>,
}

impl<'a> PickerGuard<'a> {
    fn new(core: &'a DaemonCore, key: &'a UpstreamKey, blocks: &[u64]) -> Self {
        let started = Instant::now();
        core.picker().record_start(key, blocks, started);
        Self { core, key, started, first_byte_at: std::sync::OnceLock::new(), permit: None }
    }

    /// Sets the permit that the attempt uses.
    fn with_permit(mut self, permit: Option<HeldPermit>) -> Self {
        self.permit = permit;
        self
    }

    /// Records that the request is being sent to the upstream.
    fn record_sent(&self) {
        if let Some(permit) = &self.permit {
            permit.record_sent();
        }
    }

    /// Records that the first byte of the answer was received.
    pub(crate) fn record_first_byte(&self) {
        let _ = self.first_byte_at.set(Instant::now());
    }
}

impl Drop for PickerGuard<'_> {
    fn drop(&mut self) {
        let first_byte_ms =
            self.first_byte_at.get().map(|at| (*at - self.started).as_secs_f64() * 1000.0);
        self.core.picker().record_end(self.key, first_byte_ms, Instant::now());
    }
}

/// A selected upstream.
struct PickedUpstream {
    entry: RouteEntry,
    /// Permit for the request, if the upstream has a rate limit.
    permit: Option<HeldPermit>,
}

/// Selects an upstream. Waits for capacity until the deadline, for a permit until
/// `PERMIT_WAIT_TIMEOUT`, and for an upstream that accepts requests until `upstream_wait_limit`. The
/// place among the request's duplicates is given up meanwhile.
async fn pick_upstream(
    attempt: Attempt<'_>,
    answer_started: bool,
) -> Result<PickedUpstream, CallerError> {
    let Attempt { core, request, blocks, avoid, .. } = attempt;
    let mut permits = PermitWait::new(core);
    let mut waits_since = None;
    let mut only_failed_since = None;
    loop {
        let now = Instant::now();
        if now >= request.deadline {
            let message = "the deadline passed before an upstream had capacity";
            return Err(CallerError::not_run(ErrorCode::DeadlinePassed, message));
        }
        // Read before the routes: those of a confirmed configuration are set before it counts as such.
        let standing = core.standing.get();
        let routes = core.routes();
        let entries = match &request.kind {
            RequestKind::Completion { model, .. } => routes.model(model),
            RequestKind::Plain(route) => routes.service(&route.service),
        };
        let mut candidates = {
            let fleet = core.fleet();
            let allowed = entries.iter().filter(|entry| entry.is_allowed(standing));
            let open = allowed.filter_map(|entry| entry.to_candidate(&fleet, now));
            open.collect::<Vec<RouteCandidate>>()
        };
        let backoff = drop_backed_off(core, &mut candidates, now);
        let lacking = drop_without_permit(core, &mut candidates, now);
        if candidates.is_empty() && !lacking.is_empty() {
            attempt.give_up_place();
            permits.wait_for_any(&lacking).await.map_err(to_limited_error)?;
            continue;
        }
        if candidates.is_empty() {
            if let Some(left) = backoff {
                return Err(to_backoff_error(left));
            }
            let facts = WaitFacts {
                outlook: upstream_outlook(core, request, entries, now),
                answer_started,
                since: *waits_since.get_or_insert(now),
                deadline: request.deadline,
                idle: Duration::from_millis(core.settings.limits.idle_ms),
            };
            if upstream_wait_limit(&facts).is_none_or(|limit| limit <= now) {
                return Err(no_upstream(core, request, entries));
            }
            attempt.give_up_place();
            tokio::time::sleep(UPSTREAM_POLL_INTERVAL).await;
            continue;
        }
        waits_since = None;
        let untried: Vec<RouteCandidate> =
            candidates.iter().filter(|c| !avoid.contains(&c.key)).cloned().collect();
        let since = *only_failed_since.get_or_insert(now);
        if untried.is_empty() && !may_return_to_failed(answer_started, since, core.lease(), now) {
            attempt.give_up_place();
            tokio::time::sleep(UPSTREAM_POLL_INTERVAL).await;
            continue;
        }
        sample_future_need(core, &candidates, &lacking, now);
        let pool = if untried.is_empty() { &candidates } else { &untried };
        let choice = core.picker().pick(pool, blocks, &mut rand::rng());
        if let Some(choice) = choice
            && let Some(entry) = entries.iter().find(|entry| entry.key == choice.key)
        {
            if attempt.regain_place().await? {
                continue;
            }
            let permit = HeldPermit::take(core, &entry.key, now);
            return Ok(PickedUpstream { entry: entry.clone(), permit });
        }
        attempt.give_up_place();
        tokio::time::sleep(CAPACITY_POLL_INTERVAL).await;
    }
}

/// Drops candidates that need a permit while none is available, and returns their names.
fn drop_without_permit(
    core: &DaemonCore,
    candidates: &mut Vec<RouteCandidate>,
    now: Instant,
) -> Vec<String> {
    let lacking = core.limits().without_permit(core.daemons(), now);
    if lacking.is_empty() {
        return Vec::new();
    }
    let mut dropped = Vec::new();
    candidates.retain(|candidate| {
        let name = limit_name(&candidate.key);
        let kept = !lacking.contains(&name);
        if !kept {
            dropped.push(name);
        }
        kept
    });
    dropped
}

/// Records a future need of a permit for a randomly drawn upstream that lacks one.
///
/// Each upstream is drawn as often as the request would be sent there if permits were available.
fn sample_future_need(
    core: &DaemonCore,
    candidates: &[RouteCandidate],
    lacking: &[String],
    now: Instant,
) {
    let index = rand::random_range(0..candidates.len() + lacking.len());
    if let Some(name) = lacking.get(index) {
        core.limits().record_future_need(name, PERMIT_LIFETIME, now);
    }
}

/// Drops candidates that are in backoff, and returns the shortest remaining backoff of those dropped.
fn drop_backed_off(
    core: &DaemonCore,
    candidates: &mut Vec<RouteCandidate>,
    now: Instant,
) -> Option<Duration> {
    let mut least: Option<Duration> = None;
    candidates.retain(|candidate| {
        let reason = core.backoff_reason(&candidate.key, now);
        least = least.into_iter().chain(reason.and_then(BackoffReason::remaining)).min();
        reason.is_none()
    });
    least
}

/// Returns what is known of a request's upstreams while none accepts requests.
fn upstream_outlook(
    core: &DaemonCore,
    request: &CallerRequest,
    entries: &[RouteEntry],
    now: Instant,
) -> UpstreamOutlook {
    let is_unconfirmed = {
        let fleet = core.fleet();
        entries.iter().any(|entry| entry.is_unconfirmed(&fleet, now))
    };
    let standing = core.standing.get();
    let awaits_leader =
        core.is_starting(now) && entries.iter().any(|entry| !entry.is_allowed(standing));
    if is_unconfirmed || awaits_leader {
        return UpstreamOutlook::Unconfirmed;
    }
    let RequestKind::Completion { model, .. } = &request.kind else { return UpstreamOutlook::None };
    let is_expected = core.config_log.read(|config| {
        config.groups().values().any(|group| group.value.model == *model && group.value.count > 0)
    });
    if is_expected { UpstreamOutlook::Loading } else { UpstreamOutlook::None }
}

fn no_upstream(core: &DaemonCore, request: &CallerRequest, entries: &[RouteEntry]) -> CallerError {
    if let RequestKind::Completion { model, .. } = &request.kind {
        let is_configured = core
            .config_log
            .read(|config| config.groups().values().any(|group| group.value.model == *model));
        // Callers do not retry after a 404, so it is sent only while the configuration is current.
        if entries.is_empty() && !is_configured && core.is_config_current(Instant::now()) {
            let message = format!("no group or endpoint serves model {}", **model);
            return CallerError::not_run(ErrorCode::NoSuchModel, message).with_field("model");
        }
    }
    let message =
        format!("no upstream accepts requests now: {}", describe_upstreams(core, entries));
    CallerError::not_run(ErrorCode::NoUpstream, message).with_retry_after(UPSTREAM_RETRY)
}

/// Describes what is known of upstreams of which none accepts requests.
fn describe_upstreams(core: &DaemonCore, entries: &[RouteEntry]) -> String {
    if entries.is_empty() {
        return "none is known".to_owned();
    }
    let now = Instant::now();
    let fleet = core.fleet();
    let unconfirmed = entries.iter().filter(|entry| entry.is_unconfirmed(&fleet, now)).count();
    format!("of {} known, {unconfirmed} may be running", entries.len())
}

async fn send_to_upstream(
    attempt: Attempt<'_>,
    (entry, probe): (&RouteEntry, &Arc<dyn InstanceProbe>),
    span: &HopSpan,
    relay: &mut StreamRelay,
    picker_guard: &PickerGuard<'_>,
) -> Result<AttemptAnswer, AttemptUpstreamError> {
    let Attempt { core, request, streamed, .. } = attempt;
    let target = target_of(request.kind.service(), entry);
    let connecting = async {
        if request.not_repeatable || attempt.connection_lost {
            core.reach.open(&target, request.deadline).await
        } else {
            core.reach.take(&target, request.deadline).await
        }
    };
    let lease = connecting.await.map_err(|NotConnected| AttemptUpstreamError::NotReached)?;
    if let Some(peer) = lease.carrier() {
        span.set("through", peer);
    }
    let message = to_upstream_request(request, entry, span, relay);
    // There must be no wait between these checks of lease and deadline and the sending.
    let now = Instant::now();
    if now >= request.deadline {
        return Err(AttemptUpstreamError::DeadlinePassed { sent: false });
    }
    if entry.usable_until(&core.fleet(), now).is_none() {
        return Err(AttemptUpstreamError::NotSent);
    }
    if core.backoff_reason(&entry.key, now).is_some() {
        lease.give_back();
        return Err(AttemptUpstreamError::BackedOff);
    }
    picker_guard.record_sent();
    let sent = core.client.send(lease, &message, request.deadline).await;
    if matches!(sent, Err(SendRequestError::Timeout | SendRequestError::NoAnswer(_))) {
        core.reach.check_upstream(target.clone());
    }
    let answer = sent.map_err(to_send_error)?;
    picker_guard.record_first_byte();
    record_limit(core, &entry.key, &answer.headers, now);
    let backoff = record_backoff_notice(core, &entry.key, &answer);
    let engine = matches!(entry.target, RouteTarget::Replica(_));
    if engine && is_refusal(answer.status) {
        return Err(AttemptUpstreamError::Refused {
            status: answer.status.as_u16(),
            retry_after: backoff,
        });
    }
    if engine && answer.status.is_server_error() {
        return Err(AttemptUpstreamError::NoAnswer);
    }
    let event_stream = answer
        .headers
        .get("content-type")
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    if streamed && event_stream {
        return relay.run(core, request, answer).await.map(|()| AttemptAnswer::Streamed);
    }
    if relay.has_started() {
        let reason = "the resumed answer is not a stream";
        return Err(AttemptUpstreamError::BrokenAnswer { reason, tokens: 0 });
    }
    read_complete_answer(core, request, answer, (&target, probe)).await
}

/// Returns whether an engine reports with this status that it did not run the request, as the
/// upstream protocol guarantees.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Records and returns the backoff that an upstream requests when it rejects a request.
fn record_backoff_notice(
    core: &DaemonCore,
    key: &UpstreamKey,
    answer: &SentAnswer,
) -> Option<Duration> {
    if !is_refusal(answer.status) {
        return None;
    }
    match read_backoff(&answer.headers) {
        Ok(backoff) => {
            let backoff = backoff?;
            core.record_backoff(key, backoff, Instant::now());
            let ms = backoff.as_millis();
            log::info!("event=upstream_backoff upstream={} ms={ms}", key.name);
            Some(backoff)
        }
        Err(error) => {
            log::warn!("event=backoff_unreadable upstream={} error={error:?}", key.name);
            None
        }
    }
}

fn to_upstream_request(
    request: &CallerRequest,
    entry: &RouteEntry,
    span: &HopSpan,
    relay: &StreamRelay,
) -> UpstreamRequest {
    let mut forwarded = request.headers.clone();
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::try_from(value) {
            forwarded.insert(name, value);
        }
    };
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    put(headers::DEADLINE, remaining.as_millis().to_string());
    put(headers::PRIORITY, request.urgency.to_string());
    put(headers::TRACE_PARENT, span.trace_parent());
    if *entry.key.epoch > 0 {
        put(headers::EPOCH, entry.key.epoch.to_string());
    }
    UpstreamRequest {
        request_id: request.id.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
        headers: forwarded,
        body: relay.resume_body(request).unwrap_or_else(|| request.body.clone()),
        reuse: !request.not_repeatable,
    }
}
