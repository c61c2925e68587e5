//! Tests of the decisions of the request path, some against reference implementations.

use std::time::Duration;

use hollowbarrow_routing::retry::{
    AttemptUpstreamError, MAX_ATTEMPTS, RequestFacts, RetryBudget, RetryStep, decide_retry,
};
use hollowbarrow_routing::{
    AdmissionQueue, AttemptBounds, AttemptLedger, LimitRequestError, OrganisationLimiter,
    PickRules, PrefixTable, QueueLimits, RouteCandidate, RoutePicker, ShedRequestError,
    UpstreamKey, hash_prefix,
};
use hollowbarrow_schema::{DaemonId, Epoch, ErrorRan, OrganisationId, Urgency, ZoneId};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

fn errors() -> Vec<AttemptUpstreamError> {
    vec![
        AttemptUpstreamError::NotReached,
        AttemptUpstreamError::NotSent,
        AttemptUpstreamError::BackedOff,
        AttemptUpstreamError::Refused { status: 503, retry_after: None },
        AttemptUpstreamError::NoAnswer,
        AttemptUpstreamError::BrokenAnswer { reason: "x", tokens: 3 },
        AttemptUpstreamError::DeadlinePassed { sent: false },
        AttemptUpstreamError::DeadlinePassed { sent: true },
    ]
}

#[rstest]
#[case::rejected(AttemptUpstreamError::Refused { status: 503, retry_after: None }, true)]
#[case::asked_for_backoff(
    AttemptUpstreamError::Refused { status: 503, retry_after: Some(Duration::from_secs(3)) }, false)]
#[case::not_sent_for_backoff(AttemptUpstreamError::BackedOff, false)]
#[case::no_answer(AttemptUpstreamError::NoAnswer, true)]
fn blames_upstream_cases(#[case] error: AttemptUpstreamError, #[case] expected: bool) {
    assert_eq!(error.blames_upstream(), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None, ..ProptestConfig::default() })]

    /// The reference rule: a request that may have run and may not run twice is never sent again,
    /// and "not run" is reported only if the request cannot have run.
    #[test]
    fn decide_reference_rule(
        which in 0usize..8, repeatable: bool, resumable: bool, started: bool,
        attempts in 1u32..6, late: bool,
    ) {
        let now = Instant::now();
        let error = &errors()[which];
        let deadline = if late { now } else { now + Duration::from_secs(1) };
        let facts = RequestFacts { repeatable, resumable, answer_started: started, attempts, deadline };
        let step = decide_retry(&facts, error, &RetryBudget::new(now), now);
        let cannot_have_run = matches!(which, 0..=3 | 6);
        match step {
            RetryStep::Again | RetryStep::Resume => {
                prop_assert!(cannot_have_run || repeatable, "{error:?} was retried");
                prop_assert!(!late && attempts < MAX_ATTEMPTS);
                prop_assert_eq!(step == RetryStep::Resume, started);
                prop_assert!(!started || resumable);
            }
            RetryStep::GiveUp(ErrorRan::NotRun) => prop_assert!(cannot_have_run && !started),
            RetryStep::GiveUp(_) => {}
        }
    }

    /// The selected upstream is always one of the candidates, and of a zone that the margin allows.
    #[test]
    fn pick_allowed(
        loads in prop::collection::vec((0u32..40, any::<bool>(), 0u32..3, 0u8..2), 1..20),
        seed: u64,
    ) {
        let now = Instant::now();
        let local = ZoneId::from("own");
        let picker = RoutePicker::new(&local, 100);
        let candidates: Vec<RouteCandidate> = loads
            .iter()
            .enumerate()
            .map(|(number, (load, near, weight, pool))| RouteCandidate {
                key: UpstreamKey { name: number.to_string(), epoch: Epoch(1) },
                pool: format!("p{pool}"),
                weight: *weight * u32::from(*pool + 1),
                zone: Some(if *near { local.clone() } else { ZoneId::from("far") }),
                reported: *load,
                reported_at: now,
            })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        if let Some(choice) = picker.pick(&candidates, &[], &mut rng) {
            let chosen = candidates.iter().find(|c| c.key == choice.key).expect("one of them");
            let pool = || candidates.iter().filter(|c| c.pool == chosen.pool);
            let local_least = pool().filter(|c| c.zone.as_ref() == Some(&local)).map(|c| c.reported).min();
            let far_least = pool().filter(|c| c.zone.as_ref() != Some(&local)).map(|c| c.reported).min();
            if chosen.zone.as_ref() != Some(&local)
                && let (Some(local_least), Some(far_least)) = (local_least, far_least)
            {
                prop_assert!(local_least > far_least + PickRules::default().spill_margin);
            }
        }
    }
}

