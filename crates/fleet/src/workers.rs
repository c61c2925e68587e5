//! The table of registered workers: soft state that every daemon holds.
//!
//! Reports reach a daemon from workers and from other daemons, late, twice and
//! in any order. The table keeps the newest one of each life of a worker. Two
//! tables that hold the same reports have the same digest.
//!
//! A later life of a name replaces the earlier one at once: that one counts as
//! ended, and nothing that comes late of it changes anything. Where numbers or
//! the start of a life go back, because another writer used the name or a clock
//! was wrong, a controller lets them after a silence, and counts that: the count
//! comes before start and number in what is newer.
//!
//! Invariant: what is held of a name never goes back to an older report.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{Incarnation, ServiceName, WorkerBeat, WorkerId, WorkerReport};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// How long a worker serves on after it has deregistered: the shortest drain time of deployments.
const DEPARTURE_TIME: Duration = Duration::from_secs(2);
/// How long a worker that has gone or ended is remembered, so that late reports cannot bring it
/// back.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// Part of a silence for which calls that went back must go on before they are believed: more than
/// half of a heartbeat, where a silence is three.
const REGRESSION_PART: u32 = 5;

/// What came of merging a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The report was older than what is held, or the same.
    Stale,
    /// The report is newer but says nothing new.
    Renewed,
    /// The report says something new.
    Changed,
}

/// What is held of one life of a worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Newest report; its number is the highest under which its content was told.
    pub report: WorkerReport,
    /// Highest number heard of.
    pub seq: u64,
    /// When it was first heard of here.
    pub first_received: Instant,
    /// When it was last heard of.
    pub last_received: Instant,
    /// Number under which its content last changed, as far as is known here.
    pub changed: u64,
    /// When it was last heard that the worker still says what is held.
    pub confirmed: Instant,
    /// Whether a later life of its name is known.
    pub superseded: bool,
}

/// What makes one life of a name later than another.
type InstancePrecedence = (u32, Option<Incarnation>);

impl WorkerEntry {
    fn precedence(&self) -> InstancePrecedence {
        precedence_of(&self.report)
    }

    /// Whether the worker can be of use: it has neither deregistered nor ended.
    pub fn is_available(&self) -> bool {
        !self.report.gone && !self.superseded
    }
}

/// A worker's call that is older than what is held, although nothing else has come for a while.
#[derive(Clone, Debug)]
struct Regression {
    id: WorkerId,
    seq: u64,
    since: Instant,
}

/// The newest report of each life.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    entries: BTreeMap<WorkerId, WorkerEntry>,
    /// Newest life of each name.
    newest: BTreeMap<String, WorkerId>,
    /// Calls that went back, by name.
    regressions: BTreeMap<String, Regression>,
    hash: u64,
    revision: u64,
}

