//! File storage of the log: torn tails, damage, snapshots and restarts.

use std::io::Write;
use std::path::Path;

use hollowbarrow_log::{FileStorage, LogStorage, StoreLogError, VoteRecord};
use hollowbarrow_schema::{
    DaemonId, DiskId, EntryPayload, Founders, LogEntry, LogIndex, LogSnapshot, Term, VoterDisk,
};
use proptest::prelude::*;
use rstest::rstest;
use serde::{Deserialize, Serialize};

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

/// The records of earlier releases, and what these read of later ones.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierRecord {
    Entry(Box<LogEntry>),
    TruncateFrom(LogIndex),
}

/// Returns a folder whose log was synced after entries 1 to 3, with 2 committed, and after entries 4
/// to 6, with 4 committed.
fn filled_with_committed(folder: &Path) -> FileStorage {
    let mut storage = FileStorage::open(folder).expect("a fresh folder opens");
    for (last, committed) in [(3, 2), (6, 4)] {
        let entries: Vec<LogEntry> = (last - 2..=last).map(entry).collect();
        storage.append(&entries).expect("entries follow");
        storage.set_committed(LogIndex(committed));
        storage.sync().expect("the disk works");
    }
    storage
}

/// Guards against a voter that knows after its start only what its last snapshot holds.
#[rstest]
fn committed_after_restart() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    drop(filled_with_committed(folder.path()));
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    assert_eq!(storage.window().committed(), LogIndex(4));
}

#[rstest]
fn committed_alone_is_not_written() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled_with_committed(folder.path());
    let length = || std::fs::metadata(segment(folder.path())).expect("readable").len();
    let before = length();
    storage.set_committed(LogIndex(6));
    storage.sync().expect("the disk works");
    assert_eq!(length(), before);
}

/// The log ends after each of its bytes in turn, as a torn write leaves it: the index read is the one
/// of a complete write before, and names no entry that is lost.
#[rstest]
fn committed_after_torn_write() {
    let full = tempfile::tempdir().expect("a folder can be made");
    drop(filled_with_committed(full.path()));
    let bytes = std::fs::read(segment(full.path())).expect("the segment is readable");
    let mut seen = Vec::new();
    for length in 0..=bytes.len() {
        let folder = tempfile::tempdir().expect("a folder can be made");
        drop(filled(folder.path(), 0));
        std::fs::write(segment(folder.path()), &bytes[..length]).expect("writable");
        let storage = FileStorage::open(folder.path()).expect("a torn tail is cut off");
        let (last, committed) = (*storage.window().last_index(), *storage.window().committed());
        let expected = match last {
            0..=2 => 0,
            3..=5 => 2,
            _ => 4,
        };
        assert_eq!(committed, expected, "{length} bytes, {last} entries");
        seen.push(last);
    }
    seen.dedup();
    assert_eq!(seen, vec![0, 1, 2, 3, 4, 5, 6]);
}

/// An index above the entries that are there names only those.
#[rstest]
fn committed_without_its_entries() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled(folder.path(), 3);
    storage.set_committed(LogIndex(9));
    assert_eq!(storage.window().committed(), LogIndex(3));
    storage.truncate_from(LogIndex(3)).expect("the disk works");
    storage.sync().expect("the disk works");
    drop(storage);
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    assert_eq!(storage.window().committed(), LogIndex(2));
}

/// A folder that lost its entries and kept its votes and snapshot.
#[rstest]
fn committed_without_segments() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled_with_committed(folder.path());
    storage.set_vote(VoteRecord::default()).expect("the disk works");
    storage.install_snapshot(snapshot_at(2)).expect("the disk works");
    drop(storage);
    std::fs::remove_file(segment(folder.path())).expect("the segment can be removed");
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    assert_eq!(storage.window().committed(), LogIndex(2));
}

#[rstest]
fn committed_after_snapshot() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled_with_committed(folder.path());
    storage.install_snapshot(snapshot_at(3)).expect("the disk works");
    drop(storage);
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    assert_eq!(storage.window().committed(), LogIndex(4));
    assert_eq!(storage.window().last_index(), LogIndex(6));
}

fn snapshot_at(index: u64) -> LogSnapshot {
    LogSnapshot {
        index: LogIndex(index),
        term: Term(1),
        voters: vec!["v1".into()],
        disks: Vec::new(),
        state: vec![1, 2, 3],
    }
}

/// A log of an earlier release names no committed index.
#[rstest]
fn open_segment_of_earlier_release() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    drop(filled(folder.path(), 0));
    let records = [
        EarlierRecord::Entry(Box::new(entry(1))),
        EarlierRecord::Entry(Box::new(entry(2))),
        EarlierRecord::TruncateFrom(LogIndex(2)),
        EarlierRecord::Entry(Box::new(entry(2))),
    ];
    let bytes: Vec<u8> = records.iter().flat_map(framed).collect();
    std::fs::write(segment(folder.path()), bytes).expect("the segment is writable");
    let storage = FileStorage::open(folder.path()).expect("the folder is readable");
    assert_eq!(storage.window().last_index(), LogIndex(2));
    assert_eq!(storage.window().committed(), LogIndex(0));
}

