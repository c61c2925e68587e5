//! Client of a daemon's operator interface.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use hollowbarrow_schema::{
    ChangeId, ChangeOutcome, ConfigChange, ConfigCommand, OperatorFault, Revision,
};
use serde_json::Value;

use super::{CommandError, text};

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Adds the arguments that all operators' commands share.
pub(crate) fn with_client_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("server")
                .long("server")
                .env("HOLLOWBARROW_SERVER")
                .default_value("http://127.0.0.1:8081")
                .help("URL of a daemon's operator interface"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .env("HOLLOWBARROW_KEY")
                .hide_env_values(true)
                .default_value("")
                .help("The operator's key"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .short('o')
                .value_parser(["table", "json"])
                .default_value("table")
                .help("Output format"),
        )
}

/// Client of a daemon's operator interface.
pub(crate) struct OperatorClient {
    server: String,
    key: String,
    json: bool,
}

impl OperatorClient {
    pub(crate) fn new(arguments: &ArgMatches) -> Self {
        Self {
            server: text(arguments, "server").trim_end_matches('/').to_owned(),
            key: text(arguments, "key").to_owned(),
            json: text(arguments, "output") == "json",
        }
    }

    /// Returns whether the output is JSON instead of a table.
    pub(crate) fn wants_json(&self) -> bool {
        self.json
    }

    /// Reads the document at a path.
    pub(crate) fn get(&self, path: &str) -> Result<Value, CommandError> {
        let request = attohttpc::get(format!("{}{path}", self.server));
        read_response(request.bearer_auth(&self.key).timeout(CALL_TIMEOUT).send())
    }

    /// Sends a document to a path.
    pub(crate) fn post(
        &self,
        path: &str,
        document: &impl serde::Serialize,
    ) -> Result<Value, CommandError> {
        let body = serde_json::to_string(document).map_err(anyhow::Error::from)?;
        let request = attohttpc::post(format!("{}{path}", self.server));
        read_response(request.bearer_auth(&self.key).timeout(CALL_TIMEOUT).text(body).send())
    }

    /// Submits a change and returns the revision under which it was accepted.
    ///
    /// The change is sent once more if the outcome is unknown. Both attempts carry the same id, so
    /// that the change is not applied twice when the first answer was lost.
    pub(crate) fn submit(
        &self,
        command: ConfigCommand,
        base: Option<Revision>,
    ) -> Result<Revision, CommandError> {
        let id = ChangeId(format!("{:032x}", random_id()));
        let change = ConfigChange { id, author: String::new(), base, command };
        let mut outcome = self.post("/changes", &change);
        if matches!(outcome, Err(CommandError::Unknown(_))) {
            outcome = self.post("/changes", &change);
        }
        let value = outcome?;
        let outcome: ChangeOutcome = serde_json::from_value(value).map_err(anyhow::Error::from)?;
        match outcome {
            ChangeOutcome::Accepted(revision) => Ok(revision),
            ChangeOutcome::Conflict(conflict) => Err(CommandError::Refused(format!(
                "{} is at revision {}, not {}; {} changed it to {}",
                conflict.object,
                *conflict.found,
                *conflict.wanted,
                conflict.author,
                serde_json::to_string(&conflict.theirs).unwrap_or_default()
            ))),
            ChangeOutcome::Invalid(faults) => {
                Err(CommandError::Faults { origin: "the change".to_owned(), faults })
            }
        }
    }
}

/// Draws an id that no other change has, using hashers that the standard library seeds from the
/// system's source of randomness.
fn random_id() -> u128 {
    use std::hash::{BuildHasher, Hasher};
    let draw = || std::collections::hash_map::RandomState::new().build_hasher().finish();
    u128::from(draw()) << 64 | u128::from(draw())
}

fn read_response(result: attohttpc::Result<attohttpc::Response>) -> Result<Value, CommandError> {
    let response = result.map_err(|error| match error.kind() {
        attohttpc::ErrorKind::Io(source)
            if source.kind() != std::io::ErrorKind::ConnectionRefused =>
        {
            CommandError::Unknown(error.to_string())
        }
        _ => CommandError::NotReached(error.to_string()),
    })?;
    let status = response.status().as_u16();
    let text = response.text().map_err(|error| CommandError::Unknown(error.to_string()))?;
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    // Conflicts and invalid changes are outcomes of the log; the caller reads them from the body.
    let is_outcome = value.get("conflict").is_some() || value.get("invalid").is_some();
    if (200..300).contains(&status) || is_outcome {
        return Ok(value);
    }
    let fault: OperatorFault = serde_json::from_value(value.clone()).unwrap_or(OperatorFault {
        code: status.to_string(),
        message: value.to_string(),
        faults: Vec::new(),
    });
    Err(match status {
        400 | 422 if !fault.faults.is_empty() => {
            CommandError::Faults { origin: "the request".to_owned(), faults: fault.faults }
        }
        400 | 422 => CommandError::BadInput(fault.message),
        503 => CommandError::NotReached(fault.message),
        504 => CommandError::Unknown(fault.message),
        _ => CommandError::Refused(fault.message),
    })
}
