//! All stand-in nodes of a deployment and the platform's list of them.

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
use crate::serve::{NodePort, Power, json_answer};
use crate::service::PlainService;
use crate::turn_away::TurnAwaySwitch;

/// Which nodes a fleet has.
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
    unchecked: bool,
}

impl FleetConfig {
    /// Creates a fleet over availability zones with some fabric domains of some nodes each.
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
            unchecked: false,
        }
    }

    /// Sets the model workers' times and limits.
    pub fn with_model(mut self, model: ModelConfig) -> Self {
        self.model = model;
        self
    }

    /// Sets how many nodes may load from the store at once.
    pub fn with_store_loads(mut self, loads: usize) -> Self {
        self.store_loads = loads;
        self
    }

    /// Makes every second node take orders without checking their epoch.
    pub fn with_unfenced_nodes(mut self, unchecked: bool) -> Self {
        self.unchecked = unchecked;
        self
    }

    /// Sets how long the plain service takes.
    pub fn with_service_delay(mut self, delay: Duration) -> Self {
        self.service_delay = delay;
        self
    }
}

struct FleetNode {
    listed: PlatformNode,
    port: NodePort,
    model: Option<Arc<ModelNode>>,
    switch: TurnAwaySwitch,
}

/// Addresses that a zone is told in place of a node's own.
type Detours = Arc<RwLock<BTreeMap<(ZoneId, NodeId), SocketAddr>>>;

type FleetNodes = Arc<RwLock<BTreeMap<NodeId, FleetNode>>>;

/// Running stand-ins.
pub struct StandinFleet {
    nodes: FleetNodes,
    history: RunHistory,
    platform: NodePort,
    detours: Detours,
    next_start: Mutex<u64>,
    runtime: Handle,
}

impl StandinFleet {
    /// Starts every node on the current runtime.
    pub fn start(config: &FleetConfig) -> Self {
        let nodes: FleetNodes = Arc::default();
        let history = RunHistory::default();
        let store = Arc::new(Semaphore::new(config.store_loads));
        let mut start = 1;
        for zone in &config.zones {
            for domain in 0..config.domains {
                let domain = DomainId(format!("{}-d{domain}", **zone));
                for number in 0..config.nodes {
                    let id = NodeId(format!("{}-n{number}", *domain));
                    let checks = !config.unchecked || number % 2 == 0;
                    let node = ModelNode {
                        id: id.clone(),
                        config: config.model.clone(),
                        checks_orders: checks,
                        state: Mutex::new(ModelNode::new_state(StartId(start))),
                        history: history.clone(),
                        store: Arc::clone(&store),
                        members: members_check(&nodes),
                        port: std::sync::OnceLock::new(),
                    };
                    start += 1;
                    let listed = list_node(&id, zone, &domain, config.accelerators);
                    let listed = PlatformNode { checks_orders: checks, ..listed };
                    add_model(&nodes, node, listed);
                }
            }
            for number in 0..config.services {
                let id = NodeId(format!("{}-app{number}", **zone));
                let service = Arc::new(PlainService {
                    node: id.to_string(),
                    delay: config.service_delay,
                    history: history.clone(),
                });
                let switch = TurnAwaySwitch::default();
                let port = switch.serve(move |request| Arc::clone(&service).handle(request));
                let listed = PlatformNode {
                    service: Some(config.service.clone()),
                    address: port.address.to_string(),
                    ..list_node(&id, zone, &DomainId(format!("{}-app", **zone)), 0)
                };
                let node = FleetNode { listed, port, model: None, switch };
                nodes.write().expect("no holder of the lock panics").insert(id, node);
            }
        }
        let listing = Arc::clone(&nodes);
        let detours: Detours = Arc::default();
        let detouring = Arc::clone(&detours);
        let platform = NodePort::serve(move |request| {
            let zone = ZoneId::from(request.uri().query().unwrap_or_default());
            let listing = Arc::clone(&listing);
            let detouring = Arc::clone(&detouring);
            async move {
                let nodes = listing.read().expect("no holder of the lock panics");
                let detours = detouring.read().expect("no holder of the lock panics");
                let nodes = nodes
                    .iter()
                    .map(|(id, node)| match detours.get(&(zone.clone(), id.clone())) {
                        Some(detour) => {
                            PlatformNode { address: detour.to_string(), ..node.listed.clone() }
                        }
                        None => node.listed.clone(),
                    })
                    .collect();
                json_answer(StatusCode::OK, &PlatformList { nodes })
            }
        });
        let runtime = Handle::current();
        Self { nodes, history, platform, detours, next_start: Mutex::new(start), runtime }
    }

