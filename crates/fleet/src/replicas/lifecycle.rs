//! Moves each replica through its life, and orders what the next step needs.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{Epoch, MembershipState, ModelName, WorkerId, WorkerReport};

use super::names::{ReplicaKind, ReplicaName};
use super::orders::{OrderTicket, WorkerOrder};
use super::{Replica, ReplicaController, ReplicaPhase, StepView, WorkerStatus};

/// What became of a replica in a step.
enum Transition {
    Stay,
    Move(ReplicaPhase),
    Release(&'static str),
    /// The head has surely left, so that nothing of the replica can serve.
    HeadLeft,
}

impl ReplicaController {
    /// Moves replicas on as far as the reports allow.
    pub(super) fn advance_replicas(&mut self, view: &StepView<'_>) {
        let epochs: Vec<Epoch> = self.replicas.keys().copied().collect();
        for epoch in epochs {
            let replica = &self.replicas[&epoch];
            match self.next_phase(replica, view) {
                Transition::Stay => {}
                Transition::Move(phase) => self.enter(epoch, phase),
                Transition::Release(reason) => self.release(epoch, reason),
                Transition::HeadLeft => {
                    if let Some(replica) = self.replicas.get_mut(&epoch) {
                        replica.head_left = true;
                    }
                    self.release(epoch, "the head has left");
                }
            }
        }
        let workers = &view.workers;
        for joins in self.uncertain.values_mut() {
            joins.retain(|_, until| view.now < *until);
        }
        let names: BTreeSet<&str> = workers.keys().map(|worker| worker.name()).collect();
        self.uncertain.retain(|name, joins| !joins.is_empty() && names.contains(name.as_str()));
        self.orders.retain(|name| names.contains(name));
        self.departed.retain(|worker, _| workers.contains_key(worker));
    }

    pub(super) fn enter(&mut self, epoch: Epoch, phase: ReplicaPhase) {
        let Some(replica) = self.replicas.get_mut(&epoch) else { return };
        log::info!(
            "event=replica_moved replica={} from={:?} to={phase:?}",
            replica.name.to_text(),
            replica.phase
        );
        replica.phase = phase;
        if phase == ReplicaPhase::Opening {
            replica.opened = true;
        }
    }

    fn release(&mut self, epoch: Epoch, reason: &str) {
        if let Some(replica) = self.replicas.remove(&epoch) {
            log::info!(
                "event=replica_released replica={} reason={reason:?}",
                replica.name.to_text()
            );
            // A head that may yet join once more is not sure to have left for good.
            let uncertain = self.may_still_join(replica.head(), epoch);
            if !uncertain && (replica.head_left || !replica.opened) {
                self.vacated.insert(epoch);
            }
        }
    }

    /// Whether an unanswered join of a worker may still be carried out under an epoch.
    pub(super) fn may_still_join(&self, worker: &WorkerId, epoch: Epoch) -> bool {
        self.uncertain.get(worker.name()).is_some_and(|joins| joins.contains_key(&epoch))
    }

    /// Whether a worker may find itself back in a replica that it has left, whose head may serve.
    fn may_fall_back(&self, worker: &WorkerId, next: Epoch) -> bool {
        let joins = self.uncertain.get(worker.name()).into_iter().flat_map(BTreeMap::keys);
        joins.into_iter().any(|epoch| *epoch != next && !self.vacated.contains(epoch))
    }

    /// A member has seen a newer epoch: the members are planned anew under a higher one.
    pub(super) fn give_up_forming(&mut self, epoch: Epoch) {
        let forming = self.replicas.get(&epoch).is_some_and(|replica| !replica.opened);
        if forming {
            self.release(epoch, "a member has seen a newer epoch");
        }
    }

