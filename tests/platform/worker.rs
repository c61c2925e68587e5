//! Stand-in workers that speak the platform's protocol: they register, execute orders and serve
//! requests.

mod orders;
mod unframed;

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use hollowbarrow_ingress::{
    AnswerBody, HttpAnswer, HttpHandler, HttpLimits, ListenerGate, RequestBody,
    TruncatedAnswerError, bind_http, serve_http,
};
use hollowbarrow_member::http::call_once;
use hollowbarrow_testkit::{FaultMode, LinkProxy};
use http_body_util::{BodyExt, Full};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet::{CrashStage, Fleet, Membership};
use crate::notices::{NoticeEvent, WorkerNotice};
use unframed::UnframedFront;

/// Number of events in a complete stream.
pub const EVENTS: u64 = 30;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(200);
const LIMITS: HttpLimits = HttpLimits {
    head_bytes: 16 << 10,
    header: Duration::from_secs(15),
    idle: Duration::from_secs(15),
};

/// Address of a new worker, with a port that the kernel chooses. No connection starts at this IP
/// address, so that none takes the port of a killed worker before its next instance starts.
const NEW_ADDRESS: &str = "127.76.0.1:0";
/// Address of a new proxy in front of a worker, with a port that the kernel chooses.
const FRONT_ADDRESS: &str = "127.75.0.1:0";
/// Addresses of a new worker and of the proxy in front of it.
const NEW_ADDRESSES: (&str, &str) = (NEW_ADDRESS, FRONT_ADDRESS);
/// Body of a request that crashes each worker that runs it.
pub const CRASHING_BODY: &[u8] = b"{\"ends\": \"worker\"}";
/// Run time of a crashing request before its worker terminates.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Run time of a request that crashes its worker after some events.
const CRASH_DELAY_IN_STREAM: Duration = Duration::from_millis(130);
/// Path of streams that a worker ends within an event, unless it resumes them; the event, and the bytes
/// of it that are sent.
pub const CUT_PATH: &str = "/chat/cut";
const CUT_EVENT: u64 = 6;
const CUT_BYTES: usize = 9;
/// First digits of the ids of prompt parts that crash each worker that begins to answer them.
pub const CRASHING_PART: &str = "dead";
/// Id of a prompt part that sound requests and crashing ones share.
pub const SHARED_PART: &str = "5ead";

/// Start time of the first instance of each worker that reports it, in Unix milliseconds.
pub const FIRST_START_MS: u64 = 1_764_720_000_000;

/// Returns a request id that names the gateway through which the request is sent.
pub fn request_id_via(gateway: usize, name: &str) -> String {
    format!("{name}-by{gateway}")
}

/// Returns the gateway through which a request was sent, if its id names one.
fn gateway_of(request: &str) -> Option<usize> {
    request.rsplit_once("-by")?.1.parse().ok()
}

/// Starts a proxy in front of a worker, with the fault modes that are set.
fn start_front(fleet: &Fleet, address: &str, target: SocketAddr) -> Arc<LinkProxy> {
    let address = address.parse().expect("the address is valid");
    let front = Arc::new(LinkProxy::start(address, target, target.port().into()));
    fleet.add_front(&front);
    front
}

/// Returns the content by which a request crashes each worker that begins to answer it: the path of
/// the request, or a part of its prompt.
fn crashing_content(head: &Parts, body: &[u8]) -> Option<String> {
    let parts = head.headers.get("prefix-hash").and_then(|value| value.to_str().ok());
    let mut parts: Vec<&str> = parts.unwrap_or_default().split(',').collect();
    // The last part is the request's own.
    parts.pop();
    if body == CRASHING_BODY {
        return Some(head.uri.path().to_owned());
    }
    let mut crashing = parts.into_iter().filter(|part| part.starts_with(CRASHING_PART));
    crashing.next().map(|part| part.split(':').next().unwrap_or_default().to_owned())
}

/// Returns one event of a stream.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// Time for which a stream stalls at a head that lacks a member, before the stream is truncated.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay with which a worker executes orders that it leaves unanswered.
const ORDER_DELAY: Duration = Duration::from_millis(900);

