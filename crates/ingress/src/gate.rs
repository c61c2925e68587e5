//! Admits the connections of clients, and closes some of them when memory or descriptors run out.
//!
//! All listeners of a process share one gate. Each listener has a quota of connections, and all of them
//! together have a budget of bytes: what their clients have sent and what they have not read yet.
//!
//! Invariants:
//!
//! - While neither a quota nor the budget is used up, nothing is closed, however slow a client is.
//! - A connection is closed only while it waits for its client: for a request, for the rest of one, or
//!   until an answer is read. A request that is in progress and whose client reads is never given up.
//! - The first [`SMALL_BYTES`] of a request find room while larger ones use up the rest of the budget.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::json::parsed_json_bytes;
use crate::pressure::PressureLog;

/// Memory of a connection itself: its task and buffers.
pub(crate) const CONNECTION_BYTES: usize = 16 << 10;
/// Bytes of a request up to which the whole budget may be used.
const SMALL_BYTES: usize = 64 << 10;
/// Part of the budget that is only for small requests.
const SMALL_SHARE: usize = 4;
/// Bytes that a client must send or read to count as one that makes progress.
pub(crate) const PROGRESS_BYTES: usize = 16 << 10;
/// Time without progress after which a connection may be closed in favour of a large request.
const STALL_TIME: Duration = Duration::from_millis(250);

/// There is no room for what a client sends, and no other client has stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the memory for clients is used up")]
pub struct OverloadedError;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its first request.
    Unused,
    /// The rest of a request's head; `first` states that it is the first request.
    Head { first: bool },
    /// The rest of a request's body.
    Body,
    /// Nothing that its client has to do: a request is in progress.
    Running,
    /// Another request.
    Resting,
}

/// A connection, as the gate sees it.
#[derive(Debug)]
struct Connection {
    listener: usize,
    phase: Phase,
    /// When the phase began, or when the client last made progress in it.
    since: Instant,
    /// Bytes that the client has sent since then.
    progress: usize,
    /// Since when the client has not read what was written to it.
    unread_since: Option<Instant>,
    /// Bytes that it holds, itself included.
    held: usize,
    closing: bool,
    wake: Arc<Wake>,
}

impl Connection {
    /// Returns since when the connection waits for its client; `None` if it does not.
    fn stalled_since(&self) -> Option<Instant> {
        match self.phase {
            _ if self.closing => None,
            Phase::Running => self.unread_since,
            _ => Some(self.unread_since.unwrap_or(self.since)),
        }
    }

    /// Returns whether no request was ever begun on it.
    fn is_unused(&self) -> bool {
        matches!(self.phase, Phase::Unused | Phase::Head { first: true })
    }

    /// Returns whether it holds more than an open connection needs.
    fn holds_data(&self) -> bool {
        self.held > CONNECTION_BYTES
    }
}

/// Tells the tasks of a connection that it is being closed.
#[derive(Debug, Default)]
struct Wake {
    closing: AtomicBool,
    /// Whether its descriptor is needed, so that there is no time for an answer.
    at_once: AtomicBool,
    notify: Notify,
}

#[derive(Debug)]
struct ListenerState {
    name: &'static str,
    quota: usize,
    open: usize,
    closing: usize,
    closed: u64,
}

#[derive(Debug)]
struct GateState {
    budget: usize,
    connections: HashMap<u64, Connection>,
    listeners: Vec<ListenerState>,
    next: u64,
    held: usize,
    /// Bytes of connections that are being closed.
    closing_bytes: usize,
    refused: u64,
    log: PressureLog,
}

/// Outcome of an attempt to hold more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Growth {
    Granted,
    /// Connections are being closed that will make room.
    Pending,
    Refused,
}

impl GateState {
    /// Returns the connection at a listener to close for a new one: the oldest one without any request,
    /// else the one that has stalled for longest.
    fn replaceable(&self, listener: usize) -> Option<u64> {
        let at_listener = self.connections.iter().filter(|(_, open)| open.listener == listener);
        let stalled = at_listener.filter_map(|(id, open)| Some((open, open.stalled_since()?, id)));
        let longest = stalled.min_by_key(|(open, since, id)| (!open.is_unused(), *since, **id));
        longest.map(|(_, _, id)| *id)
    }

    /// Returns the connection to close for the memory of another one: the one with data that has stalled
    /// for longest, else the one at rest for longest. For a small request large ones count as stalled at
    /// once.
    fn yielding(&self, to: u64, small: bool, now: Instant) -> Option<u64> {
        let others = self.connections.iter().filter(|(id, _)| **id != to);
        let stalled = others.filter_map(|(id, open)| {
            let since = open.stalled_since()?;
            let large = small && open.held > SMALL_BYTES;
            let due = large || now.saturating_duration_since(since) >= STALL_TIME;
            due.then_some((open, since, id))
        });
        let longest = stalled.min_by_key(|(open, since, id)| (!open.holds_data(), *since, **id));
        longest.map(|(_, _, id)| *id)
    }

