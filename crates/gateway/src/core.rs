//! State and tools that all parts of a gateway share.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock};
use std::time::Duration;

use hollowbarrow_fleet::{RouteTable, Service, VersionTimes};
use hollowbarrow_ingress::{ConnectionLimiter, ProcessGate, UsedConnections};
use hollowbarrow_member::{MemberLinks, SuspensionDetector};
use hollowbarrow_reach::{ConnectTimes, PathChange, Reach, ReachObserver};
use hollowbarrow_routing::retry::{AttemptUpstreamError, RetryBudget};
use hollowbarrow_routing::{
    ConfigFreshness, DuplicateGate, LimitNotice, NoticeInterval, limit_text,
};
use hollowbarrow_schema::{DaemonId, FleetView, MemberSettings, WorkerId};
use hollowbarrow_upstream::{AnswerBudget, UpstreamClient, UpstreamNotice};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::budget::{RetryAllowance, share_of};
use crate::crashes::CrashGuard;
use crate::flight::WorkerAttempt;
use crate::metrics::{GatewayLevels, GatewayMetrics};
use crate::picker::{NoWorker, PickFacts, WorkerPicker};
use crate::primary::PrimarySelector;
use crate::protocol::{AnswerFacts, CallerProtocol};
use crate::view_dates::ViewDates;

/// Time after which a second attempt to connect to a worker starts.
const FIRST_CONNECT: Duration = Duration::from_millis(150);

/// Times for connections to workers. A second attempt after a lost SYN is answered within the timeout
/// of this gateway's own path, and mostly before a tunnel is opened.
const CONNECT_TIMES: ConnectTimes = ConnectTimes {
    direct: Duration::from_millis(350),
    tunnel_delay: Duration::from_millis(200),
    request: Duration::from_millis(420),
};

/// Longest age of the leader's confirmation of the newest configuration. Together with the 600 ms
/// for which a leader treats its own majority as valid, it stays below the two seconds within which
/// a change is active everywhere.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1200);

/// Shared state of a gateway.
pub(crate) struct GatewayCore {
    pub(crate) settings: MemberSettings,
    pub(crate) protocol: Arc<dyn CallerProtocol>,
    pub(crate) client: UpstreamClient,
    /// Connections to workers, over this gateway's own path or through peers.
    pub(crate) reach: Arc<Reach>,
    pub(crate) budget: RetryBudget,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) stopping: AtomicBool,
    routes: RwLock<Option<Arc<RouteTable>>>,
    picker: Arc<Mutex<WorkerPicker>>,
    primary: Mutex<PrimarySelector>,
    crashes: Mutex<CrashGuard>,
    /// Requests in progress, and their duplicates.
    pub(crate) duplicates: DuplicateGate,
    /// Versions of the configuration that the leader has published.
    known: Mutex<VersionTimes>,
    /// Notified when a request waits for a permit.
    pub(crate) permits_requested: Notify,
    /// Notified when the issuer of permits has answered.
    pub(crate) permits_answered: Notify,
    pub(crate) in_flight: AtomicU32,
    /// Admits the connections of all listeners.
    pub(crate) gate: ProcessGate,
    /// Connections of callers, limited while the gateway is overloaded.
    pub(crate) connections: Arc<ConnectionLimiter>,
    /// Connections of callers on which a request was read.
    pub(crate) used_connections: UsedConnections,
    /// Links to other daemons, set before any request is read.
    pub(crate) links: OnceLock<Arc<MemberLinks>>,
    pub(crate) suspension: Arc<SuspensionDetector>,
    /// When the latest view that was received can have been sent by the leader.
    last_view: Mutex<Option<Instant>>,
    view_dates: Mutex<ViewDates>,
}

