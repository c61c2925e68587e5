//! Simulated workers that lose orders, carry them out late, terminate and restart.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::replicas::{ReplicaName, WorkerState};
use hollowbarrow_fleet::{
    Engine, LeaderTimes, ModelSpec, OrderOutcome, OrderTicket, ReplicaController, ReplicaTiming,
    WorkerOrder, WorkerStatus,
};
use hollowbarrow_schema::{
    DomainId, Incarnation, MembershipState, ModelName, ServiceName, Term, WorkerId,
    WorkerMembership, WorkerReport, ZoneId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Simulated time of one step.
pub const TICK: Duration = Duration::from_millis(100);

fn engine(size: usize) -> Engine {
    Engine {
        slots: 26,
        memory_tokens: 1_590_000,
        models: vec![ModelSpec {
            name: ModelName::from("m"),
            size,
            share: 1.0,
            time_factor: 1.0,
            load_time: Duration::from_secs(2),
            warm_load_time: Duration::from_millis(300),
        }],
        step: Duration::from_millis(6),
        step_per_request_ms: 0.05,
        prefill_per_second: 50_000.0,
        stride: 7,
        loads_per_second: 4.5,
        loads_at_once: 6,
        cross_domain_factor: 2.5,
        open_delay: Duration::from_millis(300),
        mean_answer_tokens: 178,
    }
}

fn timing(max_order_delay: Duration) -> ReplicaTiming {
    ReplicaTiming {
        order_retry: Duration::from_millis(1800),
        close_timeout: Duration::from_millis(1500),
        max_order_delay,
        load_window: Duration::from_secs(5),
    }
}

/// A worker's membership in a replica.
#[derive(Clone)]
pub struct Membership {
    name: ReplicaName,
    members: Vec<WorkerId>,
    state: MembershipState,
    ready_at: Instant,
}

/// One worker: its current state, and its last report that reached the controller.
pub struct SimulatedWorker {
    pub id: WorkerId,
    pub alive: bool,
    model: Option<ModelName>,
    staged: bool,
    pub membership: Option<Membership>,
    highest_epoch: u64,
    seq: u64,
    /// The last report that the controller received, and when.
    pub last_report: Option<(WorkerReport, Instant)>,
    /// Whether its reports go to a controller that does not forward them.
    pub reports_lost: bool,
    late_orders: Vec<(Instant, WorkerOrder)>,
    /// Until when it runs but is partitioned from the controller.
    pub partitioned_until: Option<Instant>,
}

impl SimulatedWorker {
    fn new(id: String) -> Self {
        Self {
            id: WorkerId(id),
            alive: true,
            model: None,
            staged: false,
            membership: None,
            highest_epoch: 0,
            seq: 0,
            last_report: None,
            reports_lost: false,
            late_orders: Vec::new(),
            partitioned_until: None,
        }
    }

    fn is_partitioned(&self, now: Instant) -> bool {
        self.partitioned_until.is_some_and(|until| now < until)
    }

    /// Sends a report to the controller.
    pub fn report(&mut self, now: Instant) {
        self.seq += 1;
        if self.reports_lost {
            return;
        }
        let membership = self.membership.as_ref().map(|held| WorkerMembership {
            replica: held.name.to_text(),
            epoch: held.name.epoch,
            rank: held.members.iter().position(|member| *member == self.id).unwrap_or(0) as u32,
            state: held.state,
        });
        let report = WorkerReport {
            id: self.id.clone(),
            seq: self.seq,
            recount: None,
            service: ServiceName("chat".to_owned()),
            address: "127.0.0.1:1".to_owned(),
            zone: ZoneId("a".to_owned()),
            slots: 26,
            leaving: false,
            gone: false,
            domain: Some(DomainId::from("d0")),
            model: self.model.clone(),
            staged: if self.staged { vec![ModelName::from("m")] } else { Vec::new() },
            membership,
        };
        self.last_report = Some((report, now));
    }

    /// Returns whether it is a head that accepts requests.
    pub fn is_open(&self) -> bool {
        let state = self.membership.as_ref().map(|held| held.state);
        self.alive && matches!(state, Some(MembershipState::Open | MembershipState::Closing))
    }
}

/// Fault in the delivery of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The order is lost.
    Lost,
    /// The order is carried out, and the answer is lost.
    AnswerLost,
    /// The order gets no answer and is carried out after this delay.
    Late(Duration),
    /// The worker is not reached.
    Unreached,
}

