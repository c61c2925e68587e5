//! Metrics of a gateway.

use std::time::Duration;

use hollowbarrow_ingress::{ClientMetrics, ProcessGate};
use hollowbarrow_reach::{InstanceState, UpstreamFate};
use hollowbarrow_telemetry::MetricsPage;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Name, unit and description of each metric.
pub const GATEWAY_METRICS: &[(&str, &str, &str)] = &[
    (
        "gateway_requests",
        "1",
        "Requests that ended, by outcome: answered, streamed or the cause of a failure.",
    ),
    (
        "gateway_first_event_ms",
        "ms",
        "Time from a request's arrival to its first event, or to its complete answer.",
    ),
    ("gateway_event_gap_ms", "ms", "Time between two chunks of a stream."),
    ("gateway_repeats", "1", "Attempts after the first, by kind: again or resumed."),
    (
        "gateway_connects",
        "1",
        "Attempts to open a connection to a worker, by outcome: connected, refused or timed_out on the \
         gateway's own path, and tunnel, peer_unreached or no_peer through a peer.",
    ),
    (
        "gateway_lost_runs",
        "1",
        "Runs whose connections to workers were lost, by what became of the worker: running, terminated \
         or unknown.",
    ),
    (
        "gateway_unframed_answers",
        "1",
        "Answers without a length or chunks that ended with their connections, by what the worker was found \
         to be: running, so that the answer is complete, or silent, replaced, refused or unreached.",
    ),
    ("gateway_isolated", "1", "1 while the gateway reaches no worker of a service itself, else 0."),
    ("gateway_tunnels", "1", "Tunnels to workers that the gateway carries for other gateways."),
    ("gateway_ready", "1", "1 while the gateway reports that it is ready, else 0."),
    (
        "gateway_turned_away",
        "1",
        "Requests that workers rejected without running them, by whether they asked for a backoff.",
    ),
    ("gateway_limited_sends", "1", "Requests sent to workers that have stated a rate limit."),
    ("gateway_in_flight", "1", "Requests in flight."),
    ("gateway_configuration_version", "1", "Version of the active configuration."),
    (
        "gateway_view_age_ms",
        "ms",
        "Age of the leader's latest view; absent until a view is received. While it grows, the gateway \
         does not learn of newer configurations.",
    ),
    (
        "gateway_controllers",
        "1",
        "Controllers that the gateway knows, including those that are gone.",
    ),
    ("gateway_workers", "1", "Workers in the table, including departed ones."),
    (
        "gateway_configuration_reading_ms",
        "ms",
        "Time to parse and activate a received configuration.",
    ),
    (
        "gateway_messages_dropped",
        "1",
        "Messages to controllers that were dropped: the queue was full or there was no connection.",
    ),
];

/// Instruments of a gateway's metrics.
pub(crate) struct GatewayMetrics {
    page: MetricsPage,
    requests: Counter<u64>,
    first_event: Histogram<f64>,
    event_gap: Histogram<f64>,
    repeats: Counter<u64>,
    connects: Counter<u64>,
    lost_runs: Counter<u64>,
    unframed_answers: Counter<u64>,
    turned_away: Counter<u64>,
    limited_sends: Counter<u64>,
    in_flight: Gauge<u64>,
    isolated: Gauge<u64>,
    tunnels: Gauge<u64>,
    ready: Gauge<u64>,
    version: Gauge<u64>,
    view_age: Gauge<u64>,
    controllers: Gauge<u64>,
    workers: Gauge<u64>,
    configuration_reading: Histogram<f64>,
    dropped: Gauge<u64>,
    clients: ClientMetrics,
}

/// Current values of the gauges, read when the page is requested.
pub(crate) struct GatewayLevels {
    pub(crate) in_flight: u64,
    pub(crate) isolated: bool,
    pub(crate) tunnels: u64,
    pub(crate) ready: bool,
    pub(crate) version: u64,
    pub(crate) view_age: Option<Duration>,
    pub(crate) controllers: u64,
    pub(crate) workers: u64,
    pub(crate) dropped: u64,
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let page = MetricsPage::new();
        let meter = page.meter();
        Self {
            requests: meter.u64_counter("gateway_requests").build(),
            first_event: page.time_histogram("gateway_first_event_ms"),
            event_gap: page.time_histogram("gateway_event_gap_ms"),
            repeats: meter.u64_counter("gateway_repeats").build(),
            connects: meter.u64_counter("gateway_connects").build(),
            lost_runs: meter.u64_counter("gateway_lost_runs").build(),
            unframed_answers: meter.u64_counter("gateway_unframed_answers").build(),
            turned_away: meter.u64_counter("gateway_turned_away").build(),
            limited_sends: meter.u64_counter("gateway_limited_sends").build(),
            in_flight: meter.u64_gauge("gateway_in_flight").build(),
            isolated: meter.u64_gauge("gateway_isolated").build(),
            tunnels: meter.u64_gauge("gateway_tunnels").build(),
            ready: meter.u64_gauge("gateway_ready").build(),
            version: meter.u64_gauge("gateway_configuration_version").build(),
            view_age: meter.u64_gauge("gateway_view_age_ms").build(),
            controllers: meter.u64_gauge("gateway_controllers").build(),
            workers: meter.u64_gauge("gateway_workers").build(),
            configuration_reading: page.time_histogram("gateway_configuration_reading_ms"),
            dropped: meter.u64_gauge("gateway_messages_dropped").build(),
            clients: ClientMetrics::new(&page),
            page,
        }
    }

    /// Counts a request that ended; the outcomes are a bounded set of names.
    pub(crate) fn count_request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_first_event(&self, elapsed: Duration) {
        self.first_event.record(elapsed.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn record_event_gap(&self, gap: Duration) {
        self.event_gap.record(gap.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn record_reading(&self, elapsed: Duration) {
        self.configuration_reading.record(elapsed.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn count_repeat(&self, kind: &'static str) {
        self.repeats.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn count_connect(&self, outcome: &'static str) {
        self.connects.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a run whose connection was lost.
    pub(crate) fn count_lost_run(&self, fate: UpstreamFate) {
        self.lost_runs.add(1, &[KeyValue::new("worker", fate.name())]);
    }

    /// Counts an answer that ended with its connection.
    pub(crate) fn count_unframed_answer(&self, state: InstanceState) {
        self.unframed_answers.add(1, &[KeyValue::new("worker", state.name())]);
    }

    pub(crate) fn count_turned_away(&self, backoff_asked: bool) {
        self.turned_away.add(1, &[KeyValue::new("backoff_asked", backoff_asked)]);
    }

    pub(crate) fn count_limited_send(&self) {
        self.limited_sends.add(1, &[]);
    }

    /// Records what callers make the gateway hold.
    pub(crate) fn record_clients(&self, gate: &ProcessGate) {
        self.clients.record(gate);
    }

    /// Renders the page of metrics.
    pub(crate) fn to_text(&self, levels: &GatewayLevels) -> String {
        self.in_flight.record(levels.in_flight, &[]);
        self.isolated.record(levels.isolated.into(), &[]);
        self.tunnels.record(levels.tunnels, &[]);
        self.ready.record(levels.ready.into(), &[]);
        self.version.record(levels.version, &[]);
        if let Some(age) = levels.view_age {
            self.view_age.record(age.as_millis() as u64, &[]);
        }
        self.controllers.record(levels.controllers, &[]);
        self.workers.record(levels.workers, &[]);
        self.dropped.record(levels.dropped, &[]);
        self.page.to_text()
    }
}
