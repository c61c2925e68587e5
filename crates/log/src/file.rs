//! Storage of a log in files below one folder.
//!
//! The folder holds `vote` (elections), `snapshot` (state up to an index) and
//! segments `log-N` (records from index N on). A record consists of its length,
//! its CRC-32 and its CBOR body; it is durable once the segment has been
//! synced. The files `vote` and `snapshot` are replaced by writing a new file,
//! syncing it, renaming it over the old one and syncing the folder.
//!
//! The last record of each write also holds, after its body, the index up to which the log was known
//! to be committed then. That index is never above the entries that precede it, so a log that lost
//! its tail names none of the entries that it lost. Releases that do not know it ignore it.
//!
//! Invariants: after a crash the last segment may end with a torn record, which
//! is cut off when the segment is opened. An invalid record that is followed by
//! a valid one is damage: opening fails, because cutting there could drop
//! acknowledged entries. It also fails at an intact record that cannot be decoded,
//! and if the snapshot before the first segment is missing. A folder that has a
//! vote always has a segment; one without has lost its entries, and gets the id of
//! another disk.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use hollowbarrow_schema::{LogEntry, LogIndex, LogSnapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::storage::{EntryWindow, LogStorage, StoreLogError, VoteRecord};

const HEADER_BYTES: usize = 8;
const MAX_RECORD_BYTES: usize = 64 << 20;
const VOTE_FILE: &str = "vote";
const SNAPSHOT_FILE: &str = "snapshot";
const SEGMENT_PREFIX: &str = "log-";

#[derive(Serialize, Deserialize)]
enum SegmentRecord {
    Entry(Box<LogEntry>),
    TruncateFrom(LogIndex),
}

/// Storage of one log on a disk.
#[derive(Debug)]
pub struct FileStorage {
    folder: PathBuf,
    vote: VoteRecord,
    window: EntryWindow,
    segment: File,
    segment_path: PathBuf,
    /// Bodies of the records that are not written yet.
    pending: Vec<Vec<u8>>,
}

impl FileStorage {
    /// Opens the folder, creating it if it does not exist, and cuts off a torn tail.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or has damage other than a torn tail.
    pub fn open(folder: &Path) -> Result<Self, StoreLogError> {
        std::fs::create_dir_all(folder).map_err(|e| access("create", folder, e))?;
        let mut vote: VoteRecord = read_small(&folder.join(VOTE_FILE))?.unwrap_or_default();
        let mut window = EntryWindow::default();
        if let Some(snapshot) = read_small::<LogSnapshot>(&folder.join(SNAPSHOT_FILE))? {
            window.set_snapshot(snapshot);
        }
        let segments = list_segments(folder)?;
        if segments.is_empty() {
            // A folder with votes always has a segment, so this one has lost its entries.
            vote = VoteRecord { term: vote.term, ..VoteRecord::default() };
        }
        check_first_segment(&segments, &window)?;
        for (position, path) in segments.iter().enumerate() {
            let last = position + 1 == segments.len();
            replay_segment(path, last, &mut window)?;
        }
        let segment_path = segments
            .last()
            .cloned()
            .unwrap_or_else(|| segment_path(folder, *window.last_index() + 1));
        let segment = open_segment(&segment_path)?;
        sync_folder(folder)?;
        let folder = folder.to_owned();
        Ok(Self { folder, vote, window, segment, segment_path, pending: Vec::new() })
    }

    fn push_record(&mut self, record: &SegmentRecord) -> Result<(), StoreLogError> {
        self.pending.push(encode(record)?);
        Ok(())
    }

    /// Frames the bodies of records, the last one followed by the committed index.
    fn frame_all(&self, bodies: &[Vec<u8>]) -> Result<Vec<u8>, StoreLogError> {
        let committed = encode(&self.window.committed())?;
        let mut bytes = Vec::new();
        for (position, body) in bodies.iter().enumerate() {
            let last = position + 1 == bodies.len();
            push_framed(&mut bytes, body, if last { &committed } else { &[] });
        }
        Ok(bytes)
    }

