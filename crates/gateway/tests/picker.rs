//! The choice of workers: which can be chosen, and how gateways share slots.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use hollowbarrow_fleet::{Engine, ModelSpec, Service};
use hollowbarrow_gateway::picker::{LimitedWait, NoWorker, PermitWait, PickFacts, WorkerPicker};
use hollowbarrow_routing::{LimitNotice, NoticeInterval};
use hollowbarrow_schema::{
    DaemonId, DomainId, Epoch, FleetView, MembershipState, ModelName, PermitGrant, PermitTerms,
    RequestRate, ServiceName, Term, UpstreamLimit, WorkerId, WorkerLoad, WorkerMembership,
    WorkerReport, ZoneId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

const SLOTS: u32 = 26;
/// Seed of pickers in tests whose result must not depend on it.
const SEED: u64 = 7;
/// Number of seeds with which the tests of random choices are run.
const SEEDS: u64 = 20;

fn service() -> Service {
    let model = ModelSpec {
        name: ModelName::from("m"),
        size: 2,
        share: 1.0,
        time_factor: 1.0,
        load_time: Duration::from_secs(16),
        warm_load_time: Duration::from_secs(1),
    };
    Service {
        name: ServiceName("chat".to_owned()),
        health_path: "/".to_owned(),
        max_connections: 100,
        engine: Some(Engine {
            slots: SLOTS,
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
        }),
    }
}

fn report(id: &str, replica: u64, rank: u32, state: MembershipState) -> WorkerReport {
    WorkerReport {
        id: WorkerId::from(id),
        seq: 1,
        recount: None,
        service: ServiceName("chat".to_owned()),
        address: "127.0.0.1:9000".to_owned(),
        zone: ZoneId::from("a"),
        slots: SLOTS,
        leaving: false,
        gone: false,
        domain: Some(DomainId::from("d")),
        model: Some(ModelName::from("m")),
        staged: Vec::new(),
        membership: Some(WorkerMembership {
            replica: format!("serving.{replica}.m"),
            epoch: Epoch(replica),
            rank,
            state,
        }),
    }
}

/// Two replicas of two workers each.
fn replicas() -> Vec<WorkerReport> {
    vec![
        report("a0", 1, 0, MembershipState::Open),
        report("a1", 1, 1, MembershipState::Ready),
        report("b0", 2, 0, MembershipState::Open),
        report("b1", 2, 1, MembershipState::Ready),
    ]
}

fn picker(reports: Vec<WorkerReport>, now: Instant) -> WorkerPicker {
    seeded_picker(reports, SEED, now)
}

fn seeded_picker(reports: Vec<WorkerReport>, seed: u64, now: Instant) -> WorkerPicker {
    let mut picker = WorkerPicker::new(&ZoneId::from("a"), seed);
    picker.merge(reports, now);
    picker.apply_view(&view(1, 1, &[], &[]), now);
    picker
}

fn view(number: u64, gateways: u32, withheld: &[&str], loads: &[(&str, u32)]) -> FleetView {
    FleetView {
        term: Term(1),
        number,
        deployment: 0,
        gateways,
        controllers: Vec::new(),
        withheld: withheld.iter().map(|id| WorkerId::from(*id)).collect(),
        loads: loads
            .iter()
            .map(|(id, active)| WorkerLoad {
                worker: WorkerId::from(*id),
                active: *active,
                waiting_ms: 0,
                progress_ms: None,
            })
            .collect(),
        held: Vec::new(),
        leader: None,
        limits: Vec::new(),
        crashes: Vec::new(),
        sent_ms: None,
    }
}

/// A request at a gateway without idle connections.
fn facts<'a>(service: &'a Service, model: &'a ModelName) -> PickFacts<'a> {
    static NONE_KEPT: LazyLock<HashSet<SocketAddr>> = LazyLock::new(HashSet::new);
    PickFacts {
        service,
        model: Some(model),
        prompt_tokens: 500,
        excluded: &[],
        kept: &NONE_KEPT,
        permit_wait: PermitWait { left: Duration::from_millis(100), waiting: false },
    }
}

fn pick(picker: &mut WorkerPicker, service: &Service, now: Instant) -> Result<String, NoWorker> {
    let model = ModelName::from("m");
    let facts = facts(service, &model);
    picker.pick(&facts, now).map(|worker| worker.id.to_string())
}

fn picked(picker: &mut WorkerPicker, now: Instant) -> Vec<String> {
    let service = service();
    let mut ids: Vec<String> = (0..40).filter_map(|_| pick(picker, &service, now).ok()).collect();
    ids.sort();
    ids.dedup();
    ids
}

#[rstest]
fn pick_open_heads_only() {
    let now = Instant::now();
    assert_eq!(picked(&mut picker(replicas(), now), now), ["a0", "b0"]);
    let mut closing = replicas();
    closing[0].membership.as_mut().expect("a member").state = MembershipState::Closing;
    assert_eq!(picked(&mut picker(closing, now), now), ["b0"]);
}

#[rstest]
fn pick_skips_replica_with_leaving_member() {
    let now = Instant::now();
    let mut leaving = replicas();
    leaving[3].leaving = true;
    assert_eq!(picked(&mut picker(leaving, now), now), ["a0"]);
}

#[rstest]
fn pick_skips_withheld() {
    let now = Instant::now();
    let mut picker = picker(replicas(), now);
    picker.apply_view(&view(2, 1, &["a0"], &[]), now);
    assert_eq!(picked(&mut picker, now), ["b0"]);
    picker.apply_view(&view(1, 1, &[], &[]), now);
    assert_eq!(picked(&mut picker, now), ["b0"], "an older view changes nothing");
}

#[rstest]
fn pick_failing_worker_last() {
    let now = Instant::now();
    let mut picker = picker(replicas(), now);
    let failing = WorkerId::from("a0");
    assert!(!picker.record_outcome(&failing, false, now));
    assert!(picker.record_outcome(&failing, false, now), "two consecutive failures eject it");
    assert_eq!(picked(&mut picker, now), ["b0"]);
    picker.apply_view(&view(2, 1, &["b0"], &[]), now);
    assert_eq!(picked(&mut picker, now), ["a0"], "it is used if no other is available");
}

/// Worker `a0` has a request in flight and may be stalled; `b0` is busier and makes progress.
#[rstest]
#[case::answer_awaited(100, None, true)]
#[case::answer_overdue(400, None, false)]
#[case::progress_seen(400, Some(350), true)]
#[case::no_progress_since(600, Some(100), false)]
fn pick_worker_with_progress(
    #[case] now_ms: u64,
    #[case] progress_ms: Option<u64>,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut picker = picker(replicas(), start);
    let (service, model) = (service(), ModelName::from("m"));
    let suspect = WorkerId::from("a0");
    picker.begin(&suspect, 10.0, start);
    if let Some(ms) = progress_ms {
        picker.record_progress(&suspect, at(ms));
    }
    let facts = facts(&service, &model);
    // The other replica has more load, so this one is chosen unless it seems stalled.
    for _ in 0..6 {
        picker.begin(&WorkerId::from("b0"), 10.0, at(now_ms));
    }
    let picked = picker.pick(&facts, at(now_ms)).map(|worker| worker.id == suspect);
    assert_eq!(picked, Ok(expected));
}

/// Other gateways have requests at `a0` and report when they last saw progress.
#[rstest]
#[case::lately(100, true)]
#[case::long_ago(900, false)]
fn pick_worker_with_reported_progress(#[case] progress_ms: u32, #[case] expected: bool) {
    let now = Instant::now();
    let mut reported = view(2, 2, &[], &[("a0", 3), ("b0", 9)]);
    reported.loads[0].progress_ms = Some(progress_ms);
    reported.loads[1].progress_ms = Some(20);
    let mut picker = picker(replicas(), now);
    picker.apply_view(&reported, now);
    assert_eq!(picked(&mut picker, now).contains(&"a0".to_owned()), expected);
}

/// A replica with an idle connection is preferred, unless another one has far less load.
#[rstest]
#[case::alike(0, true)]
#[case::somewhat_busier(2, true)]
#[case::far_busier(9, false)]
fn pick_kept_connection(#[case] busier: u32, #[case] expected: bool) {
    let now = Instant::now();
    let mut reports = replicas();
    reports[2].address = "127.0.0.1:9001".to_owned();
    let mut picker = picker(reports, now);
    let reported = view(2, 1, &[], &[("a0", 3), ("b0", 3 + busier)]);
    picker.apply_view(&reported, now);
    let (service, model) = (service(), ModelName::from("m"));
    let kept = HashSet::from(["127.0.0.1:9001".parse().expect("an address")]);
    let facts = PickFacts { kept: &kept, ..facts(&service, &model) };
    for _ in 0..20 {
        let picked = picker.pick(&facts, now).expect("both have free slots");
        assert_eq!(picked.id == WorkerId::from("b0"), expected);
    }
}

/// Gateways that receive the same loads must not all choose the same replica.
#[rstest]
fn pick_differs_among_gateways() {
    let now = Instant::now();
    let reports: Vec<WorkerReport> = (1..=8)
        .map(|number| report(&format!("head{number}"), number, 0, MembershipState::Open))
        .collect();
    let loads: Vec<(String, u32)> =
        (1..=8).map(|number| (format!("head{number}"), 3 + number % 3)).collect();
    let loads: Vec<(&str, u32)> = loads.iter().map(|(id, load)| (id.as_str(), *load)).collect();
    let reported = view(1, 80, &[], &loads);
    for seed in 0..SEEDS {
        let mut seeds = ChaCha8Rng::seed_from_u64(seed);
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for number in 0..80 {
            let local = DaemonId(format!("10.0.0.{number}:7000"));
            let picker = WorkerPicker::new(&ZoneId::from("a"), seeds.random());
            let mut picker = picker.with_preferences(&local);
            picker.merge(reports.clone(), now);
            picker.apply_view(&reported, now);
            let picked = pick(&mut picker, &service(), now).expect("all have free slots");
            *counts.entry(picked).or_default() += 1;
        }
        assert_eq!(counts.len(), 8, "seed {seed}: {counts:?}");
        assert!(counts.values().all(|count| *count <= 24), "seed {seed}: {counts:?}");
    }
}

/// Pickers with the same seed make the same choices among equal workers, and as often refuse a
/// request for want of a share of the free slots; a picker with another seed does not.
#[rstest]
fn pick_repeatable_by_seed() {
    let now = Instant::now();
    let choices = |seed| {
        let mut picker = seeded_picker(replicas(), seed, now);
        picker.apply_view(&view(2, 80, &[], &[("a0", SLOTS - 1), ("b0", SLOTS - 1)]), now);
        let service = service();
        let each_second = (0..100).map(|second| now + Duration::from_secs(second));
        each_second.map(|at| pick(&mut picker, &service, at)).collect::<Vec<_>>()
    };
    for seed in 0..SEEDS {
        assert_eq!(choices(seed), choices(seed), "seed {seed}");
        assert_ne!(choices(seed), choices(seed + 1), "seed {seed}");
    }
}

#[rstest]
fn pick_unknown_model() {
    let now = Instant::now();
    let service = service();
    let other = ModelName::from("other");
    let mut picker = picker(replicas(), now);
    let facts = facts(&service, &other);
    let picked = picker.pick(&facts, now).map(|worker| worker.id);
    assert_eq!(picked, Err(NoWorker::Unknown));
}

#[rstest]
fn pick_full_replicas() {
    let now = Instant::now();
    let mut picker = picker(replicas(), now);
    picker.apply_view(&view(2, 3, &[], &[("a0", SLOTS), ("b0", SLOTS)]), now);
    assert_eq!(pick(&mut picker, &service(), now), Err(NoWorker::Full));
}

/// With one request a second, only few of many gateways begin a request within the report delay. So
/// a gateway may use free slots far beyond its even share, but never a replica without free slots.
#[rstest]
#[case::half_taken(SLOTS / 2, 1000..=1000)]
#[case::one_free(SLOTS - 1, 100..=500)]
#[case::none_free(SLOTS, 0..=0)]
fn pick_among_many_gateways(
    #[case] active: u32,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let (service, model, start) = (service(), ModelName::from("m"), Instant::now());
    let facts = facts(&service, &model);
    for seed in 0..SEEDS {
        let mut picker = seeded_picker(replicas(), seed, start);
        picker.apply_view(&view(2, 80, &[], &[("a0", active), ("b0", active)]), start);
        let each_second = (0..1000).map(|second| start + Duration::from_secs(second));
        let picked = each_second.filter(|at| picker.pick(&facts, *at).is_ok()).count();
        assert!(expected.contains(&picked), "seed {seed}: {picked} of 1000 were picked");
    }
}

/// Gateways begin as many requests as they may and see each other's load one round late. Together
/// they must stay near the replicas' slots. If each counted only its own requests, they would
/// exceed the slots by far.
#[rstest]
#[case::three(3)]
#[case::nine(9)]
fn pick_shares_slots(#[case] count: usize) {
    let slots = 2 * SLOTS as usize;
    for seed in 0..SEEDS {
        let most = most_in_flight(count, seed);
        assert!(most >= slots * 3 / 4, "seed {seed}: slots stay free: {most} of {slots} used");
        assert!(most <= slots * 3 / 2, "seed {seed}: slots are exceeded by far: {most} of {slots}");
    }
}

/// Plays 60 rounds and returns the most requests that were in flight at once.
fn most_in_flight(count: usize, seed: u64) -> usize {
    let (service, now) = (service(), Instant::now());
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut gateways: Vec<WorkerPicker> =
        (0..count).map(|_| seeded_picker(replicas(), rng.random(), now)).collect();
    let mut in_flight: Vec<Vec<WorkerId>> = vec![Vec::new(); count];
    let mut most = 0;
    for round in 0..60 {
        let reported: Vec<Vec<WorkerLoad>> =
            gateways.iter_mut().map(|gateway| gateway.loads(now)).collect();
        let sum = |id: &str| {
            let loads = reported.iter().flatten().filter(|load| load.worker.as_str() == id);
            loads.map(|load| load.active).sum::<u32>()
        };
        let loads = [("a0", sum("a0")), ("b0", sum("b0"))];
        for (gateway, in_flight) in gateways.iter_mut().zip(&mut in_flight) {
            gateway.apply_view(&view(round + 2, count as u32, &[], &loads), now);
            in_flight.retain(|id| {
                let ends = rng.random_bool(0.1);
                if ends {
                    gateway.end(id);
                }
                !ends
            });
            for _ in 0..20 {
                let Ok(id) = pick(gateway, &service, now) else { break };
                let id = WorkerId(id);
                gateway.begin(&id, 0.0, now);
                in_flight.push(id);
            }
        }
        most = most.max(in_flight.iter().map(Vec::len).sum::<usize>());
    }
    most
}

/// Picks between two open heads in different zones; the near one has this many requests in flight.
fn pick_between_zones(near_active: u32) -> String {
    let now = Instant::now();
    let mut far = report("far0", 2, 0, MembershipState::Open);
    far.zone = ZoneId::from("b");
    far.address = "127.0.0.1:9001".to_owned();
    let mut far_member = report("far1", 2, 1, MembershipState::Ready);
    far_member.zone = ZoneId::from("b");
    let reports = vec![
        report("near0", 1, 0, MembershipState::Open),
        report("near1", 1, 1, MembershipState::Ready),
        far,
        far_member,
    ];
    let mut picker = picker(reports, now);
    picker.apply_view(&view(2, 3, &[], &[("near0", near_active)]), now);
    let (service, model) = (service(), ModelName::from("m"));
    let picked = picker.pick(&facts(&service, &model), now);
    picked.expect("a replica takes requests").id.to_string()
}

/// Under uneven load, a gateway stays in its zone while a replica there has free slots, and uses
/// another zone otherwise.
#[rstest]
#[case::both_idle(0, "near0")]
#[case::near_busier(12, "near0")]
#[case::near_full(26, "far0")]
fn pick_prefers_local_zone(#[case] near_active: u32, #[case] expected: &str) {
    assert_eq!(pick_between_zones(near_active), expected);
}

/// Backoff that a worker asks for when it rejects a request.
const BACKOFF: Duration = Duration::from_secs(3);

#[rstest]
fn pick_skips_worker_in_backoff() {
    let now = Instant::now();
    let mut picker = picker(replicas(), now);
    picker.record_backoff(&WorkerId::from("a0"), BACKOFF, now);
    assert_eq!(picked(&mut picker, now), ["b0"]);
    let (service, model) = (service(), ModelName::from("m"));
    let mut both = BTreeMap::new();
    for _ in 0..40 {
        let picked = picker.pick(&facts(&service, &model), now + BACKOFF).expect("both serve");
        picker.begin(&picked.id, 10.0, now + BACKOFF);
        *both.entry(picked.id.to_string()).or_insert(0) += 1;
    }
    assert_eq!(both.len(), 2, "it is used again after its backoff: {both:?}");
}

/// A worker in backoff is not used as a last resort, unlike an ejected one.
#[rstest]
#[case::other_excluded(&["b0"], 0, NoWorker::Backoff(BACKOFF))]
#[case::both_excluded(&["a0", "b0"], 0, NoWorker::Backoff(BACKOFF))]
#[case::other_full(&[], SLOTS, NoWorker::Full)]
fn pick_fails_beside_backoff(
    #[case] excluded: &[&str],
    #[case] in_flight: u32,
    #[case] expected: NoWorker,
) {
    let now = Instant::now();
    let mut picker = picker(replicas(), now);
    picker.record_backoff(&WorkerId::from("a0"), BACKOFF, now);
    (0..2 * in_flight).for_each(|_| picker.begin(&WorkerId::from("b0"), 10.0, now));
    let (service, model) = (service(), ModelName::from("m"));
    let excluded: Vec<WorkerId> = excluded.iter().map(|id| WorkerId::from(*id)).collect();
    let facts = PickFacts { excluded: &excluded, ..facts(&service, &model) };
    assert_eq!(picker.pick(&facts, now).map(|worker| worker.id), Err(expected));
}

#[rstest]
fn pick_skips_leaving_worker() {
    let now = Instant::now();
    let mut picker = picker(replicas(), now);
    assert!(picker.record_leaving(&WorkerId::from("a0")));
    assert!(!picker.record_leaving(&WorkerId::from("a0")), "the notice was known");
    assert_eq!(picked(&mut picker, now), ["b0"]);
    picker.record_leaving(&WorkerId::from("b0"));
    let (service, model) = (service(), ModelName::from("m"));
    let facts = facts(&service, &model);
    assert_eq!(picker.pick(&facts, now).map(|worker| worker.id), Err(NoWorker::Unknown));
}

/// Guards against sends to a worker during its backoff. At 150 requests a second, one gateway sent
/// five and another one three to a worker that rejected all of them and asked for three seconds.
#[rstest]
fn pick_skips_rejecting_worker() {
    let start = Instant::now();
    let mut picker = picker(replicas(), start);
    let (service, model) = (service(), ModelName::from("m"));
    let full = WorkerId::from("a0");
    // The other worker is busy, so this one has a much lower cost.
    (0..12).for_each(|_| picker.begin(&WorkerId::from("b0"), 20.0, start));
    let mut asked: Option<Instant> = None;
    let mut sent = Vec::new();
    for number in 0..600 {
        let now = start + Duration::from_millis(number * 1000 / 150);
        picker.record_progress(&WorkerId::from("b0"), now);
        let picked = picker.pick(&facts(&service, &model), now).expect("the other has free slots");
        picker.begin(&picked.id, 0.0, now);
        picker.end(&picked.id);
        if picked.id == full {
            sent.push(now);
            picker.record_outcome(&full, false, now);
            picker.record_backoff(&full, BACKOFF, now);
            asked.get_or_insert(now);
        } else {
            picker.record_outcome(&picked.id, true, now);
        }
    }
    let asked = asked.expect("the worker received a request");
    let within = sent.iter().filter(|at| **at > asked && **at < asked + BACKOFF).count();
    assert_eq!(within, 0, "{sent:?}");
}

/// A worker that has failed is used again after a while, although the other one has enough slots.
#[rstest]
fn pick_recovered_worker() {
    let start = Instant::now();
    let mut picker = picker(replicas(), start);
    (0..12).for_each(|_| assert!(!picked(&mut picker, start).is_empty()));
    for _ in 0..12 {
        picker.record_outcome(&WorkerId::from("a0"), false, start);
    }
    (0..2).for_each(|_| picker.begin(&WorkerId::from("b0"), 0.0, start));
    let (service, model) = (service(), ModelName::from("m"));
    let mut picked_at = |seconds: u64| {
        let now = start + Duration::from_secs(seconds);
        // The other worker does not seem stalled.
        picker.record_progress(&WorkerId::from("b0"), now);
        picker.pick(&facts(&service, &model), now).expect("one serves").id.to_string()
    };
    assert_eq!(picked_at(10), "b0", "it is no longer ejected, but its failure rate is high");
    assert_eq!(picked_at(120), "a0");
}

/// Records a limit that a worker states in an answer at this time.
fn name_limit(picker: &mut WorkerPicker, id: &str, milli: u64, now: Instant) {
    let span = NoticeInterval { sent: now, came: now };
    let limit = Some(RequestRate(milli));
    assert!(picker.record_limit(&WorkerId::from(id), LimitNotice { limit, span }));
}

fn issue(picker: &mut WorkerPicker, id: &str, issued: u32, wait_ms: Option<u32>, now: Instant) {
    let terms = PermitTerms { upstream: id.to_owned(), issued, wait_ms };
    picker.take_grant(&PermitGrant { terms: vec![terms], ..PermitGrant::default() }, now);
}

/// Returns the number of permits that a gateway requests, by worker.
fn asked(picker: &mut WorkerPicker, now: Instant) -> Vec<(String, u32)> {
    let ask = picker.permits_due(now).map_or(Vec::new(), |ask| ask.needs);
    ask.into_iter().map(|need| (need.upstream, need.count)).collect()
}

/// A worker with a rate limit has little load, but is chosen only with a permit.
#[rstest]
fn pick_limited_with_permit_only() {
    let now = Instant::now();
    let mut picker = picker(replicas(), now);
    (0..12).for_each(|_| picker.begin(&WorkerId::from("b0"), 20.0, now));
    name_limit(&mut picker, "a0", 1800, now);
    assert_eq!(picked(&mut picker, now), ["b0"]);
    assert_eq!(asked(&mut picker, now), [("a0".to_owned(), 32)], "for later requests");
    issue(&mut picker, "a0", 1, None, now);
    let (service, model) = (service(), ModelName::from("m"));
    let with_permit = picker.pick(&facts(&service, &model), now).expect("both serve");
    assert_eq!(*with_permit.id, "a0");
    let without = picker.pick(&facts(&service, &model), now).expect("the other one serves");
    assert_eq!(*without.id, "b0");
    let permit = with_permit.permit.expect("the worker needs a permit");
    picker.give_back(&with_permit.id, permit);
    let again = picker.pick(&facts(&service, &model), now).expect("both serve");
    assert_eq!(*again.id, "a0", "the permit of the unsent request is reused");
}

/// If all workers with free slots are limited, a request waits for a permit that may come in time,
/// and is refused at once if none can.
#[rstest]
#[case::not_known(None, LimitedWait::Soon)]
#[case::in_time(Some(100), LimitedWait::Soon)]
#[case::too_late(Some(101), LimitedWait::Later(Duration::from_millis(101)))]
fn pick_fails_if_all_limited(#[case] wait_ms: Option<u32>, #[case] expected: LimitedWait) {
    let now = Instant::now();
    let mut picker = picker(replicas(), now);
    name_limit(&mut picker, "a0", 1800, now);
    name_limit(&mut picker, "b0", 1800, now);
    assert_eq!(pick(&mut picker, &service(), now), Err(NoWorker::Limited(LimitedWait::Soon)));
    if wait_ms.is_some() {
        issue(&mut picker, "a0", 0, wait_ms, now);
        issue(&mut picker, "b0", 0, wait_ms, now);
    }
    let (service, model) = (service(), ModelName::from("m"));
    let refused = picker.pick(&facts(&service, &model), now).map(|worker| worker.id);
    assert_eq!(refused, Err(NoWorker::Limited(expected)));
}

/// A limit that other gateways received applies here too, from the leader's view.
#[rstest]
fn pick_skips_worker_limited_in_view() {
    let now = Instant::now();
    let mut picker = picker(replicas(), now);
    let reported = UpstreamLimit {
        upstream: "a0".to_owned(),
        limit: Some(RequestRate(1800)),
        sent_ms: 200,
        came_ms: 150,
    };
    let limits = vec![reported];
    picker.apply_view(&FleetView { limits, ..view(2, 3, &[], &[]) }, now);
    assert_eq!(picked(&mut picker, now), ["b0"]);
}

/// Members that run are reached although all heads have terminated.
#[rstest]
fn idle_targets_are_members_that_may_run() {
    let now = Instant::now();
    let mut gone = report("c1", 3, 1, MembershipState::Ready);
    gone.gone = true;
    let mut picker = picker([replicas(), vec![gone]].concat(), now);
    picker.apply_view(&view(2, 1, &["b1"], &[]), now);
    let names: Vec<String> =
        picker.idle_targets("chat").into_iter().map(|target| target.name).collect();
    assert_eq!(names, ["a1"]);
    assert!(picker.idle_targets("other").is_empty());
}
