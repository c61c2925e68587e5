//! Shared state of a controller's parts. This module depends on none of them except for the types of
//! their state.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use hollowbarrow_fleet::{Deployment, Service, VersionTimes};
use hollowbarrow_ingress::ProcessGate;
use hollowbarrow_log::{LogDriver, LogView};
use hollowbarrow_member::{EncodedDeployment, MemberLinks, SuspensionDetector};
use hollowbarrow_routing::LimitCoordinator;
use hollowbarrow_schema::{DaemonId, DeploymentDocument, MemberSettings};
use hollowbarrow_state::DeploymentState;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::certainty::{
    CertaintyFacts, CertaintyHistory, ConfigCertainty, contact_age, hears_majority,
};
use crate::contacts::ContactBook;
use crate::fleet::FleetState;
use crate::holders::HolderLedger;
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
    /// Notified when something that the leader acts on has changed.
    pub(crate) changed: Notify,
    /// Notified when a configuration was committed.
    pub(crate) applied: Arc<Notify>,
    /// Notified when there are worker updates to send out.
    pub(crate) updates_due: Notify,
    /// Notified when another daemon has confirmed that it holds what is about to be acknowledged.
    pub(crate) confirmed: Notify,
    pub(crate) events: flume::Sender<WorkerEvent>,
    pub(crate) metrics: ControllerMetrics,
    /// Admits the connections of all listeners.
    pub(crate) gate: ProcessGate,
    pub(crate) started: Instant,
    pub(crate) suspension: SuspensionDetector,
    pub(crate) links: Arc<OnceLock<MemberLinks>>,
    pub(crate) fleet: Mutex<FleetState>,
    /// Daemons that this controller has been in contact with.
    pub(crate) contacts: Mutex<ContactBook>,
    pub(crate) pending: Mutex<PendingReports>,
    pub(crate) holders: Mutex<HolderLedger>,
    /// Limits of workers, and the permits that this controller issues while it leads.
    pub(crate) limits: Mutex<LimitCoordinator>,
    pub(crate) parsed: Mutex<Option<Arc<Deployment>>>,
    pub(crate) encoded: Mutex<Option<EncodedDeployment>>,
    pub(crate) commits: Mutex<VersionTimes>,
    /// Last certainty about the configuration, and since when it lasts.
    pub(crate) certainty: Mutex<CertaintyHistory>,
}

