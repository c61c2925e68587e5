//! The leader's plans while workers register, and as the replicas' utilisation changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::replicas::{ReplicaKind, WorkerState};
use hollowbarrow_fleet::{
    Engine, LeaderTimes, ModelSpec, OrderOutcome, ReplicaController, ReplicaTiming, WorkerOrder,
    WorkerStatus,
};
use hollowbarrow_schema::{
    DomainId, Epoch, MembershipState, ModelName, ServiceName, Term, WorkerId, WorkerMembership,
    WorkerReport, ZoneId,
};
use rstest::rstest;
use tokio::time::Instant;

const DOMAINS: usize = 4;
const WORKERS_PER_DOMAIN: usize = 37;
const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 600;
/// Duration of a load before the first request.
const LOAD: Duration = Duration::from_millis(1600);

fn model(name: &str, size: usize) -> ModelSpec {
    ModelSpec {
        name: ModelName::from(name),
        size,
        share: 0.5,
        time_factor: 1.0,
        load_time: Duration::from_secs(16),
        warm_load_time: Duration::from_secs(1),
    }
}

fn engine() -> Engine {
    Engine {
        slots: 23,
        memory_tokens: 1_590_000,
        models: vec![model("large", 16), model("small", 4)],
        step: Duration::from_millis(6),
        step_per_request_ms: 0.05,
        prefill_per_second: 50_000.0,
        stride: 8,
        loads_per_second: 25.0,
        loads_at_once: 100,
        cross_domain_factor: 2.5,
        open_delay: Duration::from_millis(300),
        mean_answer_tokens: 178,
    }
}

fn report(number: usize) -> WorkerReport {
    WorkerReport {
        id: WorkerId(format!("w{number:03}")),
        seq: 1,
        recount: None,
        service: ServiceName("chat".to_owned()),
        address: "127.0.0.1:1".to_owned(),
        zone: ZoneId("a".to_owned()),
        slots: 23,
        leaving: false,
        gone: false,
        domain: Some(DomainId(format!("d{}", number % DOMAINS))),
        model: None,
        staged: Vec::new(),
        membership: None,
    }
}

fn usable(report: &WorkerReport, active: u32, waiting_ms: u32) -> WorkerState<'_> {
    let confirmed = Instant::now();
    WorkerState { report, confirmed, active, waiting_ms, status: WorkerStatus::Usable }
}

fn new_controller(start: Instant) -> ReplicaController {
    let timing = ReplicaTiming {
        order_retry: Duration::from_millis(1800),
        close_timeout: Duration::from_millis(1500),
        max_order_delay: Duration::from_secs(13),
        load_window: Duration::from_secs(5),
    };
    let settled = start + Duration::from_millis(500);
    let times = LeaderTimes { term_start: start, settled, loads_from: start };
    ReplicaController::new(timing, Term(1), times)
}

/// Counts, by model, the replicas that were started while workers registered at this interval.
fn plan_registering(interval: Duration) -> BTreeMap<String, usize> {
    let start = Instant::now();
    let mut controller = new_controller(start);
    let mut started: BTreeSet<(Epoch, ModelName)> = BTreeSet::new();
    let mut loads: BTreeMap<WorkerId, (ModelName, Instant)> = BTreeMap::new();
    let total = DOMAINS * WORKERS_PER_DOMAIN;
    for step in 0..STEPS {
        let elapsed = STEP * step;
        let now = start + elapsed;
        let registered = elapsed.div_duration_f64(interval) as usize;
        let reports: Vec<WorkerReport> = (0..registered.min(total))
            .map(|number| {
                let mut report = report(number);
                let loaded = loads.get(&report.id).filter(|(_, at)| *at <= now);
                report.model = loaded.map(|(model, _)| model.clone());
                report
            })
            .collect();
        let states: Vec<WorkerState<'_>> =
            reports.iter().map(|report| usable(report, 0, 0)).collect();
        for ticket in controller.step(&engine(), &states, true, now) {
            controller.record_outcome(&ticket, OrderOutcome::Begun, now);
            let WorkerOrder::Join { name, .. } = &ticket.order else { continue };
            loads.entry(ticket.worker.clone()).or_insert((name.model.clone(), now + LOAD));
            if name.kind == ReplicaKind::Serving {
                started.insert((name.epoch, name.model.clone()));
            }
        }
    }
    let mut counts = BTreeMap::new();
    for (_, model) in started {
        *counts.entry(model.to_string()).or_default() += 1;
    }
    counts
}

/// Small replicas, which could be formed sooner, do not use up the capacity for large ones.
#[rstest]
#[case::at_once(1)]
#[case::fast(5)]
#[case::slowly(15)]
fn step_waits_for_registration(#[case] interval_ms: u64) {
    let counts = plan_registering(Duration::from_millis(interval_ms));
    assert_eq!(counts.get("large"), Some(&DOMAINS), "{counts:?}");
    assert!(counts["small"] >= 4 * DOMAINS, "{counts:?}");
}

