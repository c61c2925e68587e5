//! Callers and operators of a soak run. They record violated invariants.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use rand::RngExt;
use serde_json::Value;
use tokio::time::Instant;

use crate::changes::{added_path, configuration_before, removed_path};
use crate::fleet::Fleet;
use crate::losses::Losses;
use crate::system::{KEY, call_gateway, call_gateway_with_parts, fetch_at, replace_at};
use crate::worker::{SHARED_PART, request_id_via};

/// Pause between two requests of the load.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Different second parts of the prompts of the load.
const PART_COUNT: usize = 16;
/// Pause between two changes of the configuration.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two requests for routes that changes have added.
const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Time after the acknowledgement of a change from which on no gateway may deny the route that it
/// adds.
const IN_FORCE_DEADLINE: Duration = Duration::from_millis(2000);
/// Pause between two reads of the configuration.
const READ_PAUSE: Duration = Duration::from_millis(120);

/// Records of what callers and operators observed.
#[derive(Default)]
pub struct Observer {
    breaches: Mutex<Vec<String>>,
    /// Non-idempotent requests that were answered as not run.
    refused: Mutex<Vec<String>>,
    /// Configurations that were sent, by version.
    sent: Mutex<BTreeMap<u64, Value>>,
    acknowledged: AtomicU64,
    /// Changes that were acknowledged.
    changes: AtomicU64,
    /// Acknowledged versions with the time of acknowledgement.
    acknowledged_at: Mutex<Vec<(u64, Instant)>>,
    served: AtomicU64,
    /// Requests for removed routes that were sent to gateways for which bounds of time hold.
    removed_probes: AtomicU64,
    stopped: AtomicBool,
}

