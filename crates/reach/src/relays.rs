//! The peers through which a process may open tunnels to upstreams.
//!
//! Which of them reach an upstream shows only when a tunnel is tried.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, GatewayPlace, ZoneId};
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::time::Instant;

/// Time for which a peer that failed to carry a tunnel is tried after the others.
const PENALTY_TIME: Duration = Duration::from_secs(1);
/// Time for which a service counts as lacking peers after no peer could be used for it.
const LACK_TIME: Duration = Duration::from_secs(1);
/// Time after its last success for which a peer is kept that is not in the newest sample.
const RETENTION: Duration = Duration::from_secs(10);
/// Number of usable peers in the process's own zone from which on no others are tried first. Fewer
/// could be overloaded by the daemons of a zone that is mostly isolated.
const MIN_IN_ZONE: usize = 2;

/// What is known about one peer.
#[derive(Clone, Debug)]
struct RelayPeer {
    zone: ZoneId,
    last_success: Option<Instant>,
    unusable_until: Option<Instant>,
    /// Until when it is tried last for a service of which it did not reach an upstream.
    unreaching_until: BTreeMap<String, Instant>,
}

impl RelayPeer {
    fn new(zone: ZoneId) -> Self {
        let unreaching_until = BTreeMap::new();
        Self { zone, last_success: None, unusable_until: None, unreaching_until }
    }

    /// Returns whether it has not failed lately, for this service or altogether.
    fn is_usable_for(&self, service: &str, now: Instant) -> bool {
        let until = self.unusable_until.max(self.unreaching_until.get(service).copied());
        until <= Some(now)
    }
}

/// The peers that a process knows, and which of them have failed recently.
#[derive(Clone, Debug)]
pub struct RelayPeers {
    zone: ZoneId,
    peers: BTreeMap<DaemonId, RelayPeer>,
    /// When tunnels began to fail through every peer that was tried, without a success since.
    failing_since: Option<Instant>,
    /// When no peer could be used for a service, without a success since.
    lacking: BTreeMap<String, Instant>,
}

impl RelayPeers {
    /// Creates an empty set for a process in this zone.
    pub fn new(zone: &ZoneId) -> Self {
        let (peers, lacking) = (BTreeMap::new(), BTreeMap::new());
        Self { zone: zone.clone(), peers, failing_since: None, lacking }
    }

    /// Replaces the peers by a newer sample. Peers that have carried a tunnel recently are kept.
    pub fn replace(&mut self, places: impl IntoIterator<Item = GatewayPlace>, now: Instant) {
        let mut former = std::mem::take(&mut self.peers);
        for GatewayPlace { id, zone } in places {
            let peer = former.remove(&id).unwrap_or_else(|| RelayPeer::new(zone));
            self.peers.insert(id, peer);
        }
        former.retain(|_, peer| {
            peer.last_success.is_some_and(|at| now.saturating_duration_since(at) < RETENTION)
        });
        self.peers.append(&mut former);
    }

    /// Returns the peers in the order in which they are to be tried for a service, drawn at random.
    /// Peers of the process's own zone and others take turns, because a whole zone may lose its paths
    /// at once. One of the own zone comes first if several there are usable. Peers that failed lately
    /// come last.
    pub fn candidates(&self, service: &str, now: Instant, rng: &mut impl Rng) -> Vec<DaemonId> {
        let (usable, failed): (Vec<_>, Vec<_>) =
            self.peers.iter().partition(|(_, peer)| peer.is_usable_for(service, now));
        let mut ordered = self.in_turn(usable, rng);
        ordered.extend(self.in_turn(failed, rng));
        ordered
    }

    /// Orders peers at random so that those of the process's own zone and others take turns.
    fn in_turn(&self, peers: Vec<(&DaemonId, &RelayPeer)>, rng: &mut impl Rng) -> Vec<DaemonId> {
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            peers.into_iter().partition(|(_, peer)| peer.zone == self.zone);
        if near.len() < MIN_IN_ZONE {
            far.append(&mut near);
        }
        near.shuffle(rng);
        far.shuffle(rng);
        let (mut near, mut far) = (near.into_iter(), far.into_iter());
        let mut ordered = Vec::new();
        while near.len() + far.len() > 0 {
            ordered.extend(near.next().into_iter().chain(far.next()));
        }
        ordered.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Records that a peer has carried a tunnel to an upstream of a service.
    pub fn record_success(&mut self, id: &DaemonId, service: &str, now: Instant) {
        self.failing_since = None;
        self.lacking.remove(service);
        if let Some(peer) = self.peers.get_mut(id) {
            (peer.last_success, peer.unusable_until) = (Some(now), None);
            peer.unreaching_until.remove(service);
        }
    }

    /// Records that a peer cannot carry tunnels now.
    pub fn record_unusable(&mut self, id: &DaemonId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.unusable_until = Some(now + PENALTY_TIME);
        }
    }

    /// Records that a peer did not reach an upstream of a service.
    pub fn record_unreaching(&mut self, id: &DaemonId, service: &str, now: Instant) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.unreaching_until.insert(service.to_owned(), now + PENALTY_TIME);
        }
    }

    /// Records that no peer could be used for a tunnel to an upstream of a service.
    pub fn record_none_usable(&mut self, service: &str, now: Instant) {
        self.failing_since.get_or_insert(now);
        self.lacking.insert(service.to_owned(), now);
    }

    /// Returns for how long no peer could be used for any tunnel; zero if the last one succeeded.
    pub fn failing_for(&self, now: Instant) -> Duration {
        self.failing_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the services for which no peer could be used lately.
    pub fn lacking(&self, now: Instant) -> impl Iterator<Item = &str> {
        let recent = move |at: Instant| now.saturating_duration_since(at) < LACK_TIME;
        let lacking = self.lacking.iter().filter(move |(_, at)| recent(**at));
        lacking.map(|(service, _)| service.as_str())
    }
}