/// An earlier release reads the records of this one.
#[rstest]
fn read_segment_by_earlier_release() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    drop(filled_with_committed(folder.path()));
    let bytes = std::fs::read(segment(folder.path())).expect("the segment is readable");
    let (mut offset, mut records) = (0, Vec::new());
    while offset < bytes.len() {
        let length = u32::from_le_bytes(bytes[offset..offset + 4].try_into().expect("four bytes"));
        let body = &bytes[offset + 8..offset + 8 + length as usize];
        let record: EarlierRecord = ciborium::from_reader(body).expect("the record is readable");
        records.push(record);
        offset += 8 + length as usize;
    }
    let expected: Vec<EarlierRecord> =
        (1..=6).map(|index| EarlierRecord::Entry(Box::new(entry(index)))).collect();
    assert_eq!(records, expected);
}

/// What the committed index adds to a write, whatever the number of its entries.
#[rstest]
#[case::first_changes(10, 1)]
#[case::few_changes(200, 2)]
#[case::a_day_of_changes(54_000, 3)]
#[case::years_of_changes(50_000_000, 5)]
fn committed_adds_few_bytes(#[case] committed: u64, #[case] added: u64) {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled(folder.path(), 0);
    storage.install_snapshot(snapshot_at(committed)).expect("the disk works");
    let entries = [entry(committed + 1), entry(committed + 2)];
    storage.append(&entries).expect("entries follow");
    storage.sync().expect("the disk works");
    let written = std::fs::metadata(segment(folder.path())).expect("readable").len();
    let earlier = entries.map(|entry| framed(&EarlierRecord::Entry(Box::new(entry))).len() as u64);
    assert_eq!(written, earlier.iter().sum::<u64>() + added);
}

/// Power is lost after a new segment was written and before the former one was removed: both hold the
/// entries after the snapshot, and the folder could not be opened.
#[rstest]
fn open_beside_former_segment() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled_with_committed(folder.path());
    let former = segment(folder.path());
    let bytes = std::fs::read(&former).expect("the segment is readable");
    storage.install_snapshot(snapshot_at(3)).expect("the disk works");
    drop(storage);
    assert_ne!(segment(folder.path()), former);
    std::fs::write(&former, bytes).expect("the segment is writable");
    let mut storage = FileStorage::open(folder.path()).expect("the folder opens again");
    assert_eq!(storage.window().last_index(), LogIndex(6));
    assert_eq!(storage.window().committed(), LogIndex(4));
    storage.append(&[entry(7)]).expect("entries follow");
    storage.sync().expect("the disk works");
    drop(storage);
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    assert_eq!(storage.window().last_index(), LogIndex(7));
}

/// Power is lost after a leader's snapshot was stored that does not continue the log here, and before
/// the entries that it replaces were removed. They must not follow the snapshot: a candidate with as
/// many of them would count as up to date.
#[rstest]
fn open_with_entries_that_snapshot_replaced() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled(folder.path(), 6);
    let former = segment(folder.path());
    let bytes = std::fs::read(&former).expect("the segment is readable");
    let snapshot = LogSnapshot { term: Term(2), ..snapshot_at(4) };
    storage.install_snapshot(snapshot).expect("the disk works");
    drop(storage);
    std::fs::remove_file(segment(folder.path())).expect("the segment can be removed");
    std::fs::write(&former, bytes).expect("the segment is writable");
    let mut storage = FileStorage::open(folder.path()).expect("the folder opens again");
    let window = storage.window();
    assert_eq!((window.last_index(), window.last_term()), (LogIndex(4), Term(2)));
    let next = LogEntry { term: Term(2), ..entry(5) };
    storage.append(&[next]).expect("entries follow");
    storage.sync().expect("the disk works");
    drop(storage);
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    let window = storage.window();
    assert_eq!((window.last_index(), window.last_term()), (LogIndex(5), Term(2)));
}

/// As above, where the entries that the snapshot replaces have a later term than its last entry: that
/// one was committed only together with an entry of a still later term.
#[rstest]
#[case::all_later(3, 3)]
#[case::some_later(1, 3)]
fn open_with_later_entries_that_snapshot_replaced(#[case] third: u64, #[case] fourth: u64) {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut storage = filled(folder.path(), 2);
    let with_term = |index: u64, term: u64| LogEntry { term: Term(term), ..entry(index) };
    storage.append(&[with_term(3, third), with_term(4, fourth)]).expect("entries follow");
    storage.sync().expect("the disk works");
    let former = segment(folder.path());
    let bytes = std::fs::read(&former).expect("the segment is readable");
    let snapshot = LogSnapshot { term: Term(2), ..snapshot_at(2) };
    storage.install_snapshot(snapshot).expect("the disk works");
    assert_eq!(storage.window().last_index(), LogIndex(2));
    drop(storage);
    std::fs::remove_file(segment(folder.path())).expect("the segment can be removed");
    std::fs::write(&former, bytes).expect("the segment is writable");
    let storage = FileStorage::open(folder.path()).expect("the folder opens again");
    let window = storage.window();
    assert_eq!((window.last_index(), window.last_term()), (LogIndex(2), Term(2)));
}
