//! Buffered answers: forwarded to the caller once they are complete.

use std::sync::Arc;

use bytes::Bytes;
use hollowbarrow_member::{AnswerBody, HttpAnswer};
use hollowbarrow_reach::UpstreamFate;
use hollowbarrow_routing::AnswerProof;
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_upstream::{ConnectionLease, SentAnswer, is_hop_header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::Instant;

use crate::attempt::{
    AttemptHistory, admit_request, choose_worker, connect_to_worker, send_to_worker, target_of,
};
use crate::core::GatewayCore;
use crate::lost_run::learn_fate;
use crate::picker::PickedWorker;
use crate::refusal::Refusal;
use crate::request::CallerRequest;
use crate::timeouts::answer_timeout;
use crate::watch::ProgressWatch;

/// Size limit of a buffered answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A worker's complete answer.
pub(crate) struct BufferedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Whether its own length or chunks show that it is complete.
    framed: bool,
}

impl BufferedAnswer {
    /// Records what the answer shows about the contents of its request. An answer that ended with its
    /// connection shows something only if its worker still runs.
    pub(crate) fn record_proof(
        &self,
        core: &Arc<GatewayCore>,
        request: &CallerRequest,
        worker: &PickedWorker,
    ) {
        if self.framed {
            if let Some(proof) = self.proof() {
                core.crashes().record_answer(&request.contents, proof, Instant::now());
            }
            return;
        }
        let (core, contents) = (Arc::clone(core), request.contents.clone());
        let (target, id) = (target_of(request, worker), request.head.id.clone());
        let (proof, bytes) = (self.proof(), self.body.len());
        tokio::spawn(async move {
            let fate = learn_fate(&core, &target).await;
            core.metrics.count_unframed_answer(fate);
            if fate != UpstreamFate::Running {
                let worker = target.name;
                log::warn!(
                    "event=answer_doubtful request={id:?} worker={worker} bytes={bytes} fate={fate:?}"
                );
            } else if let Some(proof) = proof {
                core.crashes().record_answer(&contents, proof, Instant::now());
            }
        });
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
                Ok(answer) => read_answer(answer, request.deadline()).await,
                Err(error) => Err(error),
            }
        }
        Err(error) => Err(error),
    };
    let worker = attempt.worker.id.clone();
    attempt.record_progress();
    match &answer {
        Ok(answer) => core.record_outcome(&worker, !answer.status.is_server_error()),
        Err(error) => core.record_failure(&worker, error),
    }
    if let Ok(answer) = &answer {
        answer.record_proof(core, request, &attempt.worker);
        history.record_progress();
    }
    answer.map_err(|error| {
        history.record_failure(core, request, &worker, &error);
        AttemptError::Failed(error)
    })
}

/// Reads an answer to its end and returns its connection for reuse.
pub(crate) async fn read_answer(
    answer: SentAnswer,
    deadline: Instant,
) -> Result<BufferedAnswer, AttemptUpstreamError> {
    let reading = Limited::new(answer.body, MAX_ANSWER_BYTES).collect();
    let body = match tokio::time::timeout_at(deadline, reading).await {
        Err(_) => return Err(AttemptUpstreamError::DeadlinePassed { sent: true }),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err(AttemptUpstreamError::BrokenAnswer { reason: "it is too long", tokens: 0 });
        }
        Ok(Err(_)) => return Err(lost(&answer.lease)),
        Ok(Ok(body)) => body.to_bytes(),
    };
    answer.lease.give_back();
    let SentAnswer { status, headers, framed, .. } = answer;
    Ok(BufferedAnswer { status, headers, body, framed })
}

/// Returns the error of a connection that broke before the answer was complete.
pub(crate) fn lost(lease: &ConnectionLease) -> AttemptUpstreamError {
    if lease.is_carrier_lost() {
        AttemptUpstreamError::CarrierLost
    } else {
        AttemptUpstreamError::ConnectionLost { tokens: 0 }
    }
}
