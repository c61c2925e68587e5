//! Cuts a stream into whole events.
//!
//! Invariant: what comes out is what went in, cut only between events; a part
//! of an event stays inside until its end has come.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whole events that came together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventChunk {
    /// Their bytes.
    pub bytes: Bytes,
    /// Number of the last one that has a number.
    pub last_id: Option<u64>,
}

/// An event that is larger than any can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is too large")]
pub struct LongEventError;

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
}

impl EventSplitter {
    /// Creates a splitter without bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes in; returns the events that are whole now, without those that the reader has.
    ///
    /// # Errors
    ///
    /// Fails where an event is larger than any can be.
    pub fn push(
        &mut self,
        bytes: &[u8],
        after: Option<u64>,
    ) -> Result<Option<EventChunk>, LongEventError> {
        self.buffered.extend_from_slice(bytes);
        let mut chunk = BytesMut::new();
        let mut last_id = None;
        while let Some(end) = find_event_end(&self.buffered) {
            let event = self.buffered.split_to(end);
            let id = event_id(&event);
            if let (Some(id), Some(after)) = (id, after)
                && id <= after
            {
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

    /// Bytes of an event whose end has not come.
    pub fn rest(&self) -> &[u8] {
        &self.buffered
    }
}

/// Where the first event ends: behind an empty line.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(offset) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let line = start + offset + 1;
        match &bytes[line..] {
            [b'\n', ..] => return Some(line + 1),
            [b'\r', b'\n', ..] => return Some(line + 2),
            _ => start = line,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let text = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
