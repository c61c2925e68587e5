//! The peers that may carry tunnels: in which order they are tried, and which are left out.

use std::time::Duration;

use hollowbarrow_reach::RelayPeers;
use hollowbarrow_schema::{DaemonId, GatewayPlace, ZoneId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

fn places(named: &[(&str, &str)]) -> Vec<GatewayPlace> {
    let place = |(id, zone): &(&str, &str)| GatewayPlace {
        id: DaemonId::from(*id),
        zone: ZoneId::from(*zone),
    };
    named.iter().map(place).collect()
}

fn peers_of(named: &[(&str, &str)], now: Instant) -> RelayPeers {
    let mut peers = RelayPeers::new(&ZoneId::from("a"));
    peers.replace(places(named), now);
    peers
}

fn names(candidates: &[DaemonId]) -> Vec<&str> {
    candidates.iter().map(|id| id.as_str()).collect()
}

/// Returns how often each peer is tried first, over many draws.
fn count_first(peers: &RelayPeers, id: &str, now: Instant) -> usize {
    let first = |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        peers.candidates("chat", now, &mut rng).first().is_some_and(|first| first.as_str() == id)
    };
    (0..300).filter(|seed| first(*seed)).count()
}

/// All peers of the own zone may have lost their paths together.
#[rstest]
fn candidates_of_zones_in_turn() {
    let now = Instant::now();
    let peers = peers_of(&[("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("c1", "c")], now);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let candidates = peers.candidates("chat", now, &mut rng);
        let own: Vec<bool> = candidates.iter().map(|id| id.starts_with('a')).collect();
        assert_eq!(own, [true, false, true, false, true], "{candidates:?}");
    }
}

/// The last usable gateway of a zone must not carry the traffic of all others there.
#[rstest]
fn candidates_spread_if_one_in_zone() {
    let now = Instant::now();
    let peers = peers_of(&[("a1", "a"), ("b1", "b"), ("c1", "c")], now);
    for id in ["a1", "b1", "c1"] {
        let first = count_first(&peers, id, now);
        assert!((60..140).contains(&first), "{id} is tried first {first} times of 300");
    }
}

/// Slow peers are better than none.
#[rstest]
fn candidates_failed_peer_last() {
    let now = Instant::now();
    let mut peers = peers_of(&[("a1", "a"), ("a2", "a"), ("b1", "b")], now);
    peers.record_unusable(&DaemonId::from("a1"), now);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let candidates = peers.candidates("chat", now, &mut rng);
        assert_eq!(candidates.len(), 3);
        assert_eq!(candidates.last(), Some(&DaemonId::from("a1")));
    }
    let later = now + Duration::from_secs(1);
    assert!(count_first(&peers, "a1", later) > 0, "a peer counts as usable after a second");
}

/// A sample that lacks a peer which works must not take that peer away.
#[rstest]
fn replace_keeps_working_peer() {
    let now = Instant::now();
    let mut peers = peers_of(&[("a1", "a"), ("a2", "a")], now);
    peers.record_success(&DaemonId::from("a1"), "chat", now);
    peers.replace(places(&[("b1", "b")]), now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut kept = peers.candidates("chat", now, &mut rng);
    kept.sort();
    assert_eq!(names(&kept), ["a1", "b1"]);
    let later = now + Duration::from_secs(11);
    peers.replace(places(&[("b2", "b")]), later);
    assert_eq!(names(&peers.candidates("chat", later, &mut rng)), ["b2"]);
}

#[rstest]
fn failing_until_success() {
    let now = Instant::now();
    let mut peers = peers_of(&[("a1", "a")], now);
    assert_eq!(peers.failing_for(now), Duration::ZERO);
    peers.record_none_usable("chat", now);
    let later = now + Duration::from_millis(700);
    peers.record_none_usable("chat", later);
    assert_eq!(peers.failing_for(later), Duration::from_millis(700));
    peers.record_success(&DaemonId::from("a1"), "chat", later);
    assert_eq!(peers.failing_for(later), Duration::ZERO);
}

/// A peer that lost its path to one service still reaches others.
#[rstest]
fn candidates_per_service() {
    let now = Instant::now();
    let mut peers = peers_of(&[("a1", "a"), ("a2", "a"), ("b1", "b")], now);
    peers.record_unreaching(&DaemonId::from("a1"), "chat", now);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let candidates = peers.candidates("chat", now, &mut rng);
        assert_eq!(candidates.last(), Some(&DaemonId::from("a1")));
    }
    let first = |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        peers.candidates("hold", now, &mut rng).first() == Some(&DaemonId::from("a1"))
    };
    assert!((0..100).any(first), "a1 is never tried first for the other service");
}

/// A newer sample must not make a peer usable that has just failed.
#[rstest]
fn replace_keeps_failed_peer_last() {
    let now = Instant::now();
    let mut peers = peers_of(&[("a1", "a"), ("a2", "a")], now);
    peers.record_unreaching(&DaemonId::from("a1"), "chat", now);
    peers.replace(places(&[("a1", "a"), ("a3", "a"), ("b1", "b")]), now);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let candidates = peers.candidates("chat", now, &mut rng);
        assert_eq!(candidates.last(), Some(&DaemonId::from("a1")));
    }
}

#[rstest]
fn lacking_until_success_or_timeout() {
    let now = Instant::now();
    let mut peers = peers_of(&[("a1", "a")], now);
    peers.record_none_usable("chat", now);
    peers.record_none_usable("hold", now);
    peers.record_success(&DaemonId::from("a1"), "hold", now);
    assert_eq!(peers.lacking(now).collect::<Vec<_>>(), ["chat"]);
    assert_eq!(peers.lacking(now + Duration::from_secs(1)).count(), 0);
}
