//! Under which leases replicas serve, as one daemon sees it.
//!
//! A sighting is what a node said of itself and the earliest moment, by this
//! daemon's own clock, at which it can have said so. A replica may be given a
//! request only while each member's sighting is younger than the lease and
//! agrees with the allocation. Nothing here depends on a message arriving: a
//! daemon that was paused finds its sightings too old when it goes on.

use std::collections::HashMap;
use std::time::Duration;

use hollowbarrow_schema::{
    Allocation, Epoch, NodeDigest, NodeId, NodeState, ReplicaDigest, StartId,
};
use thiserror::Error;
use tokio::time::Instant;

/// What a node said of itself, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeObservation {
    /// Start of the node's process.
    pub start: StartId,
    /// Epoch of the last order that it took.
    pub epoch: Epoch,
    /// Its engine's state.
    pub state: NodeState,
    /// Requests running and queued there.
    pub load: u32,
    /// Who gave the last order, where the node names one.
    pub owner: Option<String>,
    /// Weights that the node holds, as `model@version`.
    pub weights: Vec<String>,
    /// Earliest moment at which it can have said so.
    pub seen: Instant,
}

/// Why a replica may not be given a request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ServingRefusal {
    /// Nothing was ever heard of a member.
    #[error("node {0} was never seen")]
    Unseen(NodeId),
    /// A member's heartbeat is older than the lease.
    #[error("node {0} was last seen longer ago than the lease")]
    Expired(NodeId),
    /// A member holds another epoch than the allocation.
    #[error("node {node} is at epoch {found}, the replica at {wanted}", found = **found, wanted = **wanted)]
    OtherEpoch {
        /// The member.
        node: NodeId,
        /// Epoch that it reported.
        found: Epoch,
        /// Epoch of the allocation.
        wanted: Epoch,
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

/// Sightings of nodes.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    lease: Duration,
    sightings: HashMap<NodeId, NodeObservation>,
    replicas: HashMap<NodeId, ReplicaSighting>,
}

/// What another daemon says of a whole replica whose nodes this one does not follow.
#[derive(Clone, Debug)]
struct ReplicaSighting {
    epoch: Epoch,
    load: u32,
    seen: Instant,
}

impl LeaseTable {
    /// Creates an empty table with the length of a heartbeat's lease.
    pub fn new(lease: Duration) -> Self {
        Self { lease, sightings: HashMap::new(), replicas: HashMap::new() }
    }

    /// Length of a heartbeat's lease.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Latest sighting of a node.
    pub fn observation(&self, node: &NodeId) -> Option<&NodeObservation> {
        self.sightings.get(node)
    }

    /// Number of nodes seen.
    pub fn len(&self) -> usize {
        self.sightings.len()
    }

    /// Whether no node was seen.
    pub fn is_empty(&self) -> bool {
        self.sightings.is_empty()
    }

    /// Takes a sighting unless a later one is known.
    pub fn observe(&mut self, node: &NodeId, sighting: NodeObservation) {
        let known = self.sightings.get(node);
        if known.is_some_and(|known| known.seen > sighting.seen) {
            return;
        }
        self.sightings.insert(node.clone(), sighting);
    }

    /// Takes a node's entry in another daemon's digest.
    ///
    /// `base` is a moment of this daemon's clock that surely lies before the
    /// digest left, and `lead` how long before: the other daemon held our
    /// message for that long. The node cannot have spoken earlier than
    /// `base + lead - age`.
    pub fn observe_digest(&mut self, digest: &NodeDigest, base: Instant, lead: Duration) {
        let age = Duration::from_millis(u64::from(digest.a));
        let Some(seen) = (base + lead).checked_sub(age) else { return };
        let sighting = NodeObservation {
            start: digest.s,
            epoch: digest.e,
            state: digest.t,
            load: digest.l,
            owner: digest.o.clone(),
            weights: digest.w.clone(),
            seen,
        };
        self.observe(&digest.n, sighting);
    }

    /// Takes another daemon's word that all members of a replica are fresh.
    ///
    /// `base` and `lead` are as for [`LeaseTable::observe_digest`].
    pub fn observe_replica(&mut self, digest: &ReplicaDigest, base: Instant, lead: Duration) {
        let age = Duration::from_millis(u64::from(digest.a));
        let Some(seen) = (base + lead).checked_sub(age) else { return };
        let known = self.replicas.get(&digest.h);
        if known.is_none_or(|known| (known.epoch, known.seen) < (digest.e, seen)) {
            let sighting = ReplicaSighting { epoch: digest.e, load: digest.l, seen };
            self.replicas.insert(digest.h.clone(), sighting);
        }
    }

    /// Notes that nothing listened at a node at a moment, which ends leases seen before it.
    pub fn observe_loss(&mut self, node: &NodeId, at: Instant) {
        if self.sightings.get(node).is_some_and(|sighting| sighting.seen <= at) {
            self.sightings.remove(node);
        }
    }

    /// Until when a node that is no member of a replica may be given requests.
    pub fn node_serving_until(&self, node: &NodeId, now: Instant) -> Option<Instant> {
        let own = self.sightings.get(node).filter(|s| s.state == NodeState::Ready);
        let told = self.replicas.get(node).filter(|replica| *replica.epoch == 0);
        let seen = own.map(|s| s.seen).max(told.map(|replica| replica.seen))?;
        Some(seen + self.lease).filter(|until| *until > now)
    }