    fn next_phase(&self, replica: &Replica, view: &StepView<'_>) -> Transition {
        match replica.phase {
            ReplicaPhase::Forming => self.next_of_forming(replica, view),
            ReplicaPhase::Opening => next_of_opening(replica, view),
            ReplicaPhase::Serving => self.next_of_serving(replica, view),
            ReplicaPhase::Closing { until } => {
                let ended = head_state(replica, view) != Some(MembershipState::Closing)
                    && head_state(replica, view) != Some(MembershipState::Open);
                if ended || view.now >= until {
                    Transition::Move(ReplicaPhase::Leaving)
                } else {
                    Transition::Stay
                }
            }
            ReplicaPhase::Leaving => next_of_leaving(replica, view),
        }
    }

    fn next_of_forming(&self, replica: &Replica, view: &StepView<'_>) -> Transition {
        if worst_standing(replica, view) != WorkerStatus::Usable {
            return if replica.opened {
                Transition::Move(ReplicaPhase::Leaving)
            } else {
                Transition::Release("a member was lost before the replica was opened")
            };
        }
        let ready = |member: &WorkerId| {
            let state = view.report(member).and_then(|report| replica.state_in(report));
            matches!(state, Some(MembershipState::Ready | MembershipState::Open))
        };
        if replica.members.iter().all(ready) {
            Transition::Move(ReplicaPhase::Opening)
        } else {
            Transition::Stay
        }
    }

    fn next_of_serving(&self, replica: &Replica, view: &StepView<'_>) -> Transition {
        let own = |member: &WorkerId| {
            view.report(member).is_some_and(|report| replica.state_in(report).is_some())
        };
        let serves = head_state(replica, view) == Some(MembershipState::Open);
        match worst_standing(replica, view) {
            _ if !serves => Transition::Move(ReplicaPhase::Leaving),
            WorkerStatus::Usable if replica.members.iter().all(own) => Transition::Stay,
            WorkerStatus::Leaving => Transition::Move(ReplicaPhase::Closing {
                until: view.now + self.timing.close_timeout,
            }),
            _ => Transition::Move(ReplicaPhase::Leaving),
        }
    }

    /// Orders what each replica needs next.
    pub(super) fn order_replicas(
        &mut self,
        view: &StepView<'_>,
        warming_up: bool,
        tickets: &mut Vec<OrderTicket>,
    ) {
        let epochs: Vec<Epoch> = self.replicas.keys().copied().collect();
        for epoch in epochs {
            let replica = self.replicas[&epoch].clone();
            let name = || replica.name.clone();
            let head = replica.head().clone();
            match replica.phase {
                ReplicaPhase::Forming => self.order_joins(&replica, view, warming_up, tickets),
                ReplicaPhase::Opening => {
                    self.give(&head, WorkerOrder::Open { name: name() }, view, tickets);
                }
                ReplicaPhase::Serving => {}
                ReplicaPhase::Closing { .. } => {
                    if head_state(&replica, view) == Some(MembershipState::Open) {
                        self.give(&head, WorkerOrder::Close { name: name() }, view, tickets);
                    }
                }
                ReplicaPhase::Leaving => {
                    self.give(&head, WorkerOrder::Leave { name: name() }, view, tickets);
                }
            }
        }
    }

    fn order_joins(
        &mut self,
        replica: &Replica,
        view: &StepView<'_>,
        warming_up: bool,
        tickets: &mut Vec<OrderTicket>,
    ) {
        let order =
            WorkerOrder::Join { name: replica.name.clone(), members: replica.members.clone() };
        for member in &replica.members {
            let Some(report) = view.report(member) else { continue };
            if replica.state_in(report).is_some() {
                continue;
            }
            if self.leave_former(report, view, tickets) {
                continue;
            }
            let model = &replica.name.model;
            if self.may_join(report, &order, model, view, warming_up) {
                self.give(member, order.clone(), view, tickets);
            }
        }
    }

    /// Has a worker leave the replica that it reports, unless that one cannot serve any more; true
    /// where it must leave before it joins another.
    pub(super) fn leave_former(
        &mut self,
        report: &WorkerReport,
        view: &StepView<'_>,
        tickets: &mut Vec<OrderTicket>,
    ) -> bool {
        let Some(membership) = &report.membership else { return false };
        let former = ReplicaName::from_text(&membership.replica);
        let Some(name) = former.filter(|name| name.kind == ReplicaKind::Serving) else {
            return false;
        };
        let departed = self.departed.get(&report.id) == Some(&name.epoch);
        if departed || self.vacated.contains(&name.epoch) {
            return false;
        }
        self.give(&report.id, WorkerOrder::Leave { name }, view, tickets);
        true
    }

