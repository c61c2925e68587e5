//! Detection of silent nodes that are lost, and of silences that are no loss.

use std::time::Duration;

use hollowbarrow_schema::NodeId;
use hollowbarrow_zone::{FailureDetector, MASS_SILENCE_LEASES};
use rstest::rstest;
use tokio::time::Instant;

const LEASE: Duration = Duration::from_millis(1000);
const STEP_MS: u64 = 50;

/// A zone of nodes, of which some answer at each step.
struct SimulatedZone {
    detector: FailureDetector,
    nodes: Vec<NodeId>,
    now: Instant,
}

impl SimulatedZone {
    /// Creates a zone whose nodes have all just answered within a time.
    fn new(nodes: usize, answer_time: Duration) -> Self {
        let nodes: Vec<NodeId> = (0..nodes).map(|number| NodeId(format!("n{number}"))).collect();
        let now = Instant::now();
        let mut zone = Self { detector: FailureDetector::new(LEASE), nodes, now };
        zone.step(STEP_MS, zone.nodes.len());
        for node in &zone.nodes {
            zone.detector.record_answer_time(node, answer_time);
        }
        zone.step(STEP_MS, zone.nodes.len());
        zone
    }

    /// Advances the time by one step at whose end the last `answering` nodes answer.
    fn step(&mut self, step_ms: u64, answering: usize) {
        self.now += Duration::from_millis(step_ms);
        let silent = self.nodes.len() - answering;
        for node in &self.nodes[silent..] {
            self.detector.record_answer(node, self.now);
        }
        self.detector.step(self.nodes.iter(), self.now);
    }

    /// Advances the time by several steps and returns how many nodes are lost then.
    fn run(&mut self, length_ms: u64, answering: usize) -> usize {
        for _ in 0..length_ms / STEP_MS {
            self.step(STEP_MS, answering);
        }
        self.nodes.iter().filter(|node| self.detector.is_lost(node)).count()
    }
}

/// A node that falls silent while the others answer is lost after one lease.
#[rstest]
#[case::one_of_nine(9, 1)]
#[case::half_of_nine(9, 4)]
#[case::one_of_two(2, 1)]
#[case::only_one(1, 1)]
fn silent_node_lost(#[case] nodes: usize, #[case] silent: usize) {
    let mut zone = SimulatedZone::new(nodes, Duration::from_millis(2));
    assert_eq!(zone.run(950, nodes - silent), 0, "lost before the end of the lease");
    assert_eq!(zone.run(100, nodes - silent), silent, "not lost after the lease");
}

/// Guards against giving up all replicas of a zone when all its nodes are slow at once.
#[rstest]
#[case::all(9, 0)]
#[case::most(9, 3)]
#[case::both_of_two(2, 0)]
fn mass_silence_kept(#[case] nodes: usize, #[case] answering: usize) {
    let mut zone = SimulatedZone::new(nodes, Duration::from_millis(2));
    let limit_ms = LEASE.as_millis() as u64 * u64::from(MASS_SILENCE_LEASES);
    assert_eq!(zone.run(limit_ms - STEP_MS, answering), 0, "a silence of most nodes is no loss");
    assert_eq!(
        zone.run(2 * STEP_MS, answering),
        nodes - answering,
        "it is one after a longer time"
    );
    zone.step(STEP_MS, nodes);
    assert_eq!(zone.run(STEP_MS, nodes), 0, "an answer ends a silence");
}

/// Guards against taking a node for lost that answers as late as the others do.
#[rstest]
#[case::prompt(2, 1050, 1)]
#[case::slow(600, 2150, 0)]
#[case::silent_beyond_slow(600, 2300, 1)]
fn slow_answers_extend_limit(
    #[case] answer_ms: u64,
    #[case] silence_ms: u64,
    #[case] expected: usize,
) {
    let mut zone = SimulatedZone::new(9, Duration::from_millis(answer_ms));
    assert_eq!(zone.run(silence_ms, 8), expected);
}

/// Guards against losses that a paused process declares when it resumes, before it has read the
/// answers that wait for it.
#[rstest]
fn own_pause_counts_little() {
    let mut zone = SimulatedZone::new(9, Duration::from_millis(2));
    zone.step(10 * LEASE.as_millis() as u64, 0);
    assert_eq!(zone.run(2 * STEP_MS, 0), 0);
    assert_eq!(zone.run(STEP_MS, 8), 0, "the pause itself is not a silence of the last node");
    assert_eq!(zone.run(1100, 8), 1, "its silence after the pause is");
}

/// Lost nodes say nothing about the others, so a later loss is detected as fast as the first.
#[rstest]
fn loss_beside_lost_nodes() {
    let mut zone = SimulatedZone::new(9, Duration::from_millis(2));
    assert_eq!(zone.run(1050, 5), 4);
    assert_eq!(zone.run(1050, 3), 6);
    assert_eq!(zone.run(1050, 2), 7);
}

/// An answer that was sent before the last known one does not end a silence.
#[rstest]
fn earlier_answer_ignored() {
    let mut zone = SimulatedZone::new(9, Duration::from_millis(2));
    let before = zone.now - Duration::from_millis(1);
    zone.run(900, 8);
    let silent = zone.nodes[0].clone();
    assert!(zone.detector.is_suspect(&silent, zone.now));
    zone.detector.record_answer(&silent, before);
    assert_eq!(zone.run(150, 8), 1);
}
