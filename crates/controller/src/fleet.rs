//! What a controller knows of workers, gateways and other controllers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::{MergeOutcome, VersionTimes, WorkerTable};
use hollowbarrow_routing::CrashLedger;
use hollowbarrow_schema::{
    ControllerHello, ControllerPlace, CrashRecord, DaemonId, GatewayHello, HeldRequest,
    RequestDigest, WorkerBeat, WorkerId, WorkerLoad, WorkerReport, ZoneId,
};
use tokio::time::Instant;

use crate::delivery::{DeliveryOffer, DeliveryPlace, DeliveryState};
use crate::digests::DigestHistory;
use crate::held::ReleasedRequests;
use crate::liveness::WorkerUse;
use crate::metrics::{GatewayLags, WorkerCounts};
use crate::tables::TableRequests;
use crate::telling::TellBasis;

/// Heartbeats without which a worker counts as silent, so that what another writer told under its
/// name is not held against it any longer.
const SILENT_BEATS: u32 = 3;
/// Silence after which a daemon is not written to any more.
const DAEMON_SILENCE: Duration = Duration::from_secs(5);
/// Silence after which what a controller told of its gateways counts no more.
const LOADS_SILENCE: Duration = Duration::from_millis(1500);
/// Hellos with another digest after which a daemon of the same zone gets the whole table.
const NEAR_MISMATCHES: u32 = 2;
/// The same for a controller, which may have to lead with what it knows.
const CONTROLLER_MISMATCHES: u32 = 2;
/// The same for a daemon of another zone, whose own controller comes first.
const FAR_MISMATCHES: u32 = 6;

/// Time for which a gateway lacks a configuration before that is logged: longer than any delivery
/// without a fault takes.
const LOGGED_LAG: Duration = Duration::from_millis(1000);

/// A gateway that was heard of.
#[derive(Clone, Debug)]
struct HeardGateway {
    zone: ZoneId,
    home: Option<DaemonId>,
    heard: Instant,
    delivery: DeliveryState,
    /// Whether it was logged as behind.
    logged_behind: bool,
    mismatches: u32,
    loads: Vec<WorkerLoad>,
}

/// A controller that was heard of.
#[derive(Clone, Debug)]
struct HeardController {
    zone: ZoneId,
    heard: Instant,
    mismatches: u32,
    lost_disk: bool,
    gateways: u32,
    loads: Vec<WorkerLoad>,
    loads_at: Instant,
}

/// Soft state of a controller.
#[derive(Debug)]
pub(crate) struct FleetState {
    own: DaemonId,
    zone: ZoneId,
    table: WorkerTable,
    digests: DigestHistory,
    tables: TableRequests,
    gateways: BTreeMap<DaemonId, HeardGateway>,
    controllers: BTreeMap<DaemonId, HeardController>,
    beats: BTreeMap<WorkerId, u64>,
    /// Requests that end workers, as all daemons told.
    crashes: CrashLedger,
    released: ReleasedRequests,
    served: bool,
}

