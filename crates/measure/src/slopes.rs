//! Slopes: what was measured at several sizes, the line through it and its value at the target.

use std::path::Path;

use anyhow::Result;
use plotters::prelude::*;

use crate::stats::{fit_line, spread};

/// Runs of each point.
pub(crate) const RUNS: usize = 5;

/// One slope to be measured.
pub(crate) struct SlopeCase {
    pub(crate) role: &'static str,
    pub(crate) quantity: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) per: &'static str,
    pub(crate) sizes: &'static [usize],
    pub(crate) target: f64,
    pub(crate) budget: f64,
}

/// Prints a measured slope, and plots it.
pub(crate) struct SlopeReport {
    /// Folder for plots, if they are wanted.
    pub(crate) plots: Option<String>,
}

impl SlopeReport {
    /// Prints the slope of what was measured, and its value at the target.
    pub(crate) fn finish(&self, case: &SlopeCase, points: &[(usize, Vec<f64>)]) -> Result<()> {
        let medians: Vec<(f64, f64)> =
            points.iter().map(|(size, runs)| (*size as f64, spread(runs).1)).collect();
        let (slope, intercept) = fit_line(&medians);
        let at_target = between(&medians, case.target)
            .unwrap_or_else(|| beyond(&medians, (slope, intercept), case.target));
        let listed: Vec<String> = points
            .iter()
            .map(|(size, runs)| {
                let (least, median, most) = spread(runs);
                format!("{size}:{median:.4}[{least:.4}..{most:.4}]")
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
            listed.join(","),
        );
        match &self.plots {
            Some(folder) => plot(Path::new(folder), case, points, (slope, intercept)),
            None => Ok(()),
        }
    }

    /// Measures each size several times, and finishes.
    pub(crate) fn measure(
        &self,
        case: &SlopeCase,
        run: impl Fn(usize) -> Result<f64>,
    ) -> Result<()> {
        let mut points = Vec::new();
        for size in case.sizes {
            let runs: Result<Vec<f64>> = (0..RUNS).map(|_| run(*size)).collect();
            points.push((*size, runs?));
        }
        self.finish(case, &points)
    }
}

/// Value beyond the measured points: the line's, but never less than the last point's.
fn beyond(points: &[(f64, f64)], line: (f64, f64), size: f64) -> f64 {
    let last = points.last().map_or(0.0, |(_, value)| *value);
    (line.1 + line.0 * size).max(last)
}

/// Value between the two measured points that enclose a size; none beyond the points.
///
/// Within what was measured no line is needed, and a curve would bend it.
fn between(points: &[(f64, f64)], size: f64) -> Option<f64> {
    let pair = points.windows(2).find(|pair| (pair[0].0..=pair[1].0).contains(&size))?;
    let part = (size - pair[0].0) / (pair[1].0 - pair[0].0);
    Some(pair[0].1 + part * (pair[1].1 - pair[0].1))
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
    let highest = points.iter().flat_map(|(_, runs)| runs).copied().fold(0.0, f64::max);
    let area = SVGBackend::new(&path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!("{} {} ({} by {})", case.role, case.quantity, case.unit, case.per);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..last * 1.05, 0.0..(highest * 1.1).max(f64::MIN_POSITIVE))?;
    chart.configure_mesh().x_desc(case.per).y_desc(case.unit).draw()?;
    let ends = [0.0, last].map(|x| (x, (line.1 + line.0 * x).max(0.0)));
    chart.draw_series(LineSeries::new(ends, &BLUE))?;
    let dots = points.iter().flat_map(|(size, runs)| runs.iter().map(|run| (*size as f64, *run)));
    chart.draw_series(dots.map(|point| Circle::new(point, 3, RED.filled())))?;
    area.present()?;
    Ok(())
}
