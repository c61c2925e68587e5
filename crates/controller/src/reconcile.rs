//! What the leader does: judges workers, keeps replicas, orders, and tells gateways.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_fleet::replicas::WorkerState;
use hollowbarrow_fleet::{
    LeaderTimes, OrderTicket, ReplicaController, ReplicaTiming, TermState, WorkerStatus,
};
use hollowbarrow_log::LogView;
use hollowbarrow_schema::{
    DaemonId, EntryPayload, FleetMessage, FleetView, ProposalOutcome, ServiceName, Term, WorkerId,
    WorkerLoad,
};
use hollowbarrow_state::DeploymentState;
use tokio::time::Instant;

use crate::core::ControllerCore;
use crate::fleet::FleetState;
use crate::liveness::{LivenessFacts, LivenessTracker, find_terminated};
use crate::orders::{WorkerEvent, give_order, probe_worker};
use crate::quarantine::QuarantineLog;
use crate::sync::send_grants;
use crate::voters::{VOTER_REPLACEMENT_TIMEOUT, VoterFacts, next_voters, voters_for};

/// Longest pause between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest pause between two steps.
const STEP_PAUSE: Duration = Duration::from_millis(10);
/// Pause between two views for gateways, unless something that matters has changed.
const VIEW_INTERVAL: Duration = Duration::from_millis(90);
/// Pause between two looks at the voters.
const VOTERS_INTERVAL: Duration = Duration::from_millis(500);
/// Heartbeats after which a leader that has just started has heard of every worker.
const SETTLED_BEATS: f64 = 2.5;
/// Time after which the first leader of all plans: workers are registering meanwhile.
const FIRST_SETTLED: Duration = Duration::from_millis(500);
/// Time after which a leader that has run for longer believes what it has heard: controllers that
/// were cut off from each other have told each other what they missed by then.
const SHORT_SETTLED: Duration = Duration::from_millis(1000);
/// Time for a new voter to catch up before its disk counts as lost again.
const CATCH_UP_TIME: Duration = Duration::from_secs(5);
/// Silence after which a worker is forgotten.
const FORGET_SILENCE: Duration = Duration::from_secs(60);
/// Time for an order to show in the worker's report before it is given again.
const ORDER_REPEAT: Duration = Duration::from_millis(1800);
/// Longest time for the requests of a replica to end before it is taken apart.
const CLOSE_TIME: Duration = Duration::from_millis(1500);

/// Longest time after which an order that got no answer may still be carried out.
const LATE_ORDER_TIME: Duration = Duration::from_secs(13);

/// What a leader keeps for the length of its term.
struct Leadership {
    term: Term,
    judge: LivenessTracker,
    replicas: BTreeMap<ServiceName, ReplicaController>,
    times: LeaderTimes,
    view_number: u64,
    view_due: Instant,
    withheld: Vec<WorkerId>,
    held_log: QuarantineLog,
    voters_due: Instant,
    /// Controllers that were made voters lately, and until when they are left alone.
    admitted: BTreeMap<DaemonId, Instant>,
    /// Replicas that served, by service, when they were last logged.
    logged: BTreeMap<ServiceName, String>,
}

/// Acts as leader whenever this daemon leads, until the process ends.
pub(crate) async fn run_leader(core: Arc<ControllerCore>, news: flume::Receiver<WorkerEvent>) {
    let mut terms: TermState<Leadership> = TermState::new();
    let mut led = false;
    loop {
        tokio::select! {
            () = tokio::time::sleep(STEP_INTERVAL) => {}
            () = core.changed.notified() => tokio::time::sleep(STEP_PAUSE).await,
            received = news.recv_async() => {
                let Ok(received) = received else { return };
                take_news(received, terms.newest());
            }
        }
        for received in news.try_iter() {
            take_news(received, terms.newest());
        }
        let now = Instant::now();
        core.fleet().expire(FORGET_SILENCE, now);
        let view = core.log.view();
        let leads = core.is_sure_to_lead(&view, now);
        if leads != std::mem::replace(&mut led, leads) {
            log::info!("event=leadership term={} leads={leads}", *view.term);
        }
        if leads {
            let held = terms.enter(view.term, || begin_term(&core, &view, now));
            step(&core, held, &view, now);
        }
    }
}

