//! The life of the replicas of one service, from the first order to the last.
//!
//! The controller is stepped with what workers say of themselves and answers
//! with orders. It keeps no durable state: epochs grow with the election term
//! of who leads, and a new leader learns the replicas from the workers'
//! reports.
//!
//! Invariants:
//!
//! - `Open` is ordered only after each member itself reported that it is ready
//!   under the replica's name and epoch.
//! - A worker is ordered into another replica only after it has left its former
//!   one itself, or after that one's head has.
//! - A worker is ordered elsewhere only after it has said within the term where it is.
//! - A worker has at most one order under way, over all its lives.
//! - A life that has ended is a lost member, and the next one is another worker.

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

use self::demand::ModelUses;
pub use names::{ReplicaKind, ReplicaName};
pub use orders::{OrderOutcome, OrderTicket, WorkerOrder};

/// Time between two looks at the free workers for the log.
const FREE_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a new worker after which those of the first start have registered.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(400);
/// Longest time for which the first plan waits for workers that register.
const LONGEST_ARRIVAL: Duration = Duration::from_secs(4);
/// Bits of an epoch that count within a term.
const EPOCH_TERM_SHIFT: u32 = 20;

/// What is known of a worker's ability to take part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// It reports and may be ordered.
    Usable,
    /// It said that it leaves.
    Leaving,
    /// It is silent, and may or may not run.
    Lost,
    /// Its process has certainly ended.
    Dead,
}

/// A worker as the controller sees it at one moment.
#[derive(Clone, Copy, Debug)]
pub struct WorkerState<'a> {
    /// Its newest report.
    pub report: &'a WorkerReport,
    /// When the worker last said what stands in that report.
    pub confirmed: Instant,
    /// Requests that gateways have under way there.
    pub active: u32,
    /// Estimated time to read their prompts that were not read yet, in milliseconds.
    pub waiting_ms: u32,
    /// Whether it can take part.
    pub status: WorkerStatus,
}

/// Times that the life of a replica is measured against.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTiming {
    /// Time for an order to show in the worker's report before it is given again.
    pub order_retry: Duration,
    /// Longest time for the requests of a replica to end before it is taken apart.
    pub close_timeout: Duration,
    /// Longest time after which an order that got no answer may still be carried out.
    pub max_order_delay: Duration,
    /// Window in which loads are counted.
    pub load_window: Duration,
}

/// Moments in the term of a leader.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTimes {
    /// When it began: what workers said before may be out of date by orders of the leader before.
    pub term_start: Instant,
    /// From when on the leader believes that it has heard of every worker.
    pub settled: Instant,
    /// From when on loads may be ordered.
    pub loads_from: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplicaPhase {
    /// Members are joining.
    Forming,
    /// All members are ready, and the head was told to serve.
    Opening,
    /// The head takes requests.
    Serving,
    /// The head takes nothing new and ends what it has.
    Closing { until: Instant },
    /// The head is being told to leave.
    Leaving,
}

#[derive(Clone, Debug)]
struct Replica {
    name: ReplicaName,
    members: Vec<WorkerId>,
    phase: ReplicaPhase,
    /// Whether the head may ever have been told to serve.
    opened: bool,
    /// Whether the head answered an order to leave.
    head_left: bool,
}

impl Replica {
    fn head(&self) -> &WorkerId {
        &self.members[0]
    }

    fn is_own(&self, membership: &WorkerMembership) -> bool {
        membership.epoch == self.name.epoch && membership.replica == self.name.to_text()
    }

    /// The state that a report gives of its worker's part in this replica.
    fn state_in(&self, report: &WorkerReport) -> Option<MembershipState> {
        let membership = report.membership.as_ref()?;
        self.is_own(membership).then_some(membership.state)
    }
}

/// Everything that one step sees.
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

/// Forms, opens, watches and takes apart the replicas of one service.
#[derive(Debug)]
pub struct ReplicaController {
    timing: ReplicaTiming,
    term: Term,
    counter: u64,
    times: LeaderTimes,
    replicas: BTreeMap<Epoch, Replica>,
    standbys: BTreeMap<WorkerId, ReplicaName>,
    /// Models that workers are copying to their hosts, and since when.
    staging: BTreeMap<WorkerId, (ModelName, Instant)>,
    /// Replicas whose head has left, so that nothing of them can serve.
    vacated: BTreeSet<Epoch>,
    /// Workers that answered an order to leave a replica, which their report may still name.
    departed: BTreeMap<WorkerId, Epoch>,
    orders: orders::OrderBook,
    /// Joins that got no answer, by the name of their worker, and until when each may still be
    /// carried out: by the life it was meant for, or by the next one.
    uncertain: BTreeMap<String, BTreeMap<Epoch, Instant>>,
    loads: LoadLimiter,
    uses: ModelUses,
    /// Most workers that were known at once.
    most_workers: usize,
    /// When there came to be so many.
    last_arrival: Instant,
    free_logged: String,
    free_logged_at: Option<Instant>,
}

