//! Counts the connections on which a request was read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Connections on which a request was read, until they are closed. After the stop signal a connection is
/// closed as soon as its last answer is written.
#[derive(Clone, Debug, Default)]
pub struct UsedConnections(Arc<AtomicU32>);

/// Counts a connection as used until it is dropped.
#[derive(Debug)]
pub struct UsedConnection(Arc<AtomicU32>);

impl UsedConnections {
    /// Counts a connection.
    pub fn begin(&self) -> UsedConnection {
        self.0.fetch_add(1, Ordering::Relaxed);
        UsedConnection(Arc::clone(&self.0))
    }

    /// Returns the number of connections.
    pub fn count(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for UsedConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
