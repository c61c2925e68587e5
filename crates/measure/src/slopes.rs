//! Fits a line to values measured at several sizes and estimates the value at the target size.

use std::path::Path;

use anyhow::Result;
use plotters::prelude::*;

use crate::stats::{fit_line, min_median_max};

/// Measurement runs per size.
pub(crate) const RUNS_PER_SIZE: usize = 5;

/// A quantity to measure at several sizes, with its budget at the target size.
pub(crate) struct SlopeCase {
    pub(crate) role: &'static str,
    pub(crate) quantity: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) per: &'static str,
    pub(crate) sizes: &'static [usize],
    pub(crate) target: f64,
    pub(crate) budget: f64,
}

/// Prints measured slopes and optionally plots them.
pub(crate) struct SlopeReport {
    /// Folder for the plots; `None` disables plotting.
    pub(crate) plots: Option<String>,
}

impl SlopeReport {
    /// Prints the slope through the medians and the estimated value at the target size.
    pub(crate) fn print(&self, case: &SlopeCase, points: &[(usize, Vec<f64>)]) -> Result<()> {
        let medians: Vec<(f64, f64)> =
            points.iter().map(|(size, runs)| (*size as f64, min_median_max(runs).1)).collect();
        let (slope, intercept) = fit_line(&medians);
        let at_target = interpolate(&medians, case.target)
            .unwrap_or_else(|| extrapolate(&medians, (slope, intercept), case.target));
        let formatted_points: Vec<String> = points
            .iter()
            .map(|(size, runs)| {
                let (min, median, max) = min_median_max(runs);
                format!("{size}:{median:.4}[{min:.4}..{max:.4}]")
            })
            .collect();
        println!(
            "role={} quantity={} unit={}/{} slope={slope:.6} intercept={intercept:.4} target={} \
             at_target={at_target:.3} budget={} holds={} points={}",
            case.role,
            case.quantity,
            case.unit,
            case.per,
            case.target,
            case.budget,
            at_target <= case.budget,
            formatted_points.join(","),
        );
        match &self.plots {
            Some(folder) => plot(Path::new(folder), case, points, (slope, intercept)),
            None => Ok(()),
        }
    }

    /// Runs the measurement [`RUNS_PER_SIZE`] times per size and prints the slope.
    pub(crate) fn measure(
        &self,
        case: &SlopeCase,
        run: impl Fn(usize) -> Result<f64>,
    ) -> Result<()> {
        let mut points = Vec::new();
        for size in case.sizes {
            let runs: Result<Vec<f64>> = (0..RUNS_PER_SIZE).map(|_| run(*size)).collect();
            points.push((*size, runs?));
        }
        self.print(case, &points)
    }
}

/// Extrapolates to a size above the measured ones: the value on the line, but at least the last
/// measured value.
fn extrapolate(points: &[(f64, f64)], line: (f64, f64), size: f64) -> f64 {
    let last = points.last().map_or(0.0, |(_, value)| *value);
    (line.1 + line.0 * size).max(last)
}

/// Interpolates between the two measured points that enclose a size; returns `None` outside the
/// measured range.
///
/// Within the measured range this is more accurate than the fitted line, which a non-linear
/// relation distorts.
fn interpolate(points: &[(f64, f64)], size: f64) -> Option<f64> {
    let pair = points.windows(2).find(|pair| (pair[0].0..=pair[1].0).contains(&size))?;
    let fraction = (size - pair[0].0) / (pair[1].0 - pair[0].0);
    Some(pair[0].1 + fraction * (pair[1].1 - pair[0].1))
}

fn plot(
    folder: &Path,
    case: &SlopeCase,
    points: &[(usize, Vec<f64>)],
    line: (f64, f64),
) -> Result<()> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(format!("{}-{}.svg", case.role, case.quantity));
    let last = points.last().map_or(1.0, |(size, _)| *size as f64);
    let max_value = points.iter().flat_map(|(_, runs)| runs).copied().fold(0.0, f64::max);
    let area = SVGBackend::new(&path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!("{} {} ({} by {})", case.role, case.quantity, case.unit, case.per);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..last * 1.05, 0.0..(max_value * 1.1).max(f64::MIN_POSITIVE))?;
    chart.configure_mesh().x_desc(case.per).y_desc(case.unit).draw()?;
    let line_ends = [0.0, last].map(|x| (x, (line.1 + line.0 * x).max(0.0)));
    chart.draw_series(LineSeries::new(line_ends, &BLUE))?;
    let dots = points.iter().flat_map(|(size, runs)| runs.iter().map(|run| (*size as f64, *run)));
    chart.draw_series(dots.map(|point| Circle::new(point, 3, RED.filled())))?;
    area.present()?;
    Ok(())
}
