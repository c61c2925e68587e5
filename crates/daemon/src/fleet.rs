//! A daemon's view of the fleet: the platform's list, observations of nodes, and the zones' tables.
//!
//! The platform's list lags, so it is combined with observations: a node that
//! answers is used even if the list no longer contains it, and a node that does
//! not answer is not used even if the list reports it live.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hollowbarrow_planner::NodeView;
use hollowbarrow_schema::{
    Allocation, DRAIN_LABEL, DaemonId, Epoch, GroupName, Labels, LogIndex, NodeId, ObserverDigest,
    PlatformList, PlatformNode, PlatformState, Selector, ServiceName, ZoneCapacity, ZoneId,
    ZoneTable,
};
use hollowbarrow_state::ConfigState;
use hollowbarrow_zone::{FailureDetector, LeaseTable, NodeObservation, RestartTable, digest_time};
use tokio::time::Instant;

use crate::digest::{expand_set, extract_set};

/// Time after which a node that is neither listed nor observed is removed.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time for which a zone's capacity report is valid.
const CAPACITY_LIFETIME: Duration = Duration::from_secs(10);

/// A node as last listed by the platform.
#[derive(Clone, Debug)]
pub(crate) struct KnownNode {
    pub(crate) listed: PlatformNode,
    pub(crate) listed_at: Instant,
    /// Whether the latest list contains it.
    pub(crate) in_list: bool,
    /// When it returned after a loss or restart; it gets no new replica for a lease afterwards.
    pub(crate) returned: Option<Instant>,
}

/// Whether a node can be used, with the cause if it cannot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NodeStanding {
    /// It can be used.
    Usable,
    /// It gets no new replica for now. It is not known to be lost, so its replica is kept.
    Withheld(String),
    /// It is lost, and so is its replica.
    Lost(String),
}

impl NodeStanding {
    /// Returns why the node gets no new replica although it is not lost.
    fn withheld_cause(&self) -> Option<&str> {
        match self {
            Self::Withheld(cause) => Some(cause),
            Self::Usable | Self::Lost(_) => None,
        }
    }

    /// Returns why the node is lost.
    fn loss_cause(&self) -> Option<&str> {
        match self {
            Self::Lost(cause) => Some(cause),
            Self::Usable | Self::Withheld(_) => None,
        }
    }
}

/// State of another daemon.
#[derive(Clone, Debug)]
pub(crate) struct KnownPeer {
    /// When the last summary was received.
    pub(crate) last_received: Instant,
    /// The sender's clock in the latest summary, to be echoed.
    pub(crate) sender_clock_ms: u64,
    /// Term and version of the local zone's table that it holds.
    pub(crate) table_precedence: (u64, u64),
    /// Hash of the set of replicas from this daemon whose list it keeps.
    pub(crate) known_set: u64,
    /// The set of replicas that it last listed.
    pub(crate) listed: ListedSet,
}

/// Heads and epochs of a set of replicas that is identified by a hash.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListedSet {
    pub(crate) digest: u64,
    pub(crate) replicas: Vec<(NodeId, Epoch)>,
}

/// Capacity that a zone's authority has reported.
#[derive(Clone, Debug)]
pub(crate) struct ReportedCapacity {
    pub(crate) at: Instant,
    /// Index up to which the authority had applied the configuration.
    pub(crate) applied: LogIndex,
    pub(crate) groups: Vec<ZoneCapacity>,
}

/// View of nodes and of other daemons.
pub(crate) struct FleetView {
    pub(crate) nodes: BTreeMap<NodeId, KnownNode>,
    pub(crate) leases: LeaseTable,
    /// Detects the loss of silent nodes of the local zone.
    pub(crate) detector: FailureDetector,
    /// Restarts of nodes, of plain services in other zones too.
    pub(crate) restarts: RestartTable,
    pub(crate) tables: BTreeMap<ZoneId, ZoneTable>,
    pub(crate) peers: BTreeMap<DaemonId, KnownPeer>,
    pub(crate) capacity: BTreeMap<ZoneId, ReportedCapacity>,
    /// Nodes without an observation that recently refused a connection, and when.
    pub(crate) gone: BTreeMap<NodeId, Instant>,
    /// Nodes that refused an order because another owner holds them.
    pub(crate) foreign: BTreeMap<NodeId, String>,
    pub(crate) listed_once: bool,
}

