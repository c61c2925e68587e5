//! `hollowbarrow explain`

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{ArgMatches, Command};

use serde_json::Value;

use super::client::OperatorClient;
use super::table::{print_json, print_rows};
use super::{CommandResult, positional, text};

pub(crate) fn command() -> Command {
    Command::new("explain")
        .about("Explains the state of a group in the daemon's availability zone")
        .after_help("Example:\n  hollowbarrow explain drafts")
        .arg(positional("group", "Name of the group"))
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    let explanation = client.get(&format!("/explain/{}", text(arguments, "group")))?;
    if client.wants_json() {
        print_json(&explanation);
        return Ok(());
    }
    println!("requested by {}", explanation["author"].as_str().unwrap_or("-"));
    println!(
        "zone {} is to run {} replicas",
        explanation["zone"].as_str().unwrap_or("-"),
        explanation["wanted_here"]
    );
    let mut listed = explanation["replicas"].clone();
    for replica in listed.as_array_mut().into_iter().flatten() {
        replica["since"] = Value::from(describe_age(replica["since_ms"].as_u64().unwrap_or(0)));
    }
    let replicas = [
        ("zone", "/zone"),
        ("slot", "/slot"),
        ("epoch", "/epoch"),
        ("formed", "/since"),
        ("state", "/state"),
        ("reason", "/reason"),
        ("members", "/members"),
    ];
    print_rows(&listed, &replicas, false);
    print_rows(
        &explanation["nodes"],
        &[("node", "/node"), ("taken", "/taken"), ("reason", "/reason")],
        false,
    );
    for hint in explanation["unblock"].as_array().into_iter().flatten() {
        println!("to unblock: {}", hint.as_str().unwrap_or("-"));
    }
    Ok(())
}

/// Returns how long ago a time was by this machine's clock, which may be behind the daemon's.
fn describe_age(since_ms: u64) -> String {
    let since = UNIX_EPOCH + Duration::from_millis(since_ms);
    match SystemTime::now().duration_since(since) {
        Ok(age) => format!("{} s ago", age.as_secs()),
        Err(_) => "just now".to_owned(),
    }
}
