//! What waits for a peer is bounded.

use hollowbarrow_peer::{EncodedMessage, new_queue};
use hollowbarrow_schema::{DeploymentDocument, FleetMessage, PeerMessage};
use rstest::rstest;

fn message(bytes: usize) -> EncodedMessage {
    let document = DeploymentDocument { version: 1, text: "x".repeat(bytes) };
    EncodedMessage::new(&PeerMessage::Fleet(FleetMessage::Deployment(document)))
}

#[rstest]
#[case::small(100, 2048)]
#[case::large(100_000, 5)]
#[case::larger_than_the_bound(2_000_000, 1)]
#[tokio::test]
async fn push_until_full(#[case] bytes: usize, #[case] expected: usize) {
    let (queue, messages) = new_queue();
    let taken = (0..3000).filter(|_| queue.push(message(bytes))).count();
    assert_eq!(taken, expected);
    assert!(messages.next().await.is_some());
    assert!(queue.push(message(bytes)), "what was taken makes room");
    messages.clear();
    let again = (0..3000).filter(|_| queue.push(message(bytes))).count();
    assert_eq!(again, expected, "nothing of what was dropped is counted on");
}
