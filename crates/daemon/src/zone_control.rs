//! Reconciles the groups of the local availability zone while this daemon is its authority.
//!
//! Each step compares the zone's table with the desired groups and the observed
//! nodes, changes the table through the zone's members, and sends orders for the
//! settled table. A controller that is not the authority does nothing.
//!
//! Invariants: a load or drain order is sent only for an allocation in the settled
//! table, with that allocation's epoch; a release order only to a node in no
//! allocation, with the table's highest epoch. An order is sent only if its
//! timeout ends before the authority's lease. A replica that can still serve is
//! drained before its nodes are assigned to another. Until a leader has confirmed the
//! configuration since the daemon's start, only replicas that were lost are dissolved.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, Sender};
use hollowbarrow_planner::{DrainReason, GroupPlanner, NewReplica, ReplicaView, ZonePlan};
use hollowbarrow_schema::{
    Allocation, Epoch, FencedOrder, GroupName, GroupSpec, NodeId, NodeOrder, NodeState, ZoneTable,
};
use hollowbarrow_state::ConfigState;
use hollowbarrow_upstream::{EngineClient, SendOrderError};
use hollowbarrow_zone::{ReplicaName, ReplicaStage, ReplicaStages, TableStanding};
use tokio::time::Instant;

use crate::config_standing::ConfigStanding;
use crate::core::DaemonCore;
use crate::fleet::FleetView;
use crate::table_change::{NodeOrderEntry, TableChange, drain_order, load_orders};
use crate::zone_authority::{tick_authorities, with_authority};
use crate::zone_demand::{replica_view, zone_demands};

/// Pause between two reconciliation steps.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Reconciliation steps between two counts of the nodes' silence.
const STEPS_PER_SILENCE_COUNT: u32 = 2;
/// The timeout of an order is the authority's lease divided by this.
const ORDER_TIMEOUT_DIVISOR: u64 = 4;
/// Pause before an order that had no effect is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(400);

struct OrderResult {
    node: NodeId,
    epoch: Epoch,
    outcome: Result<(), SendOrderError>,
}

/// Reconciles the groups of one zone.
pub(crate) struct ZoneController {
    core: Arc<DaemonCore>,
    stages: ReplicaStages,
    last_orders: BTreeMap<NodeId, (Epoch, Instant)>,
    results: (Sender<OrderResult>, Receiver<OrderResult>),
    last_step: Instant,
}

/// Runs the authorities that this daemon is a member of, and the controller of the local zone.
pub(crate) async fn control_zones(core: Arc<DaemonCore>) {
    let mut controller = ZoneController {
        core: Arc::clone(&core),
        stages: ReplicaStages::default(),
        last_orders: BTreeMap::new(),
        results: flume::unbounded(),
        last_step: Instant::now(),
    };
    for step in 0_u32.. {
        tokio::time::sleep(STEP_INTERVAL).await;
        tick_authorities(&core);
        let now = Instant::now();
        if step.is_multiple_of(STEPS_PER_SILENCE_COUNT) {
            core.fleet_mut().step_detector(core.zone(), now);
        }
        controller.step(now);
    }
}

impl ZoneController {
    fn step(&mut self, now: Instant) {
        self.collect_results(now);
        let elapsed = now.saturating_duration_since(self.last_step);
        self.last_step = now;
        let Some(table) = self.sync_stages(now) else { return };
        // A daemon that has just started has not observed the nodes for long enough yet.
        let informed = now >= self.core.started + self.core.lease() * 2;
        if !informed || !self.core.fleet().listed_once {
            return;
        }
        self.record_zone_metrics(&table, elapsed, now);
        if !self.change_table(&table, now) {
            self.send_orders(&table, now);
        }
    }

    /// Updates the stages from the zone's table; returns the table if it is settled.
    fn sync_stages(&mut self, now: Instant) -> Option<ZoneTable> {
        let core = Arc::clone(&self.core);
        let authorities = core.authorities();
        let member = authorities.get(core.zone());
        let standing = member.map_or(TableStanding::NotHeld, |member| member.standing(now));
        for loaded in self.stages.sync(standing, now) {
            log::info!(
                "event=replica_ready group={} slot={} epoch={} load_ms={}",
                *loaded.name.0,
                loaded.name.1,
                *loaded.epoch,
                loaded.elapsed.as_millis()
            );
        }
        match standing {
            TableStanding::Settled(table) => Some(table.clone()),
            TableStanding::Unsettled | TableStanding::NotHeld => None,
        }
    }