    fn close(&mut self, id: u64, now: Instant) {
        let Some(open) = self.connections.get_mut(&id) else { return };
        open.closing = true;
        open.wake.closing.store(true, Ordering::Relaxed);
        open.wake.notify.notify_waiters();
        self.closing_bytes += open.held;
        let listener = &mut self.listeners[open.listener];
        listener.closing += 1;
        listener.closed += 1;
        self.log.record_closed(listener.name, self.held, now);
    }

    /// Closes a connection whose descriptor is needed.
    fn close_at_once(&mut self, id: u64, now: Instant) {
        if let Some(open) = self.connections.get(&id) {
            open.wake.at_once.store(true, Ordering::Relaxed);
        }
        self.close(id, now);
    }

    /// Adds to or takes from the bytes that a connection holds.
    fn change_held(&mut self, id: u64, old: usize, new: usize) {
        self.held = self.held - old + new;
        if let Some(open) = self.connections.get_mut(&id) {
            open.held = open.held - old + new;
            if open.closing {
                self.closing_bytes = self.closing_bytes - old + new;
            }
        }
    }

    /// Closes stalled connections as long as there is no room for the bytes of a connection.
    fn make_room(&mut self, id: u64, old: usize, new: usize, now: Instant) -> Growth {
        let small = new <= SMALL_BYTES;
        let limit = if small { self.budget } else { self.budget - self.budget / SMALL_SHARE };
        let wanted = self.held - old + new;
        if wanted <= limit {
            return Growth::Granted;
        }
        while wanted - self.closing_bytes > limit {
            match self.yielding(id, small, now) {
                Some(stalled) => self.close(stalled, now),
                None => return Growth::Refused,
            }
        }
        Growth::Pending
    }

    fn record_refused(&mut self, now: Instant) {
        self.refused += 1;
        self.log.record_refused(self.held, now);
    }

    fn remove(&mut self, id: u64) {
        let Some(removed) = self.connections.remove(&id) else { return };
        let listener = &mut self.listeners[removed.listener];
        listener.open -= 1;
        if removed.closing {
            listener.closing -= 1;
            self.closing_bytes -= removed.held;
        }
        self.held -= CONNECTION_BYTES;
    }
}

/// Bounds the memory and the descriptors that clients use.
#[derive(Debug)]
pub struct ClientGate {
    state: Mutex<GateState>,
    released: Notify,
}

/// What clients use at one moment, and what was closed since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateLevels {
    /// Bytes that are held for clients.
    pub held_bytes: usize,
    /// Connections and requests that were refused because there was no memory for them.
    pub refused: u64,
    /// Listeners, with their open connections and how many were closed for others.
    pub listeners: Vec<ListenerLevels>,
}

/// Connections of one listener.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListenerLevels {
    /// Name of the listener in metrics.
    pub name: &'static str,
    /// Open connections.
    pub open: usize,
    /// Connections that were closed for others since the start.
    pub closed: u64,
}

impl ClientGate {
    /// Creates a gate with a budget of bytes.
    pub fn new(budget: usize) -> Arc<Self> {
        let state = GateState {
            budget,
            connections: HashMap::new(),
            listeners: Vec::new(),
            next: 0,
            held: 0,
            closing_bytes: 0,
            refused: 0,
            log: PressureLog::default(),
        };
        Arc::new(Self { state: Mutex::new(state), released: Notify::new() })
    }

    /// Adds a listener that may have so many connections.
    pub fn add_listener(self: &Arc<Self>, name: &'static str, quota: u32) -> ListenerGate {
        let mut state = self.state();
        let quota = (quota as usize).max(1);
        state.listeners.push(ListenerState { name, quota, open: 0, closing: 0, closed: 0 });
        ListenerGate { gate: Arc::clone(self), index: state.listeners.len() - 1 }
    }

    /// Returns what clients use now.
    pub fn levels(&self) -> GateLevels {
        let state = self.state();
        let listeners = state.listeners.iter().map(|listener| ListenerLevels {
            name: listener.name,
            open: listener.open,
            closed: listener.closed,
        });
        GateLevels {
            held_bytes: state.held,
            refused: state.refused,
            listeners: listeners.collect(),
        }
    }

    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// The gate at one listener.
#[derive(Clone, Debug)]
pub struct ListenerGate {
    gate: Arc<ClientGate>,
    index: usize,
}

impl ListenerGate {
    /// Creates the gate of a listener without bounds.
    pub fn unbounded() -> Self {
        ClientGate::new(usize::MAX).add_listener("unbounded", u32::MAX)
    }

