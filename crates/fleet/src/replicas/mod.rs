//! Lifecycle of the replicas of one service, from the first order to the last.
//!
//! The controller is stepped with the workers' reports and returns orders. It
//! keeps no durable state: epochs grow with the leader's election term, and a
//! new leader learns the replicas from the workers' reports.
//!
//! Invariants:
//!
//! - `Open` is ordered only after each member itself reported that it is ready
//!   under the replica's name and epoch.
//! - A worker is ordered into another replica only after it has left its former
//!   replica itself, or after the head of that replica has left it.
//! - A worker is ordered into another replica only after it has reported its
//!   membership within the current term.
//! - What a worker reports of a replica is ignored only once no join of that
//!   replica can be carried out late, neither of this leader nor of a former one.
//! - A worker has at most one order in flight, over all its instances.
//! - A superseded instance is a lost member, and the next instance is a
//!   different worker.

mod adopt;
mod demand;
mod lifecycle;
mod names;
mod orders;
mod place;
mod standby;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::{
    DomainId, Epoch, MembershipState, ModelName, Term, WorkerId, WorkerMembership, WorkerReport,
};
use tokio::time::Instant;

use crate::engine::Engine;
use crate::loads::LoadLimiter;

use self::demand::ModelUtilisation;
pub use names::{ReplicaKind, ReplicaName};
pub use orders::{OrderOutcome, OrderTicket, WorkerOrder};

/// Interval at which changes of the set of free workers are logged.
const FREE_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a new worker after which the initial registration counts as complete.
const REGISTRATION_QUIET_TIME: Duration = Duration::from_millis(400);
/// Longest time for which the first plan waits for workers to register.
const MAX_REGISTRATION_WAIT: Duration = Duration::from_secs(4);
/// Number of low bits of an epoch that hold the counter within a term.
const EPOCH_TERM_SHIFT: u32 = 20;

/// Whether a worker can be a member of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// It reports and may receive orders.
    Usable,
    /// It reported that it is leaving.
    Leaving,
    /// It is silent; its process may or may not be running.
    Lost,
    /// Its process has certainly terminated.
    Dead,
}

/// A worker's state as input to one step of the controller.
#[derive(Clone, Copy, Debug)]
pub struct WorkerState<'a> {
    /// Its newest report.
    pub report: &'a WorkerReport,
    /// When the worker last confirmed the content of that report.
    pub confirmed: Instant,
    /// Requests of gateways in flight on the worker.
    pub active: u32,
    /// Estimated time to process the prompts that are still waiting, in milliseconds.
    pub waiting_ms: u32,
    /// Whether it can be a member of a replica.
    pub status: WorkerStatus,
}

/// Timeouts of a replica's lifecycle.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTiming {
    /// Time for an order to show in the worker's report before it is sent again.
    pub order_retry: Duration,
    /// Longest time for the requests of a closing replica to complete before it is disbanded.
    pub close_timeout: Duration,
    /// Longest time after which an unanswered order may still be carried out.
    pub max_order_delay: Duration,
    /// Window in which loads are counted.
    pub load_window: Duration,
}

/// Points in time in the term of a leader.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTimes {
    /// Start of the term. Reports from before it may be outdated by orders of the former leader.
    pub term_start: Instant,
    /// When the leader starts to treat its set of workers as complete.
    pub settled: Instant,
    /// When the leader may start to order loads.
    pub loads_from: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplicaPhase {
    /// Members are joining.
    Forming,
    /// All members are ready, and the head was ordered to serve.
    Opening,
    /// The head accepts requests.
    Serving,
    /// The head accepts no new requests and completes those in flight.
    Closing { until: Instant },
    /// The head is being ordered to leave.
    Leaving,
}

#[derive(Clone, Debug)]
struct Replica {
    name: ReplicaName,
    members: Vec<WorkerId>,
    phase: ReplicaPhase,
    /// Whether the head may ever have been ordered to serve.
    opened: bool,
    /// Whether the head has certainly left the replica.
    head_left: bool,
}

impl Replica {
    fn head(&self) -> &WorkerId {
        &self.members[0]
    }

    fn is_named_by(&self, membership: &WorkerMembership) -> bool {
        membership.epoch == self.name.epoch && membership.replica == self.name.to_text()
    }

    /// Returns the membership state that a report gives for this replica, if it names it.
    fn state_in(&self, report: &WorkerReport) -> Option<MembershipState> {
        let membership = report.membership.as_ref()?;
        self.is_named_by(membership).then_some(membership.state)
    }
}

/// Input of one step.
struct StepView<'a> {
    workers: BTreeMap<&'a WorkerId, WorkerState<'a>>,
    engine: &'a Engine,
    now: Instant,
}

