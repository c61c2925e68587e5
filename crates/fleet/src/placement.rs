//! Decides which free workers form which replicas.
//!
//! Planning is a pure function: the same workers, replicas and demands give the
//! same plan. It never moves an existing replica.
//!
//! Trade-off: a share of each fabric domain is kept free, so that a lost member
//! is replaced within a second by a worker that already holds the weights. The
//! reserve is used up where a model would otherwise fall below its share.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{DomainId, ModelName, WorkerId};

/// Distance of a worker that must load a model from the store.
const STORE_DISTANCE: u8 = 2;
/// Share of all workers that the target counts of replicas are computed from.
const USED_SHARE: f64 = 0.92;
/// A model gets replicas over several domains only while its number of replicas times this factor
/// does not exceed the target count.
const SCATTER_FACTOR: usize = 3;
/// A model is scarce while its number of replicas times this factor does not exceed the target count.
const SCARCE_FACTOR: usize = 2;
/// Share of a domain's workers that the first pass of a plan keeps free. The second pass uses it for
/// models that are still below their target count.
const RESERVE_SHARE: f64 = 0.2;

/// Demand for replicas of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementDemand {
    /// The model.
    pub model: ModelName,
    /// Workers in one replica.
    pub size: usize,
    /// Share of the work, and thus of the workers.
    pub share: f64,
}

/// A worker that is in no replica and may be ordered into one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementWorker {
    /// Its identity.
    pub id: WorkerId,
    /// Its fabric domain.
    pub domain: DomainId,
    /// Model whose weights it holds in memory.
    pub model: Option<ModelName>,
    /// Models whose weights are on its host.
    pub staged: Vec<ModelName>,
}

impl PlacementWorker {
    /// Returns where the worker has a model's weights: 0 in memory, 1 on its host,
    /// [`STORE_DISTANCE`] only in the store.
    fn distance(&self, model: &ModelName) -> u8 {
        if self.model.as_ref() == Some(model) {
            0
        } else if self.staged.contains(model) {
            1
        } else {
            STORE_DISTANCE
        }
    }
}

/// A replica to be formed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedReplica {
    /// Its model.
    pub model: ModelName,
    /// Its members; the first is the head.
    pub members: Vec<WorkerId>,
}

/// Plans replicas over the free workers.
///
/// Unless `may_load`, only workers with a model's weights in memory or on their host are eligible:
/// a replica that waits for a load would block its other members from any other use.
///
/// `existing` counts the replicas of each model in each domain, and `workers` counts all usable
/// workers of each domain, including those in replicas.
pub fn plan_replicas(
    demands: &[PlacementDemand],
    existing: &BTreeMap<(DomainId, ModelName), usize>,
    workers: &BTreeMap<DomainId, usize>,
    free: &[PlacementWorker],
    may_load: bool,
) -> Vec<PlannedReplica> {
    let mut planner = ReplicaPlanner::new(demands, existing, workers, free);
    planner.may_load = may_load;
    let mut planned = Vec::new();
    if existing.is_empty() {
        planned.extend(planner.place_largest_first());
    }
    while let Some(replica) = planner.place_next(true) {
        planned.push(replica);
    }
    while let Some(replica) = planner.place_next(false) {
        planned.push(replica);
    }
    planned
}

/// Plans replicas whose members are in several domains. They are slower than replicas within one
/// domain.
///
/// Meant for models of which no domain can form another replica alone. The arguments are those of
/// [`plan_replicas`].
pub fn plan_scattered(
    demands: &[PlacementDemand],
    existing: &BTreeMap<(DomainId, ModelName), usize>,
    workers: &BTreeMap<DomainId, usize>,
    free: &[PlacementWorker],
) -> Vec<PlannedReplica> {
    let mut planner = ReplicaPlanner::new(demands, existing, workers, free);
    planner.may_load = false;
    let mut planned = Vec::new();
    while let Some(replica) = planner.place_scattered() {
        planned.push(replica);
    }
    planned
}