/// A fleet of simulated workers, and the violations of invariants that were found.
pub struct Simulation {
    pub now: Instant,
    pub rng: ChaCha8Rng,
    pub workers: Vec<SimulatedWorker>,
    /// Members of each replica.
    size: usize,
    /// Faults of the next orders; they come before randomly drawn ones.
    pub planned: Vec<OrderFault>,
    started: usize,
    /// Epochs and the members that became ready under them.
    ready: BTreeSet<(u64, WorkerId)>,
    pub violations: Vec<String>,
}

impl Simulation {
    /// Creates workers that have not reported yet.
    pub fn new(seed: u64, count: usize, size: usize) -> Self {
        let workers = (0..count).map(|index| SimulatedWorker::new(format!("w{index}"))).collect();
        Self {
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers,
            size,
            planned: Vec::new(),
            started: count,
            ready: BTreeSet::new(),
            violations: Vec::new(),
        }
    }

    /// Returns the worker that an order reaches: an order addresses a name, not an instance.
    fn index_of(&self, id: &WorkerId) -> Option<usize> {
        self.workers.iter().position(|worker| worker.id.name() == id.name() && worker.alive)
    }

    /// Returns whether a later instance of a terminated worker's name is running.
    fn is_restarted(&self, worker: &SimulatedWorker) -> bool {
        let later = |other: &SimulatedWorker| other.alive && other.id.name() == worker.id.name();
        !worker.alive && self.workers.iter().any(later)
    }

    /// Carries out an order as a real worker does.
    fn carry_out(&mut self, index: usize, order: &WorkerOrder) -> OrderOutcome {
        let now = self.now;
        match order {
            WorkerOrder::Join { name, members } => self.join(index, name, members),
            WorkerOrder::Stage { .. } => {
                self.workers[index].staged = true;
                OrderOutcome::Begun
            }
            WorkerOrder::Open { name } => self.open(index, name),
            WorkerOrder::Close { name } => {
                let worker = &mut self.workers[index];
                match &mut worker.membership {
                    Some(held) if held.name == *name && held.state == MembershipState::Open => {
                        held.state = MembershipState::Ready;
                        held.ready_at = now;
                        OrderOutcome::Begun
                    }
                    _ => OrderOutcome::Misfit,
                }
            }
            WorkerOrder::Leave { name } => {
                let worker = &mut self.workers[index];
                let is_member = worker.membership.as_ref().is_some_and(|held| held.name == *name);
                if is_member {
                    worker.membership = None;
                    OrderOutcome::Done
                } else {
                    OrderOutcome::Misfit
                }
            }
        }
    }

    fn join(&mut self, index: usize, name: &ReplicaName, members: &[WorkerId]) -> OrderOutcome {
        if *name.epoch < self.workers[index].highest_epoch {
            return OrderOutcome::Fenced;
        }
        if let Some(held) = &self.workers[index].membership {
            if held.name == *name {
                return if held.members == members {
                    OrderOutcome::Done
                } else {
                    OrderOutcome::Fenced
                };
            }
            let head = held.members[0].clone();
            let former = held.name.clone();
            let open = self.workers.iter().any(|worker| {
                worker.id == head
                    && worker.is_open()
                    && worker.membership.as_ref().is_some_and(|other| other.name == former)
            });
            if open {
                let id = &self.workers[index].id;
                self.violations.push(format!("{id:?} joined {name:?} while {former:?} was open"));
            }
        }
        let worker = &mut self.workers[index];
        let wait = match (&worker.model, worker.staged) {
            (Some(_), _) => Duration::from_millis(200),
            (None, true) => Duration::from_millis(300),
            (None, false) => Duration::from_secs(2),
        };
        worker.highest_epoch = *name.epoch;
        worker.membership = Some(Membership {
            name: name.clone(),
            members: members.to_vec(),
            state: MembershipState::Joining,
            ready_at: self.now + wait,
        });
        OrderOutcome::Begun
    }

