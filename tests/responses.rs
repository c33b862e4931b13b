//! Responses as the HTTP client reads them: what it skips, rejects, and does before it uses a
//! connection again.

mod request;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use http_types::Method;
use poplarmux::edge::http;
use poplarmux::edge::http::Error;
use poplarmux::edge::http::Pool;
use poplarmux::edge::http::Reuse;

/// Time limit of an exchange, which no test reaches.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Counts of a server.
#[derive(Debug, Default)]
struct Counts {
    /// Connections accepted.
    connections: AtomicUsize,
    /// Responses sent to their end, or up to the close of the connection.
    responses: AtomicUsize,
}

/// Serves the same bytes to each request, in pieces of `piece` bytes.
fn serve(response: &str, piece: usize) -> (SocketAddr, Arc<Counts>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let counts = Arc::new(Counts::default());
    let (shared, response) = (counts.clone(), response.to_string());
    thread::spawn(move || {
        for stream in listener.incoming() {
            shared.connections.fetch_add(1, Ordering::Relaxed);
            let (mut stream, response) = (stream.expect("a connection"), response.clone());
            let counts = shared.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                while request::read(&mut stream).is_some() {
                    for piece in response.as_bytes().chunks(piece) {
                        if stream.write_all(piece).is_err() {
                            break;
                        }
                        thread::sleep(Duration::from_micros(200));
                    }
                    counts.responses.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    (addr, counts)
}

/// Sends a request and returns the status and the body of the response.
async fn send(pool: &Pool, addr: SocketAddr, method: Method) -> Result<(u16, Vec<u8>), Error> {
    let req = http::request(method, addr, "/")?;
    let answer = pool.send(addr, req, Reuse::Idle, TIMEOUT).await?;
    Ok((answer.head.status().into(), answer.bytes(1 << 20).await?))
}

/// Sends two requests and checks both responses, and whether they came over one connection.
fn check(response: &str, method: Method, expected: &Result<(u16, Vec<u8>), Error>, reused: bool) {
    for piece in [1, 7, 4096] {
        let (addr, counts) = serve(response, piece);
        let pool = Pool::new(TIMEOUT, TIMEOUT);
        smol::block_on(async {
            for sent in 1..=2 {
                assert_eq!(send(&pool, addr, method).await, *expected, "{response:?} {piece}");
                // Bytes behind the response are sent, and arrive.
                while counts.responses.load(Ordering::Relaxed) < sent {
                    smol::Timer::after(Duration::from_millis(1)).await;
                }
                smol::Timer::after(Duration::from_millis(20)).await;
            }
        });
        let connections = counts.connections.load(Ordering::Relaxed);
        assert_eq!(connections == 1, reused, "{response:?} {piece}: {connections} connections");
    }
}

fn body(text: &str) -> Result<(u16, Vec<u8>), Error> {
    Ok((200, text.as_bytes().to_vec()))
}

/// Guards against an informational response that is taken for the final one.
#[test]
fn informational_responses_are_skipped() {
    let response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n\
                    HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    check(response, Method::Get, &body("{}"), true);
}

/// Guards against a status that no response may have and that is taken for an answer.
#[test]
fn status_outside_of_the_valid_range_is_malformed() {
    for status in
        ["000 X", "000", "001 X", "099 X", "101 X", "600 X", "999 X", "20 X", "2000 X", ""]
    {
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\n{{}}");
        check(&response, Method::Get, &Err(Error::Malformed), false);
    }
}

/// Guards against waiting for the body that the response to another method would have.
#[test]
fn response_to_head_has_no_body() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
    check(response, Method::Head, &body(""), true);
}

/// Guards against a connection whose next response would begin inside the body of this one.
#[test]
fn contradictory_lengths_are_malformed() {
    for lengths in ["2\r\nContent-Length: 3", "+2", "2, 3", "-1", "99999999999999999999999"] {
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {lengths}\r\n\r\n{{}}");
        check(&response, Method::Get, &Err(Error::Malformed), false);
    }
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n\
                    2\r\n{}\r\n0\r\n\r\n";
    check(response, Method::Get, &Err(Error::Malformed), false);
}

/// Guards against bytes behind a response that are dropped, or taken for the next response.
#[test]
fn bytes_behind_a_response_close_its_connection() {
    let framings = [
        "Content-Length: 2\r\n\r\n{}",
        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n1;name=value\r\n{\r\n01\r\n}\r\n0\r\nName: value\r\n\r\n",
    ];
    for framing in framings {
        let response = format!("HTTP/1.1 200 OK\r\n{framing}");
        check(&response, Method::Get, &body("{}"), true);
        for behind in ["\r\n", "H", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"] {
            check(&format!("{response}{behind}"), Method::Get, &body("{}"), false);
        }
    }
}

/// Guards against a response that counts as whole although the connection was closed inside its head.
#[test]
fn response_closed_inside_its_head_is_an_error() {
    for framing in ["Content-Length: 0", "Transfer-Encoding: chunked", "Server: a"] {
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
        for len in 0..head.len() {
            let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
            let addr = listener.local_addr().expect("an address");
            let part = head[..len].to_string();
            let server = thread::spawn(move || {
                // The request may be sent again on a new connection.
                for stream in listener.incoming().take(2) {
                    let mut stream = stream.expect("a connection");
                    request::read(&mut stream);
                    stream.write_all(part.as_bytes()).expect("a reader");
                }
            });
            let pool = Pool::new(TIMEOUT, TIMEOUT);
            let sent = smol::block_on(send(&pool, addr, Method::Get));
            assert!(sent.is_err(), "{framing}, cut after {len} bytes: {sent:?}");
            drop(server);
        }
    }
}
