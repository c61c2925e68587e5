//! The operators' HTTP interface. Everything except readiness and metrics requires an operator's key.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hollowbarrow_ingress::{
    AnswerBody, HttpAnswer, HttpHandler, HttpLimits, ReadRequestError, RequestBody, plain_answer,
};
use hollowbarrow_peer::{MeshTraffic, PeerMesh};
use hollowbarrow_schema::settings::{ReadSettingsError, read_document};
use hollowbarrow_schema::{
    ChangeOutcome, ConfigChange, ConfigCommand, DaemonId, EntryPayload, FieldFault, GroupName,
    LogName, OperatorFault, ProposalOutcome, VoterChange, keys, read_release_path,
};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::Instant;

use crate::core::DaemonCore;
use crate::operator_view::{daemon_status, dry_run, explain_group, group_statuses, node_statuses};
use crate::proposals::ProposeEntryError;
use crate::telemetry::log_metrics;
use crate::voter_change::ChangeVotersError;

/// Timeout for a change's outcome.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest document that an operator may send.
const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Bounds on operators' connections.
const LIMITS: HttpLimits = HttpLimits {
    head_bytes: 16 << 10,
    header: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Answers operators.
pub(crate) struct OperatorHandler(pub(crate) Arc<DaemonCore>);

impl HttpHandler for OperatorHandler {
    fn limits(&self) -> HttpLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> HttpAnswer {
        let core = &self.0;
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/ready") if core.ready.load(Ordering::Relaxed) => {
                plain_answer(StatusCode::OK, "ready\n")
            }
            (&Method::GET, "/ready") => {
                plain_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            }
            (&Method::GET, "/metrics") => plain_answer(StatusCode::OK, metrics_text(core)),
            _ => match authenticate_operator(core, &head.headers) {
                Some(operator) => answer_operator(core, &head, body, &operator).await,
                None => fault(
                    StatusCode::UNAUTHORIZED,
                    "bad_key",
                    "a valid operator key is required as Bearer token",
                ),
            },
        }
    }
}

fn metrics_text(core: &DaemonCore) -> String {
    let traffic = core.mesh.get().map(PeerMesh::traffic);
    let sent = traffic.map_or(0, MeshTraffic::sent);
    let received = traffic.map_or(0, MeshTraffic::received);
    format!(
        "{}{}{}hollowbarrow_peer_bytes_sent {sent}\nhollowbarrow_peer_bytes_received {received}\n",
        core.telemetry.to_text(&core.gate),
        log_metrics(LogName::Config, &core.config_log.view()),
        log_metrics(LogName::Claims, &core.claims_log.view()),
    )
}

fn authenticate_operator(core: &DaemonCore, headers: &HeaderMap) -> Option<String> {
    let key = headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")?;
    let operators = core.settings.operators.iter();
    operators
        .filter(|operator| keys::is_known_key(key, &operator.keys))
        .map(|operator| operator.name.clone())
        .next()
}

async fn answer_operator(
    core: &Arc<DaemonCore>,
    head: &Parts,
    body: RequestBody,
    operator: &str,
) -> HttpAnswer {
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/status") => json_answer(StatusCode::OK, &daemon_status(core)),
        (&Method::GET, "/nodes") => json_answer(StatusCode::OK, &node_statuses(core)),
        (&Method::GET, "/groups") => json_answer(StatusCode::OK, &group_statuses(core)),
        (&Method::GET, path) if path.starts_with("/explain/") => explain(core, path),
        (&Method::POST, path) if let Some(request) = read_release_path(path) => match request {
            Ok(request) => {
                core.crashes().release(request, Instant::now());
                log::warn!("event=request_released content={:016x} by={operator:?}", *request);
                json_answer(StatusCode::OK, &serde_json::json!({}))
            }
            Err(error) => bad_request(&error.to_string()),
        },
        (&Method::POST, "/changes") => {
            match read_body::<ConfigChange>(body, "ConfigChange").await {
                Ok(change) => {
                    let change = ConfigChange { author: operator.to_owned(), ..change };
                    submit_change(core, change).await
                }
                Err(answer) => answer,
            }
        }
        (&Method::POST, "/dry-run") => {
            match read_body::<ConfigCommand>(body, "ConfigCommand").await {
                Ok(command) => json_answer(StatusCode::OK, &dry_run(core, &command)),
                Err(answer) => answer,
            }
        }
        (&Method::POST, "/voters") => match read_body::<VoterChange>(body, "VoterChange").await {
            Ok(change) => change_voters(core, &change).await,
            Err(answer) => answer,
        },
        _ => fault(StatusCode::NOT_FOUND, "no_such_path", "the path does not exist"),
    }
}

