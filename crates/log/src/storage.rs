//! Storage interface of a replica, and the storage of daemons without a disk.

use std::collections::VecDeque;
use std::path::PathBuf;

use hollowbarrow_schema::{
    DaemonId, DiskId, DiskIdentity, Founders, LogEntry, LogIndex, LogSnapshot, Term,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Failure of a log's storage, after which the replica stops voting and acknowledging.
#[derive(Debug, Error)]
pub enum StoreLogError {
    /// Reading, writing or syncing a file failed.
    #[error("cannot {action} {path}", path = path.display())]
    AccessFile {
        /// Operation that failed.
        action: &'static str,
        /// File or folder that was accessed.
        path: PathBuf,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A record cannot be decoded or its checksum does not match.
    #[error("damaged record at byte {offset} of {path}", path = path.display())]
    DamagedRecord {
        /// File that holds the record.
        path: PathBuf,
        /// Start of the record in bytes.
        offset: u64,
    },
    /// A record is intact and cannot be decoded: another release may have written it.
    #[error("unknown record at byte {offset} of {path}", path = path.display())]
    UnknownRecord {
        /// File that holds the record.
        path: PathBuf,
        /// Start of the record in bytes.
        offset: u64,
    },
    /// The index of an entry does not follow that of the previous entry.
    #[error("found entry {found} where entry {expected} was expected")]
    BrokenOrder {
        /// Expected index.
        expected: u64,
        /// Index found.
        found: u64,
    },
    /// A record cannot be encoded.
    #[error("cannot encode a record: {0}")]
    EncodeRecord(String),
}

/// Election state that a voter must persist.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRecord {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that this voter voted for in that term.
    pub vote: Option<DaemonId>,
    /// Whether an earlier release recorded that this disk was part of the log's quorum.
    pub initialised: bool,
    /// Id of this disk, drawn when the record is first written. It is stored with the votes, so that
    /// a disk that has forgotten them has another id.
    #[serde(default)]
    pub disk: Option<DiskId>,
    /// Whether the settings allowed to found a log when that id was drawn, so that the disk may vote in
    /// an election that founds it. One that was emptied later has forgotten such votes.
    #[serde(default)]
    pub founder: bool,
    /// Founders that this disk has agreed to; its votes found the log only together with them.
    #[serde(default)]
    pub founders: Option<Founders>,
}

impl VoteRecord {
    /// Returns the identity that replies carry.
    pub fn identity(&self) -> DiskIdentity {
        DiskIdentity { id: self.disk, initialised: self.initialised }
    }
}

/// Storage of one replica of a log.
pub trait LogStorage: Send {
    /// Returns whether synced data survives a restart.
    fn is_durable(&self) -> bool;

    /// Returns the stored election state.
    fn vote(&self) -> &VoteRecord;

    /// Stores election state; it is synced on return.
    ///
    /// # Errors
    ///
    /// Fails if the state may not be durable.
    fn set_vote(&mut self, vote: VoteRecord) -> Result<(), StoreLogError>;

    /// Returns the stored snapshot and entries.
    fn window(&self) -> &EntryWindow;

    /// Appends entries after the last one; they are durable only after [`LogStorage::sync`].
    ///
    /// # Errors
    ///
    /// Fails if an entry cannot be written.
    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StoreLogError>;

    /// Removes the entries from an index on.
    ///
    /// # Errors
    ///
    /// Fails if the truncation cannot be written.
    fn truncate_from(&mut self, index: LogIndex) -> Result<(), StoreLogError>;

    /// Replaces the entries that a snapshot covers by the snapshot; it is synced on return.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot may not be durable.
    fn install_snapshot(&mut self, snapshot: LogSnapshot) -> Result<(), StoreLogError>;

    /// Sets the index up to which the log is known to be committed. It becomes durable together with
    /// the next entries that are synced, and is no reason to sync by itself.
    fn set_committed(&mut self, index: LogIndex);

    /// Makes all appended entries durable.
    ///
    /// # Errors
    ///
    /// Fails if the entries may not be durable.
    fn sync(&mut self) -> Result<(), StoreLogError>;
}

/// A snapshot and the entries after it, in memory.
#[derive(Debug, Default)]
pub struct EntryWindow {
    snapshot: Option<LogSnapshot>,
    entries: VecDeque<LogEntry>,
    committed: LogIndex,
}

impl EntryWindow {
    /// Returns the snapshot that precedes the entries, if any.
    pub fn snapshot(&self) -> Option<&LogSnapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the last index that the snapshot covers, 0 without a snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index)
    }

    /// Returns the index of the last entry, or of the snapshot if no entry follows it.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.snapshot_index(), |entry| entry.index)
    }

    /// Returns an index up to which the snapshot and the entries are known to be committed.
    pub fn committed(&self) -> LogIndex {
        self.committed.max(self.snapshot_index())
    }

    /// Returns the term of the last entry or of the snapshot.
    pub fn last_term(&self) -> Term {
        self.term_at(self.last_index()).unwrap_or_default()
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        index.checked_sub(*self.snapshot_index() + 1).map(|position| position as usize)
    }

    /// Returns the entry at an index, if it is in the window.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns the term of the entry at an index, also for the snapshot's last index; it is 0 for
    /// index 0 of a log without a snapshot.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if *index == 0 {
            // Nothing before a snapshot is known, including index 0.
            return self.snapshot.is_none().then_some(Term(0));
        }
        match &self.snapshot {
            Some(snapshot) if snapshot.index == index => Some(snapshot.term),
            _ => self.entry(index).map(|entry| entry.term),
        }
    }

    /// Returns at most `limit` entries from an index on.
    pub fn entries_from(&self, index: LogIndex, limit: usize) -> impl Iterator<Item = &LogEntry> {
        let start = self.position(index).unwrap_or(self.entries.len());
        self.entries.iter().skip(start).take(limit)
    }

    /// Returns all entries, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter().rev()
    }

    pub(crate) fn push(&mut self, entry: LogEntry) -> Result<(), StoreLogError> {
        let expected = *self.last_index() + 1;
        if *entry.index != expected {
            return Err(StoreLogError::BrokenOrder { expected, found: *entry.index });
        }
        self.entries.push_back(entry);
        Ok(())
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        self.entries.truncate(self.position(index).unwrap_or(0));
        self.committed = self.committed.min(self.last_index());
    }

    /// Sets the index up to which entries are known to be committed; entries that are missing here
    /// do not count.
    pub(crate) fn set_committed(&mut self, index: LogIndex) {
        self.committed = self.committed.max(index.min(self.last_index()));
    }

    pub(crate) fn set_snapshot(&mut self, snapshot: LogSnapshot) {
        let follows = self.term_at(snapshot.index) == Some(snapshot.term);
        if follows {
            let covered = self.position(snapshot.index).map_or(0, |position| position + 1);
            self.entries.drain(..covered.min(self.entries.len()));
        } else {
            self.entries.clear();
        }
        self.snapshot = Some(snapshot);
    }
}