impl WorkerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what a worker itself has just said.
    ///
    /// Where it is older than what is held of the name, it is taken once the holder has been silent
    /// for `silence` and what is older goes on: somebody else used the name, or a clock was wrong.
    pub fn merge_direct(
        &mut self,
        mut report: WorkerReport,
        silence: Duration,
        now: Instant,
    ) -> MergeOutcome {
        let name = report.id.name().to_owned();
        let Some(held) = self.newest_instance(&name) else { return self.merge(report, now) };
        report.recount = held.report.recount;
        let own = held.report.id == report.id;
        let behind = if own {
            report.seq <= held.report.seq
        } else {
            precedence_of(&report) < held.precedence()
        };
        if !behind {
            self.regressions.remove(&name);
            return self.merge(report, now);
        }
        let told = report.id.incarnation().is_some() || held.report.id.incarnation().is_none();
        let left = own && held.report.gone;
        let silent = now.saturating_duration_since(held.last_received) > silence;
        if !told || left || !silent || !self.goes_on(&report, silence, now) {
            return MergeOutcome::Stale;
        }
        self.regressions.remove(&name);
        report.recount = Some(report.recount.unwrap_or(0) + 1);
        self.merge(report, now)
    }

    /// Whether calls that went back have come for a while, each later than the one before: late
    /// ones that a cut has held up come all at once.
    fn goes_on(&mut self, report: &WorkerReport, silence: Duration, now: Instant) -> bool {
        let first = Regression { id: report.id.clone(), seq: report.seq, since: now };
        let held = self.regressions.entry(report.id.name().to_owned()).or_insert(first.clone());
        let elapsed = now.saturating_duration_since(held.since);
        if held.id != report.id || report.seq < held.seq || elapsed > silence * 2 {
            *held = first;
            return false;
        }
        held.seq = report.seq;
        elapsed >= silence / REGRESSION_PART
    }

    /// Takes a report in that another daemon passed on.
    pub fn merge(&mut self, report: WorkerReport, now: Instant) -> MergeOutcome {
        let newest = self.newest_instance(report.id.name());
        if newest.is_some_and(|held| {
            held.report.id != report.id && precedence_of(&report) < held.precedence()
        }) {
            return MergeOutcome::Stale;
        }
        let Some(entry) = self.entries.get_mut(&report.id) else {
            self.insert(report, now);
            return MergeOutcome::Changed;
        };
        let recounted = report.recount > entry.report.recount;
        // Beats may have told of later numbers without their content, so only the number under
        // which the content was last confirmed counts.
        let later = report.recount == entry.report.recount && report.seq > entry.report.seq;
        // Who took the deregistration may not have heard of the last calls before it, and has given
        // it a number that others know already.
        let goes = report.gone && !entry.report.gone;
        if !(recounted || later || goes) {
            return MergeOutcome::Stale;
        }
        if recounted || report.seq >= entry.seq {
            // What is older than the newest number heard of may have changed again since.
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

    /// Notes that a life is the newest of its name; the one before has ended.
    fn set_newest(&mut self, id: WorkerId) {
        let former = self.newest.insert(id.name().to_owned(), id.clone());
        let Some(former) = former.filter(|former| *former != id) else { return };
        if let Some(entry) = self.entries.get_mut(&former) {
            self.hash ^= entry_hash(entry);
            entry.superseded = true;
            self.revision += 1;
        }
    }

    /// Notes that a worker was heard of elsewhere; false where it is not in the table.
    pub fn renew(&mut self, beat: &WorkerBeat, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&beat.id) else { return false };
        if beat.recount > entry.report.recount {
            // Its report has not come yet.
            return false;
        }
        if beat.recount == entry.report.recount && beat.seq > entry.seq {
            entry.seq = beat.seq;
            entry.last_received = now;
            // One that tells of a later change than what is held confirms nothing of that.
            if beat.changed <= entry.report.seq {
                entry.confirmed = now;
            }
        }
        true
    }

    /// Marks a worker as gone; returns the report to pass on if that is news.
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

    /// Forgets workers that have gone, or were not heard of for much longer than they should.
    pub fn expire(&mut self, silence: Duration, now: Instant) {
        let old = |entry: &WorkerEntry| {
            let limit = if entry.is_available() { silence } else { GONE_RETENTION };
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

    /// What is held of a worker.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerEntry> {
        self.entries.get(id)
    }

    /// What is held of the newest life of a name.
    pub fn newest_instance(&self, name: &str) -> Option<&WorkerEntry> {
        self.entries.get(self.newest.get(name)?)
    }

    /// Everything held.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.entries.values()
    }

    /// Workers of a service that take part in replicas: those that have not gone, and those that
    /// have deregistered so lately that they still serve what they have under way. Lives that have
    /// ended are among them, since replicas may still name them as members.
    pub fn of_service(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = &WorkerEntry> {
        // Left out at once, the members of a head that has deregistered were given to another
        // replica within 0.5 s, and its streams stood still.
        let serves = move |entry: &WorkerEntry| {
            now.saturating_duration_since(entry.last_received) < DEPARTURE_TIME
        };
        let entries = self.entries.values().filter(move |entry| entry.report.service == *service);
        entries.filter(move |entry| !entry.report.gone || serves(entry))
    }

    /// All reports, for a daemon whose table differs. Those of lives that have ended are left out.
    pub fn reports(&self) -> Vec<WorkerReport> {
        let entries = self.entries.values().filter(|entry| !entry.superseded);
        entries.map(|entry| entry.report.clone()).collect()
    }

    /// Digest over the reports held; equal for equal tables.
    pub fn table_hash(&self) -> u64 {
        self.hash
    }

    /// Rises with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of workers held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no worker is held.
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

/// A life's part of the digest: its content without its number, since daemons may have learned
/// the same content under different numbers. Workers that have gone or ended leave no mark, since
/// daemons forget them at different times.
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
