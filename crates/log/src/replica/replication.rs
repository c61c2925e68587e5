//! Replication: what a leader sends, what a follower takes, and what is committed.

use std::time::Duration;

use hollowbarrow_schema::{
    AppendReply, AppendRequest, DaemonId, LogEntry, LogIndex, LogMessage, SnapshotRequest,
};
use tokio::time::Instant;

use super::{BATCH_ENTRIES, HEARTBEATS_PER_ELECTION, LogReplica, ReplicaFault, ReplicaRole};
use crate::storage::{LogStorage, VoteRecord};

impl<S: LogStorage> LogReplica<S> {
    pub(super) fn broadcast(&mut self, now: Instant, heartbeat: bool) {
        let interval = self.config.election / HEARTBEATS_PER_ELECTION;
        let ReplicaRole::Leader(role) = &mut self.role else { return };
        if heartbeat {
            role.start_round(now, interval);
            role.confirm_rounds(&self.config.id, &self.voters);
        }
        // Learners count in no quorum, so they need to hear from the leader only now and then.
        let learners_too = role.round.is_multiple_of(u64::from(HEARTBEATS_PER_ELECTION));
        let followers: Vec<DaemonId> = role.progress.keys().cloned().collect();
        for follower in followers {
            let due = heartbeat && (learners_too || self.voters.contains(&follower));
            self.send_append(&follower, due, now);
        }
    }

    /// Sends what a follower lacks; without a heartbeat only where there is something.
    pub(super) fn send_append(&mut self, to: &DaemonId, heartbeat: bool, now: Instant) {
        let term = self.term();
        let commit = self.commit;
        let window = self.storage.window();
        let ReplicaRole::Leader(role) = &mut self.role else { return };
        let confirmed = now.saturating_duration_since(role.confirmed);
        let (round, founding) = (role.round, role.founding);
        let Some(progress) = role.progress.get_mut(to) else { return };
        let previous_index = LogIndex(progress.next.saturating_sub(1));
        let Some(previous_term) = window.term_at(previous_index) else {
            let due = progress
                .snapshot_sent
                .is_none_or(|sent| now.saturating_duration_since(sent) > self.config.election);
            if let (true, Some(snapshot)) = (due, window.snapshot()) {
                progress.snapshot_sent = Some(now);
                let request = SnapshotRequest { term, snapshot: snapshot.clone() };
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
        let request = AppendRequest {
            term,
            previous_index,
            previous_term,
            entries,
            commit,
            round,
            founding: founding && !progress.counted,
            confirmed_ms: confirmed.as_millis() as u64,
        };
        self.early.push((to.clone(), LogMessage::Append(request)));
    }

    pub(super) fn on_append(&mut self, from: &DaemonId, request: AppendRequest, now: Instant) {
        if self.storage_fault().is_some() {
            return;
        }
        if request.term < self.term() {
            return self.answer_append(from, false, LogIndex(0), request.round);
        }
        self.step_down(request.term, Some(from.clone()), now);
        self.heard = Some(now);
        let confirmed = now.checked_sub(Duration::from_millis(request.confirmed_ms));
        self.confirmed = self.confirmed.max(confirmed);
        if request.founding && self.is_blank() && self.storage.is_durable() {
            let vote = VoteRecord { initialised: true, ..self.storage.vote().clone() };
            self.save_vote(vote);
        }
        let snapshot = self.storage.window().snapshot_index();
        let found = self.storage.window().term_at(request.previous_index);
        if request.previous_index >= snapshot && found != Some(request.previous_term) {
            let hint = self.conflict_hint(request.previous_index);
            return self.answer_append(from, false, hint, request.round);
        }
        let matched = LogIndex(*request.previous_index + request.entries.len() as u64);
        if !self.take_entries(request.entries) {
            return;
        }
        self.commit = self.commit.max(request.commit.min(matched));
        // A commit of an earlier term may lack entries that were acknowledged in that term.
        if self.commit >= request.commit
            && self.storage.window().term_at(self.commit) == Some(request.term)
        {
            self.complete = self.complete.max(confirmed);
        }
        self.answer_append(from, true, matched, request.round);
    }

    /// Index up to which the leader should try next, after a mismatch.
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

    /// Appends the entries that are not held yet, dropping those that conflict.
    pub(super) fn take_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let window = self.storage.window();
        let held = |entry: &LogEntry| {
            entry.index <= window.snapshot_index()
                || window.term_at(entry.index) == Some(entry.term)
        };
        let fresh: Vec<LogEntry> = entries.into_iter().skip_while(held).collect();
        let Some(first) = fresh.first() else { return true };
        if first.index <= self.commit {
            // What was accepted never reverts, whoever asks.
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
        accepted: bool,
        matched: LogIndex,
        round: u64,
    ) {
        // A learner's answer only moves its own progress, so it needs no disk; a
        // voter's counts in a quorum, and says so where it must not be counted.
        let counts = !self.is_voter() || self.check_quorum_member();
        let reply = AppendReply { term: self.term(), accepted, matched, counts, round };
        self.late.push((to.clone(), LogMessage::AppendReply(reply)));
    }

    pub(super) fn on_append_reply(&mut self, from: &DaemonId, reply: &AppendReply, now: Instant) {
        if reply.term > self.term() {
            return self.step_down(reply.term, None, now);
        }
        let last = self.storage.window().last_index();
        let ReplicaRole::Leader(role) = &mut self.role else { return };
        let Some(progress) = role.progress.get_mut(from) else { return };
        progress.contact = Some(now);
        if reply.counts {
            progress.round = progress.round.max(reply.round);
        } else {
            progress.matched = LogIndex(0);
        }
        if reply.accepted {
            if reply.counts {
                progress.matched = progress.matched.max(reply.matched);
                progress.counted = true;
            }
            progress.next = progress.next.max(LogIndex(*reply.matched + 1));
            progress.snapshot_sent = None;
        } else {
            progress.next = LogIndex(reply.matched.min(last).saturating_add(1));
        }
        let behind = progress.next <= last;
        role.confirm_rounds(&self.config.id, &self.voters);
        self.advance_commit(now);
        if behind {
            self.send_append(from, false, now);
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
        // Followers hear of the commit at once, so that they apply it within a message.
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
        self.step_down(request.term, Some(from.clone()), now);
        self.heard = Some(now);
        let index = request.snapshot.index;
        if index > self.commit {
            if let Err(error) = self.storage.install_snapshot(request.snapshot) {
                return self.fail(error.into());
            }
            self.refresh_voters();
            self.commit = index;
            self.installed = true;
        }
        self.answer_append(from, true, self.commit, 0);
    }
}
