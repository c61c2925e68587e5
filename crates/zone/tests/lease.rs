//! Serving leases, checked against a reference implementation over all reports ever sent.

use std::time::Duration;

use hollowbarrow_schema::{
    Allocation, AllocationPhase, DomainId, Epoch, GroupName, ModelName, NodeDigest, NodeId,
    NodeState, ReplicaDigest, StartId,
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

fn observation(start: u64, epoch: u64, ready: bool, seen: Instant) -> NodeObservation {
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
struct Report {
    node: u8,
    start: u64,
    epoch: u64,
    ready: bool,
    at_ms: u64,
}

fn any_report() -> impl Strategy<Value = Report> {
    (0u8..3, 1u64..3, 5u64..7, prop::bool::weighted(0.8), 0u64..3000)
        .prop_map(|(node, start, epoch, ready, at_ms)| Report { node, start, epoch, ready, at_ms })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Reports arrive in any order. Reference: a replica serves exactly while the latest report of
    /// every member is ready, has the replica's epoch and start, and is younger than the lease.
    #[test]
    fn serve_reference(reports in prop::collection::vec(any_report(), 0..14), now_ms in 0u64..4500) {
        let started = Instant::now();
        let at = |ms| started + Duration::from_millis(ms);
        let mut table = LeaseTable::new(LEASE);
        for report in &reports {
            table.observe(&node(report.node), observation(report.start, report.epoch, report.ready, at(report.at_ms)));
        }
        let reference = (0..3u8).all(|member| {
            // Of several reports with one time the last received counts.
            let latest = reports.iter().filter(|report| report.node == member).max_by_key(|report| report.at_ms);
            latest.is_some_and(|report| {
                report.ready && report.epoch == 5 && report.start == 1 && now_ms < report.at_ms + 1000
            })
        });
        let served = table.serving_until(&allocation(3, 5), at(now_ms));
        prop_assert_eq!(served.is_ok(), reference, "{:?}", served);
    }

    /// An observation from a digest never appears younger than it is, however long messages take and
    /// whatever the offset of the daemons' clocks is.
    #[test]
    fn digest_never_too_young(
        stamp_ms in 0u64..1000, there_ms in 0u64..2000, seen_before_ms in 0u64..3000,
        held_ms in 0u64..2000,
    ) {
        // Times on one clock: this daemon's stamp was sent and arrived, the node sent its report, the
        // digest was sent.
        let started = Instant::now() + Duration::from_secs(10);
        let at = |ms: u64| started + Duration::from_millis(ms);
        let arrived = stamp_ms + there_ms;
        let sent = arrived + held_ms;
        let age_ms = u32::try_from(seen_before_ms).expect("the age fits in u32") + 1;
        let reported = at(sent) - Duration::from_millis(seen_before_ms);
        let digest = NodeDigest {
            n: node(0), s: StartId(1), e: Epoch(5), t: NodeState::Ready, a: age_ms, l: 0, o: None,
            w: Vec::new(),
        };
        let mut table = LeaseTable::new(LEASE);
        table.observe_digest(&digest, at(stamp_ms), Duration::from_millis(held_ms));
        let seen = table.observation(&node(0)).map(|observation| observation.seen);
        prop_assert!(seen.is_some_and(|seen| seen <= reported), "the observation appears younger than it is");
    }
}

/// A daemon that was paused for longer than the lease detects the expiry before it sends a request.
#[rstest]
fn serve_after_pause() {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.observe(&node(0), observation(1, 5, true, now));
    assert!(table.serving_until(&allocation(1, 5), now).is_ok());
    let later = now + LEASE;
    let refusal = table.serving_until(&allocation(1, 5), later);
    assert_eq!(refusal, Err(ServingRefusal::Expired(node(0))));
    assert!(!table.is_lost(&allocation(1, 5), later), "an expired lease proves no loss");
    table.observe(&node(0), observation(2, 5, true, later));
    assert!(table.is_lost(&allocation(1, 5), later), "a restart is a loss");
}

#[rstest]
#[case::other_start(2, 5, true, ServingRefusal::Restarted(node(0)))]
#[case::old_epoch(1, 4, true, ServingRefusal::OtherEpoch { node: node(0), found: Epoch(4), expected: Epoch(5) })]
#[case::loading(1, 5, false, ServingRefusal::NotReady { node: node(0), state: NodeState::Loading })]
fn refuse_member(
    #[case] start: u64,
    #[case] epoch: u64,
    #[case] ready: bool,
    #[case] refusal: ServingRefusal,
) {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.observe(&node(0), observation(start, epoch, ready, now));
    assert_eq!(table.serving_until(&allocation(1, 5), now), Err(refusal));
}

#[rstest]
fn refuse_draining_without_loss() {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.observe(&node(0), observation(1, 5, true, now));
    let draining = Allocation { phase: AllocationPhase::Draining, ..allocation(1, 5) };
    assert_eq!(table.serving_until(&draining, now), Err(ServingRefusal::Draining));
    assert!(!table.is_lost(&draining, now), "requests in flight at a draining replica continue");
}

/// A replica that this daemon only hears of may serve again for a time after the last report of it.
///
/// Guards against requests that wait for replicas of a zone that is out of reach.
#[rstest]
#[case::valid(500, 5, true)]
#[case::expired(1_500, 5, true)]
#[case::long_expired(4_100, 5, false)]
#[case::other_epoch(500, 4, false)]
fn reported_replica_may_be_renewed(
    #[case] since_ms: u64,
    #[case] epoch: u64,
    #[case] expected: bool,
) {
    let started = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    let digest = ReplicaDigest { h: node(0), e: Epoch(epoch), a: 0, l: 0 };
    table.observe_replica(&digest, started, Duration::ZERO);
    let now = started + Duration::from_millis(since_ms);
    assert_eq!(table.may_be_renewed(&allocation(3, 5), LEASE * 4, now), expected);
}

/// A service node of another zone is known by reports only, and one that is not repeated in time tells
/// nothing any more.
#[rstest]
#[case::recent(3_000, 0, true)]
#[case::old(4_000, 0, false)]
#[case::head_of_replica(3_000, 5, false)]
fn reported_node_recently(#[case] since_ms: u64, #[case] epoch: u64, #[case] expected: bool) {
    let started = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    let digest = ReplicaDigest { h: node(0), e: Epoch(epoch), a: 0, l: 0 };
    table.observe_replica(&digest, started, Duration::ZERO);
    let now = started + Duration::from_millis(since_ms);
    assert_eq!(table.is_node_reported(&node(0), LEASE * 4, now), expected);
}

/// A silent member does not rule out that the lease is renewed; a restarted one does.
#[rstest]
#[case::silent(1, true)]
#[case::restarted(2, false)]
fn observed_replica_may_be_renewed(#[case] start: u64, #[case] expected: bool) {
    let started = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.observe(&node(0), observation(start, 5, true, started));
    let now = started + if start == 1 { LEASE * 2 } else { Duration::ZERO };
    assert_eq!(table.may_be_renewed(&allocation(1, 5), LEASE * 4, now), expected);
}

/// Guards against a late report of the former process that is taken for another restart.
#[rstest]
#[case::newer_other_process(2, 10, true)]
#[case::newer_same_process(1, 10, false)]
#[case::older_other_process(2, -10, false)]
fn shows_restart_by_newer_report(#[case] start: u64, #[case] ms: i64, #[case] expected: bool) {
    let known = Instant::now() + LEASE;
    let mut table = LeaseTable::new(LEASE);
    let shift = Duration::from_millis(ms.unsigned_abs());
    let seen = if ms < 0 { known - shift } else { known + shift };
    assert!(!table.shows_restart(&node(0), StartId(start), seen), "no report is known");
    table.observe(&node(0), observation(1, 5, true, known));
    assert_eq!(table.shows_restart(&node(0), StartId(start), seen), expected);
}
