//! The life of replicas against stand-in workers that lose orders, carry them out late, end and
//! come back, under leaders that replace each other.
//!
//! Whatever happens: no head serves while a member was never ready with it, and no worker joins a
//! replica while the head of another one, which it has not left, is open. Once things are calm the
//! replicas stand.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::replicas::{ReplicaName, WorkerState};
use hollowbarrow_fleet::{
    Engine, ModelSpec, OrderOutcome, OrderTicket, ReplicaController, ReplicaTiming, TermState,
    WorkerOrder, WorkerStanding,
};
use hollowbarrow_schema::{
    DomainId, MembershipState, ModelName, ServiceName, Term, WorkerId, WorkerMembership,
    WorkerReport, ZoneId,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(100);
const WORKERS: usize = 9;
const SIZE: usize = 3;

fn engine() -> Engine {
    Engine {
        slots: 26,
        memory_tokens: 1_590_000,
        models: vec![ModelSpec {
            name: ModelName::from("m"),
            size: SIZE,
            share: 1.0,
            pace: 1.0,
            load: Duration::from_secs(2),
            warm: Duration::from_millis(300),
        }],
        step: Duration::from_millis(6),
        step_per_request_ms: 0.05,
        read_per_second: 50_000.0,
        stride: 7,
        loads_per_second: 4.5,
        loads_at_once: 6,
        far: 2.5,
        form: Duration::from_millis(300),
    }
}

fn timing() -> ReplicaTiming {
    ReplicaTiming {
        repeat: Duration::from_millis(1800),
        close: Duration::from_millis(1500),
        load_window: Duration::from_secs(5),
    }
}

#[derive(Clone)]
struct Membership {
    name: ReplicaName,
    members: Vec<WorkerId>,
    state: MembershipState,
    ready_at: Instant,
}

struct StandinWorker {
    id: WorkerId,
    alive: bool,
    model: Option<ModelName>,
    staged: bool,
    membership: Option<Membership>,
    highest: u64,
    seq: u64,
    /// What the controller last heard.
    heard: Option<WorkerReport>,
    late: Vec<(Instant, WorkerOrder)>,
    /// Until when nobody reaches it or hears of it, although it runs.
    cut_until: Option<Instant>,
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
            late: Vec::new(),
            cut_until: None,
        }
    }

    fn is_cut(&self, now: Instant) -> bool {
        self.cut_until.is_some_and(|until| now < until)
    }

    fn report(&mut self) {
        self.seq += 1;
        let membership = self.membership.as_ref().map(|held| WorkerMembership {
            replica: held.name.to_text(),
            epoch: held.name.epoch,
            rank: held.members.iter().position(|member| *member == self.id).unwrap_or(0) as u32,
            state: held.state,
        });
        self.heard = Some(WorkerReport {
            id: self.id.clone(),
            seq: self.seq,
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
        });
    }

    fn is_open(&self) -> bool {
        let state = self.membership.as_ref().map(|held| held.state);
        self.alive && matches!(state, Some(MembershipState::Open | MembershipState::Closing))
    }
}

/// A fleet of stand-ins, and what was seen to break.
struct Standins {
    now: Instant,
    rng: ChaCha8Rng,
    workers: Vec<StandinWorker>,
    lives: usize,
    /// Which members were ready under which epoch.
    ready: BTreeSet<(u64, WorkerId)>,
    broken: Vec<String>,
}

impl Standins {
    fn new(seed: u64) -> Self {
        let workers = (0..WORKERS).map(|index| StandinWorker::new(format!("w{index}"))).collect();
        Self {
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers,
            lives: WORKERS,
            ready: BTreeSet::new(),
            broken: Vec::new(),
        }
    }

