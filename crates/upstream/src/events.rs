//! Reads server-sent events of engines.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::IgnoredAny;
use thiserror::Error;

/// Largest event taken; an engine's chunk is a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// A stream that is not one of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseEventError {
    /// An event does not end.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The data is not text.
    #[error("an event is not UTF-8")]
    NotText,
    /// The data is not a chunk of a completion.
    #[error("an event is not a chunk of a completion")]
    NotChunk,
}

/// Splits bytes into the data of events, however the bytes are cut up.
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

    /// Whether bytes of an unfinished event are left.
    pub fn has_rest(&self) -> bool {
        self.buffer.iter().any(|byte| !byte.is_ascii_whitespace())
    }

    /// Takes bytes and returns the data of the events that they finish.
    ///
    /// # Errors
    ///
    /// Fails where an event is too long or no text.
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

    /// Length of the first event and of the blank line behind it.
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

/// Joins an event's data lines; comments and other fields are passed over.
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
    /// The engine says why the answer ends.
    Finish,
    /// Something without text, such as the role.
    Other,
    /// The engine reports an error within the stream.
    Error,
    /// The stream is complete.
    Done,
}

/// The fields of a chunk that matter here; engines send many more.
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

/// Reads an event's data as a chunk of a chat or text completion.
///
/// # Errors
///
/// Fails where the data is neither a chunk nor the end mark.
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
