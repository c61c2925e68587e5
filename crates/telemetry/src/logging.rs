//! Writes log lines within a budget, on a separate thread.

use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use flume::{Receiver, Sender};
use log::{Level, Record};

use crate::budget::{LinePriority, LogBudget};

/// Maximum number of lines queued for the writer thread.
const QUEUED_LINES: usize = 1024;
/// Time for which lines are batched, to reduce the number of writes.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// Timeout of each step of a flush: queuing it, and writing the queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two lines that report dropped lines.
const DROPPED_INTERVAL: Duration = Duration::from_secs(1);
/// Events of ordinary lines, which are those of successful operations; all other events at level
/// info or above have a higher priority.
const ORDINARY_EVENTS: [&str; 2] = ["event=request_end ", "event=worker_probed "];

/// Fields of lines of requests that may have run but were not answered.
const UNSETTLED_FIELDS: [&str; 2] = [" status=502 ", " status=504 "];

/// Why logging could not be started.
pub type StartLoggingError = FlexiLoggerError;

/// Starts logging to standard error, one line of key=value pairs per event.
///
/// # Errors
///
/// Fails if the specification of levels cannot be parsed or a logger is already running.
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
    reported: Instant,
}

/// Sends lines to the thread that writes them.
struct LineWriter {
    lines: Sender<LineMessage>,
    state: Mutex<WriterState>,
}

impl LineWriter {
    fn start() -> Self {
        let (lines, waiting) = flume::bounded(QUEUED_LINES);
        // The thread runs until the process exits; the last lines are flushed before that.
        std::thread::spawn(move || write_lines(&waiting));
        let now = Instant::now();
        let state = WriterState { budget: LogBudget::new(now), dropped: 0, reported: now };
        Self { lines, state: Mutex::new(state) }
    }

    /// Returns a line that reports the number of dropped lines, if lines were dropped and the last
    /// report is old enough.
    fn dropped_line(state: &mut WriterState, time: &str, now: Instant) -> Option<Vec<u8>> {
        state.dropped += state.budget.take_dropped();
        if state.dropped == 0 || now.duration_since(state.reported) < DROPPED_INTERVAL {
            return None;
        }
        state.reported = now;
        let dropped = std::mem::take(&mut state.dropped);
        Some(format!("time={time} level=warn event=log_dropped lines={dropped}\n").into_bytes())
    }
}

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
        let level = record.level().as_str().to_lowercase();
        let line = format!("time={time} level={level} {}\n", record.args());
        let priority = priority_of(record.level(), &line);
        let now = Instant::now();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let allowed = state.budget.take(priority, line.len(), now);
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
        if self.lines.send_timeout(LineMessage::Flush(done), FLUSH_TIMEOUT).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn priority_of(level: Level, line: &str) -> LinePriority {
    if level > Level::Info || ORDINARY_EVENTS.iter().any(|event| line.contains(event)) {
        return LinePriority::Ordinary;
    }
    let unsettled = UNSETTLED_FIELDS.iter().any(|field| line.contains(field));
    if unsettled { LinePriority::Unsettled } else { LinePriority::Important }
}

fn write_lines(waiting: &Receiver<LineMessage>) {
    let mut error = std::io::stderr();
    while let Ok(first) = waiting.recv() {
        if matches!(first, LineMessage::Line(_)) {
            std::thread::sleep(BATCH_TIME);
        }
        let mut bytes = Vec::new();
        let mut flushed = Vec::new();
        for message in std::iter::once(first).chain(waiting.drain()) {
            match message {
                LineMessage::Line(line) => bytes.extend(line),
                LineMessage::Flush(done) => flushed.push(done),
            }
        }
        // A failed write to standard error cannot be reported anywhere.
        let _ = error.write_all(&bytes);
        for done in flushed {
            let _ = done.send(());
        }
    }
}
