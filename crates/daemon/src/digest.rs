//! Exchanges what was observed with other daemons.
//!
//! Members of the own zone's authority get every node that this daemon
//! observes; all other daemons get whole replicas only, and only from the two
//! daemons of the zone that a hash picks for them. A digest's ages are made
//! safe by echoes: its receiver counts from when it sent the message that the
//! digest echoes, which is surely before the digest left.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_schema::{
    DaemonId, GoneDigest, LogIndex, NodeId, ObserverDigest, PeerMessage, Term, ZoneId,
};
use hollowbarrow_zone::choose_observers;
use tokio::time::Instant;

use crate::core::DaemonCore;
use crate::fleet::FleetView;
use crate::keeper::zone_capacity;
use crate::observer::nodes_to_probe;

/// Sends digests at an even pace.
pub(crate) async fn send_digests(core: Arc<DaemonCore>) {
    let mut interval = tokio::time::interval(Duration::from_millis(core.settings.timing.digest_ms));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let voters = core.config_log.view().voters;
        for peer in core.settings.peers.iter().filter(|peer| peer.id != *core.id()) {
            let digest = compose(&core, &peer.id, &peer.zone, voters.contains(&peer.id));
            core.send(&peer.id, PeerMessage::Digest(digest));
        }
    }
}

fn compose(core: &DaemonCore, to: &DaemonId, zone: &ZoneId, voter: bool) -> ObserverDigest {
    let now = Instant::now();
    let (applied, capacity) =
        if voter { zone_capacity(core, now) } else { (LogIndex(0), Vec::new()) };
    let observed = nodes_to_probe(core);
    let fleet = core.fleet();
    let peer = fleet.peers.get(to);
    let held = peer.map_or(Duration::ZERO, |peer| now.saturating_duration_since(peer.heard));
    let own_zone = core.zone();
    let follows_nodes = core.zone_members(own_zone).contains(to);
    let own_nodes = || fleet.nodes.iter().filter(|(_, node)| node.listed.zone == *own_zone);
    let nodes =
        if follows_nodes { fleet.leases.to_digests(observed.iter(), now) } else { Vec::new() };
    let replicas = if !follows_nodes && is_reporter(core, &fleet, to) {
        let table = fleet.tables.get(own_zone);
        let allocations = table.iter().flat_map(|table| &table.allocations);
        let mut replicas = fleet.leases.to_replica_digests(allocations, now);
        let services = own_nodes().filter(|(_, node)| node.listed.service.is_some());
        replicas.extend(services.filter_map(|(id, _)| fleet.leases.to_node_digest(id, now)));
        replicas
    } else {
        Vec::new()
    };
    let lately = |at: &Instant| now.saturating_duration_since(*at) < core.lease() * 2;
    let gone: Vec<GoneDigest> = fleet
        .gone
        .iter()
        .filter(|(_, at)| follows_nodes && lately(at))
        .map(|(id, at)| {
            let age = now.saturating_duration_since(*at).as_millis() + 1;
            GoneDigest { n: id.clone(), a: u32::try_from(age).unwrap_or(u32::MAX) }
        })
        .collect();
    let own_rank = fleet.table_rank(own_zone);
    let wants_table = peer.is_some_and(|peer| peer.table_rank < own_rank);
    let their_rank = fleet.table_rank(zone);
    ObserverDigest {
        sent: clock_ms(core, now),
        echo: peer.map(|peer| peer.stamp),
        held: u32::try_from(held.as_millis()).unwrap_or(u32::MAX),
        nodes,
        replicas,
        gone,
        use_: core.limiter.demand(now),
        table: if wants_table { fleet.tables.get(own_zone).cloned() } else { None },
        table_term: Term(their_rank.0),
        table_version: their_rank.1,
        applied,
        capacity,
    }
}

/// Whether this daemon is one of those that tell another about the zone's replicas.
fn is_reporter(core: &DaemonCore, fleet: &FleetView, to: &DaemonId) -> bool {
    let now = Instant::now();
    let members: Vec<DaemonId> = core.zone_members(core.zone());
    let heard: Vec<&DaemonId> = members
        .iter()
        .filter(|id| *id == core.id() || fleet.is_heard(id, core.lease() * 2, now))
        .filter(|id| core.settings.peers.iter().any(|p| p.id == **id && p.zone == *core.zone()))
        .collect();
    choose_observers(&NodeId(to.to_string()), &heard).contains(&core.id())
}

/// Takes a digest that came.
pub(crate) fn take_digest(core: &DaemonCore, from: &DaemonId, digest: ObserverDigest) {
    let now = Instant::now();
    let Some(peer) = core.settings.peers.iter().find(|peer| peer.id == *from) else { return };
    core.limiter.observe_demand(from, &digest.use_, now);
    // An echo from the future can only be a fault, and must not lengthen a lease.
    let base = digest.echo.map(|echo| (core.started + Duration::from_millis(echo)).min(now));
    if let Some(table) = &digest.table
        && let Some(member) = core.authorities().get_mut(&table.zone)
    {
        member.offer_table(table);
    }
    let changed = core.fleet_mut().take_digest((from, &peer.zone), digest, base, now);
    if changed {
        core.rebuild_routes();
    }
}

fn clock_ms(core: &DaemonCore, now: Instant) -> u64 {
    let elapsed = now.saturating_duration_since(core.started);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
