//! Replication: sending and accepting entries and snapshots, and advancing the commit index.

use std::time::Duration;

use hollowbarrow_schema::{
    AppendReply, AppendRequest, DaemonId, LogEntry, LogIndex, LogMessage, SnapshotRequest, Term,
};
use tokio::time::Instant;

use super::{BATCH_ENTRIES, HEARTBEATS_PER_ELECTION, LogReplica, ReplicaFault, ReplicaRole};
use crate::storage::LogStorage;

impl<S: LogStorage> LogReplica<S> {
    pub(super) fn broadcast(&mut self, now: Instant, heartbeat: bool) {
        let ReplicaRole::Leader(role) = &mut self.role else { return };
        if heartbeat {
            role.start_round(now, self.config.election);
            role.confirm_rounds(&self.config.id, &self.voters, now);
        }
        // Learners are in no quorum, so they get a heartbeat only once per election timeout.
        let include_learners = role.round.is_multiple_of(u64::from(HEARTBEATS_PER_ELECTION));
        let followers: Vec<DaemonId> = role.progress.keys().cloned().collect();
        for follower in followers {
            let due = heartbeat && (include_learners || self.voters.contains(&follower));
            self.send_append(&follower, due, now);
        }
    }

    /// Sends the entries or the snapshot that a follower lacks; sends an empty message only as a
    /// heartbeat.
    pub(super) fn send_append(&mut self, to: &DaemonId, heartbeat: bool, now: Instant) {
        let term = self.term();
        let commit = self.commit;
        let window = self.storage.window();
        let ReplicaRole::Leader(role) = &mut self.role else { return };
        let confirmed = now.saturating_duration_since(role.confirmed);
        let round = role.round;
        let lease_ms = role.lease.as_millis() as u64;
        let Some(progress) = role.progress.get_mut(to) else { return };
        let previous_index = LogIndex(progress.next.saturating_sub(1));
        let Some(previous_term) = window.term_at(previous_index) else {
            let due = progress
                .snapshot_sent
                .is_none_or(|sent| now.saturating_duration_since(sent) > self.config.election);
            if let (true, Some(snapshot)) = (due, window.snapshot()) {
                progress.snapshot_sent = Some(now);
                let request = SnapshotRequest { term, round, snapshot: snapshot.clone(), lease_ms };
                self.early.push((to.clone(), LogMessage::Snapshot(request)));
            }
            return;
        };
        let entries: Vec<LogEntry> =
            window.entries_from(progress.next, BATCH_ENTRIES).cloned().collect();
        if entries.is_empty() && !heartbeat {
            return;
        }
        progress.next = LogIndex(*progress.next + entries.len() as u64);
        let acknowledged = progress.acknowledged();
        let request = AppendRequest {
            term,
            previous_index,
            previous_term,
            entries,
            commit,
            acknowledged,
            round,
            confirmed_ms: confirmed.as_millis() as u64,
            lease_ms,
        };
        self.early.push((to.clone(), LogMessage::Append(request)));
    }

    pub(super) fn on_append(&mut self, from: &DaemonId, request: AppendRequest, now: Instant) {
        if self.storage_fault().is_some() {
            return;
        }
        if request.term < self.term() {
            return self.answer_append(from, request.term, false, LogIndex(0), request.round);
        }
        self.record_leader_contact(request.term, request.lease_ms, now);
        self.step_down(request.term, Some(from.clone()), now);
        let confirmed = now.checked_sub(Duration::from_millis(request.confirmed_ms));
        self.confirmed = self.confirmed.max(confirmed);
        self.check_acknowledged(&request);
        if self.storage_fault().is_some() {
            return;
        }
        let snapshot = self.storage.window().snapshot_index();
        let found = self.storage.window().term_at(request.previous_index);
        if request.previous_index >= snapshot && found != Some(request.previous_term) {
            let hint = self.conflict_hint(request.previous_index);
            return self.answer_append(from, request.term, false, hint, request.round);
        }
        if self.awaits_first_commit(&request) {
            return self.answer_append(from, request.term, true, LogIndex(0), request.round);
        }
        let matched = LogIndex(*request.previous_index + request.entries.len() as u64);
        if !self.store_entries(request.entries) {
            return;
        }
        self.commit = self.commit.max(request.commit.min(matched));
        // If the last committed entry is of an earlier term, entries that were acknowledged in that
        // term may still be missing here.
        if self.commit >= request.commit
            && self.storage.window().term_at(self.commit) == Some(request.term)
        {
            self.complete = self.complete.max(confirmed);
        }
        self.answer_append(from, request.term, true, matched, request.round);
    }

    /// Takes another disk id if this disk lacks what it has acknowledged to the leader of this term:
    /// it was restored from a copy or lost data. What it acknowledged to earlier leaders is not known.
    ///
    /// The leader states only what it has read in a reply, and a reply is sent after its entries are
    /// synced, so late or repeated requests don't make a sound disk lack anything.
    fn check_acknowledged(&mut self, request: &AppendRequest) {
        let Some(acknowledged) = &request.acknowledged else { return };
        if self.storage.vote().disk != Some(acknowledged.disk) {
            return;
        }
        let window = self.storage.window();
        let comparable = window.snapshot_index()..=acknowledged.index;
        let differs = comparable.contains(&request.previous_index)
            && window.term_at(request.previous_index) != Some(request.previous_term);
        if differs || window.last_index() < acknowledged.index {
            self.replace_disk_id();
        }
    }

