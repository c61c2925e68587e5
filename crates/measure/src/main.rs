//! Measures hollowbarrow against baseline implementations and capacity budgets.
//!
//! Each subcommand prints one line of `key=value` pairs per case. Every printed
//! value comes from the same run.

mod capacity;
mod capacity_clusters;
mod daemon;
mod doors;
mod groups;
mod lives;
mod load;
mod requests;
mod sampler;
mod slopes;
mod stats;

use clap::Command;

fn main() -> anyhow::Result<()> {
    let matches = Command::new("hollowbarrow-measure")
        .about("Measures hollowbarrow")
        .subcommand_required(true)
        .subcommand(groups::command())
        .subcommand(requests::command())
        .subcommand(doors::command())
        .subcommand(capacity::command())
        .subcommand(lives::command())
        .subcommand(daemon::command())
        .get_matches();
    match matches.subcommand() {
        Some(("groups", arguments)) => groups::run(arguments),
        Some(("requests", arguments)) => requests::run(arguments),
        Some(("doors", arguments)) => doors::run(arguments),
        Some(("capacity", arguments)) => capacity::run(arguments),
        Some(("lives", arguments)) => lives::run(arguments),
        Some((_, arguments)) => daemon::run(arguments),
        None => Ok(()),
    }
}
