//! Assembles, starts and stops a controller.

use std::path::Path;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use hollowbarrow_ingress::{ProcessGate, bind_http, serve_http};
use hollowbarrow_log::{AppliedChange, DriverConfig, LogDriver, ReplicaConfig, StoreLogError};
use hollowbarrow_member::{MemberLinks, StartLinksError, SuspensionDetector, serve_metrics};
use hollowbarrow_schema::{DaemonId, EntryPayload, MemberSettings};
use hollowbarrow_state::DeploymentState;
use thiserror::Error;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::acquaintance::{call_silent_gateways, learn_voters, load_contacts, store_contacts};
use crate::api::ControlHandler;
use crate::contacts::ContactBook;
use crate::core::{ControllerCore, ELECTION_TIME};
use crate::fleet::FleetState;
use crate::metrics::ControllerMetrics;
use crate::orders::WorkerEvent;
use crate::protocol::ControlProtocol;
use crate::reconcile::run_leader;
use crate::sync::{
    handle_message, log_quorum, push_deployments, send_hellos, withdraw_unconfirmed,
};
use crate::worker_updates::publish_updates;

/// Silence after which a voter that has just started stands for election. It is short because after
/// a stop of all controllers at once there is no leader to wait for.
const FIRST_ELECTION_TIME: Duration = Duration::from_millis(130);
/// Log entries after which a snapshot replaces them. It is low because each entry holds a full
/// configuration.
const SNAPSHOT_ENTRIES: usize = 16;
/// Time for another voter to take over leadership before the process exits.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(400);

/// Why a controller could not start.
#[derive(Debug, Error)]
pub enum StartControllerError {
    /// A setting that a controller needs is missing.
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
        let (events, event_receiver) = flume::unbounded();
        let core = Arc::new(build_core(settings, protocol, Path::new(&data), events)?);
        start_links(&core)?;
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::new(ControlHandler(Arc::clone(&core)));
        tokio::spawn(serve_http(listener, stopped, handler, core.gate.clients("control")));
        tokio::spawn(learn_voters(Arc::clone(&core)));
        tokio::spawn(call_silent_gateways(Arc::clone(&core)));
        tokio::spawn(store_contacts(Arc::clone(&core), data.into()));
        tokio::spawn(send_hellos(Arc::clone(&core)));
        tokio::spawn(publish_updates(Arc::clone(&core)));
        tokio::spawn(push_deployments(Arc::clone(&core)));
        tokio::spawn(withdraw_unconfirmed(Arc::clone(&core)));
        tokio::spawn(log_quorum(Arc::clone(&core)));
        tokio::spawn(run_leader(Arc::clone(&core), event_receiver));
        let metrics_core = Arc::clone(&core);
        let gate = core.gate.checks("metrics");
        serve_metrics(core.settings.metrics.as_deref(), gate, move || metrics_core.metrics_text());
        log::info!("event=started role=controller name={}", core.settings.name);
        Ok(Self { core, stop })
    }

    /// Replaces the controllers that the settings name as seeds.
    pub fn replace_seeds(&self, seeds: Vec<DaemonId>) {
        self.core.links().replace_seeds(seeds);
    }

    /// Shuts down gracefully: hands leadership over, stops the listener and the log, and returns.
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
    events: flume::Sender<WorkerEvent>,
) -> Result<ControllerCore, StartControllerError> {
    let links: Arc<OnceLock<MemberLinks>> = Arc::default();
    let applied = Arc::new(Notify::new());
    let log = start_log(&settings, data, &links, &applied)?;
    let now = Instant::now();
    let record = load_contacts(data);
    let local = hollowbarrow_member::member_id(&settings.ip, settings.mesh_port);
    let fleet = Mutex::new(FleetState::new(&local, &settings.zone));
    Ok(ControllerCore {
        protocol,
        log,
        changed: Notify::new(),
        updates_due: Notify::new(),
        confirmed: Notify::new(),
        gate: ProcessGate::new(settings.memory_mb, settings.descriptors),
        metrics: ControllerMetrics::new(),
        applied,
        events,
        started: now,
        suspension: SuspensionDetector::new(),
        links,
        fleet,
        contacts: Mutex::new(ContactBook::new(&record, now)),
        pending: Mutex::default(),
        holders: Mutex::default(),
        limits: Mutex::default(),
        parsed: Mutex::new(None),
        encoded: Mutex::new(None),
        commits: Mutex::default(),
        certainty: Mutex::default(),
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
        .with_applied_callback(Box::new(move |change| {
            let may_be_newer = match change {
                AppliedChange::Entry(entry) => {
                    matches!(entry.payload, EntryPayload::Deployment(_))
                }
                // A snapshot may bring a controller that was partitioned or stopped a newer
                // configuration.
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
    let links = MemberLinks::start(&core.settings, &core.gate, move |from, message| {
        if let Some(core) = handler_core.upgrade()
            && core.links.get().is_some()
        {
            handle_message(&core, from, message);
        }
    })?;
    let _ = core.links.set(links);
    let known = core.contacts().to_record().controllers;
    known.iter().for_each(|id| core.learn_controller(id));
    Ok(())
}
