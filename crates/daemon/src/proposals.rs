//! Sends proposals to the leader of a log, locally or on another daemon.
//!
//! A proposal is retried until an outcome arrives or its deadline passes. That is
//! safe because both logs detect repeated proposals: changes by their id, claims
//! by their attempt.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flume::{Receiver, Sender};
use hollowbarrow_routing::AskSchedule;
use hollowbarrow_schema::{
    DaemonId, EntryPayload, ForwardCall, ForwardReply, LogName, PeerMessage, ProposalOutcome,
};
use thiserror::Error;
use tokio::time::Instant;

use crate::core::DaemonCore;

/// Time for which a daemon waits for the outcome of another daemon's proposal.
const HANDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Why a proposal has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ProposeEntryError {
    /// No leader was found, and no daemon accepted the proposal.
    #[error("no leader of the log could be reached")]
    NoLeader,
    /// A daemon may have accepted the proposal, but its outcome did not arrive in time.
    #[error("the outcome is unknown")]
    Unknown,
}

/// Outcome of one try of a proposal, and the daemon that gave it.
type TryOutcome = (DaemonId, ProposalOutcome);

/// A try that waits for another daemon's answer.
#[derive(Debug)]
struct WaitingTry {
    target: DaemonId,
    outcomes: Sender<TryOutcome>,
}

/// Calls that wait for another daemon's answer.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, WaitingTry>>,
    claims_hint: Mutex<Option<DaemonId>>,
}

impl PendingCalls {
    /// Passes a reply to the call that waits for it.
    pub(crate) fn resolve(&self, reply: ForwardReply) {
        let waiter = self.waiting.lock().expect("no holder of the lock panics").remove(&reply.id);
        if let Some(waiter) = waiter {
            let _ = waiter.outcomes.send((waiter.target, reply.outcome));
        }
    }

    fn open(&self, target: &DaemonId, outcomes: &Sender<TryOutcome>) -> u64 {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let waiting = WaitingTry { target: target.clone(), outcomes: outcomes.clone() };
        self.waiting.lock().expect("no holder of the lock panics").insert(id, waiting);
        id
    }

    fn close(&self, id: u64) {
        self.waiting.lock().expect("no holder of the lock panics").remove(&id);
    }

    fn claims_hint(&self) -> Option<DaemonId> {
        self.claims_hint.lock().expect("no holder of the lock panics").clone()
    }

    fn set_claims_hint(&self, leader: &DaemonId) {
        *self.claims_hint.lock().expect("no holder of the lock panics") = Some(leader.clone());
    }
}

/// The tries of one proposal. All of them are open until it ends.
struct ProposalTries<'a> {
    core: &'a DaemonCore,
    outcomes: Sender<TryOutcome>,
    schedule: AskSchedule,
    /// Tries at other daemons.
    calls: Vec<u64>,
    sent: usize,
    /// Tries that were sent and not refused.
    unanswered: usize,
}

impl<'a> ProposalTries<'a> {
    fn new(core: &'a DaemonCore, outcomes: Sender<TryOutcome>) -> Self {
        Self {
            core,
            outcomes,
            schedule: AskSchedule::new(),
            calls: Vec::new(),
            sent: 0,
            unanswered: 0,
        }
    }

    /// Sends the proposal to a daemon.
    fn send(&mut self, log: LogName, target: &DaemonId, payload: EntryPayload) {
        self.sent += 1;
        self.unanswered += 1;
        if target != self.core.id() {
            let id = self.core.pending.open(target, &self.outcomes);
            self.calls.push(id);
            self.core.send(target, PeerMessage::Call(ForwardCall { id, log, payload }));
            return;
        }
        let receiver = self.core.propose_locally(log, payload);
        let (outcomes, target) = (self.outcomes.clone(), target.clone());
        tokio::spawn(async move {
            if let Ok(Ok(outcome)) =
                tokio::time::timeout(HANDLE_TIMEOUT, receiver.recv_async()).await
            {
                let _ = outcomes.send((target, outcome));
            }
        });
    }

