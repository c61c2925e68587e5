//! Proposes changes of the voters while this daemon leads the log.
//!
//! A majority has to commit each change, so a leader that was replaced without knowing it changes
//! nothing. Proposals therefore need no recent confirmation of the leader, which a majority cannot
//! give in time where messages take longer than an election. Only the silence of a voter is judged
//! with such a confirmation, since a leader that was stopped has heard nobody.

use std::time::Duration;

use hollowbarrow_log::LogView;
use hollowbarrow_schema::{DaemonId, EntryPayload, ProposalOutcome, Term};
use tokio::time::Instant;

use crate::core::ControllerCore;
use crate::voters::{VOTER_REPLACEMENT_TIMEOUT, VoterFacts, next_voters, voters_for};

/// Time between two checks of the voters, unless what they depend on changes.
const VOTERS_INTERVAL: Duration = Duration::from_millis(500);

/// Voters, those of them that may not count, those that are silent, and candidates, each sorted.
type VoterLists = [Vec<DaemonId>; 4];

/// What the last check of the voters was about.
#[derive(Debug, Default)]
pub(crate) struct VoterUpkeep {
    checked: Option<(Term, VoterLists)>,
    due: Option<Instant>,
}

impl VoterUpkeep {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Proposes a change of the voters if this daemon leads, none is under way, and a check is due.
    pub(crate) fn step(&mut self, core: &ControllerCore, view: &LogView, now: Instant) {
        if !core.leads_log(view, now) || view.voters_pending {
            return;
        }
        let silent = match core.is_confirmed_leader(view, now) {
            true => silent_voters(view, now),
            false => Vec::new(),
        };
        let mut lists =
            [view.voters.clone(), view.uncounted.clone(), silent.clone(), view.candidates.clone()];
        lists.iter_mut().for_each(|ids| ids.sort());
        let facts = Some((view.term, lists));
        if self.due.is_some_and(|due| now < due) && facts == self.checked {
            return;
        }
        self.due = Some(now + VOTERS_INTERVAL);
        self.checked = facts;
        propose_voters(core, view, &silent);
    }
}

fn propose_voters(core: &ControllerCore, view: &LogView, silent: &[DaemonId]) {
    let facts = VoterFacts {
        desired: voters_for(core.settings.losses),
        local: core.links().id(),
        voters: &view.voters,
        silent,
        lost_disks: &view.uncounted,
        candidates: &view.candidates,
    };
    let Some(voters) = next_voters(&facts) else { return };
    let names: Vec<&str> = voters.iter().map(|voter| voter.as_str()).collect();
    log::info!("event=voters_proposed voters={}", names.join(","));
    let outcome = core.log.propose(EntryPayload::Voters(voters));
    tokio::spawn(log_outcome(outcome));
}

/// Returns the voters that have not replied for so long that they are replaced.
fn silent_voters(view: &LogView, now: Instant) -> Vec<DaemonId> {
    let silent = |at: &Instant| now.saturating_duration_since(*at) >= VOTER_REPLACEMENT_TIMEOUT;
    view.contacts.iter().filter(|(_, at)| silent(at)).map(|(id, _)| id.clone()).collect()
}

/// Logs why a proposed change of voters failed; the next check sees whether it took effect.
async fn log_outcome(outcome: flume::Receiver<ProposalOutcome>) {
    match outcome.recv_async().await {
        Ok(ProposalOutcome::VotersChanged) => {}
        Ok(outcome) => log::warn!("event=voters_refused outcome={outcome:?}"),
        Err(_) => log::warn!("event=voters_refused outcome=unknown"),
    }
}
