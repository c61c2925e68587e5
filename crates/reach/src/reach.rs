//! The state of a process's paths, and the reactions to its changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use hollowbarrow_peer::PeerMesh;
use hollowbarrow_schema::{DaemonId, GatewayPlace, TunnelRefusal, ZoneId};
use hollowbarrow_upstream::UpstreamClient;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connect::ConnectTimes;
use crate::fate::FateReport;
use crate::instance::InstanceState;
use crate::paths::{PathChange, PathTable, UpstreamPath};
use crate::relays::RelayPeers;
use crate::shared_checks::SharedChecks;

/// Time for which no peer must have been able to carry a tunnel before a process that is isolated
/// counts as cut off.
const CUT_OFF_TIME: Duration = Duration::from_millis(500);

/// Time after which a process that has found no usable peer does not expect one soon.
const PEERS_AWAITED_TIME: Duration = Duration::from_secs(1);

/// An upstream to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamTarget {
    /// Name of what the upstream serves. Upstreams of one service are lost together if the path to
    /// them is.
    pub service: String,
    /// Name of the upstream, unique within its service.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

impl UpstreamTarget {
    /// Returns the name under which peers know the upstream.
    pub(crate) fn full_name(&self) -> String {
        format!("{}/{}", self.service, self.name)
    }
}

/// Returns whether a name in a peer's request for a tunnel is that of an upstream.
pub fn is_full_name(full_name: &str, service: &str, name: &str) -> bool {
    let rest = full_name.strip_prefix(service);
    rest.and_then(|rest| rest.strip_prefix('/')) == Some(name)
}

/// The upstreams that may be connected to, by service.
pub type ServiceTargets = BTreeMap<String, Vec<UpstreamTarget>>;

/// Is told what happens on the paths of a process.
pub trait ReachObserver: Send + Sync {
    /// An attempt to open a connection has ended: `connected`, `refused` or `timed_out` on the
    /// process's own path; `tunnel`, `peer_unreached` or `no_peer` through a peer.
    fn record_connect(&self, outcome: &'static str);

    /// The process has become isolated from a whole service, or is no longer isolated from any.
    fn record_change(&self, change: PathChange);
}

/// Opens connections to upstreams, and knows over which path each of them is reached.
pub struct Reach {
    pub(crate) client: UpstreamClient,
    pub(crate) times: ConnectTimes,
    pub(crate) observer: Arc<dyn ReachObserver>,
    pub(crate) mesh: OnceLock<PeerMesh>,
    pub(crate) check_due: Notify,
    paths: Mutex<PathTable>,
    relays: Mutex<RelayPeers>,
    /// Whether the path to a doubtful upstream is being checked.
    checking: AtomicBool,
    pub(crate) fate_checks: Arc<SharedChecks<FateReport>>,
    pub(crate) instance_checks: Arc<SharedChecks<InstanceState>>,
}

impl Reach {
    /// Creates the state of a process in this zone, which reaches all upstreams itself.
    pub fn new(
        client: UpstreamClient,
        times: ConnectTimes,
        zone: &ZoneId,
        observer: Arc<dyn ReachObserver>,
    ) -> Self {
        Self {
            client,
            times,
            observer,
            mesh: OnceLock::new(),
            check_due: Notify::new(),
            paths: Mutex::default(),
            relays: Mutex::new(RelayPeers::new(zone)),
            checking: AtomicBool::new(false),
            fate_checks: Arc::default(),
            instance_checks: Arc::default(),
        }
    }

    /// Sets the connections to peers. Without them no tunnels are opened.
    pub fn set_mesh(&self, mesh: PeerMesh) {
        let _ = self.mesh.set(mesh);
    }

    /// Replaces the peers that may carry tunnels.
    pub fn replace_peers(&self, places: impl IntoIterator<Item = GatewayPlace>) {
        self.relays().replace(places, Instant::now());
    }

    /// Returns whether this process is isolated from a whole service.
    pub fn is_isolated(&self) -> bool {
        self.paths().is_isolated()
    }

    /// Returns the services of which this process reaches no upstream itself, and those for which it
    /// has lately found no peer either. It needs peers for them and can carry no tunnels to them.
    pub fn unreached_services(&self) -> Vec<String> {
        let mut services: BTreeSet<String> =
            self.paths().isolated().map(ToOwned::to_owned).collect();
        services.extend(self.relays().lacking(Instant::now()).map(ToOwned::to_owned));
        services.into_iter().collect()
    }

