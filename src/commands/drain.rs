//! `hollowbarrow drain`

use std::collections::BTreeMap;

use clap::{Arg, ArgAction, ArgMatches, Command};
use hollowbarrow_schema::{ConfigCommand, DRAIN_LABEL, LabelChange, Labels, NodeId};

use super::client::OperatorClient;
use super::{CommandResult, positional, text};

pub(crate) fn command() -> Command {
    Command::new("drain")
        .about("Drains a node: its replica completes the requests in flight and releases its nodes")
        .after_help("Examples:\n  hollowbarrow drain a-d0-n1\n  hollowbarrow drain a-d0-n1 --undo")
        .arg(positional("node", "Name of the node"))
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Allow the node to be used again"),
        )
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    let node = NodeId::from(text(arguments, "node"));
    let undo = arguments.get_flag("undo");
    let label = (DRAIN_LABEL.to_owned(), "yes".to_owned());
    let change = LabelChange {
        node: node.clone(),
        set: Labels(if undo { BTreeMap::new() } else { BTreeMap::from([label]) }),
        remove: if undo { vec![DRAIN_LABEL.to_owned()] } else { Vec::new() },
    };
    let revision = client.submit(ConfigCommand::ChangeLabels(change), None)?;
    let what = if undo { "may be used again" } else { "drains" };
    println!("{} {what} from revision {}", *node, *revision);
    Ok(())
}
