//! Limits of the queue of messages to a peer.

use hollowbarrow_peer::{EncodedMessage, new_queue};
use hollowbarrow_schema::{DeploymentDocument, FleetMessage, PeerMessage};
use rand::SeedableRng;
use rand::distr::{Alphanumeric, SampleString};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Limits of a queue.
const MAX_MESSAGES: usize = 2048;
const MAX_BYTES: usize = 512 << 10;

/// Returns a message whose compressed size is about this number of bytes.
fn message(bytes: usize) -> EncodedMessage {
    let text = Alphanumeric.sample_string(&mut ChaCha8Rng::seed_from_u64(1), bytes * 4 / 3);
    let document = DeploymentDocument { version: 1, text };
    EncodedMessage::new(&PeerMessage::Fleet(FleetMessage::Deployment(document)))
}

#[rstest]
#[case::small(100)]
#[case::large(100_000)]
#[case::larger_than_the_bound(2_000_000)]
#[tokio::test]
async fn push_until_full(#[case] bytes: usize) {
    let message = message(bytes);
    let expected = (MAX_BYTES / message.size()).clamp(1, MAX_MESSAGES);
    let (queue, messages) = new_queue();
    let queued = (0..3000).filter(|_| queue.push(message.clone())).count();
    assert_eq!(queued, expected);
    assert!(messages.next().await.is_some());
    assert!(queue.push(message.clone()), "taking a message frees capacity");
    messages.clear();
    let again = (0..3000).filter(|_| queue.push(message.clone())).count();
    assert_eq!(again, expected, "dropped messages no longer count");
}

/// A configuration that is larger than the limit of bytes is queued beside other messages. Without
/// a slot of its own it needs an empty queue, and with a steady flow of small messages a
/// configuration of 7,000 routes was dropped 1,700 times in 30 s.
#[rstest]
#[tokio::test]
async fn push_newest_beside_others() {
    let (queue, messages) = new_queue();
    let (small, large) = (message(100), message(2_000_000));
    assert!(queue.push(small.clone()));
    assert!(queue.push_newest(large.clone()), "the newest message has a slot of its own");
    assert!(queue.push_newest(message(1_000)), "a newer message replaces it");
    assert!(queue.push(small.clone()), "other messages keep their capacity");
    let mut sizes = Vec::new();
    for _ in 0..3 {
        sizes.push(messages.next().await.expect("three messages are queued").size());
    }
    assert_eq!(sizes, [small.size(), message(1_000).size(), small.size()]);
    assert!(queue.push_newest(large));
    assert_eq!(messages.clear(), 1, "the newest message is dropped as well");
}
