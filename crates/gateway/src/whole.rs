//! Buffered answers: forwarded to the caller once they are complete.

use std::sync::Arc;

use bytes::Bytes;
use hollowbarrow_ingress::{AnswerBody, HttpAnswer};
use hollowbarrow_routing::AnswerProof;
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_upstream::{ConnectionLease, ReadBodyError, SentAnswer, is_hop_header};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::Instant;

use crate::attempt::{
    AttemptHistory, admit_request, choose_worker, connect_to_worker, send_to_worker,
};
use crate::core::GatewayCore;
use crate::picker::PickedWorker;
use crate::refusal::Refusal;
use crate::request::CallerRequest;
use crate::timeouts::answer_timeout;
use crate::watch::ProgressWatch;
use crate::worker_state::UnframedAnswer;

/// Size limit of a buffered answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A worker's complete answer.
pub(crate) struct BufferedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl BufferedAnswer {
    /// Records what the answer shows about the contents of its request.
    pub(crate) fn record_proof(&self, core: &GatewayCore, request: &CallerRequest) {
        if let Some(proof) = self.proof() {
            core.crashes().record_answer(&request.contents, proof, Instant::now());
        }
    }

    /// Returns what a complete answer with this status shows; nothing if a worker that failed to run
    /// the request may have given it.
    fn proof(&self) -> Option<AnswerProof> {
        match self.status {
            status if status.is_success() => Some(AnswerProof::Success),
            status if status.is_server_error() => None,
            _ => Some(AnswerProof::Rejection),
        }
    }

    pub(crate) fn into_http(self) -> HttpAnswer {
        let mut answer = Response::new(AnswerBody::complete(self.body));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = forwarded_headers(&self.headers);
        answer
    }
}

/// Returns the headers of a worker's answer that are forwarded to the caller.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name) && **name != CONTENT_LENGTH)
        .map(|(name, value)| (name.clone(), value.clone()));
    forwarded.collect()
}

/// Sends a request to workers until one answers, and returns the answer to the caller.
pub(crate) async fn run_buffered(core: Arc<GatewayCore>, request: CallerRequest) -> HttpAnswer {
    let mut history = match admit_request(&core, &request).await {
        Ok(ticket) => AttemptHistory::new(ticket),
        Err(refusal) => return request.refuse_untried(&core, refusal),
    };
    let mut error_answer: Option<BufferedAnswer> = None;
    loop {
        let refusal = match run_attempt(&core, &request, &mut history).await {
            Ok(answer) => {
                let failed = answer.status.is_server_error();
                let error = AttemptUpstreamError::NoAnswer;
                if !failed || !history.may_repeat(&core, &request, &error) {
                    core.metrics.record_first_event(request.received.elapsed());
                    core.metrics.count_request("answered");
                    return answer.into_http();
                }
                error_answer = Some(answer);
                continue;
            }
            Err(AttemptError::Failed(error)) => {
                if history.may_repeat(&core, &request, &error) {
                    history.wait_until_repeatable(&request).await;
                    continue;
                }
                Refusal::from_attempt(&error)
            }
            Err(AttemptError::NoWorker(refusal)) => refusal,
        };
        // A worker's error answer is more specific than the refusal of a later attempt.
        if let Some(answer) = error_answer {
            core.metrics.count_request("answered");
            return answer.into_http();
        }
        let refusal = history.to_refusal(refusal);
        request.record_failed(&core, refusal, &history);
        return refusal.to_answer(request.remaining());
    }
}

enum AttemptError {
    Failed(AttemptUpstreamError),
    NoWorker(Refusal),
}

async fn run_attempt(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    history: &mut AttemptHistory,
) -> Result<BufferedAnswer, AttemptError> {
    let mut attempt =
        choose_worker(core, request, history).await.map_err(AttemptError::NoWorker)?;
    let answer = match connect_to_worker(core, request, &attempt, history, false).await {
        Ok(lease) => {
            let sending = send_to_worker(core, request, &attempt, lease, None);
            let watch = ProgressWatch {
                core,
                request,
                history,
                timeout: answer_timeout(request.remaining(), request.route.objective),
                busy_factor: 1,
            };
            let waited = watch.wait(&attempt, sending).await;
            match history.record_send_result(waited) {
                Ok(answer) => read_answer(core, request, &attempt.worker, history, answer).await,
                Err(error) => Err(error),
            }
        }
        Err(error) => Err(error),
    };
    let worker = attempt.worker.id.clone();
    match &answer {
        Ok(answer) => core.record_outcome(&worker, !answer.status.is_server_error()),
        Err(error) => core.record_failure(&worker, error),
    }
    // A failed attempt is no sign that the worker runs.
    if let Ok(answer) = &answer {
        attempt.record_progress();
        answer.record_proof(core, request);
        history.record_progress();
    }
    answer.map_err(|error| {
        history.record_failure(core, request, &worker, &error);
        AttemptError::Failed(error)
    })
}

/// Reads an answer to its end and returns its connection for reuse. An answer that ends with its
/// connection is lost unless its worker still runs.
pub(crate) async fn read_answer(
    core: &GatewayCore,
    request: &CallerRequest,
    worker: &PickedWorker,
    history: &AttemptHistory,
    answer: SentAnswer,
) -> Result<BufferedAnswer, AttemptUpstreamError> {
    let SentAnswer { status, headers, body, framed, lease } = answer;
    let unframed = (!framed).then(|| UnframedAnswer::new(core, request, worker));
    let reading = body.read_within(MAX_ANSWER_BYTES);
    let body = match tokio::time::timeout_at(request.deadline(), reading).await {
        Err(_) => return Err(AttemptUpstreamError::DeadlinePassed { sent: true }),
        Ok(Err(ReadBodyError::TooLong)) => {
            return Err(AttemptUpstreamError::BrokenAnswer { reason: "it is too long", tokens: 0 });
        }
        Ok(Err(ReadBodyError::OverBudget(_))) => {
            let reason = "it is too long beside the others that are read";
            return Err(AttemptUpstreamError::BrokenAnswer { reason, tokens: 0 });
        }
        Ok(Err(_)) => return Err(lost(&lease)),
        Ok(Ok(body)) => body,
    };
    if let Some(unframed) = unframed
        && !unframed.is_complete(core, request, body.len(), history.check_limit(request)).await
    {
        return Err(lost(&lease));
    }
    lease.give_back();
    Ok(BufferedAnswer { status, headers, body })
}

/// Returns the error of a connection that broke before the answer was complete.
pub(crate) fn lost(lease: &ConnectionLease) -> AttemptUpstreamError {
    if lease.is_carrier_lost() {
        AttemptUpstreamError::CarrierLost
    } else {
        AttemptUpstreamError::ConnectionLost { tokens: 0 }
    }
}