    /// Waits until a connection that was accepted could be admitted at once.
    ///
    /// Connections that are being closed still have their descriptors.
    pub async fn ready(&self) {
        loop {
            let released = self.gate.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            {
                let state = self.gate.state();
                let listener = &state.listeners[self.index];
                if listener.closing == 0 || listener.open <= listener.quota {
                    return;
                }
            }
            released.await;
        }
    }

    /// Admits a new connection. If the quota or the budget is used up, it takes the place of the one that
    /// has stalled for longest; `None` if there is none.
    pub fn open(&self) -> Option<ClientConnection> {
        let now = Instant::now();
        let mut state = self.gate.state();
        let listener = &state.listeners[self.index];
        if listener.open - listener.closing >= listener.quota {
            let replaced = state.replaceable(self.index)?;
            state.close_at_once(replaced, now);
        }
        let id = state.next;
        if state.make_room(id, 0, CONNECTION_BYTES, now) == Growth::Refused {
            state.record_refused(now);
            return None;
        }
        state.next += 1;
        Some(self.insert(&mut state, id, now))
    }

    /// Closes a connection at the listener on which a request is incomplete, or none was begun, for at
    /// least so long; returns whether there was one.
    pub fn close_stalled(&self, stall: Duration) -> bool {
        let now = Instant::now();
        let mut state = self.gate.state();
        let stalled = state.connections.iter().filter(|(_, open)| {
            let since = open.stalled_since().filter(|_| open.listener == self.index);
            let waits = open.is_unused() || open.phase == Phase::Body;
            waits && since.is_some_and(|since| now.saturating_duration_since(since) >= stall)
        });
        let longest = stalled.min_by_key(|(id, open)| (open.since, **id)).map(|(id, _)| *id);
        if let Some(id) = longest {
            state.close(id, now);
        }
        longest.is_some()
    }

    fn insert(&self, state: &mut GateState, id: u64, now: Instant) -> ClientConnection {
        let wake = Arc::<Wake>::default();
        let connection = Connection {
            listener: self.index,
            phase: Phase::Unused,
            since: now,
            progress: 0,
            unread_since: None,
            held: CONNECTION_BYTES,
            closing: false,
            wake: Arc::clone(&wake),
        };
        state.connections.insert(id, connection);
        state.listeners[self.index].open += 1;
        state.held += CONNECTION_BYTES;
        ClientConnection { handle: ClientHandle { gate: Arc::clone(&self.gate), id, wake } }
    }
}

/// An admitted connection, which counts as open until this is dropped.
#[derive(Debug)]
pub struct ClientConnection {
    handle: ClientHandle,
}

impl ClientConnection {
    /// Returns the handle through which the connection's parts report to the gate.
    pub fn handle(&self) -> &ClientHandle {
        &self.handle
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.handle.gate.state().remove(self.handle.id);
        self.handle.gate.released.notify_waiters();
    }
}

/// Reports to the gate what the client of a connection does.
#[derive(Clone, Debug)]
pub struct ClientHandle {
    gate: Arc<ClientGate>,
    id: u64,
    wake: Arc<Wake>,
}

impl ClientHandle {
    /// Returns whether the gate closes the connection.
    pub fn is_closing(&self) -> bool {
        self.wake.closing.load(Ordering::Relaxed)
    }

    /// Returns whether the gate closes the connection because its descriptor is needed.
    pub(crate) fn is_closing_at_once(&self) -> bool {
        self.wake.at_once.load(Ordering::Relaxed)
    }

    /// Waits until the gate closes the connection.
    pub async fn closing(&self) {
        self.woken(Self::is_closing).await;
    }

    /// Waits until the gate closes the connection because its descriptor is needed.
    pub(crate) async fn closing_at_once(&self) {
        self.woken(Self::is_closing_at_once).await;
    }

    async fn woken(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            let notified = self.wake.notify.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if condition(self) {
                return;
            }
            notified.await;
        }
    }

    /// Returns whether the rest of a body is waited for.
    pub(crate) fn is_reading_body(&self) -> bool {
        let state = self.gate.state();
        state.connections.get(&self.id).is_some_and(|open| open.phase == Phase::Body)
    }

    /// Returns whether the client does not read what was written to it.
    pub(crate) fn is_unread(&self) -> bool {
        let state = self.gate.state();
        state.connections.get(&self.id).is_some_and(|open| open.unread_since.is_some())
    }

    /// Records bytes from the client; returns whether they begin the head of a request.
    pub(crate) fn record_received(&self) -> bool {
        self.update(|open, now| {
            let first = open.phase == Phase::Unused;
            let begins = first || open.phase == Phase::Resting;
            if begins {
                (open.phase, open.since) = (Phase::Head { first }, now);
            }
            begins
        })
    }

