//! Runs controllers and gateways as real processes on addresses of the loopback range.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_member::http::{CallError, call_once};
use hollowbarrow_testkit::{FaultMode, LinkProxy};
use http_body_util::Full;
use hyper::{Method, Request, Response};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::Instant;

/// Timeout of every wait for a condition that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Unit of processor time in the files of the kernel.
const TICKS_PER_SECOND: u64 = 100;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
pub const HOST: &str = "camp.example";
pub const KEY: &str = "key-of-family";

/// Number of controllers of a system, unless its layout says otherwise. Their daemon numbers come
/// first.
pub const CONTROLLERS: usize = 3;
/// Number of zones of a system that is spread over zones.
const ZONES: usize = 3;

/// Composition of a system.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Number of controllers.
    pub controllers: usize,
    /// Number of controllers, counted from the last, that are not started with the others.
    pub spares: usize,
    /// Number of controllers that may be lost at once, with their disks.
    pub losses: u32,
    /// Number of gateways.
    pub gateways: u8,
    /// Whether the daemons are spread over three zones with as many controllers each, instead of
    /// sharing one zone.
    pub zoned: bool,
    /// Whether a proxy runs in front of each daemon's mesh port.
    pub proxied: bool,
    /// Number of controllers that the settings name as seeds, counted from the first. The seeds
    /// found the log.
    pub seeds: usize,
    /// Memory of each daemon's machine in MB, if the settings state it.
    pub memory_mb: Option<u32>,
    /// Descriptors that each daemon may open, if its process has a limit of its own.
    pub descriptors: Option<u32>,
}

impl Layout {
    /// Returns two gateways and the controllers in one zone, without proxies.
    pub fn plain() -> Self {
        Self {
            controllers: CONTROLLERS,
            spares: 0,
            losses: 1,
            gateways: 2,
            zoned: false,
            proxied: false,
            seeds: CONTROLLERS,
            memory_mb: None,
            descriptors: None,
        }
    }

    /// Returns three gateways, each in a zone with one controller, and a proxy in front of each
    /// daemon.
    pub fn zoned_behind_proxies() -> Self {
        Self { gateways: 3, zoned: true, proxied: true, ..Self::plain() }
    }

    /// Returns two gateways and the controllers in one zone, with the first controller as the only
    /// seed.
    pub fn with_one_seed() -> Self {
        Self { seeds: 1, ..Self::plain() }
    }

    /// Returns a number of controllers, of which so many may be lost at once, and one gateway. Three
    /// of the controllers are seeds.
    pub fn with_controllers(controllers: usize, losses: u32) -> Self {
        Self { controllers, losses, gateways: 1, ..Self::plain() }
    }

    /// Returns the zone of a daemon. Daemon numbers start at 1.
    fn zone(self, number: u8) -> &'static str {
        let zones: [_; ZONES] = ["a", "b", "c"];
        let number = usize::from(number - 1);
        let position = number.checked_sub(self.controllers).unwrap_or(number);
        let index = if self.zoned { position % ZONES } else { 0 };
        zones[index]
    }
}

/// A signal sent to a daemon process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Terminates the process immediately.
    Kill,
    /// Asks the process to shut down.
    Terminate,
    /// Suspends the process.
    Stop,
    /// Resumes a suspended process.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Terminate => "TERM",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// One daemon process.
struct Daemon {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    /// Length of the log file when the process was last started.
    log_start: usize,
    descriptors: Option<u32>,
    child: Option<Child>,
}

