//! The stand-in nodes of a deployment, and the platform's node list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use hollowbarrow_schema::{
    DomainId, Epoch, NodeId, NodeState, PlatformList, PlatformNode, PlatformState, ServiceName,
    StartId, ZoneId,
};
use hyper::StatusCode;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::model::{MembersCheck, ModelConfig, ModelNode};
use crate::record::RunHistory;
use crate::rejection::RejectionControl;
use crate::serve::{NodePort, ProcessState, json_answer};
use crate::service::PlainService;

/// Number, placement and behaviour of the nodes of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    zones: Vec<ZoneId>,
    domains: u32,
    nodes: u32,
    accelerators: u32,
    services: u32,
    service: ServiceName,
    service_delay: Duration,
    model: ModelConfig,
    store_loads: usize,
    unfenced: bool,
}

impl FleetConfig {
    /// Creates a fleet with `domains` fabric domains in each availability zone and `nodes` model
    /// nodes in each domain.
    pub fn new(zones: &[ZoneId], domains: u32, nodes: u32) -> Self {
        Self {
            zones: zones.to_vec(),
            domains,
            nodes,
            accelerators: 2,
            services: 1,
            service: ServiceName::from("booking"),
            service_delay: Duration::from_millis(2),
            model: ModelConfig::default(),
            store_loads: 64,
            unfenced: false,
        }
    }

    /// Sets the timing and limits of the model workers.
    pub fn with_model(mut self, model: ModelConfig) -> Self {
        self.model = model;
        self
    }

    /// Sets how many nodes can load weights from the store concurrently.
    pub fn with_store_loads(mut self, loads: usize) -> Self {
        self.store_loads = loads;
        self
    }

    /// Makes every second node accept orders and requests without checking their epoch.
    pub fn with_unfenced_nodes(mut self, unfenced: bool) -> Self {
        self.unfenced = unfenced;
        self
    }

    /// Sets the time that the plain service takes for a request.
    pub fn with_service_delay(mut self, delay: Duration) -> Self {
        self.service_delay = delay;
        self
    }
}

struct SimulatedNode {
    listed: PlatformNode,
    port: NodePort,
    model: Option<Arc<ModelNode>>,
    rejection_control: RejectionControl,
}

/// Addresses that the node list of a zone has instead of a node's real one.
type AddressOverrides = Arc<RwLock<BTreeMap<(ZoneId, NodeId), SocketAddr>>>;

type SimulatedNodes = Arc<RwLock<BTreeMap<NodeId, SimulatedNode>>>;

/// The running stand-ins of a deployment.
pub struct StandinFleet {
    nodes: SimulatedNodes,
    history: RunHistory,
    platform: NodePort,
    address_overrides: AddressOverrides,
    last_start: Mutex<u64>,
    runtime: Handle,
}

impl StandinFleet {
    /// Starts every node on the current runtime.
    pub fn start(config: &FleetConfig) -> Self {
        let nodes: SimulatedNodes = Arc::default();
        let history = RunHistory::default();
        let store = Arc::new(Semaphore::new(config.store_loads));
        let mut start = 1;
        for zone in &config.zones {
            for domain in 0..config.domains {
                let domain = DomainId(format!("{}-d{domain}", **zone));
                for number in 0..config.nodes {
                    let id = NodeId(format!("{}-n{number}", *domain));
                    let checks_epoch = !config.unfenced || number % 2 == 0;
                    let node = ModelNode {
                        id: id.clone(),
                        config: config.model.clone(),
                        checks_orders: checks_epoch,
                        state: Mutex::new(ModelNode::new_state(StartId(start))),
                        history: history.clone(),
                        store: Arc::clone(&store),
                        members: missing_member_check(&nodes),
                        port: std::sync::OnceLock::new(),
                    };
                    start += 1;
                    let listed = list_node(&id, zone, &domain, config.accelerators);
                    let listed = PlatformNode { checks_orders: checks_epoch, ..listed };
                    add_model_node(&nodes, node, listed);
                }
            }
            for number in 0..config.services {
                let id = NodeId(format!("{}-app{number}", **zone));
                let service = Arc::new(PlainService {
                    node: id.to_string(),
                    delay: config.service_delay,
                    history: history.clone(),
                });
                let rejection_control = RejectionControl::default();
                let port =
                    rejection_control.serve(move |request| Arc::clone(&service).handle(request));
                let listed = PlatformNode {
                    service: Some(config.service.clone()),
                    address: port.address.to_string(),
                    ..list_node(&id, zone, &DomainId(format!("{}-app", **zone)), 0)
                };
                let node = SimulatedNode { listed, port, model: None, rejection_control };
                nodes.write().expect("the lock is not poisoned").insert(id, node);
            }
        }
        let listing = Arc::clone(&nodes);
        let address_overrides: AddressOverrides = Arc::default();
        let overriding = Arc::clone(&address_overrides);
        let platform = NodePort::serve(move |request| {
            let zone = ZoneId::from(request.uri().query().unwrap_or_default());
            let listing = Arc::clone(&listing);
            let overriding = Arc::clone(&overriding);
            async move {
                let nodes = listing.read().expect("the lock is not poisoned");
                let address_overrides = overriding.read().expect("the lock is not poisoned");
                let nodes = nodes
                    .iter()
                    .map(|(id, node)| match address_overrides.get(&(zone.clone(), id.clone())) {
                        Some(address) => {
                            PlatformNode { address: address.to_string(), ..node.listed.clone() }
                        }
                        None => node.listed.clone(),
                    })
                    .collect();
                json_answer(StatusCode::OK, &PlatformList { nodes })
            }
        });
        let runtime = Handle::current();
        Self { nodes, history, platform, address_overrides, last_start: Mutex::new(start), runtime }
    }

