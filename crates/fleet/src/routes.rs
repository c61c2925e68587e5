//! Looks up routes and organisations of the configuration in force.
//!
//! Invariant: the time of a lookup depends on the length of the path, not on the
//! number of routes.

use std::collections::HashMap;
use std::sync::Arc;

use hollowbarrow_schema::ServiceName;

use crate::deployment::{CallerLimits, Deployment, Organisation, Route, Service};

/// A configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: u64,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
    organisations: Option<HashMap<String, Arc<Organisation>>>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Indexes a configuration in which [`Deployment::check`] found no fault.
    pub fn new(deployment: &Deployment) -> Self {
        let mut routes: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in &deployment.routes {
            let host = normalise_host(&route.host);
            routes.entry(host).or_default().insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let services = deployment.services.iter();
        let services =
            services.map(|service| (service.name.clone(), Arc::new(service.clone()))).collect();
        let organisations =
            deployment.organisations.as_ref().map(|organisations| index_keys(organisations));
        Self {
            version: deployment.version,
            routes,
            services,
            organisations,
            limits: deployment.limits,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&normalise_host(host))?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(position, _)| &path[..=position]).find_map(|prefix| routes.get(prefix))
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns whether requests of routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.organisations.is_some()
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations.as_ref()?.get(key)
    }
}

fn index_keys(organisations: &[Organisation]) -> HashMap<String, Arc<Organisation>> {
    let mut holders = HashMap::new();
    for organisation in organisations {
        let holder = Arc::new(organisation.clone());
        for key in &organisation.keys {
            holders.insert(key.clone(), Arc::clone(&holder));
        }
    }
    holders
}

/// Returns a host without its port, in lower case.
fn normalise_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
