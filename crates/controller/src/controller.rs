//! Puts a controller together, runs it and stops it.

use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use hollowbarrow_fleet::{Deployment, Service, VersionTimes};
use hollowbarrow_log::{
    AppliedChange, DriverConfig, LogDriver, LogView, ReplicaConfig, StoreLogError,
};
use hollowbarrow_member::http::bind_http;
use hollowbarrow_member::{MemberLinks, StartLinksError, WakeWatch, serve_http, serve_metrics};
use hollowbarrow_schema::{DaemonId, DeploymentDocument, EntryPayload, MemberSettings};
use hollowbarrow_state::DeploymentState;
use thiserror::Error;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::api::ControlHandler;
use crate::fleet::FleetState;
use crate::metrics::{ControllerLevels, ControllerMetrics};
use crate::news::{PendingNews, tell_news};
use crate::protocol::{ControlAnswer, ControlProtocol};
use crate::reconcile::{WorkerNews, has_replicas, keep_fleet};
use crate::sync::{greet_controllers, log_quorum, push_deployments, take_message};

/// Silence after which a voter stands for election.
const ELECTION_TIME: Duration = Duration::from_millis(600);
/// The same for one that has just started: where all ended at once, none leads.
const FIRST_ELECTION_TIME: Duration = Duration::from_millis(130);
/// Time after which a controller that has heard of no leader tells what it holds.
const LEADERLESS_TIME: Duration = Duration::from_secs(2);
/// Entries after which a snapshot replaces them; whole configurations are large.
const SNAPSHOT_ENTRIES: usize = 16;
/// Time for a handed-over leadership to be taken up before the process ends.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(400);

