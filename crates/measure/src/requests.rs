//! Measures requests under faults: compares the answers to callers with the requests that ran.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use clap::{Arg, ArgMatches, Command};
use hollowbarrow_schema::{NodeId, ZoneId};
use hollowbarrow_testkit::{Cluster, ClusterConfig, FaultMode, FleetConfig, ModelConfig};
use serde_json::json;

use crate::load::{LoadMix, LoadOutcome, LoadPlan, SETTLEMENT_DESK, TABORTTUZ, generate_load};
use crate::stats::process_usage;

/// Duration of the load of each case.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// Time from the start of the load to the fault.
const FAULT_AT: Duration = Duration::from_secs(3);
/// Time from the start of the load to the end of the fault, for faults that end.
const FAULT_END: Duration = Duration::from_secs(7);
/// Limit of concurrent streams of each gateway in the case that saturates it.
const FEW_STREAMS: u32 = 10;
/// Limit of concurrent streams of each gateway in the other cases.
const MANY_STREAMS: u32 = 512;
/// Requests per second over all gateways.
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
    let selected_case = arguments.get_one::<String>("case").map(String::as_str);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        for case in CASES.iter().filter(|case| selected_case.is_none_or(|name| name == **case)) {
            let runs = [TABORTTUZ, SETTLEMENT_DESK].map(|mix| tokio::spawn(run_case(case, mix)));
            for run in runs {
                println!("{}", run.await??);
            }
        }
        if selected_case.is_none() {
            println!("{}", measure_ingress().await?);
        }
        Ok(())
    })
}

fn slow_engine() -> ModelConfig {
    ModelConfig { token: Duration::from_millis(20), ..ModelConfig::default() }
}

async fn start_cluster(count: u32, model: ModelConfig, max_streams: u32) -> Result<Cluster> {
    let zones = ["a", "b", "c"].map(ZoneId::from);
    let fleet = FleetConfig::new(&zones, 2, 4).with_model(model);
    let counts: Vec<(ZoneId, u32)> = zones.iter().map(|zone| (zone.clone(), 3)).collect();
    let program = std::env::current_exe().context("cannot get the path of this program")?;
    let config = ClusterConfig::new(&program, &["daemon"], &counts, fleet)
        .with_limits(json!({"streams": max_streams}));
    let cluster = Cluster::start(config);
    cluster.wait_ready().await;
    cluster.label_all_nodes().await;
    let group = json!({"put_group": {"name": "drafts", "model": "m", "version": "1", "size": 3,
        "count": count, "urgency": "urgent",
        "selector": {"match_labels": {"given": "hollowbarrow"}}}});
    let reply = cluster.submit_change("b1", "group", &group).await;
    ensure!(reply.status == 200, "the group was refused: {}", reply.body);
    for id in cluster.ids() {
        ensure!(
            cluster.wait_serving(&id, "drafts", u64::from(count)).await,
            "not all replicas of the group serve"
        );
    }
    // The claims log needs a moment after its start until its clock is established.
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(cluster)
}

async fn run_case(case: &'static str, mix: LoadMix) -> Result<String> {
    let saturated = case == "door_saturated";
    let max_streams = if saturated { FEW_STREAMS } else { MANY_STREAMS };
    let mut cluster = start_cluster(6, slow_engine(), max_streams).await?;
    let double_rate = saturated || case == "load_doubled";
    let rate = if double_rate { RATE * 2.0 } else { RATE };
    let ingresses: Vec<SocketAddr> =
        cluster.ids().iter().map(|id| cluster.caller_address(id)).collect();
    let baseline_targets = find_baseline_targets(&cluster).await?;
    let plan = LoadPlan { mix, targets: ingresses, rate, time: LOAD_TIME, seed: 7 };
    let load = tokio::spawn(generate_load(plan.clone()));
    tokio::time::sleep(FAULT_AT).await;
    inject_fault(&mut cluster, case).await?;
    tokio::time::sleep(FAULT_END - FAULT_AT).await;
    clear_fault(&mut cluster, case).await;
    let outcome = load.await?;
    let (run_twice, falsely_not_run) = outcome.check_reservations(cluster.fleet().history());
    let incomplete =
        cluster.fleet().history().to_vec().iter().filter(|run| run.missing_ms > 900).count();
    let late = cluster.fleet().history().to_vec().iter().filter(|run| run.past_deadline).count();
    // The baseline runs afterwards on the upstreams of the same cluster: killed ones are still
    // down, and for the case of a paused upstream one is paused again.
    let baseline = run_baseline(case, mix, &cluster, baseline_targets).await;
    Ok(format!(
        "case={case} mix={} ok={} not_run={} unknown={} resent={} doubled={run_twice} lost={} crossed={} short={} \
         false_not_run={falsely_not_run} late_dispatch={late} served_incomplete={incomplete} \
         urgent_p99_ms={:.1} ttft_p95_ms={:.1} itl_p95_ms={:.1} naive_ok={} naive_lost={} naive_short={} \
         naive_urgent_p99_ms={:.1} naive_ttft_p95_ms={:.1}",
        mix.name,
        outcome.ok,
        outcome.not_run,
        outcome.unknown,
        outcome.retries,
        outcome.lost,
        outcome.mismatched,
        outcome.truncated,
        outcome.unary_latency.quantile_ms(0.99),
        outcome.first_token.quantile_ms(0.95),
        outcome.token_gap.quantile_ms(0.95),
        baseline.ok,
        baseline.lost,
        baseline.truncated + baseline.mismatched,
        baseline.unary_latency.quantile_ms(0.99),
        baseline.first_token.quantile_ms(0.95),
    ))
}