/// Returns the model that is furthest below its share, if at most half of its target count of
/// replicas exists. The arguments are those of [`plan_replicas`].
pub(crate) fn scarce_model(
    demands: &[PlacementDemand],
    existing: &BTreeMap<(DomainId, ModelName), usize>,
    workers: &BTreeMap<DomainId, usize>,
) -> Option<ModelName> {
    let planner = ReplicaPlanner::new(demands, existing, workers, &[]);
    let fill = |demand: &&PlacementDemand| planner.fill_of(demand);
    let lowest = demands.iter().min_by(|a, b| fill(a).total_cmp(&fill(b)))?;
    let count = planner.counts.get(&lowest.model).copied().unwrap_or_default();
    let target = planner.targets.get(&lowest.model).copied().unwrap_or_default();
    (count * SCARCE_FACTOR <= target).then(|| lowest.model.clone())
}

struct ReplicaPlanner<'a> {
    demands: &'a [PlacementDemand],
    counts: BTreeMap<ModelName, usize>,
    hosted: BTreeSet<(DomainId, ModelName)>,
    targets: BTreeMap<ModelName, usize>,
    workers: &'a BTreeMap<DomainId, usize>,
    free: BTreeMap<DomainId, Vec<&'a PlacementWorker>>,
    may_load: bool,
}

impl<'a> ReplicaPlanner<'a> {
    fn new(
        demands: &'a [PlacementDemand],
        existing: &BTreeMap<(DomainId, ModelName), usize>,
        workers: &'a BTreeMap<DomainId, usize>,
        free: &'a [PlacementWorker],
    ) -> Self {
        let mut counts: BTreeMap<ModelName, usize> = BTreeMap::new();
        let mut hosted = BTreeSet::new();
        for ((domain, model), count) in existing {
            *counts.entry(model.clone()).or_default() += count;
            hosted.insert((domain.clone(), model.clone()));
        }
        let mut by_domain: BTreeMap<DomainId, Vec<&PlacementWorker>> = BTreeMap::new();
        for worker in free {
            by_domain.entry(worker.domain.clone()).or_default().push(worker);
        }
        let targets = target_counts(demands, workers.values().sum());
        Self { demands, counts, hosted, targets, workers, free: by_domain, may_load: true }
    }

    /// Places the target count of each model, the largest replicas first. Without existing
    /// replicas there is capacity for all, and small replicas placed first would fragment the
    /// domains that large ones need.
    fn place_largest_first(&mut self) -> Vec<PlannedReplica> {
        let mut order: Vec<&PlacementDemand> = self.demands.iter().collect();
        order.sort_by_key(|demand| Reverse(demand.size));
        let mut planned = Vec::new();
        for demand in order {
            while self.is_below_target(demand)
                && let Some(domain) = self.choose_domain(demand, true)
            {
                planned.push(self.place(demand, &domain));
            }
        }
        planned
    }

    /// Returns whether a model has fewer existing and planned replicas than its target count.
    fn is_below_target(&self, demand: &PlacementDemand) -> bool {
        let count = self.counts.get(&demand.model).copied().unwrap_or_default();
        let target = self.targets.get(&demand.model).copied().unwrap_or_default();
        count < target
    }

    /// Places one replica of the model that is furthest below its share.
    fn place_next(&mut self, keep_reserve: bool) -> Option<PlannedReplica> {
        let mut order: Vec<&PlacementDemand> = self.demands.iter().collect();
        order.sort_by(|a, b| self.fill_of(a).total_cmp(&self.fill_of(b)));
        for demand in order {
            if !self.is_below_target(demand) {
                continue;
            }
            if let Some(domain) = self.choose_domain(demand, keep_reserve) {
                return Some(self.place(demand, &domain));
            }
        }
        None
    }

