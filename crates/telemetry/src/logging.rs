//! Writes log lines within a budget, on a separate thread.

use std::io::Write;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use flume::{Receiver, Sender};
use log::{Level, Record};

use crate::budget::LinePriority;
use crate::filter::{LineFilter, line_priority};

/// Maximum number of lines queued for the writer thread.
const QUEUED_LINES: usize = 1024;
/// Time for which lines are batched, to reduce the number of writes.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// Timeout of each step of a flush: queuing it, and writing the queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two lines that report dropped lines.
const DROPPED_INTERVAL: Duration = Duration::from_secs(1);

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
    filter: LineFilter,
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
        let state = WriterState { filter: LineFilter::new(now), reported: now };
        Self { lines, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, WriterState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn try_send(&self, line: String) -> bool {
        self.lines.try_send(LineMessage::Line(line.into_bytes())).is_ok()
    }

    /// Reports the lines that were dropped since the last report, if there are any.
    fn report_dropped(&self, state: &mut WriterState, time: &str, now: Instant) {
        let dropped = state.filter.take_dropped();
        if dropped.count() == 0 {
            return;
        }
        let line = format!(
            "time={time} level=warn event=log_dropped lines={} kinds={:?}\n",
            dropped.count(),
            dropped.to_text()
        );
        if self.try_send(line) {
            state.reported = now;
        } else {
            state.filter.return_dropped(&dropped);
        }
    }
}

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let time = format_time(now);
        let level = record.level().as_str().to_lowercase();
        let line = format!("time={time} level={level} {}\n", record.args());
        let priority = priority_of(record.level(), &line);
        let now = Instant::now();
        let mut state = self.lock();
        let allowed = state.filter.take(priority, &line, now);
        if now.duration_since(state.reported) >= DROPPED_INTERVAL {
            self.report_dropped(&mut state, &time, now);
        }
        if allowed && !self.try_send(line.clone()) {
            state.filter.record_unwritten(&line);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let time = format_time(&mut DeferredNow::new());
        self.report_dropped(&mut self.lock(), &time, Instant::now());
        let (done, written) = flume::bounded(1);
        if self.lines.send_timeout(LineMessage::Flush(done), FLUSH_TIMEOUT).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn format_time(now: &mut DeferredNow) -> String {
    now.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string()
}

fn priority_of(level: Level, line: &str) -> LinePriority {
    if level > Level::Info { LinePriority::Ordinary } else { line_priority(line) }
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
