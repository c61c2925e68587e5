//! A request's place among its duplicates.
//!
//! While nobody has observed an answer to a request, one duplicate of it is sent. A duplicate holds
//! the place from when it is sent; while it waits for an upstream it gives the place up.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_routing::{ContentStanding, DuplicateTicket, RequestContents, WaitLimits};
use hollowbarrow_schema::ContentDigest;
use tokio::time::Instant;

use crate::answer::CallerError;
use crate::core::DaemonCore;
use crate::refusals::{to_duplicate_error, to_quarantine_error};

/// Longest wait of a streamed duplicate for the first token of another one. A working replica reads
/// a prompt in less.
const STREAM_DUPLICATE_WAIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Divisor of a request's remaining time; the quotient is the longest wait of a duplicate for the
/// complete answer to another one. The rest is for its own run, which takes as long.
const DUPLICATE_WAIT_DIVISOR: u32 = 2;

/// What a duplicate's waits depend on.
#[derive(Clone)]
pub(crate) struct DuplicateWait {
    pub(crate) core: Arc<DaemonCore>,
    pub(crate) contents: RequestContents,
    pub(crate) streamed: bool,
    pub(crate) deadline: Instant,
}

impl DuplicateWait {
    /// Waits until no other duplicate blocks the request; `None` if one made no progress in time.
    pub(crate) async fn enter(self) -> Option<DuplicatePlace> {
        let limits = WaitLimits::until(self.limit());
        let standing = |content| self.standing(content);
        let ticket = self.core.duplicates.enter(&self.contents, standing, limits).await?;
        Some(DuplicatePlace { ticket: Arc::new(ticket), wait: self, waited: Mutex::default() })
    }

    /// Returns until when a wait that begins now lasts at most.
    fn limit(&self) -> Instant {
        let now = Instant::now();
        let remaining = self.deadline.saturating_duration_since(now);
        now + if self.streamed {
            remaining.min(STREAM_DUPLICATE_WAIT_TIMEOUT)
        } else {
            remaining / DUPLICATE_WAIT_DIVISOR
        }
    }

    fn standing(&self, content: ContentDigest) -> ContentStanding {
        self.core.crashes().standing(content)
    }
}

/// The place of a duplicate that may be sent.
pub(crate) struct DuplicatePlace {
    ticket: Arc<DuplicateTicket>,
    wait: DuplicateWait,
    waited: Mutex<Duration>,
}

impl DuplicatePlace {
    pub(crate) fn ticket(&self) -> &Arc<DuplicateTicket> {
        &self.ticket
    }

    /// Gives up the place while nothing of the request is in progress.
    pub(crate) fn give_up(&self) {
        self.ticket.suspend();
    }

    /// Waits until the request has its place again. Returns whether that took a wait, so that what
    /// was known before may be outdated.
    ///
    /// # Errors
    ///
    /// Fails if another duplicate made no progress in time, or if the request is quarantined since.
    pub(crate) async fn regain(&self) -> Result<bool, CallerError> {
        if !self.ticket.is_suspended() {
            return Ok(false);
        }
        let started = Instant::now();
        let standing = |content| self.wait.standing(content);
        let regained = self.ticket.resume(standing, WaitLimits::until(self.wait.limit())).await;
        *self.waited.lock().expect("no holder of the lock panics") += started.elapsed();
        if !regained {
            return Err(to_duplicate_error());
        }
        // The other duplicates may have crashed their upstreams meanwhile.
        match self.wait.core.quarantine_left(&self.wait.contents, Instant::now()) {
            Some(left) => Err(to_quarantine_error(left)),
            None => Ok(true),
        }
    }

    /// Returns for how long the request has waited to regain its place.
    pub(crate) fn waited(&self) -> Duration {
        *self.waited.lock().expect("no holder of the lock panics")
    }
}
