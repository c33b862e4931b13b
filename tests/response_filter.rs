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
}
