//! Decides which workers can take part, from missing registrations, probes and the progress that
//! gateways report.
//!
//! Silence alone proves nothing: a worker may be partitioned from controllers while it serves
//! gateways. While a replica's answers make progress, all its members run. A refused connection
//! proves nothing either, since a partition may refuse it. Only a new instance under the same
//! address or name proves that the old one has terminated: it answers a probe of the old one with
//! its own identity, or continues to register while the old one is silent. One registration is not
//! enough, since a registration of the old instance may arrive late.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use hollowbarrow_fleet::workers::WorkerEntry;
use hollowbarrow_fleet::{WorkerStatus, WorkerTable};
use hollowbarrow_schema::WorkerId;
use tokio::time::Instant;

/// Heartbeats without a registration after which a worker is probed.
const PROBE_AFTER_BEATS: f64 = 1.6;
/// Probes without an answer after which a worker counts as lost.
const LOST_PROBES: u32 = 2;
/// Time between two probes of a worker.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two probes of a worker that counts as lost.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(2500);
/// Time without progress of any answer after which a replica with requests in flight counts as
/// stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which progress of an answer proves that all members run.
const PROGRESS_VALIDITY: Duration = Duration::from_millis(600);
/// Heartbeats for which a new instance must continue to register before the old one counts as
/// terminated.
const SUCCESSOR_BEATS: f64 = 2.0;
/// Time after its last report after which a worker that reported that it leaves counts as
/// terminated.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(12);

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The worker answered.
    Answered,
    /// Another worker answered at the address.
    Replaced,
    /// A connection to the address was refused.
    Refused,
    /// No answer arrived within the timeout.
    Silent,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProbeRecord {
    silent: u32,
    answered: Option<Instant>,
    sent: Option<Instant>,
    in_progress: bool,
    replaced: bool,
    /// The worker's `recount` when this record was created: how often a regression of its sequence
    /// numbers had been accepted.
    recount: Option<u32>,
}

/// Requests in flight at a worker, over all gateways.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerUse {
    /// Requests that were sent and not answered completely.
    pub active: u32,
    /// Estimated time to process the prompts of requests without a first event.
    pub waiting_ms: u32,
    /// When a part of any answer last arrived, as reported by gateways.
    pub progress: Option<Instant>,
}

/// Probe results of each worker, kept by the leader.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    probes: HashMap<WorkerId, ProbeRecord>,
}

/// Inputs of an assessment.
pub struct LivenessFacts<'a> {
    /// Requests in flight at each worker.
    pub uses: &'a BTreeMap<WorkerId, WorkerUse>,
    /// Workers whose address or name another instance has taken over, see [`find_terminated`].
    pub terminated: &'a HashSet<WorkerId>,
    /// Time between two registrations of a worker.
    pub heartbeat: Duration,
    /// Time of the assessment.
    pub now: Instant,
}

/// Result of assessing one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// Whether it can take part.
    pub standing: WorkerStatus,
    /// Whether it should be probed now.
    pub probe: bool,
    /// Whether only the progress of answers shows that it runs.
    pub shown_by_progress: bool,
}

impl LivenessTracker {
    /// Creates a tracker without probe results.
    pub fn new() -> Self {
        Self::default()
    }

    /// Assesses a worker; `head` is the head of the serving replica that the worker is a member of.
    pub fn assess(
        &self,
        entry: &WorkerEntry,
        head: Option<&WorkerId>,
        facts: &LivenessFacts<'_>,
    ) -> Assessment {
        let probe = self.probes.get(&entry.report.id).copied().unwrap_or_default();
        let silence = facts.now.saturating_duration_since(entry.last_received);
        let settled = |standing| Assessment { standing, probe: false, shown_by_progress: false };
        if probe.replaced || facts.terminated.contains(&entry.report.id) {
            return settled(WorkerStatus::Dead);
        }
        if entry.superseded {
            // A later instance has registered. Until it has continued to register, or has answered a
            // probe of this one, it may come from another writer, and this one may still head a
            // replica.
            let due = probe
                .sent
                .is_none_or(|at| facts.now.saturating_duration_since(at) >= PROBE_INTERVAL);
            let probe = due && !probe.in_progress;
            return Assessment { probe, ..settled(WorkerStatus::Lost) };
        }
        if entry.report.gone || entry.report.leaving {
            let terminated = silence > DEPARTURE_TIMEOUT;
            return settled(if terminated { WorkerStatus::Dead } else { WorkerStatus::Leaving });
        }
        let head_use = head.and_then(|head| facts.uses.get(head)).copied().unwrap_or_default();
        let progressing = |within: Duration| {
            head_use.progress.is_some_and(|at| facts.now.saturating_duration_since(at) < within)
        };
        let stalled = head.is_some() && head_use.active > 0 && !progressing(STALL_TIMEOUT);
        let overdue = silence > facts.heartbeat.mul_f64(PROBE_AFTER_BEATS);
        let answered = probe.answered.is_some_and(|at| at > entry.last_received);
        let lost = probe.silent >= LOST_PROBES;
        if !(overdue || stalled || lost) {
            return settled(WorkerStatus::Usable);
        }
        if head.is_some() && progressing(PROGRESS_VALIDITY) {
            return Assessment { shown_by_progress: true, ..settled(WorkerStatus::Usable) };
        }
        let pause = if lost { LOST_PROBE_INTERVAL } else { PROBE_INTERVAL };
        let due = probe.sent.is_none_or(|at| facts.now.saturating_duration_since(at) >= pause);
        let answered_recently = answered && !stalled && !due;
        let standing = if lost { WorkerStatus::Lost } else { WorkerStatus::Usable };
        let probe = due && !probe.in_progress && !answered_recently;
        Assessment { probe, ..settled(standing) }
    }

