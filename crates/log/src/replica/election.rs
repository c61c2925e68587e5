//! Elections: trials (pre-votes), votes and the start of leadership.
//!
//! A candidate counts the votes of the disks that its own log names. While the logs of all voters are
//! empty, it counts those of the founders, all of which have agreed to each other before; the first
//! entry names them.

use std::collections::BTreeSet;

use hollowbarrow_schema::{
    DaemonId, EntryPayload, Founders, LogEntry, LogIndex, LogMessage, Term, VoteReply, VoteRequest,
};
use tokio::time::Instant;

use super::founding::disks_by_voter;
use super::{LogReplica, ReplicaRole, decay, trace};
use crate::electorate::Electorate;
use crate::leader::LeaderRole;
use crate::storage::{LogStorage, VoteRecord};

impl<S: LogStorage> LogReplica<S> {
    pub(super) fn campaign(&mut self, now: Instant, trial: bool, founding: bool) {
        if trial {
            self.last_trial = now;
            self.propose_founders(now);
            if self.storage_fault().is_some() {
                return;
            }
        }
        let term = Term(*self.term() + 1);
        if !trial {
            let vote = Some(self.config.id.clone());
            if !self.save_vote(VoteRecord { term, vote, ..self.storage.vote().clone() }) {
                return;
            }
            // Collecting the votes takes as long as the trial did, so the deadline starts anew.
            self.reset_deadline(now);
        }
        let leader = self.suspected_leader(trial);
        trace(format_args!("campaign trial={trial} term={} since_election={} next_in={}", *term, now.saturating_duration_since(self.last_election).as_millis(), (self.deadline.saturating_duration_since(now)).as_millis()));
        let granted = BTreeSet::from([self.config.id.clone()]);
        let named = granted.clone();
        self.role = ReplicaRole::Candidate { trial, leader, granted, named, founding };
        let window = self.storage.window();
        let request = VoteRequest {
            term,
            last_index: window.last_index(),
            last_term: window.last_term(),
            trial,
            founding,
            founders: self.requested_founders(),
        };
        for voter in self.voters.ids().iter().filter(|voter| **voter != self.config.id) {
            self.late.push((voter.clone(), LogMessage::Vote(request.clone())));
        }
        self.count_votes(now);
    }

    /// Returns the leader whose silence leads to a trial. It leads until the trial has shown that a
    /// majority does not hear from it either.
    fn suspected_leader(&self, trial: bool) -> Option<DaemonId> {
        match &self.role {
            ReplicaRole::Follower { leader } if trial => leader.clone(),
            _ => None,
        }
    }

    pub(super) fn on_vote(&mut self, from: &DaemonId, request: &VoteRequest, now: Instant) {
        if self.storage_fault().is_some() || !self.storage.is_durable() {
            return;
        }
        let follows_leader = self.is_leader()
            || self.leader_contact.is_some_and(|contact| {
                now.saturating_duration_since(contact) < self.config.election
            });
        if follows_leader && self.leader() != Some(from) {
            trace(format_args!("asked from={} trial={} term={} follows_leader={:?} own_term={}", &**from, request.trial, *request.term, self.leader(), *self.term()));
            return self.answer_vote(from, request, false, None);
        }
        if !request.trial && request.term > self.term() {
            self.step_down(request.term, None, now);
        }
        self.on_requested_founders(from, request, now);
        let window = self.storage.window();
        let current =
            (request.last_term, request.last_index) >= (window.last_term(), window.last_index());
        let free = request.term > self.term()
            || (request.term == self.term()
                && self.storage.vote().vote.as_ref().is_none_or(|vote| vote == from));
        // Of two simultaneous candidates, the one with the lower id has precedence, unless its
        // election started half an election timeout ago or earlier.
        let yields = !request.trial || !self.has_precedence(from, request, now);
        let eligible = self.may_vote_with_founders(request);
        let mut granted = current && free && yields && eligible;
        if granted && request.trial {
            // Gives the candidate time to be elected.
            self.reset_deadline(now);
        }
        if granted && !request.trial {
            let (term, vote) = (request.term, Some(from.clone()));
            granted = self.save_vote(VoteRecord { term, vote, ..self.storage.vote().clone() });
            self.reset_deadline(now);
        }
        trace(format_args!("asked from={} trial={} term={} granted={granted} current={current} free={free} yields={yields} eligible={eligible} own_term={} next_in={}", &**from, request.trial, *request.term, *self.term(), (self.deadline.saturating_duration_since(now)).as_millis()));
        let founders = self.founders().filter(|_| self.is_blank()).cloned();
        self.answer_vote(from, request, granted, founders);
    }

