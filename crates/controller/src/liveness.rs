//! Decides which workers can take part, from silence, probes and what gateways see.
//!
//! Silence alone proves nothing: a worker may be cut off from controllers while
//! it serves gateways. While a replica's answers move, all its members run. A
//! refused connection proves nothing either, since a cut may refuse it; only a
//! new life under the same address proves that the old one has ended. That life
//! says so itself when it is probed, or goes on registering while the old one
//! is silent. One registration is not enough: the old one's may come late.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_fleet::workers::WorkerEntry;
use hollowbarrow_fleet::{WorkerStatus, WorkerTable};
use hollowbarrow_schema::WorkerId;
use tokio::time::Instant;

/// Heartbeats that may be missing before a worker is probed.
const PROBED_BEATS: f64 = 1.6;
/// Probes without an answer that make a worker lost.
const LOST_PROBES: u32 = 2;
/// Pause between two probes of a worker, and of one that is lost already.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
const LOST_PROBE_PAUSE: Duration = Duration::from_millis(2500);
/// Time without anything of an answer after which a replica with requests stands still.
const STILL_TIME: Duration = Duration::from_millis(600);
/// Time for which something of an answer proves that all members run.
const PROOF_TIME: Duration = Duration::from_millis(600);
/// Heartbeats for which a new life must go on registering before the old one counts as ended.
const SUCCESSOR_BEATS: f64 = 2.0;
/// Time after which a worker that said that it goes has ended.
const GONE_TIME: Duration = Duration::from_secs(12);

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The worker answered.
    Answered,
    /// Another worker has the address.
    Replaced,
    /// A connection to its address was refused.
    Refused,
    /// No answer came in time.
    Silent,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProbeRecord {
    silent: u32,
    answered: Option<Instant>,
    sent: Option<Instant>,
    under_way: bool,
    replaced: bool,
    /// How often the worker's numbers had been let go back when this began.
    recount: Option<u32>,
}

/// Requests under way at a worker, over all gateways.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerUse {
    /// Requests that were sent and not answered whole.
    pub active: u32,
    /// Estimated time to read the prompts that have had no first event yet.
    pub waiting_ms: u32,
    /// When something of an answer last came, as far as gateways told.
    pub progress: Option<Instant>,
}

/// Standing of each worker, kept by who leads.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    probes: HashMap<WorkerId, ProbeRecord>,
}

/// What a judgement rests on.
pub struct LivenessFacts<'a> {
    /// Requests under way at each worker.
    pub uses: &'a BTreeMap<WorkerId, WorkerUse>,
    /// Workers whose address or name another life has taken, see [`find_terminated`].
    pub ended: &'a HashSet<WorkerId>,
    /// Time between two registrations of a worker.
    pub heartbeat: Duration,
    /// When the judgement is made.
    pub now: Instant,
}

/// What was found of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// Whether it can take part.
    pub standing: WorkerStatus,
    /// Whether it should be probed now.
    pub probe: bool,
}

impl LivenessTracker {
    /// Creates a judge that has probed nobody yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Judges a worker; `head` is the head of the serving replica that it is a member of.
    pub fn judge(
        &self,
        entry: &WorkerEntry,
        head: Option<&WorkerId>,
        facts: &LivenessFacts<'_>,
    ) -> Assessment {
        let probe = self.probes.get(&entry.report.id).copied().unwrap_or_default();
        let silence = facts.now.saturating_duration_since(entry.last_received);
        let settled = |standing| Assessment { standing, probe: false };
        if probe.replaced || facts.ended.contains(&entry.report.id) {
            return settled(WorkerStatus::Dead);
        }
        if entry.superseded {
            // A later life was heard of. Until it has gone on, or has answered a probe of this one,
            // it may be another writer's, and this one may still head a replica.
            let due =
                probe.sent.is_none_or(|at| facts.now.saturating_duration_since(at) >= PROBE_PAUSE);
            return Assessment { standing: WorkerStatus::Lost, probe: due && !probe.under_way };
        }
        if entry.report.gone || entry.report.leaving {
            let ended = silence > GONE_TIME;
            return settled(if ended { WorkerStatus::Dead } else { WorkerStatus::Leaving });
        }
        let head_use = head.and_then(|head| facts.uses.get(head)).copied().unwrap_or_default();
        let moving = |within: Duration| {
            head_use.progress.is_some_and(|at| facts.now.saturating_duration_since(at) < within)
        };
        let still = head.is_some() && head_use.active > 0 && !moving(STILL_TIME);
        let overdue = silence > facts.heartbeat.mul_f64(PROBED_BEATS);
        let answered = probe.answered.is_some_and(|at| at > entry.last_received);
        let unheard = probe.silent >= LOST_PROBES;
        if !(overdue || still || unheard) || (head.is_some() && moving(PROOF_TIME)) {
            return settled(WorkerStatus::Usable);
        }
        let pause = if unheard { LOST_PROBE_PAUSE } else { PROBE_PAUSE };
        let due = probe.sent.is_none_or(|at| facts.now.saturating_duration_since(at) >= pause);
        let waits = answered && !still && !due;
        let standing = if unheard { WorkerStatus::Lost } else { WorkerStatus::Usable };
        Assessment { standing, probe: due && !probe.under_way && !waits }
    }