impl Daemon {
    fn start(&mut self) {
        let written = std::fs::metadata(&self.log).map_or(0, |metadata| metadata.len());
        self.log_start = usize::try_from(written).expect("the log length fits into usize");
        let log = std::fs::File::options().create(true).append(true).open(&self.log);
        let child = self
            .command()
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .stderr(log.expect("the log file can be opened"))
            .stdout(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the binary starts"));
    }

    /// Returns the command of the program; a shell lowers the limit of descriptors, if there is one, and
    /// becomes the program.
    fn command(&self) -> Command {
        let program = env!("CARGO_BIN_EXE_hollowbarrow");
        let Some(descriptors) = self.descriptors else { return Command::new(program) };
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"")).arg(program);
        shell
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let kill = format!("kill -{} {}", signal.name(), child.id());
        let status = Command::new("sh").arg("-c").arg(kill).stderr(Stdio::null()).status();
        status.expect("the shell can be started");
    }

    fn is_running(&mut self) -> bool {
        let exited = |child: &mut Child| child.try_wait().is_ok_and(|status| status.is_some());
        self.child.as_mut().is_some_and(|child| !exited(child))
    }
}

/// A complete system of daemon processes.
pub struct System {
    daemons: Vec<Daemon>,
    pub controllers: Vec<String>,
    pub gateways: Vec<String>,
    readiness: Vec<String>,
    metrics: Vec<String>,
    /// Proxies in front of the daemons, each with the address that its daemon binds. Empty without
    /// proxies.
    links: Vec<(IpAddr, LinkProxy)>,
    #[allow(dead_code, reason = "only tests of crowds look at it")]
    mesh_port: u16,
    folder: TempDir,
}

/// Copies a folder with all that it holds.
fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder can be created");
    for entry in std::fs::read_dir(from).expect("the folder can be read") {
        let entry = entry.expect("the folder can be read");
        let target = to.join(entry.file_name());
        if entry.path().is_dir() {
            copy_folder(&entry.path(), &target);
        } else {
            std::fs::copy(entry.path(), target).expect("a file can be copied");
        }
    }
}

/// Returns distinct free ports. All listeners stay bound until the last port is drawn, since two
/// draws one after the other can return the same port.
pub fn free_ports<const COUNT: usize>() -> [u16; COUNT] {
    let listeners: [TcpListener; COUNT] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a free port exists"));
    listeners.map(|listener| listener.local_addr().expect("the listener is bound").port())
}

/// Returns distinct free ports of which the first is free at each of these addresses too. Daemons
/// behind proxies open connections from their own address; a closed one holds its port there for a
/// minute, also after the process has exited.
fn free_ports_at<const COUNT: usize>(addresses: &[String]) -> [u16; COUNT] {
    loop {
        let ports = free_ports();
        let is_free = |address: &String| TcpListener::bind((address.as_str(), ports[0])).is_ok();
        if addresses.iter().all(is_free) {
            return ports;
        }
    }
}

impl System {
    /// Starts three controllers and two gateways. `block` selects the address range, so that
    /// concurrent tests do not share addresses.
    pub fn start(block: u8) -> Self {
        Self::start_with(block, Layout::plain())
    }

