//! Leases under which replicas serve, as known to one daemon.
//!
//! An observation is a node's report of its state, with the earliest time by
//! this daemon's clock at which the node can have sent it. A replica may be
//! given a request only while each member's observation is younger than the
//! lease and agrees with the allocation. Expiry does not depend on a message: a
//! daemon that was paused finds its observations expired when it resumes.

use std::collections::HashMap;
use std::time::Duration;

use hollowbarrow_schema::{
    Allocation, Epoch, NodeDigest, NodeId, NodeState, ReplicaDigest, StartId,
};
use thiserror::Error;
use tokio::time::Instant;

/// State that a node reported of itself, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeObservation {
    /// Start of the node's process.
    pub start: StartId,
    /// Epoch of the last order that the node accepted.
    pub epoch: Epoch,
    /// Its engine's state.
    pub state: NodeState,
    /// Requests running and queued at the node.
    pub load: u32,
    /// Sender of the last order, if the node reports one.
    pub owner: Option<String>,
    /// Weights stored on the node, as `model@version`.
    pub weights: Vec<String>,
    /// Earliest time at which the node can have sent the report.
    pub seen: Instant,
}

/// Why a replica may not be given a request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ServingRefusal {
    /// No report of a member was ever received.
    #[error("no report of node {0} was received")]
    Unseen(NodeId),
    /// A member's heartbeat is older than the lease.
    #[error("the last report of node {0} is older than the lease")]
    Expired(NodeId),
    /// A member reported another epoch than the allocation's.
    #[error("node {node} is at epoch {found}, the replica at {expected}", found = **found, expected = **expected)]
    OtherEpoch {
        /// The member.
        node: NodeId,
        /// Epoch that it reported.
        found: Epoch,
        /// Epoch of the allocation.
        expected: Epoch,
    },
    /// A member restarted since the replica began to serve.
    #[error("node {0} restarted since the replica was ready")]
    Restarted(NodeId),
    /// A member's engine is not ready.
    #[error("node {node} is {state}")]
    NotReady {
        /// The member.
        node: NodeId,
        /// State that it reported.
        state: NodeState,
    },
    /// The authority has not yet found every member ready.
    #[error("the replica is loading")]
    Loading,
    /// The replica is giving up its nodes.
    #[error("the replica is draining")]
    Draining,
}

/// Observations of nodes and replicas.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    lease: Duration,
    observations: HashMap<NodeId, NodeObservation>,
    replicas: HashMap<NodeId, ReplicaObservation>,
}

/// Report of another daemon on a replica whose nodes this daemon does not observe itself.
#[derive(Clone, Debug)]
struct ReplicaObservation {
    epoch: Epoch,
    load: u32,
    seen: Instant,
}

/// Returns the earliest time at which a node can have sent the report in another daemon's digest.
/// `base` and `lead` are as for [`LeaseTable::observe_digest`].
pub fn digest_time(digest: &NodeDigest, base: Instant, lead: Duration) -> Option<Instant> {
    (base + lead).checked_sub(Duration::from_millis(u64::from(digest.a)))
}

impl LeaseTable {
    /// Creates an empty table with the length of a heartbeat's lease.
    pub fn new(lease: Duration) -> Self {
        Self { lease, observations: HashMap::new(), replicas: HashMap::new() }
    }

    /// Length of a heartbeat's lease.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Latest observation of a node.
    pub fn observation(&self, node: &NodeId) -> Option<&NodeObservation> {
        self.observations.get(node)
    }

    /// Number of observed nodes.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether no node was observed.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Returns whether a report shows that the node runs another process than the one known. A
    /// report that is older than the latest one shows nothing.
    pub fn shows_restart(&self, node: &NodeId, start: StartId, seen: Instant) -> bool {
        self.observations.get(node).is_some_and(|known| known.start != start && known.seen <= seen)
    }

    /// Records an observation unless a later one is known.
    pub fn observe(&mut self, node: &NodeId, observation: NodeObservation) {
        let known = self.observations.get(node);
        if known.is_some_and(|known| known.seen > observation.seen) {
            return;
        }
        self.observations.insert(node.clone(), observation);
    }