impl ReplicaController {
    /// Creates a controller for a term that this daemon leads.
    ///
    /// Until it has settled it only takes over replicas that are whole. A worker is ordered
    /// elsewhere only once it has said since the term began where it is. Loads from the store wait
    /// for a time of their own, since the leader before may have used the allowed rate up.
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
            uncertain: BTreeMap::new(),
            loads: LoadLimiter::new(timing.load_window),
            uses: ModelUses::new(times.settled),
            most_workers: 0,
            last_arrival: times.settled,
            free_logged: String::new(),
            free_logged_at: None,
        }
    }

    /// Acts on what workers reported; returns the orders to give.
    ///
    /// `warming_up` says that no request has come yet, so that loads are cheap and not counted.
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
        let arriving = self.is_arriving(&view);
        if now >= self.times.settled {
            self.disband_scattered(&view);
            if !(warming_up && arriving) {
                self.place_free(&view, warming_up);
            }
            self.keep_standbys(&view);
        }
        let mut tickets = Vec::new();
        self.order_replicas(&view, warming_up, &mut tickets);
        self.order_standbys(&view, warming_up, &mut tickets);
        if now >= self.times.settled && !(warming_up && arriving) {
            self.order_staging(&view, warming_up, &mut tickets);
        }
        tickets
    }

    /// Whether workers have registered lately, so that more are to come.
    ///
    /// A plan over a part of them would fill domains with replicas of small models, which need
    /// few workers, and leave no room for large ones.
    fn is_arriving(&mut self, view: &StepView<'_>) -> bool {
        if view.workers.len() > self.most_workers {
            self.most_workers = view.workers.len();
            self.last_arrival = view.now;
        }
        view.now < (self.last_arrival + ARRIVAL_PAUSE).min(self.times.settled + LONGEST_ARRIVAL)
    }

    /// Takes the outcome of an order in.
    pub fn record_outcome(&mut self, ticket: &OrderTicket, outcome: OrderOutcome, now: Instant) {
        self.orders.record_outcome(ticket, outcome, now);
        let epoch = ticket.order.name().epoch;
        match (&ticket.order, outcome) {
            (WorkerOrder::Leave { .. }, outcome) if outcome.is_settled() => {
                // One that may yet join once more has to leave once more, too.
                if !self.may_still_join(&ticket.worker, epoch) {
                    self.departed.insert(ticket.worker.clone(), epoch);
                }
                if let Some(replica) = self.replicas.get_mut(&epoch) {
                    replica.head_left |= *replica.head() == ticket.worker;
                }
            }
            (WorkerOrder::Join { .. }, OrderOutcome::Fenced) => self.give_up_forming(epoch),
            (WorkerOrder::Join { .. }, OrderOutcome::Unknown) => {
                let name = ticket.worker.name().to_owned();
                let joins = self.uncertain.entry(name).or_default();
                joins.insert(epoch, now + self.timing.max_order_delay);
            }
            _ => {}
        }
    }

    /// Heads that must get no new requests.
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

    /// Replicas that serve and those that do not, by model, as a log line has them.
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

    /// Logs now and then which free workers there are, if that has changed.
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

    /// Free workers of each domain by what they hold and what they load, as a log line has them:
    /// `domain:model+second/loading`, where a model that is being loaded stands behind the stroke.
    fn describe_free(&self, view: &StepView<'_>) -> String {
        let mut free: Vec<String> = Vec::new();
        for report in self.free_workers(view) {
            let mut held: Vec<&str> =
                report.model.iter().chain(&report.staged).map(|model| model.as_str()).collect();
            held.dedup();
            let told = self.standbys.get(&report.id).map(|name| name.model.as_str());
            let loading = told.filter(|model| !held.contains(model)).unwrap_or_default();
            free.push(format!("{}:{}/{loading}", *domain_of(report), held.join("+")));
        }
        free.sort();
        free.join(",")
    }

    /// Members of the replica that a worker heads.
    pub fn members_of_head(&self, head: &WorkerId) -> Vec<WorkerId> {
        let mut replicas = self.replicas.values();
        replicas
            .find(|replica| replica.head() == head)
            .map_or_else(Vec::new, |replica| replica.members.clone())
    }

    /// Head of the replica that a worker is a member of, where that replica serves.
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

/// A worker's domain; one that names none is alone in its own.
fn domain_of(report: &WorkerReport) -> DomainId {
    report.domain.clone().unwrap_or_else(|| DomainId::from(report.id.as_str()))
}

fn join_ids(ids: &[WorkerId]) -> String {
    ids.iter().map(|id| id.as_str()).collect::<Vec<_>>().join(",")
}
