//! Plain workers that write their answers byte by byte, and whose process can end within one.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_member::http::call_once;
use hollowbarrow_testkit::{
    FaultMode, LinkProxy, RawAnswer, RawEnd, RawHandler, RawRequest, RawUpstream,
};
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::json;
use tokio::sync::Notify;

use crate::system::{KEY, Layout, System, configuration};
use crate::worker::{EVENTS, event};

const HEARTBEAT: Duration = Duration::from_millis(200);
const WORKER_ADDRESS: &str = "127.76.0.1:0";
const FRONT_ADDRESS: &str = "127.75.0.1:0";

/// Bytes of a whole answer.
const ANSWER_BYTES: usize = 20_000;

/// Route kinds of the platform.
pub const REPEATABLE: &str = "idempotent";
pub const NOT_REPEATABLE: &str = "non_idempotent";
pub const STREAM: &str = "streaming";

/// Answers of a service with a length, which the retry budget and idle connections need.
const FRAMED_REQUESTS: usize = 20;

/// Events of a stream before the one without end.
const FIRST_EVENTS: u64 = 3;

/// Number of concurrent requests that open connections to all workers.
const IDLE_CONNECTIONS: usize = 12;

/// How workers answer the requests of a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPlan {
    /// With the events of a stream, and a length.
    Framed,
    /// With a length, and so many bytes.
    Long(usize),
    /// Without a length, and then this.
    Whole(RawEnd),
    /// The first worker that is asked sends this many bytes without a length, and holds the connection.
    /// All others answer without a length.
    Part(usize),
    /// The same with a stream and so many of its events.
    Events(u64),
    /// All workers send bytes without end to requests whose id begins with [`ENDLESS`]; the others are
    /// answered with a length.
    Endless(EndlessPart),
    /// With this status line, in this form.
    Status(&'static str, AnswerForm),
    /// With a head that stops before the last byte of this text, or of the whole head. Its connection
    /// is then closed.
    CutHead(&'static str, AnswerForm),
    /// The first worker that is asked sends a few events, and then bytes of another one without end.
    EndlessEvent(&'static str, Option<Duration>),
}

/// How the body of an answer is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// By a length.
    Length,
    /// By chunks.
    Chunks,
    /// By the end of the connection.
    Connection,
    /// By a length; the body is a stream of events.
    Events,
    /// By the end of the connection; the body is a stream of events.
    EventsToConnection,
}

impl AnswerForm {
    /// Returns the head after the status line, without a blank line, and the body.
    fn write(self, request: &str) -> (String, String) {
        let (body, events) = (whole_answer(request), events_between(0, EVENTS));
        let event_stream = "content-type: text/event-stream\r\n";
        let length = |body: &str| format!("content-length: {}\r\n", body.len());
        match self {
            Self::Length => (length(&body), body),
            Self::Chunks => {
                let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
                ("transfer-encoding: chunked\r\n".to_owned(), chunks)
            }
            Self::Connection => (String::new(), body),
            Self::Events => (format!("{event_stream}{}", length(&events)), events),
            Self::EventsToConnection => (event_stream.to_owned(), events),
        }
    }
}

/// An answer within or after which bytes have no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndlessPart {
    /// Whether the status line and the headers that name the request come first.
    pub headed: bool,
    /// What precedes the bytes without end.
    pub first: &'static str,
    /// The bytes that come over and over again, with this pause.
    pub unit: &'static str,
    pub pause: Option<Duration>,
    /// Whether calls that run nothing are answered so too.
    pub calls: bool,
}

impl EndlessPart {
    fn answer(&self, head: &str) -> RawAnswer {
        let head = if self.headed { format!("HTTP/1.1 {head}") } else { String::new() };
        let bytes = format!("{head}{}", self.first).into_bytes();
        RawAnswer { bytes, end: RawEnd::Endless(self.unit, self.pause), rest: Vec::new() }
    }
}

/// Beginning of the ids of requests to which bytes are sent without end.
pub const ENDLESS: &str = "endless";

/// What the workers of a test share.
pub struct RawFleet {
    controllers: Vec<String>,
    plan: Mutex<AnswerPlan>,
    runs: Mutex<BTreeMap<String, u32>>,
    /// Worker that holds a part of an answer.
    holder: Mutex<Option<String>>,
    held: Notify,
    fronted: bool,
}

impl RawFleet {
    pub fn new(controllers: Vec<String>, fronted: bool) -> Arc<Self> {
        Arc::new(Self {
            controllers,
            plan: Mutex::new(AnswerPlan::Framed),
            runs: Mutex::default(),
            holder: Mutex::default(),
            held: Notify::new(),
            fronted,
        })
    }