    /// Writes the entries after the snapshot to a new segment and removes the older segments.
    fn roll_segment(&mut self) -> Result<(), StoreLogError> {
        let old = list_segments(&self.folder)?;
        let first = *self.window.snapshot_index() + 1;
        let path = segment_path(&self.folder, first);
        let entries = self.window.entries_from(LogIndex(first), usize::MAX);
        let bodies = entries.map(|entry| encode(&SegmentRecord::Entry(Box::new(entry.clone()))));
        let bodies: Vec<Vec<u8>> = bodies.collect::<Result<_, _>>()?;
        replace_file(&path, &self.frame_all(&bodies)?)?;
        self.segment = open_segment(&path)?;
        self.segment_path = path.clone();
        self.pending.clear();
        for stale in old.iter().filter(|stale| **stale != path) {
            std::fs::remove_file(stale).map_err(|e| access("remove", stale, e))?;
        }
        sync_folder(&self.folder)
    }
}

impl LogStorage for FileStorage {
    fn is_durable(&self) -> bool {
        true
    }

    fn vote(&self) -> &VoteRecord {
        &self.vote
    }

    fn set_vote(&mut self, vote: VoteRecord) -> Result<(), StoreLogError> {
        write_small(&self.folder.join(VOTE_FILE), &vote)?;
        self.vote = vote;
        Ok(())
    }

    fn window(&self) -> &EntryWindow {
        &self.window
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StoreLogError> {
        for entry in entries {
            self.window.push(entry.clone())?;
            self.push_record(&SegmentRecord::Entry(Box::new(entry.clone())))?;
        }
        Ok(())
    }

    fn truncate_from(&mut self, index: LogIndex) -> Result<(), StoreLogError> {
        self.window.truncate_from(index);
        self.push_record(&SegmentRecord::TruncateFrom(index))
    }

    fn install_snapshot(&mut self, snapshot: LogSnapshot) -> Result<(), StoreLogError> {
        self.sync()?;
        write_small(&self.folder.join(SNAPSHOT_FILE), &snapshot)?;
        self.window.set_snapshot(snapshot);
        self.roll_segment()
    }

    fn set_committed(&mut self, index: LogIndex) {
        self.window.set_committed(index);
    }

    fn sync(&mut self) -> Result<(), StoreLogError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let bytes = self.frame_all(&self.pending)?;
        let path = &self.segment_path;
        self.segment.write_all(&bytes).map_err(|e| access("write", path, e))?;
        self.segment.sync_data().map_err(|e| access("sync", path, e))?;
        self.pending.clear();
        Ok(())
    }
}

fn access(action: &'static str, path: &Path, source: std::io::Error) -> StoreLogError {
    StoreLogError::AccessFile { action, path: path.to_owned(), source }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreLogError> {
    let mut body = Vec::new();
    ciborium::into_writer(value, &mut body)
        .map_err(|error| StoreLogError::EncodeRecord(error.to_string()))?;
    Ok(body)
}

/// Appends a record whose body consists of two parts.
fn push_framed(bytes: &mut Vec<u8>, body: &[u8], rest: &[u8]) {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(body);
    checksum.update(rest);
    bytes.extend(((body.len() + rest.len()) as u32).to_le_bytes());
    bytes.extend(checksum.finalize().to_le_bytes());
    bytes.extend(body);
    bytes.extend(rest);
}

/// Reads the framed record at an offset; returns none if it is truncated, too long or its checksum
/// does not match.
fn framed_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length > MAX_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(offset + HEADER_BYTES..offset + HEADER_BYTES + length)?;
    (crc32fast::hash(body) == checksum).then_some(body)
}

fn segment_path(folder: &Path, first: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{first:020}"))
}

fn list_segments(folder: &Path) -> Result<Vec<PathBuf>, StoreLogError> {
    let mut segments = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(|e| access("list", folder, e))? {
        let entry = entry.map_err(|e| access("list", folder, e))?;
        let name = entry.file_name();
        let name = name.to_string_lossy();
        if name.starts_with(SEGMENT_PREFIX) && !name.ends_with(".new") {
            segments.push(entry.path());
        }
    }
    segments.sort();
    Ok(segments)
}

/// Checks that no entry is missing between the snapshot and the first segment.
fn check_first_segment(segments: &[PathBuf], window: &EntryWindow) -> Result<(), StoreLogError> {
    let expected = *window.snapshot_index() + 1;
    match segments.first().and_then(|path| first_index(path)).filter(|first| *first > expected) {
        Some(found) => Err(StoreLogError::BrokenOrder { expected, found }),
        None => Ok(()),
    }
}

