//! Keeps free workers ready to replace lost members.
//!
//! A worker that already holds a model's weights joins a replica of that model
//! in a fraction of a second. So each free worker without weights joins a
//! single-member standby replica, which is never opened.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{DomainId, Epoch, ModelName, WorkerId, WorkerReport};

use crate::engine::ModelSpec;

use super::names::{ReplicaKind, ReplicaName};
use super::orders::{OrderTicket, WorkerOrder};
use super::{ReplicaController, StepView, WorkerStatus, domain_of};

/// Timeout of a copy of a model to a host, as a multiple of the longest load time.
const STAGING_TIMEOUT_FACTOR: u32 = 3;

/// Number of free workers, by domain and model, that can serve the model without a load from the
/// store, or that are assigned to load it.
pub(super) type NearCounts = BTreeMap<(DomainId, ModelName), usize>;

impl ReplicaController {
    /// Assigns a model to each free worker without weights.
    pub(super) fn keep_standbys(&mut self, view: &StepView<'_>) {
        let usable = |id: &WorkerId| view.status(id) == WorkerStatus::Usable;
        self.standbys.retain(|worker, _| usable(worker));
        let free = self.free_workers(view);
        let mut near = self.count_near(&free);
        let scarce = self.scarce_model(view);
        for report in free {
            let domain = domain_of(report);
            let assigned = self.standbys.get(&report.id).cloned();
            if report.model.is_some()
                || assigned.as_ref().is_some_and(|name| self.was_ordered(report, name))
            {
                continue;
            }
            // A worker whose load was not ordered yet may get another model, since the set of free
            // workers may have changed meanwhile.
            if let Some(name) = &assigned {
                let count = near.entry((domain.clone(), name.model.clone())).or_default();
                *count = count.saturating_sub(1);
            }
            let Some(model) = choose_model(report, &near, view, &[], scarce.as_ref()) else {
                continue;
            };
            *near.entry((domain, model.clone())).or_default() += 1;
            if assigned.is_some_and(|name| name.model == model) {
                continue;
            }
            let epoch = self.next_epoch();
            let name = ReplicaName { kind: ReplicaKind::Standby, model, epoch };
            self.standbys.insert(report.id.clone(), name);
        }
    }

    /// Returns whether a worker was ordered to join its standby replica.
    fn was_ordered(&self, report: &WorkerReport, name: &ReplicaName) -> bool {
        self.orders.was_sent(&report.id, &standby_order(name, &report.id))
    }

