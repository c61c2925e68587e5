//! Measures group downtime and stranded accelerators under a list of faults.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use clap::{Arg, ArgMatches, Command};
use hollowbarrow_schema::{NodeId, ZoneId};
use hollowbarrow_testkit::{
    CALLER_KEY, CallerCall, Cluster, ClusterConfig, FaultMode, FleetConfig,
};
use hyper::Method;
use serde_json::{Value, json};

use crate::sampler::{DesiredReplicas, SampledCase, sample};

/// Time for which the cluster is sampled after the fault.
const SAMPLE_TIME: Duration = Duration::from_secs(9);
/// Interval between two requests of the load.
const LOAD_INTERVAL: Duration = Duration::from_millis(8);
/// Heartbeat lease in the clusters of these measurements, in milliseconds.
const LEASE_MS: u64 = 900;

const CASES: &[&str] = &[
    "member_killed",
    "member_paused",
    "member_returns",
    "second_loss",
    "domain_lost",
    "authority_killed",
    "leader_killed",
    "leader_paused",
    "leader_cut_silently",
    "zone_cut",
    "zone_cut_one_way",
    "links_delayed",
    "links_damaged",
    "disk_full",
    "leader_cut_and_member_killed",
    "zone_cut_and_member_killed",
];

/// Groups of a user, which weigh downtime against idle accelerators.
///
/// The baseline has the groups of Tábortűz on daemons that run with `--rebuild-all`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UserPolicy {
    Taborttuz,
    SettlementDesk,
    Baseline,
}

impl UserPolicy {
    fn name(self) -> &'static str {
        match self {
            Self::Taborttuz => "taborttuz",
            Self::SettlementDesk => "settlement_desk",
            Self::Baseline => "naive",
        }
    }

    fn groups(self) -> Vec<Value> {
        let group = |name: &str, size: u32, count: u32, urgency: &str, spares: u32| {
            json!({"put_group": {"name": name, "model": name, "version": "1", "size": size,
                "count": count, "urgency": urgency, "spares": spares,
                "selector": {"match_labels": {"given": "hollowbarrow"}}}})
        };
        match self {
            // A domain has four nodes: three for a replica and one for its spare.
            Self::Taborttuz | Self::Baseline => {
                vec![group("assistant", 3, 3, "urgent", 1), group("nightly", 3, 2, "batch", 0)]
            }
            // Every node is in use: after a loss the replica waits for the node or moves.
            Self::SettlementDesk => {
                vec![group("disputes", 2, 6, "normal", 0), group("billing", 2, 6, "batch", 0)]
            }
        }
    }
}

pub(crate) fn command() -> Command {
    Command::new("groups")
        .about("Runs the list of faults on nine daemons with both users' policies and the baseline")
        .arg(Arg::new("case").long("case").help("Only this case"))
        .arg(Arg::new("policy").long("policy").help("Only this policy"))
}

pub(crate) fn run(arguments: &ArgMatches) -> Result<()> {
    let selected_case = arguments.get_one::<String>("case").map(String::as_str);
    let policy = arguments.get_one::<String>("policy").map(String::as_str);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        for case in CASES.iter().filter(|case| selected_case.is_none_or(|name| name == **case)) {
            let policies =
                [UserPolicy::Taborttuz, UserPolicy::SettlementDesk, UserPolicy::Baseline];
            let selected = policies.iter().filter(|p| policy.is_none_or(|name| name == p.name()));
            let runs: Vec<_> = selected.map(|p| tokio::spawn(run_case(case, *p))).collect();
            for run in runs {
                println!("{}", run.await??);
            }
        }
        Ok(())
    })
}

