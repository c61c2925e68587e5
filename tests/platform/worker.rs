//! Stand-in workers that speak the platform's protocol: they register, take orders, and serve.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use hollowbarrow_member::http::{bind_http, call_once};
use hollowbarrow_member::{
    AnswerBody, CutAnswerError, HttpAnswer, HttpHandler, HttpLimits, serve_http,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use serde_json::{Value, json};
use tokio::sync::watch;

/// Events of a whole stream.
pub const EVENTS: u64 = 30;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(200);
const JOIN_TIME: Duration = Duration::from_millis(100);
const LIMITS: HttpLimits = HttpLimits { head_bytes: 16 << 10, idle: Duration::from_secs(15) };

/// Bytes of one event of a stream.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

#[derive(Clone)]
struct Membership {
    name: String,
    epoch: u64,
    members: Vec<String>,
    state: &'static str,
}

#[derive(Default)]
struct WorkerState {
    model: Option<String>,
    membership: Option<Membership>,
}

/// What all workers of a test share: who is alive, and what ran.
#[derive(Default)]
pub struct Fleet {
    pub controllers: Vec<String>,
    dead: Mutex<Vec<String>>,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Fleet {
    pub fn new(controllers: Vec<String>) -> Arc<Self> {
        Arc::new(Self { controllers, ..Self::default() })
    }

    /// How often a request ran.
    pub fn runs(&self, request: &str) -> u32 {
        self.runs.lock().expect("not poisoned").get(request).copied().unwrap_or_default()
    }

    fn is_dead(&self, id: &str) -> bool {
        self.dead.lock().expect("not poisoned").iter().any(|dead| dead == id)
    }
}

/// One worker.
pub struct Worker {
    pub id: String,
    address: String,
    service: &'static str,
    engine: bool,
    seq: AtomicU64,
    stopped: AtomicBool,
    state: Mutex<WorkerState>,
    fleet: Arc<Fleet>,
    stop: watch::Sender<bool>,
}

impl Worker {
    /// Starts a worker on a port of the kernel's choice.
    pub fn start(fleet: &Arc<Fleet>, id: &str, service: &'static str, engine: bool) -> Arc<Self> {
        let listener = bind_http("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound").to_string();
        let (stop, stopped) = watch::channel(false);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            service,
            engine,
            seq: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            state: Mutex::default(),
            fleet: Arc::clone(fleet),
            stop,
        });
        tokio::spawn(serve_http(listener, stopped, Arc::clone(&worker)));
        tokio::spawn(Arc::clone(&worker).beat());
        worker
    }

    /// Ends the worker without a word; its replica stands still.
    pub fn kill(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.fleet.dead.lock().expect("not poisoned").push(self.id.clone());
        self.stop.send_replace(true);
    }

    /// State of its replica, if it is a member of one.
    pub fn membership(&self) -> Option<(String, &'static str)> {
        let state = self.lock();
        state.membership.as_ref().map(|held| (held.name.clone(), held.state))
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
        if self.stopped.load(Ordering::Relaxed) {
            return;
        }
        let body = self.heartbeat().to_string();
        for controller in &self.fleet.controllers {
            let request = Request::builder()
                .method(Method::POST)
                .uri(format!("/-/instances/{}/heartbeat", self.id))
                .header("host", controller)
                .body(Full::new(Bytes::from(body.clone())))
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
        let mut body = json!({"service": self.service, "address": self.address, "zone": "a",
            "slots": 8, "state": "ready", "seq": seq + 1, "models": models, "group": group});
        if self.engine {
            body["domain"] = json!("a-d0");
            body["staged"] = json!(state.model.iter().collect::<Vec<_>>());
        }
        body
    }

    fn take_order(self: &Arc<Self>, order: &Value) -> u16 {
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let epoch = order["epoch"].as_u64().unwrap_or_default();
        let mut state = self.lock();
        let own = state.membership.clone().filter(|held| held.epoch == epoch);
        let status = match (text("op").as_str(), own) {
            ("join", Some(_)) => 200,
            ("join", None) => {
                let members = order["members"].as_array().cloned().unwrap_or_default();
                let members = members.iter().filter_map(Value::as_str).map(str::to_owned).collect();
                let name = text("group");
                state.membership = Some(Membership { name, epoch, members, state: "joining" });
                drop(state);
                tokio::spawn(Arc::clone(self).finish_join(epoch, text("model")));
                return 202;
            }
            ("open", Some(held)) if held.state == "ready" => {
                state.membership = Some(Membership { state: "open", ..held });
                202
            }
            ("close", Some(held)) if held.state == "open" => {
                state.membership = Some(Membership { state: "ready", ..held });
                202
            }
            ("leave", Some(_)) => {
                state.membership = None;
                200
            }
            ("stage", _) => 202,
            _ => 409,
        };
        drop(state);
        let worker = Arc::clone(self);
        tokio::spawn(async move { worker.register().await });
        status
    }

    async fn finish_join(self: Arc<Self>, epoch: u64, model: String) {
        tokio::time::sleep(JOIN_TIME).await;
        {
            let mut state = self.lock();
            state.model = Some(model);
            if let Some(held) = &mut state.membership
                && held.epoch == epoch
            {
                held.state = "ready";
            }
        }
        self.register().await;
    }

    /// Whether the replica that this worker heads lacks a member.
    fn stands_still(&self) -> bool {
        let state = self.lock();
        let members = state.membership.iter().flat_map(|held| &held.members);
        members.into_iter().any(|member| self.fleet.is_dead(member))
    }

    fn answer_request(self: &Arc<Self>, head: &Parts) -> HttpAnswer {
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = header("request-id");
        let builder = Response::builder().header("request-id", &id);
        let open = self.membership().is_some_and(|(_, state)| state == "open");
        if header("target-instance") != self.id || (self.engine && !open) {
            return builder.status(421).body(AnswerBody::whole("")).expect("sound");
        }
        *self.fleet.runs.lock().expect("not poisoned").entry(id).or_default() += 1;
        let builder = builder.header("response-signature", format!("{}.1", self.id));
        if !self.engine {
            let body = format!("tenant {}", header("tenant"));
            return builder.body(AnswerBody::whole(body)).expect("sound");
        }
        let after: u64 = header("last-event-id").parse().unwrap_or_default();
        let worker = Arc::clone(self);
        let events = unfold(after + 1, move |number| {
            let worker = Arc::clone(&worker);
            async move {
                if number > EVENTS {
                    return None;
                }
                tokio::time::sleep(EVENT_PAUSE).await;
                if worker.stopped.load(Ordering::Relaxed) {
                    return Some((Err(CutAnswerError), EVENTS + 1));
                }
                while worker.stands_still() {
                    tokio::time::sleep(EVENT_PAUSE).await;
                }
                Some((Ok(Bytes::from(event(number))), number + 1))
            }
        });
        let builder = builder.header("content-type", "text/event-stream");
        builder.body(AnswerBody::Pieces(Box::pin(events))).expect("sound")
    }
}

impl HttpHandler for Worker {
    fn limits(&self) -> HttpLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> HttpAnswer {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        match head.uri.path() {
            "/-/order" => {
                let order = serde_json::from_slice(&body).unwrap_or_default();
                let status = self.take_order(&order);
                Response::builder().status(status).body(AnswerBody::whole("{}")).expect("sound")
            }
            "/-/report" => Response::new(AnswerBody::whole("{}")),
            _ => self.answer_request(&head),
        }
    }
}
