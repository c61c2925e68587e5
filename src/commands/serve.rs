//! `hollowbarrow serve`

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use hollowbarrow_daemon::{Daemon, DaemonListeners};
use hollowbarrow_telemetry::start_logging;
use tokio::signal::unix::{SignalKind, signal};

use super::check::load_settings;
use super::{CommandResult, text};

pub(crate) fn command() -> Command {
    Command::new("serve")
        .about("Runs a daemon until it receives SIGTERM or SIGINT")
        .after_help("Example:\n  hollowbarrow serve --settings /etc/hollowbarrow/entry-a1.jsonc")
        .arg(
            Arg::new("settings")
                .long("settings")
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

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let settings = load_settings(text(arguments, "settings"))?;
    let logger = start_logging(text(arguments, "log")).context("cannot start logging")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(async {
        let listeners = DaemonListeners::bind(&settings).context("cannot start")?;
        let daemon = Daemon::start(settings, listeners).context("cannot start")?;
        wait_for_signal().await.context("cannot wait for signals")?;
        daemon.stop().await;
        anyhow::Ok(())
    })?;
    logger.flush();
    Ok(())
}

/// Waits for SIGTERM or SIGINT. SIGHUP is only logged: what can change at run time comes from other
/// daemons, except for the seeds of gateways and controllers, which are read again without a signal.
pub(crate) async fn wait_for_signal() -> std::io::Result<()> {
    let mut reload = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => log::info!("event=reload_asked"),
        }
    }
}