    /// Returns the usable workers that are in no replica of this controller.
    ///
    /// Workers that have not reported their membership since the start of the term are excluded:
    /// the former leader may have made one the head of a replica that still serves.
    pub(super) fn free_workers<'a>(&self, view: &StepView<'a>) -> Vec<&'a WorkerReport> {
        let members: BTreeSet<&WorkerId> =
            self.replicas.values().flat_map(|replica| &replica.members).collect();
        let usable = view.workers.values().filter(|s| s.status == WorkerStatus::Usable);
        let known = usable.filter(|state| state.confirmed >= self.times.term_start);
        known.map(|state| state.report).filter(|report| !members.contains(&report.id)).collect()
    }

    pub(super) fn count_near(&self, free: &[&WorkerReport]) -> NearCounts {
        let mut near = NearCounts::new();
        for report in free {
            let staging = self.staging.get(&report.id).map(|(model, _)| model.clone());
            let models: BTreeSet<ModelName> = self
                .model_of_free(report)
                .into_iter()
                .chain(report.staged.iter().cloned())
                .chain(staging)
                .collect();
            for model in models {
                *near.entry((domain_of(report), model)).or_default() += 1;
            }
        }
        near
    }

    /// Returns the model that a free worker is assigned or holds.
    fn model_of_free(&self, report: &WorkerReport) -> Option<ModelName> {
        let assigned = self.standbys.get(&report.id).map(|name| name.model.clone());
        assigned.or_else(|| report.model.clone())
    }

    /// Orders workers into their standby replicas unless they have joined already.
    pub(super) fn order_standbys(
        &mut self,
        view: &StepView<'_>,
        warming_up: bool,
        tickets: &mut Vec<OrderTicket>,
    ) {
        for (worker, name) in self.standbys_by_urgency(view) {
            let Some(report) = view.report(&worker) else { continue };
            let text = name.to_text();
            let joined = report.membership.as_ref().is_some_and(|m| m.replica == text);
            if joined || self.leave_former(report, view, tickets) {
                continue;
            }
            let model = name.model.clone();
            let order = standby_order(&name, &worker);
            if self.may_join(report, &order, &model, view, warming_up) {
                self.issue(&worker, order, view, tickets);
            }
        }
    }

    /// Returns the standbys, first those whose domain lacks the fewest members for a complete
    /// replica: loads are limited, and a replica that lacks one member cannot serve.
    fn standbys_by_urgency(&self, view: &StepView<'_>) -> Vec<(WorkerId, ReplicaName)> {
        let mut held = NearCounts::new();
        for report in self.free_workers(view) {
            let ordered =
                self.standbys.get(&report.id).filter(|name| self.was_ordered(report, name));
            let models = report.model.iter().chain(&report.staged);
            let models: BTreeSet<&ModelName> =
                models.chain(ordered.map(|name| &name.model)).collect();
            for model in models {
                *held.entry((domain_of(report), model.clone())).or_default() += 1;
            }
        }
        let missing = |worker: &WorkerId, name: &ReplicaName| {
            let spec = view.engine.models.iter().find(|spec| spec.name == name.model);
            let size = spec.map_or(1, |spec| spec.size.max(1));
            let domain = view.report(worker).map(domain_of);
            let count = domain.and_then(|domain| held.get(&(domain, name.model.clone())).copied());
            size - count.unwrap_or_default() % size
        };
        let mut standbys: Vec<(WorkerId, ReplicaName)> =
            self.standbys.iter().map(|(id, name)| (id.clone(), name.clone())).collect();
        standbys.sort_by_key(|(worker, name)| missing(worker, name));
        standbys
    }

    /// Orders free workers to copy a second model to their hosts, so that each can soon serve
    /// either model.
    ///
    /// Copies are cheap before the first request. Made then, they let a lost member of any model
    /// be replaced from the first request on.
    pub(super) fn order_staging(
        &mut self,
        view: &StepView<'_>,
        warming_up: bool,
        tickets: &mut Vec<OrderTicket>,
    ) {
        self.prune_staging(view);
        let free = self.free_workers(view);
        let mut near = self.count_near(&free);
        for report in free {
            let Some(held) = report.model.clone() else { continue };
            let second = report.staged.iter().any(|model| *model != held);
            if second || self.staging.contains_key(&report.id) {
                continue;
            }
            let Some(model) = choose_model(report, &near, view, &[held], None) else { continue };
            let name = ReplicaName { kind: ReplicaKind::Standby, model, epoch: Epoch(0) };
            let order = WorkerOrder::Stage { name: name.clone() };
            let may_send = self.orders.may_send(&report.id, &order, view.now);
            if !may_send || !self.take_load(&name.model, view, warming_up) {
                continue;
            }
            *near.entry((domain_of(report), name.model.clone())).or_default() += 1;
            self.staging.insert(report.id.clone(), (name.model, view.now));
            self.issue(&report.id, order, view, tickets);
        }
    }

    /// Removes copies that have completed or timed out, or whose worker has departed.
    fn prune_staging(&mut self, view: &StepView<'_>) {
        let longest =
            view.engine.models.iter().map(|model| model.load_time).max().unwrap_or_default();
        self.staging.retain(|worker, (model, since)| {
            let Some(report) = view.report(worker) else { return false };
            let late = view.now.duration_since(*since) > longest * STAGING_TIMEOUT_FACTOR;
            !report.staged.contains(model) && !late
        });
    }
}

/// Returns the order that makes a worker the only member of a standby replica.
fn standby_order(name: &ReplicaName, worker: &WorkerId) -> WorkerOrder {
    WorkerOrder::Join { name: name.clone(), members: vec![worker.clone()] }
}

/// Value to a domain of one more worker that holds a model, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SpareValue {
    /// The domain has a spare, and no replica is completed: the value is higher the fewer workers
    /// there are relative to the model's size.
    Further { missing_permille: usize },
    /// It is the first that could replace a lost member; larger replicas lose a member sooner.
    FirstSpare { size: usize },
    /// Its replicas are scarce: a whole one is worth more than a spare of another model, which
    /// would use up the loads that the scarce one needs.
    Scarce,
    /// It completes the members of another replica.
    Completes { size: usize },
}

fn value_of(spec: &ModelSpec, count: usize, scarce: bool) -> SpareValue {
    let size = spec.size.max(1);
    match count {
        0 if !scarce => SpareValue::FirstSpare { size },
        count if (count + 1).is_multiple_of(size) => SpareValue::Completes { size },
        _ if scarce => SpareValue::Scarce,
        count => SpareValue::Further { missing_permille: 1000 - (count * 1000 / size).min(1000) },
    }
}

/// Returns the model of which one more holder has the highest value to the worker's domain. Models
/// that are already staged on the worker's host come before those that must be loaded.
fn choose_model(
    report: &WorkerReport,
    near: &NearCounts,
    view: &StepView<'_>,
    excluded: &[ModelName],
    scarce: Option<&ModelName>,
) -> Option<ModelName> {
    let domain = domain_of(report);
    let preference = |spec: &ModelSpec| {
        let count = near.get(&(domain.clone(), spec.name.clone())).copied().unwrap_or_default();
        (report.staged.contains(&spec.name), value_of(spec, count, scarce == Some(&spec.name)))
    };
    let models = view.engine.models.iter().filter(|spec| !excluded.contains(&spec.name));
    models.max_by_key(|spec| preference(spec)).map(|spec| spec.name.clone())
}
