//! Chooses the worker for a request.
//!
//! Candidates follow from the workers' reports: a replica takes requests while
//! its head says that it is open, no member says that it leaves, and the
//! leading controller does not withhold it. Among them the one with the
//! shortest estimated time to the first event is chosen, from the engine's
//! figures, this gateway's requests and what others were reported to have.
//!
//! Trade-off: figures of other gateways are up to half a second old. That is
//! why the choice counts what this gateway sent since, and is not repeated.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use hollowbarrow_fleet::{Engine, Service, WorkerTable};
use hollowbarrow_routing::{
    BackoffReason, BackoffTable, LimitNotice, PERMIT_LIFETIME, Permit, UpstreamLimits,
};
use hollowbarrow_schema::{
    DaemonId, FleetView, ModelName, PermitAsk, PermitGrant, RequestRate, ServiceName, WorkerId,
    WorkerLoad, WorkerReport, ZoneId,
};
use tokio::time::Instant;

use crate::candidates::{Candidate, CandidateIndex};
use crate::estimate::{ArrivalRate, arrivals_unheard};
use crate::loads::{OwnLoad, SharedLoad, expected_silence_ms, stands_still};
use crate::shared_view::SharedView;

/// Cost of a worker in another zone, in milliseconds: far more than the way there takes. Gateways
/// know late what others have under way, and where those of one zone share its replicas fewer
/// choose by the same late figures. Measured on days with lost workers: 0.014 more worth at 40 ms
/// than at 12, 0.015 more at 160 than at 40, and no difference that was shown at 400.
const OTHER_ZONE_MS: f64 = 160.0;
/// Cost of a new connection to a worker, in milliseconds: more than it takes, since workers accept
/// few of them at a time.
const NEW_CONNECTION_MS: f64 = 12.0;
/// Cost of each request under way at a replica, in milliseconds.
const ACTIVE_MS: f64 = 3.0;
/// Cost of a worker that fails every request, in milliseconds.
const FAILING_MS: f64 = 400.0;
/// Failures in a row after which a worker is left out for a time.
const FAILURES_TO_EJECT: u32 = 2;
/// Shortest and longest time for which a worker is left out.
const EJECTION: (Duration, Duration) = (Duration::from_millis(800), Duration::from_secs(6));
/// Part of its even share of free places that a gateway uses: somewhat more, since gateways get
/// uneven shares of callers.
const FREE_SHARE: f64 = 1.2;
/// Requests that plain workers are given at once for each of their slots.
const PLAIN_SLOT_FACTOR: u32 = 2;

/// Why no worker was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoWorker {
    /// None takes requests.
    Unknown,
    /// All have as much as they can work on.
    Full,
    /// All have asked for no requests; the first wants some again after this time.
    Backoff(Duration),
    /// All that have room take only so many a second.
    Limited(LimitedWait),
}

/// When a request may go to workers that take only so many a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitedWait {
    /// It may be at any moment, so that the request can wait for that.
    Soon,
    /// It is not before this time.
    Later(Duration),
}

/// A worker that was chosen.
#[derive(Clone, Debug)]
pub struct PickedWorker {
    /// Its identity.
    pub id: WorkerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Estimated time to read the prompt.
    pub reading_ms: f64,
    /// Estimated time to the first event.
    pub first_ms: f64,
    /// Estimated time of one pass, within which a stream should move.
    pub pass_ms: f64,
    /// What allows the request there, where the worker takes only so many a second.
    pub permit: Option<Permit>,
}

/// What a request asks of a worker.
#[derive(Clone, Copy, Debug)]
pub struct PickFacts<'a> {
    /// The service that it goes to.
    pub service: &'a Service,
    /// The model that it asks for.
    pub model: Option<&'a ModelName>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Workers that were tried already.
    pub excluded: &'a [WorkerId],
    /// Addresses to which a kept connection waits.
    pub kept: &'a HashSet<SocketAddr>,
    /// For how long it can wait for a permit, and whether it has waited already.
    pub patience: PermitPatience,
}

