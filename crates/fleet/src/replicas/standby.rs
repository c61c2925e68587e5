//! Keeps free workers ready to replace a lost member.
//!
//! A worker that was once a member of a replica of some model joins another one
//! of that model in a fraction of a second. So each free worker that holds no
//! weights joins a replica of its own, which is never opened.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{DomainId, ModelName, WorkerId, WorkerReport};

use super::names::{ReplicaKind, ReplicaName};
use super::orders::{OrderTicket, WorkerOrder};
use super::{ReplicaController, StepView, WorkerStanding, domain_of};

impl ReplicaController {
    /// Gives each free worker without weights a model to hold.
    pub(super) fn keep_standbys(&mut self, view: &StepView<'_>) {
        let usable = |id: &WorkerId| view.standing(id) == WorkerStanding::Usable;
        self.standbys.retain(|worker, _| usable(worker));
        let members: BTreeSet<WorkerId> =
            self.replicas.values().flat_map(|replica| replica.members.iter().cloned()).collect();
        let free: Vec<&WorkerReport> = view
            .workers
            .values()
            .filter(|state| state.standing == WorkerStanding::Usable)
            .map(|state| state.report)
            .filter(|report| !members.contains(&report.id))
            .collect();
        let mut held: BTreeMap<(DomainId, ModelName), usize> = BTreeMap::new();
        for report in &free {
            if let Some(model) = self.model_of_free(report) {
                *held.entry((domain_of(report), model)).or_default() += 1;
            }
        }
        for report in free {
            if self.model_of_free(report).is_some() {
                continue;
            }
            let Some(model) = choose_model(report, &held, view) else { continue };
            *held.entry((domain_of(report), model.clone())).or_default() += 1;
            let epoch = self.next_epoch();
            let name = ReplicaName { kind: ReplicaKind::Standby, model, epoch };
            self.standbys.insert(report.id.clone(), name);
        }
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
        let standbys: Vec<(WorkerId, ReplicaName)> =
            self.standbys.iter().map(|(id, name)| (id.clone(), name.clone())).collect();
        for (worker, name) in standbys {
            let Some(report) = view.report(&worker) else { continue };
            let text = name.to_text();
            let joined = report.membership.as_ref().is_some_and(|m| m.replica == text);
            if joined {
                continue;
            }
            if self.leave_former(report, view, tickets) {
                continue;
            }
            let model = name.model.clone();
            let order = WorkerOrder::Join { name, members: vec![worker.clone()] };
            if self.may_join(report, &order, &model, view, warming_up) {
                self.give(&worker, order, view, tickets);
            }
        }
    }
}

/// The model whose standbys in the worker's domain are fewest for its replicas' size; what lies on
/// the worker's host goes first where it is needed as much.
fn choose_model(
    report: &WorkerReport,
    held: &BTreeMap<(DomainId, ModelName), usize>,
    view: &StepView<'_>,
) -> Option<ModelName> {
    let domain = domain_of(report);
    let need = |size: usize, model: &ModelName| {
        let count = held.get(&(domain.clone(), model.clone())).copied().unwrap_or_default();
        count as f64 / size.max(1) as f64
    };
    view.engine
        .models
        .iter()
        .min_by(|a, b| {
            let rank = |model: &crate::deployment::ModelSpec| {
                (need(model.size, &model.name), !report.staged.contains(&model.name))
            };
            let ((need_a, far_a), (need_b, far_b)) = (rank(a), rank(b));
            need_a.total_cmp(&need_b).then(far_a.cmp(&far_b))
        })
        .map(|model| model.name.clone())
}
