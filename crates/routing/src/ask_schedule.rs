//! Decides which daemons are asked to accept a proposal, and when again.
//!
//! The leader is asked if it is known. If it is not, refuses or is late, all voters are asked at once:
//! those that do not lead refuse at once, and to ask them in turn would take the time of each one
//! that does not answer.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::DaemonId;
use tokio::time::Instant;

/// Timeout for a daemon's answer before it is asked again and others are asked too, for the first try.
/// It doubles with each try that the daemon does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest factor by which that timeout grows.
const MAX_CALL_GROWTH: u32 = 4;
/// Pause before a daemon that refused a proposal is asked again, after its first refusal. It doubles
/// with each further one.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Largest factor by which that pause grows. All proposals of an election are repeated meanwhile, and
/// must not take the processor time that the election needs.
const MAX_RETRY_GROWTH: u32 = 4;

/// A daemon that is asked to accept a proposal.
#[derive(Clone, Copy, Debug)]
struct AskedDaemon {
    /// When it is asked next.
    due: Instant,
    /// Whether its answer is awaited.
    waiting: bool,
    /// Consecutive tries that it did not answer in time.
    late: u32,
    /// Tries that it refused.
    refused: u32,
}

impl AskedDaemon {
    fn new(now: Instant) -> Self {
        Self { due: now, waiting: false, late: 0, refused: 0 }
    }

    fn record_asked(&mut self, now: Instant) {
        self.late = if self.waiting { self.late + 1 } else { 0 };
        self.due = now + CALL_TIMEOUT * 2u32.pow(self.late.min(MAX_CALL_GROWTH.ilog2()));
        self.waiting = true;
    }

    fn record_refusal(&mut self, now: Instant) {
        self.due = now + RETRY_INTERVAL * 2u32.pow(self.refused.min(MAX_RETRY_GROWTH.ilog2()));
        self.waiting = false;
        self.late = 0;
        self.refused += 1;
    }
}

/// When each daemon is asked to accept one proposal.
#[derive(Clone, Debug, Default)]
pub struct AskSchedule {
    asked: BTreeMap<DaemonId, AskedDaemon>,
    /// Whether a daemon refused the proposal or did not answer in time.
    has_failed: bool,
}

impl AskSchedule {
    /// Creates a schedule of which nobody was asked.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the daemons that are to be asked now, and takes them as asked.
    pub fn take_due(
        &mut self,
        leader: Option<DaemonId>,
        voters: Vec<DaemonId>,
        now: Instant,
    ) -> Vec<DaemonId> {
        let is_late = |asked: &AskedDaemon| asked.waiting && asked.due <= now;
        self.has_failed |= self.asked.values().any(is_late);
        let others = if leader.is_none() || self.has_failed { voters } else { Vec::new() };
        for target in leader.into_iter().chain(others) {
            self.asked.entry(target).or_insert_with(|| AskedDaemon::new(now));
        }
        let due = self.asked.iter_mut().filter(|(_, asked)| asked.due <= now);
        due.map(|(target, asked)| {
            asked.record_asked(now);
            target.clone()
        })
        .collect()
    }

    /// Returns when a daemon is to be asked next, `None` if nobody was asked.
    pub fn next_due(&self) -> Option<Instant> {
        self.asked.values().map(|asked| asked.due).min()
    }

    /// Records that a daemon refused the proposal.
    pub fn record_refusal(&mut self, target: &DaemonId, now: Instant) {
        self.has_failed = true;
        if let Some(asked) = self.asked.get_mut(target) {
            asked.record_refusal(now);
        }
    }
}
