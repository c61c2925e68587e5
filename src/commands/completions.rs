//! `hollowbarrow completions`

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use super::{CommandResult, command_line};

pub(crate) fn command() -> Command {
    Command::new("completions")
        .about("Prints a completion script for a shell")
        .after_help(
            "Example:\n  hollowbarrow completions bash > /etc/bash_completion.d/hollowbarrow",
        )
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell to print the script for"),
        )
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    if let Some(shell) = arguments.get_one::<Shell>("shell") {
        generate(*shell, &mut command_line(), "hollowbarrow", &mut std::io::stdout());
    }
    Ok(())
}
