//! Keeps as many voters as the losses to be borne ask for.
//!
//! With twice as many voters as may be lost and one more, what a majority holds is still held by
//! one that is left, and those that are left are a majority. The log is founded by the seeds,
//! which may be fewer; other controllers are added as they are heard of.
//!
//! A voter whose disk came back empty must not vote with what it forgot. It is
//! removed and then added again, which makes it start from the leader's log. A
//! voter that stays away is replaced by a controller that does not vote yet.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowbarrow_schema::DaemonId;

/// Voters that bear the loss of this many.
pub fn voters_for(losses: u32) -> usize {
    2 * losses as usize + 1
}

/// Voters below which none is removed: of fewer, each is needed.
const LEAST_VOTERS: usize = 3;
/// Silence after which a voter is replaced, where another controller is there.
pub const VOTER_REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(4);

/// What is known when voters are looked at.
#[derive(Clone, Debug)]
pub struct VoterFacts<'a> {
    /// Voters that the log should have.
    pub wanted: usize,
    /// The leader, which looks.
    pub own: &'a DaemonId,
    /// Daemons that vote now.
    pub voters: &'a [DaemonId],
    /// Controllers that were heard of lately.
    pub present: &'a BTreeSet<DaemonId>,
    /// Controllers whose disk came back empty.
    pub lost_disks: &'a [DaemonId],
}

/// The voters to ask for, if they should be others; one is added or removed at a time.
pub fn next_voters(facts: &VoterFacts<'_>) -> Option<Vec<DaemonId>> {
    let is_voter = |id: &DaemonId| facts.voters.contains(id);
    let without = |gone: &DaemonId| {
        facts.voters.iter().filter(|voter| *voter != gone).cloned().collect::<Vec<_>>()
    };
    let emptied = facts.lost_disks.iter().find(|id| is_voter(id) && *id != facts.own);
    if let Some(emptied) = emptied.filter(|_| facts.voters.len() >= LEAST_VOTERS) {
        return Some(without(emptied));
    }
    let candidate = facts.present.iter().find(|id| !is_voter(id))?;
    if facts.voters.len() < facts.wanted {
        let mut voters = facts.voters.to_vec();
        voters.push(candidate.clone());
        return Some(voters);
    }
    let absent = |id: &&DaemonId| *id != facts.own && !facts.present.contains(*id);
    facts.voters.iter().find(absent).map(without)
}
