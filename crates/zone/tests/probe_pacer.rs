//! Bounds on the probes that wait for a node's answer.

use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_zone::ProbePacer;
use rstest::rstest;
use tokio::time::Instant;

const LEASE: Duration = Duration::from_millis(900);
const INTERVAL_MS: u64 = 150;

/// Returns the most probes that wait at once, and the number sent, if probes are due for 9 s and each
/// is answered or times out after a time.
fn run_probes(answer_ms: u64) -> (usize, usize) {
    let node = NodeId::from("n");
    let start = Instant::now();
    let mut pacer = ProbePacer::new(LEASE, Duration::from_millis(INTERVAL_MS));
    let mut waiting: Vec<u64> = Vec::new();
    let (mut most, mut sent) = (0, 0);
    for now_ms in (0..9_000).step_by(INTERVAL_MS as usize) {
        waiting.retain(|until| {
            let is_waiting = *until > now_ms;
            if !is_waiting {
                pacer.end(&node);
            }
            is_waiting
        });
        if pacer.begin(&node, start + Duration::from_millis(now_ms)) {
            waiting.push(now_ms + answer_ms);
            sent += 1;
        }
        most = most.max(waiting.len());
    }
    (most, sent)
}

/// Guards against probes that pile up at slow nodes and make them slower.
#[rstest]
#[case::prompt(5, 1, 60)]
#[case::late(400, 3, 60)]
#[case::slow(700, 3, 36)]
#[case::silent(1800, 7, 20)]
fn probes_bounded(#[case] answer_ms: u64, #[case] most: usize, #[case] at_least: usize) {
    let (waiting, sent) = run_probes(answer_ms);
    assert!(waiting <= most, "{waiting} probes wait at once");
    assert!(sent >= at_least, "only {sent} probes were sent");
}
