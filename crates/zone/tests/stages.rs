//! How long a replica has been in its stage, while the zone's table changes.
//!
//! Guards against stages that restart at each change of the table. A change is settled once a
//! majority of the zone's daemons has stored it. If that took longer than the authority's step
//! interval (50 ms), the stages of all replicas were cleared, even of those that the change did not
//! touch. While changes followed one another, a drain never reached its time limit, and a load that
//! hung was never aborted.

use std::time::Duration;

use hollowbarrow_schema::{Allocation, AllocationPhase, Epoch, NodeId, ZoneTable};
use hollowbarrow_zone::{ReplicaStage, ReplicaStages, TableStanding};
use rstest::rstest;
use tokio::time::Instant;

/// Time between two reads of the table.
const STEP: Duration = Duration::from_millis(50);

fn table(version: u64, epoch: u64, phase: AllocationPhase) -> ZoneTable {
    ZoneTable {
        zone: "a".into(),
        version,
        term: Default::default(),
        high_epoch: Epoch(epoch),
        allocations: vec![Allocation {
            group: "chat".into(),
            slot: 0,
            epoch: Epoch(epoch),
            members: vec![NodeId::from("n0")],
            domain: "d0".into(),
            phase,
            model: "m".into(),
            version: "1".into(),
            adapter: None,
            starts: Vec::new(),
            since_ms: 0,
        }],
    }
}

fn entered(stages: &ReplicaStages) -> Instant {
    match stages.get(&("chat".into(), 0)).expect("the replica is in the table") {
        ReplicaStage::Loading(lifecycle) => lifecycle.entered(),
        ReplicaStage::Serving(lifecycle) => lifecycle.entered(),
        ReplicaStage::Draining(lifecycle) => lifecycle.entered(),
    }
}

/// The table changes ten times, for other groups' replicas, and is read before each change is
/// settled.
#[rstest]
#[case::drain(AllocationPhase::Draining)]
#[case::load(AllocationPhase::Active)]
fn sync_unsettled_keeps_times(#[case] phase: AllocationPhase) {
    let start = Instant::now();
    let mut stages = ReplicaStages::default();
    stages.sync(TableStanding::Settled(&table(1, 1, phase)), start);
    for change in 1..=10 {
        let now = start + STEP * 2 * change;
        stages.sync(TableStanding::Unsettled, now);
        let changed = table(u64::from(change) + 1, 1, phase);
        stages.sync(TableStanding::Settled(&changed), now + STEP);
    }
    assert_eq!(entered(&stages), start, "the replica keeps the time at which it entered its stage");
}

#[rstest]
#[case::authority_lost(TableStanding::NotHeld, 1)]
#[case::formed_anew(TableStanding::Unsettled, 2)]
fn sync_resets_stage(#[case] between: TableStanding<'static>, #[case] epoch: u64) {
    let start = Instant::now();
    let mut stages = ReplicaStages::default();
    stages.sync(TableStanding::Settled(&table(1, 1, AllocationPhase::Draining)), start);
    stages.sync(between, start + STEP);
    let later = table(2, epoch, AllocationPhase::Draining);
    stages.sync(TableStanding::Settled(&later), start + STEP * 2);
    assert_eq!(entered(&stages), start + STEP * 2);
}
