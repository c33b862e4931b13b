//! Tests of the filter that finds the response to a request among the bytes of a connection.

use std::ops::Range;

use bytes::BytesMut;
use http::HeaderName;
use http::HeaderValue;
use proptest::prelude::*;

use poplarmux::edge::response_filter::Error;
use poplarmux::edge::response_filter::Expected;
use poplarmux::edge::response_filter::Filter;

const ID: HeaderName = HeaderName::from_static("id");

/// A response, with the lines of its head but for the status line.
fn response(lines: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n{body}").into_bytes()
}

/// The same body in each framing that has an end.
fn framed(id: &str) -> [Vec<u8>; 3] {
    let name = format!("Id: {id}\r\n");
    [
        response(&format!("{name}Content-Length: 11\r\n"), "hello world"),
        response(
            &format!("{name}Transfer-Encoding: chunked\r\n"),
            "5;x=1\r\nhello\r\n6\r\n world\r\n0\r\ntrailer: 1\r\n\r\n",
        ),
        format!("HTTP/1.1 204 X\r\n{name}\r\n").into_bytes(),
    ]
}

fn filter(id: &'static str) -> Filter {
    let mut filter = Filter::default();
    filter.expect(Expected::Named(ID, HeaderValue::from_static(id)), false);
    filter
}

/// Returns what the filter passes on of bytes that arrive in pieces of a size.
fn push(filter: &mut Filter, bytes: &[u8], piece: usize) -> Result<Vec<u8>, Error> {
    let mut out = BytesMut::new();
    for part in bytes.chunks(piece) {
        filter.push(part, &mut out)?;
    }
    Ok(out.to_vec())
}

/// Guards against a response of another request that is passed on, in any framing and pieces.
#[test]
fn only_the_named_response_is_passed_on() {
    let informational = b"HTTP/1.1 100 X\r\n\r\n".to_vec();
    let others = framed("other").into_iter().chain(framed("")).chain([informational]);
    for other in others {
        for own in framed("own") {
            for piece in [1, 2, 3, 7, 1000] {
                let bytes = [&other[..], &other, &own].concat();
                let mut filter = filter("own");
                assert_eq!(push(&mut filter, &bytes, piece), Ok(own.clone()), "{piece}");
            }
        }
    }
}

/// Guards against a response that names two requests, or none, and is taken for that of one of them.
#[test]
fn response_that_names_no_single_request_is_discarded() {
    for lines in ["Id: own\r\nId: other\r\n", "Id: other\r\nId: own\r\n", "", "Id: Own\r\n"] {
        let bytes = response(&format!("{lines}Content-Length: 0\r\n"), "");
        let mut filter = filter("own");
        assert_eq!(push(&mut filter, &bytes, 5), Ok(Vec::new()), "{lines}");
        assert_eq!(filter.discarded().len(), 1);
    }
}

/// Guards against a response that is passed on while no request waits for one.
#[test]
fn bytes_after_the_response_fail_the_connection() {
    for own in framed("own") {
        let mut filter = filter("own");
        assert_eq!(push(&mut filter, &own, 4), Ok(own.clone()));
        assert_eq!(push(&mut filter, b"H", 1), Err(Error::Unsolicited));
        assert_eq!(filter.error(), Some(Error::Unsolicited));
    }
}

/// Guards against a connection that is read without end while nothing of it belongs to the request.
#[test]
fn bytes_without_end_fail_the_connection() {
    let many = |part: &str| part.repeat(40 << 20 >> part.len().ilog2());
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (start, part) in [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n", "X: y\r\n"),
        ("HTTP/1.1 200 OK\r\nX: ", "yyyy"),
        ("HTTP/1.1 200 ", "OK"),
        ("HTTP/1.1 200 OK\r\n\r\n", "body"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "body"),
        (chunked, "4\r\nbody\r\n"),
        (chunked, "0000"),
        (chunked, "    "),
        (&format!("{chunked}0\r\n"), "a: b\r\n"),
    ] {
        let mut filter = filter("own");
        let bytes = start.to_string() + &many(part);
        let result = push(&mut filter, bytes.as_bytes(), 16 << 10);
        assert!(result.is_err(), "{start:?} {part:?}");
    }
}

/// Guards against bytes that are no response and keep the HTTP client waiting.
#[test]
fn bytes_that_are_no_response_are_passed_on_at_once() {
    let mut filter = filter("own");
    assert_eq!(push(&mut filter, b"SSH-2.0\r\n", 1), Ok(b"SSH-2.0\r\n".to_vec()));
}

/// Guards against the size of a chunk that goes on without end in the response itself, which the HTTP
/// client reads without a pause.
#[test]
fn chunk_size_without_end_fails_the_connection() {
    let head = "Id: own\r\nTransfer-Encoding: chunked\r\n";
    for part in ["0", " ", "5 "] {
        let own = response(head, &part.repeat(100_000));
        let mut filter = filter("own");
        assert_eq!(push(&mut filter, &own, 64), Err(Error::Malformed), "{part:?}");
    }
}

