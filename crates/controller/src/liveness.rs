//! Decides which workers can take part, from silence, probes and what gateways see.
//!
//! Silence alone proves nothing: a worker may be cut off from controllers while
//! it serves gateways. While a replica's answers move, all its members run. A
//! refused connection proves nothing either, since a cut may refuse it; only a
//! new life under the same address proves that the old one has ended.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hollowbarrow_fleet::WorkerStanding;
use hollowbarrow_fleet::workers::WorkerEntry;
use hollowbarrow_schema::WorkerId;
use tokio::time::Instant;

use crate::fleet::{FleetState, WorkerUse};

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
/// Time after which a worker that said that it goes has ended.
const GONE_TIME: Duration = Duration::from_secs(12);

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// The worker answered.
    Answered,
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
}

/// Standing of each worker, kept by who leads.
#[derive(Debug, Default)]
pub(crate) struct LivenessJudge {
    probes: HashMap<WorkerId, ProbeRecord>,
}

/// What a judgement rests on.
pub(crate) struct LivenessFacts<'a> {
    pub(crate) uses: &'a BTreeMap<WorkerId, WorkerUse>,
    /// Worker that was heard of last under each address.
    pub(crate) holders: &'a HashMap<String, WorkerId>,
    pub(crate) heartbeat: Duration,
    pub(crate) now: Instant,
}

/// What was found of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Judgement {
    pub(crate) standing: WorkerStanding,
    /// Whether it should be probed now.
    pub(crate) probe: bool,
}

impl LivenessJudge {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Judges a worker; `head` is the head of the serving replica that it is a member of.
    pub(crate) fn judge(
        &self,
        entry: &WorkerEntry,
        head: Option<&WorkerId>,
        facts: &LivenessFacts<'_>,
    ) -> Judgement {
        let probe = self.probes.get(&entry.report.id).copied().unwrap_or_default();
        let silence = facts.now.saturating_duration_since(entry.heard);
        let settled = |standing| Judgement { standing, probe: false };
        let holder = facts.holders.get(&entry.report.address);
        let replaced = holder.is_some_and(|holder| *holder != entry.report.id);
        if replaced {
            return settled(WorkerStanding::Dead);
        }
        if entry.report.gone || entry.report.leaving {
            let ended = silence > GONE_TIME;
            return settled(if ended { WorkerStanding::Dead } else { WorkerStanding::Leaving });
        }
        let head_use = head.and_then(|head| facts.uses.get(head)).copied().unwrap_or_default();
        let moving = |within: Duration| {
            head_use.progress.is_some_and(|at| facts.now.saturating_duration_since(at) < within)
        };
        let still = head.is_some() && head_use.active > 0 && !moving(STILL_TIME);
        let overdue = silence > facts.heartbeat.mul_f64(PROBED_BEATS);
        let answered = probe.answered.is_some_and(|at| at > entry.heard);
        let unheard = probe.silent >= LOST_PROBES;
        if !(overdue || still || unheard) || (head.is_some() && moving(PROOF_TIME)) {
            return settled(WorkerStanding::Usable);
        }
        let pause = if unheard { LOST_PROBE_PAUSE } else { PROBE_PAUSE };
        let due = probe.sent.is_none_or(|at| facts.now.saturating_duration_since(at) >= pause);
        let waits = answered && !still && !due;
        let standing = if unheard { WorkerStanding::Lost } else { WorkerStanding::Usable };
        Judgement { standing, probe: due && !probe.under_way && !waits }
    }

    /// Notes that a probe goes out.
    pub(crate) fn begin_probe(&mut self, worker: &WorkerId, now: Instant) {
        let probe = self.probes.entry(worker.clone()).or_default();
        probe.sent = Some(now);
        probe.under_way = true;
    }

    /// Notes what a probe found.
    pub(crate) fn end_probe(&mut self, worker: &WorkerId, outcome: ProbeOutcome, now: Instant) {
        let probe = self.probes.entry(worker.clone()).or_default();
        probe.under_way = false;
        match outcome {
            ProbeOutcome::Answered => {
                probe.silent = 0;
                probe.answered = Some(now);
            }
            // A cut may refuse connections too, so that this proves nothing by itself.
            ProbeOutcome::Refused => probe.silent += LOST_PROBES,
            ProbeOutcome::Silent => probe.silent += 1,
        }
    }

    /// Forgets silent probes of workers that were heard of since, and workers that are not known.
    pub(crate) fn tidy(&mut self, fleet: &FleetState) {
        self.probes.retain(|worker, _| fleet.table().get(worker).is_some());
        for (worker, probe) in &mut self.probes {
            let heard = fleet.table().get(worker).map(|entry| entry.heard);
            if heard > probe.sent && !probe.under_way {
                probe.silent = 0;
            }
        }
    }
}

/// The worker that was heard of last under each address; the others there have ended.
pub(crate) fn find_holders(fleet: &FleetState) -> HashMap<String, WorkerId> {
    let mut entries: Vec<&WorkerEntry> =
        fleet.table().iter().filter(|entry| !entry.report.gone).collect();
    entries.sort_by_key(|entry| entry.heard);
    let holder = |entry: &WorkerEntry| (entry.report.address.clone(), entry.report.id.clone());
    entries.into_iter().map(holder).collect()
}