    /// Adds the elapsed time to group downtime and stranded accelerators.
    fn record_zone_metrics(&self, table: &ZoneTable, elapsed: Duration, now: Instant) {
        let core = &self.core;
        core.config_log.read(|config| {
            let fleet = core.fleet();
            let mut serving_members = BTreeSet::new();
            let mut serving: BTreeMap<&GroupName, u32> = BTreeMap::new();
            for allocation in &table.allocations {
                if fleet.leases.serving_until(allocation, now).is_ok() {
                    serving_members.extend(&allocation.members);
                    *serving.entry(&allocation.group).or_default() += 1;
                }
            }
            for demand in zone_demands(config, core.zone()) {
                let up = serving.get(&demand.spec.name).copied().unwrap_or(0);
                let down = demand.desired.saturating_sub(up);
                core.telemetry.record_downtime(&demand.spec.name, down, elapsed);
            }
            let settings = &core.settings;
            let stranded: u32 = fleet
                .node_views(core.zone(), config, &settings.managed, &settings.owner, now)
                .iter()
                .filter(|node| node.is_available() && !serving_members.contains(&node.id))
                .map(|node| node.accelerators)
                .sum();
            core.telemetry.record_stranded(stranded, elapsed);
        });
    }

    /// Plans and changes the table; returns whether it changed.
    fn change_table(&mut self, table: &ZoneTable, now: Instant) -> bool {
        let core = Arc::clone(&self.core);
        let standing = core.standing.get();
        let mut plan = core.config_log.read(|config| self.plan(config, table, now));
        if standing != ConfigStanding::Confirmed {
            keep_losses(&mut plan);
        }
        let loaded = self.newly_loaded(table);
        let released = self.drained(table, now);
        let forms = self.limit_loads(&plan, table);
        let named = |loss: bool| -> BTreeSet<ReplicaName> {
            let drains = plan.drains.iter().filter(|drain| drain.reason.is_loss() == loss);
            drains.map(|drain| (drain.group.clone(), drain.slot)).collect()
        };
        let (losses, drains) = (named(true), named(false));
        let epoch_increment = self.stray_epoch_increment(table, &forms, now);
        if loaded.is_empty()
            && released.is_empty()
            && losses.is_empty()
            && drains.is_empty()
            && forms.is_empty()
            && epoch_increment == 0
        {
            return false;
        }
        self.log_drains(&plan, now);
        let specs: BTreeMap<GroupName, GroupSpec> = core.config_log.read(|config| {
            config.groups().iter().map(|(name, r)| (name.clone(), r.value.clone())).collect()
        });
        let change =
            TableChange { loaded, released, losses, drains, forms, epoch_increment, specs };
        with_authority(&core, core.zone(), |member| {
            member.change_table(|table| change.apply(table), now)
        })
        .unwrap_or(false)
    }

    /// Logs the replicas to be drained, with what tells whether their nodes or this daemon were late.
    fn log_drains(&self, plan: &ZonePlan, now: Instant) {
        let timer_delay = self.core.timer_delays().longest();
        let (silent, nodes) = self.core.fleet().count_silent(self.core.zone(), now);
        for drain in &plan.drains {
            log::info!(
                "event=replica_drain group={} slot={} reason={:?} silent_nodes={silent} \
                 nodes={nodes} timer_delay_ms={}",
                *drain.group,
                drain.slot,
                drain.reason.to_string(),
                timer_delay.as_millis()
            );
        }
    }

    fn plan(&self, config: &ConfigState, table: &ZoneTable, now: Instant) -> ZonePlan {
        let core = &self.core;
        let fleet = core.fleet();
        let settings = &core.settings;
        let nodes = fleet.node_views(core.zone(), config, &settings.managed, &settings.owner, now);
        let replicas: Vec<ReplicaView> = table
            .allocations
            .iter()
            .map(|allocation| ReplicaView {
                failed: self.has_failed(&fleet, allocation, now),
                ..replica_view(&fleet, allocation, now)
            })
            .collect();
        let demands = zone_demands(config, core.zone());
        GroupPlanner::new(demands)
            .with_nodes(nodes)
            .with_replicas(replicas)
            .with_rebuild_all(core.rebuild_all)
            .plan()
    }

