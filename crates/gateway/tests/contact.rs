//! Tests of the tracking of a leader's views.

use std::time::Duration;

use hollowbarrow_gateway::contact::{ContactChange, ContactTracker};
use rstest::rstest;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

#[rstest]
fn observe_lost_and_regained() {
    let start = Instant::now();
    let mut tracker = ContactTracker::new(start);
    assert_eq!(tracker.observe(Some(start + SECOND), start + 2 * SECOND), None);
    assert_eq!(tracker.observe(None, start + 3 * SECOND), None);
    assert_eq!(tracker.observe(None, start + 4 * SECOND), Some(ContactChange::Lost));
    assert_eq!(tracker.observe(None, start + 5 * SECOND), None, "a loss is told once");
    let change = tracker.observe(Some(start + 6 * SECOND), start + 6 * SECOND);
    assert_eq!(change, Some(ContactChange::Regained { after: 5 * SECOND }));
}

#[rstest]
fn observe_no_view_since_start() {
    let start = Instant::now();
    let mut tracker = ContactTracker::new(start);
    assert_eq!(tracker.observe(None, start + 3 * SECOND), Some(ContactChange::Lost));
}