    fn open(&mut self, index: usize, name: &ReplicaName) -> OrderOutcome {
        let Some(held) = self.workers[index].membership.clone() else {
            return OrderOutcome::Misfit;
        };
        if held.name != *name || held.state != MembershipState::Ready {
            let open = held.name == *name && held.state == MembershipState::Open;
            return if open { OrderOutcome::Done } else { OrderOutcome::Misfit };
        }
        for member in &held.members {
            if !self.ready.contains(&(*name.epoch, member.clone())) {
                self.violations.push(format!("{name:?} opened before {member:?} was ready"));
            }
        }
        if let Some(held) = &mut self.workers[index].membership {
            held.state = MembershipState::Open;
        }
        OrderOutcome::Begun
    }

    /// Advances the time by one step: completes joins, carries out late orders and sends reports.
    pub fn advance(&mut self) {
        self.now += TICK;
        let now = self.now;
        for index in 0..self.workers.len() {
            if !self.workers[index].alive {
                continue;
            }
            let due: Vec<WorkerOrder> = {
                let late = &mut self.workers[index].late_orders;
                let due =
                    late.iter().filter(|(at, _)| *at <= now).map(|(_, o)| o.clone()).collect();
                late.retain(|(at, _)| *at > now);
                due
            };
            for order in &due {
                self.carry_out(index, order);
            }
            let worker = &mut self.workers[index];
            let mut changed = !due.is_empty();
            if let Some(held) = &mut worker.membership
                && held.state == MembershipState::Joining
                && held.ready_at <= now
            {
                held.state = MembershipState::Ready;
                worker.model = Some(held.name.model.clone());
                worker.staged = true;
                self.ready.insert((*held.name.epoch, worker.id.clone()));
                changed = true;
            }
            let connected = !self.workers[index].is_partitioned(now);
            if connected && (changed || self.rng.random_bool(0.1)) {
                self.workers[index].report(now);
            }
        }
    }

    /// Sends a report of every worker to the controller.
    pub fn report_all(&mut self) {
        let now = self.now;
        self.workers.iter_mut().for_each(|worker| worker.report(now));
    }

    /// Terminates a worker, and starts one with a new name in its place.
    pub fn replace(&mut self, index: usize) {
        self.workers[index].alive = false;
        self.workers[index].membership = None;
        let mut next = SimulatedWorker::new(format!("w{}", self.started));
        next.staged = self.workers[index].staged;
        next.report(self.now);
        self.started += 1;
        self.workers.push(next);
    }

    /// Terminates a worker and restarts it at once under the same name. Orders in flight to the
    /// name reach the new instance, which has no memberships of the former one.
    pub fn restart(&mut self, index: usize) {
        let late_orders = std::mem::take(&mut self.workers[index].late_orders);
        let former = &mut self.workers[index];
        former.alive = false;
        former.membership = None;
        let incarnation = former.id.incarnation().map_or(1, |incarnation| incarnation.0 + 1);
        let id = WorkerId::of_instance(former.id.name(), Some(Incarnation(incarnation)));
        let (staged, partitioned_until) = (former.staged, former.partitioned_until);
        let mut next = SimulatedWorker {
            staged,
            late_orders,
            partitioned_until,
            ..SimulatedWorker::new(id.to_string())
        };
        if !next.is_partitioned(self.now) {
            next.report(self.now);
        }
        self.workers.push(next);
    }

    /// Runs one step of a leader on the last reports. `faults` is the probability that an order is
    /// delivered with a fault.
    pub fn step(&mut self, controller: &mut ReplicaController, faults: f64) {
        let reports: Vec<(WorkerReport, Instant, WorkerStatus)> = self
            .workers
            .iter()
            .filter_map(|worker| {
                let (report, at) = worker.last_report.clone()?;
                let standing = match worker.alive && !worker.is_partitioned(self.now) {
                    true => WorkerStatus::Usable,
                    // A probe was answered by the new instance.
                    false if self.is_restarted(worker) => WorkerStatus::Dead,
                    false => WorkerStatus::Lost,
                };
                Some((report, at, standing))
            })
            .collect();
        let states: Vec<WorkerState<'_>> = reports
            .iter()
            .map(|(report, confirmed, standing)| WorkerState {
                report,
                confirmed: *confirmed,
                active: 0,
                waiting_ms: 0,
                status: *standing,
            })
            .collect();
        let tickets = controller.step(&engine(self.size), &states, false, self.now);
        for ticket in tickets {
            let outcome = self.deliver(&ticket, faults);
            controller.record_outcome(&ticket, outcome, self.now);
        }
    }

