//! Assembles, starts and stops a daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock, RwLock};
use std::time::Duration;

use hollowbarrow_ingress::{ProcessGate, UsedConnections, bind_http, serve_http};
use hollowbarrow_log::{DriverConfig, LogDriver, ReplicaConfig, StoreLogError};
use hollowbarrow_peer::{MeshConfig, PeerMesh, StartMeshError};
use hollowbarrow_routing::retry::RetryBudget;
use hollowbarrow_routing::{
    AdmissionQueue, BackoffTable, CrashTracker, DuplicateGate, OrganisationLimiter, QueueLimits,
    RoutePicker, UpstreamLimits,
};
use hollowbarrow_schema::{
    DaemonId, FleetMessage, LogMessage, LogName, PeerMessage, Settings, StartId, ZoneId, ZoneTable,
};
use hollowbarrow_state::{ClaimState, ConfigState};
use hollowbarrow_upstream::{AnswerBudget, HttpEngine, UpstreamClient};
use hollowbarrow_zone::{AuthorityConfig, AuthorityMember, TableStore};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::callers::CallerHandler;
use crate::claims::sweep_claims;
use crate::config_standing::{SharedStanding, follow_standing};
use crate::core::DaemonCore;
use crate::digest::{handle_digest, send_digests};
use crate::fleet::FleetView;
use crate::observer::{probe_nodes, watch_platform};
use crate::operator::OperatorHandler;
use crate::paths::{RouteGate, new_reach};
use crate::permits::{handle_permit_ask, handle_permit_grant, maintain_permits};
use crate::quota::maintain_quotas;
use crate::telemetry::Telemetry;
use crate::timers::watch_timers;
use crate::zone_authority::{handle_authority_message, with_authority};
use crate::zone_control::control_zones;

/// Number of answers of the longest length for which there is memory at the same time.
const LONGEST_ANSWERS_AT_ONCE: usize = 2;
/// Largest number of prompt blocks for which the picker records the upstreams that cache them.
const PREFIX_BLOCKS: usize = 65_536;
/// Interval at which the state of removed upstreams is pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two checks for requests in flight during shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time for other daemons to take over this daemon's roles before it stops.
const HAND_OVER_WAIT: Duration = Duration::from_millis(200);

