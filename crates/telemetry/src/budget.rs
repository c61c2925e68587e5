//! Rate limit of log lines.

use std::time::{Duration, Instant};

/// Lines per second that are written under sustained load.
pub const LINES_PER_SECOND: f64 = 200.0;
/// Bytes per second that are written under sustained load.
pub const BYTES_PER_SECOND: f64 = 64.0 * 1024.0;
/// Capacity of the buckets, as the time in which they are refilled.
const BURST: Duration = Duration::from_secs(5);
/// Fraction of the burst that ordinary lines leave to lines of a higher priority.
const RESERVED_SHARE: f64 = 0.5;
/// Fraction of the rate and the burst that is added for requests with an unknown outcome.
const UNSETTLED_SHARE: f64 = 0.1;

/// Priority of a line when not all lines can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinePriority {
    /// A successful operation.
    Ordinary,
    /// A failed request or a change of the process's state.
    Important,
    /// A request of which it is unknown whether it ran.
    Unsettled,
}

/// Token bucket of lines and bytes.
#[derive(Clone, Copy, Debug)]
struct LineBucket {
    lines: f64,
    bytes: f64,
    /// Fraction of the sustained rates at which the bucket is refilled.
    share: f64,
}

impl LineBucket {
    /// Creates a full bucket.
    fn new(share: f64) -> Self {
        let burst = BURST.as_secs_f64() * share;
        Self { lines: LINES_PER_SECOND * burst, bytes: BYTES_PER_SECOND * burst, share }
    }

    fn fill(&mut self, elapsed: Duration) {
        let full = Self::new(self.share);
        let seconds = elapsed.as_secs_f64() * self.share;
        self.lines = (self.lines + seconds * LINES_PER_SECOND).min(full.lines);
        self.bytes = (self.bytes + seconds * BYTES_PER_SECOND).min(full.bytes);
    }

    /// Takes a line if the given fraction of the full bucket remains.
    fn take(&mut self, bytes: usize, reserved: f64) -> bool {
        let full = Self::new(self.share);
        let bytes = bytes as f64;
        let fits = self.lines - 1.0 >= full.lines * reserved
            && self.bytes - bytes >= full.bytes * reserved;
        if fits {
            self.lines -= 1.0;
            self.bytes -= bytes;
        }
        fits
    }
}

/// Limits lines to a rate in lines and in bytes.
///
/// Ordinary lines leave a part of the burst to lines of a higher priority; lines of requests whose
/// outcome is unknown have a small additional budget of their own.
#[derive(Clone, Debug)]
pub struct LogBudget {
    all: LineBucket,
    unsettled: LineBucket,
    filled: Instant,
    dropped: u64,
}

impl LogBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self {
            all: LineBucket::new(1.0),
            unsettled: LineBucket::new(UNSETTLED_SHARE),
            filled: now,
            dropped: 0,
        }
    }

    /// Returns whether a line may be written; counts it as dropped if it may not.
    pub fn take(&mut self, priority: LinePriority, bytes: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled);
        self.filled = now;
        self.all.fill(elapsed);
        self.unsettled.fill(elapsed);
        let reserved = if priority == LinePriority::Ordinary { RESERVED_SHARE } else { 0.0 };
        let fits = self.all.take(bytes, reserved)
            || (priority == LinePriority::Unsettled && self.unsettled.take(bytes, 0.0));
        self.dropped += u64::from(!fits);
        fits
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
