//! `hollowbarrow check-member`

use clap::{ArgMatches, Command};

use super::member::load_member_settings;
use super::{CommandResult, positional, text};

pub(crate) fn command() -> Command {
    Command::new("check-member")
        .about("Checks the settings of a gateway or a controller and lists all faults")
        .after_help("Example:\n  hollowbarrow check-member /etc/hollowbarrow/local.conf")
        .arg(positional("file", "Settings, JSON with comments"))
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let file = text(arguments, "file");
    let settings = load_member_settings(file)?;
    let roles = match (&settings.callers, &settings.control) {
        (Some(_), Some(_)) => "a gateway or a controller",
        (Some(_), None) => "a gateway",
        (None, Some(_)) => "a controller",
        (None, None) => "no role: neither callers nor control is set",
    };
    println!("{file} is fine: {} in zone {}, for {roles}", settings.name, *settings.zone);
    Ok(())
}
