//! A worker of the platform: it registers, takes orders, and runs requests. It behaves as the pages have it
//! unless its `Habits` say otherwise.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, call, compose, wire};
use crate::system::{HEARTBEAT, Record};

/// The controller to which workers report first.
pub const FIRST_CONTROLLER: usize = 1;
/// Bound of the site: `stall_ms`.
const STALL: Duration = Duration::from_millis(4000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Joining,
    Ready,
    Open,
    Closing,
    Broken,
}

impl Stage {
    fn name(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Open => "open",
            Self::Closing => "closing",
            Self::Broken => "broken",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub members: Vec<String>,
    pub rank: usize,
    pub stage: Stage,
}

/// A model, with the seconds that its loads take.
#[derive(Clone, Debug)]
pub struct Model {
    pub name: &'static str,
    pub load_s: f64,
    pub warm_s: f64,
}

/// How late an order is carried out that gets no answer; none for one that is answered.
pub type Late = Arc<dyn Fn(&Order) -> Option<Duration> + Send + Sync>;

/// An order, with how often this worker got the same before.
#[derive(Clone, Debug)]
pub struct Order {
    pub worker: String,
    pub op: String,
    pub group: String,
    pub epoch: u64,
    pub model: String,
    pub members: Vec<String>,
    pub fence: u64,
    pub repeat: usize,
}

/// What all workers of a system share.
pub struct Fleet {
    pub record: Record,
    pub service: &'static str,
    pub models: Vec<Model>,
    pub controllers: Vec<SocketAddr>,
    pub late: Late,
    /// Whether orders with a lower fence than one seen are refused.
    pub enforce_fencing: bool,
    /// Whether a request has run yet: loads take a tenth of the time before.
    pub served: AtomicBool,
    workers: Mutex<BTreeMap<String, Arc<Worker>>>,
    broken: Mutex<Vec<String>>,
    runs: Mutex<Vec<Run>>,
}

/// A request that began to run at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub worker: String,
}

impl Fleet {
    pub fn new(
        record: Record,
        service: &'static str,
        models: Vec<Model>,
        controllers: Vec<SocketAddr>,
        enforce_fencing: bool,
        late: Late,
    ) -> Arc<Self> {
        Arc::new(Self {
            record,
            service,
            models,
            controllers,
            late,
            enforce_fencing,
            served: AtomicBool::new(false),
            workers: Mutex::default(),
            broken: Mutex::default(),
            runs: Mutex::default(),
        })
    }

    /// Returns what broke the rules so far.
    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }

    /// Returns the requests that a worker has begun to run.
    pub fn runs_at(&self, worker: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.worker == worker).cloned().collect()
    }

    pub fn breaks(&self, text: String) {
        self.record.line(format!("BROKEN: {text}"));
        self.broken.lock().unwrap().push(text);
    }

    pub fn worker(&self, id: &str) -> Option<Arc<Worker>> {
        self.workers.lock().unwrap().get(id).cloned()
    }

    /// Starts a worker, which registers at once.
    pub fn start(self: &Arc<Self>, id: &str, ip: Ipv4Addr, zone: &str, domain: &str) -> Arc<Worker> {
        let listener = TcpListener::bind((ip, 0)).expect("an address for a worker");
        let address = listener.local_addr().unwrap();
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            domain: domain.to_owned(),
            fleet: Arc::clone(self),
            state: Mutex::new(State { state: "ready", ..State::default() }),
            changed: Condvar::new(),
        });
        self.workers.lock().unwrap().insert(id.to_owned(), Arc::clone(&worker));
        self.record.line(format!("worker {id} starts at {address}"));
        let (accepting, beating) = (Arc::clone(&worker), Arc::clone(&worker));
        std::thread::spawn(move || accept(&accepting, &listener));
        std::thread::spawn(move || beat(&beating));
        worker
    }
}

#[derive(Default)]
struct State {
    /// What it says of itself.
    state: &'static str,
    ended: bool,
    /// Whether it sends no more heartbeats.
    silent: bool,
    model: Option<String>,
    staged: Option<String>,
    group: Option<Group>,
    /// Model of its last group since its start.
    last_model: Option<String>,
    epoch: u64,
    fence: u64,
    seq: u64,
    beat: u64,
    active: usize,
    /// Counts the changes that are to be told at once.
    changes: u64,
    told: u64,
    acked_state: &'static str,
    seen: BTreeMap<String, usize>,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    domain: String,
    fleet: Arc<Fleet>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn tell(&self, state: &mut State) {
        state.changes += 1;
        self.changed.notify_all();
    }