    /// Returns the index after which the leader should send entries next, following a mismatch.
    pub(super) fn conflict_hint(&self, index: LogIndex) -> LogIndex {
        let window = self.storage.window();
        if index > window.last_index() {
            return window.last_index();
        }
        let term = window.term_at(index);
        let mut hint = index;
        while *hint > *window.snapshot_index() && window.term_at(hint) == term {
            hint = LogIndex(*hint - 1);
        }
        hint
    }

    /// Appends the entries that are not stored yet and removes stored entries that conflict with
    /// them.
    pub(super) fn store_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let window = self.storage.window();
        let stored = |entry: &LogEntry| {
            entry.index <= window.snapshot_index()
                || window.term_at(entry.index) == Some(entry.term)
        };
        let fresh: Vec<LogEntry> = entries.into_iter().skip_while(stored).collect();
        let Some(first) = fresh.first() else { return true };
        if first.index <= self.commit {
            // Committed entries are never replaced, whatever a leader sends.
            self.fault = Some(ReplicaFault::Diverged);
            return false;
        }
        if first.index <= window.last_index() {
            if let Err(error) = self.storage.truncate_from(first.index) {
                self.fail(error.into());
                return false;
            }
            self.refresh_voters();
        }
        self.append(&fresh)
    }

    pub(super) fn answer_append(
        &mut self,
        to: &DaemonId,
        leader_term: Term,
        accepted: bool,
        matched: LogIndex,
        round: u64,
    ) {
        let term = self.term();
        let disk = self.storage.vote().identity();
        let reply = AppendReply { term, leader_term, accepted, matched, disk, round };
        self.late.push((to.clone(), LogMessage::AppendReply(reply)));
    }

    pub(super) fn on_append_reply(&mut self, from: &DaemonId, reply: &AppendReply, now: Instant) {
        if reply.term > self.term() {
            return self.follow_term(reply.term, now);
        }
        // In an earlier term other entries had the same indexes, and rounds were counted anew.
        if reply.leader_term < self.term() {
            return;
        }
        let last = self.storage.window().last_index();
        let ReplicaRole::Leader(role) = &mut self.role else { return };
        let Some(progress) = role.progress.get_mut(from) else { return };
        if !progress.accept_reply(&reply.disk, reply.round) {
            return;
        }
        progress.contact = Some(now);
        if reply.accepted {
            progress.matched = progress.matched.max(reply.matched);
            progress.next = progress.next.max(LogIndex(*reply.matched + 1));
            progress.snapshot_sent = None;
        } else {
            progress.next = LogIndex(reply.matched.min(last).saturating_add(1));
        }
        let behind = progress.next <= last;
        role.confirm_rounds(&self.config.id, &self.voters, now);
        self.advance_commit(now);
        if behind {
            self.send_append(from, false, now);
        }
    }

    /// Follows the later term of a follower. A leader that the others follow stands again at once: the
    /// candidate of that term found no majority, or its votes are still on their way.
    fn follow_term(&mut self, term: Term, now: Instant) {
        let current = self.is_current();
        self.step_down(term, None, now);
        if current {
            self.deadline = now;
        }
    }

    pub(super) fn advance_commit(&mut self, now: Instant) {
        let term = self.term();
        let ReplicaRole::Leader(role) = &self.role else { return };
        let index = role.majority_index(&self.config.id, &self.voters);
        if index <= self.commit || self.storage.window().term_at(index) != Some(term) {
            return;
        }
        self.commit = index;
        let removed = !self.is_voter();
        // The commit index is sent immediately, so that followers apply the entries after one
        // message instead of the next heartbeat.
        self.announce_commit(now);
        if removed {
            self.step_down(term, None, now);
        }
    }

    pub(super) fn announce_commit(&mut self, now: Instant) {
        let ReplicaRole::Leader(role) = &self.role else { return };
        let followers: Vec<DaemonId> = role.progress.keys().cloned().collect();
        for follower in followers {
            self.send_append(&follower, true, now);
        }
    }

    pub(super) fn on_snapshot(&mut self, from: &DaemonId, request: SnapshotRequest, now: Instant) {
        if self.storage_fault().is_some() || request.term < self.term() {
            return;
        }
        self.record_leader_contact(request.term, request.lease_ms, now);
        self.step_down(request.term, Some(from.clone()), now);
        let index = request.snapshot.index;
        if index > self.commit {
            if let Err(error) = self.storage.install_snapshot(request.snapshot) {
                return self.fail(error.into());
            }
            self.refresh_voters();
            self.commit = index;
            self.installed = true;
        }
        self.answer_append(from, request.term, true, self.commit, request.round);
    }
}