    /// Records a node's entry in another daemon's digest.
    ///
    /// `base` is a time of this daemon's clock at which it sent a message that the other daemon
    /// received before it sent the digest. `lead` is how long the other daemon kept that message
    /// before it sent the digest. The digest was therefore sent at `base + lead` or later, and the
    /// node cannot have sent its report earlier than `base + lead - age`.
    pub fn observe_digest(&mut self, digest: &NodeDigest, base: Instant, lead: Duration) {
        let Some(seen) = digest_time(digest, base, lead) else { return };
        let observation = NodeObservation {
            start: digest.s,
            epoch: digest.e,
            state: digest.t,
            load: digest.l,
            owner: digest.o.clone(),
            weights: digest.w.clone(),
            seen,
        };
        self.observe(&digest.n, observation);
    }

    /// Records another daemon's report that the observations of all members of a replica are recent.
    ///
    /// `base` and `lead` are as for [`LeaseTable::observe_digest`].
    pub fn observe_replica(&mut self, digest: &ReplicaDigest, base: Instant, lead: Duration) {
        let age = Duration::from_millis(u64::from(digest.a));
        let Some(seen) = (base + lead).checked_sub(age) else { return };
        let known = self.replicas.get(&digest.h);
        if known.is_none_or(|known| (known.epoch, known.seen) < (digest.e, seen)) {
            let observation = ReplicaObservation { epoch: digest.e, load: digest.l, seen };
            self.replicas.insert(digest.h.clone(), observation);
        }
    }

    /// Records that no process listened at a node at a given time, which revokes leases from
    /// observations before it.
    pub fn observe_loss(&mut self, node: &NodeId, at: Instant) {
        if self.observations.get(node).is_some_and(|observation| observation.seen <= at) {
            self.observations.remove(node);
        }
    }

    /// Returns until when a node that is not a member of a replica may be given requests.
    pub fn node_serving_until(&self, node: &NodeId, now: Instant) -> Option<Instant> {
        let observed = self.observations.get(node).filter(|s| s.state == NodeState::Ready);
        let reported = self.replicas.get(node).filter(|replica| *replica.epoch == 0);
        let seen = observed.map(|s| s.seen).max(reported.map(|replica| replica.seen))?;
        Some(seen + self.lease).filter(|until| *until > now)
    }

    /// Whether another daemon has reported within this time that a node that is not a member of a
    /// replica serves.
    pub fn is_node_reported(&self, node: &NodeId, within: Duration, now: Instant) -> bool {
        self.replicas
            .get(node)
            .is_some_and(|replica| *replica.epoch == 0 && now < replica.seen + within)
    }

