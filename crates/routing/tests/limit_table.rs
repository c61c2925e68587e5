//! Tests of the limits that upstreams state, and of which notice applies.

use std::time::Duration;

use hollowbarrow_routing::{LimitNotice, LimitTable, NoticeInterval};
use hollowbarrow_schema::RequestRate;
use rstest::rstest;
use tokio::time::Instant;

/// A notice: when its request was sent and when the head was received, in milliseconds, and the
/// limit.
type Notice = (u64, u64, Option<u64>);

fn to_notice(start: Instant, (sent, came, limit): Notice) -> LimitNotice {
    let at = |ms: u64| start + Duration::from_millis(ms);
    LimitNotice {
        limit: limit.map(RequestRate),
        span: NoticeInterval { sent: at(sent), came: at(came) },
    }
}

#[rstest]
#[case::never_named(&[(0, 10, None)], None)]
#[case::named(&[(0, 10, Some(2000))], Some(2000))]
#[case::ended(&[(0, 10, Some(2000)), (10, 20, None)], None)]
#[case::named_anew(&[(0, 10, Some(2000)), (10, 20, None), (20, 30, Some(500))], Some(500))]
#[case::raised(&[(0, 10, Some(2000)), (11, 20, Some(5000))], Some(5000))]
#[case::lowered(&[(0, 10, Some(2000)), (11, 20, Some(1000))], Some(1000))]
#[case::nothing_allowed(&[(0, 10, Some(2000)), (11, 20, Some(0))], Some(0))]
// The answer without a limit may have been written before the one that states it.
#[case::ended_by_older_answer(&[(5, 10, Some(2000)), (0, 20, None)], Some(2000))]
#[case::raised_by_older_answer(&[(5, 10, Some(2000)), (0, 20, Some(5000))], Some(2000))]
#[case::lowered_by_older_answer(&[(5, 10, Some(2000)), (0, 20, Some(1000))], Some(1000))]
#[case::named_by_older_answer(&[(5, 10, Some(2000)), (10, 12, None), (0, 20, Some(1000))], Some(1000))]
#[case::ended_once_certain(&[(5, 10, Some(2000)), (0, 20, None), (10, 30, None)], None)]
// A notice from another daemon may be older although it arrives later.
#[case::certainly_older(&[(20, 30, Some(5000)), (0, 10, Some(1000))], Some(5000))]
#[case::certainly_older_than_end(&[(0, 5, Some(1000)), (20, 30, None), (6, 10, Some(1000))], None)]
#[case::confirmed_since(&[(0, 10, Some(2000)), (5, 30, Some(2000)), (20, 40, None)], Some(2000))]
fn limit_newest_notice(#[case] notices: &[Notice], #[case] expected: Option<u64>) {
    let start = Instant::now();
    let mut table = LimitTable::new();
    for notice in notices {
        table.record(&"a", to_notice(start, *notice));
    }
    assert_eq!(table.limit(&"a").map(|rate| *rate), expected);
    assert_eq!(table.limit(&"b"), None, "b has stated no limit");
}

#[rstest]
fn record_reports_changes() {
    let start = Instant::now();
    let mut table = LimitTable::new();
    let mut record = |notice: Notice| table.record(&"a", to_notice(start, notice));
    assert!(!record((0, 10, None)), "there was no limit");
    assert!(record((10, 20, Some(1800))));
    assert!(!record((20, 30, Some(1800))), "the limit is unchanged");
    assert!(record((30, 40, Some(900))));
    assert!(record((40, 50, None)));
    assert!(!record((50, 60, None)), "the limit is unchanged");
}

/// The size of the table is bounded by the number of known upstreams.
#[rstest]
fn prune_removes_unknown() {
    let start = Instant::now();
    let mut table = LimitTable::new();
    table.record(&"gone", to_notice(start, (0, 10, Some(1))));
    table.record(&"there", to_notice(start, (0, 10, Some(1))));
    table.record(&"plain", to_notice(start, (0, 10, None)));
    table.prune(|upstream| *upstream != "gone");
    assert_eq!(table.len(), 1);
    assert!(!table.is_empty());
    assert_eq!(table.notices().next().map(|(upstream, _)| *upstream), Some("there"));
}