    /// Waits for the outcome of any try; `None` if one was refused or none was answered in time.
    async fn wait_for_outcome(
        &mut self,
        outcomes: &Receiver<TryOutcome>,
        until: Instant,
    ) -> Option<TryOutcome> {
        let (target, outcome) =
            tokio::time::timeout_at(until, outcomes.recv_async()).await.ok()?.ok()?;
        if !matches!(outcome, ProposalOutcome::NoLeader | ProposalOutcome::Lost) {
            return Some((target, outcome));
        }
        self.unanswered -= 1;
        self.schedule.record_refusal(&target, Instant::now());
        None
    }

    /// Returns why the proposal has no outcome.
    fn to_error(&self) -> ProposeEntryError {
        let accepted = self.unanswered > 0;
        if accepted { ProposeEntryError::Unknown } else { ProposeEntryError::NoLeader }
    }
}

impl Drop for ProposalTries<'_> {
    fn drop(&mut self) {
        self.calls.iter().for_each(|id| self.core.pending.close(*id));
    }
}

impl DaemonCore {
    /// Proposes an entry of a log and waits for its outcome until the deadline.
    ///
    /// An answer counts whichever try it answers: a daemon that is slow to answer may still have
    /// accepted the proposal.
    pub(crate) async fn propose(
        &self,
        log: LogName,
        payload: EntryPayload,
        deadline: Instant,
    ) -> Result<ProposalOutcome, ProposeEntryError> {
        let started = Instant::now();
        let (sender, outcomes) = flume::unbounded();
        let mut tries = ProposalTries::new(self, sender);
        loop {
            let now = Instant::now();
            if now >= deadline {
                break;
            }
            let (leader, voters) = self.daemons_to_ask(log);
            for target in tries.schedule.take_due(leader, voters, now) {
                tries.send(log, &target, payload.clone());
            }
            let until = tries.schedule.next_due().map_or(deadline, |next| next.min(deadline));
            if let Some((target, outcome)) = tries.wait_for_outcome(&outcomes, until).await {
                if log == LogName::Claims {
                    self.pending.set_claims_hint(&target);
                }
                return Ok(outcome);
            }
        }
        let error = tries.to_error();
        log::warn!(
            "event=proposal_failed log={log:?} tries={} leader={} waited_ms={} reason={:?}",
            tries.sent,
            self.known_leader(log).map_or("-".to_owned(), |leader| leader.to_string()),
            started.elapsed().as_millis(),
            error.to_string()
        );
        Err(error)
    }

    /// Returns the leader of a log as far as this daemon's own replica knows it.
    fn known_leader(&self, log: LogName) -> Option<DaemonId> {
        match log {
            LogName::Config => self.config_log.view().leader,
            LogName::Claims => self.claims_log.view().leader,
        }
    }

    /// Returns the leader of a log, if one is known, and the daemons that may lead it.
    fn daemons_to_ask(&self, log: LogName) -> (Option<DaemonId>, Vec<DaemonId>) {
        let leader = self.known_leader(log).or_else(|| match log {
            LogName::Config => None,
            LogName::Claims => self.pending.claims_hint(),
        });
        // Only its voters have the claims log. The configuration log, which every daemon has, gets
        // the same voters right after it.
        let mut voters = self.config_log.view().voters;
        if voters.is_empty() {
            voters.push(self.id().clone());
        }
        (leader, voters)
    }

    fn propose_locally(
        &self,
        log: LogName,
        payload: EntryPayload,
    ) -> flume::Receiver<ProposalOutcome> {
        match log {
            LogName::Config => self.config_log.propose(payload),
            LogName::Claims => self.claims_log.propose(payload),
        }
    }

    /// Handles another daemon's proposal and sends the outcome.
    pub(crate) async fn handle_call(&self, from: DaemonId, call: ForwardCall) {
        let receiver = self.propose_locally(call.log, call.payload);
        // Without an outcome no reply is sent, since the proposer must not treat it as a refusal.
        let Ok(Ok(outcome)) = tokio::time::timeout(HANDLE_TIMEOUT, receiver.recv_async()).await
        else {
            return;
        };
        self.send(&from, PeerMessage::Reply(ForwardReply { id: call.id, outcome }));
    }
}