/// Why a controller could not start.
#[derive(Debug, Error)]
pub enum StartControllerError {
    /// A setting that a controller needs is not there.
    #[error("the setting {0} is missing")]
    Missing(&'static str),
    /// The address for workers and operators cannot be listened on.
    #[error("cannot listen on {address}, set as control")]
    Listen {
        /// The address.
        address: String,
        /// Why.
        source: std::io::Error,
    },
    /// Other daemons cannot be served.
    #[error("cannot serve other daemons")]
    Links(#[from] StartLinksError),
    /// The log's folder cannot be used.
    #[error("cannot open the log")]
    OpenLog(#[from] StoreLogError),
}

/// State and tools of a controller.
pub(crate) struct ControllerCore {
    pub(crate) settings: MemberSettings,
    pub(crate) protocol: Arc<dyn ControlProtocol>,
    pub(crate) log: LogDriver<DeploymentState>,
    /// Told when something that the leader acts on has changed.
    pub(crate) changed: Notify,
    /// Told when a configuration was committed.
    pub(crate) applied: Arc<Notify>,
    /// Told when there is news of workers to send out.
    pub(crate) news_due: Notify,
    pub(crate) news: flume::Sender<WorkerNews>,
    pub(crate) metrics: ControllerMetrics,
    pub(crate) started: Instant,
    wake: WakeWatch,
    links: Arc<OnceLock<MemberLinks>>,
    fleet: Mutex<FleetState>,
    pending: Mutex<PendingNews>,
    parsed: Mutex<Option<Arc<Deployment>>>,
    commits: Mutex<VersionTimes>,
}

impl ControllerCore {
    pub(crate) fn links(&self) -> &MemberLinks {
        self.links.get().expect("the links are set before anything runs")
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, FleetState> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn pending(&self) -> MutexGuard<'_, PendingNews> {
        self.pending.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.settings.heartbeat_ms.into())
    }

    /// The page of metrics.
    fn metrics_text(&self) -> String {
        let view = self.log.view();
        let now = Instant::now();
        let fleet = self.fleet();
        let lags = fleet.gateway_lags(&self.commits(), now);
        self.metrics.to_text(&ControllerLevels {
            leads: self.is_sure_to_lead(&view, now),
            term: *view.term,
            voters: view.voters.len() as u64,
            lost_disk: view.lost_disk,
            version: self.log.read(DeploymentState::version),
            workers: fleet.count_workers(),
            gateways: fleet.count_homed().into(),
            lags,
            dropped: self.links().traffic().dropped(),
        })
    }

    /// Whether a majority has confirmed within the election time that this daemon leads.
    pub(crate) fn is_sure_to_lead(&self, view: &LogView, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < ELECTION_TIME;
        // While the machine was suspended another leader may have been elected, and the time since
        // the confirmation was not counted.
        let awake = |at: Instant| !self.wake.has_slept_since(at, now);
        view.current && view.confirmed.is_some_and(|at| recent(at) && awake(at))
    }

    /// The newest committed configuration.
    pub(crate) fn newest_document(&self) -> Option<DeploymentDocument> {
        self.log.read(|state| state.newest().cloned())
    }

    /// Services of the configuration in force whose workers form replicas.
    pub(crate) fn engine_services(&self) -> Vec<Service> {
        let Some(deployment) = self.deployment() else { return Vec::new() };
        deployment.services.iter().filter(|service| has_replicas(service)).cloned().collect()
    }

    /// The configuration in force, if there is one.
    pub(crate) fn deployment(&self) -> Option<Arc<Deployment>> {
        let version = self.log.read(DeploymentState::version);
        let mut parsed = self.parsed.lock().expect("no holder of the lock panics");
        if parsed.as_ref().is_none_or(|held| held.version != version) {
            let document = self.newest_document()?;
            *parsed = self.protocol.read_deployment(&document.text).ok().map(Arc::new);
        }
        parsed.clone()
    }

    /// Whether what is committed here may be told to gateways: after a start or a suspension this
    /// daemon may lack
    /// what was committed last, until a leader that a majority confirms has said so. Where none
    /// comes up, an older configuration is better than none.
    pub(crate) fn may_tell(&self, now: Instant) -> bool {
        let since = self.wake.woke(now).map_or(self.started, |woke| woke.max(self.started));
        let confirmed = self.log.view().confirmed.is_some_and(|at| at > since);
        confirmed || now.saturating_duration_since(since) > LEADERLESS_TIME
    }

    /// When configurations were committed here.
    pub(crate) fn commits(&self) -> MutexGuard<'_, VersionTimes> {
        self.commits.lock().expect("no holder of the lock panics")
    }

    /// Adds a controller that was heard of: it follows the log, and may vote one day.
    pub(crate) fn learn_controller(&self, id: &DaemonId) {
        if id == self.links().id() {
            return;
        }
        for new in self.links().learn_controllers([id]) {
            log::info!("event=controller_learned id={}", *new);
            self.log.add_peer(&new);
        }
    }

    /// Sends a caller to the leader, if it is known.
    pub(crate) fn elsewhere(&self, path: &str) -> ControlAnswer {
        let leader = self.log.view().leader.filter(|leader| leader != self.links().id());
        let ip = leader.as_ref().and_then(|leader| leader.split(':').next());
        let control = self.settings.control.as_deref().unwrap_or_default();
        match (ip, control.rsplit(':').next()) {
            (Some(ip), Some(port)) => ControlAnswer::Elsewhere(format!("http://{ip}:{port}{path}")),
            _ => ControlAnswer::NotNow("no leader is known"),
        }
    }
}

/// A running controller.
pub struct Controller {
    core: Arc<ControllerCore>,
    stop: watch::Sender<bool>,
}

impl Controller {
    /// Starts a controller on the current runtime.
    ///
    /// # Errors
    ///
    /// Names the setting that is missing, or the address or folder that cannot be used.
    pub fn start(
        settings: MemberSettings,
        protocol: Arc<dyn ControlProtocol>,
    ) -> Result<Self, StartControllerError> {
        let control = settings.control.clone().ok_or(StartControllerError::Missing("control"))?;
        let data = settings.data.clone().ok_or(StartControllerError::Missing("data"))?;
        let listener = bind_http(&control)
            .map_err(|source| StartControllerError::Listen { address: control, source })?;
        let (news, news_receiver) = flume::unbounded();
        let core = Arc::new(build_core(settings, protocol, Path::new(&data), news)?);
        start_links(&core)?;
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::new(ControlHandler(Arc::clone(&core)));
        tokio::spawn(serve_http(listener, stopped, handler));
        tokio::spawn(greet_controllers(Arc::clone(&core)));
        tokio::spawn(tell_news(Arc::clone(&core)));
        tokio::spawn(push_deployments(Arc::clone(&core)));
        tokio::spawn(log_quorum(Arc::clone(&core)));
        tokio::spawn(keep_fleet(Arc::clone(&core), news_receiver));
        let shown = Arc::clone(&core);
        serve_metrics(core.settings.metrics.as_deref(), move || shown.metrics_text());
        log::info!("event=started role=controller name={}", core.settings.name);
        Ok(Self { core, stop })
    }

