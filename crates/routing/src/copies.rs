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
//! Different requests that share a part of their prompts are bounded in the same way while no request
//! with the part is known to have been answered, with three differences. A request waits no longer
//! than its limit for others with an unknown part, and is then sent, since the part is probably
//! harmless, unless an upstream has just terminated under it. If several upstreams have terminated under the part, only a complete answer releases the
//! others, and the limit is final: such a part may crash an upstream after the first event. And a
//! request whose upstream terminates is not retried before records of other daemons can have arrived,
//! also if it is alone: its part may already be known elsewhere.
//!
//! Trade-off: duplicates of a harmless request that is new to the daemon wait once, for the first
//! event of a stream, about 80 ms, or for a complete answer. A request that crashes its upstream
//! after its first event is not bounded here, but only by the quarantine that follows its burst.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hollowbarrow_schema::ContentDigest;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::content::RequestContents;
use crate::crash_tracker::ContentStanding;

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
    /// The same, but the request is sent at its limit: only parts block it of which nothing is known. A
    /// time is the end of a pause.
    Defer(Option<Instant>),
}

impl DuplicateStep {
    /// Returns the step of a request that another content of it blocks too.
    fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Go, step) | (step, Self::Go) => step,
            (Self::Wait(one), Self::Wait(two) | Self::Defer(two)) => Self::Wait(one.max(two)),
            (Self::Defer(one), Self::Wait(two)) => Self::Wait(one.max(two)),
            (Self::Defer(one), Self::Defer(two)) => Self::Defer(one.max(two)),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct DuplicateEntry {
    in_progress: u32,
    /// Duplicates that have given up their place for a time.
    suspended: u32,
    /// Whether other duplicates arrived while there was one, or during a pause.
    has_others: bool,
    /// Whether part of an answer has been received, or the content was answered before.
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
    entries: HashMap<ContentDigest, DuplicateEntry>,
    /// Entries that are kept for a pause, in order of the end of the pause.
    paused: VecDeque<(Instant, ContentDigest)>,
}

impl DuplicateLimiter {
    /// Creates an empty limiter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a duplicate if it may be sent; `answered` states that the request was answered
    /// before.
    pub fn begin(&mut self, request: ContentDigest, answered: bool, now: Instant) -> DuplicateStep {
        self.prune(now);
        self.entries.entry(request).or_default().begin(answered, now)
    }

    /// Records that a duplicate gives up its place. It still counts as one that others have beside
    /// them.
    pub fn suspend(&mut self, request: ContentDigest) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.in_progress = entry.in_progress.saturating_sub(1);
            entry.suspended += 1;
        }
    }

    /// Starts a duplicate again that gave up its place, if it may be sent. `answered` is as for
    /// [`DuplicateLimiter::begin`].
    pub fn resume(
        &mut self,
        request: ContentDigest,
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
    pub fn record_progress(&mut self, request: ContentDigest) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.has_answer = true;
        }
    }

    /// Records that an upstream terminated while it ran a duplicate. Returns the time until which
    /// the duplicate must not be retried, if there are other duplicates.
    pub fn record_crash(&mut self, request: ContentDigest, now: Instant) -> Option<Instant> {
        let entry = self.entries.get_mut(&request)?;
        let pauses = !entry.has_answer && entry.has_others;
        pauses.then(|| self.pause(request, now))
    }

    /// Lets no request with a content be sent before records of other daemons can have arrived.
    /// Returns until when.
    pub fn pause(&mut self, content: ContentDigest, now: Instant) -> Instant {
        let until = now + PROPAGATION_TIME;
        let entry = self.entries.entry(content).or_default();
        entry.paused_until = Some(until);
        entry.has_answer = false;
        self.paused.push_back((until, content));
        until
    }

    fn is_paused(&self, content: ContentDigest, now: Instant) -> bool {
        self.entries.get(&content).is_some_and(|entry| entry.pause(now).is_some())
    }

    /// Records that parts of answers no longer show that a content is harmless.
    fn forget_progress(&mut self, content: ContentDigest) {
        if let Some(entry) = self.entries.get_mut(&content) {
            entry.has_answer = false;
        }
    }

    /// Records that a duplicate is no longer in progress.
    pub fn end(&mut self, request: ContentDigest, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.in_progress = entry.in_progress.saturating_sub(1);
            if entry.is_idle(now) {
                self.entries.remove(&request);
            }
        }
    }

    /// Records that a duplicate ends that has given up its place.
    pub fn end_suspended(&mut self, request: ContentDigest, now: Instant) {
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

    /// Tries a step after each change until it lets the request go, at most until the limit. The
    /// argument of the step states whether the limit has passed. Returns false as soon as it is known
    /// that the request may not go by then.
    async fn wait_to_go(
        &self,
        step: impl Fn(Instant, bool) -> DuplicateStep,
        limits: WaitLimits,
    ) -> bool {
        let WaitLimits { others: limit, pause } = limits;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            let until = match step(now, now >= limit) {
                DuplicateStep::Go => return true,
                DuplicateStep::Wait(until) => {
                    let until = until.unwrap_or(limit);
                    if now >= limit || until > limit {
                        return false;
                    }
                    until
                }
                DuplicateStep::Defer(Some(until)) if until > pause => return false,
                DuplicateStep::Defer(until) => until.unwrap_or(limit),
            };
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}

/// Until when a request waits at the gate.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// For other requests with the same contents.
    pub others: Instant,
    /// For the end of a pause after an upstream has terminated under a part.
    pub pause: Instant,
}

