//! Computes the demand for replicas of each model from its share of the work and its utilisation.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::ModelName;
use tokio::time::Instant;

use super::{ReplicaController, ReplicaPhase, StepView, WorkerState};
use crate::engine::ModelSpec;
use crate::placement::PlacementDemand;

/// Constant added to a model's utilisation, so that its share counts also when it is idle.
const BASE_UTILISATION: f64 = 0.5;
/// Time constant of the moving average of a model's utilisation.
const UTILISATION_TIME: Duration = Duration::from_secs(4);
/// Utilisation above which a model's demand does not grow further.
const MAX_UTILISATION: f64 = 2.0;

/// Moving average of the utilisation of each model's replicas, so that no plan follows a
/// short-lived peak.
#[derive(Debug)]
pub(super) struct ModelUtilisation {
    utilisation: BTreeMap<ModelName, f64>,
    /// When the averages were last updated.
    updated: Instant,
}

impl ModelUtilisation {
    /// Creates an empty average that starts at `from`.
    pub(super) fn new(from: Instant) -> Self {
        Self { utilisation: BTreeMap::new(), updated: from }
    }

    /// Returns the demand for a model: its share, weighted by the utilisation of its replicas.
    ///
    /// Only new replicas depend on it; existing replicas are not moved.
    pub(super) fn demand_of(&self, model: &ModelSpec) -> PlacementDemand {
        let average =
            self.utilisation.get(&model.name).copied().unwrap_or_default().min(MAX_UTILISATION);
        let share = model.share * (BASE_UTILISATION + average);
        PlacementDemand { model: model.name.clone(), size: model.size, share }
    }

    /// Updates the averages with the current utilisation of each model.
    fn record(&mut self, utilisation: Vec<(ModelName, f64)>, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = now;
        let weight = 1.0 - (-elapsed.div_duration_f64(UTILISATION_TIME)).exp();
        for (model, current) in utilisation {
            let average = self.utilisation.entry(model).or_default();
            *average += weight * (current - *average);
        }
    }
}

impl ReplicaController {
    /// Records the current utilisation of each model's replicas.
    pub(super) fn record_utilisation(&mut self, view: &StepView<'_>) {
        let models = view.engine.models.iter();
        let utilisation =
            models.map(|model| (model.name.clone(), self.utilisation_of(model, view))).collect();
        self.utilisation.record(utilisation, view.now);
    }

    /// Returns the utilisation of a model's replicas: the occupied share of their slots, plus the
    /// time to process the waiting prompts as a multiple of a decoding iteration. Prompt
    /// processing delays all other answers of a replica, even if it has free slots.
    fn utilisation_of(&self, model: &ModelSpec, view: &StepView<'_>) -> f64 {
        let serving = self.replicas.values().filter(|replica| {
            replica.name.model == model.name && replica.phase == ReplicaPhase::Serving
        });
        let heads: Vec<&WorkerState<'_>> =
            serving.filter_map(|replica| view.workers.get(replica.head())).collect();
        if heads.is_empty() {
            // Rejected requests are not counted anywhere, so a model without a replica gets the
            // highest utilisation.
            return MAX_UTILISATION;
        }
        let count = heads.len() as f64;
        let active = heads.iter().map(|head| f64::from(head.active)).sum::<f64>() / count;
        let waiting = heads.iter().map(|head| f64::from(head.waiting_ms)).sum::<f64>() / count;
        let iteration = view.engine.iteration_ms(model, active).max(f64::MIN_POSITIVE);
        active / f64::from(view.engine.slots.max(1)) + waiting / iteration
    }
}
