//! Runs one daemon of a measurement cluster, as the product's binary does.

use anyhow::{Context, Result};
use clap::{Arg, ArgAction, ArgMatches, Command};
use hollowbarrow_daemon::{Daemon, DaemonListeners};
use hollowbarrow_schema::settings::read_settings;
use hollowbarrow_telemetry::start_logging;
use tokio::signal::unix::{SignalKind, signal};

pub(crate) fn command() -> Command {
    Command::new("daemon")
        .about("Runs one daemon of a measurement cluster; started by the other subcommands")
        .hide(true)
        .arg(Arg::new("rebuild-all").long("rebuild-all").action(ArgAction::SetTrue))
        .arg(Arg::new("settings").required(true))
}

pub(crate) fn run(arguments: &ArgMatches) -> Result<()> {
    let path = arguments.get_one::<String>("settings").context("the settings path is missing")?;
    let settings = read_settings(path, &std::fs::read_to_string(path)?)?;
    let _logger = start_logging("info")?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let listeners = DaemonListeners::bind(&settings)?;
        let rebuild_all = arguments.get_flag("rebuild-all");
        let daemon = Daemon::start_with(settings, listeners, rebuild_all)?;
        signal(SignalKind::terminate())?.recv().await;
        daemon.stop().await;
        Ok(())
    })
}
