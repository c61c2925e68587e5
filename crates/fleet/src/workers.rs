//! The table of registered workers: soft state that every daemon holds.
//!
//! Reports reach a daemon from workers and from other daemons, late, twice and
//! in any order. The table keeps the newest one of each worker. Two tables that
//! hold the same reports have the same digest.
//!
//! Invariant: what is held of a worker never goes back to an older report.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::{ServiceName, WorkerBeat, WorkerId, WorkerReport};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// How long a worker serves on after it has deregistered: the shortest drain time of deployments.
const DEPARTURE_TIME: Duration = Duration::from_secs(2);
/// How long a worker that has gone is remembered, so that late reports cannot bring it back.
const GONE_RETENTION: Duration = Duration::from_secs(60);

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

/// What is held of one worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Newest report; its number is the highest under which its content was told.
    pub report: WorkerReport,
    /// Highest number heard of.
    pub seq: u64,
    /// When it was first heard of here.
    pub first: Instant,
    /// When it was last heard of.
    pub heard: Instant,
    /// Number under which its content last changed, as far as is known here.
    pub changed: u64,
    /// When it was last heard that the worker still says what is held.
    pub confirmed: Instant,
}

/// The newest report of each worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    entries: BTreeMap<WorkerId, WorkerEntry>,
    digest: u64,
    revision: u64,
}

impl WorkerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a report in.
    pub fn merge(&mut self, report: WorkerReport, now: Instant) -> MergeOutcome {
        let Some(entry) = self.entries.get_mut(&report.id) else {
            self.insert(report, now);
            return MergeOutcome::Changed;
        };
        // Beats may have told of later numbers without their content, so only the number under
        // which the content was last confirmed counts.
        if report.seq <= entry.report.seq {
            return MergeOutcome::Stale;
        }
        if report.seq >= entry.seq {
            // What is older than the newest number heard of may have changed again since.
            entry.confirmed = now;
        }
        if report.seq > entry.seq {
            entry.seq = report.seq;
            entry.heard = now;
        }
        if entry.report.gone || is_same_content(&entry.report, &report) {
            entry.report.seq = report.seq;
            return MergeOutcome::Renewed;
        }
        self.digest ^= mark_of(&entry.report) ^ mark_of(&report);
        self.revision += 1;
        entry.changed = report.seq;
        entry.report = report;
        MergeOutcome::Changed
    }

    fn insert(&mut self, report: WorkerReport, now: Instant) {
        self.digest ^= mark_of(&report);
        self.revision += 1;
        let (seq, changed) = (report.seq, report.seq);
        let entry = WorkerEntry { seq, changed, first: now, heard: now, confirmed: now, report };
        self.entries.insert(entry.report.id.clone(), entry);
    }

    /// Notes that a worker was heard of elsewhere; false where it is not in the table.
    pub fn renew(&mut self, beat: &WorkerBeat, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&beat.id) else { return false };
        if beat.seq > entry.seq {
            entry.seq = beat.seq;
            entry.heard = now;
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
        if entry.report.gone {
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
            let limit = if entry.report.gone { GONE_RETENTION } else { silence };
            now.saturating_duration_since(entry.heard) > limit
        };
        let expired: Vec<WorkerId> =
            self.entries.iter().filter(|(_, entry)| old(entry)).map(|(id, _)| id.clone()).collect();
        for id in expired {
            if let Some(entry) = self.entries.remove(&id) {
                self.digest ^= mark_of(&entry.report);
                self.revision += 1;
            }
        }
    }

    /// What is held of a worker.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerEntry> {
        self.entries.get(id)
    }

    /// Everything held.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.entries.values()
    }

    /// Workers of a service that take part in replicas: those that have not gone, and those that
    /// have deregistered so lately that they still serve what they have under way.
    pub fn of_service(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = &WorkerEntry> {
        // Left out at once, the members of a head that has deregistered were given to another
        // replica within 0.5 s, and its streams stood still.
        let serves =
            move |entry: &WorkerEntry| now.saturating_duration_since(entry.heard) < DEPARTURE_TIME;
        let entries = self.entries.values().filter(move |entry| entry.report.service == *service);
        entries.filter(move |entry| !entry.report.gone || serves(entry))
    }

    /// All reports, for a daemon whose table differs.
    pub fn reports(&self) -> Vec<WorkerReport> {
        self.entries.values().map(|entry| entry.report.clone()).collect()
    }

    /// Digest over the reports held; equal for equal tables.
    pub fn digest(&self) -> u64 {
        self.digest
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

fn is_same_content(held: &WorkerReport, new: &WorkerReport) -> bool {
    let WorkerReport { id, seq: _, service, address, zone, slots, leaving, gone, .. } = held;
    (id, service, address, zone, slots, leaving, gone)
        == (&new.id, &new.service, &new.address, &new.zone, &new.slots, &new.leaving, &new.gone)
        && held.domain == new.domain
        && held.model == new.model
        && held.staged == new.staged
        && held.membership == new.membership
}

/// A report's part of the digest: its content without its number, since daemons may have learned
/// the same content under different numbers. Workers that have gone leave no mark, since daemons
/// forget them at different times.
fn mark_of(report: &WorkerReport) -> u64 {
    if report.gone {
        return 0;
    }
    let WorkerReport { id, service, address, zone, slots, leaving, gone, .. } = report;
    let plain = (id, service, address, zone, slots, leaving, gone);
    let held = (&report.domain, &report.model, &report.staged, &report.membership);
    xxh3_64(format!("{plain:?}{held:?}").as_bytes())
}
