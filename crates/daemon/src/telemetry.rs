//! Traces and metrics of a daemon.
//!
//! A trace has a span for each stage of a request (`door`, `queue`, `claim`,
//! `pick`, `upstream`), and propagates the W3C trace context.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hollowbarrow_ingress::{ClientMetrics, ProcessGate, RequestBody};
use hollowbarrow_log::LogView;
use hollowbarrow_reach::InstanceState;
use hollowbarrow_schema::{ErrorRan, GroupName, LogName, Urgency};
use hollowbarrow_telemetry::MetricsPage;
use hyper::Request;
use opentelemetry::metrics::{Counter, Histogram, UpDownCounter};
use opentelemetry::trace::{
    SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer, TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{SdkTracerProvider, SpanData, SpanExporter};
use serde_json::json;
use tokio::time::Instant;

use crate::answer::CallerError;
use crate::caller_request::headers::TRACE_PARENT;
use crate::dispatch::{RequestEnd, RequestRun};

const SCOPE: &str = "hollowbarrow";
/// Returns name, unit and meaning of each metric.
pub fn metric_catalogue() -> &'static [(&'static str, &'static str, &'static str)] {
    &[
        ("requests", "1", "Requests that ended, by outcome and priority class."),
        ("retries", "1", "Attempts after the first, by kind: again, resume or hedge."),
        (
            "connects",
            "1",
            "Attempts to open a connection to an upstream, by outcome: connected, refused or timed_out on the daemon's own path, and tunnel, peer_unreached or no_peer through a peer.",
        ),
        (
            "unframed_answers",
            "1",
            "Answers without a length or chunks that ended with their connections, by what the upstream was found to be: running, so that the answer is complete, or silent, replaced, refused or unreached.",
        ),
        ("queue_ms", "ms", "Time that requests waited for a slot, by priority class."),
        ("first_token_ms", "ms", "Time from a request's arrival to its first token."),
        ("token_gap_ms", "ms", "Time between two tokens of a stream."),
        (
            "group_down_seconds",
            "s",
            "Replica-seconds in which a desired replica did not serve, by group; counted by the zone's authority.",
        ),
        (
            "stranded_accelerator_seconds",
            "s",
            "Accelerator-seconds of usable nodes in no serving replica; counted by the zone's authority.",
        ),
        (
            "timer_delay_ms",
            "ms",
            "How late a timer of the process fired; long delays show that it lacks processor time.",
        ),
        (
            "probe_ms",
            "ms",
            "Time that probes of nodes took, by outcome: answered, refused or silent.",
        ),
        ("peer_bytes_sent", "bytes", "Bytes of messages to other daemons."),
        ("peer_bytes_received", "bytes", "Bytes of messages from other daemons."),
        ("log_leads", "1", "1 while this daemon leads the log, by log: config or claims."),
        (
            "log_voter_fault",
            "1",
            "1 while this daemon is a voter of the log and must not count, for example after a lost disk.",
        ),
        ("log_voters", "1", "Voters of the log; only on its leader."),
        (
            "log_voters_counted",
            "1",
            "Voters that answer and count in quorums, itself included; only on the log's leader.",
        ),
        (
            "log_voters_uncounted",
            "1",
            "Voters that answer and must not count, for example after a lost disk; only on the log's leader.",
        ),
        (
            "log_losses_borne",
            "1",
            "Further voters that may be lost, with their disks, while a majority remains; only on the log's leader.",
        ),
        ("stranded_accelerators", "1", "Accelerators of usable nodes in no serving replica now."),
    ]
}

/// Traces and metrics of one daemon.
pub(crate) struct Telemetry {
    clients: ClientMetrics,
    page: MetricsPage,
    tracers: SdkTracerProvider,
    tracer: opentelemetry_sdk::trace::SdkTracer,
    requests: Counter<u64>,
    retries: Counter<u64>,
    connects: Counter<u64>,
    unframed_answers: Counter<u64>,
    queue: Histogram<f64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    timer_delay: Histogram<f64>,
    probe: Histogram<f64>,
    group_down: Counter<f64>,
    stranded_time: Counter<f64>,
    stranded: UpDownCounter<i64>,
    stranded_now: Mutex<u32>,
}

