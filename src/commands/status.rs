//! `hollowbarrow status`

use clap::{ArgMatches, Command};
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
        .map(|(field, value)| serde_json::json!({"field": field, "value": value}))
        .collect();
    print_rows(&Value::Array(rows), &[("field", "/field"), ("value", "/value")], false);
    if status["confirmed_ms"].as_u64().is_none_or(|age| age > 15_000) {
        println!("This daemon cannot confirm that its configuration is the latest.");
    }
    Ok(())
}
