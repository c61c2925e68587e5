//! Queue of messages to one peer, bounded in messages and in bytes.
//!
//! Configurations do not compete with other messages: the newest one has a slot of its own, and
//! replaces an older one that is still in that slot.
//!
//! Invariant: an empty queue accepts a message of any size, so that a message larger than the limit
//! can still be sent.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use flume::{Receiver, Sender};

use crate::seal::EncodedMessage;

/// Maximum number of messages queued for one peer.
const QUEUE_MESSAGES: usize = 2048;
/// Maximum number of bytes queued for one peer: messages that the connection cannot carry within a
/// few seconds are stale by then.
const QUEUE_BYTES: usize = 512 << 10;

#[derive(Clone, Debug)]
enum QueuedItem {
    Message(EncodedMessage),
    /// The message that is in the `newest` slot when this item is taken from the queue.
    Newest,
}

/// State shared by both ends of a queue.
#[derive(Debug, Default)]
struct QueueState {
    bytes: AtomicUsize,
    newest: Mutex<Option<EncodedMessage>>,
}

impl QueueState {
    fn newest(&self) -> MutexGuard<'_, Option<EncodedMessage>> {
        self.newest.lock().expect("no holder of the lock panics")
    }
}

/// Sending end of a queue.
#[derive(Clone, Debug)]
pub struct PeerQueue {
    sender: Sender<QueuedItem>,
    state: Arc<QueueState>,
}

/// Receiving end of a queue.
#[derive(Debug)]
pub struct QueuedMessages {
    receiver: Receiver<QueuedItem>,
    state: Arc<QueueState>,
}

/// Creates an empty queue.
pub fn new_queue() -> (PeerQueue, QueuedMessages) {
    let (sender, receiver) = flume::bounded(QUEUE_MESSAGES);
    let state = Arc::<QueueState>::default();
    (PeerQueue { sender, state: Arc::clone(&state) }, QueuedMessages { receiver, state })
}

impl PeerQueue {
    /// Adds a message; returns false if the queue is full.
    pub fn push(&self, message: EncodedMessage) -> bool {
        let size = message.size();
        let queued_bytes = self.state.bytes.fetch_add(size, Ordering::Relaxed);
        let fits = queued_bytes == 0 || queued_bytes + size <= QUEUE_BYTES;
        let queued = fits && self.sender.try_send(QueuedItem::Message(message)).is_ok();
        if !queued {
            self.state.bytes.fetch_sub(size, Ordering::Relaxed);
        }
        queued
    }

    /// Adds a message of any size that replaces an earlier one from this function that is still
    /// queued; returns false if the queue is full.
    pub fn push_newest(&self, message: EncodedMessage) -> bool {
        let mut newest = self.state.newest();
        if newest.replace(message).is_some() {
            return true;
        }
        let queued = self.sender.try_send(QueuedItem::Newest).is_ok();
        if !queued {
            *newest = None;
        }
        queued
    }
}

impl QueuedMessages {
    /// Waits for the next message; returns none after all senders have been dropped.
    pub async fn next(&self) -> Option<EncodedMessage> {
        loop {
            let item = self.receiver.recv_async().await.ok()?;
            if let Some(message) = self.take(item) {
                return Some(message);
            }
        }
    }

    fn take(&self, item: QueuedItem) -> Option<EncodedMessage> {
        match item {
            QueuedItem::Message(message) => {
                self.state.bytes.fetch_sub(message.size(), Ordering::Relaxed);
                Some(message)
            }
            QueuedItem::Newest => self.state.newest().take(),
        }
    }

    /// Drops all queued messages; returns their number.
    pub fn clear(&self) -> u64 {
        let items: Vec<QueuedItem> = self.receiver.drain().collect();
        items.into_iter().filter_map(|item| self.take(item)).count() as u64
    }

    /// Returns whether all senders have been dropped.
    pub fn is_closed(&self) -> bool {
        self.receiver.is_disconnected()
    }
}
