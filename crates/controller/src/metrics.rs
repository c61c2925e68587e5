//! Metrics of a controller.

use std::time::Duration;

use hollowbarrow_fleet::{OrderOutcome, WorkerOrder};
use hollowbarrow_ingress::{ClientMetrics, ProcessGate};
use hollowbarrow_telemetry::MetricsPage;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::records::RecordProblem;

/// Name, unit and description of each metric.
pub const CONTROLLER_METRICS: &[(&str, &str, &str)] = &[
    ("controller_orders", "1", "Orders sent to workers, by order and outcome."),
    ("controller_probes", "1", "Probes sent to workers."),
    ("controller_records_refused", "1", "Rejected calls under a worker's name, by cause."),
    ("controller_tables_sent", "1", "Full worker tables sent to daemons that had missed updates."),
    ("controller_leads", "1", "1 while a majority confirms that this controller leads."),
    ("controller_term", "1", "Election term."),
    ("controller_voters", "1", "Voters of the log."),
    (
        "controller_voters_counted",
        "1",
        "On the leader: voters that answer and count in quorums, itself included.",
    ),
    (
        "controller_voters_uncounted",
        "1",
        "On the leader: voters that answer and must not count, for example after a lost disk.",
    ),
    (
        "controller_losses_borne",
        "1",
        "On the leader: further voters that may be lost, with their disks, while a majority remains.",
    ),
    ("controller_lost_disk", "1", "1 while this controller has lost the data on its disk."),
    ("controller_configuration_version", "1", "Version of the newest committed configuration."),
    ("controller_workers", "1", "Known workers, by state: ready, leaving or gone."),
    ("controller_gateways", "1", "Gateways whose primary controller is this one."),
    (
        "controller_gateways_behind",
        "1",
        "Gateways that last reported an older configuration than the newest committed here.",
    ),
    (
        "controller_gateway_lag_ms",
        "ms",
        "Longest time for which a gateway has lacked a configuration that is committed here.",
    ),
    (
        "controller_configurations_sent",
        "1",
        "Configurations sent to gateways, by cause: committed or lacking.",
    ),
    (
        "controller_acknowledged_unconfirmed",
        "1",
        "Departures and releases acknowledged although too few daemons had confirmed them.",
    ),
    (
        "controller_messages_dropped",
        "1",
        "Messages to other daemons dropped because the queue was full or no connection existed.",
    ),
];

/// Metrics of a controller.
pub(crate) struct ControllerMetrics {
    page: MetricsPage,
    orders: Counter<u64>,
    probes: Counter<u64>,
    refused_records: Counter<u64>,
    tables: Counter<u64>,
    leads: Gauge<u64>,
    term: Gauge<u64>,
    voters: Gauge<u64>,
    voters_counted: Gauge<u64>,
    voters_uncounted: Gauge<u64>,
    losses_borne: Gauge<u64>,
    lost_disk: Gauge<u64>,
    version: Gauge<u64>,
    workers: Gauge<u64>,
    gateways: Gauge<u64>,
    gateways_behind: Gauge<u64>,
    gateway_lag: Gauge<u64>,
    configurations: Counter<u64>,
    unconfirmed: Counter<u64>,
    dropped: Gauge<u64>,
    clients: ClientMetrics,
}

/// Number of workers by last reported state.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerCounts {
    pub(crate) ready: u64,
    pub(crate) leaving: u64,
    pub(crate) gone: u64,
}

/// Gateways that lack a configuration that is committed here.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GatewayLags {
    pub(crate) behind: u64,
    pub(crate) longest: Duration,
}

/// Current values of the gauges, read when the metrics page is requested.
pub(crate) struct ControllerLevels {
    pub(crate) leads: bool,
    pub(crate) term: u64,
    pub(crate) voters: u64,
    pub(crate) voters_counted: u64,
    pub(crate) voters_uncounted: u64,
    pub(crate) losses_borne: u64,
    pub(crate) lost_disk: bool,
    pub(crate) version: u64,
    pub(crate) workers: WorkerCounts,
    pub(crate) gateways: u64,
    pub(crate) lags: GatewayLags,
    pub(crate) dropped: u64,
}