    /// Digest of a node that is no member of a replica, for other daemons.
    pub fn to_node_digest(&self, node: &NodeId, now: Instant) -> Option<ReplicaDigest> {
        let sighting = self.sightings.get(node).filter(|s| s.state == NodeState::Ready)?;
        let age = now.saturating_duration_since(sighting.seen);
        (age < self.lease).then(|| ReplicaDigest {
            h: node.clone(),
            e: Epoch(0),
            a: u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX),
            l: sighting.load,
        })
    }

    /// Whether a replica is known to have lost a member, so that what is in flight there is lost.
    ///
    /// A draining replica is not lost, and neither is one whose nodes this daemon does not follow.
    pub fn is_lost(&self, allocation: &Allocation, now: Instant) -> bool {
        if self.replica_until(allocation, now).is_some() {
            return false;
        }
        allocation.members.iter().zip(&allocation.starts).any(|(member, start)| {
            self.sightings.get(member).is_some_and(|sighting| {
                sighting.start != *start
                    || sighting.epoch != allocation.epoch
                    || sighting.seen + self.lease <= now
            })
        })
    }

    /// Load of a replica's head and the earliest moment at which it can have said so.
    pub fn load(&self, allocation: &Allocation) -> Option<(u32, Instant)> {
        let head = allocation.head();
        let own = self.sightings.get(head).map(|sighting| (sighting.load, sighting.seen));
        let told = self.replicas.get(head).map(|replica| (replica.load, replica.seen));
        [own, told].into_iter().flatten().max_by_key(|(_, seen)| *seen)
    }

    /// Until when a replica may be given requests.
    ///
    /// # Errors
    ///
    /// Says which member stands against it, and why.
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
        match self.members_until(allocation, now) {
            Ok(until) => Ok(until),
            Err(refusal) => self.replica_until(allocation, now).ok_or(refusal),
        }
    }

    fn replica_until(&self, allocation: &Allocation, now: Instant) -> Option<Instant> {
        let replica = self.replicas.get(allocation.head())?;
        let until = replica.seen + self.lease;
        (replica.epoch == allocation.epoch && until > now).then_some(until)
    }

    fn members_until(
        &self,
        allocation: &Allocation,
        now: Instant,
    ) -> Result<Instant, ServingRefusal> {
        let mut until = None;
        for (member, start) in allocation.members.iter().zip(&allocation.starts) {
            let expires = self.member_until(member, allocation.epoch, *start, now)?;
            until = Some(until.map_or(expires, |until: Instant| until.min(expires)));
        }
        Ok(until.unwrap_or(now))
    }

    fn member_until(
        &self,
        member: &NodeId,
        epoch: Epoch,
        start: StartId,
        now: Instant,
    ) -> Result<Instant, ServingRefusal> {
        let sighting =
            self.sightings.get(member).ok_or_else(|| ServingRefusal::Unseen(member.clone()))?;
        let expires = sighting.seen + self.lease;
        if expires <= now {
            return Err(ServingRefusal::Expired(member.clone()));
        }
        if sighting.epoch != epoch {
            let (found, wanted) = (sighting.epoch, epoch);
            return Err(ServingRefusal::OtherEpoch { node: member.clone(), found, wanted });
        }
        if sighting.state != NodeState::Ready {
            let state = sighting.state;
            return Err(ServingRefusal::NotReady { node: member.clone(), state });
        }
        if sighting.start != start {
            return Err(ServingRefusal::Restarted(member.clone()));
        }
        Ok(expires)
    }

    /// Digests of the given nodes, for other daemons.
    pub fn to_digests<'a>(
        &self,
        nodes: impl Iterator<Item = &'a NodeId>,
        now: Instant,
    ) -> Vec<NodeDigest> {
        nodes
            .filter_map(|node| {
                let sighting = self.sightings.get(node)?;
                let age = now.saturating_duration_since(sighting.seen);
                (age < self.lease).then(|| NodeDigest {
                    n: node.clone(),
                    s: sighting.start,
                    e: sighting.epoch,
                    t: sighting.state,
                    a: u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX),
                    l: sighting.load,
                    o: sighting.owner.clone(),
                    w: sighting.weights.clone(),
                })
            })
            .collect()
    }

    /// Digests of the replicas whose members are all fresh, for other daemons.
    pub fn to_replica_digests<'a>(
        &self,
        allocations: impl Iterator<Item = &'a Allocation>,
        now: Instant,
    ) -> Vec<ReplicaDigest> {
        allocations
            .filter_map(|allocation| {
                let until = self.members_until(allocation, now).ok()?;
                let age = self.lease.saturating_sub(until.saturating_duration_since(now));
                Some(ReplicaDigest {
                    h: allocation.head().clone(),
                    e: allocation.epoch,
                    a: u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX),
                    l: self.sightings.get(allocation.head())?.load,
                })
            })
            .collect()
    }

    /// Forgets nodes that are no longer listed anywhere.
    pub fn retain(&mut self, keep: impl Fn(&NodeId) -> bool) {
        self.sightings.retain(|node, _| keep(node));
        self.replicas.retain(|head, _| keep(head));
    }
}
