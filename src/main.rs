//! The `hollowbarrow` binary: the daemon, the gateway, the controller, the operators' commands and
//! the demo.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run()
}
