//! Writes log lines within a budget, from a thread of its own.

use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use flume::{Receiver, Sender};
use log::{Level, Record};

use crate::budget::{LinePriority, LogBudget};

/// Lines that may wait to be written.
const WAITING_LINES: usize = 1024;
/// Time for which lines are gathered, so that few of them cost few writes.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// Longest time to write what waits when the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(500);
/// Shortest time between two lines that say how many were dropped.
const DROPPED_INTERVAL: Duration = Duration::from_secs(1);
/// Marks the only ordinary lines: those of requests that went well.
const ORDINARY_EVENTS: [&str; 2] = ["event=request_end ", "event=worker_probed "];

/// Mark lines of requests that may have run, and of which no answer came.
const UNSETTLED_MARKS: [&str; 2] = [" status=502 ", " status=504 "];

/// Why logging could not be started.
pub type StartLoggingError = FlexiLoggerError;

/// Starts logging to standard error, one line of key=value pairs an event.
///
/// # Errors
///
/// Fails where the specification of levels cannot be read or a logger runs already.
pub fn start_logging(levels: &str) -> Result<LoggerHandle, StartLoggingError> {
    Logger::try_with_str(levels)?.log_to_writer(Box::new(LineWriter::start())).start()
}

enum LineMessage {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

struct WriterState {
    budget: LogBudget,
    dropped: u64,
    said: Instant,
}

/// Hands lines to the thread that writes them.
struct LineWriter {
    lines: Sender<LineMessage>,
    state: Mutex<WriterState>,
}

impl LineWriter {
    fn start() -> Self {
        let (lines, waiting) = flume::bounded(WAITING_LINES);
        // The thread ends with the process; what it writes last is flushed before.
        std::thread::spawn(move || write_lines(&waiting));
        let now = Instant::now();
        let state = WriterState { budget: LogBudget::new(now), dropped: 0, said: now };
        Self { lines, state: Mutex::new(state) }
    }

    /// A line that says how many were dropped, if it is time for one.
    fn dropped_line(state: &mut WriterState, time: &str, now: Instant) -> Option<Vec<u8>> {
        state.dropped += state.budget.take_dropped();
        if state.dropped == 0 || now.duration_since(state.said) < DROPPED_INTERVAL {
            return None;
        }
        state.said = now;
        let dropped = std::mem::take(&mut state.dropped);
        Some(format!("time={time} level=warn event=log_dropped lines={dropped}\n").into_bytes())
    }
}

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
        let level = record.level().as_str().to_lowercase();
        let line = format!("time={time} level={level} {}\n", record.args());
        let rank = rank_of(record.level(), &line);
        let now = Instant::now();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let allowed = state.budget.take(rank, line.len(), now);
        let dropped = Self::dropped_line(&mut state, &time, now);
        for line in dropped.into_iter().chain(allowed.then(|| line.into_bytes())) {
            if self.lines.try_send(LineMessage::Line(line)).is_err() {
                state.dropped += 1;
            }
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (done, written) = flume::bounded(1);
        if self.lines.send_timeout(LineMessage::Flush(done), FLUSH_TIME).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIME);
        }
        Ok(())
    }
}

fn rank_of(level: Level, line: &str) -> LinePriority {
    if level > Level::Info || ORDINARY_EVENTS.iter().any(|event| line.contains(event)) {
        return LinePriority::Ordinary;
    }
    let unsettled = UNSETTLED_MARKS.iter().any(|mark| line.contains(mark));
    if unsettled { LinePriority::Unsettled } else { LinePriority::Important }
}

fn write_lines(waiting: &Receiver<LineMessage>) {
    let mut error = std::io::stderr();
    while let Ok(first) = waiting.recv() {
        if matches!(first, LineMessage::Line(_)) {
            std::thread::sleep(GATHER_TIME);
        }
        let mut bytes = Vec::new();
        let mut flushed = Vec::new();
        for message in std::iter::once(first).chain(waiting.drain()) {
            match message {
                LineMessage::Line(line) => bytes.extend(line),
                LineMessage::Flush(done) => flushed.push(done),
            }
        }
        // Nobody is left to be told of a standard error that cannot be written.
        let _ = error.write_all(&bytes);
        for done in flushed {
            let _ = done.send(());
        }
    }
}
