//! The leader's control loop: assesses workers, manages replicas, sends orders and publishes views
//! to gateways.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_fleet::replicas::WorkerState;
use hollowbarrow_fleet::workers::WorkerEntry;
use hollowbarrow_fleet::{
    LeaderTimes, OrderTicket, ReplicaController, ReplicaTiming, TermState, WorkerStatus,
};
use hollowbarrow_log::LogView;
use hollowbarrow_schema::{FleetMessage, FleetView, ServiceName, Term, WorkerId, WorkerLoad};
use hollowbarrow_state::DeploymentState;
use tokio::time::Instant;

use crate::core::ControllerCore;
use crate::fleet::FleetState;
use crate::liveness::{LivenessFacts, LivenessTracker, find_terminated};
use crate::orders::{WorkerEvent, probe_worker, send_order};
use crate::quarantine::QuarantineLog;
use crate::sync::send_grants;
use crate::voter_upkeep::VoterUpkeep;

/// Longest time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Delay between a change and the step that handles it, so that one step handles several changes.
const STEP_DELAY: Duration = Duration::from_millis(10);
/// Time between two views for gateways, unless the set of withheld workers changes.
const VIEW_INTERVAL: Duration = Duration::from_millis(90);
/// Heartbeats after which a daemon that has just started has received a report of every worker.
const SETTLE_BEATS: f64 = 2.5;
/// Time before the very first leader plans replicas; workers register meanwhile.
const FIRST_SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time before a leader whose process has run for longer acts on its worker table. Controllers that
/// were partitioned have exchanged the updates that they missed by then.
const SHORT_SETTLE_TIME: Duration = Duration::from_millis(1000);
/// Time without a report after which a worker is removed from the table.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time for an order to show in the worker's report before it is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1800);
/// Longest time for the requests of a closing replica to complete before it is disbanded.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest time after which an order without an answer may still be carried out.
const LATE_ORDER_LIMIT: Duration = Duration::from_secs(13);

/// State that a leader keeps for the length of its term.
struct Leadership {
    term: Term,
    liveness: LivenessTracker,
    replicas: BTreeMap<ServiceName, ReplicaController>,
    times: LeaderTimes,
    view_number: u64,
    view_due: Instant,
    withheld: Vec<WorkerId>,
    quarantine_log: QuarantineLog,
    /// Last logged summary of the replicas of each service.
    logged: BTreeMap<ServiceName, String>,
    /// Last report of each worker whose silence has been logged, because only the progress of answers
    /// shows that it runs.
    logged_silences: HashMap<WorkerId, Instant>,
}

/// Runs the control loop whenever this daemon leads, until the process ends.
pub(crate) async fn run_leader(core: Arc<ControllerCore>, events: flume::Receiver<WorkerEvent>) {
    let mut terms: TermState<Leadership> = TermState::new();
    let mut upkeep = VoterUpkeep::new();
    let mut led = false;
    loop {
        tokio::select! {
            () = tokio::time::sleep(STEP_INTERVAL) => {}
            () = core.changed.notified() => tokio::time::sleep(STEP_DELAY).await,
            event = events.recv_async() => {
                let Ok(event) = event else { return };
                handle_event(event, terms.newest());
            }
        }
        for event in events.try_iter() {
            handle_event(event, terms.newest());
        }
        let now = Instant::now();
        core.fleet().expire(FORGET_AFTER, now);
        let view = core.log.view();
        let leads = core.is_confirmed_leader(&view, now);
        if leads != std::mem::replace(&mut led, leads) {
            log::info!("event=leadership term={} leads={leads}", *view.term);
        }
        upkeep.step(&core, &view, now);
        if leads {
            let leadership = terms.enter(view.term, || begin_term(&core, &view, now));
            step(&core, leadership, now);
        }
    }
}

fn handle_event(event: WorkerEvent, leadership: Option<&mut Leadership>) {
    let now = Instant::now();
    match event {
        WorkerEvent::Probe(worker, outcome) => {
            if let Some(leadership) = leadership {
                leadership.liveness.record_probe_result(&worker, outcome, now);
            }
        }
        WorkerEvent::Order(service, ticket, outcome) => {
            log::info!(
                "event=order_answered worker={} order={} replica={} outcome={outcome:?}",
                *ticket.worker,
                ticket.order.verb(),
                ticket.order.name().to_text()
            );
            if let Some(controller) =
                leadership.and_then(|leadership| leadership.replicas.get_mut(&service))
            {
                controller.record_outcome(&ticket, outcome, now);
            }
        }
    }
}

