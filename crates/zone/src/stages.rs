//! Lifecycle stage of each replica of a zone, as the zone's authority tracks it.
//!
//! Invariant: the time at which a replica entered its stage is kept for as long as this daemon
//! holds the authority and the replica keeps its epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{Allocation, AllocationPhase, Epoch, GroupName, ZoneTable};
use tokio::time::Instant;

use crate::authority::TableStanding;
use crate::lifecycle::{Draining, Forming, Loading, ReplicaLifecycle, Serving};

/// Group and slot that identify a replica within a zone.
pub type ReplicaName = (GroupName, u32);

/// Lifecycle stage of a replica.
#[derive(Clone, Debug)]
pub enum ReplicaStage {
    /// The members load.
    Loading(ReplicaLifecycle<Loading>),
    /// The replica takes requests.
    Serving(ReplicaLifecycle<Serving>),
    /// The replica takes no new requests.
    Draining(ReplicaLifecycle<Draining>),
}

impl ReplicaStage {
    fn epoch(&self) -> Epoch {
        match self {
            Self::Loading(lifecycle) => lifecycle.epoch(),
            Self::Serving(lifecycle) => lifecycle.epoch(),
            Self::Draining(lifecycle) => lifecycle.epoch(),
        }
    }

    /// Returns the stage of a replica that is not tracked yet, such as after a handover of the
    /// authority.
    fn initial(allocation: &Allocation, now: Instant) -> Self {
        let loading = ReplicaLifecycle::<Forming>::new(allocation, now).order_loading(now);
        if allocation.starts.is_empty() && allocation.phase == AllocationPhase::Active {
            return Self::Loading(loading);
        }
        let serving = loading.finish_loading(now).begin_serving(now);
        match allocation.phase {
            AllocationPhase::Active => Self::Serving(serving),
            AllocationPhase::Draining => Self::Draining(serving.begin_draining(now)),
        }
    }
}

/// A replica whose members have all loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedReplica {
    /// Group and slot.
    pub name: ReplicaName,
    /// Epoch of its orders.
    pub epoch: Epoch,
    /// Time for which its members loaded.
    pub elapsed: Duration,
}

/// Stages of all replicas of a zone.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStages {
    stages: BTreeMap<ReplicaName, ReplicaStage>,
}

impl ReplicaStages {
    /// Returns the stage of a replica, if it is in the table.
    pub fn get(&self, name: &ReplicaName) -> Option<&ReplicaStage> {
        self.stages.get(name)
    }

    /// Updates the stages from the zone's table; returns the replicas that have just begun to serve.
    pub fn sync(&mut self, standing: TableStanding<'_>, now: Instant) -> Vec<LoadedReplica> {
        match standing {
            TableStanding::Settled(table) => self.apply_table(table, now),
            // The stages are kept while a change is not settled. If they were cleared, a drain would
            // never reach its time limit while changes follow one another.
            TableStanding::Unsettled => Vec::new(),
            TableStanding::NotHeld => {
                self.stages.clear();
                Vec::new()
            }
        }
    }

    fn apply_table(&mut self, table: &ZoneTable, now: Instant) -> Vec<LoadedReplica> {
        let mut former = std::mem::take(&mut self.stages);
        let mut loaded = Vec::new();
        for allocation in &table.allocations {
            let name = (allocation.group.clone(), allocation.slot);
            let known = former.remove(&name).filter(|stage| stage.epoch() == allocation.epoch);
            let ready = !allocation.starts.is_empty();
            let draining = allocation.phase == AllocationPhase::Draining;
            let stage = match known {
                Some(ReplicaStage::Loading(lifecycle)) if ready => {
                    loaded.push(LoadedReplica {
                        name: name.clone(),
                        epoch: allocation.epoch,
                        elapsed: now.saturating_duration_since(lifecycle.entered()),
                    });
                    ReplicaStage::Serving(lifecycle.finish_loading(now).begin_serving(now))
                }
                Some(ReplicaStage::Serving(lifecycle)) if draining => {
                    ReplicaStage::Draining(lifecycle.begin_draining(now))
                }
                Some(stage) => stage,
                None => ReplicaStage::initial(allocation, now),
            };
            self.stages.insert(name, stage);
        }
        loaded
    }
}
