//! Exit codes, and the errors that map to them.

use std::process::ExitCode;

use hollowbarrow_schema::FieldFault;
use hollowbarrow_schema::settings::ReadSettingsError;
use thiserror::Error;

/// Section of the help that lists the exit codes.
pub(crate) const HELP: &str = "\
Exit codes:
  0  done
  1  failed for another reason
  2  bad input: arguments, settings or a document
  3  refused: a conflict, a wrong key or something that does not exist
  4  not reached: no daemon, or no leader of the log
  5  outcome unknown: the change may have been applied; the same command can be sent again";

/// Kind of failure of a command, which determines its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitKind {
    Failed,
    BadInput,
    Refused,
    NotReached,
    Unknown,
}

impl ExitKind {
    pub(crate) fn to_code(self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed => 1,
            Self::BadInput => 2,
            Self::Refused => 3,
            Self::NotReached => 4,
            Self::Unknown => 5,
        })
    }
}

/// Error of a command.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    #[error("{origin} has faults:\n{}", to_lines(faults))]
    Faults { origin: String, faults: Vec<FieldFault> },
    #[error("{0}")]
    BadInput(String),
    #[error("refused: {0}")]
    Refused(String),
    #[error("not reached: {0}")]
    NotReached(String),
    #[error("outcome unknown: {0}")]
    Unknown(String),
    #[error("{0:#}")]
    Failed(#[from] anyhow::Error),
}

fn to_lines(faults: &[FieldFault]) -> String {
    faults.iter().map(|fault| format!("  {fault}")).collect::<Vec<_>>().join("\n")
}

impl CommandError {
    pub(crate) fn kind(&self) -> ExitKind {
        match self {
            Self::Faults { .. } | Self::BadInput(_) => ExitKind::BadInput,
            Self::Refused(_) => ExitKind::Refused,
            Self::NotReached(_) => ExitKind::NotReached,
            Self::Unknown(_) => ExitKind::Unknown,
            Self::Failed(_) => ExitKind::Failed,
        }
    }
}

impl From<ReadSettingsError> for CommandError {
    fn from(error: ReadSettingsError) -> Self {
        Self::Faults { origin: error.origin, faults: error.faults }
    }
}
