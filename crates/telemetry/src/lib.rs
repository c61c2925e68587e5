//! Logs and metrics of every process.
//!
//! A log line is one event as key=value pairs. Lines are bounded in number and
//! bytes, and are written by a thread of their own, so that a reader that does
//! not read holds nobody up. Metrics are kept by the OpenTelemetry library and
//! shown as text.
//!
//! Invariant: what is dropped is counted and said.

mod budget;
mod logging;
mod metrics;

pub use budget::{LinePriority, LogBudget};
pub use logging::{StartLoggingError, start_logging};
pub use metrics::{MetricsPage, TIME_BOUNDS};