/// Guards against failing a request that nothing was sent of because other requests have used up the
/// budget of retries.
#[rstest]
#[case::lease_expired(AttemptUpstreamError::NotSent, true)]
#[case::not_written(AttemptUpstreamError::NotWritten, true)]
#[case::refused_connection(AttemptUpstreamError::NotReached, true)]
#[case::backed_off(AttemptUpstreamError::BackedOff, true)]
#[case::rejected(AttemptUpstreamError::Refused { status: 503, retry_after: None }, false)]
#[case::no_answer(AttemptUpstreamError::NoAnswer, false)]
fn retry_without_budget(#[case] error: AttemptUpstreamError, #[case] expected: bool) {
    let now = Instant::now();
    let budget = RetryBudget::new(now);
    while budget.take(now) {}
    let facts = RequestFacts {
        repeatable: true,
        resumable: true,
        answer_started: false,
        attempts: 1,
        deadline: now + Duration::from_secs(1),
    };
    let step = decide_retry(&facts, &error, &budget, now);
    assert_eq!(step == RetryStep::Again, expected, "{step:?}");
}

#[rstest]
fn budget_bounds_outage() {
    let now = Instant::now();
    let budget = RetryBudget::new(now);
    let retries = (0..1000).filter(|_| {
        budget.record_request();
        budget.take(now)
    });
    // If every request fails, a tenth of them is retried, and as many as were saved up.
    let retries = retries.count();
    assert!((95..=110).contains(&retries), "{retries} retries of 1000 requests");
}

/// The first resumption of a stream is not charged to the budget, any further one is.
#[rstest]
#[case::first(1, RetryStep::Resume)]
#[case::second(2, RetryStep::GiveUp(ErrorRan::Unknown))]
fn decide_resume_of_broken_stream(#[case] attempts: u32, #[case] expected: RetryStep) {
    let now = Instant::now();
    let budget = RetryBudget::new(now);
    while budget.take(now) {}
    let facts = RequestFacts {
        repeatable: true,
        resumable: true,
        answer_started: true,
        attempts,
        deadline: now + Duration::from_secs(1),
    };
    let error = AttemptUpstreamError::BrokenAnswer { reason: "its connection broke", tokens: 78 };
    assert_eq!(decide_retry(&facts, &error, &budget, now), expected);
}

/// Compares two random choices by estimated load with one random choice.
#[rstest]
fn pick_better_than_random() {
    let now = Instant::now();
    let zone = ZoneId::from("a");
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let keys: Vec<UpstreamKey> =
        (0..20).map(|n| UpstreamKey { name: n.to_string(), epoch: Epoch(1) }).collect();
    let candidates: Vec<RouteCandidate> = keys
        .iter()
        .map(|key| RouteCandidate {
            key: key.clone(),
            pool: "p".to_owned(),
            weight: 1,
            zone: Some(zone.clone()),
            reported: 0,
            reported_at: now,
        })
        .collect();
    let mut picker = RoutePicker::new(&zone, 100);
    let mut random = [0u32; 20];
    for _ in 0..800 {
        let choice = picker.pick(&candidates, &[], &mut rng).expect("an upstream has capacity");
        picker.record_start(&choice.key, &[], now);
        random[rand::RngExt::random_range(&mut rng, 0..20)] += 1;
    }
    let worst = keys.iter().map(|key| picker.in_flight(key)).max().expect("there are some");
    let random_worst = random.iter().max().expect("there are some");
    assert!(worst <= 44 && worst < *random_worst, "{worst} against {random_worst}");
}

