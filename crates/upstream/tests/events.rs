//! The event parser against a reference implementation, with bytes split at any position.

use hollowbarrow_upstream::{EventParser, ParseEventError, StreamChunk, parse_chunk};
use proptest::prelude::*;
use rstest::rstest;

/// Reference implementation: splits the complete text at blank lines.
fn reference_events(text: &str) -> Vec<String> {
    let text = text.replace("\r\n", "\n");
    let mut events: Vec<&str> = text.split("\n\n").collect();
    events.pop();
    events
        .into_iter()
        .filter_map(|event| {
            let lines: Vec<&str> = event
                .split('\n')
                .filter_map(|line| line.strip_prefix("data:"))
                .map(|value| value.strip_prefix(' ').unwrap_or(value))
                .collect();
            (!lines.is_empty()).then(|| lines.join("\n"))
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn push_split_anywhere(
        events in prop::collection::vec("(data: ?[a-z{}\": ]{0,12}|: comment|event: x)", 0..12),
        crlf: bool,
        lengths in prop::collection::vec(1usize..9, 0..60),
    ) {
        let end = if crlf { "\r\n\r\n" } else { "\n\n" };
        let text: String = events.iter().map(|event| format!("{event}{end}")).collect();
        let mut parser = EventParser::new();
        let mut parsed = Vec::new();
        let mut rest = text.as_bytes();
        for length in lengths {
            let (chunk, later) = rest.split_at(length.min(rest.len()));
            parsed.extend(parser.push(chunk).expect("the text is valid"));
            rest = later;
        }
        parsed.extend(parser.push(rest).expect("the text is valid"));
        prop_assert_eq!(parsed, reference_events(&text));
        prop_assert!(!parser.has_rest());
    }

    /// For any bytes, parsing returns events or a typed error and does not panic.
    #[test]
    fn fuzz_push(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..20)) {
        let mut parser = EventParser::new();
        for chunk in chunks {
            match parser.push(&chunk) {
                Ok(events) => for event in events { let _ = parse_chunk(&event); },
                Err(error) => {
                    prop_assert_eq!(error, ParseEventError::NotText);
                    break;
                }
            }
        }
    }
}

#[rstest]
#[case::chat(
    r#"{"choices":[{"delta":{"content":"x"},"finish_reason":null}],"token_index":3}"#,
    Some(3),
    "x"
)]
#[case::text(r#"{"choices":[{"text":"y","finish_reason":null}]}"#, None, "y")]
fn parse_token(#[case] data: &str, #[case] expected: Option<u32>, #[case] text: &str) {
    let StreamChunk::Token { index, text: found, .. } = parse_chunk(data).expect("a chunk") else {
        panic!("no token in {data}");
    };
    assert_eq!((index, found.as_str()), (expected, text));
}

#[rstest]
#[case::done("[DONE]", Ok(StreamChunk::Done))]
#[case::error(r#"{"error":{"message":"no"}}"#, Ok(StreamChunk::Error))]
#[case::not_json("{", Err(ParseEventError::NotChunk))]
#[case::not_chunk("17", Err(ParseEventError::NotChunk))]
fn parse_other(#[case] data: &str, #[case] expected: Result<StreamChunk, ParseEventError>) {
    assert_eq!(parse_chunk(data), expected);
}

#[rstest]
fn push_endless_event() {
    let mut parser = EventParser::new();
    let chunk = vec![b'x'; 64 << 10];
    let failed = (0..40).find_map(|_| parser.push(&chunk).err());
    assert_eq!(failed, Some(ParseEventError::TooLong));
}