    /// Starts the controllers and the gateways of a layout.
    pub fn start_with(block: u8, layout: Layout) -> Self {
        let folder = tempfile::tempdir().expect("a temporary directory can be created");
        let ip = |number: u8| format!("127.77.{block}.{number}");
        let bind_ip = |number: u8| format!("127.78.{block}.{number}");
        let first_gateway = layout.controllers as u8 + 1;
        let count = layout.controllers as u8 + layout.gateways;
        let bind_ips: Vec<String> = (1..=count).map(bind_ip).collect();
        let [mesh, control, callers, ready, metrics_port] = free_ports_at(&bind_ips);
        let mut links = Vec::new();
        let controllers: Vec<String> =
            (1..first_gateway).map(|n| format!("{}:{control}", ip(n))).collect();
        let gateways: Vec<String> =
            (first_gateway..=count).map(|n| format!("{}:{callers}", ip(n))).collect();
        let readiness: Vec<String> =
            (first_gateway..=count).map(|n| format!("{}:{ready}", ip(n))).collect();
        let metrics: Vec<String> =
            (1..=count).map(|n| format!("{}:{metrics_port}", ip(n))).collect();
        let mut daemons = Vec::new();
        for number in 1..=count {
            let controller = number < first_gateway;
            let mut settings = json!({"name": format!("d{number}"), "zone": layout.zone(number),
                "ip": ip(number), "mesh_port": mesh, "seeds": controllers[..layout.seeds],
                "metrics": metrics[usize::from(number) - 1], "cluster_keys": ["test"], "heartbeat_ms": 200, "found": true,
                "losses": layout.losses});
            if let Some(memory) = layout.memory_mb {
                settings["memory_mb"] = json!(memory);
            }
            if layout.proxied {
                settings["bind_ip"] = json!(bind_ip(number));
                let at = |ip: String| format!("{ip}:{mesh}").parse().expect("the address is valid");
                let (front, target): (SocketAddr, SocketAddr) =
                    (at(ip(number)), at(bind_ip(number)));
                links.push((target.ip(), LinkProxy::start(front, target, number.into())));
            }
            if controller {
                settings["control"] = json!(controllers[usize::from(number) - 1]);
                settings["data"] = json!(folder.path().join(format!("data{number}")));
            } else {
                settings["callers"] = json!(gateways[usize::from(number - first_gateway)]);
                settings["readiness"] = json!(readiness[usize::from(number - first_gateway)]);
            }
            let path = folder.path().join(format!("d{number}.json"));
            std::fs::write(&path, settings.to_string()).expect("settings can be written");
            let mut daemon = Daemon {
                role: if controller { "controller" } else { "gateway" },
                settings: path,
                log: folder.path().join(format!("d{number}.log")),
                log_start: 0,
                descriptors: layout.descriptors,
                child: None,
            };
            let spare = controller && usize::from(number) > layout.controllers - layout.spares;
            if !spare {
                daemon.start();
            }
            daemons.push(daemon);
        }
        Self { daemons, controllers, gateways, readiness, metrics, links, mesh_port: mesh, folder }
    }

    /// Returns the number of daemons. The controllers come first.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Sends a signal to a daemon's process.
    pub fn signal(&self, daemon: usize, signal: Signal) {
        self.daemons[daemon].signal(signal);
    }

