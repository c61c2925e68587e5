//! Bounds the duplicates in progress at a daemon of a request that is not known to have been
//! answered.
//!
//! Load pattern: forty duplicates of a request that crashes upstreams arrive at once. Nothing is
//! known of the request yet, and by the time that the first duplicate has crashed its upstream all
//! others are in progress, each on another upstream.
//!
//! Decision: the first duplicate is sent alone. Those that arrive meanwhile wait until part of its
//! answer has been received, and are then sent without a bound, since a request that is answered is
//! harmless. If its upstream terminates, the daemon sends no duplicate until it can have received
//! what other daemons observed of the same request; by then the request is quarantined if it
//! crashed three upstreams in all. A burst thus crashes one upstream per daemon, and one more where
//! a daemon has a single duplicate, which is retried at once.
//!
//! A duplicate that waits for something else than its answer, such as an upstream that accepts
//! requests, gives up its place meanwhile: nothing of it is in progress that could show whether the
//! request is harmless, and the others would wait, or be refused, for nothing.
//!
//! Trade-off: duplicates of a harmless request that is new to the daemon wait once, for the first
//! event of a stream, about 80 ms, or for a complete answer. A request that crashes its upstream
//! after its first event is not bounded here, but only by the quarantine that follows its burst.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hollowbarrow_schema::RequestDigest;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time within which daemons receive what others have observed of a request: two messages and a
/// view, each sent at least every 90 ms, and as much again for busy machines.
const PROPAGATION_TIME: Duration = Duration::from_millis(600);

/// Whether a duplicate may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateStep {
    /// The duplicate may be sent.
    Go,
    /// The duplicate waits until another one has shown progress or ended, or until this time.
    Wait(Option<Instant>),
}

#[derive(Clone, Copy, Debug, Default)]
struct DuplicateEntry {
    in_progress: u32,
    /// Duplicates that have given up their place for a time.
    suspended: u32,
    /// Whether other duplicates arrived while there was one, or during a pause.
    has_others: bool,
    /// Whether part of an answer has been received.
    has_answer: bool,
    paused_until: Option<Instant>,
}

impl DuplicateEntry {
    fn pause(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.in_progress == 0 && self.suspended == 0 && self.pause(now).is_none()
    }

    fn begin(&mut self, answered: bool, now: Instant) -> DuplicateStep {
        self.has_answer |= answered;
        self.has_others |= self.in_progress + self.suspended > 0;
        if !self.has_answer {
            if let Some(until) = self.pause(now) {
                self.has_others = true;
                return DuplicateStep::Wait(Some(until));
            }
            if self.in_progress > 0 {
                return DuplicateStep::Wait(None);
            }
        }
        self.in_progress += 1;
        DuplicateStep::Go
    }
}

/// Duplicates in progress, by request.
#[derive(Clone, Debug, Default)]
pub struct DuplicateLimiter {
    entries: HashMap<RequestDigest, DuplicateEntry>,
    /// Entries that are kept for a pause, in order of the end of the pause.
    paused: VecDeque<(Instant, RequestDigest)>,
}

impl DuplicateLimiter {
    /// Creates an empty limiter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a duplicate if it may be sent; `answered` states that the request was answered
    /// before.
    pub fn begin(&mut self, request: RequestDigest, answered: bool, now: Instant) -> DuplicateStep {
        self.prune(now);
        self.entries.entry(request).or_default().begin(answered, now)
    }

