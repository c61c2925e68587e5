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

/// How much a line matters when not all can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineRank {
    /// What went as it should.
    Ordinary,
    /// A failed request, or a change of what the process believes.
    Important,
}

/// Allows lines up to a rate in lines and in bytes.
///
/// Ordinary lines leave a part of the burst to those that matter more.
#[derive(Clone, Debug)]
pub struct LogBudget {
    lines: f64,
    bytes: f64,
    filled: Instant,
    dropped: u64,
}

impl LogBudget {
    /// Creates a budget that is full.
    pub fn new(now: Instant) -> Self {
        let burst = BURST.as_secs_f64();
        Self {
            lines: LINES_PER_SECOND * burst,
            bytes: BYTES_PER_SECOND * burst,
            filled: now,
            dropped: 0,
        }
    }

    /// Whether a line may be written; one that may not is counted.
    pub fn take(&mut self, rank: LineRank, bytes: usize, now: Instant) -> bool {
        self.fill(now);
        let burst = BURST.as_secs_f64();
        let kept = if rank == LineRank::Important { 0.0 } else { KEPT_SHARE };
        let bytes = bytes as f64;
        let fits = self.lines - 1.0 >= LINES_PER_SECOND * burst * kept
            && self.bytes - bytes >= BYTES_PER_SECOND * burst * kept;
        if fits {
            self.lines -= 1.0;
            self.bytes -= bytes;
        } else {
            self.dropped += 1;
        }
        fits
    }

    /// Lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        let burst = BURST.as_secs_f64();
        self.filled = now;
        self.lines = (self.lines + elapsed * LINES_PER_SECOND).min(LINES_PER_SECOND * burst);
        self.bytes = (self.bytes + elapsed * BYTES_PER_SECOND).min(BYTES_PER_SECOND * burst);
    }
}
