//! Parser for the server-sent events of engines.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::IgnoredAny;
use thiserror::Error;

/// Maximum size of an event; an engine's chunk has a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Why a stream of events cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseEventError {
    /// An event exceeds the maximum size.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The data is not text.
    #[error("an event is not UTF-8")]
    NotText,
    /// The data is not a chunk of a completion.
    #[error("an event is not a chunk of a completion")]
    NotChunk,
}

/// Incremental parser that returns the data of events from bytes in chunks of any size.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
    scanned: usize,
}

impl EventParser {
    /// Creates a parser at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the buffer holds part of an unfinished event.
    pub fn has_rest(&self) -> bool {
        self.buffer.iter().any(|byte| !byte.is_ascii_whitespace())
    }

    /// Appends bytes and returns the data of the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long or not UTF-8.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, ParseEventError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some((length, gap)) = self.find_end() {
            let event: Vec<u8> = self.buffer.drain(..length + gap).take(length).collect();
            self.scanned = 0;
            let text = String::from_utf8(event).map_err(|_| ParseEventError::NotText)?;
            events.extend(event_data(&text));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(ParseEventError::TooLong);
        }
        Ok(events)
    }

    /// Returns the length of the first event and of the blank line after it.
    fn find_end(&mut self) -> Option<(usize, usize)> {
        let start = self.scanned.saturating_sub(3);
        let found = (start..self.buffer.len()).find_map(|position| {
            let rest = &self.buffer[position..];
            [b"\r\n\r\n".as_slice(), b"\n\n", b"\r\r"]
                .iter()
                .find(|end| rest.starts_with(end))
                .map(|end| (position, end.len()))
        });
        self.scanned = self.buffer.len();
        found
    }
}

/// Joins an event's `data` lines; comments and other fields are ignored.
fn event_data(event: &str) -> Option<String> {
    let mut data: Option<String> = None;
    for line in event.split(['\n', '\r']) {
        let Some(value) = line.strip_prefix("data:") else { continue };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match &mut data {
            Some(joined) => {
                joined.push('\n');
                joined.push_str(value);
            }
            None => data = Some(value.to_owned()),
        }
    }
    data
}

/// One step of a streamed completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamChunk {
    /// Text of one or more tokens.
    Token {
        /// Number of the token within the answer, where the engine counts them.
        index: Option<u32>,
        /// The text.
        text: String,
    },
    /// The engine stated a finish reason.
    Finish,
    /// A chunk without text, for example one with the role only.
    Other,
    /// The engine reported an error within the stream.
    Error,
    /// The stream is complete.
    Done,
}

/// Fields of a chunk that are used; all others are ignored.
#[derive(Deserialize)]
struct ChunkFields<'a> {
    #[serde(default, borrow)]
    choices: Vec<ChoiceFields<'a>>,
    #[serde(default)]
    token_index: Option<u32>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct ChoiceFields<'a> {
    #[serde(default, borrow)]
    delta: Option<DeltaFields<'a>>,
    #[serde(default, borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct DeltaFields<'a> {
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
}

/// Parses an event's data as a chunk of a chat or text completion.
///
/// # Errors
///
/// Fails if the data is neither a chunk nor `[DONE]`.
pub fn parse_chunk(data: &str) -> Result<StreamChunk, ParseEventError> {
    if data.trim() == DONE {
        return Ok(StreamChunk::Done);
    }
    let fields: ChunkFields = serde_json::from_str(data).map_err(|_| ParseEventError::NotChunk)?;
    if fields.error.is_some() {
        return Ok(StreamChunk::Error);
    }
    let Some(choice) = fields.choices.into_iter().next() else { return Ok(StreamChunk::Other) };
    if choice.finish_reason.is_some() {
        return Ok(StreamChunk::Finish);
    }
    let text = choice.delta.and_then(|delta| delta.content).or(choice.text);
    match text {
        Some(text) if !text.is_empty() => {
            Ok(StreamChunk::Token { index: fields.token_index, text: text.into_owned() })
        }
        _ => Ok(StreamChunk::Other),
    }
}
