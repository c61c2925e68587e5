//! The gate of a process, and its metrics.

use std::sync::Arc;

use hollowbarrow_telemetry::MetricsPage;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;

use crate::budget::{DescriptorBudget, MachineMemory};
use crate::gate::{ClientGate, ListenerGate};

/// Name, unit and description of each metric of the gate.
pub const CLIENT_METRICS: &[(&str, &str, &str)] = &[
    ("clients_open", "1", "Open connections of clients, by listener."),
    (
        "clients_closed",
        "1",
        "Connections that had stalled and were closed for others, by listener, since the start.",
    ),
    (
        "clients_refused",
        "1",
        "Connections and requests that were refused since the start for want of memory.",
    ),
    (
        "clients_held_bytes",
        "By",
        "Memory that clients make the process hold: what they have sent and what they have not read.",
    ),
];

/// Admits the connections at all listeners of a process, within the memory and the descriptors that its
/// settings state.
#[derive(Clone, Debug)]
pub struct ProcessGate {
    gate: Arc<ClientGate>,
    memory: MachineMemory,
    descriptors: DescriptorBudget,
}

impl ProcessGate {
    /// Creates the gate of a process on a machine with so many megabytes. The settings may state fewer
    /// descriptors than the operating system allows.
    pub fn new(memory_mb: u32, descriptors: Option<u32>) -> Self {
        let memory = MachineMemory::new(memory_mb);
        let descriptors = DescriptorBudget::of_process(descriptors);
        Self { gate: ClientGate::new(memory.client_bytes()), memory, descriptors }
    }

    /// Returns the memory of the machine.
    pub fn memory(&self) -> MachineMemory {
        self.memory
    }

    /// Returns the gate of the listener for the clients whom the process serves.
    pub fn clients(&self, name: &'static str) -> ListenerGate {
        self.gate.add_listener(name, self.descriptors.clients())
    }

    /// Returns the same for at most so many connections.
    pub fn clients_within(&self, name: &'static str, connections: u32) -> ListenerGate {
        self.gate.add_listener(name, self.descriptors.clients().min(connections))
    }

    /// Returns the gate of a listener for checks or metrics.
    pub fn checks(&self, name: &'static str) -> ListenerGate {
        self.gate.add_listener(name, self.descriptors.checks())
    }

    /// Returns the same for at most so many connections.
    pub fn checks_within(&self, name: &'static str, connections: u32) -> ListenerGate {
        self.gate.add_listener(name, self.descriptors.checks().min(connections))
    }

    /// Returns the gate of the listener for other daemons, until they have authenticated themselves.
    pub fn handshakes(&self) -> ListenerGate {
        self.gate.add_listener("mesh", self.descriptors.handshakes())
    }
}

/// Instruments of the gate's metrics.
pub struct ClientMetrics {
    open: Gauge<u64>,
    closed: Gauge<u64>,
    refused: Gauge<u64>,
    held_bytes: Gauge<u64>,
}

impl ClientMetrics {
    /// Adds the metrics to a page.
    pub fn new(page: &MetricsPage) -> Self {
        let gauge = |name| page.meter().u64_gauge(name).build();
        Self {
            open: gauge("clients_open"),
            closed: gauge("clients_closed"),
            refused: gauge("clients_refused"),
            held_bytes: gauge("clients_held_bytes"),
        }
    }

    /// Records the current values.
    pub fn record(&self, gate: &ProcessGate) {
        let levels = gate.gate.levels();
        for listener in &levels.listeners {
            let name = KeyValue::new("listener", listener.name);
            self.open.record(listener.open as u64, std::slice::from_ref(&name));
            self.closed.record(listener.closed, &[name]);
        }
        self.refused.record(levels.refused, &[]);
        self.held_bytes.record(levels.held_bytes as u64, &[]);
    }
}