impl WaitLimits {
    /// Creates limits that are equal.
    pub fn until(limit: Instant) -> Self {
        Self { others: limit, pause: limit }
    }
}

/// Admits requests as the limiter allows.
#[derive(Clone, Debug, Default)]
pub struct DuplicateGate {
    state: Arc<GateState>,
}

/// The contents of a request that the gate bounds.
#[derive(Clone, Debug)]
struct GatedContents {
    whole: ContentDigest,
    /// Parts that were not known to be harmless when the request arrived.
    parts: Vec<ContentDigest>,
}

impl GatedContents {
    fn all(&self) -> impl Iterator<Item = ContentDigest> {
        std::iter::once(self.whole).chain(self.parts.iter().copied())
    }

    /// Starts or resumes all contents with `begin`, or none. `withdraw` undoes a start.
    fn begin(
        &self,
        limiter: &mut DuplicateLimiter,
        standing: &impl Fn(ContentDigest) -> ContentStanding,
        (now, is_last_try): (Instant, bool),
        begin: impl Fn(&mut DuplicateLimiter, ContentDigest, bool) -> DuplicateStep,
        withdraw: impl Fn(&mut DuplicateLimiter, ContentDigest),
    ) -> DuplicateStep {
        let mut begun = Vec::new();
        let mut joint = DuplicateStep::Go;
        for content in self.all() {
            let is_part = content != self.whole;
            let standing = standing(content);
            if is_part && standing == ContentStanding::Suspected {
                limiter.forget_progress(content);
            }
            let is_unknown_part = is_part && standing == ContentStanding::Unknown;
            let is_deferred = is_unknown_part && is_last_try && !limiter.is_paused(content, now);
            let free = standing == ContentStanding::Answered || is_deferred;
            let step = match begin(limiter, content, free) {
                DuplicateStep::Wait(until) if is_unknown_part => DuplicateStep::Defer(until),
                step => step,
            };
            if step == DuplicateStep::Go {
                begun.push(content);
            }
            joint = joint.and(step);
        }
        if joint != DuplicateStep::Go {
            begun.into_iter().for_each(|content| withdraw(limiter, content));
        }
        joint
    }
}

/// A request in progress; dropping it allows another one with the same contents to be sent.
#[derive(Debug)]
pub struct DuplicateTicket {
    state: Arc<GateState>,
    contents: GatedContents,
    /// Whether the request has given up its place.
    suspended: AtomicBool,
}

