//! State that all tasks of a daemon share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hollowbarrow_ingress::{ProcessGate, UsedConnections};
use hollowbarrow_log::LogDriver;
use hollowbarrow_peer::PeerMesh;
use hollowbarrow_reach::Reach;
use hollowbarrow_routing::retry::RetryBudget;
use hollowbarrow_routing::{
    AdmissionQueue, BackoffReason, BackoffTable, ConfigFreshness, CrashTracker, DuplicateGate,
    LimitCoordinator, OrganisationLimiter, QuarantineState, RequestContents, RoutePicker,
    UpstreamKey, UpstreamLimits, VoterContact, probe_delay,
};
use hollowbarrow_schema::{ContentDigest, DaemonId, NodeId, PeerMessage, Settings, ZoneId};
use hollowbarrow_state::{ClaimState, ConfigState};
use hollowbarrow_upstream::{HttpEngine, UpstreamClient};
use hollowbarrow_zone::{AuthorityMember, zone_members};
use tokio::sync::Notify;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::config_standing::SharedStanding;
use crate::fleet::FleetView;
use crate::proposals::PendingCalls;
use crate::routes::RouteIndex;
use crate::telemetry::Telemetry;
use crate::timers::TimerDelays;

/// Election timeouts for which the leader's confirmation of the configuration is valid. A daemon
/// that does not vote receives one in each election timeout; five are a third of the time within
/// which a change must be in force.
const CONFIRMATION_ELECTIONS: u64 = 5;

/// Shared state of a daemon.
///
/// Lock order: the configuration, then the fleet, then any one of the others. No
/// lock is held while waiting for a message or for the disk.
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
    /// Backoffs of upstreams, by name and epoch.
    pub(crate) backoffs: Mutex<BackoffTable<UpstreamKey>>,
    /// Rate limits of upstreams, by name and epoch.
    pub(crate) limits: Mutex<UpstreamLimits>,
    /// Issues permits for rate-limited upstreams while this daemon leads.
    pub(crate) limit_coordinator: Mutex<LimitCoordinator>,
    /// Notified when a request waits for a permit.
    pub(crate) permit_requested: Notify,
    /// Notified when permits were granted.
    pub(crate) permits_granted: Notify,
    /// Duplicates of requests that have not been answered yet.
    pub(crate) duplicates: DuplicateGate,
    pub(crate) client: UpstreamClient,
    /// Connections to upstreams, over this daemon's own path or through peers.
    pub(crate) reach: Arc<Reach>,
    pub(crate) engine: HttpEngine,
    pub(crate) telemetry: Telemetry,
    pub(crate) timer_delays: Mutex<TimerDelays>,
    pub(crate) started: Instant,
    /// Whether the configuration held may be acted on.
    pub(crate) standing: SharedStanding,
    pub(crate) ready: AtomicBool,
    pub(crate) stopping: AtomicBool,
    pub(crate) in_flight: AtomicU32,
    /// Connections of callers on which a request was read, until they are closed.
    pub(crate) used_connections: UsedConnections,
    /// Admits the connections of all listeners.
    pub(crate) gate: ProcessGate,
    /// Whether any loss dissolves every replica of the zone; for comparisons only.
    pub(crate) rebuild_all: bool,
}

impl DaemonCore {
    pub(crate) fn id(&self) -> &DaemonId {
        &self.settings.id
    }

    pub(crate) fn zone(&self) -> &ZoneId {
        &self.settings.zone
    }

    /// Returns the region of the local availability zone.
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