    /// Resumes a daemon's process, or starts it again if it has exited. `terminating` states that
    /// it was sent a signal to terminate; the call then waits for the exit first, because a process
    /// that is still shutting down counts as running and would not be started again.
    pub async fn resume_or_restart(&mut self, daemon: usize, terminating: bool) {
        self.signal(daemon, Signal::Continue);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while terminating && self.daemons[daemon].is_running() {
            assert!(Instant::now() < deadline, "daemon {daemon} does not exit: {}", self.logs());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        if !self.daemons[daemon].is_running() {
            self.daemons[daemon].kill();
            self.restart(daemon, false);
        }
    }

    /// Sets the fault mode of the traffic from one daemon to another.
    pub fn set_link(&self, from: usize, to: usize, mode: FaultMode) {
        let (source, _) = self.links[from];
        self.links[to].1.set_mode(source, mode);
    }

    /// Returns the address at which a daemon behind a proxy starts its connections.
    pub fn source(&self, daemon: usize) -> IpAddr {
        self.links[daemon].0
    }

    /// Changes the controllers that a daemon's settings name as seeds. A daemon that runs is not
    /// notified.
    pub fn set_seeds(&self, daemon: usize, seeds: &[usize]) {
        let path = &self.daemons[daemon].settings;
        let text = std::fs::read_to_string(path).expect("settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
        settings["seeds"] = seeds.iter().map(|seed| json!(self.controllers[*seed])).collect();
        std::fs::write(path, settings.to_string()).expect("settings can be written");
    }

    /// Returns a figure in kilobytes of a daemon's process, as the kernel shows it.
    pub fn memory_kb(&self, daemon: usize, name: &str) -> u64 {
        let id = self.daemons[daemon].child.as_ref().expect("the daemon runs").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status"));
        let status = status.expect("the process can be read");
        let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        let value = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        value.expect("the kernel shows the figure")
    }

    /// Returns the processor time that a daemon's process has used.
    pub fn processor_time(&self, daemon: usize) -> Duration {
        let id = self.daemons[daemon].child.as_ref().expect("the daemon runs").id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"));
        let stat = stat.expect("the process can be read");
        // The name in parentheses may hold blanks; user and system time are the 12th and 13th figure
        // after it.
        let rest = stat.rsplit(')').next().unwrap_or_default();
        let ticks = rest.split_whitespace().skip(11).take(2);
        let ticks: u64 = ticks.map(|figure| figure.parse::<u64>().expect("a number")).sum();
        Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
    }

    /// Kills these daemons.
    pub fn kill_all(&mut self, daemons: &[usize]) {
        daemons.iter().for_each(|index| self.daemons[*index].kill());
    }

    /// Kills a controller.
    pub fn kill_controller(&mut self, index: usize) {
        self.daemons[index].kill();
    }

    /// Kills every daemon and starts it again. The daemons in `wiped` start with an empty disk.
    pub fn lose_power(&mut self, wiped: &[usize]) {
        let all: Vec<usize> = (0..self.daemons.len()).collect();
        self.lose_power_of(&all, wiped);
    }

    /// Kills these daemons and starts them again. Those in `wiped` start with an empty disk.
    pub fn lose_power_of(&mut self, daemons: &[usize], wiped: &[usize]) {
        daemons.iter().for_each(|index| self.daemons[*index].kill());
        for index in daemons {
            self.restart(*index, wiped.contains(index));
        }
    }

    /// Starts a controller again, with its data or with an empty disk.
    pub fn restart_controller(&mut self, index: usize, wiped: bool) {
        self.restart(index, wiped);
    }

    /// Copies the data of a stopped controller; returns the folder of the copy.
    pub fn copy_data(&self, index: usize) -> PathBuf {
        let copy = self.folder.path().join(format!("copy{}", index + 1));
        copy_folder(&self.data_folder(index), &copy);
        copy
    }

    /// Replaces the data of a stopped controller by a copy.
    pub fn restore_data(&self, index: usize, copy: &Path) {
        let data = self.data_folder(index);
        std::fs::remove_dir_all(&data).expect("the data can be removed");
        copy_folder(copy, &data);
    }

    fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("data{}", index + 1))
    }

