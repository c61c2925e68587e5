//! Logs, traces and metrics.
//!
//! A log line is one event as key=value pairs. A trace has a span for each hop
//! of a request (door, queue, claim, pick, upstream), and carries the W3C trace
//! context in and out. Metrics are kept by the OpenTelemetry library and shown
//! as text.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use hollowbarrow_schema::{ErrorRan, GroupName, Urgency};
use hyper::Request;
use hyper::body::Incoming;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider, UpDownCounter};
use opentelemetry::trace::{
    SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer, TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::metrics::data::{AggregatedMetrics, MetricData, ResourceMetrics};
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::{ManualReader, Pipeline, SdkMeterProvider};
use opentelemetry_sdk::trace::{SdkTracerProvider, SpanData, SpanExporter};
use serde_json::json;
use tokio::time::Instant;

use crate::answer::CallerError;
use crate::dispatch::{RequestEnd, RequestRun};
use crate::facts::headers::TRACE_PARENT;

const SCOPE: &str = "hollowbarrow";
/// Bounds of histograms of times, in milliseconds.
const TIME_BOUNDS: &[f64] = &[
    1.0, 2.0, 5.0, 10.0, 20.0, 26.0, 50.0, 100.0, 200.0, 500.0, 860.0, 1000.0, 2000.0, 5000.0,
    10_000.0, 30_000.0,
];

/// Starts logging to standard error, one line of key=value pairs an event.
///
/// # Errors
///
/// Fails where the specification of levels cannot be read or a logger runs already.
pub fn start_logging(levels: &str) -> Result<LoggerHandle, flexi_logger::FlexiLoggerError> {
    Logger::try_with_str(levels)?.format(format_line).log_to_stderr().start()
}

fn format_line(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ");
    write!(writer, "time={time} level={} {}", record.level().as_str().to_lowercase(), record.args())
}

/// Name, unit and meaning of each metric.
pub fn metric_catalogue() -> &'static [(&'static str, &'static str, &'static str)] {
    &[
        ("requests", "1", "Requests that ended, by outcome and priority class."),
        ("retries", "1", "Attempts after the first, by kind: again, resume or hedge."),
        ("queue_ms", "ms", "Time that requests waited for a place, by priority class."),
        ("first_token_ms", "ms", "Time from a request's arrival to its first token."),
        ("token_gap_ms", "ms", "Time between two tokens of a stream."),
        (
            "group_down_seconds",
            "s",
            "Replica-seconds in which a wanted replica did not serve, by group; counted by the zone's authority.",
        ),
        (
            "stranded_accelerator_seconds",
            "s",
            "Accelerator-seconds of usable nodes in no serving replica; counted by the zone's authority.",
        ),
        ("peer_bytes_sent", "bytes", "Bytes of messages to other daemons."),
        ("peer_bytes_received", "bytes", "Bytes of messages from other daemons."),
        ("stranded_accelerators", "1", "Accelerators of usable nodes in no serving replica now."),
    ]
}

/// Reader that shares one [`ManualReader`] between the provider and the page of metrics.
#[derive(Clone, Debug)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: std::sync::Weak<Pipeline>) {
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

    fn temporality(
        &self,
        kind: opentelemetry_sdk::metrics::InstrumentKind,
    ) -> opentelemetry_sdk::metrics::Temporality {
        self.0.temporality(kind)
    }
}

/// Traces and metrics of one daemon.
pub(crate) struct Telemetry {
    reader: SharedReader,
    _meters: SdkMeterProvider,
    tracers: SdkTracerProvider,
    tracer: opentelemetry_sdk::trace::SdkTracer,
    requests: Counter<u64>,
    retries: Counter<u64>,
    queue: Histogram<f64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    group_down: Counter<f64>,
    stranded_time: Counter<f64>,
    stranded: UpDownCounter<i64>,
    stranded_now: Mutex<u32>,
}