impl ControllerCore {
    pub(crate) fn links(&self) -> &MemberLinks {
        self.links.get().expect("the links are set before any task or message handler runs")
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, FleetState> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn contacts(&self) -> MutexGuard<'_, ContactBook> {
        self.contacts.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn pending(&self) -> MutexGuard<'_, PendingReports> {
        self.pending.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn holders(&self) -> MutexGuard<'_, HolderLedger> {
        self.holders.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn limits(&self) -> MutexGuard<'_, LimitCoordinator> {
        self.limits.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.settings.heartbeat_ms.into())
    }

    /// Returns the metrics page in the text format.
    pub(crate) fn metrics_text(&self) -> String {
        let view = self.log.view();
        let now = Instant::now();
        let fleet = self.fleet();
        let lags = fleet.gateway_lags(&self.commits(), now);
        self.metrics.record_clients(&self.gate);
        self.metrics.to_text(&ControllerLevels {
            leads: self.is_confirmed_leader(&view, now),
            term: *view.term,
            voters: view.voters.len() as u64,
            voters_counted: view.counted as u64,
            voters_uncounted: view.uncounted.len() as u64,
            losses_borne: view.losses_borne as u64,
            lost_disk: view.lost_disk,
            version: self.log.read(DeploymentState::version),
            workers: fleet.count_workers(),
            gateways: fleet.count_primary_gateways().into(),
            lags,
            dropped: self.links().traffic().dropped(),
        })
    }

    /// Whether a majority has confirmed within the election time that this daemon leads.
    pub(crate) fn is_confirmed_leader(&self, view: &LogView, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < ELECTION_TIME;
        // While the machine was suspended another leader may have been elected, and the clock did
        // not count that time, so a confirmation from before a suspension is not recent.
        let not_suspended = |at: Instant| !self.suspension.was_suspended_since(at, now);
        view.current && view.confirmed.is_some_and(|at| recent(at) && not_suspended(at))
    }

    /// Whether this daemon leads the log and a majority has confirmed it since the machine was last
    /// suspended, however long ago.
    pub(crate) fn leads_log(&self, view: &LogView, now: Instant) -> bool {
        let not_suspended = |at: Instant| !self.suspension.was_suspended_since(at, now);
        view.current && view.confirmed.is_some_and(not_suspended)
    }

    /// The newest committed configuration.
    pub(crate) fn newest_document(&self) -> Option<DeploymentDocument> {
        self.log.read(|state| state.newest().cloned())
    }

    /// The newest committed configuration, encoded for gateways.
    pub(crate) fn encoded_deployment(&self) -> Option<EncodedDeployment> {
        let version = self.log.read(DeploymentState::version);
        let mut encoded = self.encoded.lock().expect("no holder of the lock panics");
        if encoded.as_ref().is_none_or(|cached| cached.version() != version) {
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
        if parsed.as_ref().is_none_or(|cached| cached.version != version) {
            let document = self.newest_document()?;
            *parsed = self.protocol.read_deployment(&document.text).ok().map(Arc::new);
        }
        parsed.clone()
    }

    /// Returns how certain it is that this controller has the newest committed configuration, and
    /// logs a change.
    pub(crate) fn config_certainty(&self, now: Instant) -> ConfigCertainty {
        let view = self.log.view();
        let resumed = self.suspension.last_resumed(now);
        let since = resumed.map_or(self.started, |resumed| resumed.max(self.started));
        let heard = self.fleet().controllers(contact_age(since, now), now);
        let facts = CertaintyFacts {
            since,
            confirmed: view.confirmed,
            complete: view.complete,
            in_contact: hears_majority(self.links().id(), &view.voters, &heard),
        };
        self.record_certainty(facts.certainty(now), now)
    }

    /// Returns whether configurations that no leader has confirmed are to be withdrawn from gateways.
    pub(crate) fn withdraws_unconfirmed(&self, now: Instant) -> bool {
        self.certainty.lock().expect("no holder of the lock panics").withdraws_unconfirmed(now)
    }

    /// Records what the log and the contacts show now, and returns what follows from that.
    fn record_certainty(&self, certainty: ConfigCertainty, now: Instant) -> ConfigCertainty {
        let mut history = self.certainty.lock().expect("no holder of the lock panics");
        if history.record(certainty, now) {
            let version = self.log.read(DeploymentState::version);
            log::info!("event=telling basis={certainty:?} version={version}");
        }
        history.last()
    }

    /// Times at which configurations were committed here.
    pub(crate) fn commits(&self) -> MutexGuard<'_, VersionTimes> {
        self.commits.lock().expect("no holder of the lock panics")
    }

    /// Connects to a newly discovered controller, which follows the log and may become a voter.
    pub(crate) fn learn_controller(&self, id: &DaemonId) {
        if id == self.links().id() {
            return;
        }
        for new in self.links().learn_controllers([id]) {
            log::info!("event=controller_learned id={}", *new);
            self.log.add_peer(&new);
        }
    }

    /// Redirects a caller to the leader, if it is known.
    pub(crate) fn redirect_to_leader(&self, path: &str) -> ControlAnswer {
        let leader = self.log.view().leader.filter(|leader| leader != self.links().id());
        let ip = leader.as_ref().and_then(|leader| leader.split(':').next());
        let control = self.settings.control.as_deref().unwrap_or_default();
        match (ip, control.rsplit(':').next()) {
            (Some(ip), Some(port)) => ControlAnswer::Redirect(format!("http://{ip}:{port}{path}")),
            _ => ControlAnswer::Unavailable("no leader is known"),
        }
    }
}
