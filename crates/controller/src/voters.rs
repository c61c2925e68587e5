//! Keeps as many voters as are needed to tolerate the configured number of losses.
//!
//! With 2n + 1 voters and n of them lost, the remaining ones are a majority, and each entry that a
//! majority holds is still held by at least one of them. The log is founded by the seeds, which may
//! be fewer; other controllers are added once they send hellos.
//!
//! A voter whose disk came back empty does not count, since it has lost its earlier votes and
//! entries. It is removed, and a controller that does not vote is added: the one that lacks the least
//! of the log, which may be the removed one with its new disk. A voter that stays silent is replaced
//! in the same way. Only replies of the log count: a controller whose storage failed or that the
//! leader's messages do not reach still sends hellos.

use std::time::Duration;

use hollowbarrow_log::CONTACT_TIMEOUT;
use hollowbarrow_schema::DaemonId;

/// Number of voters needed to tolerate this many losses.
pub fn voters_for(losses: u32) -> usize {
    2 * losses as usize + 1
}

/// Number of voters below which none is removed: with fewer, each is needed for a majority.
const MIN_VOTERS: usize = 3;
/// Time without a reply after which a voter is replaced, if another controller is available: from
/// then on the leader doesn't count it. A new leader waits for it again, after an election, so it must
/// be well below the time after which a successor makes up for a lost controller.
pub const VOTER_REPLACEMENT_TIMEOUT: Duration = CONTACT_TIMEOUT;

/// Inputs of [`next_voters`].
#[derive(Clone, Debug)]
pub struct VoterFacts<'a> {
    /// Number of voters that the log should have.
    pub desired: usize,
    /// The leader, which proposes the change.
    pub local: &'a DaemonId,
    /// Current voters.
    pub voters: &'a [DaemonId],
    /// Voters that have not replied for [`VOTER_REPLACEMENT_TIMEOUT`].
    pub silent: &'a [DaemonId],
    /// Voters that answer the leader with another disk than the one they were admitted with.
    pub lost_disks: &'a [DaemonId],
    /// Controllers with a disk that reply and do not vote; the one that lacks the least of the log comes
    /// first.
    pub candidates: &'a [DaemonId],
}

/// Returns the voters to propose if they should change; one is added or removed at a time.
pub fn next_voters(facts: &VoterFacts<'_>) -> Option<Vec<DaemonId>> {
    let is_voter = |id: &DaemonId| facts.voters.contains(id);
    let without = |removed: &DaemonId| {
        facts.voters.iter().filter(|voter| *voter != removed).cloned().collect::<Vec<_>>()
    };
    let emptied = facts.lost_disks.iter().find(|id| is_voter(id) && *id != facts.local);
    if let Some(emptied) = emptied.filter(|_| facts.voters.len() >= MIN_VOTERS) {
        return Some(without(emptied));
    }
    let candidate = facts.candidates.first()?;
    if facts.voters.len() < facts.desired {
        let mut voters = facts.voters.to_vec();
        voters.push(candidate.clone());
        return Some(voters);
    }
    facts.voters.iter().find(|id| facts.silent.contains(*id)).map(without)
}