/// How a request waits for a permit where all workers that have room need one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitPatience {
    /// Time that is left to wait.
    pub left: Duration,
    /// Whether it has begun to wait.
    pub waits: bool,
}

/// The cheapest candidate, and one that would be cheaper with a permit.
struct Choice<'a> {
    candidate: &'a Candidate,
    better_with_permit: Option<WorkerId>,
}

/// Why none of the candidates is chosen.
enum NoChoice {
    /// For this reason.
    Reason(NoWorker),
    /// These need permits, which are not there.
    Lacking(Vec<String>),
}

/// Knows the workers and chooses among them.
#[derive(Debug)]
pub struct WorkerPicker {
    table: WorkerTable,
    candidates: CandidateIndex,
    view: SharedView,
    own: HashMap<WorkerId, OwnLoad>,
    reported: HashMap<WorkerId, SharedLoad>,
    /// Workers that want no requests from this gateway.
    backoffs: BackoffTable<WorkerId>,
    /// Workers that take only so many requests a second.
    limits: UpstreamLimits,
    /// How often each model is asked for here.
    arrivals: HashMap<(ServiceName, ModelName), ArrivalRate>,
}

impl WorkerPicker {
    /// Creates a picker of a gateway in this zone, which knows no worker yet.
    pub fn new(zone: &ZoneId) -> Self {
        Self {
            table: WorkerTable::new(),
            candidates: CandidateIndex::new(zone),
            view: SharedView::default(),
            own: HashMap::new(),
            reported: HashMap::new(),
            backoffs: BackoffTable::new(),
            limits: UpstreamLimits::new(rand::random()),
            arrivals: HashMap::new(),
        }
    }

    /// Prefers some replicas to others that are as good, by the identity of this gateway.
    pub fn with_preferences(mut self, own: &DaemonId) -> Self {
        self.candidates = self.candidates.with_preferences(own);
        self
    }

    /// Takes reports of workers in.
    pub fn merge(&mut self, reports: Vec<WorkerReport>, now: Instant) {
        for report in reports {
            self.table.merge(report, now);
        }
    }

    /// Takes the leading controller's view in; older ones are passed over. False for one that is
    /// so old that whoever passed it on is cut off from the leader.
    pub fn take_view(&mut self, view: &FleetView, now: Instant) -> bool {
        if self.view.is_newer(view) {
            self.limits.record_published(&view.limits, now);
        }
        self.view.take(view, &self.reported, now)
    }

    /// The controller that issues permits, as last told.
    pub fn issuer(&self) -> Option<&DaemonId> {
        self.view.leader()
    }

