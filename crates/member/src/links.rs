//! Connections to other daemons and the set of known controllers.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use hollowbarrow_ingress::ProcessGate;
use hollowbarrow_peer::{
    EncodedMessage, MeshConfig, MeshTraffic, PeerMesh, StartMeshError, TunnelGate, TunnelServer,
};
use hollowbarrow_schema::{
    DaemonId, DeploymentDocument, FleetMessage, LogMessage, LogName, MemberSettings, PeerMessage,
};
use thiserror::Error;

use crate::settings::{member_id, seed_ids};

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum time of one handshake step or write on an established connection.
const STEP_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without any received frame after which a connection is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1600);

/// Why a daemon's links could not be started.
#[derive(Debug, Error)]
pub enum StartLinksError {
    /// Listening on the address for other daemons failed.
    #[error("cannot listen on {address}, set as ip and mesh_port")]
    Listen {
        /// The address.
        address: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The peer mesh could not be started.
    #[error("cannot serve other daemons")]
    Mesh(#[from] StartMeshError),
}

/// A configuration in its wire encoding, encoded once for all gateways.
#[derive(Clone, Debug)]
pub struct EncodedDeployment {
    version: u64,
    message: EncodedMessage,
}

impl EncodedDeployment {
    /// Encodes a configuration.
    pub fn new(document: DeploymentDocument) -> Self {
        let version = document.version;
        let message = PeerMessage::Fleet(FleetMessage::Deployment(document));
        Self { version, message: EncodedMessage::new(&message) }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the size of the encoded configuration in bytes.
    pub fn size(&self) -> usize {
        self.message.size()
    }
}

/// Sends messages to other daemons and keeps the set of known controllers.
pub struct MemberLinks {
    id: DaemonId,
    mesh: PeerMesh,
    seeds: Mutex<Vec<DaemonId>>,
    controllers: Mutex<BTreeSet<DaemonId>>,
}

impl MemberLinks {
    /// Starts listening; each received message is passed to the handler.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start(
        settings: &MemberSettings,
        gate: &ProcessGate,
        handler: impl Fn(&DaemonId, PeerMessage) + Send + Sync + 'static,
    ) -> Result<Self, StartLinksError> {
        Self::start_with(settings, gate, |config, listener| {
            PeerMesh::start(config, listener, handler)
        })
    }

    /// Starts listening, and carries tunnels for peers to the upstreams that the gate admits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start_with_tunnels(
        settings: &MemberSettings,
        gate: &ProcessGate,
        handler: impl Fn(&DaemonId, PeerMessage) + Send + Sync + 'static,
        tunnel_gate: impl TunnelGate,
    ) -> Result<Self, StartLinksError> {
        Self::start_with(settings, gate, |config, listener| {
            PeerMesh::start_with_tunnels(config, listener, handler, tunnel_gate)
        })
    }

    fn start_with(
        settings: &MemberSettings,
        gate: &ProcessGate,
        start: impl FnOnce(MeshConfig, TcpListener) -> Result<PeerMesh, StartMeshError>,
    ) -> Result<Self, StartLinksError> {
        let id = member_id(&settings.ip, settings.mesh_port);
        let fail = |source| StartLinksError::Listen { address: id.to_string(), source };
        let address: SocketAddr =
            id.parse().map_err(|_| fail(std::io::Error::from(std::io::ErrorKind::InvalidInput)))?;
        let bind_ip = settings.bind_ip.as_ref().and_then(|ip| ip.parse().ok());
        let bound = SocketAddr::new(bind_ip.unwrap_or(address.ip()), address.port());
        let listener = TcpListener::bind(bound).map_err(fail)?;
        let mut config = MeshConfig::new(&id, &settings.cluster_keys)
            .with_addressed_peers()
            .with_connect_timeout(CONNECT_TIMEOUT)
            .with_timeouts(STEP_TIMEOUT, SILENCE_TIMEOUT)
            .with_gate(gate.handshakes());
        if let Some(ip) = bind_ip {
            config = config.with_source(ip);
        }
        let mesh = start(config, listener)?;
        let seeds = Mutex::new(seed_ids(settings));
        Ok(Self { id, mesh, seeds, controllers: Mutex::default() })
    }

    /// Returns the id of this daemon.
    pub fn id(&self) -> &DaemonId {
        &self.id
    }

    /// Replaces the daemons that the settings name as seeds.
    pub fn replace_seeds(&self, seeds: Vec<DaemonId>) {
        *self.seeds.lock().expect("no holder of the lock panics") = seeds;
    }

    /// Returns the learned controllers followed by the seeds, without duplicates and without this
    /// daemon.
    pub fn controllers(&self) -> Vec<DaemonId> {
        let known = self.lock();
        let seeds = self.seeds.lock().expect("no holder of the lock panics");
        let all = known.iter().chain(seeds.iter().filter(|seed| !known.contains(*seed)));
        all.filter(|id| **id != self.id).cloned().collect()
    }

    /// Adds controllers to the known set; returns those that are new.
    pub fn learn_controllers<'a>(
        &self,
        ids: impl IntoIterator<Item = &'a DaemonId>,
    ) -> Vec<DaemonId> {
        let mut known = self.lock();
        ids.into_iter().filter(|id| known.insert((*id).clone())).cloned().collect()
    }

    /// Queues a fleet message; returns false if it was dropped immediately.
    pub fn send(&self, to: &DaemonId, message: FleetMessage) -> bool {
        self.mesh.send(to, &PeerMessage::Fleet(message))
    }

    /// Queues a fleet message for several daemons and encodes it once; returns the daemons for
    /// which it was dropped immediately.
    pub fn send_to_all<'a>(&self, to: &'a [DaemonId], message: FleetMessage) -> Vec<&'a DaemonId> {
        self.mesh.send_to_all(to, &PeerMessage::Fleet(message))
    }

    /// Queues a configuration, replacing an older one that is still queued; returns false if it was
    /// dropped immediately.
    pub fn send_deployment(&self, to: &DaemonId, deployment: &EncodedDeployment) -> bool {
        self.mesh.send_newest(to, &deployment.message)
    }

    /// Queues a message of the configuration log; returns false if it was dropped immediately.
    pub fn send_log(&self, to: &DaemonId, message: LogMessage) -> bool {
        self.mesh.send(to, &PeerMessage::Log { name: LogName::Config, message })
    }

    /// Returns the connections to other daemons.
    pub fn mesh(&self) -> &PeerMesh {
        &self.mesh
    }

    /// Returns the tunnels that this daemon carries for others.
    pub fn tunnels(&self) -> &TunnelServer {
        self.mesh.tunnels()
    }

    /// Returns the traffic counters of the connections to other daemons.
    pub fn traffic(&self) -> &MeshTraffic {
        self.mesh.traffic()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<DaemonId>> {
        self.controllers.lock().expect("no holder of the lock panics")
    }
}