    /// Returns whether this replica is a candidate at the same time as another one and has
    /// precedence.
    fn has_precedence(&self, other: &DaemonId, request: &VoteRequest, now: Instant) -> bool {
        let candidate = matches!(self.role, ReplicaRole::Candidate { .. });
        let fresh = now.saturating_duration_since(self.last_election) < self.config.election / 2;
        let window = self.storage.window();
        // A replica does not vote for a candidate whose log is older than its own.
        let electable =
            (window.last_term(), window.last_index()) >= (request.last_term, request.last_index);
        candidate && fresh && electable && self.config.id < *other
    }

    fn answer_vote(
        &mut self,
        from: &DaemonId,
        request: &VoteRequest,
        granted: bool,
        founders: Option<Founders>,
    ) {
        let term = if granted { request.term } else { self.term() };
        let blank = self.is_blank() && self.is_voter();
        let disk = self.storage.vote().identity();
        let reply = VoteReply { term, granted, trial: request.trial, blank, disk, founders };
        self.late.push((from.clone(), LogMessage::VoteReply(reply)));
    }

    pub(super) fn on_vote_reply(&mut self, from: &DaemonId, reply: &VoteReply, now: Instant) {
        let tries = matches!(self.role, ReplicaRole::Candidate { trial: true, .. });
        if tries && reply.trial {
            let trip = now.saturating_duration_since(self.last_trial);
            self.trial_trip = trip.max(decay(self.trial_trip));
        }
        trace(format_args!("answer from={} trial={} granted={} term={} own_term={} tries={tries} trip={}", &**from, reply.trial, reply.granted, *reply.term, *self.term(), now.saturating_duration_since(self.last_trial).as_millis()));
        let proposes = self.on_founders_reply(from, reply, now);
        if !reply.granted && reply.term > self.term() {
            return self.step_down(reply.term, None, now);
        }
        if tries && proposes {
            self.reset_deadline(now);
            return self.campaign(now, true, false);
        }
        let expected = Term(*self.term() + 1);
        let current_term = self.term();
        let named = self.voters.counts(from, &reply.disk);
        let founder = self.may_found()
            && reply.disk.id.is_some()
            && self.founding_disk(from, reply.trial) == reply.disk.id;
        let ReplicaRole::Candidate { trial, granted, named: by_named, .. } = &mut self.role else {
            return;
        };
        if *trial != reply.trial {
            return;
        }
        let term = if *trial { expected } else { current_term };
        if reply.granted && reply.term == term && (named || founder) {
            granted.insert(from.clone());
        }
        if reply.granted && reply.term == term && named {
            by_named.insert(from.clone());
        }
        self.count_votes(now);
    }

    pub(super) fn count_votes(&mut self, now: Instant) {
        let ReplicaRole::Candidate { trial, granted, named, founding, .. } = &self.role else {
            return;
        };
        let is_majority = |votes: &BTreeSet<DaemonId>| {
            let votes = self.voters.ids().iter().filter(|voter| votes.contains(*voter)).count();
            votes >= self.voters.majority()
        };
        let majority = is_majority(granted);
        let elected = is_majority(named) && self.is_quorum_member();
        let unanimous = self.may_found() && self.is_founding_unanimous();
        match (*trial, *founding) {
            (true, _) if majority && unanimous => self.campaign(now, false, true),
            (true, _) if elected => self.campaign(now, false, false),
            (false, true) if majority => {
                let disks = self.founders().map(disks_by_voter).unwrap_or_default();
                let founders = Electorate::new(self.voters.ids().to_vec(), disks);
                self.lead(now, founders.to_payload());
            }
            (false, false) if elected => self.lead(now, EntryPayload::Noop),
            _ => {}
        }
    }

    fn lead(&mut self, now: Instant, first: EntryPayload) {
        let last = self.storage.window().last_index();
        let followers = self.followers();
        let elected_within = now.saturating_duration_since(self.last_election);
        trace(format_args!("lead term={} elected_within={}", *self.term(), elected_within.as_millis()));
        let role = LeaderRole::new(now, elected_within, followers.into_iter(), last);
        self.role = ReplicaRole::Leader(role);
        let entry = LogEntry { index: LogIndex(*last + 1), term: self.term(), payload: first };
        if self.append(&[entry]) {
            self.broadcast(now, true);
        }
    }
}