impl FleetState {
    pub(crate) fn new(own: &DaemonId, zone: &ZoneId) -> Self {
        Self {
            own: own.clone(),
            zone: zone.clone(),
            table: WorkerTable::new(),
            digests: DigestHistory::default(),
            tables: TableRequests::default(),
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

    /// Workers by what they last said.
    pub(crate) fn count_workers(&self) -> WorkerCounts {
        let mut counts = WorkerCounts::default();
        for entry in self.table.iter() {
            let count = match (entry.is_there(), entry.report.leaving) {
                (false, _) => &mut counts.gone,
                (_, true) => &mut counts.leaving,
                _ => &mut counts.ready,
            };
            *count += 1;
        }
        counts
    }

    /// Takes a worker's own report in; one that only renews is told to other controllers later.
    ///
    /// `heartbeat` is the time between two of its calls.
    pub(crate) fn take_report(
        &mut self,
        report: WorkerReport,
        heartbeat: Duration,
        now: Instant,
    ) -> MergeOutcome {
        let (id, seq) = (report.id.clone(), report.seq);
        let outcome = self.table.merge_own(report, heartbeat * SILENT_BEATS, now);
        if outcome == MergeOutcome::Renewed {
            self.beats.insert(id, seq);
        }
        outcome
    }

    /// Takes reports in that another controller passed on; returns those that were news.
    pub(crate) fn merge(&mut self, reports: Vec<WorkerReport>, now: Instant) -> Vec<WorkerReport> {
        let mut changed = reports;
        changed.retain(|report| self.table.merge(report.clone(), now) == MergeOutcome::Changed);
        changed
    }

    pub(crate) fn remove(&mut self, id: &WorkerId, now: Instant) -> Option<WorkerReport> {
        self.table.remove(id, now)
    }

    pub(crate) fn expire(&mut self, silence: Duration, now: Instant) {
        self.table.expire(silence, now);
        self.crashes.prune(now);
        self.gateways.retain(|_, gateway| now.duration_since(gateway.heard) < DAEMON_SILENCE);
    }

    /// Requests that end workers, as all daemons told.
    pub(crate) fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// Takes an operator's word that a request does no harm.
    pub(crate) fn release(&mut self, request: RequestDigest, now: Instant) {
        self.crashes.contradict(request, now);
        self.released.note(request, now);
    }

    /// What gateways are told of requests that operators have let go.
    pub(crate) fn released(&mut self, now: Instant) -> Vec<HeldRequest> {
        self.released.told(now)
    }

    /// Records of such requests to pass on now.
    pub(crate) fn crashes_due(&mut self, now: Instant) -> Vec<CrashRecord> {
        self.crashes.due(now)
    }

    /// Notes that what is new in the table goes out.
    pub(crate) fn note_told(&mut self, now: Instant) {
        self.digests.note(self.table.digest(), now);
    }

    /// Daemons to send the whole table to now.
    pub(crate) fn tables_due(&mut self, now: Instant) -> Vec<DaemonId> {
        self.tables.take(now)
    }

    /// Takes a gateway's hello; one that lacks something will get the whole table.
    pub(crate) fn take_gateway(&mut self, from: &DaemonId, hello: GatewayHello, now: Instant) {
        self.served |= !hello.loads.is_empty();
        self.crashes.merge(&hello.crashes, now);
        let near = hello.zone == self.zone;
        let own = self.table.digest();
        let covered = self.digests.covers(hello.workers, own, now);
        let former = self.gateways.get(from).map_or(0, |gateway| gateway.mismatches);
        let mismatches = if covered { 0 } else { former + 1 };
        let most = match (near, hello.workers) {
            (true, 0) => 1,
            (true, _) => NEAR_MISMATCHES,
            (false, _) => FAR_MISMATCHES,
        };
        if mismatches >= most {
            self.tables.ask(from);
        }
        let held = self.gateways.get(from);
        let logged_behind = held.is_some_and(|gateway| gateway.logged_behind);
        let mut delivery =
            held.map_or(DeliveryState::new(hello.deployment, now), |gateway| gateway.delivery);
        delivery.note_held(hello.deployment, now);
        let GatewayHello { zone, home, loads, .. } = hello;
        let mismatches = mismatches % most;
        let gateway =
            HeardGateway { zone, home, heard: now, delivery, logged_behind, mismatches, loads };
        self.gateways.insert(from.clone(), gateway);
    }

    /// Logs once when a gateway stays behind, and once when it has caught up.
    pub(crate) fn log_lag(&mut self, from: &DaemonId, commits: &VersionTimes, now: Instant) {
        let Some(gateway) = self.gateways.get_mut(from) else { return };
        let lag = gateway.delivery.lag(commits, now);
        let behind = lag > LOGGED_LAG;
        if behind == gateway.logged_behind {
            return;
        }
        gateway.logged_behind = behind;
        let event = if behind { "gateway_behind" } else { "gateway_caught_up" };
        let home = gateway.home.as_ref().map_or("none", |home| home.as_str());
        log::info!(
            "event={event} gateway={} zone={} home={home} version={} lag_ms={}",
            **from,
            *gateway.zone,
            gateway.delivery.held(),
            lag.as_millis()
        );
    }

    /// How many gateways lack a configuration, and for how long.
    pub(crate) fn gateway_lags(&self, commits: &VersionTimes, now: Instant) -> GatewayLags {
        let lags = self.gateways.values().map(|gateway| gateway.delivery.lag(commits, now));
        let lags: Vec<Duration> = lags.filter(|lag| !lag.is_zero()).collect();
        let longest = lags.iter().max().copied().unwrap_or_default();
        GatewayLags { behind: lags.len() as u64, longest }
    }

    /// Takes another controller's hello; one that lacks something will get the whole table.
    pub(crate) fn take_controller(
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
        let own = self.table.digest();
        let covered = self.digests.covers(hello.workers, own, now);
        let former = self.controllers.get(from);
        let mismatches = if covered { 0 } else { former.map_or(0, |held| held.mismatches) + 1 };
        let most = if hello.workers == 0 { 1 } else { CONTROLLER_MISMATCHES };
        if mismatches >= most {
            self.tables.ask(from);
        }
        let (loads, loads_at) = match (hello.loads, former) {
            (Some(loads), _) => (loads, now),
            (None, Some(held)) => (held.loads.clone(), held.loads_at),
            (None, None) => (Vec::new(), now),
        };
        let controller = HeardController {
            zone: hello.zone,
            heard: now,
            mismatches: mismatches % most,
            lost_disk: hello.lost_disk,
            gateways: hello.gateways,
            loads,
            loads_at,
        };
        self.controllers.insert(from.clone(), controller);
    }

    /// Renewed registrations since the last call.
    pub(crate) fn take_beats(&mut self) -> Vec<WorkerBeat> {
        let beats = std::mem::take(&mut self.beats);
        let beat = |(id, seq): (WorkerId, u64)| {
            let entry = self.table.get(&id)?;
            let (changed, recount) = (entry.changed, entry.report.recount);
            Some(WorkerBeat { id, seq, recount, changed })
        };
        beats.into_iter().filter_map(beat).collect()
    }

    /// Gateways that this controller tells of a configuration as soon as it is committed; notes
    /// that it goes out to them.
    pub(crate) fn begin_push(&mut self, version: u64, now: Instant) -> Vec<DaemonId> {
        let prompt = self.gateways_where(|gateway| self.is_prompt_for(gateway));
        for id in &prompt {
            if let Some(gateway) = self.gateways.get_mut(id) {
                gateway.delivery.note_sent(version, now);
            }
        }
        prompt
    }

    /// Whether a gateway is to get the newest configuration now; notes that it goes out if so.
    pub(crate) fn begin_delivery(
        &mut self,
        to: &DaemonId,
        offer: DeliveryOffer,
        basis: TellBasis,
        commits: &VersionTimes,
        now: Instant,
    ) -> bool {
        let Some(gateway) = self.gateways.get(to) else { return false };
        let place = match (basis, self.is_prompt_for(gateway)) {
            (TellBasis::Nothing, _) => return false,
            (TellBasis::Unconfirmed, _) => DeliveryPlace::Unsure,
            (TellBasis::Complete, true) => DeliveryPlace::Near,
            (TellBasis::Complete, false) => DeliveryPlace::Far,
        };
        let Some(gateway) = self.gateways.get_mut(to) else { return false };
        let due = gateway.delivery.is_due(offer, place, commits, now);
        if due {
            gateway.delivery.note_sent(offer.version, now);
        }
        due
    }

    /// Notes that a configuration could not be sent to a gateway, so that its next report is
    /// answered with it.
    pub(crate) fn note_dropped(&mut self, to: &DaemonId) {
        if let Some(gateway) = self.gateways.get_mut(to) {
            gateway.delivery.note_dropped();
        }
    }

    /// Whether this controller tells a gateway of a configuration without waiting for others: one
    /// copy goes at once, however many controllers the zone has.
    fn is_prompt_for(&self, gateway: &HeardGateway) -> bool {
        match &gateway.home {
            Some(home) => *home == self.own || (gateway.zone == self.zone && self.is_far(home)),
            None => gateway.zone == self.zone,
        }
    }

    /// Whether a controller is known to be in another zone.
    fn is_far(&self, id: &DaemonId) -> bool {
        self.controllers.get(id).is_some_and(|held| held.zone != self.zone)
    }

    /// Gateways that hear of workers from this controller: those whose home it is, and those that
    /// look for one.
    pub(crate) fn attached_gateways(&self) -> Vec<DaemonId> {
        self.gateways_where(|gateway| self.serves(gateway))
    }

    /// Gateways that hear the leader's views from this controller: the attached ones, and those
    /// of this zone whose home is in another one, so that they may come here.
    pub(crate) fn view_gateways(&self) -> Vec<DaemonId> {
        self.gateways_where(|gateway| {
            let homed_far = gateway.home.as_ref().is_some_and(|home| self.is_far(home));
            self.serves(gateway) || (gateway.zone == self.zone && homed_far)
        })
    }

    fn serves(&self, gateway: &HeardGateway) -> bool {
        gateway.home.as_ref().is_none_or(|home| *home == self.own)
    }

    fn gateways_where(&self, wanted: impl Fn(&HeardGateway) -> bool) -> Vec<DaemonId> {
        let gateways = self.gateways.iter().filter(|(_, gateway)| wanted(gateway));
        gateways.map(|(id, _)| id.clone()).collect()
    }

    /// Controllers that were heard of within a time.
    pub(crate) fn controllers(&self, within: Duration, now: Instant) -> BTreeSet<DaemonId> {
        let heard = |daemon: &HeardController| now.duration_since(daemon.heard) < within;
        let controllers = self.controllers.iter().filter(|(_, daemon)| heard(daemon));
        controllers.map(|(id, _)| id.clone()).collect()
    }

    /// Controllers that were ever heard of, and where they are; this one is among them.
    pub(crate) fn places(&self) -> Vec<ControllerPlace> {
        let place =
            |id: &DaemonId, zone: &ZoneId| ControllerPlace { id: id.clone(), zone: zone.clone() };
        let others = self.controllers.iter().map(|(id, held)| place(id, &held.zone));
        others.chain([place(&self.own, &self.zone)]).collect()
    }

    /// Controllers that said that their disk came back empty.
    pub(crate) fn lost_disks(&self) -> Vec<DaemonId> {
        let lost = self.controllers.iter().filter(|(_, daemon)| daemon.lost_disk);
        lost.map(|(id, _)| id.clone()).collect()
    }

    /// Whether any gateway has ever told of a request.
    pub(crate) fn has_served(&self) -> bool {
        self.served
    }

    /// Gateways whose home is this controller.
    pub(crate) fn count_homed(&self) -> u32 {
        let homed = |gateway: &HeardGateway| gateway.home.as_ref() == Some(&self.own);
        u32::try_from(self.gateways_where(homed).len()).unwrap_or(u32::MAX)
    }

    /// What the gateways whose home is this controller have under way, by worker.
    pub(crate) fn homed_loads(&self, now: Instant) -> Vec<WorkerLoad> {
        let homed = |gateway: &&HeardGateway| gateway.home.as_ref() == Some(&self.own);
        let gateways = self.gateways.values().filter(homed);
        let uses = sum_uses(gateways.map(|gateway| (gateway.loads.as_slice(), gateway.heard)));
        let elapsed = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        let load = |(worker, sum): (WorkerId, WorkerUse)| WorkerLoad {
            worker,
            active: sum.active,
            waiting_ms: sum.waiting_ms,
            progress_ms: sum.progress.map(elapsed),
        };
        uses.into_iter().map(load).collect()
    }

    /// Gateways of the whole system, as far as controllers told.
    pub(crate) fn count_gateways(&self, now: Instant) -> u32 {
        let recent = |held: &&HeardController| self.is_recent(held.heard, now);
        let others: u32 = self.controllers.values().filter(recent).map(|held| held.gateways).sum();
        others + u32::try_from(self.attached_gateways().len()).unwrap_or(u32::MAX)
    }

    /// Requests under way at each worker, over all gateways.
    pub(crate) fn uses(&self, now: Instant) -> BTreeMap<WorkerId, WorkerUse> {
        let gateways = self.gateways.values().filter(|gateway| self.serves(gateway));
        let controllers =
            self.controllers.values().filter(|held| self.is_recent(held.loads_at, now));
        let told = gateways.map(|gateway| (gateway.loads.as_slice(), gateway.heard));
        let passed_on = controllers.map(|held| (held.loads.as_slice(), held.loads_at));
        sum_uses(told.chain(passed_on))
    }

    fn is_recent(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) < LOADS_SILENCE
    }
}

/// Adds up loads that were told at some time each.
fn sum_uses<'a>(
    told: impl Iterator<Item = (&'a [WorkerLoad], Instant)>,
) -> BTreeMap<WorkerId, WorkerUse> {
    let mut uses: BTreeMap<WorkerId, WorkerUse> = BTreeMap::new();
    for (loads, at) in told {
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