    /// Whether a join may go out now; counts the load that it begins.
    pub(super) fn may_join(
        &mut self,
        report: &WorkerReport,
        order: &WorkerOrder,
        model: &ModelName,
        view: &StepView<'_>,
        warming_up: bool,
    ) -> bool {
        let next = order.name().epoch;
        if !self.orders.may_give(&report.id, order, view.now)
            || self.may_fall_back(&report.id, next)
        {
            return false;
        }
        let held = report.model.as_ref() == Some(model) || report.staged.contains(model);
        // A join that is given again begins no second load.
        if held || self.orders.was_given(&report.id, order) {
            return true;
        }
        self.take_load(model, view, warming_up)
    }

    /// Counts a load that is about to begin; false where it must wait.
    ///
    /// Before the first request loads neither count nor slow each other. Held to twelve at once, 48
    /// workers had their weights 5 s after the plan instead of 2, and a third of the copies of second
    /// models, by which lost members are replaced, was not made before requests came.
    pub(super) fn take_load(
        &mut self,
        model: &ModelName,
        view: &StepView<'_>,
        warming_up: bool,
    ) -> bool {
        let engine = view.engine;
        let spec = engine.models.iter().find(|spec| spec.name == *model);
        let Some(load) = spec.map(|spec| spec.load_time) else { return false };
        let may_begin = view.now >= self.times.loads_from;
        warming_up
            || (may_begin
                && self.loads.take(engine.loads_per_second, engine.loads_at_once, load, view.now))
    }

    pub(super) fn give(
        &mut self,
        worker: &WorkerId,
        order: WorkerOrder,
        view: &StepView<'_>,
        tickets: &mut Vec<OrderTicket>,
    ) {
        let Some(report) = view.report(worker) else { return };
        if !self.orders.may_give(worker, &order, view.now) {
            return;
        }
        let ticket = OrderTicket { worker: worker.clone(), address: report.address.clone(), order };
        self.orders.give(&ticket, view.now);
        tickets.push(ticket);
    }
}

fn next_of_opening(replica: &Replica, view: &StepView<'_>) -> Transition {
    if worst_standing(replica, view) != WorkerStatus::Usable {
        return Transition::Move(ReplicaPhase::Leaving);
    }
    match head_state(replica, view) {
        Some(MembershipState::Open) => Transition::Move(ReplicaPhase::Serving),
        Some(MembershipState::Ready | MembershipState::Joining) => Transition::Stay,
        _ => Transition::Move(ReplicaPhase::Leaving),
    }
}

fn next_of_leaving(replica: &Replica, view: &StepView<'_>) -> Transition {
    let head = replica.head();
    let reported = view.report(head).is_some_and(|report| replica.state_in(report).is_none());
    match view.status(head) {
        _ if replica.head_left || reported => Transition::HeadLeft,
        WorkerStatus::Dead => Transition::HeadLeft,
        // The members leave one by one when they are needed elsewhere.
        WorkerStatus::Lost => Transition::Release("the head is lost"),
        WorkerStatus::Usable | WorkerStatus::Leaving => Transition::Stay,
    }
}

fn head_state(replica: &Replica, view: &StepView<'_>) -> Option<MembershipState> {
    view.report(replica.head()).and_then(|report| replica.state_in(report))
}

fn worst_standing(replica: &Replica, view: &StepView<'_>) -> WorkerStatus {
    let rank = |standing: &WorkerStatus| match standing {
        WorkerStatus::Usable => 0,
        WorkerStatus::Leaving => 1,
        WorkerStatus::Lost => 2,
        WorkerStatus::Dead => 3,
    };
    replica
        .members
        .iter()
        .map(|member| view.status(member))
        .max_by_key(rank)
        .unwrap_or(WorkerStatus::Dead)
}
