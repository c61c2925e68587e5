//! Selection of the daemons that take part in a zone's authority, and of those that observe a node.

use hollowbarrow_schema::{DaemonId, NodeId, PeerSettings, ZoneId};

/// How many daemons probe each node.
const OBSERVERS_PER_NODE: usize = 2;
/// Most members of a zone's authority; more would only add messages.
const MAX_MEMBERS: usize = 5;

/// Returns the members of a zone's authority: the first daemons of the zone, ordered by those set
/// aside for control, then voters, then name. A witness makes an even number odd.
///
/// A zone with an even number of daemons would have no majority after the loss of half of them, so
/// a daemon of another zone, a voter if there is one, joins them as a witness. A zone that is partitioned still has its
/// majority.
pub fn zone_members(zone: &ZoneId, peers: &[PeerSettings]) -> Vec<DaemonId> {
    let mut local: Vec<&PeerSettings> = peers.iter().filter(|peer| peer.zone == *zone).collect();
    local.sort_by(|a, b| (!a.control, !a.voter, &a.id).cmp(&(!b.control, !b.voter, &b.id)));
    local.truncate(MAX_MEMBERS);
    let mut members: Vec<DaemonId> = local.iter().map(|peer| peer.id.clone()).collect();
    if members.len().is_multiple_of(2) {
        let mut others: Vec<&PeerSettings> = peers.iter().filter(|p| p.zone != *zone).collect();
        others.sort_by_key(|peer| (!peer.voter, &peer.zone <= zone, &peer.zone, &peer.id));
        members.extend(others.first().map(|peer| peer.id.clone()));
    }
    members.sort();
    members
}

/// Returns the members of a zone's authority that belong to the zone, without the witness.
pub fn members_without_witness<'a>(
    zone: &ZoneId,
    peers: &'a [PeerSettings],
) -> Vec<&'a PeerSettings> {
    let members = zone_members(zone, peers);
    peers.iter().filter(|peer| peer.zone == *zone && members.contains(&peer.id)).collect()
}

/// Returns the members that observe a zone's nodes: those set aside for control if any of them is
/// available, else all available ones.
pub fn observing_members<'a>(
    zone: &ZoneId,
    peers: &'a [PeerSettings],
    is_available: impl Fn(&DaemonId) -> bool,
) -> Vec<&'a DaemonId> {
    let available: Vec<&PeerSettings> = members_without_witness(zone, peers)
        .into_iter()
        .filter(|peer| is_available(&peer.id))
        .collect();
    let control = available.iter().any(|peer| peer.control);
    available.into_iter().filter(|peer| !control || peer.control).map(|peer| &peer.id).collect()
}

/// Returns the daemons that probe a node, by rendezvous hashing, so that few assignments change when
/// the set of daemons changes.
pub fn choose_observers<'a>(node: &NodeId, daemons: &[&'a DaemonId]) -> Vec<&'a DaemonId> {
    let mut ranked: Vec<(u64, &DaemonId)> =
        daemons.iter().map(|daemon| (hash_pair(node, daemon), *daemon)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().take(OBSERVERS_PER_NODE).map(|(_, daemon)| daemon).collect()
}

fn hash_pair(node: &NodeId, daemon: &DaemonId) -> u64 {
    let text = format!("{}/{}", **node, **daemon);
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