    /// Answers requests in this way from now on.
    pub fn set_plan(&self, plan: AnswerPlan) {
        *self.plan.lock().expect("not poisoned") = plan;
    }

    /// Returns how often a request ran.
    pub fn runs(&self, request: &str) -> u32 {
        self.runs.lock().expect("not poisoned").get(request).copied().unwrap_or_default()
    }

    /// Waits until a worker holds a part of an answer, and returns its id.
    pub async fn wait_for_holder(&self) -> String {
        self.held.notified().await;
        self.holder.lock().expect("not poisoned").clone().expect("a worker holds an answer")
    }

    /// Runs a request at a worker.
    fn run(&self, worker: &str, asked: &RawRequest) -> RawAnswer {
        let request = asked.header("request-id");
        *self.runs.lock().expect("not poisoned").entry(request.to_owned()).or_default() += 1;
        let head = format!("200 OK\r\nrequest-id: {request}\r\nresponse-signature: {worker}.1\r\n");
        let body = whole_answer(request);
        match *self.plan.lock().expect("not poisoned") {
            AnswerPlan::Framed => RawAnswer::framed(&head, &events_between(0, EVENTS)),
            AnswerPlan::Long(bytes) => RawAnswer::framed(&head, &long_answer(request, bytes)),
            AnswerPlan::Whole(end) => RawAnswer::unframed(&head, &body, end),
            AnswerPlan::Part(bytes) if self.holds(worker) => {
                RawAnswer::unframed(&head, &body[..bytes], RawEnd::Hold)
            }
            AnswerPlan::Part(_) => RawAnswer::unframed(&head, &body, RawEnd::Close),
            AnswerPlan::Endless(part) if request.starts_with(ENDLESS) => part.answer(&head),
            AnswerPlan::Endless(_) => RawAnswer::framed(&head, &events_between(0, EVENTS)),
            AnswerPlan::Status(status, form) => {
                let (rest, body) = form.write(request);
                let named = head.split_once("\r\n").map_or("", |(_, named)| named);
                RawAnswer::unframed(&format!("{status}\r\n{named}{rest}"), &body, RawEnd::Close)
            }
            AnswerPlan::CutHead(last, form) => {
                let (rest, _) = form.write(request);
                let whole = format!("HTTP/1.1 {head}{rest}\r\n");
                let end = whole.find(last).expect("the head has the text") + last.len() - 1;
                let bytes = whole.into_bytes()[..end].to_vec();
                RawAnswer { bytes, end: RawEnd::Close, rest: Vec::new() }
            }
            AnswerPlan::EndlessEvent(unit, pause) => {
                let head = format!("{head}content-type: text/event-stream\r\n");
                let after: u64 = asked.header("last-event-id").parse().unwrap_or_default();
                if self.holds(worker) {
                    let end = RawEnd::Endless(unit, pause);
                    return RawAnswer::unframed(&head, &events_between(0, FIRST_EVENTS), end);
                }
                RawAnswer::framed(&head, &events_between(after, EVENTS))
            }
            AnswerPlan::Events(events) => {
                let head = format!("{head}content-type: text/event-stream\r\n");
                let after: u64 = asked.header("last-event-id").parse().unwrap_or_default();
                if self.holds(worker) {
                    return RawAnswer::unframed(&head, &events_between(0, events), RawEnd::Hold);
                }
                RawAnswer::unframed(&head, &events_between(after, EVENTS), RawEnd::Close)
            }
        }
    }

    /// Returns the answer to a call that runs nothing.
    fn answer_call(&self) -> RawAnswer {
        match *self.plan.lock().expect("not poisoned") {
            AnswerPlan::Endless(part) if part.calls => part.answer("200 OK\r\n"),
            _ => RawAnswer::framed("200 OK\r\n", "{}"),
        }
    }

    /// Returns whether a worker is the first that is asked, which holds its answer.
    fn holds(&self, worker: &str) -> bool {
        let mut holder = self.holder.lock().expect("not poisoned");
        if holder.is_some() {
            return false;
        }
        *holder = Some(worker.to_owned());
        self.held.notify_one();
        true
    }
}

/// Returns the whole answer to a request.
pub fn whole_answer(request: &str) -> String {
    long_answer(request, ANSWER_BYTES)
}

/// Returns the events of a stream after one and up to another.
fn events_between(after: u64, last: u64) -> String {
    (after + 1..=last).map(event).collect()
}

/// Returns an answer of at most so many bytes.
pub fn long_answer(request: &str, bytes: usize) -> String {
    let line = format!("{request} part of a report\n");
    line.repeat(bytes / line.len())
}

/// A running raw worker of the service `bookings`.
pub struct RawWorker {
    pub id: String,
    pub upstream: RawUpstream,
    front: Option<LinkProxy>,
    stopped: AtomicBool,
    seq: AtomicU64,
    fleet: Arc<RawFleet>,
}

