//! Requests under faults: what callers are told, held against what ran.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use clap::{Arg, ArgMatches, Command};
use hollowbarrow_schema::{NodeId, ZoneId};
use hollowbarrow_testkit::{Cluster, ClusterConfig, FaultMode, FleetConfig, ModelConfig};
use serde_json::json;

use crate::load::{LoadMix, LoadOutcome, LoadPlan, SETTLEMENT_DESK, TABORTTUZ, drive};
use crate::stats::process_use;

/// How long each case is loaded.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// When the fault comes.
const FAULT_AT: Duration = Duration::from_secs(3);
/// When the fault ends, where it does.
const FAULT_END: Duration = Duration::from_secs(7);
/// Places of each door in the case in which streams fill them.
const FEW_PLACES: u32 = 10;
/// Places of each door otherwise.
const MANY_PLACES: u32 = 512;
/// Requests a second over all doors.
const RATE: f64 = 120.0;

const CASES: &[&str] = &[
    "fault_free",
    "upstream_killed",
    "upstream_paused",
    "service_killed",
    "entry_killed",
    "entry_paused",
    "claims_leader_killed",
    "zone_cut",
    "links_slow",
    "load_doubled",
    "door_saturated",
];

pub(crate) fn command() -> Command {
    Command::new("requests")
        .about("Drives both users' mixes through nine entry nodes under each fault")
        .arg(Arg::new("case").long("case").help("Only this case"))
}

pub(crate) fn run(arguments: &ArgMatches) -> Result<()> {
    let only = arguments.get_one::<String>("case").map(String::as_str);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        for case in CASES.iter().filter(|case| only.is_none_or(|only| only == **case)) {
            let runs = [TABORTTUZ, SETTLEMENT_DESK].map(|mix| tokio::spawn(run_case(case, mix)));
            for run in runs {
                println!("{}", run.await??);
            }
        }
        if only.is_none() {
            println!("{}", measure_door().await?);
        }
        Ok(())
    })
}

fn slow_engine() -> ModelConfig {
    ModelConfig { token: Duration::from_millis(20), ..ModelConfig::default() }
}

async fn start_cluster(count: u32, model: ModelConfig, places: u32) -> Result<Cluster> {
    let zones = ["a", "b", "c"].map(ZoneId::from);
    let fleet = FleetConfig::new(&zones, 2, 4).with_model(model);
    let counts: Vec<(ZoneId, u32)> = zones.iter().map(|zone| (zone.clone(), 3)).collect();
    let program = std::env::current_exe().context("the measurement knows its own program")?;
    let config = ClusterConfig::new(&program, &["daemon"], &counts, fleet)
        .with_limits(json!({"streams": places}));
    let cluster = Cluster::start(config);
    cluster.wait_ready().await;
    cluster.label_all_nodes().await;
    let group = json!({"put_group": {"name": "drafts", "model": "m", "version": "1", "size": 3,
        "count": count, "urgency": "urgent",
        "selector": {"match_labels": {"given": "hollowbarrow"}}}});
    let reply = cluster.submit_change("b1", "group", &group).await;
    ensure!(reply.status == 200, "the group was refused: {}", reply.body);
    for id in cluster.ids() {
        ensure!(cluster.wait_serving(&id, "drafts", u64::from(count)).await, "it does not serve");
    }
    // The claims' log has its clock after a moment.
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(cluster)
}

