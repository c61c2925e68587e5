//! Random disturbances of real processes, by signals and by proxies on the links between daemons.
//!
//! The run checks that under any disturbance each caller gets only its own complete answer, that a
//! non-idempotent request runs at most once, that a request reported as not run did not run, that
//! no replica serves without each of its members, that no worker is in two replicas, that no
//! acknowledged configuration is lost or replaced by an older one in a read, and that no gateway
//! denies the existence of an acknowledged route. After the disturbances, while configuration
//! changes continue, each gateway must reach the acknowledged configuration, and all routes must be
//! served again.
//!
//! A longer plan adds a series of lost disks, each followed by a loss of all power with another lost
//! disk; see `disk_losses`.
//!
//! CI runs a few fixed seeds. `HOLLOWBARROW_SOAK_RUNS=50` runs that number of fresh seeds, and
//! `HOLLOWBARROW_SOAK_SEED=N` runs one given seed, each in both plans.
//! `HOLLOWBARROW_SOAK_GATEWAYS=120` sets the number of gateways for both (at most 200); such large
//! runs need a release build.

mod disk_losses;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use tokio::time::Instant;

use crate::disturbance::{
    DISTURBED_TIME, Disturbance, DisturbanceKind, LOST_DISKS_TIME, draw_disk_losses,
    draw_disturbances,
};
use crate::fleet::Fleet;
use crate::foreign::{foreign_records, send_record};
use crate::losses::{LossId, Losses};
use crate::notices::NoticeEvent;
use crate::observer::{
    Observer, probe_removed_routes, probe_routes, read_changes, send_changes, send_load,
};
use crate::system::{
    CONTROLLERS, KEY, Layout, Signal, System, call_gateway_with_body, call_gateway_with_parts,
    configuration,
};
use crate::worker::{CRASHING_BODY, CRASHING_PART, SHARED_PART, Worker};
use disk_losses::DiskLosses;

/// Environment variable with the number of fresh seeds to run.
const RUNS: &str = "HOLLOWBARROW_SOAK_RUNS";
/// Environment variable with a single seed to run.
const SEED: &str = "HOLLOWBARROW_SOAK_SEED";
/// Environment variable with the number of gateways.
const GATEWAYS: &str = "HOLLOWBARROW_SOAK_GATEWAYS";
/// Highest number of gateways that fits into the address range of one system.
const MAX_GATEWAYS: u64 = 200;
/// First address block of the soak's systems.
const FIRST_BLOCK: u8 = 100;
/// Number of engine workers in each zone.
const ENGINES: usize = 5;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Version of the first configuration.
const FIRST_VERSION: u64 = 3;
/// Number of changes after the disturbances within which every gateway must have the configuration
/// acknowledged before. A daemon that has just been resumed needs a few changes until it is
/// connected again.
const MAX_CHANGES: u64 = 80;
/// Interval between two polls of a gateway's configuration version.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a slow link.
const LINK_DELAY: Duration = Duration::from_millis(250);
/// Pause between two foreign records, and between two crashing requests.
const FOREIGN_PAUSE: Duration = Duration::from_millis(150);
/// Number of times that a crashing request is sent.
const CRASHING_REQUESTS: usize = 6;
/// Number of crashes after which a request, and a part of prompts, must be known to crash workers.
const KNOWN_REQUEST: usize = 3;
const KNOWN_PART: usize = 5;
/// Different parts that crash workers, and requests with one of them that are sent one after the
/// other.
const CRASHING_PARTS: usize = 3;
const PART_REQUESTS: usize = 12;
/// Time after that crash within which all gateways must have quarantined the content.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Number of duplicates that may be sent after that, over all gateways.
const MAX_LATE: usize = 3;
/// Duplicates in one burst, and number of distinct requests that are sent in bursts.
const BURST_DUPLICATES: usize = 30;
const BURST_REQUESTS: usize = 3;
/// Time for which a leaving worker still serves.
const DRAIN_TIME: Duration = Duration::from_millis(600);
/// The same for a worker that does not report to controllers that it is leaving. It is longer than
/// the time in which requests may still arrive.
const UNREPORTED_DRAIN_TIME: Duration = Duration::from_millis(3500);
/// Shortest backoff of a worker that rejects requests. Each disturbance adds up to two seconds.
const BACKOFF: Duration = Duration::from_secs(1);
/// Limits that workers state, in requests per second.
const LIMITS: [&str; 4] = ["0.5", "2", "5", "12.5"];
/// Time for which a limit is stated beyond the duration of the disturbance. Limits are checked only
/// some time after they were first stated, and over windows of several seconds.
const LIMITED_TIME: Duration = Duration::from_secs(6);