    /// Places one replica over several domains, of the model that is furthest below its share among
    /// those that [`SCATTER_FACTOR`] admits and that have enough near workers.
    fn place_scattered(&mut self) -> Option<PlannedReplica> {
        let mut order: Vec<&PlacementDemand> = self.demands.iter().collect();
        order.sort_by(|a, b| self.fill_of(a).total_cmp(&self.fill_of(b)));
        let demand = order.into_iter().find(|demand| {
            let count = self.counts.get(&demand.model).copied().unwrap_or_default();
            let target = self.targets.get(&demand.model).copied().unwrap_or_default();
            let near: usize = self.free.values().map(|free| count_near(free, &demand.model)).sum();
            count * SCATTER_FACTOR <= target && near >= demand.size
        })?;
        let mut domains: Vec<DomainId> = self.free.keys().cloned().collect();
        domains.sort_by_key(|domain| Reverse(count_near(&self.free[domain], &demand.model)));
        let mut members = Vec::with_capacity(demand.size);
        for domain in domains {
            let free = self.free.get_mut(&domain).expect("the domain is a key of the map");
            free.sort_by_key(|worker| (worker.distance(&demand.model), worker.id.clone()));
            let near = count_near(free, &demand.model).min(demand.size - members.len());
            members.extend(free.drain(..near).map(|worker| worker.id.clone()));
        }
        *self.counts.entry(demand.model.clone()).or_default() += 1;
        Some(PlannedReplica { model: demand.model.clone(), members })
    }

    /// Returns the number of workers in replicas of a model divided by its share.
    fn fill_of(&self, demand: &PlacementDemand) -> f64 {
        let count = self.counts.get(&demand.model).copied().unwrap_or_default();
        (count * demand.size) as f64 / demand.share.max(f64::MIN_POSITIVE)
    }

    fn is_eligible(&self, worker: &PlacementWorker, model: &ModelName) -> bool {
        self.may_load || worker.distance(model) < STORE_DISTANCE
    }

    fn choose_domain(&self, demand: &PlacementDemand, keep_reserve: bool) -> Option<DomainId> {
        let fits = |domain: &DomainId, free: &[&PlacementWorker]| {
            let total = self.workers.get(domain).copied().unwrap_or_default();
            let reserve = (total as f64 * RESERVE_SHARE).ceil() as usize;
            let eligible = free.iter().filter(|worker| self.is_eligible(worker, &demand.model));
            let kept_free = if keep_reserve { reserve } else { 0 };
            eligible.count() >= demand.size && free.len() >= demand.size + kept_free
        };
        let candidates = self.free.iter().filter(|(domain, free)| fits(domain, free));
        candidates
            .max_by_key(|(domain, free)| {
                let warm = free.iter().filter(|worker| worker.distance(&demand.model) == 0).count();
                let near = count_near(free, &demand.model);
                let size = demand.size;
                let key = ((*domain).clone(), demand.model.clone());
                let spread = !self.hosted.contains(&key);
                (warm.min(size), near.min(size), spread, free.len())
            })
            .map(|(domain, _)| domain.clone())
    }

    fn place(&mut self, demand: &PlacementDemand, domain: &DomainId) -> PlannedReplica {
        let free = self.free.get_mut(domain).expect("a chosen domain has free workers");
        free.sort_by_key(|worker| (worker.distance(&demand.model), worker.id.clone()));
        let members = free.drain(..demand.size).map(|worker| worker.id.clone()).collect();
        *self.counts.entry(demand.model.clone()).or_default() += 1;
        self.hosted.insert((domain.clone(), demand.model.clone()));
        PlannedReplica { model: demand.model.clone(), members }
    }
}

/// Counts the workers that need no load from the store for a model.
fn count_near(free: &[&PlacementWorker], model: &ModelName) -> usize {
    free.iter().filter(|worker| worker.distance(model) < STORE_DISTANCE).count()
}

/// Returns the target count of replicas of each model for this many workers, at least one each.
fn target_counts(demands: &[PlacementDemand], workers: usize) -> BTreeMap<ModelName, usize> {
    let usable = workers as f64 * USED_SHARE;
    let shares: f64 = demands.iter().map(|demand| demand.share).sum();
    let count = |demand: &PlacementDemand| {
        let part = usable * demand.share / shares.max(f64::MIN_POSITIVE);
        ((part / demand.size as f64).floor() as usize).max(1)
    };
    demands.iter().map(|demand| (demand.model.clone(), count(demand))).collect()
}