/// Guards against a response that broke off in its head, and whose status or headers are taken for those
/// of the next one.
#[test]
fn head_inside_a_head_fails_the_connection() {
    let own = framed("own")[0].clone();
    let refusal = b"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: other\r\n\r\n";
    for len in 1..refusal.len() - 4 {
        let mut filter = filter("own");
        let result = push(&mut filter, &[&refusal[..len], &own].concat(), 5);
        let is_unchanged = result.as_ref().is_ok_and(|out| *out == own);
        // The HTTP client, whose parser this is, rejects what can't be parsed.
        let mut headers = [httparse::EMPTY_HEADER; 16];
        let is_rejected = result
            .as_ref()
            .map_or(true, |out| httparse::Response::new(&mut headers).parse(out).is_err());
        assert!(is_unchanged || is_rejected, "{len}: {result:?}");
    }
}

/// Guards against a head that is parsed again with each of many empty lines.
#[test]
fn empty_lines_fail_the_connection() {
    for (bytes, piece) in [("\r\n".repeat(40_000), 1), ("\n".repeat(200_000), 7)] {
        let mut filter = filter("own");
        assert_eq!(push(&mut filter, bytes.as_bytes(), piece), Err(Error::Malformed));
    }
}

/// Guards against a complete response that is rejected for an empty line before it.
#[test]
fn empty_line_before_a_response_is_skipped() {
    let own = response("Id: own\r\nContent-Length: 5\r\n", "hello");
    for piece in [1, 3, 4096] {
        let mut filter = filter("own");
        let bytes = [b"\r\n", &own[..]].concat();
        assert_eq!(push(&mut filter, &bytes, piece), Ok(bytes));
    }
}

/// Guards against a response whose length is not clear, behind which bytes would not be told apart.
#[test]
fn length_that_is_not_clear_fails_the_connection() {
    for (lengths, expected) in
        [("5", true), ("5, 5", true), ("5, 6", false), ("x", false), ("+5", false)]
    {
        let own = response(&format!("Id: own\r\nContent-Length: {lengths}\r\n"), "hello");
        let mut filter = filter("own");
        assert_eq!(push(&mut filter, &own, 3).is_ok(), expected, "{lengths}");
    }
}

/// Guards against a response without a name that is lost where none is expected to have one.
#[test]
fn next_response_is_passed_on_if_none_is_named() {
    let mut filter = Filter::default();
    for own in framed("any") {
        filter.expect(Expected::Next, false);
        assert_eq!(push(&mut filter, &own, 3), Ok(own));
    }
}

/// Guards against the body of a response that has none, as its request was for the head alone.
#[test]
fn response_to_a_head_request_ends_with_its_head() {
    let mut filter = filter("own");
    filter.expect(Expected::Named(ID, HeaderValue::from_static("own")), true);
    let own = response("Id: own\r\nContent-Length: 11\r\n", "");
    assert_eq!(push(&mut filter, &own, 3), Ok(own));
    assert_eq!(push(&mut filter, b"H", 1), Err(Error::Unsolicited));
}

/// Largest head, responses and bytes that are discarded for one request.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_DISCARDED: usize = 32;
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Stands in each head and body of a response to another request, and in no own one.
const MARK: u8 = b'~';

/// Returns a response to another request.
fn marked() -> impl Strategy<Value = Vec<u8>> {
    let head = "Id: other\r\nMark: ~\r\n";
    let chunks = "3;~\r\n~~~\r\n0\r\nmark: ~\r\n\r\n";
    prop_oneof![
        Just(response(&format!("{head}Content-Length: 3\r\n"), "~~~")),
        Just(response(&format!("{head}Content-Length: 400\r\n"), &"~".repeat(400))),
        Just(response(&format!("{head}Transfer-Encoding: chunked\r\n"), chunks)),
        Just(response(&format!("{head}Filler: {}\r\n", "~".repeat(300)), "~~~")),
        Just(b"HTTP/1.1 503 ~\r\nNot-Run: ~\r\nId: other\r\nContent-Length: 0\r\n\r\n".to_vec()),
        Just(b"HTTP/1.1 103 ~\r\nMark: ~\r\n\r\n".to_vec()),
        Just(b"HTTP/1.1 204 ~\r\nMark: ~\r\n\r\n".to_vec()),
    ]
}

/// Returns the beginning of a response, after which anything may come.
fn beginning() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec![
        "",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nId: own\r\nX: ",
        "HTTP/1.1 200 OK\r\nId: own\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: other\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    ])
}

