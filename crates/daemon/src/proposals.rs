//! Sends proposals to the leader of a log, locally or on another daemon.
//!
//! A proposal is retried until an outcome arrives or its deadline passes. That is
//! safe because both logs detect repeated proposals: changes by their id, claims
//! by their attempt.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flume::Sender;
use hollowbarrow_schema::{
    DaemonId, EntryPayload, ForwardCall, ForwardReply, LogName, PeerMessage, ProposalOutcome,
};
use thiserror::Error;
use tokio::time::Instant;

use crate::core::DaemonCore;

/// Timeout for one daemon's answer before another is tried.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
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

/// Calls that wait for another daemon's answer.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, Sender<ProposalOutcome>>>,
    claims_hint: Mutex<Option<DaemonId>>,
}

impl PendingCalls {
    /// Passes a reply to the call that waits for it.
    pub(crate) fn resolve(&self, reply: ForwardReply) {
        let waiter = self.waiting.lock().expect("no holder of the lock panics").remove(&reply.id);
        if let Some(waiter) = waiter {
            let _ = waiter.send(reply.outcome);
        }
    }

    fn open(&self) -> (u64, flume::Receiver<ProposalOutcome>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = flume::bounded(1);
        self.waiting.lock().expect("no holder of the lock panics").insert(id, sender);
        (id, receiver)
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

impl DaemonCore {
    /// Proposes an entry of a log and waits for its outcome until the deadline.
    pub(crate) async fn propose(
        &self,
        log: LogName,
        payload: EntryPayload,
        deadline: Instant,
    ) -> Result<ProposalOutcome, ProposeEntryError> {
        let started = Instant::now();
        let mut accepted = false;
        let mut round = 0;
        while Instant::now() < deadline {
            let target = self.leader_guess(log, round);
            round += 1;
            let wait = deadline.min(Instant::now() + CALL_TIMEOUT);
            match self.send_proposal(log, &target, payload.clone(), wait).await {
                Some(ProposalOutcome::NoLeader | ProposalOutcome::Lost) => {}
                Some(outcome) => {
                    if log == LogName::Claims {
                        self.pending.set_claims_hint(&target);
                    }
                    return Ok(outcome);
                }
                None => accepted = true,
            }
            // A daemon that does not lead answers at once, so the pause follows only after all
            // voters have been tried.
            if round.is_multiple_of(self.config_log.view().voters.len().max(1)) {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        let error = if accepted { ProposeEntryError::Unknown } else { ProposeEntryError::NoLeader };
        log::warn!(
            "event=proposal_failed log={log:?} tries={round} leader={} waited_ms={} reason={:?}",
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

    async fn send_proposal(
        &self,
        log: LogName,
        target: &DaemonId,
        payload: EntryPayload,
        deadline: Instant,
    ) -> Option<ProposalOutcome> {
        if target == self.id() {
            let receiver = self.propose_locally(log, payload);
            let answer = tokio::time::timeout_at(deadline, receiver.recv_async()).await;
            return answer.ok()?.ok();
        }
        let (id, receiver) = self.pending.open();
        self.send(target, PeerMessage::Call(ForwardCall { id, log, payload }));
        let answer = tokio::time::timeout_at(deadline, receiver.recv_async()).await;
        self.pending.close(id);
        answer.ok()?.ok()
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
        let Ok(Ok(outcome)) = tokio::time::timeout(CALL_TIMEOUT * 4, receiver.recv_async()).await
        else {
            return;
        };
        self.send(&from, PeerMessage::Reply(ForwardReply { id: call.id, outcome }));
    }
}