    fn restart(&mut self, index: usize, wiped: bool) {
        let daemon = &mut self.daemons[index];
        // A killed process holds its ports until it has exited.
        daemon.kill();
        let text = std::fs::read_to_string(&daemon.settings).expect("settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
        settings["found"] = json!(false);
        if wiped {
            let data =
                settings["data"].as_str().expect("the settings name a data directory").to_owned();
            if let Err(error) = std::fs::remove_dir_all(data) {
                assert_eq!(error.kind(), std::io::ErrorKind::NotFound, "{error}");
            }
        }
        std::fs::write(&daemon.settings, settings.to_string()).expect("settings can be written");
        daemon.start();
    }

    /// Returns whether a controller, since its last start, has logged that it is a voter with
    /// complete storage.
    pub fn is_voter(&self, index: usize) -> bool {
        self.last_quorum(index).is_some_and(|line| {
            line.contains(&self.mesh_prefix(index)) && line.contains("lost_disk=false")
        })
    }

    /// Returns whether a controller, by its last logged quorum, knows another one as a voter.
    pub fn names_voter(&self, index: usize, voter: usize) -> bool {
        let quorum = self.last_quorum(index).unwrap_or_default();
        let voters = quorum.split(" voters=").nth(1).unwrap_or_default();
        voters.contains(&self.mesh_prefix(voter))
    }

    /// Returns the last quorum that a controller has logged since its last start, if it was not killed
    /// since.
    fn last_quorum(&self, index: usize) -> Option<String> {
        let daemon = &self.daemons[index];
        daemon.child.as_ref()?;
        let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
        let current_log = log.get(daemon.log_start..).unwrap_or_default();
        let last = current_log.lines().rev().find(|line| line.contains("event=quorum"));
        last.map(str::to_owned)
    }

    /// Returns the beginning of a daemon's id.
    fn mesh_prefix(&self, index: usize) -> String {
        format!("{}:", self.ip_of(index))
    }

    fn ip_of(&self, daemon: usize) -> &str {
        self.metrics[daemon].split(':').next().unwrap_or_default()
    }

    /// Returns the metrics page of a daemon.
    pub async fn metrics(&self, daemon: usize) -> String {
        self.try_metrics(daemon).await.expect("the metrics page is served")
    }

    /// Returns the metrics page of a daemon, or `None` while the daemon does not answer.
    async fn try_metrics(&self, daemon: usize) -> Option<String> {
        let address = &self.metrics[daemon];
        let request = Request::builder()
            .uri("/metrics")
            .header("host", address)
            .body(Full::new(Bytes::new()))
            .expect("the request is valid");
        let answer = call_once(address, request, CALL_TIMEOUT).await.ok()?;
        Some(String::from_utf8_lossy(answer.body()).into_owned())
    }

    /// Returns whether the metrics page of a daemon contains a line, given without the product
    /// prefix.
    pub async fn has_metric(&self, daemon: usize, line: &str) -> bool {
        self.has_metrics(daemon, &[line]).await
    }

    /// Returns whether the metrics page of a daemon contains all the lines, given without the
    /// product prefix.
    pub async fn has_metrics(&self, daemon: usize, lines: &[&str]) -> bool {
        self.has_each_metric(daemon, lines).await.into_iter().all(|shown| shown)
    }

    /// Returns for each line, given without the product prefix, whether the metrics page of a daemon
    /// contains it. All are looked up in the same page.
    pub async fn has_each_metric(&self, daemon: usize, lines: &[&str]) -> Vec<bool> {
        let metrics = self.try_metrics(daemon).await.unwrap_or_default();
        let shown: Vec<&str> =
            metrics.lines().filter_map(|line| line.strip_prefix("hollowbarrow_")).collect();
        lines.iter().map(|line| shown.contains(line)).collect()
    }

    /// Returns the configuration version that a gateway uses; 0 if it has none or does not answer.
    pub async fn version_at(&self, gateway: usize) -> u64 {
        self.metric(self.controllers.len() + gateway, "gateway_configuration_version")
            .await
            .unwrap_or(0)
    }

    /// Returns the value of a metric of a daemon, named without the product prefix; `None` if the
    /// daemon does not show it or does not answer.
    pub async fn metric(&self, daemon: usize, name: &str) -> Option<u64> {
        let metrics = self.try_metrics(daemon).await?;
        let value = |line: &str| {
            line.strip_prefix("hollowbarrow_")?.strip_prefix(name)?.strip_prefix(' ')?.parse().ok()
        };
        metrics.lines().find_map(value)
    }

    /// Returns the logs of all daemons, for failure messages.
    pub fn logs(&self) -> String {
        let read = |daemon: &Daemon| std::fs::read_to_string(&daemon.log).unwrap_or_default();
        self.daemons.iter().map(read).collect::<Vec<_>>().join("\n----\n")
    }

    /// Waits until a daemon has logged a line with this text. Lines are written some time after their
    /// event.
    pub async fn wait_for_log(&self, text: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !self.logs().contains(text) {
            assert!(Instant::now() < deadline, "{text} is not logged: {}", self.logs());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Replaces the configuration at the first controller that accepts or rejects it, and returns
    /// the status of that answer.
    pub async fn replace(&self, configuration: &Value) -> u16 {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let body = Bytes::from(configuration.to_string());
        loop {
            for controller in &self.controllers {
                let status = replace_at(controller, &body).await;
                if status == 200 || status == 400 {
                    return status;
                }
            }
            assert!(
                Instant::now() < deadline,
                "no controller accepts the configuration: {}",
                self.logs()
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Returns the configuration from the first controller that can confirm it.
    pub async fn fetch(&self) -> Value {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            for controller in &self.controllers {
                if let Some(configuration) = fetch_at(controller).await {
                    return configuration;
                }
            }
            assert!(
                Instant::now() < deadline,
                "no controller confirms the configuration: {}",
                self.logs()
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until every gateway reports that it is ready.
    pub async fn wait_ready(&self) {
        for address in &self.readiness {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            while self.readiness_status(address).await != 200 {
                assert!(Instant::now() < deadline, "{address} is not ready: {}", self.logs());
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    async fn readiness_status(&self, address: &str) -> u16 {
        let request = Request::builder()
            .uri("/-/readyz")
            .header("host", address)
            .body(Full::new(Bytes::new()))
            .expect("the request is valid");
        let answer = call_once(address, request, CALL_TIMEOUT).await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    /// Sends a request to a gateway.
    pub async fn call(
        &self,
        gateway: usize,
        path: &str,
        id: &str,
        key: Option<&str>,
    ) -> Result<Response<Bytes>, CallError> {
        call_gateway(&self.gateways[gateway], path, id, key).await
    }

    /// Sends a request with the given body to a gateway.
    pub async fn call_with_body(
        &self,
        gateway: usize,
        path: &str,
        id: &str,
        key: Option<&str>,
        body: &'static [u8],
    ) -> Result<Response<Bytes>, CallError> {
        call_gateway_with_body(&self.gateways[gateway], path, id, key, body).await
    }

    /// Sends requests to all gateways in turn until one is answered with 200, and returns its body.
    pub async fn call_until_served(&self, path: &str, name: &str) -> Bytes {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        self.call_some_until_served(&all, path, name).await
    }

    /// Sends requests to one gateway until one is answered with 200, and returns its body.
    pub async fn call_gateway_until_served(&self, gateway: usize, path: &str, name: &str) -> Bytes {
        self.call_some_until_served(&[gateway], path, name).await
    }

    async fn call_some_until_served(&self, gateways: &[usize], path: &str, name: &str) -> Bytes {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut number = 0;
        loop {
            number += 1;
            let id = format!("{name}-{number}");
            let gateway = gateways[number % gateways.len()];
            if let Ok(answer) = self.call(gateway, path, &id, Some(KEY)).await
                && answer.status().as_u16() == 200
            {
                return answer.into_body();
            }
            assert!(Instant::now() < deadline, "{path} is not served: {}", self.logs());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

#[allow(dead_code, reason = "only tests of crowds look at these")]
impl System {
    /// Returns the number of descriptors that a daemon's process has open.
    pub fn open_descriptors(&self, daemon: usize) -> usize {
        let id = self.daemons[daemon].child.as_ref().expect("the daemon runs").id();
        let open = std::fs::read_dir(format!("/proc/{id}/fd"));
        open.expect("the process can be read").count()
    }

    /// Returns whether a daemon's process still runs.
    pub fn is_running(&mut self, daemon: usize) -> bool {
        self.daemons[daemon].is_running()
    }

    /// Returns the address at which a daemon's metrics are served.
    pub fn metrics_address(&self, daemon: usize) -> &str {
        &self.metrics[daemon]
    }

    /// Returns the address at which a daemon listens for other daemons.
    pub fn mesh_address(&self, daemon: usize) -> String {
        format!("{}:{}", self.ip_of(daemon), self.mesh_port)
    }

    /// Returns the address at which a gateway's readiness is checked.
    pub fn readiness_address(&self, gateway: usize) -> &str {
        &self.readiness[gateway]
    }
}

/// Replaces the configuration at one controller. Returns the status, or 0 without an answer.
pub async fn replace_at(controller: &str, body: &Bytes) -> u16 {
    let request = Request::builder()
        .method(Method::POST)
        .uri("/-/config/replace")
        .header("host", controller)
        .body(Full::new(body.clone()))
        .expect("the request is valid");
    let answer = call_once(controller, request, CALL_TIMEOUT).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

/// Returns the configuration from one controller, if the controller can confirm it.
pub async fn fetch_at(controller: &str) -> Option<Value> {
    let request = Request::builder()
        .uri("/-/config/fetch")
        .header("host", controller)
        .body(Full::new(Bytes::new()))
        .expect("the request is valid");
    let answer = call_once(controller, request, CALL_TIMEOUT).await.ok()?;
    let confirmed = answer.status().as_u16() == 200;
    confirmed.then(|| serde_json::from_slice(answer.body()).expect("the configuration is JSON"))
}

/// Sends a request to the gateway at an address.
pub async fn call_gateway(
    address: &str,
    path: &str,
    id: &str,
    key: Option<&str>,
) -> Result<Response<Bytes>, CallError> {
    call_gateway_with_body(address, path, id, key, b"{}").await
}

/// Sends a request with the given body to the gateway at an address.
pub async fn call_gateway_with_body(
    address: &str,
    path: &str,
    id: &str,
    key: Option<&str>,
    body: &'static [u8],
) -> Result<Response<Bytes>, CallError> {
    send_to_gateway(address, path, id, key, None, body).await
}

/// Sends a request whose prompt has these parts to the gateway at an address.
pub async fn call_gateway_with_parts(
    address: &str,
    path: &str,
    id: &str,
    key: &str,
    parts: &str,
) -> Result<Response<Bytes>, CallError> {
    send_to_gateway(address, path, id, Some(key), Some(parts), b"{}").await
}

async fn send_to_gateway(
    address: &str,
    path: &str,
    id: &str,
    key: Option<&str>,
    parts: Option<&str>,
    body: &'static [u8],
) -> Result<Response<Bytes>, CallError> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", HOST)
        .header("request-id", id)
        .header("model", "m")
        .header("token-usage", "100,200")
        .header("deadline-ms", "8000");
    if let Some(key) = key {
        request = request.header("api-key", key);
    }
    if let Some(parts) = parts {
        request = request.header("prefix-hash", parts);
    }
    let request = request.body(Full::new(Bytes::from_static(body))).expect("the request is valid");
    call_once(address, request, CALL_TIMEOUT).await
}

impl Drop for System {
    fn drop(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::kill);
    }
}

/// Returns a configuration with a streaming route, a plain route and one tenant.
pub fn configuration(version: u64) -> Value {
    json!({"version": version,
        "routes": [
            {"name": "chat", "host": HOST, "path_prefix": "/chat/", "kind": "streaming",
             "timeout_ms": 8000, "target_latency_ms": 300, "priority": 1, "service": "models",
             "max_attempts": 3, "stream_resume": true, "gap_target_ms": 300},
            {"name": "hold", "host": HOST, "path_prefix": "/hold/", "kind": "non_idempotent",
             "timeout_ms": 4000, "target_latency_ms": 100, "priority": 2, "service": "bookings",
             "max_attempts": 1}],
        "services": [
            {"name": "models", "health_path": "/healthz", "max_conns": 100,
             "engine": {"slots": 8, "kv_capacity_tokens": 100000, "stride": 7, "step_ms": 2.0,
                "per_seq_ms": 0.05, "read_per_s": 50000.0, "loads_per_s": 10.0,
                "loads_at_once": 9, "form_ms": 50.0, "far_x": 2.5,
                "models": [{"name": "m", "size": 3, "share": 1.0, "pace": 1.0,
                            "load_s": 0.1, "warm_s": 0.1}]}},
            {"name": "bookings", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4096,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "family", "api_keys": [KEY], "priority": 1}]})
}
