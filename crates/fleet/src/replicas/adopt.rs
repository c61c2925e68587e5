//! Takes over replicas that a leader before formed, from what workers report.

use std::collections::BTreeMap;

use super::names::{ReplicaKind, ReplicaName};
use super::{ReplicaController, ReplicaPhase, StepView, WorkerStatus};
use hollowbarrow_schema::{Epoch, MembershipState, WorkerId, WorkerReport};

/// Members of one replica that this controller has not formed, by rank.
#[derive(Default)]
struct ReportedReplica<'a> {
    members: BTreeMap<u32, &'a WorkerReport>,
}

impl ReportedReplica<'_> {
    fn is_whole(&self, size: usize) -> bool {
        self.members.len() == size && self.members.keys().copied().eq(0..size as u32)
    }

    /// How far the replica is, if all its members are there.
    ///
    /// One that is not open yet is formed anew, under an epoch of this term: the leader before may
    /// have ordered a member elsewhere, and that order may still come. The new epoch fences it.
    fn phase(&self) -> ReplicaPhase {
        let state = |report: &&WorkerReport| report.membership.as_ref().map(|m| m.state);
        match self.members.get(&0).and_then(state) {
            Some(MembershipState::Open) => ReplicaPhase::Serving,
            _ => ReplicaPhase::Leaving,
        }
    }
}

impl ReplicaController {
    /// Adds the replicas that workers report and this controller does not know.
    pub(super) fn adopt_reported(&mut self, view: &StepView<'_>) {
        let mut unknown: BTreeMap<Epoch, (ReplicaName, ReportedReplica<'_>)> = BTreeMap::new();
        for state in view.workers.values() {
            let Some(membership) = &state.report.membership else { continue };
            let Some(name) = ReplicaName::from_text(&membership.replica) else { continue };
            let known = self.replicas.contains_key(&name.epoch)
                || self.vacated.contains(&name.epoch)
                || self.departed.get(&state.report.id) == Some(&name.epoch)
                || state.status != WorkerStatus::Usable;
            if known {
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
        let whole = model.is_some_and(|model| reported.is_whole(model.size));
        // Without its head a replica needs nothing: its members leave it when they are needed.
        let headed = reported.members.contains_key(&0);
        if !whole && (view.now < self.times.settled || !headed) {
            return;
        }
        let members: Vec<WorkerId> =
            reported.members.values().map(|report| report.id.clone()).collect();
        if members.iter().any(|member| !self.is_unassigned(member)) {
            // A member was ordered elsewhere and has not said so yet.
            return;
        }
        let phase = if whole { reported.phase() } else { ReplicaPhase::Leaving };
        log::info!(
            "event=replica_adopted replica={} phase={phase:?} members={}",
            name.to_text(),
            super::join_ids(&members)
        );
        for member in &members {
            self.standbys.remove(member);
        }
        // The leader before may have told the head to serve.
        self.insert(name, members, phase, true);
    }
}