    pub fn group(&self) -> Option<Group> {
        self.lock().group.clone()
    }

    /// Returns the group of which it is the open head.
    pub fn serves(&self) -> Option<Group> {
        let state = self.lock();
        let open = |group: &&Group| group.rank == 0 && group.stage == Stage::Open;
        state.group.as_ref().filter(|_| !state.ended).filter(open).cloned()
    }

    pub fn is_alive(&self) -> bool {
        !self.lock().ended
    }

    /// Begins a planned end: it says that it drains, serves on for the drain time after the
    /// acknowledgement, deregisters and ends.
    pub fn drain(self: &Arc<Self>, drain: Duration) {
        self.fleet.record.line(format!("worker {} drains", self.id));
        let mut state = self.lock();
        state.state = "draining";
        self.tell(&mut state);
        drop(state);
        let worker = Arc::clone(self);
        std::thread::spawn(move || {
            let give_up = Instant::now() + Duration::from_secs(10);
            while worker.lock().acked_state != "draining" && Instant::now() < give_up {
                std::thread::sleep(Duration::from_millis(20));
            }
            worker.fleet.record.line(format!("worker {}'s draining is acknowledged", worker.id));
            std::thread::sleep(drain);
            let path = wire("gone").replace("{}", &worker.id);
            for at in &worker.fleet.controllers {
                let answer = call(*at, "POST", &path, &[], b"", Duration::from_secs(1));
                if answer.is_some_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
            }
            worker.end();
        });
    }

    /// Sends no more heartbeats.
    pub fn fall_silent(&self) {
        self.lock().silent = true;
    }

    pub fn end(&self) {
        self.fleet.record.line(format!("worker {} ends", self.id));
        let mut state = self.lock();
        state.ended = true;
        self.tell(&mut state);
    }

    fn describe(&self, state: &State) -> String {
        let models = state.model.iter().map(|name| {
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")
        });
        let staged = state.staged.iter().map(|name| format!("\"{name}\""));
        let group = state.group.as_ref().map_or("null".to_owned(), |group| {
            format!(
                "{{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{}\"}}",
                group.name,
                group.epoch,
                group.rank,
                group.stage.name()
            )
        });
        format!(
            "\"stage\":\"both\",\"models\":[{}],\"staged\":[{}],\"domain\":\"{}\",\"group\":{group}",
            models.collect::<Vec<_>>().join(","),
            staged.collect::<Vec<_>>().join(","),
            self.domain
        )
    }

