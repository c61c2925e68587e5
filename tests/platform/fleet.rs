//! State that all stand-in workers of a test share: which of them are stopped, which requests ran,
//! and which invariants were violated.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowbarrow_testkit::{FaultMode, LinkProxy};
use tokio::time::Instant;

use crate::limit_check::find_limit_breaches;
use crate::notices::{NoticeEvent, find_notice_breaches};

/// Number of members of each replica.
pub const REPLICA_SIZE: usize = 3;

/// A worker's membership in a replica.
#[derive(Clone)]
pub struct Membership {
    pub name: String,
    pub epoch: u64,
    pub members: Vec<String>,
    pub state: &'static str,
}

impl Membership {
    fn key(&self) -> ReplicaKey {
        (self.name.clone(), self.epoch, self.members.clone())
    }
}

/// Name, epoch and members with which a member joins a replica.
type ReplicaKey = (String, u64, Vec<String>);

/// State shared by all workers of a test.
#[derive(Default)]
pub struct Fleet {
    pub controllers: Vec<String>,
    /// Whether a proxy runs in front of each worker, so that daemons can be cut off from workers.
    pub fronted: bool,
    /// Fault mode of each gateway's connections to workers, by the gateway's source address.
    cut_sources: Mutex<BTreeMap<IpAddr, FaultMode>>,
    /// Proxies in front of all workers that were started.
    fronts: Mutex<Vec<Arc<LinkProxy>>>,
    stopped: Mutex<Vec<String>>,
    runs: Mutex<BTreeMap<String, u32>>,
    /// Members that were ready, by name, epoch and member list of the replica.
    ready: Mutex<BTreeMap<ReplicaKey, BTreeSet<String>>>,
    /// Open heads, by epoch.
    open: Mutex<BTreeMap<u64, String>>,
    /// Members that have left a replica, with its epoch.
    left: Mutex<BTreeSet<(u64, String)>>,
    /// Violated invariants that the workers observed.
    breaches: Mutex<Vec<String>>,
    /// Times at which crashing requests started to run, with their contents.
    crashing_runs: Mutex<Vec<(String, Instant)>>,
    /// Times at which workers crashed under requests, with the contents of the requests.
    crashes: Mutex<Vec<(String, Instant)>>,
    /// Requests that arrived at workers and the notices of the workers, for requests whose id names
    /// their gateway.
    notice_events: Mutex<Vec<NoticeEvent>>,
    /// Requests that ran in replicas, with the epoch of the replica.
    replica_runs: Mutex<Vec<(String, u64)>>,
    /// Times at which callers ended streams before their last event, by request.
    unfinished: Mutex<BTreeMap<String, Instant>>,
    /// How workers crash under requests.
    pub crash_plan: CrashPlan,
}

/// When a worker crashes under a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashStage {
    /// Before it sends anything of the answer.
    BeforeHead,
    /// After the head of the answer.
    #[default]
    AfterHead,
    /// After some events of the answer.
    AfterEvents,
}

/// How workers crash under requests.
#[derive(Clone, Copy, Debug)]
pub struct CrashPlan {
    pub stage: CrashStage,
    /// Delay after which a new worker replaces a crashed one.
    pub restart_time: Duration,
    /// Whether answers have neither a length nor chunks, so that the end of the connection is the end
    /// of the answer.
    pub unframed: bool,
}

impl Default for CrashPlan {
    fn default() -> Self {
        let restart_time = Duration::from_millis(600);
        Self { stage: CrashStage::default(), restart_time, unframed: false }
    }
}

impl Fleet {
    pub fn new(controllers: Vec<String>) -> Arc<Self> {
        Arc::new(Self { controllers, ..Self::default() })
    }

    /// Creates the state of workers that crash under requests in a given way.
    pub fn with_crash_plan(controllers: Vec<String>, crash_plan: CrashPlan) -> Arc<Self> {
        Arc::new(Self { controllers, crash_plan, ..Self::default() })
    }

    /// Creates the state of workers that have a proxy in front of them.
    pub fn with_fronts(controllers: Vec<String>) -> Arc<Self> {
        Arc::new(Self { controllers, fronted: true, ..Self::default() })
    }

    /// Sets the fault mode of connections from a source address to all workers, also to those that
    /// start later.
    pub fn set_source_mode(&self, source: IpAddr, mode: FaultMode) {
        let mut modes = self.cut_sources.lock().expect("not poisoned");
        modes.insert(source, mode);
        let fronts = self.fronts.lock().expect("not poisoned");
        fronts.iter().for_each(|front| front.set_mode(source, mode));
    }

    /// Adds the proxy in front of a worker, and sets its fault modes.
    pub fn add_front(&self, front: &Arc<LinkProxy>) {
        let modes = self.cut_sources.lock().expect("not poisoned");
        modes.iter().for_each(|(source, mode)| front.set_mode(*source, *mode));
        self.fronts.lock().expect("not poisoned").push(Arc::clone(front));
    }

    /// Returns how often a request ran.
    pub fn runs(&self, request: &str) -> u32 {
        self.runs.lock().expect("not poisoned").get(request).copied().unwrap_or_default()
    }

    /// Returns how many workers crashed under requests.
    pub fn crash_count(&self) -> u32 {
        self.crashes.lock().expect("not poisoned").len() as u32
    }