    /// Records that a probe is sent.
    pub fn record_probe_sent(&mut self, worker: &WorkerId, now: Instant) {
        let probe = self.probes.entry(worker.clone()).or_default();
        probe.sent = Some(now);
        probe.in_progress = true;
    }

    /// Records the result of a probe.
    pub fn record_probe_result(&mut self, worker: &WorkerId, outcome: ProbeOutcome, now: Instant) {
        let probe = self.probes.entry(worker.clone()).or_default();
        probe.in_progress = false;
        match outcome {
            ProbeOutcome::Answered => {
                probe.silent = 0;
                probe.answered = Some(now);
            }
            ProbeOutcome::Replaced => probe.replaced = true,
            // A partition may refuse connections too, so a refusal makes the worker lost but does not
            // prove that it has terminated.
            ProbeOutcome::Refused => probe.silent += LOST_PROBES,
            ProbeOutcome::Silent => probe.silent += 1,
        }
    }

    /// Resets the unanswered probes of workers that have registered since, and removes workers that
    /// are not in the table.
    pub fn prune(&mut self, table: &WorkerTable) {
        self.probes.retain(|worker, _| table.get(worker).is_some());
        for (worker, probe) in &mut self.probes {
            let recount = table.get(worker).and_then(|entry| entry.report.recount);
            if recount > probe.recount {
                // The earlier results concerned another writer under this name.
                *probe = ProbeRecord { recount, ..ProbeRecord::default() };
            }
            let last_received = table.get(worker).map(|entry| entry.last_received);
            if last_received > probe.sent && !probe.in_progress {
                probe.silent = 0;
            }
        }
    }
}

/// Finds workers that have terminated because another instance registers under their address or
/// name.
pub fn find_terminated(table: &WorkerTable, heartbeat: Duration) -> HashSet<WorkerId> {
    let mut terminated = find_replaced(table, heartbeat);
    let superseded = table.iter().filter(|entry| entry.superseded);
    terminated.extend(superseded.filter_map(|old| {
        let new = table.newest_instance(old.report.id.name())?;
        has_outlived(new, old, heartbeat).then(|| old.report.id.clone())
    }));
    terminated
}

/// Finds workers whose address another instance has taken over.
fn find_replaced(table: &WorkerTable, heartbeat: Duration) -> HashSet<WorkerId> {
    let mut by_address: HashMap<&str, Vec<&WorkerEntry>> = HashMap::new();
    for entry in table.iter() {
        by_address.entry(entry.report.address.as_str()).or_default().push(entry);
    }
    let shared = by_address.into_values().filter(|entries| entries.len() > 1);
    let replaced = shared.flat_map(|entries| {
        let replaced = entries
            .iter()
            .filter(|old| entries.iter().any(|new| is_successor(new, old, heartbeat)));
        replaced.map(|old| old.report.id.clone()).collect::<Vec<_>>()
    });
    replaced.collect()
}

/// Whether `new` has continued to register for long enough since the last report of `old`.
fn is_successor(new: &WorkerEntry, old: &WorkerEntry, heartbeat: Duration) -> bool {
    let later = new.first_received >= old.first_received && new.report.id != old.report.id;
    later && has_outlived(new, old, heartbeat)
}

fn has_outlived(new: &WorkerEntry, old: &WorkerEntry, heartbeat: Duration) -> bool {
    let since = new.first_received.max(old.last_received);
    new.last_received.saturating_duration_since(since) >= heartbeat.mul_f64(SUCCESSOR_BEATS)
}
