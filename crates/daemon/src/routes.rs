//! Index of upstreams by model and service, rebuilt when a table or the configuration changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hollowbarrow_reach::{ServiceTargets, UpstreamTarget, is_full_name};
use hollowbarrow_routing::{RouteCandidate, UpstreamKey};
use hollowbarrow_schema::{Allocation, Epoch, ModelName, NodeId, NodeState, ServiceName, ZoneId};
use hollowbarrow_state::ConfigState;
use hollowbarrow_zone::MASS_SILENCE_LEASES;
use tokio::time::Instant;

use crate::config_standing::ConfigStanding;
use crate::core::DaemonCore;
use crate::fleet::FleetView;
use crate::paths::target_of;
use crate::permits::limit_name;
use crate::relay::StreamProgress;

/// Pause between two checks whether a replica was lost.
const LOSS_POLL: Duration = Duration::from_millis(100);

/// Target of a request.
#[derive(Clone, Debug)]
pub(crate) enum RouteTarget {
    /// A replica of a group.
    Replica(Allocation),
    /// A node of a plain service.
    Service(NodeId),
    /// An external endpoint.
    Endpoint,
}

/// One upstream of a model or service.
#[derive(Clone, Debug)]
pub(crate) struct RouteEntry {
    pub(crate) key: UpstreamKey,
    pub(crate) target: RouteTarget,
    pub(crate) address: SocketAddr,
    pub(crate) pool: String,
    pub(crate) weight: u32,
    pub(crate) zone: Option<ZoneId>,
}

/// Upstreams by model and service.
#[derive(Debug, Default)]
pub(crate) struct RouteIndex {
    models: BTreeMap<ModelName, Vec<RouteEntry>>,
    services: BTreeMap<ServiceName, Vec<RouteEntry>>,
}

impl RouteIndex {
    pub(crate) fn new(fleet: &FleetView, config: &ConfigState) -> Self {
        let mut index = Self::default();
        for (zone, allocation) in fleet.allocations() {
            index.add_replica(fleet, config, zone, allocation);
        }
        for endpoint in config.endpoints().values().map(|recorded| &recorded.value) {
            let Ok(address) = endpoint.address.parse() else { continue };
            index.models.entry(endpoint.model.clone()).or_default().push(RouteEntry {
                key: UpstreamKey { name: endpoint.name.clone(), epoch: Epoch(0) },
                target: RouteTarget::Endpoint,
                address,
                pool: format!("endpoint/{}", endpoint.name),
                weight: endpoint.weight,
                zone: None,
            });
        }
        for (id, node, service) in fleet.service_nodes() {
            let (Ok(address), false) = (node.listed.address.parse(), fleet.is_leaving(id, config))
            else {
                continue;
            };
            index.services.entry(service.clone()).or_default().push(RouteEntry {
                key: UpstreamKey { name: id.to_string(), epoch: Epoch(0) },
                target: RouteTarget::Service(id.clone()),
                address,
                pool: service.to_string(),
                weight: 1,
                zone: Some(node.listed.zone.clone()),
            });
        }
        index
    }

    fn add_replica(
        &mut self,
        fleet: &FleetView,
        config: &ConfigState,
        zone: &ZoneId,
        allocation: &Allocation,
    ) {
        let Some(address) = fleet.address(allocation.head()) else { return };
        let spec = config.groups().get(&allocation.group);
        let entry = RouteEntry {
            key: UpstreamKey { name: allocation.head().to_string(), epoch: allocation.epoch },
            target: RouteTarget::Replica(allocation.clone()),
            address,
            pool: format!("group/{}", *allocation.group),
            // A replica of a deleted group keeps serving until it is drained.
            weight: spec.map_or(1, |spec| spec.value.weight),
            zone: Some(zone.clone()),
        };
        self.models.entry(allocation.model.clone()).or_default().push(entry);
    }