    /// Notes that a probe goes out.
    pub fn record_probe_sent(&mut self, worker: &WorkerId, now: Instant) {
        let probe = self.probes.entry(worker.clone()).or_default();
        probe.sent = Some(now);
        probe.under_way = true;
    }

    /// Notes what a probe found.
    pub fn record_probe_result(&mut self, worker: &WorkerId, outcome: ProbeOutcome, now: Instant) {
        let probe = self.probes.entry(worker.clone()).or_default();
        probe.under_way = false;
        match outcome {
            ProbeOutcome::Answered => {
                probe.silent = 0;
                probe.answered = Some(now);
            }
            ProbeOutcome::Replaced => probe.replaced = true,
            // A cut may refuse connections too, so that this proves nothing by itself.
            ProbeOutcome::Refused => probe.silent += LOST_PROBES,
            ProbeOutcome::Silent => probe.silent += 1,
        }
    }

    /// Forgets silent probes of workers that were heard of since, and workers that are not known.
    pub fn tidy(&mut self, table: &WorkerTable) {
        self.probes.retain(|worker, _| table.get(worker).is_some());
        for (worker, probe) in &mut self.probes {
            let recount = table.get(worker).and_then(|entry| entry.report.recount);
            if recount > probe.recount {
                // What was found then was of another writer under this name.
                *probe = ProbeRecord { recount, ..ProbeRecord::default() };
            }
            let heard = table.get(worker).map(|entry| entry.last_received);
            if heard > probe.sent && !probe.under_way {
                probe.silent = 0;
            }
        }
    }
}

/// Workers that have ended, because another life registers under their address or name.
pub fn find_terminated(table: &WorkerTable, heartbeat: Duration) -> HashSet<WorkerId> {
    let mut ended = find_replaced(table, heartbeat);
    let superseded = table.iter().filter(|entry| entry.superseded);
    ended.extend(superseded.filter_map(|old| {
        let new = table.newest_instance(old.report.id.name())?;
        goes_on_since(new, old, heartbeat).then(|| old.report.id.clone())
    }));
    ended
}

/// Workers whose address another life has taken.
fn find_replaced(table: &WorkerTable, heartbeat: Duration) -> HashSet<WorkerId> {
    let mut lives: HashMap<&str, Vec<&WorkerEntry>> = HashMap::new();
    for entry in table.iter() {
        lives.entry(entry.report.address.as_str()).or_default().push(entry);
    }
    let shared = lives.into_values().filter(|entries| entries.len() > 1);
    let ended = shared.flat_map(|entries| {
        let ended = entries
            .iter()
            .filter(|old| entries.iter().any(|new| is_successor(new, old, heartbeat)));
        ended.map(|old| old.report.id.clone()).collect::<Vec<_>>()
    });
    ended.collect()
}

/// Whether `new` has gone on registering for long enough since `old` was last heard of.
fn is_successor(new: &WorkerEntry, old: &WorkerEntry, heartbeat: Duration) -> bool {
    let later = new.first_received >= old.first_received && new.report.id != old.report.id;
    later && goes_on_since(new, old, heartbeat)
}

fn goes_on_since(new: &WorkerEntry, old: &WorkerEntry, heartbeat: Duration) -> bool {
    let since = new.first_received.max(old.last_received);
    new.last_received.saturating_duration_since(since) >= heartbeat.mul_f64(SUCCESSOR_BEATS)
}
