//! Fixed settings of a member of a zone's authority.

use std::time::Duration;

use hollowbarrow_schema::{DaemonId, Term, ZoneId};

/// Terms of different members never coincide: the low bits name the member.
const MEMBERS_PER_TERM: u64 = 64;

/// Fixed settings of a member.
#[derive(Clone, Debug)]
pub struct AuthorityConfig {
    pub(crate) id: DaemonId,
    pub(crate) zone: ZoneId,
    pub(crate) members: Vec<DaemonId>,
    pub(crate) lease: Duration,
    pub(crate) drift_permille: u64,
}

impl AuthorityConfig {
    /// Creates settings for a daemon and the members of the zone.
    pub fn new(id: &DaemonId, zone: &ZoneId, members: &[DaemonId]) -> Self {
        let mut members = members.to_vec();
        members.sort();
        Self {
            id: id.clone(),
            zone: zone.clone(),
            members,
            lease: Duration::from_millis(2000),
            drift_permille: 50,
        }
    }

    /// Sets the length of the holder's lease.
    pub fn with_lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets by how many thousandths two clocks may differ in speed.
    pub fn with_drift_permille(mut self, drift: u64) -> Self {
        self.drift_permille = drift;
        self
    }

    /// How long a member keeps a promise to a holder: the lease and the margin for drift.
    pub fn guarded_lease(&self) -> Duration {
        self.lease + self.lease * u32::try_from(self.drift_permille).unwrap_or(u32::MAX) / 1000
    }

    /// Members that make a majority.
    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The next term of this member after another one.
    pub(crate) fn term_after(&self, term: Term) -> Term {
        let own = self.members.iter().position(|id| *id == self.id).unwrap_or_default() as u64;
        Term((*term / MEMBERS_PER_TERM + 1) * MEMBERS_PER_TERM + own)
    }
}
