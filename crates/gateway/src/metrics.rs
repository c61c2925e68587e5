//! Metrics of a gateway.

use std::time::Duration;

use hollowbarrow_telemetry::MetricsPage;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Name, unit and meaning of each metric.
pub const GATEWAY_METRICS: &[(&str, &str, &str)] = &[
    (
        "gateway_requests",
        "1",
        "Requests that ended, by outcome: answered, streamed or the cause of a failure.",
    ),
    (
        "gateway_first_event_ms",
        "ms",
        "Time from a request's arrival to its first event, or to its whole answer.",
    ),
    ("gateway_event_gap_ms", "ms", "Time between two pieces of a stream."),
    ("gateway_repeats", "1", "Sends after the first, by kind: again or resumed."),
    (
        "gateway_turned_away",
        "1",
        "Requests that workers turned away unrun, by whether they asked for a backoff.",
    ),
    ("gateway_limited_sends", "1", "Requests sent to workers that have named a limit."),
    ("gateway_in_flight", "1", "Requests under way now."),
    ("gateway_configuration_version", "1", "Version of the configuration in force."),
    ("gateway_workers", "1", "Workers that are known, those that have gone among them."),
    (
        "gateway_configuration_reading_ms",
        "ms",
        "Time to read a configuration that came and to put it in force.",
    ),
    (
        "gateway_messages_dropped",
        "1",
        "Messages to controllers that found no room or no connection.",
    ),
];

/// What a gateway counts.
pub(crate) struct GatewayMetrics {
    page: MetricsPage,
    requests: Counter<u64>,
    first_event: Histogram<f64>,
    event_gap: Histogram<f64>,
    repeats: Counter<u64>,
    turned_away: Counter<u64>,
    limited_sends: Counter<u64>,
    in_flight: Gauge<u64>,
    version: Gauge<u64>,
    workers: Gauge<u64>,
    configuration_reading: Histogram<f64>,
    dropped: Gauge<u64>,
}

/// What stands now, as it is read when the page is asked for.
pub(crate) struct GatewayLevels {
    pub(crate) in_flight: u64,
    pub(crate) version: u64,
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
            turned_away: meter.u64_counter("gateway_turned_away").build(),
            limited_sends: meter.u64_counter("gateway_limited_sends").build(),
            in_flight: meter.u64_gauge("gateway_in_flight").build(),
            version: meter.u64_gauge("gateway_configuration_version").build(),
            workers: meter.u64_gauge("gateway_workers").build(),
            configuration_reading: page.time_histogram("gateway_configuration_reading_ms"),
            dropped: meter.u64_gauge("gateway_messages_dropped").build(),
            page,
        }
    }

    /// Counts a request that ended, by a name of a bounded set.
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

    pub(crate) fn count_turned_away(&self, backoff_asked: bool) {
        self.turned_away.add(1, &[KeyValue::new("backoff_asked", backoff_asked)]);
    }

    pub(crate) fn count_limited_send(&self) {
        self.limited_sends.add(1, &[]);
    }

    /// The page of text.
    pub(crate) fn to_text(&self, levels: &GatewayLevels) -> String {
        self.in_flight.record(levels.in_flight, &[]);
        self.version.record(levels.version, &[]);
        self.workers.record(levels.workers, &[]);
        self.dropped.record(levels.dropped, &[]);
        self.page.to_text()
    }
}
