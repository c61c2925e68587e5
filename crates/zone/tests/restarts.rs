//! Tests of the table of restarts.

use std::time::Duration;

use hollowbarrow_schema::{NodeId, RestartDigest};
use hollowbarrow_zone::RestartTable;
use rstest::rstest;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn node() -> NodeId {
    NodeId::from("a-app0")
}

#[rstest]
fn last_of_several_reports() {
    let now = Instant::now();
    let mut table = RestartTable::new();
    assert_eq!(table.last(&node()), None);
    table.record(&node(), now + SECOND);
    table.record(&node(), now);
    assert_eq!(table.last(&node()), Some(now + SECOND), "an earlier report changes nothing");
}

/// A daemon that learns of a restart from another one never dates it later than that one found it.
#[rstest]
#[case::at_once(0, 0)]
#[case::echo_was_held(0, 250)]
#[case::reported_later(3000, 250)]
fn record_digest_not_later(#[case] waited_ms: u64, #[case] held_ms: u64) {
    let (waited, held) = (Duration::from_millis(waited_ms), Duration::from_millis(held_ms));
    let echoed = Instant::now();
    let found = echoed + SECOND;
    let mut reporter = RestartTable::new();
    reporter.record(&node(), found);
    let sent = found + waited;
    let digests = reporter.to_digests([node()].iter(), sent);
    let mut receiver = RestartTable::new();
    // The echoed message arrived `held` before the report was sent, at the time of sending or later.
    receiver.record_digest(&digests[0], sent - held, held);
    let dated = receiver.last(&node()).expect("the report was recorded");
    assert!(dated <= found && found - dated <= Duration::from_millis(2), "{:?}", found - dated);
}

/// Reports end, so that their size does not grow with the number of restarts since the start.
#[rstest]
#[case::recent(9, 1)]
#[case::reported_long_enough(10, 0)]
fn to_digests_recent(#[case] seconds: u32, #[case] count: usize) {
    let now = Instant::now();
    let mut table = RestartTable::new();
    table.record(&node(), now);
    assert_eq!(table.to_digests([node()].iter(), now + SECOND * seconds).len(), count);
}

#[rstest]
fn record_digest_of_unknown_age() {
    let mut table = RestartTable::new();
    let digest = RestartDigest { n: node(), a: u32::MAX };
    table.record_digest(&digest, Instant::now(), Duration::ZERO);
    table.retain(|_| false);
    assert_eq!(table.last(&node()), None);
}
