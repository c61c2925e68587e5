//! Stand-in workers that speak the platform's protocol: they register, take orders, and serve.

mod orders;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use hollowbarrow_member::http::{bind_http, call_once};
use hollowbarrow_member::{
    AnswerBody, HttpAnswer, HttpHandler, HttpLimits, TruncatedAnswerError, serve_http,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::demands::{DemandEvent, WorkerWord};
use crate::fleet::{Fleet, Membership};

/// Events of a whole stream.
pub const EVENTS: u64 = 30;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(200);
const LIMITS: HttpLimits = HttpLimits { head_bytes: 16 << 10, idle: Duration::from_secs(15) };

/// Body of a request that ends each worker that begins to run it.
pub const ENDS_WORKER: &[u8] = b"{\"ends\": \"worker\"}";
/// Time for which such a request runs before its worker ends.
const ENDING_TIME: Duration = Duration::from_millis(40);
/// Time after which another life of such a worker comes.
const RESTART_TIME: Duration = Duration::from_millis(600);

/// Start of the first life of each worker that tells it, in Unix milliseconds.
pub const FIRST_BORN: u64 = 1_764_720_000_000;

/// Identity of a request that tells by which gateway it comes.
pub fn request_by(gateway: usize, name: &str) -> String {
    format!("{name}-by{gateway}")
}

/// The gateway by which a request comes, where it tells.
fn gateway_of(request: &str) -> Option<usize> {
    request.rsplit_once("-by")?.1.parse().ok()
}

/// Bytes of one event of a stream.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// Time for which a head without a member stands still before it breaks off.
const STALL_TIME: Duration = Duration::from_millis(1500);
/// How late a worker that leaves orders unanswered carries them out.
const LATE_TIME: Duration = Duration::from_millis(900);

#[derive(Default)]
struct WorkerState {
    model: Option<String>,
    membership: Option<Membership>,
    /// Highest epoch and fence seen in this life.
    highest: (u64, u64),
}

/// A request that came to a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// For how long the worker asked for no more requests, where it turned this one away.
    pub backoff: Option<Duration>,
}

/// One worker.
pub struct Worker {
    pub id: String,
    /// Unix milliseconds of its start, where it tells that.
    born: Option<u64>,
    address: String,
    service: &'static str,
    engine: bool,
    zone: &'static str,
    seq: AtomicU64,
    stopped: AtomicBool,
    /// Whether controllers neither hear of it nor reach it.
    cut: AtomicBool,
    /// Whether it leaves orders unanswered and carries them out late.
    late: AtomicBool,
    /// Whether it says that it leaves.
    leaving: AtomicBool,
    /// Whether it leaves, and what it tells controllers does not say so yet.
    leaving_unheard: AtomicBool,
    /// Whether it has deregistered, and only serves on.
    gone: AtomicBool,
    /// Whether its events come at half the usual rate.
    slow: AtomicBool,
    /// Whether it runs requests without a word.
    mute: AtomicBool,
    /// Time for which a plain worker works on a request.
    work: Mutex<Duration>,
    /// What it says to each request that it turns away, while it turns all away.
    turns_away: Mutex<Option<Duration>>,
    /// The limit that it names in its answers, as it stands there.
    limit: Mutex<Option<&'static str>>,
    /// Requests that came, in order.
    arrivals: Mutex<Vec<Arrival>>,
    state: Mutex<WorkerState>,
    fleet: Arc<Fleet>,
    stop: watch::Sender<bool>,
}