    /// Carries an order out; returns the status of its answer.
    fn carry_out(self: &Arc<Self>, order: &Order) -> u16 {
        let record = &self.fleet.record;
        let mut state = self.lock();
        if state.ended {
            return 0;
        }
        if self.fleet.enforce_fencing && order.fence < state.fence {
            return 412;
        }
        state.fence = state.fence.max(order.fence);
        let named = state.group.as_ref().is_some_and(|group| {
            group.name == order.group && group.epoch == order.epoch
        });
        match order.op.as_str() {
            "join" => {
                let same = |group: &Group| group.members == order.members;
                if order.epoch < state.epoch || (named && !state.group.as_ref().is_some_and(same)) {
                    return 412;
                }
                if named {
                    return 200;
                }
                let former = state.group.clone();
                state.seq += 1;
                state.epoch = order.epoch;
                let rank = order.members.iter().position(|id| *id == self.id).unwrap_or(99);
                let model = order.model.clone();
                let spec = self.fleet.models.iter().find(|spec| spec.name == model);
                let Some(spec) = spec else { return 400 };
                let seconds = if state.last_model.as_ref() == Some(&model) {
                    0.2
                } else if state.staged.as_ref() == Some(&model) {
                    spec.warm_s
                } else if self.fleet.served.load(Ordering::Relaxed) {
                    spec.load_s
                } else {
                    spec.load_s / 10.0
                };
                state.group = Some(Group {
                    name: order.group.clone(),
                    epoch: order.epoch,
                    members: order.members.clone(),
                    rank,
                    stage: Stage::Joining,
                });
                if state.last_model.as_ref() != Some(&model) {
                    state.model = None;
                }
                self.tell(&mut state);
                drop(state);
                record.line(format!(
                    "worker {} takes join of {} epoch {} members {:?}, {seconds} s",
                    self.id, order.group, order.epoch, order.members
                ));
                if let Some(former) = former.filter(|former| former.name != order.group) {
                    self.check_two(&former, order);
                }
                let (worker, order) = (Arc::clone(self), order.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(seconds));
                    worker.become_ready(&order);
                });
                202
            }
            "open" => {
                let Some(group) = state.group.as_ref().filter(|_| named) else { return 409 };
                match group.stage {
                    Stage::Open => 200,
                    Stage::Ready if group.rank == 0 => {
                        state.seq += 1;
                        let (worker, order) = (Arc::clone(self), order.clone());
                        std::thread::spawn(move || {
                            std::thread::sleep(Duration::from_millis(300));
                            worker.become_open(&order);
                        });
                        202
                    }
                    _ => 409,
                }
            }
            "close" => {
                let Some(group) = state.group.as_mut().filter(|_| named) else { return 409 };
                if group.stage != Stage::Open {
                    return if group.stage == Stage::Ready { 200 } else { 409 };
                }
                group.stage = Stage::Closing;
                state.seq += 1;
                self.tell(&mut state);
                drop(state);
                record.line(format!("worker {} closes {}", self.id, order.group));
                let (worker, order) = (Arc::clone(self), order.clone());
                std::thread::spawn(move || worker.finish_closing(&order));
                202
            }
            "leave" => {
                if !named {
                    return 409;
                }
                state.seq += 1;
                state.group = None;
                self.tell(&mut state);
                drop(state);
                record.line(format!("worker {} leaves {}", self.id, order.group));
                200
            }
            "stage" => {
                if state.staged.as_ref() == Some(&order.model) {
                    return 200;
                }
                state.seq += 1;
                let spec = self.fleet.models.iter().find(|spec| spec.name == order.model);
                let Some(spec) = spec else { return 400 };
                let tenth = if self.fleet.served.load(Ordering::Relaxed) { 1.0 } else { 0.1 };
                let (worker, order) = (Arc::clone(self), order.clone());
                let seconds = spec.load_s * tenth;
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(seconds));
                    let mut state = worker.lock();
                    state.staged = Some(order.model);
                    worker.tell(&mut state);
                });
                202
            }
            _ => 400,
        }
    }

    /// Checks the rule TWO: a worker takes a join of another group while the head of its group is open or
    /// closing.
    fn check_two(&self, former: &Group, order: &Order) {
        let head = former.members.first().cloned().unwrap_or_default();
        let stage = if head == self.id {
            Some(former.stage)
        } else {
            let group = self.fleet.worker(&head).filter(|head| head.is_alive()).and_then(|head| head.group());
            group.filter(|group| group.name == former.name && group.rank == 0).map(|group| group.stage)
        };
        if let Some(stage @ (Stage::Open | Stage::Closing)) = stage {
            self.fleet.breaks(format!(
                "TWO: worker {} takes a join of {} (epoch {}) while the head {head} of its group {} (epoch {}) is {}",
                self.id,
                order.group,
                order.epoch,
                former.name,
                former.epoch,
                stage.name()
            ));
        }
    }

    fn become_ready(&self, order: &Order) {
        let mut state = self.lock();
        let named = state.group.as_mut().filter(|group| group.epoch == order.epoch && group.name == order.group);
        let Some(group) = named.filter(|group| group.stage == Stage::Joining) else { return };
        group.stage = Stage::Ready;
        state.model = Some(order.model.clone());
        state.staged = Some(order.model.clone());
        state.last_model = Some(order.model.clone());
        self.tell(&mut state);
        drop(state);
        self.fleet.record.line(format!("worker {} is ready in {}", self.id, order.group));
    }

    fn become_open(self: &Arc<Self>, order: &Order) {
        let mut state = self.lock();
        let named = state.group.as_mut().filter(|group| group.epoch == order.epoch && group.name == order.group);
        let Some(group) = named.filter(|group| group.stage == Stage::Ready) else { return };
        group.stage = Stage::Open;
        self.tell(&mut state);
        drop(state);
        self.fleet.record.line(format!("worker {} is open in {} as its head", self.id, order.group));
        let (worker, order) = (Arc::clone(self), order.clone());
        std::thread::spawn(move || worker.watch_members(&order));
    }

    /// Breaks the group of an open head once a member has been missing for too long.
    fn watch_members(&self, order: &Order) {
        let mut complete = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(50));
            let Some(group) = self.serves().filter(|group| group.name == order.group) else { return };
            let is_there = |id: &String| {
                let worker = self.fleet.worker(id).filter(|worker| worker.is_alive());
                worker.and_then(|worker| worker.group()).is_some_and(|other| other.name == group.name)
            };
            if group.members.iter().all(is_there) {
                complete = Instant::now();
            } else if complete.elapsed() >= STALL {
                let mut state = self.lock();
                if let Some(group) = state.group.as_mut().filter(|group| group.name == order.group) {
                    group.stage = Stage::Broken;
                }
                self.tell(&mut state);
                drop(state);
                self.fleet.record.line(format!("worker {}'s group {} breaks", self.id, order.group));
                return;
            }
        }
    }

    fn finish_closing(&self, order: &Order) {
        let give_up = Instant::now() + Duration::from_secs(10);
        while self.lock().active > 0 && Instant::now() < give_up {
            std::thread::sleep(Duration::from_millis(10));
        }
        let mut state = self.lock();
        let named = state.group.as_mut().filter(|group| group.epoch == order.epoch && group.name == order.group);
        let Some(group) = named.filter(|group| group.stage == Stage::Closing) else { return };
        group.stage = Stage::Ready;
        self.tell(&mut state);
    }
}