impl DuplicateGate {
    /// Creates a gate without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits until a request may be sent, at most until the limit. Returns `None` as soon as it is
    /// known that the request may not be sent by then.
    ///
    /// `standing` returns what is known of the whole request or of a part. It is called again after
    /// each wait, since the request waited for may have been answered meanwhile.
    pub async fn enter(
        &self,
        contents: &RequestContents,
        standing: impl Fn(ContentDigest) -> ContentStanding,
        limits: WaitLimits,
    ) -> Option<DuplicateTicket> {
        let parts = contents.parts().iter().copied();
        let contents = GatedContents {
            whole: contents.whole(),
            parts: parts.filter(|part| standing(*part) != ContentStanding::Answered).collect(),
        };
        let step = |now, is_last_try| {
            let mut limiter = self.state.limiter();
            let begin =
                |limiter: &mut DuplicateLimiter, content, free| limiter.begin(content, free, now);
            let withdraw = |limiter: &mut DuplicateLimiter, content| limiter.end(content, now);
            contents.begin(&mut limiter, &standing, (now, is_last_try), begin, withdraw)
        };
        if !self.state.wait_to_go(step, limits).await {
            return None;
        }
        let state = Arc::clone(&self.state);
        Some(DuplicateTicket { state, contents, suspended: AtomicBool::new(false) })
    }
}

impl DuplicateTicket {
    /// Records that part of an answer was received.
    pub fn record_progress(&self) {
        let mut limiter = self.state.limiter();
        self.contents.all().for_each(|content| limiter.record_progress(content));
        drop(limiter);
        self.state.changed.notify_waiters();
    }

    /// Gives up this request's place, so that another one may be sent. Nothing of this one may be in
    /// progress.
    pub fn suspend(&self) {
        if !self.suspended.swap(true, Ordering::Relaxed) {
            let mut limiter = self.state.limiter();
            self.contents.all().for_each(|content| limiter.suspend(content));
            drop(limiter);
            self.state.changed.notify_waiters();
        }
    }

    /// Returns whether this request has given up its place.
    pub fn is_suspended(&self) -> bool {
        self.suspended.load(Ordering::Relaxed)
    }

    /// Waits until this request has a place again, at most until the limit. Returns false as soon as
    /// it is known that it will have none by then. `standing` is as for [`DuplicateGate::enter`].
    pub async fn resume(
        &self,
        standing: impl Fn(ContentDigest) -> ContentStanding,
        limits: WaitLimits,
    ) -> bool {
        if !self.is_suspended() {
            return true;
        }
        let step = |now, is_last_try| {
            let mut limiter = self.state.limiter();
            let begin =
                |limiter: &mut DuplicateLimiter, content, free| limiter.resume(content, free, now);
            let suspend = |limiter: &mut DuplicateLimiter, content| limiter.suspend(content);
            let step =
                self.contents.begin(&mut limiter, &standing, (now, is_last_try), begin, suspend);
            self.suspended.store(step != DuplicateStep::Go, Ordering::Relaxed);
            step
        };
        self.state.wait_to_go(step, limits).await
    }

    /// Records that an upstream terminated while it ran this request. Returns the time until which
    /// the request must not be retried: there are duplicates of it, or it has parts of which nothing
    /// is known, and other daemons may know more. `standing` is as for [`DuplicateGate::enter`].
    pub fn record_crash(
        &self,
        standing: impl Fn(ContentDigest) -> ContentStanding,
    ) -> Option<Instant> {
        let now = Instant::now();
        let mut limiter = self.state.limiter();
        let whole = limiter.record_crash(self.contents.whole, now);
        let parts = self.contents.parts.iter().copied();
        let unanswered = parts.filter(|part| standing(*part) != ContentStanding::Answered);
        let paused = unanswered.map(|part| limiter.pause(part, now)).max();
        whole.max(paused)
    }
}

impl Drop for DuplicateTicket {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut limiter = self.state.limiter();
        for content in self.contents.all() {
            if self.is_suspended() {
                limiter.end_suspended(content, now);
            } else {
                limiter.end(content, now);
            }
        }
        drop(limiter);
        self.state.changed.notify_waiters();
    }
}
