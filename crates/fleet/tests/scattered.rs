//! Replicas over several fabric domains: when they serve, and when one domain takes over.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_fleet::replicas::WorkerState;
use hollowbarrow_fleet::{
    Engine, LeaderTimes, ModelSpec, OrderOutcome, ReplicaController, ReplicaTiming, WorkerOrder,
    WorkerStatus,
};
use hollowbarrow_schema::{
    DomainId, MembershipState, ModelName, ServiceName, Term, WorkerId, WorkerMembership,
    WorkerReport, ZoneId,
};
use rstest::rstest;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(50);
const SIZE: usize = 4;
const DOMAINS: usize = 2;
/// Duration of a load from the store.
const LOAD: Duration = Duration::from_secs(16);

fn engine() -> Engine {
    let model = ModelSpec {
        name: ModelName::from("large"),
        size: SIZE,
        share: 1.0,
        time_factor: 1.0,
        load_time: LOAD,
        warm_load_time: Duration::from_secs(1),
    };
    Engine {
        slots: 26,
        memory_tokens: 1_590_000,
        models: vec![model],
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

fn new_controller(start: Instant) -> ReplicaController {
    let timing = ReplicaTiming {
        order_retry: Duration::from_millis(1800),
        close_timeout: Duration::from_millis(1500),
        max_order_delay: Duration::from_secs(13),
        load_window: Duration::from_secs(5),
    };
    let times = LeaderTimes { term_start: start, settled: start, loads_from: start };
    ReplicaController::new(timing, Term(1), times)
}

/// A worker that carries out each order at once; only loads take time.
struct Worker {
    report: WorkerReport,
    joining: Option<(WorkerMembership, ModelName, Instant)>,
}

impl Worker {
    fn new(number: usize, model: Option<&str>) -> Self {
        let report = WorkerReport {
            id: WorkerId(format!("w{number}")),
            seq: 1,
            recount: None,
            service: ServiceName("chat".to_owned()),
            address: "127.0.0.1:1".to_owned(),
            zone: ZoneId("a".to_owned()),
            slots: 26,
            leaving: false,
            gone: false,
            domain: Some(DomainId(format!("d{}", number % DOMAINS))),
            model: model.map(ModelName::from),
            staged: Vec::new(),
            membership: None,
        };
        Self { report, joining: None }
    }

    fn advance(&mut self, now: Instant) {
        if let Some((membership, model, _)) = self.joining.take_if(|(_, _, at)| *at <= now) {
            self.report.model = Some(model);
            self.report.membership = Some(membership);
        }
    }

    fn carry_out(&mut self, order: &WorkerOrder, now: Instant) {
        let name = order.name();
        let mut membership = WorkerMembership {
            replica: name.to_text(),
            epoch: name.epoch,
            rank: 0,
            state: MembershipState::Ready,
        };
        match order {
            WorkerOrder::Join { members, .. } => {
                let rank = members.iter().position(|member| *member == self.report.id);
                membership.rank = rank.expect("the order names the worker") as u32;
                let held = self.report.model.as_ref() == Some(&name.model);
                let begun = self.joining.take().filter(|(begun, ..)| begun.epoch == name.epoch);
                let begun_until = begun.map_or(now + LOAD, |(_, _, ready_at)| ready_at);
                let ready_at = if held { now } else { begun_until };
                self.joining = Some((membership, name.model.clone(), ready_at));
            }
            WorkerOrder::Open { .. } => {
                membership.state = MembershipState::Open;
                self.report.membership = Some(membership);
            }
            WorkerOrder::Close { .. } => self.report.membership = Some(membership),
            WorkerOrder::Leave { .. } => self.report.membership = None,
            WorkerOrder::Stage { .. } => {}
        }
    }
}

struct Fleet {
    workers: Vec<Worker>,
    controller: ReplicaController,
    now: Instant,
    /// Number of orders, by verb.
    orders: BTreeMap<&'static str, usize>,
}

impl Fleet {
    /// Creates two workers with the model and two without it in each domain.
    fn new() -> Self {
        let holders = (0..SIZE).map(|number| Worker::new(number, Some("large")));
        let others = (SIZE..2 * SIZE).map(|number| Worker::new(number, None));
        let now = Instant::now();
        let controller = new_controller(now);
        let workers = holders.chain(others).collect();
        Self { workers, controller, now, orders: BTreeMap::new() }
    }

    /// Runs the leader for some time and returns for how much of it a replica was open.
    fn run(&mut self, time: Duration) -> Duration {
        let mut open = Duration::ZERO;
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.workers.iter_mut().for_each(|worker| worker.advance(self.now));
            self.step();
            open += if self.heads().is_empty() { Duration::ZERO } else { STEP };
        }
        open
    }

    fn step(&mut self) {
        let reports: Vec<WorkerReport> =
            self.workers.iter().map(|worker| worker.report.clone()).collect();
        let state = |report| WorkerState {
            report,
            confirmed: self.now,
            active: 0,
            waiting_ms: 0,
            status: WorkerStatus::Usable,
        };
        let states: Vec<WorkerState<'_>> = reports.iter().map(state).collect();
        for ticket in self.controller.step(&engine(), &states, false, self.now) {
            let reached = self.workers.iter_mut().find(|w| w.report.id == ticket.worker);
            reached.expect("orders go to known workers").carry_out(&ticket.order, self.now);
            self.controller.record_outcome(&ticket, OrderOutcome::Begun, self.now);
            *self.orders.entry(ticket.order.verb()).or_default() += 1;
        }
    }

    fn heads(&self) -> Vec<&WorkerReport> {
        let is_open = |report: &&WorkerReport| {
            report.membership.as_ref().is_some_and(|m| m.state == MembershipState::Open)
        };
        self.workers.iter().map(|worker| &worker.report).filter(is_open).collect()
    }

    /// Returns the domains of the members of the open replica.
    fn open_domains(&self) -> Vec<&DomainId> {
        let head = self.heads()[0].membership.as_ref().expect("a head has a membership");
        let members = self.workers.iter().map(|worker| &worker.report).filter(|report| {
            report.membership.as_ref().is_some_and(|other| other.epoch == head.epoch)
        });
        let mut domains: Vec<&DomainId> = members.filter_map(|r| r.domain.as_ref()).collect();
        domains.sort();
        domains.dedup();
        domains
    }
}

/// A replica over two domains serves until one of them holds the weights for a whole one.
#[rstest]
fn step_keeps_scattered_replica_during_loads() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(1));
    let time = LOAD - Duration::from_secs(2);
    let open = fleet.run(time);
    assert_eq!(open, time, "orders: {:?}", fleet.orders);
    assert_eq!(fleet.orders["open"], 1, "orders: {:?}", fleet.orders);
    assert_eq!(fleet.open_domains().len(), DOMAINS);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.open_domains().len(), 1, "orders: {:?}", fleet.orders);
}