async fn run_case(case: &'static str, mix: LoadMix) -> Result<String> {
    let saturated = case == "door_saturated";
    let places = if saturated { FEW_PLACES } else { MANY_PLACES };
    let mut cluster = start_cluster(6, slow_engine(), places).await?;
    let doubled = saturated || case == "load_doubled";
    let rate = if doubled { RATE * 2.0 } else { RATE };
    let doors: Vec<SocketAddr> =
        cluster.ids().iter().map(|id| cluster.caller_address(id)).collect();
    let naive = naive_doors(&cluster).await?;
    let plan = LoadPlan { mix, doors, rate, time: LOAD_TIME, seed: 7 };
    let load = tokio::spawn(drive(plan.clone()));
    tokio::time::sleep(FAULT_AT).await;
    inflict(&mut cluster, case).await?;
    tokio::time::sleep(FAULT_END - FAULT_AT).await;
    relieve(&mut cluster, case).await;
    let outcome = load.await?;
    let (doubled, false_not_run) = outcome.check_holds(cluster.fleet().history());
    let incomplete =
        cluster.fleet().history().to_vec().iter().filter(|run| run.missing_ms > 900).count();
    let late = cluster.fleet().history().to_vec().iter().filter(|run| run.past_deadline).count();
    // The naive way is measured under the same kind of fault, on a fresh cluster's upstreams.
    let naive = run_naive(case, mix, &cluster, naive).await;
    Ok(format!(
        "case={case} mix={} ok={} not_run={} unknown={} resent={} doubled={doubled} lost={} crossed={} short={} \
         false_not_run={false_not_run} late_dispatch={late} served_incomplete={incomplete} \
         urgent_p99_ms={:.1} ttft_p95_ms={:.1} itl_p95_ms={:.1} naive_ok={} naive_lost={} naive_short={} \
         naive_urgent_p99_ms={:.1} naive_ttft_p95_ms={:.1}",
        mix.name,
        outcome.ok,
        outcome.not_run,
        outcome.unknown,
        outcome.resent,
        outcome.lost,
        outcome.crossed,
        outcome.short,
        outcome.urgent.quantile_ms(0.99),
        outcome.first_token.quantile_ms(0.95),
        outcome.token_gap.quantile_ms(0.95),
        naive.ok,
        naive.lost,
        naive.short + naive.crossed,
        naive.urgent.quantile_ms(0.99),
        naive.first_token.quantile_ms(0.95),
    ))
}

async fn inflict(cluster: &mut Cluster, case: &str) -> Result<()> {
    match case {
        "upstream_killed" => cluster.fleet().kill(&head_in(cluster, "a").await?),
        "upstream_paused" => cluster.fleet().pause(&head_in(cluster, "a").await?),
        "service_killed" => cluster.fleet().kill(&NodeId::from("a-app0")),
        "entry_killed" => cluster.kill("b1"),
        "entry_paused" => cluster.pause("b1"),
        "claims_leader_killed" => {
            let status = cluster.read_operator_api("b1", "/status").await;
            let leader = status["claims_leader"].as_str().unwrap_or("a0").to_owned();
            cluster.kill(&leader);
        }
        "zone_cut" => cluster.set_zone_links(&ZoneId::from("c"), FaultMode::Blackhole),
        "links_slow" => cluster.set_all_links(FaultMode::Delay(Duration::from_millis(40))),
        _ => {}
    }
    Ok(())
}

async fn relieve(cluster: &mut Cluster, case: &str) {
    match case {
        "upstream_paused" => {
            for node in cluster.fleet().model_nodes() {
                cluster.fleet().resume(&node);
            }
        }
        "entry_paused" => cluster.resume("b1"),
        "zone_cut" => cluster.set_zone_links(&ZoneId::from("c"), FaultMode::Pass),
        "links_slow" => cluster.set_all_links(FaultMode::Pass),
        _ => {}
    }
}

async fn head_in(cluster: &Cluster, zone: &str) -> Result<NodeId> {
    let replicas = cluster.serving_replicas(&format!("{zone}1"), "drafts").await;
    let own = replicas.into_iter().find(|(of, _)| of == zone);
    let (_, members) = own.context("no replica serves in the zone")?;
    Ok(NodeId::from(members[0].as_str()))
}

/// Upstreams as a naive caller would know them: all heads and services, once and for all.
struct NaiveDoors {
    heads: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
}

