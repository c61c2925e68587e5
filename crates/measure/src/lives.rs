//! Measures the cost of the instance start time in a worker's identity: message sizes, memory of
//! the worker table and time of a pick, with and without it. Also measures the tables and messages
//! of backoffs, duplicates, limits and quarantines.

use std::time::{Duration, Instant as WallInstant};

use clap::{ArgMatches, Command};
use hollowbarrow_fleet::{Engine, ModelSpec, Service};
use hollowbarrow_gateway::picker::{PermitWait, PickFacts, WorkerPicker};
use hollowbarrow_routing::{BackoffTable, CrashLedger, DuplicateLimiter, TerminatedRun};
use hollowbarrow_schema::{
    ContentDigest, CrashRecord, CrashedRun, DomainId, Epoch, FleetView, HeldRequest, Incarnation,
    MembershipState, ModelName, PermitAsk, PermitGrant, PermitNeed, PermitTerms, RequestRate,
    ServiceName, Term, UpstreamLimit, WorkerBeat, WorkerId, WorkerLoad, WorkerMembership,
    WorkerReport, ZoneId,
};
use serde::Serialize;
use tokio::time::Instant;

/// Workers at the target size.
const WORKERS: u64 = 12_000;
/// Members of each replica at the target size.
const REPLICA_SIZE: u64 = 8;
/// Requests in flight at a daemon: ten times the number at the target size.
const REQUESTS: u64 = 10_000;
/// Factor by which small tables are enlarged, so that their growth is not hidden by memory that
/// was free before. Their measured memory is divided by it.
const MEMORY_SCALE: u64 = 50;
/// Terminated runs in the crash ledger, of all requests.
const TERMINATED_RUNS: u64 = 1024;
/// Terminated runs of the request whose quarantine is checked.
const RUNS_OF_REQUEST: u64 = 14;
/// Iterations over which times are averaged.
const ITERATIONS: u32 = 2000;
/// Workers that report limits.
const LIMITED_WORKERS: u64 = 1000;
/// Start time of the first worker, in milliseconds since the Unix epoch.
const START_TIME_MS: u64 = 1_764_720_000_000;

pub(crate) fn command() -> Command {
    Command::new("lives").about(
        "Measures what the start time in worker identities costs in messages, memory and time",
    )
}

pub(crate) fn run(_arguments: &ArgMatches) -> anyhow::Result<()> {
    // All tables are retained until the end, so that no case reuses memory that another one freed.
    let mut retained = Vec::new();
    let (mut retained_tables, mut retained_limiters) = (Vec::new(), Vec::new());
    for (identity, with_start_time) in [("name", false), ("name_and_start", true)] {
        let reports: Vec<WorkerReport> =
            (0..WORKERS).map(|n| worker_report(n, with_start_time)).collect();
        let heartbeat =
            WorkerBeat { id: reports[0].id.clone(), seq: 4000, recount: None, changed: 12 };
        let heads = reports.iter().step_by(REPLICA_SIZE as usize);
        let loads: Vec<WorkerLoad> = heads.map(worker_load).collect();
        let before = resident_kb()?;
        let mut picker = WorkerPicker::new(&ZoneId::from("zone-0"), 1);
        picker.merge(reports.clone(), Instant::now());
        let memory = resident_kb()?.saturating_sub(before);
        println!(
            "case=lives identity={identity} workers={WORKERS} beat_bytes={} view_bytes={} \
             table_bytes={} table_kb={memory} pick_us={:.1}",
            encoded_bytes(&heartbeat)?,
            encoded_bytes(&fleet_view(loads, Vec::new()))?,
            encoded_bytes(&reports)?,
            pick_us(&mut picker)
        );
        retained.push((picker, reports));
    }
    println!(
        "case=decisions backoff_kb={} copies_kb={} burst_us={:.1}",
        backoff_table_kb(&mut retained_tables)?,
        duplicate_limiter_kb(&mut retained_limiters)?,
        quarantine_check_us()
    );
    println!(
        "case=limits view_limits_bytes={} ask_bytes={} grant_bytes={}",
        encoded_bytes(&(0..LIMITED_WORKERS).map(upstream_limit).collect::<Vec<_>>())?,
        encoded_bytes(&permit_ask())?,
        encoded_bytes(&permit_grant())?
    );
    println!(
        "case=crashes record_bytes={} told_bytes={} held_bytes={}",
        encoded_bytes(&crash_record(3))?,
        encoded_bytes(&vec![crash_record(3); 16])?,
        encoded_bytes(&HeldRequest {
            request: ContentDigest(u64::MAX),
            left_ms: 100_000,
            organisation: Some(u64::MAX),
            released_ms: None,
            prober: None,
        })?
    );
    Ok(())
}

/// Returns the memory of a table with a backoff of every worker, in kilobytes.
fn backoff_table_kb(retained: &mut Vec<BackoffTable<WorkerId>>) -> anyhow::Result<u64> {
    let before = resident_kb()?;
    let mut table = BackoffTable::new();
    for number in 0..WORKERS * MEMORY_SCALE {
        let worker =
            WorkerId::of_instance(&format!("i-{number:010x}"), Some(Incarnation(START_TIME_MS)));
        table.record_backoff(&worker, Duration::from_secs(3), Instant::now());
    }
    retained.push(table);
    Ok(resident_kb()?.saturating_sub(before) / MEMORY_SCALE)
}

/// Returns the memory of a duplicate limiter with [`REQUESTS`] different requests in flight, in
/// kilobytes.
fn duplicate_limiter_kb(retained: &mut Vec<DuplicateLimiter>) -> anyhow::Result<u64> {
    let before = resident_kb()?;
    let mut limiter = DuplicateLimiter::new();
    for number in 0..REQUESTS * MEMORY_SCALE {
        limiter.begin(ContentDigest(number), false, Instant::now());
    }
    retained.push(limiter);
    Ok(resident_kb()?.saturating_sub(before) / MEMORY_SCALE)
}

