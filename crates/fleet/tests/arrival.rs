//! The first plan of a fleet whose workers register one after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::replicas::{ReplicaKind, WorkerState};
use hollowbarrow_fleet::{
    Engine, ModelSpec, OrderOutcome, ReplicaController, ReplicaTiming, WorkerOrder, WorkerStanding,
};
use hollowbarrow_schema::{
    DomainId, Epoch, ModelName, ServiceName, Term, WorkerId, WorkerReport, ZoneId,
};
use rstest::rstest;
use tokio::time::Instant;

const DOMAINS: usize = 4;
const WORKERS_A_DOMAIN: usize = 37;
const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 600;
/// Time of a load before the first request.
const LOAD: Duration = Duration::from_millis(1600);

fn model(name: &str, size: usize) -> ModelSpec {
    ModelSpec {
        name: ModelName::from(name),
        size,
        share: 0.5,
        pace: 1.0,
        load: Duration::from_secs(16),
        warm: Duration::from_secs(1),
    }
}

fn engine() -> Engine {
    Engine {
        slots: 23,
        memory_tokens: 1_590_000,
        models: vec![model("large", 16), model("small", 4)],
        step: Duration::from_millis(6),
        step_per_request_ms: 0.05,
        read_per_second: 50_000.0,
        stride: 8,
        loads_per_second: 25.0,
        loads_at_once: 100,
        far: 2.5,
        form: Duration::from_millis(300),
        usual_answer: 178,
    }
}

fn report(number: usize) -> WorkerReport {
    WorkerReport {
        id: WorkerId(format!("w{number:03}")),
        seq: 1,
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

/// Replicas that were begun while workers registered at this pace, by model.
fn plan_arriving(pause: Duration) -> BTreeMap<String, usize> {
    let timing = ReplicaTiming {
        repeat: Duration::from_millis(1800),
        close: Duration::from_millis(1500),
        late: Duration::from_secs(13),
        load_window: Duration::from_secs(5),
    };
    let start = Instant::now();
    let settled = start + Duration::from_millis(500);
    let mut controller = ReplicaController::new(timing, Term(1), settled, start);
    let mut begun: BTreeSet<(Epoch, ModelName)> = BTreeSet::new();
    let mut loads: BTreeMap<WorkerId, (ModelName, Instant)> = BTreeMap::new();
    let total = DOMAINS * WORKERS_A_DOMAIN;
    for step in 0..STEPS {
        let elapsed = STEP * step;
        let now = start + elapsed;
        let registered = elapsed.div_duration_f64(pause) as usize;
        let reports: Vec<WorkerReport> = (0..registered.min(total))
            .map(|number| {
                let mut report = report(number);
                let loaded = loads.get(&report.id).filter(|(_, at)| *at <= now);
                report.model = loaded.map(|(model, _)| model.clone());
                report
            })
            .collect();
        let states: Vec<WorkerState<'_>> = reports
            .iter()
            .map(|report| WorkerState { report, active: 0, standing: WorkerStanding::Usable })
            .collect();
        for ticket in controller.step(&engine(), &states, true, now) {
            controller.note_outcome(&ticket, OrderOutcome::Begun, now);
            let WorkerOrder::Join { name, .. } = &ticket.order else { continue };
            loads.entry(ticket.worker.clone()).or_insert((name.model.clone(), now + LOAD));
            if name.kind == ReplicaKind::Serving {
                begun.insert((name.epoch, name.model.clone()));
            }
        }
    }
    let mut counts = BTreeMap::new();
    for (_, model) in begun {
        *counts.entry(model.to_string()).or_default() += 1;
    }
    counts
}

/// Large replicas are not left without room by small ones that could be formed sooner.
#[rstest]
#[case::at_once(1)]
#[case::fast(5)]
#[case::slowly(15)]
fn step_waits_for_workers_that_register(#[case] pause_ms: u64) {
    let counts = plan_arriving(Duration::from_millis(pause_ms));
    assert_eq!(counts.get("large"), Some(&DOMAINS), "{counts:?}");
    assert!(counts["small"] >= 4 * DOMAINS, "{counts:?}");
}
