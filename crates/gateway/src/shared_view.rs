//! The leading controller's last view: loads of the workers, and workers that are withheld.
//!
//! A view is up to half a second old. The requests that this gateway has sent since are counted
//! separately.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, FleetView, Term, WorkerId, WorkerLoad};
use tokio::time::Instant;

use crate::loads::SharedLoad;

/// Number of views by which a view from another controller may be late.
const MAX_LATE_VIEWS: u64 = 3;

/// Load of a worker in the last view.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedLoad {
    /// Load from all gateways.
    all: SharedLoad,
    /// Part of it that this gateway had reported.
    local: SharedLoad,
}

/// The last view of the leading controller.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedView {
    version: (Term, u64),
    leader: Option<DaemonId>,
    gateways: u32,
    withheld: HashSet<WorkerId>,
    loads: HashMap<WorkerId, ReportedLoad>,
}

impl SharedView {
    /// Applies a view if it is newer than the current one; `reported` is the load that this gateway
    /// last reported. Returns false if the view is so old that the controller which passed it on is
    /// partitioned from the leader.
    pub(crate) fn apply(
        &mut self,
        view: &FleetView,
        reported: &HashMap<WorkerId, SharedLoad>,
        now: Instant,
    ) -> bool {
        let version = (view.term, view.number);
        if version <= self.version {
            return (view.term, view.number + MAX_LATE_VIEWS) >= self.version;
        }
        let reported_load = |load: &WorkerLoad| ReportedLoad {
            all: to_load(load, now),
            local: reported.get(&load.worker).copied().unwrap_or_default(),
        };
        *self = Self {
            version,
            leader: view.leader.clone(),
            gateways: view.gateways,
            withheld: view.withheld.iter().cloned().collect(),
            loads: view
                .loads
                .iter()
                .map(|load| (load.worker.clone(), reported_load(load)))
                .collect(),
        };
        true
    }

    /// Returns whether a view is newer than the current one.
    pub(crate) fn is_newer(&self, view: &FleetView) -> bool {
        (view.term, view.number) > self.version
    }

    /// Returns the controller that leads, by the last view.
    pub(crate) fn leader(&self) -> Option<&DaemonId> {
        self.leader.as_ref()
    }

    /// Returns the number of gateways that share the workers.
    pub(crate) fn gateways(&self) -> u32 {
        self.gateways.max(1)
    }

    /// Returns whether a worker must not be sent new requests.
    pub(crate) fn is_withheld(&self, id: &WorkerId) -> bool {
        self.withheld.contains(id)
    }

    /// Returns the load of a worker from all gateways.
    pub(crate) fn all(&self, id: &WorkerId) -> SharedLoad {
        self.loads.get(id).copied().unwrap_or_default().all
    }

    /// Returns the load of a worker from this gateway.
    pub(crate) fn local(&self, id: &WorkerId) -> SharedLoad {
        self.loads.get(id).copied().unwrap_or_default().local
    }

    /// Returns the load of a worker from the other gateways.
    pub(crate) fn others(&self, id: &WorkerId) -> SharedLoad {
        let load = self.loads.get(id).copied().unwrap_or_default();
        SharedLoad {
            active: load.all.active.saturating_sub(load.local.active),
            waiting_ms: (load.all.waiting_ms - load.local.waiting_ms).max(0.0),
            progress: load.all.progress,
        }
    }
}

fn to_load(load: &WorkerLoad, now: Instant) -> SharedLoad {
    let age = load.progress_ms.map(|ms| Duration::from_millis(ms.into()));
    SharedLoad {
        active: load.active,
        waiting_ms: f64::from(load.waiting_ms),
        progress: age.and_then(|age| now.checked_sub(age)),
    }
}
