//! Measures running daemons: memory and CPU time by the number of streams, and the propagation of
//! changes by the size of the cluster.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use hollowbarrow_schema::ZoneId;
use hollowbarrow_testkit::{Cluster, ClusterConfig, FleetConfig, ModelConfig};
use serde_json::json;
use tokio::time::Instant;

use crate::load::{LoadMix, LoadPlan, generate_load};
use crate::slopes::{RUNS_PER_SIZE, SlopeCase, SlopeReport};
use crate::stats::{fit_line, process_usage};

/// Daemons at the target size.
const DAEMONS: f64 = 410.0;
/// Streams in flight at one daemon at the target size: 20,000 requests/s of 7.2 s each over 410
/// daemons.
const DAEMON_STREAMS: f64 = 351.0;
/// Tokens per second through one daemon at the target size.
const DAEMON_TOKENS: f64 = 13_659.0;

async fn small_cluster(zones: &[(ZoneId, u32)], fleet: FleetConfig) -> Result<Cluster> {
    let program = std::env::current_exe().context("cannot get the path of this program")?;
    let timing = json!({"probe_ms": 500, "digest_ms": 500, "lease_ms": 2500, "election_ms": 1000,
        "authority_ms": 2000, "balancer_ms": 0});
    let config = ClusterConfig::new(&program, &["daemon"], zones, fleet)
        .with_timing(timing)
        .with_proxies(false);
    let cluster = Cluster::start(config);
    cluster.wait_ready().await;
    Ok(cluster)
}

/// Measures a daemon's memory by its streams in flight and its CPU time by the tokens it forwards.
pub(crate) async fn measure_streams(report: &SlopeReport) -> Result<()> {
    let zones = [(ZoneId::from("a"), 1)];
    let model =
        ModelConfig { token: Duration::from_millis(26), batch: 2000, ..ModelConfig::default() };
    let fleet = FleetConfig::new(&[ZoneId::from("a")], 2, 3).with_model(model);
    let cluster = small_cluster(&zones, fleet).await?;
    cluster.label_all_nodes().await;
    let group = json!({"put_group": {"name": "drafts", "model": "m", "version": "1", "size": 1,
        "count": 6, "selector": {"match_labels": {"given": "hollowbarrow"}}}});
    cluster.submit_change("a0", "group", &group).await;
    ensure!(cluster.wait_serving("a0", "drafts", 6).await, "not all replicas of the group serve");
    let ingress = cluster.caller_address("a0");
    let pid = cluster.pid("a0").context("a0 does not run")?;
    let sizes: &'static [usize] = &[8, 40, 160, 400];
    let mut memory = Vec::new();
    let mut cpu = Vec::new();
    for size in sizes {
        let mut memory_runs = Vec::new();
        for seed in 0..RUNS_PER_SIZE as u64 {
            let mix = LoadMix { name: "streams", streams: 1000, reads: 0, reservations: 0 };
            // A stream lasts about 1.1 s, so this rate keeps `size` streams in flight.
            let rate = *size as f64 / 1.1;
            let time = Duration::from_millis(2500);
            let plan = LoadPlan { mix, targets: vec![ingress], rate, time, seed };
            let (before, _) =
                process_usage(pid).context("cannot read the CPU time and memory of a0")?;
            let outcome = generate_load(plan).await;
            let (after, resident) =
                process_usage(pid).context("cannot read the CPU time and memory of a0")?;
            ensure!(outcome.lost + outcome.unknown == 0, "streams failed during the measurement");
            memory_runs.push(resident as f64 / 1e6);
            cpu.push((outcome.tokens as f64, (after - before) * 1000.0));
        }
        memory.push((*size, memory_runs));
    }
    let case = SlopeCase {
        role: "door",
        quantity: "resident_memory",
        unit: "MB",
        per: "stream",
        sizes,
        target: DAEMON_STREAMS,
        budget: 512.0,
    };
    report.print(&case, &memory)?;
    // The intercept is the CPU time that the daemon uses during a run without any streams.
    let (slope, intercept) = fit_line(&cpu);
    let at_target = slope * DAEMON_TOKENS / 1000.0;
    let points: Vec<String> =
        cpu.iter().map(|(tokens, ms)| format!("{tokens:.0}:{ms:.0}")).collect();
    println!(
        "role=door quantity=token_cpu unit=cpu_ms/token slope={slope:.6} intercept={intercept:.1} \
         target={DAEMON_TOKENS} at_target={at_target:.3} budget=1 holds={} points={}",
        at_target <= 1.0,
        points.join(",")
    );
    Ok(())
}

