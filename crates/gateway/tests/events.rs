//! The event splitter: its output does not depend on how the input is split.

use hollowbarrow_gateway::events::EventSplitter;
use proptest::prelude::*;
use rstest::rstest;

fn event(number: u64, end: &str) -> String {
    format!("id: {number}{end}data: token {number}{end}{end}")
}

#[rstest]
#[case::lines("\n")]
#[case::carriage_returns("\r\n")]
fn push_complete_events(#[case] end: &str) {
    let text = event(1, end) + &event(2, end) + "id: 3";
    let mut splitter = EventSplitter::new();
    let chunk = splitter
        .push(text.as_bytes(), None)
        .expect("within the size limit")
        .expect("two are complete");
    assert_eq!(chunk.bytes, event(1, end) + &event(2, end));
    assert_eq!(chunk.last_id, Some(2));
    assert_eq!(splitter.rest(), b"id: 3");
}

#[rstest]
fn push_drops_known_events() {
    let text = event(4, "\n") + &event(5, "\n") + &event(6, "\n");
    let mut splitter = EventSplitter::new();
    let chunk = splitter
        .push(text.as_bytes(), Some(5))
        .expect("within the size limit")
        .expect("one is new");
    assert_eq!(chunk.bytes, event(6, "\n"));
}

/// Guards against an event that reaches the reader twice because its worker sends both at once.
#[rstest]
fn push_drops_repeated_events() {
    let text =
        event(1, "\n") + &event(2, "\n") + &event(1, "\n") + &event(2, "\n") + &event(3, "\n");
    let mut splitter = EventSplitter::new();
    let chunk = splitter.push(text.as_bytes(), None).expect("within the size limit");
    let chunk = chunk.expect("three are new");
    assert_eq!(chunk.bytes, event(1, "\n") + &event(2, "\n") + &event(3, "\n"));
    assert_eq!(chunk.last_id, Some(3));
}

#[rstest]
fn push_bounds_incomplete_event() {
    let mut splitter = EventSplitter::new();
    let chunk = vec![b'x'; 1 << 19];
    assert!(splitter.push(&chunk, None).is_ok());
    assert!(splitter.push(&chunk, None).is_ok());
    assert!(splitter.push(b"x", None).is_err());
}

/// Guards against a scan of the whole buffer for each byte of an event without end.
#[rstest]
fn push_scans_each_byte_once() {
    let mut splitter = EventSplitter::new();
    for _ in 0..1 << 20 {
        assert_eq!(splitter.push(b"x", None), Ok(None));
    }
}

proptest! {
    #[test]
    fn push_any_split(carriage_returns: bool, count in 1u64..12, lengths in proptest::collection::vec(1usize..40, 1..60)) {
        let end = if carriage_returns { "\r\n" } else { "\n" };
        let text: String = (1..=count).map(|number| event(number, end)).collect();
        let mut splitter = EventSplitter::new();
        let mut out = Vec::new();
        let mut last = None;
        let mut rest = text.as_bytes();
        for length in lengths.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*length).min(rest.len()));
            rest = later;
            if let Some(chunk) = splitter.push(now, None).expect("within the size limit") {
                prop_assert!(chunk.last_id > last, "event numbers increase");
                last = chunk.last_id;
                out.extend_from_slice(&chunk.bytes);
            }
        }
        prop_assert_eq!(String::from_utf8(out).expect("text"), text);
        prop_assert!(splitter.rest().is_empty());
    }

    #[test]
    fn push_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400), after in any::<u64>()) {
        let mut splitter = EventSplitter::new();
        let chunk = splitter.push(&bytes, Some(after)).expect("within the size limit");
        let out = chunk.map_or(0, |chunk| chunk.bytes.len());
        prop_assert!(out + splitter.rest().len() <= bytes.len());
    }
}
