//! `hollowbarrow groups`

use clap::{ArgMatches, Command};

use super::CommandResult;
use super::client::OperatorClient;
use super::table::print_rows;

const COLUMNS: &[(&str, &str)] = &[
    ("group", "/spec/name"),
    ("model", "/spec/model"),
    ("version", "/spec/version"),
    ("size", "/spec/size"),
    ("wanted", "/wanted"),
    ("serving", "/serving"),
    ("urgency", "/spec/urgency"),
    ("revision", "/revision"),
];

pub(crate) fn command() -> Command {
    Command::new("groups")
        .about("Lists the groups and the number of their replicas that serve")
        .after_help("Example:\n  hollowbarrow groups")
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    print_rows(&client.get("/groups")?, COLUMNS, client.wants_json());
    Ok(())
}
