//! Divides each group's replicas among the availability zones.
//!
//! Only the leader of the configuration log does this, and the division is an
//! entry of that log, so a partitioned zone continues with its last quota.
//! A zone that does not report keeps its quota. For urgent groups the other
//! zones run as many additional replicas as they can until it reports again,
//! because that improves availability with accelerators that would be idle.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_schema::{
    ChangeId, ConfigChange, ConfigCommand, EntryPayload, GroupName, GroupSpec, LogName, Quota,
    Urgency, ZoneId,
};
use tokio::time::Instant;

use crate::core::DaemonCore;
use crate::fleet::ReportedCapacity;
use crate::zone_demand::zone_capacity;

/// Pause between two checks of the quotas.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a new group for the reports of zones that have not reported their capacity yet.
///
/// Dividing at once would place all replicas in the zones that happened to report first.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Author of the leader's changes.
const AUTHOR: &str = "hollowbarrow/quota";

/// Number of a group's replicas that a zone reports it could run, `None` if it does not report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ZoneReplicaCapacity {
    pub(crate) possible: Option<u32>,
}

/// Divides a group's replicas among zones, from the present division and the zones' capacities.
pub(crate) fn divide_replicas(
    spec: &GroupSpec,
    present: &BTreeMap<String, u32>,
    zones: &BTreeMap<ZoneId, ZoneReplicaCapacity>,
) -> BTreeMap<String, u32> {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut silent = 0;
    for (zone, capacity) in zones {
        let current = present.get(&**zone).copied().unwrap_or(0);
        let kept = match capacity.possible {
            Some(possible) => current.min(possible),
            None => {
                silent += current;
                current
            }
        };
        counts.insert(zone.to_string(), kept);
    }
    // Replicas in a silent zone may still serve; only urgent groups get replacements for them.
    let replacements = if spec.urgency == Urgency::Urgent { silent } else { 0 };
    let target = spec.count + replacements;
    let reporting: Vec<(&ZoneId, u32)> =
        zones.iter().filter_map(|(zone, capacity)| Some((zone, capacity.possible?))).collect();
    while counts.values().sum::<u32>() < target {
        let next = reporting
            .iter()
            .filter(|(zone, possible)| counts[zone.as_str()] < *possible)
            .min_by_key(|(zone, possible)| (counts[zone.as_str()], u32::MAX - possible));
        let Some((zone, _)) = next else { break };
        *counts.entry(zone.to_string()).or_default() += 1;
    }
    while counts.values().sum::<u32>() > target {
        let heaviest = reporting
            .iter()
            .filter(|(zone, _)| counts[zone.as_str()] > 0)
            .max_by_key(|(zone, _)| counts[zone.as_str()]);
        let Some((zone, _)) = heaviest else { break };
        *counts.entry(zone.to_string()).or_default() -= 1;
    }
    counts.retain(|_, count| *count > 0);
    counts
}

/// Updates the quotas while this daemon leads the configuration log.
pub(crate) async fn maintain_quotas(core: Arc<DaemonCore>) {
    let mut timers = QuotaTimers::default();
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let view = core.config_log.view();
        if !view.leads || core.is_stopping() {
            timers = QuotaTimers::default();
            continue;
        }
        for quota in changed_quotas(&core, &mut timers) {
            let id = format!("quota/{}/{}/{:x}", *quota.group, *view.term, rand::random::<u64>());
            let change = ConfigChange {
                id: ChangeId(id),
                author: AUTHOR.to_owned(),
                base: None,
                command: ConfigCommand::SetQuota(quota),
            };
            let deadline = Instant::now() + STEP_INTERVAL * 10;
            let _ = core.propose(LogName::Config, EntryPayload::Config(change), deadline).await;
        }
    }
}

