//! Requests whose answer is passed on when it is there whole.

use std::sync::Arc;

use bytes::Bytes;
use hollowbarrow_member::{AnswerBody, HttpAnswer};
use hollowbarrow_routing::retry::AttemptUpstreamError;
use hollowbarrow_upstream::{SentAnswer, is_hop_header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::Instant;

use crate::attempt::{Tries, choose_worker, connect_to_worker, enter_copy, send_to_worker};
use crate::core::GatewayCore;
use crate::patience::whole_patience;
use crate::refusal::Refusal;
use crate::request::CallerRequest;
use crate::watch::SilenceWatch;

/// Largest answer that is held whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A worker's whole answer.
pub(crate) struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl WholeAnswer {
    pub(crate) fn into_http(self) -> HttpAnswer {
        let mut answer = Response::new(AnswerBody::complete(self.body));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = passed_headers(&self.headers);
        answer
    }
}

/// Headers of a worker's answer that concern the caller.
pub(crate) fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let passed = headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name) && **name != CONTENT_LENGTH)
        .map(|(name, value)| (name.clone(), value.clone()));
    passed.collect()
}

/// Sends a request until it is answered, and answers the caller.
pub(crate) async fn run_whole(core: Arc<GatewayCore>, request: CallerRequest) -> HttpAnswer {
    let mut tries = match enter_copy(&core, &request).await {
        Ok(ticket) => Tries::new(ticket),
        Err(refusal) => return request.refuse_untried(&core, refusal),
    };
    let mut failure: Option<WholeAnswer> = None;
    loop {
        let refusal = match attempt(&core, &request, &mut tries).await {
            Ok(answer) => {
                let failed = answer.status.is_server_error();
                let error = AttemptUpstreamError::NoAnswer;
                if !failed || !tries.may_repeat(&core, &request, &error) {
                    core.metrics.note_first_event(request.received.elapsed());
                    core.metrics.count_request("answered");
                    return answer.into_http();
                }
                failure = Some(answer);
                continue;
            }
            Err(AttemptEnd::Failed(error)) => {
                if tries.may_repeat(&core, &request, &error) {
                    tries.wait_for_news(&request).await;
                    continue;
                }
                Refusal::from_attempt(&error)
            }
            Err(AttemptEnd::NoWorker(refusal)) => refusal,
        };
        // A worker's own failure says more than that nobody else was there.
        if let Some(answer) = failure {
            core.metrics.count_request("answered");
            return answer.into_http();
        }
        let refusal = tries.to_refusal(refusal);
        request.note_failed(&core, refusal, &tries);
        return refusal.to_answer(request.remaining());
    }
}

enum AttemptEnd {
    Failed(AttemptUpstreamError),
    NoWorker(Refusal),
}

async fn attempt(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    tries: &mut Tries,
) -> Result<WholeAnswer, AttemptEnd> {
    let mut flight = choose_worker(core, request, tries).await.map_err(AttemptEnd::NoWorker)?;
    let answer = match connect_to_worker(core, request, &flight, tries, false).await {
        Ok(lease) => {
            let sending = send_to_worker(core, request, &flight, lease, None);
            let watch = SilenceWatch {
                core,
                request,
                tries,
                patience: whole_patience(request.remaining(), request.route.objective),
                busy_factor: 1,
            };
            let waited = watch.wait(&flight, sending).await;
            match tries.take_sent(waited) {
                Ok(answer) => read_whole(answer, request.deadline()).await,
                Err(error) => Err(error),
            }
        }
        Err(error) => Err(error),
    };
    let worker = flight.worker.id.clone();
    flight.note_progress();
    match &answer {
        Ok(answer) => core.note_outcome(&worker, !answer.status.is_server_error()),
        Err(error) => core.note_failure(&worker, error),
    }
    if answer.is_ok() {
        core.crashes().note_answer(request.digest, Instant::now());
    }
    answer.map_err(|error| {
        tries.note_failure(core, request, &worker, &error);
        AttemptEnd::Failed(error)
    })
}

/// Reads an answer to its end and gives its connection back.
pub(crate) async fn read_whole(
    answer: SentAnswer,
    deadline: Instant,
) -> Result<WholeAnswer, AttemptUpstreamError> {
    let reading = Limited::new(answer.body, MAX_ANSWER_BYTES).collect();
    let body = match tokio::time::timeout_at(deadline, reading).await {
        Err(_) => return Err(AttemptUpstreamError::DeadlinePassed { sent: true }),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err(AttemptUpstreamError::BrokenAnswer { reason: "it is too long", tokens: 0 });
        }
        Ok(Err(_)) => return Err(AttemptUpstreamError::ConnectionLost { tokens: 0 }),
        Ok(Ok(body)) => body.to_bytes(),
    };
    answer.lease.give_back();
    Ok(WholeAnswer { status: answer.status, headers: answer.headers, body })
}