    /// URL of the platform's list.
    pub fn platform_url(&self) -> String {
        format!("http://{}/nodes", self.platform.address)
    }

    /// URL of the list as a zone sees it, with the detours set for that zone.
    pub fn platform_url_for(&self, zone: &ZoneId) -> String {
        format!("{}?{}", self.platform_url(), **zone)
    }

    /// Makes a zone's list give another address for a node, as of a proxy between zones.
    pub fn override_address(&self, zone: &ZoneId, node: &NodeId, address: SocketAddr) {
        let key = (zone.clone(), node.clone());
        self.detours.write().expect("no holder of the lock panics").insert(key, address);
    }

    /// Names, zones and accelerators of all model workers whose process runs.
    pub fn live_models(&self) -> Vec<(NodeId, ZoneId, u32)> {
        let nodes = self.nodes.read().expect("no holder of the lock panics");
        let live =
            nodes.iter().filter(|(_, node)| node.model.is_some() && node.port.power() == Power::On);
        live.map(|(id, node)| (id.clone(), node.listed.zone.clone(), node.listed.accelerators))
            .collect()
    }

    /// Zone of a node.
    pub fn zone(&self, id: &NodeId) -> Option<ZoneId> {
        self.with_node(id, |node| node.listed.zone.clone())
    }

    /// What ran.
    pub fn history(&self) -> &RunHistory {
        &self.history
    }

    fn with_node<T>(&self, id: &NodeId, action: impl FnOnce(&mut FleetNode) -> T) -> Option<T> {
        self.nodes.write().expect("no holder of the lock panics").get_mut(id).map(action)
    }

    /// Names of all model workers.
    pub fn model_nodes(&self) -> Vec<NodeId> {
        let nodes = self.nodes.read().expect("no holder of the lock panics");
        nodes.iter().filter(|(_, node)| node.model.is_some()).map(|(id, _)| id.clone()).collect()
    }

    /// Names of all nodes that run the plain service.
    pub fn service_nodes(&self) -> Vec<NodeId> {
        let nodes = self.nodes.read().expect("no holder of the lock panics");
        nodes.iter().filter(|(_, node)| node.model.is_none()).map(|(id, _)| id.clone()).collect()
    }

    /// Address of a node.
    pub fn address(&self, id: &NodeId) -> Option<SocketAddr> {
        self.with_node(id, |node| node.port.address)
    }

    /// Ends a node's process.
    pub fn kill(&self, id: &NodeId) {
        self.with_node(id, |node| node.port.set_power(Power::Off));
    }

    /// Has a node turn requests away and ask for no more for some whole seconds, or serve again.
    pub fn reject_requests(&self, id: &NodeId, backoff: Option<Duration>) {
        self.with_node(id, |node| node.switch.set(backoff));
    }

    /// Has a node name a limit in its answers, or none.
    pub fn set_limit(&self, id: &NodeId, limit: Option<&'static str>) {
        self.with_node(id, |node| node.switch.name_limit(limit));
    }

    /// When requests came to a node.
    pub fn arrivals(&self, id: &NodeId) -> Vec<Instant> {
        self.with_node(id, |node| node.switch.arrivals()).unwrap_or_default()
    }

    /// When a node turned requests away.
    pub fn rejections(&self, id: &NodeId) -> Vec<Instant> {
        self.with_node(id, |node| node.switch.turned_away()).unwrap_or_default()
    }

