//! Fields of a log line.

/// Returns the fields of a line as keys and values, in order. Spaces within quotes belong to the
/// value, and values keep their quotes.
pub(crate) fn fields(line: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut rest = line.trim();
    std::iter::from_fn(move || {
        let (words, after) = rest.split_once('=')?;
        let (value, left) = after.split_at(value_end(after));
        rest = left.trim_start();
        Some((words.rsplit(' ').next().unwrap_or(words), value))
    })
}

/// Returns the end of the value at the start of a text: the first space outside of quotes.
fn value_end(text: &str) -> usize {
    let (mut quoted, mut escaped) = (false, false);
    for (index, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b' ' if !quoted => return index,
            _ => {}
        }
    }
    text.len()
}