    /// Returns the URL of the platform's node list.
    pub fn platform_url(&self) -> String {
        format!("http://{}/nodes", self.platform.address)
    }

    /// Returns the URL of the node list for a zone, with the zone's address overrides.
    pub fn platform_url_for(&self, zone: &ZoneId) -> String {
        format!("{}?{}", self.platform_url(), **zone)
    }

    /// Replaces a node's address in the list of a zone, for example by that of a proxy between
    /// zones.
    pub fn override_address(&self, zone: &ZoneId, node: &NodeId, address: SocketAddr) {
        let key = (zone.clone(), node.clone());
        self.address_overrides.write().expect("the lock is not poisoned").insert(key, address);
    }

    /// Returns the IDs, zones and accelerators of all model workers whose process runs.
    pub fn running_models(&self) -> Vec<(NodeId, ZoneId, u32)> {
        let nodes = self.nodes.read().expect("the lock is not poisoned");
        let running = nodes.iter().filter(|(_, node)| {
            node.model.is_some() && node.port.process_state() == ProcessState::Running
        });
        running
            .map(|(id, node)| (id.clone(), node.listed.zone.clone(), node.listed.accelerators))
            .collect()
    }

    /// Returns the zone of a node.
    pub fn zone(&self, id: &NodeId) -> Option<ZoneId> {
        self.with_node(id, |node| node.listed.zone.clone())
    }

    /// Returns the record of all executions.
    pub fn history(&self) -> &RunHistory {
        &self.history
    }

    fn with_node<T>(&self, id: &NodeId, action: impl FnOnce(&mut SimulatedNode) -> T) -> Option<T> {
        self.nodes.write().expect("the lock is not poisoned").get_mut(id).map(action)
    }