fn take_news(news: WorkerEvent, held: Option<&mut Leadership>) {
    let now = Instant::now();
    match news {
        WorkerEvent::Probe(worker, outcome) => {
            if let Some(held) = held {
                held.judge.record_probe_result(&worker, outcome, now);
            }
        }
        WorkerEvent::Order(service, ticket, outcome) => {
            log::info!(
                "event=order_answered worker={} order={} replica={} outcome={outcome:?}",
                *ticket.worker,
                ticket.order.verb(),
                ticket.order.name().to_text()
            );
            if let Some(controller) = held.and_then(|held| held.replicas.get_mut(&service)) {
                controller.record_outcome(&ticket, outcome, now);
            }
        }
    }
}

/// Whether the system starts for the first time and no request has come yet.
fn is_first_start(core: &ControllerCore, fleet: &FleetState) -> bool {
    core.settings.found && !fleet.has_served()
}

fn begin_term(core: &ControllerCore, view: &LogView, now: Instant) -> Leadership {
    let heartbeat = core.heartbeat();
    let settling = heartbeat.mul_f64(SETTLED_BEATS);
    // At the first start there is nothing to take over, and later a leader that has run for a
    // while has heard of every worker.
    let first = is_first_start(core, &core.fleet());
    let settle = if first {
        FIRST_SETTLED
    } else if now.duration_since(core.started) > settling {
        SHORT_SETTLED
    } else {
        settling
    };
    log::info!("event=leadership_begun term={} settle_ms={}", *view.term, settle.as_millis());
    let window = Duration::from_secs(core.settings.load_window_s.into());
    Leadership {
        term: view.term,
        judge: LivenessTracker::new(),
        replicas: BTreeMap::new(),
        times: LeaderTimes {
            // At the first start no leader was there before that could have ordered anything.
            term_start: if first { core.started } else { now },
            settled: now + settle,
            loads_from: if first { now } else { now + window },
        },
        view_number: 0,
        view_due: now,
        withheld: Vec::new(),
        held_log: QuarantineLog::default(),
        voters_due: now,
        admitted: BTreeMap::new(),
        logged: BTreeMap::new(),
    }
}

fn step(core: &Arc<ControllerCore>, held: &mut Leadership, view: &LogView, now: Instant) {
    if now >= held.voters_due {
        held.voters_due = now + VOTERS_INTERVAL;
        keep_voters(core, held, view, now);
    }
    let services = core.engine_services();
    let mut fleet = core.fleet();
    held.judge.tidy(fleet.table());
    let uses = fleet.uses(now);
    let heartbeat = core.heartbeat();
    let ended = find_terminated(fleet.table(), heartbeat);
    let facts = LivenessFacts { uses: &uses, ended: &ended, heartbeat, now };
    let warming_up = is_first_start(core, &fleet);
    let mut standings: HashMap<WorkerId, WorkerStatus> = HashMap::new();
    let mut probes = Vec::new();
    for entry in fleet.table().iter() {
        let worker = &entry.report.id;
        let controller = held.replicas.get(&entry.report.service);
        let head = controller.and_then(|controller| controller.serving_head_of(worker));
        let judgement = held.judge.judge(entry, head, &facts);
        if judgement.probe {
            probes.push((worker.clone(), entry.report.address.clone()));
        }
        standings.insert(worker.clone(), judgement.standing);
    }
    for (worker, address) in probes {
        held.judge.record_probe_sent(&worker, now);
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
        let (term, times) = (held.term, held.times);
        let controller = held
            .replicas
            .entry(service.name.clone())
            .or_insert_with(|| ReplicaController::new(timing, term, times));
        for ticket in controller.step(engine, &workers, warming_up, now) {
            spawn_order(core, &service.name, ticket, held.term);
        }
        withheld.extend(controller.withheld());
        let summary = controller.summary();
        if held.logged.get(&service.name) != Some(&summary) {
            log::info!("event=replicas service={} {summary}", *service.name);
            held.logged.insert(service.name.clone(), summary);
        }
    }
    withheld.sort();
    withheld.dedup();
    issue_due(core, held.term, &fleet, now);
    if now >= held.view_due || withheld != held.withheld {
        held.view_due = now + VIEW_INTERVAL;
        held.view_number += 1;
        held.withheld = withheld;
        let loads = uses.iter().map(|(worker, sum)| WorkerLoad {
            worker: worker.clone(),
            active: sum.active,
            waiting_ms: sum.waiting_ms,
            progress_ms: sum
                .progress
                .map(|at| now.saturating_duration_since(at).as_millis() as u32),
        });
        let mut held_requests = fleet.crashes().quarantined(now);
        held.held_log.note(&held_requests);
        held_requests.extend(fleet.released(now));
        let view = FleetView {
            term: held.term,
            number: held.view_number,
            deployment: core.log.read(DeploymentState::version),
            gateways: fleet.count_gateways(now),
            controllers: fleet.places(),
            withheld: held.withheld.clone(),
            loads: loads.collect(),
            held: held_requests,
            leader: Some(core.links().id().clone()),
            limits: core.limits().due_limits(now),
        };
        let mut daemons = fleet.view_gateways();
        daemons.extend(core.links().controllers());
        core.links().send_to_all(&daemons, FleetMessage::View(view));
    }
}