/// How the connections of a gateway to workers fail.
const CUT_MODES: [FaultMode; 3] =
    [FaultMode::Unreachable, FaultMode::NoNewConnections, FaultMode::Disconnect];
/// Time for which a gateway is partitioned from workers beyond the duration of the disturbance.
const CUT_TIME: Duration = Duration::from_secs(3);

/// Which disturbances a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plan {
    /// Disturbances that start within [`DISTURBED_TIME`].
    Short,
    /// A series of lost disks beside the others, until that series is over.
    LostDisks,
}

/// A disturbance that has begun.
struct Running {
    end: Instant,
    disturbance: Disturbance,
    losses: Vec<LossId>,
}

impl Running {
    /// Whether the disturbance ends by starting or resuming a daemon.
    fn is_of_process(&self) -> bool {
        matches!(
            self.disturbance.kind,
            DisturbanceKind::Kill
                | DisturbanceKind::Freeze
                | DisturbanceKind::Terminate
                | DisturbanceKind::KillControllers
        )
    }
}

/// A system, its workers and the state of the disturbances.
struct Soak {
    system: System,
    fleet: Arc<Fleet>,
    engines: Vec<(Arc<Worker>, &'static str)>,
    plain: Vec<Arc<Worker>>,
    started_engines: usize,
    /// Controller whose disk was lost last. No other disk may be lost until it is a voter again.
    wiped: Option<usize>,
    /// Daemons that are stopped, suspended or terminating, each under one disturbance.
    down: Vec<usize>,
    /// Gateways that are partitioned from all workers, each under one disturbance.
    cut: Vec<usize>,
    /// Times of the power losses, at which all daemons lost their records of crashing requests.
    power_lost_at: Vec<Instant>,
    plan: Plan,
    started: Instant,
    losses: Arc<Losses>,
    /// The series of lost disks, over from the start in a run without one.
    disk_losses: DiskLosses,
}

impl Soak {
    fn start(block: u8, layout: Layout, plan: Plan) -> Self {
        let system = System::start_with(block, layout);
        let fleet = Fleet::with_fronts(system.controllers.clone());
        let mut soak = Self {
            system,
            fleet,
            engines: Vec::new(),
            plain: Vec::new(),
            started_engines: 0,
            wiped: None,
            down: Vec::new(),
            cut: Vec::new(),
            power_lost_at: Vec::new(),
            plan,
            started: Instant::now(),
            losses: Arc::default(),
            disk_losses: DiskLosses::new(Vec::new()),
        };
        for zone in ZONES {
            for _ in 0..ENGINES {
                let worker = soak.start_engine(zone);
                soak.engines.push((worker, zone));
            }
            let id = format!("plain-{zone}");
            let worker = Worker::start_with_start_time(&soak.fleet, &id, "bookings", false, zone);
            soak.plain.push(worker);
        }
        soak
    }

    fn start_engine(&mut self, zone: &'static str) -> Arc<Worker> {
        self.started_engines += 1;
        let id = format!("engine-{zone}-{}", self.started_engines);
        Worker::start_with_start_time(&self.fleet, &id, "models", true, zone)
    }

    fn replace_worker(&mut self, index: usize) {
        let zone = self.engines[index].1;
        self.engines[index].0.kill();
        let worker = self.start_engine(zone);
        self.engines[index] = (worker, zone);
    }