    /// Returns whether a replica exceeds its load time, or one of its members has restarted or has
    /// another epoch.
    fn has_failed(&self, fleet: &FleetView, allocation: &Allocation, now: Instant) -> bool {
        let name = (allocation.group.clone(), allocation.slot);
        let load_limit = Duration::from_millis(self.core.settings.timing.load_ms);
        let slow = matches!(self.stages.get(&name), Some(ReplicaStage::Loading(lifecycle))
            if now.saturating_duration_since(lifecycle.entered()) > load_limit);
        let changed = allocation.members.iter().zip(&allocation.starts).any(|(member, start)| {
            fleet.leases.observation(member).is_some_and(|observation| {
                observation.start != *start || observation.epoch != allocation.epoch
            })
        });
        slow || changed
    }

    /// Returns replicas whose members have all loaded, with the members' start ids.
    fn newly_loaded(
        &self,
        table: &ZoneTable,
    ) -> BTreeMap<ReplicaName, Vec<hollowbarrow_schema::StartId>> {
        let fleet = self.core.fleet();
        let loading = table.allocations.iter().filter(|allocation| allocation.starts.is_empty());
        loading
            .filter_map(|allocation| {
                let starts: Option<Vec<_>> = allocation
                    .members
                    .iter()
                    .map(|member| {
                        let observation = fleet.leases.observation(member)?;
                        let ready = observation.state == NodeState::Ready
                            && observation.epoch == allocation.epoch;
                        ready.then_some(observation.start)
                    })
                    .collect();
                Some(((allocation.group.clone(), allocation.slot), starts?))
            })
            .collect()
    }

    /// Returns draining replicas that have nothing in flight or have reached the drain timeout.
    fn drained(&self, table: &ZoneTable, now: Instant) -> BTreeSet<ReplicaName> {
        let fleet = self.core.fleet();
        let lease = self.core.lease();
        let limit = Duration::from_millis(self.core.settings.timing.drain_ms);
        let mut drained = BTreeSet::new();
        for allocation in &table.allocations {
            let name = (allocation.group.clone(), allocation.slot);
            let Some(ReplicaStage::Draining(lifecycle)) = self.stages.get(&name) else { continue };
            let since = now.saturating_duration_since(lifecycle.entered());
            // Daemons may still send requests until their leases of this replica have expired.
            let settled_at = lifecycle.entered() + lease * 2;
            let idle = fleet
                .leases
                .observation(allocation.head())
                .is_none_or(|observation| observation.load == 0 && observation.seen > settled_at);
            if (now > settled_at && idle) || since > limit {
                drained.insert(name);
            }
        }
        drained
    }

    /// Returns the new replicas that fit the limit of concurrent loads from the weights store, most
    /// urgent first.
    fn limit_loads(&self, plan: &ZonePlan, table: &ZoneTable) -> Vec<NewReplica> {
        let loading = table.allocations.iter().filter(|a| a.starts.is_empty()).count();
        let free_loads = (self.core.settings.limits.loads as usize).saturating_sub(loading);
        plan.forms.iter().take(free_loads).cloned().collect()
    }

    /// Returns the epoch increment that is needed to release stray nodes: 1 or 0.
    fn stray_epoch_increment(&self, table: &ZoneTable, forms: &[NewReplica], now: Instant) -> u64 {
        let strays = self.list_strays(table, now);
        let reserved: BTreeSet<&NodeId> = forms.iter().flat_map(|form| &form.members).collect();
        let fresh = strays.iter().filter(|(node, epoch)| {
            let already_ordered =
                self.last_orders.get(node).is_some_and(|(sent_epoch, _)| sent_epoch > epoch);
            !already_ordered && !reserved.contains(node) && *epoch >= table.high_epoch
        });
        // A higher epoch is needed only if a stray node holds the highest one.
        u64::from(fresh.count() > 0)
    }

