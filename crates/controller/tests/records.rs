//! Calls under a worker's name against what is held of that worker.

mod standins;

use std::time::Duration;

use hollowbarrow_controller::RecordProblem;
use hollowbarrow_controller::records::{check_report, check_start};
use hollowbarrow_fleet::{CallerLimits, Deployment, Service, WorkerTable};
use hollowbarrow_schema::{Incarnation, ServiceName, WorkerId};
use rstest::rstest;
use standins::report;
use tokio::time::Instant;

fn life(born: Option<u64>) -> WorkerId {
    WorkerId::of_instance("w", born.map(Incarnation))
}

fn deployment(service: &str) -> Deployment {
    let service = Service {
        name: ServiceName(service.to_owned()),
        health_path: "/healthz".to_owned(),
        max_connections: 10,
        engine: None,
    };
    Deployment {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        organisations: None,
    }
}

#[rstest]
#[case::nothing_held(None, None, true)]
#[case::never_told(Some(None), None, true)]
#[case::told_first_now(Some(None), Some(5), true)]
#[case::told_again(Some(Some(5)), Some(5), true)]
#[case::later_life(Some(Some(5)), Some(6), true)]
#[case::told_before(Some(Some(5)), None, false)]
fn check_birth_lives(
    #[case] held: Option<Option<u64>>,
    #[case] born: Option<u64>,
    #[case] sound: bool,
) {
    let mut table = WorkerTable::new();
    if let Some(held) = held {
        table.merge(report(&life(held), 1), Instant::now());
    }
    let fault = check_start(&life(born), &table).err().map(|fault| fault.problem);
    assert_eq!(fault, (!sound).then_some(RecordProblem::MissingStartTime));
}

#[rstest]
#[case::no_configuration(None, false, true)]
#[case::named(Some("chat"), false, true)]
#[case::not_named(Some("other"), false, false)]
// A worker whose service was taken out says that it leaves.
#[case::named_before(Some("other"), true, true)]
fn check_report_services(#[case] named: Option<&str>, #[case] known: bool, #[case] sound: bool) {
    let mut table = WorkerTable::new();
    if known {
        table.merge(report(&life(Some(4)), 1), Instant::now());
    }
    let deployment = named.map(deployment);
    let checked = check_report(&report(&life(Some(5)), 1), &table, deployment.as_ref());
    let fault = checked.err().map(|fault| fault.problem);
    assert_eq!(fault, (!sound).then_some(RecordProblem::UnknownService));
}
