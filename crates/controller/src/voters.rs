//! Keeps as many voters as the log was founded with.
//!
//! A voter whose disk came back empty must not vote with what it forgot. It is
//! removed and then added again, which makes it start from the leader's log. A
//! voter that stays away is replaced by a controller that does not vote yet.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowbarrow_schema::DaemonId;

/// Voters that the log should have.
pub(crate) const WANTED_VOTERS: usize = 3;
/// Silence after which a voter is replaced, where another controller is there.
pub(crate) const REPLACED_AFTER: Duration = Duration::from_secs(4);

/// What is known when voters are looked at.
#[derive(Clone, Debug)]
pub(crate) struct VoterFacts<'a> {
    pub(crate) own: &'a DaemonId,
    pub(crate) voters: &'a [DaemonId],
    /// Controllers that were heard of lately.
    pub(crate) present: &'a BTreeSet<DaemonId>,
    /// Controllers whose disk came back empty.
    pub(crate) lost_disks: &'a [DaemonId],
}

/// The voters to ask for, if they should be others; one is added or removed at a time.
pub(crate) fn next_voters(facts: &VoterFacts<'_>) -> Option<Vec<DaemonId>> {
    let is_voter = |id: &DaemonId| facts.voters.contains(id);
    let without = |gone: &DaemonId| {
        facts.voters.iter().filter(|voter| *voter != gone).cloned().collect::<Vec<_>>()
    };
    let candidate = facts.present.iter().find(|id| !is_voter(id));
    if facts.voters.len() < WANTED_VOTERS {
        let added = candidate?;
        let mut voters = facts.voters.to_vec();
        voters.push(added.clone());
        return Some(voters);
    }
    let emptied = facts.lost_disks.iter().find(|id| is_voter(id) && *id != facts.own);
    if let Some(emptied) = emptied {
        return Some(without(emptied));
    }
    candidate?;
    let absent = |id: &&DaemonId| *id != facts.own && !facts.present.contains(*id);
    facts.voters.iter().find(absent).map(without)
}
