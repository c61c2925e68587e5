//! A stand-in model worker with orders, reports, batching, a prefix cache and streaming.
//!
//! Tokens are a function of the prompt, so that a test can check that a response belongs to its
//! request and is complete, and a stream can be resumed on another replica. The time per token
//! grows with the batch, the time to the first token with the uncached part of the prompt.

use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_schema::{
    Epoch, FencedOrder, LoadOrder, NodeId, NodeOrder, NodeReport, NodeState, OrderRefusal, StartId,
    weights_name,
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::Semaphore;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::record::{RunHistory, RunRecord};
use crate::serve::{
    Answer, ChannelBody, ChunkSender, NodePort, ProcessState, TruncatedBody, json_answer,
};

/// Tokens generated for a request without `max_tokens`.
const DEFAULT_TOKENS: u32 = 32;
/// Size of a block of the prefix cache, in bytes of the prompt.
const BLOCK_BYTES: usize = 256;

/// Prompt that crashes each model worker that starts to run it.
pub const CRASHING_PROMPT: &str = "end the worker";
/// Prompt whose first stream gets stuck within an event that never ends.
pub const ENDLESS_PROMPT: &str = "send without end";
/// Pause between two bytes of such an event.
const ENDLESS_PAUSE: Duration = Duration::from_millis(20);

/// Timing and limits of a stand-in model worker.
#[derive(Clone, Debug)]
pub struct ModelConfig {
    /// Time to load weights from the store; weights on the node load in a quarter of it.
    pub load: Duration,
    /// Time between tokens, up to the full batch.
    pub token: Duration,
    /// Time to compute one uncached block of the prompt.
    pub block: Duration,
    /// Size of the batch above which the time between tokens grows.
    pub batch: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Shortest time between two updates of the load that the node reports.
    pub report_lag: Duration,
    /// Time between the start of [`CRASHING_PROMPT`] and the crash.
    pub crash_delay: Duration,
}

impl Default for ModelConfig {
    fn default() -> Self {
        Self {
            load: Duration::from_millis(300),
            token: Duration::from_millis(5),
            block: Duration::from_millis(2),
            batch: 32,
            cache_blocks: 512,
            report_lag: Duration::from_millis(500),
            crash_delay: Duration::ZERO,
        }
    }
}

/// Returns the token that all stand-ins generate at a position of the response to a prompt.
pub fn expected_token(prompt: &str, index: u32) -> String {
    let hash = xxh3_64(format!("{prompt}/{index}").as_bytes());
    format!("{index}:{:04x} ", hash & 0xffff)
}

#[derive(Debug)]
pub(crate) struct ModelState {
    pub(crate) start: StartId,
    pub(crate) epoch: Epoch,
    pub(crate) owner: Option<String>,
    pub(crate) state: NodeState,
    pub(crate) order: Option<LoadOrder>,
    epoch_changed: Instant,
    running: u32,
    reported: (Instant, u32),
    weights: BTreeSet<String>,
    cache: VecDeque<u64>,
    /// Accepted orders whose epoch was older than the node's. Only a node that does not check
    /// epochs accepts them. Tests require 0, since daemons must not send stale orders.
    pub(crate) stale_orders_accepted: u32,
}

/// Returns for how long a replica has been missing a member, `None` if all members run and have
/// its epoch.
pub(crate) type MembersCheck = Arc<dyn Fn(&[NodeId], Epoch) -> Option<Duration> + Send + Sync>;

pub(crate) struct ModelNode {
    pub(crate) id: NodeId,
    pub(crate) config: ModelConfig,
    pub(crate) checks_orders: bool,
    pub(crate) state: Mutex<ModelState>,
    pub(crate) history: RunHistory,
    pub(crate) store: Arc<Semaphore>,
    pub(crate) members: MembersCheck,
    pub(crate) port: std::sync::OnceLock<NodePort>,
}

impl ModelNode {
    pub(crate) fn new_state(start: StartId) -> ModelState {
        ModelState {
            start,
            epoch: Epoch(0),
            owner: None,
            state: NodeState::Idle,
            order: None,
            epoch_changed: Instant::now(),
            running: 0,
            reported: (Instant::now(), 0),
            weights: BTreeSet::new(),
            cache: VecDeque::new(),
            stale_orders_accepted: 0,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ModelState> {
        self.state.lock().expect("the mutex is not poisoned")
    }

    pub(crate) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/hollowbarrow/v1/report" => json_answer(StatusCode::OK, &self.report()),
            "/hollowbarrow/v1/order" => self.accept_order(request).await,
            "/v1/chat/completions" | "/v1/completions" => self.complete(request).await,
            _ => json_answer(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
        }
    }

    fn report(&self) -> NodeReport {
        let mut state = self.lock();
        if state.reported.0.elapsed() >= self.config.report_lag {
            state.reported = (Instant::now(), state.running);
        }
        NodeReport {
            node: self.id.clone(),
            start: state.start,
            epoch: state.epoch,
            state: state.state,
            owner: state.owner.clone(),
            running: state.reported.1,
            queued: 0,
            weights: state.weights.iter().cloned().collect(),
        }
    }

    async fn accept_order(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let Ok(body) = request.into_body().collect().await else {
            return json_answer(StatusCode::BAD_REQUEST, &json!({}));
        };
        let Ok(order) = serde_json::from_slice::<FencedOrder>(&body.to_bytes()) else {
            return json_answer(StatusCode::BAD_REQUEST, &json!({}));
        };
        let mut state = self.lock();
        let foreign = state.owner.as_ref().is_some_and(|owner| *owner != order.owner);
        let stale = order.epoch < state.epoch;
        if foreign || stale {
            if self.checks_orders || foreign {
                let owner = state.owner.clone().unwrap_or_default();
                let refusal = OrderRefusal { epoch: state.epoch, owner };
                return json_answer(StatusCode::CONFLICT, &refusal);
            }
            state.stale_orders_accepted += 1;
        }
        let repeated = state.epoch == order.epoch && state.state != NodeState::Idle;
        if state.epoch != order.epoch {
            state.epoch_changed = Instant::now();
        }
        state.epoch = order.epoch;
        match order.order {
            NodeOrder::Load(load) if !repeated => {
                state.owner = Some(order.owner);
                state.state = NodeState::Loading;
                state.order = Some(load.clone());
                let node = Arc::clone(&self);
                tokio::spawn(node.load(load, order.epoch, state.start));
            }
            NodeOrder::Load(_) => {}
            NodeOrder::Drain => state.state = NodeState::Draining,
            NodeOrder::Release => {
                state.state = NodeState::Idle;
                state.owner = None;
                state.order = None;
            }
        }
        json_answer(StatusCode::ACCEPTED, &json!({}))
    }

    /// Loads weights, from the store unless the node has them.
    async fn load(self: Arc<Self>, load: LoadOrder, epoch: Epoch, start: StartId) {
        let name = weights_name(&load.model, &load.version);
        let cached = self.lock().weights.contains(&name);
        if cached {
            tokio::time::sleep(self.config.load / 4).await;
        } else {
            let _permit = self.store.acquire().await;
            tokio::time::sleep(self.config.load).await;
        }
        let mut state = self.lock();
        if state.epoch == epoch && state.start == start && state.state == NodeState::Loading {
            state.state = NodeState::Ready;
            state.weights.insert(name);
        }
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return json_answer(StatusCode::BAD_REQUEST, &json!({})),
        };
        let Ok(body) = serde_json::from_slice::<Value>(&body) else {
            return json_answer(StatusCode::BAD_REQUEST, &json!({"error": "not JSON"}));
        };
        let job = CompletionJob::new(&parts.headers, &body);
        if let Some(refusal) = self.refuse(&job) {
            return refusal;
        }
        let guard = BatchGuard::new(&self);
        self.record_run(&job);
        if job.prompt.contains(CRASHING_PROMPT)
            && let Some(port) = self.port.get()
        {
            tokio::time::sleep(self.config.crash_delay).await;
            port.set_process_state(ProcessState::Stopped);
        }
        let uncached = self.compute_prefix(&job.prompt);
        let first = self.config.token + self.config.block * uncached;
        if job.stream {
            let (sender, body) = ChannelBody::new();
            let request_id = job.request_id.clone();
            let node = Arc::clone(&self);
            tokio::spawn(async move { node.stream(job, first, sender, guard).await });
            return Response::builder()
                .header("content-type", "text/event-stream")
                .header("x-request-id", request_id)
                .body(body)
                .expect("the response has a valid status and valid headers");
        }
        tokio::time::sleep(first + self.token_time() * job.tokens).await;
        drop(guard);
        let text: String =
            (0..job.tokens).map(|index| expected_token(&job.prompt, index)).collect();
        let mut answer = json_answer(
            StatusCode::OK,
            &json!({
                "id": job.request_id,
                "object": "chat.completion",
                "model": job.model,
                "choices": [{
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }],
                "usage": {"completion_tokens": job.tokens},
            }),
        );
        if let Ok(value) = job.request_id.parse() {
            answer.headers_mut().insert("x-request-id", value);
        }
        answer
    }

    /// Returns a refusal that says `not_run` unless this node can serve the request.
    fn refuse(&self, job: &CompletionJob) -> Option<Answer> {
        let state = self.lock();
        let stale = self.checks_orders && job.epoch.is_some_and(|epoch| epoch != state.epoch);
        let head = state.order.as_ref().is_some_and(|order| order.rank == 0);
        if !stale && head && matches!(state.state, NodeState::Ready | NodeState::Draining) {
            return None;
        }
        let reason = json!({"error": {"code": "not_here", "ran": "not_run"}});
        Some(json_answer(StatusCode::CONFLICT, &reason))
    }

    fn record_run(&self, job: &CompletionJob) {
        let (members, epoch, draining) = {
            let state = self.lock();
            let members = state.order.as_ref().map(|order| order.members.clone());
            (members.unwrap_or_default(), state.epoch, state.state == NodeState::Draining)
        };
        self.history.record(RunRecord {
            key: job.key.clone(),
            node: self.id.to_string(),
            missing_ms: (self.members)(&members, epoch)
                .map_or(0, |missing| u64::try_from(missing.as_millis()).unwrap_or(u64::MAX)),
            past_deadline: job.past_deadline,
            draining,
        });
    }

    /// Adds a prompt's blocks to the cache and returns how many were missing.
    fn compute_prefix(&self, prompt: &str) -> u32 {
        let mut state = self.lock();
        let mut prefix_hash = 0;
        let mut missing = 0;
        for block in prompt.as_bytes().chunks(BLOCK_BYTES) {
            prefix_hash = xxh3_64(&[&u64::to_le_bytes(prefix_hash), block].concat());
            match state.cache.iter().position(|entry| *entry == prefix_hash) {
                Some(position) => {
                    state.cache.remove(position);
                }
                None => missing += 1,
            }
            state.cache.push_back(prefix_hash);
        }
        while state.cache.len() > self.config.cache_blocks {
            state.cache.pop_front();
        }
        missing
    }

    /// Returns the time between tokens for the current batch.
    fn token_time(&self) -> Duration {
        let running = self.lock().running;
        let factor = (f64::from(running) / f64::from(self.config.batch)).max(1.0);
        self.config.token.mul_f64(factor)
    }

    async fn stream(
        self: Arc<Self>,
        job: CompletionJob,
        first: Duration,
        sender: ChunkSender,
        _guard: BatchGuard,
    ) {
        let mut watcher = match self.port.get() {
            Some(port) => port.watch(),
            None => return,
        };
        tokio::time::sleep(first).await;
        let (start, epoch, members) = {
            let state = self.lock();
            let members = state.order.as_ref().map(|order| order.members.clone());
            (state.start, state.epoch, members.unwrap_or_default())
        };
        for index in job.resume_from..job.tokens {
            NodePort::wait_until_resumed(&mut watcher).await;
            let lost = {
                let state = self.lock();
                state.start != start || state.epoch != epoch
            };
            if lost || (self.members)(&members, epoch).is_some() {
                // The loss of a member stops the replica and all its streams.
                let _ = sender.send(Err(TruncatedBody)).await;
                return;
            }
            if job.prompt.contains(ENDLESS_PROMPT) && job.resume_from == 0 && index > 0 {
                return send_endless_event(&sender).await;
            }
            let text = expected_token(&job.prompt, index);
            let chunk = json!({
                "id": job.request_id,
                "object": "chat.completion.chunk",
                "model": job.model,
                "token_index": index,
                "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
            });
            if sender.send(Ok(Bytes::from(format!("data: {chunk}\n\n")))).await.is_err() {
                return;
            }
            tokio::time::sleep(self.token_time()).await;
        }
        let last = json!({
            "id": job.request_id,
            "object": "chat.completion.chunk",
            "model": job.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        });
        let _ = sender.send(Ok(Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n")))).await;
    }

    /// Returns since when this node has not been a member under an epoch, `None` if it is one.
    pub(crate) fn member_missing_since(&self, epoch: Epoch) -> Option<Instant> {
        let port = self.port.get()?;
        if port.process_state() == ProcessState::Stopped {
            return Some(port.changed_at());
        }
        let state = self.lock();
        let member = state.epoch == epoch && state.state != NodeState::Idle;
        (!member).then_some(state.epoch_changed)
    }
}

/// Sends an event that never ends, until the connection is closed.
async fn send_endless_event(sender: &ChunkSender) {
    let mut bytes = "data: ";
    while sender.send(Ok(Bytes::from(bytes))).await.is_ok() {
        bytes = "x";
        tokio::time::sleep(ENDLESS_PAUSE).await;
    }
}

/// Counts a request as part of the batch until it is dropped.
struct BatchGuard {
    node: Arc<ModelNode>,
}

impl BatchGuard {
    fn new(node: &Arc<ModelNode>) -> Self {
        node.lock().running += 1;
        Self { node: Arc::clone(node) }
    }
}

impl Drop for BatchGuard {
    fn drop(&mut self) {
        let mut state = self.node.lock();
        state.running = state.running.saturating_sub(1);
    }
}

struct CompletionJob {
    request_id: String,
    key: String,
    epoch: Option<Epoch>,
    model: String,
    prompt: String,
    tokens: u32,
    stream: bool,
    resume_from: u32,
    past_deadline: bool,
}

impl CompletionJob {
    fn new(headers: &HeaderMap, body: &Value) -> Self {
        let header = |name: &str| {
            headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
        };
        let request_id = header("x-request-id");
        let key = header("idempotency-key");
        let tokens = body["max_tokens"].as_u64().map_or(DEFAULT_TOKENS, |tokens| tokens as u32);
        let prompt = match &body["prompt"] {
            Value::String(prompt) => prompt.clone(),
            _ => body["messages"].to_string(),
        };
        Self {
            key: if key.is_empty() { request_id.clone() } else { key },
            request_id,
            epoch: header("x-hollowbarrow-epoch").parse().ok().map(Epoch),
            model: body["model"].as_str().unwrap_or_default().to_owned(),
            prompt,
            tokens,
            past_deadline: header("x-hollowbarrow-deadline-ms") == "0",
            stream: body["stream"].as_bool().unwrap_or(false),
            resume_from: body["resume_from"].as_u64().unwrap_or(0) as u32,
        }
    }
}