/// Storage of a daemon without a disk; it can follow a log but not vote.
#[derive(Debug, Default)]
pub struct MemoryStorage {
    vote: VoteRecord,
    window: EntryWindow,
    durable: bool,
}

impl MemoryStorage {
    /// Creates an empty storage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the storage reports to be durable, for tests that keep it across restarts.
    pub fn with_durable(mut self, durable: bool) -> Self {
        self.durable = durable;
        self
    }
}

impl LogStorage for MemoryStorage {
    fn is_durable(&self) -> bool {
        self.durable
    }

    fn vote(&self) -> &VoteRecord {
        &self.vote
    }

    fn set_vote(&mut self, vote: VoteRecord) -> Result<(), StoreLogError> {
        self.vote = vote;
        Ok(())
    }

    fn window(&self) -> &EntryWindow {
        &self.window
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StoreLogError> {
        entries.iter().try_for_each(|entry| self.window.push(entry.clone()))
    }

    fn truncate_from(&mut self, index: LogIndex) -> Result<(), StoreLogError> {
        self.window.truncate_from(index);
        Ok(())
    }

    fn install_snapshot(&mut self, snapshot: LogSnapshot) -> Result<(), StoreLogError> {
        self.window.set_snapshot(snapshot);
        Ok(())
    }

    fn set_committed(&mut self, index: LogIndex) {
        self.window.set_committed(index);
    }

    fn sync(&mut self) -> Result<(), StoreLogError> {
        Ok(())
    }
}

impl LogStorage for Box<dyn LogStorage> {
    fn is_durable(&self) -> bool {
        (**self).is_durable()
    }

    fn vote(&self) -> &VoteRecord {
        (**self).vote()
    }

    fn set_vote(&mut self, vote: VoteRecord) -> Result<(), StoreLogError> {
        (**self).set_vote(vote)
    }

    fn window(&self) -> &EntryWindow {
        (**self).window()
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StoreLogError> {
        (**self).append(entries)
    }

    fn truncate_from(&mut self, index: LogIndex) -> Result<(), StoreLogError> {
        (**self).truncate_from(index)
    }

    fn install_snapshot(&mut self, snapshot: LogSnapshot) -> Result<(), StoreLogError> {
        (**self).install_snapshot(snapshot)
    }

    fn set_committed(&mut self, index: LogIndex) {
        (**self).set_committed(index);
    }

    fn sync(&mut self) -> Result<(), StoreLogError> {
        (**self).sync()
    }
}
