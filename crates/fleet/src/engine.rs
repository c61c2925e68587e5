//! How model engines behave, and the times that follow from their figures.

use std::time::Duration;

use hollowbarrow_schema::ModelName;

/// A model that replicas of a service can load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name by which requests ask for it.
    pub name: ModelName,
    /// Workers in one replica.
    pub size: usize,
    /// Share of the service's work.
    pub share: f64,
    /// Factor on all times of the engine.
    pub time_factor: f64,
    /// Time to load the weights from the store.
    pub load_time: Duration,
    /// Time to load the weights from the worker's own host.
    pub warm_load_time: Duration,
}

/// How a service's model engines behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a replica works on at once.
    pub slots: u32,
    /// Tokens that a replica's memory holds.
    pub memory_tokens: u64,
    /// Models that its workers can form replicas of.
    pub models: Vec<ModelSpec>,
    /// Time of one step without requests.
    pub step: Duration,
    /// Additional time of a step for each request that writes, in milliseconds.
    pub step_per_request_ms: f64,
    /// Prompt tokens read in a second.
    pub prefill_per_second: f64,
    /// Steps in one pass while a request writes.
    pub stride: u32,
    /// Loads from the weight store that may begin in a second.
    pub loads_per_second: f64,
    /// Loads that run at once without slowing each other.
    pub loads_at_once: usize,
    /// Factor on all times of a replica whose members are in several fabric domains.
    pub cross_domain_factor: f64,
    /// Time from the order to open until a replica serves.
    pub open_delay: Duration,
    /// Mean tokens of an answer; 0 where it is not known.
    pub mean_answer_tokens: u32,
}

impl Engine {
    /// Time of one token of each of so many requests, in milliseconds.
    pub fn step_ms(&self, model: &ModelSpec, active: f64) -> f64 {
        let step = self.step.as_secs_f64() * 1000.0;
        (step + self.step_per_request_ms * active) * model.time_factor
    }

    /// Time of one pass of a replica that works on so many requests, in milliseconds.
    pub fn iteration_ms(&self, model: &ModelSpec, active: f64) -> f64 {
        self.step_ms(model, active) * f64::from(self.stride.max(1))
    }

    /// Time to read a prompt, in milliseconds.
    pub fn prefill_ms(&self, model: &ModelSpec, tokens: u32) -> f64 {
        f64::from(tokens) * 1000.0 / self.prefill_per_second.max(1.0) * model.time_factor
    }
}
