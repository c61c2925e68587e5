//! Admits requests by priority class, and by fair share among organisations.
//!
//! Three classes share a number of slots. Urgent requests may use all of them, normal requests all
//! but a reserve, and batch requests all but that reserve and a second one. Capacity for urgent
//! requests therefore remains when long streams occupy the other slots. Within a class, waiting
//! requests are admitted in order of their virtual finish times: an organisation's virtual time
//! advances by the inverse of its weight with each of its requests that wait.
//!
//! Invariants: a class's queue never exceeds its bound; a request whose deadline passes while it
//! waits is refused, never admitted.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_schema::{OrganisationId, Urgency};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Share of the slots that is reserved for urgent requests.
const URGENT_RESERVE: f64 = 0.1;
/// Share of the slots, beyond [`URGENT_RESERVE`], that batch requests may not use.
const BATCH_RESERVE: f64 = 0.15;
/// Weight of a new sample in the moving average of the time that a request occupies a slot.
const SMOOTHING: f64 = 0.05;

/// Bounds of an admission queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Number of requests in flight at once.
    pub slots: u32,
    /// Number of requests that may wait in each class.
    pub waiting: u32,
}

/// Reason for which a request was not admitted; the request has not run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ShedRequestError {
    /// The queue of the class is full.
    #[error("the queue is full; retry after {} ms", retry_after.as_millis())]
    QueueFull {
        /// Time after which a slot is likely to be free.
        retry_after: Duration,
    },
    /// The deadline passed before the request was admitted.
    #[error("the deadline passed before the request could start")]
    DeadlinePassed,
}

#[derive(Debug)]
struct Waiter {
    id: u64,
    tag: f64,
    deadline: Instant,
    grant: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    waiters: Vec<Waiter>,
    virtual_time: f64,
    tags: HashMap<OrganisationId, f64>,
}

#[derive(Debug)]
struct QueueState {
    used: u32,
    classes: [ClassQueue; 3],
    next_id: u64,
    occupancy_ms: f64,
}

/// Admits requests by class and fair share.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    state: Arc<Mutex<QueueState>>,
}

