//! Exchanges summaries of the observed state with other daemons.
//!
//! The number of daemons that a daemon sends to does not depend on the size of
//! the fleet. Every daemon sends to the members of its local zone's authority.
//! For each zone of its region a daemon has two reporters among that zone's
//! members, chosen by a hash: they report which of their zone's replicas serve
//! and the zone's demand for each organisation. The daemon does not know which
//! members of another zone are silent, so it sends keepalives to all of them.
//! Single nodes are reported to the local zone's members only, and a zone's
//! capacity to the leader of the configuration log only.
//!
//! Echoes make the ages in a summary safe: the receiver counts them from the time
//! at which it sent the message that the summary echoes, which is before the
//! summary was sent.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_schema::{
    DaemonId, GoneDigest, LogIndex, NodeId, ObserverDigest, PeerMessage, PeerSettings,
    ReplicaDigest, ReplicaSet, RestartDigest, Term, ZoneId,
};
use hollowbarrow_zone::{choose_observers, members_without_witness};
use tokio::time::Instant;

use crate::core::DaemonCore;
use crate::fleet::{FleetView, ListedSet};
use crate::observer::nodes_to_probe;
use crate::zone_demand::zone_capacity;

/// A daemon whose summary has no content sends it as a keepalive once in this many rounds.
const KEEPALIVE_ROUNDS: u64 = 4;

/// Sends summaries at a fixed interval.
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
            // A keepalive only refreshes the echo, and an older echo is still safe.
            let keepalive_due =
                round.is_multiple_of(KEEPALIVE_ROUNDS) || round < 2 * KEEPALIVE_ROUNDS;
            if keepalive_due || has_content(&digest) {
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
        || !digest.restarted.is_empty()
        || !digest.capacity.is_empty()
        || digest.table.is_some()
        || !digest.crashes.is_empty()
}

/// Returns the daemons that receive summaries from this one.
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
    let restarted = if observes_nodes || reports {
        report_restarts(&fleet, local_zone, now)
    } else {
        Vec::new()
    };
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
        restarted,
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

/// Replaces the list of recently observed replicas by its hash if the receiver keeps that list;
/// the others stay listed.
fn compress_replicas(
    replicas: Vec<ReplicaDigest>,
    known: u64,
    lease: Duration,
) -> (ReplicaSet, Vec<ReplicaDigest>) {
    // The set has one age, so a replica that was not observed recently must not raise it for all.
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

/// Returns the hash over heads and epochs in order, 0 for none.
fn hash_replica_set(replicas: &[ReplicaDigest]) -> u64 {
    replicas.iter().fold(0, extend_set_hash)
}

fn extend_set_hash(digest: u64, replica: &ReplicaDigest) -> u64 {
    let text = format!("{}/{}", *replica.h, *replica.e);
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), digest).max(1)
}

/// Expands a set that was sent as a hash, from the list that was kept of it.
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

/// Returns the list of a set that was received in full, `None` if no set was listed.
pub(crate) fn extract_set(set: &ReplicaSet, listed: &[ReplicaDigest]) -> Option<ListedSet> {
    // The replicas of the set come first; it ends where the hash matches.
    let mut digest = 0;
    let count = listed.iter().position(|replica| {
        digest = extend_set_hash(digest, replica);
        digest == set.digest
    })?;
    let fresh = listed[..=count].iter().map(|replica| (replica.h.clone(), replica.e));
    Some(ListedSet { digest: set.digest, replicas: fresh.collect() })
}

/// Returns the replicas and plain services of a zone that serve.
fn report_replicas(fleet: &FleetView, zone: &ZoneId, now: Instant) -> Vec<ReplicaDigest> {
    let allocations = fleet.tables.get(zone).into_iter().flat_map(|table| &table.allocations);
    let mut replicas = fleet.leases.to_replica_digests(allocations, now);
    let services = fleet.service_nodes().filter(|(_, node, _)| node.listed.zone == *zone);
    replicas.extend(services.filter_map(|(id, ..)| fleet.leases.to_node_digest(id, now)));
    replicas
}

/// Returns the plain services of a zone that were restarted recently. A replica whose member is
/// restarted is formed anew under another epoch.
fn report_restarts(fleet: &FleetView, zone: &ZoneId, now: Instant) -> Vec<RestartDigest> {
    let services = fleet.service_nodes().filter(|(_, node, _)| node.listed.zone == *zone);
    fleet.restarts.to_digests(services.map(|(id, ..)| id), now)
}

/// Returns whether a daemon of a zone is one of the two reporters of the zone for another daemon.
///
/// Only members of the zone's authority are reporters. For the local zone, silent members are
/// skipped.
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
    // A daemon of another zone does not know which members are silent, so it treats each member
    // as a reporter.
    let chosen = choose_observers(&NodeId(to.to_string()), &members);
    chosen.contains(&id) || (!is_local && members.contains(&id))
}

/// Handles a summary from another daemon.
pub(crate) fn handle_digest(core: &DaemonCore, from: &DaemonId, digest: ObserverDigest) {
    let now = Instant::now();
    let Some(peer) = core.settings.peers.iter().find(|peer| peer.id == *from) else { return };
    core.crashes().merge(&digest.crashes, now);
    let source = if digest.speaks_for > 1 { peer.zone.as_str() } else { from.as_str() };
    core.limiter.record_demand(source, &peer.zone, digest.speaks_for, &digest.use_, now);
    // An echo from the future is a fault and must not extend a lease.
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

/// Returns milliseconds since this daemon started.
fn clock_ms(core: &DaemonCore, now: Instant) -> u64 {
    let elapsed = now.saturating_duration_since(core.started);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
