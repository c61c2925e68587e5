//! The operators' HTTP interface.
//!
//! It is small and rarely used, so it is served by a synchronous HTTP library
//! with one thread per request. Everything except readiness and metrics requires
//! an operator's key.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hollowbarrow_peer::{MeshTraffic, PeerMesh};
use hollowbarrow_schema::settings::{ReadSettingsError, read_document};
use hollowbarrow_schema::{
    ChangeOutcome, ConfigChange, ConfigCommand, DaemonId, EntryPayload, FieldFault, GroupName,
    LogName, OperatorFault, ProposalOutcome, VoterChange, keys, read_release_path,
};
use rouille::{Request, Response};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::core::DaemonCore;
use crate::daemon::StartDaemonError;
use crate::operator_view::{daemon_status, dry_run, explain_group, group_statuses, node_statuses};
use crate::proposals::ProposeEntryError;
use crate::telemetry::log_metrics;
use crate::voter_change::ChangeVotersError;

/// Timeout for a change's outcome.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest document that an operator may send.
const MAX_DOCUMENT_BYTES: u64 = 1 << 20;
/// Interval at which the server checks whether it must stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Serves operators on a separate thread until shutdown; returns the bound address.
pub(crate) fn serve_operators(
    core: Arc<DaemonCore>,
    address: SocketAddr,
    stop: watch::Receiver<bool>,
) -> Result<SocketAddr, StartDaemonError> {
    let runtime = Handle::current();
    let server = rouille::Server::new(address, move |request| answer(&core, &runtime, request))
        .map_err(|error| StartDaemonError::Operators { address, reason: error.to_string() })?;
    let bound = server.server_addr();
    std::thread::Builder::new()
        .name("operators".to_owned())
        .spawn(move || {
            while !*stop.borrow() {
                server.poll_timeout(STOP_POLL_INTERVAL);
            }
        })
        .map_err(|error| StartDaemonError::Operators { address, reason: error.to_string() })?;
    Ok(bound)
}

fn answer(core: &Arc<DaemonCore>, runtime: &Handle, request: &Request) -> Response {
    let path = request.url();
    match (request.method(), path.as_str()) {
        ("GET", "/ready") => {
            let ready = core.ready.load(Ordering::Relaxed);
            let answer = Response::text(if ready { "ready\n" } else { "not ready\n" });
            answer.with_status_code(if ready { 200 } else { 503 })
        }
        ("GET", "/metrics") => {
            let traffic = core.mesh.get().map(PeerMesh::traffic);
            let sent = traffic.map_or(0, MeshTraffic::sent);
            let received = traffic.map_or(0, MeshTraffic::received);
            Response::text(format!(
                "{}{}{}hollowbarrow_peer_bytes_sent {sent}\nhollowbarrow_peer_bytes_received {received}\n",
                core.telemetry.to_text(),
                log_metrics(LogName::Config, &core.config_log.view()),
                log_metrics(LogName::Claims, &core.claims_log.view()),
            ))
        }
        (method, path) => match authenticate_operator(core, request) {
            Some(operator) => answer_operator(core, runtime, request, (method, path), &operator),
            None => fault(401, "bad_key", "a valid operator key is required as Bearer token"),
        },
    }
}

fn authenticate_operator(core: &DaemonCore, request: &Request) -> Option<String> {
    let key = request.header("Authorization")?.strip_prefix("Bearer ")?;
    let operators = core.settings.operators.iter();
    operators
        .filter(|operator| keys::is_known_key(key, &operator.keys))
        .map(|operator| operator.name.clone())
        .next()
}