    /// Returns the IDs of all model workers.
    pub fn model_nodes(&self) -> Vec<NodeId> {
        let nodes = self.nodes.read().expect("the lock is not poisoned");
        nodes.iter().filter(|(_, node)| node.model.is_some()).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the IDs of all nodes that run the plain service.
    pub fn service_nodes(&self) -> Vec<NodeId> {
        let nodes = self.nodes.read().expect("the lock is not poisoned");
        nodes.iter().filter(|(_, node)| node.model.is_none()).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the address of a node.
    pub fn address(&self, id: &NodeId) -> Option<SocketAddr> {
        self.with_node(id, |node| node.port.address)
    }

    /// Terminates a node's process.
    pub fn kill(&self, id: &NodeId) {
        self.with_node(id, |node| node.port.set_process_state(ProcessState::Stopped));
    }

    /// Makes a node reject requests with a `Retry-After` delay in whole seconds, or serve them
    /// again.
    pub fn reject_requests(&self, id: &NodeId, backoff: Option<Duration>) {
        self.with_node(id, |node| node.rejection_control.set_backoff(backoff));
    }

    /// Sets the limit that a node reports in its responses.
    pub fn set_limit(&self, id: &NodeId, limit: Option<&'static str>) {
        self.with_node(id, |node| node.rejection_control.set_limit(limit));
    }

    /// Returns the arrival times of a node's requests.
    pub fn arrivals(&self, id: &NodeId) -> Vec<Instant> {
        self.with_node(id, |node| node.rejection_control.arrivals()).unwrap_or_default()
    }

    /// Returns the times at which a node rejected requests.
    pub fn rejections(&self, id: &NodeId) -> Vec<Instant> {
        self.with_node(id, |node| node.rejection_control.rejections()).unwrap_or_default()
    }

    /// Suspends a node's process.
    pub fn pause(&self, id: &NodeId) {
        self.with_node(id, |node| node.port.set_process_state(ProcessState::Paused));
    }

    /// Resumes a paused node.
    pub fn resume(&self, id: &NodeId) {
        self.with_node(id, |node| node.port.set_process_state(ProcessState::Running));
    }

    /// Restarts a killed node with a new start ID and without its state.
    pub fn restart(&self, id: &NodeId) {
        let _entered = self.runtime.enter();
        let start = {
            let mut last = self.last_start.lock().expect("the mutex is not poisoned");
            *last += 1;
            StartId(*last)
        };
        self.with_node(id, |node| {
            if let Some(model) = &node.model {
                *model.state.lock().expect("the mutex is not poisoned") =
                    ModelNode::new_state(start);
            }
            node.port.set_process_state(ProcessState::Running);
        });
    }

    /// Restarts a killed node with a new start ID, but with the state that it had before.
    pub fn restart_with_state(&self, id: &NodeId) {
        let start = {
            let mut last = self.last_start.lock().expect("the mutex is not poisoned");
            *last += 1;
            StartId(*last)
        };
        self.with_node(id, |node| {
            if let Some(model) = &node.model {
                model.state.lock().expect("the mutex is not poisoned").start = start;
            }
            node.port.set_process_state(ProcessState::Running);
        });
    }

    /// Changes the state of a node in the platform's list, whatever the node's real state is.
    pub fn set_listed_state(&self, id: &NodeId, state: PlatformState) {
        self.with_node(id, |node| node.listed.state = state);
    }

    /// Changes the address of a node in the platform's list, for example to that of a proxy.
    pub fn set_listed_address(&self, id: &NodeId, address: SocketAddr) {
        self.with_node(id, |node| node.listed.address = address.to_string());
    }

    /// Returns the epoch and the state of all model nodes.
    pub fn node_states(&self) -> Vec<(NodeId, Epoch, NodeState)> {
        let nodes = self.nodes.read().expect("the lock is not poisoned");
        nodes
            .iter()
            .filter_map(|(id, node)| {
                let state = node.model.as_ref()?.state.lock().expect("the mutex is not poisoned");
                Some((id.clone(), state.epoch, state.state))
            })
            .collect()
    }

    /// Counts the orders with a stale epoch that nodes without an epoch check accepted.
    pub fn stale_orders_accepted(&self) -> u32 {
        let nodes = self.nodes.read().expect("the lock is not poisoned");
        let models = nodes.values().filter_map(|node| node.model.as_ref());
        models
            .map(|model| {
                model.state.lock().expect("the mutex is not poisoned").stale_orders_accepted
            })
            .sum()
    }

    /// Sets the owner of a node, as another system that uses the node would.
    pub fn set_owner(&self, id: &NodeId, owner: &str) {
        self.with_node(id, |node| {
            if let Some(model) = &node.model {
                let mut state = model.state.lock().expect("the mutex is not poisoned");
                state.owner = Some(owner.to_owned());
                state.state = NodeState::Ready;
            }
        });
    }
}

fn list_node(id: &NodeId, zone: &ZoneId, domain: &DomainId, accelerators: u32) -> PlatformNode {
    PlatformNode {
        node: id.clone(),
        address: String::new(),
        zone: zone.clone(),
        domain: domain.clone(),
        accelerators,
        state: PlatformState::Live,
        checks_orders: true,
        service: None,
    }
}

fn add_model_node(nodes: &SimulatedNodes, node: ModelNode, mut listed: PlatformNode) {
    let node = Arc::new(node);
    let serving = Arc::clone(&node);
    let rejection_control = RejectionControl::default();
    let port = rejection_control.serve(move |request| Arc::clone(&serving).handle(request));
    let _ = node.port.set(port.clone());
    listed.address = port.address.to_string();
    let id = node.id.clone();
    let fleet_node = SimulatedNode { listed, port, model: Some(node), rejection_control };
    nodes.write().expect("the lock is not poisoned").insert(id, fleet_node);
}

fn missing_member_check(nodes: &SimulatedNodes) -> MembersCheck {
    let nodes = Arc::downgrade(nodes);
    Arc::new(move |members, epoch| {
        let nodes = nodes.upgrade()?;
        let nodes = nodes.read().expect("the lock is not poisoned");
        let models = members.iter().filter_map(|member| nodes.get(member)?.model.as_ref());
        let since = models.filter_map(|model| model.member_missing_since(epoch)).min()?;
        Some(since.elapsed())
    })
}
