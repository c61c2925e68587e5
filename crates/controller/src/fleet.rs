//! State that a controller keeps of workers, gateways and other controllers, in memory only.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::{MergeOutcome, VersionTimes, WorkerTable};
use hollowbarrow_routing::CrashLedger;
use hollowbarrow_schema::{
    ContentDigest, ControllerHello, ControllerPlace, CrashRecord, DaemonId, GatewayHello,
    GatewayPlace, HeldRequest, WorkerBeat, WorkerId, WorkerLoad, WorkerReport, ZoneId,
};
use tokio::time::Instant;

use crate::certainty::ConfigCertainty;
use crate::delivery::{DeliveryOffer, DeliveryRole, DeliveryState};
use crate::holders::{CONTACT_TIMEOUT, ReachableDaemons};
use crate::liveness::WorkerUse;
use crate::metrics::{GatewayLags, WorkerCounts};
use crate::peer_samples::{PeerCandidate, SampleSchedule, draw_sample};
use crate::quarantine::ReleasedRequests;
use crate::table_hashes::TableHashHistory;
use crate::tables::TableRequests;

/// Heartbeats without a report after which a worker counts as silent. Records that another writer
/// sent under its name are then no longer given precedence over its own reports.
const SILENT_BEATS: u32 = 3;
/// Silence after which nothing is sent to a gateway any more.
const GATEWAY_SILENCE: Duration = Duration::from_secs(5);
/// Age after which the loads and gateway counts that a controller reported are ignored.
const LOADS_VALIDITY: Duration = Duration::from_millis(1500);
/// Consecutive hellos with a differing table hash after which a gateway of the same zone gets the
/// full table.
const SAME_ZONE_MISMATCHES: u32 = 2;
/// The same for a controller, which may become leader and then acts on its table.
const CONTROLLER_MISMATCHES: u32 = 2;
/// The same for a gateway of another zone, to give the controllers of that zone time to send the
/// table first.
const OTHER_ZONE_MISMATCHES: u32 = 6;

/// Time for which a gateway lacks a configuration before that is logged. Deliveries without a fault
/// take less.
const LOGGED_LAG: Duration = Duration::from_millis(1000);

/// Silence after which a gateway is not in samples any more: longer than the interval between the
/// hellos to controllers that are not primary.
const PEER_SILENCE: Duration = Duration::from_secs(2);
/// A gateway that has sent a hello.
#[derive(Clone, Debug)]
struct KnownGateway {
    zone: ZoneId,
    primary: Option<DaemonId>,
    last_received: Instant,
    delivery: DeliveryState,
    /// Whether the last log line on its lag reported it as behind.
    logged_behind: bool,
    mismatches: u32,
    loads: Vec<WorkerLoad>,
    /// Services whose workers it does not reach itself. It needs peers for them.
    unreached: Vec<String>,
    /// When it was last sent a sample of the other gateways.
    samples: SampleSchedule,
}

/// A controller that has sent a hello.
#[derive(Clone, Debug)]
struct KnownController {
    zone: ZoneId,
    last_received: Instant,
    mismatches: u32,
    gateways: u32,
    loads: Vec<WorkerLoad>,
    loads_at: Instant,
}

/// Soft state of a controller; it is rebuilt from reports and hellos after a restart.
#[derive(Debug)]
pub(crate) struct FleetState {
    local: DaemonId,
    zone: ZoneId,
    table: WorkerTable,
    hashes: TableHashHistory,
    table_requests: TableRequests,
    gateways: BTreeMap<DaemonId, KnownGateway>,
    controllers: BTreeMap<DaemonId, KnownController>,
    beats: BTreeMap<WorkerId, u64>,
    /// Requests that crash workers, from the records of all daemons.
    crashes: CrashLedger,
    released: ReleasedRequests,
    served: bool,
}

impl FleetState {
    pub(crate) fn new(local: &DaemonId, zone: &ZoneId) -> Self {
        Self {
            local: local.clone(),
            zone: zone.clone(),
            table: WorkerTable::new(),
            hashes: TableHashHistory::default(),
            table_requests: TableRequests::default(),
            gateways: BTreeMap::new(),
            controllers: BTreeMap::new(),
            beats: BTreeMap::new(),
            crashes: CrashLedger::new().with_observation_since(Instant::now()),
            released: ReleasedRequests::default(),
            served: false,
        }
    }

    pub(crate) fn table(&self) -> &WorkerTable {
        &self.table
    }