    /// Digest of the table of workers.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Number of workers known.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Gateways that share the workers, as last told.
    pub fn gateways(&self) -> u32 {
        self.view.gateways()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Forgets workers that have gone.
    pub fn tidy(&mut self, silence: Duration, now: Instant) {
        self.table.expire(silence, now);
        let table = &self.table;
        self.own.retain(|id, own| own.active > 0 || table.get(id).is_some());
        self.backoffs.prune(|id| table.get(id).is_some(), now);
        self.limits.prune(|id| table.get(&WorkerId::from(id)).is_some());
    }

    /// What this gateway has under way, to be told to controllers.
    pub fn loads(&mut self, now: Instant) -> Vec<WorkerLoad> {
        let mut loads = Vec::new();
        self.reported.clear();
        for (id, own) in &self.own {
            let recent = own.progress.map(|at| now.saturating_duration_since(at));
            let idle = recent.is_none_or(|elapsed| elapsed > Duration::from_secs(10));
            if own.active == 0 && idle {
                continue;
            }
            let waiting_ms = own.waiting_ms.max(0.0);
            let shared = SharedLoad { active: own.active, waiting_ms, progress: own.progress };
            self.reported.insert(id.clone(), shared);
            loads.push(WorkerLoad {
                worker: id.clone(),
                active: own.active,
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
    /// Says why no worker can be given the request now.
    pub fn pick(&mut self, facts: &PickFacts<'_>, now: Instant) -> Result<PickedWorker, NoWorker> {
        self.candidates.refresh(&self.table);
        let lacking = self.limits.without_permit(self.gateways(), now);
        let engine = facts.service.engine.as_ref();
        let picked = match engine.filter(|engine| !engine.models.is_empty()) {
            Some(engine) => self.pick_replica(facts, engine, &lacking, now),
            None => self.pick_plain(facts, &lacking, now),
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
            Err(NoChoice::Lacking(workers)) => {
                let PermitPatience { left, waits } = facts.patience;
                let wait = if self.limits.record_need_of_any(&workers, left, waits, now) {
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
        lacking: &HashSet<String>,
        now: Instant,
    ) -> Result<(PickedWorker, Option<WorkerId>), NoChoice> {
        let unknown = NoChoice::Reason(NoWorker::Unknown);
        let spec = engine.models.iter().find(|spec| facts.model == Some(&spec.name));
        let Some((model, spec)) = facts.model.zip(spec) else { return Err(unknown) };
        let key = (facts.service.name.clone(), model.clone());
        let rate = self.arrivals.entry(key.clone()).or_insert_with(|| ArrivalRate::new(now));
        rate.note(now);
        let own_arrivals = rate.unheard(now);
        let candidates = self.candidates.replicas(&key);
        let estimate = |candidate: &Candidate| {
            let load = self.load_of(&candidate.id);
            let slower = if candidate.scattered { engine.far } else { 1.0 };
            let pass = engine.pass_ms(spec, f64::from(load.active + 1)) * slower;
            let reading = engine.reading_ms(spec, facts.prompt_tokens) * slower;
            let first_ms = load.waiting_ms + reading + pass * 1.5;
            PickedWorker {
                id: candidate.id.clone(),
                address: candidate.address,
                reading_ms: reading,
                first_ms,
                pass_ms: pass,
                permit: None,
            }
        };
        let active = candidates.iter().map(|one| self.view.all(&one.id).active).sum();
        let answered = arrivals_unheard(engine, spec, active, candidates.len());
        let competitors = self.competitors(own_arrivals, answered);
        let cost = |candidate: &Candidate| {
            let load = self.load_of(&candidate.id);
            let limit = self.own_limit(candidate, engine.slots, competitors);
            let full = self.own_active(&candidate.id) >= limit;
            (!full).then(|| estimate(candidate).first_ms + f64::from(load.active) * ACTIVE_MS)
        };
        let still = |candidate: &Candidate| {
            let (load, shared) = (self.load_of(&candidate.id), self.view.all(&candidate.id));
            let expected = expected_silence_ms(estimate(candidate).pass_ms, load.waiting_ms);
            stands_still(self.own.get(&candidate.id), &shared, expected, now)
        };
        let choice = self.choose(candidates, facts, lacking, cost, still, now)?;
        Ok((estimate(choice.candidate), choice.better_with_permit))
    }

    fn pick_plain(
        &self,
        facts: &PickFacts<'_>,
        lacking: &HashSet<String>,
        now: Instant,
    ) -> Result<(PickedWorker, Option<WorkerId>), NoChoice> {
        let candidates = self.candidates.plain(&facts.service.name);
        let cost = |candidate: &Candidate| {
            let load = self.load_of(&candidate.id);
            let most = candidate.slots.max(1) * PLAIN_SLOT_FACTOR;
            let part = f64::from(load.active) / f64::from(candidate.slots.max(1));
            (load.active < most).then_some(part * 100.0)
        };
        let choice = self.choose(candidates, facts, lacking, cost, |_| false, now)?;
        let worker = PickedWorker {
            id: choice.candidate.id.clone(),
            address: choice.candidate.address,
            reading_ms: 0.0,
            first_ms: 0.0,
            pass_ms: 0.0,
            permit: None,
        };
        Ok((worker, choice.better_with_permit))
    }

    /// The cheapest candidate; workers that are left out, or seem to stand still, are used only
    /// where no other is there, and those that want no requests, or need permits that are not there,
    /// not even then.
    fn choose<'a>(
        &self,
        candidates: &'a [Candidate],
        facts: &PickFacts<'_>,
        lacking: &HashSet<String>,
        cost: impl Fn(&Candidate) -> Option<f64>,
        still: impl Fn(&Candidate) -> bool,
        now: Instant,
    ) -> Result<Choice<'a>, NoChoice> {
        let usable = |candidate: &&Candidate| !self.view.is_withheld(&candidate.id);
        let mut known = false;
        let mut backoff: Option<Duration> = None;
        let mut best: Option<(bool, f64, &Candidate)> = None;
        let mut best_lacking: Option<(bool, f64, &Candidate)> = None;
        let mut needing: Vec<String> = Vec::new();
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
            let own = self.own.get(&candidate.id);
            let ejected = self.is_left_out(&candidate.id, now) || still(candidate);
            let failing = own.map_or(0.0, |own| own.failing(now));
            let distance = if candidate.near { 0.0 } else { OTHER_ZONE_MS };
            let kept = facts.kept.contains(&candidate.address);
            let connecting = if kept { 0.0 } else { NEW_CONNECTION_MS };
            let bias = candidate.bias_ms + rand::random::<f64>();
            let total = cost + failing * FAILING_MS + distance + connecting + bias;
            let lacks = lacking.contains(candidate.id.as_str());
            if lacks {
                needing.push(candidate.id.to_string());
            }
            let least = if lacks { &mut best_lacking } else { &mut best };
            if least.is_none_or(|(left_out, least, _)| (ejected, total) < (left_out, least)) {
                *least = Some((ejected, total, candidate));
            }
        }
        let Some((left_out, least, candidate)) = best else {
            return Err(match backoff {
                _ if !needing.is_empty() => NoChoice::Lacking(needing),
                _ if known => NoChoice::Reason(NoWorker::Full),
                Some(left) => NoChoice::Reason(NoWorker::Backoff(left)),
                None => NoChoice::Reason(NoWorker::Unknown),
            });
        };
        let better = best_lacking.filter(|(out, total, _)| (*out, *total) < (left_out, least));
        let better_with_permit = better.map(|(_, _, candidate)| candidate.id.clone());
        Ok(Choice { candidate, better_with_permit })
    }

    /// Requests under way at a worker: this gateway's now, and those of others as last told.
    fn load_of(&self, id: &WorkerId) -> SharedLoad {
        let own = self.own.get(id);
        let others = self.view.others(id);
        SharedLoad {
            active: own.map_or(0, |own| own.active) + others.active,
            waiting_ms: own.map_or(0.0, |own| own.waiting_ms) + others.waiting_ms,
            progress: others.progress,
        }
    }

    fn own_active(&self, id: &WorkerId) -> u32 {
        self.own.get(id).map_or(0, |own| own.active)
    }

    /// Gateways among which free places are divided: all, or as many as begin a request before they
    /// hear of each other again, where those are fewer.
    ///
    /// Their requests are estimated from this gateway's own, and from what is under way: gateways
    /// get uneven shares of callers, and what is refused is not under way.
    fn competitors(&self, own_arrivals: f64, answered: Option<f64>) -> f64 {
        let gateways = f64::from(self.gateways());
        let Some(answered) = answered else { return gateways };
        (own_arrivals * gateways).max(answered).clamp(1.0, gateways)
    }

    /// Requests that this gateway may have under way at a worker: what it had when it last told,
    /// and its part of the places that were free then.
    ///
    /// So all gateways together stay near the worker's places although each knows of the others
    /// late: once none is free, each begins a request only when one of its own has ended.
    fn own_limit(&self, candidate: &Candidate, slots: u32, competitors: f64) -> u32 {
        let free = f64::from(slots.saturating_sub(self.view.all(&candidate.id).active));
        let part = free * FREE_SHARE / competitors;
        // A part of a place is given now and then.
        let part = (part + rand::random::<f64>()).floor() as u32;
        self.view.own(&candidate.id).active + part
    }

    /// Notes that a request went to a worker.
    pub fn begin(&mut self, id: &WorkerId, reading_ms: f64, now: Instant) {
        self.own.entry(id.clone()).or_default().begin(reading_ms, now);
    }

    /// Notes that a prompt was read, or will not be.
    pub fn end_reading(&mut self, id: &WorkerId, reading_ms: f64) {
        if let Some(own) = self.own.get_mut(id) {
            own.waiting_ms = (own.waiting_ms - reading_ms).max(0.0);
        }
    }

    /// Notes that a request is no longer under way.
    pub fn end(&mut self, id: &WorkerId) {
        if let Some(own) = self.own.get_mut(id) {
            own.end();
        }
    }

    /// Notes that something of an answer came.
    pub fn note_progress(&mut self, id: &WorkerId, now: Instant) {
        self.own.entry(id.clone()).or_default().progress = Some(now);
    }

    /// When something of an answer last came from a worker.
    pub fn progress(&self, id: &WorkerId) -> Option<Instant> {
        self.own.get(id).and_then(|own| own.progress)
    }

    /// Notes that a worker asked for no requests from this gateway for some time.
    pub fn note_backoff(&mut self, id: &WorkerId, backoff: Duration, now: Instant) {
        self.backoffs.record_backoff(id, backoff, now);
    }

    /// Notes that a worker said that it is about to end; false where that is known.
    pub fn note_leaving(&mut self, id: &WorkerId) -> bool {
        self.backoffs.record_leaving(id)
    }

    /// Gives a permit back that was taken for a request which did not go.
    pub fn give_back(&mut self, id: &WorkerId, permit: Permit) {
        self.limits.give_back(id, permit);
    }

    /// What to tell the issuer of permits now, if there is anything.
    pub fn permits_due(&mut self, now: Instant) -> Option<PermitAsk> {
        self.limits.due(now)
    }

    /// Takes in the permits that were issued.
    pub fn take_grant(&mut self, grant: &PermitGrant, now: Instant) {
        self.limits.record_grant(grant, now);
    }

    /// Notes that a request begins to wait for a permit.
    pub fn begin_wait(&mut self) {
        self.limits.begin_wait();
    }

    /// Notes that a request waits for a permit no more.
    pub fn end_wait(&mut self) {
        self.limits.end_wait();
    }

    /// Notes what a worker said of its limit; true where that is another one now.
    pub fn note_limit(&mut self, id: &WorkerId, word: LimitNotice) -> bool {
        self.limits.record_notice(id, word)
    }

    /// Requests a second that a worker takes from all gateways, if it has named a limit.
    pub fn limit(&self, id: &WorkerId) -> Option<RequestRate> {
        self.limits.limit(id)
    }

    /// Why a worker is to be sent nothing now; none where it may be sent requests.
    pub fn backoff(&self, id: &WorkerId, now: Instant) -> Option<BackoffReason> {
        self.backoffs.reason(id, now)
    }

    /// Whether a worker is left out since it has failed several times in a row.
    pub fn is_left_out(&self, id: &WorkerId, now: Instant) -> bool {
        let until = self.own.get(id).and_then(|own| own.ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Notes how a request ended at a worker; true where the worker is left out now.
    pub fn note_outcome(&mut self, id: &WorkerId, good: bool, now: Instant) -> bool {
        let own = self.own.entry(id.clone()).or_default();
        own.note_failing(!good, now);
        if good {
            own.failures = 0;
            own.ejected_until = None;
            return false;
        }
        own.failures += 1;
        if own.failures < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = (own.failures - FAILURES_TO_EJECT).min(8);
        let time = (EJECTION.0 * 2u32.pow(doublings)).min(EJECTION.1);
        own.ejected_until = Some(now + time);
        true
    }
}
