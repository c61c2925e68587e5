//! Advances each replica through its lifecycle and issues the orders that its phase needs.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_schema::{Epoch, MembershipState, ModelName, WorkerId, WorkerReport};
use tokio::time::Instant;

use super::names::{ReplicaKind, ReplicaName};
use super::orders::{OrderTicket, WorkerOrder};
use super::{EPOCH_TERM_SHIFT, Replica, ReplicaController, ReplicaPhase, StepView, WorkerStatus};

/// Transition of a replica in one step.
enum Transition {
    Stay,
    Move(ReplicaPhase),
    Release(&'static str),
    /// The head has certainly left, so that the replica can no longer serve.
    HeadLeft,
}

impl ReplicaController {
    /// Applies the phase transitions that the reports allow and prunes outdated entries.
    pub(super) fn advance_replicas(&mut self, view: &StepView<'_>) {
        let epochs: Vec<Epoch> = self.replicas.keys().copied().collect();
        for epoch in epochs {
            let replica = &self.replicas[&epoch];
            match self.next_phase(replica, view) {
                Transition::Stay => {}
                Transition::Move(phase) => self.enter(epoch, phase),
                Transition::Release(reason) => self.release(epoch, reason, view.now),
                Transition::HeadLeft => {
                    if let Some(replica) = self.replicas.get_mut(&epoch) {
                        replica.head_left = true;
                    }
                    self.release(epoch, "the head has left", view.now);
                }
            }
        }
        let workers = &view.workers;
        for joins in self.unanswered_joins.values_mut() {
            joins.retain(|_, until| view.now < *until);
        }
        let names: BTreeSet<&str> = workers.keys().map(|worker| worker.name()).collect();
        self.unanswered_joins
            .retain(|name, joins| !joins.is_empty() && names.contains(name.as_str()));
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

    fn release(&mut self, epoch: Epoch, reason: &str, now: Instant) {
        if let Some(replica) = self.replicas.remove(&epoch) {
            log::info!(
                "event=replica_released replica={} reason={reason:?}",
                replica.name.to_text()
            );
            // A head that may still carry out a late join of this epoch may rejoin the replica
            // after it has left.
            let may_rejoin = self.may_still_join(replica.head(), epoch, now);
            if !may_rejoin && (replica.head_left || !replica.opened) {
                self.vacated.insert(epoch);
            }
        }
    }

    /// Returns whether an unanswered join of a worker may still be carried out under an epoch.
    pub(super) fn may_still_join(&self, worker: &WorkerId, epoch: Epoch, now: Instant) -> bool {
        let joins = self.unanswered_joins.get(worker.name());
        joins.is_some_and(|joins| joins.contains_key(&epoch)) || self.may_be_joined_late(epoch, now)
    }

    /// Returns whether orders of a former leader may still be carried out under an epoch. Which of
    /// them were left unanswered is not known to this leader.
    fn may_be_joined_late(&self, epoch: Epoch, now: Instant) -> bool {
        let former = *epoch >> EPOCH_TERM_SHIFT < *self.term;
        former && now < self.times.term_start + self.timing.max_order_delay
    }

    /// Returns whether a late join may put a worker back into a replica that it has left and whose
    /// head may still serve.
    fn may_rejoin_former(&self, worker: &WorkerId, next: Epoch) -> bool {
        let joins = self.unanswered_joins.get(worker.name()).into_iter().flat_map(BTreeMap::keys);
        joins.into_iter().any(|epoch| *epoch != next && !self.vacated.contains(epoch))
    }

    /// Releases a forming replica of which a member has seen a newer epoch. Its members are
    /// planned again under a higher epoch.
    pub(super) fn abandon_forming(&mut self, epoch: Epoch, now: Instant) {
        let forming = self.replicas.get(&epoch).is_some_and(|replica| !replica.opened);
        if forming {
            self.release(epoch, "a member has seen a newer epoch", now);
        }
    }

    fn next_phase(&self, replica: &Replica, view: &StepView<'_>) -> Transition {
        match replica.phase {
            ReplicaPhase::Forming => self.after_forming(replica, view),
            ReplicaPhase::Opening => after_opening(replica, view),
            ReplicaPhase::Serving => self.after_serving(replica, view),
            ReplicaPhase::Closing { until } => {
                let ended = head_state(replica, view) != Some(MembershipState::Closing)
                    && head_state(replica, view) != Some(MembershipState::Open);
                if ended || view.now >= until {
                    Transition::Move(ReplicaPhase::Leaving)
                } else {
                    Transition::Stay
                }
            }
            ReplicaPhase::Leaving => after_leaving(replica, view),
        }
    }

    fn after_forming(&self, replica: &Replica, view: &StepView<'_>) -> Transition {
        if worst_status(replica, view) != WorkerStatus::Usable {
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

    fn after_serving(&self, replica: &Replica, view: &StepView<'_>) -> Transition {
        let is_member = |member: &WorkerId| {
            view.report(member).is_some_and(|report| replica.state_in(report).is_some())
        };
        let serves = head_state(replica, view) == Some(MembershipState::Open);
        match worst_status(replica, view) {
            _ if !serves => Transition::Move(ReplicaPhase::Leaving),
            WorkerStatus::Usable if replica.members.iter().all(is_member) => Transition::Stay,
            WorkerStatus::Leaving => Transition::Move(ReplicaPhase::Closing {
                until: view.now + self.timing.close_timeout,
            }),
            _ => Transition::Move(ReplicaPhase::Leaving),
        }
    }

    /// Issues the orders that each replica needs in its phase.
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
                    self.issue(&head, WorkerOrder::Open { name: name() }, view, tickets);
                }
                ReplicaPhase::Serving => {}
                ReplicaPhase::Closing { .. } => {
                    if head_state(&replica, view) == Some(MembershipState::Open) {
                        self.issue(&head, WorkerOrder::Close { name: name() }, view, tickets);
                    }
                }
                ReplicaPhase::Leaving => {
                    self.issue(&head, WorkerOrder::Leave { name: name() }, view, tickets);
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
                self.issue(member, order.clone(), view, tickets);
            }
        }
    }

