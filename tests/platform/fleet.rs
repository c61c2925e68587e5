//! What all stand-in workers of a test share: who is alive, and what ran.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use tokio::time::Instant;

use crate::limit_check::find_limit_breaches;
use crate::notices::{NoticeEvent, find_notice_breaches};

/// Members of each replica.
pub const REPLICA_SIZE: usize = 3;

/// A worker's part in a replica.
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

/// Name, epoch and members, which a member joins under.
type ReplicaKey = (String, u64, Vec<String>);

/// What all workers of a test share: who is alive, and what ran.
#[derive(Default)]
pub struct Fleet {
    pub controllers: Vec<String>,
    stopped: Mutex<Vec<String>>,
    runs: Mutex<BTreeMap<String, u32>>,
    /// Members that were ready, by name, epoch and list.
    ready: Mutex<BTreeMap<ReplicaKey, BTreeSet<String>>>,
    /// Heads that are open, by epoch.
    open: Mutex<BTreeMap<u64, String>>,
    /// Members that have left a replica, by its epoch.
    left: Mutex<BTreeSet<(u64, String)>>,
    /// What the workers saw that must not be.
    breaches: Mutex<Vec<String>>,
    /// When requests that end workers began to run, by path, and when workers ended under them.
    crashing_runs: Mutex<Vec<(String, Instant)>>,
    crashes: Mutex<Vec<(String, Instant)>>,
    /// What came to workers, and what they said, where the request tells its gateway.
    notice_events: Mutex<Vec<NoticeEvent>>,
    /// Requests that ran in replicas, and under which epoch.
    replica_runs: Mutex<Vec<(String, u64)>>,
}

impl Fleet {
    pub fn new(controllers: Vec<String>) -> Arc<Self> {
        Arc::new(Self { controllers, ..Self::default() })
    }

    /// How often a request ran.
    pub fn runs(&self, request: &str) -> u32 {
        self.runs.lock().expect("not poisoned").get(request).copied().unwrap_or_default()
    }

    /// How many workers a request has ended.
    pub fn crash_count(&self) -> u32 {
        self.crashes.lock().expect("not poisoned").len() as u32
    }

    /// When requests that end workers began to run, by path.
    pub fn crashing_runs(&self) -> Vec<(String, Instant)> {
        self.crashing_runs.lock().expect("not poisoned").clone()
    }

    /// When workers ended under requests, by path.
    pub fn crashes(&self) -> Vec<(String, Instant)> {
        self.crashes.lock().expect("not poisoned").clone()
    }

    /// Epochs of the replicas in which a request ran.
    pub fn epochs_of(&self, request: &str) -> Vec<u64> {
        let runs = self.replica_runs.lock().expect("not poisoned");
        runs.iter().filter(|(id, _)| id == request).map(|(_, epoch)| *epoch).collect()
    }

    /// How often each request ran.
    pub fn all_runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// What the workers saw that must not be.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = self.breaches.lock().expect("not poisoned").clone();
        let notice_events = self.notice_events();
        breaches.extend(find_notice_breaches(&notice_events));
        breaches.extend(find_limit_breaches(&notice_events));
        breaches
    }

    /// What came to workers and what they said, in order.
    pub fn notice_events(&self) -> Vec<NoticeEvent> {
        self.notice_events.lock().expect("not poisoned").clone()
    }

    /// Notes something that counts for what workers ask for.
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

    /// A request starts to run at an open head: each member must have been ready with it.
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

    /// A worker joins another replica: the head of the one it is in must not be open.
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

    /// Whether a member takes no part in a replica any more, so that it stands still.
    pub fn is_missing(&self, epoch: u64, id: &str) -> bool {
        let left = self.left.lock().expect("not poisoned").contains(&(epoch, id.to_owned()));
        left || self.is_stopped(id)
    }

    fn is_stopped(&self, id: &str) -> bool {
        self.stopped.lock().expect("not poisoned").iter().any(|stopped| stopped == id)
    }

    /// Notes that a worker has ended.
    pub fn record_stopped(&self, id: &str) {
        self.stopped.lock().expect("not poisoned").push(id.to_owned());
    }

    /// Notes that a worker of this name runs again.
    pub fn record_restarted(&self, id: &str) {
        self.stopped.lock().expect("not poisoned").retain(|stopped| stopped != id);
    }

    /// Notes that a request began to run, and under which epoch in a replica.
    pub fn record_run(&self, request: &str, epoch: Option<u64>) {
        *self.runs.lock().expect("not poisoned").entry(request.to_owned()).or_default() += 1;
        if let Some(epoch) = epoch {
            let mut runs = self.replica_runs.lock().expect("not poisoned");
            runs.push((request.to_owned(), epoch));
        }
    }

    /// Notes that a request which ends workers began to run.
    pub fn record_crashing_run(&self, path: &str) {
        let run = (path.to_owned(), Instant::now());
        self.crashing_runs.lock().expect("not poisoned").push(run);
    }

    /// Notes that a worker ended under such a request; how many have so far.
    pub fn record_crash(&self, path: String) -> usize {
        let mut crashes = self.crashes.lock().expect("not poisoned");
        crashes.push((path, Instant::now()));
        crashes.len()
    }
}
