//! What all parts of a daemon share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hollowbarrow_log::LogDriver;
use hollowbarrow_peer::PeerMesh;
use hollowbarrow_routing::retry::RetryBudget;
use hollowbarrow_routing::{
    AdmissionQueue, BackoffTable, ConfigFreshness, CrashTracker, DuplicateGate, LimitCoordinator,
    OrganisationLimiter, QuarantineState, RoutePicker, UpstreamLimits, probe_delay,
};
use hollowbarrow_schema::{DaemonId, PeerMessage, RequestDigest, Settings, ZoneId};
use hollowbarrow_state::{ClaimState, ConfigState};
use hollowbarrow_upstream::{HttpEngine, UpstreamClient};
use hollowbarrow_zone::{AuthorityMember, zone_members};
use tokio::sync::Notify;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::FleetView;
use crate::proposals::PendingCalls;
use crate::routes::RouteIndex;
use crate::telemetry::Telemetry;

/// Election times for which the leader's word on the configuration holds. A daemon that does not
/// vote hears it once in each; five are a third of the time in which a change has to be in force.
const CONFIRMATION_ELECTIONS: u64 = 5;

/// Shared state of a daemon.
///
/// Locks are taken in one order: the configuration, the fleet, then any other
/// alone. Nobody waits for a message or a disk while holding one.
pub(crate) struct DaemonCore {
    pub(crate) settings: Settings,
    pub(crate) config_log: LogDriver<ConfigState>,
    pub(crate) claims_log: LogDriver<ClaimState>,
    pub(crate) mesh: Arc<OnceLock<PeerMesh>>,
    pub(crate) fleet: RwLock<FleetView>,
    pub(crate) routes: RwLock<Arc<RouteIndex>>,
    pub(crate) authorities: Mutex<BTreeMap<ZoneId, AuthorityMember>>,
    pub(crate) pending: PendingCalls,
    pub(crate) picker: Mutex<RoutePicker>,
    pub(crate) admission: AdmissionQueue,
    pub(crate) limiter: OrganisationLimiter,
    pub(crate) budget: RetryBudget,
    pub(crate) crashes: Mutex<CrashTracker>,
    /// Upstreams that want no requests, by the name of the node or endpoint.
    pub(crate) backoffs: Mutex<BackoffTable<String>>,
    /// Upstreams that take only so many requests a second, by name and epoch.
    pub(crate) limits: Mutex<UpstreamLimits>,
    /// What this daemon issues of them while it leads.
    pub(crate) limit_coordinator: Mutex<LimitCoordinator>,
    /// Told when a request waits for a permit.
    pub(crate) permit_requested: Notify,
    /// Told when the issuer of permits has answered.
    pub(crate) permits_granted: Notify,
    /// Copies of requests that nobody has seen answered.
    pub(crate) duplicates: DuplicateGate,
    pub(crate) client: UpstreamClient,
    pub(crate) engine: HttpEngine,
    pub(crate) telemetry: Telemetry,
    pub(crate) started: Instant,
    pub(crate) ready: AtomicBool,
    pub(crate) stopping: AtomicBool,
    pub(crate) in_flight: AtomicU32,
    /// Whether any loss dissolves every replica of the zone; only for comparisons.
    pub(crate) rebuild_all: bool,
}

impl DaemonCore {
    pub(crate) fn id(&self) -> &DaemonId {
        &self.settings.id
    }

    pub(crate) fn zone(&self) -> &ZoneId {
        &self.settings.zone
    }

    /// Region of this daemon's availability zone.
    pub(crate) fn region(&self) -> &str {
        let local = self.settings.peers.iter().find(|peer| peer.id == self.settings.id);
        local.map_or("", |peer| peer.region.as_str())
    }

    pub(crate) fn lease(&self) -> Duration {
        Duration::from_millis(self.settings.timing.lease_ms)
    }

    pub(crate) fn fleet(&self) -> RwLockReadGuard<'_, FleetView> {
        self.fleet.read().expect("no holder of the lock panics")
    }

    pub(crate) fn fleet_mut(&self) -> RwLockWriteGuard<'_, FleetView> {
        self.fleet.write().expect("no holder of the lock panics")
    }

    pub(crate) fn routes(&self) -> Arc<RouteIndex> {
        Arc::clone(&self.routes.read().expect("no holder of the lock panics"))
    }

    /// Requests under which upstreams end.
    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        self.crashes.lock().expect("no holder of the lock panics")
    }

    /// For how long a request is to be sent to no upstream; none where it may be.
    pub(crate) fn quarantine_left(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        let over = match self.crashes().quarantine_state(request, now)? {
            QuarantineState::Active(left) => return Some(left),
            QuarantineState::Expired(over) => over,
        };
        let local = xxh3_64(self.id().as_bytes());
        let window = now.saturating_duration_since(self.started).as_secs();
        probe_delay(local, request, window, self.daemons(), over)
    }

    /// Whether the configuration here holds all that has to be in force.
    pub(crate) fn is_config_current(&self, now: Instant) -> bool {
        let view = self.config_log.view();
        let freshness = ConfigFreshness {
            version: *view.applied,
            known: *view.applied,
            confirmation_age: view.complete.map(|at| now.saturating_duration_since(at)),
        };
        let max_age = CONFIRMATION_ELECTIONS * self.settings.timing.election_ms;
        freshness.is_current(Duration::from_millis(max_age))
    }

    /// Upstreams that want no requests from this daemon.
    pub(crate) fn backoffs(&self) -> MutexGuard<'_, BackoffTable<String>> {
        self.backoffs.lock().expect("no holder of the lock panics")
    }

    /// Upstreams that take only so many requests a second.
    pub(crate) fn limits(&self) -> MutexGuard<'_, UpstreamLimits> {
        self.limits.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn limit_coordinator(&self) -> MutexGuard<'_, LimitCoordinator> {
        self.limit_coordinator.lock().expect("no holder of the lock panics")
    }

    /// Number of daemons that share the upstreams.
    pub(crate) fn daemons(&self) -> u32 {
        u32::try_from(self.settings.peers.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn picker(&self) -> MutexGuard<'_, RoutePicker> {
        self.picker.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn authorities(&self) -> MutexGuard<'_, BTreeMap<ZoneId, AuthorityMember>> {
        self.authorities.lock().expect("no holder of the lock panics")
    }

    /// Sends a message to another daemon if there is a connection to be had.
    pub(crate) fn send(&self, to: &DaemonId, message: PeerMessage) {
        if let Some(mesh) = self.mesh.get() {
            mesh.send(to, &message);
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the daemon is an authority member of a zone.
    pub(crate) fn zone_members(&self, zone: &ZoneId) -> Vec<DaemonId> {
        zone_members(zone, &self.settings.peers)
    }

    /// Rebuilds the index of upstreams from the tables, the list and the configuration.
    pub(crate) fn rebuild_routes(&self) {
        let index = self.config_log.read(|config| RouteIndex::new(&self.fleet(), config));
        *self.routes.write().expect("no holder of the lock panics") = Arc::new(index);
    }
}

/// Milliseconds since 1970, for people and for the clock that the claims' log carries.
pub(crate) fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