impl Telemetry {
    /// Creates the instruments, with a file for spans if one is wanted.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be opened.
    pub(crate) fn new(trace_file: Option<&Path>) -> std::io::Result<Self> {
        let reader = SharedReader(Arc::new(ManualReader::builder().build()));
        let meters = SdkMeterProvider::builder().with_reader(reader.clone()).build();
        let meter = meters.meter(SCOPE);
        let mut tracers = SdkTracerProvider::builder();
        if let Some(path) = trace_file {
            let file = File::options().create(true).append(true).open(path)?;
            tracers =
                tracers.with_batch_exporter(FileExporter { file: Arc::new(Mutex::new(file)) });
        } else {
            tracers = tracers.with_sampler(opentelemetry_sdk::trace::Sampler::AlwaysOff);
        }
        let tracers = tracers.build();
        let histogram = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(TIME_BOUNDS.to_vec()).build()
        };
        Ok(Self {
            tracer: tracers.tracer(SCOPE),
            requests: meter.u64_counter("requests").build(),
            retries: meter.u64_counter("retries").build(),
            queue: histogram("queue_ms"),
            first_token: histogram("first_token_ms"),
            token_gap: histogram("token_gap_ms"),
            group_down: meter.f64_counter("group_down_seconds").build(),
            stranded_time: meter.f64_counter("stranded_accelerator_seconds").build(),
            stranded: meter.i64_up_down_counter("stranded_accelerators").build(),
            stranded_now: Mutex::new(0),
            reader,
            _meters: meters,
            tracers,
        })
    }

    /// Starts the first span of a request, below the caller's if it sent one.
    pub(crate) fn start_door(&self, request: &Request<Incoming>, id: &str) -> HopSpan {
        let parent = request
            .headers()
            .get(TRACE_PARENT)
            .and_then(|value| value.to_str().ok())
            .and_then(parse_trace_parent)
            .map_or_else(Context::new, |parent| Context::new().with_remote_span_context(parent));
        let span = HopSpan::start(&self.tracer, "door", &parent);
        span.set("request_id", id);
        span.set("target", request.uri().path());
        span
    }

    pub(crate) fn note_queued(&self, urgency: Urgency, waited: Duration) {
        let class = [KeyValue::new("class", urgency.to_string())];
        self.queue.record(waited.as_secs_f64() * 1000.0, &class);
    }

    pub(crate) fn note_retry(&self, kind: &'static str) {
        self.retries.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn note_first_token(&self, received: Instant, now: Instant) {
        let time = now.saturating_duration_since(received);
        self.first_token.record(time.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn note_token_gap(&self, gap: Duration) {
        self.token_gap.record(gap.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn note_downtime(&self, group: &GroupName, replicas: u32, elapsed: Duration) {
        let seconds = f64::from(replicas) * elapsed.as_secs_f64();
        self.group_down.add(seconds, &[KeyValue::new("group", group.to_string())]);
    }

    pub(crate) fn note_stranded(&self, accelerators: u32, elapsed: Duration) {
        self.stranded_time.add(f64::from(accelerators) * elapsed.as_secs_f64(), &[]);
        let mut known = self.stranded_now.lock().expect("no holder of the lock panics");
        self.stranded.add(i64::from(accelerators) - i64::from(*known), &[]);
        *known = accelerators;
    }

    /// Accelerators stranded in the zone when this daemon last looked as its authority.
    pub(crate) fn stranded_now(&self) -> u32 {
        *self.stranded_now.lock().expect("no holder of the lock panics")
    }

    /// Notes a request that was refused before it was understood.
    pub(crate) fn note_refused(&self, id: &str, error: &CallerError) {
        self.count_request(error.name(), Urgency::Normal);
        log::info!(
            "event=request_refused request_id={id} outcome={} ran={} reason={:?}",
            error.name(),
            error.ran,
            error.message
        );
    }

    /// Notes the end of a request.
    pub(crate) fn note_end(&self, run: &RequestRun, end: &RequestEnd) {
        self.count_request(end.outcome, run.request.urgency);
        run.span.set("outcome", end.outcome);
        let upstream = end.upstream.as_ref().map_or("-", |key| key.name.as_str());
        let epoch = end.upstream.as_ref().map_or(0, |key| *key.epoch);
        let ran = end.ran.unwrap_or(ErrorRan::Ran);
        log::info!(
            "event=request_end request_id={} organisation={} target={:?} upstream={upstream} epoch={epoch} \
             outcome={} ran={ran} attempts={} ms={}",
            run.request.id,
            *run.request.organisation.id,
            run.request.target,
            end.outcome,
            end.attempts,
            run.request.received.elapsed().as_millis()
        );
    }

    fn count_request(&self, outcome: &'static str, urgency: Urgency) {
        let labels =
            [KeyValue::new("outcome", outcome), KeyValue::new("class", urgency.to_string())];
        self.requests.add(1, &labels);
    }

    /// All metrics as text, a line each: name, labels and value.
    pub(crate) fn to_text(&self) -> String {
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

    /// Writes out the spans that wait.
    pub(crate) fn flush(&self) {
        let _ = self.tracers.force_flush();
    }
}

fn write_data<T: Copy + std::fmt::Display>(text: &mut String, name: &str, data: &MetricData<T>) {
    use std::fmt::Write as _;
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

/// The span of one hop of a request; it ends when dropped.
#[derive(Clone)]
pub(crate) struct HopSpan {
    tracer: opentelemetry_sdk::trace::SdkTracer,
    context: Context,
}

impl HopSpan {
    fn start(
        tracer: &opentelemetry_sdk::trace::SdkTracer,
        name: &'static str,
        parent: &Context,
    ) -> Self {
        let span = tracer.start_with_context(name, parent);
        Self { tracer: tracer.clone(), context: parent.with_span(span) }
    }

    /// Starts the span of a hop within this one.
    pub(crate) fn child(&self, name: &'static str) -> Self {
        Self::start(&self.tracer, name, &self.context)
    }

    /// Notes something about the hop.
    pub(crate) fn set(&self, key: &'static str, value: &str) {
        self.context.span().set_attribute(KeyValue::new(key, value.to_owned()));
    }

    /// This span as W3C trace context.
    pub(crate) fn trace_parent(&self) -> String {
        let span = self.context.span();
        let context = span.span_context();
        let flags = context.trace_flags().to_u8();
        format!("00-{}-{}-{flags:02x}", context.trace_id(), context.span_id())
    }
}

/// Reads a W3C trace context.
fn parse_trace_parent(text: &str) -> Option<SpanContext> {
    let mut parts = text.split('-');
    let (version, trace, span, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || trace.len() != 32 || span.len() != 16 {
        return None;
    }
    let context = SpanContext::new(
        TraceId::from_hex(trace).ok()?,
        SpanId::from_hex(span).ok()?,
        TraceFlags::new(u8::from_str_radix(flags, 16).ok()?),
        true,
        TraceState::default(),
    );
    context.is_valid().then_some(context)
}

/// Writes each span as one line of JSON.
#[derive(Debug)]
struct FileExporter {
    file: Arc<Mutex<File>>,
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut lines = String::new();
        for span in batch {
            lines.push_str(&to_line(&span));
            lines.push('\n');
        }
        let mut file = self.file.lock().expect("no holder of the lock panics");
        file.write_all(lines.as_bytes())
            .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

fn to_line(span: &SpanData) -> String {
    let nanos = |time: SystemTime| {
        let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
    };
    let attributes: serde_json::Map<String, serde_json::Value> = span
        .attributes
        .iter()
        .map(|a| (a.key.to_string(), a.value.as_str().into_owned().into()))
        .collect();
    json!({
        "trace_id": span.span_context.trace_id().to_string(),
        "span_id": span.span_context.span_id().to_string(),
        "parent_span_id": span.parent_span_id.to_string(),
        "name": span.name,
        "start_ns": nanos(span.start_time),
        "end_ns": nanos(span.end_time),
        "attributes": attributes,
    })
    .to_string()
}
