//! `hollowbarrow label`

use std::collections::BTreeMap;

use clap::{Arg, ArgAction, ArgMatches, Command};
use hollowbarrow_schema::{ConfigCommand, LabelChange, Labels, NodeId};

use super::client::OperatorClient;
use super::{CommandError, CommandResult, text};

pub(crate) fn command() -> Command {
    Command::new("label")
        .about("Sets and removes labels of nodes")
        .after_help(
            "Examples:\n  hollowbarrow label a-d0-n1 given=hollowbarrow tier=fast\n  \
             hollowbarrow label a-d0-n1 tier-\n  hollowbarrow label --zone a --all given=hollowbarrow",
        )
        .arg(
            Arg::new("words")
                .required(true)
                .num_args(1..)
                .help("A node (unless --all), then KEY=VALUE to set and KEY- to remove"),
        )
        .arg(Arg::new("all").long("all").action(ArgAction::SetTrue).help("Label all model workers"))
        .arg(
            Arg::new("zone")
                .long("zone")
                .requires("all")
                .help("Label only nodes of an availability zone"),
        )
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let client = OperatorClient::new(arguments);
    let mut label_arguments: Vec<&str> =
        arguments.get_many::<String>("words").into_iter().flatten().map(String::as_str).collect();
    let nodes = if arguments.get_flag("all") {
        all_nodes(&client, text(arguments, "zone"))?
    } else {
        vec![NodeId::from(label_arguments.remove(0))]
    };
    let (set, remove) = parse_labels(&label_arguments)?;
    for node in nodes {
        let change =
            LabelChange { node: node.clone(), set: Labels(set.clone()), remove: remove.clone() };
        let revision = client.submit(ConfigCommand::ChangeLabels(change), None)?;
        println!("{} labelled at revision {}", *node, *revision);
    }
    Ok(())
}

/// Returns all model workers that the daemon lists. Nodes of plain services have no accelerators
/// and are left out.
fn all_nodes(client: &OperatorClient, zone: &str) -> Result<Vec<NodeId>, CommandError> {
    let nodes = client.get("/nodes")?;
    let rows = nodes.as_array().into_iter().flatten();
    Ok(rows
        .filter(|row| row["accelerators"].as_u64().is_some_and(|count| count > 0))
        .filter(|row| zone.is_empty() || row["zone"] == zone)
        .filter_map(|row| Some(NodeId::from(row["node"].as_str()?)))
        .collect())
}

/// Parses KEY=VALUE and KEY- arguments into the labels to set and the labels to remove.
fn parse_labels(
    label_arguments: &[&str],
) -> Result<(BTreeMap<String, String>, Vec<String>), CommandError> {
    let mut set = BTreeMap::new();
    let mut remove = Vec::new();
    for argument in label_arguments {
        match (argument.split_once('='), argument.strip_suffix('-')) {
            (Some((key, value)), _) if !key.is_empty() => {
                set.insert(key.to_owned(), value.to_owned());
            }
            (None, Some(key)) if !key.is_empty() => remove.push(key.to_owned()),
            _ => {
                let message = format!("{argument:?} is neither KEY=VALUE nor KEY-");
                return Err(CommandError::BadInput(message));
            }
        }
    }
    if set.is_empty() && remove.is_empty() {
        return Err(CommandError::BadInput("no label is given".to_owned()));
    }
    Ok((set, remove))
}