#[rstest]
fn pick_prefix_holder_unless_loaded() {
    let now = Instant::now();
    let zone = ZoneId::from("a");
    let mut picker = RoutePicker::new(&zone, 100);
    let blocks = hash_prefix("m", &"the same opening ".repeat(60));
    let candidate = |name: &str, load| RouteCandidate {
        key: UpstreamKey { name: name.to_owned(), epoch: Epoch(1) },
        pool: "p".to_owned(),
        weight: 1,
        zone: Some(zone.clone()),
        reported: load,
        reported_at: now + Duration::from_secs(1),
    };
    let holder = candidate("holder", 0);
    picker.record_start(&holder.key, &blocks, now);
    picker.record_end(&holder.key, Some(5.0), now);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let calm = [candidate("holder", 4), candidate("other", 3)];
    for _ in 0..20 {
        let choice = picker.pick(&calm, &blocks, &mut rng).expect("an upstream has capacity");
        assert_eq!((choice.key.name.as_str(), choice.prefix_blocks > 0), ("holder", true));
    }
    let busy = [candidate("holder", 60), candidate("other", 3)];
    let choices =
        (0..20).map(|_| picker.pick(&busy, &blocks, &mut rng).expect("an upstream has capacity"));
    assert!(choices.filter(|choice| choice.key.name == "other").count() > 5);
}

#[rstest]
fn forget_prefixes_at_gap() {
    let holder = UpstreamKey { name: "h".to_owned(), epoch: Epoch(1) };
    let mut table = PrefixTable::new(10);
    table.learn(&[1, 2, 3], &holder);
    assert!(table.apply_removal(&holder, 1, &[3]));
    assert_eq!(table.longest(&[1, 2, 3]).map(|(_, blocks)| blocks), Some(2));
    assert!(!table.apply_removal(&holder, 3, &[]), "a gap is detected");
    assert!(table.longest(&[1, 2, 3]).is_none(), "uncertain entries are dropped");
}

fn limiters(count: u32, rate: f64, now: Instant) -> Vec<OrganisationLimiter> {
    let id = OrganisationId::from("o");
    (0..count)
        .map(|_| OrganisationLimiter::new(count).with_organisation(&id, rate, 10_000, now))
        .collect()
}

/// Nine daemons with all demand at some of them admit about the limit together.
#[rstest]
#[case::even(9)]
#[case::skewed(2)]
#[case::single(1)]
fn limit_over_daemons(#[case] busy: usize) {
    let id = OrganisationId::from("o");
    let mut now = Instant::now();
    let rate = 900.0;
    let limiters = limiters(9, rate, now);
    let zone = ZoneId::from("a");
    let mut admitted = 0.0;
    let (warm, measured) = (100, 200);
    for tick in 0..warm + measured {
        now += Duration::from_millis(50);
        // The demand is twice the limit, at the busy daemons only.
        let each = (rate * 2.0 * 0.05 / busy as f64) as u32;
        for limiter in limiters.iter().take(busy) {
            for _ in 0..each {
                let is_admitted = limiter.admit(&id, 1.0, now).is_ok();
                admitted += f64::from(u8::from(is_admitted && tick >= warm));
            }
        }
        if tick % 10 == 0 {
            for (from, sender) in limiters.iter().enumerate() {
                let uses = sender.demand(now);
                for (to, limiter) in limiters.iter().enumerate() {
                    if from != to {
                        limiter.record_demand(&format!("d{from}"), &zone, 1, &uses, now);
                    }
                }
            }
        }
    }
    let per_second = admitted / (f64::from(measured) * 0.05);
    let error = (per_second - rate).abs() / rate;
    assert!(error < 0.25, "{per_second:.0} requests a second were admitted, {rate} are allowed");
}

