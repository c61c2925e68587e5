//! Exchanges what was observed with other daemons.
//!
//! Who hears from whom does not depend on the size of the fleet. Every daemon
//! speaks to the members of its own zone's authority. For each zone of its
//! region a daemon has two reporters among that zone's members, picked by a
//! hash: it greets them, and they tell it which of their zone's replicas serve
//! and what their zone asks of each organisation. Nodes one by one are told to
//! the own zone's members only, and a zone's room to the log's leader only.
//!
//! A digest's ages are made safe by echoes: its receiver counts from when it
//! sent the message that the digest echoes, which is surely before the digest
//! left.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_schema::{
    DaemonId, GoneDigest, LogIndex, NodeId, ObserverDigest, PeerMessage, PeerSettings,
    ReplicaDigest, ReplicaSet, Term, ZoneId,
};
use hollowbarrow_zone::{choose_observers, members_without_witness};
use tokio::time::Instant;

use crate::core::DaemonCore;
use crate::fleet::{FleetView, ListedSet};
use crate::observer::nodes_to_probe;
use crate::zone_demand::zone_capacity;

/// A daemon that has nothing to tell greets once in this many rounds.
const KEEPALIVE_ROUNDS: u64 = 4;

/// Sends digests at an even pace.
pub(crate) async fn send_digests(core: Arc<DaemonCore>) {
    let mut interval = tokio::time::interval(Duration::from_millis(core.settings.timing.digest_ms));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for round in 0_u64.. {
        interval.tick().await;
        let observed = nodes_to_probe(&core);
        let crashes = core.crashes().due(Instant::now());
        for peer in digest_targets(&core) {
            let digest = ObserverDigest {
                crashes: crashes.clone(),
                ..compose_digest(&core, peer, &observed)
            };
            // A greeting only keeps an echo alive, and an echo ages without harm.
            let is_keepalive =
                round.is_multiple_of(KEEPALIVE_ROUNDS) || round < 2 * KEEPALIVE_ROUNDS;
            if is_keepalive || has_content(&digest) {
                core.send(&peer.id, PeerMessage::Digest(digest));
            }
        }
    }
}

fn has_content(digest: &ObserverDigest) -> bool {
    !digest.nodes.is_empty()
        || !digest.replicas.is_empty()
        || digest.set.digest != 0
        || !digest.gone.is_empty()
        || !digest.capacity.is_empty()
        || digest.table.is_some()
        || !digest.crashes.is_empty()
}

/// Daemons that are to hear from this one.
fn digest_targets(core: &DaemonCore) -> Vec<&PeerSettings> {
    let leader = core.config_log.view().leader;
    let local_members = core.zone_members(core.zone());
    let region = core.region();
    let fleet = core.fleet();
    let peers = core.settings.peers.iter().filter(|peer| peer.id != *core.id());
    peers
        .filter(|peer| {
            let near = peer.region == region;
            local_members.contains(&peer.id)
                || leader.as_ref() == Some(&peer.id)
                || (near && is_reporter(core, &fleet, (core.id(), core.zone()), &peer.id))
                || (near && is_reporter(core, &fleet, (&peer.id, &peer.zone), core.id()))
        })
        .collect()
}

fn compose_digest(core: &DaemonCore, to: &PeerSettings, observed: &[NodeId]) -> ObserverDigest {
    let now = Instant::now();
    let to_leader = core.config_log.view().leader.as_ref() == Some(&to.id);
    let (applied, capacity) =
        if to_leader { zone_capacity(core, now) } else { (LogIndex(0), Vec::new()) };
    let fleet = core.fleet();
    let peer = fleet.peers.get(&to.id);
    let held =
        peer.map_or(Duration::ZERO, |peer| now.saturating_duration_since(peer.last_received));
    let local_zone = core.zone();
    let observes_nodes = core.zone_members(local_zone).contains(&to.id);
    let reports = !observes_nodes
        && to.region == core.region()
        && is_reporter(core, &fleet, (core.id(), local_zone), &to.id);
    let nodes =
        if observes_nodes { fleet.leases.to_digests(observed.iter(), now) } else { Vec::new() };
    let replicas = if reports { report_replicas(&fleet, local_zone, now) } else { Vec::new() };
    let known = peer.map_or(0, |peer| peer.known_set);
    let (set, replicas) = compress_replicas(replicas, known, core.lease());
    let recent = |at: &Instant| now.saturating_duration_since(*at) < core.lease() * 2;
    let gone: Vec<GoneDigest> = fleet
        .gone
        .iter()
        .filter(|(_, at)| observes_nodes && recent(at))
        .map(|(id, at)| {
            let age = now.saturating_duration_since(*at).as_millis() + 1;
            GoneDigest { n: id.clone(), a: u32::try_from(age).unwrap_or(u32::MAX) }
        })
        .collect();
    let (speaks_for, use_) = if reports {
        core.limiter.zone_demand(local_zone, &to.id, now)
    } else {
        (1, core.limiter.demand(now))
    };
    let zone = &to.zone;
    let local_precedence = fleet.table_precedence(local_zone);
    let wants_table = peer.is_some_and(|peer| peer.table_precedence < local_precedence);
    let receiver_precedence = fleet.table_precedence(zone);
    ObserverDigest {
        sent: clock_ms(core, now),
        echo: peer.map(|peer| peer.sender_clock_ms),
        held: u32::try_from(held.as_millis()).unwrap_or(u32::MAX),
        nodes,
        replicas,
        set,
        known_set: peer.map_or(0, |peer| peer.listed.digest),
        gone,
        speaks_for,
        use_,
        table: if wants_table { fleet.tables.get(local_zone).cloned() } else { None },
        table_term: Term(receiver_precedence.0),
        table_version: receiver_precedence.1,
        applied,
        capacity,
        crashes: Vec::new(),
    }
}

