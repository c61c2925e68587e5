//! Metrics of one process and their rendering as text.

use std::fmt::{Display, Write as _};
use std::sync::{Arc, Weak};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{AggregatedMetrics, MetricData, ResourceMetrics};
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::{
    InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
};

const SCOPE: &str = "hollowbarrow";
/// Bucket bounds of time histograms, in milliseconds.
pub const TIME_BOUNDS: &[f64] = &[
    1.0, 2.0, 5.0, 10.0, 20.0, 26.0, 50.0, 100.0, 200.0, 500.0, 860.0, 1000.0, 2000.0, 5000.0,
    10_000.0, 30_000.0,
];

/// Shares one [`ManualReader`] between the meter provider and the [`MetricsPage`].
#[derive(Clone, Debug)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(metrics)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}

/// Collects the metrics of a process and renders them as text.
#[derive(Debug)]
pub struct MetricsPage {
    reader: SharedReader,
    meters: SdkMeterProvider,
}

impl Default for MetricsPage {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricsPage {
    /// Creates a page without metrics.
    pub fn new() -> Self {
        let reader = SharedReader(Arc::new(ManualReader::builder().build()));
        let meters = SdkMeterProvider::builder().with_reader(reader.clone()).build();
        Self { reader, meters }
    }

    /// Returns a meter whose instruments appear on the page.
    pub fn meter(&self) -> Meter {
        self.meters.meter(SCOPE)
    }

    /// Creates a histogram of times in milliseconds.
    pub fn time_histogram(&self, name: &'static str) -> Histogram<f64> {
        self.meter().f64_histogram(name).with_boundaries(TIME_BOUNDS.to_vec()).build()
    }

    /// Renders all metrics as text, one line per value: name, labels and value.
    pub fn to_text(&self) -> String {
        let mut metrics = ResourceMetrics::default();
        if self.reader.collect(&mut metrics).is_err() {
            return String::new();
        }
        let mut text = String::new();
        for metric in metrics.scope_metrics().flat_map(|scope| scope.metrics()) {
            let name = format!("hollowbarrow_{}", metric.name());
            match metric.data() {
                AggregatedMetrics::F64(data) => write_data(&mut text, &name, data),
                AggregatedMetrics::U64(data) => write_data(&mut text, &name, data),
                AggregatedMetrics::I64(data) => write_data(&mut text, &name, data),
            }
        }
        text
    }
}

fn write_data<T: Copy + Display>(text: &mut String, name: &str, data: &MetricData<T>) {
    match data {
        MetricData::Sum(sum) => {
            for point in sum.data_points() {
                let labels = to_labels(point.attributes(), None);
                let _ = writeln!(text, "{name}{labels} {}", point.value());
            }
        }
        MetricData::Gauge(gauge) => {
            for point in gauge.data_points() {
                let labels = to_labels(point.attributes(), None);
                let _ = writeln!(text, "{name}{labels} {}", point.value());
            }
        }
        MetricData::Histogram(histogram) => {
            for point in histogram.data_points() {
                let mut sum = 0;
                let bounds = point.bounds().map(|bound| bound.to_string());
                let bounds = bounds.chain(std::iter::once("+Inf".to_owned()));
                for (bound, count) in bounds.zip(point.bucket_counts()) {
                    sum += count;
                    let labels = to_labels(point.attributes(), Some(&bound));
                    let _ = writeln!(text, "{name}_bucket{labels} {sum}");
                }
                let labels = to_labels(point.attributes(), None);
                let _ = writeln!(text, "{name}_sum{labels} {}", point.sum());
                let _ = writeln!(text, "{name}_count{labels} {}", point.count());
            }
        }
        MetricData::ExponentialHistogram(_) => {}
    }
}

fn to_labels<'a>(attributes: impl Iterator<Item = &'a KeyValue>, bound: Option<&str>) -> String {
    let mut labels: Vec<String> = attributes
        .map(|attribute| format!("{}={:?}", attribute.key, attribute.value.as_str()))
        .collect();
    labels.sort();
    labels.extend(bound.map(|bound| format!("le={bound:?}")));
    if labels.is_empty() { String::new() } else { format!("{{{}}}", labels.join(",")) }
}
