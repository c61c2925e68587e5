//! `hollowbarrow nodes`

use clap::{ArgMatches, Command};

use super::CommandResult;
use super::client::OperatorClient;
use super::table::print_rows;

const COLUMNS: &[(&str, &str)] = &[
    ("node", "/node"),
    ("zone", "/zone"),
    ("domain", "/domain"),
    ("accelerators", "/accelerators"),
    ("platform", "/platform"),
    ("observed", "/observed"),
    ("group", "/group"),
    ("labels", "/labels"),
];

pub(crate) fn command() -> Command {
    Command::new("nodes")
        .about("Lists the nodes of the platform and their observed state")
        .after_help("Example:\n  hollowbarrow nodes --server http://10.0.0.1:8081 -o json")
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    print_rows(&client.get("/nodes")?, COLUMNS, client.wants_json());
    Ok(())
}
