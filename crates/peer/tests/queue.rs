//! What waits for a peer is bounded.

use hollowbarrow_peer::{EncodedMessage, new_queue};
use hollowbarrow_schema::{DeploymentDocument, FleetMessage, PeerMessage};
use rand::SeedableRng;
use rand::distr::{Alphanumeric, SampleString};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Messages and bytes that may wait.
const MOST_MESSAGES: usize = 2048;
const MOST_BYTES: usize = 512 << 10;

/// A message that compressing leaves at about this size.
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
    let expected = (MOST_BYTES / message.size()).clamp(1, MOST_MESSAGES);
    let (queue, messages) = new_queue();
    let taken = (0..3000).filter(|_| queue.push(message.clone())).count();
    assert_eq!(taken, expected);
    assert!(messages.next().await.is_some());
    assert!(queue.push(message.clone()), "what was taken makes room");
    messages.clear();
    let again = (0..3000).filter(|_| queue.push(message.clone())).count();
    assert_eq!(again, expected, "nothing of what was dropped is counted on");
}

/// Of 7,000 routes a configuration found no room in 1,700 of its tries in 30 s: it was larger than
/// the bound, so that it had to meet an empty queue, and small messages came all the time.
#[rstest]
#[tokio::test]
async fn push_newest_beside_others() {
    let (queue, messages) = new_queue();
    let (small, large) = (message(100), message(2_000_000));
    assert!(queue.push(small.clone()));
    assert!(queue.push_newest(large.clone()), "it has a place of its own");
    assert!(queue.push_newest(message(1_000)), "a newer one takes that place");
    assert!(queue.push(small.clone()), "the others have their room");
    let mut sizes = Vec::new();
    for _ in 0..3 {
        sizes.push(messages.next().await.expect("it waits").size());
    }
    assert_eq!(sizes, [small.size(), message(1_000).size(), small.size()]);
    assert!(queue.push_newest(large));
    assert_eq!(messages.clear(), 1, "it is dropped with the others");
}
