//! Elections: trials (pre-votes), votes and the start of leadership.

use std::collections::BTreeSet;

use hollowbarrow_schema::{
    DaemonId, EntryPayload, LogEntry, LogIndex, LogMessage, Term, VoteReply, VoteRequest,
};
use tokio::time::Instant;

use super::{LogReplica, ReplicaRole};
use crate::leader::LeaderRole;
use crate::storage::{LogStorage, VoteRecord};

impl<S: LogStorage> LogReplica<S> {
    pub(super) fn campaign(&mut self, now: Instant, trial: bool, founding: bool) {
        let term = Term(*self.term() + 1);
        if !trial {
            let initialised = self.storage.vote().initialised || founding;
            let vote = VoteRecord { term, vote: Some(self.config.id.clone()), initialised };
            if !self.save_vote(vote) {
                return;
            }
            // Collecting the votes takes as long as the trial did, so the deadline starts anew.
            self.reset_deadline(now);
        }
        let leader = self.suspected_leader(trial);
        let local = BTreeSet::from([self.config.id.clone()]);
        let blank = if self.is_blank() { local.clone() } else { BTreeSet::new() };
        self.role = ReplicaRole::Candidate { trial, leader, granted: local, blank, founding };
        let window = self.storage.window();
        let request = VoteRequest {
            term,
            last_index: window.last_index(),
            last_term: window.last_term(),
            trial,
            founding,
        };
        for voter in self.voters.iter().filter(|voter| **voter != self.config.id) {
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
        if self.storage_fault().is_some() {
            return;
        }
        let follows_leader = self.is_leader()
            || self.leader_contact.is_some_and(|contact| {
                now.saturating_duration_since(contact) < self.config.election
            });
        if follows_leader && self.leader() != Some(from) {
            return self.answer_vote(from, request, false);
        }
        if !request.trial && request.term > self.term() {
            self.step_down(request.term, None, now);
        }
        if request.founding && self.is_blank() && self.storage.is_durable() && !request.trial {
            let vote = VoteRecord { initialised: true, ..self.storage.vote().clone() };
            self.save_vote(vote);
        }
        let window = self.storage.window();
        let current =
            (request.last_term, request.last_index) >= (window.last_term(), window.last_index());
        let free = request.term > self.term()
            || (request.term == self.term()
                && self.storage.vote().vote.as_ref().is_none_or(|vote| vote == from));
        // Of two simultaneous candidates, the one with the lower id has precedence, unless its
        // election started half an election timeout ago or earlier.
        let yields = !request.trial || !self.has_precedence(from, request, now);
        let mut granted = current && free && yields && self.check_quorum_member();
        if granted && request.trial {
            // Gives the candidate time to be elected.
            self.reset_deadline(now);
        }
        if granted && !request.trial {
            let term = request.term;
            granted =
                self.save_vote(VoteRecord { term, vote: Some(from.clone()), initialised: true });
            self.reset_deadline(now);
        }
        self.answer_vote(from, request, granted);
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

    pub(super) fn answer_vote(&mut self, from: &DaemonId, request: &VoteRequest, granted: bool) {
        let term = if granted { request.term } else { self.term() };
        let blank = self.is_blank() && self.is_voter() && self.storage.is_durable();
        let reply = VoteReply { term, granted, trial: request.trial, blank };
        self.late.push((from.clone(), LogMessage::VoteReply(reply)));
    }

    pub(super) fn on_vote_reply(&mut self, from: &DaemonId, reply: &VoteReply, now: Instant) {
        if !reply.granted && reply.term > self.term() {
            return self.step_down(reply.term, None, now);
        }
        let expected = Term(*self.term() + 1);
        let current_term = self.term();
        let ReplicaRole::Candidate { trial, granted, blank, .. } = &mut self.role else { return };
        if *trial != reply.trial {
            return;
        }
        if reply.blank {
            blank.insert(from.clone());
        }
        let term = if *trial { expected } else { current_term };
        if reply.granted && reply.term == term {
            granted.insert(from.clone());
        }
        self.count_votes(now);
    }

    pub(super) fn count_votes(&mut self, now: Instant) {
        let ReplicaRole::Candidate { trial, granted, blank, founding, .. } = &self.role else {
            return;
        };
        let majority = self.voters.len() / 2 + 1;
        let votes = self.voters.iter().filter(|voter| granted.contains(*voter)).count();
        let all_blank = self.voters.iter().all(|voter| blank.contains(voter));
        let (trial, founding) = (*trial, *founding);
        if trial && all_blank && self.config.founding {
            self.campaign(now, false, true);
        } else if trial && votes >= majority && self.check_quorum_member() {
            self.campaign(now, false, false);
        } else if !trial && votes >= majority && self.check_quorum_member() {
            self.lead(now, founding);
        }
    }

    pub(super) fn lead(&mut self, now: Instant, founding: bool) {
        let last = self.storage.window().last_index();
        let followers = self.followers();
        let elected_within = now.saturating_duration_since(self.last_election);
        let role = LeaderRole::new(now, elected_within, followers.into_iter(), last, founding);
        self.role = ReplicaRole::Leader(role);
        let entry =
            LogEntry { index: LogIndex(*last + 1), term: self.term(), payload: EntryPayload::Noop };
        if self.append(&[entry]) {
            self.broadcast(now, true);
        }
    }
}