    /// Begins a disturbance. Returns false if the system cannot tolerate it now or if it overlaps
    /// another one of the same daemon.
    fn begin(&mut self, disturbance: &Disturbance) -> bool {
        let daemon = disturbance.first % self.system.daemon_count();
        let controller = disturbance.first % CONTROLLERS;
        let worker = &self.engines[disturbance.first % self.engines.len()].0;
        match disturbance.kind {
            DisturbanceKind::Kill => self.take_down(daemon, Signal::Kill),
            DisturbanceKind::Freeze => self.take_down(daemon, Signal::Stop),
            DisturbanceKind::Terminate => self.take_down(daemon, Signal::Terminate),
            DisturbanceKind::Wipe => {
                if !self.can_lose_disk() || !self.take_down(controller, Signal::Kill) {
                    return false;
                }
                self.wiped = Some(controller);
                true
            }
            DisturbanceKind::LosePower => {
                if !self.down.is_empty() || !self.can_lose_disk() {
                    return false;
                }
                let daemons = 0..self.system.daemon_count();
                daemons.for_each(|daemon| assert!(self.take_down(daemon, Signal::Kill)));
                self.power_lost_at.push(Instant::now());
                self.wiped = Some(controller);
                true
            }
            DisturbanceKind::CutWorkers => self.cut_workers(disturbance),
            DisturbanceKind::KillControllers => {
                let free = (0..CONTROLLERS).all(|daemon| !self.down.contains(&daemon));
                free && (0..CONTROLLERS).all(|daemon| self.take_down(daemon, Signal::Kill))
            }
            DisturbanceKind::IsolateDaemon => self.isolate(daemon, FaultMode::Blackhole),
            DisturbanceKind::SilenceLink => self.set_link(disturbance, FaultMode::Blackhole),
            DisturbanceKind::CloseLink => self.set_link(disturbance, FaultMode::Disconnect),
            DisturbanceKind::DelayLink => self.set_link(disturbance, FaultMode::Delay(LINK_DELAY)),
            DisturbanceKind::KillWorker => {
                worker.kill();
                true
            }
            DisturbanceKind::PartitionWorker => {
                worker.set_partitioned(true);
                true
            }
            DisturbanceKind::LateOrders => {
                worker.set_late_orders(true);
                true
            }
            DisturbanceKind::DrainWorker => {
                worker.leave();
                true
            }
            DisturbanceKind::RestartWorker => {
                worker.kill();
                true
            }
            DisturbanceKind::RestartWorkerAtOnce if worker.is_stopped() => false,
            DisturbanceKind::RestartWorkerAtOnce => {
                worker.kill();
                // The old port may still be in use.
                let next = worker.start_next_instance(true);
                let index = disturbance.first % self.engines.len();
                self.engines[index].0 = next;
                true
            }
            DisturbanceKind::ForeignRecords => {
                tokio::spawn(send_foreign(worker.id.clone(), self.system.controllers.clone()));
                true
            }
            DisturbanceKind::RejectRequests => {
                let more = Duration::from_millis(disturbance.second as u64 * 2);
                self.worker(disturbance).set_rejecting(Some(BACKOFF + more));
                true
            }
            DisturbanceKind::SetLimit => {
                let limit = LIMITS[disturbance.second % LIMITS.len()];
                self.worker(disturbance).set_limit(Some(limit));
                true
            }
            DisturbanceKind::LeaveUnreported => {
                worker.leave_unreported();
                true
            }
            DisturbanceKind::CrashingBurst => {
                let gateways = self.system.gateways.clone();
                tokio::spawn(send_crashing_burst(disturbance.second, gateways));
                true
            }
            DisturbanceKind::CrashingPart => {
                let gateways = self.system.gateways.clone();
                tokio::spawn(send_crashing_part(disturbance.second, gateways));
                true
            }
            DisturbanceKind::CrashingRequest => {
                let gateways = self.system.gateways.clone();
                tokio::spawn(send_crashing(disturbance.second, gateways));
                true
            }
        }
    }