impl GatewayCore {
    pub(crate) fn new(settings: MemberSettings, protocol: Arc<dyn CallerProtocol>) -> Self {
        let local = hollowbarrow_member::member_id(&settings.ip, settings.mesh_port);
        let limits = share_of(&allowance_of(&settings), 1);
        let picker = WorkerPicker::new(&settings.zone, rand::random()).with_preferences(&local);
        let picker = Arc::new(Mutex::new(picker));
        let metrics = Arc::new(GatewayMetrics::new());
        let gate = ProcessGate::new(settings.memory_mb, settings.descriptors);
        let client = new_client(&settings, &gate, protocol.as_ref());
        let observer = PathObserver { metrics: Arc::clone(&metrics), picker: Arc::clone(&picker) };
        Self {
            reach: Arc::new(Reach::new(
                client.clone(),
                CONNECT_TIMES,
                &settings.zone,
                Arc::new(observer),
            )),
            client,
            budget: RetryBudget::with_limits(limits, Instant::now()),
            metrics,
            stopping: AtomicBool::new(false),
            routes: RwLock::new(None),
            picker,
            crashes: Mutex::new(CrashGuard::new().with_identity(&local)),
            duplicates: DuplicateGate::new(),
            primary: Mutex::new(PrimarySelector::new(&local, &settings.zone)),
            known: Mutex::default(),
            permits_requested: Notify::new(),
            permits_answered: Notify::new(),
            in_flight: AtomicU32::new(0),
            gate,
            connections: Arc::default(),
            used_connections: UsedConnections::default(),
            links: OnceLock::new(),
            suspension: Arc::new(SuspensionDetector::new()),
            last_view: Mutex::new(None),
            view_dates: Mutex::default(),
            settings,
            protocol,
        }
    }