async fn run_case(case: &'static str, policy: UserPolicy) -> Result<String> {
    let mut cluster = start_cluster(case, policy).await?;
    let desired: DesiredReplicas = policy
        .groups()
        .iter()
        .map(|group| {
            let spec = &group["put_group"];
            let count = spec["count"].as_u64().unwrap_or(0);
            (spec["name"].as_str().unwrap_or_default().to_owned(), count)
        })
        .collect();
    let load = spawn_load(&cluster, &desired);
    let mut sampled = SampledCase::default();
    inject_fault(&mut cluster, case, &desired, &mut sampled).await?;
    sample(&cluster, &desired, SAMPLE_TIME, &mut sampled).await;
    load.abort();
    let history = cluster.fleet().history().to_vec();
    let incomplete = history.iter().filter(|run| run.missing_ms > LEASE_MS).count();
    let stale_orders_accepted = cluster.fleet().stale_orders_accepted();
    let repair = sampled.repair_s.map_or("never".to_owned(), |repair| format!("{repair:.2}"));
    let served = history.len();
    Ok(format!(
        "case={case} policy={} served={served} group_downtime_s={:.2} stranded_accelerator_s={:.2} repair_s={repair} \
         two_groups={} served_incomplete={incomplete} reverted={}",
        policy.name(),
        sampled.downtime_s,
        sampled.stranded_s,
        sampled.double_allocations + stale_orders_accepted,
        sampled.regressions,
    ))
}

