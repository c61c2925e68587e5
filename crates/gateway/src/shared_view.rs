//! What the leading controller last told of the workers' loads, and who gets no requests.
//!
//! It is up to half a second old: what this gateway has sent since is counted beside it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, FleetView, Term, WorkerId, WorkerLoad};
use tokio::time::Instant;

use crate::loads::SharedLoad;

/// Views by which one that comes by another way may be late.
const LATE_VIEWS: u64 = 3;

/// Requests under way at a worker as last told.
#[derive(Clone, Copy, Debug, Default)]
struct ToldLoad {
    /// Those of all gateways.
    all: SharedLoad,
    /// Those of this gateway among them.
    own: SharedLoad,
}

/// What the leading controller last told.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedView {
    rank: (Term, u64),
    leader: Option<DaemonId>,
    gateways: u32,
    withheld: HashSet<WorkerId>,
    loads: HashMap<WorkerId, ToldLoad>,
}

impl SharedView {
    /// Takes a newer view in, and passes older ones over; `reported` is what this gateway last told
    /// of its own requests. False for a view that is so old that whoever passed it on is cut off
    /// from the leader.
    pub(crate) fn take(
        &mut self,
        view: &FleetView,
        reported: &HashMap<WorkerId, SharedLoad>,
        now: Instant,
    ) -> bool {
        let rank = (view.term, view.number);
        if rank <= self.rank {
            return (view.term, view.number + LATE_VIEWS) >= self.rank;
        }
        let told = |load: &WorkerLoad| ToldLoad {
            all: to_load(load, now),
            own: reported.get(&load.worker).copied().unwrap_or_default(),
        };
        *self = Self {
            rank,
            leader: view.leader.clone(),
            gateways: view.gateways,
            withheld: view.withheld.iter().cloned().collect(),
            loads: view.loads.iter().map(|load| (load.worker.clone(), told(load))).collect(),
        };
        true
    }

    /// Whether a view is newer than the one that was last taken.
    pub(crate) fn is_newer(&self, view: &FleetView) -> bool {
        (view.term, view.number) > self.rank
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
    pub(crate) fn own(&self, id: &WorkerId) -> SharedLoad {
        self.loads.get(id).copied().unwrap_or_default().own
    }

    /// What the other gateways had among that.
    pub(crate) fn others(&self, id: &WorkerId) -> SharedLoad {
        let told = self.loads.get(id).copied().unwrap_or_default();
        SharedLoad {
            active: told.all.active.saturating_sub(told.own.active),
            waiting_ms: (told.all.waiting_ms - told.own.waiting_ms).max(0.0),
            progress: told.all.progress,
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
