//! Stand-in workers that lose orders, carry them out late, end and come back.

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

/// Time between two steps.
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

fn timing(late: Duration) -> ReplicaTiming {
    ReplicaTiming {
        order_retry: Duration::from_millis(1800),
        close_timeout: Duration::from_millis(1500),
        max_order_delay: late,
        load_window: Duration::from_secs(5),
    }
}

/// A worker's part in a replica.
#[derive(Clone)]
pub struct Membership {
    name: ReplicaName,
    members: Vec<WorkerId>,
    state: MembershipState,
    ready_at: Instant,
}

/// One worker, as it is and as it was last heard.
pub struct StandinWorker {
    pub id: WorkerId,
    pub alive: bool,
    model: Option<ModelName>,
    staged: bool,
    pub membership: Option<Membership>,
    highest: u64,
    seq: u64,
    /// What the controller last heard, and when.
    pub heard: Option<(WorkerReport, Instant)>,
    /// Whether its reports go to a controller that does not pass them on.
    pub unheard: bool,
    late: Vec<(Instant, WorkerOrder)>,
    /// Until when nobody reaches it or hears of it, although it runs.
    pub cut_until: Option<Instant>,
}

impl StandinWorker {
    fn new(id: String) -> Self {
        Self {
            id: WorkerId(id),
            alive: true,
            model: None,
            staged: false,
            membership: None,
            highest: 0,
            seq: 0,
            heard: None,
            unheard: false,
            late: Vec::new(),
            cut_until: None,
        }
    }

    fn is_cut(&self, now: Instant) -> bool {
        self.cut_until.is_some_and(|until| now < until)
    }

    /// Has the controller hear of it.
    pub fn report(&mut self, now: Instant) {
        self.seq += 1;
        if self.unheard {
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
        self.heard = Some((report, now));
    }

    /// Whether it is a head that takes requests.
    pub fn is_open(&self) -> bool {
        let state = self.membership.as_ref().map(|held| held.state);
        self.alive && matches!(state, Some(MembershipState::Open | MembershipState::Closing))
    }
}

/// What becomes of an order on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// It is lost.
    Lost,
    /// It is carried out, and the answer is lost.
    AnswerLost,
    /// It gets no answer, and is carried out after so long.
    Late(Duration),
    /// The worker is not reached.
    Unreached,
}

/// A fleet of stand-ins, and what was seen to break.
pub struct Standins {
    pub now: Instant,
    pub rng: ChaCha8Rng,
    pub workers: Vec<StandinWorker>,
    /// Members of each replica.
    size: usize,
    /// What becomes of the next orders, before chance decides.
    pub planned: Vec<OrderFault>,
    lives: usize,
    /// Which members were ready under which epoch.
    ready: BTreeSet<(u64, WorkerId)>,
    pub broken: Vec<String>,
}

impl Standins {
    /// Creates workers that nobody has heard of.
    pub fn new(seed: u64, count: usize, size: usize) -> Self {
        let workers = (0..count).map(|index| StandinWorker::new(format!("w{index}"))).collect();
        Self {
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers,
            size,
            planned: Vec::new(),
            lives: count,
            ready: BTreeSet::new(),
            broken: Vec::new(),
        }
    }

    /// The worker that an order reaches: it names the worker and not its life.
    fn index_of(&self, id: &WorkerId) -> Option<usize> {
        self.workers.iter().position(|worker| worker.id.name() == id.name() && worker.alive)
    }

    /// Whether a later life of a worker's name has come.
    fn is_reborn(&self, worker: &StandinWorker) -> bool {
        let later = |other: &StandinWorker| other.alive && other.id.name() == worker.id.name();
        !worker.alive && self.workers.iter().any(later)
    }

