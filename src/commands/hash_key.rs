//! `hollowbarrow hash-key`

use std::io::Read;

use anyhow::Context;
use clap::{ArgMatches, Command};
use hollowbarrow_schema::keys::hash_key;

use super::{CommandError, CommandResult};

pub(crate) fn command() -> Command {
    Command::new("hash-key")
        .about("Reads a key from standard input and prints the hash to put into the settings")
        .after_help("Example:\n  printf %s \"$KEY\" | hollowbarrow hash-key")
}

pub(crate) fn run(_: &ArgMatches) -> CommandResult {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).context("cannot read standard input")?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(CommandError::BadInput("the key is empty".to_owned()));
    }
    println!("{}", hash_key(key));
    Ok(())
}
