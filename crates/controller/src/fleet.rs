//! What a controller knows of workers, gateways and other controllers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_fleet::{MergeOutcome, WorkerTable};
use hollowbarrow_schema::{
    ControllerHello, DaemonId, GatewayHello, WorkerBeat, WorkerId, WorkerLoad, WorkerReport, ZoneId,
};
use tokio::time::Instant;

use crate::liveness::WorkerUse;

/// Silence after which a daemon is not written to any more.
const DAEMON_SILENCE: Duration = Duration::from_secs(5);
/// Hellos with another digest after which a daemon of the same zone gets the whole table.
const NEAR_MISMATCHES: u32 = 2;
/// The same for a controller, which may have to lead with what it knows.
const CONTROLLER_MISMATCHES: u32 = 1;
/// The same for a daemon of another zone, whose own controller comes first.
const FAR_MISMATCHES: u32 = 6;

/// A daemon that was heard of.
#[derive(Clone, Debug)]
struct HeardDaemon {
    zone: ZoneId,
    heard: Instant,
    mismatches: u32,
    loads: Vec<WorkerLoad>,
    lost_disk: bool,
}

impl HeardDaemon {
    fn new(zone: &ZoneId, heard: Instant) -> Self {
        let zone = zone.clone();
        Self { zone, heard, mismatches: 0, loads: Vec::new(), lost_disk: false }
    }
}

/// Soft state of a controller.
#[derive(Debug)]
pub(crate) struct FleetState {
    zone: ZoneId,
    table: WorkerTable,
    gateways: BTreeMap<DaemonId, HeardDaemon>,
    controllers: BTreeMap<DaemonId, HeardDaemon>,
    beats: BTreeMap<WorkerId, u64>,
    served: bool,
}

impl FleetState {
    pub(crate) fn new(zone: &ZoneId) -> Self {
        Self {
            zone: zone.clone(),
            table: WorkerTable::new(),
            gateways: BTreeMap::new(),
            controllers: BTreeMap::new(),
            beats: BTreeMap::new(),
            served: false,
        }
    }

    pub(crate) fn table(&self) -> &WorkerTable {
        &self.table
    }

    /// Takes a worker's own report in; one that only renews is told to other controllers later.
    pub(crate) fn take_report(&mut self, report: WorkerReport, now: Instant) -> MergeOutcome {
        let (id, seq) = (report.id.clone(), report.seq);
        let outcome = self.table.merge(report, now);
        if outcome == MergeOutcome::Renewed {
            self.beats.insert(id, seq);
        }
        outcome
    }

    /// Takes reports in that another controller passed on; true where one was news.
    pub(crate) fn merge(&mut self, reports: Vec<WorkerReport>, now: Instant) -> bool {
        let mut changed = false;
        for report in reports {
            changed |= self.table.merge(report, now) == MergeOutcome::Changed;
        }
        changed
    }

    pub(crate) fn remove(&mut self, id: &WorkerId, now: Instant) -> Option<WorkerReport> {
        self.table.remove(id, now)
    }

    pub(crate) fn expire(&mut self, silence: Duration, now: Instant) {
        self.table.expire(silence, now);
        let heard = |daemon: &HeardDaemon| now.duration_since(daemon.heard) < DAEMON_SILENCE;
        self.gateways.retain(|_, daemon| heard(daemon));
    }

    /// Takes a gateway's hello; true where it needs the whole table.
    pub(crate) fn take_gateway(
        &mut self,
        from: &DaemonId,
        hello: GatewayHello,
        now: Instant,
    ) -> bool {
        self.served |= !hello.loads.is_empty();
        let (near, own) = (hello.zone == self.zone, self.table.digest());
        let daemon =
            self.gateways.entry(from.clone()).or_insert_with(|| HeardDaemon::new(&hello.zone, now));
        daemon.heard = now;
        daemon.loads = hello.loads;
        let most = match (near, hello.workers) {
            (true, 0) => 1,
            (true, _) => NEAR_MISMATCHES,
            (false, _) => FAR_MISMATCHES,
        };
        count_mismatch(daemon, most, hello.workers, own)
    }

    /// Takes another controller's hello; true where it needs the whole table.
    pub(crate) fn take_controller(
        &mut self,
        from: &DaemonId,
        hello: &ControllerHello,
        now: Instant,
    ) -> bool {
        for beat in &hello.beats {
            self.table.renew(beat, now);
        }
        let own = self.table.digest();
        let daemon = self
            .controllers
            .entry(from.clone())
            .or_insert_with(|| HeardDaemon::new(&hello.zone, now));
        daemon.heard = now;
        daemon.lost_disk = hello.lost_disk;
        count_mismatch(daemon, CONTROLLER_MISMATCHES, hello.workers, own)
    }

    /// Renewed registrations since the last call.
    pub(crate) fn take_beats(&mut self) -> Vec<WorkerBeat> {
        let beats = std::mem::take(&mut self.beats);
        beats.into_iter().map(|(id, seq)| WorkerBeat { id, seq }).collect()
    }

    /// Gateways to tell something, those of this zone only or all.
    pub(crate) fn gateways(&self, near_only: bool) -> Vec<DaemonId> {
        let wanted = |daemon: &HeardDaemon| !near_only || daemon.zone == self.zone;
        let heard = self.gateways.iter().filter(|(_, daemon)| wanted(daemon));
        heard.map(|(id, _)| id.clone()).collect()
    }

    /// Controllers that were heard of within a time.
    pub(crate) fn controllers(&self, within: Duration, now: Instant) -> BTreeSet<DaemonId> {
        let heard = |daemon: &HeardDaemon| now.duration_since(daemon.heard) < within;
        let controllers = self.controllers.iter().filter(|(_, daemon)| heard(daemon));
        controllers.map(|(id, _)| id.clone()).collect()
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

    /// Requests under way at each worker.
    pub(crate) fn uses(&self) -> BTreeMap<WorkerId, WorkerUse> {
        let mut uses: BTreeMap<WorkerId, WorkerUse> = BTreeMap::new();
        for daemon in self.gateways.values() {
            for load in &daemon.loads {
                let sum = uses.entry(load.worker.clone()).or_default();
                sum.active += load.active;
                sum.waiting_ms += load.waiting_ms;
                let elapsed = load.progress_ms.map(|ms| Duration::from_millis(ms.into()));
                let progress = elapsed.and_then(|elapsed| daemon.heard.checked_sub(elapsed));
                sum.progress = sum.progress.max(progress);
            }
        }
        uses
    }
}

/// Counts hellos with another digest; true where there were so many that the table is due.
fn count_mismatch(daemon: &mut HeardDaemon, most: u32, digest: u64, own: u64) -> bool {
    if digest == own {
        daemon.mismatches = 0;
        return false;
    }
    daemon.mismatches += 1;
    if daemon.mismatches < most {
        return false;
    }
    daemon.mismatches = 0;
    true
}
