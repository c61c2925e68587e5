//! Performance model of model engines.

use std::time::Duration;

use hollowbarrow_schema::ModelName;

/// A model that replicas of a service can load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name of the model in requests.
    pub name: ModelName,
    /// Workers in one replica.
    pub size: usize,
    /// Share of the service's work.
    pub share: f64,
    /// Factor on all the engine's times for this model.
    pub time_factor: f64,
    /// Time to load the weights from the store.
    pub load_time: Duration,
    /// Time to load the weights from the worker's own host.
    pub warm_load_time: Duration,
}

/// Parameters of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a replica processes concurrently.
    pub slots: u32,
    /// Tokens that fit in a replica's memory.
    pub memory_tokens: u64,
    /// Models of which its workers can form replicas.
    pub models: Vec<ModelSpec>,
    /// Time of one decoding step without requests. A step generates one token for each request.
    pub step: Duration,
    /// Additional time of a decoding step for each request that generates tokens, in milliseconds.
    pub step_per_request_ms: f64,
    /// Prompt tokens processed per second.
    pub prefill_per_second: f64,
    /// Decoding steps in one iteration while a request generates tokens.
    pub stride: u32,
    /// Loads from the weight store that may start per second.
    pub loads_per_second: f64,
    /// Loads that can run concurrently without slowing each other down.
    pub loads_at_once: usize,
    /// Factor on all times of a replica whose members are in several fabric domains.
    pub cross_domain_factor: f64,
    /// Time from the order to open until a replica serves.
    pub open_delay: Duration,
    /// Mean number of tokens of an answer; 0 if unknown.
    pub mean_answer_tokens: u32,
}

impl Engine {
    /// Returns the time of one decoding step with `active` requests, in milliseconds.
    pub fn step_ms(&self, model: &ModelSpec, active: f64) -> f64 {
        let step = self.step.as_secs_f64() * 1000.0;
        (step + self.step_per_request_ms * active) * model.time_factor
    }

    /// Returns the time of one decoding iteration with `active` requests, in milliseconds.
    pub fn iteration_ms(&self, model: &ModelSpec, active: f64) -> f64 {
        self.step_ms(model, active) * f64::from(self.stride.max(1))
    }

    /// Returns the time to process a prompt of `tokens` tokens, in milliseconds.
    pub fn prefill_ms(&self, model: &ModelSpec, tokens: u32) -> f64 {
        f64::from(tokens) * 1000.0 / self.prefill_per_second.max(1.0) * model.time_factor
    }
}
