//! Memory that a JSON document takes once it is parsed.

/// Memory of one value of a parsed document beyond its text: a string in a list that has grown by
/// doubling.
const VALUE_BYTES: usize = 64;

/// Returns how many bytes a JSON document takes at most once it is parsed, from the number of its values.
pub(crate) fn parsed_json_bytes(text: &[u8]) -> usize {
    let separators = text.iter().filter(|byte| matches!(byte, b',' | b':' | b'[' | b'{')).count();
    text.len().saturating_add(separators.saturating_mul(VALUE_BYTES))
}
