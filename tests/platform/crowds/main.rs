//! Crowds of clients outside the limits, against real processes: none ends, each stays within its memory
//! and its descriptors, and ordinary callers are answered.

mod callers;
mod client;
mod connections;
mod control;
mod heads;
mod serve;
#[allow(dead_code, reason = "other tests use the rest")]
#[path = "../system.rs"]
mod system;
mod worker;

use std::time::Duration;

use client::{ClientScript, Crowd};
use serde_json::{Value, json};
use system::{CONTROLLERS, Layout, System, configuration};
use tokio::sync::{Mutex, MutexGuard};
use worker::{ANSWER, start_worker};

/// Memory of each machine, as its settings state it.
const MEMORY_MB: u32 = 96;
/// Descriptors of each process.
const DESCRIPTORS: u32 = 256;
/// Largest body of a caller.
const BODY_BYTES: usize = 4 << 20;
/// Time limit of requests.
const ROUTE_TIMEOUT_MS: u64 = 60_000;
/// Time for which a crowd presses before anything is checked, and for which one does that sends bodies in
/// chunks of one byte.
const CROWD_TIME: Duration = Duration::from_secs(6);
const SMALL_CHUNK_TIME: Duration = Duration::from_secs(25);

/// Time limit of one answer that must come, far longer than it takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Held by the test that runs, since crowds must not press on each other's machine.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// A system of three controllers, two gateways and two workers.
struct Deployment {
    system: System,
    _running: MutexGuard<'static, ()>,
}

/// Returns the configuration of a system, with these limits and a route that allows slow requests.
fn limited_configuration(limits: &Value) -> Value {
    let mut configuration = configuration(3);
    configuration["limits"] = limits.clone();
    configuration["routes"][1]["timeout_ms"] = ROUTE_TIMEOUT_MS.into();
    configuration
}

fn default_limits() -> Value {
    json!({"max_header_bytes": 16384, "max_body_bytes": BODY_BYTES, "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000})
}

impl Deployment {
    async fn start(block: u8) -> Self {
        Self::start_with(block, &default_limits()).await
    }

    async fn start_with(block: u8, limits: &Value) -> Self {
        let running = RUNNING.lock().await;
        let layout = Layout {
            memory_mb: Some(MEMORY_MB),
            descriptors: Some(DESCRIPTORS),
            ..Layout::plain()
        };
        let system = System::start_with(block, layout);
        start_worker(&system.controllers, "w0").await;
        start_worker(&system.controllers, "w1").await;
        assert_eq!(system.replace(&limited_configuration(limits)).await, 200);
        system.wait_ready().await;
        let deployment = Self { system, _running: running };
        deployment.assert_ordinary_served().await;
        deployment
    }

    /// Lets a crowd press on an address of a daemon, and checks the daemon while the crowd stays and
    /// after it has left.
    async fn withstand(
        &mut self,
        daemon: usize,
        address: &str,
        (clients, time): (usize, Duration),
        script: &ClientScript,
    ) {
        let crowd = Crowd::start(address, clients, script);
        tokio::time::sleep(time).await;
        let connected = crowd.connected();
        println!("{clients} clients opened {connected} connections");
        self.assert_ordinary_served().await;
        self.assert_within_bounds(daemon);
        crowd.leave().await;
        self.assert_ordinary_served().await;
        self.assert_within_bounds(daemon);
    }

    /// Checks that each gateway serves a request of an ordinary caller.
    async fn assert_ordinary_served(&self) {
        for gateway in 0..self.system.gateways.len() {
            let name = format!("ordinary-{:08x}", rand::random::<u32>());
            let body = self.system.call_gateway_until_served(gateway, "/hold/1", &name).await;
            assert_eq!(body, ANSWER);
        }
    }

    fn assert_within_bounds(&mut self, daemon: usize) {
        for index in 0..self.system.daemon_count() {
            assert!(self.system.is_running(index), "daemon {index} ended: {}", self.system.logs());
        }
        let peak_kb = self.system.memory_kb(daemon, "VmHWM");
        let now_kb = self.system.memory_kb(daemon, "VmRSS");
        let descriptors = self.system.open_descriptors(daemon);
        println!("peak {peak_kb} KB, now {now_kb} KB, {descriptors} descriptors");
        assert!(peak_kb <= u64::from(MEMORY_MB) << 10, "{peak_kb} KB were resident");
        assert!(descriptors < DESCRIPTORS as usize, "all {descriptors} descriptors are open");
    }
}

/// Returns the daemon number of a gateway.
fn gateway_daemon(gateway: usize) -> usize {
    CONTROLLERS + gateway
}
