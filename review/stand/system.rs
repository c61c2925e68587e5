//! The processes of a small system, its operator, and the record of a run.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, call, wire};

pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Returns the first time of a heartbeat that is not before this one.
    pub fn next_beat(&self, at: Instant) -> Instant {
        let passed = at.saturating_duration_since(self.start).as_secs_f64();
        let number = (passed / HEARTBEAT.as_secs_f64()).ceil();
        self.start + HEARTBEAT.mul_f64(number)
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// One process of the system.
pub struct Daemon {
    pub role: &'static str,
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

/// How large a system is, and what its settings say.
pub struct Layout {
    /// Number of controllers, with those that are added later.
    pub controllers: u8,
    pub gateways: u8,
    pub zones: Vec<&'static str>,
}

/// The processes of a system on loopback addresses.
pub struct System {
    folder: PathBuf,
    layout: Layout,
    net: (u8, u8),
    mesh: u16,
    control: u16,
    front: u16,
    check: u16,
    pub daemons: Vec<Daemon>,
    pub record: Record,
}

fn free_port(ips: &[Ipv4Addr]) -> u16 {
    loop {
        let first = TcpListener::bind((ips[0], 0)).expect("a free port");
        let port = first.local_addr().unwrap().port();
        if ips[1..].iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
}

/// Returns the command of a role in the deploy file.
fn command_of(role: &str) -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let section = text.split(&format!("[roles.{role}]")).nth(1).expect("the role");
    let line = section.lines().find(|line| line.trim().starts_with("run")).expect("its command");
    let run = line.split('"').nth(1).expect("its command");
    run.split(' ').map(str::to_owned).collect()
}

impl System {
    pub fn new(folder: &Path, layout: Layout, record: Record) -> Self {
        let pid = std::process::id();
        let net = (100 + (pid % 100) as u8, (pid / 100 % 250) as u8);
        let count = layout.controllers + layout.gateways;
        let ips: Vec<Ipv4Addr> = (1..=count).map(|n| Ipv4Addr::new(127, net.0, net.1, n)).collect();
        let mesh = free_port(&ips);
        let mut ports = [0; 3];
        for index in 0..3 {
            loop {
                ports[index] = free_port(&ips);
                if ports[index] != mesh && !ports[..index].contains(&ports[index]) {
                    break;
                }
            }
        }
        let [control, front, check] = ports;
        let (folder, daemons) = (folder.to_owned(), Vec::new());
        Self { folder, layout, net, mesh, control, front, check, daemons, record }
    }

    fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, number)
    }

    /// Returns an address for a stand-in of a worker.
    pub fn worker_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, 100 + number)
    }

    pub fn zone(&self, index: usize) -> &'static str {
        self.layout.zones[index % self.layout.zones.len()]
    }

    pub fn controllers(&self) -> Vec<SocketAddr> {
        let numbers = 1..=self.layout.controllers;
        numbers.map(|number| (self.ip(number), self.control).into()).collect()
    }

    pub fn gateways(&self) -> Vec<SocketAddr> {
        let first = self.layout.controllers + 1;
        let numbers = first..first + self.layout.gateways;
        numbers.map(|number| (self.ip(number), self.front).into()).collect()
    }

    /// Starts all processes with the settings of a first start.
    pub fn start(&mut self) {
        self.prepare();
        for index in 0..self.daemons.len() {
            self.start_daemon(index);
        }
    }

    /// Writes the settings of a first start for all processes.
    pub fn prepare(&mut self) {
        let controllers = self.layout.controllers;
        for number in 1..=controllers + self.layout.gateways {
            let is_controller = number <= controllers;
            let role = if is_controller { "controller" } else { "gateway" };
            let index = if is_controller { number - 1 } else { number - controllers - 1 };
            let name = format!("{role}-{}", index + 1);
            let daemon = Daemon {
                role,
                ip: self.ip(number),
                settings: self.folder.join(format!("{name}.jsonc")),
                log: self.folder.join(format!("{name}.log")),
                name,
                child: None,
            };
            self.daemons.push(daemon);
            self.write_settings(usize::from(number - 1), true);
        }
    }

    /// Writes the settings of a daemon as the template of the deploy file has them.
    pub fn write_settings(&self, index: usize, found: bool) {
        self.write_settings_with(index, found, &[0, 1, 2]);
    }

    /// Writes the settings of a daemon with these controllers as seeds.
    pub fn write_settings_with(&self, index: usize, found: bool, seeds: &[usize]) {
        let daemon = &self.daemons[index];
        let ip = daemon.ip;
        let all = self.controllers();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{}\"", all[*seed])).collect();
        let zone = self.zone(match daemon.role {
            "controller" => index,
            _ => index - usize::from(self.layout.controllers),
        });
        let (own, memory) = match daemon.role {
            "controller" => {
                let data = self.folder.join(format!("{}-data", daemon.name));
                std::fs::create_dir_all(&data).expect("a data folder");
                let own = format!("\"control\": \"{ip}:{}\", \"data\": {data:?}", self.control);
                (own, 256)
            }
            _ => {
                let (front, check) = (self.front, self.check);
                (format!("\"callers\": \"{ip}:{front}\", \"readiness\": \"{ip}:{check}\""), 260)
            }
        };
        let text = format!(
            "{{\"name\": \"{}\", \"zone\": \"{zone}\", \"ip\": \"{ip}\", \"mesh_port\": {}, \
             \"seeds\": [{}], \"cluster_keys\": [\"one key for the daemons of one deployment\"], \
             {own}, \"found\": {found}, \"heartbeat_ms\": 1200, \"memory_mb\": {memory}, \
             \"descriptors\": 4096, \"losses\": 1, \"stop_ms\": 8000, \"retry_slack\": 132, \
             \"retry_window_s\": 10, \"load_window_s\": 5}}",
            daemon.name,
            self.mesh,
            seeds.join(", ")
        );
        std::fs::write(&daemon.settings, text).expect("the settings can be written");
    }

    /// Starts the process of a daemon; its output goes to a file.
    pub fn start_daemon(&mut self, index: usize) {
        let command = command_of(self.daemons[index].role);
        let daemon = &mut self.daemons[index];
        let log = File::options().create(true).append(true).open(&daemon.log).expect("a log");
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env("HOLLOWBARROW_CONFIG", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.record.line(format!("{} starts, process {}", daemon.name, child.id()));
                daemon.child = Some(child);
            }
            Err(error) => {
                // The others are ended when the system is dropped.
                panic!("{} can't be started: {error}", daemon.name);
            }
        }
    }

    /// Sends a signal to the process of a daemon.
    pub fn signal(&mut self, index: usize, signal: &str) {
        let daemon = &mut self.daemons[index];
        let Some(child) = &daemon.child else { return };
        let id = child.id().to_string();
        self.record.line(format!("SIG{signal} to {}", daemon.name));
        let _ = Command::new("kill").args([format!("-{signal}"), id]).status();
    }

    /// Kills the process of a daemon at once.
    pub fn kill(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if let Some(child) = &mut daemon.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        daemon.child = None;
        self.record.line(format!("SIGKILL to {}", daemon.name));
    }

    /// Waits until the process of a daemon has ended; returns whether it has in time.
    pub fn wait_ended(&mut self, index: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let daemon = &mut self.daemons[index];
        let Some(child) = &mut daemon.child else { return true };
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(format!("{} has ended: {status}", daemon.name));
                daemon.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Sends a configuration until it is acknowledged, as the operator does; returns whether it was.
    pub fn configure(&self, text: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let controllers = self.controllers();
        let mut turn = 0;
        while Instant::now() < until {
            let answer = self.call_control(controllers[turn % controllers.len()], "POST", "replace", text);
            turn += 1;
            let status = answer.as_ref().map_or(0, Message::status);
            if status == 200 {
                self.record.line("the operator's configuration is acknowledged");
                return true;
            }
            if (400..500).contains(&status) {
                let why = answer.map(|answer| answer.text()).unwrap_or_default();
                self.record.line(format!("the operator's configuration gets {status}: {why}"));
                return false;
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        false
    }

    /// Makes a call of the operator, and follows two redirects.
    pub fn call_control(&self, at: SocketAddr, method: &str, name: &str, body: &str) -> Option<Message> {
        let mut at = at;
        for _ in 0..3 {
            let limit = Duration::from_secs(1);
            let json = [("Content-Type", "application/json")];
            let answer = call(at, method, wire(name), &json, body.as_bytes(), limit)?;
            if answer.status() != 307 {
                return Some(answer);
            }
            at = location(&answer)?;
        }
        None
    }

    /// Returns the controller that the others name in their redirects, as an index of the daemons.
    pub fn leader(&self) -> Option<usize> {
        for (index, at) in self.controllers().into_iter().enumerate() {
            let limit = Duration::from_secs(1);
            let Some(answer) = call(at, "GET", wire("fetch"), &[], b"", limit) else { continue };
            let named = match answer.status() {
                307 => location(&answer)?,
                200 => return Some(index),
                _ => continue,
            };
            return self.controllers().iter().position(|at| *at == named);
        }
        None
    }

    /// Waits until every gateway says that it is ready; returns whether they do in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let ready = |at: SocketAddr| {
            let at = SocketAddr::new(at.ip(), self.check);
            let answer = call(at, "GET", wire("ready"), &[], b"", Duration::from_millis(500));
            answer.is_some_and(|answer| answer.status() == 200)
        };
        while !self.gateways().into_iter().all(ready) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

fn location(answer: &Message) -> Option<SocketAddr> {
    let text = answer.header("location")?.strip_prefix("http://")?;
    text.split('/').next()?.parse().ok()
}

impl Drop for System {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                let _ = Command::new("kill").args(["-CONT", &child.id().to_string()]).status();
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