    /// Returns whether no peer could be used for a service just now, so that one may be found soon.
    pub fn awaits_peers(&self, service: &str) -> bool {
        let (relays, now) = (self.relays(), Instant::now());
        let is_new = relays.failing_for(now) < PEERS_AWAITED_TIME;
        is_new && relays.lacking(now).any(|lacking| lacking == service)
    }

    /// Returns whether this process counts as reaching no upstream of a service itself.
    pub fn is_unreached(&self, service: &str) -> bool {
        self.paths().is_unreached(service)
    }

    /// Returns whether this process reaches no upstream of a service, and no peer that does.
    pub fn is_cut_off(&self) -> bool {
        self.is_isolated() && self.relays().failing_for(Instant::now()) >= CUT_OFF_TIME
    }

    /// Returns the address of an upstream to which a tunnel may be carried for a peer.
    ///
    /// # Errors
    ///
    /// Refuses if this process would need a tunnel itself.
    pub fn admit_tunnel(&self, target: &UpstreamTarget) -> Result<SocketAddr, TunnelRefusal> {
        match self.path(target) {
            UpstreamPath::Direct => Ok(target.address),
            UpstreamPath::Peer => Err(TunnelRefusal::Isolated),
        }
    }

    /// Records that a request over a tunnel failed in a way that its peer may have caused. Other
    /// tunnels through that peer are not used again.
    pub fn record_doubtful_peer(&self, peer: &DaemonId) {
        self.client.drop_carried_by(peer);
        self.relays().record_unusable(peer, Instant::now());
    }

    pub(crate) fn paths(&self) -> MutexGuard<'_, PathTable> {
        self.paths.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn relays(&self) -> MutexGuard<'_, RelayPeers> {
        self.relays.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn path(&self, target: &UpstreamTarget) -> UpstreamPath {
        self.paths().path(&target.service, &target.name)
    }

    /// Records that this process has opened a connection of its own to an upstream.
    pub(crate) fn record_connected(&self, target: &UpstreamTarget) {
        let change = self.paths().record_connected(&target.service, &target.name);
        self.apply(change, &target.service);
    }

    /// Records that a peer reached an upstream that this process did not reach at that time.
    pub(crate) fn record_bypassed(&self, target: &UpstreamTarget, peer: &str) {
        let UpstreamTarget { service, name, address } = target;
        let mut paths = self.paths();
        let known = paths.path(service, name) == UpstreamPath::Peer;
        let change = paths.record_bypassed(service, name, *address);
        drop(paths);
        // A request on an idle connection from before would be lost.
        self.client.drop_kept_at(*address);
        if !known {
            log::info!("event=upstream_bypassed upstream={name} service={service} peer={peer}");
            self.check_due.notify_one();
        }
        self.apply(change, service);
    }

    /// Forgets bypassed upstreams that no longer exist.
    pub(crate) fn retain(&self, targets: &ServiceTargets) {
        let exists = |service: &str, name: &str| {
            targets.get(service).is_some_and(|all| all.iter().any(|target| target.name == name))
        };
        let change = self.paths().retain(exists);
        self.apply(change, "none");
    }

    /// Records that a peer has carried a tunnel to an upstream that these other peers did not reach.
    pub(crate) fn record_carried(
        &self,
        peer: &DaemonId,
        target: &UpstreamTarget,
        others: &[DaemonId],
    ) {
        let now = Instant::now();
        let mut relays = self.relays();
        relays.record_success(peer, &target.service, now);
        others.iter().for_each(|other| relays.record_unreaching(other, &target.service, now));
    }

    /// Begins the check of a doubtful upstream, unless one is in progress.
    pub(crate) fn begin_check(&self) -> bool {
        !self.checking.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn end_check(&self) {
        self.checking.store(false, Ordering::Relaxed);
    }

    fn apply(&self, change: PathChange, service: &str) {
        match change {
            PathChange::None => return,
            PathChange::Isolated => {
                log::warn!("event=isolated service={service}");
                self.client.drop_kept();
            }
            PathChange::Reconnected => {
                log::info!("event=reconnected service={service}");
                self.client.drop_carried();
            }
        }
        self.observer.record_change(change);
        self.check_due.notify_one();
    }
}
