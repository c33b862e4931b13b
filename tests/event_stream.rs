//! Tests of the scanner that finds events in the bytes of a stream.

use poplarmux::edge::event_stream::BYTE_ORDER_MARK;
use poplarmux::edge::event_stream::Scanner;
use proptest::prelude::*;

/// Events as lines without terminators, each followed by an empty line.
const EVENTS: [&[&str]; 6] = [
    &["id: 1", "data: a"],
    &["x-version: 3", "id: 2", "data: größer", "data:"],
    &[": a comment"],
    &["id:3", "event: end", "data: id: 9"],
    &["data: no id"],
    &["id: 4", "data: last"],
];

/// Returns the bytes of the events, and where each of them ends.
fn stream(terminator: &str, events: &[&[&str]]) -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut ends) = (Vec::new(), Vec::new());
    for event in events {
        for line in *event {
            bytes.extend_from_slice(line.as_bytes());
            bytes.extend_from_slice(terminator.as_bytes());
        }
        bytes.extend_from_slice(terminator.as_bytes());
        ends.push(bytes.len());
    }
    (bytes, ends)
}

/// Guards against taking any other position for the end of an event, for each line terminator.
#[test]
fn only_whole_events_end_between_events() {
    for terminator in ["\n", "\r\n", "\r"] {
        let (bytes, ends) = stream(terminator, &EVENTS);
        for len in 0..=bytes.len() {
            let mut scanner = Scanner::default();
            let end = scanner.push(&bytes[..len]);
            let expected = ends.iter().copied().rfind(|end| *end <= len);
            assert_eq!(end, expected, "{terminator:?} {len}");
            let between = len == 0 || ends.contains(&len);
            assert_eq!(scanner.is_between_events(), between, "{terminator:?} {len}");
        }
    }
}

/// Guards against resuming after an event that is not complete.
#[test]
fn last_id_is_that_of_a_complete_event() {
    let (bytes, ends) = stream("\n", &EVENTS);
    let ids = [None, Some("1"), Some("2"), Some("2"), Some("3"), Some("3"), Some("4")];
    for len in 0..=bytes.len() {
        let mut scanner = Scanner::default();
        scanner.push(&bytes[..len]);
        let complete = ends.iter().filter(|end| **end <= len).count();
        assert_eq!(scanner.last_id(), ids[complete], "{len}");
    }
}

/// Guards against sending an event twice that has no id of its own.
#[test]
fn stream_cannot_be_resumed_past_an_event_without_an_id() {
    let can_resume = |text: &str| {
        let mut scanner = Scanner::default();
        scanner.push(text.as_bytes());
        scanner.can_resume()
    };
    let long_id = format!("id: {}\n\n", "1".repeat(1_000));
    for (text, expected) in [
        ("", true),
        ("data: 1\n\n", false),
        ("id: 1\ndata: 1\n\n", true),
        ("id: 1\n\ndata: 2\n\n", false),
        ("data: 1\n\nid: 2\n\n", true),
        ("id: 1\n\n: comment\n\n", true),
        ("id: 1\n\nid\n\n", false),
        ("id: 1\n\ndata: 2", true),
        (long_id.as_str(), false),
    ] {
        assert_eq!(can_resume(text), expected, "{text:?}");
    }
}

/// Guards against missing the first id of a stream that begins with a byte order mark.
#[test]
fn byte_order_mark_is_no_part_of_the_first_line() {
    let mut scanner = Scanner::default();
    let (bytes, ends) = stream("\n", &EVENTS[..1]);
    let marked = [BYTE_ORDER_MARK, &bytes].concat();
    assert_eq!(scanner.push(&marked), Some(ends[0] + BYTE_ORDER_MARK.len()));
    assert_eq!(scanner.last_id(), Some("1"));
}

/// Guards against an id of the stream before, once another stream goes on.
#[test]
fn restart_forgets_the_incomplete_event_alone() {
    let mut scanner = Scanner::default();
    scanner.push(b"id: 1\r\ndata: 1\r\n\r\nid: 2\r\nda");
    scanner.restart();
    assert!(scanner.is_between_events());
    assert_eq!((scanner.last_id(), scanner.events()), (Some("1"), 1));
    assert_eq!(scanner.push(b"data: 3\r\r"), Some(9));
    assert_eq!((scanner.last_id(), scanner.events()), (Some("1"), 2));
}

