//! Adopts replicas that a former leader formed, from the workers' reports.

use std::collections::BTreeMap;

use super::names::{ReplicaKind, ReplicaName};
use super::{ReplicaController, ReplicaPhase, StepView, WorkerStatus};
use hollowbarrow_schema::{Epoch, MembershipState, WorkerId, WorkerReport};

/// Reported members, by rank, of a replica that this controller has not formed.
#[derive(Default)]
struct ReportedReplica<'a> {
    members: BTreeMap<u32, &'a WorkerReport>,
}

impl ReportedReplica<'_> {
    fn is_complete(&self, size: usize) -> bool {
        self.members.len() == size && self.members.keys().copied().eq(0..size as u32)
    }

    /// Returns the phase in which to adopt the replica, provided that all its members report it.
    ///
    /// A replica that is not open yet is disbanded and formed again under an epoch of this term:
    /// the former leader may have ordered a member elsewhere, and that order may still arrive. The
    /// new epoch fences it.
    fn phase(&self) -> ReplicaPhase {
        let state = |report: &&WorkerReport| report.membership.as_ref().map(|m| m.state);
        match self.members.get(&0).and_then(state) {
            Some(MembershipState::Open) => ReplicaPhase::Serving,
            _ => ReplicaPhase::Leaving,
        }
    }
}

impl ReplicaController {
    /// Adopts the replicas that workers report and this controller does not know.
    pub(super) fn adopt_reported(&mut self, view: &StepView<'_>) {
        let mut unknown: BTreeMap<Epoch, (ReplicaName, ReportedReplica<'_>)> = BTreeMap::new();
        for state in view.workers.values() {
            let Some(membership) = &state.report.membership else { continue };
            let Some(name) = ReplicaName::from_text(&membership.replica) else { continue };
            let ignored = self.replicas.contains_key(&name.epoch)
                || self.vacated.contains(&name.epoch)
                || self.departed.get(&state.report.id) == Some(&name.epoch)
                || state.status != WorkerStatus::Usable;
            if ignored {
                continue;
            }
            if name.kind == ReplicaKind::Standby {
                if self.is_unassigned(&state.report.id) {
                    self.standbys.entry(state.report.id.clone()).or_insert(name);
                }
                continue;
            }
            let (_, reported) =
                unknown.entry(name.epoch).or_insert_with(|| (name, ReportedReplica::default()));
            reported.members.insert(membership.rank, state.report);
        }
        for (name, reported) in unknown.into_values() {
            self.adopt(name, &reported, view);
        }
    }

    fn is_unassigned(&self, worker: &WorkerId) -> bool {
        !self.replicas.values().any(|replica| replica.members.contains(worker))
    }

    fn adopt(&mut self, name: ReplicaName, reported: &ReportedReplica<'_>, view: &StepView<'_>) {
        let model = view.engine.models.iter().find(|model| model.name == name.model);
        let complete = model.is_some_and(|model| reported.is_complete(model.size));
        // A replica without its head needs no order: its members leave when they are needed.
        let headed = reported.members.contains_key(&0);
        if !complete && (view.now < self.times.settled || !headed) {
            return;
        }
        let members: Vec<WorkerId> =
            reported.members.values().map(|report| report.id.clone()).collect();
        if members.iter().any(|member| !self.is_unassigned(member)) {
            // A member was ordered into another replica and has not reported that yet.
            return;
        }
        let phase = if complete { reported.phase() } else { ReplicaPhase::Leaving };
        log::info!(
            "event=replica_adopted replica={} phase={phase:?} members={}",
            name.to_text(),
            super::join_ids(&members)
        );
        for member in &members {
            self.standbys.remove(member);
        }
        // The former leader may have ordered the head to serve.
        self.insert(name, members, phase, true);
    }
}
