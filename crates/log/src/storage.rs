//! What a replica needs of its storage, and the storage of daemons without a disk.

use std::collections::VecDeque;
use std::path::PathBuf;

use hollowbarrow_schema::{DaemonId, LogEntry, LogIndex, LogSnapshot, Term};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Failure of a log's storage; the replica stops voting and acknowledging.
#[derive(Debug, Error)]
pub enum StoreLogError {
    /// Reading, writing or syncing a file failed.
    #[error("cannot {action} {path}", path = path.display())]
    AccessFile {
        /// What was tried.
        action: &'static str,
        /// File or folder it was tried on.
        path: PathBuf,
        /// Why it failed.
        source: std::io::Error,
    },
    /// A record that had been synced no longer has its checksum.
    #[error("damaged record at byte {offset} of {path}", path = path.display())]
    DamagedRecord {
        /// File that holds the record.
        path: PathBuf,
        /// Where the record starts, in bytes.
        offset: u64,
    },
    /// Records do not follow one another.
    #[error("entry {found} stands where {expected} was expected")]
    BrokenOrder {
        /// Index that was expected.
        expected: u64,
        /// Index that was found.
        found: u64,
    },
    /// A record cannot be encoded.
    #[error("cannot encode a record: {0}")]
    EncodeRecord(String),
}

/// What a voter must remember about elections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRecord {
    /// Highest term seen.
    pub term: Term,
    /// Who got this voter's vote in that term.
    pub vote: Option<DaemonId>,
    /// Whether this disk has ever been part of the log's quorum.
    pub initialised: bool,
}

/// Storage of one replica of a log.
pub trait LogStorage: Send {
    /// Whether what was synced survives a restart.
    fn is_durable(&self) -> bool;

    /// What is remembered about elections.
    fn vote(&self) -> &VoteRecord;

    /// Remembers a vote; it is synced on return.
    ///
    /// # Errors
    ///
    /// Fails where the vote may not have reached the disk.
    fn set_vote(&mut self, vote: VoteRecord) -> Result<(), StoreLogError>;

    /// The entries and snapshot held.
    fn window(&self) -> &EntryWindow;

    /// Adds entries after the last one; they count only after [`LogStorage::sync`].
    ///
    /// # Errors
    ///
    /// Fails where an entry cannot be written.
    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StoreLogError>;

    /// Drops the entries from an index on.
    ///
    /// # Errors
    ///
    /// Fails where the cut cannot be written.
    fn truncate_from(&mut self, index: LogIndex) -> Result<(), StoreLogError>;

    /// Takes a snapshot in place of the entries that it covers; synced on return.
    ///
    /// # Errors
    ///
    /// Fails where the snapshot may not have reached the disk.
    fn install_snapshot(&mut self, snapshot: LogSnapshot) -> Result<(), StoreLogError>;

    /// Makes all appended entries durable.
    ///
    /// # Errors
    ///
    /// Fails where the entries may not have reached the disk.
    fn sync(&mut self) -> Result<(), StoreLogError>;
}

/// A snapshot and the entries after it, in memory.
#[derive(Debug, Default)]
pub struct EntryWindow {
    snapshot: Option<LogSnapshot>,
    entries: VecDeque<LogEntry>,
}

impl EntryWindow {
    /// The snapshot that stands before the entries, if any.
    pub fn snapshot(&self) -> Option<&LogSnapshot> {
        self.snapshot.as_ref()
    }

    /// Index covered by the snapshot, 0 without one.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index)
    }

    /// Index of the last entry, or of the snapshot where no entry follows it.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.snapshot_index(), |entry| entry.index)
    }

    /// Term of the last entry or snapshot.
    pub fn last_term(&self) -> Term {
        self.term_at(self.last_index()).unwrap_or_default()
    }

    /// Number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        index.checked_sub(*self.snapshot_index() + 1).map(|position| position as usize)
    }

    /// The entry at an index, if held.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// Term of the entry at an index; known for the snapshot's last index too, and 0 for index 0.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if *index == 0 {
            // What stands before a snapshot is not known any more, the beginning included.
            return self.snapshot.is_none().then_some(Term(0));
        }
        match &self.snapshot {
            Some(snapshot) if snapshot.index == index => Some(snapshot.term),
            _ => self.entry(index).map(|entry| entry.term),
        }
    }

    /// Entries from an index on, at most `most`.
    pub fn entries_from(&self, index: LogIndex, most: usize) -> impl Iterator<Item = &LogEntry> {
        let start = self.position(index).unwrap_or(self.entries.len());
        self.entries.iter().skip(start).take(most)
    }

    /// All entries, newest first.
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

    /// Makes the storage claim to be durable, for tests that keep it across restarts.
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

    fn sync(&mut self) -> Result<(), StoreLogError> {
        (**self).sync()
    }
}
