//! Clusters of daemon processes, with a fault-injecting proxy on each link.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

use hollowbarrow_schema::{NodeId, ZoneId, keys};
use hyper::Method;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::Instant;

use crate::caller::{CallReply, CallerCall};
use crate::fleet::{FleetConfig, StandinFleet};
use crate::proxy::{FaultMode, FaultProxy};

/// API key of the callers of a test cluster.
pub const CALLER_KEY: &str = "test-caller-key";
/// API key of the operators of a test cluster.
pub const OPERATOR_KEY: &str = "test-operator-key";
/// Time within which a cluster must reach an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of voters of a cluster.
const MAX_VOTERS: u32 = 5;
/// Maximum number of clusters that run concurrently in one process.
const MAX_CLUSTERS: u32 = 3;
/// Interval between two reads of a cluster's state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Daemons of a cluster, their settings and how they are started.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    program: PathBuf,
    arguments: Vec<String>,
    zones: Vec<(ZoneId, u32)>,
    fleet: FleetConfig,
    timing: Value,
    limits: Value,
    seed: u64,
    file_blocks: BTreeMap<String, u32>,
    proxies: bool,
}

impl ClusterConfig {
    /// Creates a cluster with a number of daemons in each zone. The first daemon of each zone is a
    /// voter with a data folder, up to five in all.
    ///
    /// The program is started with the arguments, followed by the path of a settings file.
    pub fn new(
        program: &Path,
        arguments: &[&str],
        zones: &[(ZoneId, u32)],
        fleet: FleetConfig,
    ) -> Self {
        Self {
            program: program.to_owned(),
            arguments: arguments.iter().map(|argument| (*argument).to_owned()).collect(),
            zones: zones.to_vec(),
            fleet,
            timing: json!({"probe_ms": 150, "digest_ms": 150, "lease_ms": 900, "election_ms": 400,
                "authority_ms": 800, "platform_ms": 500, "balancer_ms": 300, "drain_ms": 10_000}),
            limits: json!({}),
            seed: 1,
            file_blocks: BTreeMap::new(),
            proxies: true,
        }
    }

    /// Sets the timing settings of the daemons.
    pub fn with_timing(mut self, timing: Value) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the limit settings of the daemons.
    pub fn with_limits(mut self, limits: Value) -> Self {
        self.limits = limits;
        self
    }

    /// Limits the size of files that a daemon can write, in blocks of 512 bytes, to simulate a full
    /// disk.
    pub fn with_file_blocks(mut self, id: &str, blocks: u32) -> Self {
        self.file_blocks.insert(id.to_owned(), blocks);
        self
    }

    /// Sets whether links go through proxies; without them, a machine can run more daemons.
    pub fn with_proxies(mut self, proxies: bool) -> Self {
        self.proxies = proxies;
        self
    }

    /// Sets the seed of the faults that the proxies inject.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// Environment variable with a folder to which the daemons' logs are copied when a cluster is
/// dropped.
const KEEP_LOGS: &str = "HOLLOWBARROW_KEEP_LOGS";
/// Shell script that runs a program with a limit on the size of files that it can write.
const FULL_DISK_SCRIPT: &str = "trap '' XFSZ; ulimit -f \"$1\"; shift; exec \"$@\"";

/// Number of running clusters of this process, and a signal that one was dropped.
static RUNNING: (Mutex<u32>, Condvar) = (Mutex::new(0), Condvar::new());

/// Permit to run a cluster. More clusters at once would starve each other of processor time, so
/// that leases would expire without a fault in the daemons.
struct ClusterSlot;

impl ClusterSlot {
    fn acquire() -> Self {
        let (running, released) = &RUNNING;
        let mut count = running.lock().expect("the mutex is not poisoned");
        while *count >= MAX_CLUSTERS {
            count = released.wait(count).expect("the mutex is not poisoned");
        }
        *count += 1;
        Self
    }
}

impl Drop for ClusterSlot {
    fn drop(&mut self) {
        let (running, released) = &RUNNING;
        *running.lock().expect("the mutex is not poisoned") -= 1;
        released.notify_one();
    }
}

struct DaemonProcess {
    id: String,
    zone: ZoneId,
    settings: PathBuf,
    data: Option<PathBuf>,
    log: PathBuf,
    callers: SocketAddr,
    operators: SocketAddr,
    child: Option<Child>,
}

/// A running cluster of daemons with its stand-in upstreams and proxies.
pub struct Cluster {
    config: ClusterConfig,
    folder: TempDir,
    daemons: Vec<DaemonProcess>,
    links: BTreeMap<(String, String), FaultProxy>,
    node_proxies: BTreeMap<(ZoneId, NodeId), FaultProxy>,
    fleet: StandinFleet,
    _slot: ClusterSlot,
}

/// Returns a loopback address that no other listener of this process uses. Processes get different
/// addresses unless their IDs are equal modulo 200.
///
/// Outgoing connections use 127.0.0.1 as their source, so that none of them can occupy a port of
/// this address while its daemon is not running.
fn unused_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = 1 + std::process::id() % 200;
    let [_, _, high, low] = number.to_be_bytes();
    Ipv4Addr::new(127, u8::try_from(process).unwrap_or(1), high, low)
}