    /// Counts workers by their last reported state.
    pub(crate) fn count_workers(&self) -> WorkerCounts {
        let mut counts = WorkerCounts::default();
        for entry in self.table.iter() {
            let count = match (entry.is_available(), entry.report.leaving) {
                (false, _) => &mut counts.gone,
                (_, true) => &mut counts.leaving,
                _ => &mut counts.ready,
            };
            *count += 1;
        }
        counts
    }

    /// Records a worker's own report. A mere renewal goes to other controllers as a beat in the next
    /// hello.
    ///
    /// `heartbeat` is the time between two registrations of the worker.
    pub(crate) fn record_report(
        &mut self,
        report: WorkerReport,
        heartbeat: Duration,
        now: Instant,
    ) -> MergeOutcome {
        let (id, seq) = (report.id.clone(), report.seq);
        let outcome = self.table.merge_direct(report, heartbeat * SILENT_BEATS, now);
        if outcome == MergeOutcome::Renewed {
            self.beats.insert(id, seq);
        }
        outcome
    }

    /// Merges reports from another daemon; returns those that changed the table.
    pub(crate) fn merge(&mut self, reports: &[WorkerReport], now: Instant) -> Vec<WorkerReport> {
        let table = &mut self.table;
        let changed = reports
            .iter()
            .filter(|report| table.merge((*report).clone(), now) == MergeOutcome::Changed);
        changed.cloned().collect()
    }

    /// Daemons from which confirmations can be expected.
    pub(crate) fn reachable(&self, now: Instant) -> ReachableDaemons {
        ReachableDaemons {
            controllers: self.controllers(CONTACT_TIMEOUT, now),
            gateways: self.attached_gateways().into_iter().collect(),
        }
    }

    pub(crate) fn remove(&mut self, id: &WorkerId, now: Instant) -> Option<WorkerReport> {
        self.table.remove(id, now)
    }

    pub(crate) fn expire(&mut self, silence: Duration, now: Instant) {
        self.table.expire(silence, now);
        self.crashes.prune(now);
        self.gateways
            .retain(|_, gateway| now.duration_since(gateway.last_received) < GATEWAY_SILENCE);
    }

    /// Contents that crash workers, with the gateways that may send probe requests.
    pub(crate) fn quarantined(&mut self, now: Instant) -> Vec<HeldRequest> {
        let mut quarantined = self.crashes.quarantined(now);
        self.crashes.grant_probes(&mut quarantined, now);
        quarantined
    }

    /// Number of runs that count against a content.
    pub(crate) fn count_runs(&self, content: ContentDigest) -> usize {
        self.crashes.count_runs(content)
    }

    /// Records of crashes of quarantined requests to publish to gateways now.
    pub(crate) fn evidence_due(
        &mut self,
        quarantined: &[HeldRequest],
        now: Instant,
    ) -> Vec<CrashRecord> {
        self.crashes.evidence_due(quarantined, now)
    }

    /// Releases a request from quarantine because an operator declares it harmless.
    pub(crate) fn release(&mut self, request: ContentDigest, now: Instant) {
        self.crashes.contradict(request, now);
        self.released.record(request, now);
    }

    /// Released requests to include in the next view for gateways.
    pub(crate) fn released(&mut self, now: Instant) -> Vec<HeldRequest> {
        self.released.for_view(now)
    }

    /// Records of crashes to send to the leader now.
    pub(crate) fn crashes_due(&mut self, now: Instant) -> Vec<CrashRecord> {
        self.crashes.due(now)
    }

    /// Records that the table's changes are sent out now.
    pub(crate) fn record_published(&mut self, now: Instant) {
        self.hashes.record(self.table.table_hash(), now);
    }

    /// Daemons to send the full table to now.
    pub(crate) fn tables_due(&mut self, now: Instant) -> Vec<DaemonId> {
        self.table_requests.take_due(now)
    }

