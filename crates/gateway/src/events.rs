//! Splits a stream into complete events.
//!
//! Invariant: the output equals the input, split only between events. A partial
//! event is buffered until its end has arrived.

use bytes::{Bytes, BytesMut};

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete events that became available together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventChunk {
    /// Bytes of the events.
    pub bytes: Bytes,
    /// Number of the last numbered event.
    pub last_id: Option<u64>,
}

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than 1 MiB")]
pub struct LongEventError;

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
    /// Offset up to which no event ends.
    scanned: usize,
}

impl EventSplitter {
    /// Creates a splitter with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes and returns the events that are complete now. Events numbered up to `after`, which
    /// the reader already has, are dropped, and so are those numbered no higher than an earlier one.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds the size limit.
    pub fn push(
        &mut self,
        bytes: &[u8],
        after: Option<u64>,
    ) -> Result<Option<EventChunk>, LongEventError> {
        self.buffered.extend_from_slice(bytes);
        let mut chunk = BytesMut::new();
        let mut last_id = None;
        while let Some(end) = self.find_event_end() {
            let event = self.buffered.split_to(end);
            self.scanned = 0;
            let id = event_id(&event);
            if id.is_some() && id <= last_id.max(after) {
                continue;
            }
            last_id = id.or(last_id);
            chunk.unsplit(event);
        }
        if self.buffered.len() > MAX_EVENT_BYTES {
            return Err(LongEventError);
        }
        let chunk = EventChunk { bytes: chunk.freeze(), last_id };
        Ok((!chunk.bytes.is_empty()).then_some(chunk))
    }

    /// Returns the bytes of the incomplete event.
    pub fn rest(&self) -> &[u8] {
        &self.buffered
    }

    /// Returns the end of the first event, which is after an empty line.
    fn find_event_end(&mut self) -> Option<usize> {
        let bytes = &self.buffered;
        let mut start = self.scanned;
        while let Some(offset) = bytes[start..].iter().position(|byte| *byte == b'\n') {
            let line = start + offset + 1;
            match &bytes[line..] {
                [b'\n', ..] => return Some(line + 1),
                [b'\r', b'\n', ..] => return Some(line + 2),
                // The next bytes tell whether the line is empty.
                [] | [b'\r'] => {
                    self.scanned = line - 1;
                    return None;
                }
                _ => start = line,
            }
        }
        self.scanned = bytes.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let text = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
