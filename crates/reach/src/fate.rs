//! Finds out what became of an upstream after a connection to it was lost.
//!
//! A connection ends with its upstream's process, with the path, or alone. A new connection tells them
//! apart: over the process's own path, or else through a peer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Shared};
use hollowbarrow_upstream::ConnectionLease;

use crate::connect::{NotConnected, bypass, open_direct, open_tunnel};
use crate::paths::UpstreamPath;
use crate::reach::{Reach, UpstreamTarget};

/// Time for which a new connection must stay open. A process that exits closes its listener some time
/// after its first connections.
const EXIT_TIME: Duration = Duration::from_millis(30);

/// What became of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFate {
    /// It accepts connections, of this process or of a peer.
    Running,
    /// It accepts none, while another upstream of the service does.
    Terminated,
    /// No upstream of the service that was tried accepts any, so the paths to all may be lost.
    Unknown,
}

impl UpstreamFate {
    /// Returns its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Terminated => "terminated",
            Self::Unknown => "unknown",
        }
    }
}

type FateCheck = Shared<BoxFuture<'static, UpstreamFate>>;

/// Checks in progress, by the full name of the upstream.
#[derive(Default)]
pub(crate) struct FateChecks(Mutex<HashMap<String, FateCheck>>);

impl FateChecks {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, FateCheck>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl Reach {
    /// Finds out whether an upstream still runs after a connection to it was lost. Requests that lost
    /// their connections to the same upstream share one check.
    ///
    /// `others` are some other upstreams of its service; without any, an upstream that accepts no
    /// connections counts as terminated.
    pub async fn learn_fate(
        self: &Arc<Self>,
        target: &UpstreamTarget,
        others: Vec<UpstreamTarget>,
    ) -> UpstreamFate {
        let check = {
            let mut checks = self.fates.lock();
            let begin = || {
                let check = check_fate(Arc::clone(self), target.clone(), others);
                let check = tokio::spawn(check).map(|fate| fate.unwrap_or(UpstreamFate::Unknown));
                check.boxed().shared()
            };
            checks.entry(target.full_name()).or_insert_with(begin).clone()
        };
        check.await
    }
}

async fn check_fate(
    reach: Arc<Reach>,
    target: UpstreamTarget,
    others: Vec<UpstreamTarget>,
) -> UpstreamFate {
    let fate = find_fate(&reach, &target, &others).await;
    reach.fates.lock().remove(&target.full_name());
    fate
}

async fn find_fate(
    reach: &Reach,
    target: &UpstreamTarget,
    others: &[UpstreamTarget],
) -> UpstreamFate {
    if accepts_connections(reach, target).await {
        return UpstreamFate::Running;
    }
    if others.is_empty() {
        return UpstreamFate::Terminated;
    }
    for other in others {
        if accepts_connections(reach, other).await {
            return UpstreamFate::Terminated;
        }
    }
    UpstreamFate::Unknown
}

/// Returns whether an upstream accepts a connection over either path and keeps it open.
async fn accepts_connections(reach: &Reach, target: &UpstreamTarget) -> bool {
    if reach.path(target) == UpstreamPath::Peer {
        return stays_open(open_tunnel(reach, target).await).await;
    }
    let direct = open_direct(reach, target).await;
    if direct.is_err() {
        return stays_open(bypass(reach, target).await).await;
    }
    // Something on the path may accept connections and close them.
    stays_open(direct).await || stays_open(open_tunnel(reach, target).await).await
}

/// Returns whether a new connection stays open, and keeps it for later requests.
async fn stays_open(opened: Result<ConnectionLease, NotConnected>) -> bool {
    let Ok(lease) = opened else { return false };
    tokio::time::sleep(EXIT_TIME).await;
    let open = lease.is_open();
    lease.give_back();
    open
}