    /// Records that a duplicate gives up its place. It still counts as one that others have beside
    /// them.
    pub fn suspend(&mut self, request: RequestDigest) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.in_progress = entry.in_progress.saturating_sub(1);
            entry.suspended += 1;
        }
    }

    /// Starts a duplicate again that gave up its place, if it may be sent. `answered` is as for
    /// [`DuplicateLimiter::begin`].
    pub fn resume(
        &mut self,
        request: RequestDigest,
        answered: bool,
        now: Instant,
    ) -> DuplicateStep {
        self.prune(now);
        let entry = self.entries.entry(request).or_default();
        entry.suspended = entry.suspended.saturating_sub(1);
        let step = entry.begin(answered, now);
        entry.suspended += u32::from(step != DuplicateStep::Go);
        step
    }

    /// Records that part of an answer was received.
    pub fn record_progress(&mut self, request: RequestDigest) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.has_answer = true;
        }
    }

    /// Records that an upstream terminated while it ran a duplicate. Returns the time until which
    /// the duplicate must not be retried, if there are other duplicates.
    pub fn record_crash(&mut self, request: RequestDigest, now: Instant) -> Option<Instant> {
        let entry = self.entries.get_mut(&request)?;
        if entry.has_answer || !entry.has_others {
            return None;
        }
        let until = now + PROPAGATION_TIME;
        entry.paused_until = Some(until);
        self.paused.push_back((until, request));
        Some(until)
    }

    /// Records that a duplicate is no longer in progress.
    pub fn end(&mut self, request: RequestDigest, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.in_progress = entry.in_progress.saturating_sub(1);
            if entry.is_idle(now) {
                self.entries.remove(&request);
            }
        }
    }

    /// Records that a duplicate ends that has given up its place.
    pub fn end_suspended(&mut self, request: RequestDigest, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.suspended = entry.suspended.saturating_sub(1);
            if entry.is_idle(now) {
                self.entries.remove(&request);
            }
        }
    }

    /// Returns the number of requests kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn prune(&mut self, now: Instant) {
        while let Some((until, request)) = self.paused.front().copied() {
            if now < until {
                return;
            }
            self.paused.pop_front();
            if self.entries.get(&request).is_some_and(|entry| entry.is_idle(now)) {
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

    /// Tries a step after each change until it lets the duplicate go, at most until the limit.
    /// Returns false as soon as it is known that the duplicate may not go by then.
    async fn wait_to_go(&self, step: impl Fn(Instant) -> DuplicateStep, limit: Instant) -> bool {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            let wait = match step(now) {
                DuplicateStep::Go => return true,
                DuplicateStep::Wait(until) => until,
            };
            let until = wait.unwrap_or(limit);
            if now >= limit || until > limit {
                return false;
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}

/// Admits duplicates of a request as the limiter allows.
#[derive(Clone, Debug, Default)]
pub struct DuplicateGate {
    state: Arc<GateState>,
}

/// A duplicate in progress; dropping it allows another one to be sent.
#[derive(Debug)]
pub struct DuplicateTicket {
    state: Arc<GateState>,
    request: RequestDigest,
    /// Whether the duplicate has given up its place.
    suspended: AtomicBool,
}

impl DuplicateGate {
    /// Creates a gate without duplicates.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits until a duplicate may be sent, at most until the limit. Returns `None` as soon as it
    /// is known that the duplicate may not be sent by then.
    ///
    /// `was_answered` returns whether the request was answered before. It is called again after
    /// each wait, since the duplicate waited for may have been answered meanwhile.
    pub async fn enter(
        &self,
        request: RequestDigest,
        was_answered: impl Fn() -> bool,
        limit: Instant,
    ) -> Option<DuplicateTicket> {
        let step = |now| {
            let answered = was_answered();
            self.state.limiter().begin(request, answered, now)
        };
        let may_go = self.state.wait_to_go(step, limit).await;
        may_go.then(|| DuplicateTicket {
            state: Arc::clone(&self.state),
            request,
            suspended: AtomicBool::new(false),
        })
    }
}

impl DuplicateTicket {
    /// Records that part of an answer was received.
    pub fn record_progress(&self) {
        self.state.limiter().record_progress(self.request);
        self.state.changed.notify_waiters();
    }

    /// Gives up this duplicate's place, so that another one may be sent. Nothing of this one may be
    /// in progress.
    pub fn suspend(&self) {
        if !self.suspended.swap(true, Ordering::Relaxed) {
            self.state.limiter().suspend(self.request);
            self.state.changed.notify_waiters();
        }
    }

    /// Returns whether this duplicate has given up its place.
    pub fn is_suspended(&self) -> bool {
        self.suspended.load(Ordering::Relaxed)
    }

    /// Waits until this duplicate has a place again, at most until the limit. Returns false as soon
    /// as it is known that it will have none by then. `was_answered` is as for
    /// [`DuplicateGate::enter`].
    pub async fn resume(&self, was_answered: impl Fn() -> bool, limit: Instant) -> bool {
        if !self.is_suspended() {
            return true;
        }
        let step = |now| {
            let answered = was_answered();
            let step = self.state.limiter().resume(self.request, answered, now);
            self.suspended.store(step != DuplicateStep::Go, Ordering::Relaxed);
            step
        };
        self.state.wait_to_go(step, limit).await
    }

    /// Records that an upstream terminated while it ran this duplicate. Returns the time until
    /// which the duplicate must not be retried, if there are other duplicates.
    pub fn record_crash(&self) -> Option<Instant> {
        self.state.limiter().record_crash(self.request, Instant::now())
    }
}

impl Drop for DuplicateTicket {
    fn drop(&mut self) {
        let now = Instant::now();
        if self.is_suspended() {
            self.state.limiter().end_suspended(self.request, now);
        } else {
            self.state.limiter().end(self.request, now);
        }
        self.state.changed.notify_waiters();
    }
}
