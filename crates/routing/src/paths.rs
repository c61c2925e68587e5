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

/// Paths to the upstreams of one process. `S` names services and `U` upstreams.
#[derive(Clone, Debug)]
pub struct PathTable<S, U> {
    /// Upstreams that were reached through a peer while this process did not reach them.
    bypassed: BTreeMap<(S, U), SocketAddr>,
    /// The same for each service since the last connection of this process's own to it.
    recent: BTreeMap<S, BTreeSet<U>>,
    /// Services from which the process is isolated.
    isolated: BTreeSet<S>,
    /// Services to which a connection was opened since the process became isolated from another one.
    connected: BTreeSet<S>,
}

impl<S, U> Default for PathTable<S, U> {
    fn default() -> Self {
        Self {
            bypassed: BTreeMap::new(),
            recent: BTreeMap::new(),
            isolated: BTreeSet::new(),
            connected: BTreeSet::new(),
        }
    }
}

impl<S: Clone + Ord, U: Clone + Ord> PathTable<S, U> {
    /// Creates a table in which all upstreams are reached directly.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the path to an upstream.
    pub fn path(&self, service: &S, upstream: &U) -> UpstreamPath {
        let bypassed = self.bypassed.contains_key(&(service.clone(), upstream.clone()));
        if bypassed || self.is_unreached(service) {
            UpstreamPath::Peer
        } else {
            UpstreamPath::Direct
        }
    }

    /// Returns whether the whole service counts as unreached.
    pub fn is_unreached(&self, service: &S) -> bool {
        let any = !self.isolated.is_empty();
        self.isolated.contains(service) || (any && !self.connected.contains(service))
    }

    /// Returns whether the process is isolated from a whole service.
    pub fn is_isolated(&self) -> bool {
        !self.isolated.is_empty()
    }

    /// Returns whether all upstreams are reached directly.
    pub fn is_clear(&self) -> bool {
        self.bypassed.is_empty() && self.isolated.is_empty()
    }

    /// Records that a peer reached an upstream that this process did not reach at that time.
    pub fn record_bypassed(
        &mut self,
        service: &S,
        upstream: &U,
        address: SocketAddr,
    ) -> PathChange {
        self.bypassed.insert((service.clone(), upstream.clone()), address);
        let recent = self.recent.entry(service.clone()).or_default();
        recent.insert(upstream.clone());
        if recent.len() < MIN_BYPASSED {
            return PathChange::None;
        }
        self.connected.remove(service);
        let first = self.isolated.is_empty();
        if first {
            self.connected.clear();
        }
        self.isolated.insert(service.clone());
        if first { PathChange::Isolated } else { PathChange::None }
    }

    /// Records that this process opened a connection of its own to an upstream.
    pub fn record_connected(&mut self, service: &S, upstream: &U) -> PathChange {
        self.bypassed.remove(&(service.clone(), upstream.clone()));
        self.recent.remove(service);
        if !self.isolated.is_empty() {
            self.connected.insert(service.clone());
        }
        if !self.isolated.remove(service) || !self.isolated.is_empty() {
            return PathChange::None;
        }
        self.connected.clear();
        PathChange::Reconnected
    }

    /// Returns the upstreams that only a peer reached, with their services and addresses.
    pub fn bypassed(&self) -> impl Iterator<Item = (&S, &U, SocketAddr)> {
        self.bypassed.iter().map(|((service, upstream), address)| (service, upstream, *address))
    }

    /// Forgets upstreams that no longer exist. Returns what that means for the process: a service
    /// without any such upstream cannot be isolated.
    pub fn retain(&mut self, exists: impl Fn(&S, &U) -> bool) -> PathChange {
        self.bypassed.retain(|(service, upstream), _| exists(service, upstream));
        self.recent.retain(|service, upstreams| {
            upstreams.retain(|upstream| exists(service, upstream));
            !upstreams.is_empty()
        });
        let isolated = !self.isolated.is_empty();
        let bypassed = &self.bypassed;
        self.isolated.retain(|service| bypassed.keys().any(|(other, _)| other == service));
        if isolated && self.isolated.is_empty() {
            self.connected.clear();
            return PathChange::Reconnected;
        }
        PathChange::None
    }
}
