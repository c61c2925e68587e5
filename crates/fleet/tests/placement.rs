//! Placement plans against their invariants, and the load limiter against a reference count.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::{
    LoadLimiter, PlacementDemand, PlacementWorker, PlannedReplica, plan_replicas, plan_scattered,
};
use hollowbarrow_schema::{DomainId, ModelName, WorkerId};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

fn demands() -> Vec<PlacementDemand> {
    let demand =
        |model: &str, size, share| PlacementDemand { model: ModelName::from(model), size, share };
    vec![demand("large", 4, 0.57), demand("small", 3, 0.43)]
}

fn worker(id: usize, domain: usize, model: Option<&str>, staged: Option<&str>) -> PlacementWorker {
    PlacementWorker {
        id: WorkerId(format!("w{id:02}")),
        domain: DomainId(format!("d{domain}")),
        model: model.map(ModelName::from),
        staged: staged.map(ModelName::from).into_iter().collect(),
    }
}

fn count_domains(workers: &[PlacementWorker]) -> BTreeMap<DomainId, usize> {
    let mut counts = BTreeMap::new();
    for worker in workers {
        *counts.entry(worker.domain.clone()).or_default() += 1;
    }
    counts
}

#[rstest]
fn plan_fresh_domain_keeps_reserve() {
    let workers: Vec<PlacementWorker> = (0..9).map(|id| worker(id, 0, None, None)).collect();
    let domains = count_domains(&workers);
    let planned = plan_replicas(&demands(), &BTreeMap::new(), &domains, &workers, true);
    let models: BTreeSet<&str> = planned.iter().map(|replica| replica.model.as_str()).collect();
    assert_eq!(models, BTreeSet::from(["large", "small"]));
    assert_eq!(planned.len(), 2, "two of nine workers stay free");
}

#[rstest]
fn plan_prefers_held_weights() {
    let mut workers: Vec<PlacementWorker> = (0..4).map(|id| worker(id, 0, None, None)).collect();
    workers.extend((4..8).map(|id| worker(id, 1, Some("large"), None)));
    let domains = count_domains(&workers);
    let planned = plan_replicas(&demands()[..1], &BTreeMap::new(), &domains, &workers, true);
    let expected: Vec<WorkerId> = (4..8).map(|id| WorkerId(format!("w{id:02}"))).collect();
    assert_eq!(planned[0].members, expected);
}

#[rstest]
fn plan_without_loads_excludes_far_workers() {
    let mut workers: Vec<PlacementWorker> =
        (0..3).map(|id| worker(id, 0, Some("large"), None)).collect();
    workers.push(worker(3, 0, None, None));
    let domains = count_domains(&workers);
    let plan = |may_load| {
        plan_replicas(&demands()[..1], &BTreeMap::new(), &domains, &workers, may_load).len()
    };
    assert_eq!((plan(false), plan(true)), (0, 1));
}

#[rstest]
fn plan_scattered_few_replicas() {
    let workers: Vec<PlacementWorker> =
        (0..8).map(|id| worker(id, id / 2, Some("large"), None)).collect();
    let domains: BTreeMap<DomainId, usize> =
        (0..4).map(|domain| (DomainId(format!("d{domain}")), 9)).collect();
    let one = |count| BTreeMap::from([((DomainId::from("d9"), ModelName::from("large")), count)]);
    let plan = |count| plan_scattered(&demands()[..1], &one(count), &domains, &workers).len();
    assert!(plan(0) > 0);
    assert_eq!(plan(4), 0);
}

fn check_plan(
    planned: &[PlannedReplica],
    workers: &[PlacementWorker],
    one_domain: bool,
    may_load: bool,
) -> Result<(), TestCaseError> {
    let by_id: BTreeMap<&WorkerId, &PlacementWorker> =
        workers.iter().map(|worker| (&worker.id, worker)).collect();
    let mut used = BTreeSet::new();
    for replica in planned {
        let demands = demands();
        let demand = demands.iter().find(|demand| demand.model == replica.model);
        prop_assert_eq!(
            replica.members.len(),
            demand.expect("only models with a demand are planned").size
        );
        let mut domains = BTreeSet::new();
        for member in &replica.members {
            prop_assert!(used.insert(member.clone()), "a worker is used twice");
            let worker = by_id[member];
            domains.insert(&worker.domain);
            let near = worker.model.as_ref() == Some(&replica.model)
                || worker.staged.contains(&replica.model);
            prop_assert!(may_load || near, "a worker must load from the store");
        }
        prop_assert!(!one_domain || domains.len() == 1, "a replica spans several domains");
    }
    Ok(())
}

proptest! {
    #[test]
    fn plan_keeps_invariants(
        drawn in proptest::collection::vec((0usize..4, 0usize..3, 0usize..3), 0..40),
        may_load in any::<bool>(),
    ) {
        let names = [None, Some("large"), Some("small")];
        let workers: Vec<PlacementWorker> = drawn
            .iter()
            .enumerate()
            .map(|(id, (domain, model, staged))| worker(id, *domain, names[*model], names[*staged]))
            .collect();
        let domains = count_domains(&workers);
        let planned = plan_replicas(&demands(), &BTreeMap::new(), &domains, &workers, may_load);
        check_plan(&planned, &workers, true, may_load)?;
        let scattered = plan_scattered(&demands(), &BTreeMap::new(), &domains, &workers);
        check_plan(&scattered, &workers, false, false)?;
    }

    #[test]
    fn take_never_passes_rate(steps in proptest::collection::vec(1u64..900, 1..200)) {
        let (rate, window) = (4.5, Duration::from_secs(5));
        let mut limiter = LoadLimiter::new(window);
        let mut now = Instant::now();
        let mut started: Vec<Instant> = Vec::new();
        for step in steps {
            now += Duration::from_millis(step);
            while limiter.take(rate, usize::MAX, Duration::from_secs(16), now) {
                started.push(now);
            }
            let recent = started.iter().filter(|at| now.duration_since(**at) < window).count();
            prop_assert!(recent as f64 <= rate * window.as_secs_f64());
        }
    }

    #[test]
    fn take_never_passes_number_at_once(steps in proptest::collection::vec(1u64..900, 1..100)) {
        let (length, at_once) = (Duration::from_secs(2), 3);
        let mut limiter = LoadLimiter::new(Duration::from_secs(5));
        let mut now = Instant::now();
        let mut started: Vec<Instant> = Vec::new();
        for step in steps {
            now += Duration::from_millis(step);
            while limiter.take(1000.0, at_once, length, now) {
                started.push(now);
            }
            let running = started.iter().filter(|at| now.duration_since(**at) < length).count();
            prop_assert!(running <= at_once);
        }
    }
}
