//! Links to other daemons.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use hollowbarrow_peer::{EncodedMessage, MeshConfig, MeshTraffic, PeerMesh, StartMeshError};
use hollowbarrow_schema::{
    DaemonId, DeploymentDocument, FleetMessage, LogMessage, LogName, MemberSettings, PeerMessage,
};
use thiserror::Error;

use crate::settings::{member_id, seed_ids};

/// Longest time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time of one step on a connection that is up.
const STEP_TIMEOUT: Duration = Duration::from_millis(1000);
/// Silence after which a connection is made anew.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1600);

/// Why a daemon cannot be reached by others.
#[derive(Debug, Error)]
pub enum StartLinksError {
    /// The address for other daemons cannot be listened on.
    #[error("cannot listen on {address}, set as ip and mesh_port")]
    Listen {
        /// The address.
        address: String,
        /// Why.
        source: std::io::Error,
    },
    /// The connections cannot be served.
    #[error("cannot serve other daemons")]
    Mesh(#[from] StartMeshError),
}

/// A configuration in the form in which it goes over connections, made once for all gateways.
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

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bytes that a copy takes on its way.
    pub fn size(&self) -> usize {
        self.message.size()
    }
}

/// Sends messages to other daemons and knows which controllers there are.
pub struct MemberLinks {
    id: DaemonId,
    mesh: PeerMesh,
    seeds: Vec<DaemonId>,
    controllers: Mutex<BTreeSet<DaemonId>>,
}

impl MemberLinks {
    /// Starts listening; each message that comes is given to the handler.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be listened on.
    pub fn start(
        settings: &MemberSettings,
        handler: impl Fn(&DaemonId, PeerMessage) + Send + Sync + 'static,
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
            .with_timeouts(STEP_TIMEOUT, SILENCE_TIMEOUT);
        if let Some(ip) = bind_ip {
            config = config.with_source(ip);
        }
        let mesh = PeerMesh::start(config, listener, handler)?;
        let seeds: Vec<DaemonId> = seed_ids(settings);
        Ok(Self { id, mesh, seeds, controllers: Mutex::default() })
    }

    /// Name of this daemon.
    pub fn id(&self) -> &DaemonId {
        &self.id
    }

    /// Daemons that the settings name as seeds.
    pub fn seeds(&self) -> &[DaemonId] {
        &self.seeds
    }

    /// Controllers to talk to: those heard of, or the seeds before any was; without this daemon.
    pub fn controllers(&self) -> Vec<DaemonId> {
        let known = self.lock();
        let all = known.iter().chain(self.seeds.iter().filter(|seed| !known.contains(*seed)));
        all.filter(|id| **id != self.id).cloned().collect()
    }

    /// Adds controllers that were heard of; returns those that are new.
    pub fn learn_controllers<'a>(
        &self,
        heard: impl IntoIterator<Item = &'a DaemonId>,
    ) -> Vec<DaemonId> {
        let mut known = self.lock();
        heard.into_iter().filter(|id| known.insert((*id).clone())).cloned().collect()
    }

    /// Sends a message about the fleet; false where it was dropped at once.
    pub fn send(&self, to: &DaemonId, message: FleetMessage) -> bool {
        self.mesh.send(to, &PeerMessage::Fleet(message))
    }

    /// Sends a message about the fleet to several daemons and encodes it once; returns those to
    /// whom it was dropped at once.
    pub fn send_to_all<'a>(&self, to: &'a [DaemonId], message: FleetMessage) -> Vec<&'a DaemonId> {
        self.mesh.send_to_all(to, &PeerMessage::Fleet(message))
    }

    /// Sends a configuration in place of an older one that still waits; false where it was dropped
    /// at once.
    pub fn send_deployment(&self, to: &DaemonId, deployment: &EncodedDeployment) -> bool {
        self.mesh.send_newest(to, &deployment.message)
    }

    /// Sends a message of the configuration's log.
    pub fn send_log(&self, to: &DaemonId, message: LogMessage) -> bool {
        self.mesh.send(to, &PeerMessage::Log { name: LogName::Config, message })
    }

    /// What went to and came from other daemons so far.
    pub fn traffic(&self) -> &MeshTraffic {
        self.mesh.traffic()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<DaemonId>> {
        self.controllers.lock().expect("no holder of the lock panics")
    }
}