/// Whether the system starts for the first time and no gateway has reported a request yet.
fn is_first_start(core: &ControllerCore, fleet: &FleetState) -> bool {
    core.settings.found && !fleet.has_served()
}

fn begin_term(core: &ControllerCore, view: &LogView, now: Instant) -> Leadership {
    let heartbeat = core.heartbeat();
    let settling = heartbeat.mul_f64(SETTLE_BEATS);
    let first_start = is_first_start(core, &core.fleet());
    let first_leader = first_start && !core.log.read(|state| state.is_older_than(view.term));
    // The first leader has nothing to take over, and a later one whose process has run for a while has
    // received reports of every worker.
    let settle = if first_leader {
        FIRST_SETTLE_TIME
    } else if now.duration_since(core.started) > settling {
        SHORT_SETTLE_TIME
    } else {
        settling
    };
    log::info!("event=leadership_begun term={} settle_ms={}", *view.term, settle.as_millis());
    let window = Duration::from_secs(core.settings.load_window_s.into());
    Leadership {
        term: view.term,
        liveness: LivenessTracker::new(),
        replicas: BTreeMap::new(),
        times: LeaderTimes {
            // Nothing is ordered without a configuration, so that no earlier leader than the first one
            // can have ordered anything.
            term_start: if first_leader { core.started } else { now },
            settled: now + settle,
            loads_from: if first_start { now } else { now + window },
        },
        view_number: 0,
        view_due: now,
        withheld: Vec::new(),
        quarantine_log: QuarantineLog::default(),
        logged: BTreeMap::new(),
        logged_silences: HashMap::new(),
    }
}

fn step(core: &Arc<ControllerCore>, leadership: &mut Leadership, now: Instant) {
    let services = core.engine_services();
    let mut fleet = core.fleet();
    leadership.liveness.prune(fleet.table());
    leadership.logged_silences.retain(|worker, _| fleet.table().get(worker).is_some());
    let uses = fleet.uses(now);
    let heartbeat = core.heartbeat();
    let terminated = find_terminated(fleet.table(), heartbeat);
    let facts = LivenessFacts { uses: &uses, terminated: &terminated, heartbeat, now };
    let warming_up = is_first_start(core, &fleet);
    let mut standings: HashMap<WorkerId, WorkerStatus> = HashMap::new();
    let mut probes = Vec::new();
    for entry in fleet.table().iter() {
        let worker = &entry.report.id;
        let controller = leadership.replicas.get(&entry.report.service);
        let head = controller.and_then(|controller| controller.serving_head_of(worker));
        let assessment = leadership.liveness.assess(entry, head, &facts);
        if assessment.probe {
            probes.push((worker.clone(), entry.report.address.clone()));
        }
        if assessment.shown_by_progress {
            log_silence(&mut leadership.logged_silences, entry, head, now);
        }
        standings.insert(worker.clone(), assessment.standing);
    }
    for (worker, address) in probes {
        leadership.liveness.record_probe_sent(&worker, now);
        spawn_probe(core, worker, address);
    }
    let mut withheld: Vec<WorkerId> = standings
        .iter()
        .filter(|(_, standing)| **standing != WorkerStatus::Usable)
        .map(|(worker, _)| worker.clone())
        .collect();
    for service in &services {
        let Some(engine) = &service.engine else { continue };
        let workers: Vec<WorkerState<'_>> = fleet
            .table()
            .of_service(&service.name, now)
            .map(|entry| {
                let sum = uses.get(&entry.report.id).copied().unwrap_or_default();
                WorkerState {
                    report: &entry.report,
                    confirmed: entry.confirmed,
                    active: sum.active,
                    waiting_ms: sum.waiting_ms,
                    status: standings[&entry.report.id],
                }
            })
            .collect();
        let timing = timing_of(core);
        let (term, times) = (leadership.term, leadership.times);
        let controller = leadership
            .replicas
            .entry(service.name.clone())
            .or_insert_with(|| ReplicaController::new(timing, term, times));
        for ticket in controller.step(engine, &workers, warming_up, now) {
            spawn_order(core, &service.name, ticket, leadership.term);
        }
        withheld.extend(controller.withheld());
        let summary = controller.summary();
        if leadership.logged.get(&service.name) != Some(&summary) {
            log::info!("event=replicas service={} {summary}", *service.name);
            leadership.logged.insert(service.name.clone(), summary);
        }
    }
    withheld.sort();
    withheld.dedup();
    issue_due(core, leadership.term, &fleet, now);
    if now >= leadership.view_due || withheld != leadership.withheld {
        leadership.view_due = now + VIEW_INTERVAL;
        leadership.view_number += 1;
        leadership.withheld = withheld;
        let loads = uses.iter().map(|(worker, sum)| WorkerLoad {
            worker: worker.clone(),
            active: sum.active,
            waiting_ms: sum.waiting_ms,
            progress_ms: sum
                .progress
                .map(|at| now.saturating_duration_since(at).as_millis() as u32),
        });
        let mut quarantined = fleet.quarantined(now);
        leadership.quarantine_log.record(&quarantined, |content| fleet.count_runs(content));
        let crashes = fleet.evidence_due(&quarantined, now);
        quarantined.extend(fleet.released(now));
        let view = FleetView {
            term: leadership.term,
            number: leadership.view_number,
            sent_ms: Some(now.saturating_duration_since(core.started).as_millis() as u64),
            deployment: core.log.read(DeploymentState::version),
            gateways: fleet.count_gateways(now),
            controllers: fleet.locations(),
            withheld: leadership.withheld.clone(),
            loads: loads.collect(),
            held: quarantined,
            crashes,
            leader: Some(core.links().id().clone()),
            limits: core.limits().due_limits(now),
        };
        let mut daemons = fleet.view_gateways();
        daemons.extend(core.links().controllers());
        core.links().send_to_all(&daemons, FleetMessage::View(view));
    }
}

