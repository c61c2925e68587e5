//! Validates records that are sent under a worker's name.
//!
//! Another writer may use a worker's name. A record that no worker would send is rejected as a whole
//! and leaves the stored state unchanged.

use hollowbarrow_fleet::{Deployment, WorkerTable};
use hollowbarrow_schema::{WorkerId, WorkerReport};
use thiserror::Error;

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordProblem {
    /// The record cannot be parsed.
    #[error("cannot be read")]
    Unreadable,
    /// The field is absent.
    #[error("is missing")]
    Missing,
    /// The field has another type.
    #[error("has another type")]
    WrongType,
    /// The value has the right type and lies outside the allowed range.
    #[error("is out of its range")]
    OutOfRange,
    /// The value is none of the allowed names.
    #[error("is not a known value")]
    UnknownValue,
    /// The worker of this name reports its start time, and this record has none.
    #[error("is missing, though this worker has reported it before")]
    MissingStartTime,
    /// The configuration in force does not name the service.
    #[error("is not named by the configuration in force")]
    UnknownService,
}

impl RecordProblem {
    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::Missing => "missing",
            Self::WrongType => "wrong_type",
            Self::OutOfRange => "out_of_range",
            Self::UnknownValue => "unnamed",
            Self::MissingStartTime => "untold_birth",
            Self::UnknownService => "unknown_service",
        }
    }
}

/// Why a record is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{} {problem}", if field.is_empty() { "the record" } else { field })]
pub struct RecordFault {
    /// Path of the field within lists and objects; empty for the record as a whole.
    pub field: String,
    /// What is wrong with it.
    pub problem: RecordProblem,
}

impl RecordFault {
    fn new(field: &str, problem: RecordProblem) -> Self {
        Self { field: field.to_owned(), problem }
    }
}

/// Checks that a call can come from the worker whose name it carries.
///
/// # Errors
///
/// Fails if that worker reports its start time and the call has none.
pub fn check_start(worker: &WorkerId, table: &WorkerTable) -> Result<(), RecordFault> {
    let newest = table.newest_instance(worker.name());
    let reports_start = newest.is_some_and(|entry| entry.report.id.incarnation().is_some());
    if reports_start && worker.incarnation().is_none() {
        return Err(RecordFault::new("born", RecordProblem::MissingStartTime));
    }
    Ok(())
}

/// Checks a report against the worker's table entry and the configuration in force.
///
/// # Errors
///
/// Names the field that cannot come from that worker.
pub fn check_report(
    report: &WorkerReport,
    table: &WorkerTable,
    deployment: Option<&Deployment>,
) -> Result<(), RecordFault> {
    check_start(&report.id, table)?;
    let named = deployment.is_none_or(|deployment| {
        deployment.services.iter().any(|service| service.name == report.service)
    });
    // A worker whose service was removed from the configuration still reports that it leaves.
    let entry = table.newest_instance(report.id.name());
    let known = entry.is_some_and(|entry| entry.report.service == report.service);
    if !(named || known) {
        return Err(RecordFault::new("service", RecordProblem::UnknownService));
    }
    Ok(())
}
