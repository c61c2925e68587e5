//! Finds out in the background which upstreams the process's own path reaches.
//!
//! While upstreams are bypassed, connections to them are opened at intervals. One that is established
//! goes to the pool of idle connections, so no request is at risk and no connection is wasted. When a
//! request has had no answer in time, or has lost its connection, a new one to its upstream shows
//! whether the path is lost; kept connections would not. If it is, connections to other upstreams of
//! the service show whether that holds for all of them, before requests are sent there in vain.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::connect::{open_direct, open_tunnel};
use crate::paths::UpstreamPath;
use crate::reach::{Reach, ServiceTargets, UpstreamTarget};

/// Interval between two checks while upstreams are bypassed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Upstreams of an unreached or doubtful service that are checked at a time.
const CHECKED_OF_SERVICE: usize = 2;
/// Bypassed upstreams of other services that are checked at a time.
const CHECKED_BYPASSED: usize = 8;

impl Reach {
    /// Checks the paths to bypassed upstreams until the process ends. `targets` returns the upstreams
    /// that may be connected to now.
    pub async fn run_checks(self: Arc<Self>, targets: impl Fn() -> ServiceTargets) {
        let mut turn = 0;
        loop {
            let _ = tokio::time::timeout(CHECK_INTERVAL, self.check_due.notified()).await;
            // A peer that stops waits until its idle tunnels are closed.
            self.client.drop_expired();
            if self.paths().is_clear() {
                continue;
            }
            turn += 1;
            let targets = targets();
            self.retain(&targets);
            for target in due_checks(&self, &targets, turn) {
                tokio::spawn(check_direct(Arc::clone(&self), target));
            }
            for target in doubtful_targets(&self, &targets, turn) {
                tokio::spawn(check_either(Arc::clone(&self), target));
            }
            if self.is_cut_off() {
                retry_peers(&self, &targets, turn).await;
            }
        }
    }

    /// Checks the path to an upstream from which a request has had no answer in time, or to which it
    /// has lost its connection, unless another check is in progress.
    pub fn check_upstream(self: &Arc<Self>, target: UpstreamTarget) {
        if self.path(&target) == UpstreamPath::Peer || !self.begin_check() {
            return;
        }
        let reach = Arc::clone(self);
        tokio::spawn(async move {
            check_either(Arc::clone(&reach), target).await;
            reach.end_check();
        });
    }
}

/// Returns the upstreams to check now: a few of each unreached service in turn, and those of other
/// services that are bypassed.
fn due_checks(reach: &Reach, targets: &ServiceTargets, turn: usize) -> Vec<UpstreamTarget> {
    let paths = reach.paths();
    let mut due = Vec::new();
    for all in targets.iter().filter(|(service, _)| paths.is_unreached(service)).map(|(_, all)| all)
    {
        due.extend(in_turn(all, turn));
    }
    let bypassed = paths.bypassed().filter(|(service, ..)| !paths.is_unreached(service));
    due.extend(bypassed.take(CHECKED_BYPASSED).map(|(service, name, address)| UpstreamTarget {
        service: service.to_owned(),
        name: name.to_owned(),
        address,
    }));
    due
}

/// Returns a few upstreams of each doubtful service that are not known to be bypassed.
fn doubtful_targets(reach: &Reach, targets: &ServiceTargets, turn: usize) -> Vec<UpstreamTarget> {
    let paths = reach.paths();
    let doubtful = targets.iter().filter(|(service, _)| paths.is_doubtful(service));
    let others = doubtful.flat_map(|(service, all)| {
        let is_direct =
            |target: &&UpstreamTarget| paths.path(service, &target.name) == UpstreamPath::Direct;
        in_turn(&all.iter().filter(is_direct).cloned().collect::<Vec<_>>(), turn)
    });
    others.collect()
}

/// Returns the upstreams of a service to check in this turn.
fn in_turn(all: &[UpstreamTarget], turn: usize) -> Vec<UpstreamTarget> {
    let from_turn = all.iter().cycle().skip(turn * CHECKED_OF_SERVICE % all.len().max(1));
    from_turn.take(CHECKED_OF_SERVICE.min(all.len())).cloned().collect()
}

/// Opens a connection over either path.
async fn check_either(reach: Arc<Reach>, target: UpstreamTarget) {
    let limit = Instant::now() + reach.times.request;
    if let Ok(lease) = reach.open(&target, limit).await {
        lease.give_back();
    }
}

async fn check_direct(reach: Arc<Reach>, target: UpstreamTarget) {
    if let Ok(lease) = open_direct(&reach, &target).await {
        lease.give_back();
    }
}

/// Tries the peers for one upstream.
async fn retry_peers(reach: &Reach, targets: &ServiceTargets, turn: usize) {
    let all: Vec<&UpstreamTarget> = targets.values().flatten().collect();
    if all.is_empty() {
        return;
    }
    if let Ok(lease) = open_tunnel(reach, all[turn % all.len()]).await {
        lease.give_back();
    }
}
