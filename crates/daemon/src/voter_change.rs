//! Changes of the voters that an operator requests.
//!
//! A change is made in steps, the removal before the admission, and each step in both logs. A step
//! that a log has taken already is answered with success, so that a change whose answer was lost,
//! or that ended in the middle, can be sent again as a whole.

use std::time::Duration;

use hollowbarrow_schema::{DaemonId, EntryPayload, LogName, ProposalOutcome, VoterChange};
use thiserror::Error;
use tokio::time::Instant;

use crate::core::DaemonCore;
use crate::proposals::ProposeEntryError;

/// Pause before a step that a leader refused is proposed again.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// One step of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VoterStep<'a> {
    Remove(&'a DaemonId),
    Add(&'a DaemonId),
}

/// Why a change of the voters was not completed.
#[derive(Debug, Error)]
pub(crate) enum ChangeVotersError {
    /// The leader refused a step until the deadline.
    #[error(
        "the log of {log} did not {step} in time: another change of its voters is not committed, \
         or the daemon does not follow the log; send the same change again"
    )]
    Refused {
        /// The log.
        log: LogName,
        /// What was refused.
        step: String,
    },
    /// No outcome of a step is known.
    #[error(transparent)]
    Propose(#[from] ProposeEntryError),
}

impl VoterStep<'_> {
    /// Returns the voters that a log has after this step.
    fn apply(self, voters: &[DaemonId]) -> Vec<DaemonId> {
        let (Self::Remove(daemon) | Self::Add(daemon)) = self;
        let mut voters = voters.to_vec();
        voters.retain(|voter| voter != daemon);
        if matches!(self, Self::Add(_)) {
            voters.push(daemon.clone());
        }
        voters
    }

    fn describe(self) -> String {
        match self {
            Self::Remove(daemon) => format!("remove {}", **daemon),
            Self::Add(daemon) => format!("admit {}", **daemon),
        }
    }
}

impl DaemonCore {
    /// Changes the voters of both logs, and returns those of the configuration's log.
    ///
    /// # Errors
    ///
    /// Fails if a leader refuses a step until the deadline, or if its outcome remains unknown. The
    /// steps before it are in force then, and the same change can be made again.
    pub(crate) async fn change_voters(
        &self,
        change: &VoterChange,
        deadline: Instant,
    ) -> Result<Vec<DaemonId>, ChangeVotersError> {
        let started = Instant::now();
        self.wait_for_complete_config(started, deadline).await?;
        let removal = change.remove.as_ref().map(VoterStep::Remove);
        let admission = change.add.as_ref().map(VoterStep::Add);
        let mut voters = self.config_log.view().voters;
        for step in removal.into_iter().chain(admission) {
            self.take_voter_step(LogName::Claims, step, started, deadline).await?;
            voters = self.take_voter_step(LogName::Config, step, started, deadline).await?;
        }
        Ok(voters)
    }

    /// Waits until this daemon has all changes that were acknowledged before a time. With older
    /// voters as a base, a step would undo a change of another operator.
    async fn wait_for_complete_config(
        &self,
        since: Instant,
        deadline: Instant,
    ) -> Result<(), ProposeEntryError> {
        let mut views = self.config_log.watch();
        let complete = views.wait_for(|view| view.complete >= Some(since));
        match tokio::time::timeout_at(deadline, complete).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(ProposeEntryError::NoLeader),
        }
    }

    /// Proposes one step to a log until its leader takes it.
    ///
    /// The leader refuses it while another change is not committed, and admits a daemon only once
    /// that follows the log.
    async fn take_voter_step(
        &self,
        log: LogName,
        step: VoterStep<'_>,
        started: Instant,
        deadline: Instant,
    ) -> Result<Vec<DaemonId>, ChangeVotersError> {
        loop {
            // Another change may have been committed since the last try.
            let voters = step.apply(&self.known_voters(log, started));
            let payload = EntryPayload::Voters(voters.clone());
            if self.propose(log, payload, deadline).await? == ProposalOutcome::VotersChanged {
                return Ok(voters);
            }
            if Instant::now() + REFUSED_PAUSE >= deadline {
                return Err(ChangeVotersError::Refused { log, step: step.describe() });
            }
            tokio::time::sleep(REFUSED_PAUSE).await;
        }
    }

    /// Returns the voters of a log, including the changes acknowledged before a time.
    fn known_voters(&self, log: LogName, since: Instant) -> Vec<DaemonId> {
        let claims = self.claims_log.view();
        // Only its voters have the claims log. The configuration log, which every daemon has, gets
        // the same voters right after it.
        let votes = claims.voters.contains(self.id()) && claims.complete >= Some(since);
        match log {
            LogName::Claims if votes => claims.voters,
            _ => self.config_log.view().voters,
        }
    }
}