    /// Ends a disturbance that has begun.
    async fn end(&mut self, disturbance: &Disturbance) {
        let daemon = disturbance.first % self.system.daemon_count();
        let controller = disturbance.first % CONTROLLERS;
        let index = disturbance.first % self.engines.len();
        match disturbance.kind {
            DisturbanceKind::Kill | DisturbanceKind::Terminate => {
                self.restore(daemon, true).await;
            }
            DisturbanceKind::Freeze => self.restore(daemon, false).await,
            DisturbanceKind::Wipe => {
                self.system.restart_controller(controller, true);
                self.down.retain(|down| *down != controller);
            }
            DisturbanceKind::KillControllers => {
                for daemon in 0..CONTROLLERS {
                    self.restore(daemon, true).await;
                }
            }
            DisturbanceKind::LosePower => {
                self.system.lose_power(&[controller]);
                (0..self.system.daemon_count()).for_each(|daemon| self.record_disturbed(daemon));
                self.down.clear();
            }
            DisturbanceKind::IsolateDaemon => {
                self.isolate(daemon, FaultMode::Pass);
            }
            DisturbanceKind::SilenceLink
            | DisturbanceKind::CloseLink
            | DisturbanceKind::DelayLink => {
                self.set_link(disturbance, FaultMode::Pass);
            }
            DisturbanceKind::CutWorkers => {
                let gateway = self.gateway(disturbance);
                self.cut.retain(|cut| *cut != gateway);
                self.set_worker_links(gateway, FaultMode::Pass);
            }
            DisturbanceKind::KillWorker => self.replace_worker(index),
            DisturbanceKind::PartitionWorker => self.engines[index].0.set_partitioned(false),
            DisturbanceKind::LateOrders => self.engines[index].0.set_late_orders(false),
            DisturbanceKind::DrainWorker => {
                tokio::time::sleep(DRAIN_TIME).await;
                self.replace_worker(index);
            }
            DisturbanceKind::RestartWorker => {
                let worker = &self.engines[index].0;
                // Another disturbance may have replaced it already.
                if worker.is_stopped() {
                    let moved = disturbance.second % 2 == 1;
                    self.engines[index].0 = worker.start_next_instance(moved);
                }
            }
            DisturbanceKind::RejectRequests => self.worker(disturbance).set_rejecting(None),
            DisturbanceKind::SetLimit => self.worker(disturbance).set_limit(None),
            DisturbanceKind::LeaveUnreported => self.replace_worker(index),
            DisturbanceKind::RestartWorkerAtOnce
            | DisturbanceKind::ForeignRecords
            | DisturbanceKind::CrashingRequest
            | DisturbanceKind::CrashingPart
            | DisturbanceKind::CrashingBurst => {}
        }
    }

    fn gateway(&self, disturbance: &Disturbance) -> usize {
        disturbance.first % self.system.gateways.len()
    }

    /// Partitions a gateway from all workers, unless it is already.
    fn cut_workers(&mut self, disturbance: &Disturbance) -> bool {
        let gateway = self.gateway(disturbance);
        if self.cut.contains(&gateway) {
            return false;
        }
        self.cut.push(gateway);
        self.set_worker_links(gateway, CUT_MODES[disturbance.second % CUT_MODES.len()]);
        true
    }

    fn set_worker_links(&self, gateway: usize, mode: FaultMode) {
        let source = self.system.source(CONTROLLERS + gateway);
        self.fleet.set_source_mode(source, mode);
    }

    /// Returns the engine or plain worker that the disturbance selects.
    fn worker(&self, disturbance: &Disturbance) -> &Arc<Worker> {
        let index = disturbance.first % (self.engines.len() + self.plain.len());
        match self.engines.get(index) {
            Some((worker, _)) => worker,
            None => &self.plain[index - self.engines.len()],
        }
    }