    /// Returns the active configuration.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.read().expect("no holder of the lock panics").clone()
    }

    /// Activates a configuration if it is newer than the active one; returns whether it is.
    pub(crate) fn install_routes(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.write().expect("no holder of the lock panics");
        let newer = routes.as_ref().is_none_or(|current| table.version() > current.version());
        if newer {
            *routes = Some(Arc::new(table));
        }
        newer
    }

    /// Stops using the active configuration if it is of this version and no leader's view has been
    /// received since the start; returns whether it was in use.
    ///
    /// A configuration that a leader has confirmed since then stays in use without a leader.
    pub(crate) fn withdraw_routes(&self, version: u64) -> bool {
        let confirmed = self.last_view().is_some();
        let mut routes = self.routes.write().expect("no holder of the lock panics");
        let held = routes.as_ref().is_some_and(|table| table.version() == version);
        if held && !confirmed {
            *routes = None;
        }
        held && !confirmed
    }

    /// Returns the version of the active configuration; 0 means none.
    pub(crate) fn version(&self) -> u64 {
        self.routes().map_or(0, |routes| routes.version())
    }

    /// Returns for how long this gateway has known of a newer configuration that it lacks; zero if
    /// it lacks none.
    pub(crate) fn configuration_lag(&self, now: Instant) -> Duration {
        self.known().lag(self.version(), now)
    }

    /// Returns whether the active configuration may lack an acknowledged change.
    pub(crate) fn may_be_behind(&self, now: Instant) -> bool {
        !self.config_freshness(now).is_current(MAX_CONFIRMATION_AGE)
            || self.was_suspended_since_view()
    }

    /// Returns what this gateway knows about the age of its active configuration.
    pub(crate) fn config_freshness(&self, now: Instant) -> ConfigFreshness {
        let last_view = self.last_view();
        ConfigFreshness {
            version: self.version(),
            known: self.known().newest(),
            confirmation_age: last_view.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Returns when the latest view that was received can have been sent.
    pub(crate) fn last_view(&self) -> Option<Instant> {
        *self.last_view.lock().expect("no holder of the lock panics")
    }

    /// Returns whether the machine was suspended since the last current view.
    fn was_suspended_since_view(&self) -> bool {
        let last = self.last_view();
        last.is_some_and(|last| self.suspension.was_suspended_since(last, Instant::now()))
    }

    fn known(&self) -> MutexGuard<'_, VersionTimes> {
        self.known.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn picker(&self) -> MutexGuard<'_, WorkerPicker> {
        self.picker.lock().expect("no holder of the lock panics")
    }

    /// Locks the record of requests that crash workers.
    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashGuard> {
        self.crashes.lock().expect("no holder of the lock panics")
    }

    /// Returns the primary controller, if one is available.
    pub(crate) fn primary(&self, now: Instant) -> Option<DaemonId> {
        self.primary.lock().expect("no holder of the lock panics").choose(now)
    }

    /// Applies a view that a controller passed on.
    pub(crate) fn apply_view(&self, from: &DaemonId, view: &FleetView, now: Instant) {
        self.known().record(view.deployment, now);
        self.crashes().apply_view(view, now);
        let mut picker = self.picker();
        let before = picker.gateways();
        let recent = picker.apply_view(view, now);
        let gateways = picker.gateways();
        drop(picker);
        if gateways != before {
            self.budget.set_limits(share_of(&allowance_of(&self.settings), gateways));
        }
        if recent {
            self.record_confirmation(view, now);
            let mut primary = self.primary.lock().expect("no holder of the lock panics");
            primary.record_view(from, &view.controllers, now);
        }
    }

    /// Records when the leader confirmed which configuration is the newest.
    fn record_confirmation(&self, view: &FleetView, now: Instant) {
        let mut dates = self.view_dates.lock().expect("no holder of the lock panics");
        let sent = dates.date(view, now);
        drop(dates);
        let mut last = self.last_view.lock().expect("no holder of the lock panics");
        *last = last.max(Some(sent));
    }

    /// Returns whether new callers may be sent to this gateway.
    pub(crate) fn is_ready(&self) -> bool {
        let initialised = self.routes().is_some() && !self.picker().is_empty();
        let stopping = self.stopping.load(Ordering::Relaxed);
        let may_serve = initialised && !self.reach.is_cut_off();
        may_serve && !self.was_suspended_since_view() && !stopping
    }

    /// Returns the page of metrics, with this number of dropped messages.
    pub(crate) fn metrics_text(&self, dropped: u64) -> String {
        self.metrics.record_clients(&self.gate);
        self.metrics.to_text(&GatewayLevels {
            in_flight: self.in_flight().into(),
            ready: self.is_ready(),
            version: self.version(),
            view_age: self.last_view().map(|at| Instant::now().saturating_duration_since(at)),
            controllers: self.links.get().map_or(0, |links| links.controllers().len() as u64),
            workers: self.picker().len() as u64,
            isolated: self.reach.is_isolated(),
            tunnels: self.tunnels().into(),
            dropped,
        })
    }

    /// Returns how many idle connections this gateway may keep to one worker of a service: its share
    /// of half of the connections that the worker accepts. The other half stays free for requests of
    /// all gateways.
    pub(crate) fn most_idle(&self, service: &Service) -> usize {
        let part = service.max_connections / self.picker().gateways() / 2;
        part.max(1) as usize
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of tunnels that this gateway carries for others.
    pub(crate) fn tunnels(&self) -> u32 {
        self.links.get().map_or(0, |links| links.tunnels().open())
    }

    /// Returns whether a gateway that is stopping still runs requests, writes answers or carries tunnels.
    pub(crate) fn is_busy(&self) -> bool {
        self.in_flight() + self.tunnels() + self.used_connections.count() > 0
    }

    /// Chooses a worker and counts the request there until the attempt is dropped.
    pub(crate) fn begin_attempt(
        self: &Arc<Self>,
        facts: &PickFacts<'_>,
    ) -> Result<WorkerAttempt, NoWorker> {
        let mut picker = self.picker();
        let now = Instant::now();
        let worker = picker.pick(facts, now)?;
        picker.begin(&worker.id, worker.prefill_ms, now);
        drop(picker);
        Ok(WorkerAttempt::new(self, worker))
    }

    /// Records the outcome of a request at a worker.
    pub(crate) fn record_outcome(&self, worker: &WorkerId, good: bool) {
        if self.picker().record_outcome(worker, good, Instant::now()) {
            log::info!("event=worker_left_out worker={}", **worker);
        }
    }

    /// Records a failed attempt at a worker, if the worker is to blame.
    pub(crate) fn record_failure(&self, worker: &WorkerId, error: &AttemptUpstreamError) {
        if error.blames_upstream() {
            self.record_outcome(worker, false);
        }
    }

    /// Records the notices in the head of a worker's answer; `sent` is when the request was sent.
    pub(crate) fn record_answer_head(&self, worker: &WorkerId, facts: &AnswerFacts, sent: Instant) {
        let notice = &facts.notice;
        if facts.not_run {
            self.metrics.count_turned_away(matches!(notice.backoff, Ok(Some(_))));
        }
        match notice.backoff {
            Ok(None) => {}
            Ok(Some(backoff)) => {
                self.picker().record_backoff(worker, backoff, Instant::now());
                let ms = backoff.as_millis();
                log::info!("event=worker_backoff worker={} reason=asked ms={ms}", **worker);
            }
            Err(error) => {
                log::warn!("event=backoff_unreadable worker={} error={error:?}", **worker);
            }
        }
        if notice.leaving && self.picker().record_leaving(worker) {
            log::info!("event=worker_backoff worker={} reason=leaving", **worker);
        }
        // A misdirected answer comes from another worker that now has the address.
        if !facts.misdirected {
            self.record_limit(worker, notice, NoticeInterval { sent, came: Instant::now() });
        }
    }

    /// Records the rate limit that a worker states.
    fn record_limit(&self, worker: &WorkerId, notice: &UpstreamNotice, span: NoticeInterval) {
        let limit = match notice.limit {
            Ok(limit) => limit,
            Err(error) => {
                log::warn!("event=limit_unreadable worker={} error={error:?}", **worker);
                return;
            }
        };
        if self.picker().record_limit(worker, LimitNotice { limit, span }) {
            let milli = limit_text(limit);
            log::info!("event=worker_limit worker={} milli_per_s={milli}", **worker);
        }
    }

    /// Counts a request if its worker has stated a limit.
    pub(crate) fn count_limited_send(&self, worker: &WorkerId) {
        if self.picker().limit(worker).is_some() {
            self.metrics.count_limited_send();
        }
    }

    /// Returns whether a worker must not be sent requests now.
    pub(crate) fn is_backing_off(&self, worker: &WorkerId) -> bool {
        self.picker().backoff(worker, Instant::now()).is_some()
    }

    /// Returns whether a worker has sent part of any answer within this time.
    pub(crate) fn has_progress(&self, worker: &WorkerId, within: Duration) -> bool {
        let progress = self.picker().progress(worker);
        progress.is_some_and(|at| at.elapsed() < within)
    }
}

/// Counts connections, and undoes what failures of this gateway's own path have done to workers.
struct PathObserver {
    metrics: Arc<GatewayMetrics>,
    picker: Arc<Mutex<WorkerPicker>>,
}

impl ReachObserver for PathObserver {
    fn record_connect(&self, outcome: &'static str) {
        self.metrics.count_connect(outcome);
    }

    fn record_change(&self, change: PathChange) {
        if change == PathChange::Isolated {
            self.picker.lock().expect("no holder of the lock panics").clear_ejections();
        }
    }
}

/// Returns the client for workers. Connections start at the address that the settings name for those
/// to other daemons.
fn new_client(
    settings: &MemberSettings,
    gate: &ProcessGate,
    protocol: &dyn CallerProtocol,
) -> UpstreamClient {
    let client = UpstreamClient::new()
        .with_answer_budget(AnswerBudget::new(gate.memory().answer_bytes()))
        .with_identity(protocol.identity_header())
        .with_first_connect_timeout(FIRST_CONNECT);
    match settings.bind_ip.as_ref().and_then(|ip| ip.parse().ok()) {
        Some(source) => client.with_source(source),
        None => client,
    }
}

fn allowance_of(settings: &MemberSettings) -> RetryAllowance {
    RetryAllowance {
        permille: settings.retry_permille,
        slack: settings.retry_slack,
        window_s: settings.retry_window_s,
    }
}
