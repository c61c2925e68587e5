//! Daemons that hold the departures of workers.
//!
//! The table of workers is in memory only, and no later report restores a departure: a worker that has
//! deregistered is silent. Its call is therefore answered only once other daemons hold the departure.
//!
//! Invariant: a daemon counts as a holder of a departure only after it has confirmed that its own
//! table holds it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::WorkerTable;
use hollowbarrow_schema::{DaemonId, WorkerDeparture, WorkerId, WorkerReport};

/// Time after which a departure is acknowledged although too few daemons have confirmed it. Workers
/// wait a second for an answer.
pub(crate) const HOLD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a departure is sent again to daemons that have not confirmed it.
pub(crate) const REPEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Silence after which no confirmation of a controller is expected.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// Daemons from which confirmations can be expected.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReachableDaemons {
    /// Other controllers.
    pub controllers: BTreeSet<DaemonId>,
    /// Gateways that get worker updates from this controller.
    pub gateways: BTreeSet<DaemonId>,
}

/// Daemons that hold the departure of one worker.
#[derive(Clone, Debug)]
struct DepartureHolders {
    departure: WorkerDeparture,
    daemons: BTreeSet<DaemonId>,
}

/// Departures that workers reported to this controller, with the daemons that hold them.
#[derive(Clone, Debug, Default)]
pub struct DepartureLedger {
    holders: BTreeMap<WorkerId, DepartureHolders>,
}

impl DepartureLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a worker reported a departure. Daemons that have confirmed less, a worker that
    /// takes no new requests where it has deregistered since, no longer count.
    pub fn begin(&mut self, departure: WorkerDeparture) {
        let begun = self.holders.get(&departure.worker);
        if begun.is_some_and(|begun| covers(&begun.departure, &departure)) {
            return;
        }
        let daemons = BTreeSet::new();
        self.holders.insert(departure.worker.clone(), DepartureHolders { departure, daemons });
    }

    /// Records that a daemon holds a departure.
    pub fn confirm(&mut self, from: &DaemonId, departure: &WorkerDeparture) {
        let Some(holders) = self.holders.get_mut(&departure.worker) else { return };
        if covers(departure, &holders.departure) {
            holders.daemons.insert(from.clone());
        }
    }

    /// Returns the daemons that hold the departure of a worker.
    pub fn holders(&self, worker: &WorkerId) -> BTreeSet<DaemonId> {
        self.holders.get(worker).map(|holders| holders.daemons.clone()).unwrap_or_default()
    }

    /// Removes the departures of workers that the table no longer lists, or lists as available again.
    pub fn prune(&mut self, table: &WorkerTable) {
        let departed = |report: &WorkerReport| report.leaving || report.gone;
        self.holders
            .retain(|worker, _| table.get(worker).is_some_and(|entry| departed(&entry.report)));
    }
}

/// Returns whether a daemon that holds one departure of a worker also holds the other.
fn covers(held: &WorkerDeparture, other: &WorkerDeparture) -> bool {
    held.gone || !other.gone
}

/// Returns whether enough daemons hold a departure for it to outlive this controller.
///
/// As many other controllers must hold it as may be lost at once, or all that can be reached if these
/// are fewer. If no other controller can be reached, one gateway must hold it, unless none of these
/// can be reached either.
pub fn is_held(holders: &BTreeSet<DaemonId>, reachable: &ReachableDaemons, losses: usize) -> bool {
    let ReachableDaemons { controllers, gateways } = reachable;
    if controllers.is_empty() {
        return gateways.is_empty() || !holders.is_empty();
    }
    let needed = losses.max(1).min(controllers.len());
    holders.intersection(controllers).count() >= needed
}
