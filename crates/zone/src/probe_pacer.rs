//! Bounds the probes that wait for the answer of one node.
//!
//! Probes are sent at a fixed interval, and their answers are awaited for longer than that. Where
//! nodes are slow because they lack processor time, further probes would make them slower.
//!
//! Invariant: a probe may always be sent once none was sent for half a lease, so that a connection
//! that has gone silent does not keep a node from being probed.

use std::collections::HashMap;
use std::time::Duration;

use hollowbarrow_schema::NodeId;
use tokio::time::Instant;

/// Probes of one node.
#[derive(Clone, Copy, Debug)]
struct NodeProbes {
    waiting: u32,
    last_sent: Instant,
}

/// The probes that wait for an answer, by node.
#[derive(Clone, Debug)]
pub struct ProbePacer {
    lease: Duration,
    max_waiting: u32,
    nodes: HashMap<NodeId, NodeProbes>,
}

impl ProbePacer {
    /// Creates a pacer for probes that are due at this interval.
    pub fn new(lease: Duration, interval: Duration) -> Self {
        let per_half_lease = (lease / 2).div_duration_f64(interval.max(Duration::from_millis(1)));
        let max_waiting = per_half_lease.ceil().max(1.0) as u32;
        Self { lease, max_waiting, nodes: HashMap::new() }
    }

    /// Returns whether a node may be probed now, and records the probe if so.
    pub fn begin(&mut self, node: &NodeId, now: Instant) -> bool {
        let Some(probes) = self.nodes.get_mut(node) else {
            self.nodes.insert(node.clone(), NodeProbes { waiting: 1, last_sent: now });
            return true;
        };
        let paused = now.saturating_duration_since(probes.last_sent) >= self.lease / 2;
        if probes.waiting >= self.max_waiting && !paused {
            return false;
        }
        probes.waiting += 1;
        probes.last_sent = now;
        true
    }

    /// Records that a probe was answered or has timed out.
    pub fn end(&mut self, node: &NodeId) {
        let Some(probes) = self.nodes.get_mut(node) else { return };
        probes.waiting = probes.waiting.saturating_sub(1);
        if probes.waiting == 0 {
            self.nodes.remove(node);
        }
    }
}
