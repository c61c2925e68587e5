//! Records of single runs of requests that a leader has listed.

use std::time::Duration;

use hollowbarrow_routing::{CrashTracker, RequestContents, TerminatedRun};
use hollowbarrow_schema::ContentDigest;
use rstest::rstest;
use tokio::time::Instant;

const LISTED: u64 = 64;

/// Guards against sending single runs of all requests that were ever listed: a list has 64 at most.
#[rstest]
fn due_single_runs_of_former_lists() {
    let start = Instant::now();
    let mut tracker = CrashTracker::new();
    let mut now = start;
    for list in 0..20 {
        for number in 0..LISTED {
            let request = ContentDigest(list * LISTED + number);
            let run = TerminatedRun { upstream: number, sent: now, ended: now, organisation: None };
            let contents = RequestContents::new(request);
            tracker.record_run(&contents, run);
            tracker.record_published(request, now);
        }
        now += Duration::from_secs(30);
        while !tracker.due(now).is_empty() {}
    }
    now += Duration::from_secs(30);
    let mut sent = 0;
    for _ in 0..20 {
        now += Duration::from_millis(100);
        sent += tracker.due(now).len() as u64;
    }
    assert!(sent <= LISTED, "{sent} records in 2 s, 64 are listed");
}