/// An occupied slot; dropping it admits the next request.
#[derive(Debug)]
pub struct AdmissionTicket {
    queue: AdmissionQueue,
    since: Instant,
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        self.queue.release(self.since);
    }
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        let state =
            QueueState { used: 0, classes: Default::default(), next_id: 0, occupancy_ms: 1000.0 };
        Self { limits, state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.lock().used
    }

    /// Returns the number of waiting requests of all classes.
    pub fn waiting(&self) -> usize {
        self.lock().classes.iter().map(|class| class.waiters.len()).sum()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, QueueState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Returns the number of slots that a class may fill.
    fn slots_for(&self, class: Urgency) -> u32 {
        let slots = f64::from(self.limits.slots);
        let reserved = match class {
            Urgency::Urgent => 0.0,
            Urgency::Normal => URGENT_RESERVE,
            Urgency::Batch => URGENT_RESERVE + BATCH_RESERVE,
        };
        ((slots * (1.0 - reserved)) as u32).max(1)
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns an error at once if the class's queue is full, and otherwise when the deadline
    /// passes.
    pub async fn enter(
        &self,
        class: Urgency,
        organisation: &OrganisationId,
        weight: u32,
        deadline: Instant,
    ) -> Result<AdmissionTicket, ShedRequestError> {
        let (id, granted) = match self.try_enter(class, organisation, weight, deadline)? {
            Entry::Admitted(ticket) => return Ok(ticket),
            Entry::Queued(id, granted) => (id, granted),
        };
        let guard = WaitGuard { queue: self, class, id, armed: true };
        match tokio::time::timeout_at(deadline, granted).await {
            Ok(Ok(())) => {
                guard.disarm();
                let ticket = AdmissionTicket { queue: self.clone(), since: Instant::now() };
                if Instant::now() >= deadline {
                    return Err(ShedRequestError::DeadlinePassed);
                }
                Ok(ticket)
            }
            _ => Err(ShedRequestError::DeadlinePassed),
        }
    }

    fn try_enter(
        &self,
        class: Urgency,
        organisation: &OrganisationId,
        weight: u32,
        deadline: Instant,
    ) -> Result<Entry, ShedRequestError> {
        let now = Instant::now();
        if now >= deadline {
            return Err(ShedRequestError::DeadlinePassed);
        }
        let slots = self.slots_for(class);
        let mut state = self.lock();
        if state.used < slots && state.classes[class as usize].waiters.is_empty() {
            state.used += 1;
            return Ok(Entry::Admitted(AdmissionTicket { queue: self.clone(), since: now }));
        }
        let waiting = state.classes[class as usize].waiters.len();
        if waiting >= self.limits.waiting as usize {
            let wait = state.occupancy_ms * waiting as f64 / f64::from(slots);
            let retry_after = Duration::from_millis(wait.max(100.0) as u64);
            return Err(ShedRequestError::QueueFull { retry_after });
        }
        let id = state.next_id;
        state.next_id += 1;
        let (grant, granted) = oneshot::channel();
        let queue = &mut state.classes[class as usize];
        let start = queue.tags.get(organisation).copied().unwrap_or(0.0).max(queue.virtual_time);
        let tag = start + 1.0 / f64::from(weight.max(1));
        queue.tags.insert(organisation.clone(), tag);
        queue.waiters.push(Waiter { id, tag, deadline, grant });
        Ok(Entry::Queued(id, granted))
    }

    fn release(&self, since: Instant) {
        let now = Instant::now();
        let mut state = self.lock();
        let occupancy = now.saturating_duration_since(since).as_millis() as f64;
        state.occupancy_ms += (occupancy - state.occupancy_ms) * SMOOTHING;
        state.used = state.used.saturating_sub(1);
        self.grant_next(&mut state, now);
    }

    /// Grants free slots to waiting requests, most urgent class first.
    fn grant_next(&self, state: &mut QueueState, now: Instant) {
        for class in [Urgency::Urgent, Urgency::Normal, Urgency::Batch] {
            while state.used < self.slots_for(class) {
                let queue = &mut state.classes[class as usize];
                let first = queue
                    .waiters
                    .iter()
                    .enumerate()
                    .min_by(|(_, a), (_, b)| a.tag.total_cmp(&b.tag).then(a.id.cmp(&b.id)))
                    .map(|(position, _)| position);
                let Some(position) = first else { break };
                let waiter = queue.waiters.swap_remove(position);
                queue.virtual_time = queue.virtual_time.max(waiter.tag);
                if queue.waiters.is_empty() {
                    queue.tags.clear();
                    queue.virtual_time = 0.0;
                }
                if waiter.deadline > now && waiter.grant.send(()).is_ok() {
                    state.used += 1;
                }
            }
        }
    }

    /// Removes a waiting request. If its slot was granted in the meantime, the slot passes to the
    /// next request.
    fn abandon(&self, class: Urgency, id: u64) {
        let mut state = self.lock();
        let queue = &mut state.classes[class as usize];
        let before = queue.waiters.len();
        queue.waiters.retain(|waiter| waiter.id != id);
        if queue.waiters.len() == before {
            state.used = state.used.saturating_sub(1);
            self.grant_next(&mut state, Instant::now());
        }
    }
}

enum Entry {
    Admitted(AdmissionTicket),
    Queued(u64, oneshot::Receiver<()>),
}

/// Removes a waiting request from the queue when its caller stops waiting.
struct WaitGuard<'a> {
    queue: &'a AdmissionQueue,
    class: Urgency,
    id: u64,
    armed: bool,
}

impl WaitGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.queue.abandon(self.class, self.id);
        }
    }
}