    /// Records a gateway's hello; queues the full table for a gateway whose table differs.
    pub(crate) fn record_gateway(&mut self, from: &DaemonId, hello: GatewayHello, now: Instant) {
        self.served |= !hello.loads.is_empty();
        self.crashes.merge(&hello.crashes, now);
        let same_zone = hello.zone == self.zone;
        let table_hash = self.table.table_hash();
        let covered = self.hashes.covers(hello.workers, table_hash, now);
        let former = self.gateways.get(from).map_or(0, |gateway| gateway.mismatches);
        let mismatches = if covered { 0 } else { former + 1 };
        let threshold = match (same_zone, hello.workers) {
            (true, 0) => 1,
            (true, _) => SAME_ZONE_MISMATCHES,
            (false, _) => OTHER_ZONE_MISMATCHES,
        };
        if mismatches >= threshold {
            self.table_requests.request(from);
        }
        let known = self.gateways.get(from);
        let logged_behind = known.is_some_and(|gateway| gateway.logged_behind);
        let mut delivery =
            known.map_or(DeliveryState::new(hello.deployment, now), |gateway| gateway.delivery);
        delivery.record_reported_version(hello.deployment, now);
        let samples = known.map(|gateway| gateway.samples).unwrap_or_default();
        let GatewayHello { zone, home: primary, loads, unreached, .. } = hello;
        let mismatches = mismatches % threshold;
        let gateway = KnownGateway {
            zone,
            primary,
            last_received: now,
            delivery,
            logged_behind,
            mismatches,
            loads,
            unreached,
            samples,
        };
        self.gateways.insert(from.clone(), gateway);
    }

    /// Returns a sample of the other gateways if it is due to be sent to a gateway: from its primary
    /// controller, or from each controller while it has none.
    pub(crate) fn peers_due(&mut self, to: &DaemonId, now: Instant) -> Option<Vec<GatewayPlace>> {
        let gateway = self.gateways.get(to)?;
        let is_primary = gateway.primary.as_ref().is_none_or(|primary| *primary == self.local);
        let needed = !gateway.unreached.is_empty();
        if !is_primary || !gateway.samples.is_due(needed, now) {
            return None;
        }
        let candidates = self.gateways.iter().filter(|(id, other)| {
            *id != to && now.saturating_duration_since(other.last_received) < PEER_SILENCE
        });
        let candidates = candidates.map(|(id, other)| PeerCandidate {
            id,
            zone: &other.zone,
            unreached: &other.unreached,
        });
        let (zone, unreached) = (&gateway.zone, &gateway.unreached);
        let sample = draw_sample(zone, unreached, candidates.collect(), &mut rand::rng());
        let gateway = self.gateways.get_mut(to)?;
        gateway.samples.record(needed, sample.len(), now).then_some(sample)
    }

    /// Logs once when a gateway falls behind for longer than [`LOGGED_LAG`], and once when it has
    /// caught up.
    pub(crate) fn log_lag(&mut self, from: &DaemonId, commits: &VersionTimes, now: Instant) {
        let Some(gateway) = self.gateways.get_mut(from) else { return };
        let lag = gateway.delivery.lag(commits, now);
        let behind = lag > LOGGED_LAG;
        if behind == gateway.logged_behind {
            return;
        }
        gateway.logged_behind = behind;
        let event = if behind { "gateway_behind" } else { "gateway_caught_up" };
        let primary = gateway.primary.as_ref().map_or("none", |primary| primary.as_str());
        log::info!(
            "event={event} gateway={} zone={} home={primary} version={} lag_ms={}",
            **from,
            *gateway.zone,
            gateway.delivery.reported_version(),
            lag.as_millis()
        );
    }

    /// Returns the gateways that have a configuration in force, with the version that each reported.
    pub(crate) fn held_versions(&self) -> Vec<(DaemonId, u64)> {
        let gateways = self.gateways.iter();
        let versions = gateways.map(|(id, known)| (id.clone(), known.delivery.reported_version()));
        versions.filter(|(_, version)| *version > 0).collect()
    }

    /// Counts the gateways that lack a configuration, and returns the longest lag.
    pub(crate) fn gateway_lags(&self, commits: &VersionTimes, now: Instant) -> GatewayLags {
        let lags = self.gateways.values().map(|gateway| gateway.delivery.lag(commits, now));
        let lags: Vec<Duration> = lags.filter(|lag| !lag.is_zero()).collect();
        let longest = lags.iter().max().copied().unwrap_or_default();
        GatewayLags { behind: lags.len() as u64, longest }
    }

