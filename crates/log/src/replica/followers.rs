//! What a leader knows of the daemons that follow it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_schema::DaemonId;
use tokio::time::Instant;

use super::{LogReplica, ReplicaRole};
use crate::leader::FollowerProgress;
use crate::storage::LogStorage;

impl<S: LogStorage> LogReplica<S> {
    /// Returns the voters that replied to this leader and may not be counted in a quorum; empty if
    /// this replica is not the leader.
    pub fn uncounted_voters(&self) -> Vec<DaemonId> {
        let ReplicaRole::Leader(role) = &self.role else { return Vec::new() };
        let refused = |id: &DaemonId| {
            let replied = role.progress.get(id).is_some_and(|progress| progress.disk.is_some());
            replied && role.counted(id, &self.voters).is_none()
        };
        self.voters.ids().iter().filter(|id| refused(id)).cloned().collect()
    }

    /// Returns the followers that have a disk, do not vote and replied within `recent`, the one that
    /// lacks the least of the log first; empty if this replica is not the leader.
    pub fn candidate_voters(&self, recent: Duration, now: Instant) -> Vec<DaemonId> {
        let ReplicaRole::Leader(role) = &self.role else { return Vec::new() };
        let fresh = |contact: Instant| now.saturating_duration_since(contact) < recent;
        let mut candidates: Vec<(&DaemonId, &FollowerProgress)> = role
            .progress
            .iter()
            .filter(|(id, _)| !self.voters.contains(id) && self.heard_disk(id).is_some())
            .filter(|(_, progress)| progress.contact.is_some_and(fresh))
            .collect();
        candidates.sort_by_key(|(_, progress)| Reverse(progress.matched));
        candidates.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of voters that this leader counts in quorums and that replied within
    /// `recent`, including itself; 0 if this replica is not the leader.
    pub fn counted_voters(&self, recent: Duration, now: Instant) -> usize {
        let ReplicaRole::Leader(role) = &self.role else { return 0 };
        let fresh = |contact: Instant| now.saturating_duration_since(contact) < recent;
        let counted = |id: &DaemonId| {
            let contact = role.counted(id, &self.voters).and_then(|progress| progress.contact);
            *id == self.config.id || contact.is_some_and(fresh)
        };
        self.voters.ids().iter().filter(|id| counted(id)).count()
    }

    /// Returns when each voter but this one last replied, at the earliest when this replica became the
    /// leader; empty if it is not the leader.
    pub fn voter_contacts(&self) -> BTreeMap<DaemonId, Instant> {
        let ReplicaRole::Leader(role) = &self.role else { return BTreeMap::new() };
        let contact = |id: &DaemonId| role.progress.get(id).and_then(|progress| progress.contact);
        let others = self.voters.ids().iter().filter(|id| **id != self.config.id);
        others.map(|id| (id.clone(), contact(id).unwrap_or(role.began))).collect()
    }

    /// Returns the time of each follower's last reply; empty if this replica is not the leader.
    pub fn contacts(&self) -> BTreeMap<DaemonId, Option<Instant>> {
        match &self.role {
            ReplicaRole::Leader(role) => {
                role.progress.iter().map(|(id, progress)| (id.clone(), progress.contact)).collect()
            }
            _ => BTreeMap::new(),
        }
    }
}