#[derive(Default)]
struct WorkerState {
    model: Option<String>,
    membership: Option<Membership>,
    /// Highest epoch and fence seen by this instance.
    highest: (u64, u64),
}

/// A request that arrived at a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// Backoff that the worker asked for when it rejected this request.
    pub backoff: Option<Duration>,
}

/// Progress of one stream, which records when its caller ends it.
struct StreamProgress {
    fleet: Arc<Fleet>,
    request: String,
    next: u64,
}

impl StreamProgress {
    /// The worker itself ends the stream.
    fn truncated(self) -> Self {
        let mut progress = self;
        progress.next = EVENTS + 1;
        progress
    }
}

impl Drop for StreamProgress {
    fn drop(&mut self) {
        if self.next <= EVENTS {
            self.fleet.record_unfinished(&self.request);
        }
    }
}

/// One instance of a stand-in worker.
pub struct Worker {
    pub id: String,
    /// Start time in Unix milliseconds, if the worker reports it.
    start_ms: Option<u64>,
    /// Address that it listens on.
    address: String,
    /// Proxy in front of it, whose address it registers.
    front: Option<Arc<LinkProxy>>,
    /// Proxy in front of it whose answers have neither a length nor chunks, if there is one.
    unframed: Option<UnframedFront>,
    service: &'static str,
    engine: bool,
    zone: &'static str,
    seq: AtomicU64,
    stopped: AtomicBool,
    /// Whether it is partitioned from controllers in both directions.
    partitioned: AtomicBool,
    /// Whether it leaves orders unanswered and executes them after a delay.
    late_orders: AtomicBool,
    /// Whether it reports that it is leaving.
    leaving: AtomicBool,
    /// Whether it is leaving, which its answers state but its heartbeats do not.
    leaving_unreported: AtomicBool,
    /// Whether it has deregistered. It still serves requests.
    deregistered: AtomicBool,
    /// Whether it sends no more heartbeats.
    silent: AtomicBool,
    /// Whether it streams events at half the usual rate.
    slow: AtomicBool,
    /// Whether it runs requests and never answers them.
    unresponsive: AtomicBool,
    /// Time that a plain worker takes for each request.
    service_time: Mutex<Duration>,
    /// Backoff that it asks for in each answer while it rejects all requests.
    rejection_backoff: Mutex<Option<Duration>>,
    /// The limit header of its answers, verbatim.
    limit: Mutex<Option<&'static str>>,
    /// Requests that arrived, in order.
    arrivals: Mutex<Vec<Arrival>>,
    state: Mutex<WorkerState>,
    fleet: Arc<Fleet>,
    stop: watch::Sender<bool>,
}

impl Worker {
    /// Starts a worker in zone `a` on a port that the kernel chooses.
    pub fn start(fleet: &Arc<Fleet>, id: &str, service: &'static str, engine: bool) -> Arc<Self> {
        Self::start_in(fleet, id, service, engine, "a")
    }

    /// Starts a worker in a zone.
    pub fn start_in(
        fleet: &Arc<Fleet>,
        id: &str,
        service: &'static str,
        engine: bool,
        zone: &'static str,
    ) -> Arc<Self> {
        Self::start_instance(fleet, id, (service, engine, zone), None, NEW_ADDRESSES)
    }

