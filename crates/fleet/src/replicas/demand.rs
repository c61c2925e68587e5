//! How many replicas of each model are wanted, by its share of the work and how busy it is.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::ModelName;
use tokio::time::Instant;

use super::{ReplicaController, ReplicaPhase, StepView, WorkerState};
use crate::engine::ModelSpec;
use crate::placement::PlacementDemand;

/// Weight of a model's given share against how busy its replicas are.
const EVEN_USE: f64 = 0.5;
/// Time over which the use of a model is averaged.
const USE_TIME: Duration = Duration::from_secs(4);
/// Use beyond which a model gets no more.
const MOST_USE: f64 = 2.0;

/// How busy the replicas of each model are, averaged over time, so that no plan follows a
/// moment's use.
#[derive(Debug)]
pub(super) struct ModelUses {
    uses: BTreeMap<ModelName, f64>,
    /// When they were last averaged.
    at: Instant,
}

impl ModelUses {
    /// Creates uses that are averaged from a moment on.
    pub(super) fn new(from: Instant) -> Self {
        Self { uses: BTreeMap::new(), at: from }
    }

    /// What is wanted of a model: its share, and more the busier its replicas are.
    ///
    /// Only what is planned next depends on it; no replica that stands is moved.
    pub(super) fn demand_of(&self, model: &ModelSpec) -> PlacementDemand {
        let used = self.uses.get(&model.name).copied().unwrap_or_default().min(MOST_USE);
        let share = model.share * (EVEN_USE + used);
        PlacementDemand { model: model.name.clone(), size: model.size, share }
    }

    /// Averages what the uses are now in.
    fn record(&mut self, uses: Vec<(ModelName, f64)>, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at);
        self.at = now;
        let weight = 1.0 - (-elapsed.div_duration_f64(USE_TIME)).exp();
        for (model, current) in uses {
            let used = self.uses.entry(model).or_default();
            *used += weight * (current - *used);
        }
    }
}

impl ReplicaController {
    /// Takes in how busy the replicas of each model are now.
    pub(super) fn record_uses(&mut self, view: &StepView<'_>) {
        let models = view.engine.models.iter();
        let uses = models.map(|model| (model.name.clone(), self.use_of(model, view))).collect();
        self.uses.record(uses, view.now);
    }

    /// How busy the replicas of a model are: the part of their places that is taken, and the part
    /// of a pass that it takes to read the prompts that wait. Prompts that are read hold up all
    /// other answers of a replica, also where places are free.
    fn use_of(&self, model: &ModelSpec, view: &StepView<'_>) -> f64 {
        let serving = self.replicas.values().filter(|replica| {
            replica.name.model == model.name && replica.phase == ReplicaPhase::Serving
        });
        let heads: Vec<&WorkerState<'_>> =
            serving.filter_map(|replica| view.workers.get(replica.head())).collect();
        if heads.is_empty() {
            // What is refused shows nowhere: without a replica the model is as busy as can be.
            return MOST_USE;
        }
        let count = heads.len() as f64;
        let active = heads.iter().map(|head| f64::from(head.active)).sum::<f64>() / count;
        let waiting = heads.iter().map(|head| f64::from(head.waiting_ms)).sum::<f64>() / count;
        let pass = view.engine.iteration_ms(model, active).max(f64::MIN_POSITIVE);
        active / f64::from(view.engine.slots.max(1)) + waiting / pass
    }
}
