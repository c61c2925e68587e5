//! `hollowbarrow why`

use std::collections::BTreeSet;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::{CommandError, CommandResult, positional, text};

/// Causes that concern the fleet as a whole and not one worker that was tried.
const FLEET_CAUSES: [&str; 2] = ["cause=workers_full", "cause=no_worker"];
/// Events that record the state of the fleet; the last of each before a refusal shows its reason.
const FLEET_EVENTS: [&str; 3] = ["event=quorum ", "event=replicas ", "event=free_workers "];
/// Time before and after a request's log lines in which lines about its workers are relevant, in
/// seconds.
const RELEVANT_SECONDS: f64 = 5.0;

pub(crate) fn command() -> Command {
    Command::new("why")
        .about("Shows the lines of many processes' logs that explain a request, in order of time")
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
    let selected = select_lines(request, &lines);
    if selected.is_empty() {
        return Err(CommandError::Refused(format!("no log names the request {request}")));
    }
    for line in selected {
        println!("{}  {}", line.file, line.text);
    }
    Ok(())
}

/// One line of a log.
struct LogLine {
    file: String,
    /// Time as written. Lines of one deployment have the same time format, so they sort as text.
    time: String,
    text: String,
}

impl LogLine {
    fn read(file: &str, line: &str) -> Option<Self> {
        let time = line.split(' ').find_map(|word| word.strip_prefix("time="))?;
        Some(Self { file: file.to_owned(), time: time.to_owned(), text: line.to_owned() })
    }

    /// Returns the second of the day, to compute the time between two lines.
    fn seconds(&self) -> Option<f64> {
        let clock = self.time.split('T').nth(1)?.trim_end_matches('Z');
        let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
        let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
        Some((hours * 60.0 + minutes) * 60.0 + seconds)
    }

    fn names_request(&self, request: &str) -> bool {
        self.text.contains(&format!("request={request:?}"))
    }

    /// Returns the workers that the line names after `last=`, `from=` and `to=`. Values of other
    /// keys are ignored, because they would be unrelated.
    fn workers(&self) -> impl Iterator<Item = &str> {
        let separators = |c: char| !(c.is_ascii_alphanumeric() || c == '-' || c == '_');
        let last = self.text.split_once("last=").map_or("", |(_, last)| last);
        let tried = last.split(separators);
        let resumed = ["from=", "to="].into_iter().filter_map(|key| {
            let (_, rest) = self.text.split_once(key)?;
            rest.split(' ').next()
        });
        tried.chain(resumed).filter(|word| word.len() > 2 && word.contains(['-', '_']))
    }
}

/// Selects the lines that name the request, the lines about its workers close to these in time, and
/// the fleet's state if that was the cause of a refusal.
fn select_lines<'a>(request: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.names_request(request)).collect();
    let workers: BTreeSet<&str> = request_lines.iter().flat_map(|line| line.workers()).collect();
    let times: Vec<f64> = request_lines.iter().filter_map(|line| line.seconds()).collect();
    let near = |line: &LogLine| {
        let seconds = line.seconds();
        seconds.is_some_and(|at| times.iter().any(|time| (time - at).abs() <= RELEVANT_SECONDS))
    };
    let is_relevant = |line: &&LogLine| {
        let has_worker_key = line.text.contains("worker=") || line.text.contains("members=");
        let names_worker = workers.iter().any(|worker| line.text.contains(worker));
        line.names_request(request) || (has_worker_key && names_worker && near(line))
    };
    if request_lines.is_empty() {
        return Vec::new();
    }
    let fleet = select_fleet_lines(&request_lines, lines);
    let is_fleet = |line: &&LogLine| fleet.iter().any(|known| std::ptr::eq(*known, *line));
    lines.iter().filter(|line| is_relevant(line) || is_fleet(line)).collect()
}

/// Selects the last line of each fleet event before a request was refused for the fleet's state.
fn select_fleet_lines<'a>(request_lines: &[&LogLine], lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let refused = request_lines
        .iter()
        .find(|line| FLEET_CAUSES.iter().any(|cause| line.text.contains(cause)));
    let Some(refused) = refused else { return Vec::new() };
    let before = |event: &&str| {
        let mut earlier = lines.iter().rev().filter(|line| line.time <= refused.time);
        earlier.find(|line| line.text.contains(*event))
    };
    FLEET_EVENTS.iter().filter_map(before).collect()
}