impl Telemetry {
    /// Returns the counter of connections to upstreams.
    pub(crate) fn connects(&self) -> Counter<u64> {
        self.connects.clone()
    }

    /// Creates the instruments, with a file for spans if a path is given.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened.
    pub(crate) fn new(trace_file: Option<&Path>) -> std::io::Result<Self> {
        let page = MetricsPage::new();
        let meter = page.meter();
        let mut tracers = SdkTracerProvider::builder();
        if let Some(path) = trace_file {
            let file = File::options().create(true).append(true).open(path)?;
            tracers =
                tracers.with_batch_exporter(FileExporter { file: Arc::new(Mutex::new(file)) });
        } else {
            tracers = tracers.with_sampler(opentelemetry_sdk::trace::Sampler::AlwaysOff);
        }
        let tracers = tracers.build();
        Ok(Self {
            tracer: tracers.tracer(SCOPE),
            requests: meter.u64_counter("requests").build(),
            retries: meter.u64_counter("retries").build(),
            connects: meter.u64_counter("connects").build(),
            unframed_answers: meter.u64_counter("unframed_answers").build(),
            queue: page.time_histogram("queue_ms"),
            first_token: page.time_histogram("first_token_ms"),
            token_gap: page.time_histogram("token_gap_ms"),
            timer_delay: page.time_histogram("timer_delay_ms"),
            probe: page.time_histogram("probe_ms"),
            group_down: meter.f64_counter("group_down_seconds").build(),
            stranded_time: meter.f64_counter("stranded_accelerator_seconds").build(),
            stranded: meter.i64_up_down_counter("stranded_accelerators").build(),
            stranded_now: Mutex::new(0),
            clients: ClientMetrics::new(&page),
            page,
            tracers,
        })
    }