/// Requests short completions through all daemons until aborted, so that the run history shows
/// replicas that serve although they must not.
fn spawn_load(cluster: &Cluster, desired: &DesiredReplicas) -> tokio::task::JoinHandle<()> {
    let ingresses: Vec<SocketAddr> =
        cluster.ids().iter().map(|id| cluster.caller_address(id)).collect();
    let models: Vec<String> = desired.keys().cloned().collect();
    tokio::spawn(async move {
        for number in 0_usize.. {
            let model = &models[number % models.len()];
            let body = json!({"model": model, "max_tokens": 2, "prompt": format!("{number}")});
            let call = CallerCall::new(Method::POST, "/v1/completions", CALLER_KEY)
                .with_body(&body.to_string())
                .with_timeout(Duration::from_secs(2));
            let ingress = ingresses[number % ingresses.len()];
            tokio::spawn(async move { call.send(ingress).await });
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
    })
}

async fn start_cluster(case: &str, policy: UserPolicy) -> Result<Cluster> {
    let zones = ["a", "b", "c"].map(ZoneId::from);
    let fleet = FleetConfig::new(&zones, 2, 4).with_unfenced_nodes(true);
    let counts: Vec<(ZoneId, u32)> = zones.iter().map(|zone| (zone.clone(), 3)).collect();
    let program = std::env::current_exe().context("cannot get the path of this program")?;
    let arguments: &[&str] =
        if policy == UserPolicy::Baseline { &["daemon", "--rebuild-all"] } else { &["daemon"] };
    let mut config = ClusterConfig::new(&program, arguments, &counts, fleet);
    if case == "disk_full" {
        // Enough for the start and the labels, but not for the later changes.
        config = config.with_file_blocks("a0", 24);
    }
    let cluster = Cluster::start(config);
    cluster.wait_ready().await;
    cluster.label_all_nodes().await;
    for (number, group) in policy.groups().iter().enumerate() {
        let reply = cluster.submit_change("b1", &format!("group {number}"), group).await;
        ensure!(reply.status == 200, "a group was refused: {}", reply.body);
    }
    for group in policy.groups() {
        let spec = &group["put_group"];
        let name = spec["name"].as_str().unwrap_or_default();
        let count = spec["count"].as_u64().unwrap_or(0);
        ensure!(
            cluster.wait_serving("b1", name, count).await,
            "group {name} does not serve before the fault"
        );
    }
    Ok(cluster)
}

/// Returns the members of a serving replica whose zone starts with `zone`, as the daemons whose
/// ids start with `zone` list it.
async fn serving_members(
    cluster: &Cluster,
    desired: &DesiredReplicas,
    zone: &str,
) -> Result<Vec<NodeId>> {
    for id in cluster.ids().iter().filter(|id| id.starts_with(zone)) {
        for group in desired.keys() {
            let replicas = cluster.serving_replicas(id, group).await;
            let found =
                replicas.into_iter().find(|(replica_zone, _)| replica_zone.starts_with(zone));
            if let Some((_, members)) = found {
                return Ok(members.iter().map(|member| NodeId::from(member.as_str())).collect());
            }
        }
    }
    anyhow::bail!("no replica serves")
}

async fn read_status(cluster: &Cluster, id: &str, field: &str) -> Result<String> {
    let status = cluster.read_operator_api(id, "/status").await;
    let value = status[field].as_str().map(str::to_owned);
    value.with_context(|| format!("the status of {id} has no {field}"))
}

async fn inject_fault(
    cluster: &mut Cluster,
    case: &str,
    desired: &DesiredReplicas,
    sampled: &mut SampledCase,
) -> Result<()> {
    let second = Duration::from_secs(1);
    let members = serving_members(cluster, desired, "").await?;
    let leader = read_status(cluster, "b1", "leader").await?;
    let partitioned_zone = ZoneId::from("c");
    match case {
        "member_killed" => cluster.fleet().kill(&members[0]),
        "member_paused" => {
            cluster.fleet().pause(&members[0]);
            sample(cluster, desired, second * 4, sampled).await;
            cluster.fleet().resume(&members[0]);
        }
        "member_returns" => {
            cluster.fleet().kill(&members[1]);
            sample(cluster, desired, second, sampled).await;
            cluster.fleet().restart_with_state(&members[1]);
        }
        "second_loss" => {
            cluster.fleet().kill(&members[0]);
            sample(cluster, desired, second * 3, sampled).await;
            if let Ok(remaining) = serving_members(cluster, desired, "a").await {
                cluster.fleet().kill(&remaining[1]);
            }
        }
        "domain_lost" => {
            let domain = members[0].rsplit_once('-').map_or("", |(domain, _)| domain).to_owned();
            for node in cluster.fleet().model_nodes().iter().filter(|n| n.starts_with(&domain)) {
                cluster.fleet().kill(node);
            }
        }
        "authority_killed" => {
            let authority = read_status(cluster, "a1", "authority").await?;
            cluster.kill(&authority);
            let other_daemon = if authority == "a1" { "a2" } else { "a1" };
            if let Ok(zone_members) = serving_members(cluster, desired, other_daemon).await {
                cluster.fleet().kill(&zone_members[0]);
            } else {
                cluster.fleet().kill(&members[0]);
            }
        }
        "leader_killed" => cluster.kill(&leader),
        "leader_paused" => {
            cluster.pause(&leader);
            sample(cluster, desired, second * 5, sampled).await;
            cluster.resume(&leader);
        }
        "leader_cut_silently" => cluster.set_daemon_links(&leader, FaultMode::Blackhole),
        "zone_cut" => {
            cluster.set_zone_links(&partitioned_zone, FaultMode::Blackhole);
            sample(cluster, desired, second * 6, sampled).await;
            cluster.set_zone_links(&partitioned_zone, FaultMode::Pass);
        }
        "zone_cut_one_way" => {
            for from in cluster.ids_in(&partitioned_zone) {
                for to in cluster.ids().iter().filter(|id| !id.starts_with('c')) {
                    cluster.set_link(&from, to, FaultMode::Blackhole);
                }
            }
        }
        "links_delayed" => cluster.set_all_links(FaultMode::Delay(Duration::from_millis(60))),
        "links_damaged" => cluster.set_all_links(FaultMode::Corrupt),
        "disk_full" => {
            for number in 0..150 {
                let command = json!({"change_labels": {"node": *members[0],
                    "set": {"round": number.to_string()}}});
                let reply = cluster.submit_change("b1", &format!("fill {number}"), &command).await;
                ensure!(
                    reply.status == 200,
                    "a change was refused while the disk of one voter was full"
                );
            }
            let fault = cluster.read_operator_api("a0", "/status").await["fault"].clone();
            ensure!(fault.is_string(), "the voter with the full disk reports no fault: {fault}");
        }
        "leader_cut_and_member_killed" => {
            cluster.set_daemon_links(&leader, FaultMode::Blackhole);
            cluster.fleet().kill(&members[0]);
        }
        _ => {
            cluster.set_zone_links(&partitioned_zone, FaultMode::Blackhole);
            let zone_members = serving_members(cluster, desired, "c").await?;
            cluster.fleet().kill(&zone_members[0]);
        }
    }
    Ok(())
}
