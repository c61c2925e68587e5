//! What waits to go to one peer, bounded in messages and in bytes.
//!
//! Invariant: an empty queue takes a message of any size, so that what is larger than the bound
//! still gets through.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use flume::{Receiver, Sender};

use crate::seal::EncodedMessage;

/// Messages that may wait for one peer.
const QUEUE_MESSAGES: usize = 2048;
/// Bytes that may wait for one peer: what it cannot take in a few seconds is stale by then.
const QUEUE_BYTES: usize = 512 << 10;

/// The end of a queue that messages are put into.
#[derive(Clone, Debug)]
pub struct PeerQueue {
    sender: Sender<EncodedMessage>,
    bytes: Arc<AtomicUsize>,
}

/// The end of a queue that messages are taken from.
#[derive(Debug)]
pub struct QueuedMessages {
    receiver: Receiver<EncodedMessage>,
    bytes: Arc<AtomicUsize>,
}

/// Creates an empty queue.
pub fn new_queue() -> (PeerQueue, QueuedMessages) {
    let (sender, receiver) = flume::bounded(QUEUE_MESSAGES);
    let bytes = Arc::new(AtomicUsize::new(0));
    (PeerQueue { sender, bytes: Arc::clone(&bytes) }, QueuedMessages { receiver, bytes })
}

impl PeerQueue {
    /// Puts a message in if there is room; returns whether there was.
    pub fn push(&self, message: EncodedMessage) -> bool {
        let size = message.size();
        let waiting = self.bytes.fetch_add(size, Ordering::Relaxed);
        let fits = waiting == 0 || waiting + size <= QUEUE_BYTES;
        let taken = fits && self.sender.try_send(message).is_ok();
        if !taken {
            self.bytes.fetch_sub(size, Ordering::Relaxed);
        }
        taken
    }
}

impl QueuedMessages {
    /// Waits for the next message; none once every sender is gone.
    pub async fn next(&self) -> Option<EncodedMessage> {
        let message = self.receiver.recv_async().await.ok()?;
        self.bytes.fetch_sub(message.size(), Ordering::Relaxed);
        Some(message)
    }

    /// Drops what waits; returns how many messages that were.
    pub fn clear(&self) -> u64 {
        let mut dropped = 0;
        for message in self.receiver.drain() {
            self.bytes.fetch_sub(message.size(), Ordering::Relaxed);
            dropped += 1;
        }
        dropped
    }

    /// Whether every sender is gone.
    pub fn is_closed(&self) -> bool {
        self.receiver.is_disconnected()
    }
}