    /// Starts the daemon's first span of a request, as a child of the caller's span if it sent one.
    pub(crate) fn start_ingress_span(&self, request: &Request<RequestBody>, id: &str) -> HopSpan {
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

    pub(crate) fn record_queue_time(&self, urgency: Urgency, waited: Duration) {
        let class = [KeyValue::new("class", urgency.to_string())];
        self.queue.record(waited.as_secs_f64() * 1000.0, &class);
    }

    /// Counts an answer that ended with its connection, by the state of its upstream.
    pub(crate) fn record_unframed_answer(&self, state: InstanceState) {
        self.unframed_answers.add(1, &[KeyValue::new("upstream", state.name())]);
    }

    pub(crate) fn record_retry(&self, kind: &'static str) {
        self.retries.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn record_first_token(&self, received: Instant, now: Instant) {
        let time = now.saturating_duration_since(received);
        self.first_token.record(time.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn record_token_gap(&self, gap: Duration) {
        self.token_gap.record(gap.as_secs_f64() * 1000.0, &[]);
    }

    /// Records how late a timer of the process fired.
    pub(crate) fn record_timer_delay(&self, delay: Duration) {
        self.timer_delay.record(delay.as_secs_f64() * 1000.0, &[]);
    }

    /// Records the outcome of a probe and the time that it took.
    pub(crate) fn record_probe(&self, outcome: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.probe.record(elapsed.as_secs_f64() * 1000.0, &labels);
    }

    pub(crate) fn record_downtime(&self, group: &GroupName, replicas: u32, elapsed: Duration) {
        let seconds = f64::from(replicas) * elapsed.as_secs_f64();
        self.group_down.add(seconds, &[KeyValue::new("group", group.to_string())]);
    }

    pub(crate) fn record_stranded(&self, accelerators: u32, elapsed: Duration) {
        self.stranded_time.add(f64::from(accelerators) * elapsed.as_secs_f64(), &[]);
        let mut known = self.stranded_now.lock().expect("no holder of the lock panics");
        self.stranded.add(i64::from(accelerators) - i64::from(*known), &[]);
        *known = accelerators;
    }

    /// Returns the stranded accelerators of the zone at the last step as its authority.
    pub(crate) fn stranded_now(&self) -> u32 {
        *self.stranded_now.lock().expect("no holder of the lock panics")
    }

    /// Records a request that was refused before it was parsed completely.
    pub(crate) fn record_refused(&self, id: &str, error: &CallerError) {
        self.count_request(error.name(), Urgency::Normal);
        log::info!(
            "event=request_refused request_id={id} outcome={} ran={} reason={:?}",
            error.name(),
            error.ran,
            error.message
        );
    }

    /// Records the end of a request.
    pub(crate) fn record_end(&self, run: &RequestRun, end: &RequestEnd) {
        self.count_request(end.outcome, run.request.urgency);
        run.span.set("outcome", end.outcome);
        let upstream = end.upstream.as_ref().map_or("-", |key| key.name.as_str());
        let epoch = end.upstream.as_ref().map_or(0, |key| *key.epoch);
        let ran = end.ran.unwrap_or(ErrorRan::Ran);
        let waits = &run.waits;
        log::info!(
            "event=request_end request_id={} organisation={} target={:?} content={:016x} upstream={upstream} \
             epoch={epoch} outcome={} ran={ran} attempts={} queue_ms={} claim_ms={} duplicate_ms={} \
             upstream_ms={} ms={} reason={:?}",
            run.request.id,
            *run.request.organisation.id,
            run.request.target,
            *run.contents.whole(),
            end.outcome,
            end.attempts,
            waits.queue.as_millis(),
            waits.claim.as_millis(),
            waits.duplicate.as_millis(),
            waits.upstream.as_millis(),
            run.request.received.elapsed().as_millis(),
            end.reason.as_deref().unwrap_or("-")
        );
    }

    fn count_request(&self, outcome: &'static str, urgency: Urgency) {
        let labels =
            [KeyValue::new("outcome", outcome), KeyValue::new("class", urgency.to_string())];
        self.requests.add(1, &labels);
    }

    /// Returns all metrics as text, one line each: name, labels and value.
    pub(crate) fn to_text(&self, gate: &ProcessGate) -> String {
        self.clients.record(gate);
        self.page.to_text()
    }

    /// Flushes buffered spans to the file.
    pub(crate) fn flush(&self) {
        let _ = self.tracers.force_flush();
    }
}

/// Returns the metrics of a log as text. Only its leader knows which voters count, so that other
/// daemons leave these lines out.
pub(crate) fn log_metrics(log: LogName, view: &LogView) -> String {
    let mut metrics = vec![
        ("log_leads", usize::from(view.leads)),
        ("log_voter_fault", usize::from(view.fault.is_some())),
    ];
    if view.leads {
        metrics.push(("log_voters", view.voters.len()));
        metrics.push(("log_voters_counted", view.counted));
        metrics.push(("log_voters_uncounted", view.uncounted.len()));
        metrics.push(("log_losses_borne", view.losses_borne));
    }
    metrics
        .into_iter()
        .map(|(name, value)| format!("hollowbarrow_{name}{{log=\"{log}\"}} {value}\n"))
        .collect()
}

/// Span of one stage of a request; ends when dropped.
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

    /// Starts a child span.
    pub(crate) fn child(&self, name: &'static str) -> Self {
        Self::start(&self.tracer, name, &self.context)
    }

    /// Sets an attribute of the span.
    pub(crate) fn set(&self, key: &'static str, value: &str) {
        self.context.span().set_attribute(KeyValue::new(key, value.to_owned()));
    }

    /// Returns this span as W3C trace context.
    pub(crate) fn trace_parent(&self) -> String {
        let span = self.context.span();
        let context = span.span_context();
        let flags = context.trace_flags().to_u8();
        format!("00-{}-{}-{flags:02x}", context.trace_id(), context.span_id())
    }
}

/// Parses a W3C trace context.
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