impl RawWorker {
    /// Starts a worker.
    pub fn start(fleet: &Arc<RawFleet>, id: &str) -> Arc<Self> {
        let address = WORKER_ADDRESS.parse().expect("the address is valid");
        let upstream = RawUpstream::start(address, handler(fleet, id));
        let front = fleet.fronted.then(|| {
            let front: SocketAddr = FRONT_ADDRESS.parse().expect("the address is valid");
            let target = upstream.address();
            LinkProxy::start(front, target, target.port().into())
        });
        let worker = Arc::new(Self {
            id: id.to_owned(),
            upstream,
            front,
            stopped: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            fleet: Arc::clone(fleet),
        });
        tokio::spawn(Arc::clone(&worker).send_heartbeats());
        worker
    }

    /// Sends no more heartbeats.
    pub fn silence(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Ends the process, while another one with this id already listens at its address.
    pub fn replace(&self, id: &str) {
        self.silence();
        self.upstream.replace(handler(&self.fleet, id));
    }

    /// Sets the fault mode of connections from a source address.
    pub fn set_source_mode(&self, source: IpAddr, mode: FaultMode) {
        self.front.as_ref().expect("the worker has a proxy").set_mode(source, mode);
    }

    async fn send_heartbeats(self: Arc<Self>) {
        while !self.stopped.load(Ordering::Relaxed) {
            self.register().await;
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    async fn register(&self) {
        let address = self.front.as_ref().map_or(self.upstream.address(), LinkProxy::address);
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let body = json!({"service": "bookings", "address": address.to_string(), "zone": "a",
            "version": "v1", "cold_left_ms": 0, "slots": 8, "state": "ready", "seq": seq,
            "models": [], "group": null});
        for controller in &self.fleet.controllers {
            let request = Request::builder()
                .method(Method::POST)
                .uri(format!("/-/instances/{}/heartbeat", self.id))
                .header("host", controller)
                .body(Full::new(body.to_string().into()))
                .expect("the request is valid");
            let answer = call_once(controller, request, Duration::from_secs(1)).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
        }
    }
}

/// Returns what answers the requests of an instance.
fn handler(fleet: &Arc<RawFleet>, id: &str) -> RawHandler {
    let (fleet, id) = (Arc::clone(fleet), id.to_owned());
    Arc::new(move |request: &RawRequest| {
        let wanted = request.header("target-instance");
        if !wanted.is_empty() && wanted != id {
            return RawAnswer::framed("421 Misdirected Request\r\nnot-executed: 1\r\n", "");
        }
        match request.target.as_str() {
            "/-/report" => fleet.answer_call(),
            _ => fleet.run(&id, request),
        }
    })
}

/// A system whose plain service runs on raw workers.
pub struct RawDeployment {
    pub system: System,
    pub fleet: Arc<RawFleet>,
    pub workers: Vec<Arc<RawWorker>>,
}

impl RawDeployment {
    /// Starts a system whose plain service has a route of this kind.
    pub async fn start(block: u8, layout: Layout, kind: &str) -> Self {
        let system = System::start_with(block, layout);
        let fleet = RawFleet::new(system.controllers.clone(), layout.proxied);
        let start = |number| RawWorker::start(&fleet, &format!("r{number}"));
        let workers: Vec<Arc<RawWorker>> = (0..3).map(start).collect();
        let mut configuration = configuration(3);
        configuration["routes"][1]["kind"] = kind.into();
        configuration["routes"][1]["max_attempts"] = 2.into();
        configuration["routes"][1]["stream_resume"] = (kind == STREAM).into();
        assert_eq!(system.replace(&configuration).await, 200);
        system.wait_ready().await;
        for gateway in 0..system.gateways.len() {
            system.call_gateway_until_served(gateway, "/hold/warm", "warm").await;
        }
        for number in 0..FRAMED_REQUESTS {
            let id = format!("framed-{number}");
            let answer = system.call(0, "/hold/1", &id, Some(KEY)).await;
            assert!(answer.is_ok(), "{}", system.logs());
        }
        Self { system, fleet, workers }
    }

    /// Sends framed requests at once, so that there is an idle connection to each worker.
    pub async fn open_idle_connections(&self) {
        let calls = (0..IDLE_CONNECTIONS).map(|number| {
            let id = format!("idle-{number}");
            async move { self.system.call(0, "/hold/1", &id, Some(KEY)).await }
        });
        futures_util::future::join_all(calls).await;
    }

    pub fn worker(&self, id: &str) -> &RawWorker {
        self.workers.iter().find(|worker| worker.id == id).expect("the worker was started")
    }
}
