//! Finds out in the background which workers the gateway's own path reaches.
//!
//! While workers are bypassed, connections to them are opened at intervals. One that is established
//! goes to the pool of idle connections, so no request is at risk and no connection is wasted. When
//! nothing has been received from any worker of a service for a while, a connection to one of them
//! shows whether the path is lost; kept connections would not.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_schema::{ServiceName, WorkerId};
use tokio::time::Instant;

use crate::connect::{
    CONNECT_TIMEOUT, REQUEST_CONNECT_TIMEOUT, open_connection, open_direct, open_tunnel_through,
};
use crate::core::GatewayCore;
use crate::picker::WorkerEndpoint;

/// Interval between two checks while workers are bypassed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Workers of an unreached service that are checked at a time.
const CHECKED_OF_SERVICE: usize = 2;
/// Bypassed workers of other services that are checked at a time.
const CHECKED_BYPASSED: usize = 8;

/// Checks the paths to bypassed workers until the process ends.
pub(crate) async fn check_bypassed(core: Arc<GatewayCore>) {
    let mut turn = 0;
    loop {
        let _ = tokio::time::timeout(CHECK_INTERVAL, core.path_check_due.notified()).await;
        if core.paths().is_clear() {
            continue;
        }
        turn += 1;
        core.forget_departed();
        for endpoint in due_checks(&core, turn) {
            tokio::spawn(check_direct(Arc::clone(&core), endpoint));
        }
        if core.is_cut_off(Instant::now()) {
            retry_peers(&core, turn).await;
        }
    }
}

/// Returns the workers to check now: a few of each unreached service in turn, and those of other
/// services that are bypassed.
fn due_checks(core: &GatewayCore, turn: usize) -> Vec<WorkerEndpoint> {
    let endpoints = core.picker().endpoints();
    let paths = core.paths();
    let mut due = Vec::new();
    for (service, workers) in &endpoints {
        if paths.is_unreached(service) && !workers.is_empty() {
            let start = turn * CHECKED_OF_SERVICE;
            let next = (start..start + CHECKED_OF_SERVICE.min(workers.len()))
                .map(|index| workers[index % workers.len()].clone());
            due.extend(next);
        }
    }
    let bypassed = paths.bypassed().filter(|(service, ..)| !paths.is_unreached(service));
    due.extend(bypassed.take(CHECKED_BYPASSED).map(|(service, worker, address)| WorkerEndpoint {
        service: service.clone(),
        worker: worker.clone(),
        address,
    }));
    due
}

async fn check_direct(core: Arc<GatewayCore>, endpoint: WorkerEndpoint) {
    let opening = open_direct(&core, endpoint.target());
    if let Ok(Ok(lease)) = tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
        lease.give_back();
    }
}

/// Tries all peers for one worker, also those that failed recently.
async fn retry_peers(core: &Arc<GatewayCore>, turn: usize) {
    let endpoints = core.picker().endpoints();
    let all: Vec<&WorkerEndpoint> = endpoints.values().flatten().collect();
    if all.is_empty() {
        return;
    }
    let peers = core.relays().all(&mut rand::rng());
    if let Ok(lease) = open_tunnel_through(core, all[turn % all.len()].target(), peers).await {
        lease.give_back();
    }
}

/// Checks the path to a worker from which a request has had no answer in time, unless other workers
/// of its service have sent something within `silence`, or a check is in progress.
pub(crate) fn check_silent(
    core: &Arc<GatewayCore>,
    service: &ServiceName,
    worker: &WorkerId,
    silence: Duration,
) {
    let Some(endpoint) = core.begin_silence_check(service, worker, silence) else { return };
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let limit = Instant::now() + REQUEST_CONNECT_TIMEOUT;
        if let Ok(lease) = open_connection(&core, endpoint.target(), limit).await {
            lease.give_back();
        }
        core.end_silence_check();
    });
}
