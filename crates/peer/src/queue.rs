//! What waits to go to one peer, bounded in messages and in bytes.
//!
//! A configuration does not compete with what else waits: the newest one has a place of its own,
//! and takes the place of one that still waits there.
//!
//! Invariant: an empty queue takes a message of any size, so that what is larger than the bound
//! still gets through.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use flume::{Receiver, Sender};

use crate::seal::EncodedMessage;

/// Messages that may wait for one peer.
const QUEUE_MESSAGES: usize = 2048;
/// Bytes that may wait for one peer: what it cannot take in a few seconds is stale by then.
const QUEUE_BYTES: usize = 512 << 10;

#[derive(Clone, Debug)]
enum QueuedItem {
    Message(EncodedMessage),
    /// What is in the place of the newest one.
    Newest,
}

/// What both ends of a queue share.
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

/// The end of a queue that messages are put into.
#[derive(Clone, Debug)]
pub struct PeerQueue {
    sender: Sender<QueuedItem>,
    state: Arc<QueueState>,
}

/// The end of a queue that messages are taken from.
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
    /// Puts a message in if there is room; returns whether there was.
    pub fn push(&self, message: EncodedMessage) -> bool {
        let size = message.size();
        let waiting = self.state.bytes.fetch_add(size, Ordering::Relaxed);
        let fits = waiting == 0 || waiting + size <= QUEUE_BYTES;
        let taken = fits && self.sender.try_send(QueuedItem::Message(message)).is_ok();
        if !taken {
            self.state.bytes.fetch_sub(size, Ordering::Relaxed);
        }
        taken
    }

    /// Puts a message in that makes each earlier one put in this way needless, whatever its size;
    /// returns whether there was room.
    pub fn push_newest(&self, message: EncodedMessage) -> bool {
        let mut newest = self.state.newest();
        if newest.replace(message).is_some() {
            return true;
        }
        let taken = self.sender.try_send(QueuedItem::Newest).is_ok();
        if !taken {
            *newest = None;
        }
        taken
    }
}

impl QueuedMessages {
    /// Waits for the next message; none once every sender is gone.
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

    /// Drops what waits; returns how many messages that were.
    pub fn clear(&self) -> u64 {
        let items: Vec<QueuedItem> = self.receiver.drain().collect();
        items.into_iter().filter_map(|item| self.take(item)).count() as u64
    }

    /// Whether every sender is gone.
    pub fn is_closed(&self) -> bool {
        self.receiver.is_disconnected()
    }
}