/// Returns the index of a segment's first entry, which its name contains.
fn first_index(segment: &Path) -> Option<u64> {
    segment.file_name()?.to_str()?.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

fn open_segment(path: &Path) -> Result<File, StoreLogError> {
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .map_err(|e| access("open", path, e))?;
    file.seek(SeekFrom::End(0)).map_err(|e| access("open", path, e))?;
    Ok(file)
}

/// Reads a segment's records into the window; cuts off a torn tail if it is the last segment.
fn replay_segment(path: &Path, last: bool, window: &mut EntryWindow) -> Result<(), StoreLogError> {
    let mut bytes = Vec::new();
    File::open(path)
        .and_then(|mut file| file.read_to_end(&mut bytes))
        .map_err(|e| access("read", path, e))?;
    if let Some(first) = first_index(path) {
        // A segment holds every entry from its first one on; a former segment that was not removed
        // yet may hold some of them too.
        window.truncate_from(LogIndex(first));
    }
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(body) = framed_at(&bytes, offset).filter(|body| !body.is_empty()) else {
            if !last || has_record_after(&bytes, offset) {
                return Err(StoreLogError::DamagedRecord {
                    path: path.to_owned(),
                    offset: offset as u64,
                });
            }
            return cut_tail(path, offset as u64);
        };
        let (record, committed) = decode_record(body)
            .ok_or(StoreLogError::UnknownRecord { path: path.to_owned(), offset: offset as u64 })?;
        apply_record(record, window)?;
        window.set_committed(committed.unwrap_or_default());
        offset += HEADER_BYTES + body.len();
    }
    Ok(())
}

/// Decodes a record and the committed index, if one follows; returns none if they are unknown.
fn decode_record(body: &[u8]) -> Option<(SegmentRecord, Option<LogIndex>)> {
    let mut rest = body;
    let record = ciborium::from_reader(&mut rest).ok()?;
    let committed = match rest {
        [] => None,
        _ => Some(ciborium::from_reader(rest).ok()?),
    };
    Some((record, committed))
}

fn apply_record(record: SegmentRecord, window: &mut EntryWindow) -> Result<(), StoreLogError> {
    let snapshot_term = window.snapshot().map(|snapshot| snapshot.term);
    match record {
        SegmentRecord::Entry(entry) if entry.index <= window.snapshot_index() => Ok(()),
        // Terms never go down in a log, so this entry belongs to one that the snapshot replaced.
        SegmentRecord::Entry(entry) if Some(entry.term) < snapshot_term => Ok(()),
        SegmentRecord::Entry(entry) => window.push(*entry),
        SegmentRecord::TruncateFrom(index) => {
            window.truncate_from(index);
            Ok(())
        }
    }
}

/// Returns whether a valid record starts anywhere after an invalid one. A torn write cannot leave
/// that.
fn has_record_after(bytes: &[u8], invalid: usize) -> bool {
    (invalid + 1..bytes.len())
        .any(|offset| framed_at(bytes, offset).is_some_and(|body| !body.is_empty()))
}

fn cut_tail(path: &Path, length: u64) -> Result<(), StoreLogError> {
    let file = OpenOptions::new().write(true).open(path).map_err(|e| access("open", path, e))?;
    file.set_len(length).map_err(|e| access("cut", path, e))?;
    file.sync_all().map_err(|e| access("sync", path, e))
}

fn sync_folder(folder: &Path) -> Result<(), StoreLogError> {
    File::open(folder).and_then(|file| file.sync_all()).map_err(|e| access("sync", folder, e))
}

fn replace_file(path: &Path, bytes: &[u8]) -> Result<(), StoreLogError> {
    let fresh = path.with_extension("new");
    let mut file = File::create(&fresh).map_err(|e| access("create", &fresh, e))?;
    file.write_all(bytes).map_err(|e| access("write", &fresh, e))?;
    file.sync_all().map_err(|e| access("sync", &fresh, e))?;
    std::fs::rename(&fresh, path).map_err(|e| access("rename", &fresh, e))?;
    sync_folder(path.parent().unwrap_or(path))
}

fn write_small<T: Serialize>(path: &Path, value: &T) -> Result<(), StoreLogError> {
    let mut bytes = Vec::new();
    push_framed(&mut bytes, &encode(value)?, &[]);
    replace_file(path, &bytes)
}

fn read_small<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StoreLogError> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(access("read", path, error)),
    };
    let value = framed_at(&bytes, 0).and_then(|body| ciborium::from_reader(body).ok());
    value.map(Some).ok_or(StoreLogError::DamagedRecord { path: path.to_owned(), offset: 0 })
}
