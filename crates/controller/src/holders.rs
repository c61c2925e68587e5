//! Daemons that hold what a controller is about to acknowledge.
//!
//! The departures of workers and the releases of quarantined requests are in memory only, and nobody
//! repeats them: a worker that has deregistered is silent, and an operator believes the answer. Such
//! a call is therefore answered only once other daemons hold what it says.
//!
//! Invariant: a daemon counts as a holder only after it has confirmed that its own state has it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::WorkerTable;
use hollowbarrow_schema::{ContentDigest, DaemonId, WorkerDeparture, WorkerId};

/// Time after which a call is answered although too few daemons have confirmed. Workers wait a
/// second for an answer.
pub(crate) const HOLD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which daemons that have not confirmed are told again.
pub(crate) const REPEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Silence after which no confirmation of a controller is expected.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// Something that is acknowledged once other daemons hold it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeldFact {
    /// A worker takes no new requests.
    Draining(WorkerId),
    /// A worker has deregistered, which includes that it takes no new requests.
    Gone(WorkerId),
    /// An operator has released a request from quarantine.
    Released(ContentDigest),
}

impl From<WorkerDeparture> for HeldFact {
    fn from(departure: WorkerDeparture) -> Self {
        let WorkerDeparture { worker, gone } = departure;
        if gone { Self::Gone(worker) } else { Self::Draining(worker) }
    }
}

/// Daemons from which confirmations can be expected.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReachableDaemons {
    /// Other controllers.
    pub controllers: BTreeSet<DaemonId>,
    /// Gateways that get updates from this controller.
    pub gateways: BTreeSet<DaemonId>,
}

/// What was reported to this controller, with the daemons that hold it.
#[derive(Clone, Debug, Default)]
pub struct HolderLedger {
    holders: BTreeMap<HeldFact, BTreeSet<DaemonId>>,
}

impl HolderLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Expects confirmations of a fact from now on.
    pub fn begin(&mut self, fact: HeldFact) {
        self.holders.entry(fact).or_default();
    }

    /// Records that a daemon holds a fact, if confirmations of it are expected.
    pub fn confirm(&mut self, from: &DaemonId, fact: &HeldFact) {
        if let Some(holders) = self.holders.get_mut(fact) {
            holders.insert(from.clone());
        }
        if let HeldFact::Gone(worker) = fact {
            self.confirm(from, &HeldFact::Draining(worker.clone()));
        }
    }

    /// Returns the daemons that hold a fact.
    pub fn holders(&self, fact: &HeldFact) -> BTreeSet<DaemonId> {
        self.holders.get(fact).cloned().unwrap_or_default()
    }

    /// Forgets the holders of a fact.
    pub fn forget(&mut self, fact: &HeldFact) {
        self.holders.remove(fact);
    }

    /// Forgets the departures of workers that the table no longer lists, or lists as available again.
    pub fn prune(&mut self, table: &WorkerTable) {
        self.holders.retain(|fact, _| match fact {
            HeldFact::Draining(worker) | HeldFact::Gone(worker) => {
                table.get(worker).is_some_and(|entry| entry.report.leaving || entry.report.gone)
            }
            HeldFact::Released(_) => true,
        });
    }
}

/// Returns whether enough daemons hold a fact for it to outlive this controller.
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
