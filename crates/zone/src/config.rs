//! Configuration of a member of a zone's authority.

use std::time::Duration;

use hollowbarrow_schema::{DaemonId, Term, ZoneId};

/// Stride between terms. A term modulo this is its member's index, so that terms of different
/// members never coincide.
const TERM_STRIDE: u64 = 64;

/// Configuration of a member of a zone's authority.
#[derive(Clone, Debug)]
pub struct AuthorityConfig {
    pub(crate) id: DaemonId,
    pub(crate) zone: ZoneId,
    pub(crate) members: Vec<DaemonId>,
    pub(crate) lease: Duration,
    pub(crate) drift_permille: u64,
}

impl AuthorityConfig {
    /// Creates the configuration of a daemon, with the members of the zone's authority.
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

    /// Returns for how long a member keeps a lease that it granted: the lease plus the drift margin.
    pub fn guarded_lease(&self) -> Duration {
        self.lease + self.lease * u32::try_from(self.drift_permille).unwrap_or(u32::MAX) / 1000
    }

    /// Number of members that are a majority.
    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the term of this member that follows `term`.
    pub(crate) fn term_after(&self, term: Term) -> Term {
        let index = self.members.iter().position(|id| *id == self.id).unwrap_or_default() as u64;
        Term((*term / TERM_STRIDE + 1) * TERM_STRIDE + index)
    }
}