/// Free workers copy the model that they do not hold before the first request, while copies are
/// cheap.
#[rstest]
fn step_copies_second_model_before_requests() {
    let engine = engine();
    let start = Instant::now();
    let mut controller = new_controller(start);
    let mut reports: Vec<WorkerReport> = (0..3 * DOMAINS).map(report).collect();
    let mut copied = BTreeSet::new();
    for step in 0..STEPS {
        let states: Vec<WorkerState<'_>> = reports.iter().map(|one| usable(one, 0, 0)).collect();
        let tickets = controller.step(&engine, &states, true, start + STEP * step);
        for ticket in tickets {
            controller.record_outcome(&ticket, OrderOutcome::Begun, start + STEP * step);
            let loaded = reports.iter_mut().find(|report| report.id == ticket.worker);
            let report = loaded.expect("orders address reported workers");
            match &ticket.order {
                WorkerOrder::Join { name, .. } => report.model = Some(name.model.clone()),
                WorkerOrder::Stage { name } => {
                    assert_ne!(report.model.as_ref(), Some(&name.model));
                    copied.insert(ticket.worker.clone());
                }
                _ => {}
            }
        }
    }
    assert_eq!(copied.len(), reports.len(), "each free worker copies a second model");
}

/// Returns the reports of the members of a serving replica.
fn members_of(replica: u64, model: &str, size: usize, first: usize) -> Vec<WorkerReport> {
    let member = |rank: usize| WorkerReport {
        domain: Some(DomainId::from("d0")),
        model: Some(ModelName::from(model)),
        membership: Some(WorkerMembership {
            replica: format!("serving.{replica}.{model}"),
            epoch: Epoch(replica),
            rank: rank as u32,
            state: if rank == 0 { MembershipState::Open } else { MembershipState::Ready },
        }),
        ..report(first + rank)
    };
    (0..size).map(member).collect()
}

/// A model whose answers are delayed by waiting prompts takes precedence over one with more
/// occupied slots.
#[rstest]
#[case::slots_fuller(0, 0, "small")]
#[case::prompts_wait(71, 9, "large")]
fn step_plans_for_busier_model(
    #[case] large_waiting_ms: u32,
    #[case] small_waiting_ms: u32,
    #[case] expected: &str,
) {
    let start = Instant::now();
    let mut engine = engine();
    engine.models = vec![model("large", 4), model("small", 2)];
    engine.models[1].time_factor = 0.6;
    let mut reports: Vec<WorkerReport> =
        (0..2).flat_map(|n| members_of(n + 1, "large", 4, 4 * n as usize)).collect();
    reports.extend((0..4).flat_map(|n| members_of(n + 11, "small", 2, 8 + 2 * n as usize)));
    reports.extend((16..24).map(|number| WorkerReport {
        domain: Some(DomainId::from("d0")),
        staged: vec![ModelName::from("large"), ModelName::from("small")],
        ..report(number)
    }));
    let states: Vec<WorkerState<'_>> = reports
        .iter()
        .map(|report| match report.model.as_ref().map(|model| model.as_str()) {
            Some("large") => usable(report, 9, large_waiting_ms),
            Some(_) => usable(report, 12, small_waiting_ms),
            None => usable(report, 0, 0),
        })
        .collect();
    let mut controller = new_controller(start);
    let mut planned = BTreeSet::new();
    for step in 0..STEPS {
        // The free workers appear once the utilisation has been averaged for some seconds.
        let known = if step < STEPS - 100 { &states[..16] } else { &states[..] };
        for ticket in controller.step(&engine, known, false, start + STEP * step) {
            let name = ticket.order.name();
            if name.kind == ReplicaKind::Serving && *name.epoch > 20 {
                planned.insert(name.model.to_string());
            }
        }
    }
    assert_eq!(planned, BTreeSet::from([expected.to_owned()]));
}

/// A domain with part of a replica of the scarce model loads that model first, and a spare of the
/// model that has enough replicas only when none is scarce.
#[rstest]
#[case::large_scarce(1, 6, "large")]
#[case::none_scarce(3, 4, "small")]
fn step_loads_scarce_model(
    #[case] large_replicas: u64,
    #[case] small_replicas: u64,
    #[case] expected: &str,
) {
    let start = Instant::now();
    let mut engine = engine();
    engine.models = vec![model("large", 4), model("small", 3)];
    let mut reports: Vec<WorkerReport> = (0..large_replicas)
        .flat_map(|n| members_of(n + 1, "large", 4, 4 * n as usize))
        .chain(
            (0..small_replicas).flat_map(|n| members_of(n + 11, "small", 3, 40 + 3 * n as usize)),
        )
        .collect();
    let in_other_domain = |number: usize, held: Option<&str>| WorkerReport {
        domain: Some(DomainId::from("d1")),
        model: held.map(ModelName::from),
        ..report(number)
    };
    reports.extend([100, 101].map(|number| in_other_domain(number, Some("large"))));
    reports.push(in_other_domain(102, None));
    let states: Vec<WorkerState<'_>> = reports.iter().map(|report| usable(report, 0, 0)).collect();
    let mut controller = new_controller(start);
    let mut loaded = BTreeSet::new();
    for step in 0..STEPS {
        for ticket in controller.step(&engine, &states, false, start + STEP * step) {
            if ticket.worker == reports[reports.len() - 1].id {
                loaded.insert(ticket.order.name().model.to_string());
            }
        }
    }
    assert_eq!(loaded, BTreeSet::from([expected.to_owned()]));
}
