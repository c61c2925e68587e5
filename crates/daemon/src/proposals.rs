//! Sends proposals to the leader of a log, locally or on another daemon.
//!
//! A proposal is retried until an outcome arrives or its deadline passes. That is
//! safe because both logs detect repeated proposals: changes by their id, claims
//! by their attempt.

use std::collections::{BTreeMap, HashMap};
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

/// Timeout for a daemon's answer before it is asked again and others are asked too, for the first try.
/// It doubles with each try that the daemon does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest factor by which that timeout grows.
const MAX_CALL_GROWTH: u32 = 4;
/// Time for which a daemon waits for the outcome of another daemon's proposal.
const HANDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a daemon that refused a proposal is asked again, after its first refusal. It doubles
/// with each further one.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Largest factor by which that pause grows. All proposals of an election are repeated meanwhile, and
/// must not take the processor time that the election needs.
const MAX_RETRY_GROWTH: u32 = 4;

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

/// A daemon that is asked to accept a proposal.
#[derive(Debug)]
struct AskedDaemon {
    /// When it is asked next.
    due: Instant,
    /// Whether its answer is awaited.
    waiting: bool,
    /// Consecutive tries that it did not answer in time.
    late: u32,
    /// Consecutive tries that it refused.
    refused: u32,
}

impl AskedDaemon {
    fn new(now: Instant) -> Self {
        Self { due: now, waiting: false, late: 0, refused: 0 }
    }

    /// Records that the daemon is asked; returns whether its answer to the try before is late.
    fn record_sent(&mut self, now: Instant) -> bool {
        let is_late = self.waiting;
        self.late = if is_late { self.late + 1 } else { 0 };
        self.due = now + CALL_TIMEOUT * 2u32.pow(self.late.min(MAX_CALL_GROWTH.ilog2()));
        self.waiting = true;
        is_late
    }

    fn record_refusal(&mut self, now: Instant) {
        self.due = now + RETRY_INTERVAL * 2u32.pow(self.refused.min(MAX_RETRY_GROWTH.ilog2()));
        self.waiting = false;
        self.late = 0;
        self.refused += 1;
    }
}

/// The tries of one proposal. All of them are open until it ends.
struct ProposalTries<'a> {
    core: &'a DaemonCore,
    outcomes: Sender<TryOutcome>,
    /// Daemons that are asked, each again and again.
    asked: BTreeMap<DaemonId, AskedDaemon>,
    /// Tries at other daemons.
    calls: Vec<u64>,
    sent: usize,
    /// Tries that were sent and not refused.
    unanswered: usize,
    /// Whether a daemon refused the proposal or did not answer in time.
    has_failed: bool,
}

impl<'a> ProposalTries<'a> {
    fn new(core: &'a DaemonCore, outcomes: Sender<TryOutcome>) -> Self {
        Self {
            core,
            outcomes,
            asked: BTreeMap::new(),
            calls: Vec::new(),
            sent: 0,
            unanswered: 0,
            has_failed: false,
        }
    }

    /// Sends the proposal to each daemon that is due, with these added. Returns when the next is due.
    fn send_due(
        &mut self,
        log: LogName,
        payload: &EntryPayload,
        targets: Vec<DaemonId>,
        now: Instant,
    ) -> Option<Instant> {
        for target in targets {
            self.asked.entry(target).or_insert_with(|| AskedDaemon::new(now));
        }
        let mut due_targets = Vec::new();
        for (target, asked) in &mut self.asked {
            if asked.due <= now {
                self.has_failed |= asked.record_sent(now);
                due_targets.push(target.clone());
            }
        }
        for target in due_targets {
            self.send(log, &target, payload.clone());
        }
        self.asked.values().map(|asked| asked.due).min()
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
        self.has_failed = true;
        if let Some(asked) = self.asked.get_mut(&target) {
            asked.record_refusal(Instant::now());
        }
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
            let targets = self.daemons_to_ask(log, tries.has_failed);
            let next = tries.send_due(log, &payload, targets, now);
            let until = next.map_or(deadline, |next| next.min(deadline));
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

    /// Returns the daemons to send to: the leader if it is known and has not failed the proposal, else
    /// all voters. Those that do not lead answer at once, and to ask them in turn would take the time
    /// of each one that does not answer.
    fn daemons_to_ask(&self, log: LogName, has_failed: bool) -> Vec<DaemonId> {
        let leader = self.known_leader(log).or_else(|| match log {
            LogName::Config => None,
            LogName::Claims => self.pending.claims_hint(),
        });
        // Only its voters have the claims log. The configuration log, which every daemon has, gets
        // the same voters right after it.
        let voters = || self.config_log.view().voters;
        let mut targets: Vec<DaemonId> = leader.into_iter().collect();
        if targets.is_empty() || has_failed {
            targets.extend(voters());
        }
        if targets.is_empty() {
            targets.push(self.id().clone());
        }
        targets
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
