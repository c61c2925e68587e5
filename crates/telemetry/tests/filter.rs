//! Choice of the log lines that are written.

use std::time::Instant;

use hollowbarrow_telemetry::{KIND_INTERVAL, LineFilter, LinePriority, MAX_KINDS, line_priority};
use rstest::rstest;

/// Lines of a flood that exceeds every budget.
const FLOOD: usize = 3000;

fn refusal(cause: &str) -> String {
    format!("level=warn event=request_failed request=\"a b\" status=503 cause={cause} sends=1\n")
}

fn unsettled(cause: &str) -> String {
    format!("level=warn event=request_failed request=\"a b\" status=502 cause={cause} sends=1\n")
}

/// Returns how many of the lines are written.
fn take_lines(filter: &mut LineFilter, lines: &[String], now: Instant) -> usize {
    lines.iter().filter(|line| filter.take(line_priority(line), line, now)).count()
}

/// Guards against a failure of which no line is written because others have used up the budget.
#[rstest]
#[case::of_another_cause(refusal("no_worker"))]
#[case::with_unknown_outcome(unsettled("outcome_unknown"))]
#[case::of_another_event("level=info event=worker_left_out worker=w1\n".to_owned())]
#[case::at_entry_daemon("level=info event=request_end outcome=upstream_failed ran=ran\n".to_owned())]
fn sole_failure_beside_flood(#[case] failure: String) {
    let now = Instant::now();
    let mut filter = LineFilter::new(now);
    let flood = [refusal("workers_full"), unsettled("timed_out")];
    for line in flood {
        assert!(take_lines(&mut filter, &vec![line; FLOOD], now) < FLOOD);
    }
    assert_eq!(take_lines(&mut filter, &vec![failure.clone(); FLOOD], now), 1);
    let later = now + KIND_INTERVAL / 2;
    take_lines(&mut filter, &vec![refusal("workers_full"); FLOOD], later);
    take_lines(&mut filter, &vec![unsettled("timed_out"); FLOOD], later);
    let again = take_lines(&mut filter, std::slice::from_ref(&failure), later);
    assert_eq!(again, 0, "only the first line of an interval exceeds the budget");
}

#[rstest]
fn dropped_lines_counted_by_kind() {
    let now = Instant::now();
    let mut filter = LineFilter::new(now);
    let full = take_lines(&mut filter, &vec![refusal("workers_full"); FLOOD], now);
    let other = take_lines(&mut filter, &vec![refusal("no_worker"); FLOOD], now);
    let dropped = filter.take_dropped();
    assert_eq!(dropped.count(), (2 * FLOOD - full - other) as u64);
    let (other, full) = (FLOOD - other, FLOOD - full);
    let text = format!("request_failed/no_worker:{other},request_failed/workers_full:{full}");
    assert_eq!(dropped.to_text(), text);
    assert_eq!(filter.take_dropped().count(), 0);
    filter.return_dropped(&dropped);
    assert_eq!(filter.take_dropped(), dropped, "a report that was not written is repeated");
}

/// A line that could not be written leaves the next one of its kind the place beyond the budget.
#[rstest]
fn unwritten_line_replaced() {
    let now = Instant::now();
    let mut filter = LineFilter::new(now);
    take_lines(&mut filter, &vec![refusal("workers_full"); FLOOD], now);
    let line = refusal("no_worker");
    assert!(filter.take(LinePriority::Important, &line, now));
    assert!(!filter.take(LinePriority::Important, &line, now));
    filter.record_unwritten(&line);
    assert!(filter.take(LinePriority::Important, &line, now));
}

/// Causes that callers could invent do not add lines without a bound.
#[rstest]
fn kinds_bounded() {
    let now = Instant::now();
    let mut filter = LineFilter::new(now);
    take_lines(&mut filter, &vec![refusal("workers_full"); FLOOD], now);
    let lines: Vec<String> = (0..FLOOD).map(|number| refusal(&format!("c{number}"))).collect();
    assert!(take_lines(&mut filter, &lines, now) <= MAX_KINDS);
    let text = filter.take_dropped().to_text();
    assert!(text.split(',').count() <= MAX_KINDS + 1, "{text}");
}

#[rstest]
#[case::good_end("event=request_end target=\"/a\" outcome=ok ran=ran", LinePriority::Ordinary)]
#[case::failed_end(
    "event=request_end target=\"/a\" outcome=no_upstream ran=not_run",
    LinePriority::Important
)]
#[case::unknown_end(
    "event=request_end target=\"/a\" outcome=upstream_failed ran=unknown",
    LinePriority::Unsettled
)]
#[case::probe("event=worker_probed worker=w1 status=502", LinePriority::Ordinary)]
#[case::timed_out("event=request_failed status=504 cause=timed_out", LinePriority::Unsettled)]
#[case::quoted_fields(
    "event=request_failed request=\"x \\\" status=502 \" status=503 cause=no_worker",
    LinePriority::Important
)]
fn priority_of_line(#[case] line: &str, #[case] expected: LinePriority) {
    assert_eq!(line_priority(line), expected);
}
