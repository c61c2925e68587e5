//! Keeps free workers ready to replace a lost member.
//!
//! A worker that was once a member of a replica of some model joins another one
//! of that model in a fraction of a second. So each free worker that holds no
//! weights joins a replica of its own, which is never opened.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{DomainId, Epoch, ModelName, WorkerId, WorkerReport};

use crate::engine::ModelSpec;

use super::names::{ReplicaKind, ReplicaName};
use super::orders::{OrderTicket, WorkerOrder};
use super::{ReplicaController, StepView, WorkerStatus, domain_of};

/// Time after which copying a model to a host counts as failed, as a multiple of its length.
const STAGING_PATIENCE: u32 = 3;

/// Free workers of each domain that can serve a model without the store, or soon will.
pub(super) type NearCounts = BTreeMap<(DomainId, ModelName), usize>;

impl ReplicaController {
    /// Gives each free worker without weights a model to hold.
    pub(super) fn keep_standbys(&mut self, view: &StepView<'_>) {
        let usable = |id: &WorkerId| view.status(id) == WorkerStatus::Usable;
        self.standbys.retain(|worker, _| usable(worker));
        let free = self.free_workers(view);
        let mut near = self.count_near(&free);
        for report in free {
            let domain = domain_of(report);
            let told = self.standbys.get(&report.id).cloned();
            if report.model.is_some()
                || told.as_ref().is_some_and(|name| self.was_told(report, name))
            {
                continue;
            }
            // What waits for its load may still change its mind: others came and went meanwhile.
            if let Some(name) = &told {
                let count = near.entry((domain.clone(), name.model.clone())).or_default();
                *count = count.saturating_sub(1);
            }
            let Some(model) = choose_model(report, &near, view, &[]) else { continue };
            *near.entry((domain, model.clone())).or_default() += 1;
            if told.is_some_and(|name| name.model == model) {
                continue;
            }
            let epoch = self.next_epoch();
            let name = ReplicaName { kind: ReplicaKind::Standby, model, epoch };
            self.standbys.insert(report.id.clone(), name);
        }
    }

    /// Whether a worker was ordered to hold what was chosen for it.
    fn was_told(&self, report: &WorkerReport, name: &ReplicaName) -> bool {
        self.orders.was_given(&report.id, &standby_order(name, &report.id))
    }

    /// Usable workers that are in no replica that serves or will.
    ///
    /// Those are left out that have not said since the term began where they are: the leader before
    /// may have made one the head of a replica, which serves on.
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

    /// Model that a free worker holds or was told to hold.
    fn model_of_free(&self, report: &WorkerReport) -> Option<ModelName> {
        let told = self.standbys.get(&report.id).map(|name| name.model.clone());
        told.or_else(|| report.model.clone())
    }

    /// Orders the standbys that are not there yet.
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
                self.give(&worker, order, view, tickets);
            }
        }
    }

    /// The standbys, first those whose load completes the members of a replica soonest: loads are
    /// few, and a replica that lacks one member is worth nothing.
    fn standbys_by_urgency(&self, view: &StepView<'_>) -> Vec<(WorkerId, ReplicaName)> {
        let mut held = NearCounts::new();
        for report in self.free_workers(view) {
            let told = self.standbys.get(&report.id).filter(|name| self.was_told(report, name));
            let models = report.model.iter().chain(&report.staged);
            let models: BTreeSet<&ModelName> = models.chain(told.map(|name| &name.model)).collect();
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

    /// Has free workers copy a second model to their hosts, so that each can serve either soon.
    ///
    /// Before the first request copies are cheap, so that a lost member of any model can be replaced
    /// from then on.
    pub(super) fn order_staging(
        &mut self,
        view: &StepView<'_>,
        warming_up: bool,
        tickets: &mut Vec<OrderTicket>,
    ) {
        self.forget_staged(view);
        let free = self.free_workers(view);
        let mut near = self.count_near(&free);
        for report in free {
            let Some(held) = report.model.clone() else { continue };
            let second = report.staged.iter().any(|model| *model != held);
            if second || self.staging.contains_key(&report.id) {
                continue;
            }
            let Some(model) = choose_model(report, &near, view, &[held]) else { continue };
            let name = ReplicaName { kind: ReplicaKind::Standby, model, epoch: Epoch(0) };
            let order = WorkerOrder::Stage { name: name.clone() };
            let may_give = self.orders.may_give(&report.id, &order, view.now);
            if !may_give || !self.take_load(&name.model, view, warming_up) {
                continue;
            }
            *near.entry((domain_of(report), name.model.clone())).or_default() += 1;
            self.staging.insert(report.id.clone(), (name.model, view.now));
            self.give(&report.id, order, view, tickets);
        }
    }

    /// Forgets copies that are there, that failed or whose worker is not there any more.
    fn forget_staged(&mut self, view: &StepView<'_>) {
        let longest =
            view.engine.models.iter().map(|model| model.load_time).max().unwrap_or_default();
        self.staging.retain(|worker, (model, since)| {
            let Some(report) = view.report(worker) else { return false };
            let late = view.now.duration_since(*since) > longest * STAGING_PATIENCE;
            !report.staged.contains(model) && !late
        });
    }
}

/// The order by which a worker holds a model in a replica of its own.
fn standby_order(name: &ReplicaName, worker: &WorkerId) -> WorkerOrder {
    WorkerOrder::Join { name: name.clone(), members: vec![worker.clone()] }
}

/// How much one more worker near a model is worth to its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SpareValue {
    /// There are enough for now: the fewer there are for the model's size, the better.
    Further { missing_permille: usize },
    /// It is the first that could replace a lost member; larger replicas lose one sooner.
    FirstSpare { size: usize },
    /// It completes the members of another replica.
    Completes { size: usize },
}

fn value_of(spec: &ModelSpec, count: usize) -> SpareValue {
    let size = spec.size.max(1);
    match count {
        0 => SpareValue::FirstSpare { size },
        count if (count + 1).is_multiple_of(size) => SpareValue::Completes { size },
        count => SpareValue::Further { missing_permille: 1000 - (count * 1000 / size).min(1000) },
    }
}

/// The model that a worker should hold for the good of its domain; what lies on its host already
/// goes before anything that must be loaded.
fn choose_model(
    report: &WorkerReport,
    near: &NearCounts,
    view: &StepView<'_>,
    excluded: &[ModelName],
) -> Option<ModelName> {
    let domain = domain_of(report);
    let rank = |spec: &ModelSpec| {
        let count = near.get(&(domain.clone(), spec.name.clone())).copied().unwrap_or_default();
        (report.staged.contains(&spec.name), value_of(spec, count))
    };
    let models = view.engine.models.iter().filter(|spec| !excluded.contains(&spec.name));
    models.max_by_key(|spec| rank(spec)).map(|spec| spec.name.clone())
}
