//! Tests that the response filter and the HTTP client agree on where a response ends.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol_hyper::rt::FuturesIo;

use poplarmux::edge::response_filter::Error;
use poplarmux::edge::response_filter::Expected;
use poplarmux::edge::response_filter::Filter;

/// Polls after which the client has read all bytes.
const POLLS: usize = 8;

/// What is made of the bytes of a connection that stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// The response goes on.
    Waiting,
    /// The response is complete.
    Complete,
    /// The connection has failed.
    Failed,
}

/// A connection on which bytes arrive once a request has been written.
struct Wire {
    bytes: Vec<u8>,
    position: usize,
    piece: usize,
    is_asked: Rc<Cell<bool>>,
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.bytes.len() - self.position;
        let len = left.min(self.piece).min(buf.len());
        if len == 0 || !self.is_asked.get() {
            return Poll::Pending;
        }
        buf[..len].copy_from_slice(&self.bytes[self.position..][..len]);
        self.position += len;
        Poll::Ready(Ok(len))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_asked.set(true);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Returns what the HTTP client makes of bytes, and whether it would send another request then.
fn client(bytes: &[u8], piece: usize, method: &Method) -> (Verdict, bool) {
    smol::block_on(async {
        let (bytes, is_asked) = (bytes.to_vec(), Rc::default());
        let wire = Wire { bytes, position: 0, piece, is_asked };
        let handshake = http1::handshake(FuturesIo::new(wire)).await;
        let (mut sender, conn) = handshake.expect("a connection");
        let mut req = Request::new(Full::new(Bytes::new()));
        *req.method_mut() = method.clone();
        let mut conn = pin!(conn);
        let verdict = {
            let mut exchange = pin!(async {
                let res = sender.send_request(req).await?;
                res.into_body().collect().await
            });
            let mut verdict = Verdict::Waiting;
            for _ in 0..POLLS {
                if verdict == Verdict::Waiting {
                    verdict = match smol::future::poll_once(exchange.as_mut()).await {
                        None => Verdict::Waiting,
                        Some(Ok(_)) => Verdict::Complete,
                        Some(Err(_)) => Verdict::Failed,
                    };
                }
                if smol::future::poll_once(conn.as_mut()).await.is_some() {
                    if verdict == Verdict::Waiting {
                        let last = smol::future::poll_once(exchange.as_mut()).await;
                        verdict = match last.expect("the end of the exchange") {
                            Ok(_) => Verdict::Complete,
                            Err(_) => Verdict::Failed,
                        };
                    }
                    return (verdict, false);
                }
            }
            verdict
        };
        (verdict, sender.is_ready())
    })
}

/// Returns what the filter makes of bytes.
fn filter(bytes: &[u8], piece: usize, method: &Method) -> Verdict {
    let (mut filter, mut out) = (Filter::default(), BytesMut::new());
    filter.expect(Expected::Next, method == Method::HEAD);
    for part in bytes.chunks(piece) {
        if filter.push(part, &mut out).is_err() {
            return Verdict::Failed;
        }
    }
    match filter.push(b"H", &mut out) {
        Err(Error::Unsolicited) => Verdict::Complete,
        Ok(()) | Err(Error::HeadTooLong | Error::TooMuch | Error::Malformed) => Verdict::Waiting,
    }
}

const STATUS_LINES: [&str; 9] = [
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200",
    "HTTP/1.1 204 X",
    "HTTP/1.1 304 X",
    "HTTP/1.0 200 OK",
    "HTTP/1.1 101 X",
    "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK",
    "HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\nHTTP/1.1 503 X",
    "HTTP/1.1 099 X",
];
const HEADERS: [&str; 20] = [
    "",
    "Content-Length: 5",
    "Content-Length: 0",
    "Content-Length: 5, 5",
    "Content-Length: 5, 6",
    "Content-Length: +5",
    "Content-Length: 005",
    "Content-Length:",
    "Content-Length: 18446744073709551615",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: CHUNKED\t",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: xchunked",
    "Transfer-Encoding: \u{e9}, chunked",
    "Transfer-Encoding: chunked, gzip",
    "Transfer-Encoding: chunked,",
    "Transfer-Encoding: identity",
    "Connection: close",
    "Connection: keep-alive",
    "X: a\r\n b",
];
const BODIES: [&str; 22] = [
    "",
    "hello",
    "hello!",
    "5\r\nhello\r\n0\r\n\r\n",
    "5;x=\"a\"\r\nhello\r\n0;y\r\n\r\n",
    "5 \t;x\r\nhello\r\n0\r\n\r\n",
    " 5\r\nhello\r\n0\r\n\r\n",
    "+5\r\nhello\r\n0\r\n\r\n",
    "5\nhello\n0\n\n",
    "5\r\nhello\n0\r\n\r\n",
    "5\r\nhelloXX0\r\n\r\n",
    "00000000000000005\r\nhello\r\n0\r\n\r\n",
    "\r\n\r\n",
    "0\r\n\r\n",
    "0\r\nA: b\r\n\r\n",
    "0\r\nA: b\n\r\n",
    "0\r\nA: b\r\n\n",
    "0\r\n \r\n",
    "0\r\n \r\n\r\n",
    "0\r\n\n",
    "0\r\nA\r\n\r\n",
    "0\r\nA\rB: c\r\n\r\n",
];

/// A response and the method of its request.
struct Case {
    bytes: Vec<u8>,
    method: Method,
}

/// Returns all responses with up to two of the headers.
fn cases() -> impl Iterator<Item = Case> {
    let pairs = HEADERS
        .iter()
        .enumerate()
        .flat_map(|(index, first)| HEADERS[index..].iter().map(move |second| [*first, *second]));
    let ends = ["\r\n", "\n"];
    let heads = pairs.flat_map(move |lines| {
        ends.into_iter().flat_map(move |end| {
            STATUS_LINES.into_iter().map(move |status| {
                let lines = lines.iter().filter(|line| !line.is_empty());
                let lines: String = lines.map(|line| format!("{line}{end}")).collect();
                format!("{status}{end}{lines}{end}")
            })
        })
    });
    heads.flat_map(|head| {
        [Method::GET, Method::HEAD].into_iter().flat_map(move |method| {
            let head = head.clone();
            BODIES.into_iter().map(move |body| Case {
                bytes: format!("{head}{body}").into_bytes(),
                method: method.clone(),
            })
        })
    })
}

/// Bytes that arrive at a time.
const PIECE: usize = 3;

/// Asserts that no case is a fault; shows some of those that are.
fn assert_none(is_fault: impl Fn(&Case) -> bool) {
    let faults = cases().filter(is_fault);
    let faults = faults.map(|case| String::from_utf8_lossy(&case.bytes).to_string());
    let faults: Vec<String> = faults.collect();
    let shown: Vec<&String> = faults.iter().step_by(faults.len() / 8 + 1).collect();
    assert!(faults.is_empty(), "{} cases, such as {shown:#?}", faults.len());
}

/// Guards against a connection that the client uses again while the filter still takes bytes for a
/// part of the last response.
#[test]
fn filter_has_found_the_end_where_the_client_uses_the_connection_again() {
    assert_none(|case| {
        let (_, is_ready) = client(&case.bytes, PIECE, &case.method);
        is_ready && filter(&case.bytes, PIECE, &case.method) == Verdict::Waiting
    });
}

/// Guards against a caller that is kept waiting for the rest of a response which the filter takes for
/// complete, and passes nothing more of.
#[test]
fn client_does_not_wait_where_the_filter_has_found_the_end() {
    assert_none(|case| {
        let (verdict, _) = client(&case.bytes, PIECE, &case.method);
        verdict == Verdict::Waiting && filter(&case.bytes, PIECE, &case.method) == Verdict::Complete
    });
}
