//! The voters of a log, each with the disk that it votes with.
//!
//! A daemon keeps its id when its disk is emptied, but the disk that returns has forgotten the votes
//! and entries that the former one acknowledged. A reply therefore counts in a quorum only if it
//! comes from the disk that the voter was admitted with. Whoever counts decides that by the voters
//! that its own log names, so it does not matter what the sender knows of its admission.

use std::collections::BTreeMap;

use hollowbarrow_schema::{
    DaemonId, DiskId, DiskIdentity, EntryPayload, LogSnapshot, VoterDisk, VoterSet,
};

/// Voters and their disks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Electorate {
    ids: Vec<DaemonId>,
    disks: BTreeMap<DaemonId, DiskId>,
}

impl Electorate {
    /// Creates voters whose disks are not named: those of the settings, and those of logs that
    /// earlier releases wrote.
    pub(crate) fn without_disks(ids: &[DaemonId]) -> Self {
        Self { ids: ids.to_vec(), disks: BTreeMap::new() }
    }

    /// Creates voters with those of the disks that belong to one of them.
    pub(crate) fn new(ids: Vec<DaemonId>, disks: BTreeMap<DaemonId, DiskId>) -> Self {
        let mut electorate = Self { ids, disks };
        electorate.disks.retain(|id, _| electorate.ids.contains(id));
        electorate
    }

    /// Reads the voters that an entry names, if it changes them.
    pub(crate) fn from_payload(payload: &EntryPayload) -> Option<Self> {
        match payload {
            EntryPayload::Voters(ids) => Some(Self::without_disks(ids)),
            EntryPayload::VoterSet(set) => Some(Self::from_parts(&set.voters, &set.disks)),
            _ => None,
        }
    }

    /// Reads the voters that a snapshot names.
    pub(crate) fn from_snapshot(snapshot: &LogSnapshot) -> Self {
        Self::from_parts(&snapshot.voters, &snapshot.disks)
    }

    fn from_parts(ids: &[DaemonId], disks: &[VoterDisk]) -> Self {
        let disks = disks.iter().map(|named| (named.voter.clone(), named.disk)).collect();
        Self::new(ids.to_vec(), disks)
    }

    /// Returns the entry that names these voters.
    pub(crate) fn to_payload(&self) -> EntryPayload {
        EntryPayload::VoterSet(VoterSet { voters: self.ids.clone(), disks: self.voter_disks() })
    }

    /// Returns the disks of the voters that have one named.
    pub(crate) fn voter_disks(&self) -> Vec<VoterDisk> {
        let disks = self.disks.iter();
        disks.map(|(voter, disk)| VoterDisk { voter: voter.clone(), disk: *disk }).collect()
    }

    /// Returns the ids of the voters.
    pub(crate) fn ids(&self) -> &[DaemonId] {
        &self.ids
    }

    /// Returns the disks of the voters that have one named.
    pub(crate) fn disks(&self) -> &BTreeMap<DaemonId, DiskId> {
        &self.disks
    }

    pub(crate) fn contains(&self, id: &DaemonId) -> bool {
        self.ids.contains(id)
    }

    /// Returns the number of voters that is a majority.
    pub(crate) fn majority(&self) -> usize {
        self.ids.len() / 2 + 1
    }

    /// Returns whether a daemon's reply counts in a quorum if it comes from this disk.
    pub(crate) fn counts(&self, id: &DaemonId, disk: &DiskIdentity) -> bool {
        match (self.disks.get(id), disk.id) {
            (Some(named), Some(found)) => *named == found,
            (None, Some(_)) => self.contains(id) && disk.initialised,
            (_, None) => false,
        }
    }
}
