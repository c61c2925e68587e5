//! The table of registered workers: soft state that every daemon holds.
//!
//! Reports reach a daemon from workers and from other daemons, late, twice and
//! in any order. The table keeps the newest report of each instance of a worker.
//! Two tables with the same content have the same table hash.
//!
//! A later instance of a name supersedes the earlier one at once, and late
//! reports of the earlier one have no effect. If sequence numbers or start times
//! regress, because another process used the name or a clock was wrong, a
//! controller accepts the older values after a silence and increments the
//! report's `recount`. The recount takes precedence over start time and
//! sequence number.
//!
//! Invariant: an entry never regresses to a report of lower precedence.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{
    Incarnation, ServiceName, WorkerBeat, WorkerDeparture, WorkerId, WorkerReport,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a worker continues to serve after it has deregistered: the shortest drain time
/// of deployments.
const DEPARTURE_TIME: Duration = Duration::from_secs(2);
/// Time for which a departed or superseded worker is kept, so that late reports cannot register it
/// again.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Divisor of the silence time that gives for how long regressed reports must continue before they
/// are accepted. With a silence of three heartbeats, a fifth is more than half of a heartbeat.
const REGRESSION_TIME_DIVISOR: u32 = 5;

/// Outcome of merging a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The report is not newer than the stored one.
    Stale,
    /// The report is newer and does not change the content.
    Renewed,
    /// The report changes the content.
    Changed,
}

/// Stored state of one instance of a worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Newest report. Its sequence number is the highest under which its content was reported.
    pub report: WorkerReport,
    /// Highest sequence number received.
    pub seq: u64,
    /// When this daemon first received the instance.
    pub first_received: Instant,
    /// When a newer sequence number was last received.
    pub last_received: Instant,
    /// Sequence number under which the content last changed, as far as this daemon knows.
    pub changed: u64,
    /// When it was last confirmed that the stored content is the worker's current one.
    pub confirmed: Instant,
    /// Whether a later instance of its name is known.
    pub superseded: bool,
}

/// Precedence among the instances of a name: recount, then start time.
type InstancePrecedence = (u32, Option<Incarnation>);

impl WorkerEntry {
    fn precedence(&self) -> InstancePrecedence {
        precedence_of(&self.report)
    }

    /// Returns whether the worker has neither deregistered nor been superseded.
    pub fn is_available(&self) -> bool {
        !self.report.gone && !self.superseded
    }
}

/// Reports of a name that are older than the stored one, although that one has fallen silent.
#[derive(Clone, Debug)]
struct Regression {
    id: WorkerId,
    seq: u64,
    since: Instant,
}

/// The newest report of each worker instance.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    entries: BTreeMap<WorkerId, WorkerEntry>,
    /// Newest instance of each name.
    newest: BTreeMap<String, WorkerId>,
    /// Regressed reports, by name.
    regressions: BTreeMap<String, Regression>,
    hash: u64,
    revision: u64,
}

