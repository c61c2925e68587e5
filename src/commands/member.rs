//! `hollowbarrow gateway` and `hollowbarrow controller`

use std::sync::Arc;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use hollowbarrow_controller::Controller;
use hollowbarrow_gateway::Gateway;
use hollowbarrow_member::{follow_seeds, read_member_settings, seed_ids};
use hollowbarrow_platform::{PlatformControl, PlatformRequests};
use hollowbarrow_schema::MemberSettings;
use hollowbarrow_telemetry::start_logging;
use tokio::runtime::Runtime;

use super::serve::wait_for_signal;
use super::{CommandError, CommandResult, text};

/// Environment variable with the path of the settings, used where the argument is not given.
const SETTINGS_VARIABLE: &str = "HOLLOWBARROW_CONFIG";

pub(crate) fn gateway_command() -> Command {
    let about = "Runs a gateway, which forwards callers' requests to workers";
    with_arguments(Command::new("gateway").about(about))
}

pub(crate) fn controller_command() -> Command {
    let about = "Runs a controller, which manages the configuration, the workers and the replicas";
    with_arguments(Command::new("controller").about(about))
}

fn with_arguments(command: Command) -> Command {
    command
        .arg(
            Arg::new("settings")
                .long("settings")
                .env(SETTINGS_VARIABLE)
                .required(true)
                .help("Settings file, JSON with comments"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .env("HOLLOWBARROW_LOG")
                .default_value("info")
                .help("Log levels, such as info or warn,hollowbarrow_log=debug"),
        )
}

pub(crate) fn run_gateway(arguments: &ArgMatches) -> CommandResult {
    let path = text(arguments, "settings");
    let settings = load_member_settings(path)?;
    let seeds = seed_ids(&settings);
    let logger = start_logging(text(arguments, "log")).context("cannot start logging")?;
    start_runtime()?.block_on(async {
        let protocol = Arc::new(PlatformRequests::new());
        let gateway = Arc::new(Gateway::start(settings, protocol).context("cannot start")?);
        let changed = Arc::clone(&gateway);
        tokio::spawn(follow_seeds(path.into(), seeds, move |seeds| changed.replace_seeds(seeds)));
        wait_for_signal().await.context("cannot wait for signals")?;
        gateway.stop().await;
        anyhow::Ok(())
    })?;
    logger.flush();
    Ok(())
}

pub(crate) fn run_controller(arguments: &ArgMatches) -> CommandResult {
    let path = text(arguments, "settings");
    let settings = load_member_settings(path)?;
    let seeds = seed_ids(&settings);
    let logger = start_logging(text(arguments, "log")).context("cannot start logging")?;
    start_runtime()?.block_on(async {
        let protocol = Arc::new(PlatformControl::new());
        let controller = Arc::new(Controller::start(settings, protocol).context("cannot start")?);
        let changed = Arc::clone(&controller);
        tokio::spawn(follow_seeds(path.into(), seeds, move |seeds| changed.replace_seeds(seeds)));
        wait_for_signal().await.context("cannot wait for signals")?;
        controller.stop().await;
        anyhow::Ok(())
    })?;
    logger.flush();
    Ok(())
}

/// Builds a runtime with one thread: the machines provide a fraction of one core, where switching
/// between threads costs time.
fn start_runtime() -> anyhow::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")
}

/// Reads and checks a settings file of a gateway or a controller.
pub(crate) fn load_member_settings(path: &str) -> Result<MemberSettings, CommandError> {
    let contents = std::fs::read_to_string(path)
        .map_err(|error| CommandError::BadInput(format!("cannot read {path}: {error}")))?;
    Ok(read_member_settings(path, &contents)?)
}