    /// Locks the tracker of requests that crash upstreams.
    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        self.crashes.lock().expect("no holder of the lock panics")
    }

    /// Returns for how long a request stays quarantined, `None` if it may be sent.
    ///
    /// After a quarantine has expired, only some daemons at a time may send probe requests.
    pub(crate) fn quarantine_left(
        &self,
        contents: &RequestContents,
        now: Instant,
    ) -> Option<Duration> {
        let left = |content| self.content_quarantine_left(contents, content, now);
        contents.all().filter_map(left).max()
    }

    fn content_quarantine_left(
        &self,
        contents: &RequestContents,
        content: ContentDigest,
        now: Instant,
    ) -> Option<Duration> {
        let state = self.crashes().quarantine_state(content, contents.organisation(), now)?;
        let expired_for = match state {
            QuarantineState::Active(left) => return Some(left),
            QuarantineState::Expired(expired_for) => expired_for,
        };
        let daemon = xxh3_64(self.id().as_bytes());
        let window = now.saturating_duration_since(self.started).as_secs();
        probe_delay(daemon, content, window, self.daemons(), expired_for)
    }

    /// Returns whether the local configuration contains all changes that must be in force.
    pub(crate) fn is_config_current(&self, now: Instant) -> bool {
        let view = self.config_log.view();
        let freshness = ConfigFreshness {
            version: *view.applied,
            known: *view.applied,
            confirmation_age: view.complete.map(|at| now.saturating_duration_since(at)),
        };
        freshness.is_current(self.confirmation_validity())
    }

    /// Returns for how long a sign of a leader, or of another daemon, is valid.
    pub(crate) fn confirmation_validity(&self) -> Duration {
        Duration::from_millis(CONFIRMATION_ELECTIONS * self.settings.timing.election_ms)
    }

    /// Returns how many voters there are, and for how many of them this daemon has recently heard from
    /// a daemon of their zone.
    ///
    /// Daemons of other zones report through some members of their zone only, so that a voter which
    /// runs need not be heard from itself.
    pub(crate) fn voters_by_contact(&self, now: Instant) -> VoterContact {
        let within = self.confirmation_validity();
        let voters = self.config_log.view().voters;
        let fleet = self.fleet();
        let peers = &self.settings.peers;
        let is_reachable = |zone: &ZoneId| {
            peers
                .iter()
                .filter(|peer| peer.zone == *zone)
                .any(|peer| peer.id == *self.id() || fleet.has_reported(&peer.id, within, now))
        };
        let reachable = peers.iter().filter(|peer| voters.contains(&peer.id));
        let reachable = reachable.filter(|peer| is_reachable(&peer.zone)).count();
        VoterContact { voters: voters.len(), reachable }
    }

    /// Locks the backoffs of upstreams.
    pub(crate) fn backoffs(&self) -> MutexGuard<'_, BackoffTable<UpstreamKey>> {
        self.backoffs.lock().expect("no holder of the lock panics")
    }

    /// Records a backoff that an upstream asked for.
    pub(crate) fn record_backoff(&self, key: &UpstreamKey, backoff: Duration, now: Instant) {
        self.end_former_backoff(key);
        self.backoffs().record_backoff(key, backoff, now);
    }

    /// Returns why an upstream is sent nothing now; `None` if it may be sent requests.
    pub(crate) fn backoff_reason(&self, key: &UpstreamKey, now: Instant) -> Option<BackoffReason> {
        self.end_former_backoff(key);
        self.backoffs().reason(key, now)
    }

    /// Ends a backoff that the former process of a restarted upstream asked for.
    fn end_former_backoff(&self, key: &UpstreamKey) {
        let restarted = self.fleet().restarts.last(&NodeId(key.name.clone()));
        if let Some(restarted) = restarted {
            self.backoffs().end_former(key, restarted);
        }
    }

    /// Locks the rate limits of upstreams.
    pub(crate) fn limits(&self) -> MutexGuard<'_, UpstreamLimits> {
        self.limits.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn limit_coordinator(&self) -> MutexGuard<'_, LimitCoordinator> {
        self.limit_coordinator.lock().expect("no holder of the lock panics")
    }

    /// Locks the recent delays of this process's timers.
    pub(crate) fn timer_delays(&self) -> MutexGuard<'_, TimerDelays> {
        self.timer_delays.lock().expect("no holder of the lock panics")
    }

    /// Returns the number of daemons that share the upstreams.
    pub(crate) fn daemons(&self) -> u32 {
        u32::try_from(self.settings.peers.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn picker(&self) -> MutexGuard<'_, RoutePicker> {
        self.picker.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn authorities(&self) -> MutexGuard<'_, BTreeMap<ZoneId, AuthorityMember>> {
        self.authorities.lock().expect("no holder of the lock panics")
    }

    /// Returns the number of tunnels that this daemon carries for peers.
    pub(crate) fn tunnels(&self) -> u32 {
        self.mesh.get().map_or(0, |mesh| mesh.tunnels().open())
    }

    /// Returns whether a daemon that is stopping still runs requests, writes answers or carries tunnels.
    pub(crate) fn is_busy(&self) -> bool {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        self.tunnels() + in_flight + self.used_connections.count() > 0
    }

    /// Carries no new tunnels from now on.
    pub(crate) fn stop_tunnels(&self) {
        if let Some(mesh) = self.mesh.get() {
            mesh.tunnels().stop();
        }
    }

    /// Sends a message to another daemon; drops it if its queue is full or the mesh has not started.
    pub(crate) fn send(&self, to: &DaemonId, message: PeerMessage) {
        if let Some(mesh) = self.mesh.get() {
            mesh.send(to, &message);
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the members of a zone's authority.
    pub(crate) fn zone_members(&self, zone: &ZoneId) -> Vec<DaemonId> {
        zone_members(zone, &self.settings.peers)
    }

    /// Rebuilds the index of upstreams from the zones' tables, the platform's list and the
    /// configuration.
    pub(crate) fn rebuild_routes(&self) {
        let index = self.config_log.read(|config| RouteIndex::new(&self.fleet(), config));
        *self.routes.write().expect("no holder of the lock panics") = Arc::new(index);
    }
}

/// Returns milliseconds since the Unix epoch, for display and for the clock of the claims log.
pub(crate) fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