    /// Returns owned nodes that are not idle although they are in no replica, with their epochs.
    fn list_strays(&self, table: &ZoneTable, now: Instant) -> Vec<(NodeId, Epoch)> {
        let core = &self.core;
        let fleet = core.fleet();
        let members: BTreeSet<&NodeId> =
            table.allocations.iter().flat_map(|allocation| &allocation.members).collect();
        fleet
            .nodes
            .iter()
            .filter(|(id, node)| node.listed.zone == *core.zone() && !members.contains(id))
            .filter_map(|(id, _)| {
                let observation = fleet.leases.observation(id)?;
                let ours = observation.owner.as_ref() == Some(&core.settings.owner);
                let fresh = now.saturating_duration_since(observation.seen) < core.lease();
                (ours && fresh && observation.state != NodeState::Idle)
                    .then(|| (id.clone(), observation.epoch))
            })
            .collect()
    }

    fn send_orders(&mut self, table: &ZoneTable, now: Instant) {
        let mut orders: Vec<NodeOrderEntry> = Vec::new();
        {
            let fleet = self.core.fleet();
            for allocation in &table.allocations {
                let name = (allocation.group.clone(), allocation.slot);
                match self.stages.get(&name) {
                    Some(ReplicaStage::Loading(_)) => {
                        orders.extend(load_orders(&fleet, allocation))
                    }
                    Some(ReplicaStage::Draining(_)) => {
                        orders.extend(drain_order(&fleet, allocation))
                    }
                    _ => {}
                }
            }
        }
        for (node, _) in self.list_strays(table, now) {
            orders.push((node, table.high_epoch, NodeOrder::Release));
        }
        for (node, epoch, order) in orders {
            self.send_order(node, epoch, order, now);
        }
    }

    fn send_order(&mut self, node: NodeId, epoch: Epoch, order: NodeOrder, now: Instant) {
        let recent = self.last_orders.get(&node).is_some_and(|(sent_epoch, at)| {
            *sent_epoch == epoch && now.saturating_duration_since(*at) < ORDER_RETRY_INTERVAL
        });
        let remaining =
            self.core.authorities().get(self.core.zone()).and_then(|m| m.remaining(now));
        let timeout =
            Duration::from_millis(self.core.settings.timing.authority_ms / ORDER_TIMEOUT_DIVISOR);
        let in_time = remaining.is_some_and(|remaining| remaining > timeout);
        let Some(address) = self.core.fleet().address(&node) else { return };
        if recent || !in_time {
            return;
        }
        self.last_orders.insert(node.clone(), (epoch, now));
        let order = FencedOrder { owner: self.core.settings.owner.clone(), epoch, order };
        let core = Arc::clone(&self.core);
        let results = self.results.0.clone();
        tokio::spawn(async move {
            let outcome = core.engine.order(address, &order, timeout).await;
            let _ = results.send(OrderResult { node, epoch, outcome });
        });
    }

    fn collect_results(&mut self, now: Instant) {
        let results: Vec<OrderResult> = self.results.1.try_iter().collect();
        for result in results {
            let Err(error) = result.outcome else { continue };
            log::warn!(
                "event=order_failed node={} epoch={} reason={:?}",
                *result.node,
                *result.epoch,
                error.to_string()
            );
            let SendOrderError::Fenced(refusal) = error else { continue };
            if refusal.owner == self.core.settings.owner || refusal.owner.is_empty() {
                self.raise_epoch(refusal.epoch, now);
            } else {
                // Another system owns the node, so it is excluded from planning.
                self.core.fleet_mut().foreign.insert(result.node, refusal.owner);
            }
        }
    }

    /// Raises the table's highest epoch to one that a node already holds.
    fn raise_epoch(&self, node_epoch: Epoch, now: Instant) {
        with_authority(&self.core, self.core.zone(), |member| {
            let behind =
                member.settled_table(now).is_some_and(|table| table.high_epoch < node_epoch);
            if behind {
                member
                    .change_table(|table| table.high_epoch = table.high_epoch.max(node_epoch), now);
            }
        });
    }
}

/// Removes from a plan what follows from the configuration alone: it may be older than the one by
/// which the zone's table was made, or empty.
fn keep_losses(plan: &mut ZonePlan) {
    plan.drains.retain(|drain| drain.reason.is_loss());
    plan.forms.clear();
}

/// Describes how and why a replica is drained.
pub(crate) fn describe_drain(reason: &DrainReason) -> String {
    let how = if reason.is_loss() { "dissolved at once" } else { "drained" };
    format!("{how}: {reason}")
}
