//! `hollowbarrow voters`

use clap::{Arg, ArgMatches, Command};
use hollowbarrow_schema::{DaemonId, VoterChange};

use super::CommandResult;
use super::client::OperatorClient;
use super::table::print_json;

pub(crate) fn command() -> Command {
    Command::new("voters")
        .about("Replaces daemons that vote on the logs, for example after the loss of a disk")
        .after_help(
            "Examples:\n  hollowbarrow voters --remove entry-2 --add entry-5\n  \
             hollowbarrow voters --remove entry-2 --add entry-2   (its disk was replaced)\n\n\
             Waits up to 10 s until both logs have admitted the daemon. After a failure, send the \
             same command again.",
        )
        .arg(Arg::new("remove").long("remove").help("Daemon that stops voting"))
        .arg(Arg::new("add").long("add").help("Daemon with a data folder that starts voting"))
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    let daemon =
        |name: &str| arguments.get_one::<String>(name).map(|id| DaemonId::from(id.as_str()));
    let change = VoterChange { remove: daemon("remove"), add: daemon("add") };
    print_json(&client.post("/voters", &change)?);
    Ok(())
}