    /// Starts one instance of a worker at an address.
    fn start_instance(
        fleet: &Arc<Fleet>,
        id: &str,
        (service, engine, zone): (&'static str, bool, &'static str),
        start_ms: Option<u64>,
        (address, front_address): (&str, &str),
    ) -> Arc<Self> {
        let listener = bind_http(address).expect("the port is free");
        let bound = listener.local_addr().expect("the listener is bound");
        let front = fleet.fronted.then(|| start_front(fleet, front_address, bound));
        let unframed =
            fleet.crash_plan.unframed.then(|| UnframedFront::start(front_address, bound));
        let address = bound.to_string();
        let (stop, stopped) = watch::channel(false);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            start_ms,
            address,
            front,
            unframed,
            service,
            engine,
            zone,
            seq: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            partitioned: AtomicBool::new(false),
            late_orders: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            leaving_unreported: AtomicBool::new(false),
            deregistered: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            slow: AtomicBool::new(false),
            unresponsive: AtomicBool::new(false),
            service_time: Mutex::default(),
            rejection_backoff: Mutex::default(),
            limit: Mutex::default(),
            arrivals: Mutex::default(),
            state: Mutex::default(),
            fleet: Arc::clone(fleet),
            stop,
        });
        tokio::spawn(serve_http(listener, stopped, Arc::clone(&worker), ListenerGate::unbounded()));
        tokio::spawn(Arc::clone(&worker).send_heartbeats());
        worker
    }

    /// Starts a worker that reports its start time.
    pub fn start_with_start_time(
        fleet: &Arc<Fleet>,
        id: &str,
        service: &'static str,
        engine: bool,
        zone: &'static str,
    ) -> Arc<Self> {
        Self::start_instance(
            fleet,
            id,
            (service, engine, zone),
            Some(FIRST_START_MS),
            NEW_ADDRESSES,
        )
    }

    /// Kills the worker and, after a delay, starts a new instance with the same id, at the same
    /// address or another one. The new instance keeps no state.
    pub async fn restart_after(&self, after: Duration, moved: bool) -> Arc<Self> {
        self.kill();
        tokio::time::sleep(after).await;
        self.start_next_instance(moved)
    }

    /// Starts the next instance of a worker that was killed.
    pub fn start_next_instance(&self, moved: bool) -> Arc<Self> {
        if let Some(epoch) = self.epoch() {
            self.fleet.record_left(epoch, &self.id);
        }
        self.fleet.record_restarted(&self.id);
        let start_ms = self.start_ms.map(|start_ms| start_ms + 1000);
        let kind = (self.service, self.engine, self.zone);
        let registered = self.registered_address();
        let addresses = if moved { NEW_ADDRESSES } else { (&*self.address, &*registered) };
        Self::start_instance(&self.fleet, &self.id, kind, start_ms, addresses)
    }

    /// Sets the fault mode of connections from a source address.
    pub fn set_source_mode(&self, source: IpAddr, mode: FaultMode) {
        self.front.as_ref().expect("the worker has a proxy").set_mode(source, mode);
    }

    fn registered_address(&self) -> String {
        let front = self.front.as_ref().map(|front| front.address().to_string());
        let unframed = self.unframed.as_ref().map(|front| front.address().to_string());
        front.or(unframed).unwrap_or_else(|| self.address.clone())
    }

    /// Returns the number of heartbeats that this instance has sent, including the one in progress.
    pub fn heartbeats_sent(&self) -> u64 {
        self.seq.load(Ordering::Relaxed)
    }

    /// Returns the epoch of its replica, if it is a member of one.
    pub fn epoch(&self) -> Option<u64> {
        self.lock().membership.as_ref().map(|membership| membership.epoch)
    }

    /// Terminates the worker without notice. Its replica stalls.
    pub fn kill(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.fleet.record_stopped(&self.id);
        self.fleet.set_closed(&self.id);
        self.stop.send_replace(true);
        if let Some(front) = &self.front {
            front.close();
        }
        if let Some(front) = &self.unframed {
            front.close();
        }
    }

    /// Terminates the worker while it runs a request, and starts another worker after a delay.
    async fn crash_under_request(self: Arc<Self>, content: String) {
        let plan = self.fleet.crash_plan;
        tokio::time::sleep(match plan.stage {
            CrashStage::AfterEvents => CRASH_DELAY_IN_STREAM,
            _ => CRASH_DELAY,
        })
        .await;
        if self.is_stopped() {
            return;
        }
        self.kill();
        let number = self.fleet.record_crash(content);
        tokio::time::sleep(plan.restart_time).await;
        let id = format!("{}-{number}", self.id);
        Self::start_in(&self.fleet, &id, self.service, self.engine, self.zone);
    }

    /// Sets whether the worker is partitioned from controllers in both directions.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::Relaxed);
    }

    /// Sets whether it leaves orders unanswered and executes them after a delay.
    pub fn set_late_orders(&self, late_orders: bool) {
        self.late_orders.store(late_orders, Ordering::Relaxed);
    }

    /// Reports from now on that it is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Reports from now on in its answers, but not in its heartbeats, that it is leaving.
    pub fn leave_unreported(&self) {
        self.leaving_unreported.store(true, Ordering::Relaxed);
    }

    /// Streams events at half the usual rate from now on.
    pub fn set_slow(&self) {
        self.slow.store(true, Ordering::Relaxed);
    }

    /// Runs requests without answering them from now on.
    pub fn set_unresponsive(&self) {
        self.unresponsive.store(true, Ordering::Relaxed);
    }

    /// Sets the time that a plain worker takes for each request.
    pub fn set_service_time(&self, service_time: Duration) {
        *self.service_time.lock().expect("not poisoned") = service_time;
    }

    /// Rejects all requests with this backoff, or with `None` serves requests again.
    pub fn set_rejecting(&self, backoff: Option<Duration>) {
        *self.rejection_backoff.lock().expect("not poisoned") = backoff;
    }

    /// Sets or removes the limit that its answers state.
    pub fn set_limit(&self, limit: Option<&'static str>) {
        *self.limit.lock().expect("not poisoned") = limit;
        let (worker, limit) = (self.instance_name(), limit.and_then(|text| text.parse().ok()));
        self.fleet.record_notice_event(NoticeEvent::LimitSet { worker, limit, at: Instant::now() });
    }

    fn current_limit(&self) -> Option<&'static str> {
        *self.limit.lock().expect("not poisoned")
    }

    /// Returns the name of this instance in the recorded notice events.
    fn instance_name(&self) -> String {
        format!("{} started at {:?}", self.id, self.start_ms)
    }

    /// Returns the requests that arrived, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }

    /// Records a request that arrived. Returns the backoff to ask for if the worker rejects it.
    fn record_arrival(&self, request: &str) -> Option<Duration> {
        let backoff = *self.rejection_backoff.lock().expect("not poisoned");
        if let Some(gateway) = gateway_of(request) {
            let worker = self.instance_name();
            let limit = self.current_limit().and_then(|text| text.parse().ok());
            let notice = WorkerNotice { backoff, leaving: self.is_leaving(), limit };
            let at = Instant::now();
            self.fleet.record_notice_event(NoticeEvent::Arrived { worker, gateway, at, notice });
        }
        let arrival = Arrival { at: Instant::now(), backoff };
        self.arrivals.lock().expect("not poisoned").push(arrival);
        backoff
    }

    /// Returns whether the worker is leaving, which all its answers state.
    fn is_leaving(&self) -> bool {
        let flags = [&self.leaving, &self.leaving_unreported, &self.deregistered];
        flags.iter().any(|flag| flag.load(Ordering::Relaxed))
    }

    /// Deregisters without having reported that it is leaving, and still serves requests.
    pub async fn deregister(&self) {
        self.deregistered.store(true, Ordering::Relaxed);
        let body = self.start_ms.map(|start_ms| json!({"born": start_ms}).to_string());
        self.call_controllers("deregister", body.unwrap_or_default().into()).await;
    }

    /// Sends no more heartbeats. It answers everything as before.
    pub fn stop_heartbeats(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Deregisters at one controller, without a notice in its answers to requests; returns the
    /// status.
    pub async fn deregister_at(&self, controller: &str) -> u16 {
        self.call_controller(controller, "deregister", Bytes::new()).await
    }

    /// Reports a state to one controller, without a notice in its answers to requests; returns the
    /// status.
    pub async fn report_state_to(&self, controller: &str, state: &str) -> u16 {
        let mut heartbeat = self.heartbeat();
        heartbeat["state"] = state.into();
        self.call_controller(controller, "heartbeat", heartbeat.to_string().into()).await
    }

    /// Returns whether it was killed.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns the name of its replica and its state there, if it is a member of one.
    pub fn membership(&self) -> Option<(String, &'static str)> {
        let state = self.lock();
        state.membership.as_ref().map(|membership| (membership.name.clone(), membership.state))
    }

    /// Returns whether it is the head of a replica that serves.
    pub fn is_open_head(&self) -> bool {
        self.membership().is_some_and(|(_, state)| state == "open")
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().expect("not poisoned")
    }

    async fn send_heartbeats(self: Arc<Self>) {
        while !self.stopped.load(Ordering::Relaxed) {
            self.register().await;
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Sends a heartbeat to the first controller that accepts it.
    async fn register(&self) {
        let flags = [&self.partitioned, &self.deregistered, &self.silent];
        let silent = flags.iter().any(|flag| flag.load(Ordering::Relaxed));
        if self.is_stopped() || silent {
            return;
        }
        self.call_controllers("heartbeat", self.heartbeat().to_string().into()).await;
    }

    /// Sends a call of this worker to the first controller that accepts it.
    async fn call_controllers(&self, call: &str, body: Bytes) {
        for controller in &self.fleet.controllers {
            let status = self.call_controller(controller, call, body.clone()).await;
            if (200..300).contains(&status) {
                return;
            }
        }
    }

    /// Sends a call of this worker to a controller; returns the status, 0 without an answer.
    async fn call_controller(&self, controller: &str, call: &str, body: Bytes) -> u16 {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("/-/instances/{}/{call}", self.id))
            .header("host", controller)
            .body(Full::new(body))
            .expect("the request is valid");
        let answer = call_once(controller, request, Duration::from_secs(1)).await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    fn heartbeat(&self) -> Value {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let state = self.lock();
        let models: Vec<Value> =
            state.model.iter().map(|name| json!({"name": name, "version": 1})).collect();
        let group = state.membership.as_ref().map(|membership| {
            let rank = membership.members.iter().position(|member| *member == self.id);
            json!({"name": membership.name, "epoch": membership.epoch, "rank": rank, "state": membership.state})
        });
        let leaving = self.leaving.load(Ordering::Relaxed);
        let reported_state = if leaving { "draining" } else { "ready" };
        let mut body = json!({"service": self.service, "address": self.registered_address(), "zone": self.zone,
            "version": "v1", "cold_left_ms": 0, "slots": 8, "state": reported_state, "seq": seq + 1, "models": models, "group": group});
        if let Some(start_ms) = self.start_ms {
            body["born"] = json!(start_ms);
        }
        if self.engine {
            body["domain"] = json!(format!("{}-d0", self.zone));
            body["staged"] = json!(state.model.iter().collect::<Vec<_>>());
        }
        body
    }

    /// Returns whether the replica of this worker lacks a member.
    fn is_stalled(&self) -> bool {
        let state = self.lock();
        let Some(membership) = &state.membership else { return false };
        membership.members.iter().any(|member| self.fleet.is_missing(membership.epoch, member))
    }

    fn answer_request(self: &Arc<Self>, head: &Parts, body: &[u8]) -> HttpAnswer {
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = header("request-id");
        let mut builder = Response::builder().header("request-id", &id);
        if self.is_leaving() {
            builder = builder.header("server-leaving", "1");
        }
        if let Some(limit) = self.current_limit() {
            builder = builder.header("server-limit", limit);
        }
        let membership =
            self.lock().membership.clone().filter(|membership| membership.state == "open");
        if header("target-instance") != self.id || (self.engine && membership.is_none()) {
            return builder
                .status(421)
                .body(AnswerBody::complete(""))
                .expect("the response is valid");
        }
        if let Some(backoff) = self.record_arrival(&id) {
            let builder = builder.status(503).header("not-executed", "1");
            let builder = builder.header("retry-after", backoff.as_secs_f64().to_string());
            return builder.body(AnswerBody::complete("")).expect("the response is valid");
        }
        if let Some(membership) = &membership {
            self.fleet.check_complete(membership, &id);
        }
        self.fleet.record_run(&id, membership.as_ref().map(|membership| membership.epoch));
        let builder = builder.header("response-signature", format!("{}.1", self.id));
        let crashing = crashing_content(head, body);
        let crashes = crashing.is_some();
        if let Some(content) = crashing {
            self.fleet.record_crashing_run(&content);
            tokio::spawn(Arc::clone(self).crash_under_request(content));
        }
        if crashes && !(self.engine && self.fleet.crash_plan.stage == CrashStage::AfterEvents) {
            // Sends the head of the answer, but no event.
            let truncated = unfold((), |()| async {
                tokio::time::sleep(CRASH_DELAY).await;
                Some((Err(TruncatedAnswerError), ()))
            });
            return builder
                .body(AnswerBody::Chunks(Box::pin(truncated)))
                .expect("the response is valid");
        }
        if !self.engine {
            let body = format!("tenant {} request {id}", header("tenant"));
            return builder.body(AnswerBody::complete(body)).expect("the response is valid");
        }
        let after: u64 = header("last-event-id").parse().unwrap_or_default();
        let cut = after == 0 && head.uri.path().starts_with(CUT_PATH);
        let worker = Arc::clone(self);
        let fleet = Arc::clone(&self.fleet);
        let progress = StreamProgress { fleet, request: id, next: after + 1 };
        let events = unfold(progress, move |mut progress| {
            let worker = Arc::clone(&worker);
            async move {
                let number = progress.next;
                if number > EVENTS {
                    return None;
                }
                let slow = worker.slow.load(Ordering::Relaxed);
                tokio::time::sleep(EVENT_PAUSE * if slow { 2 } else { 1 }).await;
                if worker.stopped.load(Ordering::Relaxed) {
                    return Some((Err(TruncatedAnswerError), progress.truncated()));
                }
                let since = Instant::now();
                while worker.is_stalled() {
                    if since.elapsed() > STALL_TIMEOUT {
                        return Some((Err(TruncatedAnswerError), progress.truncated()));
                    }
                    tokio::time::sleep(EVENT_PAUSE).await;
                }
                if cut && number == CUT_EVENT {
                    let part = Bytes::from(event(number)).slice(..CUT_BYTES);
                    return Some((Ok(part), progress.truncated()));
                }
                progress.next = number + 1;
                Some((Ok(Bytes::from(event(number))), progress))
            }
        });
        let builder = builder.header("content-type", "text/event-stream");
        builder.body(AnswerBody::Chunks(Box::pin(events))).expect("the response is valid")
    }
}

impl HttpHandler for Worker {
    fn limits(&self) -> HttpLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> HttpAnswer {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let control = head.uri.path().starts_with("/-/");
        if control && self.partitioned.load(Ordering::Relaxed) {
            tokio::time::sleep(LIMITS.idle).await;
        }
        let other = head.headers.get("target-instance").is_some_and(|id| *id != self.id);
        if control && other {
            return Response::builder()
                .status(421)
                .body(AnswerBody::complete(""))
                .expect("the response is valid");
        }
        match head.uri.path() {
            "/-/order" => {
                let order = serde_json::from_slice(&body).unwrap_or_default();
                if self.late_orders.load(Ordering::Relaxed) {
                    let worker = Arc::clone(&self);
                    tokio::spawn(async move {
                        tokio::time::sleep(ORDER_DELAY).await;
                        if !worker.is_stopped() {
                            worker.handle_order(&order);
                        }
                    });
                    tokio::time::sleep(LIMITS.idle).await;
                    return Response::new(AnswerBody::complete(""));
                }
                let status = self.handle_order(&order);
                Response::builder()
                    .status(status)
                    .body(AnswerBody::complete("{}"))
                    .expect("the response is valid")
            }
            "/-/report" => {
                let report = self.start_ms.map_or(json!({}), |start_ms| json!({"born": start_ms}));
                Response::new(AnswerBody::complete(report.to_string()))
            }
            _ => {
                let answer = self.answer_request(&head, &body);
                let stage = self.fleet.crash_plan.stage;
                if stage == CrashStage::BeforeHead && crashing_content(&head, &body).is_some() {
                    while !self.is_stopped() {
                        tokio::time::sleep(CRASH_DELAY).await;
                    }
                    // Closes the connection without an answer, and without a message in the output.
                    std::panic::resume_unwind(Box::new("the worker has crashed"));
                }
                if answer.status().is_success() {
                    let service_time = *self.service_time.lock().expect("not poisoned");
                    tokio::time::sleep(service_time).await;
                }
                if self.unresponsive.load(Ordering::Relaxed) {
                    tokio::time::sleep(LIMITS.idle).await;
                }
                answer
            }
        }
    }
}