impl<'a> StepView<'a> {
    fn status(&self, id: &WorkerId) -> WorkerStatus {
        self.workers.get(id).map_or(WorkerStatus::Lost, |state| state.status)
    }

    fn report(&self, id: &WorkerId) -> Option<&'a WorkerReport> {
        self.workers.get(id).map(|state| state.report)
    }
}

/// Forms, opens, monitors and disbands the replicas of one service.
#[derive(Debug)]
pub struct ReplicaController {
    timing: ReplicaTiming,
    term: Term,
    counter: u64,
    times: LeaderTimes,
    replicas: BTreeMap<Epoch, Replica>,
    standbys: BTreeMap<WorkerId, ReplicaName>,
    /// Models that workers are copying to their hosts, each with the start of the copy.
    staging: BTreeMap<WorkerId, (ModelName, Instant)>,
    /// Replicas whose head has left, so that they can no longer serve.
    vacated: BTreeSet<Epoch>,
    /// Workers that answered an order to leave a replica; their reports may still name it.
    departed: BTreeMap<WorkerId, Epoch>,
    orders: orders::OrderBook,
    /// Unanswered joins by worker name, each with the time until which it may still be carried
    /// out, by the addressed instance or by a later one of the same name.
    unanswered_joins: BTreeMap<String, BTreeMap<Epoch, Instant>>,
    loads: LoadLimiter,
    utilisation: ModelUtilisation,
    /// Highest number of workers known at one time.
    max_workers: usize,
    /// When that number was reached.
    last_registration: Instant,
    free_logged: String,
    free_logged_at: Option<Instant>,
}

impl ReplicaController {
    /// Creates a controller for a term that this daemon leads.
    ///
    /// Until it has settled it only adopts complete replicas. A worker is ordered into another
    /// replica only once it has reported its membership since the start of the term. Loads from
    /// the store wait until `times.loads_from`, since the former leader may have used up the
    /// allowed rate.
    pub fn new(timing: ReplicaTiming, term: Term, times: LeaderTimes) -> Self {
        Self {
            timing,
            term,
            counter: 0,
            times,
            replicas: BTreeMap::new(),
            standbys: BTreeMap::new(),
            staging: BTreeMap::new(),
            vacated: BTreeSet::new(),
            departed: BTreeMap::new(),
            orders: orders::OrderBook::new(timing.order_retry),
            unanswered_joins: BTreeMap::new(),
            loads: LoadLimiter::new(timing.load_window),
            utilisation: ModelUtilisation::new(times.settled),
            max_workers: 0,
            last_registration: times.settled,
            free_logged: String::new(),
            free_logged_at: None,
        }
    }