    /// Stops as planned: hands leadership over and returns.
    pub async fn stop(&self) {
        log::info!("event=stopping");
        self.core.log.hand_over();
        tokio::time::sleep(HAND_OVER_PAUSE).await;
        self.stop.send_replace(true);
        self.core.log.stop();
        log::info!("event=stopped");
    }
}

fn build_core(
    settings: MemberSettings,
    protocol: Arc<dyn ControlProtocol>,
    data: &Path,
    news: flume::Sender<WorkerNews>,
) -> Result<ControllerCore, StartControllerError> {
    let links: Arc<OnceLock<MemberLinks>> = Arc::default();
    let applied = Arc::new(Notify::new());
    let log = start_log(&settings, data, &links, &applied)?;
    let now = Instant::now();
    let own = hollowbarrow_member::member_id(&settings.ip, settings.mesh_port);
    let fleet = Mutex::new(FleetState::new(&own, &settings.zone));
    Ok(ControllerCore {
        protocol,
        log,
        changed: Notify::new(),
        news_due: Notify::new(),
        metrics: ControllerMetrics::new(),
        applied,
        news,
        started: now,
        wake: WakeWatch::new(),
        links,
        fleet,
        pending: Mutex::default(),
        parsed: Mutex::new(None),
        commits: Mutex::default(),
        settings,
    })
}

fn start_log(
    settings: &MemberSettings,
    data: &Path,
    links: &Arc<OnceLock<MemberLinks>>,
    applied: &Arc<Notify>,
) -> Result<LogDriver<DeploymentState>, StoreLogError> {
    let id = hollowbarrow_member::member_id(&settings.ip, settings.mesh_port);
    let voters = hollowbarrow_member::seed_ids(settings);
    let replica = ReplicaConfig::new(&id, &voters, &voters)
        .with_founding(settings.found)
        .with_election(ELECTION_TIME)
        .with_first_election(FIRST_ELECTION_TIME)
        .with_seed(rand::random());
    let (notify, outbox) = (Arc::clone(applied), Arc::clone(links));
    let config = DriverConfig::new(replica, Some(data.join("config")))
        .with_snapshot_entries(SNAPSHOT_ENTRIES)
        .with_applied(Box::new(move |change| {
            let may_be_newer = match change {
                AppliedChange::Entry(entry) => {
                    matches!(entry.payload, EntryPayload::Deployment(_))
                }
                // It brings a controller that was away the newest configuration.
                AppliedChange::Snapshot(_) => true,
            };
            if may_be_newer {
                notify.notify_one();
            }
        }));
    LogDriver::start(config, DeploymentState::new(), move |to, message| {
        if let Some(links) = outbox.get() {
            links.send_log(to, message);
        }
    })
}

fn start_links(core: &Arc<ControllerCore>) -> Result<(), StartLinksError> {
    let handler_core = Arc::downgrade(core);
    let links = MemberLinks::start(&core.settings, move |from, message| {
        if let Some(core) = handler_core.upgrade()
            && core.links.get().is_some()
        {
            take_message(&core, from, message);
        }
    })?;
    let _ = core.links.set(links);
    Ok(())
}