/// Returns an address with a port that is free at the time of the call.
fn free_port(address: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((address, 0)).expect("a free local port can be bound");
    listener.local_addr().expect("a bound socket has an address")
}

impl Cluster {
    /// Starts the stand-ins and proxies on the current runtime, and the daemons as processes.
    pub fn start(config: ClusterConfig) -> Self {
        let slot = ClusterSlot::acquire();
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let fleet = StandinFleet::start(&config.fleet);
        let mut cluster = Self {
            config,
            folder,
            daemons: Vec::new(),
            links: BTreeMap::new(),
            node_proxies: BTreeMap::new(),
            fleet,
            _slot: slot,
        };
        cluster.build();
        for position in 0..cluster.daemons.len() {
            cluster.spawn(position);
        }
        cluster
    }

    fn build(&mut self) {
        let seed = self.config.seed;
        let mut peers = Vec::new();
        let mut voters = 0;
        for (zone, count) in &self.config.zones {
            for number in 0..*count {
                let listen = free_port(unused_address());
                let voter = number == 0 && voters < MAX_VOTERS;
                voters += u32::from(voter);
                peers.push((format!("{}{number}", **zone), zone.clone(), listen, voter));
            }
        }
        for (zone, _) in &self.config.zones {
            for node in self.fleet.model_nodes().into_iter().chain(self.fleet.service_nodes()) {
                let Some(address) = self.fleet.address(&node) else { continue };
                if self.config.proxies && self.fleet.zone(&node).as_ref() != Some(zone) {
                    let proxy = FaultProxy::start(address, seed);
                    self.fleet.override_address(zone, &node, proxy.address());
                    self.node_proxies.insert((zone.clone(), node), proxy);
                }
            }
        }
        for (id, zone, listen, voter) in &peers {
            let mut peer_settings = Vec::new();
            for (other, other_zone, address, other_voter) in &peers {
                let reached = if other == id || !self.config.proxies {
                    *address
                } else {
                    let proxy = FaultProxy::start(*address, seed ^ peer_settings.len() as u64);
                    self.links.insert((id.clone(), other.clone()), proxy.clone());
                    proxy.address()
                };
                peer_settings.push(json!({"id": other, "zone": **other_zone,
                    "address": reached.to_string(), "voter": other_voter}));
            }
            let data = voter.then(|| self.folder.path().join(id));
            let daemon = DaemonProcess {
                id: id.clone(),
                zone: zone.clone(),
                settings: self.folder.path().join(format!("{id}.jsonc")),
                data: data.clone(),
                log: self.folder.path().join(format!("{id}.log")),
                callers: free_port(unused_address()),
                operators: free_port(unused_address()),
                child: None,
            };
            let settings = json!({
                "id": id, "zone": **zone, "listen": daemon.callers.to_string(),
                "operator_listen": daemon.operators.to_string(), "peer_listen": listen.to_string(),
                "data": data.map(|data| data.to_string_lossy().into_owned()),
                "peers": peer_settings,
                "cluster_keys": ["test-cluster-key-1"],
                "platform": self.fleet.platform_url_for(zone),
                "organisations": [{"id": "campers", "keys": [{"sha256": keys::hash_key(CALLER_KEY)}],
                    "tokens_per_second": 10_000_000, "concurrent": 100_000}],
                "operators": [{"name": "tests", "keys": [{"sha256": keys::hash_key(OPERATOR_KEY)}]}],
                "routes": [
                    {"path": "/pitches", "service": "booking", "urgency": "urgent"},
                    {"path": "/holds", "service": "booking", "urgency": "urgent",
                        "not_repeatable": true, "timeout_ms": 8000}],
                "timing": self.config.timing, "limits": self.config.limits,
            });
            std::fs::write(&daemon.settings, settings.to_string())
                .expect("the temporary folder is writable");
            self.daemons.push(daemon);
        }
    }