impl Worker {
    /// Starts a worker on a port of the kernel's choice.
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
        Self::start_life(fleet, id, (service, engine, zone), None, "127.0.0.1:0")
    }

    /// Starts one life of a worker at an address.
    fn start_life(
        fleet: &Arc<Fleet>,
        id: &str,
        (service, engine, zone): (&'static str, bool, &'static str),
        born: Option<u64>,
        address: &str,
    ) -> Arc<Self> {
        let listener = bind_http(address).expect("the port is free");
        let address = listener.local_addr().expect("it is bound").to_string();
        let (stop, stopped) = watch::channel(false);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            born,
            address,
            service,
            engine,
            zone,
            seq: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            late: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            leaving_unheard: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            slow: AtomicBool::new(false),
            mute: AtomicBool::new(false),
            work: Mutex::default(),
            turns_away: Mutex::default(),
            limit: Mutex::default(),
            arrivals: Mutex::default(),
            state: Mutex::default(),
            fleet: Arc::clone(fleet),
            stop,
        });
        tokio::spawn(serve_http(listener, stopped, Arc::clone(&worker)));
        tokio::spawn(Arc::clone(&worker).beat());
        worker
    }

    /// Starts a worker that tells when it was born.
    pub fn start_born(
        fleet: &Arc<Fleet>,
        id: &str,
        service: &'static str,
        engine: bool,
        zone: &'static str,
    ) -> Arc<Self> {
        Self::start_life(fleet, id, (service, engine, zone), Some(FIRST_BORN), "127.0.0.1:0")
    }

    /// Ends the worker without a word and starts it again under its id after a while, at the same
    /// address or another one; it then knows nothing of before.
    pub async fn start_again(&self, after: Duration, moved: bool) -> Arc<Self> {
        self.kill();
        tokio::time::sleep(after).await;
        self.start_next(moved)
    }

    /// Starts the next life of a worker that has ended.
    pub fn start_next(&self, moved: bool) -> Arc<Self> {
        if let Some(epoch) = self.epoch() {
            self.fleet.note_left(epoch, &self.id);
        }
        self.fleet.note_alive(&self.id);
        let born = self.born.map(|born| born + 1000);
        let kind = (self.service, self.engine, self.zone);
        let address = if moved { "127.0.0.1:0" } else { &self.address };
        Self::start_life(&self.fleet, &self.id, kind, born, address)
    }

    /// Heartbeats that this life has sent.
    pub fn beats(&self) -> u64 {
        self.seq.load(Ordering::Relaxed)
    }

    /// Epoch of its replica, if it is a member of one.
    pub fn epoch(&self) -> Option<u64> {
        self.lock().membership.as_ref().map(|held| held.epoch)
    }

    /// Ends the worker without a word; its replica stands still.
    pub fn kill(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.fleet.note_dead(&self.id);
        self.fleet.set_closed(&self.id);
        self.stop.send_replace(true);
    }

    /// Ends under a request; another life comes after a while.
    async fn end_under_request(self: Arc<Self>, path: String) {
        tokio::time::sleep(ENDING_TIME).await;
        if self.is_stopped() {
            return;
        }
        self.kill();
        let number = self.fleet.note_ended(path);
        tokio::time::sleep(RESTART_TIME).await;
        let id = format!("{}-{number}", self.id);
        Self::start_in(&self.fleet, &id, self.service, self.engine, self.zone);
    }

    /// Whether controllers neither hear of it nor reach it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Whether it leaves orders unanswered and carries them out late.
    pub fn set_late(&self, late: bool) {
        self.late.store(late, Ordering::Relaxed);
    }

    /// Says from now on that it leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Leaves from now on, while controllers still hear what it said before.
    pub fn leave_unheard(&self) {
        self.leaving_unheard.store(true, Ordering::Relaxed);
    }

    /// Has its events come at half the usual rate.
    pub fn set_slow(&self) {
        self.slow.store(true, Ordering::Relaxed);
    }

    /// Has it run requests and never answer them.
    pub fn set_mute(&self) {
        self.mute.store(true, Ordering::Relaxed);
    }

    /// Has a plain worker take this time for each request.
    pub fn set_work(&self, work: Duration) {
        *self.work.lock().expect("not poisoned") = work;
    }

    /// Has it turn all requests away and ask for no more for this time, or serve again.
    pub fn turn_away(&self, backoff: Option<Duration>) {
        *self.turns_away.lock().expect("not poisoned") = backoff;
    }

    /// Has it name a limit in all its answers, or none.
    pub fn name_limit(&self, limit: Option<&'static str>) {
        *self.limit.lock().expect("not poisoned") = limit;
        let (worker, limit) = (self.life(), limit.and_then(|text| text.parse().ok()));
        self.fleet.note_demand(DemandEvent::Named { worker, limit, at: Instant::now() });
    }

    fn named_limit(&self) -> Option<&'static str> {
        *self.limit.lock().expect("not poisoned")
    }

    /// Name of this life in the record of what comes to workers.
    fn life(&self) -> String {
        format!("{} born {:?}", self.id, self.born)
    }

    /// Requests that came, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }

    /// Notes a request that came; for how long no more are wanted, where it is turned away.
    fn note_arrival(&self, request: &str) -> Option<Duration> {
        let backoff = *self.turns_away.lock().expect("not poisoned");
        if let Some(gateway) = gateway_of(request) {
            let worker = self.life();
            let limit = self.named_limit().and_then(|text| text.parse().ok());
            let word = WorkerWord { backoff, leaving: self.is_leaving(), limit };
            let at = Instant::now();
            self.fleet.note_demand(DemandEvent::Came { worker, gateway, at, word });
        }
        let arrival = Arrival { at: Instant::now(), backoff };
        self.arrivals.lock().expect("not poisoned").push(arrival);
        backoff
    }

    /// Whether it is about to end, which it says in all its answers.
    fn is_leaving(&self) -> bool {
        let flags = [&self.leaving, &self.leaving_unheard, &self.gone];
        flags.iter().any(|flag| flag.load(Ordering::Relaxed))
    }

    /// Says that it goes, without having said that it leaves, and serves on for a while.
    pub async fn deregister(&self) {
        self.gone.store(true, Ordering::Relaxed);
        let told = self.born.map(|born| json!({"born": born}).to_string());
        self.tell_controllers("deregister", told.unwrap_or_default().into()).await;
    }

    /// Whether it was killed.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// State of its replica, if it is a member of one.
    pub fn membership(&self) -> Option<(String, &'static str)> {
        let state = self.lock();
        state.membership.as_ref().map(|held| (held.name.clone(), held.state))
    }

    /// Whether it is the head of a replica that serves.
    pub fn is_open_head(&self) -> bool {
        self.membership().is_some_and(|(_, state)| state == "open")
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().expect("not poisoned")
    }

    async fn beat(self: Arc<Self>) {
        while !self.stopped.load(Ordering::Relaxed) {
            self.register().await;
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Registers at the first controller that takes it.
    async fn register(&self) {
        let silent = self.cut.load(Ordering::Relaxed) || self.gone.load(Ordering::Relaxed);
        if self.is_stopped() || silent {
            return;
        }
        self.tell_controllers("heartbeat", self.heartbeat().to_string().into()).await;
    }

    /// Makes a call of this worker at the first controller that takes it.
    async fn tell_controllers(&self, call: &str, body: Bytes) {
        for controller in &self.fleet.controllers {
            let request = Request::builder()
                .method(Method::POST)
                .uri(format!("/-/instances/{}/{call}", self.id))
                .header("host", controller)
                .body(Full::new(body.clone()))
                .expect("the request is sound");
            let answer = call_once(controller, request, Duration::from_secs(1)).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
        }
    }

    fn heartbeat(&self) -> Value {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let state = self.lock();
        let models: Vec<Value> =
            state.model.iter().map(|name| json!({"name": name, "version": 1})).collect();
        let group = state.membership.as_ref().map(|held| {
            let rank = held.members.iter().position(|member| *member == self.id);
            json!({"name": held.name, "epoch": held.epoch, "rank": rank, "state": held.state})
        });
        let leaving = self.leaving.load(Ordering::Relaxed);
        let told = if leaving { "draining" } else { "ready" };
        let mut body = json!({"service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "cold_left_ms": 0, "slots": 8, "state": told, "seq": seq + 1, "models": models, "group": group});
        if let Some(born) = self.born {
            body["born"] = json!(born);
        }
        if self.engine {
            body["domain"] = json!(format!("{}-d0", self.zone));
            body["staged"] = json!(state.model.iter().collect::<Vec<_>>());
        }
        body
    }

    /// Whether the replica that this worker heads lacks a member.
    fn stands_still(&self) -> bool {
        let state = self.lock();
        let Some(held) = &state.membership else { return false };
        held.members.iter().any(|member| self.fleet.is_missing(held.epoch, member))
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
        if let Some(limit) = self.named_limit() {
            builder = builder.header("server-limit", limit);
        }
        let held = self.lock().membership.clone().filter(|held| held.state == "open");
        if header("target-instance") != self.id || (self.engine && held.is_none()) {
            return builder.status(421).body(AnswerBody::complete("")).expect("sound");
        }
        if let Some(backoff) = self.note_arrival(&id) {
            let builder = builder.status(503).header("not-executed", "1");
            let builder = builder.header("retry-after", backoff.as_secs_f64().to_string());
            return builder.body(AnswerBody::complete("")).expect("sound");
        }
        if let Some(held) = &held {
            self.fleet.check_whole(held, &id);
        }
        self.fleet.note_run(&id, held.as_ref().map(|held| held.epoch));
        let builder = builder.header("response-signature", format!("{}.1", self.id));
        if body == ENDS_WORKER {
            let path = head.uri.path().to_owned();
            self.fleet.note_ending_run(&path);
            tokio::spawn(Arc::clone(self).end_under_request(path));
            // The head goes out, and no event.
            let cut = unfold((), |()| async {
                tokio::time::sleep(ENDING_TIME).await;
                Some((Err(TruncatedAnswerError), ()))
            });
            return builder.body(AnswerBody::Chunks(Box::pin(cut))).expect("sound");
        }
        if !self.engine {
            let body = format!("tenant {} request {id}", header("tenant"));
            return builder.body(AnswerBody::complete(body)).expect("sound");
        }
        let after: u64 = header("last-event-id").parse().unwrap_or_default();
        let worker = Arc::clone(self);
        let events = unfold(after + 1, move |number| {
            let worker = Arc::clone(&worker);
            async move {
                if number > EVENTS {
                    return None;
                }
                let slow = worker.slow.load(Ordering::Relaxed);
                tokio::time::sleep(EVENT_PAUSE * if slow { 2 } else { 1 }).await;
                if worker.stopped.load(Ordering::Relaxed) {
                    return Some((Err(TruncatedAnswerError), EVENTS + 1));
                }
                let since = Instant::now();
                while worker.stands_still() {
                    if since.elapsed() > STALL_TIME {
                        return Some((Err(TruncatedAnswerError), EVENTS + 1));
                    }
                    tokio::time::sleep(EVENT_PAUSE).await;
                }
                Some((Ok(Bytes::from(event(number))), number + 1))
            }
        });
        let builder = builder.header("content-type", "text/event-stream");
        builder.body(AnswerBody::Chunks(Box::pin(events))).expect("sound")
    }
}

impl HttpHandler for Worker {
    fn limits(&self) -> HttpLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> HttpAnswer {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let control = head.uri.path().starts_with("/-/");
        if control && self.cut.load(Ordering::Relaxed) {
            tokio::time::sleep(LIMITS.idle).await;
        }
        let other = head.headers.get("target-instance").is_some_and(|id| *id != self.id);
        if control && other {
            return Response::builder().status(421).body(AnswerBody::complete("")).expect("sound");
        }
        match head.uri.path() {
            "/-/order" => {
                let order = serde_json::from_slice(&body).unwrap_or_default();
                if self.late.load(Ordering::Relaxed) {
                    let worker = Arc::clone(&self);
                    tokio::spawn(async move {
                        tokio::time::sleep(LATE_TIME).await;
                        if !worker.is_stopped() {
                            worker.take_order(&order);
                        }
                    });
                    tokio::time::sleep(LIMITS.idle).await;
                    return Response::new(AnswerBody::complete(""));
                }
                let status = self.take_order(&order);
                Response::builder().status(status).body(AnswerBody::complete("{}")).expect("sound")
            }
            "/-/report" => {
                let told = self.born.map_or(json!({}), |born| json!({"born": born}));
                Response::new(AnswerBody::complete(told.to_string()))
            }
            _ => {
                let answer = self.answer_request(&head, &body);
                if answer.status().is_success() {
                    let work = *self.work.lock().expect("not poisoned");
                    tokio::time::sleep(work).await;
                }
                if self.mute.load(Ordering::Relaxed) {
                    tokio::time::sleep(LIMITS.idle).await;
                }
                answer
            }
        }
    }
}