/// A daemon that receives no reports admits its even share, so that all daemons together stay
/// within the limit.
#[rstest]
fn limit_when_partitioned() {
    let id = OrganisationId::from("o");
    let mut now = Instant::now();
    let limiter = limiters(9, 900.0, now).remove(0);
    let mut admitted = 0;
    for _ in 0..200 {
        now += Duration::from_millis(50);
        admitted += (0..50).filter(|_| limiter.admit(&id, 1.0, now).is_ok()).count();
    }
    let per_second = admitted as f64 / 10.0;
    assert!(
        (80.0..=125.0).contains(&per_second),
        "{per_second} requests a second were admitted, the even share is 100"
    );
}

#[rstest]
fn limit_concurrency_and_unknown() {
    let now = Instant::now();
    let id = OrganisationId::from("o");
    let limiter = OrganisationLimiter::new(1).with_organisation(&id, 1e9, 2, now);
    let tickets = [limiter.admit(&id, 1.0, now), limiter.admit(&id, 1.0, now)];
    assert!(tickets.iter().all(Result::is_ok));
    assert_eq!(limiter.admit(&id, 1.0, now).err(), Some(LimitRequestError::TooMany { limit: 2 }));
    drop(tickets);
    assert!(limiter.admit(&id, 1.0, now).is_ok(), "a slot is freed");
    let unknown = OrganisationId::from("x");
    assert_eq!(limiter.admit(&unknown, 1.0, now).err(), Some(LimitRequestError::Unknown));
}

#[rstest]
fn limit_zone_sum_excludes_receiver() {
    let now = Instant::now();
    let id = OrganisationId::from("o");
    let zone = ZoneId::from("a");
    let limiter = limiters(5, 1e6, now).remove(0);
    let _ticket = limiter.admit(&id, 100.0, now);
    let uses = |r| vec![hollowbarrow_schema::OrganisationUse { o: id.clone(), r }];
    limiter.record_demand("d1", &zone, 1, &uses(7.0), now);
    limiter.record_demand("d2", &zone, 1, &uses(9.0), now);
    let (daemons, sum) = limiter.zone_demand(&zone, &DaemonId::from("d2"), now);
    assert_eq!(daemons, 2);
    assert!((sum[0].r - 57.0).abs() < 0.5, "{sum:?}");
}

