//! What it costs that a worker's identity holds the start of its life: bytes of messages, memory of
//! the table of workers and time of a choice, with and without.

use std::time::{Duration, Instant as WallInstant};

use clap::{ArgMatches, Command};
use hollowbarrow_fleet::{Engine, ModelSpec, Service};
use hollowbarrow_gateway::picker::{PermitWait, PickFacts, WorkerPicker};
use hollowbarrow_routing::{BackoffTable, CrashLedger, DuplicateLimiter, TerminatedRun};
use hollowbarrow_schema::{
    CrashRecord, CrashedRun, DomainId, Epoch, FleetView, HeldRequest, Incarnation, MembershipState,
    ModelName, PermitAsk, PermitGrant, PermitNeed, PermitTerms, RequestDigest, RequestRate,
    ServiceName, Term, UpstreamLimit, WorkerBeat, WorkerId, WorkerLoad, WorkerMembership,
    WorkerReport, ZoneId,
};
use serde::Serialize;
use tokio::time::Instant;

/// Workers at the size that is planned for.
const WORKERS: u64 = 12_000;
/// Members of each replica there.
const REPLICA_SIZE: u64 = 8;
/// Requests under way at a daemon, ten times those of the size that is planned for.
const REQUESTS: u64 = 10_000;
/// Times that what is small is made, so that memory which was free before does not hide it.
const MEMORY_SCALE: u64 = 50;
/// Ends of upstreams that are kept, and runs of one request.
const ENDS: u64 = 1024;
const RUNS: u64 = 14;
/// Choices whose mean time is told.
const PICKS: u32 = 2000;
/// Workers that name limits.
const LIMITED_WORKERS: u64 = 1000;
const BORN: u64 = 1_764_720_000_000;

pub(crate) fn command() -> Command {
    Command::new("lives").about("Measures what lives of workers cost in messages, memory and time")
}

pub(crate) fn run(_arguments: &ArgMatches) -> anyhow::Result<()> {
    // Nothing is freed between the cases, so that the memory of each is its own.
    let mut kept = Vec::new();
    let (mut kept_tables, mut kept_limiters) = (Vec::new(), Vec::new());
    for (identity, born) in [("name", false), ("name_and_start", true)] {
        let reports: Vec<WorkerReport> = (0..WORKERS).map(|n| report(n, born)).collect();
        let beat = WorkerBeat { id: reports[0].id.clone(), seq: 4000, recount: None, changed: 12 };
        let heads = reports.iter().step_by(REPLICA_SIZE as usize);
        let loads: Vec<WorkerLoad> = heads.map(load).collect();
        let before = resident_kb()?;
        let mut picker = WorkerPicker::new(&ZoneId::from("zone-0"));
        picker.merge(reports.clone(), Instant::now());
        let memory = resident_kb()?.saturating_sub(before);
        println!(
            "case=lives identity={identity} workers={WORKERS} beat_bytes={} view_bytes={} \
             table_bytes={} table_kb={memory} pick_us={:.1}",
            bytes_of(&beat)?,
            bytes_of(&view(loads, Vec::new()))?,
            bytes_of(&reports)?,
            pick_us(&mut picker)
        );
        kept.push((picker, reports));
    }
    println!(
        "case=decisions backoff_kb={} copies_kb={} burst_us={:.1}",
        backoff_kb(&mut kept_tables)?,
        copies_kb(&mut kept_limiters)?,
        burst_us()
    );
    println!(
        "case=limits view_limits_bytes={} ask_bytes={} grant_bytes={}",
        bytes_of(&(0..LIMITED_WORKERS).map(limit).collect::<Vec<_>>())?,
        bytes_of(&ask())?,
        bytes_of(&grant())?
    );
    println!(
        "case=crashes record_bytes={} told_bytes={} held_bytes={}",
        bytes_of(&crash_record(3))?,
        bytes_of(&vec![crash_record(3); 16])?,
        bytes_of(&HeldRequest {
            request: RequestDigest(u64::MAX),
            left_ms: 100_000,
            released_ms: None
        })?
    );
    Ok(())
}

