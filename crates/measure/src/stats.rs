//! Latency histograms, line fitting and process resource usage.

use hdrhistogram::Histogram;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1000.0;

/// Durations, stored as a histogram in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct DurationHistogram {
    histogram: Histogram<u64>,
}

impl DurationHistogram {
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new(3).expect("a histogram supports three significant digits");
        Self { histogram }
    }

    pub(crate) fn record(&mut self, duration: std::time::Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX).max(1);
        // The histogram resizes automatically, so recording cannot fail for a 64-bit value.
        let _ = self.histogram.record(micros);
    }

    /// Returns a quantile in milliseconds, or 0 if nothing was recorded.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / US_PER_MS
    }
}

/// Returns the slope and intercept of the least-squares line through the points.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (slope, mean_y - slope * mean_x)
}

/// Returns the smallest, median and largest value of the runs.
pub(crate) fn min_median_max(runs: &[f64]) -> (f64, f64, f64) {
    let mut sorted = runs.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    (sorted[0], sorted[last / 2], sorted[last])
}

/// Returns the CPU time that a process has used, in seconds, and its resident memory in bytes.
pub(crate) fn process_usage(pid: u32) -> Option<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    // `/proc/PID/stat` counts in clock ticks of 10 ms (USER_HZ is 100).
    Some((ticks / 100.0, kilobytes * 1024))
}
