//! Samples a cluster from outside: group downtime, stranded accelerators, nodes allocated twice and
//! regressed configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_testkit::{Cluster, join_all};
use tokio::time::Instant;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Totals over the samples taken during one fault case.
#[derive(Clone, Debug, Default)]
pub(crate) struct SampledCase {
    /// Replica-seconds for which desired replicas did not serve.
    pub(crate) downtime_s: f64,
    /// Accelerator-seconds on running model workers outside any serving replica.
    pub(crate) stranded_s: f64,
    /// Seconds from the start of the last [`sample`] until all desired replicas served for the rest
    /// of it; `None` if not all served at its end.
    pub(crate) repair_s: Option<f64>,
    /// Nodes that were members of several serving replicas, summed over the samples.
    pub(crate) double_allocations: u32,
    /// Regressed group revisions on all daemons, summed over the samples.
    pub(crate) regressions: u32,
}

/// Desired number of replicas by group.
pub(crate) type DesiredReplicas = BTreeMap<String, u64>;

/// State of the whole cluster in one sample.
struct ClusterObservation {
    serving: BTreeMap<String, BTreeSet<Vec<String>>>,
    double_allocated: u32,
}

async fn observe(cluster: &Cluster, desired: &DesiredReplicas) -> ClusterObservation {
    let mut serving: BTreeMap<String, BTreeSet<Vec<String>>> = BTreeMap::new();
    let mut answered = BTreeSet::new();
    let reads = cluster
        .ids()
        .into_iter()
        .filter(|id| cluster.is_running(id))
        .flat_map(|id| desired.keys().map(move |group| (id.clone(), group.clone())));
    let observations = reads.map(|(id, group)| async move {
        let replicas = cluster.serving_replicas(&id, &group).await;
        (id, group, replicas)
    });
    for (id, group, replicas) in join_all(observations.collect()).await {
        // A daemon is authoritative for its local zone only, so replicas that it lists for other
        // zones are ignored.
        let zone = id.trim_end_matches(|c: char| c.is_ascii_digit()).to_owned();
        for (replica_zone, members) in replicas {
            if replica_zone == zone {
                answered.insert(zone.clone());
                serving.entry(group.clone()).or_default().insert(members);
            }
        }
    }
    let mut replica_counts: BTreeMap<&String, u32> = BTreeMap::new();
    for members in serving.values().flatten() {
        for member in members {
            *replica_counts.entry(member).or_default() += 1;
        }
    }
    let double_allocated = replica_counts.values().filter(|count| **count > 1).count() as u32;
    ClusterObservation { serving, double_allocated }
}

/// Samples a cluster for the given time and adds the results to `case`.
pub(crate) async fn sample(
    cluster: &Cluster,
    desired: &DesiredReplicas,
    time: Duration,
    case: &mut SampledCase,
) {
    let started = Instant::now();
    let mut last_sample = started;
    let mut revisions: BTreeMap<(String, String), u64> = BTreeMap::new();
    let mut healthy_since = None;
    while started.elapsed() < time {
        let observed = observe(cluster, desired).await;
        let now = Instant::now();
        let elapsed = (now - last_sample).as_secs_f64();
        last_sample = now;
        let mut missing = 0;
        let mut members = BTreeSet::new();
        for (group, count) in desired {
            let serving = observed.serving.get(group);
            missing += count.saturating_sub(serving.map_or(0, |serving| serving.len() as u64));
            members.extend(serving.into_iter().flatten().flatten().cloned());
        }
        let stranded: u32 = cluster
            .fleet()
            .running_models()
            .iter()
            .filter(|(id, ..)| !members.contains(id.as_str()))
            .map(|(_, _, accelerators)| accelerators)
            .sum();
        case.downtime_s += missing as f64 * elapsed;
        case.stranded_s += f64::from(stranded) * elapsed;
        case.double_allocations += observed.double_allocated;
        if missing == 0 {
            healthy_since.get_or_insert(now - started);
        } else {
            healthy_since = None;
        }
        case.regressions += count_regressions(cluster, &mut revisions).await;
        tokio::time::sleep_until(now + SAMPLE_INTERVAL).await;
    }
    case.repair_s = healthy_since.map(|since| since.as_secs_f64());
}

/// Counts the groups on each daemon whose revision is below the highest one read before from the
/// same daemon process.
async fn count_regressions(
    cluster: &Cluster,
    revisions: &mut BTreeMap<(String, String), u64>,
) -> u32 {
    let ids: Vec<String> = cluster.ids().into_iter().filter(|id| cluster.is_running(id)).collect();
    let reads = ids.into_iter().map(|id| async move {
        let groups = cluster.read_operator_api(&id, "/groups").await;
        (id, groups)
    });
    let mut regressions = 0;
    for (id, groups) in join_all(reads.collect()).await {
        for group in groups.as_array().into_iter().flatten() {
            let name = group["spec"]["name"].as_str().unwrap_or_default().to_owned();
            let revision = group["revision"].as_u64().unwrap_or(0);
            let pid = cluster.pid(&id).unwrap_or(0);
            let known = revisions.entry((format!("{id}/{pid}"), name)).or_default();
            regressions += u32::from(revision < *known);
            *known = revision.max(*known);
        }
    }
    regressions
}