    /// Stops a node in place, as if frozen.
    pub fn pause(&self, id: &NodeId) {
        self.with_node(id, |node| node.port.set_power(Power::Paused));
    }

    /// Lets a paused node go on.
    pub fn resume(&self, id: &NodeId) {
        self.with_node(id, |node| node.port.set_power(Power::On));
    }

    /// Starts a killed node again, empty and with another start.
    pub fn restart(&self, id: &NodeId) {
        let _entered = self.runtime.enter();
        let start = {
            let mut next = self.next_start.lock().expect("no holder of the lock panics");
            *next += 1;
            StartId(*next)
        };
        self.with_node(id, |node| {
            if let Some(model) = &node.model {
                *model.state.lock().expect("no holder of the lock panics") =
                    ModelNode::new_state(start);
            }
            node.port.set_power(Power::On);
        });
    }

    /// Starts a killed node again with another start, pretending to hold what it held.
    pub fn restart_with_state(&self, id: &NodeId) {
        let start = {
            let mut next = self.next_start.lock().expect("no holder of the lock panics");
            *next += 1;
            StartId(*next)
        };
        self.with_node(id, |node| {
            if let Some(model) = &node.model {
                model.state.lock().expect("no holder of the lock panics").start = start;
            }
            node.port.set_power(Power::On);
        });
    }

    /// Changes what the platform's list says of a node, which need not be so.
    pub fn set_listed_state(&self, id: &NodeId, state: PlatformState) {
        self.with_node(id, |node| node.listed.state = state);
    }

    /// Changes the address that the platform's list gives for a node, as to a proxy.
    pub fn set_listed_address(&self, id: &NodeId, address: SocketAddr) {
        self.with_node(id, |node| node.listed.address = address.to_string());
    }

    /// Nodes that hold an epoch, with it and their state.
    pub fn node_states(&self) -> Vec<(NodeId, Epoch, NodeState)> {
        let nodes = self.nodes.read().expect("no holder of the lock panics");
        nodes
            .iter()
            .filter_map(|(id, node)| {
                let state = node.model.as_ref()?.state.lock().expect("no holder panics");
                Some((id.clone(), state.epoch, state.state))
            })
            .collect()
    }

    /// Orders that nodes which do not check took although a later one stood.
    pub fn stale_orders_accepted(&self) -> u32 {
        let nodes = self.nodes.read().expect("no holder of the lock panics");
        let models = nodes.values().filter_map(|node| node.model.as_ref());
        models
            .map(|model| model.state.lock().expect("no holder panics").stale_orders_accepted)
            .sum()
    }

    /// Makes a node be held by another owner, as the other half of a move would.
    pub fn set_owner(&self, id: &NodeId, owner: &str) {
        self.with_node(id, |node| {
            if let Some(model) = &node.model {
                let mut state = model.state.lock().expect("no holder of the lock panics");
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

fn add_model(nodes: &FleetNodes, node: ModelNode, mut listed: PlatformNode) {
    let node = Arc::new(node);
    let serving = Arc::clone(&node);
    let switch = TurnAwaySwitch::default();
    let port = switch.serve(move |request| Arc::clone(&serving).handle(request));
    let _ = node.port.set(port.clone());
    listed.address = port.address.to_string();
    let id = node.id.clone();
    let fleet_node = FleetNode { listed, port, model: Some(node), switch };
    nodes.write().expect("no holder of the lock panics").insert(id, fleet_node);
}

fn members_check(nodes: &FleetNodes) -> MembersCheck {
    let nodes = Arc::downgrade(nodes);
    Arc::new(move |members, epoch| {
        let nodes = nodes.upgrade()?;
        let nodes = nodes.read().expect("no holder of the lock panics");
        let models = members.iter().filter_map(|member| nodes.get(member)?.model.as_ref());
        let since = models.filter_map(|model| model.missing_since(epoch)).min()?;
        Some(since.elapsed())
    })
}
