//! A complete configuration: routes, services, organisations and limits.
//!
//! Invariant: a [`Deployment`] in which [`Deployment::check`] finds no fault can
//! be put in force as it is.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::{OrganisationId, ServiceName};
use thiserror::Error;

use crate::engine::Engine;

/// Whether requests of a route may be repeated, and the form of their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events; it may run at most once.
    Stream,
    /// The answer is a stream of events that another worker can continue.
    ResumableStream,
}

impl Repeatability {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Services and objectives of the requests for a host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Path prefix; it starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: Repeatability,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency objective of an answer, or of a stream's first event.
    pub objective: Duration,
    /// Latency objective of the gap between two events of a stream.
    pub gap_objective: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Most workers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A set of interchangeable workers, or of model engines that form replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one worker accepts from all callers together.
    pub max_connections: u32,
    /// Present where the workers are model engines.
    pub engine: Option<Engine>,
}

impl Service {
    /// Returns whether its workers form replicas.
    pub fn has_replicas(&self) -> bool {
        self.engine.as_ref().is_some_and(|engine| !engine.models.is_empty())
    }
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name that is sent to workers.
    pub name: OrganisationId,
    /// Valid keys.
    pub keys: Vec<String>,
    /// Priority that overrides the route's, if set.
    pub priority: Option<u8>,
}

/// Limits on the size and duration of what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version; the highest takes precedence.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Organisations; `None` means that no request needs a key.
    pub organisations: Option<Vec<Organisation>>,
}

/// Why a configuration cannot be put in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeploymentFault {
    /// A field of the document cannot be read.
    #[error("{field}: {reason}")]
    Unreadable {
        /// Path of the field in the document.
        field: String,
        /// What is wrong.
        reason: String,
    },
    /// A route names a service that the document does not define.
    #[error("routes.{route}: the service {service} is not in the document")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes share a host and prefix.
    #[error("routes.{second}: {host}{prefix} is already used by {first}")]
    DuplicateRoute {
        /// Route that came first.
        first: String,
        /// Route that came second.
        second: String,
        /// Host that both name.
        host: String,
        /// Prefix that both name.
        prefix: String,
    },
    /// All weights of a route are 0.
    #[error("routes.{route}.weights: they add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[error("routes.{route}.timeout: it is 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[error("routes.{route}.prefix: {prefix:?} does not begin and end with a slash")]
    BadPrefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// Two services share a name.
    #[error("services.{name}: the name is used twice")]
    DuplicateService {
        /// The name.
        name: String,
    },
    /// Two organisations share a key.
    #[error("organisations.{second}: a key is already used by {first}")]
    SharedKey {
        /// Organisation that came first.
        first: String,
        /// Organisation that came second.
        second: String,
    },
    /// The replica size of a model is 0.
    #[error("services.{service}.models.{model}: its size is 0")]
    ZeroSize {
        /// Name of the service.
        service: String,
        /// Name of the model.
        model: String,
    },
}

impl Deployment {
    /// Returns every fault that prevents the configuration from being put in force.
    pub fn check(&self) -> Vec<DeploymentFault> {
        let mut faults = Vec::new();
        self.check_services(&mut faults);
        self.check_routes(&mut faults);
        self.check_organisations(&mut faults);
        faults
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    fn check_services(&self, faults: &mut Vec<DeploymentFault>) {
        let mut names = BTreeSet::new();
        for service in &self.services {
            if !names.insert(&service.name) {
                faults.push(DeploymentFault::DuplicateService { name: service.name.to_string() });
            }
            let models = service.engine.iter().flat_map(|engine| &engine.models);
            for model in models.filter(|model| model.size == 0) {
                faults.push(DeploymentFault::ZeroSize {
                    service: service.name.to_string(),
                    model: model.name.to_string(),
                });
            }
        }
    }

    fn check_routes(&self, faults: &mut Vec<DeploymentFault>) {
        let services: BTreeSet<&ServiceName> =
            self.services.iter().map(|service| &service.name).collect();
        let mut prefixes: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            let name = || route.name.clone();
            for (service, _) in route.split.iter().filter(|(name, _)| !services.contains(name)) {
                let service = service.to_string();
                faults.push(DeploymentFault::UnknownService { route: name(), service });
            }
            if let Some(first) = prefixes.insert((&route.host, &route.prefix), &route.name) {
                faults.push(DeploymentFault::DuplicateRoute {
                    first: first.to_owned(),
                    second: name(),
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
            if route.split.iter().all(|(_, weight)| *weight == 0) {
                faults.push(DeploymentFault::ZeroWeight { route: name() });
            }
            if route.timeout.is_zero() {
                faults.push(DeploymentFault::ZeroTimeout { route: name() });
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                let prefix = route.prefix.clone();
                faults.push(DeploymentFault::BadPrefix { route: name(), prefix });
            }
        }
    }

    fn check_organisations(&self, faults: &mut Vec<DeploymentFault>) {
        let mut holders: BTreeMap<&str, &OrganisationId> = BTreeMap::new();
        for organisation in self.organisations.iter().flatten() {
            for key in &organisation.keys {
                match holders.insert(key, &organisation.name) {
                    Some(first) if *first != organisation.name => {
                        faults.push(DeploymentFault::SharedKey {
                            first: first.to_string(),
                            second: organisation.name.to_string(),
                        });
                    }
                    _ => {}
                }
            }
        }
    }
}
