//! Chooses the worker for a request.
//!
//! Candidates come from the workers' reports: a replica takes requests while
//! its head reports that it is open, no member reports that it leaves, and the
//! leading controller does not withhold it. The picker chooses the candidate
//! with the lowest cost, mainly the estimated time to the first event. The
//! estimate uses the engine's parameters, this gateway's requests in flight and
//! the reported load from other gateways.
//!
//! Trade-off: the load from other gateways is up to half a second old. The
//! estimate therefore adds the requests that this gateway has sent since, and a
//! choice is not revised later.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use hollowbarrow_fleet::{Engine, Service, TableReply, WorkerTable};
use hollowbarrow_reach::{ServiceTargets, UpstreamTarget, is_full_name};
use hollowbarrow_routing::{
    BackoffReason, BackoffTable, LimitNotice, PERMIT_LIFETIME, Permit, UpstreamLimits,
};
use hollowbarrow_schema::{
    DaemonId, FleetView, ModelName, PermitAsk, PermitGrant, RequestRate, ServiceName, WorkerId,
    WorkerLoad, WorkerReport, ZoneId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::candidates::{Candidate, CandidateIndex};
use crate::estimate::{ArrivalRate, unreported_arrivals};
use crate::loads::{LocalLoad, SharedLoad, expected_silence_ms, is_stalled};
use crate::shared_view::SharedView;

/// Cost of a worker in another zone, in milliseconds: far more than the network latency. Gateways
/// see each other's load with a delay, and if the gateways of a zone share only its replicas, fewer
/// gateways choose from the same outdated load. While workers are lost, 12 ms and 40 ms give worse
/// results, and 400 ms gives no better ones.
const OTHER_ZONE_COST_MS: f64 = 160.0;
/// Cost of a new connection to a worker, in milliseconds: more than the time to connect, because
/// workers accept few connections at a time.
const NEW_CONNECTION_COST_MS: f64 = 12.0;
/// Cost of each request in flight at a replica, in milliseconds.
const ACTIVE_REQUEST_COST_MS: f64 = 3.0;
/// Cost of a worker that fails every request, in milliseconds.
const FAILING_COST_MS: f64 = 400.0;
/// Consecutive failures after which a worker is ejected for a time.
const FAILURES_TO_EJECT: u32 = 2;
/// Shortest and longest ejection of a worker.
const EJECTION_TIME: (Duration, Duration) = (Duration::from_millis(800), Duration::from_secs(6));
/// Multiple of its even share of the free slots that a gateway may use. It is above one because
/// callers are spread unevenly over gateways.
const FREE_SLOT_FACTOR: f64 = 1.2;
/// Concurrent requests for each slot of a worker without replicas.
const PLAIN_SLOT_FACTOR: u32 = 2;

/// Why no worker was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoWorker {
    /// No worker takes requests.
    Unknown,
    /// All workers are at capacity.
    Full,
    /// All workers are backing off; the earliest backoff ends after this time.
    Backoff(Duration),
    /// All workers with free capacity have a rate limit, and no permit is available.
    Limited(LimitedWait),
}

/// When a permit for a rate-limited worker can be expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitedWait {
    /// Soon enough that the request can wait for it.
    Soon,
    /// Not before this time has passed.
    Later(Duration),
}

/// The chosen worker.
#[derive(Clone, Debug)]
pub struct PickedWorker {
    /// Its identity.
    pub id: WorkerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Estimated time to read the prompt.
    pub prefill_ms: f64,
    /// Estimated time to the first event.
    pub first_event_ms: f64,
    /// Estimated time of one decoding iteration, in which a stream should progress.
    pub iteration_ms: f64,
    /// Permit for the request, if the worker has a rate limit.
    pub permit: Option<Permit>,
}

/// Properties of a request that decide which worker it may go to.
#[derive(Clone, Copy, Debug)]
pub struct PickFacts<'a> {
    /// Requested service.
    pub service: &'a Service,
    /// Requested model.
    pub model: Option<&'a ModelName>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Workers that earlier attempts used.
    pub excluded: &'a [WorkerId],
    /// Addresses with an idle connection.
    pub kept: &'a HashSet<SocketAddr>,
    /// How long the request can wait for a permit, and whether it already waits.
    pub permit_wait: PermitWait,
}

