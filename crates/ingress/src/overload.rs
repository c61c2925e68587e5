//! Bounds the connections of callers while this process is overloaded.
//!
//! Load pattern: a balancer hands most new connections to one of many daemons for some seconds. If it
//! reads all requests, it answers each of them late, or refuses it only after it was read.
//!
//! Decision: the delay of the runtime's timers shows whether the process gets the processor time that it
//! needs. While the delay is too long, connections beyond a limit are closed unread, so that their
//! callers try another daemon at once, also with requests that must not be repeated. The limit follows
//! the open connections by additive increase and multiplicative decrease.
//!
//! Invariant: without a delay there is no limit, and at least [`MIN_CONNECTIONS`] are served at any time,
//! so that a process that says it is ready never closes all new connections.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;

/// Interval between two measurements of the delay.
const TICK: Duration = Duration::from_millis(25);
/// Longest delay that one measurement counts as, so that a single stop of the process weighs little.
const MAX_SAMPLE: Duration = Duration::from_millis(200);
/// Weight of the latest measurement in the mean delay.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Mean delay above which the process is overloaded. A process that is halted for the rest of each
/// tenth of a second when it has used up its share is delayed by more.
const MAX_DELAY_MS: f64 = 30.0;
/// Interval between two changes of the limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Factor of the limit while the process is overloaded.
const DECREASE: f64 = 0.9;
/// Increase of the limit while it is not: a number of connections, and a share of the limit.
const INCREASE: (f64, f64) = (1.0, 0.02);
/// Multiple of the open connections from which on the limit is lifted.
const LIFTED_FACTOR: f64 = 2.0;
/// Smallest limit.
const MIN_CONNECTIONS: f64 = 16.0;

#[derive(Debug, Default)]
struct LimiterState {
    open: u32,
    limit: Option<f64>,
    delay_ms: f64,
    adjusted: Option<Instant>,
    /// Connections that were closed unread since there is a limit.
    closed_unread: u64,
}

impl LimiterState {
    fn record_delay(&mut self, delay: Duration, now: Instant) {
        let sample = delay.min(MAX_SAMPLE).as_secs_f64() * 1000.0;
        self.delay_ms += (sample - self.delay_ms) * SAMPLE_WEIGHT;
        let due = |at: Instant| now.saturating_duration_since(at) >= ADJUST_INTERVAL;
        if self.adjusted.is_none_or(due) {
            self.adjusted = Some(now);
            self.adjust();
        }
    }

    fn adjust(&mut self) {
        let limit = self.next_limit();
        let (open, delay_ms) = (self.open, self.delay_ms.round());
        match (self.limit, limit) {
            (None, Some(_)) => log::warn!("event=overloaded open={open} delay_ms={delay_ms}"),
            (Some(_), None) => {
                log::info!("event=overload_ended open={open} closed_unread={}", self.closed_unread);
                self.closed_unread = 0;
            }
            _ => {}
        }
        self.limit = limit;
    }

    fn next_limit(&self) -> Option<f64> {
        let open = f64::from(self.open);
        if self.delay_ms > MAX_DELAY_MS {
            let limit = self.limit.unwrap_or(open).min(open);
            return Some((limit * DECREASE).max(MIN_CONNECTIONS));
        }
        let (number, share) = INCREASE;
        let raised = self.limit.map(|limit| limit + number + limit * share);
        raised.filter(|limit| *limit < (open * LIFTED_FACTOR).max(MIN_CONNECTIONS))
    }
}

/// Counts the open connections of callers, and limits them while the process is overloaded.
#[derive(Debug, Default)]
pub struct ConnectionLimiter {
    state: Mutex<LimiterState>,
}

/// A connection that is counted as open until it is dropped.
#[derive(Debug)]
pub struct OpenConnection(Arc<ConnectionLimiter>);

impl ConnectionLimiter {
    /// Creates a limiter without a limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a new connection as open; `None` if it is to be closed unread.
    pub fn open(self: &Arc<Self>) -> Option<OpenConnection> {
        let mut state = self.state();
        if state.limit.is_some_and(|limit| f64::from(state.open) >= limit) {
            state.closed_unread += 1;
            return None;
        }
        state.open += 1;
        Some(OpenConnection(Arc::clone(self)))
    }

    /// Counts a new connection as open that takes the place of one that is being closed.
    pub fn open_in_place(self: &Arc<Self>) -> OpenConnection {
        self.state().open += 1;
        OpenConnection(Arc::clone(self))
    }

    /// Records by how much a timer was late.
    pub fn record_delay(&self, delay: Duration, now: Instant) {
        self.state().record_delay(delay, now);
    }

    /// Measures the delay of timers until the process ends.
    pub async fn run(&self) {
        loop {
            let due = Instant::now() + TICK;
            tokio::time::sleep_until(due).await;
            let now = Instant::now();
            self.record_delay(now.saturating_duration_since(due), now);
        }
    }

    fn state(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}