    fn deliver(&mut self, ticket: &OrderTicket, faults: f64) -> OrderOutcome {
        let Some(index) = self.index_of(&ticket.worker) else { return OrderOutcome::Unreached };
        if self.workers[index].is_partitioned(self.now) {
            return OrderOutcome::Unreached;
        }
        match self.draw_fault(faults) {
            Some(OrderFault::Lost) => OrderOutcome::Unknown,
            Some(OrderFault::Unreached) => OrderOutcome::Unreached,
            Some(OrderFault::Late(delay)) => {
                // Epochs fence joins that arrive late and twice. A late leave has no effect.
                let at = self.now + delay;
                self.workers[index].late_orders.push((at, ticket.order.clone()));
                OrderOutcome::Unknown
            }
            Some(OrderFault::AnswerLost) => {
                self.carry_out(index, &ticket.order);
                OrderOutcome::Unknown
            }
            None => {
                let outcome = self.carry_out(index, &ticket.order);
                self.workers[index].report(self.now);
                outcome
            }
        }
    }

    fn draw_fault(&mut self, faults: f64) -> Option<OrderFault> {
        if !self.planned.is_empty() {
            return Some(self.planned.remove(0));
        }
        if !self.rng.random_bool(faults) {
            return None;
        }
        Some(match self.rng.random_range(0..6) {
            0 => OrderFault::Lost,
            1 => OrderFault::AnswerLost,
            2 | 3 => OrderFault::Late(Duration::from_millis(self.rng.random_range(2000..8000))),
            _ => OrderFault::Unreached,
        })
    }

    /// Returns the number of complete serving replicas.
    pub fn serving(&self) -> usize {
        let mut epochs: BTreeMap<u64, usize> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            if let Some(held) = &worker.membership {
                *epochs.entry(*held.name.epoch).or_default() += 1;
            }
        }
        let open = self.workers.iter().filter(|worker| worker.is_open());
        let complete = open.filter(|worker| {
            worker.membership.as_ref().is_some_and(|held| epochs[&*held.name.epoch] == self.size)
        });
        complete.count()
    }
}

#[allow(dead_code, reason = "only tests of late orders use these")]
impl Simulation {
    /// Lets a head carry out once more, after these delays, the join and the opening of the replica
    /// that it serves, as if it had left the first of each unanswered.
    pub fn repeat_late(&mut self, index: usize, join: Duration, open: Duration) {
        let worker = &mut self.workers[index];
        let held = worker.membership.clone().expect("the worker is a member of a replica");
        let (name, members) = (held.name, held.members);
        worker
            .late_orders
            .push((self.now + join, WorkerOrder::Join { name: name.clone(), members }));
        worker.late_orders.push((self.now + open, WorkerOrder::Open { name }));
    }

    /// Terminates a worker for good.
    pub fn terminate(&mut self, index: usize) {
        self.workers[index].alive = false;
        self.workers[index].membership = None;
    }

    /// Starts a worker that holds the weights on its host.
    pub fn start_worker(&mut self) {
        let mut next = SimulatedWorker::new(format!("w{}", self.started));
        next.staged = true;
        next.report(self.now);
        self.started += 1;
        self.workers.push(next);
    }
}

/// Creates a leader that treats its set of workers as complete after half a second, and that
/// expects orders to be delayed by at most `max_order_delay`.
pub fn new_leader(term: u64, now: Instant, max_order_delay: Duration) -> ReplicaController {
    let times =
        LeaderTimes { term_start: now, settled: now + Duration::from_millis(500), loads_from: now };
    ReplicaController::new(timing(max_order_delay), Term(term), times)
}
