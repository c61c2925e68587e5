//! `hollowbarrow release`

use clap::{ArgMatches, Command};
use hollowbarrow_schema::{parse_content, release_path};
use serde_json::Value;

use super::client::OperatorClient;
use super::{CommandError, CommandResult, positional, text};

pub(crate) fn command() -> Command {
    Command::new("release")
        .about("Releases a request that is quarantined because it crashed upstreams")
        .after_help(
            "Examples:\n  hollowbarrow release 00c0ffee00c0ffee --server http://10.0.0.4:8080\n\n\
             The content is logged with event=request_held and with each failed request.\n\
             The server is a daemon's operator interface, or the control address of a controller.",
        )
        .arg(positional("content", "Content hash of the request, 16 hexadecimal digits"))
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    let content = text(arguments, "content");
    let request = parse_content(content)
        .map_err(|error| CommandError::BadInput(format!("{content:?}: {error}")))?;
    client.post(&release_path(request), &Value::Null)?;
    println!("{content} may be sent again");
    Ok(())
}