/// State of a request's wait for a permit, needed if all workers with free capacity have a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitWait {
    /// Remaining time to wait.
    pub left: Duration,
    /// Whether the wait has begun.
    pub waiting: bool,
}

/// The cheapest usable candidate, and the worker that would be cheaper if it had a permit.
struct Choice<'a> {
    candidate: &'a Candidate,
    better_with_permit: Option<WorkerId>,
}

/// Why no candidate can be chosen.
enum NoChoice {
    /// The reason that is returned to the caller of `pick`.
    Reason(NoWorker),
    /// These workers need permits, and none are available.
    NeedPermits(Vec<String>),
}

/// Keeps the table of workers and their load, and chooses workers for requests.
#[derive(Debug)]
pub struct WorkerPicker {
    table: WorkerTable,
    candidates: CandidateIndex,
    view: SharedView,
    local: HashMap<WorkerId, LocalLoad>,
    reported: HashMap<WorkerId, SharedLoad>,
    /// Workers that asked this gateway for a backoff, or that leave.
    backoffs: BackoffTable<WorkerId>,
    /// Rate limits of workers, and the permits for them.
    limits: UpstreamLimits,
    /// Request rate for each model at this gateway.
    arrivals: HashMap<(ServiceName, ModelName), ArrivalRate>,
    rng: ChaCha8Rng,
}

