//! Which upstreams a process reaches over its own network path, and which only through a peer.
//!
//! A failed connection alone does not tell whether the upstream is lost or the path to it. A peer that
//! reaches the upstream at that moment does: the loss is then this process's own (the differential
//! observation of "Gray Failure", HotOS 2017). Two upstreams of a service that only a peer reaches,
//! without a connection of this process's own to that service in between, mean that the process is
//! isolated from the service. Services to which it has opened no connection since then count as
//! unreached too, because a request on a connection from before would be lost.
//!
//! Invariant: an upstream counts as reached again only once a connection of this process's own to it,
//! or to its service while that is isolated, has been opened.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Number of upstreams of a service that only a peer reaches from which on the whole service counts
/// as unreached.
const MIN_BYPASSED: usize = 2;

/// The path over which an upstream is to be contacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPath {
    /// This process's own.
    Direct,
    /// Through a peer.
    Peer,
}

/// What a change of the table means for the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// Nothing beyond the upstream.
    None,
    /// The process is isolated from a whole service from now on.
    Isolated,
    /// The process is no longer isolated from any whole service.
    Reconnected,
}

/// Paths to the upstreams of one process. Services and upstreams are named.
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    /// Upstreams that were reached through a peer while this process did not reach them, by service.
    bypassed: BTreeMap<String, BTreeMap<String, SocketAddr>>,
    /// The same since the last connection of this process's own to the service.
    recent: BTreeMap<String, BTreeSet<String>>,
    /// Services from which the process is isolated.
    isolated: BTreeSet<String>,
    /// Services to which a connection was opened since the process became isolated from another one.
    connected: BTreeSet<String>,
}

impl PathTable {
    /// Creates a table in which all upstreams are reached directly.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the path to an upstream.
    pub fn path(&self, service: &str, upstream: &str) -> UpstreamPath {
        let bypassed = self.bypassed.get(service).is_some_and(|all| all.contains_key(upstream));
        if bypassed || self.is_unreached(service) {
            UpstreamPath::Peer
        } else {
            UpstreamPath::Direct
        }
    }

    /// Returns whether the whole service counts as unreached.
    pub fn is_unreached(&self, service: &str) -> bool {
        self.isolated.contains(service)
            || (!self.isolated.is_empty() && !self.connected.contains(service))
    }

    /// Returns whether a peer reached an upstream of a service that this process did not, while it is
    /// not known whether it reaches others.
    pub fn is_doubtful(&self, service: &str) -> bool {
        self.recent.contains_key(service) && !self.isolated.contains(service)
    }

    /// Returns whether the process is isolated from a whole service.
    pub fn is_isolated(&self) -> bool {
        !self.isolated.is_empty()
    }

    /// Returns the services from which the process is isolated.
    pub fn isolated(&self) -> impl Iterator<Item = &str> {
        self.isolated.iter().map(String::as_str)
    }

    /// Returns whether all upstreams are reached directly.
    pub fn is_clear(&self) -> bool {
        self.bypassed.is_empty() && self.isolated.is_empty()
    }

    /// Records that a peer reached an upstream that this process did not reach at that time.
    pub fn record_bypassed(
        &mut self,
        service: &str,
        upstream: &str,
        address: SocketAddr,
    ) -> PathChange {
        let bypassed = self.bypassed.entry(service.to_owned()).or_default();
        bypassed.insert(upstream.to_owned(), address);
        let recent = self.recent.entry(service.to_owned()).or_default();
        recent.insert(upstream.to_owned());
        if recent.len() < MIN_BYPASSED {
            return PathChange::None;
        }
        let is_first = self.isolated.is_empty();
        if is_first {
            self.connected.clear();
        }
        self.connected.remove(service);
        self.isolated.insert(service.to_owned());
        if is_first { PathChange::Isolated } else { PathChange::None }
    }

    /// Records that this process opened a connection of its own to an upstream.
    pub fn record_connected(&mut self, service: &str, upstream: &str) -> PathChange {
        if let Some(bypassed) = self.bypassed.get_mut(service) {
            bypassed.remove(upstream);
        }
        self.bypassed.retain(|_, upstreams| !upstreams.is_empty());
        self.recent.remove(service);
        if !self.isolated.is_empty() {
            self.connected.insert(service.to_owned());
        }
        let ended = self.isolated.remove(service);
        self.end_if_none_isolated(ended)
    }

    /// Returns the upstreams that only a peer reached, with their services and addresses.
    pub fn bypassed(&self) -> impl Iterator<Item = (&str, &str, SocketAddr)> {
        self.bypassed.iter().flat_map(|(service, upstreams)| {
            let each = upstreams.iter();
            each.map(move |(name, address)| (service.as_str(), name.as_str(), *address))
        })
    }

    /// Forgets upstreams that no longer exist. Returns what that means for the process: a service
    /// without any bypassed upstream cannot be isolated.
    pub fn retain(&mut self, exists: impl Fn(&str, &str) -> bool) -> PathChange {
        self.bypassed.retain(|service, upstreams| {
            upstreams.retain(|upstream, _| exists(service, upstream));
            !upstreams.is_empty()
        });
        self.recent.retain(|service, upstreams| {
            upstreams.retain(|upstream| exists(service, upstream));
            !upstreams.is_empty()
        });
        let before = self.isolated.len();
        self.isolated.retain(|service| self.bypassed.contains_key(service));
        let ended = self.isolated.len() < before;
        self.end_if_none_isolated(ended)
    }

    fn end_if_none_isolated(&mut self, ended: bool) -> PathChange {
        if !ended || !self.isolated.is_empty() {
            return PathChange::None;
        }
        self.connected.clear();
        PathChange::Reconnected
    }
}