    /// Returns whether all disks are intact again: none was lost, or the controller that lost its
    /// disk is a voter again.
    fn can_lose_disk(&self) -> bool {
        let recovered = |wiped| !self.down.contains(&wiped) && self.system.is_voter(wiped);
        self.wiped.is_none_or(recovered)
    }

    /// Records a disturbance of a daemon. The checks of workers' notices excuse a disturbed
    /// gateway.
    fn record_disturbed(&self, daemon: usize) {
        if let Some(gateway) = daemon.checked_sub(CONTROLLERS) {
            self.fleet.record_notice_event(NoticeEvent::Disturbed { gateway, at: Instant::now() });
        }
    }

    fn take_down(&mut self, daemon: usize, signal: Signal) -> bool {
        if self.down.contains(&daemon) {
            return false;
        }
        self.down.push(daemon);
        self.record_disturbed(daemon);
        self.system.signal(daemon, signal);
        true
    }

    async fn restore(&mut self, daemon: usize, terminating: bool) {
        self.system.resume_or_restart(daemon, terminating).await;
        self.record_disturbed(daemon);
        self.down.retain(|down| *down != daemon);
    }

    fn isolate(&self, daemon: usize, mode: FaultMode) -> bool {
        self.record_disturbed(daemon);
        for other in (0..self.system.daemon_count()).filter(|other| *other != daemon) {
            self.system.set_link(daemon, other, mode);
            self.system.set_link(other, daemon, mode);
        }
        true
    }

    fn set_link(&self, disturbance: &Disturbance, mode: FaultMode) -> bool {
        let count = self.system.daemon_count();
        let (from, to) = (disturbance.first % count, disturbance.second % count);
        if from == to {
            return false;
        }
        [from, to].into_iter().for_each(|daemon| self.record_disturbed(daemon));
        self.system.set_link(from, to, mode);
        true
    }

    /// Returns the daemons, and the pairs of linked daemons, that a disturbance keeps from others.
    fn lost_daemons(&self, disturbance: &Disturbance) -> Vec<Vec<usize>> {
        let count = self.system.daemon_count();
        let (first, second) = (disturbance.first % count, disturbance.second % count);
        match disturbance.kind {
            DisturbanceKind::Kill
            | DisturbanceKind::Freeze
            | DisturbanceKind::Terminate
            | DisturbanceKind::IsolateDaemon => vec![vec![first]],
            DisturbanceKind::Wipe => vec![vec![disturbance.first % CONTROLLERS]],
            DisturbanceKind::KillControllers => (0..CONTROLLERS).map(|one| vec![one]).collect(),
            DisturbanceKind::LosePower => (0..count).map(|one| vec![one]).collect(),
            DisturbanceKind::SilenceLink
            | DisturbanceKind::CloseLink
            | DisturbanceKind::DelayLink => vec![vec![first, second]],
            _ => Vec::new(),
        }
    }

    /// Begins a disturbance if it is permitted now.
    fn try_begin(&mut self, disturbance: Disturbance) -> Option<Running> {
        let lost = self.lost_daemons(&disturbance);
        // Without a series of lost disks, `begin` alone decides.
        let permitted = self.plan == Plan::Short || self.disk_losses.permits(&disturbance, &lost);
        if !permitted || !self.begin(&disturbance) {
            return None;
        }
        let losses = lost.iter().map(|daemons| self.losses.begin(daemons)).collect();
        let end = Instant::now() + duration_of(&disturbance);
        Some(Running { end, disturbance, losses })
    }