    /// Returns whether the head of a request is incomplete.
    pub(crate) fn is_reading_head(&self) -> bool {
        let state = self.gate.state();
        let open = state.connections.get(&self.id);
        open.is_some_and(|open| matches!(open.phase, Phase::Head { .. }))
    }

    /// Records that the head of a request is complete, and whether a body follows. Without one the
    /// connection is not closed for others from now on.
    ///
    /// # Errors
    ///
    /// Fails if the gate is closing the connection already.
    pub fn begin_request(&self, has_body: bool) -> Result<(), OverloadedError> {
        self.begin_phase(if has_body { Phase::Body } else { Phase::Running })
    }

    /// Records that the body of a request is complete. The connection is not closed for others from now
    /// on.
    ///
    /// # Errors
    ///
    /// Fails if the gate is closing the connection already.
    pub fn run_request(&self) -> Result<(), OverloadedError> {
        self.begin_phase(Phase::Running)
    }

    /// Records that a request was answered.
    pub fn end_request(&self) {
        self.update(|open, now| (open.phase, open.since) = (Phase::Resting, now));
    }

    /// Records bytes of a body.
    pub fn record_body(&self, bytes: usize) {
        self.update(|open, now| {
            open.progress += bytes;
            if open.progress >= PROGRESS_BYTES {
                (open.progress, open.since) = (0, now);
            }
        });
    }

    /// Records that the client does not read, or reads again.
    pub fn set_unread(&self, unread: bool) {
        self.update(|open, now| open.unread_since = unread.then_some(now));
    }

    /// Starts to count bytes that are held for the connection.
    pub fn hold(&self) -> ByteHold {
        ByteHold { handle: self.clone(), bytes: 0 }
    }

    /// Holds the memory that a JSON document takes once it is parsed.
    ///
    /// # Errors
    ///
    /// Fails as [`ByteHold::grow`] does.
    pub async fn hold_parsed(&self, json: &[u8]) -> Result<ByteHold, OverloadedError> {
        let mut hold = self.hold();
        hold.grow(parsed_json_bytes(json)).await?;
        Ok(hold)
    }

    fn begin_phase(&self, phase: Phase) -> Result<(), OverloadedError> {
        let begun = self.update(|open, now| {
            if !open.closing {
                (open.phase, open.since, open.progress) = (phase, now, 0);
            }
            !open.closing
        });
        if begun { Ok(()) } else { Err(OverloadedError) }
    }

    fn update<T: Default>(&self, change: impl FnOnce(&mut Connection, Instant) -> T) -> T {
        let mut state = self.gate.state();
        let open = state.connections.get_mut(&self.id);
        open.map(|open| change(open, Instant::now())).unwrap_or_default()
    }
}

/// Bytes that are held for a connection until this is dropped. It may outlive the connection.
#[derive(Debug)]
pub struct ByteHold {
    handle: ClientHandle,
    bytes: usize,
}

impl ByteHold {
    /// Returns the bytes that are held.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds so many bytes; waits while connections are being closed to make room.
    ///
    /// # Errors
    ///
    /// Fails if the gate closes this connection, or if no other one has stalled that could make room.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), OverloadedError> {
        let gate = Arc::clone(&self.handle.gate);
        loop {
            let released = gate.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            if self.handle.is_closing() {
                return Err(OverloadedError);
            }
            match self.try_grow(bytes) {
                Growth::Granted => return Ok(()),
                Growth::Refused => return Err(OverloadedError),
                Growth::Pending => released.await,
            }
        }
    }

    /// Holds so many bytes that are in memory already, and closes stalled connections for them.
    pub fn set(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        let mut state = self.handle.gate.state();
        if bytes > self.bytes {
            state.make_room(self.handle.id, self.bytes, bytes, Instant::now());
        }
        state.change_held(self.handle.id, self.bytes, bytes);
        drop(state);
        if bytes < self.bytes {
            self.handle.gate.released.notify_waiters();
        }
        self.bytes = bytes;
    }

    fn try_grow(&mut self, bytes: usize) -> Growth {
        let now = Instant::now();
        let mut state = self.handle.gate.state();
        let growth = state.make_room(self.handle.id, self.bytes, bytes, now);
        match growth {
            Growth::Granted => {
                state.change_held(self.handle.id, self.bytes, bytes);
                self.bytes = bytes;
            }
            Growth::Refused => state.record_refused(now),
            Growth::Pending => {}
        }
        growth
    }
}

impl Drop for ByteHold {
    fn drop(&mut self) {
        self.set(0);
    }
}
