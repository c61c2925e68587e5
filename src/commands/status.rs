//! `hollowbarrow status`

use clap::{ArgMatches, Command};
use hollowbarrow_schema::LogStatus;
use serde::Deserialize;
use serde_json::Value;

use super::CommandResult;
use super::client::OperatorClient;
use super::table::{print_json, print_rows};

pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Shows a daemon's state: its log, its zone's authority, its stranded accelerators")
        .after_help("Example:\n  hollowbarrow status --server http://10.0.0.1:8081")
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    let status = client.get("/status")?;
    if client.wants_json() {
        print_json(&status);
        return Ok(());
    }
    let rows: Vec<Value> = status
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(field, _)| *field != "logs")
        .map(|(field, value)| serde_json::json!({"field": field, "value": value}))
        .collect();
    print_rows(&Value::Array(rows), &[("field", "/field"), ("value", "/value")], false);
    if status["confirmed_ms"].as_u64().is_none_or(|age| age > 15_000) {
        println!("This daemon cannot confirm that its configuration is the latest.");
    }
    let logs = Vec::<LogStatus>::deserialize(&status["logs"]).unwrap_or_default();
    logs.iter().for_each(|log| println!("{}", describe_log(log)));
    Ok(())
}

/// Describes which voters of a log count, so far as the daemon that was asked knows it.
fn describe_log(log: &LogStatus) -> String {
    let voters = log.voters.len();
    match (&log.quorum, &log.leader) {
        (Some(quorum), _) => {
            let uncounted: Vec<&str> = quorum.uncounted.iter().map(|id| id.as_str()).collect();
            let uncounted = match uncounted.as_slice() {
                [] => String::new(),
                ids => format!(" ({} must not)", ids.join(", ")),
            };
            format!(
                "Log of {}: {} of {voters} voters count{uncounted}; {} more may be lost.",
                log.log, quorum.counted, quorum.losses_borne
            )
        }
        (None, Some(leader)) => {
            format!("Log of {}: ask its leader, {leader}, which voters count.", log.log)
        }
        (None, None) => format!("Log of {}: no leader is known here; ask a voter.", log.log),
    }
}