    /// Returns the times at which crashing requests started to run, with their contents.
    pub fn crashing_runs(&self) -> Vec<(String, Instant)> {
        self.crashing_runs.lock().expect("not poisoned").clone()
    }

    /// Returns the times at which workers crashed under requests, with the contents of the requests.
    pub fn crashes(&self) -> Vec<(String, Instant)> {
        self.crashes.lock().expect("not poisoned").clone()
    }

    /// Returns the epochs of the replicas in which a request ran.
    pub fn epochs_of(&self, request: &str) -> Vec<u64> {
        let runs = self.replica_runs.lock().expect("not poisoned");
        runs.iter().filter(|(id, _)| id == request).map(|(_, epoch)| *epoch).collect()
    }

    /// Returns how often each request ran.
    pub fn all_runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// Returns the violated invariants: those that workers observed, and those found in the recorded
    /// events.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = self.breaches.lock().expect("not poisoned").clone();
        let notice_events = self.notice_events();
        breaches.extend(find_notice_breaches(&notice_events));
        breaches.extend(find_limit_breaches(&notice_events));
        breaches
    }

    /// Returns the requests that arrived at workers and the notices of the workers, in order.
    pub fn notice_events(&self) -> Vec<NoticeEvent> {
        self.notice_events.lock().expect("not poisoned").clone()
    }

    /// Records an event for the checks of workers' notices.
    pub fn record_notice_event(&self, event: NoticeEvent) {
        self.notice_events.lock().expect("not poisoned").push(event);
    }

    fn report_breach(&self, breach: String) {
        self.breaches.lock().expect("not poisoned").push(breach);
    }

    pub fn record_ready(&self, membership: &Membership, id: &str) {
        let mut ready = self.ready.lock().expect("not poisoned");
        ready.entry(membership.key()).or_default().insert(id.to_owned());
    }

    /// Checks, as a request starts to run at an open head, that each member has been ready.
    pub fn check_complete(&self, membership: &Membership, request: &str) {
        let ready = self.ready.lock().expect("not poisoned");
        let ready = ready.get(&membership.key()).map_or(0, BTreeSet::len);
        if membership.members.len() != REPLICA_SIZE || ready != REPLICA_SIZE {
            self.report_breach(format!(
                "{request} runs in {} with {ready} members",
                membership.name
            ));
        }
    }

    /// Checks, as a worker joins another replica, that the head of its current replica is not open.
    pub fn check_closed(&self, membership: &Membership, id: &str, next: &str) {
        let open = self.open.lock().expect("not poisoned").contains_key(&membership.epoch);
        if open {
            self.report_breach(format!("{id} joins {next} while {} is open", membership.name));
        }
    }

    pub fn set_open(&self, epoch: u64, head: &str) {
        self.open.lock().expect("not poisoned").insert(epoch, head.to_owned());
    }

    pub fn set_closed(&self, head: &str) {
        self.open.lock().expect("not poisoned").retain(|_, open| open != head);
    }

    pub fn record_left(&self, epoch: u64, id: &str) {
        self.left.lock().expect("not poisoned").insert((epoch, id.to_owned()));
    }

    pub fn record_joined(&self, epoch: u64, id: &str) {
        self.left.lock().expect("not poisoned").remove(&(epoch, id.to_owned()));
    }

    /// Returns whether a member has left a replica or is stopped, so that the replica stalls.
    pub fn is_missing(&self, epoch: u64, id: &str) -> bool {
        let left = self.left.lock().expect("not poisoned").contains(&(epoch, id.to_owned()));
        left || self.is_stopped(id)
    }

    fn is_stopped(&self, id: &str) -> bool {
        self.stopped.lock().expect("not poisoned").iter().any(|stopped| stopped == id)
    }

    /// Records that a worker has stopped.
    pub fn record_stopped(&self, id: &str) {
        self.stopped.lock().expect("not poisoned").push(id.to_owned());
    }

    /// Records that a worker with this id has started again.
    pub fn record_restarted(&self, id: &str) {
        self.stopped.lock().expect("not poisoned").retain(|stopped| stopped != id);
    }

    /// Records that a request started to run, and the epoch if it runs in a replica.
    pub fn record_run(&self, request: &str, epoch: Option<u64>) {
        *self.runs.lock().expect("not poisoned").entry(request.to_owned()).or_default() += 1;
        if let Some(epoch) = epoch {
            let mut runs = self.replica_runs.lock().expect("not poisoned");
            runs.push((request.to_owned(), epoch));
        }
    }

    /// Records that the caller ended a stream before its last event.
    pub fn record_unfinished(&self, request: &str) {
        let ended = (request.to_owned(), Instant::now());
        self.unfinished.lock().expect("not poisoned").extend([ended]);
    }

    /// Returns when the caller ended a request's stream before its last event, if it did.
    pub fn unfinished_at(&self, request: &str) -> Option<Instant> {
        self.unfinished.lock().expect("not poisoned").get(request).copied()
    }

    /// Records that a crashing request started to run.
    pub fn record_crashing_run(&self, content: &str) {
        let run = (content.to_owned(), Instant::now());
        self.crashing_runs.lock().expect("not poisoned").push(run);
    }

    /// Records that a worker crashed under a request, and returns the number of crashes so far.
    pub fn record_crash(&self, content: String) -> usize {
        let mut crashes = self.crashes.lock().expect("not poisoned");
        crashes.push((content, Instant::now()));
        crashes.len()
    }
}
