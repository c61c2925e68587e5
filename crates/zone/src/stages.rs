//! Where each replica of a zone is in its life, as the zone's authority follows it.
//!
//! Invariant: the time at which a replica entered its stage is kept for as long as this daemon
//! holds the authority and the replica keeps its epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{Allocation, AllocationPhase, Epoch, GroupName, ZoneTable};
use tokio::time::Instant;

use crate::authority::TableStanding;
use crate::lifecycle::{Draining, Forming, Loading, ReplicaLifecycle, Serving};

/// Name of one replica within a zone.
pub type ReplicaName = (GroupName, u32);

/// Where a replica is in its life.
#[derive(Clone, Debug)]
pub enum ReplicaStage {
    /// Its members load.
    Loading(ReplicaLifecycle<Loading>),
    /// It takes requests.
    Serving(ReplicaLifecycle<Serving>),
    /// It takes no new requests.
    Draining(ReplicaLifecycle<Draining>),
}

impl ReplicaStage {
    fn epoch(&self) -> Epoch {
        match self {
            Self::Loading(life) => life.epoch(),
            Self::Serving(life) => life.epoch(),
            Self::Draining(life) => life.epoch(),
        }
    }

    /// Stage of a replica that is seen for the first time, as after a hand-over.
    fn first(allocation: &Allocation, now: Instant) -> Self {
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
    /// Group and number.
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
    /// Stage of a replica, if it is in the table.
    pub fn get(&self, name: &ReplicaName) -> Option<&ReplicaStage> {
        self.stages.get(name)
    }

    /// Brings the stages in line with the zone's table; returns the replicas that now serve.
    pub fn sync(&mut self, standing: TableStanding<'_>, now: Instant) -> Vec<LoadedReplica> {
        match standing {
            TableStanding::Settled(table) => self.take_table(table, now),
            // A change under way says nothing of the replicas that it does not touch. Forgotten
            // here, a drain would never reach its limit while changes follow each other.
            TableStanding::Unsettled => Vec::new(),
            TableStanding::NotHeld => {
                self.stages.clear();
                Vec::new()
            }
        }
    }

    fn take_table(&mut self, table: &ZoneTable, now: Instant) -> Vec<LoadedReplica> {
        let mut former = std::mem::take(&mut self.stages);
        let mut loaded = Vec::new();
        for allocation in &table.allocations {
            let name = (allocation.group.clone(), allocation.slot);
            let known = former.remove(&name).filter(|stage| stage.epoch() == allocation.epoch);
            let ready = !allocation.starts.is_empty();
            let draining = allocation.phase == AllocationPhase::Draining;
            let stage = match known {
                Some(ReplicaStage::Loading(life)) if ready => {
                    loaded.push(LoadedReplica {
                        name: name.clone(),
                        epoch: allocation.epoch,
                        elapsed: now.saturating_duration_since(life.entered()),
                    });
                    ReplicaStage::Serving(life.finish_loading(now).begin_serving(now))
                }
                Some(ReplicaStage::Serving(life)) if draining => {
                    ReplicaStage::Draining(life.begin_draining(now))
                }
                Some(stage) => stage,
                None => ReplicaStage::first(allocation, now),
            };
            self.stages.insert(name, stage);
        }
        loaded
    }
}
