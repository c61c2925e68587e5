//! A disk that loses what was not synced when the power is lost.

use hollowbarrow_log::{EntryWindow, LogStorage, MemoryStorage, StoreLogError, VoteRecord};
use hollowbarrow_schema::{LogEntry, LogIndex, LogSnapshot};

#[derive(Clone, Debug)]
enum DiskAction {
    Append(LogEntry),
    Commit(LogIndex),
    Truncate(LogIndex),
    Snapshot(LogSnapshot),
}

/// Storage that loses unsynced data on a crash; the election state is always synced.
#[derive(Debug)]
pub struct CrashStorage {
    synced: Vec<DiskAction>,
    pending: Vec<DiskAction>,
    live: MemoryStorage,
    durable: bool,
}

impl CrashStorage {
    pub fn new(durable: bool) -> Self {
        let live = MemoryStorage::new().with_durable(durable);
        Self { synced: Vec::new(), pending: Vec::new(), live, durable }
    }

    /// Returns the storage that a restart finds.
    pub fn crash(self) -> Self {
        self.backup()
    }

    /// Returns a copy of what is synced.
    pub fn backup(&self) -> Self {
        let mut live = MemoryStorage::new().with_durable(self.durable);
        if !self.durable {
            return Self::new(false);
        }
        live.set_vote(self.live.vote().clone()).expect("memory takes it");
        for action in &self.synced {
            let replayed = match action.clone() {
                DiskAction::Append(entry) => live.append(&[entry]),
                DiskAction::Commit(index) => {
                    live.set_committed(index);
                    Ok(())
                }
                DiskAction::Truncate(index) => live.truncate_from(index),
                DiskAction::Snapshot(snapshot) => live.install_snapshot(snapshot),
            };
            replayed.expect("synced actions can be replayed");
        }
        Self { synced: self.synced.clone(), pending: Vec::new(), live, durable: true }
    }
}

impl LogStorage for CrashStorage {
    fn is_durable(&self) -> bool {
        self.durable
    }

    fn vote(&self) -> &VoteRecord {
        self.live.vote()
    }

    fn set_vote(&mut self, vote: VoteRecord) -> Result<(), StoreLogError> {
        self.live.set_vote(vote)
    }

    fn window(&self) -> &EntryWindow {
        self.live.window()
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StoreLogError> {
        self.pending.extend(entries.iter().cloned().map(DiskAction::Append));
        self.live.append(entries)
    }

    fn truncate_from(&mut self, index: LogIndex) -> Result<(), StoreLogError> {
        self.pending.push(DiskAction::Truncate(index));
        self.live.truncate_from(index)
    }

    fn install_snapshot(&mut self, snapshot: LogSnapshot) -> Result<(), StoreLogError> {
        self.synced.append(&mut self.pending);
        self.synced.push(DiskAction::Snapshot(snapshot.clone()));
        self.live.install_snapshot(snapshot)
    }

    fn set_committed(&mut self, index: LogIndex) {
        self.live.set_committed(index);
    }

    fn sync(&mut self) -> Result<(), StoreLogError> {
        if !self.pending.is_empty() {
            self.pending.push(DiskAction::Commit(self.live.window().committed()));
        }
        self.synced.append(&mut self.pending);
        self.live.sync()
    }
}
