//! When the processes of nodes were last found to have been replaced.
//!
//! What a process has asked for ends with it, so a daemon that keeps such a request needs to know
//! of restarts however it learns of them: from its own probes, from another daemon of the zone, or
//! from a reporter of another zone.
//!
//! Invariant: the time of a restart is never later than the time at which it was found, so that
//! what the new process asks for afterwards is never taken for a request of the former one.

use std::collections::HashMap;
use std::time::Duration;

use hollowbarrow_schema::{NodeId, RestartDigest};
use tokio::time::Instant;

/// Time for which a restart is reported to other daemons. It covers the loss of several reports.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Known restarts of nodes.
#[derive(Clone, Debug, Default)]
pub struct RestartTable {
    found: HashMap<NodeId, Instant>,
}

impl RestartTable {
    /// Creates a table that knows of no restart.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a node's process was found at a given time to be another one than before.
    pub fn record(&mut self, node: &NodeId, at: Instant) {
        let known = self.found.entry(node.clone()).or_insert(at);
        *known = at.max(*known);
    }

    /// Records a restart that another daemon reports. `base` and `lead` are as for
    /// [`LeaseTable::observe_digest`](crate::LeaseTable::observe_digest).
    pub fn record_digest(&mut self, digest: &RestartDigest, base: Instant, lead: Duration) {
        let age = Duration::from_millis(u64::from(digest.a));
        if let Some(at) = (base + lead).checked_sub(age) {
            self.record(&digest.n, at);
        }
    }

    /// Returns when a node's process was last found to have been replaced, `None` if it never was.
    pub fn last(&self, node: &NodeId) -> Option<Instant> {
        self.found.get(node).copied()
    }

    /// Returns reports of the given nodes' recent restarts, for other daemons.
    pub fn to_digests<'a>(
        &self,
        nodes: impl Iterator<Item = &'a NodeId>,
        now: Instant,
    ) -> Vec<RestartDigest> {
        let digest = |node: &NodeId| {
            let age = now.saturating_duration_since(self.last(node)?);
            let a = u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX);
            (age < REPORT_TIME).then(|| RestartDigest { n: node.clone(), a })
        };
        nodes.filter_map(digest).collect()
    }

    /// Removes nodes that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&NodeId) -> bool) {
        self.found.retain(|node, _| known(node));
    }
}