/// Sends heartbeats: about every interval, and at once after a change.
fn beat(worker: &Worker) {
    // All of a system report to the same controller as long as it answers.
    let mut turn = FIRST_CONTROLLER;
    loop {
        let (body, said, changes) = {
            let mut state = worker.lock();
            if state.ended || state.silent {
                return;
            }
            state.beat += 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":26,\"state\":\"{}\",\"cold_left_ms\":0,{},\"seq\":{}}}",
                worker.fleet.service,
                worker.address,
                worker.zone,
                state.state,
                worker.describe(&state),
                state.beat
            );
            (body, state.state, state.changes)
        };
        let path = wire("beat").replace("{}", &worker.id);
        let controllers = &worker.fleet.controllers;
        let mut acked = false;
        for _ in 0..controllers.len() {
            let at = controllers[turn % controllers.len()];
            let json = [("Content-Type", "application/json")];
            let answer = call(at, "POST", &path, &json, body.as_bytes(), Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() / 100 == 2) {
                acked = true;
                break;
            }
            turn += 1;
        }
        let mut state = worker.lock();
        if acked {
            state.acked_state = said;
            state.told = changes;
        }
        // Workers that were started together stay in step.
        let until = worker.fleet.record.next_beat(Instant::now() + HEARTBEAT / 2);
        while !state.ended && state.changes == changes && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = worker.changed.wait_timeout(state, left).unwrap().0;
        }
        drop(state);
        if !acked {
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

fn accept(worker: &Arc<Worker>, listener: &TcpListener) {
    listener.set_nonblocking(true).expect("a listener");
    while worker.is_alive() {
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let worker = Arc::clone(worker);
                std::thread::spawn(move || serve(&worker, Connection::new(stream)));
            }
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
    }
}

fn serve(worker: &Arc<Worker>, mut connection: Connection) {
    loop {
        let until = Instant::now() + Duration::from_secs(20);
        let Ok(request) = connection.read_message(until) else { return };
        if !worker.is_alive() || !answer(worker, &mut connection, &request) {
            return;
        }
    }
}

fn answer(worker: &Arc<Worker>, connection: &mut Connection, request: &Message) -> bool {
    let other = request.header(wire("target")).is_some_and(|target| target != worker.id);
    let id = request.header(wire("request")).unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    if !id.is_empty() {
        headers.push((wire("request"), id.as_str()));
    }
    if other {
        headers.push((wire("not_run"), "1"));
        return connection.write(&compose("HTTP/1.1 421 Misdirected Request", &headers, b""));
    }
    headers.push(("Content-Type", "application/json"));
    if request.path() == wire("report") {
        let state = worker.lock();
        let body = format!(
            "{{{},\"busy\":false,\"seq\":{},\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":1400000,\"handles\":0}}",
            worker.describe(&state),
            state.seq,
            state.active
        );
        drop(state);
        return connection.write(&compose("HTTP/1.1 200 OK", &headers, body.as_bytes()));
    }
    if request.path() == wire("order") {
        return answer_order(worker, connection, &request.text(), &headers);
    }
    run(worker, connection, request, &id)
}

