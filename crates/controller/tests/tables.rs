//! Who gets a whole table of workers, and when.

use std::time::Duration;

use hollowbarrow_controller::table_hashes::TableHashHistory;
use hollowbarrow_controller::tables::TableRequests;
use hollowbarrow_schema::DaemonId;
use rstest::rstest;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Digests that went out at given times; whether a daemon with digest 1 has what it should.
#[rstest]
#[case::newest(&[(0, 1)], 1, 5000, true)]
#[case::replaced_just_now(&[(0, 1), (4500, 2)], 2, 5000, true)]
#[case::replaced_long_ago(&[(0, 1), (3000, 2)], 2, 5000, false)]
#[case::not_sent_yet(&[], 1, 0, true)]
#[case::never_had(&[(0, 2), (100, 3)], 3, 150, false)]
fn covers_digest(
    #[case] told: &[(u32, u64)],
    #[case] own: u64,
    #[case] at: u32,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut digests = TableHashHistory::default();
    for (at, digest) in told {
        digests.note(*digest, start + MS * *at);
    }
    assert_eq!(digests.covers(1, own, start + MS * at), expected);
}

/// A fleet's daemons come back at once and each asks again and again.
#[rstest]
fn take_paces_tables() {
    let start = Instant::now();
    let daemons: Vec<DaemonId> =
        (0..60).map(|n| DaemonId::from(format!("10.0.0.{n}:1").as_str())).collect();
    let mut tables = TableRequests::default();
    let mut sent = Vec::new();
    for tick in 0..10 {
        daemons.iter().for_each(|daemon| tables.ask(daemon));
        let ready = tables.take(start + MS * 100 * tick);
        assert!(ready.len() <= 8, "{} at once", ready.len());
        sent.extend(ready);
    }
    let count = sent.len();
    sent.sort();
    sent.dedup();
    assert_eq!((sent.len(), count), (60, 60), "each got one within a second, and none got two");
    daemons.iter().for_each(|daemon| tables.ask(daemon));
    assert_eq!(tables.take(start + MS * 3000).len(), 8, "later they may have another");
}