/// Bytes of the text that describes all that a scanner keeps, whose longest line is 512 bytes.
const MAX_DESCRIPTION_BYTES: usize = 8 << 10;

/// Guards against keeping the bytes of an event without end, whatever it consists of.
#[test]
fn scanner_keeps_little_of_a_long_event() {
    let long = "a".repeat(1 << 20);
    for text in [
        long.clone(),
        format!("data: {long}"),
        format!("id: {long}"),
        format!(": {long}"),
        "data: a\n".repeat(1 << 17),
        "id: 1\n".repeat(1 << 17),
        "id: 1\r\n".repeat(1 << 17),
        ":\r".repeat(1 << 17),
        format!("{}\n", "id: 1".repeat(1 << 10)).repeat(1 << 8),
    ] {
        for piece in [1, 7, 512, 513, text.len()] {
            let mut scanner = Scanner::default();
            for piece in text.as_bytes().chunks(piece) {
                assert_eq!(scanner.push(piece), None, "{:?}", &text[..8]);
            }
            assert!(!scanner.is_between_events(), "{:?}", &text[..8]);
            assert_eq!((scanner.events(), scanner.last_id()), (0, None), "{:?}", &text[..8]);
            let description = format!("{scanner:?}");
            assert!(description.len() < MAX_DESCRIPTION_BYTES, "{:?}", &text[..8]);
        }
    }
}

/// Guards against taking the end of a long line for a field, or its beginning for a whole id.
#[test]
fn long_line_is_one_line_of_its_event() {
    let long = "a".repeat(1 << 16);
    for (text, events, last_id, can_resume) in [
        (format!("id: 1\ndata: {long}id: 2\n\n"), 1, Some("1"), true),
        (format!("id: 1\n\ndata: {long}\nid: 2\n\n"), 2, Some("2"), true),
        (format!("id: 1\n\nid: {long}\n\n"), 2, Some("1"), false),
        (format!("id: 1\n\n: {long}\n\n"), 1, Some("1"), true),
        (format!("id: 1\n\nid: {long}"), 1, Some("1"), true),
    ] {
        for piece in [1, 511, 512, 513, text.len()] {
            let mut scanner = Scanner::default();
            for piece in text.as_bytes().chunks(piece) {
                scanner.push(piece);
            }
            assert_eq!(scanner.events(), events, "{:?}", &text[..16]);
            assert_eq!(scanner.last_id(), last_id, "{:?}", &text[..16]);
            assert_eq!(scanner.can_resume(), can_resume, "{:?}", &text[..16]);
        }
    }
}

/// Guards against a stream that is resumed inside the long line that the one before broke off.
#[test]
fn restart_forgets_a_long_line() {
    let mut scanner = Scanner::default();
    scanner.push(format!("id: 1\n\nid: {}", "a".repeat(1 << 16)).as_bytes());
    scanner.restart();
    assert!(scanner.is_between_events());
    scanner.push(b"id: 2\n\n");
    assert_eq!((scanner.last_id(), scanner.events()), (Some("2"), 2));
}

proptest! {
    /// Guards against results that depend on the pieces in which the bytes arrive.
    #[test]
    fn pieces_do_not_matter(
        text in "(id: [0-9]|data|:|\u{e9}|\r|\n|\r\n|\n\n|\r\n\r\n){0,40}",
        cuts in prop::collection::vec(0_usize..200, 0..12),
    ) {
        let bytes = text.as_bytes();
        let mut whole = Scanner::default();
        let expected = whole.push(bytes);
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let (mut pieces, mut end) = (Scanner::default(), None);
        for pair in cuts.windows(2) {
            end = pieces.push(&bytes[pair[0]..pair[1]]).map(|len| pair[0] + len).or(end);
        }
        prop_assert_eq!(end, expected);
        prop_assert_eq!(pieces.is_between_events(), whole.is_between_events());
        prop_assert_eq!(pieces.events(), whole.events());
        prop_assert_eq!(pieces.last_id(), whole.last_id());
        prop_assert_eq!(pieces.can_resume(), whole.can_resume());
    }
}
