//! Watches a cluster from outside: what serves, what is stranded, what was reverted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_testkit::{Cluster, join_all};
use tokio::time::Instant;

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(100);

/// What was seen while a fault ran.
#[derive(Clone, Debug, Default)]
pub(crate) struct SampledCase {
    pub(crate) down_s: f64,
    pub(crate) stranded_s: f64,
    pub(crate) repair_s: Option<f64>,
    pub(crate) two_groups: u32,
    pub(crate) reverted: u32,
}

/// Groups and how many replicas of each are wanted.
pub(crate) type WantedGroups = BTreeMap<String, u64>;

/// One look at the whole cluster.
struct ClusterLook {
    serving: BTreeMap<String, BTreeSet<Vec<String>>>,
    double_use: u32,
}

async fn look(cluster: &Cluster, wanted: &WantedGroups) -> ClusterLook {
    let mut serving: BTreeMap<String, BTreeSet<Vec<String>>> = BTreeMap::new();
    let mut answered = BTreeSet::new();
    let reads = cluster
        .ids()
        .into_iter()
        .filter(|id| cluster.is_running(id))
        .flat_map(|id| wanted.keys().map(move |group| (id.clone(), group.clone())));
    let looks = reads.map(|(id, group)| async move {
        let replicas = cluster.serving_replicas(&id, &group).await;
        (id, group, replicas)
    });
    for (id, group, replicas) in join_all(looks.collect()).await {
        // A daemon speaks for its own zone: what it routes to there is what serves there.
        let zone = id.trim_end_matches(|c: char| c.is_ascii_digit()).to_owned();
        for (of, members) in replicas {
            if of == zone {
                answered.insert(zone.clone());
                serving.entry(group.clone()).or_default().insert(members);
            }
        }
    }
    let mut holders: BTreeMap<&String, u32> = BTreeMap::new();
    for members in serving.values().flatten() {
        for member in members {
            *holders.entry(member).or_default() += 1;
        }
    }
    let double_use = holders.values().filter(|count| **count > 1).count() as u32;
    ClusterLook { serving, double_use }
}

/// Watches a cluster for a while.
pub(crate) async fn sample(
    cluster: &Cluster,
    wanted: &WantedGroups,
    time: Duration,
    case: &mut SampledCase,
) {
    let begun = Instant::now();
    let mut last = begun;
    let mut revisions: BTreeMap<(String, String), u64> = BTreeMap::new();
    let mut healthy_since = None;
    while begun.elapsed() < time {
        let seen = look(cluster, wanted).await;
        let now = Instant::now();
        let elapsed = (now - last).as_secs_f64();
        last = now;
        let mut down = 0;
        let mut members = BTreeSet::new();
        for (group, count) in wanted {
            let serving = seen.serving.get(group);
            down += count.saturating_sub(serving.map_or(0, |serving| serving.len() as u64));
            members.extend(serving.into_iter().flatten().flatten().cloned());
        }
        let stranded: u32 = cluster
            .fleet()
            .running_models()
            .iter()
            .filter(|(id, ..)| !members.contains(id.as_str()))
            .map(|(_, _, accelerators)| accelerators)
            .sum();
        case.down_s += down as f64 * elapsed;
        case.stranded_s += f64::from(stranded) * elapsed;
        case.two_groups += seen.double_use;
        if down == 0 {
            healthy_since.get_or_insert(now - begun);
        } else {
            healthy_since = None;
        }
        case.reverted += count_reverted(cluster, &mut revisions).await;
        tokio::time::sleep_until(now + LOOK).await;
    }
    case.repair_s = healthy_since.map(|since| since.as_secs_f64());
}

/// Daemons whose configuration went back since the last look.
async fn count_reverted(cluster: &Cluster, revisions: &mut BTreeMap<(String, String), u64>) -> u32 {
    let ids: Vec<String> = cluster.ids().into_iter().filter(|id| cluster.is_running(id)).collect();
    let reads = ids.into_iter().map(|id| async move {
        let groups = cluster.read_operator_api(&id, "/groups").await;
        (id, groups)
    });
    let mut reverted = 0;
    for (id, groups) in join_all(reads.collect()).await {
        for group in groups.as_array().into_iter().flatten() {
            let name = group["spec"]["name"].as_str().unwrap_or_default().to_owned();
            let revision = group["revision"].as_u64().unwrap_or(0);
            let pid = cluster.pid(&id).unwrap_or(0);
            let known = revisions.entry((format!("{id}/{pid}"), name)).or_default();
            reverted += u32::from(revision < *known);
            *known = revision.max(*known);
        }
    }
    reverted
}
