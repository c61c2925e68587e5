//! What the leading controller last told of the workers' loads, and who gets no requests.
//!
//! It is up to half a second old: what this gateway has sent since is counted beside it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, FleetView, Term, WorkerId, WorkerLoad};
use tokio::time::Instant;

use crate::loads::SharedLoad;

/// Views by which one that comes by another way may be late.
const MAX_LATE_VIEWS: u64 = 3;

/// Requests under way at a worker as last told.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedLoad {
    /// Those of all gateways.
    all: SharedLoad,
    /// Those of this gateway among them.
    local: SharedLoad,
}

/// What the leading controller last told.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedView {
    version: (Term, u64),
    leader: Option<DaemonId>,
    gateways: u32,
    withheld: HashSet<WorkerId>,
    loads: HashMap<WorkerId, ReportedLoad>,
}

impl SharedView {
    /// Takes a newer view in, and passes older ones over; `reported` is what this gateway last told
    /// of its own requests. False for a view that is so old that whoever passed it on is cut off
    /// from the leader.
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

    /// Whether a view is newer than the one that was last taken.
    pub(crate) fn is_newer(&self, view: &FleetView) -> bool {
        (view.term, view.number) > self.version
    }

    /// The controller that told.
    pub(crate) fn leader(&self) -> Option<&DaemonId> {
        self.leader.as_ref()
    }

    /// Gateways that share the workers.
    pub(crate) fn gateways(&self) -> u32 {
        self.gateways.max(1)
    }

    /// Whether a worker must get no new requests.
    pub(crate) fn is_withheld(&self, id: &WorkerId) -> bool {
        self.withheld.contains(id)
    }

    /// What all gateways had under way at a worker.
    pub(crate) fn all(&self, id: &WorkerId) -> SharedLoad {
        self.loads.get(id).copied().unwrap_or_default().all
    }

    /// What this gateway had among that.
    pub(crate) fn local(&self, id: &WorkerId) -> SharedLoad {
        self.loads.get(id).copied().unwrap_or_default().local
    }

    /// What the other gateways had among that.
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
