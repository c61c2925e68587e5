//! Finds out what became of an upstream after a connection to it was lost.
//!
//! A connection ends with its upstream's process, with the path, or alone. A call on another connection
//! tells them apart: over the process's own path, or else through a peer.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_upstream::ConnectionLease;

use crate::connect::{NotConnected, bypass, open_direct, open_tunnel};
use crate::instance::{InstanceProbe, InstanceState};
use crate::paths::UpstreamPath;
use crate::reach::{Reach, UpstreamTarget};
use crate::shared_checks::CheckResult;

/// Time for which a new connection must stay open. A process that exits closes its listener some time
/// after its first connections.
const EXIT_TIME: Duration = Duration::from_millis(30);

/// Some other upstreams of a service, by which a lost path is told from a lost upstream.
#[derive(Clone, Debug, Default)]
pub struct OtherUpstreams {
    /// Upstreams that take requests, so that peers know them too.
    pub serving: Vec<UpstreamTarget>,
    /// Upstreams that only accept connections. They are tried if none of the former is reached.
    pub idle: Vec<UpstreamTarget>,
}

/// The report of a check that has panicked.
const FAILED_CHECK: FateReport =
    FateReport { fate: UpstreamFate::Unknown, state: InstanceState::Unreached };

/// What became of an instance of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFate {
    /// It still runs, or a process that has not answered accepts connections in its place.
    Running,
    /// It is replaced, or it accepts no connection while another upstream of the service does.
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

/// The outcome of a check of an upstream's instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FateReport {
    /// What became of the instance.
    pub fate: UpstreamFate,
    /// What the call to it showed.
    pub state: InstanceState,
}

impl CheckResult for FateReport {
    /// An instance that has terminated does not run again.
    fn is_final(&self) -> bool {
        self.fate == UpstreamFate::Terminated
    }
}

impl Reach {
    /// Finds out whether an instance still runs after a connection to it was lost. Requests that lost
    /// their connections to the same instance share one check.
    ///
    /// Without other upstreams of its service, an upstream that accepts no connections counts as
    /// terminated.
    pub async fn learn_fate(
        self: &Arc<Self>,
        target: &UpstreamTarget,
        probe: &Arc<dyn InstanceProbe>,
        others: OtherUpstreams,
    ) -> FateReport {
        let name = format!("{}#{}", target.full_name(), probe.instance());
        let (reach, target, probe) = (Arc::clone(self), target.clone(), Arc::clone(probe));
        let check = async move {
            let state = reach.check_instance(&target, &probe).await;
            FateReport { fate: find_fate(&reach, state, &others).await, state }
        };
        self.fate_checks.share(name, check).await.unwrap_or(FAILED_CHECK)
    }
}

async fn find_fate(reach: &Reach, state: InstanceState, others: &OtherUpstreams) -> UpstreamFate {
    match state {
        InstanceState::Running | InstanceState::Silent => return UpstreamFate::Running,
        InstanceState::Replaced => return UpstreamFate::Terminated,
        InstanceState::Refused | InstanceState::Unreached => {}
    }
    if others.serving.is_empty() && others.idle.is_empty() {
        return UpstreamFate::Terminated;
    }
    for other in &others.serving {
        if accepts_connections(reach, other).await {
            return UpstreamFate::Terminated;
        }
    }
    for other in &others.idle {
        if stays_open(open_direct(reach, other).await.map_err(|_| NotConnected)).await {
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
    let Ok(direct) = open_direct(reach, target).await else {
        return stays_open(bypass(reach, target).await).await;
    };
    // Something on the path may accept connections and close them.
    stays_open(Ok(direct)).await || stays_open(open_tunnel(reach, target).await).await
}

/// Returns whether a new connection stays open, and keeps it for later requests.
async fn stays_open(opened: Result<ConnectionLease, NotConnected>) -> bool {
    let Ok(lease) = opened else { return false };
    tokio::time::sleep(EXIT_TIME).await;
    let open = lease.is_open();
    lease.give_back();
    open
}