fn answer_operator(
    core: &Arc<DaemonCore>,
    runtime: &Handle,
    request: &Request,
    endpoint: (&str, &str),
    operator: &str,
) -> Response {
    match endpoint {
        ("GET", "/status") => Response::json(&daemon_status(core)),
        ("GET", "/nodes") => Response::json(&node_statuses(core)),
        ("GET", "/groups") => Response::json(&group_statuses(core)),
        ("GET", path) if path.starts_with("/explain/") => {
            let name = GroupName::from(path.trim_start_matches("/explain/"));
            match explain_group(core, &name) {
                Some(explanation) => Response::json(&explanation),
                None => fault(404, "no_such_group", &format!("there is no group {}", *name)),
            }
        }
        ("POST", path) if let Some(request) = read_release_path(path) => match request {
            Ok(request) => {
                core.crashes().release(request, Instant::now());
                log::warn!("event=request_released content={:016x} by={operator:?}", *request);
                Response::json(&serde_json::json!({}))
            }
            Err(error) => fault(400, "bad_request", &error.to_string()),
        },
        ("POST", "/changes") => match read_body::<ConfigChange>(request, "ConfigChange") {
            Ok(change) => {
                let change = ConfigChange { author: operator.to_owned(), ..change };
                submit_change(core, runtime, change)
            }
            Err(response) => response,
        },
        ("POST", "/dry-run") => match read_body::<ConfigCommand>(request, "ConfigCommand") {
            Ok(command) => Response::json(&dry_run(core, &command)),
            Err(response) => response,
        },
        ("POST", "/voters") => match read_body::<VoterChange>(request, "VoterChange") {
            Ok(change) => change_voters(core, runtime, &change),
            Err(response) => response,
        },
        _ => fault(404, "no_such_path", "the path does not exist"),
    }
}

fn fault(status: u16, code: &str, message: &str) -> Response {
    let fault =
        OperatorFault { code: code.to_owned(), message: message.to_owned(), faults: Vec::new() };
    Response::json(&fault).with_status_code(status)
}

fn faults(status: u16, message: &str, faults: Vec<FieldFault>) -> Response {
    let fault = OperatorFault { code: "invalid".to_owned(), message: message.to_owned(), faults };
    Response::json(&fault).with_status_code(status)
}

fn read_text(request: &Request) -> Result<String, Response> {
    let mut text = String::new();
    let body = request.data().ok_or_else(|| fault(400, "bad_request", "the body is missing"))?;
    match body.take(MAX_DOCUMENT_BYTES).read_to_string(&mut text) {
        Ok(_) => Ok(text),
        Err(error) => Err(fault(400, "bad_request", &error.to_string())),
    }
}

fn read_body<T: serde::de::DeserializeOwned>(
    request: &Request,
    definition: &str,
) -> Result<T, Response> {
    let text = read_text(request)?;
    read_document("the request", &text, definition).map_err(|error: ReadSettingsError| {
        let message = error.to_string();
        faults(400, &message, error.faults)
    })
}

fn submit_change(core: &Arc<DaemonCore>, runtime: &Handle, change: ConfigChange) -> Response {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let proposed =
        runtime.block_on(core.propose(LogName::Config, EntryPayload::Config(change), deadline));
    match proposed {
        Ok(ProposalOutcome::Config(outcome)) => {
            let status = match &outcome {
                ChangeOutcome::Accepted(_) => 200,
                ChangeOutcome::Conflict(_) => 409,
                ChangeOutcome::Invalid(_) => 422,
            };
            Response::json(&outcome).with_status_code(status)
        }
        Ok(_) | Err(ProposeEntryError::Unknown) => {
            fault(504, "unknown", "the outcome is unknown; send the same change again")
        }
        Err(error) => fault(503, "no_leader", &error.to_string()),
    }
}

/// Changes the voters of both logs; waits until their leaders have taken each step.
fn change_voters(core: &Arc<DaemonCore>, runtime: &Handle, change: &VoterChange) -> Response {
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
        return faults(422, "the change of voters names an unknown daemon", unknown);
    }
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    match runtime.block_on(core.change_voters(change, deadline)) {
        Ok(voters) => Response::json(&voters),
        Err(error @ ChangeVotersError::Refused { .. }) => fault(409, "busy", &error.to_string()),
        Err(ChangeVotersError::Propose(ProposeEntryError::Unknown)) => {
            fault(504, "unknown", "the outcome is unknown; send the same change again")
        }
        Err(error) => fault(503, "no_leader", &error.to_string()),
    }
}