/// Long streams fill the slots of normal requests; urgent requests are still admitted, and a small
/// organisation is not starved.
#[rstest]
#[tokio::test(start_paused = true)]
async fn enter_full_queue() {
    let queue = AdmissionQueue::new(QueueLimits { slots: 20, waiting: 100 });
    let (large, small) = (OrganisationId::from("large"), OrganisationId::from("small"));
    let far = Instant::now() + Duration::from_secs(100);
    let mut tickets = Vec::new();
    for _ in 0..18 {
        tickets.push(queue.enter(Urgency::Normal, &large, 1, far).await.expect("a slot is free"));
    }
    let mut waiting = Vec::new();
    for number in 0..30 {
        let (queue, large) = (queue.clone(), large.clone());
        waiting.push(tokio::spawn(async move {
            let entered = queue.enter(Urgency::Normal, &large, 1, far).await;
            (number, entered)
        }));
    }
    tokio::task::yield_now().await;
    let queue_of_small = queue.clone();
    let late =
        tokio::spawn(async move { queue_of_small.enter(Urgency::Normal, &small, 1, far).await });
    tokio::time::sleep(Duration::from_millis(1)).await;
    let urgent = queue.enter(Urgency::Urgent, &large, 1, far).await;
    assert!(urgent.is_ok(), "an urgent request waits behind streams");
    drop(urgent);
    // The small organisation's request came last and still gets one of the first free slots.
    tickets.truncate(16);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(late.is_finished(), "a large organisation starves a small one");
    for task in waiting {
        task.abort();
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn enter_refusals() {
    let queue = AdmissionQueue::new(QueueLimits { slots: 1, waiting: 1 });
    let id = OrganisationId::from("o");
    let soon = Instant::now() + Duration::from_secs(1);
    let ticket = queue.enter(Urgency::Urgent, &id, 1, soon).await.expect("a slot is free");
    let passed = queue.enter(Urgency::Urgent, &id, 1, Instant::now()).await;
    assert_eq!(
        passed.err(),
        Some(ShedRequestError::DeadlinePassed),
        "a request past its deadline is not queued"
    );
    let waiter = {
        let (queue, id) = (queue.clone(), id.clone());
        tokio::spawn(async move { queue.enter(Urgency::Urgent, &id, 1, soon).await.err() })
    };
    tokio::time::sleep(Duration::from_millis(1)).await;
    let full = queue.enter(Urgency::Urgent, &id, 1, soon).await;
    assert!(matches!(full.err(), Some(ShedRequestError::QueueFull { .. })));
    assert_eq!(waiter.await.expect("the task completes"), Some(ShedRequestError::DeadlinePassed));
    drop(ticket);
    assert_eq!((queue.in_flight(), queue.waiting()), (0, 0), "no slot or waiter is leaked");
}

fn bounds(repeatable: bool, max_runs: u32, now: Instant) -> AttemptBounds {
    AttemptBounds { repeatable, max_runs, deadline: now + Duration::from_secs(4) }
}

/// Workers stop answering one after the other.
#[rstest]
#[case::route_of_one(1, 1)]
#[case::route_of_two(2, 2)]
#[case::route_of_three(3, 3)]
fn repeat_silent_workers(#[case] max_runs: u32, #[case] expected: u32) {
    let now = Instant::now();
    let budget = RetryBudget::new(now);
    let bounds = bounds(true, max_runs, now);
    let mut ledger = AttemptLedger::new();
    let error = AttemptUpstreamError::NoAnswer;
    loop {
        ledger.record_send();
        ledger.record_outcome(error.ran());
        if !ledger.may_repeat(&bounds, &error, &budget, now) {
            break;
        }
    }
    assert_eq!(ledger.sends(), expected);
    assert!(ledger.may_have_run());
}

/// A refusal after a worker that did not answer is no evidence that the first attempt did not run.
#[rstest]
#[case::repeatable(true, true)]
#[case::once(false, false)]
fn repeat_after_refusal(#[case] repeatable: bool, #[case] expected: bool) {
    let now = Instant::now();
    let budget = RetryBudget::new(now);
    let refused = AttemptUpstreamError::Refused { status: 503, retry_after: None };
    let mut ledger = AttemptLedger::new();
    for error in [&AttemptUpstreamError::NoAnswer, &refused] {
        ledger.record_send();
        ledger.record_outcome(error.ran());
    }
    assert!(ledger.may_have_run());
    let bounds = bounds(repeatable, 2, now);
    assert_eq!(ledger.may_repeat(&bounds, &refused, &budget, now), expected);
}

/// A worker is given up only if another attempt may follow.
#[rstest]
#[case::first_of_two(true, 2, 1, false)]
#[case::second_of_two(true, 2, 2, true)]
#[case::route_of_one(true, 1, 1, true)]
#[case::may_run_once(false, 2, 1, true)]
#[case::many_sends(true, 9, 4, true)]
fn repeat_last_attempt(
    #[case] repeatable: bool,
    #[case] max_runs: u32,
    #[case] sends: u32,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut ledger = AttemptLedger::new();
    for _ in 1..sends {
        ledger.record_send();
        ledger.record_outcome(ErrorRan::Unknown);
    }
    ledger.record_send();
    assert_eq!(ledger.is_last(&bounds(repeatable, max_runs, now)), expected);
}

/// A retry that was charged to the budget before a worker was given up is not charged twice.
#[rstest]
fn repeat_budgeted_before() {
    let now = Instant::now();
    let budget = RetryBudget::new(now);
    while budget.take(now) {}
    let bounds = bounds(true, 3, now);
    let mut ledger = AttemptLedger::new();
    ledger.record_send();
    ledger.record_outcome(ErrorRan::Unknown);
    ledger.record_budgeted();
    assert!(ledger.may_repeat(&bounds, &AttemptUpstreamError::NoAnswer, &budget, now));
    assert!(!ledger.may_repeat(&bounds, &AttemptUpstreamError::NoAnswer, &budget, now));
}