    /// Records another controller's hello; queues the full table for one whose table differs.
    pub(crate) fn record_controller(
        &mut self,
        from: &DaemonId,
        hello: ControllerHello,
        now: Instant,
    ) {
        for beat in &hello.beats {
            self.table.renew(beat, now);
        }
        self.served |= hello.served;
        self.crashes.merge(&hello.crashes, now);
        let table_hash = self.table.table_hash();
        let covered = self.hashes.covers(hello.workers, table_hash, now);
        let former = self.controllers.get(from);
        let mismatches = if covered { 0 } else { former.map_or(0, |known| known.mismatches) + 1 };
        let threshold = if hello.workers == 0 { 1 } else { CONTROLLER_MISMATCHES };
        if mismatches >= threshold {
            self.table_requests.request(from);
        }
        let (loads, loads_at) = match (hello.loads, former) {
            (Some(loads), _) => (loads, now),
            (None, Some(known)) => (known.loads.clone(), known.loads_at),
            (None, None) => (Vec::new(), now),
        };
        let controller = KnownController {
            zone: hello.zone,
            last_received: now,
            mismatches: mismatches % threshold,
            gateways: hello.gateways,
            loads,
            loads_at,
        };
        self.controllers.insert(from.clone(), controller);
    }

    /// Takes the registrations renewed since the last call.
    pub(crate) fn take_beats(&mut self) -> Vec<WorkerBeat> {
        let beats = std::mem::take(&mut self.beats);
        let beat = |(id, seq): (WorkerId, u64)| {
            let entry = self.table.get(&id)?;
            let (changed, recount) = (entry.changed, entry.report.recount);
            Some(WorkerBeat { id, seq, recount, changed })
        };
        beats.into_iter().filter_map(beat).collect()
    }

    /// Returns the gateways that this controller sends a configuration to as soon as it is
    /// committed, and records that it is sent to them.
    pub(crate) fn begin_push(&mut self, version: u64, now: Instant) -> Vec<DaemonId> {
        let recipients = self.gateways_matching(|gateway| self.delivers_immediately(gateway));
        for id in &recipients {
            if let Some(gateway) = self.gateways.get_mut(id) {
                gateway.delivery.record_sent(version, now);
            }
        }
        recipients
    }

    /// Returns whether a gateway is to get the newest configuration now, and if so records that it
    /// is sent.
    pub(crate) fn begin_delivery(
        &mut self,
        to: &DaemonId,
        offer: DeliveryOffer,
        certainty: ConfigCertainty,
        commits: &VersionTimes,
        now: Instant,
    ) -> bool {
        let Some(gateway) = self.gateways.get(to) else { return false };
        let held = gateway.delivery.reported_version();
        let immediately = self.delivers_immediately(gateway);
        let Some(role) = DeliveryRole::towards(held, certainty, immediately) else { return false };
        let Some(gateway) = self.gateways.get_mut(to) else { return false };
        let due = gateway.delivery.is_due(offer, role, commits, now);
        if due {
            gateway.delivery.record_sent(offer.version, now);
        }
        due
    }

    /// Records that a configuration could not be sent to a gateway, so that it is sent again in
    /// response to the gateway's next hello.
    pub(crate) fn record_dropped(&mut self, to: &DaemonId) {
        if let Some(gateway) = self.gateways.get_mut(to) {
            gateway.delivery.record_dropped();
        }
    }

    /// Whether this controller sends configurations to a gateway without waiting for others: it is
    /// the gateway's primary controller, or in its zone while the primary is not or there is none.
    /// With a primary in the zone one copy is sent at once, however many controllers the zone has.
    fn delivers_immediately(&self, gateway: &KnownGateway) -> bool {
        match &gateway.primary {
            Some(primary) => {
                *primary == self.local
                    || (gateway.zone == self.zone && self.is_in_other_zone(primary))
            }
            None => gateway.zone == self.zone,
        }
    }

    /// Whether a controller is known to be in another zone.
    fn is_in_other_zone(&self, id: &DaemonId) -> bool {
        self.controllers.get(id).is_some_and(|known| known.zone != self.zone)
    }

    /// Gateways that get worker updates from this controller: those whose primary controller it is,
    /// and those without a primary controller.
    pub(crate) fn attached_gateways(&self) -> Vec<DaemonId> {
        self.gateways_matching(|gateway| self.is_attached(gateway))
    }

    /// Gateways that get the leader's views from this controller: the attached ones, and those of
    /// this zone whose primary controller is in another zone, so that they can switch to this one.
    pub(crate) fn view_gateways(&self) -> Vec<DaemonId> {
        self.gateways_matching(|gateway| {
            let primary_elsewhere =
                gateway.primary.as_ref().is_some_and(|id| self.is_in_other_zone(id));
            self.is_attached(gateway) || (gateway.zone == self.zone && primary_elsewhere)
        })
    }