    /// Orders a worker to leave the replica that it reports, unless that replica can no longer
    /// serve. Returns whether the worker must leave before it joins another replica.
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
        self.issue(&report.id, WorkerOrder::Leave { name }, view, tickets);
        true
    }

    /// Returns whether a join may be sent now, and counts the load that it starts.
    pub(super) fn may_join(
        &mut self,
        report: &WorkerReport,
        order: &WorkerOrder,
        model: &ModelName,
        view: &StepView<'_>,
        warming_up: bool,
    ) -> bool {
        let next = order.name().epoch;
        if !self.orders.may_send(&report.id, order, view.now)
            || self.may_rejoin_former(&report.id, next)
        {
            return false;
        }
        let held = report.model.as_ref() == Some(model) || report.staged.contains(model);
        // A join that is sent again starts no second load.
        if held || self.orders.was_sent(&report.id, order) {
            return true;
        }
        self.take_load(model, view, warming_up)
    }

    /// Counts a load that is about to start; returns false if it must wait.
    ///
    /// Before the first request loads are not limited, since they do not slow each other. With a
    /// limit of twelve concurrent loads, 48 workers had their weights 5 s after the plan instead
    /// of 2 s, and a third of the copies of second models, which are used to replace lost members,
    /// was not made before requests arrived.
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

    pub(super) fn issue(
        &mut self,
        worker: &WorkerId,
        order: WorkerOrder,
        view: &StepView<'_>,
        tickets: &mut Vec<OrderTicket>,
    ) {
        let Some(report) = view.report(worker) else { return };
        if !self.orders.may_send(worker, &order, view.now) {
            return;
        }
        let ticket = OrderTicket { worker: worker.clone(), address: report.address.clone(), order };
        self.orders.record_sent(&ticket, view.now);
        tickets.push(ticket);
    }
}

fn after_opening(replica: &Replica, view: &StepView<'_>) -> Transition {
    if worst_status(replica, view) != WorkerStatus::Usable {
        return Transition::Move(ReplicaPhase::Leaving);
    }
    match head_state(replica, view) {
        Some(MembershipState::Open) => Transition::Move(ReplicaPhase::Serving),
        Some(MembershipState::Ready | MembershipState::Joining) => Transition::Stay,
        _ => Transition::Move(ReplicaPhase::Leaving),
    }
}

fn after_leaving(replica: &Replica, view: &StepView<'_>) -> Transition {
    let head = replica.head();
    let reported = view.report(head).is_some_and(|report| replica.state_in(report).is_none());
    match view.status(head) {
        _ if replica.head_left || reported => Transition::HeadLeft,
        WorkerStatus::Dead => Transition::HeadLeft,
        // Each member leaves when it is needed in another replica.
        WorkerStatus::Lost => Transition::Release("the head is lost"),
        WorkerStatus::Usable | WorkerStatus::Leaving => Transition::Stay,
    }
}

fn head_state(replica: &Replica, view: &StepView<'_>) -> Option<MembershipState> {
    view.report(replica.head()).and_then(|report| replica.state_in(report))
}

fn worst_status(replica: &Replica, view: &StepView<'_>) -> WorkerStatus {
    let severity = |status: &WorkerStatus| match status {
        WorkerStatus::Usable => 0,
        WorkerStatus::Leaving => 1,
        WorkerStatus::Lost => 2,
        WorkerStatus::Dead => 3,
    };
    replica
        .members
        .iter()
        .map(|member| view.status(member))
        .max_by_key(severity)
        .unwrap_or(WorkerStatus::Dead)
}