impl WorkerPicker {
    /// Creates a picker for a gateway in this zone, without workers. The same calls on two pickers
    /// with the same seed have the same results.
    pub fn new(zone: &ZoneId, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            table: WorkerTable::new(),
            candidates: CandidateIndex::new(zone),
            view: SharedView::default(),
            local: HashMap::new(),
            reported: HashMap::new(),
            backoffs: BackoffTable::new(),
            limits: UpstreamLimits::new(rng.random()),
            arrivals: HashMap::new(),
            rng,
        }
    }

    /// Adds a preference among equally good replicas that differs between gateways.
    pub fn with_preferences(mut self, local: &DaemonId) -> Self {
        self.candidates = self.candidates.with_preferences(local);
        self
    }

    /// Merges workers' reports into the table; returns the reply to their sender.
    pub fn merge(&mut self, reports: Vec<WorkerReport>, now: Instant) -> TableReply {
        for report in &reports {
            self.table.merge(report.clone(), now);
        }
        TableReply::new(&self.table, &reports)
    }

    /// Applies a view of the leading controller, unless it is older than the current one. Returns
    /// false if the view is so old that the controller which passed it on is partitioned from the
    /// leader.
    pub fn apply_view(&mut self, view: &FleetView, now: Instant) -> bool {
        if self.view.is_newer(view) {
            self.limits.record_published(&view.limits, now);
        }
        self.view.apply(view, &self.reported, now)
    }

    /// Returns the controller that issues permits, from the last view.
    pub fn issuer(&self) -> Option<&DaemonId> {
        self.view.leader()
    }

    /// Returns the hash of the table of workers.
    pub fn digest(&self) -> u64 {
        self.table.table_hash()
    }

    /// Returns the number of workers in the table.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns the number of gateways that share the workers, from the last view.
    pub fn gateways(&self) -> u32 {
        self.view.gateways()
    }

    /// Returns whether the table has no workers.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the workers that take requests, by service.
    pub(crate) fn targets(&mut self) -> ServiceTargets {
        self.candidates.refresh(&self.table);
        let mut targets = ServiceTargets::new();
        for (service, candidate) in self.candidates.all() {
            let target = candidate.to_target(service);
            targets.entry(target.service.clone()).or_default().push(target);
        }
        targets
    }

    /// Returns the workers of a service that are members of replicas and take no requests, for
    /// connections on which nothing is sent. Those that are withheld may have terminated and are left
    /// out.
    pub fn idle_targets(&self, service: &str) -> Vec<UpstreamTarget> {
        let reports = self.table.iter().filter(|entry| entry.is_available());
        let members = reports.map(|entry| &entry.report).filter(|report| {
            let head = report.membership.as_ref().is_none_or(|membership| membership.rank == 0);
            *report.service == service && !head && !self.view.is_withheld(&report.id)
        });
        let target = |report: &WorkerReport| {
            let address = report.address.parse().ok()?;
            let (service, name) = (service.to_owned(), report.id.to_string());
            Some(UpstreamTarget { service, name, address })
        };
        members.filter_map(target).collect()
    }

    /// Returns the worker that a peer names in its request for a tunnel, if it takes requests.
    pub(crate) fn find_target(&mut self, full_name: &str) -> Option<UpstreamTarget> {
        self.candidates.refresh(&self.table);
        let mut all = self.candidates.all();
        let named = all.find(|(service, candidate)| {
            is_full_name(full_name, service.as_str(), candidate.id.as_str())
        });
        named.map(|(service, candidate)| candidate.to_target(service))
    }

    /// Ends all ejections: what failed was this gateway's path to the workers.
    pub fn clear_ejections(&mut self) {
        for local in self.local.values_mut() {
            local.failures = 0;
            local.ejected_until = None;
        }
    }

    /// Removes workers without a report for longer than `silence`, and departed workers after their
    /// own retention time.
    pub fn prune(&mut self, silence: Duration, now: Instant) {
        self.table.expire(silence, now);
        let table = &self.table;
        self.local.retain(|id, local| local.active > 0 || table.get(id).is_some());
        self.backoffs.prune(|id| table.get(id).is_some(), now);
        self.limits.prune(|id| table.get(&WorkerId::from(id)).is_some());
    }

    /// Returns this gateway's load for each worker, to be reported to controllers.
    pub fn loads(&mut self, now: Instant) -> Vec<WorkerLoad> {
        let mut loads = Vec::new();
        self.reported.clear();
        for (id, local) in &self.local {
            let recent = local.progress.map(|at| now.saturating_duration_since(at));
            let idle = recent.is_none_or(|elapsed| elapsed > Duration::from_secs(10));
            if local.active == 0 && idle {
                continue;
            }
            let waiting_ms = local.waiting_ms.max(0.0);
            let shared = SharedLoad { active: local.active, waiting_ms, progress: local.progress };
            self.reported.insert(id.clone(), shared);
            loads.push(WorkerLoad {
                worker: id.clone(),
                active: local.active,
                waiting_ms: waiting_ms as u32,
                progress_ms: recent.map(|elapsed| elapsed.as_millis() as u32),
            });
        }
        loads
    }

    /// Chooses a worker.
    ///
    /// # Errors
    ///
    /// Fails with the reason if no worker can take the request now.
    pub fn pick(&mut self, facts: &PickFacts<'_>, now: Instant) -> Result<PickedWorker, NoWorker> {
        self.candidates.refresh(&self.table);
        let without_permit = self.limits.without_permit(self.gateways(), now);
        let engine = facts.service.engine.as_ref();
        let rng = self.rng.fork();
        let picked = match engine.filter(|engine| !engine.models.is_empty()) {
            Some(engine) => self.pick_replica(facts, engine, &without_permit, rng, now),
            None => self.pick_plain(facts, &without_permit, rng, now),
        };
        match picked {
            Ok((worker, better_with_permit)) => {
                if let Some(better) = better_with_permit {
                    self.limits.record_future_need(&better, PERMIT_LIFETIME, now);
                }
                let permit = self.limits.take(&worker.id, now);
                Ok(PickedWorker { permit, ..worker })
            }
            Err(NoChoice::Reason(reason)) => Err(reason),
            Err(NoChoice::NeedPermits(workers)) => {
                let PermitWait { left, waiting } = facts.permit_wait;
                let wait = if self.limits.record_need_of_any(&workers, left, waiting, now) {
                    LimitedWait::Soon
                } else {
                    LimitedWait::Later(self.limits.wait(&workers, now))
                };
                Err(NoWorker::Limited(wait))
            }
        }
    }

    fn pick_replica(
        &mut self,
        facts: &PickFacts<'_>,
        engine: &Engine,
        without_permit: &HashSet<String>,
        mut rng: ChaCha8Rng,
        now: Instant,
    ) -> Result<(PickedWorker, Option<WorkerId>), NoChoice> {
        let unknown = NoChoice::Reason(NoWorker::Unknown);
        let spec = engine.models.iter().find(|spec| facts.model == Some(&spec.name));
        let Some((model, spec)) = facts.model.zip(spec) else { return Err(unknown) };
        let key = (facts.service.name.clone(), model.clone());
        let rate = self.arrivals.entry(key.clone()).or_insert_with(|| ArrivalRate::new(now));
        rate.record(now);
        let local_arrivals = rate.unreported(now);
        let candidates = self.candidates.replicas(&key);
        let estimate = |candidate: &Candidate| {
            let load = self.load_of(&candidate.id);
            let slowdown = if candidate.cross_domain { engine.cross_domain_factor } else { 1.0 };
            let iteration = engine.iteration_ms(spec, f64::from(load.active + 1)) * slowdown;
            let prefill = engine.prefill_ms(spec, facts.prompt_tokens) * slowdown;
            let first_event_ms = load.waiting_ms + prefill + iteration * 1.5;
            PickedWorker {
                id: candidate.id.clone(),
                address: candidate.address,
                prefill_ms: prefill,
                first_event_ms,
                iteration_ms: iteration,
                permit: None,
            }
        };
        let active = candidates.iter().map(|candidate| self.view.all(&candidate.id).active).sum();
        let answered = unreported_arrivals(engine, spec, active, candidates.len());
        let competitors = self.competitors(local_arrivals, answered);
        let cost = |candidate: &Candidate| {
            let load = self.load_of(&candidate.id);
            let limit = self.local_limit(candidate, engine.slots, competitors, &mut rng);
            let full = self.local_active(&candidate.id) >= limit;
            (!full).then(|| {
                let active_cost = f64::from(load.active) * ACTIVE_REQUEST_COST_MS;
                estimate(candidate).first_event_ms + active_cost + draw_bias_ms(&mut rng)
            })
        };
        let stalled = |candidate: &Candidate| {
            let (load, shared) = (self.load_of(&candidate.id), self.view.all(&candidate.id));
            let expected = expected_silence_ms(estimate(candidate).iteration_ms, load.waiting_ms);
            is_stalled(self.local.get(&candidate.id), &shared, expected, now)
        };
        let choice = self.choose(candidates, facts, without_permit, cost, stalled, now)?;
        Ok((estimate(choice.candidate), choice.better_with_permit))
    }

    fn pick_plain(
        &self,
        facts: &PickFacts<'_>,
        without_permit: &HashSet<String>,
        mut rng: ChaCha8Rng,
        now: Instant,
    ) -> Result<(PickedWorker, Option<WorkerId>), NoChoice> {
        let candidates = self.candidates.plain(&facts.service.name);
        let cost = |candidate: &Candidate| {
            let load = self.load_of(&candidate.id);
            let most = candidate.slots.max(1) * PLAIN_SLOT_FACTOR;
            let share = f64::from(load.active) / f64::from(candidate.slots.max(1));
            (load.active < most).then(|| share * 100.0 + draw_bias_ms(&mut rng))
        };
        let choice = self.choose(candidates, facts, without_permit, cost, |_| false, now)?;
        let worker = PickedWorker {
            id: choice.candidate.id.clone(),
            address: choice.candidate.address,
            prefill_ms: 0.0,
            first_event_ms: 0.0,
            iteration_ms: 0.0,
            permit: None,
        };
        Ok((worker, choice.better_with_permit))
    }

    /// Returns the cheapest candidate. Workers that are ejected or seem stalled are used only if no
    /// other is available; workers that are backing off, or need a permit that is not available,
    /// are never used.
    fn choose<'a>(
        &self,
        candidates: &'a [Candidate],
        facts: &PickFacts<'_>,
        without_permit: &HashSet<String>,
        mut cost: impl FnMut(&Candidate) -> Option<f64>,
        stalled: impl Fn(&Candidate) -> bool,
        now: Instant,
    ) -> Result<Choice<'a>, NoChoice> {
        let usable = |candidate: &&Candidate| !self.view.is_withheld(&candidate.id);
        let mut known = false;
        let mut backoff: Option<Duration> = None;
        let mut best: Option<(bool, f64, &Candidate)> = None;
        let mut best_without_permit: Option<(bool, f64, &Candidate)> = None;
        let mut need_permits: Vec<String> = Vec::new();
        for candidate in candidates.iter().filter(usable) {
            if let Some(reason) = self.backoff(&candidate.id, now) {
                backoff = backoff.into_iter().chain(reason.remaining()).min();
                continue;
            }
            if facts.excluded.contains(&candidate.id) {
                continue;
            }
            known = true;
            let Some(cost) = cost(candidate) else { continue };
            let local = self.local.get(&candidate.id);
            let ejected = self.is_ejected(&candidate.id, now) || stalled(candidate);
            let failing = local.map_or(0.0, |local| local.failing(now));
            let distance = if candidate.same_zone { 0.0 } else { OTHER_ZONE_COST_MS };
            let kept = facts.kept.contains(&candidate.address);
            let connecting = if kept { 0.0 } else { NEW_CONNECTION_COST_MS };
            let apart = distance + connecting + candidate.bias_ms;
            let total = cost + failing * FAILING_COST_MS + apart;
            let needs_permit = without_permit.contains(candidate.id.as_str());
            if needs_permit {
                need_permits.push(candidate.id.to_string());
            }
            let lowest = if needs_permit { &mut best_without_permit } else { &mut best };
            if lowest.is_none_or(|(lowest_ejected, lowest, _)| {
                (ejected, total) < (lowest_ejected, lowest)
            }) {
                *lowest = Some((ejected, total, candidate));
            }
        }
        let Some((best_ejected, best_total, candidate)) = best else {
            return Err(match backoff {
                _ if !need_permits.is_empty() => NoChoice::NeedPermits(need_permits),
                _ if known => NoChoice::Reason(NoWorker::Full),
                Some(left) => NoChoice::Reason(NoWorker::Backoff(left)),
                None => NoChoice::Reason(NoWorker::Unknown),
            });
        };
        let better = best_without_permit
            .filter(|(ejected, total, _)| (*ejected, *total) < (best_ejected, best_total));
        let better_with_permit = better.map(|(_, _, candidate)| candidate.id.clone());
        Ok(Choice { candidate, better_with_permit })
    }

    /// Returns a worker's load: this gateway's current requests, and those of other gateways from
    /// the last view.
    fn load_of(&self, id: &WorkerId) -> SharedLoad {
        let local = self.local.get(id);
        let others = self.view.others(id);
        SharedLoad {
            active: local.map_or(0, |local| local.active) + others.active,
            waiting_ms: local.map_or(0.0, |local| local.waiting_ms) + others.waiting_ms,
            progress: others.progress,
        }
    }

    fn local_active(&self, id: &WorkerId) -> u32 {
        self.local.get(id).map_or(0, |local| local.active)
    }

    /// Returns the number of gateways among which free slots are divided: all gateways, or the
    /// number of requests that all gateways begin before the next reports arrive, if that is lower.
    ///
    /// The number of requests is the larger of two estimates: from this gateway's arrivals, and
    /// from the requests in flight. The first can be wrong because callers are spread unevenly over
    /// gateways, the second because rejected requests are not in flight.
    fn competitors(&self, local_arrivals: f64, answered: Option<f64>) -> f64 {
        let gateways = f64::from(self.gateways());
        let Some(answered) = answered else { return gateways };
        (local_arrivals * gateways).max(answered).clamp(1.0, gateways)
    }

    /// Returns the number of requests that this gateway may have in flight at a worker: its number
    /// in the last view, and its share of the slots that were free then.
    ///
    /// This keeps all gateways together near the worker's capacity although each sees the others'
    /// load with a delay: without free slots, a gateway begins a request only when one of its own
    /// has ended.
    fn local_limit(
        &self,
        candidate: &Candidate,
        slots: u32,
        competitors: f64,
        rng: &mut ChaCha8Rng,
    ) -> u32 {
        let free = f64::from(slots.saturating_sub(self.view.all(&candidate.id).active));
        let share = free * FREE_SLOT_FACTOR / competitors;
        // Round up with the probability of the fractional part.
        let share = (share + rng.random::<f64>()).floor() as u32;
        self.view.local(&candidate.id).active + share
    }

    /// Records that a request was assigned to a worker.
    pub fn begin(&mut self, id: &WorkerId, prefill_ms: f64, now: Instant) {
        self.local.entry(id.clone()).or_default().begin(prefill_ms, now);
    }

    /// Records that the worker has processed a prompt, or never will.
    pub fn end_prefill(&mut self, id: &WorkerId, prefill_ms: f64) {
        if let Some(local) = self.local.get_mut(id) {
            local.waiting_ms = (local.waiting_ms - prefill_ms).max(0.0);
        }
    }

    /// Records that a request is no longer in flight.
    pub fn end(&mut self, id: &WorkerId) {
        if let Some(local) = self.local.get_mut(id) {
            local.end();
        }
    }

    /// Records that part of an answer was received.
    pub fn record_progress(&mut self, id: &WorkerId, now: Instant) {
        self.local.entry(id.clone()).or_default().progress = Some(now);
    }

    /// Returns when part of an answer was last received from a worker.
    pub fn progress(&self, id: &WorkerId) -> Option<Instant> {
        self.local.get(id).and_then(|local| local.progress)
    }

    /// Records a backoff that a worker asked of this gateway.
    pub fn record_backoff(&mut self, id: &WorkerId, backoff: Duration, now: Instant) {
        self.backoffs.record_backoff(id, backoff, now);
    }

    /// Records a worker's notice that it leaves; returns false if that was known.
    pub fn record_leaving(&mut self, id: &WorkerId) -> bool {
        self.backoffs.record_leaving(id)
    }

    /// Returns the permit of a request that was not sent.
    pub fn give_back(&mut self, id: &WorkerId, permit: Permit) {
        self.limits.give_back(id, permit);
    }

    /// Returns the message that is due to the issuer of permits, if any.
    pub fn permits_due(&mut self, now: Instant) -> Option<PermitAsk> {
        self.limits.due(now)
    }

    /// Adds issued permits.
    pub fn take_grant(&mut self, grant: &PermitGrant, now: Instant) {
        self.limits.record_grant(grant, now);
    }

    /// Records that a request begins to wait for a permit.
    pub fn begin_wait(&mut self) {
        self.limits.begin_wait();
    }

    /// Records that a request no longer waits for a permit.
    pub fn end_wait(&mut self) {
        self.limits.end_wait();
    }

    /// Records a worker's notice of its rate limit; returns true if the limit changed.
    pub fn record_limit(&mut self, id: &WorkerId, notice: LimitNotice) -> bool {
        self.limits.record_notice(id, notice)
    }

    /// Returns the rate that a worker accepts from all gateways together, if it stated a limit.
    pub fn limit(&self, id: &WorkerId) -> Option<RequestRate> {
        self.limits.limit(id)
    }

    /// Returns why a worker must not be sent requests now; `None` if it may be.
    pub fn backoff(&self, id: &WorkerId, now: Instant) -> Option<BackoffReason> {
        self.backoffs.reason(id, now)
    }

    /// Returns whether a worker is ejected after consecutive failures.
    pub fn is_ejected(&self, id: &WorkerId, now: Instant) -> bool {
        let until = self.local.get(id).and_then(|local| local.ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Records the outcome of a request at a worker; returns true if the worker is ejected from now on.
    pub fn record_outcome(&mut self, id: &WorkerId, good: bool, now: Instant) -> bool {
        let ejected_before = self.is_ejected(id, now);
        let local = self.local.entry(id.clone()).or_default();
        local.record_result(!good, now);
        if good {
            local.failures = 0;
            local.ejected_until = None;
            return false;
        }
        local.failures += 1;
        if local.failures < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = (local.failures - FAILURES_TO_EJECT).min(8);
        let time = (EJECTION_TIME.0 * 2u32.pow(doublings)).min(EJECTION_TIME.1);
        local.ejected_until = Some(now + time);
        !ejected_before
    }
}

/// Draws a cost below one millisecond, which decides among workers that are otherwise equal.
fn draw_bias_ms(rng: &mut ChaCha8Rng) -> f64 {
    rng.random()
}
