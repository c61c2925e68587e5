//! How many lines may be logged.

use std::time::{Duration, Instant};

/// Lines a second that are written under lasting load.
pub const LINES_PER_SECOND: f64 = 200.0;
/// Bytes a second that are written under lasting load.
pub const BYTES_PER_SECOND: f64 = 64.0 * 1024.0;
/// Length of a burst that is written whole.
const BURST: Duration = Duration::from_secs(5);
/// Part of the burst that is kept for lines that matter more.
const KEPT_SHARE: f64 = 0.5;
/// Part of the rate and the burst that requests with an outcome that is not known have besides.
const UNSETTLED_SHARE: f64 = 0.1;

/// How much a line matters when not all can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinePriority {
    /// What went as it should.
    Ordinary,
    /// A failed request, or a change of what the process believes.
    Important,
    /// A request of which nobody can tell whether it ran.
    Unsettled,
}

/// Lines and bytes that may be written now.
#[derive(Clone, Copy, Debug)]
struct LineBucket {
    lines: f64,
    bytes: f64,
    /// Part of the lasting load that refills it.
    share: f64,
}

impl LineBucket {
    /// Creates a bucket that is full.
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

    /// Takes a line, if that leaves a part of the full bucket.
    fn take(&mut self, bytes: usize, kept: f64) -> bool {
        let full = Self::new(self.share);
        let bytes = bytes as f64;
        let fits = self.lines - 1.0 >= full.lines * kept && self.bytes - bytes >= full.bytes * kept;
        if fits {
            self.lines -= 1.0;
            self.bytes -= bytes;
        }
        fits
    }
}

/// Allows lines up to a rate in lines and in bytes.
///
/// Ordinary lines leave a part of the burst to those that matter more; lines of requests whose
/// outcome is not known have a small budget of their own besides.
#[derive(Clone, Debug)]
pub struct LogBudget {
    all: LineBucket,
    unsettled: LineBucket,
    filled: Instant,
    dropped: u64,
}

impl LogBudget {
    /// Creates a budget that is full.
    pub fn new(now: Instant) -> Self {
        Self {
            all: LineBucket::new(1.0),
            unsettled: LineBucket::new(UNSETTLED_SHARE),
            filled: now,
            dropped: 0,
        }
    }

    /// Whether a line may be written; one that may not is counted.
    pub fn take(&mut self, rank: LinePriority, bytes: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled);
        self.filled = now;
        self.all.fill(elapsed);
        self.unsettled.fill(elapsed);
        let kept = if rank == LinePriority::Ordinary { KEPT_SHARE } else { 0.0 };
        let fits = self.all.take(bytes, kept)
            || (rank == LinePriority::Unsettled && self.unsettled.take(bytes, 0.0));
        self.dropped += u64::from(!fits);
        fits
    }

    /// Lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
