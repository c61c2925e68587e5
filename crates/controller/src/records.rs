//! Which records of workers are taken in, and why others are not.
//!
//! Another writer may use a worker's name. A record that no worker would write is refused whole and
//! leaves what is held untouched.

use hollowbarrow_fleet::{Deployment, WorkerTable};
use hollowbarrow_schema::{WorkerId, WorkerReport};
use thiserror::Error;

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordProblem {
    /// The record is not in the form that all have.
    #[error("cannot be read")]
    Unreadable,
    /// It is absent.
    #[error("is missing")]
    Missing,
    /// It has another type.
    #[error("has another type")]
    WrongType,
    /// It has the right type and a value that it never has.
    #[error("is out of its range")]
    OutOfRange,
    /// It is none of the words that stand there.
    #[error("is no known word")]
    UnknownValue,
    /// The worker of this name tells of its start, and this record does not.
    #[error("is missing, though this worker has told it")]
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

/// Why a record is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{} {problem}", if field.is_empty() { "the record" } else { field })]
pub struct RecordFault {
    /// Field, with its place in lists and objects; empty for the whole record.
    pub field: String,
    /// What is wrong with it.
    pub problem: RecordProblem,
}

impl RecordFault {
    fn new(field: &str, problem: RecordProblem) -> Self {
        Self { field: field.to_owned(), problem }
    }
}

/// Checks that a call can be of the worker whose name it carries.
///
/// # Errors
///
/// Fails where that worker tells of its start and the call does not.
pub fn check_start(worker: &WorkerId, table: &WorkerTable) -> Result<(), RecordFault> {
    let newest = table.newest_instance(worker.name());
    let told = newest.is_some_and(|entry| entry.report.id.incarnation().is_some());
    if told && worker.incarnation().is_none() {
        return Err(RecordFault::new("born", RecordProblem::MissingStartTime));
    }
    Ok(())
}

/// Checks a report against what is held of its worker and the configuration in force.
///
/// # Errors
///
/// Says which field cannot be that worker's.
pub fn check_report(
    report: &WorkerReport,
    table: &WorkerTable,
    deployment: Option<&Deployment>,
) -> Result<(), RecordFault> {
    check_start(&report.id, table)?;
    let named = deployment.is_none_or(|deployment| {
        deployment.services.iter().any(|service| service.name == report.service)
    });
    // A worker whose service has been taken out of the configuration still says when it leaves.
    let held = table.newest_instance(report.id.name());
    let known = held.is_some_and(|entry| entry.report.service == report.service);
    if !(named || known) {
        return Err(RecordFault::new("service", RecordProblem::UnknownService));
    }
    Ok(())
}