/// Memory of a table in which every worker has asked for a backoff.
fn backoff_kb(kept: &mut Vec<BackoffTable<WorkerId>>) -> anyhow::Result<u64> {
    let before = resident_kb()?;
    let mut table = BackoffTable::new();
    for number in 0..WORKERS * MEMORY_SCALE {
        let worker = WorkerId::of_instance(&format!("i-{number:010x}"), Some(Incarnation(BORN)));
        table.record_backoff(&worker, Duration::from_secs(3), Instant::now());
    }
    kept.push(table);
    Ok(resident_kb()?.saturating_sub(before) / MEMORY_SCALE)
}

/// Memory of the limiter of a daemon with this many different requests under way.
fn copies_kb(kept: &mut Vec<DuplicateLimiter>) -> anyhow::Result<u64> {
    let before = resident_kb()?;
    let mut limiter = DuplicateLimiter::new();
    for number in 0..REQUESTS * MEMORY_SCALE {
        limiter.begin(RequestDigest(number), false, Instant::now());
    }
    kept.push(limiter);
    Ok(resident_kb()?.saturating_sub(before) / MEMORY_SCALE)
}

/// Time to decide on a request with as many runs as are kept, after as many ends.
fn burst_us() -> f64 {
    let start = Instant::now() + Duration::from_secs(60);
    let mut ledger = CrashLedger::new();
    for number in 0..ENDS {
        let ended = start + Duration::from_millis(number);
        let run = TerminatedRun { upstream: number, sent: start, ended };
        let request = if number < RUNS { 0 } else { number };
        ledger.record_run(RequestDigest(request), run);
    }
    let begun = WallInstant::now();
    for _ in 0..PICKS {
        std::hint::black_box(ledger.quarantine_left(RequestDigest(0), start));
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(PICKS)
}

fn bytes_of(message: &impl Serialize) -> anyhow::Result<usize> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)?;
    Ok(bytes.len())
}

/// Memory of this process in kilobytes.
fn resident_kb() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()).unwrap_or_default();
    Ok(kb.parse()?)
}

fn report(number: u64, born: bool) -> WorkerReport {
    let name = format!("i-{number:010x}");
    let (epoch, rank) = (number / REPLICA_SIZE + 1, number % REPLICA_SIZE);
    let state = if rank == 0 { MembershipState::Open } else { MembershipState::Ready };
    WorkerReport {
        id: WorkerId::of_instance(&name, born.then_some(Incarnation(BORN + number))),
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

fn load(head: &WorkerReport) -> WorkerLoad {
    WorkerLoad { worker: head.id.clone(), active: 14, waiting_ms: 40, progress_ms: Some(12) }
}

fn view(loads: Vec<WorkerLoad>, held: Vec<HeldRequest>) -> FleetView {
    FleetView {
        term: Term(3),
        number: 1000,
        deployment: 100,
        gateways: 410,
        controllers: Vec::new(),
        withheld: Vec::new(),
        loads,
        held,
        leader: None,
        limits: Vec::new(),
    }
}

fn limit(number: u64) -> UpstreamLimit {
    let worker = WorkerId::of_instance(&format!("i-{number:010x}"), Some(Incarnation(BORN)));
    let limit = Some(RequestRate(1800));
    UpstreamLimit { upstream: worker.to_string(), limit, sent_ms: 620, came_ms: 400 }
}

/// What a gateway tells that has a use for one permit.
fn ask() -> PermitAsk {
    let need = PermitNeed { upstream: limit(0).upstream, count: 1, lifetime_ms: 100, returned: 0 };
    PermitAsk { limits: Vec::new(), needs: vec![need] }
}

/// The answer to that.
fn grant() -> PermitGrant {
    let upstream = limit(0).upstream;
    let terms = vec![PermitTerms { upstream, issued: 1, wait_ms: Some(555) }];
    PermitGrant { limits: vec![limit(0)], terms }
}

fn crash_record(runs: u64) -> CrashRecord {
    let run = |n| CrashedRun { upstream: u64::MAX - n, sent_ms: 20_000, ended_ms: 19_000 };
    CrashRecord {
        request: RequestDigest(u64::MAX),
        runs: (0..runs).map(run).collect(),
        answered_ms: None,
    }
}

/// Mean time of a choice among the heads of all replicas.
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
    // The first one makes the index of candidates.
    let _ = picker.pick(&facts, now);
    let start = WallInstant::now();
    for _ in 0..PICKS {
        let _ = picker.pick(&facts, now);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(PICKS)
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
