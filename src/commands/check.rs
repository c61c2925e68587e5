//! `hollowbarrow check`

use clap::{ArgMatches, Command};
use hollowbarrow_schema::Settings;
use hollowbarrow_schema::settings::read_settings;

use super::{CommandError, CommandResult, positional, text};

pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks a settings file and lists all faults with their lines")
        .after_help("Example:\n  hollowbarrow check examples/taborttuz/entry-a1.jsonc")
        .arg(positional("file", "Settings, JSON with comments"))
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let file = text(arguments, "file");
    let settings = load_settings(file)?;
    println!(
        "{file} is fine: daemon {} in zone {}, {} peers, {} organisations",
        *settings.id,
        *settings.zone,
        settings.peers.len(),
        settings.organisations.len()
    );
    Ok(())
}

/// Reads and checks a settings file.
pub(crate) fn load_settings(path: &str) -> Result<Settings, CommandError> {
    let contents = std::fs::read_to_string(path)
        .map_err(|error| CommandError::BadInput(format!("cannot read {path}: {error}")))?;
    Ok(read_settings(path, &contents)?)
}
