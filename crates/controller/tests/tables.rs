//! Which daemons get a full worker table, and when.

use std::time::Duration;

use hollowbarrow_controller::table_hashes::TableHashHistory;
use hollowbarrow_controller::tables::TableRequests;
use hollowbarrow_schema::DaemonId;
use rstest::rstest;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Given hashes recorded at certain times: whether a daemon that reports hash 1 has missed no update.
#[rstest]
#[case::newest(&[(0, 1)], 1, 5000, true)]
#[case::replaced_just_now(&[(0, 1), (4500, 2)], 2, 5000, true)]
#[case::replaced_long_ago(&[(0, 1), (3000, 2)], 2, 5000, false)]
#[case::not_sent_yet(&[], 1, 0, true)]
#[case::never_current(&[(0, 2), (100, 3)], 3, 150, false)]
fn covers_hash(
    #[case] recorded: &[(u32, u64)],
    #[case] local: u64,
    #[case] at: u32,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut hashes = TableHashHistory::default();
    for (at, hash) in recorded {
        hashes.record(*hash, start + MS * *at);
    }
    assert_eq!(hashes.covers(1, local, start + MS * at), expected);
}

/// Many daemons return at once, and each requests the table repeatedly.
#[rstest]
fn take_due_limits_rate() {
    let start = Instant::now();
    let daemons: Vec<DaemonId> =
        (0..60).map(|n| DaemonId::from(format!("10.0.0.{n}:1").as_str())).collect();
    let mut tables = TableRequests::default();
    let mut sent = Vec::new();
    for tick in 0..10 {
        daemons.iter().for_each(|daemon| tables.request(daemon));
        let ready = tables.take_due(start + MS * 100 * tick);
        assert!(ready.len() <= 8, "{} at once", ready.len());
        sent.extend(ready);
    }
    let count = sent.len();
    sent.sort();
    sent.dedup();
    assert_eq!((sent.len(), count), (60, 60), "each daemon gets exactly one table within a second");
    daemons.iter().for_each(|daemon| tables.request(daemon));
    assert_eq!(
        tables.take_due(start + MS * 3000).len(),
        8,
        "after the interval each daemon may get another table"
    );
}