    fn is_attached(&self, gateway: &KnownGateway) -> bool {
        gateway.primary.as_ref().is_none_or(|primary| *primary == self.local)
    }

    fn gateways_matching(&self, matches: impl Fn(&KnownGateway) -> bool) -> Vec<DaemonId> {
        let gateways = self.gateways.iter().filter(|(_, gateway)| matches(gateway));
        gateways.map(|(id, _)| id.clone()).collect()
    }

    /// Controllers whose last hello is more recent than `within`.
    pub(crate) fn controllers(&self, within: Duration, now: Instant) -> BTreeSet<DaemonId> {
        let recent = |daemon: &KnownController| now.duration_since(daemon.last_received) < within;
        let controllers = self.controllers.iter().filter(|(_, daemon)| recent(daemon));
        controllers.map(|(id, _)| id.clone()).collect()
    }

    /// Zones of all controllers that ever sent a hello, and of this one.
    pub(crate) fn locations(&self) -> Vec<ControllerPlace> {
        let location =
            |id: &DaemonId, zone: &ZoneId| ControllerPlace { id: id.clone(), zone: zone.clone() };
        let others = self.controllers.iter().map(|(id, known)| location(id, &known.zone));
        others.chain([location(&self.local, &self.zone)]).collect()
    }

    /// Whether a gateway has reported a request, to this controller or to one whose hello says so.
    pub(crate) fn has_served(&self) -> bool {
        self.served
    }

    /// Counts the gateways whose primary controller is this one.
    pub(crate) fn count_primary_gateways(&self) -> u32 {
        let primary_here = |gateway: &KnownGateway| gateway.primary.as_ref() == Some(&self.local);
        u32::try_from(self.gateways_matching(primary_here).len()).unwrap_or(u32::MAX)
    }

    /// Sums the requests in flight at each worker over the gateways whose primary controller is this
    /// one.
    pub(crate) fn primary_gateway_loads(&self, now: Instant) -> Vec<WorkerLoad> {
        let primary_here = |gateway: &&KnownGateway| gateway.primary.as_ref() == Some(&self.local);
        let gateways = self.gateways.values().filter(primary_here);
        let uses =
            sum_uses(gateways.map(|gateway| (gateway.loads.as_slice(), gateway.last_received)));
        let elapsed = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        let load = |(worker, sum): (WorkerId, WorkerUse)| WorkerLoad {
            worker,
            active: sum.active,
            waiting_ms: sum.waiting_ms,
            progress_ms: sum.progress.map(elapsed),
        };
        uses.into_iter().map(load).collect()
    }

    /// Counts the gateways of the whole system: those attached here and those that other controllers
    /// reported recently.
    pub(crate) fn count_gateways(&self, now: Instant) -> u32 {
        let recent = |controller: &&KnownController| self.is_recent(controller.last_received, now);
        let others: u32 =
            self.controllers.values().filter(recent).map(|controller| controller.gateways).sum();
        others + u32::try_from(self.attached_gateways().len()).unwrap_or(u32::MAX)
    }

    /// Sums the requests in flight at each worker over all gateways.
    pub(crate) fn uses(&self, now: Instant) -> BTreeMap<WorkerId, WorkerUse> {
        let gateways = self.gateways.values().filter(|gateway| self.is_attached(gateway));
        let controllers =
            self.controllers.values().filter(|controller| self.is_recent(controller.loads_at, now));
        let attached = gateways.map(|gateway| (gateway.loads.as_slice(), gateway.last_received));
        let relayed = controllers.map(|known| (known.loads.as_slice(), known.loads_at));
        sum_uses(attached.chain(relayed))
    }

    fn is_recent(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) < LOADS_VALIDITY
    }
}

/// Sums loads, each list with the time at which it was received.
fn sum_uses<'a>(
    reported: impl Iterator<Item = (&'a [WorkerLoad], Instant)>,
) -> BTreeMap<WorkerId, WorkerUse> {
    let mut uses: BTreeMap<WorkerId, WorkerUse> = BTreeMap::new();
    for (loads, at) in reported {
        for load in loads {
            let sum = uses.entry(load.worker.clone()).or_default();
            sum.active += load.active;
            sum.waiting_ms += load.waiting_ms;
            let elapsed = load.progress_ms.map(|ms| Duration::from_millis(ms.into()));
            let progress = elapsed.and_then(|elapsed| at.checked_sub(elapsed));
            sum.progress = sum.progress.max(progress);
        }
    }
    uses
}