/// Why a daemon could not start.
#[derive(Debug, Error)]
pub enum StartDaemonError {
    /// A listener cannot be bound to its address.
    #[error("cannot listen on {address}, set as {field}")]
    Listen {
        /// Setting that contains the address.
        field: &'static str,
        /// The address.
        address: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A log's data folder cannot be opened.
    #[error("cannot open the log {name}")]
    OpenLog {
        /// Name of the log.
        name: &'static str,
        /// Cause.
        source: StoreLogError,
    },
    /// The mesh of connections between daemons cannot be started.
    #[error("cannot serve other daemons")]
    Mesh(#[from] StartMeshError),
    /// The trace file cannot be opened.
    #[error("cannot open the trace file {path}")]
    TraceFile {
        /// Path of the file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
}

/// Listening sockets of a daemon, bound before it starts so that the kernel can assign ports.
#[derive(Debug)]
pub struct DaemonListeners {
    callers: TcpListener,
    peers: std::net::TcpListener,
    operators: TcpListener,
}

impl DaemonListeners {
    /// Binds the addresses of the settings; must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound; the error names the setting.
    pub fn bind(settings: &Settings) -> Result<Self, StartDaemonError> {
        let fail = |field: &'static str, address: &str| {
            let address = address.to_owned();
            move |source| StartDaemonError::Listen { field, address, source }
        };
        let Settings { listen, peer_listen, operator_listen, .. } = settings;
        Ok(Self {
            callers: bind_http(listen).map_err(fail("listen", listen))?,
            peers: std::net::TcpListener::bind(peer_listen)
                .map_err(fail("peer_listen", peer_listen))?,
            operators: bind_http(operator_listen)
                .map_err(fail("operator_listen", operator_listen))?,
        })
    }

    /// Uses an already bound socket for connections from other daemons.
    pub fn with_peers(mut self, peers: std::net::TcpListener) -> Self {
        self.peers = peers;
        self
    }
}

/// A running daemon.
pub struct Daemon {
    core: Arc<DaemonCore>,
    callers: SocketAddr,
    operators: SocketAddr,
    stop: watch::Sender<bool>,
}

/// Shared handle of a daemon, for example to stop it from another task.
pub type DaemonHandle = Arc<Daemon>;

impl Daemon {
    /// Starts a daemon on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if a socket, folder or file of the settings cannot be used.
    pub fn start(settings: Settings, listeners: DaemonListeners) -> Result<Self, StartDaemonError> {
        Self::start_with(settings, listeners, false)
    }

    /// Starts a daemon; with `rebuild_all`, any loss rebuilds all replicas, for comparisons.
    ///
    /// # Errors
    ///
    /// As for [`Daemon::start`].
    pub fn start_with(
        settings: Settings,
        listeners: DaemonListeners,
        rebuild_all: bool,
    ) -> Result<Self, StartDaemonError> {
        let core = Arc::new(DaemonCore { rebuild_all, ..build_core(settings)? });
        let (stop, stopped) = watch::channel(false);
        let DaemonListeners { callers, peers, operators } = listeners;
        start_mesh(&core, peers)?;
        let bound = |listener: &TcpListener, field, address: &str| {
            let address = address.to_owned();
            let fail = |source| StartDaemonError::Listen { field, address, source };
            listener.local_addr().map_err(fail)
        };
        let (callers_listener, operators_listener) = (callers, operators);
        let callers = bound(&callers_listener, "listen", &core.settings.listen)?;
        let operators =
            bound(&operators_listener, "operator_listen", &core.settings.operator_listen)?;
        let (reach, routed) = (Arc::clone(&core.reach), Arc::clone(&core));
        tokio::spawn(reach.run_checks(move || routed.routes().targets()));
        tokio::spawn(watch_platform(Arc::clone(&core)));
        tokio::spawn(watch_timers(Arc::clone(&core)));
        tokio::spawn(probe_nodes(Arc::clone(&core)));
        tokio::spawn(send_digests(Arc::clone(&core)));
        tokio::spawn(control_zones(Arc::clone(&core)));
        tokio::spawn(maintain_quotas(Arc::clone(&core)));
        tokio::spawn(sweep_claims(Arc::clone(&core)));
        tokio::spawn(follow_config(Arc::clone(&core)));
        tokio::spawn(follow_standing(Arc::clone(&core)));
        tokio::spawn(prune_upstream_state(Arc::clone(&core)));
        tokio::spawn(maintain_permits(Arc::clone(&core)));
        let gate = core.gate.clients_within("callers", core.settings.limits.connections);
        let handler = Arc::new(CallerHandler(Arc::clone(&core)));
        tokio::spawn(serve_http(callers_listener, stopped.clone(), handler, gate));
        let gate = core.gate.checks_within("operators", core.settings.limits.connections);
        let handler = Arc::new(OperatorHandler(Arc::clone(&core)));
        tokio::spawn(serve_http(operators_listener, stopped, handler, gate));
        core.ready.store(true, Ordering::Relaxed);
        log::info!(
            "event=started id={} zone={} callers={callers} operators={operators}",
            **core.id(),
            **core.zone()
        );
        Ok(Self { core, callers, operators, stop })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Stops gracefully: turns readiness off, serves until the load balancer has noticed that,
    /// hands over its roles, waits until the answers to all requests are written, and returns.
    pub async fn stop(&self) {
        let core = &self.core;
        let timing = &core.settings.timing;
        log::info!("event=stopping in_flight={}", core.in_flight.load(Ordering::Relaxed));
        core.ready.store(false, Ordering::Relaxed);
        core.stopping.store(true, Ordering::Relaxed);
        core.stop_tunnels();
        tokio::time::sleep(Duration::from_millis(timing.balancer_ms)).await;
        let zones: Vec<ZoneId> = core.authorities().keys().cloned().collect();
        for zone in zones {
            with_authority(core, &zone, AuthorityMember::hand_over);
        }
        core.config_log.hand_over();
        core.claims_log.hand_over();
        self.stop.send_replace(true);
        let limit = Instant::now() + Duration::from_millis(timing.drain_ms);
        while core.is_busy() && Instant::now() < limit {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        tokio::time::sleep(HAND_OVER_WAIT).await;
        core.config_log.stop();
        core.claims_log.stop();
        core.telemetry.flush();
        let unwritten = core.used_connections.count();
        let in_flight = core.in_flight.load(Ordering::Relaxed);
        log::info!("event=stopped in_flight={in_flight} unwritten={unwritten}");
    }
}

fn build_core(settings: Settings) -> Result<DaemonCore, StartDaemonError> {
    let now = Instant::now();
    let outbox: Arc<OnceLock<PeerMesh>> = Arc::new(OnceLock::new());
    let config_log = start_log(&settings, "config", ConfigState::new(), LogName::Config, &outbox)?;
    let claims_log = start_log(&settings, "claims", ClaimState::new(), LogName::Claims, &outbox)?;
    let mut limiter = OrganisationLimiter::new(settings.peers.len() as u32);
    for organisation in &settings.organisations {
        let rate = organisation.tokens_per_second as f64;
        limiter = limiter.with_organisation(&organisation.id, rate, organisation.concurrent, now);
    }
    let trace_file = settings.trace_file.as_deref().map(Path::new);
    let telemetry = Telemetry::new(trace_file).map_err(|source| StartDaemonError::TraceFile {
        path: settings.trace_file.clone().unwrap_or_default(),
        source,
    })?;
    let answer_bytes = usize::try_from(settings.limits.answer_bytes).unwrap_or(usize::MAX);
    let budget = AnswerBudget::new(answer_bytes.saturating_mul(LONGEST_ANSWERS_AT_ONCE));
    let client = UpstreamClient::new().with_answer_budget(budget);
    let reach = new_reach(&settings, &client, &telemetry);
    let limits = QueueLimits { slots: settings.limits.streams, waiting: settings.limits.queue };
    Ok(DaemonCore {
        config_log,
        claims_log,
        mesh: outbox,
        fleet: RwLock::new(FleetView::new(Duration::from_millis(settings.timing.lease_ms))),
        routes: RwLock::default(),
        authorities: Mutex::new(build_authorities(&settings, now)),
        pending: Default::default(),
        picker: Mutex::new(RoutePicker::new(&settings.zone, PREFIX_BLOCKS)),
        admission: AdmissionQueue::new(limits),
        limiter,
        budget: RetryBudget::new(now),
        crashes: Mutex::new(CrashTracker::new()),
        backoffs: Mutex::new(BackoffTable::new()),
        limits: Mutex::new(UpstreamLimits::new(rand::random())),
        limit_coordinator: Mutex::default(),
        permit_requested: Notify::new(),
        permits_granted: Notify::new(),
        duplicates: DuplicateGate::new(),
        client,
        reach,
        engine: HttpEngine::new(),
        telemetry,
        timer_delays: Mutex::default(),
        started: now,
        standing: SharedStanding::default(),
        ready: AtomicBool::new(false),
        stopping: AtomicBool::new(false),
        in_flight: AtomicU32::new(0),
        used_connections: UsedConnections::default(),
        gate: ProcessGate::new(settings.limits.memory_mb, None),
        rebuild_all: false,
        settings,
    })
}

fn start_log<M: hollowbarrow_log::StateMachine>(
    settings: &Settings,
    name: &'static str,
    machine: M,
    log: LogName,
    outbox: &Arc<OnceLock<PeerMesh>>,
) -> Result<LogDriver<M>, StartDaemonError> {
    let peers: Vec<DaemonId> = settings.peers.iter().map(|peer| peer.id.clone()).collect();
    let voters: Vec<DaemonId> =
        settings.peers.iter().filter(|peer| peer.voter).map(|peer| peer.id.clone()).collect();
    let replica = ReplicaConfig::new(&settings.id, &peers, &voters)
        .with_learners(log == LogName::Config)
        .with_election(Duration::from_millis(settings.timing.election_ms))
        .with_seed(rand::random());
    let folder = settings.data.as_ref().map(|data| Path::new(data).join(name));
    let outbox = Arc::clone(outbox);
    let send = move |to: &DaemonId, message: LogMessage| {
        if let Some(mesh) = outbox.get() {
            mesh.send(to, &PeerMessage::Log { name: log, message });
        }
    };
    LogDriver::start(DriverConfig::new(replica, folder).with_name(name), machine, send)
        .map_err(|source| StartDaemonError::OpenLog { name, source })
}

/// Creates this daemon's members of zone authorities: of the local zone and of zones for which it
/// is the witness.
fn build_authorities(settings: &Settings, now: Instant) -> BTreeMap<ZoneId, AuthorityMember> {
    let mut authorities = BTreeMap::new();
    for zone in settings.peers.iter().map(|peer| &peer.zone) {
        let members = hollowbarrow_zone::zone_members(zone, &settings.peers);
        if !members.contains(&settings.id) || authorities.contains_key(zone) {
            continue;
        }
        let config = AuthorityConfig::new(&settings.id, zone, &members)
            .with_lease(Duration::from_millis(settings.timing.authority_ms))
            .with_drift_permille(settings.timing.drift_permille);
        let store = settings.data.as_ref().map(|data| {
            let path = Path::new(data).join(format!("table-{}", **zone));
            Box::new(FileTableStore { path }) as Box<dyn TableStore>
        });
        // A witness becomes a candidate later than the zone's own daemons.
        let delay = if *zone == settings.zone { 0.0 } else { 1.0 };
        let jitter = (delay + rand::random::<f64>()) / 2.0;
        let start = StartId(rand::random());
        authorities.insert(zone.clone(), AuthorityMember::new(config, start, store, jitter, now));
    }
    authorities
}

/// Stores a zone's table in a file.
struct FileTableStore {
    path: std::path::PathBuf,
}

impl TableStore for FileTableStore {
    fn load(&mut self) -> Option<ZoneTable> {
        serde_json::from_slice(&std::fs::read(&self.path).ok()?).ok()
    }

    fn save(&mut self, table: &ZoneTable) -> bool {
        let saved = || -> std::io::Result<()> {
            let temporary = self.path.with_extension("new");
            let bytes = serde_json::to_vec(table)?;
            let mut file = std::fs::File::create(&temporary)?;
            std::io::Write::write_all(&mut file, &bytes)?;
            file.sync_all()?;
            std::fs::rename(&temporary, &self.path)?;
            let folder = self.path.parent().unwrap_or(&self.path);
            std::fs::File::open(folder)?.sync_all()
        };
        let outcome = saved();
        if let Err(error) = &outcome {
            log::error!("event=table_unsaved path={:?} reason={:?}", self.path, error.to_string());
        }
        outcome.is_ok()
    }
}

fn start_mesh(
    core: &Arc<DaemonCore>,
    listener: std::net::TcpListener,
) -> Result<(), StartDaemonError> {
    let settings = &core.settings;
    let mut config =
        MeshConfig::new(&settings.id, &settings.cluster_keys).with_gate(core.gate.handshakes());
    for peer in settings.peers.iter().filter(|peer| peer.id != settings.id) {
        if let Ok(address) = peer.address.parse() {
            config = config.with_peer(&peer.id, address);
        }
    }
    let handler_core = Arc::downgrade(core);
    let handler = move |from: &DaemonId, message| {
        if let Some(core) = handler_core.upgrade() {
            handle_message(&core, from, message);
        }
    };
    let gate = RouteGate(Arc::downgrade(core));
    let mesh = PeerMesh::start_with_tunnels(config, listener, handler, gate)?;
    core.reach.set_mesh(mesh.clone());
    let _ = core.mesh.set(mesh);
    Ok(())
}

fn handle_message(core: &Arc<DaemonCore>, from: &DaemonId, message: PeerMessage) {
    match message {
        PeerMessage::Fleet(FleetMessage::PermitAsk(ask)) => handle_permit_ask(core, from, &ask),
        PeerMessage::Fleet(FleetMessage::PermitGrant(grant)) => handle_permit_grant(core, &grant),
        // Other fleet messages belong to clusters of gateways and controllers.
        PeerMessage::Fleet(_) => log::debug!("event=message_refused peer={}", **from),
        PeerMessage::Log { name: LogName::Config, message } => {
            core.config_log.deliver(from, message);
        }
        PeerMessage::Log { name: LogName::Claims, message } => {
            core.claims_log.deliver(from, message);
        }
        PeerMessage::Authority { zone, message } => {
            handle_authority_message(core, from, &zone, message)
        }
        PeerMessage::Digest(digest) => handle_digest(core, from, digest),
        PeerMessage::Call(call) => {
            let core = Arc::clone(core);
            let from = from.clone();
            tokio::spawn(async move { core.handle_call(from, call).await });
        }
        PeerMessage::Reply(reply) => core.pending.resolve(reply),
    }
}

/// Rebuilds the routes whenever the applied configuration changes.
async fn follow_config(core: Arc<DaemonCore>) {
    let mut views = core.config_log.watch();
    let mut applied = hollowbarrow_schema::LogIndex(0);
    while views.changed().await.is_ok() {
        let now_applied = views.borrow_and_update().applied;
        if now_applied != applied {
            applied = now_applied;
            core.rebuild_routes();
        }
    }
}

/// Prunes counts, backoffs and rate limits of upstreams that no route uses any more.
async fn prune_upstream_state(core: Arc<DaemonCore>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        let routes = core.routes();
        if let Some(oldest) = Instant::now().checked_sub(core.lease() * 2) {
            core.picker().prune(oldest, |key| routes.contains(key));
            core.backoffs().prune(|key| routes.contains(key), Instant::now());
            core.limits().prune(|name| routes.limit_names().any(|known| known == name));
        }
    }
}