fn answer_order(
    worker: &Arc<Worker>,
    connection: &mut Connection,
    body: &str,
    headers: &[(&str, &str)],
) -> bool {
    let mut order = Order {
        worker: worker.id.clone(),
        op: text(body, "op"),
        group: text(body, "group"),
        epoch: number(body, "epoch"),
        model: text(body, "model"),
        members: list(body, "members"),
        fence: number(body, "fence"),
        repeat: 0,
    };
    {
        let mut state = worker.lock();
        let seen = state.seen.entry(format!("{} {} {}", order.op, order.group, order.epoch)).or_default();
        order.repeat = *seen;
        *seen += 1;
    }
    let shown = format!("{} {} epoch {} fence {}", order.op, order.group, order.epoch, order.fence);
    if let Some(delay) = (worker.fleet.late)(&order) {
        worker.fleet.record.line(format!(
            "worker {} gets {shown}: no answer, carried out {} s later",
            worker.id,
            delay.as_secs_f64()
        ));
        let (worker, order) = (Arc::clone(worker), order.clone());
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            let status = worker.carry_out(&order);
            worker.fleet.record.line(format!(
                "worker {} carries out the late {} {} epoch {}: {status}",
                worker.id, order.op, order.group, order.epoch
            ));
        });
        // The connection stays open without an answer until the caller closes it.
        let _ = connection.fill(Instant::now() + Duration::from_secs(20));
        return false;
    }
    let status = worker.carry_out(&order);
    worker.fleet.record.line(format!("worker {} gets {shown}: {status}", worker.id));
    status != 0 && connection.write(&compose(&format!("HTTP/1.1 {status} Order"), headers, b"{}"))
}

/// Runs a request: three events of a stream.
fn run(worker: &Arc<Worker>, connection: &mut Connection, request: &Message, id: &str) -> bool {
    if worker.fleet.models.is_empty() {
        return run_plain(worker, connection, request, id);
    }
    let Some(group) = worker.serves() else {
        let headers = [(wire("request"), id), (wire("not_run"), "1")];
        return connection.write(&compose("HTTP/1.1 421 Misdirected Request", &headers, b""));
    };
    worker.fleet.served.store(true, Ordering::Relaxed);
    worker.fleet.record.line(format!("request {id} runs at worker {} in {}", worker.id, group.name));
    worker.lock().active += 1;
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        wire("request"),
        wire("signature")
    );
    let first: u64 = request.header(wire("resume")).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut written = connection.write(head.as_bytes());
    for event in first + 1..=3 {
        std::thread::sleep(Duration::from_millis(30));
        let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
        written = written && connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }
    worker.lock().active -= 1;
    written && connection.write(b"0\r\n\r\n")
}

/// Runs a request of a service without groups.
fn run_plain(worker: &Arc<Worker>, connection: &mut Connection, request: &Message, id: &str) -> bool {
    let fleet = &worker.fleet;
    let run = Run { at: fleet.record.now(), worker: worker.id.clone() };
    fleet.record.line(format!("request {id} runs at worker {}", worker.id));
    fleet.runs.lock().unwrap().push(run);
    std::thread::sleep(Duration::from_millis(15));
    let signature = format!("s.{id}");
    let headers = [(wire("request"), id), (wire("signature"), signature.as_str())];
    let body = format!("{} {} done", request.method(), request.path());
    connection.write(&compose("HTTP/1.1 200 OK", &headers, body.as_bytes()))
}

/// Returns the text of a field of a JSON object without nested objects.
pub fn text(body: &str, field: &str) -> String {
    let rest = body.split(&format!("\"{field}\":\"")).nth(1).unwrap_or_default();
    rest.split('"').next().unwrap_or_default().to_owned()
}

pub fn number(body: &str, field: &str) -> u64 {
    let rest = body.split(&format!("\"{field}\":")).nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn list(body: &str, field: &str) -> Vec<String> {
    let rest = body.split(&format!("\"{field}\":[")).nth(1).unwrap_or_default();
    let inside = rest.split(']').next().unwrap_or_default();
    inside.split(',').map(|item| item.trim_matches('"').to_owned()).filter(|item| !item.is_empty()).collect()
}
