//! `hollowbarrow why`

use std::collections::BTreeSet;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::{CommandError, CommandResult, positional, text};

/// Causes that lie with the whole fleet and not with a worker that was asked.
const FLEET_CAUSES: [&str; 2] = ["cause=workers_full", "cause=no_worker"];
/// Events that say how the fleet stood; the last of each before the request tells.
const FLEET_EVENTS: [&str; 3] = ["event=quorum ", "event=replicas ", "event=free_workers "];
/// Time around a request in which what happened to its workers belongs to its story, in seconds.
const AROUND_SECONDS: f64 = 5.0;

pub(crate) fn command() -> Command {
    Command::new("why")
        .about("Tells a request's story from the logs of many processes, in order of time")
        .after_help("Example:\n  hollowbarrow why 9c41d07be2a35f68 gateway-*.log controller-*.log")
        .arg(positional("request", "Identity of the request"))
        .arg(
            Arg::new("logs")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .help("Log files of gateways and controllers"),
        )
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let request = text(arguments, "request");
    let files: Vec<&String> = arguments.get_many("logs").into_iter().flatten().collect();
    let mut lines = Vec::new();
    for file in files {
        let contents = std::fs::read_to_string(file)
            .map_err(|error| CommandError::BadInput(format!("cannot read {file}: {error}")))?;
        lines.extend(contents.lines().filter_map(|line| LogLine::read(file, line)));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let story = tell_story(request, &lines);
    if story.is_empty() {
        return Err(CommandError::Refused(format!("no log names the request {request}")));
    }
    for line in story {
        println!("{}  {}", line.file, line.text);
    }
    Ok(())
}

/// One line of a log.
struct LogLine {
    file: String,
    /// As written, so that it sorts; lines of one deployment have one form of time.
    time: String,
    text: String,
}

impl LogLine {
    fn read(file: &str, line: &str) -> Option<Self> {
        let time = line.split(' ').find_map(|word| word.strip_prefix("time="))?;
        Some(Self { file: file.to_owned(), time: time.to_owned(), text: line.to_owned() })
    }

    /// Seconds of the day, for distances within a story.
    fn seconds(&self) -> Option<f64> {
        let clock = self.time.split('T').nth(1)?.trim_end_matches('Z');
        let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
        let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
        Some((hours * 60.0 + minutes) * 60.0 + seconds)
    }

    fn names_request(&self, request: &str) -> bool {
        self.text.contains(&format!("request={request:?}"))
    }

    /// Workers that the line names: values that appear in no other role would be noise.
    fn workers(&self) -> impl Iterator<Item = &str> {
        let separators = |c: char| !(c.is_ascii_alphanumeric() || c == '-' || c == '_');
        let last = self.text.split_once("last=").map_or("", |(_, last)| last);
        let tried = last.split(separators);
        let moved = ["from=", "to="].into_iter().filter_map(|key| {
            let (_, rest) = self.text.split_once(key)?;
            rest.split(' ').next()
        });
        tried.chain(moved).filter(|word| word.len() > 2 && word.contains(['-', '_']))
    }
}

/// The lines that name the request, and what happened to its workers around them.
fn tell_story<'a>(request: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.names_request(request)).collect();
    let workers: BTreeSet<&str> = own.iter().flat_map(|line| line.workers()).collect();
    let times: Vec<f64> = own.iter().filter_map(|line| line.seconds()).collect();
    let near = |line: &LogLine| {
        let seconds = line.seconds();
        seconds.is_some_and(|at| times.iter().any(|time| (time - at).abs() <= AROUND_SECONDS))
    };
    let belongs = |line: &&LogLine| {
        let control = line.text.contains("worker=") || line.text.contains("members=");
        let about = workers.iter().any(|worker| line.text.contains(worker));
        line.names_request(request) || (control && about && near(line))
    };
    if own.is_empty() {
        return Vec::new();
    }
    let fleet = tell_fleet(&own, lines);
    let is_fleet = |line: &&LogLine| fleet.iter().any(|known| std::ptr::eq(*known, *line));
    lines.iter().filter(|line| belongs(line) || is_fleet(line)).collect()
}

/// How the fleet stood when it refused a request: the last line of each kind before.
fn tell_fleet<'a>(own: &[&LogLine], lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let refused =
        own.iter().find(|line| FLEET_CAUSES.iter().any(|cause| line.text.contains(cause)));
    let Some(refused) = refused else { return Vec::new() };
    let before = |event: &&str| {
        let mut earlier = lines.iter().rev().filter(|line| line.time <= refused.time);
        earlier.find(|line| line.text.contains(*event))
    };
    FLEET_EVENTS.iter().filter_map(before).collect()
}