/// Returns the quotas that differ from the present ones.
///
/// A zone that has not yet applied its last quota reports capacity that is
/// already assigned, and the same nodes may be counted for two groups. So a zone
/// gets additional replicas of one group at a time, and only after it has
/// reported with the last change applied.
fn changed_quotas(core: &DaemonCore, timers: &mut QuotaTimers) -> Vec<Quota> {
    let now = Instant::now();
    let (applied, groups) = zone_capacity(core, now);
    if !groups.is_empty() {
        let report = ReportedCapacity { at: now, applied, groups };
        core.fleet_mut().capacity.insert(core.zone().clone(), report);
    }
    let zones: BTreeSet<&ZoneId> = core.settings.peers.iter().map(|peer| &peer.zone).collect();
    core.config_log.read(|config| {
        let fleet = core.fleet();
        let capacity = fleet.fresh_capacity(now);
        let last = config.quotas().values().map(|quota| *quota.revision).max().unwrap_or(0);
        let mut settling: BTreeSet<&ZoneId> =
            capacity.iter().filter(|(_, r)| *r.applied < last).map(|(zone, _)| *zone).collect();
        let mut quotas = Vec::new();
        for spec in config.groups().values().map(|recorded| &recorded.value) {
            let empty = BTreeMap::new();
            let present = config.quotas().get(&spec.name).map_or(&empty, |q| &q.value.counts);
            let mut capacities = BTreeMap::new();
            for zone in &zones {
                let current = present.get(zone.as_str()).copied().unwrap_or(0);
                let possible = capacity.get(zone).map(|report| {
                    let found = report.groups.iter().find(|group| group.group == spec.name);
                    let possible = found.map_or(current, |found| found.possible);
                    let possible =
                        if settling.contains(zone) { possible.min(current) } else { possible };
                    timers.debounce_shortage((spec, zone), possible, current, now)
                });
                capacities.insert((*zone).clone(), ZoneReplicaCapacity { possible });
            }
            let all_reported = capacities.values().all(|entry| entry.possible.is_some());
            if present.is_empty() && !all_reported && !timers.has_waited(&spec.name, now) {
                continue;
            }
            let counts = divide_replicas(spec, present, &capacities);
            if counts == *present {
                continue;
            }
            settling.extend(zones.iter().filter(|zone| {
                counts.get(zone.as_str()).copied().unwrap_or(0)
                    > present.get(zone.as_str()).copied().unwrap_or(0)
            }));
            quotas.push(Quota { group: spec.name.clone(), counts });
        }
        quotas
    })
}

/// Returns how long a zone's shortage of capacity must last before a group's replicas move.
///
/// Moving requires loading weights elsewhere, and the node may return before that
/// completes. More urgent groups wait less.
fn shortage_timeout(urgency: Urgency) -> Duration {
    match urgency {
        Urgency::Urgent => Duration::from_millis(500),
        Urgency::Normal => Duration::from_secs(2),
        Urgency::Batch => Duration::from_secs(5),
    }
}

/// Start times that the leader keeps between two checks.
#[derive(Debug, Default)]
struct QuotaTimers {
    short_since: BTreeMap<(GroupName, ZoneId), Instant>,
    new_since: BTreeMap<GroupName, Instant>,
}

impl QuotaTimers {
    /// Returns a zone's capacity; a shortage is ignored until it has lasted for the timeout.
    fn debounce_shortage(
        &mut self,
        of: (&GroupSpec, &ZoneId),
        possible: u32,
        current: u32,
        now: Instant,
    ) -> u32 {
        let key = (of.0.name.clone(), of.1.clone());
        if possible >= current {
            self.short_since.remove(&key);
            return possible;
        }
        let since = *self.short_since.entry(key).or_insert(now);
        let waited = now.saturating_duration_since(since);
        if waited < shortage_timeout(of.0.urgency) { current } else { possible }
    }

    /// Returns whether a new group has waited `REPORT_TIMEOUT` for zones that do not report.
    fn has_waited(&mut self, group: &GroupName, now: Instant) -> bool {
        let since = *self.new_since.entry(group.clone()).or_insert(now);
        now.saturating_duration_since(since) >= REPORT_TIMEOUT
    }
}
