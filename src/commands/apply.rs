//! `hollowbarrow apply`

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hollowbarrow_schema::settings::read_document;
use hollowbarrow_schema::{ApplyDocument, ConfigCommand, Revision};

use super::client::OperatorClient;
use super::{CommandError, CommandResult, positional, text};

pub(crate) fn command() -> Command {
    Command::new("apply")
        .about("Creates or changes groups and external endpoints from a file")
        .after_help(
            "Examples:\n  hollowbarrow apply groups.jsonc --dry-run\n  hollowbarrow apply groups.jsonc\n  \
             hollowbarrow apply one-group.jsonc --base 41",
        )
        .arg(positional("file", "JSON with comments: {\"groups\": [...], \"endpoints\": [...]}"))
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Only show what would change in the daemon's availability zone"),
        )
        .arg(
            Arg::new("base")
                .long("base")
                .value_parser(value_parser!(u64))
                .help("Revision that the change is made against; 0 for a new object"),
        )
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    let file = text(arguments, "file");
    let document = read_file(file)?;
    let base = arguments.get_one::<u64>("base").map(|base| Revision(*base));
    let groups = document.groups.into_iter().map(ConfigCommand::PutGroup);
    let endpoints = document.endpoints.into_iter().map(ConfigCommand::PutEndpoint);
    for command in groups.chain(endpoints) {
        let object = command.object();
        if arguments.get_flag("dry-run") {
            println!("{object}:");
            let lines = client.post("/dry-run", &command)?;
            for line in lines.as_array().into_iter().flatten() {
                println!("  {}", line.as_str().unwrap_or("-"));
            }
        } else {
            let revision = client.submit(command, base)?;
            println!("{object} applied at revision {}", *revision);
        }
    }
    Ok(())
}

fn read_file(path: &str) -> Result<ApplyDocument, CommandError> {
    let contents = std::fs::read_to_string(path)
        .map_err(|error| CommandError::BadInput(format!("cannot read {path}: {error}")))?;
    Ok(read_document(path, &contents, "ApplyDocument")?)
}