/// Names the replicas that are fresh together, in place of listing them, where the receiver
/// keeps their list; the others are listed.
fn compress_replicas(
    replicas: Vec<ReplicaDigest>,
    known: u64,
    lease: Duration,
) -> (ReplicaSet, Vec<ReplicaDigest>) {
    // One that is nearly silent must not make all others seem as old.
    let fresh_ms = u32::try_from(lease.as_millis() / 2).unwrap_or(u32::MAX);
    let (fresh, stale): (Vec<_>, Vec<_>) =
        replicas.into_iter().partition(|replica| replica.a <= fresh_ms);
    let digest = hash_replica_set(&fresh);
    let oldest = fresh.iter().map(|replica| replica.a).max().unwrap_or(0);
    if digest == known {
        let loads = fresh.iter().map(|r| u16::try_from(r.l).unwrap_or(u16::MAX)).collect();
        return (ReplicaSet { digest, oldest, loads }, stale);
    }
    let listed = fresh.into_iter().chain(stale).collect();
    (ReplicaSet { digest, oldest, loads: Vec::new() }, listed)
}

/// Digest of heads and epochs in order, 0 for none.
fn hash_replica_set(replicas: &[ReplicaDigest]) -> u64 {
    replicas.iter().fold(0, extend_set_hash)
}

fn extend_set_hash(digest: u64, replica: &ReplicaDigest) -> u64 {
    let text = format!("{}/{}", *replica.h, *replica.e);
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), digest).max(1)
}

/// Writes a named set out again, with the list that was kept of it.
pub(crate) fn expand_set(set: &ReplicaSet, kept: &ListedSet) -> Vec<ReplicaDigest> {
    if set.digest == 0 || set.digest != kept.digest || set.loads.len() != kept.replicas.len() {
        return Vec::new();
    }
    let named = kept.replicas.iter().zip(&set.loads);
    named
        .map(|((head, epoch), load)| ReplicaDigest {
            h: head.clone(),
            e: *epoch,
            a: set.oldest,
            l: u32::from(*load),
        })
        .collect()
}

/// The list of a set that came in full, to be kept.
pub(crate) fn extract_set(set: &ReplicaSet, listed: &[ReplicaDigest]) -> Option<ListedSet> {
    // The fresh ones come first; how many they are shows where the digest fits.
    let mut digest = 0;
    let count = listed.iter().position(|replica| {
        digest = extend_set_hash(digest, replica);
        digest == set.digest
    })?;
    let fresh = listed[..=count].iter().map(|replica| (replica.h.clone(), replica.e));
    Some(ListedSet { digest: set.digest, replicas: fresh.collect() })
}

/// Serving replicas and plain services of a zone.
fn report_replicas(fleet: &FleetView, zone: &ZoneId, now: Instant) -> Vec<ReplicaDigest> {
    let allocations = fleet.tables.get(zone).into_iter().flat_map(|table| &table.allocations);
    let mut replicas = fleet.leases.to_replica_digests(allocations, now);
    let services = fleet.service_nodes().filter(|(_, node, _)| node.listed.zone == *zone);
    replicas.extend(services.filter_map(|(id, ..)| fleet.leases.to_node_digest(id, now)));
    replicas
}

/// Whether a daemon of a zone is one of the two that tell another about the zone's replicas.
///
/// Only members of the zone are; members that this daemon knows to be silent are passed over.
fn is_reporter(
    core: &DaemonCore,
    fleet: &FleetView,
    reporter: (&DaemonId, &ZoneId),
    to: &DaemonId,
) -> bool {
    let (id, zone) = reporter;
    let now = Instant::now();
    let within = core.lease() * 2;
    let is_local = zone == core.zone();
    let members: Vec<&DaemonId> = members_without_witness(zone, &core.settings.peers)
        .into_iter()
        .map(|peer| &peer.id)
        .filter(|member| {
            *member == core.id() || !is_local || fleet.has_reported(member, within, now)
        })
        .collect();
    // Who greets from another zone cannot know which members are silent, so it greets all of
    // those that might report to it.
    let chosen = choose_observers(&NodeId(to.to_string()), &members);
    chosen.contains(&id) || (!is_local && members.contains(&id))
}

/// Takes a digest that came.
pub(crate) fn handle_digest(core: &DaemonCore, from: &DaemonId, digest: ObserverDigest) {
    let now = Instant::now();
    let Some(peer) = core.settings.peers.iter().find(|peer| peer.id == *from) else { return };
    core.crashes().merge(&digest.crashes, now);
    let source = if digest.speaks_for > 1 { peer.zone.as_str() } else { from.as_str() };
    core.limiter.record_demand(source, &peer.zone, digest.speaks_for, &digest.use_, now);
    // An echo from the future can only be a fault, and must not lengthen a lease.
    let base = digest.echo.map(|echo| (core.started + Duration::from_millis(echo)).min(now));
    if let Some(table) = &digest.table
        && let Some(member) = core.authorities().get_mut(&table.zone)
    {
        member.offer_table(table);
    }
    let changed = core.fleet_mut().record_digest((from, &peer.zone), digest, base, now);
    if changed {
        core.rebuild_routes();
    }
}

fn clock_ms(core: &DaemonCore, now: Instant) -> u64 {
    let elapsed = now.saturating_duration_since(core.started);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
