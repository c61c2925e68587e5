//! Measures how the costs of each role grow with size, and estimates them at the target size.

use std::collections::BTreeSet;

use anyhow::{Context, Result, ensure};
use clap::{Arg, ArgMatches, Command};
use hollowbarrow_log::StateMachine;
use hollowbarrow_planner::{GroupDemand, GroupPlanner, NodeView};
use hollowbarrow_routing::{RouteCandidate, RoutePicker, UpstreamKey};
use hollowbarrow_schema::{
    ChangeId, ClaimCommand, ClaimKey, ClaimOpen, ConfigChange, ConfigCommand, DomainId, Epoch,
    GroupName, GroupSpec, LabelChange, Labels, LogIndex, ModelName, NodeDigest, NodeId, NodeState,
    ReplicaDigest, Selector, StartId, Urgency, ZoneId,
};
use hollowbarrow_state::{ClaimState, ConfigState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::capacity_clusters::{measure_propagation, measure_streams};
use crate::slopes::{SlopeCase, SlopeReport};
use crate::stats::process_usage;

/// Workers at the target size.
const TARGET_NODES: usize = 12_000;
/// Nodes of one zone at the target size: 12,000 workers in 21 zones.
const ZONE_NODES: f64 = 571.0;
/// Replicas of one zone at the target size.
const ZONE_REPLICAS: f64 = 71.0;
/// Non-repeatable requests whose claims one shard retains at the target size, see
/// `docs/CAPACITY.md`.
const SHARD_CLAIMS: f64 = 225_000.0;

pub(crate) fn command() -> Command {
    Command::new("capacity")
        .about("Measures the slopes of docs/CAPACITY.md")
        .arg(Arg::new("plots").long("plots").help("Folder for a plot of each slope"))
        .arg(Arg::new("resident").long("resident").hide(true))
        .arg(Arg::new("size").long("size").value_parser(clap::value_parser!(usize)).hide(true))
        .arg(Arg::new("only").long("only").help("Only slopes whose name contains this"))
}

pub(crate) fn run(arguments: &ArgMatches) -> Result<()> {
    if let Some(state_kind) = arguments.get_one::<String>("resident") {
        let size = arguments.get_one::<usize>("size").copied().unwrap_or(0);
        println!("{}", resident_growth(state_kind, size)?);
        return Ok(());
    }
    let report = SlopeReport { plots: arguments.get_one::<String>("plots").cloned() };
    let only = arguments.get_one::<String>("only").cloned().unwrap_or_default();
    let selected = |name: &str| only.is_empty() || name.contains(&only);
    if selected("planner") {
        measure_planner(&report)?;
    }
    if selected("picker") {
        measure_picker(&report)?;
    }
    if selected("digest") {
        measure_digests(&report)?;
    }
    if selected("state") {
        measure_state(&report)?;
    }
    if selected("claims") {
        measure_claims(&report)?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    if selected("door") {
        runtime.block_on(measure_streams(&report))?;
    }
    if selected("spread") {
        runtime.block_on(measure_propagation(&report))?;
    }
    Ok(())
}

fn mean_time_us(rounds: u32, mut operation: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..rounds {
        operation();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn node_views(count: usize) -> Vec<NodeView> {
    (0..count)
        .map(|number| NodeView {
            id: NodeId(format!("node-{number}")),
            domain: DomainId(format!("domain-{}", number / 24)),
            labels: Labels([("given".to_owned(), "hollowbarrow".to_owned())].into()),
            accelerators: 2,
            unusable: None,
            withheld: None,
            leaving: false,
            unmanaged: None,
            weights: BTreeSet::new(),
        })
        .collect()
}

fn group_spec(number: usize) -> GroupSpec {
    GroupSpec {
        name: GroupName(format!("group-{number}")),
        model: ModelName(format!("model-{number}")),
        version: "1".to_owned(),
        adapter: None,
        size: 8,
        count: 10_000,
        selector: Selector::default(),
        urgency: Urgency::Normal,
        weight: 100,
        spares: 0,
    }
}

fn measure_planner(report: &SlopeReport) -> Result<()> {
    let case = SlopeCase {
        role: "authority",
        quantity: "planner_time",
        unit: "ms",
        per: "node",
        sizes: &[24, 96, 480, 2400],
        target: ZONE_NODES,
        budget: 50.0,
    };
    report.measure(&case, |size| {
        let nodes = node_views(size);
        let groups = 4;
        let demands: Vec<GroupDemand> = (0..groups)
            .map(|number| {
                let desired = (size / 8 / groups) as u32;
                GroupDemand { spec: group_spec(number), desired }
            })
            .collect();
        let planner = GroupPlanner::new(demands).with_nodes(nodes);
        Ok(mean_time_us(3, || {
            std::hint::black_box(planner.plan());
        }) / 1000.0)
    })
}

fn measure_picker(report: &SlopeReport) -> Result<()> {
    let case = SlopeCase {
        role: "picker",
        quantity: "pick_time",
        unit: "us",
        per: "upstream",
        sizes: &[10, 50, 250, 1500],
        target: 4.0 * ZONE_REPLICAS,
        budget: 200.0,
    };
    report.measure(&case, |size| {
        let zone = ZoneId::from("a");
        let mut picker = RoutePicker::new(&zone, 65_536);
        let now = Instant::now();
        let candidates: Vec<RouteCandidate> = (0..size)
            .map(|number| RouteCandidate {
                key: UpstreamKey { name: format!("node-{number}"), epoch: Epoch(7) },
                pool: "group/drafts".to_owned(),
                weight: 100,
                zone: Some(if number % 4 == 0 { zone.clone() } else { ZoneId::from("b") }),
                reported: 3,
                reported_at: now,
            })
            .collect();
        for candidate in &candidates {
            picker.record_start(&candidate.key, &[], now);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        Ok(mean_time_us(2000, || {
            std::hint::black_box(picker.pick(&candidates, &[1, 2, 3], &mut rng));
        }))
    })
}

fn encoded_bytes<T: serde::Serialize>(value: &T) -> Result<f64> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)?;
    Ok(bytes.len() as f64)
}

fn measure_digests(report: &SlopeReport) -> Result<()> {
    let nodes = SlopeCase {
        role: "observer",
        quantity: "digest_bytes",
        unit: "bytes",
        per: "node",
        sizes: &[6, 24, 120, 600],
        target: ZONE_NODES,
        budget: 64_000.0,
    };
    report.measure(&nodes, |size| {
        let digests: Vec<NodeDigest> = (0..size)
            .map(|number| NodeDigest {
                n: NodeId(format!("zone-d{}-n{number}", number / 24)),
                s: StartId(1_234_567),
                e: Epoch(4321),
                t: NodeState::Ready,
                a: 120,
                l: 9,
                o: Some("hollowbarrow".to_owned()),
                w: vec!["lakeside-70b@1".to_owned()],
            })
            .collect();
        encoded_bytes(&digests)
    })?;
    let replicas = SlopeCase {
        role: "reporter",
        quantity: "report_bytes",
        unit: "bytes",
        per: "replica",
        sizes: &[3, 12, 60, 300],
        target: ZONE_REPLICAS,
        budget: 4096.0,
    };
    report.measure(&replicas, |size| {
        let digests: Vec<ReplicaDigest> = (0..size)
            .map(|number| ReplicaDigest {
                h: NodeId(format!("zone-d{}-n{number}", number / 3)),
                e: Epoch(4321),
                a: 120,
                l: 9,
            })
            .collect();
        encoded_bytes(&digests)
    })
}

/// Returns a change of the most frequent kind: a label of one of the nodes at the target size.
fn label_change(number: usize) -> ConfigChange {
    let node = number % TARGET_NODES;
    let labels = [("given".to_owned(), "hollowbarrow".to_owned())];
    ConfigChange {
        id: ChangeId(format!("{number:032x}")),
        author: "operations".to_owned(),
        base: None,
        command: ConfigCommand::ChangeLabels(LabelChange {
            node: NodeId(format!("zone-d{}-n{}", node / 24, node)),
            set: Labels(labels.into()),
            remove: Vec::new(),
        }),
    }
}

fn filled_state(changes: usize) -> ConfigState {
    let mut state = ConfigState::new();
    for number in 0..changes {
        state.apply_change(LogIndex(number as u64 + 1), &label_change(number));
    }
    state
}

fn measure_state(report: &SlopeReport) -> Result<()> {
    let per_change = |quantity, unit, target, budget| SlopeCase {
        role: "voter",
        quantity,
        unit,
        per: "change",
        sizes: &[500, 2_500, 12_000, 54_000],
        target,
        budget,
    };
    let daily_changes = 54_000.0;
    report.measure(&per_change("apply_time", "ms", daily_changes, 86_400.0), |size| {
        let started = Instant::now();
        std::hint::black_box(filled_state(size));
        Ok(started.elapsed().as_secs_f64() * 1000.0)
    })?;
    report.measure(&per_change("snapshot_size", "MB", daily_changes, 32.0), |size| {
        Ok(filled_state(size).to_snapshot().len() as f64 / 1e6)
    })?;
    let mut catch_up = per_change("catch_up_time", "ms", daily_changes, 15_000.0);
    catch_up.role = "follower";
    report.measure(&catch_up, |size| {
        let state = filled_state(size);
        let started = Instant::now();
        let snapshot = state.to_snapshot();
        let mut follower = ConfigState::new();
        ensure!(follower.restore(&snapshot), "the follower cannot restore the snapshot");
        Ok(started.elapsed().as_secs_f64() * 1000.0)
    })?;
    let mut memory = per_change("state_memory", "MB", daily_changes, 64.0);
    memory.role = "follower";
    report.measure(&memory, |size| resident_growth_in_subprocess("state", size))
}

/// Returns the growth of a new process's resident memory while it fills a state, in MB.
///
/// The state is filled in a subprocess, because in this process the allocator would reuse memory
/// that an earlier measurement freed, and the resident memory would not grow.
fn resident_growth_in_subprocess(state_kind: &str, size: usize) -> Result<f64> {
    let output = std::process::Command::new(std::env::current_exe()?)
        .args(["capacity", "--resident", state_kind, "--size", &size.to_string()])
        .output()?;
    Ok(String::from_utf8(output.stdout)?.trim().parse()?)
}

/// Returns the growth of this process's resident memory while it fills a state, in MB.
fn resident_growth(state_kind: &str, size: usize) -> Result<f64> {
    let pid = std::process::id();
    let (_, before) =
        process_usage(pid).context("cannot read the CPU time and memory of this process")?;
    let (state, claims) = match state_kind {
        "state" => (Some(filled_state(size)), None),
        _ => (None, Some(filled_claims(size))),
    };
    let (_, after) =
        process_usage(pid).context("cannot read the CPU time and memory of this process")?;
    drop((state, claims));
    Ok(after.saturating_sub(before) as f64 / 1e6)
}

fn filled_claims(size: usize) -> ClaimState {
    let mut state = ClaimState::new();
    for number in 0..size {
        state.apply_command(&open_claim(number));
    }
    state
}

fn open_claim(number: usize) -> ClaimCommand {
    ClaimCommand::Open(ClaimOpen {
        key: ClaimKey(format!("{number:032x}")),
        fingerprint: number as u64,
        attempt: format!("entry-a-1/{number:016x}"),
        lifetime_ms: 15_000,
    })
}

fn measure_claims(report: &SlopeReport) -> Result<()> {
    let key_case = |quantity, unit, budget| SlopeCase {
        role: "claims",
        quantity,
        unit,
        per: "key",
        sizes: &[2_000, 20_000, 80_000, 200_000],
        target: SHARD_CLAIMS,
        budget,
    };
    report.measure(&key_case("key_memory", "MB", 64.0), |size| {
        resident_growth_in_subprocess("claims", size)
    })?;
    report.measure(&key_case("open_time", "ms", 3_600_000.0), |size| {
        let started = Instant::now();
        std::hint::black_box(filled_claims(size));
        Ok(started.elapsed().as_secs_f64() * 1000.0)
    })
}