fn explain(core: &DaemonCore, path: &str) -> HttpAnswer {
    let name = GroupName::from(path.trim_start_matches("/explain/"));
    match explain_group(core, &name) {
        Some(explanation) => json_answer(StatusCode::OK, &explanation),
        None => {
            fault(StatusCode::NOT_FOUND, "no_such_group", &format!("there is no group {}", *name))
        }
    }
}

fn json_answer(status: StatusCode, body: &impl Serialize) -> HttpAnswer {
    let text = serde_json::to_vec(body).expect("an answer serialises to JSON");
    let builder = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
    builder.body(AnswerBody::complete(text)).expect("the headers are valid")
}

fn fault(status: StatusCode, code: &str, message: &str) -> HttpAnswer {
    let fault =
        OperatorFault { code: code.to_owned(), message: message.to_owned(), faults: Vec::new() };
    json_answer(status, &fault)
}

fn bad_request(message: &str) -> HttpAnswer {
    fault(StatusCode::BAD_REQUEST, "bad_request", message)
}

fn faults(status: StatusCode, message: &str, faults: Vec<FieldFault>) -> HttpAnswer {
    let fault = OperatorFault { code: "invalid".to_owned(), message: message.to_owned(), faults };
    json_answer(status, &fault)
}

async fn read_text(body: RequestBody) -> Result<String, HttpAnswer> {
    match body.read_within(MAX_DOCUMENT_BYTES).await {
        Ok(bytes) => {
            let text = std::str::from_utf8(&bytes).map(str::to_owned);
            text.map_err(|error| bad_request(&error.to_string()))
        }
        Err(ReadRequestError::Overloaded(error)) => {
            Err(fault(StatusCode::SERVICE_UNAVAILABLE, "overloaded", &error.to_string()))
        }
        Err(error) => Err(bad_request(&error.to_string())),
    }
}

async fn read_body<T: serde::de::DeserializeOwned>(
    body: RequestBody,
    definition: &str,
) -> Result<T, HttpAnswer> {
    let text = read_text(body).await?;
    read_document("the request", &text, definition).map_err(|error: ReadSettingsError| {
        let message = error.to_string();
        faults(StatusCode::BAD_REQUEST, &message, error.faults)
    })
}

async fn submit_change(core: &Arc<DaemonCore>, change: ConfigChange) -> HttpAnswer {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    match core.propose(LogName::Config, EntryPayload::Config(change), deadline).await {
        Ok(ProposalOutcome::Config(outcome)) => {
            let status = match &outcome {
                ChangeOutcome::Accepted(_) => StatusCode::OK,
                ChangeOutcome::Conflict(_) => StatusCode::CONFLICT,
                ChangeOutcome::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
            };
            json_answer(status, &outcome)
        }
        Ok(_) | Err(ProposeEntryError::Unknown) => fault(
            StatusCode::GATEWAY_TIMEOUT,
            "unknown",
            "the outcome is unknown; send the same change again",
        ),
        Err(error) => fault(StatusCode::SERVICE_UNAVAILABLE, "no_leader", &error.to_string()),
    }
}

/// Changes the voters of both logs; waits until their leaders have taken each step.
async fn change_voters(core: &Arc<DaemonCore>, change: &VoterChange) -> HttpAnswer {
    let known = |id: &DaemonId| core.settings.peers.iter().any(|peer| peer.id == *id);
    let unknown = [("remove", &change.remove), ("add", &change.add)]
        .into_iter()
        .filter_map(|(field, daemon)| Some((field, daemon.as_ref().filter(|id| !known(id))?)))
        .map(|(field, daemon)| FieldFault {
            field: field.to_owned(),
            line: None,
            found: format!("{:?}", **daemon),
            allowed: "the id of one of the peers".to_owned(),
        })
        .collect::<Vec<_>>();
    if !unknown.is_empty() {
        return faults(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the change of voters names an unknown daemon",
            unknown,
        );
    }
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    match core.change_voters(change, deadline).await {
        Ok(voters) => json_answer(StatusCode::OK, &voters),
        Err(error @ ChangeVotersError::Refused { .. }) => {
            fault(StatusCode::CONFLICT, "busy", &error.to_string())
        }
        Err(ChangeVotersError::Propose(ProposeEntryError::Unknown)) => fault(
            StatusCode::GATEWAY_TIMEOUT,
            "unknown",
            "the outcome is unknown; send the same change again",
        ),
        Err(error) => fault(StatusCode::SERVICE_UNAVAILABLE, "no_leader", &error.to_string()),
    }
}
