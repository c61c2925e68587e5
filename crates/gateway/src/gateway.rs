//! Starts and stops a gateway.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Duration;

use hollowbarrow_ingress::{bind_http, serve_http};
use hollowbarrow_member::{MemberLinks, StartLinksError, serve_metrics};
use hollowbarrow_peer::TunnelGate;
use hollowbarrow_schema::{DaemonId, MemberSettings, TunnelRefusal};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::core::GatewayCore;
use crate::intake::{CallerHandler, ReadinessHandler};
use crate::links::{ask_for_permits, handle_message, report_to_controllers};
use crate::protocol::CallerProtocol;

/// Time in which load balancers notice that this gateway is not ready.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2500);
/// Part of the stop time that is left for the process to exit before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which the requests in flight are checked while stopping.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Error from starting a gateway.
#[derive(Debug, Error)]
pub enum StartGatewayError {
    /// A setting that a gateway needs is missing.
    #[error("the setting {0} is missing")]
    Missing(&'static str),
    /// The gateway cannot listen on an address.
    #[error("cannot listen on {address}, set as {field}")]
    Listen {
        /// Setting that names the address.
        field: &'static str,
        /// The address.
        address: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The links to other daemons could not be started.
    #[error("cannot serve other daemons")]
    Links(#[from] StartLinksError),
}

/// A running gateway.
pub struct Gateway {
    core: Arc<GatewayCore>,
    stop: watch::Sender<bool>,
}

impl Gateway {
    /// Starts a gateway on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if a setting is missing, or if an address cannot be listened on.
    pub fn start(
        settings: MemberSettings,
        protocol: Arc<dyn CallerProtocol>,
    ) -> Result<Self, StartGatewayError> {
        let callers = listen("callers", settings.callers.as_deref())?;
        let readiness = listen("readiness", settings.readiness.as_deref())?;
        let core = Arc::new(GatewayCore::new(settings, protocol));
        let links = start_links(&core)?;
        let (stop, stopped) = watch::channel(false);
        let connections = Arc::clone(&core.connections);
        tokio::spawn(async move { connections.run().await });
        let handler = Arc::new(CallerHandler(Arc::clone(&core)));
        tokio::spawn(serve_http(callers, stopped, handler, core.gate.clients("callers")));
        let handler = Arc::new(ReadinessHandler(Arc::clone(&core)));
        let gate = core.gate.checks("readiness");
        tokio::spawn(async move {
            // Readiness checks are answered until the process ends: nothing is sent on this channel.
            let (_open, never) = watch::channel(false);
            serve_http(readiness, never, handler, gate).await;
        });
        tokio::spawn(report_to_controllers(Arc::clone(&core), Arc::clone(&links)));
        let (reach, picked) = (Arc::clone(&core.reach), Arc::clone(&core));
        tokio::spawn(reach.run_checks(move || picked.picker().targets()));
        tokio::spawn(ask_for_permits(Arc::clone(&core), Arc::clone(&links)));
        let shown = Arc::clone(&core);
        let gate = core.gate.checks("metrics");
        serve_metrics(core.settings.metrics.as_deref(), gate, move || {
            shown.metrics_text(links.traffic().dropped())
        });
        log::info!("event=started role=gateway name={}", core.settings.name);
        Ok(Self { core, stop })
    }

    /// Replaces the controllers that the settings name as seeds.
    pub fn replace_seeds(&self, seeds: Vec<DaemonId>) {
        if let Some(links) = self.core.links.get() {
            links.replace_seeds(seeds);
        }
    }

    /// Stops gracefully: reports not ready, serves until load balancers have noticed that, and
    /// returns when the answers to all requests are written or the stop time is over.
    pub async fn stop(&self) {
        let core = &self.core;
        let limit = Instant::now() + Duration::from_millis(core.settings.stop_ms.into());
        let limit = limit.checked_sub(EXIT_MARGIN).unwrap_or(limit);
        log::info!("event=stopping in_flight={}", core.in_flight());
        core.stopping.store(true, Ordering::Relaxed);
        if let Some(links) = core.links.get() {
            links.tunnels().stop();
        }
        tokio::time::sleep(READINESS_PROPAGATION_TIME).await;
        self.stop.send_replace(true);
        while core.is_busy() && Instant::now() < limit {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        let unwritten = core.used_connections.count();
        log::info!("event=stopped in_flight={} unwritten={unwritten}", core.in_flight());
    }
}

fn listen(
    field: &'static str,
    address: Option<&str>,
) -> Result<tokio::net::TcpListener, StartGatewayError> {
    let address = address.ok_or(StartGatewayError::Missing(field))?;
    bind_http(address).map_err(|source| StartGatewayError::Listen {
        field,
        address: address.to_owned(),
        source,
    })
}

fn start_links(core: &Arc<GatewayCore>) -> Result<Arc<MemberLinks>, StartLinksError> {
    let handler_core = Arc::clone(core);
    let handler = move |from: &DaemonId, message| {
        if let Some(links) = handler_core.links.get() {
            handle_message(&handler_core, links, from, message);
        }
    };
    let workers = WorkerGate(Arc::downgrade(core));
    let links = MemberLinks::start_with_tunnels(&core.settings, &core.gate, handler, workers)?;
    let links = Arc::new(links);
    core.reach.set_mesh(links.mesh().clone());
    let _ = core.links.set(Arc::clone(&links));
    Ok(links)
}

/// Admits tunnels to the workers that take requests.
struct WorkerGate(Weak<GatewayCore>);

impl TunnelGate for WorkerGate {
    fn admit(&self, _: &DaemonId, upstream: &str) -> Result<SocketAddr, TunnelRefusal> {
        let core = self.0.upgrade().ok_or(TunnelRefusal::Stopping)?;
        let target = core.picker().find_target(upstream);
        core.reach.admit_tunnel(&target.ok_or(TunnelRefusal::UnknownUpstream)?)
    }
}
