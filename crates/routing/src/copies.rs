//! Bounds how many copies of a request that nobody has seen answered are under way at a daemon.
//!
//! Load pattern: a request that ends upstreams comes forty times at once. Nothing is known of it
//! yet, and by the time that the first of them has ended its upstream all others are under way,
//! each at another one.
//!
//! Decision: the first copy goes alone. What comes meanwhile waits until something of its answer
//! has come, and then goes without a bound: a request that is answered is no danger. Where its
//! upstream ends, the daemon sends no copy until it can have heard what others have seen of the
//! same request; by then it is held if it ended three upstreams in all. So a burst ends one
//! upstream a daemon, and one more where a daemon has a single copy, which is repeated at once.
//!
//! Trade-off: copies of a harmless request that nobody has sent before wait for its first event,
//! some 80 ms, once. A request that ends its upstream after its first event is not bounded by
//! this, only by what follows its burst.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hollowbarrow_schema::RequestDigest;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time in which daemons hear what others have seen of a request: two messages and a view, each
/// sent at least every 90 ms, and as much again for machines that are busy.
const PROPAGATION_TIME: Duration = Duration::from_millis(600);

/// Whether a copy may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateStep {
    /// It may.
    Go,
    /// Not before another one has shown progress or ended, or before this moment.
    Wait(Option<Instant>),
}

#[derive(Clone, Copy, Debug, Default)]
struct DuplicateEntry {
    in_progress: u32,
    /// Whether others have come while one was under way or awaited news.
    has_others: bool,
    /// Whether something of an answer has come.
    proven: bool,
    paused_until: Option<Instant>,
}

impl DuplicateEntry {
    fn pause(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }
}

/// Copies under way, by request.
#[derive(Clone, Debug, Default)]
pub struct DuplicateLimiter {
    entries: HashMap<RequestDigest, DuplicateEntry>,
    /// Entries that are kept for a pause, in the order in which these end.
    paused: VecDeque<(Instant, RequestDigest)>,
}

impl DuplicateLimiter {
    /// Creates a limiter that knows of no copy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Has a copy go if it may; `answered` says that such a request was answered before.
    pub fn begin(&mut self, request: RequestDigest, answered: bool, now: Instant) -> DuplicateStep {
        self.prune(now);
        let entry = self.entries.entry(request).or_default();
        entry.proven |= answered;
        if !entry.proven {
            if let Some(until) = entry.pause(now) {
                entry.has_others = true;
                return DuplicateStep::Wait(Some(until));
            }
            if entry.in_progress > 0 {
                entry.has_others = true;
                return DuplicateStep::Wait(None);
            }
        }
        entry.in_progress += 1;
        DuplicateStep::Go
    }

    /// Notes that something of an answer came.
    pub fn record_progress(&mut self, request: RequestDigest) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.proven = true;
        }
    }

    /// Notes that an upstream ended under a copy; until when it is not repeated, where there are
    /// others.
    pub fn record_crash(&mut self, request: RequestDigest, now: Instant) -> Option<Instant> {
        let entry = self.entries.get_mut(&request)?;
        if entry.proven || !entry.has_others {
            return None;
        }
        let until = now + PROPAGATION_TIME;
        entry.paused_until = Some(until);
        self.paused.push_back((until, request));
        Some(until)
    }

    /// Notes that a copy is not under way any more.
    pub fn end(&mut self, request: RequestDigest, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.in_progress = entry.in_progress.saturating_sub(1);
            if entry.in_progress == 0 && entry.pause(now).is_none() {
                self.entries.remove(&request);
            }
        }
    }

    /// Number of requests kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn prune(&mut self, now: Instant) {
        while let Some((until, request)) = self.paused.front().copied() {
            if now < until {
                return;
            }
            self.paused.pop_front();
            let idle =
                |entry: &DuplicateEntry| entry.in_progress == 0 && entry.pause(now).is_none();
            if self.entries.get(&request).is_some_and(idle) {
                self.entries.remove(&request);
            }
        }
    }
}

#[derive(Debug, Default)]
struct GateState {
    limiter: Mutex<DuplicateLimiter>,
    changed: Notify,
}

impl GateState {
    fn limiter(&self) -> MutexGuard<'_, DuplicateLimiter> {
        self.limiter.lock().expect("no holder of the lock panics")
    }
}

/// Lets copies of a request through as the limiter says.
#[derive(Clone, Debug, Default)]
pub struct DuplicateGate {
    state: Arc<GateState>,
}

/// A copy under way; dropping it lets another one go.
#[derive(Debug)]
pub struct DuplicateTicket {
    state: Arc<GateState>,
    request: RequestDigest,
}

impl DuplicateGate {
    /// Creates a gate without copies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits until a copy may go, until the limit; none as soon as it is known not to go by then.
    pub async fn enter(
        &self,
        request: RequestDigest,
        answered: bool,
        limit: Instant,
    ) -> Option<DuplicateTicket> {
        loop {
            let changed = self.state.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            let wait = match self.state.limiter().begin(request, answered, now) {
                DuplicateStep::Go => {
                    return Some(DuplicateTicket { state: Arc::clone(&self.state), request });
                }
                DuplicateStep::Wait(until) => until,
            };
            let until = wait.unwrap_or(limit);
            if now >= limit || until > limit {
                return None;
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}

impl DuplicateTicket {
    /// Notes that something of an answer came.
    pub fn record_progress(&self) {
        self.state.limiter().record_progress(self.request);
        self.state.changed.notify_waiters();
    }

    /// Notes that an upstream ended under this copy; until when it is not repeated, where there are
    /// others.
    pub fn record_crash(&self) -> Option<Instant> {
        self.state.limiter().record_crash(self.request, Instant::now())
    }
}

impl Drop for DuplicateTicket {
    fn drop(&mut self) {
        self.state.limiter().end(self.request, Instant::now());
        self.state.changed.notify_waiters();
    }
}