impl Observer {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Returns the number of requests that were answered with 200.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Returns the highest acknowledged version.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::SeqCst)
    }

    /// Returns the number of acknowledged changes.
    pub fn changes(&self) -> u64 {
        self.changes.load(Ordering::SeqCst)
    }

    /// Returns the number of checked requests for removed routes.
    pub fn removed_probes(&self) -> u64 {
        self.removed_probes.load(Ordering::Relaxed)
    }

    /// Stops load, probes, changes and reads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    pub fn report(&self, breach: String) {
        lock(&self.breaches).push(breach);
    }

    /// Returns all violated invariants, including those found in the records of the workers.
    pub fn breaches(&self, fleet: &Fleet) -> Vec<String> {
        let mut breaches = lock(&self.breaches).clone();
        breaches.extend(fleet.breaches());
        for id in lock(&self.refused).iter().filter(|id| fleet.runs(id) > 0) {
            breaches.push(format!("{id} was reported as not run, and ran"));
        }
        for (id, runs) in fleet.all_runs() {
            if id.starts_with("hold") && runs > 1 {
                breaches.push(format!("{id} ran {runs} times"));
            }
        }
        breaches
    }

    /// Records a configuration before it is sent.
    pub fn record_sent(&self, version: u64, content: &Value) {
        lock(&self.sent).insert(version, content.clone());
    }

    /// Records that a version was acknowledged.
    pub fn record_acknowledged(&self, version: u64) {
        self.acknowledged.fetch_max(version, Ordering::SeqCst);
        lock(&self.acknowledged_at).push((version, Instant::now()));
        self.changes.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the newest version that must be in force, or `None` before the first.
    fn in_force(&self) -> Option<u64> {
        let acknowledged = lock(&self.acknowledged_at);
        let due = acknowledged.iter().filter(|(_, at)| at.elapsed() > IN_FORCE_DEADLINE);
        due.map(|(version, _)| *version).max()
    }

    /// Checks a configuration that was read after the version `before` had been acknowledged.
    pub fn check_read(&self, before: u64, read: &Value) {
        let version = read["version"].as_u64().unwrap_or_default();
        if version < before {
            self.report(format!("version {version} was read after {before} was acknowledged"));
        }
        if lock(&self.sent).get(&version) != Some(read) {
            self.report(format!("version {version} was read with other content"));
        }
    }

    /// Checks one answer against the expected body and status.
    fn check_answer(&self, id: &str, stream: &str, answer: &Response<Bytes>) {
        let status = answer.status().as_u16();
        let body = String::from_utf8_lossy(answer.body());
        let hold = id.starts_with("hold");
        match status {
            200 => {
                self.served.fetch_add(1, Ordering::Relaxed);
                let expected =
                    if hold { format!("tenant family request {id}") } else { stream.to_owned() };
                if body != expected {
                    self.report(format!("{id} got {body:?}"));
                }
            }
            408 | 421 | 429 | 503 if hold => lock(&self.refused).push(id.to_owned()),
            502..=504 => {}
            other => self.report(format!("{id} got status {other}: {body}")),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("not poisoned")
}

/// Sends requests to all gateways in turn until the observer is stopped.
pub async fn send_load(observer: Arc<Observer>, gateways: Vec<String>, stream: String) {
    let stream: Arc<str> = stream.into();
    let mut number = 0usize;
    let mut calls = Vec::new();
    while !observer.is_stopped() {
        number += 1;
        let (kind, path) =
            if number.is_multiple_of(3) { ("hold", "/hold/1") } else { ("chat", "/chat/1") };
        let index = number % gateways.len();
        let id = request_id_via(index, &format!("{kind}-{number}"));
        let gateway = gateways[index].clone();
        let (observer, stream) = (Arc::clone(&observer), Arc::clone(&stream));
        calls.push(tokio::spawn(async move {
            let parts = format!("{SHARED_PART}:40,{:x}:100,{number:x}:30", number % PART_COUNT);
            if let Ok(answer) = call_gateway_with_parts(&gateway, path, &id, KEY, &parts).await {
                observer.check_answer(&id, &stream, &answer);
            }
        }));
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
    futures_util::future::join_all(calls).await;
}

/// Sends configuration changes, each at a randomly chosen controller first, until the observer is
/// stopped.
pub async fn send_changes(observer: Arc<Observer>, controllers: Vec<String>, first: u64) {
    let mut version = first;
    let mut added = Vec::new();
    while !observer.is_stopped() {
        version += rand::rng().random_range(1..4);
        added.push(version);
        let content = configuration_before(version, &added);
        observer.record_sent(version, &content);
        let body = Bytes::from(content.to_string());
        let start = rand::rng().random_range(0..controllers.len());
        for offset in 0..controllers.len() {
            let controller = &controllers[(start + offset) % controllers.len()];
            match replace_at(controller, &body).await {
                200 => {
                    observer.record_acknowledged(version);
                    break;
                }
                0 | 307 | 503 => {}
                other => observer.report(format!("version {version} got status {other}")),
            }
        }
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
}

/// Requests, at all gateways in turn, the newest added route that must be in force.
///
/// A gateway that is partitioned or has just started may answer that it does not know.
pub async fn probe_routes(observer: Arc<Observer>, gateways: Vec<String>, first: u64) {
    let mut number = 0;
    while !observer.is_stopped() {
        tokio::time::sleep(PROBE_PAUSE).await;
        number += 1;
        // The first version adds no route.
        let Some(version) = observer.in_force().filter(|version| *version > first) else {
            continue;
        };
        let gateway = number % gateways.len();
        let id = request_id_via(gateway, &format!("probe-{number}"));
        let path = added_path(version);
        let Ok(answer) = call_gateway(&gateways[gateway], &path, &id, Some(KEY)).await else {
            continue;
        };
        if matches!(answer.status().as_u16(), 401 | 404) {
            observer.report(format!("gateway {gateway} denies the route of version {version}"));
        }
    }
}

/// Requests, at all gateways in turn, the route that the newest version in force has removed. A
/// gateway that runs such a request uses an older version.
///
/// That is a breach only while bounds of time hold for the gateway: one that is cut off, or has just
/// been, cannot know the newest version.
pub async fn probe_removed_routes(
    observer: Arc<Observer>,
    fleet: Arc<Fleet>,
    losses: Arc<Losses>,
    gateways: Vec<String>,
    first: u64,
) {
    let mut number = 0;
    while !observer.is_stopped() {
        tokio::time::sleep(PROBE_PAUSE).await;
        number += 1;
        let gateway = number % gateways.len();
        let Some(version) = observer.in_force().filter(|version| *version > first) else {
            continue;
        };
        if !losses.is_in_touch(gateway, Instant::now()) {
            continue;
        }
        let id = request_id_via(gateway, &format!("removed-{number}"));
        // Whether the request ran tells by which version it was handled, whatever the answer.
        let _ = call_gateway(&gateways[gateway], &removed_path(version), &id, Some(KEY)).await;
        if !losses.is_in_touch(gateway, Instant::now()) {
            continue;
        }
        observer.removed_probes.fetch_add(1, Ordering::Relaxed);
        if fleet.runs(&id) > 0 {
            observer.report(format!(
                "gateway {gateway} runs a request of the route that version {version} removed"
            ));
        }
    }
}

/// Reads the configuration at one controller after the other until the observer is stopped.
pub async fn read_changes(observer: Arc<Observer>, controllers: Vec<String>) {
    let mut number = 0;
    while !observer.is_stopped() {
        number += 1;
        let before = observer.acknowledged();
        if let Some(read) = fetch_at(&controllers[number % controllers.len()]).await {
            observer.check_read(before, &read);
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
}
