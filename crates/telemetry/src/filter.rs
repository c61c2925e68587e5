//! Chooses the lines that are written, so that each cause of a failure stays visible.
//!
//! Load pattern: hundreds of refused callers a second use up the log budget. The few failures of
//! another cause among them are the lines that explain what went wrong.
//!
//! Invariant: of each kind of line one is written in each [`KIND_INTERVAL`], and the dropped lines
//! are counted by kind. Both hold for the first [`MAX_KINDS`] kinds; further ones count as one kind.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::budget::{LinePriority, LogBudget};
use crate::fields::fields;

/// Time in which one line of each kind is written even if the budget is used up.
pub const KIND_INTERVAL: Duration = Duration::from_secs(10);
/// Number of kinds that are told apart. It bounds the lines that are written beyond the budget.
pub const MAX_KINDS: usize = 64;
/// Size of the longest line that is written beyond the budget.
const MAX_EXTRA_BYTES: usize = 4 << 10;
/// Name of all kinds beyond [`MAX_KINDS`].
const OTHER_KINDS: &str = "other";
/// Event of requests that an entry daemon has answered; those with these outcomes are ordinary.
const END_EVENT: &str = "request_end";
const ORDINARY_OUTCOMES: [&str; 3] = ["ok", "replayed", "cancelled"];
/// Event of probes of workers.
const PROBE_EVENT: &str = "worker_probed";
/// Fields of lines of requests that may have run but were not answered.
const UNSETTLED_FIELDS: [(&str, &str); 3] =
    [("status", "502"), ("status", "504"), ("ran", "unknown")];

/// Returns the priority of a line at level info or above.
pub fn line_priority(line: &str) -> LinePriority {
    let event = field(line, "event").unwrap_or_default();
    let is_ordinary =
        || field(line, "outcome").is_some_and(|value| ORDINARY_OUTCOMES.contains(&value));
    if event == PROBE_EVENT || (event == END_EVENT && is_ordinary()) {
        return LinePriority::Ordinary;
    }
    let unsettled = fields(line).any(|found| UNSETTLED_FIELDS.contains(&found));
    if unsettled { LinePriority::Unsettled } else { LinePriority::Important }
}

fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    fields(line).find_map(|(name, value)| (name == key).then_some(value))
}

/// Returns the kind of a line: its event, and its cause or outcome if it has one.
fn line_kind(line: &str) -> String {
    let event = field(line, "event").unwrap_or_default();
    match field(line, "cause").or_else(|| field(line, "outcome")) {
        Some(cause) => format!("{event}/{cause}"),
        None => event.to_owned(),
    }
}

/// Dropped lines since the last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DroppedLines(BTreeMap<String, u64>);

impl DroppedLines {
    /// Returns the number of dropped lines of all kinds.
    pub fn count(&self) -> u64 {
        self.0.values().sum()
    }

    /// Returns the number of dropped lines of each kind, as text.
    pub fn to_text(&self) -> String {
        let kinds = self.0.iter().map(|(kind, count)| format!("{kind}:{count}"));
        kinds.collect::<Vec<_>>().join(",")
    }

    /// Adds the lines of an earlier report that could not be written.
    pub fn add(&mut self, other: &Self) {
        for (kind, count) in &other.0 {
            *self.0.entry(kind.clone()).or_default() += count;
        }
    }
}

/// Decides which lines are written.
#[derive(Clone, Debug)]
pub struct LineFilter {
    budget: LogBudget,
    /// When a line of each kind was last written.
    written: BTreeMap<String, Instant>,
    dropped: DroppedLines,
}

impl LineFilter {
    /// Creates a filter with a full budget.
    pub fn new(now: Instant) -> Self {
        Self {
            budget: LogBudget::new(now),
            written: BTreeMap::new(),
            dropped: DroppedLines::default(),
        }
    }

    /// Returns whether a line may be written; counts it as dropped if it may not.
    pub fn take(&mut self, priority: LinePriority, line: &str, now: Instant) -> bool {
        let kind = self.known_kind(line_kind(line), now);
        let fits = self.budget.take(priority, line.len(), now);
        let first = !self.written.contains_key(&kind) && line.len() <= MAX_EXTRA_BYTES;
        if fits || first {
            self.written.insert(kind, now);
            return true;
        }
        self.drop_kind(kind);
        false
    }

    /// Counts a line that was taken but could not be written.
    pub fn record_unwritten(&mut self, line: &str) {
        let kind = line_kind(line);
        self.written.remove(&kind);
        self.drop_kind(kind);
    }

    /// Returns the lines that were dropped since the last call.
    pub fn take_dropped(&mut self) -> DroppedLines {
        std::mem::take(&mut self.dropped)
    }

    /// Adds dropped lines whose report could not be written.
    pub fn return_dropped(&mut self, dropped: &DroppedLines) {
        self.dropped.add(dropped);
    }

    /// Returns the kind under which a line is counted.
    fn known_kind(&mut self, kind: String, now: Instant) -> String {
        self.written.retain(|_, at| now.saturating_duration_since(*at) < KIND_INTERVAL);
        if self.written.contains_key(&kind) || self.written.len() < MAX_KINDS {
            return kind;
        }
        OTHER_KINDS.to_owned()
    }

    fn drop_kind(&mut self, kind: String) {
        let full = self.dropped.0.len() >= MAX_KINDS && !self.dropped.0.contains_key(&kind);
        let kind = if full { OTHER_KINDS.to_owned() } else { kind };
        *self.dropped.0.entry(kind).or_default() += 1;
    }
}
