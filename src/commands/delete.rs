//! `hollowbarrow delete`

use clap::{Arg, ArgAction, ArgMatches, Command};
use hollowbarrow_schema::{ConfigCommand, GroupName};

use super::client::OperatorClient;
use super::{CommandResult, positional, text};

pub(crate) fn command() -> Command {
    Command::new("delete")
        .about("Deletes a group, whose replicas then drain, or an external endpoint")
        .after_help(
            "Examples:\n  hollowbarrow delete drafts\n  hollowbarrow delete --endpoint other-half",
        )
        .arg(positional("name", "Name of the group or endpoint"))
        .arg(
            Arg::new("endpoint")
                .long("endpoint")
                .action(ArgAction::SetTrue)
                .help("Delete an endpoint, not a group"),
        )
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    let name = text(arguments, "name");
    let command = if arguments.get_flag("endpoint") {
        ConfigCommand::DeleteEndpoint(name.to_owned())
    } else {
        ConfigCommand::DeleteGroup(GroupName::from(name))
    };
    let revision = client.submit(command, None)?;
    println!("{name} deleted at revision {}", *revision);
    Ok(())
}