impl FleetView {
    pub(crate) fn new(lease: Duration) -> Self {
        Self {
            nodes: BTreeMap::new(),
            leases: LeaseTable::new(lease),
            detector: FailureDetector::new(lease),
            restarts: RestartTable::new(),
            tables: BTreeMap::new(),
            peers: BTreeMap::new(),
            capacity: BTreeMap::new(),
            gone: BTreeMap::new(),
            foreign: BTreeMap::new(),
            listed_once: false,
        }
    }

    /// Records the platform's list; returns whether anything changed that routes depend on.
    pub(crate) fn record_list(&mut self, list: PlatformList, now: Instant) -> bool {
        let mut changed = false;
        for node in self.nodes.values_mut() {
            node.in_list = false;
        }
        for listed in list.nodes {
            let entry = self.nodes.entry(listed.node.clone()).or_insert_with(|| {
                changed = true;
                KnownNode { listed: listed.clone(), listed_at: now, in_list: true, returned: None }
            });
            changed |= entry.listed != listed;
            entry.listed = listed;
            entry.listed_at = now;
            entry.in_list = true;
        }
        let leases = &self.leases;
        let before = self.nodes.len();
        self.nodes.retain(|id, node| {
            let seen = leases.observation(id).is_some_and(|s| now < s.seen + FORGET_AFTER);
            node.in_list || seen || now < node.listed_at + FORGET_AFTER
        });
        self.listed_once = true;
        let nodes = &self.nodes;
        self.leases.retain(|id| nodes.contains_key(id));
        self.restarts.retain(|id| nodes.contains_key(id));
        changed || before != self.nodes.len()
    }

    /// Records an observation.
    pub(crate) fn record_observation(
        &mut self,
        id: &NodeId,
        observation: NodeObservation,
        now: Instant,
    ) {
        let restarted = self.leases.shows_restart(id, observation.start, observation.seen)
            || self.gone.contains_key(id);
        if restarted {
            self.record_restart(id, now);
        }
        let was_lost = restarted || self.detector.is_lost(id);
        if was_lost && let Some(node) = self.nodes.get_mut(id) {
            node.returned = Some(now);
        }
        self.gone.remove(id);
        self.detector.record_answer(id, now);
        self.detector.record_answer_time(id, now.saturating_duration_since(observation.seen));
        self.leases.observe(id, observation);
    }

    /// Records that a node was found to run another process than before.
    fn record_restart(&mut self, id: &NodeId, now: Instant) {
        log::info!("event=node_restarted node={}", **id);
        self.restarts.record(id, now);
    }

    /// Records that a replica made progress with a request, which proves that its members run. That
    /// ends their silence, but renews no lease.
    pub(crate) fn record_progress(&mut self, allocation: &Allocation, at: Instant) {
        for member in &allocation.members {
            self.detector.record_answer(member, at);
        }
    }

    /// Returns whether a replica is known to have lost a member, so that its requests in flight are
    /// lost.
    pub(crate) fn is_lost(&self, allocation: &Allocation, now: Instant) -> bool {
        let refuses = allocation.members.iter().any(|id| self.gone.contains_key(id));
        refuses || self.leases.is_lost(allocation, now) || self.has_silent_loss(allocation, now)
    }

    /// Returns whether a member that this daemon has observed is lost by its silence.
    fn has_silent_loss(&self, allocation: &Allocation, now: Instant) -> bool {
        let is_lost =
            |id: &NodeId| self.leases.observation(id).is_some() && self.detector.is_lost(id);
        !self.leases.is_reported_serving(allocation, now) && allocation.members.iter().any(is_lost)
    }

    /// Counts the silence of the zone's nodes.
    pub(crate) fn step_detector(&mut self, zone: &ZoneId, now: Instant) {
        let nodes = self
            .nodes
            .iter()
            .filter(|(id, node)| node.listed.zone == *zone && !self.gone.contains_key(*id));
        self.detector.step(nodes.map(|(id, _)| id), now);
    }

    /// Records that a node refused a connection.
    pub(crate) fn record_loss(&mut self, id: &NodeId, at: Instant) {
        self.leases.observe_loss(id, at);
        if self.leases.observation(id).is_none() {
            self.gone.insert(id.clone(), at);
        }
    }