    /// Carries an order out as a real worker does.
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
                let own = worker.membership.as_ref().is_some_and(|held| held.name == *name);
                if own {
                    worker.membership = None;
                    OrderOutcome::Done
                } else {
                    OrderOutcome::Misfit
                }
            }
        }
    }

    fn join(&mut self, index: usize, name: &ReplicaName, members: &[WorkerId]) -> OrderOutcome {
        if *name.epoch < self.workers[index].highest {
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
                self.broken.push(format!("{id:?} joined {name:?} while {former:?} was open"));
            }
        }
        let worker = &mut self.workers[index];
        let wait = match (&worker.model, worker.staged) {
            (Some(_), _) => Duration::from_millis(200),
            (None, true) => Duration::from_millis(300),
            (None, false) => Duration::from_secs(2),
        };
        worker.highest = *name.epoch;
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
                self.broken.push(format!("{name:?} opened without {member:?}"));
            }
        }
        if let Some(held) = &mut self.workers[index].membership {
            held.state = MembershipState::Open;
        }
        OrderOutcome::Begun
    }

    /// Lets time pass: joins end, late orders are carried out.
    pub fn advance(&mut self) {
        self.now += TICK;
        let now = self.now;
        for index in 0..self.workers.len() {
            if !self.workers[index].alive {
                continue;
            }
            let due: Vec<WorkerOrder> = {
                let late = &mut self.workers[index].late;
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
            let heard = !self.workers[index].is_cut(now);
            if heard && (changed || self.rng.random_bool(0.1)) {
                self.workers[index].report(now);
            }
        }
    }

    /// Has the controller hear of every worker.
    pub fn report_all(&mut self) {
        let now = self.now;
        self.workers.iter_mut().for_each(|worker| worker.report(now));
    }

    /// Ends a worker, and starts another in its place.
    pub fn replace(&mut self, index: usize) {
        self.workers[index].alive = false;
        self.workers[index].membership = None;
        let mut next = StandinWorker::new(format!("w{}", self.lives));
        next.staged = self.workers[index].staged;
        next.report(self.now);
        self.lives += 1;
        self.workers.push(next);
    }

    /// Ends a worker, which starts again at once under its name. What is on its way to its name
    /// reaches the new life, which knows nothing.
    pub fn rebirth(&mut self, index: usize) {
        let late = std::mem::take(&mut self.workers[index].late);
        let former = &mut self.workers[index];
        former.alive = false;
        former.membership = None;
        let born = former.id.incarnation().map_or(1, |born| born.0 + 1);
        let id = WorkerId::of_instance(former.id.name(), Some(Incarnation(born)));
        let (staged, cut_until) = (former.staged, former.cut_until);
        let mut next =
            StandinWorker { staged, late, cut_until, ..StandinWorker::new(id.to_string()) };
        if !next.is_cut(self.now) {
            next.report(self.now);
        }
        self.workers.push(next);
    }

    /// Has a leader act on what it heard; a part of its orders goes astray.
    pub fn step(&mut self, controller: &mut ReplicaController, faults: f64) {
        let reports: Vec<(WorkerReport, Instant, WorkerStatus)> = self
            .workers
            .iter()
            .filter_map(|worker| {
                let (report, at) = worker.heard.clone()?;
                let standing = match worker.alive && !worker.is_cut(self.now) {
                    true => WorkerStatus::Usable,
                    // It was probed, and the new life has answered.
                    false if self.is_reborn(worker) => WorkerStatus::Dead,
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
        if self.workers[index].is_cut(self.now) {
            return OrderOutcome::Unreached;
        }
        match self.draw_fault(faults) {
            Some(OrderFault::Lost) => OrderOutcome::Unknown,
            Some(OrderFault::Unreached) => OrderOutcome::Unreached,
            Some(OrderFault::Late(delay)) => {
                // Joins that come late and twice are what epochs fence; leaving late is harmless.
                let at = self.now + delay;
                self.workers[index].late.push((at, ticket.order.clone()));
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

    /// Replicas that serve and are whole.
    pub fn serving(&self) -> usize {
        let mut epochs: BTreeMap<u64, usize> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            if let Some(held) = &worker.membership {
                *epochs.entry(*held.name.epoch).or_default() += 1;
            }
        }
        let open = self.workers.iter().filter(|worker| worker.is_open());
        let whole = open.filter(|worker| {
            worker.membership.as_ref().is_some_and(|held| epochs[&*held.name.epoch] == self.size)
        });
        whole.count()
    }
}

/// A leader that believes after half a second that it has heard of every worker, and that orders
/// come late by no more than `late`.
pub fn new_leader(term: u64, now: Instant, late: Duration) -> ReplicaController {
    let times =
        LeaderTimes { term_start: now, settled: now + Duration::from_millis(500), loads_from: now };
    ReplicaController::new(timing(late), Term(term), times)
}
