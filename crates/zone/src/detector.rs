//! Detects the loss of nodes that fall silent.
//!
//! The lease decides how long a node may be given requests without a new report. Giving up its
//! replica needs more, because that ends the replica's requests and cannot be taken back: a silence
//! may also mean that all nodes are slow, or that this process is late and has not read their
//! answers. A silence is therefore counted towards a loss only while most of the other nodes
//! answer, it must exceed the time that nodes currently take to answer, and a late step of this
//! process counts for little.
//!
//! Invariants:
//!
//! - Any answer ends a node's silence, however late it is.
//! - A node that is silent while most other nodes answer promptly is lost after one lease.
//! - A silence of most nodes at once is a loss after [`MASS_SILENCE_LEASES`] leases.

use std::collections::HashMap;
use std::time::Duration;

use hollowbarrow_schema::NodeId;
use tokio::time::Instant;

/// Leases for which a node must be silent to be lost while most other nodes are silent too.
pub const MASS_SILENCE_LEASES: u32 = 4;
/// The longest time that one step counts is the lease divided by this. A longer step means that this
/// process was late itself.
const MAX_STEP_DIVISOR: u32 = 4;
/// A node counts as answering for the lease divided by this after each answer.
const ANSWERING_DIVISOR: u32 = 2;

/// Factor by which a node may take longer to answer than half of the nodes do.
const ANSWER_TIME_FACTOR: u32 = 2;

/// Silence of one node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeSilence {
    /// Time of the last answer, or the earliest time at which the node can have sent it.
    heard: Option<Instant>,
    /// Time that the last probe took to be answered, if this process sent it.
    answer_time: Option<Duration>,
    /// Silence since then, as far as most other nodes answered meanwhile.
    isolated: Duration,
    /// All silence since then.
    total: Duration,
    /// Whether most other nodes answered at the last step.
    others_answer: bool,
}

/// Detects the loss of nodes from their silence.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    lease: Duration,
    nodes: HashMap<NodeId, NodeSilence>,
    last_step: Option<Instant>,
    /// Median of the nodes' answer times at the last step.
    usual_answer_time: Duration,
}

impl FailureDetector {
    /// Creates a detector that knows of no node.
    pub fn new(lease: Duration) -> Self {
        Self { lease, nodes: HashMap::new(), last_step: None, usual_answer_time: Duration::ZERO }
    }

    /// Records that a node answered at this time.
    pub fn record_answer(&mut self, node: &NodeId, at: Instant) {
        let silence = self.nodes.entry(node.clone()).or_default();
        if silence.heard.is_none_or(|heard| heard < at) {
            let answer_time = silence.answer_time;
            *silence = NodeSilence { heard: Some(at), answer_time, ..NodeSilence::default() };
        }
    }

    /// Records the time that a probe of a node took to be answered.
    pub fn record_answer_time(&mut self, node: &NodeId, took: Duration) {
        self.nodes.entry(node.clone()).or_default().answer_time = Some(took);
    }

    /// Counts the time since the last step towards the silence of the given nodes, and forgets all
    /// others. Nodes that are known to be lost for another reason must not be given.
    pub fn step<'a>(&mut self, nodes: impl Iterator<Item = &'a NodeId>, now: Instant) {
        let elapsed =
            self.last_step.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let counted = elapsed.min(self.lease / MAX_STEP_DIVISOR);
        self.last_step = Some(now);
        let mut former = std::mem::take(&mut self.nodes);
        self.nodes = nodes
            .map(|node| {
                former.remove_entry(node).unwrap_or_else(|| (node.clone(), NodeSilence::default()))
            })
            .collect();
        self.usual_answer_time = self.median_answer_time();
        let limit = self.isolated_limit();
        let expected = self.nodes.values().filter(|silence| silence.is_expected(limit, self.lease));
        let (mut present, mut answering) = (0_usize, 0_usize);
        for silence in expected {
            present += 1;
            answering += usize::from(silence.is_answering(self.lease, now));
        }
        for silence in self.nodes.values_mut() {
            let own = usize::from(silence.is_expected(limit, self.lease));
            let own_answer = usize::from(own > 0 && silence.is_answering(self.lease, now));
            silence.others_answer = (answering - own_answer) * 2 >= present - own;
            let since = silence.heard.map(|heard| now.saturating_duration_since(heard));
            let silent = since.map_or(counted, |since| counted.min(since));
            silence.total += silent;
            if silence.others_answer {
                silence.isolated += silent;
            }
        }
    }

    /// Returns whether a node is lost.
    pub fn is_lost(&self, node: &NodeId) -> bool {
        let limit = self.isolated_limit();
        self.nodes.get(node).is_some_and(|silence| silence.is_loss(limit, self.lease))
    }

    /// Returns for how long a node must be silent to be lost while most other nodes answer.
    fn isolated_limit(&self) -> Duration {
        self.lease + self.usual_answer_time * ANSWER_TIME_FACTOR
    }

    /// Returns the median of the nodes' answer times, zero if none is known.
    fn median_answer_time(&self) -> Duration {
        let mut times: Vec<Duration> =
            self.nodes.values().filter_map(|silence| silence.answer_time).collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or_default()
    }

    /// Returns whether a node is silent while most other nodes answer, so that it is lost soon unless
    /// it answers.
    pub fn is_suspect(&self, node: &NodeId, now: Instant) -> bool {
        self.nodes
            .get(node)
            .is_some_and(|silence| silence.others_answer && !silence.is_answering(self.lease, now))
    }

    /// Returns the time of a node's last answer.
    pub fn last_answer(&self, node: &NodeId) -> Option<Instant> {
        self.nodes.get(node)?.heard
    }
}

impl NodeSilence {
    /// Returns whether this silence is a loss if one while most other nodes answer must last for
    /// `limit`.
    fn is_loss(&self, limit: Duration, lease: Duration) -> bool {
        self.isolated >= limit || self.total >= lease * MASS_SILENCE_LEASES
    }

    /// Returns whether the node's answers tell whether nodes in general answer: one that has never
    /// answered, or that is lost already, tells nothing about the others.
    fn is_expected(&self, limit: Duration, lease: Duration) -> bool {
        self.heard.is_some() && !self.is_loss(limit, lease)
    }

    fn is_answering(&self, lease: Duration, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now < heard + lease / ANSWERING_DIVISOR)
    }
}