    /// Records another daemon's summary; returns whether a zone's table changed.
    pub(crate) fn record_digest(
        &mut self,
        from: (&DaemonId, &ZoneId),
        digest: ObserverDigest,
        base: Option<Instant>,
        now: Instant,
    ) -> bool {
        let (id, zone) = from;
        let held = Duration::from_millis(u64::from(digest.held));
        // Without an echo the time of sending is unknown, so the ages cannot be used.
        if let Some(base) = base {
            for node in &digest.nodes {
                let restarted = digest_time(node, base, held)
                    .is_some_and(|seen| self.leases.shows_restart(&node.n, node.s, seen));
                let returned =
                    self.leases.observation(&node.n).is_none() && self.gone.contains_key(&node.n);
                self.leases.observe_digest(node, base, held);
                if let Some(observation) = self.leases.observation(&node.n) {
                    self.detector.record_answer(&node.n, observation.seen);
                }
                if restarted || returned {
                    self.gone.remove(&node.n);
                    self.record_restart(&node.n, now);
                    if let Some(node) = self.nodes.get_mut(&node.n) {
                        node.returned = Some(now);
                    }
                }
            }
            for node in &digest.restarted {
                self.restarts.record_digest(node, base, held);
            }
            for node in &digest.gone {
                let age = Duration::from_millis(u64::from(node.a));
                let Some(at) = (base + held).checked_sub(age) else { continue };
                self.leases.observe_loss(&node.n, at);
                if self.leases.observation(&node.n).is_none() {
                    self.gone.entry(node.n.clone()).or_insert(at);
                }
            }
            let kept = self.peers.get(id).map(|peer| peer.listed.clone()).unwrap_or_default();
            for replica in digest.replicas.iter().chain(&expand_set(&digest.set, &kept)) {
                self.leases.observe_replica(replica, base, held);
            }
        }
        let listed = extract_set(&digest.set, &digest.replicas)
            .or_else(|| self.peers.get(id).map(|peer| peer.listed.clone()))
            .unwrap_or_default();
        if !digest.capacity.is_empty() {
            let (applied, groups) = (digest.applied, digest.capacity);
            self.capacity.insert(zone.clone(), ReportedCapacity { at: now, applied, groups });
        }
        let table_precedence = (*digest.table_term, digest.table_version);
        let known_set = digest.known_set;
        let peer = KnownPeer {
            last_received: now,
            sender_clock_ms: digest.sent,
            table_precedence,
            known_set,
            listed,
        };
        self.peers.insert(id.clone(), peer);
        digest.table.is_some_and(|table| self.record_table(table))
    }

    /// Records a zone's table if it is newer than the known one; returns whether it is.
    pub(crate) fn record_table(&mut self, table: ZoneTable) -> bool {
        let newer = self.tables.get(&table.zone).is_none_or(|known| known.rank() < table.rank());
        if newer {
            self.tables.insert(table.zone.clone(), table);
        }
        newer
    }

    /// Returns term and version of a zone's table, zeros if none is known.
    pub(crate) fn table_precedence(&self, zone: &ZoneId) -> (u64, u64) {
        self.tables.get(zone).map_or((0, 0), |table| (*table.term, table.version))
    }

    /// Returns whether a summary of a daemon was received within this time.
    pub(crate) fn has_reported(&self, id: &DaemonId, within: Duration, now: Instant) -> bool {
        self.peers
            .get(id)
            .is_some_and(|peer| now.saturating_duration_since(peer.last_received) < within)
    }

    /// Returns the capacity reports that are still valid.
    pub(crate) fn fresh_capacity(&self, now: Instant) -> BTreeMap<&ZoneId, &ReportedCapacity> {
        let fresh = |report: &ReportedCapacity| {
            now.saturating_duration_since(report.at) < CAPACITY_LIFETIME
        };
        self.capacity.iter().filter(|(_, report)| fresh(report)).collect()
    }

    pub(crate) fn address(&self, id: &NodeId) -> Option<SocketAddr> {
        self.nodes.get(id)?.listed.address.parse().ok()
    }

    /// Returns all allocations, with their zone.
    pub(crate) fn allocations(&self) -> impl Iterator<Item = (&ZoneId, &Allocation)> {
        self.tables.values().flat_map(|table| table.allocations.iter().map(|a| (&table.zone, a)))
    }

    /// Returns the nodes that run a plain service.
    pub(crate) fn service_nodes(
        &self,
    ) -> impl Iterator<Item = (&NodeId, &KnownNode, &ServiceName)> {
        self.nodes.iter().filter_map(|(id, node)| {
            let service = node.listed.service.as_ref()?;
            Some((id, node, service))
        })
    }