/// Logs that a silent worker is known to run only by the progress of answers, once for each silence.
fn log_silence(
    logged: &mut HashMap<WorkerId, Instant>,
    entry: &WorkerEntry,
    head: Option<&WorkerId>,
    now: Instant,
) {
    let worker = &entry.report.id;
    if logged.insert(worker.clone(), entry.last_received) == Some(entry.last_received) {
        return;
    }
    let silent_ms = now.saturating_duration_since(entry.last_received).as_millis();
    let head = head.map_or("none", |head| head.as_str());
    log::info!(
        "event=silent_worker_progresses worker={} head={head} silent_ms={silent_ms}",
        **worker
    );
}

/// Issues the permits that are due.
fn issue_due(core: &ControllerCore, term: Term, fleet: &FleetState, now: Instant) {
    let grants = {
        let mut limits = core.limits();
        limits.enter(term);
        limits.prune(|worker| fleet.table().get(&WorkerId::from(worker)).is_some());
        limits.issue(now)
    };
    send_grants(core, grants);
}

fn timing_of(core: &ControllerCore) -> ReplicaTiming {
    ReplicaTiming {
        order_retry: ORDER_RETRY_INTERVAL,
        close_timeout: CLOSE_TIMEOUT,
        max_order_delay: LATE_ORDER_LIMIT,
        load_window: Duration::from_secs(core.settings.load_window_s.into()),
    }
}

fn spawn_probe(core: &Arc<ControllerCore>, worker: WorkerId, address: String) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let outcome = probe_worker(&*core.protocol, &worker, &address).await;
        core.metrics.count_probe();
        log::info!("event=worker_probed worker={} outcome={outcome:?}", *worker);
        let _ = core.events.send(WorkerEvent::Probe(worker, outcome));
    });
}

fn spawn_order(core: &Arc<ControllerCore>, service: &ServiceName, ticket: OrderTicket, term: Term) {
    let core = Arc::clone(core);
    let service = service.clone();
    tokio::spawn(async move {
        let outcome = send_order(&*core.protocol, &ticket, *term).await;
        core.metrics.count_order(&ticket.order, outcome);
        let _ = core.events.send(WorkerEvent::Order(service, ticket, outcome));
    });
}