impl ControllerMetrics {
    pub(crate) fn new() -> Self {
        let page = MetricsPage::new();
        let meter = page.meter();
        Self {
            orders: meter.u64_counter("controller_orders").build(),
            probes: meter.u64_counter("controller_probes").build(),
            refused_records: meter.u64_counter("controller_records_refused").build(),
            tables: meter.u64_counter("controller_tables_sent").build(),
            leads: meter.u64_gauge("controller_leads").build(),
            term: meter.u64_gauge("controller_term").build(),
            voters: meter.u64_gauge("controller_voters").build(),
            voters_counted: meter.u64_gauge("controller_voters_counted").build(),
            voters_uncounted: meter.u64_gauge("controller_voters_uncounted").build(),
            losses_borne: meter.u64_gauge("controller_losses_borne").build(),
            lost_disk: meter.u64_gauge("controller_lost_disk").build(),
            version: meter.u64_gauge("controller_configuration_version").build(),
            workers: meter.u64_gauge("controller_workers").build(),
            gateways: meter.u64_gauge("controller_gateways").build(),
            gateways_behind: meter.u64_gauge("controller_gateways_behind").build(),
            gateway_lag: meter.u64_gauge("controller_gateway_lag_ms").build(),
            configurations: meter.u64_counter("controller_configurations_sent").build(),
            unconfirmed: meter.u64_counter("controller_acknowledged_unconfirmed").build(),
            dropped: meter.u64_gauge("controller_messages_dropped").build(),
            clients: ClientMetrics::new(&page),
            page,
        }
    }

    pub(crate) fn count_order(&self, order: &WorkerOrder, outcome: OrderOutcome) {
        let outcome = KeyValue::new("outcome", outcome.name());
        self.orders.add(1, &[KeyValue::new("order", order.verb()), outcome]);
    }

    pub(crate) fn count_probe(&self) {
        self.probes.add(1, &[]);
    }

    pub(crate) fn count_refused_record(&self, problem: RecordProblem) {
        self.refused_records.add(1, &[KeyValue::new("cause", problem.name())]);
    }

    pub(crate) fn count_tables(&self, daemons: usize) {
        self.tables.add(daemons as u64, &[]);
    }

    pub(crate) fn count_configurations(&self, cause: &'static str, gateways: usize) {
        self.configurations.add(gateways as u64, &[KeyValue::new("cause", cause)]);
    }

    pub(crate) fn count_unconfirmed(&self) {
        self.unconfirmed.add(1, &[]);
    }

    /// Records what workers and operators make the controller hold.
    pub(crate) fn record_clients(&self, gate: &ProcessGate) {
        self.clients.record(gate);
    }

    /// Records the gauges and returns the metrics page in the text format.
    pub(crate) fn to_text(&self, levels: &ControllerLevels) -> String {
        self.leads.record(levels.leads.into(), &[]);
        self.term.record(levels.term, &[]);
        self.voters.record(levels.voters, &[]);
        self.voters_counted.record(levels.voters_counted, &[]);
        self.voters_uncounted.record(levels.voters_uncounted, &[]);
        self.losses_borne.record(levels.losses_borne, &[]);
        self.lost_disk.record(levels.lost_disk.into(), &[]);
        self.version.record(levels.version, &[]);
        self.gateways.record(levels.gateways, &[]);
        self.gateways_behind.record(levels.lags.behind, &[]);
        self.gateway_lag.record(levels.lags.longest.as_millis() as u64, &[]);
        self.dropped.record(levels.dropped, &[]);
        let WorkerCounts { ready, leaving, gone } = levels.workers;
        for (state, count) in [("ready", ready), ("leaving", leaving), ("gone", gone)] {
            self.workers.record(count, &[KeyValue::new("state", state)]);
        }
        self.page.to_text()
    }
}