    /// Returns the models that have an upstream.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys()
    }

    pub(crate) fn model(&self, model: &ModelName) -> &[RouteEntry] {
        self.models.get(model).map(Vec::as_slice).unwrap_or_default()
    }

    pub(crate) fn service(&self, service: &ServiceName) -> &[RouteEntry] {
        self.services.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    pub(crate) fn contains(&self, key: &UpstreamKey) -> bool {
        self.entries().any(|entry| entry.key == *key)
    }

    /// Returns the names of upstreams in messages about rate limits.
    pub(crate) fn limit_names(&self) -> impl Iterator<Item = String> {
        self.entries().map(|entry| limit_name(&entry.key))
    }

    /// Returns the upstreams of each model and service as targets of connections.
    pub(crate) fn targets(&self) -> ServiceTargets {
        let targets = self.named_entries().map(|(service, entries)| {
            let targets = entries.iter().map(|entry| target_of(service, entry));
            (service.to_owned(), targets.collect())
        });
        targets.collect()
    }

    /// Returns the upstream that a peer names in its request for a tunnel.
    pub(crate) fn find_target(&self, full_name: &str) -> Option<UpstreamTarget> {
        self.named_entries().find_map(|(service, entries)| {
            let named = |entry: &&RouteEntry| is_full_name(full_name, service, &entry.key.name);
            entries.iter().find(named).map(|entry| target_of(service, entry))
        })
    }

    fn named_entries(&self) -> impl Iterator<Item = (&str, &Vec<RouteEntry>)> {
        let models = self.models.iter().map(|(model, entries)| (model.as_str(), entries));
        let services = self.services.iter().map(|(service, entries)| (service.as_str(), entries));
        models.chain(services)
    }

    fn entries(&self) -> impl Iterator<Item = &RouteEntry> {
        self.models.values().chain(self.services.values()).flatten()
    }
}

/// Records that a replica made progress, unless its head is known to have run about as recently.
fn record_progress(core: &DaemonCore, allocation: &Allocation, at: Instant) {
    let known = core.fleet().detector.last_answer(allocation.head());
    if known.is_none_or(|known| known + LOSS_POLL < at) {
        core.fleet_mut().record_progress(allocation, at);
    }
}

impl RouteEntry {
    /// Returns whether requests may be sent to this upstream by a configuration of this standing. Only
    /// the configuration names external endpoints; zones' tables name replicas, and the platform's
    /// list names services.
    pub(crate) fn is_allowed(&self, standing: ConfigStanding) -> bool {
        standing != ConfigStanding::Waiting || !matches!(self.target, RouteTarget::Endpoint)
    }

    /// Returns until when requests may be sent to this upstream, `None` if they may not.
    pub(crate) fn usable_until(&self, fleet: &FleetView, now: Instant) -> Option<Instant> {
        match &self.target {
            RouteTarget::Replica(allocation) => fleet.leases.serving_until(allocation, now).ok(),
            RouteTarget::Service(node) => fleet.leases.node_serving_until(node, now),
            // External endpoints are not probed; their answers show whether they accept requests.
            RouteTarget::Endpoint => Some(now + fleet.leases.lease()),
        }
    }

    /// Returns whether this upstream's lease has expired although it is not known to be lost.
    pub(crate) fn is_unconfirmed(&self, fleet: &FleetView, now: Instant) -> bool {
        let within = fleet.leases.lease() * MASS_SILENCE_LEASES;
        match &self.target {
            RouteTarget::Replica(allocation) => {
                fleet.leases.may_be_renewed(allocation, within, now)
                    && !fleet.is_lost(allocation, now)
            }
            RouteTarget::Service(node) => {
                let is_ready = fleet
                    .leases
                    .observation(node)
                    .is_some_and(|observation| observation.state == NodeState::Ready);
                // Nodes of other zones are known by reports only.
                let is_reported = fleet.leases.is_node_reported(node, within, now);
                (is_ready || is_reported)
                    && !fleet.gone.contains_key(node)
                    && !fleet.detector.is_lost(node)
            }
            RouteTarget::Endpoint => false,
        }
    }

    /// Waits until this upstream is known to have lost its requests in flight. The progress of one of
    /// them proves that the upstream runs.
    pub(crate) async fn wait_until_lost(&self, core: &DaemonCore, progress: &StreamProgress) {
        let RouteTarget::Replica(allocation) = &self.target else {
            return std::future::pending().await;
        };
        let started = Instant::now();
        loop {
            tokio::time::sleep(LOSS_POLL).await;
            // Earlier progress was that of another upstream.
            if let Some(at) = progress.last().filter(|at| *at > started) {
                record_progress(core, allocation, at);
            }
            if core.fleet().is_lost(allocation, Instant::now()) {
                return;
            }
        }
    }

    /// Returns this upstream as a candidate, `None` if requests may not be sent to it.
    pub(crate) fn to_candidate(&self, fleet: &FleetView, now: Instant) -> Option<RouteCandidate> {
        self.usable_until(fleet, now)?;
        let (reported, reported_at) = match &self.target {
            RouteTarget::Replica(allocation) => fleet.leases.load(allocation).unwrap_or((0, now)),
            RouteTarget::Service(node) => {
                fleet.leases.observation(node).map_or((0, now), |s| (s.load, s.seen))
            }
            RouteTarget::Endpoint => (0, now),
        };
        Some(RouteCandidate {
            key: self.key.clone(),
            pool: self.pool.clone(),
            weight: self.weight,
            zone: self.zone.clone(),
            reported,
            reported_at,
        })
    }
}