/// Measures the time until a change is in force on all daemons, and the CPU time, traffic and
/// memory of an idle daemon.
pub(crate) async fn measure_propagation(report: &SlopeReport) -> Result<()> {
    let sizes: &'static [usize] = &[3, 9, 30, 100];
    let mut results: BTreeMap<&str, Vec<(usize, Vec<f64>)>> = BTreeMap::new();
    for size in sizes {
        let measured = measure_propagation_at(*size).await?;
        for (quantity, runs) in measured {
            results.entry(quantity).or_default().push((*size, runs));
        }
    }
    for (quantity, unit, budget) in [
        ("spread_median", "ms", 15_000.0),
        ("spread_worst", "ms", 15_000.0),
        ("control_cpu", "percent_of_core", 3.3),
        ("control_bytes", "bytes_per_s", 4096.0),
        ("resident_memory", "MB", 64.0),
    ] {
        let case = SlopeCase {
            role: "daemon",
            quantity,
            unit,
            per: "daemon",
            sizes,
            target: DAEMONS,
            budget,
        };
        report.print(&case, &results[quantity])?;
    }
    Ok(())
}

async fn measure_propagation_at(size: usize) -> Result<Vec<(&'static str, Vec<f64>)>> {
    let zones: Vec<(ZoneId, u32)> = ["a", "b", "c"]
        .iter()
        .zip(0..)
        .map(|(zone, number)| {
            let daemons = (size + 2 - number) / 3;
            (ZoneId::from(*zone), u32::try_from(daemons).unwrap_or(1))
        })
        .collect();
    let names: Vec<ZoneId> = zones.iter().map(|(zone, _)| zone.clone()).collect();
    let cluster = small_cluster(&zones, FleetConfig::new(&names, 1, 2)).await?;
    let group = |round: usize| {
        json!({"put_group": {"name": "spread", "model": "m", "version": round.to_string(),
            "size": 1, "count": 0, "selector": {}}})
    };
    cluster.submit_change("a0", "first", &group(0)).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (mut medians, mut maxima) = (Vec::new(), Vec::new());
    for round in 1..=RUNS_PER_SIZE {
        let started = Instant::now();
        let reply = cluster.submit_change("b0", &format!("round {round}"), &group(round)).await;
        ensure!(reply.status == 200, "a change was refused: {}", reply.body);
        let mut times = wait_in_force(&cluster, round, started).await?;
        times.sort_by(f64::total_cmp);
        medians.push(times[times.len() / 2]);
        maxima.push(times[times.len() - 1]);
    }
    let idle_time = Duration::from_secs(4);
    // At the target size, most daemons are not members of their zone's authority. The last daemon
    // of the cluster represents these.
    let measured_daemon = cluster.ids().last().cloned().context("the cluster has no daemons")?;
    let (mut cpu, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..RUNS_PER_SIZE {
        let pid = cluster.pid(&measured_daemon).context("the daemon does not run")?;
        let traffic_before = peer_bytes(&cluster, &measured_daemon).await;
        let (cpu_before, _) =
            process_usage(pid).context("cannot read the CPU time and memory of the daemon")?;
        tokio::time::sleep(idle_time).await;
        let (cpu_after, resident) =
            process_usage(pid).context("cannot read the CPU time and memory of the daemon")?;
        let traffic_after = peer_bytes(&cluster, &measured_daemon).await;
        cpu.push((cpu_after - cpu_before) * 100.0 / idle_time.as_secs_f64());
        bytes.push((traffic_after - traffic_before) / idle_time.as_secs_f64());
        memory.push(resident as f64 / 1e6);
    }
    Ok(vec![
        ("spread_median", medians),
        ("spread_worst", maxima),
        ("control_cpu", cpu),
        ("control_bytes", bytes),
        ("resident_memory", memory),
    ])
}

/// Returns the milliseconds after which each daemon had a change in force.
async fn wait_in_force(cluster: &Cluster, round: usize, started: Instant) -> Result<Vec<f64>> {
    let version = round.to_string();
    let mut pending: BTreeSet<String> = cluster.ids().into_iter().collect();
    let mut times = Vec::new();
    while !pending.is_empty() {
        ensure!(
            started.elapsed() < Duration::from_secs(60),
            "{pending:?} did not apply the change within 60 s"
        );
        for id in pending.clone() {
            let groups = cluster.read_operator_api(&id, "/groups").await;
            if groups[0]["spec"]["version"] == version.as_str() {
                times.push(started.elapsed().as_secs_f64() * 1000.0);
                pending.remove(&id);
            }
        }
    }
    Ok(times)
}

/// Returns the bytes of messages that a daemon has sent to and received from its peers.
async fn peer_bytes(cluster: &Cluster, id: &str) -> f64 {
    let reply = cluster.call_operator_api(id, hyper::Method::GET, "/metrics", &json!(null)).await;
    let lines = reply.body.lines().filter(|line| line.starts_with("hollowbarrow_peer_bytes"));
    lines.filter_map(|line| line.split_whitespace().last()?.parse::<f64>().ok()).sum()
}
