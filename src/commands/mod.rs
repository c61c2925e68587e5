//! The command line, with one module for each subcommand.

mod apply;
mod check;
mod check_member;
mod client;
mod completions;
mod delete;
mod demo;
mod drain;
mod exit;
mod explain;
mod groups;
mod hash_key;
mod label;
mod member;
mod nodes;
mod release;
mod serve;
mod status;
mod table;
mod voters;
mod why;

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};

pub(crate) use exit::{CommandError, ExitKind};

/// Result of a subcommand.
pub(crate) type CommandResult = Result<(), CommandError>;

/// Builds the complete command line.
pub(crate) fn command_line() -> Command {
    Command::new("hollowbarrow")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves language models whose replicas span several nodes")
        .after_help(exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::command())
        .subcommand(member::gateway_command())
        .subcommand(member::controller_command())
        .subcommand(check::command())
        .subcommand(check_member::command())
        .subcommand(why::command())
        .subcommand(demo::command())
        .subcommand(client::with_client_args(nodes::command()))
        .subcommand(client::with_client_args(label::command()))
        .subcommand(client::with_client_args(groups::command()))
        .subcommand(client::with_client_args(apply::command()))
        .subcommand(client::with_client_args(delete::command()))
        .subcommand(client::with_client_args(drain::command()))
        .subcommand(client::with_client_args(status::command()))
        .subcommand(client::with_client_args(explain::command()))
        .subcommand(client::with_client_args(voters::command()))
        .subcommand(client::with_client_args(release::command()))
        .subcommand(hash_key::command())
        .subcommand(completions::command())
}

/// Parses the arguments, runs the subcommand, prints its error and returns the exit code.
pub(crate) fn run() -> ExitCode {
    let matches = match command_line().try_get_matches() {
        Ok(matches) => matches,
        Err(error) => {
            let _ = error.print();
            let bad = error.use_stderr();
            return if bad { ExitKind::BadInput.to_code() } else { ExitCode::SUCCESS };
        }
    };
    let Some((name, arguments)) = matches.subcommand() else { return ExitCode::FAILURE };
    match dispatch(name, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hollowbarrow {name}: {error}");
            error.kind().to_code()
        }
    }
}

fn dispatch(name: &str, arguments: &ArgMatches) -> CommandResult {
    match name {
        "serve" => serve::run(arguments),
        "gateway" => member::run_gateway(arguments),
        "controller" => member::run_controller(arguments),
        "check-member" => check_member::run(arguments),
        "why" => why::run(arguments),
        "check" => check::run(arguments),
        "demo" => demo::run(arguments),
        "nodes" => nodes::run(arguments),
        "label" => label::run(arguments),
        "groups" => groups::run(arguments),
        "apply" => apply::run(arguments),
        "delete" => delete::run(arguments),
        "drain" => drain::run(arguments),
        "status" => status::run(arguments),
        "explain" => explain::run(arguments),
        "voters" => voters::run(arguments),
        "release" => release::run(arguments),
        "hash-key" => hash_key::run(arguments),
        _ => completions::run(arguments),
    }
}

/// Returns a required positional argument.
pub(crate) fn positional(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}

/// Returns the text of an argument; empty where it is absent.
pub(crate) fn text<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}