/// Returns the mean time to check the quarantine of a request, in microseconds.
///
/// The ledger holds [`TERMINATED_RUNS`] runs, [`RUNS_OF_REQUEST`] of them of this request.
fn quarantine_check_us() -> f64 {
    let start = Instant::now() + Duration::from_secs(60);
    let mut ledger = CrashLedger::new();
    for number in 0..TERMINATED_RUNS {
        let ended = start + Duration::from_millis(number);
        let run = TerminatedRun { upstream: number, sent: start, ended, organisation: None };
        let request = if number < RUNS_OF_REQUEST { 0 } else { number };
        ledger.record_run(ContentDigest(request), run);
    }
    let started = WallInstant::now();
    for _ in 0..ITERATIONS {
        std::hint::black_box(ledger.quarantine_left(ContentDigest(0), 0, start));
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}

fn encoded_bytes(message: &impl Serialize) -> anyhow::Result<usize> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)?;
    Ok(bytes.len())
}

/// Returns the resident memory of this process in kilobytes.
fn resident_kb() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()).unwrap_or_default();
    Ok(kb.parse()?)
}

fn worker_report(number: u64, with_start_time: bool) -> WorkerReport {
    let name = format!("i-{number:010x}");
    let (epoch, rank) = (number / REPLICA_SIZE + 1, number % REPLICA_SIZE);
    let state = if rank == 0 { MembershipState::Open } else { MembershipState::Ready };
    WorkerReport {
        id: WorkerId::of_instance(
            &name,
            with_start_time.then_some(Incarnation(START_TIME_MS + number)),
        ),
        seq: 4000,
        recount: None,
        service: ServiceName("chat".to_owned()),
        address: format!("10.{}.{}.1:8725", number / 256 % 256, number % 256),
        zone: ZoneId(format!("zone-{}", number % 21)),
        slots: 30,
        leaving: false,
        gone: false,
        domain: Some(DomainId(format!("d{}", number / 64))),
        model: Some(ModelName::from("m")),
        staged: vec![ModelName::from("m")],
        membership: Some(WorkerMembership {
            replica: format!("serving.{epoch}.m"),
            epoch: Epoch(epoch),
            rank: rank as u32,
            state,
        }),
    }
}

fn worker_load(head: &WorkerReport) -> WorkerLoad {
    WorkerLoad { worker: head.id.clone(), active: 14, waiting_ms: 40, progress_ms: Some(12) }
}

fn fleet_view(loads: Vec<WorkerLoad>, quarantined: Vec<HeldRequest>) -> FleetView {
    FleetView {
        term: Term(3),
        number: 1000,
        deployment: 100,
        gateways: 410,
        controllers: Vec::new(),
        withheld: Vec::new(),
        loads,
        held: quarantined,
        leader: None,
        limits: Vec::new(),
        crashes: Vec::new(),
        sent_ms: None,
    }
}

fn upstream_limit(number: u64) -> UpstreamLimit {
    let worker =
        WorkerId::of_instance(&format!("i-{number:010x}"), Some(Incarnation(START_TIME_MS)));
    let limit = Some(RequestRate(1800));
    UpstreamLimit { upstream: worker.to_string(), limit, sent_ms: 620, came_ms: 400 }
}

/// Returns the message of a gateway that needs one permit.
fn permit_ask() -> PermitAsk {
    let need = PermitNeed {
        upstream: upstream_limit(0).upstream,
        count: 1,
        lifetime_ms: 100,
        returned: 0,
        others: Vec::new(),
    };
    PermitAsk { limits: Vec::new(), needs: vec![need] }
}

/// Returns the answer to [`permit_ask`].
fn permit_grant() -> PermitGrant {
    let upstream = upstream_limit(0).upstream;
    let terms = vec![PermitTerms { upstream, issued: 1, wait_ms: Some(555) }];
    PermitGrant { limits: vec![upstream_limit(0)], terms }
}

fn crash_record(runs: u64) -> CrashRecord {
    let run = |n| CrashedRun {
        upstream: u64::MAX - n,
        sent_ms: 20_000,
        ended_ms: 19_000,
        organisation: Some(u64::MAX),
    };
    CrashRecord {
        request: ContentDigest(u64::MAX),
        runs: (0..runs).map(run).collect(),
        answered_ms: None,
        probe: None,
    }
}

/// Returns the mean time of a pick among the heads of all replicas, in microseconds.
fn pick_us(picker: &mut WorkerPicker) -> f64 {
    let (service, model, kept) = (service(), ModelName::from("m"), Default::default());
    let facts = PickFacts {
        service: &service,
        model: Some(&model),
        prompt_tokens: 1000,
        excluded: &[],
        kept: &kept,
        permit_wait: PermitWait { left: Duration::ZERO, waiting: false },
    };
    let now = Instant::now();
    // The first pick builds the index of candidates and is not timed.
    let _ = picker.pick(&facts, now);
    let start = WallInstant::now();
    for _ in 0..ITERATIONS {
        let _ = picker.pick(&facts, now);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}

fn service() -> Service {
    let model = ModelSpec {
        name: ModelName::from("m"),
        size: REPLICA_SIZE as usize,
        share: 1.0,
        time_factor: 1.0,
        load_time: Duration::from_secs(16),
        warm_load_time: Duration::from_secs(1),
    };
    let engine = Engine {
        slots: 30,
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
    };
    Service {
        name: ServiceName("chat".to_owned()),
        health_path: "/".to_owned(),
        max_connections: 100,
        engine: Some(engine),
    }
}
