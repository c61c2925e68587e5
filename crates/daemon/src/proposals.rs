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
use hollowbarrow_schema::{
    DaemonId, EntryPayload, ForwardCall, ForwardReply, LogName, PeerMessage, ProposalOutcome,
};
use thiserror::Error;
use tokio::time::Instant;

use crate::core::DaemonCore;

/// Timeout for one daemon's answer before another is tried, for the first try. It doubles with each
/// try that is not answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest factor by which that timeout grows.
const MAX_CALL_GROWTH: u32 = 4;
/// Time for which a daemon waits for the outcome of another daemon's proposal.
const HANDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a proposal is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

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
    /// Tries at other daemons.
    calls: Vec<u64>,
    sent: usize,
    /// Tries that were sent and not refused.
    unanswered: usize,
    /// Consecutive tries whose wait ended without an answer.
    late: u32,
}

impl<'a> ProposalTries<'a> {
    fn new(core: &'a DaemonCore, outcomes: Sender<TryOutcome>) -> Self {
        Self { core, outcomes, calls: Vec::new(), sent: 0, unanswered: 0, late: 0 }
    }

    fn sent(&self) -> usize {
        self.sent
    }

    /// Returns for how long to wait for the next try before another one.
    fn wait(&self) -> Duration {
        CALL_TIMEOUT * 2u32.pow(self.late.min(MAX_CALL_GROWTH.ilog2()))
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

    /// Waits for the outcome of any try; `None` if the newest one was refused or not answered in
    /// time.
    async fn wait_for_outcome(
        &mut self,
        outcomes: &Receiver<TryOutcome>,
        until: Instant,
    ) -> Option<TryOutcome> {
        let Ok(Ok(answer)) = tokio::time::timeout_at(until, outcomes.recv_async()).await else {
            self.late += 1;
            return None;
        };
        if matches!(answer.1, ProposalOutcome::NoLeader | ProposalOutcome::Lost) {
            self.unanswered -= 1;
            return None;
        }
        Some(answer)
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
        while Instant::now() < deadline {
            let target = self.leader_guess(log, tries.sent());
            let wait = deadline.min(Instant::now() + tries.wait());
            tries.send(log, &target, payload.clone());
            if let Some((target, outcome)) = tries.wait_for_outcome(&outcomes, wait).await {
                if log == LogName::Claims {
                    self.pending.set_claims_hint(&target);
                }
                return Ok(outcome);
            }
            // A daemon that does not lead answers at once, so the pause follows only after all
            // voters have been tried.
            if tries.sent().is_multiple_of(self.config_log.view().voters.len().max(1)) {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        let error = tries.to_error();
        log::warn!(
            "event=proposal_failed log={log:?} tries={} leader={} waited_ms={} reason={:?}",
            tries.sent(),
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

    /// Returns the daemon to send to: the leader if it is known, else the voters in turn.
    fn leader_guess(&self, log: LogName, round: usize) -> DaemonId {
        let (leader, voters) = match log {
            LogName::Config => {
                let view = self.config_log.view();
                (view.leader, view.voters)
            }
            LogName::Claims => {
                let view = self.claims_log.view();
                let leader = view.leader.or_else(|| self.pending.claims_hint());
                // Only its voters have the claims log. The configuration log, which every daemon
                // has, gets the same voters right after it.
                (leader, self.config_log.view().voters)
            }
        };
        match leader {
            Some(leader) if round == 0 => leader,
            _ if voters.is_empty() => self.id().clone(),
            _ => voters[round % voters.len()].clone(),
        }
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