async fn naive_doors(cluster: &Cluster) -> Result<NaiveDoors> {
    let replicas = cluster.serving_replicas("a1", "drafts").await;
    let heads = replicas
        .iter()
        .filter_map(|(_, members)| cluster.fleet().address(&NodeId::from(members[0].as_str())))
        .collect();
    let services = cluster.fleet().service_nodes();
    let services = services.iter().filter_map(|node| cluster.fleet().address(node)).collect();
    Ok(NaiveDoors { heads, services })
}

/// The same load sent straight to upstreams drawn at random, with plain resends.
async fn run_naive(case: &str, mix: LoadMix, cluster: &Cluster, doors: NaiveDoors) -> LoadOutcome {
    let rate = if case == "load_doubled" { RATE * 2.0 } else { RATE };
    let share = |thousandths: u32| rate * f64::from(thousandths) / 1000.0;
    let time = Duration::from_secs(4);
    let streams = LoadMix { name: "naive_streams", streams: 1000, reads: 0, holds: 0 };
    let reads = LoadMix { name: "naive_reads", streams: 0, reads: 1000, holds: 0 };
    if case == "upstream_paused"
        && let Some(node) = cluster.fleet().model_nodes().first()
    {
        cluster.fleet().pause(node);
    }
    let streaming = tokio::spawn(drive(LoadPlan {
        mix: streams,
        doors: doors.heads,
        rate: share(mix.streams),
        time,
        seed: 8,
    }));
    let reading = drive(LoadPlan {
        mix: reads,
        doors: doors.services,
        rate: share(mix.reads + mix.holds),
        time,
        seed: 9,
    })
    .await;
    let mut outcome = streaming.await.expect("the load's task ends");
    outcome.ok += reading.ok;
    outcome.lost += reading.lost;
    outcome.urgent = reading.urgent;
    outcome
}

/// What the door adds, and what one core carries.
async fn measure_door() -> Result<String> {
    let cluster = start_cluster(3, ModelConfig::default(), MANY_PLACES).await?;
    let direct = naive_doors(&cluster).await?.services[0];
    let door = cluster.caller_address("a1");
    let reads = LoadMix { name: "door_reads", streams: 0, reads: 1000, holds: 0 };
    let time = Duration::from_secs(6);
    let plan = |doors, rate, seed| LoadPlan { mix: reads, doors, rate, time, seed };
    let straight = drive(plan(vec![direct], 100.0, 1)).await;
    let through = drive(plan(vec![door], 100.0, 2)).await;
    let pid = cluster.pid("a1").context("a1 runs")?;
    let (before, _) = process_use(pid).context("the process can be read")?;
    let heavy = drive(plan(vec![door], 2000.0, 3)).await;
    let (between, _) = process_use(pid).context("the process can be read")?;
    let streams = LoadMix { name: "door_streams", streams: 1000, reads: 0, holds: 0 };
    let streamed =
        drive(LoadPlan { mix: streams, doors: vec![door], rate: 250.0, time, seed: 4 }).await;
    let (after, memory) = process_use(pid).context("the process can be read")?;
    let (direct_ms, door_ms) = (straight.urgent.quantile_ms(0.5), through.urgent.quantile_ms(0.5));
    Ok(format!(
        "case=door direct_p50_ms={direct_ms:.2} door_p50_ms={door_ms:.2} ratio={:.2} added_ms={:.2} \
         direct_p99_ms={:.2} door_p99_ms={:.2} requests_per_core_s={:.0} tokens_per_core_s={:.0} \
         resident_mb={:.1} failed={}",
        door_ms / direct_ms,
        door_ms - direct_ms,
        straight.urgent.quantile_ms(0.99),
        through.urgent.quantile_ms(0.99),
        heavy.ok as f64 / (between - before),
        streamed.tokens as f64 / (after - between),
        memory as f64 / f64::from(1 << 20),
        heavy.lost + heavy.not_run + heavy.unknown + streamed.lost + streamed.not_run,
    ))
}
