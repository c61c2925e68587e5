//! Record of the requests that stand-ins executed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Idempotency key of the request, or its request ID if the caller sent no key.
    pub key: String,
    /// Node that executed the request.
    pub node: String,
    /// Milliseconds for which a member of the replica had been missing when the execution started,
    /// 0 if the replica was complete.
    pub missing_ms: u64,
    /// Whether the request's deadline had passed when the execution started.
    pub past_deadline: bool,
    /// Whether the node had been ordered to drain when the execution started.
    pub draining: bool,
}

/// All executions of a fleet, in the order in which they started.
#[derive(Clone, Debug, Default)]
pub struct RunHistory {
    runs: Arc<Mutex<Vec<RunRecord>>>,
}

impl RunHistory {
    /// Appends an execution.
    pub fn record(&self, record: RunRecord) {
        self.runs.lock().expect("the mutex is not poisoned").push(record);
    }

    /// Returns a copy of all executions.
    pub fn to_vec(&self) -> Vec<RunRecord> {
        self.runs.lock().expect("the mutex is not poisoned").clone()
    }

    /// Counts the executions of each key.
    pub fn counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for run in self.runs.lock().expect("the mutex is not poisoned").iter() {
            *counts.entry(run.key.clone()).or_default() += 1;
        }
        counts
    }
}
