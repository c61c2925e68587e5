//! What every part of a controller uses. It knows none of them.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use hollowbarrow_fleet::{Deployment, Service, VersionTimes};
use hollowbarrow_log::{LogDriver, LogView};
use hollowbarrow_member::{EncodedDeployment, MemberLinks, SuspensionDetector};
use hollowbarrow_routing::LimitCoordinator;
use hollowbarrow_schema::{DaemonId, DeploymentDocument, MemberSettings};
use hollowbarrow_state::DeploymentState;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::certainty::{CertaintyFacts, ConfigCertainty};
use crate::fleet::FleetState;
use crate::metrics::{ControllerLevels, ControllerMetrics};
use crate::orders::WorkerEvent;
use crate::pending::PendingReports;
use crate::protocol::{ControlAnswer, ControlProtocol};

/// Silence after which a voter stands for election.
pub(crate) const ELECTION_TIME: Duration = Duration::from_millis(600);

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
    pub(crate) news: flume::Sender<WorkerEvent>,
    pub(crate) metrics: ControllerMetrics,
    pub(crate) started: Instant,
    pub(crate) wake: SuspensionDetector,
    pub(crate) links: Arc<OnceLock<MemberLinks>>,
    pub(crate) fleet: Mutex<FleetState>,
    pub(crate) pending: Mutex<PendingReports>,
    /// Limits of workers, and the permits that this controller issues while it leads.
    pub(crate) limits: Mutex<LimitCoordinator>,
    pub(crate) parsed: Mutex<Option<Arc<Deployment>>>,
    pub(crate) encoded: Mutex<Option<EncodedDeployment>>,
    pub(crate) commits: Mutex<VersionTimes>,
    /// What last entitled this controller to tell configurations, to log when that changes.
    pub(crate) basis: Mutex<ConfigCertainty>,
}

impl ControllerCore {
    pub(crate) fn links(&self) -> &MemberLinks {
        self.links.get().expect("the links are set before anything runs")
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, FleetState> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn pending(&self) -> MutexGuard<'_, PendingReports> {
        self.pending.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn limits(&self) -> MutexGuard<'_, LimitCoordinator> {
        self.limits.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.settings.heartbeat_ms.into())
    }

    /// The page of metrics.
    pub(crate) fn metrics_text(&self) -> String {
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
        let awake = |at: Instant| !self.wake.was_suspended_since(at, now);
        view.current && view.confirmed.is_some_and(|at| recent(at) && awake(at))
    }

    /// The newest committed configuration.
    pub(crate) fn newest_document(&self) -> Option<DeploymentDocument> {
        self.log.read(|state| state.newest().cloned())
    }

    /// The newest committed configuration as it goes to gateways.
    pub(crate) fn encoded_deployment(&self) -> Option<EncodedDeployment> {
        let version = self.log.read(DeploymentState::version);
        let mut encoded = self.encoded.lock().expect("no holder of the lock panics");
        if encoded.as_ref().is_none_or(|held| held.version() != version) {
            *encoded = self.newest_document().map(EncodedDeployment::new);
        }
        encoded.clone()
    }

    /// Services of the configuration in force whose workers form replicas.
    pub(crate) fn engine_services(&self) -> Vec<Service> {
        let Some(deployment) = self.deployment() else { return Vec::new() };
        deployment.services.iter().filter(|service| service.has_replicas()).cloned().collect()
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

    /// What entitles this controller to tell gateways what is committed here.
    pub(crate) fn tell_basis(&self, now: Instant) -> ConfigCertainty {
        let view = self.log.view();
        let facts = CertaintyFacts {
            since: self.wake.last_resumed(now).map_or(self.started, |woke| woke.max(self.started)),
            confirmed: view.confirmed,
            complete: view.complete,
        };
        let basis = facts.basis(now);
        self.note_basis(basis);
        basis
    }

    fn note_basis(&self, basis: ConfigCertainty) {
        let mut noted = self.basis.lock().expect("no holder of the lock panics");
        if std::mem::replace(&mut *noted, basis) != basis {
            let version = self.log.read(DeploymentState::version);
            log::info!("event=telling basis={basis:?} version={version}");
        }
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
            (Some(ip), Some(port)) => ControlAnswer::Redirect(format!("http://{ip}:{port}{path}")),
            _ => ControlAnswer::Unavailable("no leader is known"),
        }
    }
}