async fn inject_fault(cluster: &mut Cluster, case: &str) -> Result<()> {
    match case {
        "upstream_killed" => cluster.fleet().kill(&head_in_zone(cluster, "a").await?),
        "upstream_paused" => cluster.fleet().pause(&head_in_zone(cluster, "a").await?),
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

async fn clear_fault(cluster: &mut Cluster, case: &str) {
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

async fn head_in_zone(cluster: &Cluster, zone: &str) -> Result<NodeId> {
    let replicas = cluster.serving_replicas(&format!("{zone}1"), "drafts").await;
    let local_replica = replicas.into_iter().find(|(replica_zone, _)| replica_zone == zone);
    let (_, members) = local_replica.context("no replica serves in the zone")?;
    Ok(NodeId::from(members[0].as_str()))
}

/// Upstreams of the baseline: all heads and services, looked up once before the fault.
struct BaselineTargets {
    heads: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
}

async fn find_baseline_targets(cluster: &Cluster) -> Result<BaselineTargets> {
    let replicas = cluster.serving_replicas("a1", "drafts").await;
    let heads = replicas
        .iter()
        .filter_map(|(_, members)| cluster.fleet().address(&NodeId::from(members[0].as_str())))
        .collect();
    let services = cluster.fleet().service_nodes();
    let services = services.iter().filter_map(|node| cluster.fleet().address(node)).collect();
    Ok(BaselineTargets { heads, services })
}

/// Sends the same mix directly to randomly drawn upstreams, with plain retries.
async fn run_baseline(
    case: &str,
    mix: LoadMix,
    cluster: &Cluster,
    targets: BaselineTargets,
) -> LoadOutcome {
    let rate = if case == "load_doubled" { RATE * 2.0 } else { RATE };
    let share = |thousandths: u32| rate * f64::from(thousandths) / 1000.0;
    let time = Duration::from_secs(4);
    let streams = LoadMix { name: "naive_streams", streams: 1000, reads: 0, reservations: 0 };
    let reads = LoadMix { name: "naive_reads", streams: 0, reads: 1000, reservations: 0 };
    if case == "upstream_paused"
        && let Some(node) = cluster.fleet().model_nodes().first()
    {
        cluster.fleet().pause(node);
    }
    let streaming = tokio::spawn(generate_load(LoadPlan {
        mix: streams,
        targets: targets.heads,
        rate: share(mix.streams),
        time,
        seed: 8,
    }));
    let reading = generate_load(LoadPlan {
        mix: reads,
        targets: targets.services,
        rate: share(mix.reads + mix.reservations),
        time,
        seed: 9,
    })
    .await;
    let mut outcome = streaming.await.expect("the load task does not panic");
    outcome.ok += reading.ok;
    outcome.lost += reading.lost;
    outcome.unary_latency = reading.unary_latency;
    outcome
}

/// Measures the latency that the ingress adds, and its throughput per core.
async fn measure_ingress() -> Result<String> {
    let cluster = start_cluster(3, ModelConfig::default(), MANY_STREAMS).await?;
    let direct = find_baseline_targets(&cluster).await?.services[0];
    let ingress = cluster.caller_address("a1");
    let reads = LoadMix { name: "door_reads", streams: 0, reads: 1000, reservations: 0 };
    let time = Duration::from_secs(6);
    let plan = |targets, rate, seed| LoadPlan { mix: reads, targets, rate, time, seed };
    let direct_outcome = generate_load(plan(vec![direct], 100.0, 1)).await;
    let ingress_outcome = generate_load(plan(vec![ingress], 100.0, 2)).await;
    let pid = cluster.pid("a1").context("a1 does not run")?;
    let (before, _) = process_usage(pid).context("cannot read the CPU time and memory of a1")?;
    let heavy = generate_load(plan(vec![ingress], 2000.0, 3)).await;
    let (between, _) = process_usage(pid).context("cannot read the CPU time and memory of a1")?;
    let streams = LoadMix { name: "door_streams", streams: 1000, reads: 0, reservations: 0 };
    let streamed = generate_load(LoadPlan {
        mix: streams,
        targets: vec![ingress],
        rate: 250.0,
        time,
        seed: 4,
    })
    .await;
    let (after, memory) =
        process_usage(pid).context("cannot read the CPU time and memory of a1")?;
    let (direct_ms, ingress_ms) = (
        direct_outcome.unary_latency.quantile_ms(0.5),
        ingress_outcome.unary_latency.quantile_ms(0.5),
    );
    Ok(format!(
        "case=door direct_p50_ms={direct_ms:.2} door_p50_ms={ingress_ms:.2} ratio={:.2} added_ms={:.2} \
         direct_p99_ms={:.2} door_p99_ms={:.2} requests_per_core_s={:.0} tokens_per_core_s={:.0} \
         resident_mb={:.1} failed={}",
        ingress_ms / direct_ms,
        ingress_ms - direct_ms,
        direct_outcome.unary_latency.quantile_ms(0.99),
        ingress_outcome.unary_latency.quantile_ms(0.99),
        heavy.ok as f64 / (between - before),
        streamed.tokens as f64 / (after - between),
        memory as f64 / f64::from(1 << 20),
        heavy.lost + heavy.not_run + heavy.unknown + streamed.lost + streamed.not_run,
    ))
}
