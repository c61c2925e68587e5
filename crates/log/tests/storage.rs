//! File storage of the log: torn tails, damage, snapshots and restarts.

use std::io::Write;
use std::path::Path;

use hollowbarrow_log::{FileStorage, LogStorage, StoreLogError, VoteRecord};
use hollowbarrow_schema::{
    DaemonId, DiskId, EntryPayload, Founders, LogEntry, LogIndex, LogSnapshot, Term, VoterDisk,
};
use proptest::prelude::*;
use rstest::rstest;
use serde::Serialize;

fn entry(index: u64) -> LogEntry {
    LogEntry { index: LogIndex(index), term: Term(1), payload: EntryPayload::Noop }
}

fn segment(folder: &Path) -> std::path::PathBuf {
    let names = std::fs::read_dir(folder).expect("the folder is readable");
    let mut segments: Vec<_> = names
        .map(|name| name.expect("readable").path())
        .filter(|path| path.to_string_lossy().contains("log-"))
        .collect();
    segments.sort();
    segments.pop().expect("there is a segment")
}

fn filled(folder: &Path, entries: u64) -> FileStorage {
    let mut storage = FileStorage::open(folder).expect("a fresh folder opens");
    let entries: Vec<LogEntry> = (1..=entries).map(entry).collect();
    storage.append(&entries).expect("entries follow");
    storage.sync().expect("the disk works");
    storage
}

#[rstest]
fn open_after_restart() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let vote = VoteRecord {
        term: Term(3),
        vote: Some("v1".into()),
        initialised: true,
        disk: None,
        founder: false,
        founders: Some(Founders {
            term: Term(2),
            disks: vec![VoterDisk { voter: "v1".into(), disk: DiskId(1) }],
        }),
    };
    filled(folder.path(), 5).set_vote(vote.clone()).expect("the disk works");
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    assert_eq!(storage.window().last_index(), LogIndex(5));
    assert_eq!(storage.vote(), &vote);
}

#[rstest]
fn open_unsynced_entries() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled(folder.path(), 2);
    storage.append(&[entry(3)]).expect("entries follow");
    drop(storage);
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    assert_eq!(storage.window().last_index(), LogIndex(2));
}

proptest! {
    #[test]
    fn open_torn_tail(cut in 1u64..40) {
        let folder = tempfile::tempdir().expect("a folder can be made");
        drop(filled(folder.path(), 4));
        let path = segment(folder.path());
        let length = std::fs::metadata(&path).expect("readable").len();
        let file = std::fs::OpenOptions::new().write(true).open(&path).expect("writable");
        file.set_len(length - cut.min(length)).expect("writable");
        let mut storage = FileStorage::open(folder.path()).expect("a torn tail is cut off");
        let next = *storage.window().last_index() + 1;
        prop_assert!(next <= 4);
        storage.append(&[entry(next)]).expect("entries follow the cut");
        storage.sync().expect("the disk works");
        let storage = FileStorage::open(folder.path()).expect("the folder opens again");
        prop_assert_eq!(storage.window().last_index(), LogIndex(next));
    }

    #[test]
    fn open_damaged_middle(position in 0usize..20, bit in 0u8..8) {
        let folder = tempfile::tempdir().expect("a folder can be made");
        drop(filled(folder.path(), 4));
        let path = segment(folder.path());
        let mut bytes = std::fs::read(&path).expect("readable");
        bytes[position] ^= 1 << bit;
        std::fs::write(&path, bytes).expect("writable");
        let opened = FileStorage::open(folder.path());
        prop_assert!(matches!(opened, Err(StoreLogError::DamagedRecord { .. })), "{:?}", opened);
    }
}

#[rstest]
fn open_garbage_tail() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    drop(filled(folder.path(), 3));
    let path = segment(folder.path());
    let mut file = std::fs::OpenOptions::new().append(true).open(path).expect("writable");
    file.write_all(&[0xff; 13]).expect("writable");
    let storage = FileStorage::open(folder.path()).expect("a torn tail is cut off");
    assert_eq!(storage.window().last_index(), LogIndex(3));
}

#[rstest]
fn snapshot_and_tail() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled(folder.path(), 10);
    let snapshot = LogSnapshot {
        index: LogIndex(7),
        term: Term(1),
        voters: vec!["v1".into()],
        disks: Vec::new(),
        state: vec![1, 2, 3],
    };
    storage.install_snapshot(snapshot.clone()).expect("the disk works");
    storage.truncate_from(LogIndex(10)).expect("the disk works");
    storage.append(&[entry(10), entry(11)]).expect("entries follow");
    storage.sync().expect("the disk works");
    drop(storage);
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    assert_eq!(storage.window().snapshot(), Some(&snapshot));
    assert_eq!(storage.window().len(), 4);
    assert_eq!(storage.window().last_index(), LogIndex(11));
}

/// Returns a record as the files of a log hold it.
fn framed(record: &impl Serialize) -> Vec<u8> {
    let mut body = Vec::new();
    ciborium::into_writer(record, &mut body).expect("writing to memory does not fail");
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// An intact record of another release at the end of the log was cut off like a torn one, with the
/// acknowledged entry that it held.
#[rstest]
fn open_unknown_record() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    drop(filled(folder.path(), 10));
    let path = segment(folder.path());
    let mut bytes = std::fs::read(&path).expect("the segment is readable");
    bytes.extend(framed(&"a record of a later release"));
    std::fs::write(&path, &bytes).expect("the segment is writable");
    let opened = FileStorage::open(folder.path());
    assert!(matches!(opened, Err(StoreLogError::UnknownRecord { .. })), "{opened:?}");
    assert_eq!(std::fs::read(&path).expect("the segment is readable"), bytes);
}

/// The vote record of earlier releases.
#[derive(Serialize)]
struct EarlierVoteRecord {
    term: Term,
    vote: Option<DaemonId>,
    initialised: bool,
}

/// A vote file of an earlier release is read, and gets no disk id by being read.
#[rstest]
fn open_vote_of_earlier_release() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    drop(filled(folder.path(), 2));
    let earlier = EarlierVoteRecord { term: Term(3), vote: Some("v1".into()), initialised: true };
    std::fs::write(folder.path().join("vote"), framed(&earlier)).expect("the file can be written");
    let storage = FileStorage::open(folder.path()).expect("the folder is readable");
    let expected = VoteRecord {
        term: earlier.term,
        vote: earlier.vote,
        initialised: true,
        disk: None,
        founder: false,
        founders: None,
    };
    assert_eq!(*storage.vote(), expected);
}
