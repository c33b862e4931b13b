//! HTTP/1.1 over `async-h1`: a server with limits and draining, and a client with a connection
//! pool.
//!
//! TCP_NODELAY is set on both sides. Without it, each request on a kept-alive connection takes
//! about 40 ms longer, because Nagle's algorithm holds back the second of two small writes until
//! the delayed acknowledgement of the first arrives.

mod connection;
mod held_body;
mod intake;
mod pool;
mod response;
mod server;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::Url;
use serde::Serialize;
use smol::future::FutureExt;
use smol::io::AsyncBufRead;
use smol::io::AsyncBufReadExt;

use crate::edge::http::connection::Connection;

pub use crate::edge::http::held_body::hold_until_sent;
pub use crate::edge::http::intake::Held;
pub use crate::edge::http::pool::Answer;
pub use crate::edge::http::pool::Pool;
pub use crate::edge::http::pool::Reuse;
pub use crate::edge::http::pool::exchange;
pub use crate::edge::http::pool::framing;
pub use crate::edge::http::server::Drain;
pub use crate::edge::http::server::Limits;
pub use crate::edge::http::server::Link;
pub use crate::edge::http::server::listen;
pub use crate::edge::http::server::serve;

/// A failure of an HTTP exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection was established: nothing was sent.
    Connect,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// The time limit expired after bytes may have been sent.
    Timeout,
    /// The body exceeds this limit, in bytes.
    TooLarge(usize),
    /// The body has neither a length nor chunks, so that a cut one can't be told from a complete one.
    Unframed,
    /// The bodies of all messages would take too much memory.
    NoRoom,
    /// The message violates HTTP or is not of the expected body type.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect => write!(f, "could not connect"),
            Error::Broken => write!(f, "connection broke"),
            Error::Timeout => write!(f, "timed out"),
            Error::TooLarge(max) => write!(f, "body exceeds {max} bytes"),
            Error::Unframed => write!(f, "body without length or chunks"),
            Error::NoRoom => write!(f, "no room for the body"),
            Error::Malformed => write!(f, "malformed message"),
        }
    }
}

impl std::error::Error for Error {}

/// Returns an error response in the common format, for a request that was not run.
pub fn refusal(status: StatusCode, code: &str, message: &str) -> Response {
    let body = serde_json::json!({
        "error": { "code": code, "message": message, "outcome": "not_run" }
    });
    json(status, &body)
}

/// Returns a JSON response.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let mut res = Response::new(status);
    let text = serde_json::to_string(body).unwrap_or_default();
    res.set_body(Body::from_string(text));
    res.insert_header("content-type", "application/json");
    res
}

/// Whether the body of a request is still unread when its response is ready.
///
/// The parser reads a body in blocks. After an early response it discards the remaining body block
/// by block, and with the last block also the beginning of the caller's next request, which would
/// then never be answered. Such a connection is therefore closed.
#[derive(Debug, Clone)]
struct Unread {
    is_set: Arc<AtomicBool>,
    connection: Arc<Connection>,
}

impl Unread {
    fn mark(req: &mut Request, connection: &Arc<Connection>) -> Self {
        let chunked = req.header("transfer-encoding").is_some();
        let unread = chunked || req.len().is_some_and(|len| len > 0);
        let is_set = Arc::new(AtomicBool::new(unread));
        let mark = Unread { is_set, connection: connection.clone() };
        if unread {
            req.ext_mut().insert(mark.clone());
        }
        mark
    }

    fn is_set(&self) -> bool {
        self.is_set.load(Ordering::Relaxed)
    }
}

/// Reads a request body of at most `max` bytes within `limit`.
pub async fn body(req: &mut Request, max: usize, limit: Duration) -> Result<Vec<u8>, Error> {
    let expected_len = req.len();
    if expected_len.is_some_and(|len| len > max) {
        return Err(Error::TooLarge(max));
    }
    let unread = req.ext().get::<Unread>().cloned();
    let held = unread.as_ref().map(|unread| unread.connection.hold());
    if let Some(unread) = &unread {
        unread.connection.set_answering(false);
    }
    let reader = req.take_body().into_reader();
    let read = read_held(reader, expected_len, max, held.as_deref());
    let result = read.or(expire(limit)).await;
    if let Some(unread) = &unread {
        unread.connection.set_answering(true);
        unread.is_set.store(result.is_err(), Ordering::Relaxed);
    }
    match (&held, &unread, &result) {
        (Some(held), _, Ok(_)) => held.complete(),
        (_, Some(unread), Err(_)) => unread.connection.release(),
        _ => {}
    }
    result
}

/// Reads a body of at most `max` bytes; a length that is expected has to be reached.
pub async fn read_all<R>(
    reader: R,
    expected_len: Option<usize>,
    max: usize,
) -> Result<Vec<u8>, Error>
where
    R: AsyncBufRead + Unpin,
{
    read_held(reader, expected_len, max, None).await
}

/// Does the same, and counts the buffer as held. The buffer grows with what has arrived: room for all
/// that is announced would be reserved for nothing.
async fn read_held<R>(
    reader: R,
    expected_len: Option<usize>,
    max: usize,
    held: Option<&Held>,
) -> Result<Vec<u8>, Error>
where
    R: AsyncBufRead + Unpin,
{
    read_counted(reader, expected_len, max, held).or(refused(held)).await
}

/// Fails once a message is refused as another one needs its memory.
async fn refused<T>(held: Option<&Held>) -> Result<T, Error> {
    match held {
        Some(held) => held.refused().await,
        None => smol::future::pending().await,
    }
    Err(Error::NoRoom)
}

async fn read_counted<R>(
    mut reader: R,
    expected_len: Option<usize>,
    max: usize,
    held: Option<&Held>,
) -> Result<Vec<u8>, Error>
where
    R: AsyncBufRead + Unpin,
{
    let mut buf = Vec::new();
    loop {
        let part = reader.fill_buf().await.map_err(|_| Error::Broken)?;
        if part.is_empty() {
            break;
        }
        let len = buf.len() + part.len();
        if len > max {
            return Err(Error::TooLarge(max));
        }
        if len > buf.capacity() {
            let capacity = expected_len.unwrap_or(max).min(2 * len).max(len);
            if let Some(held) = held
                && !held.add(capacity - buf.capacity()).await
            {
                return Err(Error::NoRoom);
            }
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(part);
        let read = part.len();
        reader.consume(read);
    }
    if expected_len.is_some_and(|len| len != buf.len()) {
        return Err(Error::Broken);
    }
    Ok(buf)
}

async fn expire<T>(limit: Duration) -> Result<T, Error> {
    smol::Timer::after(limit).await;
    Err(Error::Timeout)
}

/// Builds a request to `addr`.
pub fn request(method: Method, addr: SocketAddr, path: &str) -> Result<Request, Error> {
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|_| Error::Malformed)?;
    Ok(Request::new(method, url))
}