    /// Runs the disturbances of a seed, each from its start to its end.
    async fn disturb(&mut self, seed: u64, observer: &Observer) {
        let start = Instant::now();
        let time = match self.plan {
            Plan::Short => DISTURBED_TIME,
            Plan::LostDisks => LOST_DISKS_TIME,
        };
        let mut waiting = draw_disturbances(seed, time);
        if self.plan == Plan::LostDisks {
            self.disk_losses = DiskLosses::new(draw_disk_losses(seed, CONTROLLERS));
        }
        let mut running: Vec<Running> = Vec::new();
        loop {
            if self.plan == Plan::LostDisks && self.disk_losses.is_over() {
                waiting.clear();
            }
            let next_start = waiting.first().map(|disturbance| start + disturbance.at);
            let next_end = running.iter().map(|one| one.end).min();
            let next_step = self.disk_losses.next_step();
            let Some(next) = [next_start, next_end, next_step].into_iter().flatten().min() else {
                break;
            };
            tokio::time::sleep_until(next).await;
            if next_start == Some(next) {
                let disturbance = waiting.remove(0);
                let begun = self.try_begin(disturbance);
                println!("seed {seed}: {disturbance:?} begun={}", begun.is_some());
                running.extend(begun);
            } else if let Some(index) = running.iter().position(|one| one.end == next) {
                let ended = running.swap_remove(index);
                self.end(&ended.disturbance).await;
                let now = Instant::now();
                ended.losses.iter().for_each(|id| self.losses.end(*id, now));
            } else {
                self.step_disk_losses(&mut running, observer).await;
            }
        }
    }