    /// Returns the digest, for other daemons, of a node that is not a member of a replica.
    pub fn to_node_digest(&self, node: &NodeId, now: Instant) -> Option<ReplicaDigest> {
        let observation = self.observations.get(node).filter(|s| s.state == NodeState::Ready)?;
        let age = now.saturating_duration_since(observation.seen);
        (age < self.lease).then(|| ReplicaDigest {
            h: node.clone(),
            e: Epoch(0),
            a: u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX),
            l: observation.load,
        })
    }

    /// Whether a member of a replica is known to have restarted or to have accepted an order of
    /// another epoch, so that the replica's requests in flight are lost.
    ///
    /// An expired lease is no such proof, and neither is a drain.
    pub fn is_lost(&self, allocation: &Allocation, now: Instant) -> bool {
        if self.is_reported_serving(allocation, now) {
            return false;
        }
        allocation.members.iter().zip(&allocation.starts).any(|(member, start)| {
            self.observations.get(member).is_some_and(|observation| {
                observation.start != *start || observation.epoch != allocation.epoch
            })
        })
    }

    /// Whether another daemon has reported within the lease that a replica serves.
    pub fn is_reported_serving(&self, allocation: &Allocation, now: Instant) -> bool {
        self.replica_valid_until(allocation, now).is_some()
    }

    /// Whether a replica's lease may be renewed although it has expired: its members are silent to this
    /// daemon, or another daemon has reported within this time that it serves.
    pub fn may_be_renewed(&self, allocation: &Allocation, within: Duration, now: Instant) -> bool {
        let refusal = match self.serving_until(allocation, now) {
            Ok(_) => return true,
            Err(refusal) => refusal,
        };
        match refusal {
            ServingRefusal::Expired(_) => true,
            ServingRefusal::Unseen(_) => {
                self.replicas.get(allocation.head()).is_some_and(|replica| {
                    replica.epoch == allocation.epoch && now < replica.seen + within
                })
            }
            _ => false,
        }
    }

    /// Returns the load of a replica's head and the earliest time at which the head can have reported
    /// it.
    pub fn load(&self, allocation: &Allocation) -> Option<(u32, Instant)> {
        let head = allocation.head();
        let observed =
            self.observations.get(head).map(|observation| (observation.load, observation.seen));
        let reported = self.replicas.get(head).map(|replica| (replica.load, replica.seen));
        [observed, reported].into_iter().flatten().max_by_key(|(_, seen)| *seen)
    }

    /// Returns until when a replica may be given requests.
    ///
    /// # Errors
    ///
    /// Names the member, or the phase, that prevents it.
    pub fn serving_until(
        &self,
        allocation: &Allocation,
        now: Instant,
    ) -> Result<Instant, ServingRefusal> {
        if allocation.phase == hollowbarrow_schema::AllocationPhase::Draining {
            return Err(ServingRefusal::Draining);
        }
        if allocation.starts.len() != allocation.members.len() {
            return Err(ServingRefusal::Loading);
        }
        match self.members_valid_until(allocation, now) {
            Ok(until) => Ok(until),
            Err(refusal) => self.replica_valid_until(allocation, now).ok_or(refusal),
        }
    }

    fn replica_valid_until(&self, allocation: &Allocation, now: Instant) -> Option<Instant> {
        let replica = self.replicas.get(allocation.head())?;
        let until = replica.seen + self.lease;
        (replica.epoch == allocation.epoch && until > now).then_some(until)
    }

    fn members_valid_until(
        &self,
        allocation: &Allocation,
        now: Instant,
    ) -> Result<Instant, ServingRefusal> {
        let mut until = None;
        for (member, start) in allocation.members.iter().zip(&allocation.starts) {
            let expires = self.member_valid_until(member, allocation.epoch, *start, now)?;
            until = Some(until.map_or(expires, |until: Instant| until.min(expires)));
        }
        Ok(until.unwrap_or(now))
    }

    fn member_valid_until(
        &self,
        member: &NodeId,
        epoch: Epoch,
        start: StartId,
        now: Instant,
    ) -> Result<Instant, ServingRefusal> {
        let observation =
            self.observations.get(member).ok_or_else(|| ServingRefusal::Unseen(member.clone()))?;
        let expires = observation.seen + self.lease;
        if expires <= now {
            return Err(ServingRefusal::Expired(member.clone()));
        }
        if observation.epoch != epoch {
            let (found, expected) = (observation.epoch, epoch);
            return Err(ServingRefusal::OtherEpoch { node: member.clone(), found, expected });
        }
        if observation.state != NodeState::Ready {
            let state = observation.state;
            return Err(ServingRefusal::NotReady { node: member.clone(), state });
        }
        if observation.start != start {
            return Err(ServingRefusal::Restarted(member.clone()));
        }
        Ok(expires)
    }

    /// Returns digests of the given nodes, for other daemons.
    pub fn to_digests<'a>(
        &self,
        nodes: impl Iterator<Item = &'a NodeId>,
        now: Instant,
    ) -> Vec<NodeDigest> {
        nodes
            .filter_map(|node| {
                let observation = self.observations.get(node)?;
                let age = now.saturating_duration_since(observation.seen);
                (age < self.lease).then(|| NodeDigest {
                    n: node.clone(),
                    s: observation.start,
                    e: observation.epoch,
                    t: observation.state,
                    a: u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX),
                    l: observation.load,
                    o: observation.owner.clone(),
                    w: observation.weights.clone(),
                })
            })
            .collect()
    }

    /// Returns digests, for other daemons, of the replicas whose members' leases are all valid.
    pub fn to_replica_digests<'a>(
        &self,
        allocations: impl Iterator<Item = &'a Allocation>,
        now: Instant,
    ) -> Vec<ReplicaDigest> {
        allocations
            .filter_map(|allocation| {
                let until = self.members_valid_until(allocation, now).ok()?;
                let age = self.lease.saturating_sub(until.saturating_duration_since(now));
                Some(ReplicaDigest {
                    h: allocation.head().clone(),
                    e: allocation.epoch,
                    a: u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX),
                    l: self.observations.get(allocation.head())?.load,
                })
            })
            .collect()
    }

    /// Removes the nodes and replicas whose node `keep` does not accept.
    pub fn retain(&mut self, keep: impl Fn(&NodeId) -> bool) {
        self.observations.retain(|node, _| keep(node));
        self.replicas.retain(|head, _| keep(head));
    }
}
