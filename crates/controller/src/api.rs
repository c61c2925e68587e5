//! HTTP calls of workers and operators.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_fleet::DeploymentFault;
use hollowbarrow_ingress::{
    AnswerBody, HttpAnswer, HttpHandler, HttpLimits, ReadRequestError, RequestBody,
};
use hollowbarrow_schema::{
    ContentDigest, DeploymentDocument, EntryPayload, ParseContentError, ProposalOutcome, WorkerId,
    WorkerReport, read_release_path,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use tokio::time::Instant;

use crate::core::ControllerCore;
use crate::holder_sync::{secure_departure, secure_release};
use crate::protocol::{CallKind, ControlAnswer, ControlCall};
use crate::records::{RecordFault, check_report, check_start};
use crate::sync::{accept_report, publish_report};

/// Largest configuration.
const MAX_CONFIGURATION_BYTES: usize = 16 << 20;
/// Largest body of all other calls.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// Characters of a worker's name that are logged.
const MAX_LOGGED_NAME: usize = 64;
/// Bounds on connections of workers and operators.
const CONTROL_LIMITS: HttpLimits = HttpLimits {
    head_bytes: 16 << 10,
    header: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};
/// Time limit for committing a configuration.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time limit for a majority to confirm the leader before the configuration is read.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two checks whether the leader was confirmed.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Answers workers and operators.
pub(crate) struct ControlHandler(pub(crate) Arc<ControllerCore>);

impl HttpHandler for ControlHandler {
    fn limits(&self) -> HttpLimits {
        CONTROL_LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> HttpAnswer {
        let core = &self.0;
        let (head, body) = request.into_parts();
        let answer = read_and_answer(core, &head, body).await;
        let (status, headers, body) = core.protocol.write_answer(&answer);
        let mut response = Response::new(AnswerBody::complete(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}

/// Answers a call. The body of one that does not exist is not read.
async fn read_and_answer(core: &ControllerCore, head: &Parts, body: RequestBody) -> ControlAnswer {
    let path = head.uri.path();
    if let Some(request) = read_release_path(path).filter(|_| head.method == Method::POST) {
        return release_quarantined(core, request, path).await;
    }
    let limit = match core.protocol.call_kind(head) {
        CallKind::Replace => MAX_CONFIGURATION_BYTES,
        CallKind::Record | CallKind::Fetch => MAX_RECORD_BYTES,
        CallKind::Unknown => return ControlAnswer::Unknown,
    };
    let client = body.client().clone();
    let read = async {
        let body = body.read_within(limit).await?;
        let parsed = client.hold_parsed(&body).await?;
        Ok((body, parsed))
    };
    match read.await {
        Ok((body, _parsed)) => answer_call(core, core.protocol.read_call(head, &body), path).await,
        Err(ReadRequestError::Overloaded(_)) => {
            ControlAnswer::Unavailable("there is no memory for the call")
        }
        Err(error) => ControlAnswer::Invalid(vec![error.to_string()]),
    }
}

async fn answer_call(core: &ControllerCore, call: ControlCall, path: &str) -> ControlAnswer {
    match call {
        ControlCall::Report(report) => register_worker(core, *report).await,
        ControlCall::Remove(worker) => remove_worker(core, &worker).await,
        ControlCall::Replace(text) => replace_deployment(core, text, path).await,
        ControlCall::Fetch => fetch_deployment(core, path).await,
        ControlCall::Unreadable(reason) => ControlAnswer::Invalid(vec![reason]),
        ControlCall::InvalidRecord(worker, fault) => reject_record(core, &worker, &fault),
        ControlCall::Unknown => ControlAnswer::Unknown,
    }
}

/// Releases a request from quarantine. This call has the same form on every platform, since only
/// operators of this system make it.
async fn release_quarantined(
    core: &ControllerCore,
    request: Result<ContentDigest, ParseContentError>,
    path: &str,
) -> ControlAnswer {
    let request = match request {
        Ok(request) => request,
        Err(error) => return ControlAnswer::Invalid(vec![error.to_string()]),
    };
    if !core.log.view().leads {
        return core.redirect_to_leader(path);
    }
    let now = Instant::now();
    core.fleet().release(request, now);
    log::warn!("event=request_released content={:016x} by=operator", *request);
    secure_release(core, request, now).await;
    ControlAnswer::Accepted
}

async fn register_worker(core: &ControllerCore, report: WorkerReport) -> ControlAnswer {
    let deployment = core.deployment();
    let checked = check_report(&report, core.fleet().table(), deployment.as_deref());
    if let Err(fault) = checked {
        return reject_record(core, &report.id, &fault);
    }
    let (worker, leaves) = (report.id.clone(), report.leaving);
    accept_report(core, report);
    if leaves {
        secure_departure(core, &worker).await;
    }
    ControlAnswer::Accepted
}

fn reject_record(core: &ControllerCore, worker: &WorkerId, fault: &RecordFault) -> ControlAnswer {
    core.metrics.count_refused_record(fault.problem);
    let name: String = worker.chars().take(MAX_LOGGED_NAME).collect();
    log::warn!(
        "event=record_refused worker={name:?} field={:?} cause={}",
        fault.field,
        fault.problem.name()
    );
    ControlAnswer::Invalid(vec![fault.to_string()])
}

async fn remove_worker(core: &ControllerCore, worker: &WorkerId) -> ControlAnswer {
    let (checked, known, superseded) = {
        let fleet = core.fleet();
        let table = fleet.table();
        let newest = table.newest_instance(worker.name()).map(|entry| entry.report.id.clone());
        let superseded = newest.is_some_and(|newest| newest.incarnation() > worker.incarnation());
        (check_start(worker, table), table.get(worker).is_some(), superseded)
    };
    if let Err(fault) = checked {
        return reject_record(core, worker, &fault);
    }
    if !known && superseded {
        // An instance that a later one has superseded and that is no longer in the table.
        return ControlAnswer::Accepted;
    }
    if !known {
        return ControlAnswer::Unavailable("the worker is not known here");
    }
    let removed = core.fleet().remove(worker, Instant::now());
    if let Some(report) = removed {
        log::info!("event=worker_removed worker={}", **worker);
        publish_report(core, report);
    }
    secure_departure(core, worker).await;
    ControlAnswer::Accepted
}

async fn replace_deployment(core: &ControllerCore, text: String, path: &str) -> ControlAnswer {
    let version = match core.protocol.read_deployment(&text) {
        Ok(deployment) => match deployment.check() {
            faults if faults.is_empty() => deployment.version,
            faults => return invalid(&faults),
        },
        Err(faults) => return invalid(&faults),
    };
    if version <= core.log.read(|state| state.version()) {
        return ControlAnswer::Accepted;
    }
    if !core.log.view().leads {
        return core.redirect_to_leader(path);
    }
    let document = DeploymentDocument { version, text };
    let outcome = core.log.propose(EntryPayload::Deployment(document));
    match tokio::time::timeout(COMMIT_TIMEOUT, outcome.recv_async()).await {
        Ok(Ok(ProposalOutcome::Held)) => ControlAnswer::Accepted,
        Ok(Ok(ProposalOutcome::NoLeader)) => core.redirect_to_leader(path),
        _ => ControlAnswer::Unavailable("it is not known whether the configuration was committed"),
    }
}

fn invalid(faults: &[DeploymentFault]) -> ControlAnswer {
    let reasons: Vec<String> = faults.iter().map(ToString::to_string).collect();
    log::warn!("event=configuration_refused faults={:?}", reasons.join("; "));
    ControlAnswer::Invalid(reasons)
}

/// Reads the newest configuration. Only a leader that a majority has confirmed since the call began
/// is certain to have it.
async fn fetch_deployment(core: &ControllerCore, path: &str) -> ControlAnswer {
    let started = Instant::now();
    loop {
        let view = core.log.view();
        if !view.leads {
            return core.redirect_to_leader(path);
        }
        let confirmed = view.confirmed.is_some_and(|confirmed| confirmed >= started);
        if confirmed && core.is_confirmed_leader(&view, Instant::now()) {
            let document = core.newest_document();
            return match document {
                Some(document) => ControlAnswer::Document(document.text),
                None => ControlAnswer::Unavailable("no configuration is in force"),
            };
        }
        if started.elapsed() > CONFIRM_TIMEOUT {
            return ControlAnswer::Unavailable(
                "a majority does not confirm that this daemon leads",
            );
        }
        tokio::time::sleep(CONFIRM_POLL_INTERVAL).await;
    }
}