    fn index_of(&self, id: &WorkerId) -> Option<usize> {
        self.workers.iter().position(|worker| worker.id == *id && worker.alive)
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
    fn advance(&mut self) {
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
                self.workers[index].report();
            }
        }
    }

    /// Ends a worker, and starts another in its place.
    fn replace(&mut self, index: usize) {
        self.workers[index].alive = false;
        self.workers[index].membership = None;
        let mut next = StandinWorker::new(format!("w{}", self.lives));
        next.staged = self.workers[index].staged;
        next.report();
        self.lives += 1;
        self.workers.push(next);
    }

    fn step(&mut self, controller: &mut ReplicaController, faults: f64) {
        let reports: Vec<(WorkerReport, bool)> = self
            .workers
            .iter()
            .filter_map(|worker| {
                let reached = worker.alive && !worker.is_cut(self.now);
                Some((worker.heard.clone()?, reached))
            })
            .collect();
        let states: Vec<WorkerState<'_>> = reports
            .iter()
            .map(|(report, alive)| WorkerState {
                report,
                active: 0,
                standing: if *alive { WorkerStanding::Usable } else { WorkerStanding::Lost },
            })
            .collect();
        let tickets = controller.step(&engine(), &states, false, self.now);
        for ticket in tickets {
            let outcome = self.deliver(&ticket, faults);
            controller.note_outcome(&ticket, outcome, self.now);
        }
    }

    fn deliver(&mut self, ticket: &OrderTicket, faults: f64) -> OrderOutcome {
        let Some(index) = self.index_of(&ticket.worker) else { return OrderOutcome::Unreached };
        if self.workers[index].is_cut(self.now) {
            return OrderOutcome::Unreached;
        }
        if self.rng.random_bool(faults) {
            if self.rng.random_bool(0.5) {
                // Joins that come late and twice are what epochs fence; leaving late is harmless.
                let at = self.now + Duration::from_millis(self.rng.random_range(2000..8000));
                self.workers[index].late.push((at, ticket.order.clone()));
                return OrderOutcome::Unknown;
            }
            return OrderOutcome::Unreached;
        }
        let outcome = self.carry_out(index, &ticket.order);
        self.workers[index].report();
        outcome
    }

    fn serving(&self) -> usize {
        let mut epochs: BTreeMap<u64, usize> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            if let Some(held) = &worker.membership {
                *epochs.entry(*held.name.epoch).or_default() += 1;
            }
        }
        let open = self.workers.iter().filter(|worker| worker.is_open());
        let whole = open.filter(|worker| {
            worker.membership.as_ref().is_some_and(|held| epochs[&*held.name.epoch] == SIZE)
        });
        whole.count()
    }
}

fn new_leader(term: u64, now: Instant) -> ReplicaController {
    ReplicaController::new(timing(), Term(term), now + Duration::from_millis(500), now)
}

#[rstest]
fn step_forms_and_repairs() {
    let mut standins = Standins::new(1);
    standins.workers.iter_mut().for_each(StandinWorker::report);
    let mut controller = new_leader(1, standins.now);
    for _ in 0..120 {
        standins.advance();
        standins.step(&mut controller, 0.0);
    }
    assert_eq!(standins.serving(), 2, "two of nine workers stay free beside two replicas");
    let member = (0..WORKERS)
        .find(|index| {
            standins.workers[*index].membership.is_some() && !standins.workers[*index].is_open()
        })
        .expect("there is a member that is no head");
    standins.replace(member);
    for _ in 0..30 {
        standins.advance();
        standins.step(&mut controller, 0.0);
    }
    assert_eq!(standins.serving(), 2, "a spare took the lost member's place");
    assert_eq!(standins.broken, Vec::<String>::new());
}

#[rstest]
fn step_new_leader_keeps_replicas() {
    let mut standins = Standins::new(2);
    standins.workers.iter_mut().for_each(StandinWorker::report);
    let mut controller = new_leader(1, standins.now);
    for _ in 0..120 {
        standins.advance();
        standins.step(&mut controller, 0.0);
    }
    let before = standins.serving();
    let mut next = new_leader(2, standins.now);
    for _ in 0..30 {
        standins.advance();
        standins.step(&mut next, 0.0);
        assert_eq!(standins.serving(), before, "no replica stops for a change of leader");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn step_under_faults_keeps_order(seed in any::<u64>(), faults in 0.0f64..0.3) {
        let mut standins = Standins::new(seed);
        standins.workers.iter_mut().for_each(StandinWorker::report);
        let mut term = 1;
        let mut terms = TermState::new();
        for _ in 0..400 {
            standins.advance();
            if standins.rng.random_bool(0.02) {
                let alive: Vec<usize> = (0..standins.workers.len())
                    .filter(|index| standins.workers[*index].alive)
                    .collect();
                let chosen = standins.rng.random_range(0..alive.len());
                standins.replace(alive[chosen]);
            }
            if standins.rng.random_bool(0.02) {
                let chosen = standins.rng.random_range(0..standins.workers.len());
                let length = Duration::from_millis(standins.rng.random_range(500..6000));
                standins.workers[chosen].cut_until = Some(standins.now + length);
            }
            if standins.rng.random_bool(0.01) {
                term += 1;
            }
            // Now and then the leader is not sure to lead, and goes on in the same term later.
            if standins.rng.random_bool(0.05) {
                continue;
            }
            let now = standins.now;
            let controller = terms.enter(Term(term), || new_leader(term, now));
            standins.step(controller, faults);
        }
        // Calm again: late orders run out, and the replicas stand.
        for _ in 0..250 {
            standins.advance();
            let now = standins.now;
            let controller = terms.enter(Term(term), || new_leader(term, now));
            standins.step(controller, 0.0);
        }
        prop_assert_eq!(&standins.broken, &Vec::<String>::new());
        prop_assert!(standins.serving() >= 2, "{} replicas serve", standins.serving());
    }
}