/// Returns a part of a response, or of what is none, once or many times.
fn fragment() -> impl Strategy<Value = Vec<u8>> {
    let text = prop::sample::select(vec![
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n",
        "Content-Length: 5\r\n",
        "X: y\r\n",
        "\r\n",
        "\n",
        " ",
        "0",
        "1;",
        "5\r\nhello\r\n",
        "a",
    ]);
    let count = prop_oneof![1 => 1..4_usize, 1 => 10_000..100_000_usize];
    prop_oneof![
        8 => (text, count).prop_map(|(text, count)| text.repeat(count).into_bytes()),
        1 => prop::collection::vec(any::<u8>(), 0..300),
    ]
}

/// Returns the bytes in pieces of these sizes, over and over.
fn pieces<'a>(mut bytes: &'a [u8], sizes: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let mut sizes = sizes.iter().cycle();
    std::iter::from_fn(move || {
        let size = bytes.len().min(*sizes.next()?);
        let (piece, rest) = bytes.split_at(size);
        bytes = rest;
        (!piece.is_empty()).then_some(piece)
    })
}

/// Pieces in which bytes arrive.
const PIECES: Range<usize> = 1..40;

proptest! {
    /// Guards against requests on one connection that get each other's responses.
    #[test]
    fn each_request_gets_its_own_response(
        exchanges in proptest::collection::vec((0..3_usize, 0..4_usize, 0..3_usize, PIECES), 1..8)
    ) {
        let mut filter = Filter::default();
        for (number, (kind, strays, stray_kind, piece)) in exchanges.into_iter().enumerate() {
            let id = format!("q{number}");
            let stray = framed(&format!("q{}", number.wrapping_sub(1)))[stray_kind].repeat(strays);
            let own = framed(&id)[kind].clone();
            let value = HeaderValue::from_str(&id).expect("a value");
            filter.expect(Expected::Named(ID, value), false);
            let bytes = [stray, own.clone()].concat();
            prop_assert_eq!(push(&mut filter, &bytes, piece), Ok(own));
        }
    }

    /// Guards against bytes of any kind and in any pieces that are kept without a bound.
    #[test]
    fn memory_is_bounded(
        beginning in beginning(),
        fragments in prop::collection::vec(fragment(), 1..4),
        sizes in prop::collection::vec(prop_oneof![PIECES, 1_000..20_000_usize], 1..8),
        named in any::<bool>(),
    ) {
        let bytes = [beginning.as_bytes(), &fragments.concat()].concat();
        let mut filter = if named { filter("own") } else { Filter::default() };
        if !named {
            filter.expect(Expected::Next, false);
        }
        let (mut out, mut received) = (BytesMut::new(), 0);
        for piece in pieces(&bytes, &sizes) {
            let result = filter.push(piece, &mut out);
            received += piece.len();
            prop_assert!(filter.held() <= MAX_HEAD_BYTES, "{} held", filter.held());
            prop_assert!(out.len() <= received);
            prop_assert!(filter.discarded().len() <= MAX_DISCARDED);
            let headers = filter.discarded().iter().flat_map(|head| &head.headers);
            let kept: usize =
                headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
            prop_assert!(kept <= MAX_DISCARDED_BYTES, "{kept} kept");
            prop_assert_eq!(result.err(), filter.error());
            if result.is_err() {
                break;
            }
        }
    }

    /// Guards against bytes of a response to another request, complete or cut off, that are taken for
    /// a part of the own one.
    #[test]
    fn no_byte_of_another_response_is_taken_for_the_own_one(
        others in prop::collection::vec((marked(), prop::option::of(0..100_usize)), 0..4),
        kind in 0..3_usize,
        after in prop::collection::vec(marked(), 0..3),
        sizes in prop::collection::vec(PIECES, 1..8),
    ) {
        let is_whole = others.iter().all(|(other, cut)| cut.is_none_or(|cut| cut >= other.len()));
        let others = others.into_iter().map(|(mut other, cut)| {
            other.truncate(cut.unwrap_or(other.len()));
            other
        });
        let own = framed("own")[kind].clone();
        let bytes = [others.collect::<Vec<_>>().concat(), own.clone(), after.concat()].concat();
        let (mut filter, mut out) = (filter("own"), BytesMut::new());
        for piece in pieces(&bytes, &sizes) {
            if filter.push(piece, &mut out).is_err() {
                break;
            }
        }
        // The HTTP client, whose parser this is, rejects what can't be parsed.
        let mut headers = [httparse::EMPTY_HEADER; 16];
        let is_rejected = httparse::Response::new(&mut headers).parse(&out).is_err();
        prop_assert!(is_rejected || !out.contains(&MARK), "{:?}", out);
        let has_close = bytes.windows(6).any(|part| part == b"Filler");
        if is_whole && !has_close {
            prop_assert_eq!(&out[..], &own[..]);
        }
    }
}
