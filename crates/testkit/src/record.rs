//! What stand-ins ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Key that the caller gave the request, or its identity where it gave none.
    pub key: String,
    /// Node that ran it.
    pub node: String,
    /// Milliseconds for which the replica had lacked a member when it began, 0 where it was whole.
    pub missing_ms: u64,
    /// Whether its deadline had passed when it began.
    pub past_deadline: bool,
    /// Whether the node's replica had been told to drain when it began.
    pub draining: bool,
}

/// All executions, in order.
#[derive(Clone, Debug, Default)]
pub struct RunHistory {
    runs: Arc<Mutex<Vec<RunRecord>>>,
}

impl RunHistory {
    /// Adds an execution.
    pub fn record(&self, record: RunRecord) {
        self.runs.lock().expect("no holder of the lock panics").push(record);
    }

    /// Copies all executions.
    pub fn to_vec(&self) -> Vec<RunRecord> {
        self.runs.lock().expect("no holder of the lock panics").clone()
    }

    /// How often each key ran.
    pub fn counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for run in self.runs.lock().expect("no holder of the lock panics").iter() {
            *counts.entry(run.key.clone()).or_default() += 1;
        }
        counts
    }
}