    /// Returns whether the platform or an operator has marked a node to be stopped.
    pub(crate) fn is_leaving(&self, id: &NodeId, config: &ConfigState) -> bool {
        let listed = self.nodes.get(id).is_some_and(|n| n.listed.state == PlatformState::Leaving);
        let labelled =
            config.labels().get(id).is_some_and(|labels| labels.value.contains_key(DRAIN_LABEL));
        listed || labelled
    }

    /// Returns whether a node can be used now.
    pub(crate) fn node_standing(
        &self,
        id: &NodeId,
        node: &KnownNode,
        now: Instant,
    ) -> NodeStanding {
        let lease = self.leases.lease();
        let Some(observation) = self.leases.observation(id) else {
            if self.gone.contains_key(id) {
                return NodeStanding::Lost("its address refuses connections".to_owned());
            }
            let cause = "not observed yet".to_owned();
            let is_lost = self.detector.is_lost(id);
            return if is_lost { NodeStanding::Lost(cause) } else { NodeStanding::Withheld(cause) };
        };
        if observation.state == hollowbarrow_schema::NodeState::Failed {
            return NodeStanding::Lost("its engine reports a failure".to_owned());
        }
        let silent = now.saturating_duration_since(observation.seen);
        let cause = format!("not observed for {:.1} s", silent.as_secs_f64());
        if self.detector.is_lost(id) {
            return NodeStanding::Lost(cause);
        }
        if silent > lease {
            return NodeStanding::Withheld(cause);
        }
        let returned = node.returned.map(|at| now.saturating_duration_since(at));
        if returned.is_some_and(|since| since < lease) {
            let cause = "returned after a loss or restart less than a lease ago";
            return NodeStanding::Withheld(cause.to_owned());
        }
        NodeStanding::Usable
    }

    /// Returns how many of a zone's model nodes have an observation older than the lease, and how many
    /// are observed in all.
    pub(crate) fn count_silent(&self, zone: &ZoneId, now: Instant) -> (usize, usize) {
        let models = self
            .nodes
            .iter()
            .filter(|(_, node)| node.listed.zone == *zone && node.listed.service.is_none());
        let seen: Vec<Instant> =
            models.filter_map(|(id, _)| Some(self.leases.observation(id)?.seen)).collect();
        let silent = seen.iter().filter(|seen| **seen + self.leases.lease() <= now);
        (silent.count(), seen.len())
    }

    /// Returns the planner's view of a zone's nodes.
    pub(crate) fn node_views(
        &self,
        zone: &ZoneId,
        config: &ConfigState,
        managed: &Selector,
        owner: &str,
        now: Instant,
    ) -> Vec<NodeView> {
        let none = Labels(BTreeMap::new());
        self.nodes
            .iter()
            .filter(|(_, node)| node.listed.zone == *zone && node.listed.service.is_none())
            .map(|(id, node)| {
                let labels = config.labels().get(id).map_or(&none, |labels| &labels.value);
                let observation = self.leases.observation(id);
                let held_by =
                    observation.and_then(|s| s.owner.as_ref()).filter(|held| *held != owner);
                let foreign = held_by.or(self.foreign.get(id));
                let unmanaged = managed
                    .failing_condition(labels)
                    .or_else(|| foreign.map(|foreign| format!("held by owner {foreign}")));
                let standing = self.node_standing(id, node, now);
                let withheld = standing.withheld_cause().map(str::to_owned);
                NodeView {
                    id: id.clone(),
                    domain: node.listed.domain.clone(),
                    labels: labels.clone(),
                    accelerators: node.listed.accelerators,
                    withheld,
                    unusable: standing.loss_cause().map(str::to_owned),
                    leaving: self.is_leaving(id, config),
                    unmanaged,
                    weights: observation
                        .map(|s| s.weights.iter().cloned().collect::<BTreeSet<String>>())
                        .unwrap_or_default(),
                }
            })
            .collect()
    }

    /// Returns the number of a group's serving replicas over all zones.
    pub(crate) fn serving_count(&self, group: &GroupName, now: Instant) -> u32 {
        let serving = self
            .allocations()
            .filter(|(_, allocation)| allocation.group == *group)
            .filter(|(_, allocation)| self.leases.serving_until(allocation, now).is_ok());
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }
}
