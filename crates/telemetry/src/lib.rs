//! Logging and metrics of all processes.
//!
//! A log line is one event as key=value pairs. Lines are limited in number and
//! bytes, and are written by a separate thread, so that a slow reader of
//! standard error does not block the process. Metrics are collected by the
//! OpenTelemetry library and rendered as text.
//!
//! Invariant: dropped log lines are counted by event and cause, and their
//! numbers are logged. No event and cause is dropped altogether.

mod budget;
mod fields;
mod filter;
mod logging;
mod metrics;

pub use budget::{LinePriority, LogBudget};
pub use filter::{DroppedLines, KIND_INTERVAL, LineFilter, MAX_KINDS, line_priority};
pub use logging::{StartLoggingError, start_logging};
pub use metrics::{MetricsPage, TIME_BOUNDS};
