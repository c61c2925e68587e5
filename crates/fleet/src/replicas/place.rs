//! Plans replicas over free workers, and disbands replicas over several domains once one domain
//! can form them.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{DomainId, ModelName, WorkerReport};

use super::{
    Replica, ReplicaController, ReplicaKind, ReplicaName, ReplicaPhase, StepView, WorkerStatus,
    domain_of, join_ids,
};
use crate::placement::{
    PlacementDemand, PlacementWorker, PlannedReplica, plan_replicas, plan_scattered, scarce_model,
};

impl ReplicaController {
    /// Plans replicas over the free workers.
    pub(super) fn place_free(&mut self, view: &StepView<'_>, warming_up: bool) {
        self.record_utilisation(view);
        let demands = self.demands(view);
        let domains = count_usable(view);
        let free = self.free_for_placement(view);
        let existing = self.count_existing(view);
        let planned = plan_replicas(&demands, &existing, &domains, &free, warming_up);
        self.form(planned);
        // The members of a replica that is disbanded will be free soon, and one domain may then need
        // the workers that are free now.
        let disbanding = self.replicas.values().any(|replica| {
            matches!(replica.phase, ReplicaPhase::Closing { .. } | ReplicaPhase::Leaving)
        });
        if warming_up || disbanding {
            return;
        }
        let free = self.free_for_placement(view);
        let existing = self.count_existing(view);
        self.form(plan_scattered(&demands, &existing, &domains, &free));
        self.log_free(view);
    }

    fn demands(&self, view: &StepView<'_>) -> Vec<PlacementDemand> {
        view.engine.models.iter().map(|model| self.utilisation.demand_of(model)).collect()
    }

    /// Returns the model whose replicas are scarcest, if it lacks many. Before the first plan none
    /// counts as scarce.
    pub(super) fn scarce_model(&self, view: &StepView<'_>) -> Option<ModelName> {
        let existing = self.count_existing(view);
        if existing.is_empty() {
            return None;
        }
        scarce_model(&self.demands(view), &existing, &count_usable(view))
    }

    fn free_for_placement(&self, view: &StepView<'_>) -> Vec<PlacementWorker> {
        let to_worker = |report: &WorkerReport| PlacementWorker {
            id: report.id.clone(),
            domain: domain_of(report),
            model: report.model.clone(),
            staged: report.staged.clone(),
        };
        self.free_workers(view).into_iter().map(to_worker).collect()
    }

    /// Starts to form planned replicas.
    fn form(&mut self, planned: Vec<PlannedReplica>) {
        for replica in planned {
            let epoch = self.next_epoch();
            let name = ReplicaName { kind: ReplicaKind::Serving, model: replica.model, epoch };
            for member in &replica.members {
                self.standbys.remove(member);
            }
            log::info!(
                "event=replica_planned replica={} model={} members={}",
                name.to_text(),
                *name.model,
                join_ids(&replica.members)
            );
            self.insert(name, replica.members, ReplicaPhase::Forming, false);
        }
    }

    /// Closes a replica over several domains once one of them can form it alone.
    ///
    /// Free workers count only if they hold the weights, as [`plan_replicas`] has it. With those
    /// that are still to load them, the members would be free again without being eligible for
    /// anything but another replica over several domains, which would be closed in turn.
    pub(super) fn disband_scattered(&mut self, view: &StepView<'_>) {
        let holders = count_holders(&self.free_workers(view));
        let mut serving = self.replicas.values().filter(|r| r.phase == ReplicaPhase::Serving);
        let found = serving.find(|replica| {
            let model = &replica.name.model;
            let mut domains: BTreeMap<DomainId, usize> = BTreeMap::new();
            for report in replica.members.iter().filter_map(|member| view.report(member)) {
                *domains.entry(domain_of(report)).or_default() += 1;
            }
            let enough = |(domain, members): (&DomainId, &usize)| {
                let key = (domain.clone(), model.clone());
                let free = holders.get(&key).copied().unwrap_or_default();
                members + free >= replica.members.len()
            };
            domains.len() > 1 && domains.iter().any(enough)
        });
        let Some(epoch) = found.map(|replica| replica.name.epoch) else { return };
        let until = view.now + self.timing.close_timeout;
        self.enter(epoch, ReplicaPhase::Closing { until });
    }

    /// Counts the replicas that are not leaving, by domain of the first known member and by model.
    fn count_existing(&self, view: &StepView<'_>) -> BTreeMap<(DomainId, ModelName), usize> {
        let mut counts = BTreeMap::new();
        let kept = |replica: &&Replica| replica.phase != ReplicaPhase::Leaving;
        for replica in self.replicas.values().filter(kept) {
            let report = replica.members.iter().find_map(|member| view.report(member));
            if let Some(report) = report {
                let key = (domain_of(report), replica.name.model.clone());
                *counts.entry(key).or_default() += 1;
            }
        }
        counts
    }
}

/// Counts the usable workers of each domain.
fn count_usable(view: &StepView<'_>) -> BTreeMap<DomainId, usize> {
    let mut domains = BTreeMap::new();
    for state in view.workers.values().filter(|state| state.status == WorkerStatus::Usable) {
        *domains.entry(domain_of(state.report)).or_default() += 1;
    }
    domains
}

/// Counts the free workers that hold each model's weights in memory or on their host, by domain.
fn count_holders(free: &[&WorkerReport]) -> BTreeMap<(DomainId, ModelName), usize> {
    let mut holders = BTreeMap::new();
    for report in free {
        let models: BTreeSet<&ModelName> = report.model.iter().chain(&report.staged).collect();
        for model in models {
            *holders.entry((domain_of(report), model.clone())).or_default() += 1;
        }
    }
    holders
}