impl WorkerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a report that the worker itself sent.
    ///
    /// A report that is older than the stored one of its name is accepted once the stored instance
    /// has been silent for `silence` and the older reports continue: another process used the
    /// name, or a clock was wrong.
    pub fn merge_direct(
        &mut self,
        mut report: WorkerReport,
        silence: Duration,
        now: Instant,
    ) -> MergeOutcome {
        let name = report.id.name().to_owned();
        let Some(stored) = self.newest_instance(&name) else { return self.merge(report, now) };
        report.recount = stored.report.recount;
        let same_instance = stored.report.id == report.id;
        let older = if same_instance {
            report.seq <= stored.report.seq
        } else {
            precedence_of(&report) < stored.precedence()
        };
        if !older {
            self.regressions.remove(&name);
            return self.merge(report, now);
        }
        let start_time_kept =
            report.id.incarnation().is_some() || stored.report.id.incarnation().is_none();
        let departed = same_instance && stored.report.gone;
        let silent = now.saturating_duration_since(stored.last_received) > silence;
        if !start_time_kept
            || departed
            || !silent
            || !self.regression_persists(&report, silence, now)
        {
            return MergeOutcome::Stale;
        }
        self.regressions.remove(&name);
        report.recount = Some(report.recount.unwrap_or(0) + 1);
        self.merge(report, now)
    }

    /// Records a regressed report and returns whether such reports have arrived for long enough,
    /// none with a lower sequence number than the one before. Reports that were delayed by a
    /// partition arrive all at once and do not meet this condition.
    fn regression_persists(
        &mut self,
        report: &WorkerReport,
        silence: Duration,
        now: Instant,
    ) -> bool {
        let first = Regression { id: report.id.clone(), seq: report.seq, since: now };
        let stored = self.regressions.entry(report.id.name().to_owned()).or_insert(first.clone());
        let elapsed = now.saturating_duration_since(stored.since);
        if stored.id != report.id || report.seq < stored.seq || elapsed > silence * 2 {
            *stored = first;
            return false;
        }
        stored.seq = report.seq;
        elapsed >= silence / REGRESSION_TIME_DIVISOR
    }

    /// Merges a report that another daemon forwarded.
    pub fn merge(&mut self, report: WorkerReport, now: Instant) -> MergeOutcome {
        let newest = self.newest_instance(report.id.name());
        if newest.is_some_and(|stored| {
            stored.report.id != report.id && precedence_of(&report) < stored.precedence()
        }) {
            return MergeOutcome::Stale;
        }
        let Some(entry) = self.entries.get_mut(&report.id) else {
            self.insert(report, now);
            return MergeOutcome::Changed;
        };
        let recounted = report.recount > entry.report.recount;
        // Beats may have carried later sequence numbers without the content, so the report is
        // compared with the number under which the content was last reported.
        let later = report.recount == entry.report.recount && report.seq > entry.report.seq;
        // The daemon that accepted the deregistration may have missed the last reports before it,
        // and may have given it a sequence number that other daemons know already.
        let deregistered = report.gone && !entry.report.gone;
        if !(recounted || later || deregistered) {
            return MergeOutcome::Stale;
        }
        if recounted || report.seq >= entry.seq {
            // Content under an older number than the highest one received may have changed since.
            entry.confirmed = now;
        }
        if recounted || report.seq > entry.seq {
            entry.seq = report.seq;
            entry.last_received = now;
        }
        if !recounted && (entry.report.gone || is_same_content(&entry.report, &report)) {
            entry.report.seq = report.seq;
            return MergeOutcome::Renewed;
        }
        self.hash ^= entry_hash(entry);
        self.revision += 1;
        entry.changed = report.seq;
        entry.superseded = false;
        let seq = if recounted { report.seq } else { report.seq.max(entry.report.seq) };
        entry.report = WorkerReport { seq, ..report };
        self.hash ^= entry_hash(entry);
        let id = entry.report.id.clone();
        self.set_newest(id);
        MergeOutcome::Changed
    }

    fn insert(&mut self, report: WorkerReport, now: Instant) {
        self.revision += 1;
        let (seq, changed, id) = (report.seq, report.seq, report.id.clone());
        let entry = WorkerEntry {
            seq,
            changed,
            first_received: now,
            last_received: now,
            confirmed: now,
            superseded: false,
            report,
        };
        self.hash ^= entry_hash(&entry);
        self.entries.insert(id.clone(), entry);
        self.set_newest(id);
    }

    /// Records the newest instance of a name and marks the former one as superseded.
    fn set_newest(&mut self, id: WorkerId) {
        let former = self.newest.insert(id.name().to_owned(), id.clone());
        let Some(former) = former.filter(|former| *former != id) else { return };
        if let Some(entry) = self.entries.get_mut(&former) {
            self.hash ^= entry_hash(entry);
            entry.superseded = true;
            self.revision += 1;
        }
    }

    /// Merges a heartbeat that another daemon received. Returns false if the table lacks the
    /// worker's report.
    pub fn renew(&mut self, beat: &WorkerBeat, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&beat.id) else { return false };
        if beat.recount > entry.report.recount {
            // The report with this recount has not arrived yet.
            return false;
        }
        if beat.recount == entry.report.recount && beat.seq > entry.seq {
            entry.seq = beat.seq;
            entry.last_received = now;
            // A beat that names a later change than the stored report does not confirm it.
            if beat.changed <= entry.report.seq {
                entry.confirmed = now;
            }
        }
        true
    }

    /// Returns the departure that this table holds of a worker: one that has been superseded counts
    /// as deregistered, since it gets no requests either.
    pub fn departure(&self, id: &WorkerId) -> Option<WorkerDeparture> {
        let departure = |gone| WorkerDeparture { worker: id.clone(), gone };
        let superseded = || self.newest_instance(id.name()).map(|_| departure(true));
        let Some(entry) = self.get(id) else { return superseded() };
        if entry.report.gone || entry.superseded {
            return Some(departure(true));
        }
        entry.report.leaving.then(|| departure(false))
    }

    /// Marks a worker as departed. Returns the report to forward if the worker was available.
    pub fn remove(&mut self, id: &WorkerId, now: Instant) -> Option<WorkerReport> {
        let entry = self.entries.get(id)?;
        if !entry.is_available() {
            return None;
        }
        let seq = entry.seq + 1;
        let report = WorkerReport { gone: true, leaving: true, seq, ..entry.report.clone() };
        self.merge(report.clone(), now);
        Some(report)
    }

    /// Removes available workers that have been silent for longer than `silence`, and departed or
    /// superseded ones after their retention time.
    pub fn expire(&mut self, silence: Duration, now: Instant) {
        let old = |entry: &WorkerEntry| {
            let limit = if entry.is_available() { silence } else { DEPARTED_RETENTION };
            now.saturating_duration_since(entry.last_received) > limit
        };
        let expired: Vec<WorkerId> =
            self.entries.iter().filter(|(_, entry)| old(entry)).map(|(id, _)| id.clone()).collect();
        for id in expired {
            if let Some(entry) = self.entries.remove(&id) {
                self.hash ^= entry_hash(&entry);
                self.revision += 1;
            }
            if self.newest.get(id.name()) == Some(&id) {
                self.newest.remove(id.name());
                self.regressions.remove(id.name());
            }
        }
    }

    /// Returns the entry of a worker instance.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerEntry> {
        self.entries.get(id)
    }

    /// Returns the entry of the newest instance of a name.
    pub fn newest_instance(&self, name: &str) -> Option<&WorkerEntry> {
        self.entries.get(self.newest.get(name)?)
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.entries.values()
    }

    /// Returns the workers of a service that can be members of replicas: those that have not
    /// deregistered, and those that still drain after they deregistered. Superseded instances are
    /// included, since replicas may still name them as members.
    pub fn of_service(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = &WorkerEntry> {
        // If a deregistered head were excluded at once, its members would be assigned to another
        // replica within 0.5 s, and its streams would stall.
        let draining = move |entry: &WorkerEntry| {
            now.saturating_duration_since(entry.last_received) < DEPARTURE_TIME
        };
        let entries = self.entries.values().filter(move |entry| entry.report.service == *service);
        entries.filter(move |entry| !entry.report.gone || draining(entry))
    }

    /// Returns all reports, for a daemon whose table differs. Superseded instances are excluded.
    pub fn reports(&self) -> Vec<WorkerReport> {
        let entries = self.entries.values().filter(|entry| !entry.superseded);
        entries.map(|entry| entry.report.clone()).collect()
    }

    /// Returns a hash over the available workers, which is equal for equal tables.
    pub fn table_hash(&self) -> u64 {
        self.hash
    }

    /// Returns a counter that increases with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn precedence_of(report: &WorkerReport) -> InstancePrecedence {
    (report.recount.unwrap_or(0), report.id.incarnation())
}

fn is_same_content(held: &WorkerReport, new: &WorkerReport) -> bool {
    let WorkerReport { id, service, address, zone, slots, leaving, gone, .. } = held;
    (id, service, address, zone, slots, leaving, gone)
        == (&new.id, &new.service, &new.address, &new.zone, &new.slots, &new.leaving, &new.gone)
        && held.domain == new.domain
        && held.model == new.model
        && held.staged == new.staged
        && held.membership == new.membership
}

/// Returns an instance's contribution to the table hash: its content without the sequence number,
/// since daemons may have received the same content under different numbers. Departed and
/// superseded workers contribute 0, since daemons remove them at different times.
///
/// Daemons compare this hash with each other, so the hashed text must stay the same.
fn entry_hash(entry: &WorkerEntry) -> u64 {
    if !entry.is_available() {
        return 0;
    }
    let WorkerReport { id, service, address, zone, slots, leaving, gone, .. } = &entry.report;
    let plain = (id, service, address, zone, slots, leaving, gone);
    let report = &entry.report;
    let held = (&report.domain, &report.model, &report.staged, &report.membership);
    xxh3_64(format!("{plain:?}{held:?}").as_bytes())
}