    fn spawn(&mut self, position: usize) {
        let daemon = &mut self.daemons[position];
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&daemon.log)
            .expect("the temporary folder is writable");
        let mut command = match self.config.file_blocks.get(&daemon.id) {
            Some(blocks) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", FULL_DISK_SCRIPT, "sh", &blocks.to_string()]);
                shell.arg(&self.config.program);
                shell
            }
            None => Command::new(&self.config.program),
        };
        let child = command
            .args(&self.config.arguments)
            .arg(&daemon.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon's program can be started");
        daemon.child = Some(child);
    }

    /// Returns the stand-in upstreams.
    pub fn fleet(&self) -> &StandinFleet {
        &self.fleet
    }

    /// Returns the IDs of all daemons.
    pub fn ids(&self) -> Vec<String> {
        self.daemons.iter().map(|daemon| daemon.id.clone()).collect()
    }

    /// Returns the IDs of the daemons of a zone.
    pub fn ids_in(&self, zone: &ZoneId) -> Vec<String> {
        self.daemons.iter().filter(|d| d.zone == *zone).map(|d| d.id.clone()).collect()
    }

    fn position(&self, id: &str) -> usize {
        self.daemons
            .iter()
            .position(|daemon| daemon.id == id)
            .expect("the cluster has a daemon with this ID")
    }

    /// Returns the address on which a daemon accepts callers.
    pub fn caller_address(&self, id: &str) -> SocketAddr {
        self.daemons[self.position(id)].callers
    }

    /// Returns the address of a daemon's operator API.
    pub fn operator_address(&self, id: &str) -> SocketAddr {
        self.daemons[self.position(id)].operators
    }

    /// Returns whether a daemon has a process, running or paused.
    pub fn is_running(&self, id: &str) -> bool {
        self.daemons[self.position(id)].child.is_some()
    }

    /// Returns the process ID of a daemon.
    pub fn pid(&self, id: &str) -> Option<u32> {
        self.daemons[self.position(id)].child.as_ref().map(Child::id)
    }

    /// Returns the log of a daemon.
    pub fn log(&self, id: &str) -> String {
        std::fs::read_to_string(&self.daemons[self.position(id)].log).unwrap_or_default()
    }

    /// Returns the data folder of a daemon, if it has one.
    pub fn data_folder(&self, id: &str) -> Option<&Path> {
        self.daemons[self.position(id)].data.as_deref()
    }

    /// Kills a daemon.
    pub fn kill(&mut self, id: &str) {
        let position = self.position(id);
        if let Some(mut child) = self.daemons[position].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a daemon that was killed or stopped.
    pub fn restart(&mut self, id: &str) {
        let position = self.position(id);
        if self.daemons[position].child.is_none() {
            self.spawn(position);
        }
    }

    fn signal(&self, id: &str, signal: &str) {
        if let Some(pid) = self.pid(id) {
            let _ = Command::new("kill").args([signal, &pid.to_string()]).status();
        }
    }

    /// Suspends a daemon's process.
    pub fn pause(&self, id: &str) {
        self.signal(id, "-STOP");
    }

    /// Resumes a paused daemon.
    pub fn resume(&self, id: &str) {
        self.signal(id, "-CONT");
    }

    /// Sends a daemon `SIGTERM`, waits until it exits and returns its exit code.
    pub async fn stop(&mut self, id: &str) -> Option<i32> {
        self.signal(id, "-TERM");
        let position = self.position(id);
        let mut child = self.daemons[position].child.take()?;
        let exited = tokio::task::spawn_blocking(move || child.wait()).await.ok()?.ok()?;
        exited.code()
    }

    /// Changes the fault mode of the link from one daemon to another.
    pub fn set_link(&self, from: &str, to: &str, mode: FaultMode) {
        if let Some(proxy) = self.links.get(&(from.to_owned(), to.to_owned())) {
            proxy.set_mode(mode);
        }
    }

    /// Changes the fault mode of all links from and to a daemon.
    pub fn set_daemon_links(&self, id: &str, mode: FaultMode) {
        for other in self.ids() {
            self.set_link(id, &other, mode);
            self.set_link(&other, id, mode);
        }
    }

    /// Changes the fault mode of all links between daemons.
    pub fn set_all_links(&self, mode: FaultMode) {
        self.links.values().for_each(|proxy| proxy.set_mode(mode));
    }

    /// Changes the fault mode of all links from a zone's daemons to nodes of other zones.
    pub fn set_node_links(&self, zone: &ZoneId, mode: FaultMode) {
        let from_zone = self.node_proxies.iter().filter(|((from, _), _)| from == zone);
        from_zone.for_each(|(_, proxy)| proxy.set_mode(mode));
    }

    /// Changes the fault mode of all links between a zone and other zones, links to nodes included.
    pub fn set_zone_links(&self, zone: &ZoneId, mode: FaultMode) {
        let inside = self.ids_in(zone);
        for ((from, to), proxy) in &self.links {
            if inside.contains(from) != inside.contains(to) {
                proxy.set_mode(mode);
            }
        }
        for ((from, node), proxy) in &self.node_proxies {
            if from == zone || self.fleet.zone(node).as_ref() == Some(zone) {
                proxy.set_mode(mode);
            }
        }
    }

    /// Sends a request to a daemon's operator API.
    pub async fn call_operator_api(
        &self,
        id: &str,
        method: Method,
        path: &str,
        body: &Value,
    ) -> CallReply {
        let address = self.daemons[self.position(id)].operators;
        let text = if body.is_null() { String::new() } else { body.to_string() };
        CallerCall::new(method, path, OPERATOR_KEY)
            .with_body(&text)
            .with_timeout(Duration::from_secs(12))
            .send(address)
            .await
    }

    /// Reads a path of a daemon's operator API; returns null if it does not respond within 500 ms.
    pub async fn read_operator_api(&self, id: &str, path: &str) -> Value {
        let address = self.daemons[self.position(id)].operators;
        let call = CallerCall::new(Method::GET, path, OPERATOR_KEY)
            .with_timeout(Duration::from_millis(500));
        let reply = call.send(address).await;
        serde_json::from_str(&reply.body).unwrap_or_default()
    }

    /// Submits a change through a daemon and retries while the daemon cannot be reached or answers
    /// 503 or 504.
    pub async fn submit_change(&self, id: &str, change_id: &str, command: &Value) -> CallReply {
        let body = json!({"id": change_id, "author": "tests", "command": command});
        let started = Instant::now();
        loop {
            let reply = self.call_operator_api(id, Method::POST, "/changes", &body).await;
            let retry = matches!(reply.status, 0 | 503 | 504);
            if !retry || started.elapsed() > STATE_TIMEOUT {
                return reply;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Labels all model nodes as given to hollowbarrow.
    pub async fn label_all_nodes(&self) {
        let first = self.ids()[0].clone();
        for node in self.fleet.model_nodes() {
            let command =
                json!({"change_labels": {"node": *node, "set": {"given": "hollowbarrow"}}});
            let reply = self.submit_change(&first, &format!("label {}", *node), &command).await;
            assert_eq!(reply.status, 200, "the label change was refused: {}", reply.body);
        }
    }

    /// Returns the number of a group's serving replicas that a daemon reports.
    pub async fn serving_count(&self, id: &str, group: &str) -> u64 {
        let groups = self.read_operator_api(id, "/groups").await;
        let found = groups.as_array().into_iter().flatten().find(|g| g["spec"]["name"] == group);
        found.and_then(|group| group["serving"].as_u64()).unwrap_or(0)
    }

    /// Waits until a daemon reports a number of serving replicas of a group; returns false on
    /// timeout.
    pub async fn wait_serving(&self, id: &str, group: &str, expected: u64) -> bool {
        let started = Instant::now();
        while self.serving_count(id, group).await != expected {
            if started.elapsed() > STATE_TIMEOUT {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Waits until all daemons answer that they are ready.
    pub async fn wait_ready(&self) {
        for id in self.ids() {
            let started = Instant::now();
            loop {
                let call = CallerCall::new(Method::GET, "/ready", CALLER_KEY)
                    .with_timeout(Duration::from_secs(1));
                if call.send(self.caller_address(&id)).await.status == 200 {
                    break;
                }
                assert!(
                    started.elapsed() < STATE_TIMEOUT,
                    "{id} did not become ready: {}",
                    self.log(&id)
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Returns the zone and the members of a group's serving replicas that a daemon reports.
    pub async fn serving_replicas(&self, id: &str, group: &str) -> Vec<(String, Vec<String>)> {
        let explained = self.read_operator_api(id, &format!("/explain/{group}")).await;
        let replicas = explained["replicas"].as_array().cloned().unwrap_or_default();
        replicas
            .iter()
            .filter(|replica| replica["state"] == "serving")
            .map(|replica| {
                let members = replica["members"].as_array().cloned().unwrap_or_default();
                let members = members.iter().filter_map(|m| m.as_str().map(str::to_owned));
                (replica["zone"].as_str().unwrap_or_default().to_owned(), members.collect())
            })
            .collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        // Keeps the logs for the analysis of failed tests.
        if let Some(log_folder) = std::env::var_os(KEEP_LOGS) {
            let log_folder = Path::new(&log_folder);
            let _ = std::fs::create_dir_all(log_folder);
            for daemon in &self.daemons {
                let _ = std::fs::copy(&daemon.log, log_folder.join(format!("{}.log", daemon.id)));
            }
        }
    }
}