    /// Advances the replicas by the workers' reports and returns the orders to send.
    ///
    /// `warming_up` is set until the first request arrives. Loads are cheap until then and are
    /// not counted.
    pub fn step(
        &mut self,
        engine: &Engine,
        workers: &[WorkerState<'_>],
        warming_up: bool,
        now: Instant,
    ) -> Vec<OrderTicket> {
        let workers = workers.iter().map(|state| (&state.report.id, *state)).collect();
        let view = StepView { workers, engine, now };
        self.adopt_reported(&view);
        self.advance_replicas(&view);
        let registering = self.is_registering(&view);
        if now >= self.times.settled {
            self.disband_scattered(&view);
            if !(warming_up && registering) {
                self.place_free(&view, warming_up);
            }
            self.keep_standbys(&view);
        }
        let mut tickets = Vec::new();
        self.order_replicas(&view, warming_up, &mut tickets);
        self.order_standbys(&view, warming_up, &mut tickets);
        if now >= self.times.settled && !(warming_up && registering) {
            self.order_staging(&view, warming_up, &mut tickets);
        }
        tickets
    }

    /// Returns whether workers have registered recently, so that more are expected.
    ///
    /// A plan over only some of the workers would fill domains with replicas of small models,
    /// which need few workers, and leave no capacity for large ones.
    fn is_registering(&mut self, view: &StepView<'_>) -> bool {
        if view.workers.len() > self.max_workers {
            self.max_workers = view.workers.len();
            self.last_registration = view.now;
        }
        view.now
            < (self.last_registration + REGISTRATION_QUIET_TIME)
                .min(self.times.settled + MAX_REGISTRATION_WAIT)
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, ticket: &OrderTicket, outcome: OrderOutcome, now: Instant) {
        self.orders.record_outcome(ticket, outcome, now);
        let epoch = ticket.order.name().epoch;
        match (&ticket.order, outcome) {
            (WorkerOrder::Leave { .. }, outcome) if outcome.is_settled() => {
                // A worker that may still carry out a late join has to leave again after it.
                if !self.may_still_join(&ticket.worker, epoch, now) {
                    self.departed.insert(ticket.worker.clone(), epoch);
                }
                if let Some(replica) = self.replicas.get_mut(&epoch) {
                    replica.head_left |= *replica.head() == ticket.worker;
                }
            }
            (WorkerOrder::Join { .. }, OrderOutcome::Fenced) => self.abandon_forming(epoch, now),
            (WorkerOrder::Join { .. }, OrderOutcome::Unknown) => {
                let name = ticket.worker.name().to_owned();
                let joins = self.unanswered_joins.entry(name).or_default();
                joins.insert(epoch, now + self.timing.max_order_delay);
            }
            _ => {}
        }
    }

    /// Returns the heads that must get no new requests.
    pub fn withheld(&self) -> Vec<WorkerId> {
        let serving = |replica: &&Replica| {
            matches!(replica.phase, ReplicaPhase::Serving | ReplicaPhase::Opening)
        };
        self.replicas
            .values()
            .filter(|replica| !serving(replica))
            .map(|replica| replica.head().clone())
            .collect()
    }

    /// Formats the number of serving and other replicas of each model for a log line.
    pub fn summary(&self) -> String {
        let mut counts: BTreeMap<&ModelName, (usize, usize)> = BTreeMap::new();
        for replica in self.replicas.values() {
            let (serving, other) = counts.entry(&replica.name.model).or_default();
            let count = if replica.phase == ReplicaPhase::Serving { serving } else { other };
            *count += 1;
        }
        let parts = counts.iter().map(|(model, (serving, other))| {
            format!("model={} serving={serving} other={other}", ***model)
        });
        let standbys = format!("standbys={}", self.standbys.len());
        parts.chain([standbys]).collect::<Vec<_>>().join(" ")
    }

    /// Logs the free workers if they have changed, at most once per [`FREE_LOG_INTERVAL`].
    fn log_free(&mut self, view: &StepView<'_>) {
        let due = self.free_logged_at.is_none_or(|at| view.now >= at + FREE_LOG_INTERVAL);
        if !due {
            return;
        }
        self.free_logged_at = Some(view.now);
        let free = self.describe_free(view);
        if free != self.free_logged {
            log::info!("event=free_workers free={free}");
            self.free_logged = free;
        }
    }

    /// Formats the free workers for a log line, each as `domain:model+second/loading`: the models
    /// that it holds, and after the slash the model that it loads.
    fn describe_free(&self, view: &StepView<'_>) -> String {
        let mut free: Vec<String> = Vec::new();
        for report in self.free_workers(view) {
            let mut held: Vec<&str> =
                report.model.iter().chain(&report.staged).map(|model| model.as_str()).collect();
            held.dedup();
            let assigned = self.standbys.get(&report.id).map(|name| name.model.as_str());
            let loading = assigned.filter(|model| !held.contains(model)).unwrap_or_default();
            free.push(format!("{}:{}/{loading}", *domain_of(report), held.join("+")));
        }
        free.sort();
        free.join(",")
    }

    /// Returns the members of the replica whose head is `head`.
    pub fn members_of_head(&self, head: &WorkerId) -> Vec<WorkerId> {
        let mut replicas = self.replicas.values();
        replicas
            .find(|replica| replica.head() == head)
            .map_or_else(Vec::new, |replica| replica.members.clone())
    }

    /// Returns the head of the serving replica that a worker is a member of.
    pub fn serving_head_of(&self, member: &WorkerId) -> Option<&WorkerId> {
        let serving = |replica: &&Replica| {
            replica.phase == ReplicaPhase::Serving && replica.members.contains(member)
        };
        self.replicas.values().find(serving).map(Replica::head)
    }

    fn next_epoch(&mut self) -> Epoch {
        self.counter += 1;
        Epoch((*self.term << EPOCH_TERM_SHIFT) + self.counter)
    }

    fn insert(
        &mut self,
        name: ReplicaName,
        members: Vec<WorkerId>,
        phase: ReplicaPhase,
        opened: bool,
    ) {
        let epoch = name.epoch;
        let replica = Replica { name, members, phase, opened, head_left: false };
        self.replicas.insert(epoch, replica);
    }
}

/// Returns a worker's fabric domain. A worker that reports none gets a domain of its own.
fn domain_of(report: &WorkerReport) -> DomainId {
    report.domain.clone().unwrap_or_else(|| DomainId::from(report.id.as_str()))
}

fn join_ids(ids: &[WorkerId]) -> String {
    ids.iter().map(|id| id.as_str()).collect::<Vec<_>>().join(",")
}
