//! Which daemons take part in a zone's authority, and which observe a node.

use hollowbarrow_schema::{DaemonId, NodeId, PeerSettings, ZoneId};

/// How many daemons probe each node.
const OBSERVERS_PER_NODE: usize = 2;
/// Most members of a zone's authority; more would only add messages.
const MAX_MEMBERS: usize = 5;

/// Members of a zone's authority: its first daemons by name, made odd by a witness.
///
/// A zone with an even number of daemons would stand still when half of them
/// are lost, so one of another zone's voters joins them; a zone that is cut
/// off still has its majority.
pub fn zone_members(zone: &ZoneId, peers: &[PeerSettings]) -> Vec<DaemonId> {
    let mut own: Vec<&PeerSettings> = peers.iter().filter(|peer| peer.zone == *zone).collect();
    own.sort_by(|a, b| (!a.control, !a.voter, &a.id).cmp(&(!b.control, !b.voter, &b.id)));
    own.truncate(MAX_MEMBERS);
    let mut members: Vec<DaemonId> = own.iter().map(|peer| peer.id.clone()).collect();
    if members.len().is_multiple_of(2) {
        let mut others: Vec<&PeerSettings> = peers.iter().filter(|p| p.zone != *zone).collect();
        others.sort_by_key(|peer| (!peer.voter, &peer.zone <= zone, &peer.zone, &peer.id));
        members.extend(others.first().map(|peer| peer.id.clone()));
    }
    members.sort();
    members
}

/// Members of a zone's authority that belong to the zone, without a witness of another.
pub fn members_without_witness<'a>(
    zone: &ZoneId,
    peers: &'a [PeerSettings],
) -> Vec<&'a PeerSettings> {
    let members = zone_members(zone, peers);
    peers.iter().filter(|peer| peer.zone == *zone && members.contains(&peer.id)).collect()
}

/// Members that observe a zone's nodes: those set aside for control, if any of them is there.
pub fn observing_members<'a>(
    zone: &ZoneId,
    peers: &'a [PeerSettings],
    is_there: impl Fn(&DaemonId) -> bool,
) -> Vec<&'a DaemonId> {
    let there: Vec<&PeerSettings> = members_without_witness(zone, peers)
        .into_iter()
        .filter(|peer| is_there(&peer.id))
        .collect();
    let control = there.iter().any(|peer| peer.control);
    there.into_iter().filter(|peer| !control || peer.control).map(|peer| &peer.id).collect()
}

/// Daemons that probe a node, chosen by the highest hash so that few change with the daemons.
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