    /// Checks that each gateway reaches the acknowledged configuration while changes continue.
    async fn check_in_force(&self, observer: &Observer) {
        let (acknowledged, before) = (observer.acknowledged(), observer.changes());
        for gateway in 0..self.system.gateways.len() {
            while self.system.version_at(gateway).await < acknowledged {
                let changes = observer.changes() - before;
                if changes > MAX_CHANGES {
                    let version = self.system.version_at(gateway).await;
                    observer.report(format!(
                        "gateway {gateway} has version {version} {changes} changes after \
                         {acknowledged} was acknowledged"
                    ));
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Waits until every gateway serves both routes, and checks the configuration.
    async fn check_recovered(&self, observer: &Observer) {
        self.system.wait_ready().await;
        for gateway in 0..self.system.gateways.len() {
            for (path, name) in [("/chat/1", "after-chat"), ("/hold/1", "after-hold")] {
                let name = format!("{name}-{gateway}");
                self.system.call_gateway_until_served(gateway, path, &name).await;
            }
        }
        let acknowledged = observer.acknowledged();
        observer.check_read(acknowledged, &self.system.fetch().await);
    }
}

/// Returns the duration of a disturbance, with the time that its effect needs to be checked.
fn duration_of(disturbance: &Disturbance) -> Duration {
    match disturbance.kind {
        DisturbanceKind::LeaveUnreported => disturbance.duration + UNREPORTED_DRAIN_TIME,
        DisturbanceKind::SetLimit => disturbance.duration + LIMITED_TIME,
        DisturbanceKind::CutWorkers => disturbance.duration + CUT_TIME,
        _ => disturbance.duration,
    }
}

/// Sends foreign records with a worker's id to all controllers.
async fn send_foreign(id: String, controllers: Vec<String>) {
    for record in foreign_records() {
        for controller in &controllers {
            send_record(controller, &id, &record).await;
        }
        tokio::time::sleep(FOREIGN_PAUSE).await;
    }
}

/// Sends a request that crashes the workers that run it to one gateway after the other.
async fn send_crashing(number: usize, gateways: Vec<String>) {
    for retry in 0..CRASHING_REQUESTS {
        let gateway = &gateways[(number + retry) % gateways.len()];
        let id = format!("ending-{number}-{retry}");
        // The check counts crashed workers; the answer does not matter.
        let _ = call_gateway_with_body(gateway, "/chat/1", &id, Some(KEY), CRASHING_BODY).await;
        tokio::time::sleep(FOREIGN_PAUSE).await;
    }
}

/// Sends many duplicates of a request that crashes the workers that run it, to all gateways at
/// once.
async fn send_crashing_burst(number: usize, gateways: Vec<String>) {
    let path = format!("/chat/{}", number % BURST_REQUESTS);
    let duplicates = (0..BURST_DUPLICATES).map(|duplicate| {
        let id = format!("burst-{number}-{duplicate}");
        let (gateway, path) = (&gateways[duplicate % gateways.len()], &path);
        async move { call_gateway_with_body(gateway, path, &id, Some(KEY), CRASHING_BODY).await }
    });
    // The check counts crashed workers; the answers do not matter.
    let _ = futures_util::future::join_all(duplicates).await;
}

/// Sends different requests that share a part of their prompts which crashes the workers that begin to
/// answer it, to one gateway after the other. They share their first part with sound requests.
async fn send_crashing_part(number: usize, gateways: Vec<String>) {
    let part = number % CRASHING_PARTS;
    for request in 0..PART_REQUESTS {
        let gateway = gateways[(number + request) % gateways.len()].clone();
        let name = format!("part-{number}-{request}");
        let (path, parts) = (
            format!("/chat/{name}"),
            format!("{SHARED_PART}:40,{CRASHING_PART}{part}:100,{number:x}{request:x}:30"),
        );
        // The check counts crashed workers; the answer does not matter.
        tokio::spawn(async move {
            let _ = call_gateway_with_parts(&gateway, &path, &name, KEY, &parts).await;
        });
        tokio::time::sleep(FOREIGN_PAUSE).await;
    }
}

/// Counts for each content that crashes workers the requests that ran later than 3 s after it must be
/// known, and the crashes.
///
/// Counts between power losses separately and returns the largest pair, since a power loss erases
/// the records of crashing requests.
fn late_duplicates(fleet: &Fleet, power_lost_at: &[Instant]) -> BTreeMap<String, (usize, usize)> {
    let crashes = fleet.crashes();
    let paths: BTreeSet<String> = crashes.iter().map(|(path, _)| path.clone()).collect();
    let outages_before = |at: &Instant| power_lost_at.iter().filter(|lost| at > lost).count();
    let of_path = |path: &str, times: &[(String, Instant)], outages: usize| -> Vec<Instant> {
        let times = times.iter().filter(|(other, _)| other == path).map(|(_, at)| *at);
        times.filter(|at| outages_before(at) == outages).collect()
    };
    let late = |path: &str, outages: usize| {
        let crash_times = of_path(path, &crashes, outages);
        let known = if path.starts_with(CRASHING_PART) { KNOWN_PART } else { KNOWN_REQUEST };
        let known = crash_times.get(known - 1).map(|known| *known + PROPAGATION_TIME);
        let runs = of_path(path, &fleet.crashing_runs(), outages);
        let late = runs.iter().filter(|at| known.is_some_and(|known| **at > known)).count();
        (late, crash_times.len())
    };
    let most_late = |path: &str| {
        let counts = (0..=power_lost_at.len()).map(|outages| late(path, outages));
        counts.max().expect("the time before the first outage is counted")
    };
    paths.iter().map(|path| (path.clone(), most_late(path))).collect()
}

/// Runs one seed and returns the violated invariants.
async fn run_seed(seed: u64, block: u8, layout: Layout, plan: Plan) -> Vec<String> {
    println!("soak seed {seed}, {plan:?}");
    let mut soak = Soak::start(block, layout, plan);
    let observer = Observer::new();
    let first = configuration(FIRST_VERSION);
    observer.record_sent(FIRST_VERSION, &first);
    assert_eq!(soak.system.replace(&first).await, 200);
    observer.record_acknowledged(FIRST_VERSION);
    soak.system.wait_ready().await;
    soak.system.call_until_served("/chat/1", "warm").await;
    let (gateways, controllers) = (soak.system.gateways.clone(), soak.system.controllers.clone());
    let probes = tokio::spawn(probe_routes(Arc::clone(&observer), gateways.clone(), FIRST_VERSION));
    let removed = tokio::spawn(probe_removed_routes(
        Arc::clone(&observer),
        Arc::clone(&soak.fleet),
        Arc::clone(&soak.losses),
        gateways.clone(),
        FIRST_VERSION,
    ));
    let load = tokio::spawn(send_load(Arc::clone(&observer), gateways, crate::complete_stream()));
    let changes =
        tokio::spawn(send_changes(Arc::clone(&observer), controllers.clone(), FIRST_VERSION));
    let reads = tokio::spawn(read_changes(Arc::clone(&observer), controllers));
    soak.disturb(seed, &observer).await;
    let recovered = !soak.disk_losses.has_failed();
    if recovered {
        soak.check_in_force(&observer).await;
    }
    observer.stop();
    for task in [load, probes, removed, changes, reads] {
        task.await.expect("the observer task does not panic");
    }
    // Controllers that did not recover in time have been reported, and the wait would not end.
    if recovered {
        soak.check_recovered(&observer).await;
    }
    println!(
        "seed {seed}: {} served, version {}, {} removed routes requested",
        observer.served(),
        observer.acknowledged(),
        observer.removed_probes()
    );
    let late = late_duplicates(&soak.fleet, &soak.power_lost_at);
    println!("seed {seed}: late duplicates and crashed workers {late:?}");
    for (path, (late, crashes)) in late.into_iter().filter(|(_, (late, _))| *late > MAX_LATE) {
        observer
            .report(format!("{late} duplicates sent late to {path}, {crashes} workers crashed"));
    }
    let breaches = observer.breaches(&soak.fleet);
    if !breaches.is_empty() {
        println!("{}", soak.system.logs());
    }
    breaches
}

#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(3, 2)]
// All chat requests of the load are equal. They were quarantined for two minutes after heads had
// crashed one after the other, under other requests that crash workers.
#[case(945_052_094_664, 3)]
// The chat requests stayed quarantined at one gateway that had just started, although the leader
// had released them.
#[case(249_868_691_895, 4)]
#[tokio::test]
async fn soak_keeps_guarantees(#[case] seed: u64, #[case] block: u8) {
    let layout = Layout::zoned_behind_proxies();
    let breaches = run_seed(seed, FIRST_BLOCK + block, layout, Plan::Short).await;
    assert_eq!(breaches, Vec::<String>::new(), "seed {seed}");
}

// Guards against a controller that returned with an empty disk and still does not count when the
// next disk is lost: no controller led any more, and gateways ran requests by older versions.
#[rstest]
#[case(1, 5)]
#[case(2, 6)]
#[tokio::test]
async fn soak_keeps_guarantees_with_lost_disks(#[case] seed: u64, #[case] block: u8) {
    let layout = Layout::zoned_behind_proxies();
    let breaches = run_seed(seed, FIRST_BLOCK + block, layout, Plan::LostDisks).await;
    assert_eq!(breaches, Vec::<String>::new(), "seed {seed}");
}

/// Runs fresh seeds on demand. Runs nothing without the environment variables.
#[rstest]
#[tokio::test]
async fn soak_fresh_seeds() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds: Vec<u64> = match (number(SEED), number(RUNS)) {
        (Some(seed), _) => vec![seed],
        (None, Some(runs)) => (0..runs).map(|_| rand::random_range(0..1 << 40)).collect(),
        (None, None) => Vec::new(),
    };
    let mut layout = Layout::zoned_behind_proxies();
    if let Some(gateways) = number(GATEWAYS) {
        layout.gateways = u8::try_from(gateways.min(MAX_GATEWAYS))
            .expect("the gateway count is at most MAX_GATEWAYS");
    }
    let mut failed = Vec::new();
    let runs = seeds.iter().flat_map(|seed| [(*seed, Plan::Short), (*seed, Plan::LostDisks)]);
    for (number, (seed, plan)) in runs.enumerate() {
        let block = FIRST_BLOCK + 10 + (number % 100) as u8;
        let breaches = run_seed(seed, block, layout, plan).await;
        println!("seed {seed}, {plan:?}: {} breaches", breaches.len());
        if !breaches.is_empty() {
            failed.push((seed, plan, breaches));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
