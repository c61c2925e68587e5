//! Serving leases against a naive rule over everything that was ever said.

use std::time::Duration;

use hollowbarrow_schema::{
    Allocation, AllocationPhase, DomainId, Epoch, GroupName, ModelName, NodeDigest, NodeId,
    NodeState, StartId,
};
use hollowbarrow_zone::{LeaseTable, NodeObservation, ServingRefusal};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

const LEASE: Duration = Duration::from_millis(1000);

fn node(number: u8) -> NodeId {
    NodeId(format!("n{number}"))
}

fn allocation(members: u8, epoch: u64) -> Allocation {
    Allocation {
        group: GroupName::from("g"),
        slot: 0,
        epoch: Epoch(epoch),
        members: (0..members).map(node).collect(),
        domain: DomainId::from("d"),
        phase: AllocationPhase::Active,
        model: ModelName::from("m"),
        version: "1".to_owned(),
        adapter: None,
        starts: vec![StartId(1); members.into()],
        since_ms: 0,
    }
}

fn sighting(start: u64, epoch: u64, ready: bool, seen: Instant) -> NodeObservation {
    NodeObservation {
        start: StartId(start),
        epoch: Epoch(epoch),
        state: if ready { NodeState::Ready } else { NodeState::Loading },
        load: 0,
        owner: None,
        weights: Vec::new(),
        seen,
    }
}

#[derive(Clone, Debug)]
struct Said {
    node: u8,
    start: u64,
    epoch: u64,
    ready: bool,
    at_ms: u64,
}

fn said() -> impl Strategy<Value = Said> {
    (0u8..3, 1u64..3, 5u64..7, prop::bool::weighted(0.8), 0u64..3000)
        .prop_map(|(node, start, epoch, ready, at_ms)| Said { node, start, epoch, ready, at_ms })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Words come in any order. The naive rule: a replica serves exactly while the latest word of
    /// every member is ready, of its epoch and start, and younger than the lease.
    #[test]
    fn serve_naive(words in prop::collection::vec(said(), 0..14), now_ms in 0u64..4500) {
        let begun = Instant::now();
        let at = |ms| begun + Duration::from_millis(ms);
        let mut table = LeaseTable::new(LEASE);
        for word in &words {
            table.observe(&node(word.node), sighting(word.start, word.epoch, word.ready, at(word.at_ms)));
        }
        let naive = (0..3u8).all(|member| {
            // Among words of one moment the one that came last counts.
            let latest = words.iter().filter(|word| word.node == member).max_by_key(|word| word.at_ms);
            latest.is_some_and(|word| {
                word.ready && word.epoch == 5 && word.start == 1 && now_ms < word.at_ms + 1000
            })
        });
        let served = table.serving_until(&allocation(3, 5), at(now_ms));
        prop_assert_eq!(served.is_ok(), naive, "{:?}", served);
    }

    /// However long messages take and however the daemons' clocks stand, a sighting taken from a
    /// digest never seems younger than it is.
    #[test]
    fn digest_never_too_young(
        stamp_ms in 0u64..1000, there_ms in 0u64..2000, seen_before_ms in 0u64..3000,
        held_ms in 0u64..2000,
    ) {
        // True times, all on one clock: our stamp left, arrived, the node spoke, the digest left.
        let begun = Instant::now() + Duration::from_secs(10);
        let at = |ms: u64| begun + Duration::from_millis(ms);
        let arrived = stamp_ms + there_ms;
        let left = arrived + held_ms;
        let age_ms = u32::try_from(seen_before_ms).expect("small") + 1;
        let spoke = at(left) - Duration::from_millis(seen_before_ms);
        let digest = NodeDigest {
            n: node(0), s: StartId(1), e: Epoch(5), t: NodeState::Ready, a: age_ms, l: 0, o: None,
            w: Vec::new(),
        };
        let mut table = LeaseTable::new(LEASE);
        table.observe_digest(&digest, at(stamp_ms), Duration::from_millis(held_ms));
        let seen = table.observation(&node(0)).map(|sighting| sighting.seen);
        prop_assert!(seen.is_some_and(|seen| seen <= spoke), "it seems younger than it is");
    }
}

/// A daemon that was paused longer than the lease finds that out before it sends.
#[rstest]
fn serve_after_pause() {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.observe(&node(0), sighting(1, 5, true, now));
    assert!(table.serving_until(&allocation(1, 5), now).is_ok());
    let later = now + LEASE;
    let refusal = table.serving_until(&allocation(1, 5), later);
    assert_eq!(refusal, Err(ServingRefusal::Expired(node(0))));
    assert!(table.is_lost(&allocation(1, 5), later));
}

#[rstest]
#[case::other_start(2, 5, true, ServingRefusal::Restarted(node(0)))]
#[case::old_epoch(1, 4, true, ServingRefusal::OtherEpoch { node: node(0), found: Epoch(4), wanted: Epoch(5) })]
#[case::loading(1, 5, false, ServingRefusal::NotReady { node: node(0), state: NodeState::Loading })]
fn refuse_member(
    #[case] start: u64,
    #[case] epoch: u64,
    #[case] ready: bool,
    #[case] refusal: ServingRefusal,
) {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.observe(&node(0), sighting(start, epoch, ready, now));
    assert_eq!(table.serving_until(&allocation(1, 5), now), Err(refusal));
}

#[rstest]
fn refuse_draining_without_loss() {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.observe(&node(0), sighting(1, 5, true, now));
    let draining = Allocation { phase: AllocationPhase::Draining, ..allocation(1, 5) };
    assert_eq!(table.serving_until(&draining, now), Err(ServingRefusal::Draining));
    assert!(!table.is_lost(&draining, now), "what is in flight there goes on");
}