/// Issues the permits that have become due.
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
        order_retry: ORDER_REPEAT,
        close_timeout: CLOSE_TIME,
        max_order_delay: LATE_ORDER_TIME,
        load_window: Duration::from_secs(core.settings.load_window_s.into()),
    }
}

fn keep_voters(core: &ControllerCore, held: &mut Leadership, view: &LogView, now: Instant) {
    let own = core.links().id();
    let (present, mut lost_disks) = {
        let fleet = core.fleet();
        (fleet.controllers(VOTER_REPLACEMENT_TIMEOUT, now), fleet.lost_disks())
    };
    // A voter that was just admitted says that its disk is lost until it has caught up.
    held.admitted.retain(|_, until| *until > now);
    lost_disks.retain(|id| !held.admitted.contains_key(id));
    let wanted = voters_for(core.settings.losses);
    let facts = VoterFacts {
        wanted,
        own,
        voters: &view.voters,
        present: &present,
        lost_disks: &lost_disks,
    };
    let Some(voters) = next_voters(&facts) else { return };
    for added in voters.iter().filter(|voter| !view.voters.contains(voter)) {
        held.admitted.insert(added.clone(), now + CATCH_UP_TIME);
    }
    let names: Vec<&str> = voters.iter().map(|voter| voter.as_str()).collect();
    log::info!("event=voters_proposed voters={}", names.join(","));
    let outcome = core.log.propose(EntryPayload::Voters(voters));
    tokio::spawn(log_voters_outcome(outcome));
}

/// Logs why voters that were asked for did not come about; whether they did shows in the next look.
async fn log_voters_outcome(outcome: flume::Receiver<ProposalOutcome>) {
    match outcome.recv_async().await {
        Ok(ProposalOutcome::VotersChanged) => {}
        Ok(outcome) => log::warn!("event=voters_refused outcome={outcome:?}"),
        Err(_) => log::warn!("event=voters_refused outcome=unknown"),
    }
}

fn spawn_probe(core: &Arc<ControllerCore>, worker: WorkerId, address: String) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let outcome = probe_worker(&*core.protocol, &worker, &address).await;
        core.metrics.count_probe();
        log::info!("event=worker_probed worker={} outcome={outcome:?}", *worker);
        let _ = core.news.send(WorkerEvent::Probe(worker, outcome));
    });
}

fn spawn_order(core: &Arc<ControllerCore>, service: &ServiceName, ticket: OrderTicket, term: Term) {
    let core = Arc::clone(core);
    let service = service.clone();
    tokio::spawn(async move {
        let outcome = give_order(&*core.protocol, &ticket, *term).await;
        core.metrics.count_order(&ticket.order, outcome);
        let _ = core.news.send(WorkerEvent::Order(service, ticket, outcome));
    });
}
